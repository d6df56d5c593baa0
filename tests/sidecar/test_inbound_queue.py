"""Inbound queue over loopback: slots, priorities, deadlines, disconnects, reloaded slots."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from inbound_harness import (
    RecordingResponseWriter,
    assert_rejected,
    create_request,
    never_respond,
    respond_after,
    running_inbound,
)
from net_harness import run_async

from harness.event_loop import until


def test_slots_bound_the_requests_in_flight_and_load_reports_them() -> None:
    release = asyncio.Event()

    async def test() -> None:
        async with running_inbound(respond_after(release), slots=2, waiting=1) as inbound:
            clients = [await inbound.connect() for _ in range(4)]
            for number, client in enumerate(clients[:3]):
                client.send("canje", f"{number:016x}", "5000m")
                await inbound.wait_for_open_requests(number + 1)
            await inbound.wait_for_received(2)
            assert await inbound.get("/load") == (200, b"inflight=3,queue=1\n")
            rejected = await clients[3].request("canje", "f" * 16, "5000m")
            assert_rejected(rejected)
            assert 0.05 <= float(rejected.headers["retry-after"]) <= 1.0
            release.set()
            assert [(await client.response()).status_code for client in clients[:3]] == [200, 200, 200]
            assert inbound.application.received_count == 3

    run_async(test())


def test_a_stock_request_displaces_a_queued_canje() -> None:
    release = asyncio.Event()

    async def test() -> None:
        async with running_inbound(respond_after(release), slots=1, waiting=1) as inbound:
            in_flight = await inbound.start_canje()
            queued = await inbound.queue_canje()
            prioritized = await inbound.connect()
            prioritized.send("stock", "3" * 16, "5000m")
            assert_rejected(await queued.response())
            release.set()
            assert (await prioritized.response()).status_code == 200
            assert (await in_flight.response()).status_code == 200

    run_async(test())


def test_a_request_queued_until_its_deadline_is_never_started() -> None:
    async def test() -> None:
        async with running_inbound(never_respond, slots=1, waiting=4) as inbound:
            await inbound.start_canje()
            assert_rejected(await inbound.request("canje", "2" * 16, "150m"))
            assert inbound.application.received_count == 1
            assert list(inbound.listener.requests) == [b"1" * 16]

    run_async(test())


def test_a_request_skipped_in_the_queue_is_still_answered_once() -> None:
    """Guards against a request without a response: its deadline passes while a slot becomes free.

    The request is not started, and its deadline timer rejects it.
    """
    release = asyncio.Event()

    async def test() -> None:
        async with running_inbound(respond_after(release), slots=1, waiting=4) as inbound:
            in_flight = await inbound.start_canje()
            queued = await inbound.queue_canje()
            inbound.listener.admission.queue[0].deadline = 0.0
            release.set()
            assert (await in_flight.response()).status_code == 200
            assert inbound.application.received_count == 1
            inbound.listener._on_deadline(inbound.listener.requests[b"2" * 16])
            assert_rejected(await queued.response())
            assert not inbound.listener.requests

    run_async(test())


def test_a_disconnect_removes_a_queued_request_and_ends_the_attempt_of_one_in_flight() -> None:
    """Guards against overload by abandoned requests that the application still processes.

    The slot stays in use for the mean latency, because the application may not detect the closed connection.
    """

    async def test() -> None:
        async with running_inbound(never_respond, slots=1, waiting=4) as inbound:
            inbound.listener.admission.mean_latency = 0.6
            in_flight = await inbound.start_canje()
            started_at = time.monotonic()
            queued = await inbound.queue_canje()
            queued.writer.close()
            await until(lambda: not inbound.listener.admission.queue)
            in_flight.writer.close()
            await until(lambda: not inbound.listener.unanswered_count)
            assert inbound.listener.admission.in_flight == 1
            assert inbound.listener.abandoned_count == 1
            assert not inbound.listener.requests
            pool = inbound.listener.application_pool
            await until(lambda: len(pool.connections) <= len(pool.idle), "only idle connections")
            await until(lambda: inbound.listener.admission.in_flight == 0)
            assert time.monotonic() - started_at >= 0.5
            assert inbound.application.received_count == 1

    run_async(test())


def test_a_disconnect_before_the_upstream_connection_is_up_sends_nothing() -> None:
    async def test() -> None:
        async with running_inbound() as inbound:
            inbound.listener.application_pool.close_idle()
            request = inbound.listener.start_request(
                create_request(b"1" * 16, 5.0), RecordingResponseWriter()
            )
            assert request is not None
            assert request.attempt is not None
            assert not request.attempt.sent
            inbound.listener.client_disconnected(request)
            await until(lambda: not inbound.listener.requests)
            assert inbound.application.received_count == 0
            assert inbound.listener.admission.in_flight == 0

    run_async(test())


def test_reloaded_slots_are_in_force_at_once() -> None:
    release = asyncio.Event()

    async def test() -> None:
        async with running_inbound(respond_after(release), slots=1, waiting=4) as inbound:
            clients = [await inbound.connect() for _ in range(2)]
            for number, client in enumerate(clients):
                client.send("canje", f"{number:016x}", "5000m")
            await inbound.wait_for_queued()
            inbound.listener.update(dataclasses.replace(inbound.listener.sidecar, slots=2))
            await inbound.wait_for_received(2)
            release.set()
            assert [(await client.response()).status_code for client in clients] == [200, 200]

    run_async(test())
