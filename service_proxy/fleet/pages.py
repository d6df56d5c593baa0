"""A member's view as staff see it: the question for a page of it, its answer, and what odd things mean. Pure.

A question has 256 bytes, and its answer no more: a view comes in pages of up to four rows.
"""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.fleet import wire
from service_proxy.fleet.base import ANY_FLEET, FILL, WAYS
from service_proxy.fleet.entries import Incarnation, Phase, key_of, shown
from service_proxy.fleet.guard import Seals
from service_proxy.fleet.states import State
from service_proxy.fleet.wire import Figures, Kind, Malformed, Section, Writer


@dataclass(frozen=True, slots=True)
class Row:
    name: str
    state: State
    incarnation: Incarnation
    address: str
    tier: str
    zone: str
    phase: Phase
    word: bytes
    way: str  # how it is reached, where not as usual
    tenths: int | None  # of what it may hold that is in flight; None: not told
    list_version: int
    heard: float | None  # s ago; None: not by itself


@dataclass(frozen=True, slots=True)
class Page:
    number: int  # of the question, modulo 65,536
    fleet: str
    rows: int  # of the whole view
    living: int
    dead: int
    left: int
    changes: int
    settled: bool
    minority: bool
    conflict: bool
    alone: bool
    instances: int
    digest: int
    members: list[Row]


def question(first: int, number: int, run: int, life: int, seals: Seals, fleet: bytes = ANY_FLEET) -> bytes:
    """For the rows from `first` on."""
    writer = Writer()
    writer.add(Section.PAGE, first.to_bytes(2, "big") + (number & 0xFFFF).to_bytes(2, "big"))
    fill = writer.room - 2
    writer.parts += [bytes((FILL, fill)), bytes(fill)]
    return seals.seal(
        wire.write(
            Kind.VIEW,
            fleet,
            key_of(f"staff {life}"),
            Incarnation(run, life, 0),
            number,
            0,
            Phase.SERVING,
            0,
            Figures(),
            writer.parts,
        )
    )


def read_page(data: bytes, seals: Seals) -> Page:
    """Raises Malformed."""
    wire.peek(data)
    if not seals.holds(data):
        raise Malformed("spoilt, or sealed with another key")
    message = wire.read(data)
    page = message.one(Section.PAGE)
    total = message.one(Section.TOTAL)
    if message.kind != Kind.PAGE or page is None or total is None or len(total) < wire.PART.size:
        raise Malformed("no page of a view")
    rows, living, dead, left, changes, bits, instances = wire.PART.unpack_from(total)
    return Page(
        int.from_bytes(page[2:4], "big"),
        total[wire.PART.size :].decode(errors="replace"),
        rows,
        living,
        dead,
        left,
        changes,
        bool(bits & 1),
        bool(bits & 2),
        bool(bits & 4),
        bool(bits & 8),
        instances,
        message.digest,
        [_row(value) for value in message.all(Section.ROW)],
    )


def _row(value: bytes) -> Row:
    if not value or len(value) < 1 + value[0] + wire.SEEN.size:
        raise Malformed("a row that is cut short")
    said = wire.unpack_record(value[1 : 1 + value[0]])
    assert said.record is not None
    state, way, tenths, listed, ago = wire.SEEN.unpack_from(value, 1 + value[0])
    states = list(State)
    if state >= len(states) or way >= len(WAYS):
        raise Malformed("a state or way that is none")
    return Row(
        said.record.name,
        states[state],
        said.incarnation,
        shown(said.record.address),
        said.record.tier,
        said.record.zone,
        said.phase,
        said.word,
        WAYS[way],
        None if tenths == wire.UNTOLD else tenths,
        int.from_bytes(listed, "big"),
        None if ago == 0xFFFFFFFF else ago / 1000,
    )


def remarks(page: Page, rows: list[Row]) -> list[str]:
    """What is odd about a view, a sentence each."""
    found = []
    if page.conflict:
        found.append("the name of the member that was asked is held by another living process")
    if page.alone:
        found.append("the member that was asked sees nobody but itself")
    if page.minority:
        found.append(f"a minority's view: {page.living} live of {page.living + page.dead} that it knew")
    found += [f"{row.name}: {row.way}" for row in rows if row.way]
    suspects = [row.name for row in rows if row.state is State.SUSPECT]
    if suspects:
        found.append(f"suspected, and not yet decided on: {', '.join(sorted(suspects))}")
    far = sum(bool(row.way) for row in rows)
    living = sum(row.state in (State.ALIVE, State.SUSPECT) for row in rows)
    if living > 2 and far * 3 >= living:
        found.append(f"the member that was asked reaches {living - 1 - far} of {living - 1} directly")
    if not page.settled and not suspects:
        found.append("changed a moment ago, or others see something else still")
    return found
