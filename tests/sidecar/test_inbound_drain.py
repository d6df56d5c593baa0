"""Drain of the inbound listener: health checks, requests in flight, deadlines."""

from __future__ import annotations

import asyncio
import time

import pytest
from inbound_harness import (
    RecordingResponseWriter,
    assert_rejected,
    create_request,
    never_respond,
    running_inbound,
)
from net_harness import run_async

from harness.event_loop import until


def test_a_drain_fails_health_checks_serves_new_requests_and_then_rejects_them() -> None:
    async def test() -> None:
        async with running_inbound() as inbound:
            client = await inbound.connect()
            assert (await client.request("canje", "1" * 16)).status_code == 200
            inbound.listener.drain(asyncio.get_running_loop().time() + 60.0)
            assert await inbound.get("/healthz") == (503, b"draining\n")
            assert (await client.request("canje", "2" * 16)).status_code == 200
            inbound.listener.close()
            answer = await client.request("canje", "3" * 16)
            assert_rejected(answer)
            assert inbound.application.received_count == 2
            with pytest.raises(OSError):
                await inbound.connect()

    run_async(test())


def test_requests_in_flight_at_a_drain_are_answered_before_the_end() -> None:
    async def test() -> None:
        async with running_inbound(never_respond) as inbound:
            client = await inbound.connect()
            client.send("canje", "1" * 16, "6000m")
            await inbound.wait_for_received(1)
            started_at = asyncio.get_running_loop().time()
            inbound.listener.drain(started_at + 0.2)
            assert (await client.response()).status_code == 504
            assert asyncio.get_running_loop().time() - started_at < 2.0

    run_async(test())


def test_no_request_outlives_the_deadline_of_its_class_or_the_end_of_the_drain() -> None:
    async def test() -> None:
        async with running_inbound(never_respond) as inbound:
            started_at = time.monotonic()
            request = inbound.listener.start_request(
                create_request(b"1" * 16, 60.0), RecordingResponseWriter()
            )
            assert request is not None
            assert request.deadline - started_at <= 6.0
            inbound.listener.drain(started_at + 0.3)
            writer = RecordingResponseWriter()
            assert inbound.listener.start_request(create_request(b"2" * 16, 5.0), writer) is not None
            await until(lambda: writer.codes == [504], "504")
            assert time.monotonic() - started_at < 2.0

    run_async(test())
