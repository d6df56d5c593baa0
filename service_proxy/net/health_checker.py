"""Health checks of endpoints: one short GET each, whose response may be a load report."""

from __future__ import annotations

from collections.abc import Callable

import service_proxy as api
from service_proxy.net.load_report import parse_load_report
from service_proxy.net.upstream import UpstreamAttempt, UpstreamCluster
from service_proxy.policy.settings_types import LoadReportSource

MAX_HEALTH_CHECKS = 32  # Maximum number of concurrent health checks.
HEALTH_CHECK_TIMEOUT_S = 0.2  # Timeout of a health check; a load report that arrives later is outdated.


class HealthChecker:
    """Health checker that runs the checks requested by the policy.

    Args:
        cluster: Connection pools of the endpoints.
        load_report_source: Source of load reports from the settings; with NONE, the checks request none.
        enqueue_event: Enqueues the result for the policy.
        report_outcome: Called with the endpoint id and the status of each check.
    """

    def __init__(
        self,
        cluster: UpstreamCluster,
        load_report_source: LoadReportSource,
        enqueue_event: Callable[[api.Event], None],
        report_outcome: Callable[[int, api.AttemptStatus], None],
    ) -> None:
        self.cluster = cluster
        self.load_report_source = load_report_source
        self.enqueue_event = enqueue_event
        self.report_outcome = report_outcome
        self.checks_in_flight = 0

    def check(self, action: api.CheckHealth) -> None:
        """Start a health check, unless the endpoint is not serving or too many checks are in flight."""
        endpoint_id = action.endpoint_id
        pool = self.cluster.pools.get(endpoint_id)
        if pool is None or not pool.is_serving or self.checks_in_flight >= MAX_HEALTH_CHECKS:
            # The check was not sent for a reason that is unrelated to the health of the endpoint.
            self.enqueue_event(api.HealthCheckEnded(endpoint_id, api.AttemptStatus.REJECTED, 0.0))
            return
        self.checks_in_flight += 1
        target = "/healthz" if self.load_report_source is LoadReportSource.NONE else "/load"
        host, port = pool.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

        def on_end(attempt: UpstreamAttempt) -> None:
            self._on_check_end(endpoint_id, attempt)

        self.cluster.start_attempt(
            UpstreamAttempt(pool, request, HEALTH_CHECK_TIMEOUT_S, lambda: pool.is_serving, on_end)
        )

    def _on_check_end(self, endpoint_id: int, attempt: UpstreamAttempt) -> None:
        self.checks_in_flight -= 1
        status = attempt.status
        assert status is not None
        report = parse_load_report(attempt.response_body) if status is api.AttemptStatus.OK else None
        self.report_outcome(endpoint_id, status)
        if status is api.AttemptStatus.NOT_SENT:
            # The check was not sent, so the endpoint must not count as failed.
            status = api.AttemptStatus.REJECTED
        self.enqueue_event(api.HealthCheckEnded(endpoint_id, status, attempt.elapsed, report))
