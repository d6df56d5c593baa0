"""Usual clients: one request at a time on a kept connection, new connections when all are busy."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import time
from dataclasses import dataclass

from standins.platform import DEADLINES_S, Record

# Shares of the classes at central-santiago.
CLASS_SHARES = (("stock", 0.16), ("reserva", 0.52), ("canje", 0.32))
WAIT_BEYOND_DEADLINE_S = 0.6  # Time after the deadline for which a client still listens for an answer.


@dataclass
class Answer:
    """End of one request: a status and a body, or no answer (status 0)."""

    call_id: str
    class_name: str
    proxy: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes = b""
    note: str = ""


class Clients:
    """Clients of one proxy, who send requests at a steady mean rate."""

    def __init__(self, record: Record, proxy: str, address: tuple[str, int], seed: int) -> None:
        self.record = record
        self.proxy = proxy
        self.address = address
        self.random = random.Random(seed)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, float]] = []
        self.answers: list[Answer] = []
        self.numbers = itertools.count()
        self.tasks: set[asyncio.Task[None]] = set()
        self.prefix = f"{proxy}-{os.urandom(3).hex()}"

    async def send_for(self, seconds: float, rate: float) -> None:
        """Send requests for some seconds, `rate` a second in the mean, and wait for all their ends."""
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            await asyncio.sleep(self.random.expovariate(rate))
            task = asyncio.ensure_future(self.request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(set(self.tasks))

    async def request(self, class_name: str = "") -> Answer:
        """Send one request and return its end."""
        names, shares = zip(*CLASS_SHARES, strict=True)
        class_name = class_name or self.random.choices(names, shares)[0]
        call_id = f"{self.prefix}-{next(self.numbers):06d}"
        budget_s = DEADLINES_S[class_name]
        answer = await self._exchange(call_id, class_name, budget_s)
        self.answers.append(answer)
        self.record.write(
            f"answer {call_id} class={class_name} status={answer.status} "
            f"after={answer.ended_at - answer.sent_at:.3f}s body={answer.body[:60]!r} {answer.note}"
        )
        return answer

    def _message(self, call_id: str, class_name: str, budget_s: float) -> bytes:
        lines = [
            f"{'GET' if class_name == 'stock' else 'POST'} /{class_name} HTTP/1.1",
            "Host: service.internal",
            f"X-Call-Id: {call_id}",
            f"X-Budget: {budget_s * 1000:.0f}m",
        ]
        body = b""
        if class_name == "reserva":
            lines.append(f"Idempotency-Key: key-{call_id}")
        if class_name != "stock":
            body = b"x" * 200
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _exchange(self, call_id: str, class_name: str, budget_s: float) -> Answer:
        message = self._message(call_id, class_name, budget_s)
        sent_at = time.monotonic()
        self.record.write(f"send {call_id} class={class_name} to={self.proxy}")
        for is_last in (False, True):
            reader, writer, is_kept = await self._connection()
            if reader is None or writer is None:
                return Answer(call_id, class_name, self.proxy, sent_at, time.monotonic(), 0, note="refused")
            try:
                writer.write(message)
                async with asyncio.timeout(budget_s + WAIT_BEYOND_DEADLINE_S):
                    status, body, keeps = await read_answer(reader)
            except TimeoutError:
                writer.transport.abort()
                return Answer(call_id, class_name, self.proxy, sent_at, time.monotonic(), 0, note="no answer")
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                writer.transport.abort()
                partial = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
                if is_kept and not partial and not is_last:
                    continue  # The close of a kept connection crossed the request, which is sent once more.
                return Answer(call_id, class_name, self.proxy, sent_at, time.monotonic(), 0, note="broken")
            ended_at = time.monotonic()
            if keeps:
                self.idle.append((reader, writer, ended_at))
            else:
                writer.close()
            return Answer(call_id, class_name, self.proxy, sent_at, ended_at, status, body)
        raise AssertionError

    async def _connection(
        self,
    ) -> tuple[asyncio.StreamReader | None, asyncio.StreamWriter | None, bool]:
        while self.idle:
            reader, writer, _ = self.idle.pop()
            if reader.at_eof() or writer.is_closing():
                writer.close()
                continue
            return reader, writer, True
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return None, None, False
        return reader, writer, False


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Return the status, the body, and whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    status = int(head[0].split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, body, headers.get("connection") != "close"
