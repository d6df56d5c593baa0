"""Tests of message mode through a running proxy: one outcome per accepted message in any failure."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections import Counter
from typing import Any

import pytest
from websocket_test_harness import (
    CONFIG,
    UNLIMITED_RATE,
    WAIT_TIMEOUT_S,
    RawClient,
    WebSocketDeployment,
    results_of,
    run_test,
    running_websocket_proxy,
)

from harness.clients import DEFAULT_CLASSES
from harness.event_loop import until
from harness.websocket_clients import WebSocketClientPool

STOCK, RESERVA, CANJE = DEFAULT_CLASSES
UNLIMITED = UNLIMITED_RATE + "open_messages = 1000\n"


async def open_session(
    deployment: WebSocketDeployment, query: str = "", headers: str = ""
) -> tuple[RawClient, Any]:
    client = await deployment.connect("/pantalla" + query, headers)
    return client, await client.read_json()


def resume_query(greeting: Any, seen: int) -> str:
    return f"?session={greeting['session']}&seen={seen}"


def send_request(client: RawClient, id: str, cls: str = "stock", **fields: Any) -> None:
    client.send(json.dumps({"id": id, "class": cls, **fields}))


def attempts(deployment: WebSocketDeployment, message_id: str) -> list[tuple[str, bool]]:
    return [(a.endpoint, a.executed) for a in deployment.recorder.attempts if a.request_id == message_id]


def test_a_message_of_each_class_becomes_a_request() -> None:
    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client, opened = await open_session(deployment, headers="X-Caller: acme\r\n")
            assert opened["resumed"] is False
            assert opened["open"] == []
            assert opened["resume_ms"] == 10_000
            send_request(client, "a", "stock", path="/estacion/7?x=1", subject="s1", budget_ms=900)
            send_request(client, "b", "reserva", key="k1", body="ñ")
            send_request(client, "c", "canje", body="x", again=True)
            outcomes = await client.read_outcomes(3)
            assert results_of(outcomes) == dict.fromkeys("abc", "served")
            assert sorted(outcome["n"] for outcome in outcomes.values()) == [1, 2, 3]
            assert outcomes["b"]["body"] == "done b"
            assert Counter(a.request_id for a in deployment.recorder.attempts) == {"a": 1, "b": 1, "c": 1}
            assert [a.key for a in deployment.recorder.attempts if a.request_id == "b"] == ["k1"]

    run_test(test())


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"cls": "nada"}, 404),
        ({"cls": "canje", "key": "k"}, 400),
        ({"cls": "reserva"}, 400),
        ({"cls": "stock", "body": "x"}, 400),
    ],
)
def test_a_message_that_cannot_become_a_request_fails_at_once(fields: dict[str, Any], code: int) -> None:
    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client, _ = await open_session(deployment)
            send_request(client, "a", **fields)
            reply = await client.read_json()
            assert (reply["id"], reply["outcome"], reply["code"]) == ("a", "failed", code)
            assert not deployment.recorder.attempts

    run_test(test())


def test_malformed_messages_are_answered_with_an_error_and_too_many_close_the_session() -> None:
    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client, _ = await open_session(deployment)
            for _ in range(8):
                client.send('{"id":"a","class":"stock","nope":1}')
                reply = await client.read_json()
                assert reply["id"] == "a"
                assert "nope" in reply["error"]
                assert "n" not in reply
            assert (await client.read_close())[0] == 1008
            other, _ = await open_session(deployment)
            other.send(b"\x00")
            assert (await other.read_close())[0] == 1003

    run_test(test())


def test_a_repeat_of_an_id_is_the_same_message() -> None:
    """A repeated id, sent before or after the outcome, must not cause a second request or a second number."""

    async def test() -> None:
        async with running_websocket_proxy(service_time=0.3) as deployment:
            client, _ = await open_session(deployment)
            for _ in range(3):
                send_request(client, "a", "canje")
            first = await client.read_json()
            send_request(client, "a", "canje")
            assert await client.read_json() == first
            assert first["outcome"] == "served"
            send_request(client, "b")
            assert (await client.read_json())["id"] == "b"  # The message `a` has no second outcome.
            assert len(attempts(deployment, "a")) == 1

    run_test(test())


def test_messages_over_the_rate_or_the_open_limit_are_refused_at_once_with_a_retry_time() -> None:
    async def test() -> None:
        config = CONFIG + "messages_per_s = 0.5\nburst = 4.0\nopen_messages = 2\n"
        async with running_websocket_proxy(config=config, service_time=0.5) as deployment:
            client, _ = await open_session(deployment)
            for n in range(6):
                send_request(client, f"m{n}", "reserva", key=f"k{n}")
            outcomes = await client.read_outcomes(6)
            assert [outcomes[f"m{n}"]["outcome"] for n in range(6)] == ["served"] * 2 + ["refused"] * 4
            assert outcomes["m2"]["retry_ms"] == 1000
            assert 0 < outcomes["m5"]["retry_ms"] <= 2000
            assert {a.request_id for a in deployment.recorder.attempts} == {"m0", "m1"}

    run_test(test())


def test_an_endpoint_drain_does_not_affect_clients_of_message_mode() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            endpoint_count=2, config=UNLIMITED, service_time=0.02
        ) as deployment:
            for n in range(20):
                await deployment.client_pool.add(f"k{n}").connect()
            await until(lambda: deployment.client_pool.connected_count == 20, "all are connected")
            sending = asyncio.create_task(keep_sending(deployment.client_pool, 2.5))
            await asyncio.sleep(0.3)
            notified_at = await deployment.notify_status(deployment.endpoints[0], "Terminating")
            await sending
            await until(lambda: not deployment.client_pool.open_message_count, "the last outcomes")
            assert deployment.client_pool.outcomes["served"] > 100
            assert not deployment.client_pool.close_codes
            assert set(deployment.client_pool.outcomes) <= {"served", "refused"}
            drained = [a for a in deployment.recorder.attempts if a.endpoint == "n-0"]
            assert max(attempt.first_byte_at for attempt in drained) < notified_at + 2.0
            assert deployment.violations() == []

    run_test(test())


async def keep_sending(client_pool: WebSocketClientPool, seconds: float) -> None:
    """Send the usual mix of classes over all clients, one message after another."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for client in client_pool.clients:
            client.send(client_pool.random.choice(DEFAULT_CLASSES))
        await asyncio.sleep(0.1)


def test_an_unsafe_message_whose_endpoint_is_lost_fails_once() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            endpoint_count=2, config=UNLIMITED, service_time=5.0
        ) as deployment:
            client, _ = await open_session(deployment)
            send_request(client, "a", "canje")
            await until(lambda: attempts(deployment, "a"), "the endpoint has the request")
            name = attempts(deployment, "a")[0][0]
            deployment.endpoint_named(name).stop()
            reply = await client.read_json()
            assert reply["outcome"] == "failed"
            assert len(attempts(deployment, "a")) == 1
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await client.read_json()
            assert len(attempts(deployment, "a")) == 1

    run_test(test())


def test_a_keyed_message_whose_endpoint_is_lost_is_retried_only_in_its_zone() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            endpoint_count=3, config=UNLIMITED, service_time=0.6
        ) as deployment:
            zones = {"n-0": "a", "n-1": "a", "n-2": "b"}
            for endpoint in deployment.endpoints:
                endpoint.zone = zones[endpoint.name]
                deployment.registry.put(deployment.entry(endpoint, zone=zones[endpoint.name]))
            client, _ = await open_session(deployment)
            await until(
                lambda: sum(n.state == "ready" for n in deployment.recorder.notifications) >= 3,
                "the proxy is notified of the zones",
            )
            await asyncio.sleep(0.1)
            send_request(client, "a", "reserva", key="k")
            await until(lambda: attempts(deployment, "a"), "the endpoint has the request")
            first = attempts(deployment, "a")[0][0]
            deployment.endpoint_named(first).stop()
            reply = await client.read_json()
            attempted = [name for name, _ in attempts(deployment, "a")]
            if zones[first] == "a":
                assert reply["outcome"] == "served"
                assert attempted in (["n-0", "n-1"], ["n-1", "n-0"])
            else:
                assert reply["outcome"] == "failed"
                assert attempted == ["n-2"]
            assert deployment.violations() == []

    run_test(test())


def test_an_outcome_pending_at_a_disconnect_is_sent_on_the_sessions_next_connection() -> None:
    """The client's connection is reset while the endpoint processes the message."""

    async def test() -> None:
        async with running_websocket_proxy(config=UNLIMITED, service_time=0.4) as deployment:
            client, opened = await open_session(deployment)
            send_request(client, "a", "canje")
            await until(lambda: attempts(deployment, "a"), "the endpoint has the request")
            client.abort()
            resumed, greeting = await open_session(deployment, resume_query(opened, 0))
            assert greeting["resumed"] is True
            assert greeting["open"] == ["a"]
            assert greeting["session"] == opened["session"]
            reply = await resumed.read_json()
            assert (reply["n"], reply["id"], reply["outcome"]) == (1, "a", "served")
            assert len(attempts(deployment, "a")) == 1

    run_test(test())


def test_an_outcome_stored_while_disconnected_is_sent_until_it_is_acknowledged() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=UNLIMITED, service_time=0.1) as deployment:
            client, opened = await open_session(deployment)
            send_request(client, "a", "canje")
            send_request(client, "b", "canje")
            await until(lambda: attempts(deployment, "b"), "the endpoint has both requests")
            client.abort()
            await until(
                lambda: all(a.ended_at < 1e9 for a in deployment.recorder.attempts), "both have ended"
            )
            await asyncio.sleep(0.1)
            one, greeting = await open_session(deployment, resume_query(opened, 0))
            assert greeting["open"] == []
            assert greeting["lost"] == 0
            assert [(await one.read_json())["n"] for _ in range(2)] == [1, 2]
            one.abort()
            two, greeting = await open_session(deployment, resume_query(opened, 1))
            assert (await two.read_json())["n"] == 2
            three, greeting = await open_session(deployment, resume_query(opened, 2))
            assert (await two.read_close())[0] == 1008  # The session was resumed on another connection.
            send_request(three, "c")
            assert (await three.read_json())["id"] == "c"  # No outcome was sent again.

    run_test(test())


def test_a_session_that_is_not_resumed_in_time_expires() -> None:
    async def test() -> None:
        config = UNLIMITED + "resume_within = 0.3\n"
        async with running_websocket_proxy(config=config, service_time=1.0) as deployment:
            client, opened = await open_session(deployment)
            send_request(client, "a", "canje")
            await until(lambda: attempts(deployment, "a"), "the endpoint has the request")
            client.abort()
            await asyncio.sleep(0.9)  # The session expires after 0.3 s, and the checks run every 0.25 s.
            resumed, greeting = await open_session(deployment, resume_query(opened, 0))
            assert greeting["resumed"] is False
            assert greeting["session"] != opened["session"]
            assert greeting["open"] == []
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await resumed.read_json()
            assert len(attempts(deployment, "a")) == 1

    run_test(test())


def test_a_normal_close_ends_the_session_and_its_open_messages() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=UNLIMITED, service_time=0.5) as deployment:
            client, opened = await open_session(deployment)
            send_request(client, "a", "canje")
            await until(lambda: attempts(deployment, "a"), "the endpoint has the request")
            client.send_close(1000)
            assert await client.read_close() == (1000, "")
            _, greeting = await open_session(deployment, resume_query(opened, 0))
            assert greeting["resumed"] is False
            assert len(attempts(deployment, "a")) == 1

    run_test(test())


def test_another_tenant_can_not_resume_a_session() -> None:
    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client, opened = await open_session(deployment, headers="X-Caller: acme\r\n")
            _, greeting = await open_session(deployment, resume_query(opened, 0), "X-Caller: other\r\n")
            assert greeting["resumed"] is False
            send_request(client, "a")
            assert (await client.read_json())["outcome"] == "served"

    run_test(test())


def test_a_client_that_reads_no_outcomes_delays_no_other() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=UNLIMITED, endpoint_count=2) as deployment:
            slow, _ = await open_session(deployment)
            quick, _ = await open_session(deployment)
            slow.pause_reading()
            resident_before = deployment.proxy.resident_mb()

            async def flood() -> None:
                for n in range(20_000):
                    send_request(slow, f"{n}", "nada")  # An unknown class fails at once.
                    if n % 50 == 0:
                        await slow.writer.drain()
                        await asyncio.sleep(0)

            flooding = asyncio.create_task(flood())
            for n in range(50):
                send_request(quick, f"q{n}")
                assert (await quick.read_json())["outcome"] == "served"
            assert deployment.proxy.resident_mb() - resident_before < 12.0  # Limit in MB.
            await flooding

    run_test(test())


def test_at_sigterm_outcomes_of_accepted_messages_are_sent_before_the_close() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=UNLIMITED, service_time=0.5) as deployment:
            client, _ = await open_session(deployment)
            idle, _ = await open_session(deployment)
            send_request(client, "a", "canje")
            await until(lambda: attempts(deployment, "a"), "the endpoint has the request")
            deployment.proxy.process.terminate()
            code, reason = await idle.read_close()
            assert code == 1001
            assert re.fullmatch(r"reconnect in \d+\.\d\d s", reason)
            send_request(client, "b", "canje")
            assert await client.read_results(2) == {"a": "served", "b": "refused"}
            assert (await client.read_close())[0] == 1001
            assert not attempts(deployment, "b")
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                assert await deployment.proxy.process.wait() == 0

    run_test(test())


def test_sigterm_closes_2000_sessions_with_spread_reconnect_delays() -> None:
    async def test() -> None:
        config = CONFIG.replace("sessions = 64", "sessions = 2100")
        limits = {"cores": 1.0, "memory_mb": 512, "sockets": 6000}
        async with running_websocket_proxy(config=config, overrides={"limits": limits}) as deployment:
            pool = deployment.client_pool
            for first in range(0, 2000, 100):
                clients = [pool.add(f"k{n}", reconnects=False) for n in range(first, first + 100)]
                await asyncio.gather(*(client.connect() for client in clients))
                await until(lambda: pool.connected_count == len(pool.clients), "they are connected")
            deployment.proxy.process.terminate()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                assert await deployment.proxy.process.wait() == 0
            await until(lambda: not pool.connected_count, "all are closed")
            assert pool.close_codes == {1001: 2000}
            delays = sorted(client.reconnect_wait or 0.0 for client in pool.clients)
            windows = (delays[n : n + 200] for n in range(0, 2000, 10))
            busiest = max(sum(1 for delay in window if delay < window[0] + 0.1) for window in windows)
            assert busiest <= 2000 * 0.1 / 5.0 * 1.1 + 3

    run_test(test())


def test_sighup_applies_new_limits_and_an_invalid_file_changes_nothing() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=CONFIG) as deployment:
            client, _ = await open_session(deployment)
            await deployment.reload(CONFIG + "messages_per_s = 0.01\nburst = 1.0\n")
            send_request(client, "a")
            send_request(client, "b")
            assert await client.read_results(2) == {"a": "served", "b": "refused"}
            await deployment.reload(CONFIG.replace("sessions = 64", "sessions = 65"))
            assert "S109" in deployment.proxy.log_file.read_text()
            assert "sessions" in deployment.proxy.log_file.read_text()
            await deployment.reload(CONFIG + "ping_every = -1.0\n")
            send_request(client, "c")
            assert (await client.read_json())["outcome"] == "refused"  # The previous limits still apply.

    run_test(test())
