"""Reconnect delays for clients whose session ends, so that the clients do not reconnect at one instant.

The position of each delay is the previous position plus the golden section of the span, so any number of
delays fills the span evenly (a Weyl sequence: among n delays, no 100 ms contain more than their share plus
two). The first position is random, so that proxies differ. This module does no I/O.
"""

from __future__ import annotations

from random import Random

GOLDEN_SECTION = 0.6180339887498949


class ReconnectSpread:
    """Sequence of delays that are spread evenly over a span.

    Attributes:
        span: Time over which clients are spread, s.
        position: Latest delay as a share of the span.
    """

    def __init__(self, seed: int, span: float) -> None:
        self.span = span
        self.position = Random(seed).random()

    def next_delay(self) -> float:
        """Return a delay from 0 to `span`, s."""
        self.position = (self.position + GOLDEN_SECTION) % 1.0
        return self.position * self.span


def close_reason(delay: float) -> str:
    """Return the reason of a close frame with the time to reconnect (docs/operators/websocket.md)."""
    return f"reconnect in {delay:.2f} s"
