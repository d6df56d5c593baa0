"""Exhaustive check of the member state table, with one member and two observers that have a view of it.

The table never combines entries of different members, so three processes and one subject cover everything
that can happen to a view. The subject is suspected, denies the suspicion, changes its own entry, leaves,
crashes, and restarts once, with a clock that went back. Messages between the three are lost, duplicated and
reordered. The check visits every state that can be reached within the bounds. In each state all invariants
must hold, and an exchange without further faults must make both views agree. Each of the `MUTATIONS` breaks
one rule, and the check must find the violation.
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

MAX_MESSAGES = 2  # messages in flight at a time; each may be delivered repeatedly
MAX_MODEL_VERSION = 1
MAX_EXCHANGES = 8  # upper bound of the exchanges until both views are final; fewer are needed
PROGRESS_STATES = 100_000  # number of states between two reports of progress
MAX_NEW_STATES_A_STEP = 8
MAX_MODEL_GENERATION = 3
OBSERVER_A = 0
OBSERVER_B = 1
SUBJECT = 2
FIRST_INCARNATION = Incarnation(2, 1, 0)
# incarnation after a restart; its generation is lower because the clock went back
SECOND_INCARNATION = Incarnation(1, 2, 0)
TransitionTable = Mapping[tuple[MemberState, ClaimEvent], tuple[MemberState, MergeAction]]


class Message(NamedTuple):
    """A claim in flight to one of the three processes."""

    to: int
    incarnation: Incarnation
    claim: Claim


class KnownState(NamedTuple):
    """An observer's state and incarnation of the subject."""

    state: MemberState
    incarnation: Incarnation | None


class ModelState(NamedTuple):
    """State of the subject, of both observers, and of the messages between the three.

    Attributes:
        local: the subject's own incarnation.
        greatest: the greatest incarnation that the subject ever claimed.
        joined: whether the subject may send claims; a restarted process first has to join.
        messages: messages in flight, sorted.
    """

    up: bool
    left: bool
    local: Incarnation  # the subject's own incarnation
    greatest: Incarnation  # greatest incarnation that the subject ever claimed
    joined: bool  # a restarted process sends no claims before it has joined
    restarts: int
    views: tuple[KnownState, KnownState]
    messages: tuple[Message, ...]  # sorted


@dataclass(frozen=True, slots=True)
class Rules:
    """The protocol's rules, of which a mutation breaks one."""

    table: TransitionTable
    denies_suspicions: bool = True  # the subject denies a suspicion that it receives
    outranks_predecessor: bool = True  # a restarted subject outranks the incarnation of its earlier process
    ignores_older_claims: bool = True  # older claims are distinguished from newer claims


CORRECT_RULES = Rules(TRANSITIONS)


def _mutated_table(
    key: tuple[MemberState, ClaimEvent], value: tuple[MemberState, MergeAction]
) -> TransitionTable:
    return {**TRANSITIONS, key: value}


MUTATIONS: dict[str, Rules] = {
    "the subject does not deny a suspicion": Rules(TRANSITIONS, denies_suspicions=False),
    "a dead member is alive again with the same incarnation": Rules(
        _mutated_table((MemberState.DEAD, ClaimEvent.ALIVE_SAME), (MemberState.ALIVE, MergeAction.ACCEPT))
    ),
    "a restarted subject does not outrank its earlier incarnation": Rules(
        TRANSITIONS, outranks_predecessor=False
    ),
    "the last received claim is accepted, even an older one": Rules(TRANSITIONS, ignores_older_claims=False),
    "a member that has left is suspected": Rules(
        _mutated_table(
            (MemberState.LEFT, ClaimEvent.SUSPECT_SAME), (MemberState.SUSPECT, MergeAction.START_SUSPICION)
        )
    ),
    "the suspected incarnation's own claim ends the suspicion": Rules(
        _mutated_table((MemberState.SUSPECT, ClaimEvent.ALIVE_SAME), (MemberState.ALIVE, MergeAction.ACCEPT))
    ),
}


class InvariantViolationError(Exception):
    """An invariant is violated; the message names it."""


def merge_claim(rules: Rules, known: KnownState, incarnation: Incarnation, claim: Claim) -> KnownState:
    """Return a view after a claim was merged into it according to the rules."""
    event = classify_claim(known.incarnation, (incarnation, claim))
    if not rules.ignores_older_claims and event is ClaimEvent.OLDER:
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
    """Return the claim with which a view is sent to others; a dead member is sent as suspected."""
    if known.state is MemberState.UNKNOWN:
        return None
    if known.state is MemberState.ALIVE:
        return Claim.ALIVE
    return Claim.LEFT if known.state is MemberState.LEFT else Claim.SUSPECT


def deliver_to_subject(
    rules: Rules, model: ModelState, incarnation: Incarnation, claim: Claim, bounded: bool = True
) -> ModelState:
    """Return the model after the subject received a claim about itself."""
    local = model.local
    if incarnation.process == local.process:
        if claim is Claim.ALIVE or incarnation < local or not rules.denies_suspicions:
            return model
        if bounded and local.version >= MAX_MODEL_VERSION:
            return model  # outside the bound of this check
        local = max(local, incarnation).incremented()
        return model._replace(local=local, greatest=max(model.greatest, local))
    if (
        incarnation > local
        and rules.outranks_predecessor
        and not (bounded and incarnation.generation >= MAX_MODEL_GENERATION)
    ):
        local = Incarnation(incarnation.generation + 1, local.nonce, 0)
        return model._replace(local=local, greatest=max(model.greatest, local))
    return model


def deliver(rules: Rules, model: ModelState, message: Message, bounded: bool = True) -> ModelState:
    """Return the model after the delivery of a message."""
    if message.to == SUBJECT:
        if not model.up or model.left:
            return model
        return deliver_to_subject(rules, model, message.incarnation, message.claim, bounded)
    views = list(model.views)
    views[message.to] = merge_claim(rules, views[message.to], message.incarnation, message.claim)
    return model._replace(views=(views[0], views[1]))


def with_message(model: ModelState, message: Message) -> ModelState:
    """Return the model with one more message in flight."""
    return model._replace(messages=tuple(sorted((*model.messages, message))))


def steps(rules: Rules, model: ModelState) -> Iterator[tuple[str, ModelState]]:
    """Yield all possible next steps, each with its name."""
    can_send = len(model.messages) < MAX_MESSAGES
    if model.up and model.joined and can_send:
        claim = Claim.LEFT if model.left else Claim.ALIVE
        for to in (OBSERVER_A, OBSERVER_B):
            yield "the subject sends its claim", with_message(model, Message(to, model.local, claim))
    if model.up and not model.left:
        yield from subject_steps(rules, model)
    if model.up:
        yield "the subject crashes", model._replace(up=False)
    elif not model.restarts:
        yield (
            "the subject restarts",
            model._replace(up=True, left=False, joined=False, local=SECOND_INCARNATION, restarts=1),
        )
    for observer in (OBSERVER_A, OBSERVER_B):
        yield from view_steps(rules, model, observer, can_send)
    for index, message in enumerate(model.messages):
        rest = model.messages[:index] + model.messages[index + 1 :]
        yield "lost", model._replace(messages=rest)
        yield "delivered", deliver(rules, model._replace(messages=rest), message)
        yield "delivered and duplicated", deliver(rules, model, message)


def subject_steps(rules: Rules, model: ModelState) -> Iterator[tuple[str, ModelState]]:
    """Yield the subject's own steps while it is up and has not left."""
    if not model.joined:
        # The subject asks both observers and merges their answers, or no observer answers and it joins
        # without answers.
        merged = model
        for known in model.views:
            claim = disseminated_claim(known)
            if claim is not None and known.incarnation is not None:
                merged = deliver_to_subject(rules, merged, known.incarnation, claim)
        yield "the subject joins", merged._replace(joined=True, greatest=max(merged.greatest, merged.local))
        yield (
            "the subject joins without answers",
            model._replace(joined=True, greatest=max(model.greatest, model.local)),
        )
    elif model.local.version < MAX_MODEL_VERSION:
        changed = model.local.incremented()
        yield (
            "the subject changes its entry",
            model._replace(local=changed, greatest=max(model.greatest, changed)),
        )
    if model.joined:
        yield "the subject leaves", model._replace(left=True)


def view_steps(
    rules: Rules, model: ModelState, observer: int, can_send: bool
) -> Iterator[tuple[str, ModelState]]:
    """Yield an observer's own steps."""
    known = model.views[observer]
    if known.state is MemberState.ALIVE and known.incarnation is not None:
        suspected = merge_claim(rules, known, known.incarnation, Claim.SUSPECT)
        yield "an observer suspects the subject", with_view(model, observer, suspected)
    if known.state is MemberState.SUSPECT:
        expired = KnownState(rules.table[known.state, ClaimEvent.SUSPICION_EXPIRED][0], known.incarnation)
        yield "a suspicion expires", with_view(model, observer, expired)
    claim = disseminated_claim(known)
    if claim is not None and known.incarnation is not None and can_send:
        for to in (OBSERVER_B if observer == OBSERVER_A else OBSERVER_A, SUBJECT):
            yield "an observer sends its view", with_message(model, Message(to, known.incarnation, claim))


def with_view(model: ModelState, observer: int, known: KnownState) -> ModelState:
    """Return the model with a new view of one observer."""
    views = list(model.views)
    views[observer] = known
    return model._replace(views=(views[0], views[1]))


def check_step(before: ModelState, step_name: str, after: ModelState) -> None:
    """Check that no view goes back to an earlier state.

    Raises:
        InvariantViolationError: a view went back; the message names the change.
    """
    for old, new in zip(before.views, after.views, strict=True):
        if old.incarnation is None or new.incarnation is None:
            continue
        if new.incarnation < old.incarnation:
            raise InvariantViolationError(
                f"{step_name}: a view goes back from {old.incarnation} to {new.incarnation}"
            )
        if old.state is MemberState.DEAD and new.state in LIVE_STATES and new.incarnation <= old.incarnation:
            raise InvariantViolationError(
                f"{step_name}: {old.incarnation} was dead in a view and is live in it again"
            )
        if (
            old.state is MemberState.LEFT
            and new.state is not MemberState.LEFT
            and new.incarnation <= old.incarnation
        ):
            raise InvariantViolationError(
                f"{step_name}: {old.incarnation} had left and is now {new.state.value}"
            )
        ends_suspicion = old.state is MemberState.SUSPECT and new.state is MemberState.ALIVE
        if ends_suspicion and new.incarnation <= old.incarnation:
            raise InvariantViolationError(
                f"{step_name}: a suspicion of {old.incarnation} ended without a denial"
            )


def check_state(model: ModelState) -> None:
    """Check that no view has an incarnation that the subject never claimed.

    Raises:
        InvariantViolationError: a view has such an incarnation.
    """
    for known in model.views:
        if known.incarnation is not None and known.incarnation > model.greatest:
            raise InvariantViolationError(f"a view has {known.incarnation}, which the subject never claimed")


def final_model(rules: Rules, model: ModelState) -> ModelState:
    """Return the final model after exchanges of all claims without further faults.

    Suspicions expire if the subject is down.
    """
    model = model._replace(messages=())
    if model.up and not model.joined:
        model = next(after for step_name, after in steps(rules, model) if step_name == "the subject joins")
    for _ in range(MAX_EXCHANGES):
        before = model
        if model.up:
            claim = Claim.LEFT if model.left else Claim.ALIVE
            for to in (OBSERVER_A, OBSERVER_B):
                model = deliver(rules, model, Message(to, model.local, claim), False)
        for observer in (OBSERVER_A, OBSERVER_B):
            known = model.views[observer]
            claim_of = disseminated_claim(known)
            if claim_of is None or known.incarnation is None:
                continue
            for to in (OBSERVER_B if observer == OBSERVER_A else OBSERVER_A, SUBJECT):
                model = deliver(rules, model, Message(to, known.incarnation, claim_of), False)
        if not model.up or model.left:  # the subject answers no probe
            one, other = (after_missed_probe(rules, known) for known in model.views)
            model = model._replace(views=(one, other))
        if model == before:
            break
    return model


def after_missed_probe(rules: Rules, known: KnownState) -> KnownState:
    """Return a view of the subject after a probe without an answer."""
    if known.state is MemberState.SUSPECT:
        after, _ = rules.table[known.state, ClaimEvent.SUSPICION_EXPIRED]
        return KnownState(after, known.incarnation)
    if known.state is MemberState.ALIVE:
        return KnownState(MemberState.SUSPECT, known.incarnation)
    return known


def check_final_views(final: ModelState) -> None:
    """Check that both views agree with the subject's final state.

    Raises:
        InvariantViolationError: a view does not agree.
    """
    one, other = final.views
    if (one.state in LIVE_STATES) != (other.state in LIVE_STATES):
        raise InvariantViolationError(f"the subject is live in only one of the final views: {one}, {other}")
    if final.up and not final.left:
        for known in final.views:
            if known.state is not MemberState.ALIVE or known.incarnation != final.local:
                raise InvariantViolationError(
                    f"the subject is alive as {final.local}, but a final view has {known}"
                )
    if not final.up or final.left:
        for known in final.views:
            if known.state in LIVE_STATES:
                raise InvariantViolationError(
                    f"the subject is down or has left, but is live in a final view: {known}"
                )


def explore(
    rules: Rules = CORRECT_RULES,
    max_states: int = 5_000_000,
    on_progress: Callable[[int], None] | None = None,
) -> int:
    """Visit all states within the bounds; return their number.

    Raises:
        InvariantViolationError: an invariant is violated; the message lists the steps to this state.
    """
    known = KnownState(MemberState.ALIVE, FIRST_INCARNATION)
    start = ModelState(True, False, FIRST_INCARNATION, FIRST_INCARNATION, True, 0, (known, known), ())
    unknown = start._replace(
        views=(KnownState(MemberState.UNKNOWN, None), KnownState(MemberState.UNKNOWN, None))
    )
    reached: dict[ModelState, tuple[ModelState, str] | None] = {start: None, unknown: None}
    queue = deque((start, unknown))
    while queue:
        model = queue.popleft()
        try:
            check_state(model)
            check_final_views(final_model(rules, model))
            for step_name, after in steps(rules, model):
                check_step(model, step_name, after)
                if after not in reached:
                    reached[after] = model, step_name
                    if len(reached) > max_states:
                        raise RuntimeError(f"over {max_states} states are reachable; raise max_states")
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
        model, step_name = step
        names.append(step_name)
        step = reached[model]
    return names[::-1] or ["no steps"]
