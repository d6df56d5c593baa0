"""What is in force for one endpoint, by what the sources report of it. Pure.

The rules, in their order; docs/design/ephemeral.md weighs them:

1. Incarnation. Of reports on one name, those whose start is older than the newest by more than
   START_TOLERANCE_S are outdated and count for nothing. A start of 0 is unknown, and as good as any.
2. Ends. Among the rest, an end (draining, gone, session lost) beats "ready", whichever source reported it and
   however long ago, until the same source reports "ready" again or a newer incarnation is reported. Absence
   from a source that never listed the name is no report.
3. Gone. A name is removed once no source says "ready" or "draining" of it; a session's loss counts as
   draining for LOSS_WINDOW_S and as gone after it.
4. Mass loss: `merger.py`.
5. Fields. Address, kind and weight come from the first of SOURCE_ORDER that is fresh, else from the first
   that is stale, then unreachable, then never received.
6. Groups. Where two reports give other zones or groups, which of them drops repeats is not known: the
   endpoint is used, but in a group of its own, so that no keyed request is resent from or to it.
7. One address, one endpoint. Of several ready names at one address, the first by rule 5's order, then by
   start (the newest), then by name is used, and the others are hidden. Where names differ in case only, an
   end of either is an end of both.
8. A source's health (stale, unreachable) removes nobody.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from service_proxy.ephemeral_nodes.endpoint_node import MAX_GROUP
from service_proxy.ephemeral_nodes.source_reports import (
    END_STATUSES,
    START_TOLERANCE_S,
    ReportedStatus,
    ReportIndex,
    SourceReport,
    SourceView,
)
from service_proxy.net.endpoint_list import Endpoint, endpoint_id_of
from service_proxy.policy.events import EndpointState

LOSS_WINDOW_S = 2.0  # from a session's loss until its endpoint is gone: the platform's drain window
NO_DISAGREEMENT = "no source contradicts"

CurrentReports = list[tuple[SourceView, SourceReport]]


@dataclass(slots=True)
class Decision:
    """What is in force for one endpoint, and why."""

    endpoint: Endpoint
    source: str  # whose report decided
    reason: str

    @property
    def is_serving(self) -> bool:
        """Whether the endpoint is used."""
        return self.endpoint.entry.state is EndpointState.SERVING


def effective_status(report: SourceReport, now: float) -> ReportedStatus:
    """Return what a report counts as (rule 3): a loss is draining, then gone."""
    if report.status is ReportedStatus.LOST:
        return ReportedStatus.DRAINING if now < report.since + LOSS_WINDOW_S else ReportedStatus.GONE
    return report.status


def decide(index: ReportIndex, name: str, now: float) -> Decision | None:
    """Return what is in force for an endpoint; None where it is gone."""
    reports = index.current_reports(name)
    statuses = [effective_status(report, now) for _, report in reports]
    if all(status is ReportedStatus.GONE for status in statuses):
        return None
    source, first = reports[0]
    endpoint = Endpoint(first.endpoint.address, replace(first.endpoint.entry), name)
    decision = Decision(endpoint, source.name, NO_DISAGREEMENT)
    entry = endpoint.entry
    ends = [pair for pair, status in zip(reports, statuses, strict=True) if status in END_STATUSES]
    if ends:
        entry.state = EndpointState.DRAINING
        _explain_end(decision, ends, len(ends) == len(reports))
    else:
        entry.state = EndpointState.SERVING
        if any(report.is_loss_withheld for _, report in reports):
            decision.reason = "its loss is held to be the source's fault (rule 4)"
    entry.started_at = max(report.started_at for _, report in reports)
    _resolve_locations(decision, reports, bool(ends))
    if decision.is_serving:
        substitute = _find_ended_namesake(index, name, first) or _find_preferred(index, decision)
        if substitute is not None:
            entry.state = EndpointState.DRAINING
            decision.reason = f"{substitute} stands for this address (rule 7)"
    return decision


def _explain_end(decision: Decision, ends: CurrentReports, all_agree: bool) -> None:
    """Rule 2."""
    source, report = ends[0]
    decision.source = source.name
    if not all_agree:
        decision.reason = f"{report.status.value}, which beats ready (rule 2)"
    elif report.status is ReportedStatus.LOST:
        decision.reason = "its session is lost"


def _resolve_locations(decision: Decision, reports: CurrentReports, has_ended: bool) -> None:
    """Rules 5 and 6: the sources may give other addresses, zones and groups."""
    entry = decision.endpoint.entry
    if not has_ended and len({report.endpoint.address for _, report in reports}) > 1:
        decision.reason = "the sources give other addresses (rule 5)"
    entries = [report.endpoint.entry for _, report in reports]
    if len({(other.zone, other.cell) for other in entries if other.zone}) > 1:
        entry.zone = f"?{decision.endpoint.name}"
        # Groups of nodes are 0 and above.
        entry.cell = -(endpoint_id_of(decision.endpoint.name) % MAX_GROUP) - 1
        if not has_ended:
            decision.reason = "the sources give other zones or groups (rule 6)"


def _find_ended_namesake(index: ReportIndex, name: str, report: SourceReport) -> str | None:
    """Return a name that differs in case only, is at the same address, and has ended (rule 7)."""
    for namesake in index.namesakes(name):
        if namesake == name:
            continue
        for other in index.reports_of(namesake):
            if (
                other.status in END_STATUSES
                and other.endpoint.address == report.endpoint.address
                and other.started_at >= report.started_at - START_TOLERANCE_S
            ):
                return namesake
    return None


def _find_preferred(index: ReportIndex, decision: Decision) -> str | None:
    """Return the name that is used at the endpoint's address in its place (rule 7)."""
    endpoint = decision.endpoint
    preference = (index.rank(endpoint.name), -endpoint.entry.started_at, endpoint.name)
    for other in index.names_by_address.get(endpoint.address, ()):
        if other == endpoint.name:
            continue
        reports = [report for _, report in index.current_reports(other)]
        if not reports or reports[0].endpoint.address != endpoint.address:
            continue
        if any(report.status in END_STATUSES for report in reports):
            continue
        started_at = max(report.started_at for report in reports)
        if (index.rank(other), -started_at, other) < preference:
            return other
    return None
