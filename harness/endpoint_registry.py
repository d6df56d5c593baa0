"""Stand-in for the endpoint registry ("padron" in the pages), which applies changes of its list late.

It answers polls and watches of the list. Each change takes effect after a delay that is drawn from a range.
The registry records which proxy was notified of which state and when. It listens on loopback, port 0.
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
STATE_BY_STATUS = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}


def entry(name: str, address: str, **more: Any) -> Entry:
    """Return an endpoint list entry; `more` overrides zone, type, group, status, weight and since_ms."""
    usual = {"zone": "a", "type": "m", "group": 1, "status": "Ready", "weight": 1.0, "since_ms": 0}
    return {"name": name, "address": address, **usual, **more}


class EndpointRegistry:
    """The registry's entries, and the connections of the proxies that poll it.

    `delay_range` bounds the delay of changes in s. `proxy` names the only proxy that polls the registry, if
    each proxy has its own registry.
    """

    def __init__(
        self,
        recorder: Recorder,
        seed: int = 0,
        delay_range: tuple[float, float] = (0.0, 0.0),
        proxy: str = "",
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.recorder = recorder
        self.delay_range = delay_range
        self.proxy = proxy
        self.random = Random(seed)
        self.index = 1
        self.entries: dict[str, Entry] = {}
        self.changed_at_index: dict[str, int] = {}  # list index of each endpoint's last change, by name
        self.watchers: set[RegistryConnection] = set()
        self.connections: set[RegistryConnection] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.is_silent = False

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        self.server, self.address = await listen(lambda: RegistryConnection(self))
        return self.address

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def put(self, item: Entry, delay_range: tuple[float, float] | None = None) -> None:
        """Apply a change of an entry after the delay."""
        low, high = self.delay_range if delay_range is None else delay_range
        wait = self.random.uniform(low, high)
        if wait:
            self.loop.call_later(wait, self._put, item)
        else:
            self._put(item)

    def _put(self, item: Entry) -> None:
        self.index += 1
        self.entries[item["name"]] = item
        self.changed_at_index[item["name"]] = self.index
        for connection in list(self.watchers):
            connection.respond()

    def encode_list(self, since: int | None) -> bytes:
        """Return the changes since an index, or the full list if `since` is None or unknown."""
        is_snapshot = since is None or since > self.index
        if since is None or is_snapshot:
            changed = [item for item in self.entries.values() if item["status"] != "Gone"]
        else:
            changed = [item for name, item in self.entries.items() if self.changed_at_index[name] > since]
        return json.dumps({"index": self.index, "snapshot": is_snapshot, "endpoints": changed}).encode()


class RegistryConnection(asyncio.Protocol):
    """One connection from a proxy that polls."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.since_index: int | None = None
        self.hold_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.registry.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the registry."""
        self.transport = None
        self.registry.connections.discard(self)
        self.registry.watchers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests."""
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Store the request target."""
        self.target = url

    def on_message_complete(self) -> None:
        """Answer now, or after a change or the end of the hold time."""
        query = parse_qs(urlsplit(self.target.decode()).query)
        self.since_index = int(query["from"][0]) if "from" in query else None
        hold = float(query.get("hold_ms", ["0"])[0]) / 1000
        if self.since_index is None or self.since_index != self.registry.index or not hold:
            self.respond()
            return
        self.registry.watchers.add(self)
        self.hold_timer = self.registry.loop.call_later(hold, self.respond)

    def respond(self) -> None:
        """Send the changes, and record which endpoints' states they notify the proxy of."""
        if self.registry.is_silent:
            return
        self.registry.watchers.discard(self)
        if self.hold_timer is not None:
            self.hold_timer.cancel()
        if self.transport is None:
            return
        body = self.registry.encode_list(self.since_index)
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)
        now = time.monotonic()
        for item in json.loads(body)["endpoints"]:
            notification = Notification(
                item["name"], now, STATE_BY_STATUS[item["status"]], "registry", self.registry.proxy
            )
            self.registry.recorder.notifications.append(notification)
