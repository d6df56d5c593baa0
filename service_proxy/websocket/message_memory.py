"""Memory of the messages that clients send: bytes of all sessions together, within one limit. Does no I/O."""

from __future__ import annotations

from typing import Protocol

PENDING_OVERHEAD_BYTES = 3 * 1024  # Memory of a pending message beside its body.


class MessageReceiver(Protocol):
    """Connection on which a message arrives."""

    def on_no_room(self) -> None:
        """Give up the message that is arriving, and release its bytes, because others need the memory."""


def pending_bytes(body_bytes: int) -> int:
    """Return the bytes that a message with a body of this length takes until its outcome."""
    return PENDING_OVERHEAD_BYTES + body_bytes


class MessageMemory:
    """Memory of the messages that are arriving, and of those that are pending.

    Each of both has half of the memory, so that neither takes the room of the other.

    Args:
        max_bytes: Limit of all messages together.

    Attributes:
        pending_bytes: Bytes of the messages that have no outcome yet.
        arriving_bytes: Bytes of the messages that are arriving.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes // 2
        self._arriving: dict[MessageReceiver, int] = {}
        self.pending_bytes = 0
        self.arriving_bytes = 0

    def reserve_pending(self, size: int) -> bool:
        """Reserve bytes for a pending message, and return whether there was room."""
        if self.pending_bytes + size > self._max_bytes:
            return False
        self.pending_bytes += size
        return True

    def release_pending(self, size: int) -> None:
        """Release the bytes of a pending message."""
        self.pending_bytes -= size

    def reserve_arriving(self, receiver: MessageReceiver, size: int) -> bool:
        """Reserve bytes for the next part of an arriving message, and return whether there was room.

        Larger messages make room, so that clients that never complete theirs do not take the room of all
        others.
        """
        message_bytes = self._arriving.get(receiver, 0) + size
        while self.arriving_bytes + size > self._max_bytes:
            largest = max(self._arriving, key=self._arriving.__getitem__, default=None)
            if largest is None or self._arriving[largest] <= message_bytes:
                return False
            largest.on_no_room()
        self.arriving_bytes += size
        self._arriving[receiver] = message_bytes
        return True

    def release_arriving(self, receiver: MessageReceiver) -> None:
        """Release the bytes of a message that is complete or given up."""
        self.arriving_bytes -= self._arriving.pop(receiver, 0)
