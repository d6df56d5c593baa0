"""Makes one endpoint list of what several sources report, by the rules of `merge_rules.py`. Pure.

The time comes with each call. Here is rule 4, mass loss: more than a share of a source's endpoints lost
within a time is taken to be the source's own fault. The loss that would pass that share is withheld, and the
report before it goes on to count. It ends for a name when the source lists it again, when another source
reports its end, or after WITHHOLD_S, once the source is fresh and so few are withheld that they would be no
mass loss. A source's last endpoint is always withheld.
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

END_MEMORY_S = 60.0  # for which an uncontradicted end is remembered: discovery lists late, up to 44 s
MAX_REMEMBERED_ENDS = 20_000  # names
WITHHOLD_S = 600.0  # after which a withheld loss may be believed


class EndpointListMerger:
    """Takes what sources report, and gives out what changes by it (`take_changes`).

    `share` and `within`: of each source's endpoints, and the s, beyond which losses are a mass loss.
    """

    def __init__(self, share: float, within: float, order: tuple[str, ...] = SOURCE_ORDER) -> None:
        self.sources = {name: SourceView(name, share, within) for name in order}
        self.index = ReportIndex(self.sources)
        self.decisions: dict[str, Decision] = {}  # by name: what was last given out
        self.dirty: dict[str, None] = {}  # names to be decided anew
        self.version = 0
        self.serving_count = 0  # endpoints that are given out as serving
        self.loss_windows: deque[tuple[float, str]] = deque()  # when a loss's window ends
        self.tombstones: dict[str, float] = {}  # names that are gone, and until when that is remembered
        self.notes: list[str] = []  # log lines, taken by `drain_notes`
        self.last_notes: dict[str, str] = {}  # by name: the last disagreement that was noted

    # What sources report
    def set_health(self, source: str, health: SourceHealth) -> None:
        """Set a source's health."""
        view = self.sources[source]
        if view.health is not health:
            before = view.health.value
            self.notes.append(f"source_health_changed source={source} health={health.value} before={before}")
            view.health = health
            self._touch(view.reports)

    def update(self, source: str, endpoints: Iterable[Endpoint], now: float) -> None:
        """Take what a source lists as ready, draining or removed; the last is an end like an absence."""
        removed = []
        for endpoint in endpoints:
            if endpoint.entry.state is EndpointState.REMOVED:
                removed.append(endpoint.name)
                continue
            is_serving = endpoint.entry.state is EndpointState.SERVING
            status = ReportedStatus.READY if is_serving else ReportedStatus.DRAINING
            self._set(self.sources[source], endpoint, status, now)
        if removed:
            self.report_ended(source, removed, now, ReportedStatus.GONE)

    def replace_all(
        self,
        source: str,
        endpoints: Iterable[Endpoint],
        now: float,
        status: ReportedStatus = ReportedStatus.GONE,
    ) -> None:
        """Take a source's whole list: what it listed before and does not now has ended, with this status."""
        listed = list(endpoints)
        names = {endpoint.name for endpoint in listed}
        self.update(source, listed, now)
        absent = [name for name in self.sources[source].reports if name not in names]
        self.report_ended(source, absent, now, status)

    def report_ended(
        self, source: str, names: Iterable[str], now: float, status: ReportedStatus = ReportedStatus.LOST
    ) -> None:
        """Take endpoints of which a source says at once that they are GONE, or their sessions LOST."""
        view = self.sources[source]
        losses: list[str] = []
        for name in names:
            report = view.reports.get(name)
            if report is None or report.status in (ReportedStatus.LOST, ReportedStatus.GONE):
                continue
            if report.status is ReportedStatus.DRAINING:  # an end that was announced is no loss
                self._end(view, name, status, now)
            elif not report.is_loss_withheld:
                losses.append(name)
        if not losses:
            return
        if len(losses) > view.count_allowed_losses(now) and self._is_doubted(view, losses):
            self._withhold(view, losses, now)
            return
        for name in losses:
            view.loss_times.append(now)
            self._end(view, name, status, now)

    def _withhold(self, view: SourceView, names: list[str], now: float) -> None:
        for name in names:
            view.reports[name].is_loss_withheld = True
            view.reports[name].withheld_since = now
        view.withheld_count += len(names)
        self.notes.append(
            f"mass_loss_withheld source={view.name} lost={len(names)} of={view.ready_count} "
            f"window_s={view.mass_loss_window_s:g}"
        )
        self._touch(names)

    def _is_doubted(self, source: SourceView, names: list[str]) -> bool:
        """Return whether a mass loss may be the source's fault.

        Discovery's reports end an endpoint by the platform's rules: they are doubted only against another's.
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
        """End loss windows and withheld losses that are due. Call it at least each second."""
        while self.loss_windows and self.loss_windows[0][0] <= now:
            self.dirty[self.loss_windows.popleft()[1]] = None
        while self.tombstones:
            name, until = next(iter(self.tombstones.items()))
            if until > now and len(self.tombstones) <= MAX_REMEMBERED_ENDS:
                break
            del self.tombstones[name]
            self._forget(name)
        for source in self.sources.values():
            if source.withheld_count and source.health is SourceHealth.UP_TO_DATE:
                self._accept_withheld(source, now)

    def _accept_withheld(self, source: SourceView, now: float) -> None:
        due = source.withheld_due(now - WITHHOLD_S)
        if not due or len(due) != source.withheld_count or len(due) > source.count_allowed_losses(now):
            return
        for name in due:
            source.loss_times.append(now)
            self._end(source, name, ReportedStatus.LOST, now)
        self.notes.append(f"withheld_losses_accepted source={source.name} lost={len(due)}")

    def _set(self, source: SourceView, endpoint: Endpoint, status: ReportedStatus, now: float) -> None:
        report = source.reports.get(endpoint.name)
        if report is None:
            source.reports[endpoint.name] = SourceReport(endpoint, status, now)
            source.ready_count += status is ReportedStatus.READY
        else:
            if not report.is_loss_withheld and report.status is status and report.endpoint == endpoint:
                return
            source.release(report)
            self._touch(self.index.remove_address(report.endpoint))
            report.endpoint = endpoint
            if report.status is not status:
                source.set_status(report, status, now)
        self.index.add(endpoint)
        self._touch((endpoint.name,))

    def _end(self, source: SourceView, name: str, status: ReportedStatus, now: float) -> None:
        report = source.reports[name]
        source.release(report)
        source.set_status(report, status, now)
        if status is ReportedStatus.LOST:
            self.loss_windows.append((now + LOSS_WINDOW_S, name))
        self._touch((name,))

    def _forget(self, name: str) -> None:
        """Drop the reports on a name: all were of its end, and none was contradicted for END_MEMORY_S."""
        for source in self.sources.values():
            report = source.reports.pop(name, None)
            if report is not None:
                source.ready_count -= report.status is ReportedStatus.READY
                self._touch(self.index.remove_address(report.endpoint))
        self.index.remove_name(name)

    def _touch(self, names: Iterable[str]) -> None:
        for name in list(names):
            self.dirty.update(dict.fromkeys(self.index.dependent_names(name)))

    # What is in force
    def take_changes(self, now: float) -> EndpointList | None:
        """Return what has changed since the last call, as an incremental list; None where nothing has."""
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
        """Decide anew; return the endpoint as it is to be given out, if that has changed."""
        before = self.decisions.get(name)
        after = decide(self.index, name, now)
        if after is None:
            self.tombstones.setdefault(name, now + END_MEMORY_S)
            return self._remove(name, before) if before is not None else None
        self.tombstones.pop(name, None)
        if before is not None:
            entry = after.endpoint.entry
            entry.started_at = _stable_start(before.endpoint.entry, entry)
            self.serving_count -= before.is_serving
        self.decisions[name] = after
        self.serving_count += after.is_serving
        if before is None or (before.source, before.reason) != (after.source, after.reason):
            self._note(name, after.endpoint.entry.state.value, after)
        return after.endpoint if before is None or before.endpoint != after.endpoint else None

    def _remove(self, name: str, before: Decision) -> Endpoint:
        del self.decisions[name]
        self.serving_count -= before.is_serving
        self.last_notes.pop(name, None)
        self._note(name, "removed", before)
        entry = replace(before.endpoint.entry, state=EndpointState.REMOVED)
        return Endpoint(before.endpoint.address, entry, name)

    def endpoints_in_force(self) -> list[Endpoint]:
        """Return all that is in force, by name."""
        return [self.decisions[name].endpoint for name in sorted(self.decisions)]

    def drain_notes(self) -> list[str]:
        """Return the log lines since the last call."""
        notes = self.notes
        self.notes = []
        return notes

    def _note(self, name: str, state: str, decision: Decision) -> None:
        """Note a decision that a disagreement, a loss or a withheld loss made; agreement is silent."""
        text = (
            f"endpoint_decided endpoint={name} state={state} "
            f"source={decision.source} reason={decision.reason}"
        )
        if decision.reason != NO_DISAGREEMENT and self.last_notes.get(name) != text:
            self.last_notes[name] = text
            self.notes.append(text)


def _is_ready_by(source: SourceView, name: str) -> bool:
    report = source.reports.get(name)
    return report is not None and report.is_ready


def _stable_start(before: EndpointEntry, after: EndpointEntry) -> float:
    """Return the start to give out: the same for one incarnation, as another would look like a restart."""
    is_same = abs(after.started_at - before.started_at) <= START_TOLERANCE_S or after.started_at == 0.0
    return before.started_at if is_same else after.started_at
