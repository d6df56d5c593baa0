"""A drain during a stall of the proxy process: the last attempt begins within the shortest drain grace."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from typing import Any

import pytest
from net_harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    DiscoveryServer,
    EndpointServer,
    ReceivedRequest,
    endpoint_entry,
    endpoint_list,
    proxy_under_test,
    read_message,
    respond_ok,
    response,
    run_async,
)

DRAIN_GRACE_S = 0.35  # Shortest drain grace that the proxy must support.
STALL_S = 0.15  # Stall that the operators' page permits.
CLIENTS = 40


class DiscoveryAgent(DiscoveryServer):
    """Agent that answers each poll with its list, or with no change after the wait of the poll."""

    def __init__(self) -> None:
        super().__init__()
        self.version, self.entries = 1, list[dict[str, Any]]()
        self.list_changed = asyncio.Event()

    def publish_changes(self, *entries: dict[str, Any]) -> None:
        self.version, self.entries = self.version + 1, list(entries)
        self.list_changed.set()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                target = (await read_message(reader))[0].split(" ")[1]
                self.polls.put_nowait(target)
                if f"from={self.version}&" in target:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(target.partition("hold_ms=")[2] or 0) / 1000):
                            await self.list_changed.wait()
                changes = endpoint_list(self.version, *self.entries, snapshot=False)
                writer.write(response(200, json.dumps(changes).encode()))
        writer.close()


@pytest.mark.parametrize("status", ["Terminating", "Gone"])
def test_after_a_drain_during_a_stall_no_attempt_begins_later_than_the_drain_grace(status: str) -> None:
    """After the stall, the requests and the new list are unread, and expired timers run before both."""

    async def test() -> None:
        received_at: list[float] = []

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            received_at.append(time.monotonic())
            await respond_ok(received, writer)

        removed, remaining = EndpointServer(respond), EndpointServer()
        discovery = DiscoveryAgent()
        await discovery.start()
        contract = {**SETTINGS["contract"], "drain_grace": DRAIN_GRACE_S}
        async with proxy_under_test(
            {"s-1": removed, "s-2": remaining}, discovery, contract=contract, discovery="push"
        ) as proxy:
            clients = [await proxy.connect() for _ in range(CLIENTS)]
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await discovery.polls.get()

            async def send_requests(number: int) -> None:
                for request_number in range(30):
                    await clients[number].request("stock", f"{number:08x}{request_number:08x}")
                    await asyncio.sleep(0.02)

            client_tasks = [asyncio.ensure_future(send_requests(number)) for number in range(CLIENTS)]
            await asyncio.sleep(0.2)
            assert received_at
            proxy.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.01)
            discovery.publish_changes(endpoint_entry("s-1", removed.address, status))
            published_at = time.monotonic()
            await asyncio.sleep(STALL_S)
            proxy.process.send_signal(signal.SIGCONT)
            await asyncio.gather(*client_tasks)
            assert max(received_at) - published_at < DRAIN_GRACE_S
            assert remaining.received_count > CLIENTS

    run_async(test())
