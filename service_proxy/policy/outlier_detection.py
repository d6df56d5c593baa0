"""Outlier detection: endpoints that break, hang or fail more than other endpoints are ejected temporarily."""

from __future__ import annotations

import math
from random import Random

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.endpoint_pool import EndpointPool
from service_proxy.policy.in_flight import InFlightAttempts
from service_proxy.policy.running_mean import RunningMean

# Length of the first ejection; each further ejection is twice as long, up to MAX_EJECTION_S. Both lengths are
# those before the random factor.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# Smallest random factor on the length of an ejection; the jitter keeps ejections from ending together.
MIN_EJECTION_JITTER = 0.75
EJECTION_JITTER_RANGE = 0.5  # Width of the range of the random factor, which ends at 1.25.
MAX_EJECTION_EXPONENT = 6  # Upper bound of the ejection count after failed health checks.
# Largest share of the pool that is ejected on uncertain signs, such as slow attempts. If more endpoints look
# faulty, the cause is elsewhere.
MAX_EJECTED_SHARE = 0.34
ALIVE_S = 1.0  # Time after a response of any kind within which an endpoint counts as alive.
# Consecutive broken connections without a response after which an endpoint no longer counts as alive.
MAX_CONSECUTIVE_BROKEN = 3
# Excess of an endpoint's error share, over all requests or over those of one class, above that of the pool
# from which the endpoint is an outlier.
MAX_ERROR_EXCESS = 0.35
# Excess of an endpoint's error share above that of the pool from which its errors don't indicate overload.
OVERLOAD_ERROR_EXCESS = 0.1
ERROR_WEIGHT = 0.2  # Weight of the newest attempt in the error share of an endpoint.
POOL_ERROR_SAMPLES = 100  # Attempts over which the error share of the pool is averaged.
# Weight of the newest result in the failure share of a request class at an endpoint.
FAILURE_WEIGHT = 0.3
# Decay time of a failure share; because of the decay, the endpoint is tried again for the class.
FAILURE_MEMORY_S = 5.0


class OutlierDetector:
    """Health of the endpoints as shown by their responses, and ejection of the outliers."""

    def __init__(self, pool: EndpointPool, in_flight: InFlightAttempts, random: Random) -> None:
        self.pool = pool
        self.in_flight = in_flight
        self.random = random
        self.error_share = RunningMean(0.0)  # Error share of the whole pool.

    @staticmethod
    def record_response(endpoint: TrackedEndpoint, now: float) -> None:
        """Record a response of any kind from an endpoint."""
        endpoint.last_response_at = now
        endpoint.consecutive_broken = 0

    @staticmethod
    def is_alive(endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether recent responses show that an endpoint works despite a broken connection.

        A network that drops connections, a middlebox, or a worker or listener that restarts behind the
        address can reset single connections. Without this check, each reset would eject an endpoint, and the
        pool could become empty although its endpoints answer all other requests. A failed process breaks
        several connections at once and answers on none, so its endpoint is ejected at the third broken
        connection. Cost: an endpoint that fails with few requests in flight receives up to two more requests,
        which fail at once.
        """
        return (
            now - endpoint.last_response_at < ALIVE_S and endpoint.consecutive_broken < MAX_CONSECUTIVE_BROKEN
        )

    def record_class_result(
        self, endpoint: TrackedEndpoint, class_name: str, has_failed: bool, now: float
    ) -> None:
        """Record whether an endpoint failed or rejected a request of a class."""
        share = self.failure_share(endpoint, class_name, now)
        endpoint.failure_shares[class_name] = share + (has_failed - share) * FAILURE_WEIGHT, now

    @staticmethod
    def failure_share(endpoint: TrackedEndpoint, class_name: str, now: float) -> float:
        """Return the share of a class's requests that the endpoint fails or rejects."""
        share, recorded_at = endpoint.failure_shares.get(class_name, (0.0, now))
        return share * math.exp((recorded_at - now) / FAILURE_MEMORY_S)

    def pool_failure_share(self, class_name: str, now: float) -> float:
        """Return the mean failure share of a class over the endpoints of the pool.

        An endpoint that fails requests of one class at once can serve other classes well, so the endpoint
        looks idle and fast. The comparison with the pool detects endpoints that reject or fail one kind of
        request, at once or slowly, because of a bad version, a limit of the endpoint or an unavailable data
        store of the endpoint. Cost: under overload, some endpoints look worse by chance. Failures that all
        endpoints share count against no endpoint.
        """
        members = self.pool.members
        recorded = [e.failure_shares[class_name] for e in members if class_name in e.failure_shares]
        shares = [share * math.exp((at - now) / FAILURE_MEMORY_S) for share, at in recorded]
        return sum(shares) / max(1, len(members))

    def fails_class(self, endpoint: TrackedEndpoint, class_name: str, now: float) -> bool:
        """Return whether the endpoint fails a class far more often than the pool does."""
        share = self.failure_share(endpoint, class_name, now)
        return share > self.pool_failure_share(class_name, now) + MAX_ERROR_EXCESS

    def record_error(self, endpoint: TrackedEndpoint, has_failed: bool) -> None:
        """Record whether an attempt ended in an error or a reset."""
        endpoint.error_share += (has_failed - endpoint.error_share) * ERROR_WEIGHT
        self.error_share.add(float(has_failed), POOL_ERROR_SAMPLES)

    def has_excess_errors(self, endpoint: TrackedEndpoint) -> bool:
        """Return whether the errors of an endpoint are its own fault rather than a sign of overload."""
        return endpoint.error_share > self.error_share.value + OVERLOAD_ERROR_EXCESS

    def is_outlier(self, endpoint: TrackedEndpoint) -> bool:
        """Return whether an endpoint must be ejected after a failed attempt.

        An endpoint on trial is ejected after any failed attempt, another endpoint because of its error share.
        """
        return endpoint.on_trial or endpoint.error_share > self.error_share.value + MAX_ERROR_EXCESS

    def eject(self, endpoint: TrackedEndpoint, now: float, is_certain: bool) -> bool:
        """Eject an endpoint temporarily and return whether the ejection took place.

        On uncertain signs (`is_certain` is False), at most MAX_EJECTED_SHARE of the pool is ejected. If all
        endpoints are slow, the cause is not a fault of single endpoints.
        """
        if endpoint.ejected_until:
            return False
        members = self.pool.members
        if not is_certain:
            ejected = sum(1 for member in members if member.ejected_until)
            if ejected + 1 > MAX_EJECTED_SHARE * len(members):
                return False
        length = ejection_length(endpoint.ejection_count)
        endpoint.ejection_count += 1
        jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * self.random.random()
        self.pool.set_ejection(endpoint, now + length * jitter)
        endpoint.on_trial = False
        self.in_flight.release_endpoint(endpoint)
        self.pool.rebuild()
        return True

    @staticmethod
    def extend_ejection(endpoint: TrackedEndpoint, now: float) -> None:
        """Extend the ejection of an endpoint after a failed health check."""
        endpoint.ejected_until = now + ejection_length(endpoint.ejection_count)
        endpoint.ejection_count = min(endpoint.ejection_count + 1, MAX_EJECTION_EXPONENT)

    def readmit(self, endpoint: TrackedEndpoint) -> None:
        """Readmit an ejected endpoint on trial.

        The endpoint receives one request at a time until an attempt succeeds.
        """
        self.pool.set_ejection(endpoint, 0.0)
        endpoint.on_trial = True
        endpoint.error_share = 0.0
        endpoint.consecutive_slow = 0
        endpoint.failed_health_checks = 0
        endpoint.load_change = endpoint.in_flight
        self.pool.rebuild()

    @staticmethod
    def record_success(endpoint: TrackedEndpoint, now: float) -> None:
        """Record a successful attempt, which ends a trial; the next success resets the ejection count."""
        endpoint.last_success_at = now
        endpoint.consecutive_slow = 0
        endpoint.failed_health_checks = 0
        if endpoint.on_trial:
            endpoint.on_trial = False
        elif endpoint.ejection_count and not endpoint.ejected_until:
            endpoint.ejection_count = 0


def ejection_length(ejection_count: int) -> float:
    """Return the length of an ejection in seconds after the given number of earlier ejections."""
    length: float = FIRST_EJECTION_S * 2**ejection_count
    return min(MAX_EJECTION_S, length)
