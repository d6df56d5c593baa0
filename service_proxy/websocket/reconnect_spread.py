"""The delays that clients get whose session ends, so that they don't reconnect at one instant. Pure.

Each next one lies a golden section of the span further on: however many there are, they fill the span evenly
(a Weyl sequence: n of them leave no 100 ms with more than its share and two). The start is random, so that
proxies differ.
"""

from __future__ import annotations

from random import Random

GOLDEN_SECTION = 0.6180339887498949


class ReconnectSpread:
    """Yields delays that are spread evenly over a span.

    Attributes:
        span: s over which clients are spread.
    """

    def __init__(self, seed: int, span: float) -> None:
        self.span = span
        self.position = Random(seed).random()

    def next_delay(self) -> float:
        """Return a delay from 0 to `span`, s."""
        self.position = (self.position + GOLDEN_SECTION) % 1.0
        return self.position * self.span


def close_reason(delay: float) -> str:
    """Return the reason of a close frame that says when to reconnect (docs/operators/websocket.md)."""
    return f"reconnect in {delay:.2f} s"
