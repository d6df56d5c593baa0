"""An exhaustive check of the table of states: one member, and two others that hold a view of it.

Entries of different members never meet in the table, so three processes and one subject are all there is to
a view. The subject is suspected, denies, changes what it says, leaves, crashes, and comes back once, with a
clock that went back; what the three tell one another is lost, doubled and passed in any order. Every state
that can be reached within the bounds is visited; in each, all that hold must hold, and an exchange without
further faults must bring both views together. `MUTATIONS` break the rules one at a time, and are to be found.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from service_proxy.fleet.entries import Claim, Incarnation
from service_proxy.fleet.states import LIVING, TABLE, Happening, State, Step, happening

MOST_MESSAGES = 2  # under way at a time, of which each may come again and again
MOST_BEAT = 1
MOST_RUN = 3
A = 0
B = 1
SUBJECT = 2
FIRST = Incarnation(2, 1, 0)
SECOND = Incarnation(1, 2, 0)  # after a restart: its clock went back
TableOf = Mapping[tuple[State, Happening], tuple[State, Step]]


class Message(NamedTuple):
    to: int
    incarnation: Incarnation
    claim: Claim


class Held(NamedTuple):
    state: State
    incarnation: Incarnation | None


class World(NamedTuple):
    up: bool
    left: bool
    mine: Incarnation  # the subject's own
    most: Incarnation  # that it ever claimed
    joined: bool  # a second process claims nothing before it has asked
    restarts: int
    views: tuple[Held, Held]
    messages: tuple[Message, ...]  # sorted


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules as they are, or with one of them broken."""

    table: TableOf
    denies: bool = True  # a suspicion that it hears
    outranks: bool = True  # what is left of its predecessor
    newest: bool = True  # older claims are told from newer ones


RIGHT = Rules(TABLE)


def _with(key: tuple[State, Happening], value: tuple[State, Step]) -> TableOf:
    return {**TABLE, key: value}


MUTATIONS: dict[str, Rules] = {
    "a suspicion is heard and not denied": Rules(TABLE, denies=False),
    "the dead come back with the incarnation they died in": Rules(
        _with((State.DEAD, Happening.ALIVE_SAME), (State.ALIVE, Step.TAKE))
    ),
    "a restart keeps its own run although an earlier one is known": Rules(TABLE, outranks=False),
    "the last claim heard holds, whatever it is about": Rules(TABLE, newest=False),
    "who left is suspected like anybody": Rules(
        _with((State.LEFT, Happening.SUSPECT_SAME), (State.SUSPECT, Step.SUSPICION))
    ),
    "a suspicion is taken back by what it doubts": Rules(
        _with((State.SUSPECT, Happening.ALIVE_SAME), (State.ALIVE, Step.TAKE))
    ),
}


class Broken(Exception):
    """The message says what does not hold."""


def hear(rules: Rules, held: Held, incarnation: Incarnation, claim: Claim) -> Held:
    what = happening(held.incarnation, (incarnation, claim))
    if not rules.newest and what is Happening.OLDER:
        what = {
            Claim.ALIVE: Happening.ALIVE_NEWER,
            Claim.SUSPECT: Happening.SUSPECT_NEWER,
            Claim.LEFT: Happening.LEFT_NEWER,
        }[claim]
    after, step = rules.table[held.state, what]
    if step in (Step.NOTHING, Step.CORRECT, Step.CONFIRM):
        return Held(after, held.incarnation)
    return Held(after, incarnation)


def told(held: Held) -> Claim | None:
    """As what it travels: the dead as a suspicion."""
    if held.state is State.UNKNOWN:
        return None
    if held.state is State.ALIVE:
        return Claim.ALIVE
    return Claim.LEFT if held.state is State.LEFT else Claim.SUSPECT


def hears_of_itself(
    rules: Rules, world: World, incarnation: Incarnation, claim: Claim, bounded: bool = True
) -> World:
    mine = world.mine
    if incarnation.process == mine.process:
        if claim is Claim.ALIVE or incarnation < mine or not rules.denies:
            return world
        if bounded and mine.beat >= MOST_BEAT:
            return world  # beyond the bound of this check
        mine = max(mine, incarnation).next()
        return world._replace(mine=mine, most=max(world.most, mine))
    if incarnation > mine and rules.outranks and not (bounded and incarnation.run >= MOST_RUN):
        mine = Incarnation(incarnation.run + 1, mine.life, 0)
        return world._replace(mine=mine, most=max(world.most, mine))
    return world


def deliver(rules: Rules, world: World, message: Message, bounded: bool = True) -> World:
    if message.to == SUBJECT:
        if not world.up or world.left:
            return world
        return hears_of_itself(rules, world, message.incarnation, message.claim, bounded)
    views = list(world.views)
    views[message.to] = hear(rules, views[message.to], message.incarnation, message.claim)
    return world._replace(views=(views[0], views[1]))


def sent(world: World, message: Message) -> World:
    return world._replace(messages=tuple(sorted((*world.messages, message))))


def steps(rules: Rules, world: World) -> Iterator[tuple[str, World]]:
    """All that may happen next."""
    room = len(world.messages) < MOST_MESSAGES
    if world.up and world.joined and room:
        claim = Claim.LEFT if world.left else Claim.ALIVE
        for to in (A, B):
            yield "the subject tells", sent(world, Message(to, world.mine, claim))
    if world.up and not world.left:
        if not world.joined:
            # It asks both, and goes on with what they say; or nobody answers, and it goes on alone.
            asked = world
            for held in world.views:
                claim_of = told(held)
                if claim_of is not None and held.incarnation is not None:
                    asked = hears_of_itself(rules, asked, held.incarnation, claim_of)
            most = max(asked.most, asked.mine)
            yield "it joins", asked._replace(joined=True, most=most)
            yield "it joins alone", world._replace(joined=True, most=max(world.most, world.mine))
        elif world.mine.beat < MOST_BEAT:
            renewed = world.mine.next()
            yield "it says something new", world._replace(mine=renewed, most=max(world.most, renewed))
        if world.joined:
            yield "it leaves", world._replace(left=True)
    if world.up:
        yield "it crashes", world._replace(up=False)
    elif not world.restarts:
        yield "it starts again", world._replace(up=True, left=False, joined=False, mine=SECOND, restarts=1)
    for who in (A, B):
        held = world.views[who]
        views = list(world.views)
        if held.state is State.ALIVE and held.incarnation is not None:
            views[who] = hear(rules, held, held.incarnation, Claim.SUSPECT)
            yield "it is suspected", world._replace(views=(views[0], views[1]))
        if held.state is State.SUSPECT:
            views[who] = Held(rules.table[held.state, Happening.SUSPICION_OVER][0], held.incarnation)
            yield "a suspicion runs out", world._replace(views=(views[0], views[1]))
        claim_of = told(held)
        if claim_of is not None and held.incarnation is not None and room:
            for to in (B if who == A else A, SUBJECT):
                yield "one tells another", sent(world, Message(to, held.incarnation, claim_of))
    for place, message in enumerate(world.messages):
        rest = world.messages[:place] + world.messages[place + 1 :]
        yield "lost", world._replace(messages=rest)
        yield "delivered", deliver(rules, world._replace(messages=rest), message)
        yield "delivered, and comes again", deliver(rules, world, message)


def check_step(before: World, what: str, after: World) -> None:
    for old, new in zip(before.views, after.views, strict=True):
        if old.incarnation is None or new.incarnation is None:
            continue
        if new.incarnation < old.incarnation:
            raise Broken(f"{what}: a view goes back from {old.incarnation} to {new.incarnation}")
        if old.state is State.DEAD and new.state in LIVING and new.incarnation <= old.incarnation:
            raise Broken(f"{what}: {old.incarnation} was dead in a view, and lives in it again")
        if old.state is State.LEFT and new.state is not State.LEFT and new.incarnation <= old.incarnation:
            raise Broken(f"{what}: {old.incarnation} had left, and is {new.state.value}")
        doubt = old.state is State.SUSPECT and new.state is State.ALIVE
        if doubt and new.incarnation <= old.incarnation:
            raise Broken(f"{what}: a suspicion of {old.incarnation} ended without a denial")


def check_state(world: World) -> None:
    for held in world.views:
        if held.incarnation is not None and held.incarnation > world.most:
            raise Broken(f"a view holds {held.incarnation}, which nobody has claimed")


def settled(rules: Rules, world: World) -> World:
    """What comes of it when nothing goes wrong any more and all talk to all, the subject while it is up.
    Suspicions run out where it is down."""
    world = world._replace(messages=())
    if world.up and not world.joined:
        world = next(after for what, after in steps(rules, world) if what == "it joins")
    for _ in range(8):
        before = world
        if world.up:
            claim = Claim.LEFT if world.left else Claim.ALIVE
            for to in (A, B):
                world = deliver(rules, world, Message(to, world.mine, claim), False)
        for who in (A, B):
            held = world.views[who]
            claim_of = told(held)
            if claim_of is None or held.incarnation is None:
                continue
            for to in (B if who == A else A, SUBJECT):
                world = deliver(rules, world, Message(to, held.incarnation, claim_of), False)
        if not world.up or world.left:  # it answers no probe
            views = tuple(
                Held(rules.table[held.state, Happening.SUSPICION_OVER][0], held.incarnation)
                if held.state is State.SUSPECT
                else Held(State.SUSPECT, held.incarnation)
                if held.state is State.ALIVE
                else held
                for held in world.views
            )
            world = world._replace(views=(views[0], views[1]))
        if world == before:
            break
    return world


def check_end(world: World, end: World) -> None:
    one, other = end.views
    if (one.state in LIVING) != (other.state in LIVING):
        raise Broken(f"it lives in one view and not in the other, for good: {one}, {other}")
    if end.up and not end.left:
        for held in end.views:
            if held.state is not State.ALIVE or held.incarnation != end.mine:
                raise Broken(f"it lives as {end.mine}, and a view has {held} for good")
    if not end.up or end.left:
        for held in end.views:
            if held.state in LIVING:
                raise Broken(f"it is gone, and lives in a view for good: {held}")


def explore(rules: Rules = RIGHT, most: int = 5_000_000, tell: Callable[[int], None] | None = None) -> int:
    """The number of states. Raises Broken with what does not hold and the events that led there."""
    known = Held(State.ALIVE, FIRST)
    start = World(True, False, FIRST, FIRST, True, 0, (known, known), ())
    unknown = start._replace(views=(Held(State.UNKNOWN, None), Held(State.UNKNOWN, None)))
    came: dict[World, tuple[World, str] | None] = {start: None, unknown: None}
    queue = deque((start, unknown))
    while queue:
        world = queue.popleft()
        try:
            check_state(world)
            check_end(world, settled(rules, world))
            for what, after in steps(rules, world):
                check_step(world, what, after)
                if after not in came:
                    came[after] = world, what
                    if len(came) > most:
                        raise RuntimeError(f"over {most} states")
                    queue.append(after)
        except Broken as fault:
            raise Broken(f"{fault}; after: {'; '.join(_way(came, world))}") from None
        if tell is not None and len(came) % 100_000 < 8:
            tell(len(came))
    return len(came)


def _way(came: Mapping[World, tuple[World, str] | None], world: World) -> list[str]:
    found: list[str] = []
    step = came[world]
    while step is not None:
        world, what = step
        found.append(what)
        step = came[world]
    return found[::-1] or ["the beginning"]
