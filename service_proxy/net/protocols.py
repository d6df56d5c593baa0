"""Protocols between the downstream and the upstream side, so that neither side imports the other."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from service_proxy.policy.events import AttemptStatus


class StreamFailure(Enum):
    """Reason for which a streamed response will never be complete."""

    ENDPOINT_FAILED = "endpoint_failed"  # The connection broke, or the response is malformed.
    ENDPOINT_STALLED = "endpoint_stalled"
    CLIENT_STALLED = "client_stalled"
    OUT_OF_TIME = "out_of_time"  # The deadline of a response that is needed complete, or of the shutdown.


class ResponseSink(Protocol):
    """Receiver of a streamed response."""

    def has_accepted_data(self) -> bool:
        """Return whether the client has accepted a part of the response since the previous call."""

    def write(self, data: bytes) -> None:
        """Write the next piece of the body."""

    def finish(self) -> None:
        """Record that the body is complete."""

    def fail(self, reason: StreamFailure) -> None:
        """Record that the body will never be complete."""


class ResponseSource(Protocol):
    """Source of a streamed response."""

    def stream_to(self, sink: ResponseSink) -> None:
        """Write the body to this sink from now on."""

    def pause(self) -> None:
        """Stop writing until `resume`, because the sink's buffer is full."""

    def resume(self) -> None:
        """Continue writing after `pause`."""

    def discard(self) -> None:
        """Discard the rest of the body, because no client receives it."""


class UpgradeNegotiation(Protocol):
    """Negotiation of an upgrade request; receives the endpoint's connection after the switch from HTTP."""

    def request_headers(self) -> bytes:
        """Return the header lines of the next attempt."""

    def verify_response(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        """Return the fault of a 101 response; None if it has no fault."""

    def upgraded(
        self,
        connection: Any,
        headers: list[tuple[bytes, bytes]],
        surplus: bytes,
        on_end: Callable[[AttemptStatus], None],
    ) -> None:
        """Receive the connection and the bytes after the 101; call `on_end` once when the connection ends."""

    def client_disconnected(self) -> None:
        """Record that the client disconnected before the upgrade."""
