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

from service_proxy.fleet.member_states import (
    LIVE_STATES,
    TRANSITIONS,
    ClaimEvent,
    MemberState,
    MergeAction,
    classify_claim,
)
from service_proxy.fleet.members import Claim, Incarnation

MAX_MESSAGES = 2  # under way at a time, of which each may come again and again
MAX_MODEL_VERSION = 1
MAX_MODEL_GENERATION = 3
A = 0
B = 1
SUBJECT = 2
FIRST = Incarnation(2, 1, 0)
SECOND = Incarnation(1, 2, 0)  # after a restart: its clock went back
TableOf = Mapping[tuple[MemberState, ClaimEvent], tuple[MemberState, MergeAction]]


class Message(NamedTuple):
    to: int
    incarnation: Incarnation
    claim: Claim


class KnownState(NamedTuple):
    state: MemberState
    incarnation: Incarnation | None


class ModelState(NamedTuple):
    up: bool
    left: bool
    mine: Incarnation  # the subject's own
    most: Incarnation  # that it ever claimed
    joined: bool  # a second process claims nothing before it has asked
    restarts: int
    views: tuple[KnownState, KnownState]
    messages: tuple[Message, ...]  # sorted


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules as they are, or with one of them broken."""

    table: TableOf
    denies: bool = True  # a suspicion that it hears
    outranks: bool = True  # what is left of its predecessor
    newest: bool = True  # older claims are told from newer ones


CORRECT_RULES = Rules(TRANSITIONS)


def _with(key: tuple[MemberState, ClaimEvent], value: tuple[MemberState, MergeAction]) -> TableOf:
    return {**TRANSITIONS, key: value}


MUTATIONS: dict[str, Rules] = {
    "a suspicion is heard and not denied": Rules(TRANSITIONS, denies=False),
    "the dead come back with the incarnation they died in": Rules(
        _with((MemberState.DEAD, ClaimEvent.ALIVE_SAME), (MemberState.ALIVE, MergeAction.ACCEPT))
    ),
    "a restart keeps its own run although an earlier one is known": Rules(TRANSITIONS, outranks=False),
    "the last claim heard holds, whatever it is about": Rules(TRANSITIONS, newest=False),
    "who left is suspected like anybody": Rules(
        _with((MemberState.LEFT, ClaimEvent.SUSPECT_SAME), (MemberState.SUSPECT, MergeAction.START_SUSPICION))
    ),
    "a suspicion is taken back by what it doubts": Rules(
        _with((MemberState.SUSPECT, ClaimEvent.ALIVE_SAME), (MemberState.ALIVE, MergeAction.ACCEPT))
    ),
}


class InvariantViolationError(Exception):
    """The message says what does not hold."""


def merge_claim(rules: Rules, held: KnownState, incarnation: Incarnation, claim: Claim) -> KnownState:
    what = classify_claim(held.incarnation, (incarnation, claim))
    if not rules.newest and what is ClaimEvent.OLDER:
        what = {
            Claim.ALIVE: ClaimEvent.ALIVE_NEWER,
            Claim.SUSPECT: ClaimEvent.SUSPECT_NEWER,
            Claim.LEFT: ClaimEvent.LEFT_NEWER,
        }[claim]
    after, step = rules.table[held.state, what]
    if step in (MergeAction.NOTHING, MergeAction.SEND_CORRECTION, MergeAction.CONFIRM_SUSPICION):
        return KnownState(after, held.incarnation)
    return KnownState(after, incarnation)


def told(held: KnownState) -> Claim | None:
    """As what it travels: the dead as a suspicion."""
    if held.state is MemberState.UNKNOWN:
        return None
    if held.state is MemberState.ALIVE:
        return Claim.ALIVE
    return Claim.LEFT if held.state is MemberState.LEFT else Claim.SUSPECT


def hears_of_itself(
    rules: Rules, world: ModelState, incarnation: Incarnation, claim: Claim, bounded: bool = True
) -> ModelState:
    mine = world.mine
    if incarnation.process == mine.process:
        if claim is Claim.ALIVE or incarnation < mine or not rules.denies:
            return world
        if bounded and mine.version >= MAX_MODEL_VERSION:
            return world  # beyond the bound of this check
        mine = max(mine, incarnation).incremented()
        return world._replace(mine=mine, most=max(world.most, mine))
    if (
        incarnation > mine
        and rules.outranks
        and not (bounded and incarnation.generation >= MAX_MODEL_GENERATION)
    ):
        mine = Incarnation(incarnation.generation + 1, mine.nonce, 0)
        return world._replace(mine=mine, most=max(world.most, mine))
    return world


def deliver(rules: Rules, world: ModelState, message: Message, bounded: bool = True) -> ModelState:
    if message.to == SUBJECT:
        if not world.up or world.left:
            return world
        return hears_of_itself(rules, world, message.incarnation, message.claim, bounded)
    views = list(world.views)
    views[message.to] = merge_claim(rules, views[message.to], message.incarnation, message.claim)
    return world._replace(views=(views[0], views[1]))


def sent(world: ModelState, message: Message) -> ModelState:
    return world._replace(messages=tuple(sorted((*world.messages, message))))


def steps(rules: Rules, world: ModelState) -> Iterator[tuple[str, ModelState]]:
    """All that may happen next."""
    room = len(world.messages) < MAX_MESSAGES
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
        elif world.mine.version < MAX_MODEL_VERSION:
            renewed = world.mine.incremented()
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
        if held.state is MemberState.ALIVE and held.incarnation is not None:
            views[who] = merge_claim(rules, held, held.incarnation, Claim.SUSPECT)
            yield "it is suspected", world._replace(views=(views[0], views[1]))
        if held.state is MemberState.SUSPECT:
            views[who] = KnownState(
                rules.table[held.state, ClaimEvent.SUSPICION_EXPIRED][0], held.incarnation
            )
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


def check_step(before: ModelState, what: str, after: ModelState) -> None:
    for old, new in zip(before.views, after.views, strict=True):
        if old.incarnation is None or new.incarnation is None:
            continue
        if new.incarnation < old.incarnation:
            raise InvariantViolationError(
                f"{what}: a view goes back from {old.incarnation} to {new.incarnation}"
            )
        if old.state is MemberState.DEAD and new.state in LIVE_STATES and new.incarnation <= old.incarnation:
            raise InvariantViolationError(
                f"{what}: {old.incarnation} was dead in a view, and lives in it again"
            )
        if (
            old.state is MemberState.LEFT
            and new.state is not MemberState.LEFT
            and new.incarnation <= old.incarnation
        ):
            raise InvariantViolationError(f"{what}: {old.incarnation} had left, and is {new.state.value}")
        doubt = old.state is MemberState.SUSPECT and new.state is MemberState.ALIVE
        if doubt and new.incarnation <= old.incarnation:
            raise InvariantViolationError(f"{what}: a suspicion of {old.incarnation} ended without a denial")


def check_state(world: ModelState) -> None:
    for held in world.views:
        if held.incarnation is not None and held.incarnation > world.most:
            raise InvariantViolationError(f"a view holds {held.incarnation}, which nobody has claimed")


def settled(rules: Rules, world: ModelState) -> ModelState:
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
                KnownState(rules.table[held.state, ClaimEvent.SUSPICION_EXPIRED][0], held.incarnation)
                if held.state is MemberState.SUSPECT
                else KnownState(MemberState.SUSPECT, held.incarnation)
                if held.state is MemberState.ALIVE
                else held
                for held in world.views
            )
            world = world._replace(views=(views[0], views[1]))
        if world == before:
            break
    return world


def check_end(world: ModelState, end: ModelState) -> None:
    one, other = end.views
    if (one.state in LIVE_STATES) != (other.state in LIVE_STATES):
        raise InvariantViolationError(f"it lives in one view and not in the other, for good: {one}, {other}")
    if end.up and not end.left:
        for held in end.views:
            if held.state is not MemberState.ALIVE or held.incarnation != end.mine:
                raise InvariantViolationError(f"it lives as {end.mine}, and a view has {held} for good")
    if not end.up or end.left:
        for held in end.views:
            if held.state in LIVE_STATES:
                raise InvariantViolationError(f"it is gone, and lives in a view for good: {held}")


def explore(
    rules: Rules = CORRECT_RULES, most: int = 5_000_000, tell: Callable[[int], None] | None = None
) -> int:
    """The number of states. Raises Broken with what does not hold and the events that led there."""
    known = KnownState(MemberState.ALIVE, FIRST)
    start = ModelState(True, False, FIRST, FIRST, True, 0, (known, known), ())
    unknown = start._replace(
        views=(KnownState(MemberState.UNKNOWN, None), KnownState(MemberState.UNKNOWN, None))
    )
    came: dict[ModelState, tuple[ModelState, str] | None] = {start: None, unknown: None}
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
        except InvariantViolationError as fault:
            raise InvariantViolationError(f"{fault}; after: {'; '.join(_way(came, world))}") from None
        if tell is not None and len(came) % 100_000 < 8:
            tell(len(came))
    return len(came)


def _way(came: Mapping[ModelState, tuple[ModelState, str] | None], world: ModelState) -> list[str]:
    found: list[str] = []
    step = came[world]
    while step is not None:
        world, what = step
        found.append(what)
        step = came[world]
    return found[::-1] or ["the beginning"]
