"""Discovery: asks for lists of backends (fetch) or for what changed (watch)."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Callable
from random import Random
from typing import Any, cast

import httptools

from service_proxy.net.freshness import Freshness
from service_proxy.net.listing import Address, Listing, read_listing

log = logging.getLogger(__name__)

LEAST_SPACING = 0.05  # s between two watches, should discovery answer each at once
LARGEST = 8 << 20  # bytes of an answer

# Wall less monotonic time, taken once: the same since_ms must give the same figure in every list, or a step
# of the wall clock would look like a restart of every backend.
WALL_OFFSET = time.time() - time.monotonic()


class _Channel(asyncio.Protocol):
    """One kept connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser: Any = None
        self.body = bytearray()
        self.raw = 0  # bytes of the answer as they came
        self.rest = 0.0  # s for an answer that has begun
        self.limit: asyncio.Timeout | None = None  # of the call that is out

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self._fail(ConnectionError("discovery closed the connection"))

    def data_received(self, data: bytes) -> None:
        if not self.raw and self.limit is not None and not self.limit.expired():
            # It has stopped waiting: an answer that trickles or stands still is a silent one.
            soonest = asyncio.get_running_loop().time() + self.rest
            self.limit.reschedule(min(soonest, self.limit.when() or soonest))
        self.raw += len(data)
        try:
            if self.answer is None or self.answer.done() or self.raw > LARGEST:
                raise ValueError("more than was asked for")
            self.parser.feed_data(data)
        except Exception as fault:  # whatever it is, the stream can't be followed any further
            self._fail(ValueError(f"malformed answer: {fault}"))
            self.close()

    def on_body(self, chunk: bytes) -> None:
        self.body += chunk
        if len(self.body) > LARGEST:
            raise ValueError("the answer is too large")

    def on_message_complete(self) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive():
            self.close()

    def _fail(self, fault: Exception) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(fault)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    async def get(
        self, at: Address, target: str, timeout: float, connect: float, rest: float
    ) -> tuple[int, bytes]:
        """`timeout` for the whole call, `connect` of it for a connection, `rest` once an answer begins."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout) as limit:
                if self.transport is None:
                    async with asyncio.timeout(connect):
                        await loop.create_connection(lambda: self, *at)
                assert self.transport is not None
                self.parser = httptools.HttpResponseParser(self)
                self.body.clear()
                self.raw = 0
                self.rest = rest
                self.limit = limit
                self.answer = loop.create_future()
                self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {at[0]}:{at[1]}\r\n\r\n".encode())
                return await self.answer
        except BaseException:
            self.close()
            raise
        finally:
            self.answer = None
            self.limit = None


class Discovery:
    """Asks as the module says, or all the time where lists are pushed, and hands on each list, or that the
    calls failed. By itself it asks for what a watch brings next, and again where an answer is owed."""

    def __init__(
        self,
        at: Address,
        version: int,
        pace: Freshness,
        seed: int,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.at = at
        self.version: int | None = version  # None: nothing is known of this server's versions yet
        self.pace = pace
        self.random = Random(seed)
        self.on_list = on_list
        self.on_failed = on_failed
        self._watch: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """An agent's list counts as told from the first moment, whoever asks for it."""
        if self.pace.pushed:
            self.watch(True)

    def retune(self, pace: Freshness) -> None:
        before = self.pace
        self.pace = pace
        if not before.pushed:
            self.start()

    def watch(self, on: bool) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if on:
            self._watch = asyncio.get_running_loop().create_task(self._watching())

    def move(self, at: Address) -> None:
        """Another server from now on. What the old one may still say is not heard, and its versions tell
        nothing of the new one's: the whole list comes first, at once, and changes from there."""
        self.stop()
        self.at = at
        self.version = None
        self.watch(True)

    def fetch(self) -> None:
        task = asyncio.get_running_loop().create_task(self._fetching())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def stop(self) -> None:
        for task in (self._watch, *self._fetches):
            if task is not None:
                task.cancel()

    async def _watching(self) -> None:
        """Ends when a call has failed and no list is owed: then who asked for the watch decides."""
        channel = _Channel()
        loop = asyncio.get_running_loop()
        waits = True  # the next call may: nothing is in doubt
        failed = 0  # calls, on end
        owed = loop.time() + self.pace.moved if self.version is None else -math.inf  # until then one is owed
        try:
            while True:
                begun = loop.time()
                pace = self.pace
                if self.version is None:
                    fault = await self._ask(channel, "/v1/servers", pace.first)
                else:
                    hold = round(pace.wait(self.random.random()), 3) if waits else 0.0
                    target = f"/v1/servers?from={self.version}&hold_ms={hold * 1000:.0f}"
                    fault = await self._ask(channel, target, hold + (pace.patience if waits else pace.call))
                if fault is None:
                    waits = True
                    owed = -math.inf
                    failed = 0
                    await asyncio.sleep(max(0.0, begun + LEAST_SPACING - loop.time()))
                    continue
                silent = isinstance(fault, TimeoutError)
                if silent and waits and self.version is not None:
                    # What it missed will count as told: a call that needs no wait brings it, or tells that
                    # there was nothing.
                    owed = loop.time() + pace.owed
                waits = False
                if pace.pushed or loop.time() >= owed:
                    self.on_failed()
                    if not pace.pushed:
                        return
                failed += 1
                if not silent:
                    await asyncio.sleep(pace.pause(failed, self.random.random()))
        finally:
            channel.close()

    async def _fetching(self) -> None:
        channel = _Channel()
        try:
            if await self._ask(channel, "/v1/servers", self.pace.first) is not None:
                self.on_failed()
        finally:
            channel.close()

    async def _ask(self, channel: _Channel, target: str, timeout: float) -> Exception | None:
        """What went wrong ends this call only: a watch that ended untold would never be renewed."""
        pace = self.pace
        try:
            code, body = await channel.get(self.at, target, timeout, pace.connect, pace.call)
            if code != 200:
                raise ValueError(f"status {code}")
            listing = read_listing(json.loads(body), WALL_OFFSET)
            self.on_list(listing)
        except Exception as fault:
            log.warning("discovery %s:%d: %s", *self.at, str(fault)[:200] or type(fault).__name__)
            return fault
        self.version = listing.version
        return None
