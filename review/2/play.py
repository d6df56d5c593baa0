"""Case: bad clients send bodies of 60 MB, in small chunks."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

from standins.backend import Backend
from standins.clients import Clients
from standins.discovery import Discovery
from standins.platform import ZONES, Platform, RunningProxy, run_case

PROXIES = 3
BACKENDS = 6
RATE_PER_PROXY = 30.0
MEMORY_MB = 192  # "On the days that are scored the limits are at most 192 MB and 1,024 descriptors"
BAD_CLIENTS = 24  # At one proxy.
BODY_BYTES = 60_000_000
CHUNK_BYTES = 16
WRITE_BYTES = 64 * 1024
QUIET_S = 4.0
PLAY_S = 36.0
MEMORY_CHECK_S = 0.02


async def send_bad_request(number: int, address: tuple[str, int], platform: Platform) -> None:
    """Send a body of 60 MB at full speed, read the answer, and go."""
    record = platform.record
    piece = b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"
    block = piece * (WRITE_BYTES // len(piece))
    sent = 0

    async def send(writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        with contextlib.suppress(ConnectionError):
            while sent < BODY_BYTES:
                writer.write(block)
                sent += len(block) // len(piece) * CHUNK_BYTES
                await writer.drain()
            writer.write(b"0\r\n\r\n")

    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError as error:
        record.write(f"bad client {number}: {error!r}")
        return
    writer.write(
        b"POST /nada HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: bad-%d\r\n"
        b"X-Budget: 6000m\r\nTransfer-Encoding: chunked\r\n\r\n" % number
    )
    sending = asyncio.ensure_future(send(writer))
    end = "nothing"
    with contextlib.suppress(ConnectionError):
        end = repr((await reader.read(4096))[:40])
    record.write(f"bad client {number}: got {end}, had sent {sent} bytes of body")
    sending.cancel()
    writer.transport.abort()


async def watch_memory(platform: Platform, proxy: RunningProxy, peak: dict[str, float]) -> None:
    """Kill a proxy that is over its memory limit, as the platform does."""
    while not proxy.has_ended:
        memory = proxy.memory_mb()
        peak[proxy.name] = max(peak[proxy.name], memory)
        if memory > MEMORY_MB:
            platform.record.say(f"BREAK crash: {proxy.name} holds {memory:.0f} MB, over {MEMORY_MB}: killed")
            await proxy.kill()
            return
        await asyncio.sleep(MEMORY_CHECK_S)


async def play(platform: Platform, has_trouble: bool) -> bool:
    """Return whether no proxy had to be killed for its memory."""
    record = platform.record
    discovery = Discovery(record, 0.02)
    service = random.Random(1)
    backends = [
        Backend(record, f"s-{i:02d}", ZONES[i % 3], lambda: service.uniform(0.04, 0.12))
        for i in range(BACKENDS)
    ]
    for backend in backends:
        await backend.start()
        discovery.set_entry(backend.name, **backend.entry())
    known = discovery.whole_list()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    for number in range(PROXIES):
        await platform.start_proxy(number, PROXIES, await discovery.listen(), known, limits)
    peak = {proxy.name: 0.0 for proxy in platform.proxies}
    watching = [asyncio.ensure_future(watch_memory(platform, p, peak)) for p in platform.proxies]
    clients = [
        Clients(record, proxy.name, proxy.address, number) for number, proxy in enumerate(platform.proxies)
    ]
    sending = [asyncio.ensure_future(c.send_for(PLAY_S, RATE_PER_PROXY)) for c in clients]
    await asyncio.sleep(QUIET_S)
    bad: list[asyncio.Task[None]] = []
    if has_trouble:
        address = platform.proxies[0].address
        bad = [asyncio.ensure_future(send_bad_request(i, address, platform)) for i in range(BAD_CLIENTS)]
    await asyncio.gather(*sending)
    ended = [proxy.name for proxy in platform.proxies if proxy.has_ended]
    for task in (*watching, *bad):
        task.cancel()
    answers = [answer for c in clients for answer in c.answers]
    statuses = {s: sum(a.status == s for a in answers) for s in {a.status for a in answers}}
    unanswered = [a for a in answers if a.note in ("broken", "no answer")]
    record.say(
        f"requests={len(answers)} statuses={statuses} broken={len(unanswered)} "
        f"peak_mb={ {name: round(mb) for name, mb in peak.items()} } ended={ended}"
    )
    return not ended


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
