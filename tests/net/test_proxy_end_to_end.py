"""The program itself, over loopback sockets: what ends an attempt, the rules, bad input, limits, SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
from collections import Counter
from typing import Any

import pytest
from net_harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    DiscoveryServer,
    EndpointServer,
    ReceivedRequest,
    config,
    endpoint_entry,
    endpoint_list,
    next_request,
    proxy_under_test,
    respond_ok,
    response,
    run_async,
    start_proxy,
)


def test_a_request_is_forwarded_unchanged_and_its_response_comes_back() -> None:
    async def test() -> None:
        body = bytes(range(256)) * 256  # 64 KiB

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(200, seen.body[::-1], X_Load_Report="inflight=1", X_Note="yes"))

        backend = EndpointServer(behave)
        async with proxy_under_test({"s-1": backend}) as node:
            caller = await node.connect()
            more = {"Cookie": "sid=7f", "X_Caller": "acme"}
            reply = await caller.request("reserva", "9b1f03aa5c7e2d41", body=body, **more)
            seen = await next_request(backend)
        assert (reply.status_code, reply.body) == (200, body[::-1])
        assert reply.headers["x-note"] == "yes" and "x-load-report" not in reply.headers
        assert (seen.method, seen.target, seen.body) == ("POST", "/reserva?q=1", body)
        assert seen.headers["x-call-id"] == "9b1f03aa5c7e2d41"
        assert seen.headers["idempotency-key"] == "k9b1f03aa5c7e2d41"
        assert seen.headers["cookie"] == "sid=7f" and seen.headers["x-caller"] == "acme"
        assert seen.headers["x-budget"].endswith("u") and int(seen.headers["x-budget"][:-1]) < 1_000_000

    run_async(test())


def test_upstream_connections_are_pooled_and_the_last_used_is_reused_first() -> None:
    async def test() -> None:
        backend = EndpointServer()
        async with proxy_under_test({"s-1": backend}) as node:
            caller = await node.connect()
            for number in range(5):
                assert (await caller.request("canje", f"{number:016x}")).status_code == 200
            numbers = {(await next_request(backend)).connection for _ in range(5)}
        assert len(numbers) == 1

    run_async(test())


async def rejected(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(503, X_Rejected="1"))


async def error(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(503, b"no mark, so it may have run"))


async def reset(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def cut_short(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    await writer.drain()
    writer.close()


async def garbage(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"\x00\x01 this is not HTTP\r\n\r\n")


async def twice(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" * 2)


async def silent(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    return


@pytest.mark.parametrize("behave", [error, reset, cut_short, garbage, twice, silent])
def test_a_request_that_is_not_idempotent_and_may_be_executed_fails_after_one_attempt(behave: Any) -> None:
    """Guards rule 2: any end but a marked rejection may have run, so neither a resend nor a refusal."""

    async def test() -> None:
        backends = {"s-1": EndpointServer(behave), "s-2": EndpointServer(behave)}
        async with proxy_under_test(backends) as node:
            reply = await (await node.connect()).request("canje", "a" * 16, budget="700m")
        assert reply.status_code in (502, 504)
        assert "retry-after" not in reply.headers
        assert sum(backend.received_count for backend in backends.values()) == 1

    run_async(test())


def test_a_rejection_marked_as_never_executed_is_retried_on_another_endpoint() -> None:
    async def test() -> None:
        backends = {"s-1": EndpointServer(rejected), "s-2": EndpointServer()}
        async with proxy_under_test(backends) as node:
            caller = await node.connect()
            replies = [(await caller.request("canje", f"{n:016x}")).status_code for n in range(4)]
        assert replies == [200] * 4

    run_async(test())


def test_a_keyed_request_that_may_be_executed_is_retried_only_within_its_zone() -> None:
    """Guards rule 2 for keyed calls: only the backends of one zone drop each other's repeats."""

    async def test() -> None:
        async def once(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if broken:
                await respond_ok(seen, writer)
            else:
                broken.append(seen)
                writer.transport.abort()

        broken: list[ReceivedRequest] = []
        near = [EndpointServer(once), EndpointServer(once)]
        far = [EndpointServer(once), EndpointServer(once)]
        discovery = await DiscoveryServer().start()
        for backend in (*near, *far):
            await backend.start()
        discovery.publish(
            2,
            *(endpoint_entry(f"s-{n}", backend.address) for n, backend in enumerate(near)),
            *(endpoint_entry(f"s-{n}", backend.address, zone="b") for n, backend in enumerate(far, 2)),
        )
        async with proxy_under_test({"s-0": near[0]}, discovery) as node:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await discovery.polls.get()
                await discovery.polls.get()  # the list is taken
            reply = await (await node.connect()).request("reserva", "7" * 16, budget="3500m")
            assert reply.status_code == 200
        counts = [sum(backend.received_count for backend in zone) for zone in (near, far)]
        assert sorted(counts) == [0, 2]
        for backend in (*near, *far):
            await backend.stop()

    run_async(test())


def test_discovery_that_is_down_is_polled_again_and_the_cached_list_stays() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        backend = EndpointServer()
        async with proxy_under_test({"s-1": backend}, discovery) as node:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await discovery.polls.get()
                discovery.changes.put_nowait(response(503))
                await discovery.polls.get()
                discovery.changes.put_nowait(b"no HTTP at all")
                await discovery.polls.get()
            assert (await (await node.connect()).request("stock", "1" * 16)).status_code == 200

    run_async(test())


def test_without_a_serving_endpoint_a_request_is_rejected_at_once_with_retry_after() -> None:
    """The connection failed before a byte was written, so a refusal is harmless; it is not held back."""

    async def test() -> None:
        gone = await EndpointServer().start()
        await gone.stop()
        async with proxy_under_test({"s-1": gone}) as node:
            begun = asyncio.get_running_loop().time()
            reply = await (await node.connect()).request("canje", "b" * 16, budget="5000m")
            took = asyncio.get_running_loop().time() - begun
        assert reply.status_code == 503
        assert 0 < float(reply.headers["retry-after"]) <= 2.0
        assert took < 3.0

    run_async(test())


def test_an_endpoint_that_contradicts_a_silent_watch_makes_the_proxy_poll_again() -> None:
    """The first watch is taken and never answered, while a backend goes and another comes."""

    async def test() -> None:
        discovery = await DiscoveryServer().start()
        gone = EndpointServer()
        stays = EndpointServer()
        comes = await EndpointServer().start()
        async with proxy_under_test({"s-1": gone, "s-2": stays}, discovery) as node:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert "from=1" in await discovery.polls.get()
            await gone.stop()
            caller = await node.connect()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                number = 0
                while discovery.polls.empty():
                    number += 1
                    await caller.request("stock", f"{number:016x}")
                    await asyncio.sleep(0.02)
                assert "from=1" in await discovery.polls.get()
            for _ in range(2):  # the first is taken by the silent connection
                discovery.publish(
                    2, endpoint_entry("s-1", gone.address, "Gone"), endpoint_entry("s-3", comes.address)
                )
            await stays.stop()  # else chance decides how soon the new one is preferred to it
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not comes.received_count:
                    number += 1
                    await caller.request("stock", f"{number:016x}")
                    await asyncio.sleep(0.02)
        await comes.stop()

    run_async(test())


def test_one_fault_at_the_start_does_not_keep_the_concurrency_limit_low() -> None:
    """An instance that gets several times the others' calls: after one early error it takes the calls that
    its server bears, and does not refuse them for minutes."""
    # s, that the server takes for each call; at once
    service = 0.25
    callers = 60
    wanted = 40

    async def test() -> None:
        out = 0
        most = 0
        answered = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal out, most
            if backend.received_count == 1:
                writer.write(response(500))
                return
            out += 1
            most = max(most, out)
            await asyncio.sleep(service)
            out -= 1
            writer.write(response(200, b"done"))
            if (
                most >= wanted or backend.received_count > 400
            ):  # from 4, by a quarter call a round, it would be at 29
                answered.set()

        async def calls(number: int) -> None:
            caller = await node.connect()
            for count in range(1000):
                answer = await caller.request("canje", f"{number:08x}{count:08x}", budget="20000m")
                if answer.status_code == 503:
                    await asyncio.sleep(float(answer.headers["retry-after"]))

        backend = EndpointServer(behave)
        grade = {**SETTINGS["grades"][2], "deadline": 20.0}
        async with proxy_under_test({"s-1": backend}, grades=[*SETTINGS["grades"][:2], grade]) as node:
            asking = [asyncio.create_task(calls(number)) for number in range(callers)]
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await answered.wait()
            for task in asking:
                task.cancel()
            assert most >= wanted, f"at most {most} calls were out at once"

    run_async(test())


def test_a_quick_class_of_low_priority_is_not_shed_for_a_slow_one_of_high_priority() -> None:
    """An instance with many times the calls that it may have out refuses by worth. Of two classes the cheaper
    one may be worth more for the time that its calls take: then both have their part."""
    # s of a server's slot; worth 2 and 3
    slots = 4
    spans = {"reserva": 0.05, "canje": 0.2}

    async def test() -> None:
        codes: dict[str, Counter[int]] = {name: Counter() for name in spans}
        room = asyncio.Semaphore(slots)
        enough = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            async with room:
                await asyncio.sleep(spans[seen.target[1:].partition("?")[0]])
            writer.write(response(200, b"done"))

        async def calls(cls: str, number: int) -> None:
            caller = await node.connect()
            for count in range(1000):
                answer = await caller.request(cls, f"{number:08x}{count:08x}", budget="2000m")
                codes[cls][answer.status_code] += 1
                if codes["canje"].total() >= 600 and codes["reserva"].total() >= 600:
                    enough.set()
                if answer.status_code == 503:
                    await asyncio.sleep(0.1)

        grades = [
            {**grade, "value": value, "objective": 0.5, "deadline": 2.0}
            for grade, value in zip(SETTINGS["grades"], (12.0, 2.0, 3.0), strict=True)
        ]
        async with proxy_under_test({"s-1": EndpointServer(behave)}, grades=grades) as node:
            asking = [
                asyncio.create_task(calls(cls, 100 * place + number))
                for place, cls in enumerate(spans)
                for number in range(40)
            ]
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await enough.wait()
            for task in asking:
                task.cancel()
        served = {cls: codes[cls][200] / codes[cls].total() for cls in spans}
        assert codes["canje"][503] > 300, codes  # there was too much of it all
        assert served["reserva"] > 0.5 * served["canje"], codes

    run_async(test())


def test_a_late_response_reaches_nobody() -> None:
    """A timed out attempt gives up its connection: its answer must not become that of the next call."""

    async def test() -> None:
        held: list[asyncio.StreamWriter] = []

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] == "c" * 16:
                held.append(writer)
            else:
                await respond_ok(seen, writer)

        backend = EndpointServer(behave)
        async with proxy_under_test({"s-1": backend}) as node:
            caller = await node.connect()
            first = await caller.request("canje", "c" * 16, budget="400m")
            assert first.status_code in (502, 504)
            held[0].write(response(200, b"late"))
            second = await caller.request("canje", "d" * 16)
            assert (second.status_code, second.body) == (200, b"done " + b"d" * 16)

    run_async(test())


def test_a_draining_endpoint_gets_no_new_request_and_a_readdressed_one_no_old_connection() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        one = EndpointServer()
        two = await EndpointServer().start()
        moved = await EndpointServer().start()
        async with proxy_under_test({"s-1": one}, discovery) as node:
            caller = await node.connect()
            assert (await caller.request("canje", "0" * 16)).status_code == 200
            discovery.publish(
                2, endpoint_entry("s-1", one.address, "Terminating"), endpoint_entry("s-2", two.address)
            )
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await one.closed_connections.get()  # told: its idle connections close
            for number in range(1, 5):
                assert (await caller.request("canje", f"{number:016x}")).status_code == 200
            assert (one.received_count, two.received_count) == (1, 4)
            discovery.publish(3, endpoint_entry("s-2", moved.address))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await two.closed_connections.get()
            assert (await caller.request("canje", f"{9:016x}")).status_code == 200
            assert (two.received_count, moved.received_count) == (4, 1)
        await moved.stop()

    run_async(test())


def test_watches_follow_one_another_and_a_malformed_list_keeps_the_last_one() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        backend = EndpointServer()
        async with proxy_under_test({"s-1": backend}, discovery) as node:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await discovery.polls.get()).startswith("/v1/servers?from=1&hold_ms=")
                discovery.publish(7)
                assert (await discovery.polls.get()).startswith("/v1/servers?from=7&hold_ms=")
                discovery.changes.put_nowait(response(200, b'{"index": 9, "endpoints": [{"name": 3}]}'))
                assert (await discovery.polls.get()).startswith("/v1/servers?from=7&hold_ms=")
            assert (await (await node.connect()).request("stock", "1" * 16)).status_code == 200

    run_async(test())


HEAD = b" HTTP/1.1\r\nHost: x\r\nX-Call-Id: 0011223344556677\r\n"


@pytest.mark.parametrize(
    ("code", "data"),
    [
        (400, b"nonsense\r\n\r\n"),
        (400, b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Budget: 500m\r\n\r\n"),
        (400, b"GET /stock" + HEAD + b"\r\n"),
        (400, b"GET /stock" + HEAD + b"X-Budget: soon\r\n\r\n"),
        (400, b"GET /stock" + HEAD + b"X-Call-Id: 2\r\nX-Budget: 500m\r\n\r\n"),
        (400, b"POST /stock" + HEAD + b"X-Budget: 500m\r\nContent-Length: 0\r\n\r\n"),
        (400, b"GET /canje" + HEAD + b"X-Budget: 500m\r\n\r\n"),
        (400, b"POST /reserva" + HEAD + b"X-Budget: 500m\r\nContent-Length: 0\r\n\r\n"),
        (400, b"POST /canje" + HEAD + b"X-Budget: 500m\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"),
        (431, b"GET /stock" + HEAD + b"X-Budget: 500m\r\nX-Long: " + b"a" * 40_000 + b"\r\n\r\n"),
        (404, b"GET /other" + HEAD + b"X-Budget: 500m\r\n\r\n"),
        (404, b"GET /load" + HEAD + b"X-Budget: 500m\r\n\r\n"),
        (413, b"POST /canje" + HEAD + b"X-Budget: 500m\r\nContent-Length: 50331649\r\n\r\n"),
    ],
)
def test_a_malformed_request_reaches_no_endpoint_and_harms_no_other(code: int, data: bytes) -> None:
    async def test() -> None:
        backend = EndpointServer()
        async with proxy_under_test({"s-1": backend}) as node:
            bad = await node.connect()
            good = await node.connect()
            assert (await bad.send_raw(data)).status_code == code
            assert backend.received_count == 0
            assert (await good.request("stock", "2" * 16)).status_code == 200

    run_async(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with proxy_under_test({"s-1": EndpointServer()}) as node:
            caller = await node.connect()
            for number in range(40):
                caller.send("stock", f"{number:016x}")
            bodies = [(await caller.response()).body for _ in range(40)]
        # On a busy machine the module may refuse some; the others are in their places all the same.
        expected = [b"done " + f"{n:016x}".encode() for n in range(40)]
        assert [
            want for body, want in zip(bodies, expected, strict=True) if body not in (want, b"refused\n")
        ] == []
        assert sum(body != b"refused\n" for body in bodies) >= 10

    run_async(test())


def test_a_call_id_that_is_in_flight_gets_no_second_copy() -> None:
    """Guards one attempt out at a time against a caller that sends the same request on two connections."""

    async def test() -> None:
        backend = EndpointServer(silent)
        async with proxy_under_test({"s-1": backend}) as node:
            first = await node.connect()
            second = await node.connect()
            first.send("canje", "e" * 16, budget="600m")
            await next_request(backend)
            assert (await second.request("canje", "e" * 16)).status_code == 409
            assert (await first.response()).status_code in (502, 504)
        assert backend.received_count == 1

    run_async(test())


def test_a_client_that_disconnects_cancels_its_attempt() -> None:
    async def test() -> None:
        backend = EndpointServer(silent)
        async with proxy_under_test({"s-1": backend}) as node:
            caller = await node.connect()
            caller.send("canje", "f" * 16, budget="5000m")
            await next_request(backend)
            caller.writer.close()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await backend.closed_connections.get()

    run_async(test())


def test_sigterm_serves_on_for_a_while_finishes_open_requests_and_exits_0() -> None:
    async def test() -> None:
        free = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] == "a" * 16:
                await free.wait()
            await respond_ok(seen, writer)

        backend = EndpointServer(behave)
        async with proxy_under_test({"s-1": backend}) as node:
            held = await node.connect()
            idle = await node.connect()
            assert (await idle.request("stock", "1" * 16)).status_code == 200
            held.send("canje", "a" * 16, budget="6000m")
            await next_request(backend)
            await next_request(backend)
            node.terminate()
            late = await node.connect()  # connections still come
            assert (await late.request("stock", "2" * 16)).status_code == 200
            assert await idle.is_closed()  # the kept ones end, unhurried
            assert node.process.returncode is None
            free.set()
            reply = await held.response()
            assert (reply.status_code, reply.headers["connection"]) == (200, "close")
            assert await node.exit_code() == 0

    run_async(test())


def test_a_first_attempt_is_served_after_sigterm_though_less_time_is_left_than_its_class_has() -> None:
    """What the end of this process takes from a budget is nothing that the caller has waited."""

    async def test() -> None:
        async with proxy_under_test({"s-1": EndpointServer()}) as node:
            caller = await node.connect()
            for number in range(3):
                assert (await caller.request("canje", f"{number:016x}", budget="6000m")).status_code == 200
            node.terminate()
            with contextlib.suppress(ConnectionRefusedError):
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while True:  # until it has begun to end
                        (await node.connect()).writer.close()
                        await asyncio.sleep(0.02)
            assert (await caller.request("canje", "2" * 16, budget="6000m")).status_code == 200
            assert await node.exit_code() == 0

    run_async(test())


def test_an_endpoint_that_fell_silent_loses_its_idle_connections() -> None:
    """A machine that vanished leaves open, silent connections; each would cost a call to find out."""

    async def test() -> None:
        together = asyncio.Event()
        mute = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if mute.is_set():
                return
            await together.wait()
            await respond_ok(seen, writer)

        backend = EndpointServer(behave)
        limits = {**SETTINGS["policy_limits"], "probes": False, "send_cap": 1}
        async with proxy_under_test({"s-1": backend}, policy_limits=limits) as node:
            callers = [await node.connect() for _ in range(3)]
            for number, caller in enumerate(callers):
                caller.send("canje", f"{number:016x}", budget="5000m")
            used = {(await next_request(backend)).connection for _ in callers}
            together.set()
            assert [(await caller.response()).status_code for caller in callers] == [200] * 3
            mute.set()
            assert (await callers[0].request("stock", "8" * 16, budget="900m")).status_code == 503
            async with asyncio.timeout(TEST_TIMEOUT_S):
                closed = {await backend.closed_connections.get() for _ in used}
        assert len(used) == 3 and closed == used

    run_async(test())


def test_the_response_to_a_malformed_request_arrives_though_more_is_on_its_way() -> None:
    """Closing on unread bytes resets the connection, and a reset can overtake the answer."""

    async def test() -> None:
        async with proxy_under_test({"s-1": EndpointServer()}) as node:
            for _ in range(5):
                caller = await node.connect()
                length = 8 << 20
                head = b"POST /canje" + HEAD + b"X-Budget: 500m\r\nContent-Length: %d\r\n\r\n"
                caller.writer.write(head % (60 << 20))
                caller.writer.write(bytes(length))
                await caller.writer.drain()
                assert (await caller.response()).status_code == 413
                caller.writer.close()

    run_async(test())


def test_at_the_descriptor_limit_it_sheds_load_and_goes_on() -> None:
    """Guards against EMFILE: beyond the bound a caller gets a refusal, and upstreams keep their share."""

    async def test() -> None:
        free = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            await respond_ok(seen, writer)

        async with proxy_under_test({"s-1": EndpointServer(behave)}, sockets=64) as node:
            callers = [await node.connect() for _ in range(32)]
            for number, caller in enumerate(callers):
                caller.send("canje", f"{number:016x}", budget="9000m")
            for number in range(100, 150):
                reply = await (await node.connect()).request("stock", f"{number:016x}")
                assert reply.status_code == 503 and float(reply.headers["retry-after"]) > 0
            free.set()
            assert all([(await caller.response()).status_code in (200, 503) for caller in callers])
            assert (await callers[0].request("stock", "9" * 16)).status_code == 200

    run_async(test())


def test_an_idle_connection_is_evicted_for_a_new_client() -> None:
    """Kept connections that ask nothing must not shut others out."""

    async def test() -> None:
        async with proxy_under_test({"s-1": EndpointServer()}, sockets=64) as node:
            idle = [await node.connect() for _ in range(29)]
            for number, caller in enumerate(idle):
                assert (await caller.request("stock", f"{number:016x}")).status_code == 200
            for number in range(100, 10_000):
                caller = await node.connect()
                if (await caller.request("stock", f"{number:016x}")).status_code == 200:
                    break
            assert await idle[0].is_closed()

    run_async(test())


def test_a_first_attempt_with_a_short_budget_is_not_late_because_the_loop_was() -> None:
    """Callers of a class may all give it far less time than its deadline. What a late loop keeps back of that
    must not look like time that a caller has waited over earlier tries."""

    async def test() -> None:
        grade = {**SETTINGS["grades"][2], "deadline": 20.0}
        async with proxy_under_test(
            {"s-1": EndpointServer()}, grades=[*SETTINGS["grades"][:2], grade]
        ) as node:
            caller = await node.connect()
            for number in range(20):
                assert (await caller.request("canje", f"{number:016x}", budget="1000m")).status_code == 200
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.3)  # the stall itself: a step's timer is late by it
            node.process.send_signal(signal.SIGCONT)
            for number in range(20, 30):
                assert (await caller.request("canje", f"{number:016x}", budget="1000m")).status_code == 200

    run_async(test())


def test_a_response_that_came_while_the_process_was_stalled_is_served() -> None:
    """After a stall timers run before sockets are read: a time-out must not throw away what has come."""

    async def test() -> None:
        answered = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            node.process.send_signal(signal.SIGSTOP)
            await respond_ok(seen, writer)
            await writer.drain()
            answered.set()

        backend = EndpointServer(behave)
        async with proxy_under_test({"s-1": backend}) as node:
            caller = await node.connect()
            caller.send("stock", "5" * 16, budget="1200m")  # an attempt has 500 ms, the aim
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await answered.wait()
            await asyncio.sleep(0.7)  # the stall itself
            node.process.send_signal(signal.SIGCONT)
            assert (await caller.response()).status_code == 200

    run_async(test())


@pytest.mark.parametrize(
    "spoil", ["no file", "not json", "no settings", "bad setting", "bad address", "bad known"]
)
def test_a_bad_configuration_is_one_line_and_exit_2(spoil: str) -> None:
    async def test() -> None:
        raw: Any = config("127.0.0.1:1", endpoint_list(1), "127.0.0.1:0")
        if spoil == "not json":
            raw = "{"
        elif spoil == "no settings":
            del raw["settings"]
        elif spoil == "bad setting":
            raw["settings"]["contract"]["cold_from"] = 7
        elif spoil == "bad address":
            raw["listen"] = "nowhere"
        elif spoil == "bad known":
            raw["known"] = {"index": 1, "snapshot": True, "endpoints": [{"name": "s-1"}]}
        elif spoil == "no file":
            raw = ""
        with tempfile.TemporaryDirectory() as folder:
            process = await start_proxy(raw, folder)
            _, told = await process.communicate()
        assert process.returncode == 2
        assert len(told.decode().strip().splitlines()) == 1

    run_async(test())
