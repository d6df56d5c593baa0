"""A tree of request budgets in one process: deadline, attempts and priority weight. Pure.

A request has a budget; a call that is made for it gets a child budget, with attempts that are reserved in
its parent and returned unspent when the call ends. Exactly one place debits: `grant_attempt`, for the attempt
that is sent. What travels with that attempt is granted to the receiver until it says what it used; a receiver
that says nothing although the attempt may have run has used all of it.

Invariant, for each budget at all times: allowance = available + reserved + spent, none negative.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LATE_WEIGHT_SHARE = 0.05  # of its priority weight that a request has after its latency objective


def child_allowance(available: int, remaining_calls: int) -> int:
    """Return the attempts for the next of so many calls: an equal share, rounded up; the last gets all."""
    return -(-available // max(1, remaining_calls))


def downstream_allowance(available: int, remaining_attempts: int) -> int:
    """Return the attempts that travel with the next of so many attempts.

    They are half of what is left after it, since what isn't used is returned with its answer, and the other
    half is enough for one more attempt that is lost; the last one gets all.
    """
    rest = available - 1
    return rest if remaining_attempts <= 1 else -(-rest // 2)


def completion_factor(calls_expected: int, calls_before: int) -> float:
    """Return by how much a call's priority rises with the calls that were made before it for its request.

    The request's priority weight is for all of them, and less of its work is left. A first call that is
    rejected has cost nothing; a last one costs all calls before it.
    """
    return calls_expected / max(1, calls_expected - calls_before)


def covers_call_tree(attempts: int, tiers: int, calls_per_request: int, attempts_per_call: int) -> bool:
    """Return whether each call of a tree in which nothing fails gets an attempt.

    The tree has so many tiers, each of whose applications makes so many calls to the next, one after another.
    """
    return _covers_subtree(_test_budget(attempts), tiers, calls_per_request, attempts_per_call)


def _covers_subtree(
    budget: RequestBudget, tiers: int, calls_per_request: int, attempts_per_call: int
) -> bool:
    grant = budget.grant_attempt(attempts_per_call)
    if grant is None:
        return False
    received = _test_budget(grant.attempts)
    for _ in range(calls_per_request if tiers > 1 else 0):
        child = received.allocate_child(calls_per_request, 0.0)
        if child is None or not _covers_subtree(child, tiers - 1, calls_per_request, attempts_per_call):
            return False
        child.close()
    grant.settle(received.spent, may_have_run=False)
    return True


def _test_budget(attempts: int) -> RequestBudget:
    return root_budget(
        attempts, deadline=1.0, objective_at=1.0, priority_weight=1.0, request_class="", tree_id=""
    )


@dataclass(slots=True, eq=False)
class RequestBudget:
    """What one request or call has left. Instants are on one monotonic clock, s.

    Attributes:
        allowance: attempts that it has in all.
        deadline: instant after which nobody waits.
        objective_at: instant until which it has its whole priority weight.
        request_class: of the outermost request.
        path: hop identifiers that the request has passed.
        tree_id: of all calls that the outermost request causes.
        children: open child budgets, by identity.
        child_count: calls that were made for it so far.
        spent, reserved: attempts.
    """

    allowance: int
    deadline: float
    objective_at: float
    priority_weight: float
    request_class: str
    path: tuple[str, ...]
    tree_id: str
    parent: RequestBudget | None = None
    children: dict[int, RequestBudget] = field(default_factory=dict)
    child_count: int = 0
    spent: int = 0
    reserved: int = 0
    is_open: bool = True

    @property
    def available(self) -> int:
        """Attempts that can be spent or reserved."""
        return self.allowance - self.reserved - self.spent

    def priority_weight_at(self, now: float) -> float:
        """Return the priority weight of an answer at this instant."""
        return self.priority_weight if now < self.objective_at else self.priority_weight * LATE_WEIGHT_SHARE

    def allocate_child(self, calls_expected: int, now: float) -> RequestBudget | None:
        """Return a budget for a further call, of so many expected in all.

        None where this budget is closed, its deadline has passed or no attempt is available.
        """
        if not self.is_open or now >= self.deadline or self.available < 1:
            return None
        allowance = child_allowance(self.available, calls_expected - self.child_count)
        self.child_count += 1
        self.reserved += allowance
        child = RequestBudget(
            allowance,
            self.deadline,
            self.objective_at,
            self.priority_weight,
            self.request_class,
            self.path,
            self.tree_id,
            self,
        )
        self.children[id(child)] = child
        return child

    def grant_attempt(self, attempts_expected: int) -> AttemptGrant | None:
        """Debit an attempt that is sent now, and reserve what travels with it.

        So many attempts may come in all, this one among them. None where no attempt is available.
        """
        if not self.is_open or self.available < 1:
            return None
        granted = downstream_allowance(self.available, attempts_expected)
        self.spent += 1
        self.reserved += granted
        return AttemptGrant(self, granted)

    def close(self) -> list[RequestBudget]:
        """Return what is available to the parent; what is still granted counts as spent.

        Returns:
            The budgets of calls below it that were open and are closed by now: their work is for nobody.
        """
        if not self.is_open:
            return []
        closed = []
        for child in list(self.children.values()):
            closed += [child, *child.close()]
        self.is_open = False
        self.spent += self.reserved
        self.reserved = 0
        if self.parent is not None and self.parent.children.pop(id(self), None) is not None:
            self.parent.reserved -= self.allowance
            self.parent.spent += self.spent
        return closed


@dataclass(slots=True, eq=False)
class AttemptGrant:
    """The attempts that travelled with one attempt, until its end."""

    budget: RequestBudget
    attempts: int
    is_open: bool = True

    def settle(self, spent: int | None, may_have_run: bool) -> None:
        """Return what the receiver did not use.

        Args:
            spent: by the receiver's answer; None where it says nothing. A receiver that answered without
                saying it knows of no budgets, and has used nothing of this one.
            may_have_run: there was no answer and the attempt may have run, so work may go on below: all of it
                counts as spent.
        """
        if not self.is_open:
            return
        self.is_open = False
        if not self.budget.is_open:
            return  # it counted as spent when the budget was closed
        unknown = self.attempts if may_have_run else 0
        used = min(self.attempts, spent if spent is not None else unknown)
        self.budget.reserved -= self.attempts
        self.budget.spent += used


def root_budget(
    attempts: int,
    deadline: float,
    objective_at: float,
    priority_weight: float,
    request_class: str,
    tree_id: str,
    path: tuple[str, ...] = (),
) -> RequestBudget:
    """Return the budget of a request that has no parent in this process."""
    return RequestBudget(attempts, deadline, objective_at, priority_weight, request_class, path, tree_id)
