"""What each source reports of each endpoint, and the indexes by address and by name. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from service_proxy.net.endpoint_list import Address, Endpoint
from service_proxy.net.endpoint_sources import SourceHealth

START_TOLERANCE_S = 2.0  # by which two sources' starts of one process may differ
MEMBERSHIP = "membership"  # the ephemeral nodes
DISCOVERY = "discovery"
SOURCE_ORDER = (MEMBERSHIP, DISCOVERY)  # who is believed first where none is fresher
HEALTH_ORDER = (
    SourceHealth.UP_TO_DATE,
    SourceHealth.STALE,
    SourceHealth.UNREACHABLE,
    SourceHealth.NEVER_RECEIVED,
)


class ReportedStatus(Enum):
    """What a source reports of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"  # its session ended: draining for a while, then gone
    GONE = "gone"


END_STATUSES = frozenset((ReportedStatus.DRAINING, ReportedStatus.LOST, ReportedStatus.GONE))


@dataclass(slots=True)
class SourceReport:
    """A source's last report of one endpoint. Times in s, monotonic."""

    endpoint: Endpoint
    status: ReportedStatus
    since: float  # when this status was reported
    is_loss_withheld: bool = False  # a loss was reported, and is taken to be the source's own fault
    withheld_since: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the source says so, and no loss of it is withheld."""
        return self.status is ReportedStatus.READY and not self.is_loss_withheld

    @property
    def started_at(self) -> float:
        """When the endpoint's process started; 0: unknown."""
        return self.endpoint.entry.started_at


@dataclass(slots=True)
class SourceView:
    """All that one source reports.

    More than `mass_loss_share` of its endpoints lost within `mass_loss_window_s` is a mass loss.
    """

    name: str
    mass_loss_share: float
    mass_loss_window_s: float
    health: SourceHealth = SourceHealth.NEVER_RECEIVED
    reports: dict[str, SourceReport] = field(default_factory=dict)
    loss_times: deque[float] = field(default_factory=deque)  # of the losses that counted
    withheld_count: int = 0
    ready_count: int = 0  # reports whose status is READY, those with a withheld loss among them

    def count_allowed_losses(self, now: float) -> int:
        """Return how many more losses count now. The base is what was ready before those of the window."""
        while self.loss_times and self.loss_times[0] <= now - self.mass_loss_window_s:
            self.loss_times.popleft()
        base = self.ready_count + len(self.loss_times)
        maximum = max(1, int(self.mass_loss_share * base)) - len(self.loss_times)
        return max(0, min(maximum, self.ready_count - 1))

    def release(self, report: SourceReport) -> None:
        """Withhold a loss no longer, if one is."""
        if report.is_loss_withheld:
            self.withheld_count -= 1
            report.is_loss_withheld = False

    def set_status(self, report: SourceReport, status: ReportedStatus, now: float) -> None:
        """Change a report's status."""
        self.ready_count += (status is ReportedStatus.READY) - (report.status is ReportedStatus.READY)
        report.status = status
        report.since = now

    def withheld_due(self, since: float) -> list[str]:
        """Return the names whose losses are withheld since then or longer."""
        return [
            name
            for name, report in self.reports.items()
            if report.is_loss_withheld and report.withheld_since <= since
        ]


class ReportIndex:
    """The views of all sources, and names by address and by case-folded name."""

    def __init__(self, sources: dict[str, SourceView]) -> None:
        self.sources = sources
        self.order = tuple(sources)
        self.names_by_address: dict[Address, dict[str, None]] = {}  # names that any source has there
        self.names_by_casefold: dict[str, dict[str, None]] = {}

    def reports_of(self, name: str) -> list[SourceReport]:
        """Return the reports on a name, of any source."""
        return [
            report for source in self.sources.values() if (report := source.reports.get(name)) is not None
        ]

    def current_reports(self, name: str) -> list[tuple[SourceView, SourceReport]]:
        """Return those that speak of the newest incarnation (rule 1), in the order of rule 5."""
        found = [
            (source, report)
            for health in HEALTH_ORDER
            for source in self.sources.values()
            if source.health is health and (report := source.reports.get(name)) is not None
        ]
        newest = max((report.started_at for _, report in found), default=0.0)
        return [
            (source, report)
            for source, report in found
            if report.started_at == 0.0 or report.started_at >= newest - START_TOLERANCE_S
        ]

    def rank(self, name: str) -> int:
        """Return the place in the order of the source that counts first for this name."""
        reports = self.current_reports(name)
        return self.order.index(reports[0][0].name) if reports else len(self.order)

    def namesakes(self, name: str) -> Iterable[str]:
        """Return the names that differ from this one in case at most."""
        return self.names_by_casefold.get(name.casefold(), ())

    def add(self, endpoint: Endpoint) -> None:
        """Index an endpoint that a source reports."""
        self.names_by_address.setdefault(endpoint.address, {})[endpoint.name] = None
        self.names_by_casefold.setdefault(endpoint.name.casefold(), {})[endpoint.name] = None

    def remove_address(self, endpoint: Endpoint) -> list[str]:
        """Remove an endpoint from its address, unless another report has it there.

        Return the names that stay at the address, whose decisions may change.
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
        """Forget a name that no source reports any more."""
        names = self.names_by_casefold.get(name.casefold())
        if names is not None:
            names.pop(name, None)
            if not names:
                del self.names_by_casefold[name.casefold()]

    def dependent_names(self, name: str) -> Iterable[str]:
        """Yield the name, and those whose decision may rest on it (rule 7)."""
        yield name
        yield from self.namesakes(name)
        for report in self.reports_of(name):
            yield from self.names_by_address.get(report.endpoint.address, ())
