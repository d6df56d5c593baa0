"""Restarts of each application and each sidecar of two tiers under load, on real processes.

An application crashes without notice and warms up after its restart. A sidecar receives SIGTERM and ends by
itself. The recorder checks that every accepted request gets exactly one response.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from benchmarks.report import BenchmarkReport
from harness.clients import GIVE_UP_MARGIN_S
from harness.deployment import EDGE_PROXY_NAME, Deployment, SidecarHost, running_deployment
from harness.event_loop import until
from harness.stub_endpoint import StubEndpoint
from service_proxy.sidecar.description import load

EXAMPLE = Path(__file__).parent.parent / "deploy" / "application.toml"
SETTLING_S = 1.0  # Duration of the traffic before the first restart and after the last restart.
MAX_TRAFFIC_S = 600.0
# Share of the requests. One of the two endpoints of a tier is down for most of the time.
MIN_SERVED_SHARE = 0.9
MIN_INNER_SHARE = 0.5  # Ratio of the requests to the second tier to the requests to the first tier.
LAST_RESPONSE_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class RestartSize:
    """Size of a run."""

    rate: float  # Requests per second.
    rounds: int  # Number of restarts of each application and each sidecar.
    downtime: float  # Downtime of a restarted application in seconds.


FULL_SIZE = RestartSize(120.0, 5, 2.0)
SHORT_SIZE = RestartSize(60.0, 1, 0.5)


@dataclass(slots=True)
class RestartResults:
    """Measured times in seconds, one per restart."""

    # Times until the application receives a request again.
    application_recovery: list[float] = field(default_factory=list)
    # Times from SIGTERM to the end of the sidecar.
    sidecar_shutdown: list[float] = field(default_factory=list)


def has_more_requests(endpoint: StubEndpoint, count: int) -> bool:
    """Return whether the endpoint has received more than `count` requests."""
    return endpoint.request_count > count


async def restart_application(host: SidecarHost, downtime: float) -> float:
    """Restart an application, and return the seconds until it receives a request again."""
    count = host.application.request_count
    await host.restart_application(downtime)
    started_at = asyncio.get_running_loop().time()
    await until(partial(has_more_requests, host.application, count), f"requests to {host.name}")
    return asyncio.get_running_loop().time() - started_at


async def restart_sidecar(report: BenchmarkReport, deployment: Deployment, host: SidecarHost) -> float:
    """Restart a sidecar with SIGTERM, and return the seconds until the sidecar has ended."""
    loop = asyncio.get_running_loop()
    signalled_at = loop.time()
    await host.stop_sidecar()
    elapsed = loop.time() - signalled_at
    report.check(host.exit_code == 0, f"the sidecar of {host.name} ended with exit code {host.exit_code}")
    await host.start_sidecar()
    deployment.update_lists(host.sidecar.tier, host.list_entry)
    return elapsed


async def restart_all(report: BenchmarkReport, deployment: Deployment, size: RestartSize) -> RestartResults:
    """Restart all applications and then all sidecars, one after another, in each round."""
    results = RestartResults()
    for _ in range(size.rounds):
        for host in deployment.hosts:
            results.application_recovery.append(await restart_application(host, size.downtime))
        for host in deployment.hosts:
            results.sidecar_shutdown.append(await restart_sidecar(report, deployment, host))
    return results


async def measure_restarts(report: BenchmarkReport) -> None:
    """Restart each application and each sidecar under load, and audit the requests."""
    size = SHORT_SIZE if report.short else FULL_SIZE
    _, description = load(str(EXAMPLE))
    assert description is not None
    async with running_deployment(description) as deployment:
        clients = deployment.clients
        assert clients is not None
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        traffic = asyncio.create_task(clients.run(MAX_TRAFFIC_S, size.rate, wait_and_close=False))
        await asyncio.sleep(SETTLING_S)
        results = await restart_all(report, deployment, size)
        await asyncio.sleep(SETTLING_S)
        traffic.cancel()
        longest_wait = max(cls.budget for cls in deployment.classes.values()) + GIVE_UP_MARGIN_S
        await until(
            lambda: not clients.open_requests, "the last answers", longest_wait + LAST_RESPONSE_MARGIN_S
        )
        elapsed = loop.time() - started_at
        report_restarts(report, results, size)
        report_requests(report, deployment, size, elapsed)
        report_times(report, results)


def report_restarts(report: BenchmarkReport, results: RestartResults, size: RestartSize) -> None:
    """Record the number of restarts."""
    count = len(results.application_recovery)
    report.record("restarts_applications", count, f"restarts, each with {size.downtime:g} s of downtime")
    report.record("restarts_sidecars", len(results.sidecar_shutdown), "restarts by SIGTERM")


def report_times(report: BenchmarkReport, results: RestartResults) -> None:
    """Record the longest times of the restarts."""
    recovery = max(results.application_recovery)
    report.record("application_back", recovery, "s at most until it received a request again")
    report.record(
        "sidecar_ended", max(results.sidecar_shutdown), "s at most from SIGTERM to the end of the sidecar"
    )


def report_requests(
    report: BenchmarkReport, deployment: Deployment, size: RestartSize, elapsed: float
) -> None:
    """Record the outcomes of the requests, and check that no request was lost and no rule broken."""
    clients = deployment.clients
    assert clients is not None
    codes = clients.status_codes
    total = codes.total()
    unanswered = codes[0] + codes[-1]
    lost = unanswered + clients.unsent_count
    violations = deployment.recorder.audit(
        {name: cls.idempotency for name, cls in deployment.classes.items()}
    )
    inner = sum(request.proxy != EDGE_PROXY_NAME for request in deployment.recorder.requests)
    report.record("calls", total, f"requests in {elapsed:.1f} s, and {inner} to the second tier")
    report.record("served", codes[200], "")
    report.record("refused", codes[503], "with 503, safe to retry")
    report.record("failed", total - codes[200] - codes[503] - unanswered, "with another status code")
    report.record("lost", lost, "accepted and not answered in time, or not accepted")
    report.record("rules_broken", len(violations), "violations found by the recorder")
    is_enough = total > size.rate and inner > MIN_INNER_SHARE * total
    report.check(is_enough, "too few requests for a result")
    report.check(not lost, f"{lost} requests lost")
    report.check(not violations, f"rules broken: {[str(violation) for violation in violations[:3]]}")
    report.check(codes[200] >= MIN_SERVED_SHARE * total, f"{codes[200]} of {total} requests served")
