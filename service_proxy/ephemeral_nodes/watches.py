"""Watches of a session, stored to be set again after a reconnect. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from service_proxy.ephemeral_nodes import records
from service_proxy.ephemeral_nodes.codes import EventType, OpCode, ReservedXid


@dataclass(slots=True)
class WatchRegistry:
    """Absolute paths of a session's watches, by kind."""

    data: set[str] = field(default_factory=set)
    exists: set[str] = field(default_factory=set)  # Paths that did not exist when the watch was set.
    child: set[str] = field(default_factory=set)
    recursive: set[str] = field(default_factory=set)  # Paths of persistent recursive watches.

    def clear(self) -> None:
        """Remove all watches."""
        for paths in (self.data, self.exists, self.child, self.recursive):
            paths.clear()

    def on_event(self, event: records.WatcherEvent) -> None:
        """Remove the one-shot watches that an event has consumed."""
        if event.type in (EventType.CREATED, EventType.DELETED, EventType.DATA_CHANGED):
            self.data.discard(event.path)
            self.exists.discard(event.path)
        if event.type in (EventType.CHILDREN_CHANGED, EventType.DELETED):
            self.child.discard(event.path)

    def encode_restore(self, last_zxid: int) -> bytes | None:
        """Return the frame that sets all watches again, or None if there are none.

        The server immediately sends the events of changes since `last_zxid`, but not for persistent watches.
        A client with a persistent watch must read again after a reconnect.
        """
        one_shot = (sorted(self.data), sorted(self.exists), sorted(self.child))
        if self.recursive:
            body = records.encode_set_watches2(last_zxid, *one_shot, (), sorted(self.recursive))
            return records.encode_request(ReservedXid.SET_WATCHES, OpCode.SET_WATCHES2, body)
        if any(one_shot):
            body = records.encode_set_watches(last_zxid, *one_shot)
            return records.encode_request(ReservedXid.SET_WATCHES, OpCode.SET_WATCHES, body)
        return None
