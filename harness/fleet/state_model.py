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
MAX_EXCHANGES = 8  # until all know all; fewer are needed
PROGRESS_STATES = 100_000  # between two reports of progress
MAX_NEW_STATES_A_STEP = 8
MAX_MODEL_GENERATION = 3
A = 0
B = 1
SUBJECT = 2
FIRST = Incarnation(2, 1, 0)
SECOND = Incarnation(1, 2, 0)  # after a restart: its clock went back
TableOf = Mapping[tuple[MemberState, ClaimEvent], tuple[MemberState, MergeAction]]


class Message(NamedTuple):
    """A claim that is under way to one of the three."""

    to: int
    incarnation: Incarnation
    claim: Claim


class KnownState(NamedTuple):
    """What an observer holds of the subject."""

    state: MemberState
    incarnation: Incarnation | None


class ModelState(NamedTuple):
    """The state of the subject, of both observers, and of the messages between the three.

    Attributes:
        local: the subject's own incarnation.
        greatest: that it ever claimed.
        joined: a second process claims nothing before it has asked.
        messages: that are under way, sorted.
    """

    up: bool
    left: bool
    local: Incarnation  # the subject's own
    greatest: Incarnation  # that it ever claimed
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
    newest: bool = True  # older claims are told apart from newer ones


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
    """An invariant does not hold; the message says which."""


def merge_claim(rules: Rules, known: KnownState, incarnation: Incarnation, claim: Claim) -> KnownState:
    """Return a view after a claim was merged into it by the rules."""
    event = classify_claim(known.incarnation, (incarnation, claim))
    if not rules.newest and event is ClaimEvent.OLDER:
        event = {
            Claim.ALIVE: ClaimEvent.ALIVE_NEWER,
            Claim.SUSPECT: ClaimEvent.SUSPECT_NEWER,
            Claim.LEFT: ClaimEvent.LEFT_NEWER,
        }[claim]
    after, action = rules.table[known.state, event]
    if action in (MergeAction.NOTHING, MergeAction.SEND_CORRECTION, MergeAction.CONFIRM_SUSPICION):
        return KnownState(after, known.incarnation)
    return KnownState(after, incarnation)


def disseminated_claim(known: KnownState) -> Claim | None:
    """Return the claim as which a view is told to others: the dead as a suspicion."""
    if known.state is MemberState.UNKNOWN:
        return None
    if known.state is MemberState.ALIVE:
        return Claim.ALIVE
    return Claim.LEFT if known.state is MemberState.LEFT else Claim.SUSPECT


def deliver_to_subject(
    rules: Rules, model: ModelState, incarnation: Incarnation, claim: Claim, bounded: bool = True
) -> ModelState:
    """Return the model after the subject got a claim about itself."""
    local = model.local
    if incarnation.process == local.process:
        if claim is Claim.ALIVE or incarnation < local or not rules.denies:
            return model
        if bounded and local.version >= MAX_MODEL_VERSION:
            return model  # beyond the bound of this check
        local = max(local, incarnation).incremented()
        return model._replace(local=local, greatest=max(model.greatest, local))
    if (
        incarnation > local
        and rules.outranks
        and not (bounded and incarnation.generation >= MAX_MODEL_GENERATION)
    ):
        local = Incarnation(incarnation.generation + 1, local.nonce, 0)
        return model._replace(local=local, greatest=max(model.greatest, local))
    return model


def deliver(rules: Rules, model: ModelState, message: Message, bounded: bool = True) -> ModelState:
    """Return the model after a message arrived."""
    if message.to == SUBJECT:
        if not model.up or model.left:
            return model
        return deliver_to_subject(rules, model, message.incarnation, message.claim, bounded)
    views = list(model.views)
    views[message.to] = merge_claim(rules, views[message.to], message.incarnation, message.claim)
    return model._replace(views=(views[0], views[1]))


def with_message(model: ModelState, message: Message) -> ModelState:
    """Return the model with one more message under way."""
    return model._replace(messages=tuple(sorted((*model.messages, message))))


def steps(rules: Rules, model: ModelState) -> Iterator[tuple[str, ModelState]]:
    """Yield all that may happen next, each with its name."""
    can_send = len(model.messages) < MAX_MESSAGES
    if model.up and model.joined and can_send:
        claim = Claim.LEFT if model.left else Claim.ALIVE
        for to in (A, B):
            yield "the subject tells", with_message(model, Message(to, model.local, claim))
    if model.up and not model.left:
        yield from subject_steps(rules, model)
    if model.up:
        yield "it crashes", model._replace(up=False)
    elif not model.restarts:
        yield "it starts again", model._replace(up=True, left=False, joined=False, local=SECOND, restarts=1)
    for observer in (A, B):
        yield from view_steps(rules, model, observer, can_send)
    for place, message in enumerate(model.messages):
        rest = model.messages[:place] + model.messages[place + 1 :]
        yield "lost", model._replace(messages=rest)
        yield "delivered", deliver(rules, model._replace(messages=rest), message)
        yield "delivered, and comes again", deliver(rules, model, message)


def subject_steps(rules: Rules, model: ModelState) -> Iterator[tuple[str, ModelState]]:
    """Yield what the subject may do by itself while it is up and has not left."""
    if not model.joined:
        # It asks both, and goes on with what they say; or nobody answers, and it goes on alone.
        asked = model
        for known in model.views:
            claim = disseminated_claim(known)
            if claim is not None and known.incarnation is not None:
                asked = deliver_to_subject(rules, asked, known.incarnation, claim)
        yield "it joins", asked._replace(joined=True, greatest=max(asked.greatest, asked.local))
        yield "it joins alone", model._replace(joined=True, greatest=max(model.greatest, model.local))
    elif model.local.version < MAX_MODEL_VERSION:
        renewed = model.local.incremented()
        yield "it says something new", model._replace(local=renewed, greatest=max(model.greatest, renewed))
    if model.joined:
        yield "it leaves", model._replace(left=True)


def view_steps(
    rules: Rules, model: ModelState, observer: int, can_send: bool
) -> Iterator[tuple[str, ModelState]]:
    """Yield what an observer may do by itself."""
    known = model.views[observer]
    if known.state is MemberState.ALIVE and known.incarnation is not None:
        suspected = merge_claim(rules, known, known.incarnation, Claim.SUSPECT)
        yield "it is suspected", with_view(model, observer, suspected)
    if known.state is MemberState.SUSPECT:
        expired = KnownState(rules.table[known.state, ClaimEvent.SUSPICION_EXPIRED][0], known.incarnation)
        yield "a suspicion runs out", with_view(model, observer, expired)
    claim = disseminated_claim(known)
    if claim is not None and known.incarnation is not None and can_send:
        for to in (B if observer == A else A, SUBJECT):
            yield "one tells another", with_message(model, Message(to, known.incarnation, claim))


def with_view(model: ModelState, observer: int, known: KnownState) -> ModelState:
    """Return the model with another view of one observer."""
    views = list(model.views)
    views[observer] = known
    return model._replace(views=(views[0], views[1]))


def check_step(before: ModelState, what: str, after: ModelState) -> None:
    """Check that no view goes back.

    Raises:
        InvariantViolationError: what went back.
    """
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
        ends_suspicion = old.state is MemberState.SUSPECT and new.state is MemberState.ALIVE
        if ends_suspicion and new.incarnation <= old.incarnation:
            raise InvariantViolationError(f"{what}: a suspicion of {old.incarnation} ended without a denial")


def check_state(model: ModelState) -> None:
    """Check that no view holds what nobody has claimed.

    Raises:
        InvariantViolationError: it does.
    """
    for known in model.views:
        if known.incarnation is not None and known.incarnation > model.greatest:
            raise InvariantViolationError(f"a view holds {known.incarnation}, which nobody has claimed")


def settle(rules: Rules, model: ModelState) -> ModelState:
    """Return what the model comes to when nothing goes wrong any more and all exchange all.

    Suspicions run out where the subject is down.
    """
    model = model._replace(messages=())
    if model.up and not model.joined:
        model = next(after for what, after in steps(rules, model) if what == "it joins")
    for _ in range(MAX_EXCHANGES):
        before = model
        if model.up:
            claim = Claim.LEFT if model.left else Claim.ALIVE
            for to in (A, B):
                model = deliver(rules, model, Message(to, model.local, claim), False)
        for who in (A, B):
            known = model.views[who]
            claim_of = disseminated_claim(known)
            if claim_of is None or known.incarnation is None:
                continue
            for to in (B if who == A else A, SUBJECT):
                model = deliver(rules, model, Message(to, known.incarnation, claim_of), False)
        if not model.up or model.left:  # it answers no probe
            one, other = (without_answer(rules, known) for known in model.views)
            model = model._replace(views=(one, other))
        if model == before:
            break
    return model


def without_answer(rules: Rules, known: KnownState) -> KnownState:
    """Return a view of the subject after it has not answered a probe."""
    if known.state is MemberState.SUSPECT:
        after, _ = rules.table[known.state, ClaimEvent.SUSPICION_EXPIRED]
        return KnownState(after, known.incarnation)
    if known.state is MemberState.ALIVE:
        return KnownState(MemberState.SUSPECT, known.incarnation)
    return known


def check_end(end: ModelState) -> None:
    """Check that both views agree with what is so in the end.

    Raises:
        InvariantViolationError: they don't.
    """
    one, other = end.views
    if (one.state in LIVE_STATES) != (other.state in LIVE_STATES):
        raise InvariantViolationError(f"it lives in one view and not in the other, for good: {one}, {other}")
    if end.up and not end.left:
        for known in end.views:
            if known.state is not MemberState.ALIVE or known.incarnation != end.local:
                raise InvariantViolationError(f"it lives as {end.local}, and a view has {known} for good")
    if not end.up or end.left:
        for known in end.views:
            if known.state in LIVE_STATES:
                raise InvariantViolationError(f"it is gone, and lives in a view for good: {known}")


def explore(
    rules: Rules = CORRECT_RULES,
    max_states: int = 5_000_000,
    on_progress: Callable[[int], None] | None = None,
) -> int:
    """Visit all states within the bounds; return their number.

    Raises:
        InvariantViolationError: with what does not hold, and the events that led there.
    """
    known = KnownState(MemberState.ALIVE, FIRST)
    start = ModelState(True, False, FIRST, FIRST, True, 0, (known, known), ())
    unknown = start._replace(
        views=(KnownState(MemberState.UNKNOWN, None), KnownState(MemberState.UNKNOWN, None))
    )
    reached: dict[ModelState, tuple[ModelState, str] | None] = {start: None, unknown: None}
    queue = deque((start, unknown))
    while queue:
        model = queue.popleft()
        try:
            check_state(model)
            check_end(settle(rules, model))
            for what, after in steps(rules, model):
                check_step(model, what, after)
                if after not in reached:
                    reached[after] = model, what
                    if len(reached) > max_states:
                        raise RuntimeError(f"over {max_states} states")
                    queue.append(after)
        except InvariantViolationError as error:
            raise InvariantViolationError(f"{error}; after: {'; '.join(_steps_to(reached, model))}") from None
        if on_progress is not None and len(reached) % PROGRESS_STATES < MAX_NEW_STATES_A_STEP:
            on_progress(len(reached))
    return len(reached)


def _steps_to(reached: Mapping[ModelState, tuple[ModelState, str] | None], model: ModelState) -> list[str]:
    names: list[str] = []
    step = reached[model]
    while step is not None:
        model, what = step
        names.append(what)
        step = reached[model]
    return names[::-1] or ["the beginning"]
