"""Times at which bytes may have arrived in a socket that the proxy does not read all the time.

A client's time budget counts from when its request was sent. A proxy that pauses reading gets to a request
later than the request arrived, so it has to know how long the bytes may have lain in the socket. This module
contains no socket code and reads no clock.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_OBSERVATIONS = 16  # Observations that are kept for one socket.


class Observation(NamedTuple):
    """What is known of a socket at one time: bytes behind `arrived_bytes` had not arrived by `time`."""

    arrived_bytes: int
    time: float


class ArrivalTimes:
    """Lower bounds of the arrival times of a connection's bytes. Times are monotonic, s."""

    __slots__ = ("_observations", "_read_bytes")

    def __init__(self) -> None:
        self._observations: list[Observation] = []
        self._read_bytes = 0

    @property
    def read_bytes(self) -> int:
        """Return the number of bytes that were read from the socket."""
        return self._read_bytes

    def on_read(self, size: int, unread_bytes: int, now: float) -> float:
        """Record a read, and return the earliest time at which the first of its bytes may have arrived.

        Args:
            size: number of bytes that were read.
            unread_bytes: number of bytes that are left in the socket after the read.
            now: time of the read.
        """
        observations = self._observations
        while len(observations) > 1 and observations[1].arrived_bytes <= self._read_bytes:
            del observations[0]
        arrived_at = observations[0].time if observations else now
        if unread_bytes:
            if not observations:
                observations.append(Observation(self._read_bytes, now))
            self._read_bytes += size
            self.observe(unread_bytes, now)
        else:  # Later bytes are read as they arrive, unless reading is paused.
            self._read_bytes += size
            observations.clear()
        return arrived_at

    def observe(self, unread_bytes: int, now: float) -> None:
        """Record how many unread bytes are in the socket; later bytes may wait before they are read."""
        arrived_bytes = self._read_bytes + unread_bytes
        observations = self._observations
        if observations and observations[-1].arrived_bytes == arrived_bytes:
            observations[-1] = Observation(arrived_bytes, now)
        elif len(observations) < MAX_OBSERVATIONS:
            observations.append(Observation(arrived_bytes, now))

    def clear(self) -> None:
        """Record that nothing is unread, and that bytes are read as they arrive from now on."""
        self._observations.clear()
