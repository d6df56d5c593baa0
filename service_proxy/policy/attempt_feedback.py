"""Feedback of ended attempts to the concurrency limit and to the capacity and health of endpoints."""

from __future__ import annotations

from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.connections import ConnectionTracker
from service_proxy.policy.endpoint_load import EndpointLoads
from service_proxy.policy.events import AttemptStatus
from service_proxy.policy.outlier_detection import OutlierDetector
from service_proxy.policy.request import AttemptState

MIN_LATENCY_S = 1e-4  # Lower bound of a recorded latency, which keeps mean latencies above 0.
CLASS_LATENCY_SAMPLES = 50  # Attempts over which the latency of a class is averaged.
# Upper bound of the latency in a sample of capacity or of connection cost, as a multiple of the class's mean
# latency. The capacity sample of a failed attempt always has this value.
MAX_LATENCIES = 8.0
# Duration of a failed connect, as a multiple of the class's mean latency, above which the connect counts as a
# sample of the cost of a new connection.
SLOW_CONNECT_LATENCIES = 0.1
# Consecutive slow attempts (timed out or overdue) at which an endpoint counts as hanging, if it has not
# answered since the last of these attempts was sent.
MAX_CONSECUTIVE_TIMEOUTS = 3


class AttemptFeedback:
    """Feedback of ended attempts to the limiter, load estimates, outlier detector and connection tracker."""

    def __init__(
        self,
        limiter: ConcurrencyLimiter,
        loads: EndpointLoads,
        outliers: OutlierDetector,
        connections: ConnectionTracker,
    ) -> None:
        self.limiter = limiter
        self.loads = loads
        self.outliers = outliers
        self.connections = connections
        self.is_stalled = False  # True if this batch of events follows a pause of the proxy itself.

    def record(self, attempt: AttemptState, status: int, elapsed: float, in_flight: int, now: float) -> None:
        """Record an ended attempt, which took `elapsed` seconds.

        `in_flight` is the number of attempts that counted toward the concurrency limit.
        """
        if status in (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT):
            return
        endpoint = attempt.endpoint
        if attempt.request.is_streaming:
            if status in (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.REJECTED):
                self.outliers.record_response(endpoint, now)
            return
        if self.is_stalled and status in (AttemptStatus.OK, AttemptStatus.TIMEOUT):
            # After a pause of the proxy, an attempt that appears slow or timed out may have been answered
            # long before the proxy read the answer. Without this check, the proxy would treat its own pause
            # as slow endpoints, lower the limit and eject the endpoints. Cost: an endpoint that was slow
            # during the pause is detected one batch of events later.
            if status == AttemptStatus.OK:
                endpoint.last_success_at = now
                self.outliers.record_response(endpoint, now)
            return
        class_name = attempt.request.request_class.name
        fails_class = self.outliers.fails_class(endpoint, class_name, now)
        if status in (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.REJECTED):
            self.outliers.record_response(endpoint, now)
            self.outliers.record_class_result(endpoint, class_name, status != AttemptStatus.OK, now)
        is_broken = status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)
        is_connection_fault = is_broken and self._is_connection_fault(attempt, status, now)
        elapsed = max(elapsed, MIN_LATENCY_S)
        self._update_limit(attempt, status, elapsed, in_flight, fails_class)
        self._update_capacity(attempt, status, elapsed, is_connection_fault)
        self._update_health(attempt, status, is_broken, is_connection_fault, now)

    def _is_connection_fault(self, attempt: AttemptState, status: int, now: float) -> bool:
        """Count a broken connection and return whether only the connection is at fault, not the endpoint."""
        attempt.endpoint.consecutive_broken += 1
        is_idle_loss = status == AttemptStatus.RESET and self.connections.detect_idle_loss(attempt)
        return is_idle_loss or self.outliers.is_alive(attempt.endpoint, now)

    def _update_limit(
        self, attempt: AttemptState, status: int, elapsed: float, in_flight: int, fails_class: bool
    ) -> None:
        request_class = attempt.request.request_class
        is_ok = status == AttemptStatus.OK
        is_timeout = status == AttemptStatus.TIMEOUT
        if is_ok or (is_timeout and not attempt.endpoint.ejected_until):
            self.limiter.observe_latency(elapsed)
            request_class.mean_latency.add(elapsed, CLASS_LATENCY_SAMPLES)
        if is_ok and elapsed <= request_class.latency_target:
            self.limiter.on_timely_answer(in_flight)
            return
        if status == AttemptStatus.ERROR:
            shows_overload = not self.outliers.has_excess_errors(attempt.endpoint)
        elif status == AttemptStatus.REJECTED and fails_class:
            # The endpoint fails this class far more often than the pool does, so the rejection is the
            # endpoint's own fault and no sign of overload.
            shows_overload = False
        else:
            is_answer = is_ok or is_timeout or status == AttemptStatus.REJECTED
            shows_overload = is_answer and attempt.counts_to_limit and not attempt.is_late
        if shows_overload:
            self.limiter.on_late_answer()

    def _update_capacity(
        self, attempt: AttemptState, status: int, elapsed: float, is_connection_fault: bool
    ) -> None:
        """Record the latency of an attempt, as a multiple of the class's mean latency.

        The latency is a sample of the cost of a new or an open connection. It is also a sample of the
        endpoint's capacity, together with the endpoint's load when the attempt was sent.
        """
        is_ok = status == AttemptStatus.OK
        mean_latency = attempt.request.request_class.mean_latency.value
        latency = elapsed / mean_latency
        is_slow_connect = elapsed > SLOW_CONNECT_LATENCIES * mean_latency
        if is_ok or (status == AttemptStatus.CONNECT_FAILED and is_slow_connect):
            self.connections.record_latency(attempt, min(MAX_LATENCIES, latency + (not is_ok)))
        # A rejection, a failed connect and a fault of the connection alone contain no information about the
        # speed of the endpoint.
        if status in (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED) or is_connection_fault:
            return
        # An endpoint that fails fast would appear to have spare capacity, so a failure is recorded as a slow
        # answer.
        latency = min(latency, MAX_LATENCIES) if is_ok else MAX_LATENCIES
        self.loads.record_sample(attempt.endpoint, attempt.load, latency)

    def _update_health(
        self, attempt: AttemptState, status: int, is_broken: bool, is_connection_fault: bool, now: float
    ) -> None:
        endpoint = attempt.endpoint
        outliers = self.outliers
        outliers.record_error(endpoint, status in (AttemptStatus.ERROR, AttemptStatus.RESET))
        if status == AttemptStatus.OK:
            if attempt.on_new_connection:
                endpoint.failed_connects = 0
            outliers.record_success(endpoint, now)
        elif is_broken:
            if not is_connection_fault:
                outliers.eject(endpoint, now, is_certain=True)
            elif status == AttemptStatus.CONNECT_FAILED:
                self.connections.record_failed_connect(endpoint, now)
        elif status == AttemptStatus.TIMEOUT:
            self.connections.detect_idle_loss(attempt)
            endpoint.consecutive_slow += 1
            is_hanging = (
                endpoint.consecutive_slow >= MAX_CONSECUTIVE_TIMEOUTS
                and endpoint.last_success_at < attempt.sent_at
            )
            if endpoint.on_trial or is_hanging:
                outliers.eject(endpoint, now, is_certain=False)
        elif status == AttemptStatus.ERROR and outliers.is_outlier(endpoint):
            outliers.eject(endpoint, now, is_certain=False)
