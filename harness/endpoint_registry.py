"""A stand-in for the endpoint registry ("padron" in the pages): its list and watches, answered late.

Each change is put in force after a delay that is drawn from a range; what it then tells to whom, and when,
goes to the ledger. Loopback, port 0.
"""

from __future__ import annotations

import asyncio
import json
import time
from random import Random
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from harness.event_loop import listen
from harness.recorder import Notification, Recorder

Entry = dict[str, Any]
ENDS = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


def entry(name: str, address: str, **more: Any) -> Entry:
    """As the list has it; `more` overrides zone, type, group, status, weight, since_ms."""
    usual = {"zone": "a", "type": "m", "group": 1, "status": "Ready", "weight": 1.0, "since_ms": 0}
    return {"name": name, "address": address, **usual, **more}


class EndpointRegistry:
    def __init__(
        self, ledger: Recorder, seed: int = 0, delay_range: tuple[float, float] = (0.0, 0.0), proxy: str = ""
    ) -> None:
        """`proxy`: the one that asks it, where each has its own."""
        self.loop = asyncio.get_running_loop()
        self.ledger = ledger
        self.delay_range = delay_range
        self.proxy = proxy
        self.random = Random(seed)
        self.index = 1
        self.entries: dict[str, Entry] = {}
        self.changed: dict[str, int] = {}  # name: the index of its last change
        self.waiting: set[RegistryConnection] = set()
        self.connections: set[RegistryConnection] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.silent = False

    async def start(self) -> str:
        self.server, self.address = await listen(lambda: RegistryConnection(self))
        return self.address

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def put(self, item: Entry, delay_range: tuple[float, float] | None = None) -> None:
        """In force after the delay."""
        low, high = self.delay_range if delay_range is None else delay_range
        wait = self.random.uniform(low, high)
        if wait:
            self.loop.call_later(wait, self._put, item)
        else:
            self._put(item)

    def _put(self, item: Entry) -> None:
        self.index += 1
        self.entries[item["name"]] = item
        self.changed[item["name"]] = self.index
        for connection in list(self.waiting):
            connection.respond()

    def listing(self, since: int | None) -> bytes:
        if since is None or since > self.index:
            found = [item for item in self.entries.values() if item["status"] != "Gone"]
        else:
            found = [item for name, item in self.entries.items() if self.changed[name] > since]
        whole = since is None or since > self.index
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": found}).encode()


class RegistryConnection(asyncio.Protocol):
    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.since: int | None = None
        self.sent: dict[str, str] = {}
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.registry.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.registry.connections.discard(self)
        self.registry.waiting.discard(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.target = url

    def on_message_complete(self) -> None:
        asked = parse_qs(urlsplit(self.target.decode()).query)
        self.since = int(asked["from"][0]) if "from" in asked else None
        hold = float(asked.get("hold_ms", ["0"])[0]) / 1000
        if self.since is None or self.since != self.registry.index or not hold:
            self.respond()
            return
        self.registry.waiting.add(self)
        self.timer = self.registry.loop.call_later(hold, self.respond)

    def respond(self) -> None:
        if self.registry.silent:
            return
        self.registry.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is None:
            return
        body = self.registry.listing(self.since)
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)
        now = time.monotonic()
        for item in json.loads(body)["endpoints"]:
            told = Notification(item["name"], now, ENDS[item["status"]], "padron", self.registry.proxy)
            self.registry.ledger.notifications.append(told)
