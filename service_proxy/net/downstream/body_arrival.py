"""Time at which the last byte of a body may have been sent that its endpoint takes more slowly than it comes.

A client's time budget counts from the last byte that the client has written. While reading is paused, this
byte may lie in the socket, or in the client's own send buffer. This module contains no socket code and reads
no clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Bytes that a client may have written beyond those that have arrived: the largest default of tcp_wmem
# (tcp(7)), and a segment.
MAX_CLIENT_SEND_BUFFER_BYTES = (4 << 20) + (64 << 10)
MAX_OBSERVATIONS = 64  # Observations that are kept for one body.
# Share of the time between two observations for which reading is paused from which the endpoint is the slower
# side.
MIN_PAUSED_SHARE = 0.5


class Observation(NamedTuple):
    """What is known of a connection at one time: no byte behind `sent_bytes` was sent by `time`."""

    sent_bytes: int
    time: float


class BodyArrival:
    """Lower bound of the time at which a body's last byte may have been sent. Times are monotonic, s.

    Args:
        arrived_bytes: number of bytes of the connection that had arrived by `arrived_at`.
        arrived_at: time until which no further byte had arrived.

    Attributes:
        sent_at: the lower bound by the last observation; None: the last byte was not sent by then.
    """

    __slots__ = ("_bound", "_observations", "_observed_at", "_paused_at", "_paused_s", "sent_at")

    def __init__(self, arrived_bytes: int, arrived_at: float) -> None:
        self.sent_at: float | None = None
        self._paused_at: float | None = None
        self._paused_s = 0.0
        self._observed_at = arrived_at
        self._bound = arrived_at
        self._observations = deque([Observation(arrived_bytes, arrived_at)])

    def set_paused(self, is_paused: bool, now: float) -> None:
        """Record whether reading is paused from now on, because the endpoint takes no more."""
        if is_paused == (self._paused_at is not None):
            return
        if self._paused_at is not None:
            self._paused_s += now - max(self._paused_at, self._observed_at)
        self._paused_at = now if is_paused else None

    def _was_paused(self, now: float) -> bool:
        """Return whether reading was paused for most of the time since the last observation."""
        paused_s = self._paused_s
        if self._paused_at is not None:
            paused_s += now - max(self._paused_at, self._observed_at)
        return paused_s > MIN_PAUSED_SHARE * (now - self._observed_at)

    def observe(self, arrived_bytes: int, missing_bytes: int | None, now: float) -> float | None:
        """Return the earliest time at which the last byte may have been sent, or None if it was not sent yet.

        Args:
            arrived_bytes: number of bytes of the connection that have arrived.
            missing_bytes: number of bytes of the body that have not arrived; None: its length is not known.
            now: time of the observation.
        """
        sent_bytes = arrived_bytes + (MAX_CLIENT_SEND_BUFFER_BYTES if self._was_paused(now) else 0)
        self._paused_s = 0.0
        self._observed_at = now
        end = arrived_bytes + (missing_bytes or 0)
        while self._observations and self._observations[0].sent_bytes < end:
            self._bound = self._observations.popleft().time
        if sent_bytes < end:
            self._bound = now
            self.sent_at = None
        else:
            self.sent_at = self._bound
            self._add(Observation(sent_bytes, now))
        return self.sent_at

    def _add(self, observation: Observation) -> None:
        """Add an observation, in place of earlier ones that allow no less."""
        observations = self._observations
        while observations and observations[-1].sent_bytes >= observation.sent_bytes:
            observations.pop()
        if len(observations) < MAX_OBSERVATIONS:
            observations.append(observation)
