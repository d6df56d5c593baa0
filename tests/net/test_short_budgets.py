"""Requests with very short time budgets, which endpoints drop without a response, still get responses."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

import pytest
from net_harness import SETTINGS, EndpointServer, ReceivedRequest, proxy_under_test, respond_ok, run_async

MAX_LATENESS_S = 0.5  # Lateness up to which a response merely has no value.
DROPPED_BELOW_S = 0.08  # Remaining time below which these endpoints drop a request.


def long_timeout_classes() -> list[dict[str, Any]]:
    request_classes: list[dict[str, Any]] = copy.deepcopy(SETTINGS["grades"])
    for grade in request_classes:
        grade["objective"] = grade["deadline"] = 9.0
    return request_classes


@pytest.mark.parametrize("class_name", ["stock", "reserva", "canje"])
def test_requests_with_little_time_get_responses_although_endpoints_drop_them(class_name: str) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        dropped = 0
        least_remaining_s = 9.0

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal dropped, least_remaining_s
            remaining_s = int(received.headers["x-budget"].removesuffix("u")) / 1e6
            least_remaining_s = min(remaining_s, least_remaining_s)
            if remaining_s < DROPPED_BELOW_S:
                dropped += 1
            else:
                await respond_ok(received, writer)

        endpoints = {f"s-{number}": EndpointServer(respond) for number in range(3)}
        async with proxy_under_test(endpoints, grades=long_timeout_classes()) as proxy:
            budgets_us = [1, 1000, 10_000, 20_000, 30_000, 40_000, 60_000, 80_000, 90_000] * 4
            client = await proxy.connect()
            for number, budget_us in enumerate(budgets_us):
                begun = loop.time()
                answer = await client.request(class_name, f"{number:016x}", budget=f"{budget_us}u")
                assert answer.status_code in (200, 502, 503, 504)
                assert loop.time() - begun < budget_us / 1e6 + MAX_LATENESS_S
            assert dropped and least_remaining_s > 0
            # The dropped requests must not count against the endpoints: usual requests are served
            # immediately.
            served = [
                (await client.request(class_name, f"aa{number:014x}", budget="3000m")).status_code
                for number in range(10)
            ]
            assert served.count(200) >= 8

    run_async(test())
