"""A request's body between its caller and backends: held whole, or passed on as it comes.

No sockets here: who reads it is told when there is more, who fills it when there is room.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

WINDOW = 64 * 1024  # bytes of a body that is passed on which may wait here for the backend


def chunk_of(data: bytes) -> tuple[bytes, bytes, bytes]:
    """As it stands in a chunked message (RFC 9112, 7.1); not for none, which would end it."""
    return b"%x\r\n" % len(data), data, b"\r\n"


class Reader(Protocol):
    """Who sends it on."""

    def more(self) -> None:
        """There is more of it, or it has ended."""


class Body:
    """`kept`: all of it stays until the call has ended, so it can be sent again."""

    __slots__ = ("kept", "length", "on_room", "on_whole", "parts", "reader", "size", "waiting", "whole")

    def __init__(self, length: int | None = None) -> None:
        """`length`: as announced; None: it ends when it ends."""
        self.length = length
        self.parts: list[bytes] = []
        self.size = 0  # bytes that have come
        self.waiting = 0  # bytes of `parts`
        self.kept = True
        self.whole = False
        self.reader: Reader | None = None
        self.on_room: Callable[[], None] | None = None
        self.on_whole: Callable[[], None] | None = None

    @classmethod
    def of(cls, content: bytes) -> Body:
        """One that is whole."""
        made = cls(len(content))
        if content:
            made.add(content)
        made.finish()
        return made

    def add(self, part: bytes) -> None:
        self.parts.append(part)
        self.size += len(part)
        self.waiting += len(part)
        if self.reader is not None:
            self.reader.more()

    def finish(self) -> None:
        """Its last byte has come."""
        self.whole = True
        if self.length is None and self.kept:
            self.length = self.size
        if self.on_whole is not None:
            self.on_whole()
        if self.reader is not None:
            self.reader.more()

    @property
    def full(self) -> bool:
        """Whether who fills it should wait."""
        return not self.kept and self.waiting > WINDOW

    def taken(self) -> list[bytes]:
        """All that waits; it is let go where the body is passed on."""
        parts = self.parts
        self.parts = []
        self.waiting = 0
        if self.on_room is not None:
            self.on_room()
        return parts
