"""What the downstream and upstream sides are to each other: neither imports the other, both know these."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from service_proxy.policy.events import AttemptStatus


class ResponseSink(Protocol):
    """Where a response goes that is streamed."""

    def write(self, data: bytes) -> None:
        """Take the next piece of the body."""

    def finish(self) -> None:
        """Take note that the body is complete."""

    def fail(self) -> None:
        """Take note that the body will never be complete."""


class ResponseSource(Protocol):
    """A response that is streamed."""

    def stream_to(self, sink: ResponseSink) -> None:
        """Write the body to this sink from now on."""

    def pause(self) -> None:
        """Write no more for now: the sink has had enough."""

    def resume(self) -> None:
        """Write on."""

    def discard(self) -> None:
        """Give up: nobody takes the rest."""


class UpgradeNegotiation(Protocol):
    """Who wants a connection to an endpoint that speaks no HTTP any more, for a request for an upgrade."""

    def request_headers(self) -> bytes:
        """Return the header lines of the next attempt."""

    def verify_response(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        """Return what is wrong with a 101; None: nothing."""

    def upgraded(
        self,
        connection: Any,
        headers: list[tuple[bytes, bytes]],
        surplus: bytes,
        on_end: Callable[[AttemptStatus], None],
    ) -> None:
        """Take the connection, with what came behind the 101; `on_end` is called once, at its end."""

    def client_disconnected(self) -> None:
        """Take note that the client has left first."""
