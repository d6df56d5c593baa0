"""WebSocket: sessions through drains and kills of half the nodes, a fuzz, cost and memory.

    python -m benchmarks.websocket [--short] [--seed N] [--json FILE]

Half of the sessions are in message mode, half are tunnels. While all of them send, a quarter of the nodes
drain and a quarter are killed; each tunnel of these must leave in time, come back after the wait that it was
told, and be served again.
"""

from __future__ import annotations

import argparse
import asyncio
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from random import Random
from statistics import median
from typing import Any

from benchmarks.per_call import cpu_seconds, running_relay
from benchmarks.report import BenchmarkReport, run_benchmark
from harness.clients import CLASS_SETTINGS, DEFAULT_CLASSES, IDEMPOTENCY_BY_CLASS
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import until
from harness.proxy_process import ProxyProcess, platform_settings, running_proxy
from harness.recorder import Idempotency, Recorder
from harness.websocket_clients import WebSocketClient, WebSocketClientPool
from harness.websocket_endpoint import WebSocketEndpoint
from harness.websocket_frames import random_frames
from service_proxy.websocket.frame_codec import FrameCodec, ProtocolViolationError
from service_proxy.websocket.session_registry import MessageStatus, Outcome, SessionRegistry

TUNNEL = {
    "name": "vigia",
    "value": 1.0,
    "objective": 1.0,
    "deadline": 3.0,
    "effect": "repeatable",
    "stream": True,
}
DRAIN = 2.0  # s that a node that drains may be held, of rule 3
SLACK = 0.05  # s, of the ledger's audit
STEP = 50  # sessions that are begun at once
PAUSE = 2.0  # s between two messages of a session
MOST_MEMORY = 12.0  # kB of an idle session
MOST_SHARE = 3.0  # reconnects in 100 ms, in multiples of an even spread over the told span
TURNS = 3
IDS = 6  # of messages in a fuzzed history


@dataclass(frozen=True, slots=True)
class Size:
    sessions: int
    nodes: int
    spread: float  # s over which those who come back are told to
    streams: int  # of the fuzz
    histories: int
    echoes: int  # of each turn of the cost
    calm: float  # s before the faults, and after all are served again


FULL = Size(2000, 8, 5.0, 100_000, 20_000, 6000, 5.0)
SHORT = Size(400, 8, 2.0, 4000, 500, 1500, 1.5)


@asynccontextmanager
async def fleet(
    size: Size, count: int, more: str = ""
) -> AsyncIterator[
    tuple[ProxyProcess, WebSocketClientPool, list[WebSocketEndpoint], EndpointRegistry, Recorder]
]:
    """A proxy that may hold all sessions, before `count` nodes."""
    ledger = Recorder()
    registry = EndpointRegistry(ledger)
    nodes = [WebSocketEndpoint(ledger, f"n-{n}", zone="abc"[n % 3]) for n in range(count)]
    for node in nodes:
        await node.start()
    known = [entry(node.name, node.address, zone=node.zone) for node in nodes]
    for item in known:
        registry.put(item)
    operator = (
        f'[websocket]\nmessages = ["pantalla"]\ntunnels = ["vigia"]\nsessions = {size.sessions + 100}\n'
        f"reconnect_spread = {size.spread}\nping_every = 5.0\n{more}"
    )
    limits = {"cores": 1.0, "memory_mb": 1024, "sockets": 3 * size.sessions + 1500}
    raw = {"settings": platform_settings(grades=[*CLASS_SETTINGS, TUNNEL]), "limits": limits}
    try:
        async with running_proxy("edge", await registry.start(), known, operator, overrides=raw) as program:
            kiosks = WebSocketClientPool(ledger, [program.address])
            try:
                yield program, kiosks, nodes, registry, ledger
            finally:
                kiosks.close()
    finally:
        for node in nodes:
            node.stop()
        registry.stop()


async def connected(kiosks: WebSocketClientPool, count: int, path: str) -> list[WebSocketClient]:
    made: list[WebSocketClient] = []
    for first in range(0, count, STEP):
        some = [kiosks.add(f"{path[1]}{first + n}", path) for n in range(min(STEP, count - first))]
        made += some
        await asyncio.gather(*(kiosk.connect() for kiosk in some))
        await until(lambda: kiosks.connected_count == len(kiosks.clients), "the sessions are up")
    return made


async def speak(kiosks: WebSocketClientPool, draw: Random) -> None:
    """Each session says something every PAUSE s, spread evenly."""
    while True:
        begun = time.monotonic()
        waiting = list(kiosks.clients)
        draw.shuffle(waiting)
        for place, kiosk in enumerate(waiting):
            if place % 20 == 0:
                due = begun + PAUSE * place / len(waiting)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            if kiosk.is_connected and kiosk.is_message_mode:
                kiosk.send(draw.choices(DEFAULT_CLASSES, [cls.share for cls in DEFAULT_CLASSES])[0])
            elif kiosk.is_connected:
                kiosk.send_text("x")
        await asyncio.sleep(max(0.0, begun + PAUSE - time.monotonic()))


def served(kiosk: WebSocketClient) -> int:
    return kiosk.served_count if kiosk.is_message_mode else len(kiosk.texts)


async def faults(proof: BenchmarkReport, size: Size) -> None:
    draw = Random(proof.seed)
    async with fleet(size, size.nodes) as (program, kiosks, nodes, registry, ledger):
        half = size.sessions // 2
        begun = time.monotonic()
        talks = await connected(kiosks, half, "/pantalla")
        tunnels = await connected(kiosks, size.sessions - half, "/vigia")
        proof.record("sessions", len(talks) + len(tunnels), f"over {size.nodes} nodes, half of them tunnels")
        proof.record("opened_in", time.monotonic() - begun, "s")
        speaking = asyncio.create_task(speak(kiosks, draw))
        await asyncio.sleep(size.calm)
        quarter = size.nodes // 4
        draining = nodes[:quarter]
        killed = nodes[quarter : 2 * quarter]
        left_at: dict[str, float] = {}
        hit = sum(len(node.open_sessions) for node in draining + killed)
        before = len(kiosks.connect_times)
        told = len(ledger.notifications)
        for node in draining:
            registry.put(entry(node.name, node.address, zone=node.zone, status="Terminating"))

        def told_at() -> dict[str, float]:
            return {t.endpoint: t.notified_at for t in ledger.notifications[told:] if t.state != "ready"}

        await until(lambda: len(told_at()) == quarter, "the drains are told")
        for node in killed:
            node.stop()
        hit_at = time.monotonic()
        since = {id(kiosk): served(kiosk) for kiosk in kiosks.clients}
        due = hit_at + 6 * size.spread + 20
        again_at = 0.0
        while time.monotonic() < due and not again_at:
            for node in draining:
                if not node.open_sessions:
                    left_at.setdefault(node.name, time.monotonic())
            if all(served(kiosk) > since[id(kiosk)] for kiosk in kiosks.clients):
                again_at = time.monotonic()
            await asyncio.sleep(0.01)
        await asyncio.sleep(size.calm)
        speaking.cancel()
        await asyncio.gather(speaking, return_exceptions=True)
        await until(lambda: not kiosks.open_message_count, "the last outcomes")
        worst = max(left_at.get(node.name, due) - told_at()[node.name] for node in draining)
        back = sorted(at for at in kiosks.connect_times[before:])
        most = max((sum(1 for b in back if a <= b < a + 0.1) for a in back), default=0)
        even = hit * 0.1 / size.spread
        unserved = sum(1 for kiosk in kiosks.clients if served(kiosk) <= since[id(kiosk)])
        broken = ledger.audit({**IDEMPOTENCY_BY_CLASS, "vigia": Idempotency("repeatable")})
        proof.record(
            "hit_sessions", hit, f"tunnels on {len(draining)} nodes that drain, {len(killed)} killed"
        )
        proof.record("drained_after", worst, "s after it was told, the last session of a node that drains")
        proof.record("served_again", again_at - hit_at if again_at else -1.0, "s until all sessions were")
        proof.record(
            "reconnects", len(back), f"after the faults, at most {most} in 100 ms (even: {even:.1f})"
        )
        closes = ", ".join(f"{code}: {n}" for code, n in sorted(kiosks.close_codes.items()))
        proof.record("closes", sum(kiosks.close_codes.values()), closes)
        proof.record("messages", len([t for t in ledger.requests]), "taken in message mode")
        counted = ", ".join(f"{kind} {n}" for kind, n in sorted(kiosks.outcomes.items()))
        proof.record("outcomes", sum(kiosks.outcomes.values()), counted)
        proof.record("echoes", kiosks.echo_count, "of tunnels")
        proof.record("rules_broken", len(broken), "by the ledger's audit")
        for violation in broken[:3]:
            print(violation)
        proof.check(hit > 0, "no session was on the nodes that were hit")
        proof.check(worst <= DRAIN + SLACK, f"a node that drains was held for {worst:.2f} s")
        proof.check(not unserved, f"{unserved} sessions were not served again")
        proof.check(most <= MOST_SHARE * even + 3, f"{most} reconnects in 100 ms")
        taken = {t.request_id for t in ledger.requests}
        proof.check(
            len(ledger.requests) == len(ledger.answers) == sum(kiosks.outcomes.values())
            and {answer.request_id for answer in ledger.answers} == taken,
            "messages and outcomes don't pair",
        )
        proof.check(not broken, f"{len(broken)} rules broken")
        proof.check(set(kiosks.close_codes) <= {1012}, f"sessions closed otherwise: {closes}")


@dataclass(slots=True)
class Found:
    faults: int = 0
    events: int = 0
    wrong: int = 0


def fuzz_frames(seed: int, count: int) -> Found:
    """Seeded streams of good, odd and broken frames, cut anywhere."""
    draw = Random(seed)
    found = Found()
    for _ in range(count):
        data = random_frames(draw)
        codec = FrameCodec(False, 4096)
        place = 0
        try:
            while place < len(data):
                step = draw.randrange(1, len(data) + 1)
                codec.receive(data[place : place + step])
                place += step
                found.events += sum(1 for _ in codec.events())
        except ProtocolViolationError as fault:
            found.faults += 1
            found.wrong += fault.close_code not in (1002, 1007, 1008, 1009)
        except Exception as fault:
            found.wrong += 1
            print(f"wrong: {data.hex()}: {fault!r}")
    return found


def fuzz_sessions(seed: int, count: int) -> int:
    """Seeded histories of the session table: how many gave a message two outcomes, or did not add up."""
    wrong = 0
    for number in range(count):
        draw = Random(f"{seed} {number}")
        book = SessionRegistry(20_000)
        numbers: dict[tuple[int, str], int] = {}
        for now in range(draw.randrange(5, 60)):
            token = str(draw.randrange(3))
            id = str(draw.randrange(IDS))
            session = book.sessions.get(token)
            if session is None:
                book.create(token, "", "p")
                continue
            what = draw.randrange(7)
            key = (hash((id, session)), id)
            if what < 2:
                taking, known = session.status_of(id)
                if taking is MessageStatus.NEW:
                    session.pending[id] = now
                    numbers.pop(key, None)
                elif known is not None:
                    wrong += numbers.get(key) != known.number
            elif what < 4 and id in session.pending:
                n = session.settle(id)
                wrong += key in numbers
                numbers[key] = n
                book.store(session, Outcome(n, id, "x" * draw.randrange(1, 9000)))
            elif what == 4:
                book.detach(session, now)
            elif what == 5:
                book.acknowledge(session, draw.randrange(1 + session.last_number))
                book.resume(token, "", "q")
            elif what == 6 and draw.random() < 0.2:
                book.end(session)
            wrong += (
                book.stored_bytes != sum(s.stored_bytes for s in book.sessions.values())
                or book.stored_bytes > 20_000
            )
        for session in list(book.sessions.values()):
            book.end(session)
        wrong += book.stored_bytes != 0 or bool(book.detached)
    return wrong


def fuzz(proof: BenchmarkReport, size: Size) -> None:
    fuzz_frames(proof.seed, 200)  # what is made once is there now
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    found = fuzz_frames(proof.seed, size.streams)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    wrong = fuzz_sessions(proof.seed, size.histories)
    proof.record("fuzz_streams", size.streams, f"with {found.events} events and {found.faults} faults")
    proof.record("fuzz_wrong", found.wrong, "exceptions, or codes that none has")
    proof.record("fuzz_grown", grown / 1000, "kB held after them")
    proof.record("fuzz_histories", size.histories, f"of the session table, {wrong} wrong")
    proof.check(not found.wrong and not wrong, "the fuzz found something")
    proof.check(0 < found.faults < size.streams, "the fuzz's streams are all good, or all bad")
    proof.check(grown < 100_000, f"the fuzz left {grown} bytes")


async def memory(proof: BenchmarkReport, size: Size) -> None:
    async with fleet(size, 4) as (program, kiosks, _, _, _):
        for name, path in (("talk", "/pantalla"), ("tunnel", "/vigia")):
            await connected(kiosks, 50, path)  # what the first ones bring with them
            before = program.resident_mb()
            count = size.sessions // 2 - 50
            await connected(kiosks, count, path)
            each = (program.resident_mb() - before) * 1024 / count
            proof.record(f"idle_{name}", each, f"kB of the proxy's memory, each of {count}")
            proof.check(each < MOST_MEMORY, f"an idle {name} holds {each:.1f} kB")


async def cost(proof: BenchmarkReport, size: Size) -> None:
    """CPU of an echo through a tunnel and through a bare relay, in turns; and of a message that is a call."""
    more = "messages_per_s = 10000.0\nburst = 10000.0\nopen_messages = 1000\n"
    async with AsyncExitStack() as stack:
        program, kiosks, nodes, _, _ = await stack.enter_async_context(fleet(size, 1, more))
        relay = await stack.enter_async_context(running_relay(nodes[0].address))
        direct = WebSocketClientPool(Recorder(), [relay.address])
        through: dict[str, tuple[int, WebSocketClientPool, list[WebSocketClient]]] = {
            "relay": (relay.pid, direct, await connected(direct, 8, "/vigia")),
            "tunnel": (program.process.pid, kiosks, await connected(kiosks, 8, "/vigia")),
        }
        found: dict[str, list[tuple[float, float]]] = {"relay": [], "tunnel": [], "talk": []}
        talks = await connected(kiosks, 8, "/pantalla")
        for _ in range(TURNS):
            for name, (pid, _, some) in through.items():
                found[name].append(await echoes(pid, some, size.echoes))
            found["talk"].append(await calls(program.process.pid, talks, size.echoes // 4))
        direct.close()
        for name, turns in found.items():
            proof.record(f"cpu_{name}", median(c for c, _ in turns) * 1e6, "us a message and its answer")
            proof.record(f"rate_{name}", median(r for _, r in turns), "a second, one at a time on 8 sessions")
        ratios = [t[0] / b[0] for t, b in zip(found["tunnel"], found["relay"], strict=True)]
        proof.record(
            "tunnel_to_relay", median(ratios), f"times its CPU, {min(ratios):.2f} to {max(ratios):.2f}"
        )


async def echoes(pid: int, some: list[WebSocketClient], count: int) -> tuple[float, float]:
    """CPU s a message, and messages a second."""

    async def one(kiosk: WebSocketClient) -> None:
        for _ in range(count // len(some)):
            before = len(kiosk.texts)
            kiosk.received.clear()
            kiosk.send_text("x" * 32)
            while len(kiosk.texts) == before:
                await kiosk.received.wait()
                kiosk.received.clear()

    return await measured(pid, [one(kiosk) for kiosk in some], count)


async def calls(pid: int, some: list[WebSocketClient], count: int) -> tuple[float, float]:
    async def one(kiosk: WebSocketClient) -> None:
        for _ in range(count // len(some)):
            kiosk.received.clear()
            kiosk.send(DEFAULT_CLASSES[1])
            while kiosk.open_messages:
                await kiosk.received.wait()
                kiosk.received.clear()

    return await measured(pid, [one(kiosk) for kiosk in some], count)


async def measured(pid: int, work: list[Any], count: int) -> tuple[float, float]:
    used = cpu_seconds(pid)
    begun = time.monotonic()
    await asyncio.gather(*work)
    return (cpu_seconds(pid) - used) / count, count / (time.monotonic() - begun)


async def measure(proof: BenchmarkReport, wanted: argparse.Namespace) -> None:
    size = SHORT if wanted.short else FULL
    fuzz(proof, size)
    await memory(proof, size)
    await cost(proof, size)
    await faults(proof, size)


if __name__ == "__main__":
    raise SystemExit(run_benchmark("websocket", measure))
