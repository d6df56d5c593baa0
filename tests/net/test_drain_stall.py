"""A drain that is told while the process is held up: the last attempt begins within the shortest grace."""

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

GRACE_S = 0.35  # the shortest that the proxy was asked for
STALL_S = 0.15  # for which the operators' page lets it be held up
CLIENTS = 40


class Agent(DiscoveryServer):
    """Answers each poll with what it has, or after the poll's wait with nothing new."""

    def __init__(self) -> None:
        super().__init__()
        self.version, self.entries = 1, list[dict[str, Any]]()
        self.told = asyncio.Event()

    def tell(self, *entries: dict[str, Any]) -> None:
        self.version, self.entries = self.version + 1, list(entries)
        self.told.set()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                target = (await read_message(reader))[0].split(" ")[1]
                self.polls.put_nowait(target)
                if f"from={self.version}&" in target:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(target.partition("hold_ms=")[2] or 0) / 1000):
                            await self.told.wait()
                told = endpoint_list(self.version, *self.entries, snapshot=False)
                writer.write(response(200, json.dumps(told).encode()))
        writer.close()


@pytest.mark.parametrize("status", ["Terminating", "Gone"])
def test_a_drain_told_during_a_stall_is_kept_within_the_shortest_grace(status: str) -> None:
    """Requests and the list lie unread together as the stall ends; timers come before both."""

    async def test() -> None:
        begun_at: list[float] = []

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            begun_at.append(time.monotonic())
            await respond_ok(received, writer)

        leaves, stays = EndpointServer(respond), EndpointServer()
        discovery = Agent()
        await discovery.start()
        contract = {**SETTINGS["contract"], "drain_grace": GRACE_S}
        async with proxy_under_test(
            {"s-1": leaves, "s-2": stays}, discovery, contract=contract, discovery="push"
        ) as proxy:
            clients = [await proxy.connect() for _ in range(CLIENTS)]
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await discovery.polls.get()

            async def ask(number: int) -> None:
                for turn in range(30):
                    await clients[number].request("stock", f"{number:08x}{turn:08x}")
                    await asyncio.sleep(0.02)

            asking = [asyncio.ensure_future(ask(number)) for number in range(CLIENTS)]
            await asyncio.sleep(0.2)
            assert begun_at
            proxy.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.01)
            discovery.tell(endpoint_entry("s-1", leaves.address, status))
            told_at = time.monotonic()
            await asyncio.sleep(STALL_S)
            proxy.process.send_signal(signal.SIGCONT)
            await asyncio.gather(*asking)
            assert max(begun_at) - told_at < GRACE_S
            assert stays.received_count > CLIENTS

    run_async(test())
