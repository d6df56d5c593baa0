"""Message mode through the program itself: each message taken has exactly one outcome, whatever fails."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections import Counter
from typing import Any

import pytest
from wskit import CONFIG, PATIENCE, Made, Raw, run, running

from harness.clients import DEFAULT_CLASSES
from harness.event_loop import until
from harness.websocket_clients import WebSocketClientPool

STOCK, RESERVA, CANJE = DEFAULT_CLASSES
FREE = CONFIG + "messages_per_s = 10000.0\nburst = 10000.0\nopen_messages = 1000\n"


async def talk(made: Made, more: str = "", headers: str = "") -> tuple[Raw, Any]:
    raw = await made.opened("/pantalla" + more, headers)
    return raw, await raw.said()


def say(raw: Raw, id: str, cls: str = "stock", **more: Any) -> None:
    raw.send(json.dumps({"id": id, "class": cls, **more}))


def attempts(made: Made, call: str) -> list[tuple[str, bool]]:
    return [(a.endpoint, a.executed) for a in made.ledger.attempts if a.request_id == call]


def test_each_class_is_a_call_as_the_protocol_has_it() -> None:
    async def test() -> None:
        async with running() as made:
            raw, hello = await talk(made, headers="X-Caller: acme\r\n")
            assert hello["resumed"] is False and hello["open"] == [] and hello["resume_ms"] == 10_000
            say(raw, "a", "stock", path="/estacion/7?x=1", subject="s1", budget_ms=900)
            say(raw, "b", "reserva", key="k1", body="ñ")
            say(raw, "c", "canje", body="x", again=True)
            found = {(one := await raw.said())["id"]: one for _ in range(3)}
            assert {id: one["outcome"] for id, one in found.items()} == dict.fromkeys("abc", "served")
            assert sorted(one["n"] for one in found.values()) == [1, 2, 3]
            assert found["b"]["body"] == "done b"
            assert Counter(a.request_id for a in made.ledger.attempts) == {"a": 1, "b": 1, "c": 1}
            assert [a.key for a in made.ledger.attempts if a.request_id == "b"] == ["k1"]

    run(test())


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"cls": "nada"}, 404),
        ({"cls": "canje", "key": "k"}, 400),
        ({"cls": "reserva"}, 400),
        ({"cls": "stock", "body": "x"}, 400),
    ],
)
def test_a_message_that_no_call_can_be_made_of_fails_at_once(fields: dict[str, Any], code: int) -> None:
    async def test() -> None:
        async with running() as made:
            raw, _ = await talk(made)
            say(raw, "a", **fields)
            said = await raw.said()
            assert (said["id"], said["outcome"], said["code"]) == ("a", "failed", code)
            assert not made.ledger.attempts

    run(test())


def test_malformed_messages_are_told_so_and_too_many_close() -> None:
    async def test() -> None:
        async with running() as made:
            raw, _ = await talk(made)
            for _ in range(8):
                raw.send('{"id":"a","class":"stock","nope":1}')
                said = await raw.said()
                assert said["id"] == "a" and "nope" in said["error"] and "n" not in said
            assert (await raw.closed())[0] == 1008
            other, _ = await talk(made)
            other.send(b"\x00")
            assert (await other.closed())[0] == 1003

    run(test())


def test_a_repeat_of_an_id_is_the_same_message() -> None:
    """While it is open, and after: one call, and the outcome under one number."""

    async def test() -> None:
        async with running(service=0.3) as made:
            raw, _ = await talk(made)
            for _ in range(3):
                say(raw, "a", "canje")
            first = await raw.said()
            say(raw, "a", "canje")
            assert await raw.said() == first and first["outcome"] == "served"
            say(raw, "b")
            assert (await raw.said())["id"] == "b"  # nothing else was told of a
            assert len(attempts(made, "a")) == 1

    run(test())


def test_too_fast_and_too_many_are_refused_at_once_with_a_wait() -> None:
    async def test() -> None:
        config = CONFIG + "messages_per_s = 0.5\nburst = 4.0\nopen_messages = 2\n"
        async with running(config=config, service=0.5) as made:
            raw, _ = await talk(made)
            for n in range(6):
                say(raw, f"m{n}", "reserva", key=f"k{n}")
            found = {(one := await raw.said())["id"]: one for _ in range(6)}
            assert [found[f"m{n}"]["outcome"] for n in range(6)] == ["served"] * 2 + ["refused"] * 4
            assert found["m2"]["retry_ms"] == 1000 and 0 < found["m5"]["retry_ms"] <= 2000
            assert {a.request_id for a in made.ledger.attempts} == {"m0", "m1"}

    run(test())


def test_a_node_that_drains_is_unseen() -> None:
    async def test() -> None:
        async with running(nodes=2, config=FREE, service=0.02) as made:
            for n in range(20):
                await made.kiosks.add(f"k{n}").connect()
            await until(lambda: made.kiosks.connected_count == 20, "all are up")
            sending = asyncio.create_task(keep_sending(made.kiosks, 2.5))
            await asyncio.sleep(0.3)
            at = await made.told(made.nodes[0], "Terminating")
            await sending
            await until(lambda: not made.kiosks.open_message_count, "the last outcomes")
            assert made.kiosks.outcomes["served"] > 100 and not made.kiosks.close_codes
            assert set(made.kiosks.outcomes) <= {"served", "refused"}
            assert max(a.first_byte_at for a in made.ledger.attempts if a.endpoint == "n-0") < at + 2.0
            assert made.audited() == []

    run(test())


async def keep_sending(kiosks: WebSocketClientPool, seconds: float) -> None:
    """The usual mix, one message after another over all kiosks."""
    due = time.monotonic() + seconds
    while time.monotonic() < due:
        for kiosk in kiosks.clients:
            kiosk.send(kiosks.random.choice(DEFAULT_CLASSES))
        await asyncio.sleep(0.1)


def test_an_unsafe_message_whose_node_dies_fails_once() -> None:
    async def test() -> None:
        async with running(nodes=2, config=FREE, service=5.0) as made:
            raw, _ = await talk(made)
            say(raw, "a", "canje")
            await until(lambda: attempts(made, "a"), "it runs")
            server = attempts(made, "a")[0][0]
            next(node for node in made.nodes if node.name == server).stop()
            said = await raw.said()
            assert said["outcome"] == "failed" and len(attempts(made, "a")) == 1
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await raw.said()
            assert len(attempts(made, "a")) == 1

    run(test())


def test_a_keyed_message_whose_node_dies_goes_again_within_its_group() -> None:
    async def test() -> None:
        async with running(nodes=3, config=FREE, service=0.6) as made:
            zones = {"n-0": "a", "n-1": "a", "n-2": "b"}
            for node in made.nodes:
                node.zone = zones[node.name]
                made.registry.put(made.entry(node, zone=zones[node.name]))
            raw, _ = await talk(made)
            await until(
                lambda: len([t for t in made.ledger.notifications if t.state == "ready"]) >= 3,
                "zones are told",
            )
            await asyncio.sleep(0.1)
            say(raw, "a", "reserva", key="k")
            await until(lambda: attempts(made, "a"), "it runs")
            first = attempts(made, "a")[0][0]
            next(node for node in made.nodes if node.name == first).stop()
            said = await raw.said()
            where = [server for server, _ in attempts(made, "a")]
            if zones[first] == "a":
                assert said["outcome"] == "served" and where in (["n-0", "n-1"], ["n-1", "n-0"])
            else:
                assert said["outcome"] == "failed" and where == ["n-2"]
            assert made.audited() == []

    run(test())


def test_an_outcome_is_owed_to_the_session_and_told_on_its_next_connection() -> None:
    """The first connection ends without a word while the message is worked on."""

    async def test() -> None:
        async with running(config=FREE, service=0.4) as made:
            raw, hello = await talk(made)
            say(raw, "a", "canje")
            await until(lambda: attempts(made, "a"), "it runs")
            raw.writer.transport.abort()
            again, back = await talk(made, f"?session={hello['session']}&seen=0")
            assert back["resumed"] is True and back["open"] == ["a"] and back["session"] == hello["session"]
            said = await again.said()
            assert (said["n"], said["id"], said["outcome"]) == (1, "a", "served")
            assert len(attempts(made, "a")) == 1

    run(test())


def test_an_outcome_that_came_while_nobody_was_there_is_told_once_to_who_has_not_seen_it() -> None:
    async def test() -> None:
        async with running(config=FREE, service=0.1) as made:
            raw, hello = await talk(made)
            say(raw, "a", "canje")
            say(raw, "b", "canje")
            await until(lambda: attempts(made, "b"), "both run")
            raw.writer.transport.abort()
            await until(lambda: all(a.ended_at < 1e9 for a in made.ledger.attempts), "both are over")
            await asyncio.sleep(0.1)
            one, back = await talk(made, f"?session={hello['session']}&seen=0")
            assert back["open"] == [] and back["lost"] == 0
            assert [(await one.said())["n"] for _ in range(2)] == [1, 2]
            one.writer.transport.abort()
            two, back = await talk(made, f"?session={hello['session']}&seen=1")
            assert (await two.said())["n"] == 2
            three, back = await talk(made, f"?session={hello['session']}&seen=2")
            assert (await two.closed())[0] == 1008  # its session is on another connection
            say(three, "c")
            assert (await three.said())["id"] == "c"  # nothing was told again

    run(test())


def test_a_session_that_nobody_comes_back_to_is_over_and_says_so() -> None:
    async def test() -> None:
        config = FREE + "resume_within = 0.3\n"
        async with running(config=config, service=1.0) as made:
            raw, hello = await talk(made)
            say(raw, "a", "canje")
            await until(lambda: attempts(made, "a"), "it runs")
            raw.writer.transport.abort()
            await asyncio.sleep(0.9)  # 0.3 s, and 0.25 s between looks
            again, back = await talk(made, f"?session={hello['session']}&seen=0")
            assert back["resumed"] is False and back["session"] != hello["session"] and back["open"] == []
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await again.said()
            assert len(attempts(made, "a")) == 1

    run(test())


def test_a_goodbye_ends_a_session_and_what_is_open_in_it() -> None:
    async def test() -> None:
        async with running(config=FREE, service=0.5) as made:
            raw, hello = await talk(made)
            say(raw, "a", "canje")
            await until(lambda: attempts(made, "a"), "it runs")
            raw.raw(bytes(raw.frames.close(1000, "")))
            assert await raw.closed() == (1000, "")
            _, back = await talk(made, f"?session={hello['session']}&seen=0")
            assert back["resumed"] is False
            assert len(attempts(made, "a")) == 1

    run(test())


def test_another_tenant_can_not_take_a_session_over() -> None:
    async def test() -> None:
        async with running() as made:
            raw, hello = await talk(made, headers="X-Caller: acme\r\n")
            _, back = await talk(made, f"?session={hello['session']}&seen=0", "X-Caller: other\r\n")
            assert back["resumed"] is False
            say(raw, "a")
            assert (await raw.said())["outcome"] == "served"

    run(test())


def test_who_reads_no_outcomes_holds_up_nobody() -> None:
    async def test() -> None:
        async with running(config=FREE, nodes=2) as made:
            slow, _ = await talk(made)
            quick, _ = await talk(made)
            slow.writer.transport.pause_reading()  # type: ignore[attr-defined]
            before = made.program.resident_mb()

            async def flood() -> None:
                for n in range(20_000):
                    say(slow, f"{n}", "nada")  # fails at once
                    if n % 50 == 0:
                        await slow.writer.drain()
                        await asyncio.sleep(0)

            flooding = asyncio.create_task(flood())
            for n in range(50):
                say(quick, f"q{n}")
                assert (await quick.said())["outcome"] == "served"
            assert made.program.resident_mb() - before < 12.0  # MB
            await flooding

    run(test())


def test_at_sigterm_what_was_taken_is_told_before_the_close() -> None:
    async def test() -> None:
        async with running(config=FREE, service=0.5) as made:
            raw, _ = await talk(made)
            idle, _ = await talk(made)
            say(raw, "a", "canje")
            await until(lambda: attempts(made, "a"), "it runs")
            made.program.process.terminate()
            code, reason = await idle.closed()
            assert code == 1001 and re.fullmatch(r"reconnect in \d+\.\d\d s", reason)
            say(raw, "b", "canje")
            found = {(one := await raw.said())["id"]: one["outcome"] for _ in range(2)}
            assert found == {"a": "served", "b": "refused"}
            assert (await raw.closed())[0] == 1001
            assert not attempts(made, "b")
            async with asyncio.timeout(PATIENCE):
                assert await made.program.process.wait() == 0

    run(test())


def test_sigterm_with_2000_sessions_ends_all_of_them_with_spread_returns() -> None:
    async def test() -> None:
        config = CONFIG.replace("sessions = 64", "sessions = 2100")
        limits = {"cores": 1.0, "memory_mb": 512, "sockets": 6000}
        async with running(config=config, more={"limits": limits}) as made:
            for first in range(0, 2000, 100):
                await asyncio.gather(
                    *(made.kiosks.add(f"k{n}", reconnects=False).connect() for n in range(first, first + 100))
                )
                await until(lambda: made.kiosks.connected_count == len(made.kiosks.clients), "they are up")
            made.program.process.terminate()
            async with asyncio.timeout(PATIENCE):
                assert await made.program.process.wait() == 0
            await until(lambda: not made.kiosks.connected_count, "all are closed")
            assert made.kiosks.close_codes == {1001: 2000}
            waits = sorted(kiosk.reconnect_wait or 0.0 for kiosk in made.kiosks.clients)
            most = max(sum(1 for w in waits[n : n + 200] if w < waits[n] + 0.1) for n in range(0, 2000, 10))
            assert most <= 2000 * 0.1 / 5.0 * 1.1 + 3

    run(test())


def test_new_limits_are_taken_with_sighup_and_a_bad_file_changes_nothing() -> None:
    async def test() -> None:
        async with running(config=CONFIG) as made:
            raw, _ = await talk(made)
            await made.reread(CONFIG + "messages_per_s = 0.01\nburst = 1.0\n")
            say(raw, "a")
            say(raw, "b")
            found = {(one := await raw.said())["id"]: one["outcome"] for _ in range(2)}
            assert found == {"a": "served", "b": "refused"}
            await made.reread(CONFIG.replace("sessions = 64", "sessions = 65"))
            assert (
                "S109" in made.program.log_file.read_text()
                and "sessions" in made.program.log_file.read_text()
            )
            await made.reread(CONFIG + "ping_every = -1.0\n")
            say(raw, "c")
            assert (await raw.said())["outcome"] == "refused"  # the limits are those of before

    run(test())
