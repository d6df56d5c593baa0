"""Reports of each source on each endpoint, with indexes by address and by name. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from service_proxy.net.endpoint_list import Address, Endpoint
from service_proxy.net.endpoint_sources import SourceHealth

START_TOLERANCE_S = 2.0  # Maximum difference between two sources' start times of the same process.
MEMBERSHIP = "membership"  # Name of the source of ephemeral nodes.
DISCOVERY = "discovery"
SOURCE_ORDER = (MEMBERSHIP, DISCOVERY)  # Precedence of sources with equal health.
HEALTH_ORDER = (
    SourceHealth.UP_TO_DATE,
    SourceHealth.STALE,
    SourceHealth.UNREACHABLE,
    SourceHealth.NEVER_RECEIVED,
)


class ReportedStatus(Enum):
    """Status of an endpoint in a source's report."""

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"  # The endpoint's session ended: counts as draining for LOSS_WINDOW_S, then as gone.
    GONE = "gone"


END_STATUSES = frozenset((ReportedStatus.DRAINING, ReportedStatus.LOST, ReportedStatus.GONE))


@dataclass(slots=True)
class SourceReport:
    """Last report of a source on one endpoint; times in s, monotonic."""

    endpoint: Endpoint
    status: ReportedStatus
    since: float  # Time when this status was reported.
    is_loss_withheld: bool = False  # Whether a reported loss is withheld as a probable fault of the source.
    withheld_since: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the source reports the endpoint as ready and no loss of it is withheld."""
        return self.status is ReportedStatus.READY and not self.is_loss_withheld

    @property
    def started_at(self) -> float:
        """Start time of the endpoint's process; 0: unknown."""
        return self.endpoint.entry.started_at

    @property
    def has_exact_start(self) -> bool:
        """Whether the start time is known and no estimate."""
        return self.started_at > 0.0 and self.endpoint.started_after is None

    @property
    def started_after(self) -> float:
        """Time after which the endpoint's process certainly started; 0: unknown."""
        if self.endpoint.started_after is None:
            return max(0.0, self.started_at - START_TOLERANCE_S)
        return max(0.0, self.endpoint.started_after - START_TOLERANCE_S)

    def is_of_process_before(self, started_after: float) -> bool:
        """Return whether the report is on an earlier process than one that started after this time."""
        if self.has_exact_start:
            return self.started_at < started_after
        # The end of a process whose start is an estimate can't be that of a process which started after it.
        is_estimate = self.endpoint.started_after is not None
        return is_estimate and self.status in END_STATUSES and self.since < started_after


@dataclass(slots=True)
class SourceView:
    """All reports of one source.

    More than `mass_loss_share` of its endpoints lost within `mass_loss_window_s` is a mass loss.
    """

    name: str
    mass_loss_share: float
    mass_loss_window_s: float
    health: SourceHealth = SourceHealth.NEVER_RECEIVED
    reports: dict[str, SourceReport] = field(default_factory=dict)
    loss_times: deque[float] = field(default_factory=deque)  # Times of accepted losses.
    withheld_count: int = 0
    ready_count: int = 0  # Number of reports with status READY, including those with a withheld loss.

    def count_allowed_losses(self, now: float) -> int:
        """Return how many further losses are accepted now.

        The share refers to the endpoints that were ready before the losses of the current window.
        """
        while self.loss_times and self.loss_times[0] <= now - self.mass_loss_window_s:
            self.loss_times.popleft()
        base = self.ready_count + len(self.loss_times)
        maximum = max(1, int(self.mass_loss_share * base)) - len(self.loss_times)
        return max(0, min(maximum, self.ready_count - 1))

    def clear_withheld_loss(self, report: SourceReport) -> None:
        """Clear the report's withheld loss, if there is one."""
        if report.is_loss_withheld:
            self.withheld_count -= 1
            report.is_loss_withheld = False

    def set_status(self, report: SourceReport, status: ReportedStatus, now: float) -> None:
        """Set a report's status and the time of the change."""
        self.ready_count += (status is ReportedStatus.READY) - (report.status is ReportedStatus.READY)
        report.status = status
        report.since = now

    def losses_withheld_since(self, since: float) -> list[str]:
        """Return the names whose losses have been withheld since that time or longer."""
        return [
            name
            for name, report in self.reports.items()
            if report.is_loss_withheld and report.withheld_since <= since
        ]


class ReportIndex:
    """Reports of all sources, with names indexed by address and by case-folded name."""

    def __init__(self, sources: dict[str, SourceView]) -> None:
        self.sources = sources
        self.order = tuple(sources)
        # Names that any source reports at the address.
        self.names_by_address: dict[Address, dict[str, None]] = {}
        self.names_by_casefold: dict[str, dict[str, None]] = {}

    def reports_of(self, name: str) -> list[SourceReport]:
        """Return the reports of all sources on a name."""
        return [
            report for source in self.sources.values() if (report := source.reports.get(name)) is not None
        ]

    def current_reports(self, name: str) -> list[tuple[SourceView, SourceReport]]:
        """Return the reports on the newest incarnation (rule 1), in the order of rule 5."""
        found = [
            (source, report)
            for health in HEALTH_ORDER
            for source in self.sources.values()
            if source.health is health and (report := source.reports.get(name)) is not None
        ]
        newest = max((report.started_after for _, report in found), default=0.0)
        return [(source, report) for source, report in found if not report.is_of_process_before(newest)]

    def source_rank(self, name: str) -> int:
        """Return the position in the source order of the name's first report by rule 5."""
        reports = self.current_reports(name)
        return self.order.index(reports[0][0].name) if reports else len(self.order)

    def case_variants(self, name: str) -> Iterable[str]:
        """Return the names that are equal to this one when case is ignored, including the name itself."""
        return self.names_by_casefold.get(name.casefold(), ())

    def add(self, endpoint: Endpoint) -> None:
        """Add a reported endpoint to the indexes."""
        self.names_by_address.setdefault(endpoint.address, {})[endpoint.name] = None
        self.names_by_casefold.setdefault(endpoint.name.casefold(), {})[endpoint.name] = None

    def remove_address(self, endpoint: Endpoint) -> list[str]:
        """Remove an endpoint from the index of its address, unless another report has the same address.

        Return the names that remain at the address, because their decisions may change.
        """
        names = self.names_by_address.get(endpoint.address)
        if names is None or any(
            report.endpoint.address == endpoint.address and report.endpoint is not endpoint
            for report in self.reports_of(endpoint.name)
        ):
            return []
        names.pop(endpoint.name, None)
        if not names:
            del self.names_by_address[endpoint.address]
        return list(names)

    def remove_name(self, name: str) -> None:
        """Remove a name that no source reports any more."""
        names = self.names_by_casefold.get(name.casefold())
        if names is not None:
            names.pop(name, None)
            if not names:
                del self.names_by_casefold[name.casefold()]

    def dependent_names(self, name: str) -> Iterable[str]:
        """Yield the name and all names whose decision may depend on it (rule 7)."""
        yield name
        yield from self.case_variants(name)
        for report in self.reports_of(name):
            yield from self.names_by_address.get(report.endpoint.address, ())
