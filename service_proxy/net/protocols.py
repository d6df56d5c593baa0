"""What callers' and backends' sides are to each other: neither imports the other, both know these."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from service_proxy.policy.events import AttemptStatus


class ResponseSink(Protocol):
    """Where an answer goes that is passed on as it comes."""

    def write(self, data: bytes) -> None: ...

    def finish(self) -> None:
        """It is whole."""

    def fail(self) -> None:
        """It will never be whole."""


class ResponseSource(Protocol):
    """An answer that comes on by and by."""

    def stream_to(self, sink: ResponseSink) -> None: ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def discard(self) -> None:
        """Nobody takes the rest."""


class UpgradeNegotiation(Protocol):
    """Who wants a connection to a backend that is no HTTP any more: a request for an upgrade."""

    def request_headers(self) -> bytes:
        """Header lines of the next attempt."""

    def verify_response(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        """What is wrong with the 101; None: nothing."""

    def upgraded(
        self,
        connection: Any,
        headers: list[tuple[bytes, bytes]],
        surplus: bytes,
        on_end: Callable[[AttemptStatus], None],
    ) -> None:
        """It is theirs from now on, with what came behind the 101. `over` is called once, at its end."""

    def client_disconnected(self) -> None:
        """Who asked for it has gone first."""
