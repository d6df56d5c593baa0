"""What the wire shows of an attempt that is given up, at the moment at which the next one begins."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from net_harness import SETTINGS, EndpointServer, ReceivedRequest, proxy_under_test, response, run_async

ESTABLISHED = "01"  # in /proc/net/tcp


def is_established(local_port: int, peer_port: int) -> bool:
    """Tell whether the connection stands in both directions, by the kernel's table (proc(5), net/tcp)."""
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    return any(
        row[1].endswith(f":{local_port:04X}") and row[2].endswith(f":{peer_port:04X}")
        for row in rows
        if row[3] == ESTABLISHED
    )


def test_a_retry_reaches_its_endpoint_after_the_end_of_the_attempt_before_it() -> None:
    """Else two attempts would be out at once, for as long as the process is held up between the two."""

    async def test() -> None:
        given_up: list[tuple[int, int]] = []  # ports of the connection whose attempt the proxy gives up
        overlapping = 0
        retried = 0

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal overlapping, retried
            raw: socket.socket = writer.get_extra_info("socket")
            if not given_up:
                given_up.append((raw.getsockname()[1], raw.getpeername()[1]))
                writer.write(b"nonsense\r\n\r\n")
                return
            retried += 1
            overlapping += any(is_established(*ports) for ports in given_up)
            given_up.clear()
            writer.write(response(200, b"done"))

        endpoints = {"s-1": EndpointServer(respond), "s-2": EndpointServer(respond)}
        async with proxy_under_test(endpoints) as proxy:
            client = await proxy.connect()
            for number in range(3):
                answer = await client.request("stock", f"{number:016x}", "3000m")
                assert answer.status_code == 200
        assert (retried, overlapping) == (3, 0)

    run_async(test())


def test_an_overdue_attempt_is_retried_where_settings_allow_two_attempts_at_once() -> None:
    """Found on herd+mass: the hedged request was refused, and the other one waited for a hung endpoint."""

    async def test() -> None:
        hangs = False

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal hangs
            if hangs:
                hangs = False
                return
            writer.write(response(200, b"done"))

        endpoints = {"s-1": EndpointServer(respond), "s-2": EndpointServer(respond)}
        limits = {**SETTINGS["policy_limits"], "may_duplicate": True, "may_cancel": True}
        async with proxy_under_test(endpoints, policy_limits=limits) as proxy:
            client = await proxy.connect()
            for number in range(30):
                assert (await client.request("stock", f"{number:016x}", "3000m")).status_code == 200
            hangs = True
            answer = await client.request("stock", "f" * 16, "3000m")
            assert answer.status_code == 200 and not hangs
        assert sum(endpoint.received_count for endpoint in endpoints.values()) == 32

    run_async(test())
