"""Tests of the merger's rules: each rule, each pair of reports, and invariants for any order of reports."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from service_proxy.ephemeral_nodes import merger as module
from service_proxy.ephemeral_nodes.merge_rules import LOSS_WINDOW_S
from service_proxy.ephemeral_nodes.merger import END_RETENTION_S, MIN_WITHHOLD_S, EndpointListMerger
from service_proxy.ephemeral_nodes.source_reports import (
    DISCOVERY,
    MEMBERSHIP,
    START_TOLERANCE_S,
    ReportedStatus,
)
from service_proxy.net.endpoint_list import Endpoint, endpoint_id_of
from service_proxy.net.endpoint_sources import SourceHealth
from service_proxy.policy.events import EndpointEntry, EndpointState

READY = EndpointState.SERVING
DRAINING = EndpointState.DRAINING
GONE = EndpointState.REMOVED


def entry(
    name: str,
    state: EndpointState = READY,
    port: int = 0,
    zone: str = "a",
    cell: int = 1,
    start: float = 100.0,
) -> Endpoint:
    at = port or 1000 + endpoint_id_of(name.casefold()) % 60_000
    return Endpoint(
        ("127.0.0.1", at), EndpointEntry(endpoint_id_of(name), zone, "m", cell, state, 1.0, start), name
    )


class MergerWithConsumer:
    """Merger with both sources fresh, and the endpoints that it has published."""

    def __init__(self, *names: str, share: float = 0.34, both: bool = True) -> None:
        self.merger = EndpointListMerger(share, 10.0)
        self.now = 0.0
        self.published: dict[str, Endpoint] = {}
        for source in (MEMBERSHIP, DISCOVERY):
            self.merger.set_health(source, SourceHealth.UP_TO_DATE)
        self.merger.update(MEMBERSHIP, [entry(name) for name in names], self.now)
        if both:
            self.merger.update(DISCOVERY, [entry(name) for name in names], self.now)
        self.collect_changes()

    def collect_changes(self, after: float = 0.0) -> None:
        self.now += after
        listing = self.merger.collect_changes(self.now)
        for listed in listing.endpoints if listing else ():
            if listed.entry.state is GONE:
                del self.published[listed.name]
            else:
                self.published[listed.name] = listed

    def update(self, source: str, *entries: Endpoint) -> None:
        self.merger.update(source, entries, self.now)
        self.collect_changes()

    def report_lost(
        self, *names: str, source: str = MEMBERSHIP, status: ReportedStatus = ReportedStatus.LOST
    ) -> None:
        self.merger.report_ended(source, names, self.now, status)
        self.collect_changes()

    def states(self) -> dict[str, EndpointState]:
        return {name: listed.entry.state for name, listed in self.published.items()}

    def serving(self) -> set[str]:
        return {name for name, state in self.states().items() if state is READY}


def test_an_endpoint_of_one_source_alone_is_used() -> None:
    harness = MergerWithConsumer()
    harness.update(MEMBERSHIP, entry("s-1"))
    harness.update(DISCOVERY, entry("s-2"))
    assert harness.serving() == {"s-1", "s-2"}


def test_a_lost_session_drains_at_once_although_discovery_keeps_reporting_ready() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3")
    harness.report_lost("s-1")
    assert harness.states()["s-1"] is DRAINING
    for _ in range(100):
        harness.merger.update(DISCOVERY, [entry("s-1"), entry("s-2"), entry("s-3")], harness.now)
        harness.collect_changes(10.0)
        assert harness.states()["s-1"] is DRAINING
    notes = [note for note in harness.merger.take_notes() if "s-1" in note]
    assert len(notes) == 1 and "source=membership reason=lost, which overrides ready" in notes[0]


def test_an_uncontradicted_lost_session_is_gone_after_the_window() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3", both=False)
    harness.report_lost("s-1")
    assert harness.states()["s-1"] is DRAINING
    harness.collect_changes(LOSS_WINDOW_S - 0.1)
    assert harness.states()["s-1"] is DRAINING
    harness.collect_changes(0.2)
    assert "s-1" not in harness.states()


def test_a_late_discovery_list_does_not_restore_a_lost_endpoint() -> None:
    """Discovery lists a server for the first time, seconds after the server's session was reported lost."""
    harness = MergerWithConsumer("s-1", "s-2", "s-3", both=False)
    harness.report_lost("s-1")
    harness.collect_changes(LOSS_WINDOW_S + 1)
    harness.update(DISCOVERY, entry("s-1"))
    assert harness.states()["s-1"] is DRAINING
    harness.collect_changes(END_RETENTION_S * 2)
    assert harness.states()["s-1"] is DRAINING


def test_reports_of_an_end_are_removed_after_the_retention_time() -> None:
    harness = MergerWithConsumer(*(f"s-{n}" for n in range(9)), both=False)
    harness.report_lost("s-1")
    harness.collect_changes(LOSS_WINDOW_S)
    harness.collect_changes(END_RETENTION_S)
    harness.collect_changes(0.1)
    assert "s-1" not in harness.merger.sources[MEMBERSHIP].reports and not harness.merger.tombstones
    assert not any("s-1" in names for names in harness.merger.index.names_by_address.values())


def test_registration_within_the_loss_window_under_the_same_name() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3")
    start = harness.published["s-1"].entry.started_at
    harness.report_lost("s-1")
    harness.collect_changes(1.0)
    harness.update(MEMBERSHIP, entry("s-1"))
    assert harness.states()["s-1"] is READY and harness.published["s-1"].entry.started_at == start
    harness.collect_changes(LOSS_WINDOW_S)
    assert harness.states()["s-1"] is READY  # The loss window of the old session has no effect.


def test_registration_within_the_loss_window_under_a_new_name() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3", both=False)
    harness.report_lost("s-1")
    harness.update(MEMBERSHIP, entry("s-9", port=harness.published["s-1"].address[1]))
    assert harness.states()["s-1"] is DRAINING and harness.states()["s-9"] is READY


def test_a_restart_is_a_newer_incarnation_and_outdates_both_reports() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3")
    harness.report_lost("s-1")
    harness.update(DISCOVERY, entry("s-1", start=200.0))
    assert harness.states()["s-1"] is READY and harness.published["s-1"].entry.started_at == 200.0
    harness.update(DISCOVERY, entry("s-2", DRAINING))
    harness.update(MEMBERSHIP, entry("s-2", start=300.0))
    assert harness.states()["s-2"] is READY  # Discovery still reports the previous process.


def test_a_report_with_an_older_start_is_ignored_even_if_it_is_an_end() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3")
    harness.update(MEMBERSHIP, entry("s-1", start=200.0))
    harness.update(DISCOVERY, entry("s-1", DRAINING, start=100.0))
    assert harness.states()["s-1"] is READY


def test_starts_that_differ_a_little_are_one_incarnation_with_one_start() -> None:
    harness = MergerWithConsumer("s-1")
    harness.update(DISCOVERY, entry("s-1", start=101.5))
    assert harness.published["s-1"].entry.started_at == 100.0
    harness.update(MEMBERSHIP, entry("s-1", start=0.0))
    assert harness.published["s-1"].entry.started_at == 100.0
    harness.update(DISCOVERY, entry("s-1", DRAINING, start=0.0))
    assert harness.states()["s-1"] is DRAINING  # An unknown start time is never outdated.


STARTS = {
    "unknown": (0.0, None),
    "exact": (100.0, None),
    "newer": (200.0, None),
    "estimate": (200.0, 0.0),
    "estimate after the exact one": (200.0, 150.0),
    "estimate around the exact one": (200.0, 50.0),
}
# Pairs (start in the report of the end, start in the report of the ready endpoint) of provably different
# processes, of which the end is the earlier one.
ENDS_OF_EARLIER_PROCESSES = {("exact", "newer"), ("exact", "estimate after the exact one")}


@pytest.mark.parametrize("ready_start", STARTS)
@pytest.mark.parametrize("end_start", STARTS)
@pytest.mark.parametrize("end", [DRAINING, GONE, ReportedStatus.LOST])
@pytest.mark.parametrize("sources", [(MEMBERSHIP, DISCOVERY), (DISCOVERY, MEMBERSHIP)])
@pytest.mark.parametrize("end_comes_last", [True, False])
def test_an_end_wins_unless_the_other_process_certainly_started_later(
    end_comes_last: bool,
    sources: tuple[str, str],
    end: EndpointState | ReportedStatus,
    end_start: str,
    ready_start: str,
) -> None:
    """Guards against a drain that is ignored because a registrar does not know when its server started."""
    end_source, ready_source = sources
    harness = MergerWithConsumer("s-2", "s-3", "s-4")
    harness.now = 300.0

    def report_end() -> None:
        reported = replace(entry("s-1", start=STARTS[end_start][0]), started_after=STARTS[end_start][1])
        harness.update(end_source, reported)
        if end is ReportedStatus.LOST:
            harness.report_lost("s-1", source=end_source)
        else:
            assert isinstance(end, EndpointState)
            harness.update(end_source, replace(reported, entry=replace(reported.entry, state=end)))

    def report_ready() -> None:
        started_at, started_after = STARTS[ready_start]
        harness.update(ready_source, replace(entry("s-1", start=started_at), started_after=started_after))

    for report in (report_ready, report_end) if end_comes_last else (report_end, report_ready):
        report()
    is_of_earlier_process = (end_start, ready_start) in ENDS_OF_EARLIER_PROCESSES
    assert ("s-1" in harness.serving()) == is_of_earlier_process


def test_an_end_is_not_that_of_a_process_which_started_after_it() -> None:
    """Guards against a server that stays draining for ever, because it has no registrar any more."""
    harness = MergerWithConsumer("s-2", "s-3", "s-4")
    harness.now = 300.0
    harness.update(MEMBERSHIP, replace(entry("s-1", start=200.0), started_after=0.0))
    harness.update(DISCOVERY, entry("s-1", start=100.0))
    harness.report_lost("s-1")
    harness.collect_changes(10.0)
    assert harness.states()["s-1"] is DRAINING
    harness.update(DISCOVERY, entry("s-1", start=300.0 + START_TOLERANCE_S))
    assert harness.states()["s-1"] is DRAINING
    harness.update(DISCOVERY, entry("s-1", start=301.0 + START_TOLERANCE_S))
    assert harness.states()["s-1"] is READY


def test_an_exact_start_is_published_rather_than_an_estimate() -> None:
    """Guards against a slow start of a warm endpoint whose registrar has restarted."""
    harness = MergerWithConsumer("s-2")
    harness.update(MEMBERSHIP, replace(entry("s-1", start=500.0), started_after=0.0))
    harness.update(DISCOVERY, entry("s-1", start=100.0))
    assert harness.states()["s-1"] is READY and harness.published["s-1"].entry.started_at == 100.0


@pytest.mark.parametrize("source", [MEMBERSHIP, DISCOVERY])
def test_draining_overrides_ready_whichever_source_reports_it(source: str) -> None:
    harness = MergerWithConsumer("s-1")
    harness.update(source, entry("s-1", DRAINING))
    assert harness.states()["s-1"] is DRAINING
    harness.update(MEMBERSHIP if source == DISCOVERY else DISCOVERY, entry("s-1"))
    assert harness.states()["s-1"] is DRAINING
    harness.update(source, entry("s-1"))
    assert harness.states()["s-1"] is READY


def test_gone_by_discovery_overrides_a_live_session() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3")
    harness.update(DISCOVERY, entry("s-1", GONE))
    assert harness.states()["s-1"] is DRAINING
    harness.report_lost("s-1")
    harness.collect_changes(LOSS_WINDOW_S)
    assert "s-1" not in harness.states()


def test_of_different_addresses_the_first_of_the_freshest_source_is_used() -> None:
    harness = MergerWithConsumer("s-1")
    harness.update(DISCOVERY, entry("s-1", port=7))
    assert harness.published["s-1"].address != ("127.0.0.1", 7)
    harness.merger.set_health(MEMBERSHIP, SourceHealth.STALE)
    harness.collect_changes()
    assert harness.published["s-1"].address == ("127.0.0.1", 7)
    harness.merger.set_health(DISCOVERY, SourceHealth.UNREACHABLE)
    harness.collect_changes()
    assert harness.published["s-1"].address != ("127.0.0.1", 7)


def test_another_zone_puts_the_endpoint_in_a_group_of_its_own() -> None:
    """A retry could execute a request twice, because the group that deduplicates requests is unknown."""
    harness = MergerWithConsumer("s-1", "s-2", "s-3")
    harness.update(DISCOVERY, entry("s-1", zone="b"), entry("s-2", zone="b"), entry("s-3", cell=7))
    places = {(listed.entry.zone, listed.entry.cell) for listed in harness.published.values()}
    assert len(places) == 3 and not places & {("a", 1), ("b", 1)}
    assert harness.serving() == {"s-1", "s-2", "s-3"}
    harness.update(DISCOVERY, entry("s-1"))
    assert harness.published["s-1"].entry.zone == "a"


def test_a_source_without_zones_contradicts_no_zone() -> None:
    harness = MergerWithConsumer("s-1")
    harness.update(DISCOVERY, entry("s-1", zone=""))
    assert harness.published["s-1"].entry.zone == "a"


@pytest.mark.parametrize("health", list(SourceHealth))
def test_a_sources_health_removes_no_endpoint(health: SourceHealth) -> None:
    harness = MergerWithConsumer("s-1", "s-2")
    for source in (MEMBERSHIP, DISCOVERY):
        harness.merger.set_health(source, health)
        harness.collect_changes(1000.0)
    assert harness.serving() == {"s-1", "s-2"}


def test_a_loss_of_all_endpoints_at_once_removes_none() -> None:
    names = [f"s-{n}" for n in range(87)]
    harness = MergerWithConsumer(*names, both=False)
    harness.merger.replace_all(MEMBERSHIP, [], harness.now, ReportedStatus.LOST)
    harness.collect_changes()
    harness.collect_changes(MIN_WITHHOLD_S * 3)
    assert harness.serving() == set(names)
    assert sum("mass_loss_withheld" in note for note in harness.merger.take_notes()) == 1


def test_gradual_losses_remove_at_most_the_share_within_the_window() -> None:
    names = [f"s-{n}" for n in range(87)]
    harness = MergerWithConsumer(*names, both=False)
    for name in names:
        harness.report_lost(name)
        harness.collect_changes(0.05)
    assert len(harness.serving()) == 87 - int(0.34 * 87)


def test_losses_spread_over_time_are_accepted_except_the_last_endpoint() -> None:
    names = [f"s-{n}" for n in range(12)]
    harness = MergerWithConsumer(*names, both=False)
    for name in names:
        harness.report_lost(name)
        harness.collect_changes(11.0)
    assert harness.serving() == {"s-11"}


def test_a_third_of_the_endpoints_can_be_lost_at_once() -> None:
    names = [f"s-{n}" for n in range(87)]
    harness = MergerWithConsumer(*names)
    harness.report_lost(*names[:29])  # One of three zones.
    assert len(harness.serving()) == 58


def test_a_withheld_loss_ends_when_its_source_lists_it_again_or_another_reports_its_end() -> None:
    names = [f"s-{n}" for n in range(9)]
    harness = MergerWithConsumer(*names)
    harness.merger.replace_all(MEMBERSHIP, [], harness.now, ReportedStatus.LOST)
    harness.collect_changes()
    assert harness.merger.sources[MEMBERSHIP].withheld_count == 9
    harness.update(DISCOVERY, entry("s-1", DRAINING))
    assert harness.serving() == set(names) - {"s-1"}
    harness.update(MEMBERSHIP, *(entry(name) for name in names[2:]))
    assert harness.merger.sources[MEMBERSHIP].withheld_count == 2
    harness.report_lost("s-5")
    assert harness.states()["s-5"] is DRAINING  # A single loss is accepted again.


def test_a_long_withheld_loss_is_accepted_after_the_others_are_listed_again() -> None:
    names = [f"s-{n}" for n in range(9)]
    harness = MergerWithConsumer(*names, both=False)
    harness.merger.replace_all(MEMBERSHIP, [], harness.now, ReportedStatus.LOST)
    harness.update(MEMBERSHIP, *(entry(name) for name in names[2:]))
    harness.collect_changes(MIN_WITHHOLD_S - 1)
    assert harness.serving() == set(names)
    harness.collect_changes(2)
    assert harness.serving() == set(names[2:])


def test_while_the_source_is_not_fresh_no_withheld_loss_is_accepted() -> None:
    names = [f"s-{n}" for n in range(9)]
    harness = MergerWithConsumer(*names, both=False)
    harness.merger.replace_all(MEMBERSHIP, [], harness.now, ReportedStatus.LOST)
    harness.update(MEMBERSHIP, *(entry(name) for name in names[2:]))
    harness.merger.set_health(MEMBERSHIP, SourceHealth.UNREACHABLE)
    harness.collect_changes(MIN_WITHHOLD_S * 10)
    assert harness.serving() == set(names)


def test_an_empty_discovery_list_is_withheld_only_if_sessions_are_live() -> None:
    names = [f"s-{n}" for n in range(9)]
    harness = MergerWithConsumer(*names)
    harness.merger.replace_all(DISCOVERY, [], harness.now)
    harness.collect_changes()
    assert harness.serving() == set(names)
    harness = MergerWithConsumer()
    harness.update(DISCOVERY, *(entry(name) for name in names))
    harness.merger.replace_all(DISCOVERY, [], harness.now)
    harness.collect_changes()
    assert not harness.serving()  # No other source contradicts the platform's list.


def test_an_announced_end_is_not_a_mass_loss() -> None:
    names = [f"s-{n}" for n in range(9)]
    harness = MergerWithConsumer(*names, both=False)
    harness.update(MEMBERSHIP, *(entry(name, DRAINING) for name in names[:8]))
    harness.report_lost(*names[:8])
    harness.collect_changes(LOSS_WINDOW_S)
    assert set(harness.states()) == {"s-8"}


def test_names_that_differ_in_case_only_at_one_address_end_together() -> None:
    harness = MergerWithConsumer()
    harness.update(MEMBERSHIP, entry("S-1"), entry("s-2"), entry("s-3"))
    harness.update(DISCOVERY, entry("s-1"))
    assert harness.serving() == {"S-1", "s-2", "s-3"}  # One of the two names at this address is used.
    harness.report_lost("S-1")
    assert harness.serving() == {"s-2", "s-3"}


def test_two_names_at_one_address_are_one_endpoint() -> None:
    harness = MergerWithConsumer()
    harness.update(DISCOVERY, entry("s-1", port=7))
    harness.update(MEMBERSHIP, entry("s-2", port=7), entry("s-3"))
    assert harness.serving() == {"s-2", "s-3"}
    harness.report_lost("s-2")
    assert harness.serving() == {"s-1", "s-3"}


def test_an_endpoint_that_moves_frees_its_address() -> None:
    harness = MergerWithConsumer()
    harness.update(MEMBERSHIP, entry("s-1", port=7), entry("s-2", port=7))
    assert harness.serving() == {"s-1"}
    harness.update(MEMBERSHIP, entry("s-1", port=8))
    assert harness.serving() == {"s-1", "s-2"}


def test_only_changes_are_published() -> None:
    harness = MergerWithConsumer("s-1", "s-2")
    assert harness.merger.collect_changes(harness.now) is None
    harness.merger.update(MEMBERSHIP, [entry("s-1"), entry("s-2")], harness.now)
    harness.merger.update(DISCOVERY, [entry("s-1")], harness.now)
    assert harness.merger.collect_changes(harness.now) is None
    harness.merger.update(MEMBERSHIP, [entry("s-2", DRAINING)], harness.now)
    listing = harness.merger.collect_changes(harness.now)
    assert listing is not None and [listed.name for listed in listing.endpoints] == ["s-2"]
    assert [listed.name for listed in harness.merger.effective_endpoints()] == [
        "s-1",
        "s-2",
    ] and harness.merger.serving_count == 1


def test_the_deciding_source_is_logged_if_sources_disagree() -> None:
    harness = MergerWithConsumer("s-1", "s-2", "s-3")
    harness.merger.take_notes()
    harness.update(DISCOVERY, entry("s-1", DRAINING))
    harness.update(DISCOVERY, entry("s-2", zone="b"))
    harness.update(DISCOVERY, entry("s-3", port=9))
    assert harness.merger.take_notes() == [
        "endpoint_decided endpoint=s-1 state=draining source=discovery "
        "reason=draining, which overrides ready (rule 2)",
        "endpoint_decided endpoint=s-2 state=serving source=membership "
        "reason=the sources report different zones or groups (rule 6)",
        "endpoint_decided endpoint=s-3 state=serving source=membership "
        "reason=the sources report different addresses (rule 5)",
    ]


def test_the_number_of_stored_ends_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_STORED_ENDS", 5)
    harness = MergerWithConsumer("s-x", "s-y", both=False)
    for number in range(50):
        harness.update(MEMBERSHIP, entry(f"s-{number}", DRAINING))
        harness.report_lost(f"s-{number}")
        harness.collect_changes(LOSS_WINDOW_S)
    harness.collect_changes(LOSS_WINDOW_S)
    assert len(harness.merger.sources[MEMBERSHIP].reports) <= 2 + 6


NAMES = [f"s-{n}" for n in range(6)] + ["S-0"]
REPORT = st.tuples(
    st.just("tell"),
    st.sampled_from([MEMBERSHIP, DISCOVERY]),
    st.sampled_from(NAMES),
    st.sampled_from([READY, READY, DRAINING, GONE]),
    st.sampled_from([0.0, 100.0, 101.0, 200.0]),
    st.sampled_from([0, 7]),
)
SESSION_LOSS = st.tuples(st.just("lose"), st.sets(st.sampled_from(NAMES), min_size=1))
FULL_LIST = st.tuples(
    st.just("whole"), st.sampled_from([MEMBERSHIP, DISCOVERY]), st.sets(st.sampled_from(NAMES))
)
HEALTH = st.tuples(
    st.just("health"), st.sampled_from([MEMBERSHIP, DISCOVERY]), st.sampled_from(list(SourceHealth))
)
WAIT = st.tuples(st.just("wait"), st.sampled_from([0.0, 0.5, 2.5, 15.0, 700.0]))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(st.one_of(REPORT, SESSION_LOSS, FULL_LIST, HEALTH, WAIT), max_size=40))
def test_the_rules_hold_for_any_reports(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    """Compare the merger with each source's last reports of the newest incarnation.

    An endpoint is used only if no current report is an end. No two used endpoints share an address. Losses of
    membership alone never exceed the share. The changes published one by one add up to the full list.
    """
    harness = MergerWithConsumer()
    merger = harness.merger
    for step in steps:
        before = harness.serving()
        if step[0] == "tell":
            _, source, name, state, start, port = step
            merger.update(source, [entry(name, state, port=port, start=start)], harness.now)
        elif step[0] == "lose":
            merger.report_ended(MEMBERSHIP, sorted(step[1]), harness.now)
        elif step[0] == "whole":
            status = ReportedStatus.LOST if step[1] == MEMBERSHIP else ReportedStatus.GONE
            merger.replace_all(step[1], [entry(name) for name in sorted(step[2])], harness.now, status)
        elif step[0] == "health":
            merger.set_health(step[1], step[2])
        else:
            harness.now += step[1]
        harness.collect_changes()
        if step[0] == "lose":
            base = merger.sources[MEMBERSHIP].ready_count + len(merger.sources[MEMBERSHIP].loss_times)
            # The factor 2 allows for two names that differ only in case and end together.
            assert len(before - harness.serving()) <= 2 * max(1, int(0.34 * base))
        assert {listed.name: listed for listed in merger.effective_endpoints()} == harness.published
        assert merger.serving_count == len(harness.serving())
        addresses = [harness.published[name].address for name in harness.serving()]
        assert len(addresses) == len(set(addresses))
        for source in merger.sources.values():
            assert source.ready_count == sum(
                report.status is ReportedStatus.READY for report in source.reports.values()
            )
            assert source.withheld_count == sum(report.is_loss_withheld for report in source.reports.values())
            assert source.withheld_count <= source.ready_count
        for name in harness.serving():
            current_reports = [s.reports[name] for s in merger.sources.values() if name in s.reports]
            newest = max(source_report.endpoint.entry.started_at for source_report in current_reports)
            for source_report in current_reports:
                start = source_report.endpoint.entry.started_at
                if start == 0.0 or start >= newest - START_TOLERANCE_S:
                    assert source_report.status is ReportedStatus.READY
