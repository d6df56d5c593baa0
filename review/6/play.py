"""Clients that send hundreds of valid requests at once take a proxy over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

from review.standins2.platform import (
    TROUBLE,
    Backend,
    Client,
    Discovery,
    KeyMemory,
    Program,
    Proxy,
    Record,
    proxy_config,
    run_case,
    settings,
)

MEMORY_MB = 192  # the largest limit of a scored day
SOCKETS = 1024
BAD_CLIENTS = 300  # under a third of the descriptors, which clients may hold for requests
REQUESTS_AT_ONCE = 900
USUAL_INTERVAL_S = 0.05
USUAL_S = 24.0
BAD_FROM_S = 3.0
LOOK_EACH_S = 0.05


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process (proc(5), status)."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


async def send_at_once(port: int, number: int) -> None:
    """Send many requests in one go on one connection, then read what comes until the connection ends."""
    requests = [
        f"GET /stock/{number} HTTP/1.1\r\nHost: a\r\nX-Call-Id: bad-{number}-{n}\r\nX-Budget: 1200m\r\n\r\n"
        for n in range(REQUESTS_AT_ONCE)
    ]
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write("".join(requests).encode())
        while await reader.read(65536):
            pass
        writer.transport.abort()


async def platform(record: Record, proxy: Proxy) -> bool:
    """Look at the proxy's memory as the platform does; kill it over its limit. Return whether it survived."""
    assert proxy.process is not None
    peak = 0.0
    end = time.monotonic() + USUAL_S
    while time.monotonic() < end and proxy.is_running:
        with contextlib.suppress(OSError, IndexError):
            now_mb = resident_mb(proxy.process.pid)
            if now_mb > peak + 10:
                record.add(f"platform: the proxy has {now_mb:.0f} MB")
            peak = max(peak, now_mb)
        if peak > MEMORY_MB:
            record.add(f"platform: {peak:.0f} MB is over the limit of {MEMORY_MB} MB")
            await proxy.kill()
            return False
        await asyncio.sleep(LOOK_EACH_S)
    record.add(f"platform: peak {peak:.0f} MB, the proxy still runs: {proxy.is_running}")
    return proxy.is_running


async def case(record: Record, folder: Path, programs: list[Program]) -> bool:
    """Let bad clients send much at once; return whether the proxy stays within its memory limit."""
    discovery = Discovery(record)
    backends = [Backend(record, f"n-{n}", "sala-a", KeyMemory(6.0), work=0.1) for n in range(4)]
    for backend in backends:
        await backend.start()
        discovery.put(backend.entry)
    await discovery.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    config = proxy_config("p0", discovery, settings=settings(balancers=1), limits=limits)
    proxy = Proxy(record, folder / "p0", "p0", config)
    programs.append(proxy)
    await proxy.start()
    await proxy.wait_ready()
    client = Client(record)
    answers: list[int] = []

    async def usual(number: int) -> None:
        code, _ = await client.send(proxy.port, "/stock/1", f"usual-{number}", method="GET", budget_ms=1200)
        answers.append(code)

    async def usual_load() -> None:
        async with asyncio.TaskGroup() as tries:
            for number in range(int(USUAL_S / USUAL_INTERVAL_S)):
                if proxy.is_running:
                    tries.create_task(usual(number))
                await asyncio.sleep(USUAL_INTERVAL_S)

    async def bad_load() -> None:
        await asyncio.sleep(BAD_FROM_S)
        record.add(f"{BAD_CLIENTS} clients send {REQUESTS_AT_ONCE} requests each at once")
        await asyncio.gather(*(send_at_once(proxy.port, n) for n in range(BAD_CLIENTS)))

    load = asyncio.create_task(usual_load())
    bad = asyncio.create_task(bad_load()) if TROUBLE else None
    survived = await platform(record, proxy)
    await load
    if bad is not None:
        bad.cancel()
    codes = {code: answers.count(code) for code in sorted(set(answers))}
    record.add(f"answers to usual clients by status, 0 for none: {codes}")
    return survived


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
