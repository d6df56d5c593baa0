"""Retry-After of rejected clients, which spreads their retries over the returning capacity. Pure.

Each rejected client reserves the next free slot of the endpoints' future capacity. That capacity grows with
the slow start of each endpoint, which follows from its first answer and the initial share in the settings.
The request rate of a warm endpoint is measured during this recovery only, and no earlier rate is used. A
reservation beyond the longest Retry-After that the settings allow gets a random wait between half of that
limit and the limit. These clients return before there is capacity for them, but not at the same time.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

# Requests per second that a warm endpoint is assumed to serve for this proxy before the first measurement.
INITIAL_RATE = 2.0
MIN_RATE = INITIAL_RATE / 4  # Lower bound of the measured rate, requests/s.
MIN_RETRY_AFTER_S = 0.1
RATE_SMOOTHING = 0.2  # Weight of the latest measurement of the rate.
JITTER_SHARE = 0.2  # Largest random deviation from the reserved slot, as a share of the wait.


def warm_share(age: float, initial_share: float, slow_start_window: float) -> float:
    """Return the share of its capacity that an endpoint has `age` seconds after its first answer."""
    if age >= slow_start_window:
        return 1.0
    return initial_share + (1.0 - initial_share) * max(0.0, age) / slow_start_window


class RetryAfterSchedule:
    """Reservation of slots for the retries of rejected clients. Times are monotonic, s.

    Attributes:
        rate: requests/s that a warm endpoint serves for this proxy.
        next_free_at: earliest time that is not reserved.
    """

    def __init__(
        self, seed: int, initial_share: float, slow_start_window: float, max_retry_after: float
    ) -> None:
        """Initialise from the settings. `max_retry_after` is in s; 0: no Retry-After may be sent."""
        self.random = Random(seed)
        self.initial_share = initial_share
        self.slow_start_window = slow_start_window
        self.max_retry_after = max_retry_after
        self.rate = INITIAL_RATE
        self.next_free_at = 0.0
        self.served_requests = 0
        self.observed_at = 0.0

    def capacity(self, now: float, first_answers: Collection[float]) -> float:
        """Return the capacity in warm endpoints, from the times of the endpoints' first answers."""
        return sum(warm_share(now - at, self.initial_share, self.slow_start_window) for at in first_answers)

    def observe(self, now: float, served_requests: int, first_answers: Collection[float]) -> None:
        """Update the rate from the total number of served requests.

        The number of served requests is only a lower bound, because rejected requests might have been served
        too. For this reason the rate falls slowly and rises at once.
        """
        interval = now - self.observed_at
        capacity = self.capacity(now, first_answers)
        if interval > 0 and capacity > 0:
            measured = (served_requests - self.served_requests) / interval / capacity
            smoothed = self.rate + RATE_SMOOTHING * (measured - self.rate)
            self.rate = max(measured, smoothed, MIN_RATE)
        self.observed_at = now
        self.served_requests = served_requests

    def reserve(self, now: float, first_answers: Collection[float]) -> float:
        """Reserve the next slot and return the Retry-After, s; 0: no Retry-After may be sent."""
        if not self.max_retry_after:
            return 0.0
        self.next_free_at = max(self.next_free_at, now + MIN_RETRY_AFTER_S)
        capacity = self.capacity(self.next_free_at, first_answers)
        if capacity > 0:
            self.next_free_at += 1.0 / (self.rate * capacity)
        wait = self.next_free_at - now
        if not capacity or wait > self.max_retry_after:
            self.next_free_at = min(self.next_free_at, now + self.max_retry_after)
            return self.random.uniform(self.max_retry_after / 2, self.max_retry_after)
        return min(self.max_retry_after, wait * self.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE))
