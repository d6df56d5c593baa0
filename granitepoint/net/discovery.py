"""Discovery: reads lists of backends, and asks for them (fetch) or for what changed (watch)."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, cast

import httptools

from granitepoint.interface import ServerEntry, ServerState
from granitepoint.net.config import Address, address

log = logging.getLogger(__name__)

HOLD_MS = 20_000  # how long a watch may wait: a call costs discovery work, and it serves all proxies
PATIENCE = 4.0  # s beyond a call's own wait after which it has failed: calls wait in turn
CONNECT_TIMEOUT = 1.0  # s
LEAST_SPACING = 0.05  # s between two watches, should discovery answer each at once
LARGEST = 8 << 20  # bytes of an answer
MOVE_SPACING = 0.2  # s between tries for the first list of a new address
MOVE_TRIES = 15  # such tries, before the module is told that the call failed

STATES = {"Ready": ServerState.SERVING, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
# Wall less monotonic time, taken once: the same since_ms must give the same figure in every list, or a step
# of the wall clock would look like a restart of every backend.
WALL_OFFSET = time.time() - time.monotonic()


@dataclass(slots=True)
class Listed:
    """A backend as a list names it."""

    address: Address
    entry: ServerEntry


@dataclass(slots=True)
class Listing:
    version: int
    whole: bool
    backends: list[Listed]


def server_id(name: str) -> int:
    """The module's number of a backend: the same at every proxy, whose rings of backends must agree."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def read_listing(raw: object) -> Listing:
    """Raises ValueError where the list can't be used."""
    try:
        if not isinstance(raw, Mapping):
            raise ValueError("not an object")
        return Listing(int(raw["index"]), bool(raw["snapshot"]), [_listed(item) for item in raw["endpoints"]])
    except (KeyError, TypeError, AttributeError, OverflowError) as fault:
        raise ValueError(f"malformed list: {fault!r}") from None


def _listed(item: Mapping[str, Any]) -> Listed:
    since_ms = float(item.get("since_ms") or 0)
    started = max(since_ms / 1000 - WALL_OFFSET, 1e-3) if since_ms > 0 else 0.0
    entry = ServerEntry(
        server=server_id(str(item["name"])),
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=int(item.get("group", 0)),
        state=STATES[item["status"]],
        weight=float(item.get("weight", 1.0)),
        started_at=started,
    )
    if not (entry.weight - entry.weight == 0.0 and started - started == 0.0):
        raise ValueError("a figure of the list is not finite")
    return Listed(address(item["address"]), entry)


class _Channel(asyncio.Protocol):
    """One kept connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser: Any = None
        self.body = bytearray()
        self.raw = 0  # bytes of the answer as they came

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None
        self._fail(ConnectionError("discovery closed the connection"))

    def data_received(self, data: bytes) -> None:
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

    async def get(self, at: Address, target: str, timeout: float) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                if self.transport is None:
                    async with asyncio.timeout(CONNECT_TIMEOUT):
                        await loop.create_connection(lambda: self, *at)
                assert self.transport is not None
                self.parser = httptools.HttpResponseParser(self)
                self.body.clear()
                self.raw = 0
                self.answer = loop.create_future()
                self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {at[0]}:{at[1]}\r\n\r\n".encode())
                return await self.answer
        except BaseException:
            self.close()
            raise
        finally:
            self.answer = None


class Discovery:
    """Asks as the module says, and hands on each list, or that a call failed. Asks nothing by itself, but
    for the next call of a watch that goes on."""

    def __init__(
        self, at: Address, version: int, on_list: Callable[[Listing], None], on_failed: Callable[[], None]
    ) -> None:
        self.at = at
        self.version: int | None = version  # None: nothing is known of this server's versions yet
        self.on_list, self.on_failed = on_list, on_failed
        self._watch: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()

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
        self.at, self.version = at, None
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
        channel = _Channel()
        loop = asyncio.get_running_loop()
        try:
            tries = 0
            while self.version is None:
                tries += 1
                if not await self._ask(channel, "/v1/servers", PATIENCE, tell=tries >= MOVE_TRIES):
                    if tries >= MOVE_TRIES:
                        return
                    await asyncio.sleep(MOVE_SPACING)
            while True:
                begun = loop.time()
                target = f"/v1/servers?from={self.version}&hold_ms={HOLD_MS}"
                if not await self._ask(channel, target, HOLD_MS / 1000 + PATIENCE):
                    return
                await asyncio.sleep(max(0.0, begun + LEAST_SPACING - loop.time()))
        finally:
            channel.close()

    async def _fetching(self) -> None:
        channel = _Channel()
        try:
            await self._ask(channel, "/v1/servers", PATIENCE)
        finally:
            channel.close()

    async def _ask(self, channel: _Channel, target: str, timeout: float, tell: bool = True) -> bool:
        """Whatever goes wrong ends this call only: a watch that ended untold would never be renewed."""
        try:
            code, body = await channel.get(self.at, target, timeout)
            if code != 200:
                raise ValueError(f"status {code}")
            listing = read_listing(json.loads(body))
            self.on_list(listing)
        except Exception as fault:
            log.warning("discovery %s:%d: %s", *self.at, str(fault)[:200] or type(fault).__name__)
            if tell:
                self.on_failed()
            return False
        self.version = listing.version
        return True
