"""Inbound listener with an application that is down, slow, unready, crashed or restarted."""

from __future__ import annotations

import asyncio
import time

import pytest
from inbound_harness import (
    assert_rejected,
    never_respond,
    running_inbound,
)
from net_harness import ReceivedRequest, respond_ok, run_async

from harness.event_loop import until
from service_proxy.sidecar.admission import ApplicationSignal, ApplicationState


def test_requests_for_an_application_that_is_not_running_are_rejected_at_once() -> None:
    async def test() -> None:
        async with running_inbound(started=False) as inbound:
            assert await inbound.get("/healthz") == (503, b"the application is starting\n")
            assert (await inbound.get("/load"))[0] == 503
            answer = await inbound.request("canje", "1" * 16)
            assert_rejected(answer)
            assert float(answer.headers["retry-after"]) == 1.0
            await inbound.application.start()
            await inbound.wait_for_state(ApplicationState.UP)
            assert (await inbound.get("/healthz"))[0] == 200
            assert (await inbound.request("canje", "2" * 16)).status_code == 200

    run_async(test())


def test_an_application_that_answers_no_probe_gets_no_new_request() -> None:
    async def test() -> None:
        async with running_inbound() as inbound:
            inbound.application.health_check_result = None
            await inbound.wait_for_state(ApplicationState.SLOW)
            assert await inbound.get("/healthz") == (503, b"the application is slow\n")
            answer = await inbound.request("canje", "1" * 16)
            assert_rejected(answer)
            assert inbound.application.received_count == 0
            inbound.application.health_check_result = True
            await inbound.wait_for_state(ApplicationState.UP)
            assert (await inbound.request("canje", "2" * 16)).status_code == 200
            # The application was not restarted, so it is not warming up.
            assert inbound.listener.admission.concurrency_limit(0.0) == inbound.listener.sidecar.slots

    run_async(test())


def test_an_application_that_is_not_ready_gets_no_new_request() -> None:
    async def test() -> None:
        async with running_inbound() as inbound:
            inbound.application.health_check_result = False
            await inbound.wait_for_state(ApplicationState.UNREADY)
            assert (await inbound.request("canje", "1" * 16)).status_code == 503

    run_async(test())


def test_a_crash_fails_requests_in_flight_rejects_queued_ones_and_begins_a_slow_start() -> None:
    async def test() -> None:
        async with running_inbound(never_respond, slots=2, waiting=4) as inbound:
            clients = [await inbound.connect() for _ in range(4)]
            for number, client in enumerate(clients):
                client.send("canje", f"{number:016x}", "5000m")
                await inbound.wait_for_open_requests(number + 1)
            await inbound.wait_for_received(2)
            assert len(inbound.listener.admission.queue) == 2
            started_at = asyncio.get_running_loop().time()
            await inbound.application.stop()
            for writer in inbound.application.writers:
                writer.transport.abort()
            answers = [await client.response() for client in clients]
            # The responses arrive at once, not at the deadlines after 5 s.
            assert asyncio.get_running_loop().time() - started_at < 2.5
            assert [answer.status_code for answer in answers[:2]] == [502, 502]  # the requests may have run
            assert all("x-rejected" not in answer.headers for answer in answers[:2])
            await inbound.wait_for_state(ApplicationState.DOWN)
            for answer in answers[2:]:
                assert_rejected(answer)
            inbound.application.respond = respond_ok
            await inbound.application.start()
            await inbound.wait_for_state(ApplicationState.UP)
            now = asyncio.get_running_loop().time()
            # The initial share is 16% of 2 slots, and the limit is at least 1.
            assert inbound.listener.admission.concurrency_limit(now) == 1
            assert (await inbound.request("canje", "f" * 16)).status_code == 200

    run_async(test())


@pytest.mark.parametrize("another_stays", [False, True])
def test_a_restart_between_two_probes_is_detected_by_all_connections_breaking(another_stays: bool) -> None:
    """Guards against an undetected restart when a supervisor starts the next process at once.

    The application's listener never refuses a connection. If `another_stays`, the connection of another
    request stays open, so the end of one connection does not indicate a restart.
    """

    async def handle(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.target.startswith("/canje"):
            writer.transport.abort()
        else:
            await asyncio.Event().wait()

    async def test() -> None:
        async with running_inbound(handle, slots=8) as inbound:
            if another_stays:
                other = await inbound.connect()
                other.send("reserva", "2" * 16, "3900m")
                await inbound.wait_for_received(1)
            else:
                inbound.listener.application_pool.close_idle()
            assert (await inbound.request("canje", "1" * 16)).status_code == 502
            await until(
                lambda: inbound.state is ApplicationState.UP and not inbound.listener.health_check_in_flight
            )
            limit = inbound.listener.admission.concurrency_limit(asyncio.get_running_loop().time())
            assert limit == (8 if another_stays else 1)

    run_async(test())


def test_an_application_without_a_listener_stays_down_though_idle_connections_answer() -> None:
    """Guards against a flapping state of a draining application.

    Open connections are still served while new connections are refused.
    """

    async def test() -> None:
        async with running_inbound(slots=4) as inbound:
            clients = [await inbound.connect() for _ in range(2)]
            for client in clients:  # leaves two idle connections open
                client.send("canje", f"{id(client):016x}")
            assert [(await client.response()).status_code for client in clients] == [200, 200]
            assert inbound.application.server is not None
            inbound.application.server.close()
            states = [inbound.listener.admission.on_signal(ApplicationSignal.REFUSED, time.monotonic())]
            inbound.listener._check_health()
            await until(lambda: not inbound.listener.health_check_in_flight)
            states.append(inbound.state)
            assert states == [ApplicationState.DOWN, ApplicationState.DOWN]

    run_async(test())


def test_queued_requests_of_an_application_that_becomes_unready_are_rejected_at_once() -> None:
    async def test() -> None:
        async with running_inbound(never_respond, slots=1, waiting=4) as inbound:
            await inbound.start_canje()
            started_at = time.monotonic()
            queued = await inbound.queue_canje("5900m")
            inbound.application.health_check_result = False
            answer = await queued.response()
            assert answer.body == b"the application is unready\n"
            assert answer.headers["x-rejected"] == "1"
            assert time.monotonic() - started_at < 3.0
            assert inbound.application.received_count == 1

    run_async(test())
