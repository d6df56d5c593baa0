"""Figures and checks of one run of the ephemeral nodes benchmark.

The coordination service in the harness records what it writes to each proxy at the time of writing. The rules
are audited outside the proxies.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from statistics import median

from benchmarks.ephemeral_fleet import EphemeralFleet, Window
from benchmarks.report import BenchmarkReport
from harness.clients import IDEMPOTENCY_BY_CLASS, ClientPool
from service_proxy.ephemeral_nodes.source_reports import MEMBERSHIP
from service_proxy.net.http_status import OK

MASS_LOSS_SHARE = 0.34
DRAIN_WINDOW_S = 2.0
SLACK_S = 0.1  # Tolerance for the scheduling of three processes on a busy machine.
MIN_SERVED_SHARE = 0.99  # Share of the requests in each window.
MEMBERSHIP_PROXIES = ("m0", "m1")  # Proxies that read the coordination service in addition to the registry.
REGISTRY_PROXY = "p0"


@dataclass(slots=True)
class Run:
    """Recorded data of one run. Times are monotonic and in seconds."""

    fleet: EphemeralFleet
    started_at: float = 0.0
    ended_at: float = 0.0
    logs: dict[str, str] = field(default_factory=dict)  # Logs by proxy name.
    clients: dict[str, ClientPool] = field(default_factory=dict)


def report_run(report: BenchmarkReport, run: Run) -> None:
    """Record all figures of a run and check them."""
    report_traffic(report, run)
    report_last_requests(report, run)
    report_notifications(report, run)
    for window in run.fleet.windows:
        for proxy in MEMBERSHIP_PROXIES:
            report_window(report, run, window, proxy)
    for proxy in MEMBERSHIP_PROXIES:
        report_endpoints_in_use(report, run, proxy)
    for proxy, clients in run.clients.items():
        total = clients.status_codes.total()
        report.record(f"{proxy}_served", clients.status_codes[OK] / max(1, total), "of its requests")
    violations = run.fleet.recorder.audit(IDEMPOTENCY_BY_CLASS)
    report.record("rules_broken", len(violations), "violations of the four rules, over all proxies")
    report.check(not violations, "; ".join(map(str, violations[:5])))


def report_traffic(report: BenchmarkReport, run: Run) -> None:
    """Record the amount of traffic and faults, and check that the whole script was run."""
    fleet = run.fleet
    report.record("span", run.ended_at - run.started_at, "s")
    report.record("calls", len(fleet.recorder.requests), "requests")
    report.record("expiries", len(fleet.lost_sessions), "sessions lost")
    report.check(
        len(fleet.lost_sessions) == fleet.size.expiries, "the script did not run all session expiries"
    )
    unsent = sum(clients.unsent_count for clients in run.clients.values())
    report.check(not unsent, "clients could not send all of their requests")


def report_last_requests(report: BenchmarkReport, run: Run) -> None:
    """Record each proxy's last request to an endpoint after its session loss, and check the drain window."""
    by_session: list[float] = []
    by_registry: list[float] = []
    late: list[str] = []
    for lost_session in run.fleet.lost_sessions:
        for proxy, last_request in lost_session.last_request_by_proxy.items():
            delay = last_request - lost_session.lost_at
            if proxy not in MEMBERSHIP_PROXIES:
                by_registry.append(max(0.0, delay))
                continue
            by_session.append(max(0.0, delay))
            if delay > DRAIN_WINDOW_S + SLACK_S:
                late.append(f"{lost_session.name} by {proxy} {delay:.2f} s")
    report.check(by_session, "no endpoint with a lost session had received requests before")
    by_session = by_session or [0.0]
    by_registry = by_registry or [0.0]
    report.record("last_send_by_session", median(by_session), "s after the loss, median")
    report.record("last_send_by_session_worst", max(by_session), "s after the loss")
    report.record("last_send_by_padron", median(by_registry), "s after the loss, median")
    report.record("last_send_by_padron_worst", max(by_registry), "s after the loss")
    report.check(not late, f"requests sent later than {DRAIN_WINDOW_S:g} s after a session loss: {late[:5]}")


def report_notifications(report: BenchmarkReport, run: Run) -> None:
    """Check that the coordination service notified both proxies of each session loss."""
    count = sum(
        notification.source == MEMBERSHIP and notification.state == "gone"
        for notification in run.fleet.recorder.notifications
    )
    report.record("told", count, "losses written to proxies by the service")
    expected = len(MEMBERSHIP_PROXIES) * run.fleet.size.expiries
    report.check(count >= expected, "the service did not notify both proxies of every loss")


def report_window(report: BenchmarkReport, run: Run, window: Window, proxy: str) -> None:
    """Check that a proxy served its requests while the coordination service was partitioned or empty."""
    recorder = run.fleet.recorder
    request_ids = {request.request_id for request in recorder.requests if request.proxy == proxy}
    answers = [
        answer
        for answer in recorder.answers
        if window.started_at <= answer.received_at <= window.ended_at and answer.request_id in request_ids
    ]
    served = sum(answer.status_code == OK for answer in answers)
    label = window.name.replace(" ", "_")
    report.record(f"{label}_{proxy}", f"{served}/{len(answers)}", "requests served")
    is_served = answers and served >= MIN_SERVED_SHARE * len(answers)
    report.check(is_served, f"{window.name}: {proxy} served {served} of {len(answers)} requests")


def min_endpoints_in_use(log: str, nodes: int) -> int:
    """Return the lowest number of endpoints in use that the proxy's log reports."""
    counts = re.findall(r"endpoints_in_use_decreased count=(\d+)", log)
    return min(map(int, counts), default=nodes)


def report_endpoints_in_use(report: BenchmarkReport, run: Run, proxy: str) -> None:
    """Check that a proxy withheld the mass loss, and never removed more endpoints than the allowed share."""
    nodes = run.fleet.size.nodes
    in_use = min_endpoints_in_use(run.logs[proxy], nodes)
    report.record(f"{proxy}_least_in_use", in_use, f"of {nodes} endpoints")
    bound = nodes - int(MASS_LOSS_SHARE * nodes)
    report.check(in_use >= bound, f"{proxy} had {in_use} endpoints in use, the lower bound is {bound}")
    withheld = run.logs[proxy].count("mass_loss_withheld")
    report.record(f"{proxy}_held", withheld, "mass losses withheld")
    report.check(withheld >= 1, f"{proxy} did not withhold the mass loss of the empty ensemble")
