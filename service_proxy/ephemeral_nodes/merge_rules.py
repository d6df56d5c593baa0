"""Rules that derive one endpoint's effective state from the reports of all sources. Pure.

The rules, in their order; docs/design/ephemeral.md gives the reasons:

1. Incarnation. A report on a name is outdated, and ignored, if its start time is exact and another report
   shows that the name's process certainly started later: by an exact start time, or by the time after which
   an estimated start took place, with a tolerance of START_TOLERANCE_S. A report with an estimated start
   is outdated only if it is an end that was reported before that time. A report with an unknown start time
   (0) is never outdated, and neither an unknown nor an estimated start time outdates another report.
2. Ends. Among the current reports, an end (draining, gone, session lost) overrides "ready", whichever source
   reported the end and however long ago, until the same source reports "ready" again or a source reports a
   newer incarnation. Absence from a source that never listed the name is not a report.
3. Gone. A name is removed when no source reports it as "ready" or "draining". A lost session counts as
   draining for LOSS_WINDOW_S, and as gone afterwards.
4. Mass loss: see `merger.py`.
5. Fields. Address, kind and weight come from the first source of SOURCE_ORDER that is fresh, else from the
   first that is stale, then unreachable, then never received.
6. Groups. If two reports give different zones or groups, the group that deduplicates requests is unknown. The
   endpoint is used, but in a group of its own, so that no request with a key is retried from it or to it.
7. One endpoint per address. Of several ready names at one address, one is used and the others are hidden: the
   first by the order of rule 5, then by the newest start time, then by name. If two names differ only in
   case, an end of one is an end of both.
8. The health of a source (stale, unreachable) removes no endpoint.
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

# Time from the loss of a session until its endpoint is gone; equal to the platform's drain window.
LOSS_WINDOW_S = 2.0
NO_DISAGREEMENT = "no source contradicts"

CurrentReports = list[tuple[SourceView, SourceReport]]


@dataclass(slots=True)
class Decision:
    """Effective state of one endpoint, and the reason for it."""

    endpoint: Endpoint
    source: str  # Name of the source whose report was decisive.
    reason: str

    @property
    def is_serving(self) -> bool:
        """Whether the endpoint is used."""
        return self.endpoint.entry.state is EndpointState.SERVING


def effective_status(report: SourceReport, now: float) -> ReportedStatus:
    """Return the status that a report counts as (rule 3): a loss is draining, later gone."""
    if report.status is ReportedStatus.LOST:
        return ReportedStatus.DRAINING if now < report.since + LOSS_WINDOW_S else ReportedStatus.GONE
    return report.status


def decide(index: ReportIndex, name: str, now: float) -> Decision | None:
    """Return the effective state of an endpoint, or None if the endpoint is gone."""
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
            decision.reason = "its loss is withheld as a probable fault of the source (rule 4)"
    entry.started_at = _latest_start(reports)
    _resolve_locations(decision, reports, bool(ends))
    if decision.is_serving:
        substitute = _find_ended_case_variant(index, name, first) or _find_preferred(index, decision)
        if substitute is not None:
            entry.state = EndpointState.DRAINING
            decision.reason = f"{substitute} takes precedence at this address (rule 7)"
    return decision


def _latest_start(reports: CurrentReports) -> float:
    """Return the latest exact start time, or the latest estimate if no source knows the start."""
    exact = [report.started_at for _, report in reports if report.has_exact_start]
    return max(exact) if exact else max(report.started_at for _, report in reports)


def _explain_end(decision: Decision, ends: CurrentReports, all_agree: bool) -> None:
    """Set the source and the reason of an end (rule 2)."""
    source, report = ends[0]
    decision.source = source.name
    if not all_agree:
        decision.reason = f"{report.status.value}, which overrides ready (rule 2)"
    elif report.status is ReportedStatus.LOST:
        decision.reason = "its session is lost"


def _resolve_locations(decision: Decision, reports: CurrentReports, has_ended: bool) -> None:
    """Resolve different addresses, zones and groups (rules 5 and 6)."""
    entry = decision.endpoint.entry
    if not has_ended and len({report.endpoint.address for _, report in reports}) > 1:
        decision.reason = "the sources report different addresses (rule 5)"
    entries = [report.endpoint.entry for _, report in reports]
    if len({(other.zone, other.cell) for other in entries if other.zone}) > 1:
        entry.zone = f"?{decision.endpoint.name}"
        # Regular groups are 0 or positive, so a negative group is unique to the endpoint.
        entry.cell = -(endpoint_id_of(decision.endpoint.name) % MAX_GROUP) - 1
        if not has_ended:
            decision.reason = "the sources report different zones or groups (rule 6)"


def _find_ended_case_variant(index: ReportIndex, name: str, report: SourceReport) -> str | None:
    """Return an ended name at the same address that differs only in case, or None (rule 7)."""
    for variant in index.case_variants(name):
        if variant == name:
            continue
        for other in index.reports_of(variant):
            if (
                other.status in END_STATUSES
                and other.endpoint.address == report.endpoint.address
                and other.started_at >= report.started_at - START_TOLERANCE_S
            ):
                return variant
    return None


def _find_preferred(index: ReportIndex, decision: Decision) -> str | None:
    """Return the name that takes precedence at the endpoint's address, or None (rule 7)."""
    endpoint = decision.endpoint
    preference = (index.source_rank(endpoint.name), -endpoint.entry.started_at, endpoint.name)
    for other in index.names_by_address.get(endpoint.address, ()):
        if other == endpoint.name:
            continue
        reports = [report for _, report in index.current_reports(other)]
        if not reports or reports[0].endpoint.address != endpoint.address:
            continue
        if any(report.status in END_STATUSES for report in reports):
            continue
        started_at = max(report.started_at for report in reports)
        if (index.source_rank(other), -started_at, other) < preference:
            return other
    return None
