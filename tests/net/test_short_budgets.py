"""Requests with very little time left, which endpoints drop without a word: each is answered all the same."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

import pytest
from net_harness import SETTINGS, EndpointServer, ReceivedRequest, proxy_under_test, respond_ok, run_async

LATE_S = 0.5  # after a request's time, up to which its answer only earns nothing
DROPPED_BELOW_S = 0.08  # left, with which these endpoints drop a request


def patient_classes() -> list[dict[str, Any]]:
    made: list[dict[str, Any]] = copy.deepcopy(SETTINGS["grades"])
    for grade in made:
        grade["objective"] = grade["deadline"] = 9.0
    return made


@pytest.mark.parametrize("class_name", ["stock", "reserva", "canje"])
def test_requests_with_little_time_are_answered_though_endpoints_drop_them(class_name: str) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        dropped = 0
        told_least = 9.0

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal dropped, told_least
            told = int(received.headers["x-budget"].removesuffix("u")) / 1e6
            told_least = min(told, told_least)
            if told < DROPPED_BELOW_S:
                dropped += 1
            else:
                await respond_ok(received, writer)

        endpoints = {f"s-{number}": EndpointServer(respond) for number in range(3)}
        async with proxy_under_test(endpoints, grades=patient_classes()) as proxy:
            budgets_us = [1, 1000, 10_000, 20_000, 30_000, 40_000, 60_000, 80_000, 90_000] * 4
            client = await proxy.connect()
            for number, budget_us in enumerate(budgets_us):
                begun = loop.time()
                answer = await client.request(class_name, f"{number:016x}", budget=f"{budget_us}u")
                assert answer.status_code in (200, 502, 503, 504)
                assert loop.time() - begun < budget_us / 1e6 + LATE_S
            assert dropped and told_least > 0
            # What they dropped says nothing of the endpoints: usual requests are served at once.
            served = [
                (await client.request(class_name, f"aa{number:014x}", budget="3000m")).status_code
                for number in range(10)
            ]
            assert served.count(200) >= 8

    run_async(test())
