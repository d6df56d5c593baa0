"""What the wire shows of an attempt that is given up, at the moment at which the next one begins."""

from __future__ import annotations

import asyncio

from net_harness import SETTINGS, EndpointServer, ReceivedRequest, proxy_under_test, response, run_async
from socket_helpers import is_established, ports_of


def test_a_retry_reaches_its_endpoint_after_the_end_of_the_attempt_before_it() -> None:
    """Else two attempts would be out at once, for as long as the process is held up between the two."""

    async def test() -> None:
        given_up: list[tuple[int, int]] = []  # ports of the connection whose attempt the proxy gives up
        overlapping = 0
        retried = 0

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal overlapping, retried
            if not given_up:
                given_up.append(ports_of(writer))
                writer.write(b"nonsense\r\n\r\n")
                return
            retried += 1
            overlapping += any(map(is_established, given_up))
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
