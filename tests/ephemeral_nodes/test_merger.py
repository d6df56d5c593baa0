"""The merger's rules, one by one, each pair of reports, and what holds for any reports in any order."""

from __future__ import annotations

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
    """A merger with both sources fresh, and what it has given out."""

    def __init__(self, *names: str, share: float = 0.34, both: bool = True) -> None:
        self.merger = EndpointListMerger(share, 10.0)
        self.now = 0.0
        self.in_force: dict[str, Endpoint] = {}
        for source in (MEMBERSHIP, DISCOVERY):
            self.merger.set_health(source, SourceHealth.UP_TO_DATE)
        self.merger.update(MEMBERSHIP, [entry(name) for name in names], self.now)
        if both:
            self.merger.update(DISCOVERY, [entry(name) for name in names], self.now)
        self.take_changes()

    def take_changes(self, after: float = 0.0) -> None:
        self.now += after
        listing = self.merger.take_changes(self.now)
        for listed in listing.endpoints if listing else ():
            if listed.entry.state is GONE:
                del self.in_force[listed.name]
            else:
                self.in_force[listed.name] = listed

    def update(self, source: str, *entries: Endpoint) -> None:
        self.merger.update(source, entries, self.now)
        self.take_changes()

    def report_lost(
        self, *names: str, source: str = MEMBERSHIP, status: ReportedStatus = ReportedStatus.LOST
    ) -> None:
        self.merger.report_ended(source, names, self.now, status)
        self.take_changes()

    def states(self) -> dict[str, EndpointState]:
        return {name: listed.entry.state for name, listed in self.in_force.items()}

    def serving(self) -> set[str]:
        return {name for name, state in self.states().items() if state is READY}


def test_an_endpoint_of_one_source_alone_is_used() -> None:
    pair = MergerWithConsumer()
    pair.update(MEMBERSHIP, entry("s-1"))
    pair.update(DISCOVERY, entry("s-2"))
    assert pair.serving() == {"s-1", "s-2"}


def test_a_lost_session_drains_at_once_though_discovery_says_ready_for_ever() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3")
    pair.report_lost("s-1")
    assert pair.states()["s-1"] is DRAINING
    for _ in range(100):
        pair.merger.update(DISCOVERY, [entry("s-1"), entry("s-2"), entry("s-3")], pair.now)
        pair.take_changes(10.0)
        assert pair.states()["s-1"] is DRAINING
    notes = [note for note in pair.merger.take_notes() if "s-1" in note]
    assert len(notes) == 1 and "source=membership reason=lost, which overrides ready" in notes[0]


def test_a_lost_session_that_nobody_contradicts_is_gone_after_the_window() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3", both=False)
    pair.report_lost("s-1")
    assert pair.states()["s-1"] is DRAINING
    pair.take_changes(LOSS_WINDOW_S - 0.1)
    assert pair.states()["s-1"] is DRAINING
    pair.take_changes(0.2)
    assert "s-1" not in pair.states()


def test_a_late_discovery_does_not_bring_back_what_was_lost() -> None:
    """It lists a server that it never listed before, seconds after its session's end was told."""
    pair = MergerWithConsumer("s-1", "s-2", "s-3", both=False)
    pair.report_lost("s-1")
    pair.take_changes(LOSS_WINDOW_S + 1)
    pair.update(DISCOVERY, entry("s-1"))
    assert pair.states()["s-1"] is DRAINING
    pair.take_changes(END_RETENTION_S * 2)
    assert pair.states()["s-1"] is DRAINING


def test_ends_are_forgotten_once_nobody_could_contradict_them() -> None:
    pair = MergerWithConsumer(*(f"s-{n}" for n in range(9)), both=False)
    pair.report_lost("s-1")
    pair.take_changes(LOSS_WINDOW_S)
    pair.take_changes(END_RETENTION_S)
    pair.take_changes(0.1)
    assert "s-1" not in pair.merger.sources[MEMBERSHIP].reports and not pair.merger.tombstones
    assert not any("s-1" in names for names in pair.merger.index.names_by_address.values())


def test_back_within_the_window_under_the_same_name() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3")
    start = pair.in_force["s-1"].entry.started_at
    pair.report_lost("s-1")
    pair.take_changes(1.0)
    pair.update(MEMBERSHIP, entry("s-1"))
    assert pair.states()["s-1"] is READY and pair.in_force["s-1"].entry.started_at == start
    pair.take_changes(LOSS_WINDOW_S)
    assert pair.states()["s-1"] is READY  # the window of the old session ends nothing


def test_back_within_the_window_under_a_new_name() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3", both=False)
    pair.report_lost("s-1")
    pair.update(MEMBERSHIP, entry("s-9", port=pair.in_force["s-1"].address[1]))
    assert pair.states()["s-1"] is DRAINING and pair.states()["s-9"] is READY


def test_a_restart_is_a_newer_incarnation_and_outdates_both_reports() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3")
    pair.report_lost("s-1")
    pair.update(DISCOVERY, entry("s-1", start=200.0))
    assert pair.states()["s-1"] is READY and pair.in_force["s-1"].entry.started_at == 200.0
    pair.update(DISCOVERY, entry("s-2", DRAINING))
    pair.update(MEMBERSHIP, entry("s-2", start=300.0))
    assert pair.states()["s-2"] is READY  # discovery speaks of the process before


def test_an_older_start_counts_for_nothing_not_even_its_end() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3")
    pair.update(MEMBERSHIP, entry("s-1", start=200.0))
    pair.update(DISCOVERY, entry("s-1", DRAINING, start=100.0))
    assert pair.states()["s-1"] is READY


def test_starts_that_differ_a_little_are_one_incarnation_and_give_one_start() -> None:
    pair = MergerWithConsumer("s-1")
    pair.update(DISCOVERY, entry("s-1", start=101.5))
    assert pair.in_force["s-1"].entry.started_at == 100.0
    pair.update(MEMBERSHIP, entry("s-1", start=0.0))
    assert pair.in_force["s-1"].entry.started_at == 100.0
    pair.update(DISCOVERY, entry("s-1", DRAINING, start=0.0))
    assert pair.states()["s-1"] is DRAINING  # an unknown start is as good as any


@pytest.mark.parametrize("source", [MEMBERSHIP, DISCOVERY])
def test_draining_beats_ready_whichever_source_reports_it(source: str) -> None:
    pair = MergerWithConsumer("s-1")
    pair.update(source, entry("s-1", DRAINING))
    assert pair.states()["s-1"] is DRAINING
    pair.update(MEMBERSHIP if source == DISCOVERY else DISCOVERY, entry("s-1"))
    assert pair.states()["s-1"] is DRAINING
    pair.update(source, entry("s-1"))
    assert pair.states()["s-1"] is READY


def test_gone_by_discovery_beats_a_session_that_lives() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3")
    pair.update(DISCOVERY, entry("s-1", GONE))
    assert pair.states()["s-1"] is DRAINING
    pair.report_lost("s-1")
    pair.take_changes(LOSS_WINDOW_S)
    assert "s-1" not in pair.states()


def test_the_addresses_differ_and_the_freshest_of_the_first_counts() -> None:
    pair = MergerWithConsumer("s-1")
    pair.update(DISCOVERY, entry("s-1", port=7))
    assert pair.in_force["s-1"].address != ("127.0.0.1", 7)
    pair.merger.set_health(MEMBERSHIP, SourceHealth.STALE)
    pair.take_changes()
    assert pair.in_force["s-1"].address == ("127.0.0.1", 7)
    pair.merger.set_health(DISCOVERY, SourceHealth.UNREACHABLE)
    pair.take_changes()
    assert pair.in_force["s-1"].address != ("127.0.0.1", 7)


def test_another_zone_puts_the_endpoint_in_a_group_of_its_own() -> None:
    """Which group drops its repeats is not known, so no keyed call may be resent from or to it."""
    pair = MergerWithConsumer("s-1", "s-2", "s-3")
    pair.update(DISCOVERY, entry("s-1", zone="b"), entry("s-2", zone="b"), entry("s-3", cell=7))
    places = {(listed.entry.zone, listed.entry.cell) for listed in pair.in_force.values()}
    assert len(places) == 3 and not places & {("a", 1), ("b", 1)}
    assert pair.serving() == {"s-1", "s-2", "s-3"}
    pair.update(DISCOVERY, entry("s-1"))
    assert pair.in_force["s-1"].entry.zone == "a"


def test_a_source_without_zones_disputes_none() -> None:
    pair = MergerWithConsumer("s-1")
    pair.update(DISCOVERY, entry("s-1", zone=""))
    assert pair.in_force["s-1"].entry.zone == "a"


@pytest.mark.parametrize("health", list(SourceHealth))
def test_a_sources_health_removes_nobody(health: SourceHealth) -> None:
    pair = MergerWithConsumer("s-1", "s-2")
    for source in (MEMBERSHIP, DISCOVERY):
        pair.merger.set_health(source, health)
        pair.take_changes(1000.0)
    assert pair.serving() == {"s-1", "s-2"}


def test_all_gone_at_once_removes_nobody() -> None:
    names = [f"s-{n}" for n in range(87)]
    pair = MergerWithConsumer(*names, both=False)
    pair.merger.replace_all(MEMBERSHIP, [], pair.now, ReportedStatus.LOST)
    pair.take_changes()
    pair.take_changes(MIN_WITHHOLD_S * 3)
    assert pair.serving() == set(names)
    assert sum("mass_loss_withheld" in note for note in pair.merger.take_notes()) == 1


def test_a_trickle_takes_no_more_than_the_share_within_the_time() -> None:
    names = [f"s-{n}" for n in range(87)]
    pair = MergerWithConsumer(*names, both=False)
    for name in names:
        pair.report_lost(name)
        pair.take_changes(0.05)
    assert len(pair.serving()) == 87 - int(0.34 * 87)


def test_losses_spread_over_time_are_all_believed_but_the_last_one() -> None:
    names = [f"s-{n}" for n in range(12)]
    pair = MergerWithConsumer(*names, both=False)
    for name in names:
        pair.report_lost(name)
        pair.take_changes(11.0)
    assert pair.serving() == {"s-11"}


def test_a_third_of_the_endpoints_can_be_lost_at_once() -> None:
    names = [f"s-{n}" for n in range(87)]
    pair = MergerWithConsumer(*names)
    pair.report_lost(*names[:29])  # one sala of three
    assert len(pair.serving()) == 58


def test_a_withheld_loss_ends_when_its_source_lists_it_again_or_another_reports_its_end() -> None:
    names = [f"s-{n}" for n in range(9)]
    pair = MergerWithConsumer(*names)
    pair.merger.replace_all(MEMBERSHIP, [], pair.now, ReportedStatus.LOST)
    pair.take_changes()
    assert pair.merger.sources[MEMBERSHIP].withheld_count == 9
    pair.update(DISCOVERY, entry("s-1", DRAINING))
    assert pair.serving() == set(names) - {"s-1"}
    pair.update(MEMBERSHIP, *(entry(name) for name in names[2:]))
    assert pair.merger.sources[MEMBERSHIP].withheld_count == 2
    pair.report_lost("s-5")
    assert pair.states()["s-5"] is DRAINING  # a single loss is believed again


def test_a_loss_withheld_for_long_is_accepted_once_the_others_are_back() -> None:
    names = [f"s-{n}" for n in range(9)]
    pair = MergerWithConsumer(*names, both=False)
    pair.merger.replace_all(MEMBERSHIP, [], pair.now, ReportedStatus.LOST)
    pair.update(MEMBERSHIP, *(entry(name) for name in names[2:]))
    pair.take_changes(MIN_WITHHOLD_S - 1)
    assert pair.serving() == set(names)
    pair.take_changes(2)
    assert pair.serving() == set(names[2:])


def test_while_the_source_is_not_fresh_no_withheld_loss_is_accepted() -> None:
    names = [f"s-{n}" for n in range(9)]
    pair = MergerWithConsumer(*names, both=False)
    pair.merger.replace_all(MEMBERSHIP, [], pair.now, ReportedStatus.LOST)
    pair.update(MEMBERSHIP, *(entry(name) for name in names[2:]))
    pair.merger.set_health(MEMBERSHIP, SourceHealth.UNREACHABLE)
    pair.take_changes(MIN_WITHHOLD_S * 10)
    assert pair.serving() == set(names)


def test_an_empty_discovery_list_is_doubted_only_against_living_sessions() -> None:
    names = [f"s-{n}" for n in range(9)]
    pair = MergerWithConsumer(*names)
    pair.merger.replace_all(DISCOVERY, [], pair.now)
    pair.take_changes()
    assert pair.serving() == set(names)
    pair = MergerWithConsumer()
    pair.update(DISCOVERY, *(entry(name) for name in names))
    pair.merger.replace_all(DISCOVERY, [], pair.now)
    pair.take_changes()
    assert not pair.serving()  # the platform's list, and no other source against it


def test_an_announced_end_is_no_mass_loss() -> None:
    names = [f"s-{n}" for n in range(9)]
    pair = MergerWithConsumer(*names, both=False)
    pair.update(MEMBERSHIP, *(entry(name, DRAINING) for name in names[:8]))
    pair.report_lost(*names[:8])
    pair.take_changes(LOSS_WINDOW_S)
    assert set(pair.states()) == {"s-8"}


def test_names_that_differ_in_case_only_at_one_address_end_together() -> None:
    pair = MergerWithConsumer()
    pair.update(MEMBERSHIP, entry("S-1"), entry("s-2"), entry("s-3"))
    pair.update(DISCOVERY, entry("s-1"))
    assert pair.serving() == {"S-1", "s-2", "s-3"}  # one address, one server
    pair.report_lost("S-1")
    assert pair.serving() == {"s-2", "s-3"}


def test_two_names_at_one_address_are_one_endpoint() -> None:
    pair = MergerWithConsumer()
    pair.update(DISCOVERY, entry("s-1", port=7))
    pair.update(MEMBERSHIP, entry("s-2", port=7), entry("s-3"))
    assert pair.serving() == {"s-2", "s-3"}
    pair.report_lost("s-2")
    assert pair.serving() == {"s-1", "s-3"}


def test_an_endpoint_that_moves_frees_its_address() -> None:
    pair = MergerWithConsumer()
    pair.update(MEMBERSHIP, entry("s-1", port=7), entry("s-2", port=7))
    assert pair.serving() == {"s-1"}
    pair.update(MEMBERSHIP, entry("s-1", port=8))
    assert pair.serving() == {"s-1", "s-2"}


def test_only_what_changed_is_given_out() -> None:
    pair = MergerWithConsumer("s-1", "s-2")
    assert pair.merger.take_changes(pair.now) is None
    pair.merger.update(MEMBERSHIP, [entry("s-1"), entry("s-2")], pair.now)
    pair.merger.update(DISCOVERY, [entry("s-1")], pair.now)
    assert pair.merger.take_changes(pair.now) is None
    pair.merger.update(MEMBERSHIP, [entry("s-2", DRAINING)], pair.now)
    listing = pair.merger.take_changes(pair.now)
    assert listing is not None and [listed.name for listed in listing.endpoints] == ["s-2"]
    assert [listed.name for listed in pair.merger.effective_endpoints()] == [
        "s-1",
        "s-2",
    ] and pair.merger.serving_count == 1


def test_which_source_decided_is_noted_where_they_disagree() -> None:
    pair = MergerWithConsumer("s-1", "s-2", "s-3")
    pair.merger.take_notes()
    pair.update(DISCOVERY, entry("s-1", DRAINING))
    pair.update(DISCOVERY, entry("s-2", zone="b"))
    pair.update(DISCOVERY, entry("s-3", port=9))
    assert pair.merger.take_notes() == [
        "endpoint_decided endpoint=s-1 state=draining source=discovery "
        "reason=draining, which overrides ready (rule 2)",
        "endpoint_decided endpoint=s-2 state=serving source=membership "
        "reason=the sources report different zones or groups (rule 6)",
        "endpoint_decided endpoint=s-3 state=serving source=membership "
        "reason=the sources report different addresses (rule 5)",
    ]


def test_what_is_remembered_of_ends_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_STORED_ENDS", 5)
    pair = MergerWithConsumer("s-x", "s-y", both=False)
    for number in range(50):
        pair.update(MEMBERSHIP, entry(f"s-{number}", DRAINING))
        pair.report_lost(f"s-{number}")
        pair.take_changes(LOSS_WINDOW_S)
    pair.take_changes(LOSS_WINDOW_S)
    assert len(pair.merger.sources[MEMBERSHIP].reports) <= 2 + 6


NAMES = [f"s-{n}" for n in range(6)] + ["S-0"]
TELL = st.tuples(
    st.just("tell"),
    st.sampled_from([MEMBERSHIP, DISCOVERY]),
    st.sampled_from(NAMES),
    st.sampled_from([READY, READY, DRAINING, GONE]),
    st.sampled_from([0.0, 100.0, 101.0, 200.0]),
    st.sampled_from([0, 7]),
)
LOSE = st.tuples(st.just("lose"), st.sets(st.sampled_from(NAMES), min_size=1))
WHOLE = st.tuples(st.just("whole"), st.sampled_from([MEMBERSHIP, DISCOVERY]), st.sets(st.sampled_from(NAMES)))
HEALTH = st.tuples(
    st.just("health"), st.sampled_from([MEMBERSHIP, DISCOVERY]), st.sampled_from(list(SourceHealth))
)
WAIT = st.tuples(st.just("wait"), st.sampled_from([0.0, 0.5, 2.5, 15.0, 700.0]))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(st.one_of(TELL, LOSE, WHOLE, HEALTH, WAIT), max_size=40))
def test_the_rules_hold_for_any_reports(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    """Beside the merger stands a plain record of each source's last report of each incarnation:
    - what both would serve, serves; what any says has ended, of the newest incarnation, does not;
    - no two servers in use share an address; a membership's losses alone never take more than the share;
    - what was given out piece by piece is what all of it is."""
    pair = MergerWithConsumer()
    merger = pair.merger
    for step in steps:
        before = pair.serving()
        if step[0] == "tell":
            _, source, name, state, start, port = step
            merger.update(source, [entry(name, state, port=port, start=start)], pair.now)
        elif step[0] == "lose":
            merger.report_ended(MEMBERSHIP, sorted(step[1]), pair.now)
        elif step[0] == "whole":
            status = ReportedStatus.LOST if step[1] == MEMBERSHIP else ReportedStatus.GONE
            merger.replace_all(step[1], [entry(name) for name in sorted(step[2])], pair.now, status)
        elif step[0] == "health":
            merger.set_health(step[1], step[2])
        else:
            pair.now += step[1]
        pair.take_changes()
        if step[0] == "lose":
            base = merger.sources[MEMBERSHIP].ready_count + len(merger.sources[MEMBERSHIP].loss_times)
            assert len(before - pair.serving()) <= 2 * max(1, int(0.34 * base))  # twins in case end together
        assert {listed.name: listed for listed in merger.effective_endpoints()} == pair.in_force
        assert merger.serving_count == len(pair.serving())
        addresses = [pair.in_force[name].address for name in pair.serving()]
        assert len(addresses) == len(set(addresses))
        for source in merger.sources.values():
            assert source.ready_count == sum(
                report.status is ReportedStatus.READY for report in source.reports.values()
            )
            assert source.withheld_count == sum(report.is_loss_withheld for report in source.reports.values())
            assert source.withheld_count <= source.ready_count
        for name in pair.serving():
            opinions = [s.reports[name] for s in merger.sources.values() if name in s.reports]
            newest = max(opinion.endpoint.entry.started_at for opinion in opinions)
            for opinion in opinions:
                start = opinion.endpoint.entry.started_at
                if start == 0.0 or start >= newest - START_TOLERANCE_S:
                    assert opinion.status is ReportedStatus.READY
