"""Outlier detection: endpoints that break, hang or fail more than the others are ejected for a while."""

from __future__ import annotations

import math
from random import Random

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.endpoint_pool import EndpointPool
from service_proxy.policy.in_flight import InFlightAttempts
from service_proxy.policy.running_mean import RunningMean

FIRST_EJECTION_S = 0.5  # doubles up to MAX_EJECTION_S
MAX_EJECTION_S = 8.0
MIN_EJECTION_JITTER = 0.75  # of an ejection's length, so that endpoints don't all come back at once
EJECTION_JITTER_RANGE = 0.5  # of an ejection's length
MAX_EJECTION_EXPONENT = 6  # doublings that further failed health checks count up to
MAX_EJECTED_SHARE = 0.34  # of the pool by uncertain signs: if more look at fault, the cause lies elsewhere
ALIVE_S = 1.0  # since its last response, of any kind, within which an endpoint is not taken to be dead
MAX_CONSECUTIVE_BROKEN = 3  # broken connections in a row, without a response, after which it is all the same
MAX_ERROR_EXCESS = 0.35  # error share above the pool's from which an endpoint is an outlier
OVERLOAD_ERROR_EXCESS = 0.1  # error share above the pool's from which errors say nothing about overload
ERROR_WEIGHT = 0.2  # of the newest attempt in an endpoint's error share
POOL_ERROR_SAMPLES = 100  # attempts over which the pool's error share is averaged
FAILURE_WEIGHT = 0.3  # of the newest response in the share of a class's requests that an endpoint fails
FAILURE_MEMORY_S = 5.0  # in which such a share fades, so that the endpoint is tried again


class OutlierDetector:
    """Health of the endpoints by their responses, and ejection of the outliers."""

    def __init__(self, pool: EndpointPool, in_flight: InFlightAttempts, random: Random) -> None:
        self.pool = pool
        self.in_flight = in_flight
        self.random = random
        self.error_share = RunningMean(0.0)  # of the whole pool

    @staticmethod
    def record_response(endpoint: TrackedEndpoint, now: float) -> None:
        """Note that the endpoint responded, whatever the response was."""
        endpoint.last_response_at = now
        endpoint.consecutive_broken = 0

    @staticmethod
    def is_alive(endpoint: TrackedEndpoint, now: float) -> bool:
        """Tell whether a broken connection says nothing of an endpoint, since it has just answered on others.

        Guards against resets that strike connections one by one (a network that drops them, a middlebox, a
        worker or a listener that restarts behind the address): taken for deaths they emptied the pool, while
        all that was sent was answered. A process that died breaks several at once and answers none: it is
        ejected at the third. Cost: one that dies with few requests in flight gets up to two more, which fail
        at once.
        """
        return (
            now - endpoint.last_response_at < ALIVE_S and endpoint.consecutive_broken < MAX_CONSECUTIVE_BROKEN
        )

    def record_class_result(
        self, endpoint: TrackedEndpoint, class_name: str, has_failed: bool, now: float
    ) -> None:
        """Take in whether the endpoint served a request of a class."""
        share = self.failure_share(endpoint, class_name, now)
        endpoint.failure_shares[class_name] = share + (has_failed - share) * FAILURE_WEIGHT, now

    @staticmethod
    def failure_share(endpoint: TrackedEndpoint, class_name: str, now: float) -> float:
        """Return the share of a class's requests that the endpoint fails or rejects."""
        share, recorded_at = endpoint.failure_shares.get(class_name, (0.0, now))
        return share * math.exp((recorded_at - now) / FAILURE_MEMORY_S)

    def pool_failure_share(self, class_name: str, now: float) -> float:
        """Return the share of a class's requests that the pool fails or rejects.

        An endpoint that fails more may serve other classes well, and so looks idle and quick. Guards against
        endpoints that reject or fail one kind of request (a bad version, a limit or a store of its own that
        is down), at once or slowly. Cost: under overload chance makes some endpoints look worse; what all
        fail counts against none.
        """
        members = self.pool.members
        recorded = [e.failure_shares[class_name] for e in members if class_name in e.failure_shares]
        shares = [share * math.exp((at - now) / FAILURE_MEMORY_S) for share, at in recorded]
        return sum(shares) / max(1, len(members))

    def fails_class(self, endpoint: TrackedEndpoint, class_name: str, now: float) -> bool:
        """Tell whether the endpoint fails a class far more than the pool does."""
        share = self.failure_share(endpoint, class_name, now)
        return share > self.pool_failure_share(class_name, now) + MAX_ERROR_EXCESS

    def record_error(self, endpoint: TrackedEndpoint, has_failed: bool) -> None:
        """Take in whether an attempt ended in an error or a reset."""
        endpoint.error_share += (has_failed - endpoint.error_share) * ERROR_WEIGHT
        self.error_share.add(float(has_failed), POOL_ERROR_SAMPLES)

    def has_excess_errors(self, endpoint: TrackedEndpoint) -> bool:
        """Tell whether the endpoint's errors are its own fault rather than a sign of overload."""
        return endpoint.error_share > self.error_share.value + OVERLOAD_ERROR_EXCESS

    def is_outlier(self, endpoint: TrackedEndpoint) -> bool:
        """Tell whether the endpoint, after a failed attempt, has to be ejected for its errors."""
        return endpoint.on_trial or endpoint.error_share > self.error_share.value + MAX_ERROR_EXCESS

    def eject(self, endpoint: TrackedEndpoint, now: float, is_certain: bool) -> bool:
        """Send the endpoint nothing for a while and tell whether that is so.

        By uncertain signs only few are ejected: when everything is slow, no endpoint is at fault.
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
        """Leave an endpoint ejected after a health check that it failed."""
        endpoint.ejected_until = now + ejection_length(endpoint.ejection_count)
        endpoint.ejection_count = min(endpoint.ejection_count + 1, MAX_EJECTION_EXPONENT)

    def readmit(self, endpoint: TrackedEndpoint) -> None:
        """Take an ejected endpoint back, on trial."""
        self.pool.set_ejection(endpoint, 0.0)
        endpoint.on_trial = True
        endpoint.error_share = 0.0
        endpoint.consecutive_slow = 0
        endpoint.failed_health_checks = 0
        endpoint.load_change = endpoint.in_flight
        self.pool.rebuild()

    @staticmethod
    def record_success(endpoint: TrackedEndpoint, now: float) -> None:
        """Take in an attempt that succeeded: a trial is passed, and past ejections are forgotten after it."""
        endpoint.last_success_at = now
        endpoint.consecutive_slow = 0
        endpoint.failed_health_checks = 0
        if endpoint.on_trial:
            endpoint.on_trial = False
        elif endpoint.ejection_count and not endpoint.ejected_until:
            endpoint.ejection_count = 0


def ejection_length(ejection_count: int) -> float:
    """Return the length in seconds of an ejection after so many earlier ones."""
    length: float = FIRST_EJECTION_S * 2**ejection_count
    return min(MAX_EJECTION_S, length)
