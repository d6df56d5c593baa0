"""The filters that hold budgets to the calls: one before the application, one towards each tier.

Which request a call belongs to, what it may spend and what it says on the wire is decided by the pure files;
here they meet the clock and the dispatcher (net.request_filters). One Budgets is shared by all listeners of a
process.
"""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Callable, Mapping

from service_proxy.deadlines import header
from service_proxy.deadlines.accounts import Account, Lent, finishing, root
from service_proxy.deadlines.correlation import Correlation, Entry
from service_proxy.deadlines.usual import Transit, Usual
from service_proxy.net.downstream import Request
from service_proxy.net.request_filters import HeaderFields, Rejection
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.operator_file import Budgets as Settings
from service_proxy.operator_file import OperatorError, Problem, load
from service_proxy.operator_file.key_file import read_keys
from service_proxy.policy.events import NEVER_EXECUTED, AttemptStatus, RequestClass
from service_proxy.policy.events import Settings as ProxySettings

log = logging.getLogger(__name__)

MARGIN = 0.002  # s by which a budget on the wire is less than what is left: two turns of two loops
MOST_SHARE = 1000.0  # of its class's worth that a call can be given
TAKES = frozenset((header.FIELD,))
NO_HEADERS: HeaderFields = ()


class Budgets:
    """Of one process. Raises OperatorError where the key file can't be used."""

    def __init__(self, settings: Settings, mark: str) -> None:
        self.settings = settings
        self.mark = settings.mark or mark
        self.keys = read_keys(settings.keys_file)
        self.correlation = Correlation()
        self.open: dict[int, OuterTicket] = {}  # calls below an account, by the account's identity
        self.refused_loops = 0

    # net.endpoint_sources.Subsystem
    def start(self) -> None:
        """Nothing runs by itself."""

    def stop(self) -> None:
        """Nothing runs by itself."""

    def reload(self, file: str) -> None:
        """On SIGHUP: the keys; anything else needs a start. Raises OperatorError, and then nothing has
        changed."""
        if load(file).budgets != self.settings:
            text = "[budgets] has changed, and only its keys can while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "start the proxy anew")])
        self.reread_keys()

    def reread_keys(self) -> None:
        """Raises OperatorError, and then the old ones stay."""
        self.keys = read_keys(self.settings.keys_file)

    def closed(self, account: Account, gone: bool) -> None:
        """Ends an account; where nobody waits any more, also what is under way below it."""
        for below in account.close():
            ticket = self.open.pop(id(below), None)
            if ticket is not None and gone:
                ticket.give_up()

    def fresh(self, cls: RequestClass, due: float, now: float) -> Account:
        """For a request that brings no budget: a tree begins here."""
        tree = secrets.token_hex(8)
        account = root(
            self.settings.attempts,
            due,
            now + min(cls.latency_objective, due - now),
            cls.priority_weight,
            cls.name,
            tree,
        )
        account.path = (self.mark,)
        return account

    def loop(self, path: tuple[str, ...], tier: str) -> Rejection:
        self.refused_loops += 1
        way = " > ".join((*path, tier))
        log.warning("loop: %s: refused, never ran; take the way back out of the configuration", way)
        return Rejection(b"loop: " + way.encode() + b"\n")


def value_of(request: Request) -> bytes | None:
    """The request's field; None where there is none. Raises header.Malformed where there are several."""
    if len(request.consumed) > 1:
        raise header.Malformed("given twice")
    return request.consumed[0][1] if request.consumed else None


class Classes:
    """The classes that a filter knows, with the usual times of each."""

    def __init__(self, classes: Mapping[str, RequestClass]) -> None:
        self.classes = dict(classes)
        self.usual = {name: Usual() for name in classes}

    def on_settings_update(self, settings: ProxySettings) -> None:
        """Calls under way may still be of a class that is gone, so its times stay."""
        self.classes = {cls.name: cls for cls in settings.classes}
        for name in self.classes:
            self.usual.setdefault(name, Usual())


class InnerFilter(Classes):
    """Before the application: reads the budget that a request brings, and names the request to the
    application."""

    consumed_headers = TAKES

    def __init__(self, budgets: Budgets, classes: Mapping[str, RequestClass]) -> None:
        super().__init__(classes)
        self.budgets = budgets

    def on_request(self, request: Request, give_up: Callable[[], None]) -> InnerTicket | Rejection:
        budgets = self.budgets
        cls = self.classes[request.class_name]
        now = time.monotonic()
        due = request.received_at + min(request.time_budget, cls.deadline)
        found = None
        try:
            value = value_of(request)
            if value is not None:
                found = header.read(value, request.id, budgets.keys)
        except header.Malformed as fault:
            log.warning("a budget that is none is left out of account: %s", fault)
        if found is None:
            account = budgets.fresh(cls, due, now)
        else:
            if header.looped(found.path, budgets.mark, budgets.settings.passes):
                return budgets.loop(found.path, budgets.mark)
            due = min(due, request.received_at + found.time)
            aim = request.received_at + found.aim
            path = (*found.path, budgets.mark)
            account = Account(found.attempts, due, aim, found.worth, found.cls, path, found.tree)
        if budgets.settings.refuse_below_usual and not self.usual[cls.name].covers(due - now):
            return Rejection(b"its budget can't cover the work\n")
        return InnerTicket(self, request, account, cls, found is not None)


class InnerTicket:
    """A request that the application has, or is about to."""

    max_attempts = 0
    cancels_on_disconnect = True

    def __init__(
        self, filter: InnerFilter, request: Request, account: Account, cls: RequestClass, told: bool
    ) -> None:
        self.filter = filter
        self.request = request
        self.account = account
        self.cls = cls
        self.told = told
        self.deadline = account.due
        self.weight_share = share_of(account, cls, time.monotonic() + filter.usual[cls.name].quick)
        self.entry: Entry | None = None

    def on_attempt_start(self, timeout: float) -> bytes:
        reference = secrets.token_hex(8)
        budgets = self.filter.budgets
        self.entry = budgets.correlation.add(
            reference, self.request.id, self.request.idempotency_key, self.cls.name, self.account
        )
        return header.FIELD + b": " + header.write_reference(reference) + b"\r\n"

    def on_attempt_end(self, exchange: UpstreamAttempt, status: AttemptStatus) -> None:
        if status is AttemptStatus.OK:
            self.filter.usual[self.cls.name].learn(exchange.elapsed)

    def response_headers(self) -> HeaderFields:
        if not self.told:
            return NO_HEADERS
        account = self.account
        took = time.monotonic() - self.request.received_at
        return ((header.FIELD, header.write_spent(account.spent + account.lent, took)),)

    def on_request_end(self, answered: bool) -> None:
        budgets = self.filter.budgets
        now = time.monotonic()
        # In time and answered, what goes on is the application's own; else it is for nobody.
        gone = not answered or now >= self.account.due
        budgets.closed(self.account, gone)
        if self.entry is not None:
            self.entry.gone = gone
            budgets.correlation.end(self.entry, now)


class OuterFilter(Classes):
    """Towards a tier: finds the request that a call is made for, and sends its budget along."""

    consumed_headers = TAKES

    def __init__(self, budgets: Budgets, called: str, classes: Mapping[str, RequestClass], most: int) -> None:
        """`called`: the tier, or "" where that is not known; `most`: attempts that any call may have."""
        super().__init__(classes)
        self.budgets = budgets
        self.called = called
        self.most = most
        self.transit = Transit()

    def on_settings_update(self, settings: ProxySettings) -> None:
        super().on_settings_update(settings)
        self.most = settings.max_attempts

    def on_request(self, request: Request, give_up: Callable[[], None]) -> OuterTicket | Rejection:
        budgets = self.budgets
        cls = self.classes[request.class_name]
        now = time.monotonic()
        entry = None if budgets.settings.edge else self._entry(request)
        if entry is not None and entry.ended is not None and not entry.gone:
            entry = None  # it was answered: what its application does now is its own
        if entry is None:
            due = request.received_at + min(request.time_budget, cls.deadline)
            account: Account | None = budgets.fresh(cls, due, now)
        else:
            if entry.gone:
                return Rejection(b"nobody waits for its request any more\n")
            if self.called and header.looped(entry.account.path, self.called, budgets.settings.passes):
                return budgets.loop(entry.account.path, self.called)
            if budgets.settings.refuse_below_usual and not self.usual[cls.name].covers(
                entry.account.due - now
            ):
                return Rejection(b"its budget can't cover the work\n")
            account = entry.account.lend(budgets.settings.calls_per_request, now)
            if account is None:
                return Rejection(b"its request has no attempts or no time left\n")
        assert account is not None
        ticket = OuterTicket(self, request, account, cls, give_up)
        budgets.open[id(account)] = ticket
        return ticket

    def _entry(self, request: Request) -> Entry | None:
        try:
            value = value_of(request)
        except header.Malformed:
            return None
        reference = header.read_reference(value) if value is not None else None
        if value is not None and reference is None:
            return None  # something else stands there: not this sidecar's word
        return self.budgets.correlation.find(
            reference, request.id, request.idempotency_key, request.class_name
        )


class OuterTicket:
    """A call towards a tier, with its account."""

    cancels_on_disconnect = True

    def __init__(
        self,
        filter: OuterFilter,
        request: Request,
        account: Account,
        cls: RequestClass,
        give_up: Callable[[], None],
    ) -> None:
        self.filter = filter
        self.request = request
        self.account = account
        self.cls = cls
        self.give_up = give_up
        self.deadline = account.due
        self.weight_share = share_of(account, cls, time.monotonic() + filter.usual[cls.name].quick)
        if account.parent is not None:
            expected = filter.budgets.settings.calls_per_request
            self.weight_share = min(
                MOST_SHARE, self.weight_share * finishing(expected, account.parent.calls - 1)
            )
        self.max_attempts = account.granted
        self.begun = 0
        self.lent: Lent | None = None

    def on_attempt_start(self, timeout: float) -> bytes | None:
        now = time.monotonic()
        account = self.account
        filter = self.filter
        most = min(self.cls.max_attempts or filter.most, filter.most)
        lent = account.begin(max(1, min(most - self.begun, account.free)))
        if lent is None:
            return None
        self.begun += 1
        self.lent = lent
        less = filter.transit.mean + MARGIN
        budget = header.Budget(
            min(timeout, account.due - now) - less,
            account.aim - now - less,
            lent.attempts,
            account.worth,
            account.cls,
            account.path,
            account.tree,
        )
        value = header.write(budget, self.request.id, filter.budgets.keys)
        return header.FIELD + b": " + value + b"\r\n"

    def on_attempt_end(self, exchange: UpstreamAttempt, status: AttemptStatus) -> None:
        lent = self.lent
        self.lent = None
        if lent is None:
            return
        words = (
            [value for name, value in exchange.response_headers if name == header.FIELD]
            if exchange.status_code
            else []
        )
        said = header.read_spent(words[0], lent.attempts) if len(words) == 1 else None
        if said is not None:
            self.filter.transit.learn(exchange.elapsed, said[1])
        if status is AttemptStatus.OK:
            self.filter.usual[self.cls.name].learn(exchange.elapsed)
        loose = not exchange.status_code and status not in NEVER_EXECUTED
        lent.end(said[0] if said is not None else None, loose)

    def response_headers(self) -> HeaderFields:
        return NO_HEADERS

    def on_request_end(self, answered: bool) -> None:
        self.filter.budgets.open.pop(id(self.account), None)
        self.filter.budgets.closed(self.account, not answered)


def share_of(account: Account, cls: RequestClass, end: float) -> float:
    """Of its class's worth that a call has: what the outermost request is worth at the soonest that the call
    usually ends."""
    return min(MOST_SHARE, account.worth_at(end) / cls.priority_weight) if cls.priority_weight > 0 else 1.0
