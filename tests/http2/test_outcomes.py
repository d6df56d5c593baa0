"""The table of outcomes, checked against a tiny server that says what it did and what it will never do."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import product

import pytest

from granitepoint.http2.outcomes import TABLE, Event, GoingAway, Phase, Ran

DEPTH = 14  # steps of a history
STREAM = 3


def test_the_table_has_every_phase_and_event_and_one_outcome() -> None:
    assert set(TABLE) == set(product(Phase, Event))
    for (phase, event), (after, ran) in TABLE.items():
        assert (after is Phase.ENDED and phase is not Phase.ENDED) == (ran is not None), (phase, event)
        order = list(Phase)
        assert order.index(after) >= order.index(phase)


@dataclass(frozen=True, slots=True)
class World:
    """One stream, seen from both ends. The server runs a call once it is whole, unless it has said that it
    does not; what it says arrives in order, if the connection lasts."""

    sent: int = 0  # 0 nothing, 1 some, 2 all of the request was handed to the socket
    arrived: int = 0  # of that
    ran: bool = False
    said_no: bool = False  # REFUSED_STREAM, or a GOAWAY below the stream: it will never run it
    ended: bool = False  # the server will say no more of this stream
    said: tuple[Event, ...] = ()  # on its way back
    up: bool = True
    phase: Phase = Phase.UNSENT
    outcome: Ran | None = None


def heard(world: World, event: Event) -> World:
    phase, ran = TABLE[world.phase, event]
    return replace(world, phase=phase, outcome=world.outcome or ran)


def steps(world: World) -> Iterator[World]:
    """All that can happen next."""
    if world.up and world.phase is not Phase.ENDED:
        if world.sent == 0:
            yield heard(replace(world, sent=1), Event.BEGUN)
            yield heard(replace(world, sent=2), Event.SENT)
        if world.sent == 1:
            yield heard(replace(world, sent=2), Event.SENT)
        yield heard(world, Event.GIVEN_UP)
        yield heard(replace(world, up=False), Event.BROKEN)
        if world.phase is Phase.UNSENT:
            yield heard(world, Event.EXHAUSTED)
    if world.arrived < world.sent:  # also after the connection has ended: it may lie in a buffer
        yield replace(world, arrived=world.arrived + 1)
    if world.arrived == 2 and not world.ran and not world.said_no and not world.ended:
        yield replace(world, ran=True)
    if not world.ended and world.up:
        yield replace(world, said=(*world.said, Event.GOAWAY_COVERS))
        if world.arrived:
            yield replace(world, ended=True, said=(*world.said, Event.RESET))
            if world.ran:
                yield replace(world, ended=True, said=(*world.said, Event.ANSWERED))
            else:
                yield replace(world, ended=True, said_no=True, said=(*world.said, Event.REFUSED))
        if not world.ran:
            yield replace(world, ended=True, said_no=True, said=(*world.said, Event.GOAWAY_BELOW))
    if world.up and world.said:
        event, *rest = world.said
        yield heard(replace(world, said=tuple(rest)), event)
    if world.up:
        yield heard(replace(world, up=False, said=()), Event.CUT)


def explore(depth: int) -> tuple[int, list[tuple[Ran, World]]]:
    """All that can be reached, each once: how many, and where the table and the server disagree."""
    seen: set[World] = set()
    edge = {World()}
    wrong = []
    for _ in range(depth):
        edge = {after for world in edge for after in steps(world)} - seen
        seen |= edge
        for world in edge:
            if world.outcome is Ran.NEVER and world.ran:
                wrong.append((Ran.NEVER, world))
            if world.outcome is Ran.ANSWERED and not world.ran:
                wrong.append((Ran.ANSWERED, world))
    return len(seen), wrong


def test_never_ran_is_said_only_of_what_the_server_has_not_run_and_will_not() -> None:
    """Each state that can be reached is looked at, also those after the outcome: what runs later counts."""
    count, wrong = explore(DEPTH)
    assert count > 700 and not wrong, wrong[:3]


@pytest.mark.parametrize(
    ("phase", "event"),
    [
        (Phase.WHOLE, Event.CUT),
        (Phase.WHOLE, Event.RESET),
        (Phase.WHOLE, Event.BROKEN),
        (Phase.WHOLE, Event.GIVEN_UP),
    ],
)
def test_the_model_finds_each_line_that_would_be_too_bold(
    phase: Phase, event: Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(TABLE, (phase, event), (Phase.ENDED, Ran.NEVER))
    assert explore(DEPTH)[1]


def test_what_the_server_stated_as_never_run_is_not_called_maybe() -> None:
    for phase in (Phase.PARTIAL, Phase.WHOLE):
        assert TABLE[phase, Event.REFUSED][1] is TABLE[phase, Event.GOAWAY_BELOW][1] is Ran.NEVER


@pytest.mark.parametrize("last", [0, 1, 3, (1 << 31) - 1])
def test_a_goaway_refuses_what_lies_above_its_id(last: int) -> None:
    going = GoingAway()
    assert going.came(last)
    for stream in (1, 3, 5):
        assert going.event(stream) is (Event.GOAWAY_BELOW if stream > last else Event.GOAWAY_COVERS)


def test_a_second_goaway_may_lower_the_id_and_not_raise_it() -> None:
    going = GoingAway()
    assert going.came((1 << 31) - 1) and going.event(STREAM) is Event.GOAWAY_COVERS
    assert going.came(1) and going.event(STREAM) is Event.GOAWAY_BELOW
    assert not going.came(5) and going.event(STREAM) is Event.GOAWAY_BELOW
