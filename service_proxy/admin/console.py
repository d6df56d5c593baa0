"""The second address: the staff's calls over HTTP/1.1, one a connection. Routing is a table of its own
(DAYS, "The second address"); who answers, and what, is the office's.

Bounded: beyond MOST_CONSOLE connections the one that has waited longest without a whole call makes room, so
that callers who hold connections keep nobody out.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, NamedTuple, Protocol, cast
from urllib.parse import unquote_to_bytes

import httptools

from service_proxy.admin.maintenance import LONGEST_NAME
from service_proxy.net.listing import Address

log = logging.getLogger(__name__)

MOST_CONSOLE = 16  # connections at once
MOST_CALL = 8 * 1024  # bytes of a call, with its head
PATIENCE = 5.0  # s from the connect to a whole call
LINGER = 1.0  # s in which an answer must have been taken
SWEEP = 0.5  # s between looks for connections whose time is up
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class Word(NamedTuple):
    """An answer: 2xx is yes, 4xx and 5xx are no."""

    code: int
    text: str


class Office(Protocol):
    """Who answers the calls."""

    def health(self) -> Word: ...

    def stats(self) -> Word: ...

    def take_out(self, name: str) -> Word: ...

    def put_back(self, name: str) -> Word: ...


def route(office: Office, method: bytes, target: bytes) -> Word:
    """One call. What is no call of ours is owed a no."""
    path = target.partition(b"?")[0]
    parts = path.split(b"/")[1:] if path.startswith(b"/") else []
    if len(parts) == 1 and parts[0] in (b"healthcheck", b"stats"):
        if method != b"GET":
            return Word(405, "this is asked with GET\n")
        return office.health() if parts[0] == b"healthcheck" else office.stats()
    if len(parts) == 3 and parts[0] == b"backends" and parts[2] in (b"maint", b"ready"):
        if method != b"POST":
            return Word(405, "this is asked with POST\n")
        name = unquote_to_bytes(parts[1])
        if not 0 < len(name) <= LONGEST_NAME:
            return Word(404, "no such backend\n")
        text = name.decode("utf-8", "replace")
        return office.take_out(text) if parts[2] == b"maint" else office.put_back(text)
    return Word(
        404, "no such call; there are /healthcheck, /stats, /backends/ID/maint and /backends/ID/ready\n"
    )


class Call(asyncio.Protocol):
    """One connection with one call."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.word: Word | None = None
        self.since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.since = time.monotonic()
        self.console.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self.console.calls.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.word is not None:
            return  # what comes behind the call is read, so that the answer arrives, and dropped
        self.size += len(data)
        try:
            self.parser.feed_data(data)
            if self.word is None and self.size > MOST_CALL:
                self.word = Word(400, "the call does not end\n")
        except Exception:  # of the parser
            if self.word is None:
                self.word = Word(400, "malformed HTTP\n")
        if self.word is not None:
            self._answer(self.word)

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_message_complete(self) -> None:
        if self.word is not None:
            return  # a second call on the connection
        try:
            self.word = route(self.console.office, self.parser.get_method(), self.target)
        except Exception:
            log.exception("a call of the console failed")
            self.word = Word(503, "internal error\n")

    def _answer(self, word: Word) -> None:
        if self.transport is None:
            return
        body = word.text.encode()
        head = (
            f"HTTP/1.1 {word.code} {REASONS[word.code]}\r\ncontent-type: text/plain; charset=utf-8\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.since = time.monotonic()
        self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Console:
    """The listener."""

    def __init__(self, office: Office) -> None:
        self.office = office
        self.loop = asyncio.get_running_loop()
        self.calls: dict[Call, None] = {}  # in the order in which they came
        self.listener: asyncio.Server | None = None
        self.sweeper: asyncio.TimerHandle | None = None

    async def listen(self, at: Address) -> None:
        """Raises OSError where it can't."""
        self.listener = await self.loop.create_server(lambda: Call(self), *at, backlog=64)
        self._sweep()

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for call in list(self.calls):
            call.abort()

    def add(self, call: Call) -> None:
        if len(self.calls) >= MOST_CONSOLE:
            oldest = next((other for other in self.calls if other.word is None), next(iter(self.calls)))
            del self.calls[oldest]
            oldest.abort()
        self.calls[call] = None

    def _sweep(self) -> None:
        now = time.monotonic()
        for call in list(self.calls):
            if now - call.since > (PATIENCE if call.word is None else LINGER):
                call.abort()
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)
