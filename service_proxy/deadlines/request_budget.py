"""Tree of request budgets in one process: deadline, attempts and priority weight. Does no I/O.

A request has a budget. A call that is made for the request gets a child budget, whose attempts are reserved
in the parent budget; unspent attempts return to the parent when the call ends. Only `grant_attempt` debits a
budget, for the attempt that is sent. The attempts sent in that attempt's header are granted to the receiver
until the receiver reports its usage. A receiver without a report has used the whole grant if the attempt may
have run.

Invariant for each budget at all times: allowance = available + reserved + spent, and none is negative.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LATE_WEIGHT_SHARE = 0.05  # Share of a request's priority weight that remains after the latency objective.


def child_allowance(available: int, remaining_calls: int) -> int:
    """Return the attempts for the next of the remaining calls: an equal share, rounded up.

    The last call gets all available attempts.
    """
    return -(-available // max(1, remaining_calls))


def downstream_allowance(available: int, remaining_attempts: int) -> int:
    """Return the attempts to grant with the next of the remaining attempts.

    The result is half of the attempts that are left after the next one. Unused attempts return with the
    response, and the other half suffices for one more attempt that is lost. The last attempt gets all.
    """
    rest = available - 1
    return rest if remaining_attempts <= 1 else -(-rest // 2)


def completion_factor(calls_expected: int, calls_before: int) -> float:
    """Return the factor of a call's priority, which grows with the calls already made for the same request.

    The request's priority weight covers all of its calls, and each further call has less remaining work. The
    rejection of a first call wastes nothing; the rejection of a last call wastes all calls before that call.
    """
    return calls_expected / max(1, calls_expected - calls_before)


def covers_call_tree(attempts: int, tiers: int, calls_per_request: int, attempts_per_call: int) -> bool:
    """Return whether each call of a tree in which nothing fails gets an attempt.

    The tree has `tiers` tiers. Each tier's application makes `calls_per_request` calls to the next tier, one
    after another.
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
    """Remaining budget of one request or call. Instants are on one monotonic clock, s.

    Attributes:
        allowance: Total number of attempts.
        deadline: Instant after which no client waits.
        objective_at: Instant until which the request has its whole priority weight.
        request_class: Class of the outermost request.
        path: Hop identifiers that the request has passed.
        tree_id: Id of all calls that the outermost request causes.
        children: Open child budgets, by identity.
        child_count: Number of calls made for the request so far.
        spent: Attempts that were used.
        reserved: Attempts that are granted or reserved for calls.
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
        """Return the number of attempts that can be spent or reserved."""
        return self.allowance - self.reserved - self.spent

    def priority_weight_at(self, now: float) -> float:
        """Return the priority weight of an answer at this instant."""
        return self.priority_weight if now < self.objective_at else self.priority_weight * LATE_WEIGHT_SHARE

    def allocate_child(self, calls_expected: int, now: float) -> RequestBudget | None:
        """Return a budget for a further call, or None if this budget has nothing left to allocate.

        The result is None if this budget is closed, its deadline has passed or no attempt is available.
        `calls_expected` is the expected total number of calls.
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
        """Debit an attempt that is sent now, and reserve its grant; return None if no attempt is available.

        `attempts_expected` is the expected number of attempts, including this one.
        """
        if not self.is_open or self.available < 1:
            return None
        granted = downstream_allowance(self.available, attempts_expected)
        self.spent += 1
        self.reserved += granted
        return AttemptGrant(self, granted)

    def close(self) -> list[RequestBudget]:
        """Return the available attempts to the parent budget; attempts still granted count as spent.

        Returns:
            Budgets of open calls below this budget, which are now closed. No client waits for these calls.
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
    """Attempts granted with one attempt, until the attempt ends."""

    budget: RequestBudget
    attempts: int
    is_open: bool = True

    def settle(self, spent: int | None, may_have_run: bool) -> None:
        """Return the unused attempts of the grant to the budget.

        Args:
            spent: Attempts that the receiver reports as used; None without a report. A receiver that answers
                without a report does not support budgets and has used none of the grant.
            may_have_run: Whether there was no answer and the attempt may have run. Work may continue
                below, so the whole grant counts as spent.
        """
        if not self.is_open:
            return
        self.is_open = False
        if not self.budget.is_open:
            return  # The grant was counted as spent when the budget was closed.
        assumed_spent = self.attempts if may_have_run else 0
        used = min(self.attempts, spent if spent is not None else assumed_spent)
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
