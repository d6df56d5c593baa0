"""Tests of deadlines at a plain proxy with [budgets].

The deadline passes during the connect or before the answer, the retry window of a keyed request ends, or the
client leaves.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import socket
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from net_harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    Client,
    DiscoveryServer,
    EndpointServer,
    ReceivedRequest,
    endpoint_entry,
    next_request,
    respond_ok,
    run_async,
)

from harness.proxy_process import ProxyProcess, running_proxy
from harness.tier_chain import write_key_file


@contextlib.asynccontextmanager
async def edge(addresses: list[str], **changes: Any) -> AsyncIterator[ProxyProcess]:
    discovery = await DiscoveryServer().start()
    known = [endpoint_entry(f"s-{number}", address) for number, address in enumerate(addresses)]
    with tempfile.TemporaryDirectory() as folder:
        table = f'[budgets]\nkeys_file = "{write_key_file(Path(folder))}"\nedge = true\n'
        async with running_proxy("n0", discovery.address, known, table, **changes) as program:
            yield program
    assert discovery.server is not None
    discovery.server.close()


async def connect_client(program: ProxyProcess) -> Client:
    return Client(*await asyncio.open_connection(*program.address))


def test_deadline_while_connecting_is_a_rejection_and_nothing_was_sent() -> None:
    """The listener's queue is full, so a connect neither succeeds nor fails."""

    async def test() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            queue_fillers = [socket.socket() for _ in range(4)]
            for one in queue_fillers:
                one.setblocking(False)
                one.connect_ex(listener.getsockname())
            listener_address = f"127.0.0.1:{listener.getsockname()[1]}"
            limits = {**SETTINGS["policy_limits"], "connect_timeout": 5.0, "probes": False}
            async with edge([listener_address], policy_limits=limits) as program:
                caller = await connect_client(program)
                started_at = time.monotonic()
                assert (await caller.request("canje", "a" * 16, budget="300m")).status_code == 503
                assert time.monotonic() - started_at < 0.5
            for one in queue_fillers:
                one.close()

    run_async(test())


@pytest.mark.parametrize("cls", ["stock", "canje"])
def test_deadline_before_the_answer_ends_the_attempt_and_starts_no_other(cls: str) -> None:
    async def test() -> None:
        async def handle_request(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            """Receive the request and send no response."""

        backend = await EndpointServer(handle_request).start()
        async with edge([backend.address]) as program:
            caller = await connect_client(program)
            code = (await caller.request(cls, "a" * 16, budget="400m")).status_code
            assert code in (502, 504) or (code == 503 and cls == "stock")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await backend.closed_connections.get()  # The attempt's connection is closed as well.
            count = backend.received_count
            await asyncio.sleep(0.4)
            assert backend.received_count == count and (count == 1 or cls == "stock")
        await backend.stop()

    run_async(test())


def test_unsafe_call_whose_client_left_after_it_may_have_run_runs_no_second_time() -> None:
    async def test() -> None:
        async def handle_request(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            writer.transport.abort()  # The client has left before.

        one = await EndpointServer(handle_request).start()
        two = await EndpointServer(handle_request).start()
        async with edge([one.address, two.address]) as program:
            caller = await connect_client(program)
            caller.send("canje", "a" * 16, budget="5000m")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while one.received_count + two.received_count == 0:
                    await asyncio.sleep(0.005)
            caller.writer.transport.abort()
            await asyncio.sleep(0.5)
            assert one.received_count + two.received_count == 1
            assert (await (await connect_client(program)).request("nosuch", "b" * 16)).status_code == 404
        await one.stop()
        await two.stop()

    run_async(test())


@pytest.mark.parametrize(("window", "attempts"), [(0.2, 1), (6.0, 2)], ids=["over", "open"])
def test_keyed_call_is_retried_only_within_its_window_whatever_its_budget_has_left(
    window: float, attempts: int
) -> None:
    """The connection breaks 0.4 s after the call may have run, when the budget has more than 3 s left."""

    async def test() -> None:
        async def handle_request(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if backend.received_count == 1:
                await asyncio.sleep(0.4)
                writer.transport.abort()
            else:
                await respond_ok(seen, writer)

        grades = copy.deepcopy(SETTINGS["grades"])
        for grade in grades:
            if grade["name"] == "reserva":
                grade["window"] = window
        backend = await EndpointServer(handle_request).start()
        async with edge([backend.address], grades=grades) as program:
            caller = await connect_client(program)
            caller.send("reserva", "a" * 16, budget="4000m")
            await next_request(backend)
            code = (await caller.response()).status_code
            assert (code == 200) == (attempts == 2) and backend.received_count == attempts
        await backend.stop()

    run_async(test())
