"""A message whose answer stops in the middle gets no outcome within its time."""

from __future__ import annotations

import asyncio
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
    warm_up,
)
from review.standins2.websocket import Kiosk

MESSAGES = 4
BUDGET_S = 4.0  # what each message says, and the class's deadline
SLACK_S = 0.5  # up to so long after its time a late answer only earns nothing; later it is lost
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"5\r\nhello\r\n"
END = b"0\r\n\r\n"


async def case(record: Record, folder: Path, programs: list[Program]) -> bool:
    """Let answers stop in the middle; return whether each message got its outcome in time."""
    discovery = Discovery(record)
    backends = []
    for number in range(2):
        backend = Backend(record, f"n-{number}", "sala-a", KeyMemory(6.0), work=0.1)
        await backend.start()
        discovery.put(backend.entry)
        backends.append(backend)
    await discovery.start()
    config = proxy_config("p0", discovery, settings=settings(balancers=1))
    proxy = Proxy(record, folder / "p0", "p0", config, '[websocket]\nmessages = ["pantalla"]\n')
    programs.append(proxy)
    await proxy.start()
    await proxy.wait_ready()
    await warm_up(Client(record), [proxy.port], 4)

    for backend in backends:
        backend.raw_answer = CHUNKED + CHUNK + (b"" if TROUBLE else END)
    kiosk = Kiosk(record, proxy.port)
    await kiosk.connect()
    sent_at = time.monotonic()
    for number in range(MESSAGES):
        fields = {"id": f"m{number}", "class": "reserva", "key": f"K{number}", "path": f"/{number}"}
        kiosk.send(**fields, budget_ms=int(BUDGET_S * 1000))
    await asyncio.sleep(sent_at + BUDGET_S + SLACK_S - time.monotonic())
    missing = [n for n in range(MESSAGES) if f"m{n}" not in kiosk.outcomes]
    record.add(f"without an outcome {BUDGET_S + SLACK_S:g} s after they were sent: {missing}")
    if missing:  # For the record only.
        await asyncio.sleep(13.0)
    return not missing


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
