"""Merger of the reports of several sources into one endpoint list, by the rules of `merge_rules.py`. Pure.

The caller passes the time with each call. This module implements rule 4, mass loss: if more than a share of a
source's endpoints is lost within a time window, the source itself is assumed to be faulty. The loss that
would exceed the share is withheld, and the previous report stays effective. A withheld loss is cleared if the
source lists the name again or if another source reports its end. After MIN_WITHHOLD_S, the loss is accepted
if the source is fresh and so few losses are withheld that they are not a mass loss. The loss of a source's
last endpoint is always withheld.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import replace

from service_proxy.ephemeral_nodes.merge_rules import LOSS_WINDOW_S, NO_DISAGREEMENT, Decision, decide
from service_proxy.ephemeral_nodes.source_reports import (
    DISCOVERY,
    SOURCE_ORDER,
    START_TOLERANCE_S,
    ReportedStatus,
    ReportIndex,
    SourceReport,
    SourceView,
)
from service_proxy.net.endpoint_list import Endpoint, EndpointList
from service_proxy.net.endpoint_sources import SourceHealth
from service_proxy.policy.events import EndpointEntry, EndpointState

# Time for which an uncontradicted end is stored. Discovery can list an endpoint up to 44 s late.
END_RETENTION_S = 60.0
MAX_STORED_ENDS = 20_000  # Upper bound of names with a stored end.
MIN_WITHHOLD_S = 600.0  # Time after which a withheld loss may be accepted.


class EndpointListMerger:
    """Merger that receives the sources' reports and returns the resulting changes (`collect_changes`).

    More than `share` of a source's endpoints lost within `within` s is a mass loss.
    """

    def __init__(self, share: float, within: float, order: tuple[str, ...] = SOURCE_ORDER) -> None:
        self.sources = {name: SourceView(name, share, within) for name in order}
        self.index = ReportIndex(self.sources)
        self.decisions: dict[str, Decision] = {}  # Last published decision by name.
        self.dirty: dict[str, None] = {}  # Names to decide again.
        self.version = 0
        self.serving_count = 0  # Number of endpoints published as serving.
        self.loss_windows: deque[tuple[float, str]] = deque()  # End time of each loss window, and the name.
        self.tombstones: dict[str, float] = {}  # Expiry time of the stored end of each gone name.
        self.notes: list[str] = []  # Log lines since the last `take_notes`.
        self.last_note_by_name: dict[str, str] = {}  # Last logged disagreement by name.

    # Reports from sources
    def set_health(self, source: str, health: SourceHealth) -> None:
        """Set a source's health and log a change."""
        view = self.sources[source]
        if view.health is not health:
            before = view.health.value
            self.notes.append(f"source_health_changed source={source} health={health.value} before={before}")
            view.health = health
            self._mark_dirty(view.reports)

    def update(self, source: str, endpoints: Iterable[Endpoint], now: float) -> None:
        """Apply a source's reports of ready, draining or removed endpoints; a removal equals an absence."""
        removed = []
        for endpoint in endpoints:
            if endpoint.entry.state is EndpointState.REMOVED:
                removed.append(endpoint.name)
                continue
            is_serving = endpoint.entry.state is EndpointState.SERVING
            status = ReportedStatus.READY if is_serving else ReportedStatus.DRAINING
            self._set_report(self.sources[source], endpoint, status, now)
        if removed:
            self.report_ended(source, removed, now, ReportedStatus.GONE)

    def replace_all(
        self,
        source: str,
        endpoints: Iterable[Endpoint],
        now: float,
        status: ReportedStatus = ReportedStatus.GONE,
    ) -> None:
        """Apply a source's full list; endpoints that are no longer listed end with `status`."""
        listed = list(endpoints)
        names = {endpoint.name for endpoint in listed}
        self.update(source, listed, now)
        absent = [name for name in self.sources[source].reports if name not in names]
        self.report_ended(source, absent, now, status)

    def report_ended(
        self, source: str, names: Iterable[str], now: float, status: ReportedStatus = ReportedStatus.LOST
    ) -> None:
        """Apply one source's simultaneous reports that endpoints are GONE or that their sessions are LOST."""
        view = self.sources[source]
        losses: list[str] = []
        for name in names:
            report = view.reports.get(name)
            if report is None or report.status in (ReportedStatus.LOST, ReportedStatus.GONE):
                continue
            # The end was announced by draining, so it is not a loss.
            if report.status is ReportedStatus.DRAINING:
                self._record_end(view, name, status, now)
            elif not report.is_loss_withheld:
                losses.append(name)
        if not losses:
            return
        if len(losses) > view.count_allowed_losses(now) and self._may_be_source_fault(view, losses):
            self._withhold(view, losses, now)
            return
        for name in losses:
            view.loss_times.append(now)
            self._record_end(view, name, status, now)

    def _withhold(self, view: SourceView, names: list[str], now: float) -> None:
        for name in names:
            view.reports[name].is_loss_withheld = True
            view.reports[name].withheld_since = now
        view.withheld_count += len(names)
        self.notes.append(
            f"mass_loss_withheld source={view.name} lost={len(names)} of={view.ready_count} "
            f"window_s={view.mass_loss_window_s:g}"
        )
        self._mark_dirty(names)

    def _may_be_source_fault(self, source: SourceView, names: list[str]) -> bool:
        """Return whether a mass loss may be a fault of the source.

        Discovery ends endpoints by the platform's rules, so its losses are withheld only if other fresh
        sources report most of the endpoints as ready.
        """
        if source.name != DISCOVERY:
            return True
        others = [
            other
            for other in self.sources.values()
            if other is not source and other.health is SourceHealth.UP_TO_DATE
        ]
        ready = sum(any(_is_ready_by(other, name) for other in others) for name in names)
        return ready * 2 > len(names)

    def tick(self, now: float) -> None:
        """Process loss windows and withheld losses that are due; call at least once per second."""
        while self.loss_windows and self.loss_windows[0][0] <= now:
            self.dirty[self.loss_windows.popleft()[1]] = None
        while self.tombstones:
            name, until = next(iter(self.tombstones.items()))
            if until > now and len(self.tombstones) <= MAX_STORED_ENDS:
                break
            del self.tombstones[name]
            self._remove_reports(name)
        for source in self.sources.values():
            if source.withheld_count and source.health is SourceHealth.UP_TO_DATE:
                self._accept_withheld(source, now)

    def _accept_withheld(self, source: SourceView, now: float) -> None:
        due = source.losses_withheld_since(now - MIN_WITHHOLD_S)
        if not due or len(due) != source.withheld_count or len(due) > source.count_allowed_losses(now):
            return
        for name in due:
            source.loss_times.append(now)
            self._record_end(source, name, ReportedStatus.LOST, now)
        self.notes.append(f"withheld_losses_accepted source={source.name} lost={len(due)}")

    def _set_report(self, source: SourceView, endpoint: Endpoint, status: ReportedStatus, now: float) -> None:
        report = source.reports.get(endpoint.name)
        if report is None:
            source.reports[endpoint.name] = SourceReport(endpoint, status, now)
            source.ready_count += status is ReportedStatus.READY
        else:
            if not report.is_loss_withheld and report.status is status and report.endpoint == endpoint:
                return
            source.clear_withheld_loss(report)
            self._mark_dirty(self.index.remove_address(report.endpoint))
            report.endpoint = endpoint
            if report.status is not status:
                source.set_status(report, status, now)
        self.index.add(endpoint)
        self._mark_dirty((endpoint.name,))

    def _record_end(self, source: SourceView, name: str, status: ReportedStatus, now: float) -> None:
        report = source.reports[name]
        source.clear_withheld_loss(report)
        source.set_status(report, status, now)
        if status is ReportedStatus.LOST:
            self.loss_windows.append((now + LOSS_WINDOW_S, name))
        self._mark_dirty((name,))

    def _remove_reports(self, name: str) -> None:
        """Remove the reports on a name after its end was uncontradicted for END_RETENTION_S."""
        for source in self.sources.values():
            report = source.reports.pop(name, None)
            if report is not None:
                source.ready_count -= report.status is ReportedStatus.READY
                self._mark_dirty(self.index.remove_address(report.endpoint))
        self.index.remove_name(name)

    def _mark_dirty(self, names: Iterable[str]) -> None:
        for name in list(names):
            self.dirty.update(dict.fromkeys(self.index.dependent_names(name)))

    # Effective endpoints
    def collect_changes(self, now: float) -> EndpointList | None:
        """Return the changes since the last call as an incremental list, or None if nothing has changed."""
        self.tick(now)
        changed = []
        dirty = self.dirty
        self.dirty = {}
        for name in dirty:
            endpoint = self._decide(name, now)
            if endpoint is not None:
                changed.append(endpoint)
        if not changed:
            return None
        self.version += 1
        return EndpointList(self.version, False, changed)

    def _decide(self, name: str, now: float) -> Endpoint | None:
        """Decide the state of a name again; return the endpoint to publish if it has changed."""
        before = self.decisions.get(name)
        after = decide(self.index, name, now)
        if after is None:
            self.tombstones.setdefault(name, now + END_RETENTION_S)
            return self._remove(name, before) if before is not None else None
        self.tombstones.pop(name, None)
        if before is not None:
            entry = after.endpoint.entry
            entry.started_at = _stable_start(before.endpoint.entry, entry)
            self.serving_count -= before.is_serving
        self.decisions[name] = after
        self.serving_count += after.is_serving
        if before is None or (before.source, before.reason) != (after.source, after.reason):
            self._add_note(name, after.endpoint.entry.state.value, after)
        return after.endpoint if before is None or before.endpoint != after.endpoint else None

    def _remove(self, name: str, before: Decision) -> Endpoint:
        del self.decisions[name]
        self.serving_count -= before.is_serving
        self.last_note_by_name.pop(name, None)
        self._add_note(name, "removed", before)
        entry = replace(before.endpoint.entry, state=EndpointState.REMOVED)
        return Endpoint(before.endpoint.address, entry, name)

    def effective_endpoints(self) -> list[Endpoint]:
        """Return all effective endpoints, sorted by name."""
        return [self.decisions[name].endpoint for name in sorted(self.decisions)]

    def take_notes(self) -> list[str]:
        """Return and clear the log lines since the last call."""
        notes = self.notes
        self.notes = []
        return notes

    def _add_note(self, name: str, state: str, decision: Decision) -> None:
        """Log a decision once if a disagreement, a loss or a withheld loss caused it."""
        text = (
            f"endpoint_decided endpoint={name} state={state} "
            f"source={decision.source} reason={decision.reason}"
        )
        if decision.reason != NO_DISAGREEMENT and self.last_note_by_name.get(name) != text:
            self.last_note_by_name[name] = text
            self.notes.append(text)


def _is_ready_by(source: SourceView, name: str) -> bool:
    report = source.reports.get(name)
    return report is not None and report.is_ready


def _stable_start(before: EndpointEntry, after: EndpointEntry) -> float:
    """Return the start time to publish.

    The start time stays the same within one incarnation, because a changed start time would look like a
    restart.
    """
    is_same = abs(after.started_at - before.started_at) <= START_TOLERANCE_S or after.started_at == 0.0
    return before.started_at if is_same else after.started_at
