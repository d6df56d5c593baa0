"""Who may spend what: a tree of accounts in one process, of time, attempts and worth. Pure.

A request has an account; a call that is made for it gets one of its own, with attempts that its parent lends
and gets back unspent when the call ends. Exactly one place debits: `begin`, for the attempt that goes to the
wire. What goes down with that attempt is lent to the receiver until it says what it spent; a receiver that
says nothing after it may have run has spent all of it.

Invariant, for each account at all times: granted = free + lent + spent, none negative.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LATE_SHARE = 0.05  # of its worth that a request has when its outer aim has passed


def call_part(free: int, calls_to_come: int) -> int:
    """Of what is free, for the next of so many calls: a fair part, rounded up; the last has all."""
    return -(-free // max(1, calls_to_come))


def attempt_part(free: int, attempts_to_come: int) -> int:
    """What goes down with the next of so many attempts. Half of what is left after it, since what isn't spent
    comes back with its answer, and the other half is enough for one more that is lost; the last has all."""
    rest = free - 1
    return rest if attempts_to_come <= 1 else -(-rest // 2)


def finishing(calls_expected: int, calls_before: int) -> float:
    """How much more a call is worth for those that were made before it: the request's worth is for all of
    them, and less of its work is left. A first call that is refused has cost nothing; a last one, all before
    it."""
    return calls_expected / max(1, calls_expected - calls_before)


def reaches(attempts: int, tiers: int, calls: int, attempts_each: int) -> bool:
    """Whether every call of a tree in which nothing fails has an attempt: through so many tiers, each of
    whose
    applications makes so many calls to the next, one after another."""
    account = Account(attempts, 1.0, 1.0, 1.0, "", (), "")
    return _walk(account, tiers, calls, attempts_each)


def _walk(account: Account, tiers: int, calls: int, attempts_each: int) -> bool:
    lent = account.begin(attempts_each)
    if lent is None:
        return False
    below = Account(lent.attempts, 1.0, 1.0, 1.0, "", (), "")
    for _ in range(calls if tiers > 1 else 0):
        child = below.lend(calls, 0.0)
        if child is None or not _walk(child, tiers - 1, calls, attempts_each):
            return False
        child.close()
    lent.end(below.spent, False)
    return True


@dataclass(slots=True, eq=False)
class Account:
    """Of one request or call. Instants on one monotonic clock, s."""

    granted: int  # attempts
    due: float  # when nobody waits any more
    aim: float  # until when it has its whole worth
    worth: float
    cls: str
    path: tuple[str, ...]
    tree: str
    parent: Account | None = None
    children: dict[int, Account] = field(default_factory=dict)  # open ones, by identity
    calls: int = 0  # made for it so far
    spent: int = 0
    lent: int = 0
    open: bool = True

    @property
    def free(self) -> int:
        return self.granted - self.lent - self.spent

    def worth_at(self, now: float) -> float:
        return self.worth if now < self.aim else self.worth * LATE_SHARE

    def lend(self, calls_expected: int, now: float) -> Account | None:
        """An account for a further call that is made for this one. None where it is closed, its time is up or
        nothing is free."""
        if not self.open or now >= self.due or self.free < 1:
            return None
        part = call_part(self.free, calls_expected - self.calls)
        self.calls += 1
        self.lent += part
        child = Account(part, self.due, self.aim, self.worth, self.cls, self.path, self.tree, self)
        self.children[id(child)] = child
        return child

    def begin(self, attempts_expected: int) -> Lent | None:
        """Debits an attempt that goes out now, and lends to its receiver; so many may come in all, this one
        among them. None where nothing is free."""
        if not self.open or self.free < 1:
            return None
        part = attempt_part(self.free, attempts_expected)
        self.spent += 1
        self.lent += part
        return Lent(self, part)

    def close(self) -> list[Account]:
        """Its end: what is free goes back to the parent, what is out is held for spent. Returns the accounts
        of calls below it that were open, all closed by now: their work is for nobody."""
        if not self.open:
            return []
        below = []
        for child in list(self.children.values()):
            below += [child, *child.close()]
        self.open = False
        self.spent += self.lent
        self.lent = 0
        if self.parent is not None and self.parent.children.pop(id(self), None) is not None:
            self.parent.lent -= self.granted
            self.parent.spent += self.spent
        return below


@dataclass(slots=True, eq=False)
class Lent:
    """What one attempt took down with it, until its end."""

    account: Account
    attempts: int
    open: bool = True

    def end(self, spent: int | None, loose: bool) -> None:
        """`spent`: what the receiver says; None where it says nothing. `loose`: it may have run and gave no
        answer, so work may go on below, and all of it counts as spent. A receiver that answered without a
        word of it knows of no budgets, and has spent nothing of this one."""
        if not self.open:
            return
        self.open = False
        if not self.account.open:
            return  # it was held for spent when the account was closed
        used = min(self.attempts, spent if spent is not None else self.attempts if loose else 0)
        self.account.lent -= self.attempts
        self.account.spent += used


def root(attempts: int, due: float, aim: float, worth: float, cls: str, tree: str) -> Account:
    """Of a request that comes from outside."""
    return Account(attempts, due, aim, worth, cls, (), tree)
