"""Connection of an abandoned attempt, at the moment at which the next attempt starts."""

from __future__ import annotations

import asyncio

from net_harness import SETTINGS, EndpointServer, ReceivedRequest, proxy_under_test, response, run_async
from socket_helpers import is_established, ports_of


def test_a_retry_reaches_its_endpoint_after_the_previous_connection_is_closed() -> None:
    """In another order two attempts would be in flight at once while the process stalls in between."""

    async def test() -> None:
        abandoned_ports: list[tuple[int, int]] = []  # Ports of the connection of an abandoned attempt.
        overlap_count = 0
        retry_count = 0

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal overlap_count, retry_count
            if not abandoned_ports:
                abandoned_ports.append(ports_of(writer))
                writer.write(b"nonsense\r\n\r\n")
                return
            retry_count += 1
            overlap_count += any(map(is_established, abandoned_ports))
            abandoned_ports.clear()
            writer.write(response(200, b"done"))

        endpoints = {"s-1": EndpointServer(respond), "s-2": EndpointServer(respond)}
        async with proxy_under_test(endpoints) as proxy:
            client = await proxy.connect()
            for number in range(3):
                answer = await client.request("stock", f"{number:016x}", "3000m")
                assert answer.status_code == 200
        assert (retry_count, overlap_count) == (3, 0)

    run_async(test())


def test_an_overdue_attempt_is_retried_where_settings_allow_two_attempts_at_once() -> None:
    """In scenario herd+mass a refused hedge left a request waiting for a hung endpoint."""

    async def test() -> None:
        next_request_hangs = False

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal next_request_hangs
            if next_request_hangs:
                next_request_hangs = False
                return
            writer.write(response(200, b"done"))

        endpoints = {"s-1": EndpointServer(respond), "s-2": EndpointServer(respond)}
        limits = {**SETTINGS["policy_limits"], "may_duplicate": True, "may_cancel": True}
        async with proxy_under_test(endpoints, policy_limits=limits) as proxy:
            client = await proxy.connect()
            for number in range(30):
                assert (await client.request("stock", f"{number:016x}", "3000m")).status_code == 200
            next_request_hangs = True
            answer = await client.request("stock", "f" * 16, "3000m")
            assert answer.status_code == 200 and not next_request_hangs
        assert sum(endpoint.received_count for endpoint in endpoints.values()) == 32

    run_async(test())
