"""Health checks: choice of the endpoints and the times of the checks, and handling of the results."""

from __future__ import annotations

from random import Random

from service_proxy.policy.actions import Action, CheckHealth, SetTimer
from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.endpoint_load import EndpointLoads
from service_proxy.policy.endpoint_pool import MAX_POOL, EndpointPool
from service_proxy.policy.endpoint_watch import EndpointWatch
from service_proxy.policy.events import AttemptStatus, HealthCheckEnded
from service_proxy.policy.outlier_detection import OutlierDetector
from service_proxy.policy.request import RequestState
from service_proxy.policy.selection import EndpointSelector
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

CHECKS_PER_REQUEST = 0.15  # Health checks per arriving request.
# Lowest rate of health checks, so that an idle proxy has recent data about its endpoints.
MIN_CHECKS_PER_S = 0.3
# Health checks available at the start, for the endpoints of all zones. Without load data, all proxies would
# choose the same endpoints.
INITIAL_CHECKS = 8.0
MAX_SAVED_CHECKS = 2.0  # Upper bound of the health checks that accumulate while none is due.
# Upper bound of the price of the health checks for a single request, in price points.
CANDIDATES_BUDGET = 0.006
# Endpoints checked for one request; more than three recent load reports improve the choice little.
CANDIDATE_COUNT = 3
CANDIDATES_WAIT_S = 0.01  # Time for which a request waits for the load reports of its candidates.
CANDIDATES_TOKEN = 2  # Token of the timer that ends the wait.
# Shortest time to the deadline with which a request waits for load reports, in multiples of the wait.
MIN_BUDGET_IN_WAITS = 3
MIN_LATENCY_IN_WAITS = 2  # Shortest mean latency, in multiples of the wait, at which requests wait.
# Endpoints of a pool larger than MAX_POOL that are checked, per request in flight.
CHECKED_PER_IN_FLIGHT = 3.0
SENT_AT_JITTER_S = 1e-3  # Range of a random offset that puts checks sent at the same time in an order.
# Consecutive failed health checks after which an endpoint without a recent success is ejected.
MAX_FAILED_CHECKS = 2


class HealthChecker(SettingsUser):
    """Sender of health checks and handler of their results."""

    def __init__(
        self,
        settings: Settings,
        actions: list[Action],
        random: Random,
        pool: EndpointPool,
        loads: EndpointLoads,
        selector: EndpointSelector,
        outliers: OutlierDetector,
        limiter: ConcurrencyLimiter,
        watch: EndpointWatch,
    ) -> None:
        super().__init__(settings)
        self.actions = actions
        self.random = random
        self.pool = pool
        self.loads = loads
        self.selector = selector
        self.outliers = outliers
        self.limiter = limiter
        self.watch = watch
        # Configured number of proxies divided by the present number; a factor on the lowest rate.
        self.allowance = 1.0
        self.tokens = INITIAL_CHECKS

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        super().apply_settings(settings)
        # Health checks for single requests are sent only if they are cheap.
        is_cheap = CANDIDATE_COUNT * settings.price_probe <= CANDIDATES_BUDGET
        self.checks_candidates = settings.can_check_health and is_cheap

    def _rate(self) -> float:
        """Return the regular rate of health checks per second."""
        return max(MIN_CHECKS_PER_S * self.allowance, CHECKS_PER_REQUEST * self.limiter.arrival_rate)

    def run(self, now: float, span: float) -> None:
        """Send the health checks that are due after a control step of `span` seconds."""
        if not self.settings.can_check_health or not self.pool.members:
            return
        self.tokens = max(self.tokens, min(MAX_SAVED_CHECKS, self.tokens + self._rate() * span))
        for endpoint in self.pool.ejected:
            if now >= endpoint.ejected_until and not endpoint.health_check_pending:
                self._send(endpoint, now)
        while self.tokens >= 1 and not self.checks_candidates:
            members = self._checked_members(now)
            idle = [e for e in members if not e.health_check_pending and not e.ejected_until]
            if not idle:
                break
            self.tokens -= 1
            oldest = min(endpoint.health_checked_at for endpoint in idle)
            self._send(self.random.choice([e for e in idle if e.health_checked_at == oldest]), now)

    def must_wait_for_reports(self, request: RequestState, now: float) -> bool:
        """Return whether a request waits for load reports; first check its candidates if needed.

        The candidates are a few usable endpoints that get a health check for this request alone. The checks
        are sent if requests are so rare that regular load reports are older than the latency of a request,
        and if health checks are cheap. Otherwise, if many proxies share few requests, endpoints would be
        selected by outdated load reports.
        """
        if request.candidates is None:
            request.candidates = []
            if not self._should_check_candidates(request, now):
                return False
            self._check_candidates(request, now)
        return request.awaits_reports(now) and any(e.health_check_pending for e in request.candidates)

    def _should_check_candidates(self, request: RequestState, now: float) -> bool:
        rate = self._rate()
        if request.attempts or request.deadline - now < MIN_BUDGET_IN_WAITS * CANDIDATES_WAIT_S:
            return False
        mean_latency = self.loads.mean_latency
        return (
            len(self.pool.members) >= rate * mean_latency
            and mean_latency >= MIN_LATENCY_IN_WAITS * CANDIDATES_WAIT_S
        )

    def _check_candidates(self, request: RequestState, now: float) -> None:
        usable = [e for e in self.pool.members if self.selector.is_usable(e, now)]
        connected = [e for e in usable if self.selector.connections.is_open(e, now)]
        candidates = self.random.sample(connected, min(CANDIDATE_COUNT - 1, len(connected)))
        checked = {e.endpoint_id for e in self._checked_members(now)}
        others = [e for e in usable if e.endpoint_id in checked and e not in candidates]
        candidates += self.random.sample(others, min(CANDIDATE_COUNT - len(candidates), len(others)))
        request.candidates = candidates
        for endpoint in candidates:
            if not endpoint.health_check_pending:
                self._send(endpoint, now)
        request.candidates_until = now + CANDIDATES_WAIT_S
        self.actions.append(SetTimer(CANDIDATES_WAIT_S, CANDIDATES_TOKEN))

    def _checked_members(self, now: float) -> list[TrackedEndpoint]:
        """Return the members of the pool that are checked.

        In a pool above the usual size, the later members serve the requests that exceed the capacity of
        the first members, and a health check would open a connection to each later member. Without this
        rule, proxies with little traffic would open connections to endpoints that they don't need. Cost:
        for the later members, only the load of their zone is known at first.
        """
        members = self.pool.members
        if len(members) <= MAX_POOL:
            return members
        in_flight = self.limiter.arrival_rate * self.loads.mean_latency
        count = max(MAX_POOL, int(CHECKED_PER_IN_FLIGHT * in_flight))
        return members[:count] + [e for e in members[count:] if self.selector.connections.is_open(e, now)]

    def _send(self, endpoint: TrackedEndpoint, now: float) -> None:
        endpoint.health_check_pending = True
        endpoint.health_checked_at = now + self.random.random() * SENT_AT_JITTER_S
        self.actions.append(CheckHealth(endpoint.endpoint_id))

    def on_result(self, event: HealthCheckEnded, now: float) -> None:
        """Process the result of a health check."""
        endpoint = self.pool.known.get(event.endpoint_id)
        if endpoint is None:
            return
        endpoint.health_check_pending = False
        if event.status == AttemptStatus.OK:
            self.outliers.record_response(endpoint, now)
            endpoint.failed_health_checks = 0
            self.loads.record_report(endpoint, event.load_report, now)
            if endpoint.ejected_until and now >= endpoint.ejected_until:
                self.outliers.readmit(endpoint)
        elif event.status != AttemptStatus.REJECTED:
            self._on_failure(endpoint, event.status, now)

    def _on_failure(self, endpoint: TrackedEndpoint, status: int, now: float) -> None:
        endpoint.failed_health_checks += 1
        if endpoint.ejected_until:
            if status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.ERROR):
                self.watch.schedule_recheck(now)
            self.outliers.extend_ejection(endpoint, now)
        elif (
            endpoint.failed_health_checks >= MAX_FAILED_CHECKS
            and endpoint.last_success_at < now - self.loads.mean_latency
        ):
            self.outliers.eject(endpoint, now, is_certain=True)
