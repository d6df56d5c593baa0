"""Discovery service that is asked: whole lists, and watches on changes (the operators' page PROTOCOL)."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.platform import Record

MAX_HOLD_S = 60.0


@dataclass
class Call:
    """One call: when it came, when its wait ends, and when its answer was written or the caller left."""

    caller: int
    came_at: float
    wait_ends_at: float
    written_at: float | None = None
    written_index: int = 0
    left_at: float | None = None


@dataclass
class Caller:
    """All calls of one proxy."""

    calls: list[Call] = field(default_factory=list)


class Discovery:
    """Discovery service with one list; each answer leaves `answer_s` after it is due.

    The proxies are told apart by the port on which they call: each has an address of its own.
    """

    def __init__(self, record: Record, answer_s: float) -> None:
        self.record = record
        self.answer_s = answer_s
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at_index: dict[str, int] = {}
        self.change = asyncio.Event()
        self.callers: list[Caller] = []
        self.servers: list[asyncio.Server] = []

    async def listen(self) -> str:
        """Listen for one more proxy, and return the address that the proxy is told."""
        number = len(self.callers)
        self.callers.append(Caller())

        async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._serve(number, reader, writer)
            writer.close()

        server = await asyncio.start_server(connection, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def set_entry(self, name: str, /, **values: Any) -> None:
        """Add an endpoint or change it, as one new version of the list."""
        self.index += 1
        self.entries[name] = {**self.entries.get(name, {}), **values, "name": name}
        self.changed_at_index[name] = self.index
        self.change.set()
        self.change = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        entries = [entry for entry in self.entries.values() if entry["status"] != "Gone"]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    def _changes(self, after: int) -> dict[str, Any]:
        changed = [self.entries[name] for name, index in self.changed_at_index.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def _serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            target = urlsplit(head.split(b" ", 2)[1].decode())
            query = parse_qs(target.query)
            now = time.monotonic()
            hold = min(MAX_HOLD_S, float(query.get("hold_ms", ["0"])[0]) / 1000)
            after = int(query["from"][0]) if "from" in query else None
            call = Call(number, now, now + (hold if after is not None else 0.0))
            self.callers[number].calls.append(call)
            self.record.write(f"discovery call proxy=n{number} target={target.path}?{target.query}")
            leaving = asyncio.ensure_future(reader.read(1))
            try:
                answered = await self._answer(call, after, writer, leaving)
            finally:
                if not leaving.done():
                    leaving.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await leaving
            if not answered:
                call.left_at = time.monotonic()
                self.record.write(f"discovery given up by proxy=n{number} after={call.left_at - now:.2f}s")
                return

    async def _answer(
        self, call: Call, after: int | None, writer: asyncio.StreamWriter, leaving: asyncio.Future[bytes]
    ) -> bool:
        """Write the answer when it is due and the service has done its work; False if the caller left."""
        while after is not None and self.index <= after and time.monotonic() < call.wait_ends_at:
            news = asyncio.ensure_future(self.change.wait())
            wait = max(0.0, call.wait_ends_at - time.monotonic())
            await asyncio.wait([news, leaving], timeout=wait, return_when=asyncio.FIRST_COMPLETED)
            news.cancel()
            if leaving.done():
                return False
        await asyncio.wait([leaving], timeout=self.answer_s)
        if leaving.done():
            return False
        body = json.dumps(self.whole_list() if after is None else self._changes(after)).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        writer.write(body)
        call.written_at = time.monotonic()
        call.written_index = self.index
        self.record.write(
            f"discovery answer proxy=n{call.caller} index={self.index} "
            f"after={call.written_at - call.came_at:.2f}s"
        )
        return True
