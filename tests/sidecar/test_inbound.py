"""The inbound side over loopback: what callers are told of an application that is down, slow, cut or busy."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest
from net_harness import Client, EndpointServer, ReceivedRequest, next_request, respond_ok, response, run_async
from test_description import PLAIN

from harness.event_loop import until
from harness.proxy_process import free_port
from service_proxy.net.downstream import Request
from service_proxy.net.request_body import RequestBody
from service_proxy.sidecar.admission import ApplicationSignal, ApplicationState
from service_proxy.sidecar.description import LayeredReader, build
from service_proxy.sidecar.inbound import InboundListener
from service_proxy.sidecar.model import Description


def described(**changes: Any) -> Description:
    """One application of the tier nucleo, which calls nobody."""
    layers = LayeredReader("app.toml")

    layers.add_layer("app.toml", PLAIN, tomllib.loads(PLAIN))
    description = build(layers)
    assert description is not None
    sidecar = dataclasses.replace(description.sidecars[1], inbound=f"127.0.0.1:{free_port()}", **changes)
    return dataclasses.replace(description, sidecars=(sidecar,))


class Side:
    def __init__(self, inbound: InboundListener, application: EndpointServer) -> None:
        self.inbound = inbound
        self.application = application

    @property
    def state(self) -> ApplicationState:
        return self.inbound.admission.state

    async def caller(self) -> Client:
        host, _, port = self.inbound.sidecar.inbound.rpartition(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def page(self, path: str) -> tuple[int, bytes]:
        answer = await (await self.caller()).send_raw(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return answer.status_code, answer.body

    async def becomes(self, state: ApplicationState) -> None:
        await until(lambda: self.state is state, f"{state}, not {self.state}")


@contextlib.asynccontextmanager
async def side(
    behave: Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]] = respond_ok,
    application: EndpointServer | None = None,
    started: bool = True,
    **changes: Any,
) -> AsyncIterator[Side]:
    application = application or EndpointServer(behave)
    if started:
        await application.start()
    else:
        application.address = f"127.0.0.1:{free_port()}"
    description = described(application=application.address, **changes)
    inbound = InboundListener(description, description.sidecars[0], 256, 64)
    await inbound.start()
    made = Side(inbound, application)
    try:
        if started and application.health_answer:
            await made.becomes(ApplicationState.UP)
        yield made
    finally:
        inbound.stop()
        inbound.close()
        await application.stop()


def test_a_call_goes_to_the_application_whole_with_what_is_left_of_its_time() -> None:
    async def test() -> None:
        async with side() as made:
            caller = await made.caller()
            answer = await caller.request(
                "reserva", "1" * 16, "900m", b"pack", Cookie="sid=7", X_Caller="app"
            )
            assert answer.status_code == 200 and answer.body == b"done " + b"1" * 16
            seen = await next_request(made.application)
            assert (seen.method, seen.target, seen.body) == ("POST", "/reserva?q=1", b"pack")
            assert seen.headers["idempotency-key"] == "k" + "1" * 16 and seen.headers["cookie"] == "sid=7"
            assert 500_000 < int(seen.headers["x-budget"].removesuffix("u")) < 900_000

    run_async(test())


@pytest.mark.parametrize("code", [204, 304, 404, 409, 500, 503])
def test_the_applications_own_answer_is_passed_on(code: int) -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if code in (204, 304):
            writer.write(b"HTTP/1.1 %d X\r\nX-Own: 1\r\n\r\n" % code)
        else:
            writer.write(
                response(code, b"own", X_Own="1", X_Load_Report="inflight=9", Connection="keep-alive")
            )

    async def test() -> None:
        async with side(behave) as made:
            caller = await made.caller()
            for number in range(2):  # the next answer on the connection is not spoilt by the first
                answer = await caller.request("canje", f"{number:016x}")
                assert (answer.status_code, answer.headers["x-own"]) == (code, "1")
                assert answer.body == (b"" if code in (204, 304) else b"own")
                assert "x-rejected" not in answer.headers and "x-load-report" not in answer.headers
                assert ("content-length" in answer.headers) is (code not in (204, 304))

    run_async(test())


def test_an_application_that_says_that_it_never_ran_a_call_is_believed() -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(503, X_Rejected="1"))

    async def test() -> None:
        async with side(behave) as made:
            answer = await (await made.caller()).request("canje", "1" * 16)
            assert answer.status_code == 503 and answer.headers["x-rejected"] == "1"

    run_async(test())


def test_an_application_that_is_not_there_is_told_at_once_as_never_ran() -> None:
    async def test() -> None:
        async with side(started=False) as made:
            assert await made.page("/healthz") == (503, b"the application is starting\n")
            assert (await made.page("/load"))[0] == 503
            answer = await (await made.caller()).request("canje", "1" * 16)
            assert answer.status_code == 503 and answer.headers["x-rejected"] == "1"
            assert float(answer.headers["retry-after"]) == 1.0
            await made.application.start()
            await made.becomes(ApplicationState.UP)
            assert (await made.page("/healthz"))[0] == 200
            assert (await (await made.caller()).request("canje", "2" * 16)).status_code == 200

    run_async(test())


def test_a_call_that_the_application_may_have_run_is_never_said_to_be_harmless() -> None:
    """The connection breaks after the request: 502, no X-Rejected; and it says so as soon as it is so."""

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def test() -> None:
        async with side(behave) as made:
            answer = await (await made.caller()).request("canje", "1" * 16, "5000m")
            assert (
                answer.status_code == 502
                and "x-rejected" not in answer.headers
                and "retry-after" not in answer.headers
            )
            assert made.application.received_count == 1

    run_async(test())


def test_a_slow_application_costs_the_call_its_time_and_no_more() -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave) as made:
            begun = asyncio.get_running_loop().time()
            answer = await (await made.caller()).request("canje", "1" * 16, "200m")
            assert answer.status_code == 504 and "x-rejected" not in answer.headers
            assert asyncio.get_running_loop().time() - begun < 1.0
            assert made.inbound.admission.in_flight == 0 and not made.inbound.requests

    run_async(test())


def test_an_application_that_answers_no_probe_is_given_nothing_new() -> None:
    async def test() -> None:
        async with side() as made:
            made.application.health_answer = None
            await made.becomes(ApplicationState.SLOW)
            assert await made.page("/healthz") == (503, b"the application is slow\n")
            answer = await (await made.caller()).request("canje", "1" * 16)
            assert (
                answer.status_code == 503
                and answer.headers["x-rejected"] == "1"
                and made.application.received_count == 0
            )
            made.application.health_answer = True
            await made.becomes(ApplicationState.UP)
            assert (await (await made.caller()).request("canje", "2" * 16)).status_code == 200
            assert (
                made.inbound.admission.concurrency_limit(0.0) == made.inbound.sidecar.slots
            )  # the same process: not cold

    run_async(test())


def test_an_application_that_says_it_is_not_ready_is_given_nothing_new() -> None:
    async def test() -> None:
        async with side() as made:
            made.application.health_answer = False
            await made.becomes(ApplicationState.UNREADY)
            assert (await (await made.caller()).request("canje", "1" * 16)).status_code == 503

    run_async(test())


def test_a_crash_fails_what_is_out_refuses_what_waits_and_warms_up_what_returns() -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave, slots=2, waiting=4) as made:
            callers = [await made.caller() for _ in range(4)]
            for number, caller in enumerate(callers):
                caller.send("canje", f"{number:016x}", "5000m")
                await until(lambda n=number: len(made.inbound.requests) == n + 1)  # type: ignore[misc]
            await until(lambda: made.application.received_count == 2)
            assert len(made.inbound.admission.queue) == 2
            begun = asyncio.get_running_loop().time()
            await made.application.stop()
            for writer in made.application.writers:
                writer.transport.abort()
            answers = [await caller.response() for caller in callers]
            assert asyncio.get_running_loop().time() - begun < 2.5  # at once, not at the end of their 5 s
            assert [answer.status_code for answer in answers[:2]] == [502, 502]  # they may have run
            assert all("x-rejected" not in answer.headers for answer in answers[:2])
            await made.becomes(ApplicationState.DOWN)
            for answer in answers[2:]:
                assert answer.status_code == 503 and answer.headers["x-rejected"] == "1"
            made.application.respond = respond_ok
            await made.application.start()
            await made.becomes(ApplicationState.UP)
            now = asyncio.get_running_loop().time()
            assert made.inbound.admission.concurrency_limit(now) == 1  # of 2, at 16%
            assert (await (await made.caller()).request("canje", "f" * 16)).status_code == 200

    run_async(test())


def test_slots_bound_what_the_application_has_at_a_time_and_the_load_says_so() -> None:
    release = asyncio.Event()

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(seen, writer)

    async def test() -> None:
        async with side(behave, slots=2, waiting=1) as made:
            callers = [await made.caller() for _ in range(4)]
            for number, caller in enumerate(callers[:3]):
                caller.send("canje", f"{number:016x}", "5000m")
                await until(lambda n=number: len(made.inbound.requests) == n + 1)  # type: ignore[misc]
            await until(lambda: made.application.received_count == 2)
            assert await made.page("/load") == (200, b"inflight=3,queue=1\n")
            refused = await callers[3].request("canje", "f" * 16, "5000m")
            assert refused.status_code == 503 and refused.headers["x-rejected"] == "1"
            assert 0.05 <= float(refused.headers["retry-after"]) <= 1.0
            release.set()
            assert [(await caller.response()).status_code for caller in callers[:3]] == [200, 200, 200]
            assert made.application.received_count == 3

    run_async(test())


def test_stock_takes_the_place_of_a_canje_that_waits() -> None:
    release = asyncio.Event()

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(seen, writer)

    async def test() -> None:
        async with side(behave, slots=1, waiting=1) as made:
            out, waits, worthy = [await made.caller() for _ in range(3)]
            out.send("canje", "1" * 16, "5000m")
            await until(lambda: made.application.received_count == 1)
            waits.send("canje", "2" * 16, "5000m")
            await until(lambda: made.inbound.admission.queue)
            worthy.send("stock", "3" * 16, "5000m")
            answer = await waits.response()
            assert answer.status_code == 503 and answer.headers["x-rejected"] == "1"
            release.set()
            assert (await worthy.response()).status_code == 200 and (await out.response()).status_code == 200

    run_async(test())


def test_what_waited_as_long_as_its_caller_would_was_never_begun() -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave, slots=1, waiting=4) as made:
            out = await made.caller()
            waits = await made.caller()
            out.send("canje", "1" * 16, "5000m")
            await until(lambda: made.application.received_count == 1)
            answer = await waits.request("canje", "2" * 16, "150m")
            assert answer.status_code == 503 and answer.headers["x-rejected"] == "1"
            assert made.application.received_count == 1 and list(made.inbound.requests) == [b"1" * 16]

    run_async(test())


def test_what_was_passed_over_in_the_queue_is_still_answered_once() -> None:
    """Its time is up in the moment in which a slot gets free: it is not begun, and its timer refuses it."""
    release = asyncio.Event()

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(seen, writer)

    async def test() -> None:
        async with side(behave, slots=1, waiting=4) as made:
            out = await made.caller()
            waits = await made.caller()
            out.send("canje", "1" * 16, "5000m")
            await until(lambda: made.application.received_count == 1)
            waits.send("canje", "2" * 16, "5000m")
            await until(lambda: made.inbound.admission.queue)
            made.inbound.admission.queue[0].deadline = 0.0
            release.set()
            assert (await out.response()).status_code == 200 and made.application.received_count == 1
            held = made.inbound.requests[b"2" * 16]
            made.inbound._on_deadline(held)
            answer = await waits.response()
            assert (
                answer.status_code == 503
                and answer.headers["x-rejected"] == "1"
                and not made.inbound.requests
            )

    run_async(test())


def test_a_caller_that_left_while_waiting_is_not_begun_and_one_that_left_later_ends_its_attempt() -> None:
    """Its slot stays taken for as long as such a call usually takes: an application need not look."""

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave, slots=1, waiting=4) as made:
            made.inbound.admission.mean_latency = 0.6
            out = await made.caller()
            waits = await made.caller()
            out.send("canje", "1" * 16, "5000m")
            await until(lambda: made.application.received_count == 1)
            begun = time.monotonic()
            waits.send("canje", "2" * 16, "5000m")
            await until(lambda: made.inbound.admission.queue)
            waits.writer.close()
            await until(lambda: not made.inbound.admission.queue)
            out.writer.close()
            await until(lambda: not made.inbound.unanswered)
            assert (made.inbound.admission.in_flight, made.inbound.abandoned) == (
                1,
                1,
            ) and not made.inbound.requests
            upstream = made.inbound.application_pool  # whose connections that are in use are gone
            await until(lambda: len(upstream.connections) <= len(upstream.idle))
            await until(lambda: made.inbound.admission.in_flight == 0)
            assert time.monotonic() - begun >= 0.5 and made.application.received_count == 1

    run_async(test())


def test_a_second_call_of_one_id_is_refused_as_never_ran_while_the_first_is_out() -> None:
    release = asyncio.Event()

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(seen, writer)

    async def test() -> None:
        async with side(behave) as made:
            first = await made.caller()
            second = await made.caller()
            first.send("canje", "1" * 16, "5000m")
            await until(lambda: made.application.received_count == 1)
            answer = await second.request("canje", "1" * 16, "5000m")
            assert (
                answer.status_code == 503
                and answer.headers["x-rejected"] == "1"
                and made.application.received_count == 1
            )
            release.set()
            assert (await first.response()).status_code == 200

    run_async(test())


def test_a_class_that_the_tier_does_not_serve_is_refused() -> None:
    async def test() -> None:
        async with side() as made:
            answer = await (await made.caller()).request("otro", "1" * 16)
            assert answer.status_code == 404 and made.application.received_count == 0

    run_async(test())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"\x00\x01\x02garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
    ],
)
def test_an_answer_that_is_cut_or_no_http_is_a_failure_that_may_have_run(answer: bytes) -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def test() -> None:
        async with side(behave) as made:
            told = await (await made.caller()).request("canje", "1" * 16)
            assert told.status_code == 502 and "x-rejected" not in told.headers

    run_async(test())


def test_a_drain_tells_by_its_health_serves_what_still_comes_and_then_nothing() -> None:
    async def test() -> None:
        async with side() as made:
            kept = await made.caller()
            assert (await kept.request("canje", "1" * 16)).status_code == 200
            made.inbound.drain(asyncio.get_running_loop().time() + 60.0)
            assert await made.page("/healthz") == (503, b"draining\n")
            assert (await kept.request("canje", "2" * 16)).status_code == 200
            made.inbound.close()
            answer = await kept.request("canje", "3" * 16)
            assert (
                answer.status_code == 503
                and answer.headers["x-rejected"] == "1"
                and made.application.received_count == 2
            )
            with pytest.raises(OSError):
                await made.caller()

    run_async(test())


def test_what_is_out_at_a_drain_is_answered_before_the_end() -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave) as made:
            caller = await made.caller()
            caller.send("canje", "1" * 16, "6000m")
            await until(lambda: made.application.received_count == 1)
            begun = asyncio.get_running_loop().time()
            made.inbound.drain(begun + 0.2)
            assert (await caller.response()).status_code == 504
            assert asyncio.get_running_loop().time() - begun < 2.0

    run_async(test())


def test_new_slots_are_in_force_at_once() -> None:
    release = asyncio.Event()

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(seen, writer)

    async def test() -> None:
        async with side(behave, slots=1, waiting=4) as made:
            callers = [await made.caller() for _ in range(2)]
            for number, caller in enumerate(callers):
                caller.send("canje", f"{number:016x}", "5000m")
            await until(lambda: made.inbound.admission.queue)
            made.inbound.update(dataclasses.replace(made.inbound.sidecar, slots=2))
            await until(lambda: made.application.received_count == 2)
            release.set()
            assert [(await caller.response()).status_code for caller in callers] == [200, 200]

    run_async(test())


@pytest.mark.parametrize("another", [False, True])
def test_a_restart_between_two_probes_is_seen_by_all_its_connections_breaking(another: bool) -> None:
    """The listener is there all the time, as with a supervisor that starts the next process at once. Where
    `another` connection stands, it was one connection's end."""

    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if seen.target.startswith("/canje"):
            writer.transport.abort()
        else:
            await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave, slots=8) as made:
            if another:
                other = await made.caller()
                other.send("reserva", "2" * 16, "3900m")
                await until(lambda: made.application.received_count == 1)
            else:
                made.inbound.application_pool.close_idle()
            assert (await (await made.caller()).request("canje", "1" * 16)).status_code == 502
            await until(lambda: made.state is ApplicationState.UP and not made.inbound.health_check_in_flight)
            room = made.inbound.admission.concurrency_limit(asyncio.get_running_loop().time())
            assert room == (8 if another else 1)

    run_async(test())


def test_an_application_that_closed_its_listener_stays_down_though_kept_connections_answer() -> None:
    """It drains: who has a connection is served, and nobody new. Up and down in turns would be worse."""

    async def test() -> None:
        async with side(slots=4) as made:
            callers = [await made.caller() for _ in range(2)]
            for caller in callers:  # two kept connections
                caller.send("canje", f"{id(caller):016x}")
            assert [(await caller.response()).status_code for caller in callers] == [200, 200]
            assert made.application.server is not None
            made.application.server.close()
            states = [made.inbound.admission.on_signal(ApplicationSignal.REFUSED, time.monotonic())]
            made.inbound._check_health()
            await until(lambda: not made.inbound.health_check_in_flight)
            states.append(made.state)
            assert states == [ApplicationState.DOWN, ApplicationState.DOWN]

    run_async(test())


class Caught:
    """A reply that keeps what it is told."""

    def __init__(self) -> None:
        self.codes: list[int] = []

    def respond(self, code: int, headers: Any, body: bytes) -> None:
        self.codes.append(code)

    def stream(self, headers: Any, length: int | None, source: Any) -> None:
        raise AssertionError("an application's answer is held until it is whole")


def request(id: bytes, budget: float, cls: str = "canje") -> Request:
    head = b"POST /%s HTTP/1.1\r\nhost: x\r\nx-call-id: %s\r\n" % (cls.encode(), id)
    return Request(id, cls, budget, "", "", 0.0, False, head, RequestBody.of(b""), time.monotonic())


def test_a_caller_that_left_while_the_connection_was_being_made_costs_the_application_nothing() -> None:
    async def test() -> None:
        async with side() as made:
            made.inbound.application_pool.close_idle()
            held = made.inbound.start_request(request(b"1" * 16, 5.0), Caught())
            assert held is not None and held.attempt is not None and not held.attempt.sent
            made.inbound.client_disconnected(held)
            await until(lambda: not made.inbound.requests)
            assert made.application.received_count == 0 and made.inbound.admission.in_flight == 0

    run_async(test())


def test_no_call_is_held_for_longer_than_its_class_or_the_end_of_the_process_allows() -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave) as made:
            begun = time.monotonic()
            held = made.inbound.start_request(request(b"1" * 16, 60.0), Caught())
            assert held is not None and held.deadline - begun <= 6.0
            made.inbound.drain(begun + 0.3)
            reply = Caught()
            assert made.inbound.start_request(request(b"2" * 16, 5.0), reply) is not None
            await until(lambda: reply.codes == [504])
            assert time.monotonic() - begun < 2.0

    run_async(test())


def test_who_waits_for_an_application_that_says_it_cant_is_refused_at_once() -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        async with side(behave, slots=1, waiting=4) as made:
            out = await made.caller()
            waits = await made.caller()
            out.send("canje", "1" * 16, "5000m")
            await until(lambda: made.application.received_count == 1)
            begun = time.monotonic()
            waits.send("canje", "2" * 16, "5900m")
            await until(lambda: made.inbound.admission.queue)
            made.application.health_answer = False
            answer = await waits.response()
            assert answer.body == b"the application is unready\n" and answer.headers["x-rejected"] == "1"
            assert time.monotonic() - begun < 3.0 and made.application.received_count == 1

    run_async(test())
