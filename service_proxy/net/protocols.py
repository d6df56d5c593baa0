"""What callers' and backends' sides are to each other: neither imports the other, both know these."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from service_proxy.policy.events import AttemptStatus


class Sink(Protocol):
    """Where an answer goes that is passed on as it comes."""

    def feed(self, data: bytes) -> None: ...

    def finish(self) -> None:
        """It is whole."""

    def broken_off(self) -> None:
        """It will never be whole."""


class Source(Protocol):
    """An answer that comes on by and by."""

    def relay(self, sink: Sink) -> None: ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def drop(self) -> None:
        """Nobody takes the rest."""


class Switch(Protocol):
    """Who wants a connection to a backend that is no HTTP any more: a request for an upgrade."""

    def lines(self) -> bytes:
        """Header lines of the next attempt."""

    def proven(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        """What is wrong with the 101; None: nothing."""

    def switched(
        self,
        connection: Any,
        headers: list[tuple[bytes, bytes]],
        rest: bytes,
        over: Callable[[AttemptStatus], None],
    ) -> None:
        """It is theirs from now on, with what came behind the 101. `over` is called once, at its end."""

    def dropped(self) -> None:
        """Who asked for it has gone first."""
