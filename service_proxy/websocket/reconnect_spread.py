"""The waits that are told to those whose session ends, so that they don't come back in one instant.

Each next one lies a golden section of the span further on: however many there are, they fill the span evenly
(a Weyl sequence: n of them leave no 100 ms with more than its share and two). The start is random, so that
proxies don't agree.
"""

from __future__ import annotations

from random import Random

GOLDEN = 0.6180339887498949


class ReconnectSpread:
    def __init__(self, seed: int, span: float) -> None:
        """`span`: s over which those who come back are spread."""
        self.span = span
        self.position = Random(seed).random()

    def next_delay(self) -> float:
        """s, from 0 to `span`."""
        self.position = (self.position + GOLDEN) % 1.0
        return self.position * self.span


def close_reason(wait: float) -> str:
    """Of a close frame: when to come back. docs/operators/websocket.md."""
    return f"reconnect in {wait:.2f} s"
