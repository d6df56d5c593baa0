"""All decisions of a proxy. What goes in and out is defined in service_proxy/policy/events.py.

Order of the file: tunables, obligations (the gate), admission, queue, servers and the pick, the Balancer.
One unit of time: seconds. No I/O, no clock, no globals that change; chance comes from an own seeded source.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from collections.abc import Iterable
from random import Random

from service_proxy.policy.events import (
    NEVER_EXECUTED,
    Action,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    HealthCheckEnded,
    Idempotency,
    ListScope,
    ProxyCountUpdated,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    SettingsUpdated,
    StartAttempt,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)

# -- tunables: name, unit, reason ----------------------------------------------------------------------
STEP = 0.05  # s, the control step: a few steps fit into the shortest call worth steering
CALLS_REMEMBERED = 1000  # calls that are over whose ids are still known
STALL = 4 * STEP  # s without a turn after which the times of what comes tell of this instance itself
ANSWER_MARGIN = 2 * STEP  # s before a client's deadline at which a held call is answered at the latest
MEMORY = 2.0  # s, memory of the arrival rate and procQ: long against one call, short against a trouble
FEWEST_SAMPLES = 10  # calls, below which procQ and H say nothing and nothing is refused
HISTORY = 300  # worths kept in H: the cut's error is then about 3 points of 100
BUDGETS = 64  # time budgets of a class that are kept to know the usual one
TARGET = 0.35  # share of the aim that all but LATE_SHARE of the answers should take
SLACK = 0.8  # share of W up to which no call is refused for its worth; W grows beyond it
LATE_SHARE = 0.2  # share of answers past the target at which W stands still
BASE_RATIO = 1.75  # unhurried mean latencies that the target is at least: a long tail passes less
BASE_SAMPLES = 20  # answers before the unhurried latency is taken from them
BASE_MEMORY = 60.0  # s in which the unhurried latency follows a lasting rise
MOST_TARGET = 0.9  # share of the aim that the target stays within, and where it starts
LEAST_WINDOW = 2.0  # calls; W does not recover well from less
LEAST_PER_SERVER = 2.0  # calls for each server that the first tier's instances share, if these are the more
MOST_STEP = 0.3  # share of W that one call moves it by at most
FIRST_STEP = 0.5  # calls that each answer moves W up by at the start: by half a round
SURE = 16  # answers in time in a row that tell that W is too low: with LATE_SHARE late, 3 of 100 such rows
LEAST_LATENCY = 1e-4  # s; no answer counts as quicker, so that means stay above 0
FIRST_WINDOW = 4.0  # calls, where W starts before anything is known
SUNK = 0.5  # added to ST's weight per tier above: work done there is lost by a refusal here
POOL_LOCAL = 10  # servers of the own zone that an instance uses
POOL = 16  # servers that an instance uses in all
PRIOR = 8.0  # samples that the prior of a server's capacity weighs
FORGET = 0.9  # weight of a server's older samples at each new one
PACE_MEMORY = 30.0  # s in which they fade without new ones, so that a slow server is tried again
PROBES_PER_CALL = 0.15  # probes per arriving call
PROBES_LEAST = 0.3  # probes per s, so that an idle instance still knows its servers
FIRST_PROBES = 8.0  # probes at the start, over all zones: an instance that knows no load follows the herd
ASK_SPEND = 0.006  # points of price per call that may go to probes sent for that call alone
ASK = 3  # servers asked for one call; more gains little over three fresh figures
ASK_WAIT = 0.01  # s that a call waits for their answers
USUAL_FADES = 10.0  # fades of a report after which a server's usual load is half forgotten
ZONE_REPORTS = 10  # reports over which a zone's load is averaged: a few seconds of probes at a call a second
CROSSING = 3.0  # aims that one full crossing price is worth when servers are compared
TAIL = 2.0  # mean latencies that a held call should have left when its turn comes: work has long tails
RETRY_SHARE = 0.15  # further attempts per arriving call: a retry budget stops multiplication through tiers
RETRY_BURST = 5.0  # further attempts that may come at once
RETRY_UNSEEN = 0.25  # of a further attempt, that one after an attempt that never ran counts as
RESCUE_AGE = 4.0  # mean latencies after which a call is taken to be stuck
EJECT_FIRST = 0.5  # s of the first ejection; doubles up to EJECT_LONGEST
EJECT_LONGEST = 8.0  # s
EJECT_SHARE = 0.34  # share of the pool that soft signs may eject: if more look ill, the cause lies elsewhere
ALIVE = 1.0  # s since its last answer, of any kind, within which a server is not taken to be dead
BREAKS = 3  # broken or refused connections in a row, with no answer between, after which it is all the same
UNOPENED = 2  # failed connects, and none good between, after which a live server has no room for more
CONNECTIONS_FULL = 5.0  # s for which a server without room gets no further connection
ERROR_EXCESS = 0.35  # error share above the pool's that condemns a server
FAILING_STEP = 0.3  # weight of the newest answer in the share of a class's calls that a server fails
FAILING_MEMORY = 5.0  # s in which such a share fades, so that the server is tried again
COLD_SHARE = 0.5  # share of the allowed multiple of a cold server's capacity that all instances may use
PEAK_MEMORY = 60.0  # s, memory of an instance's highest send rate: long against a ramp
DOUBT_SPREAD = 2.0  # s over which instances ask again where servers contradict the list: all see it at once
DOUBT_SPACING = 8.0  # s since it asked or was told within which an instance does not doubt the list
IDLE_LEAST = 0.2  # s; a connection used within it is not taken to be lost for lack of use
IDLE_SHARE = 0.7  # share of the age at which an idle connection was lost that is still trusted
IDLE_DOUBLES = 15.0  # s in which the trusted age doubles again
OPEN_DEAR = 1.5  # mean latencies that a new connection adds, above which a doubtful old one is used
OPEN_LEAST = 0.3  # mean latencies by which a server with an open connection is preferred at least
OPEN_MEMORY = 30  # sends over which new and open connections are compared
ADVICE = 0.25  # procQ that a refused client is told to stay away
TICK_TOKEN = 1
ASK_TOKEN = 2
MOST_LATENCIES = 8.0  # mean latencies that a failed attempt counts as at most


# -- obligations -----------------------------------------------------------------------------------------
class Attempt:
    __slots__ = (
        "call",
        "counted",
        "idle",
        "late",
        "load",
        "number",
        "opened",
        "rescued",
        "sent_at",
        "server",
        "status",
    )

    def __init__(self, call: Call, number: int, server: Server, sent_at: float, load: float) -> None:
        self.call = call
        self.number = number
        self.server = server
        self.sent_at = sent_at
        self.load = load
        self.status = -1  # still out
        self.counted = True  # takes a place in W
        self.late = False  # has been counted as late
        self.idle = 0.0  # s that the connection had not been used; 0: in use or new
        self.opened = False  # the connection was new
        self.rescued = False


class Call:
    __slots__ = (
        "arrived",
        "asked",
        "asked_until",
        "attempts",
        "cls",
        "deadline",
        "ended",
        "id",
        "most_attempts",
        "order",
        "out",
        "queued",
        "streaming",
        "useful_until",
        "worth",
    )

    def __init__(
        self, id: int, cls: Kind, worth: float, arrived: float, deadline: float, useful: float
    ) -> None:
        self.id = id
        self.cls = cls
        self.worth = worth
        self.arrived = arrived
        self.deadline = deadline
        self.useful_until = useful
        self.order = (-worth, arrived, id)
        self.most_attempts = cls.most_attempts
        self.attempts: list[Attempt] = []
        self.out = 0
        self.ended = False
        self.streaming = False
        self.queued = False
        self.asked: list[Server] | None = None  # servers probed for this call alone
        self.asked_until = 0.0

    def __lt__(self, other: Call) -> bool:
        return self.order < other.order


class Obligations:
    """The one gate for every send and every final answer. Whatever the heuristics want, the rules hold."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        self.settings = settings
        self.actions = actions
        self.calls: dict[int, Call] = {}
        self.over: dict[int, None] = {}  # ids of the last calls that are over: no news

    @staticmethod
    def may_have_run(call: Call) -> Attempt | None:
        """The earliest attempt that ran, may have run or may still run."""
        for attempt in call.attempts:
            if attempt.status not in NEVER_EXECUTED:
                return attempt
        return None

    def may_send(self, call: Call, server: Server, now: float) -> bool:
        if call.ended or call.streaming or now >= call.deadline or server.state is not EndpointState.SERVING:
            return False
        if not call.attempts:
            return True
        if len(call.attempts) >= call.most_attempts or (call.out and not self.settings.can_hedge):
            return False
        first = self.may_have_run(call)
        if first is None or call.cls.effect is Idempotency.IDEMPOTENT:
            return True
        if call.cls.effect is Idempotency.NOT_IDEMPOTENT:
            return False
        return self.same_group(call.cls, first.server, server) and now - first.sent_at < call.cls.window

    @staticmethod
    def same_group(cls: Kind, one: Server, other: Server) -> bool:
        if cls.group == "all":
            return True
        if cls.group == "zone":
            return one.zone == other.zone
        return one.zone == other.zone and one.cell == other.cell

    def may_refuse(self, call: Call) -> bool:
        effect = call.cls.effect
        if effect is Idempotency.IDEMPOTENT or (
            effect is Idempotency.IDEMPOTENT_WITH_KEY and call.cls.group == "all"
        ):
            return True
        return self.may_have_run(call) is None

    def may_repeat(self, call: Call) -> bool:
        """Whether some further attempt could still be allowed."""
        if call.ended or call.streaming or len(call.attempts) >= call.most_attempts:
            return False
        return call.cls.effect is not Idempotency.NOT_IDEMPOTENT or self.may_have_run(call) is None

    def send(self, call: Call, server: Server, now: float, timeout: float, load: float) -> Attempt | None:
        if not self.may_send(call, server, now):
            return None
        attempt = Attempt(call, len(call.attempts), server, now, load)
        call.attempts.append(attempt)
        call.out += 1
        self.actions.append(
            StartAttempt(call.id, server.id, max(STEP / 10, min(timeout, call.deadline - now)))
        )
        return attempt

    def answer(self, call: Call, retry_after: float = 0.0) -> None:
        """The final answer: a refusal where it may be said that a further try is harmless, else a failure."""
        if call.ended:
            return
        if self.may_refuse(call):
            self.actions.append(Reject(call.id, retry_after))
        else:
            self.actions.append(Fail(call.id))
        self.end(call)

    def turn_away(self, id: int) -> None:
        """The one answer to what cannot be a call: its class is unknown or its time is over."""
        self.actions.append(Reject(id))
        self.remember(id)

    def remember(self, id: int) -> None:
        self.over[id] = None
        if len(self.over) > CALLS_REMEMBERED:
            del self.over[next(iter(self.over))]

    def end(self, call: Call) -> None:
        call.ended = True
        self.forget(call)

    def settle(self, attempt: Attempt, status: int, final: bool) -> None:
        call = attempt.call
        if attempt.status < 0:
            call.out -= 1
        attempt.status = status
        if final:
            call.ended = True
        self.forget(call)

    def forget(self, call: Call) -> None:
        if call.ended and not call.out:
            self.calls.pop(call.id, None)
            self.remember(call.id)


# -- admission -------------------------------------------------------------------------------------------
class Kind:
    """A class of requests with what was learned of it."""

    def __init__(self, cls: RequestClass, stage: int, most_attempts: int) -> None:
        self.name = cls.name
        self.most_attempts = min(cls.max_attempts or most_attempts, most_attempts)
        self.worth = cls.priority_weight
        self.aim = cls.latency_objective
        self.deadline = cls.deadline
        self.effect = cls.idempotency
        self.group = cls.idempotency_scope
        self.window = cls.idempotency_window
        self.late_counts = cls.late_weight_share > 0
        # The target of an inner call: a caller makes about two calls, one after another, at each tier.
        self.least_target = TARGET * cls.latency_objective / 2**stage
        # Until the unhurried latency is known the target is the loosest: where an instance sees a call a
        # second, a guess of the unhurried latency that is too low closes W on a quiet day and keeps it shut.
        self.target = MOST_TARGET * cls.latency_objective
        self.base = math.inf  # s, the mean latency when little is in the way
        self.mean = Mean(self.least_target / 2)
        self.budgets: deque[float] = deque(maxlen=BUDGETS)
        self.usual = 0.0
        self.fresh_budgets = 0
        self.rank = cls.priority_weight  # its worth among the classes when calls are refused for theirs

    def inherit(self, old: Kind) -> None:
        """What was learned of the class under its settings before."""
        self.base = old.base
        self.mean = old.mean
        self.budgets = old.budgets
        self.usual = old.usual

    def set_rank(self, others: Iterable[Kind]) -> None:
        """A class is refused before another only if its calls are worth less both by the call and by the time
        that they hold a place of W: if the two disagree, both count as the dearer. Guards against a cheap and
        quick class that gets nothing at an instance with many calls, for no gain in worth. Harm: a wrong mean
        makes two classes share what one of them should bear."""
        dearer = (
            other.worth
            for other in others
            if other.worth > self.worth and self.worth * other.mean.value >= other.worth * self.mean.value
        )
        self.rank = max(dearer, default=self.worth)

    def learn_base(self, span: float) -> None:
        """A target below what an unhurried call takes would close W on a quiet day."""
        mean = self.mean
        if mean.count >= BASE_SAMPLES:
            creep = 0.0 if math.isinf(self.base) else (mean.value - self.base) * span / BASE_MEMORY
            self.base = min(mean.value, self.base + creep)
            self.target = max(self.least_target, min(BASE_RATIO * self.base, MOST_TARGET * self.aim))

    def usual_budget(self, budget: float) -> float:
        """The median of the recent budgets, renewed now and then."""
        self.budgets.append(budget)
        self.fresh_budgets += 1
        if self.fresh_budgets >= BUDGETS // 4 or len(self.budgets) < BUDGETS // 4:
            self.fresh_budgets = 0
            self.usual = sorted(self.budgets)[len(self.budgets) // 2]
        return self.usual


class Mean:
    """A running mean of the last few samples, from a prior."""

    __slots__ = ("count", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self.count = 0.0

    def add(self, sample: float, memory: float) -> None:
        self.count = min(self.count + 1, memory)
        self.value += (sample - self.value) / self.count


class Admission:
    """procQ, the arrival rate, the history H of worths, the window W and the cut that follows from them."""

    def __init__(self, stage: int, random: Random) -> None:
        self.stage = stage
        self.random = random
        self.latency = Mean(0.0)
        self.age = 0.0  # mean age of the calls out
        self.rate = 0.0
        self.rate_span = 0.0
        self.history: deque[float] = deque(maxlen=HISTORY)
        self.window = FIRST_WINDOW
        self.least = LEAST_WINDOW
        self.starting = True  # W grows by half each round until the first bad sign
        self.good_row = 0  # answers in time on end while W was what limited
        self.cut = -math.inf
        self.tie = 0.0

    @property
    def proc(self) -> float:
        # A hung server finishes nothing, so the ages of what is out count too.
        return max(self.latency.value, 0.5 * self.age)

    def observe_rate(self, arrivals: int, span: float) -> None:
        self.rate_span = min(self.rate_span + span, MEMORY)
        self.rate += (arrivals / span - self.rate) * min(1.0, span / self.rate_span)

    def observe_latency(self, latency: float) -> None:
        self.latency.add(latency, max(FEWEST_SAMPLES, self.rate * MEMORY))

    def set_least(self, servers: int, balancers: int) -> None:
        """With more instances than servers, two calls of each would crowd every server. Inner tiers keep
        the floor: a refusal there loses the work above."""
        if self.stage == 0:
            self.least = min(LEAST_WINDOW, max(1.0, LEAST_PER_SERVER * servers / balancers))

    def step(self) -> float:
        return min(MOST_STEP * self.window, 1 / math.sqrt(self.window))

    def good(self, busy: float) -> None:
        """An answer within its target. W grows only while it is what limits. A long row of these tells that W
        is far below where it would stand: it grows as at the start, until the next bad sign. Guards against
        one bad sign in the first seconds of an instance that gets several times the others' calls: at under a
        call a round W would need minutes, and meanwhile all but the dearest calls are refused. Harm: by
        chance W rises by some calls too many now and then."""
        if busy + 1 >= SLACK * self.window:
            self.good_row += 1
            quick = self.starting or self.good_row >= SURE
            self.window += FIRST_STEP if quick else LATE_SHARE / (1 - LATE_SHARE) * self.step()

    def bad(self) -> None:
        self.starting = False
        self.good_row = 0
        self.window = max(self.least, self.window - self.step())

    def rescale(self, ratio: float) -> None:
        """The servers in use can hold that many times what they could. Guards against a window that has
        shrunk to the few servers of a release and grows back by a tenth of a call at a time, while all but
        the dearest calls are refused. Harm: a server that is listed before it is as good as its weight says
        gets its part of calls for as long as W takes to shrink."""
        self.window = max(self.least, self.window * ratio)

    def drop(self) -> float:
        if self.latency.count < FEWEST_SAMPLES or len(self.history) < FEWEST_SAMPLES or self.rate <= 0:
            return 0.0
        supported = self.window / max(self.proc, 1e-6) * (1 + SUNK * self.stage)
        return max(0.0, 1 - supported / self.rate)

    def set_cut(self) -> None:
        target = self.drop()
        if target <= 0:
            self.cut = -math.inf
            self.tie = 0.0
            return
        count = len(self.history)
        below = 0.0
        counts: dict[float, int] = {}
        for worth in self.history:
            counts[worth] = counts.get(worth, 0) + 1
        for worth in sorted(counts):
            share = counts[worth] / count
            if below + share >= target - 1e-12:
                # Worth has few levels: ties at the cut are refused by chance, up to the target.
                self.cut = worth
                self.tie = (target - below) / share
                return
            below += share

    def admits(self, worth: float) -> bool:
        if worth == self.cut:
            return self.random.random() >= self.tie
        return worth > self.cut


# -- servers ---------------------------------------------------------------------------------------------
class Server:
    def __init__(self, entry: EndpointEntry, tokens: float) -> None:
        self.id = entry.endpoint_id
        self.tokens = tokens  # of the cold budget
        self.told(entry)
        self.out = 0  # own attempts out
        self.ejected_until = 0.0  # 0: in use
        self.ejections = 0
        self.trial = False  # back on trial: one call at a time
        self.last_ok = 0.0
        self.probe_out = False
        self.probed_at = -math.inf
        self.fresh()

    def told(self, entry: EndpointEntry) -> None:
        self.zone = entry.zone
        self.cell = entry.cell
        self.state = entry.state
        self.hint = max(entry.weight, 1e-3)
        self.started_at = entry.started_at
        self.ramp_from = entry.started_at
        self.wanted = entry.reinstated  # it is owed a call
        self.not_before = entry.not_before

    def fresh(self) -> None:
        """Forget what was learned: the process is another one."""
        self.heard_at = -math.inf  # its last answer to a call or a probe, whatever it said
        self.breaks = 0  # connections broken or refused since
        self.load_sum = 0.0
        self.latency_sum = 0.0
        self.errors = 0.0  # running share of errors
        self.failing: dict[str, tuple[float, float]] = {}  # by class: share not served, as of when
        self.usual = 0.0
        self.last_report = 0.0
        self.reported_at = -math.inf
        self.since = 0  # own sends less own answers since the report
        self.slow_streak = 0
        self.used_at = -math.inf  # the last send or answer
        # while it has no room for more connections
        self.most_out = 0
        self.most_out_until = 0.0
        self.unopened = 0  # connects that failed since one that served
        self.fail_streak = 0


class Servers:
    """The list, the pool that this instance uses, server health and the pick."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.share = 1.0  # of what an instance may do by the settings: less or more where others live
        self.random = random
        self.known: dict[int, Server] = {}
        self.pool: list[Server] = []
        self.mean_load = Mean(1.0)
        self.zone_load: dict[str, Mean] = {}  # reported calls for each unit of size
        self.errors = Mean(0.0)
        self.send_rate = 0.0
        self.peak_rate = 0.0
        self.unit = 0.1  # s, the mean latency of a call
        self.aim = max(cls.latency_objective for cls in settings.classes)
        self.idle_safe = (
            settings.connection_idle_timeout
        )  # s without use after which a connection is still trusted
        self.on_open, self.on_new = Mean(1.0), Mean(1.0)  # mean latencies of a call on such

    def take_list(self, event: EndpointListUpdate, now: float) -> None:
        if event.scope is ListScope.FAILED:
            return
        named = set()
        for entry in event.entries:
            named.add(entry.endpoint_id)
            server = self.known.get(entry.endpoint_id)
            if server is None:
                if entry.state is not EndpointState.REMOVED:
                    self.known[entry.endpoint_id] = Server(entry, self.random.random())
                continue
            restarted = entry.started_at > server.started_at
            ramp_from = server.ramp_from
            wanted = server.wanted
            server.told(entry)
            server.wanted |= wanted and server.state is EndpointState.SERVING
            if restarted:
                server.fresh()
                server.tokens = 1.0 if server.wanted else self.random.random()
                server.ejected_until = 0.0
                server.trial = False
            else:
                server.ramp_from = max(ramp_from, entry.started_at)
        if event.scope is not ListScope.INCREMENTAL:
            for server in self.known.values():
                if server.id not in named:
                    server.state = EndpointState.REMOVED
        for server in [s for s in self.known.values() if s.state is EndpointState.REMOVED and not s.out]:
            del self.known[server.id]
        self.fill_pool(now)

    def fill_pool(self, now: float) -> None:
        """A bounded pool, so that probes and connections don't grow as instances x servers.

        Each zone's servers form a ring; instances start at places spread evenly by their number.
        """
        zones: dict[str, list[Server]] = {}
        for id in sorted(self.known):
            server = self.known[id]
            if server.state is EndpointState.SERVING:
                zones.setdefault(server.zone, []).append(server)
        place = self.settings.proxy_index * 0.6180339887498949 % 1.0
        pool: list[Server] = []
        others: list[list[Server]] = []
        for zone in sorted(zones):
            ring = zones[zone]
            start = int(place * len(ring))
            ring = ring[start:] + ring[:start]
            ring = [s for s in ring if not s.ejected_until] + [s for s in ring if s.ejected_until]
            if zone == self.settings.zone:
                pool = ring[:POOL_LOCAL]
            else:
                others.append(ring)
        place_of = 0
        while len(pool) < POOL and any(len(ring) > place_of for ring in others):
            for ring in others:
                if len(ring) > place_of and len(pool) < POOL:
                    pool.append(ring[place_of])
            place_of += 1
        self.pool = pool

    def fade(self, span: float) -> None:
        """What is believed of a server that gets no calls must not keep it without calls. Guards against a
        few slow answers, whatever their cause, that stay a server's last word. Harm: a slow server gets a
        call now and then."""
        share = math.exp(-span / PACE_MEMORY)
        for server in self.pool:
            server.load_sum *= share
            server.latency_sum *= share

    def ramp(self, server: Server, now: float) -> float:
        """Share of its capacity that a server surely has: it warms no slower than evenly."""
        age = now - server.ramp_from
        if server.ramp_from <= 0 or age >= self.settings.slow_start_window:
            return 1.0
        from_share = self.settings.slow_start_initial_share
        return from_share + (1 - from_share) * max(0.0, age) / self.settings.slow_start_window

    def fill_tokens(self, now: float, span: float) -> None:
        """A cold server looks idle to every instance at once: each may send no more than its fair share of
        what the server can do by now, so that all together stay under the budget of any window."""
        total = sum(server.hint for server in self.pool)
        share = COLD_SHARE * self.settings.overload_multiple * self.share
        # The peak, not the present rate: else few sends allow fewer still, and a fleet in a roll stays cold.
        self.peak_rate = max(self.send_rate, self.peak_rate * (1 - span / PEAK_MEMORY))
        for server in self.pool:
            ramp = self.ramp(server, now)
            if ramp < 1:
                rate = self.peak_rate * server.hint / total * ramp * share
                server.tokens = min(1.0 + rate * STEP, server.tokens + rate * span)

    def capacity(self, now: float) -> float:
        """Of the pool, by weights and how far cold ones have surely come; ejected ones count, too."""
        return sum(server.hint * self.ramp(server, now) for server in self.pool)

    @property
    def hint_mean(self) -> float:
        return sum(server.hint for server in self.pool) / len(self.pool)

    def usable(self, server: Server, now: float) -> bool:
        if server.state is not EndpointState.SERVING or server.ejected_until:
            return False
        if now < server.not_before:
            return False
        if server.trial and server.out:
            return False
        if server.out >= server.most_out and now < server.most_out_until:
            return False
        return server.tokens >= 1 or self.ramp(server, now) >= 1

    def load(self, server: Server, now: float) -> float:
        """Calls that a server is taken to hold. What is not known of a server, or known no more, is taken
        from its zone. Guards against a crowd on servers that look idle because nobody asked them, where calls
        and so reports are few. Harm: one busy server makes its unasked neighbours look busy too."""
        fade = 2 * self.unit + STEP
        zone = self.zone_load.get(server.zone)
        usual = server.usual
        if zone is not None:
            age = server.reported_at - now
            usual = zone.value * server.hint
            usual += (server.usual - usual) * math.exp(age / (USUAL_FADES * fade))
        load = usual + server.since
        if server.last_report != usual:
            load += (server.last_report - usual) * math.exp((server.reported_at - now) / fade)
        return max(load, server.out)

    def learn_failing(self, server: Server, cls: Kind, failed: bool, now: float) -> None:
        share = self.failing(server, cls, now)
        server.failing[cls.name] = share + (failed - share) * FAILING_STEP, now

    def failing(self, server: Server, cls: Kind, now: float) -> float:
        share, at = server.failing.get(cls.name, (0.0, now))
        return share * math.exp((at - now) / FAILING_MEMORY)

    def usual_failing(self, cls: Kind, now: float) -> float:
        """What the pool fails of a class. A server that fails more may serve other classes well, and so looks
        idle and quick. Guards against servers that turn away or fail one kind of request (a bad version, a
        limit or a store of its own that is down), at once or slowly. Harm: under overload chance makes some
        servers look worse; what all fail counts against none."""
        return sum(self.failing(server, cls, now) for server in self.pool) / max(1, len(self.pool))

    def pick(self, call: Call, gate: Obligations, now: float) -> tuple[Server, float] | None:
        best: Server | None = None
        best_cost = math.inf
        best_load = math.inf
        tried = {attempt.server.id for attempt in call.attempts}
        mean_hint = self.hint_mean if self.pool else 1.0
        crossing = CROSSING * self.settings.price_cross_zone * self.aim / self.unit
        opening = self.opening
        zone = self.settings.zone
        prior = PRIOR * self.mean_load.value / mean_hint
        usual = self.usual_failing(call.cls, now)
        for server in self.pool:
            if not self.usable(server, now):
                continue
            load = self.load(server, now)
            cost = (load + 1) * (PRIOR + server.latency_sum) / (prior * server.hint + server.load_sum)
            if server.ramp_from > 0:
                cost /= self.ramp(server, now)
            if server.zone != zone:
                cost += crossing
            if not server.out and now - server.used_at > self.idle_safe:
                cost += opening
            if server.id in tried:
                cost += MOST_LATENCIES
            cost += MOST_LATENCIES * max(0.0, self.failing(server, call.cls, now) - usual)
            cost *= 1 + 0.01 * self.random.random()
            if server.wanted:
                # Cold beside idle warm ones it would get nothing, and who put it back would think it lost.
                cost = 0.0
            if cost < best_cost and gate.may_send(call, server, now):
                best = server
                best_cost = cost
                best_load = load
        return (best, best_load) if best is not None else None

    # connections
    def idle(self, server: Server, now: float) -> float:
        """How long the connection to a server has not been used; 0: in use, or there is none."""
        age = now - server.used_at
        return 0.0 if server.out or age >= self.settings.connection_idle_timeout else age

    def warm(self, server: Server, now: float) -> bool:
        return server.out > 0 or now - server.used_at <= self.idle_safe

    @property
    def opening(self) -> float:
        """Mean latencies that a new connection adds, as seen. Guards against slow handshakes, whatever their
        cause: calls keep to open connections. Harm: they crowd fewer servers, so the cost is only added to
        the load. Few samples err by a few tenths."""
        return max(OPEN_LEAST, self.on_new.value - self.on_open.value)

    def lost_idle(self, attempt: Attempt, now: float) -> bool:
        """Something between here and the server drops idle connections unseen: what is sent on one is reset
        at once or never answered. That is the connection's fault: the server stays, and connections as old
        are closed before they are used. Harm: if the server was at fault after all, it gets one more call,
        and some good connections are opened anew."""
        if attempt.idle < IDLE_LEAST or attempt.server.last_ok >= attempt.sent_at:
            return False
        self.idle_safe = max(IDLE_LEAST, min(self.idle_safe, IDLE_SHARE * attempt.idle))
        return True

    def alive(self, server: Server, now: float) -> bool:
        """One broken connection says nothing of a server that has just answered on others. Guards against
        resets that strike connections one by one (a network that drops them, a middle box, a worker or a
        listener that restarts behind the address): taken for deaths they emptied the pool, while all that
        was sent was answered. A process that died breaks several at once and answers none: it is left at the
        third. Harm: one that dies with few calls out gets up to two more, which are refused at once."""
        return now - server.heard_at < ALIVE and server.breaks < BREAKS

    # health
    def heard(self, server: Server, now: float) -> None:
        server.heard_at = now
        server.breaks = 0

    def eject(self, server: Server, now: float, hard: bool) -> bool:
        if server.ejected_until:
            return False
        # When everything is slow, no server is at fault.
        if not hard and sum(1 for s in self.pool if s.ejected_until) + 1 > EJECT_SHARE * len(self.pool):
            return False
        length = min(EJECT_LONGEST, EJECT_FIRST * 2**server.ejections)
        server.ejections += 1
        server.ejected_until = now + length * (0.75 + 0.5 * self.random.random())
        server.trial = False
        return True

    def readmit(self, server: Server, now: float) -> None:
        server.ejected_until = 0.0
        server.trial = True
        server.errors = 0.0
        server.slow_streak = 0
        server.fail_streak = 0
        server.since = server.out

    def report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        figure = report.get("busy_reqs") if report else None
        if figure is None or not 0 <= figure < math.inf:
            return
        server.usual += (figure - server.usual) * (0.3 if server.reported_at > 0 else 1.0)
        server.last_report = figure
        zone = self.zone_load.setdefault(server.zone, Mean(0.0))
        zone.add(figure / server.hint, ZONE_REPORTS)
        server.reported_at = now
        server.since = 0


# -- the balancer ----------------------------------------------------------------------------------------
class Balancer:
    """One instance. `handle` takes in all events of a batch, then queues, then dispatches the worthiest."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.gate = Obligations(settings, self.actions)
        self.kinds = {
            cls.name: Kind(cls, settings.tier_index, settings.max_attempts) for cls in settings.classes
        }
        self.admission = Admission(settings.tier_index, self.random)
        self.servers = Servers(settings, self.random)
        self.instances = settings.proxy_count  # before these servers
        self.told_instances = False
        self.quota_left: dict[str, float] = {}
        self.set_quotas()
        self.queue: list[Call] = []
        self.out: dict[tuple[int, int], Attempt] = {}
        self.busy = 0  # attempts that take a place in W
        self.arrivals = 0
        self.sends = 0
        self.retry_tokens = RETRY_BURST
        self.probe_tokens = FIRST_PROBES
        self.asks = settings.can_check_health and ASK * settings.price_probe <= ASK_SPEND
        self.now = 0.0
        self.last_step = -1.0
        self.capacity = 0.0  # of the servers in use, as W knows it
        self.stalled = False  # this batch comes after a pause of the instance's own
        self.timer_set = False
        self.watching = not settings.polls_discovery
        self.watch_at = -1.0
        self.watch_fails = 0
        self.told_at = 0.0  # the last list, or the start of a watch
        self.doubt_at = math.inf  # when to ask although a watch is on

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        self.now = now
        self.stalled = 0 <= self.last_step < now - STALL
        self.actions.clear()
        fresh: list[Call] = []
        for event in events:
            if type(event) is AttemptEnded:
                self.on_outcome(event)
            elif type(event) is RequestArrived:
                self.on_arrival(event, fresh)
            elif type(event) is TimerFired:
                if event.token == TICK_TOKEN:
                    self.timer_set = False
            elif type(event) is HealthCheckEnded:
                self.on_probed(event)
            elif type(event) is EndpointListUpdate:
                self.on_list(event)
            elif type(event) is RequestAbandoned:
                self.on_gone(event)
            elif type(event) is StreamStarted:
                self.on_stream(event)
            elif type(event) is SettingsUpdated:
                self.on_settings(event.settings)
            elif type(event) is ProxyCountUpdated:
                self.on_instances(event.count)
        if self.last_step < 0:
            self.start()
        elif now - self.last_step >= STEP - 1e-9:
            self.step()
        for call in fresh:
            if not call.ended:  # the client may leave within the batch that it came in
                self.admit(call)
        self.dispatch()
        self.shrink()
        if not self.timer_set:
            self.timer_set = True
            self.actions.append(SetTimer(STEP, TICK_TOKEN))
        return list(self.actions)

    def start(self) -> None:
        self.last_step = self.now
        # Discovery is small and all instances may start at once: the first call is spread out.
        self.watch_at = self.now + self.random.random() * min(2.0, self.settings.max_poll_interval / 4)

    def set_quotas(self) -> None:
        settings = self.settings
        self.quota = {t.name: t.quota_per_s / self.instances for t in settings.tenants}
        self.quota_left = {name: self.quota_left.get(name, quota) for name, quota in self.quota.items()}

    @property
    def avoided(self) -> list[int]:
        """Servers that serve as far as is told, and are sent nothing for what was seen of them."""
        known = self.servers.known.values()
        return [s.id for s in known if s.ejected_until and s.state is EndpointState.SERVING]

    # events
    def on_instances(self, count: int) -> None:
        """Fewer share the servers, so each may take more of what all may; or more, and less."""
        self.instances = max(1, count)
        self.told_instances = True
        self.servers.share = self.settings.proxy_count / self.instances
        self.set_quotas()
        self.admission.set_least(len(self.servers.known), self.instances)

    def on_settings(self, settings: Settings) -> None:
        """Calls hold on to their own Kind, so one under way ends by the rules that it came under."""
        self.settings = self.gate.settings = self.servers.settings = settings
        if not self.told_instances:
            self.instances = settings.proxy_count
        self.servers.share = settings.proxy_count / self.instances
        self.servers.aim = max(cls.latency_objective for cls in settings.classes)
        old = self.kinds
        self.kinds = {
            cls.name: Kind(cls, settings.tier_index, settings.max_attempts) for cls in settings.classes
        }
        for name, kind in self.kinds.items():
            if name in old:
                kind.inherit(old[name])
        self.asks = settings.can_check_health and ASK * settings.price_probe <= ASK_SPEND
        self.set_quotas()

    def on_list(self, event: EndpointListUpdate) -> None:
        if event.scope is ListScope.FAILED:
            self.watching = False
            self.watch_fails += 1
            longest = min(1.0 * 2**self.watch_fails, self.settings.max_poll_interval)
            self.watch_at = self.now + longest * (0.5 + 0.5 * self.random.random())
        else:
            if event.scope is not ListScope.CACHED:
                self.watch_fails = 0
                self.told_at = self.now
                self.doubt_at = math.inf
            self.servers.take_list(event, self.now)
            self.admission.set_least(len(self.servers.known), self.instances)

    def on_arrival(self, event: RequestArrived, fresh: list[Call]) -> None:
        if event.request_id in self.gate.calls or event.request_id in self.gate.over:
            return
        cls = self.kinds.get(event.class_name)
        if cls is None or not 0 < event.time_budget < math.inf:
            self.gate.turn_away(event.request_id)
            return
        self.arrivals += 1
        now = self.now
        by_work = self.settings.weight_by_work and event.expected_work > 0
        worth = (
            cls.worth * event.weight_share * event.expected_work if by_work else cls.rank * event.weight_share
        )
        if self.settings.tier_index == 0 and event.tenant in self.quota:
            if self.quota_left[event.tenant] >= 1:
                self.quota_left[event.tenant] -= 1
            else:
                worth *= self.settings.over_quota_weight_share
        left = self.aim_left(cls, event.stated_budget or event.time_budget, event.is_retry)
        useful = event.time_budget if cls.late_counts else min(event.time_budget, left)
        call = Call(event.request_id, cls, worth, now, now + event.time_budget, now + useful)
        if event.max_attempts:
            call.most_attempts = min(event.max_attempts, cls.most_attempts)
        self.gate.calls[call.id] = call
        self.admission.history.append(worth)
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_SHARE)
        fresh.append(call)

    def admit(self, call: Call) -> None:
        # W grows only while it is what limits. A cut that keeps it from filling would keep itself in force.
        slack = self.busy + len(self.queue) + 1 <= SLACK * self.admission.window
        if (slack or self.admission.admits(call.worth)) and call.useful_until > self.now:
            self.hold(call)
        else:
            self.refuse(call)

    def aim_left(self, cls: Kind, budget: float, resent: bool) -> float:
        """What is left of the aim. An inner call's budget is what its caller's instance left it: its useful
        time. At the first tier a budget below the usual one tells that the client's whole time runs out, so
        how long it has waited over its earlier tries. Guards against work for answers that come too late,
        and (the median, not the longest) against a few odd budgets making every first try look late. Where
        clients mark their retries, one that is not marked has not waited, however short its budget. Harm: a
        client that forgets the mark gets work that comes too late."""
        first = self.settings.clients_mark_retries and not resent
        usual = cls.usual_budget(budget)  # also learned from first tries
        if self.settings.tier_index or first or budget >= usual - STEP:
            return cls.aim
        return cls.aim - (cls.deadline - budget)

    def hold(self, call: Call) -> None:
        call.queued = True
        insort(self.queue, call)

    def advice(self) -> float:
        """When a refused client should come back: by then the calls that fill W now have been answered. A
        client that is told nothing comes back sooner, into the same crowd."""
        if not self.settings.can_send_retry_after:
            return 0.0
        return min(self.settings.max_retry_after, max(STEP, ADVICE * self.admission.proc))

    def refuse(self, call: Call) -> None:
        self.gate.answer(call, self.advice())

    def on_gone(self, event: RequestAbandoned) -> None:
        call = self.gate.calls.get(event.request_id)
        if call is None or call.ended:
            return
        if call.queued:
            self.queue.remove(call)
            call.queued = False
        self.gate.end(call)
        self.cancel_others(call)

    def cancel_others(self, call: Call) -> None:
        if call.out and self.settings.can_cancel and not call.streaming:
            for attempt in call.attempts:
                if attempt.status < 0:
                    self.actions.append(CancelAttempt(call.id, attempt.number))

    def on_stream(self, event: StreamStarted) -> None:
        attempt = self.out.get((event.request_id, event.attempt_number))
        if attempt is not None:
            attempt.call.streaming = True
            if attempt.counted:
                attempt.counted = False
                self.busy -= 1

    def on_outcome(self, event: AttemptEnded) -> None:
        attempt = self.out.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return
        call = attempt.call
        server = attempt.server
        cls = attempt.call.cls
        now = self.now
        status = event.status
        busy = self.busy
        server.out -= 1
        if status != AttemptStatus.NOT_SENT:
            server.since -= 1
        if status == AttemptStatus.OK:
            server.used_at = now
        if attempt.counted:
            self.busy -= 1
        was_ended = call.ended
        self.gate.settle(attempt, status, event.is_final)
        self.servers.report(server, event.load_report, now)
        self.learn(attempt, status, event.elapsed, busy)
        if call.ended:
            if not was_ended:
                if call.queued:
                    self.queue.remove(call)
                    call.queued = False
                self.cancel_others(call)
            return
        if call.out or call.queued:
            return
        left = call.useful_until - now
        # What never ran has multiplied no work; in an inner tier giving it up wastes the work above.
        price = RETRY_UNSEEN if status in NEVER_EXECUTED else 1.0
        if self.gate.may_repeat(call) and left > cls.mean.value and self.retry_tokens >= price:
            self.retry_tokens -= price
            self.hold(call)
        else:
            self.refuse(call)

    def learn(self, attempt: Attempt, status: int, elapsed: float, busy: int) -> None:
        """What an outcome says of procQ, W and the server."""
        cls = attempt.call.cls
        server = attempt.server
        admission = self.admission
        servers = self.servers
        now = self.now
        if status in (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT):
            return
        if attempt.call.streaming:
            if status in (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.REJECTED):
                servers.heard(server, now)
            return
        if self.stalled and status in (AttemptStatus.OK, AttemptStatus.TIMEOUT):
            # The instance stood still: what looks slow or overdue was answered long ago. Guards against
            # reading one's own pause as slow servers, closing W and ejecting them. Harm: what was slow
            # meanwhile is learned a turn later.
            if status == AttemptStatus.OK:
                server.last_ok = now
                servers.heard(server, now)
            return
        elapsed = max(elapsed, LEAST_LATENCY)
        ok = status == AttemptStatus.OK
        own = servers.failing(server, cls, now) > servers.usual_failing(cls, now) + ERROR_EXCESS
        if ok or status in (AttemptStatus.ERROR, AttemptStatus.REJECTED):
            servers.heard(server, now)
            servers.learn_failing(server, cls, not ok, now)
        broken = status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)
        server.breaks += broken
        lost = status == AttemptStatus.RESET and servers.lost_idle(attempt, now)
        excused = broken and (lost or servers.alive(server, now))
        if ok or (status == AttemptStatus.TIMEOUT and not server.ejected_until):
            admission.observe_latency(elapsed)
            cls.mean.add(elapsed, 50)
        if ok and elapsed <= cls.target:
            admission.good(busy)
        elif status == AttemptStatus.ERROR:
            if server.errors <= servers.errors.value + 0.1:  # not this server's own fault
                admission.bad()
        elif status == AttemptStatus.REJECTED and own:
            pass  # this server's own fault too
        elif (
            not attempt.late
            and attempt.counted
            and (ok or status in (AttemptStatus.TIMEOUT, AttemptStatus.REJECTED))
        ):
            admission.bad()
        # capacity: calls held against latency in units of the class's mean
        latency = elapsed / cls.mean.value
        if ok or (status == AttemptStatus.CONNECT_FAILED and elapsed > 0.1 * cls.mean.value):
            spent = min(MOST_LATENCIES, latency + (not ok))
            (servers.on_new if attempt.opened else servers.on_open).add(spent, OPEN_MEMORY)
        if not ok:
            # A fast-failing server looks idle: a failure counts as a slow answer.
            latency = MOST_LATENCIES
        # What was only the connection's fault tells nothing of its server's pace.
        if status not in (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED) and not excused:
            latency = min(latency, MOST_LATENCIES)
            server.latency_sum = server.latency_sum * FORGET + latency
            server.load_sum = server.load_sum * FORGET + attempt.load + 1
            servers.mean_load.add(attempt.load + 1, 100)
        failed = status in (AttemptStatus.ERROR, AttemptStatus.RESET)
        server.errors += (failed - server.errors) * 0.2
        servers.errors.add(float(failed), 100)
        if ok:
            server.last_ok = now
            if attempt.opened:
                server.unopened = 0
            server.slow_streak = 0
            server.fail_streak = 0
            if server.trial:
                server.trial = False
            elif server.ejections and not server.ejected_until:
                server.ejections = 0
        elif broken:
            if not excused:
                self.eject(server, hard=True)
            elif status == AttemptStatus.CONNECT_FAILED:
                # It answers others of ours, so it has no room for a further connection: ejecting it would
                # push its calls, and connections, onto the rest. Use what is open. One failure may be chance.
                server.unopened += 1
                if server.unopened >= UNOPENED:
                    server.most_out = max(1, server.out)
                    server.most_out_until = now + CONNECTIONS_FULL
            failed = False  # nothing was answered: no sign of one that fails what it gets
        elif status == AttemptStatus.TIMEOUT:
            servers.lost_idle(attempt, now)
            server.slow_streak += 1
            if server.trial or (server.slow_streak >= 3 and server.last_ok < attempt.sent_at):
                self.eject(server, hard=False)
        if failed and (server.trial or server.errors > servers.errors.value + ERROR_EXCESS):
            self.eject(server, hard=False)

    def eject(self, server: Server, hard: bool) -> None:
        if not self.servers.eject(server, self.now, hard):
            return
        for attempt in self.out.values():
            if attempt.server is server and attempt.counted:
                attempt.counted = False
                self.busy -= 1
        self.servers.fill_pool(self.now)

    def on_probed(self, event: HealthCheckEnded) -> None:
        server = self.servers.known.get(event.endpoint_id)
        if server is None:
            return
        server.probe_out = False
        if event.status == AttemptStatus.OK:
            self.servers.heard(server, self.now)
            server.fail_streak = 0
            self.servers.report(server, event.load_report, self.now)
            if server.ejected_until and self.now >= server.ejected_until:
                self.servers.readmit(server, self.now)
                self.servers.fill_pool(self.now)
        elif event.status != AttemptStatus.REJECTED:
            server.fail_streak += 1
            if server.ejected_until:
                if event.status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.ERROR):
                    self.doubt()
                server.ejected_until = self.now + min(EJECT_LONGEST, EJECT_FIRST * 2**server.ejections)
                server.ejections = min(server.ejections + 1, 6)
            elif server.fail_streak >= 2 and server.last_ok < self.now - self.servers.unit:
                self.eject(server, hard=True)

    # the control step
    def step(self) -> None:
        now = self.now
        span = now - self.last_step
        self.last_step = now
        admission = self.admission
        servers = self.servers
        admission.observe_rate(self.arrivals, span)
        servers.send_rate += (self.sends / span - servers.send_rate) * min(1.0, span / MEMORY)
        self.arrivals = 0
        self.sends = 0
        for name, quota in self.quota.items():
            self.quota_left[name] = min(max(1.0, quota), self.quota_left[name] + quota * span)
        for cls in self.kinds.values():
            cls.learn_base(span)
            cls.set_rank(self.kinds.values())
        self.watch()
        self.watch_ages()
        if admission.latency.count:
            servers.unit = max(admission.latency.value, 1e-3)
        servers.fill_tokens(now, span)
        servers.fade(span)
        servers.idle_safe = min(
            self.settings.connection_idle_timeout, servers.idle_safe * (1 + span / IDLE_DOUBLES)
        )
        self.probe(span)
        capacity = servers.capacity(now)
        if capacity > 0:
            if self.capacity > 0:
                admission.rescale(capacity / self.capacity)
            self.capacity = capacity
        admission.set_cut()

    def watch(self) -> None:
        if (not self.watching and self.now >= self.watch_at) or self.now >= self.doubt_at:
            self.watching = True
            self.told_at = self.now
            self.doubt_at = math.inf
            self.actions.append(WatchEndpoints(True))

    def doubt(self) -> None:
        """A listed server that goes on refusing contradicts the list, and nothing was told for a while: the
        watch may be held by what no longer answers. A new one tells at once what was missed. Guards against
        watches that hang or are lost unseen, and lists that are late. Harm: where servers crash, each
        instance that sees it asks once more in DOUBT_SPACING, spread out."""
        if self.settings.polls_discovery and self.watching and math.isinf(self.doubt_at):
            soonest = max(self.now, self.told_at + DOUBT_SPACING)
            self.doubt_at = soonest + self.random.random() * DOUBT_SPREAD

    def watch_ages(self) -> None:
        """A hung server finishes nothing: the calls that are out tell by their age."""
        now = self.now
        total = 0.0
        counted = 0.0
        stuck: list[Attempt] = []
        for attempt in self.out.values():
            if attempt.call.streaming:
                continue  # how long that takes is its peers' matter
            age = now - attempt.sent_at
            cls = attempt.call.cls
            if attempt.counted:
                total += age
                counted += 1
                if not attempt.late and age > cls.target:
                    attempt.late = True
                    self.admission.bad()
            if age > RESCUE_AGE * cls.mean.value and not attempt.rescued:
                stuck.append(attempt)
        self.admission.age = total / counted if counted else 0.0
        for attempt in stuck:
            server = attempt.server
            if server.last_ok < attempt.sent_at and not server.ejected_until:
                attempt.rescued = True
                server.slow_streak += 1
                if server.slow_streak >= 2 or server.trial:
                    self.eject(server, hard=False)
            self.rescue(attempt)

    def rescue(self, attempt: Attempt) -> None:
        """A further attempt for a call that seems stuck, where its class allows it."""
        call = attempt.call
        if call.ended or call.streaming or call.queued or call.out > 1 or self.retry_tokens < 1:
            return
        if call.cls.effect is not Idempotency.IDEMPOTENT or not self.gate.may_repeat(call):
            return
        if call.useful_until - self.now < call.cls.mean.value:
            return
        attempt.rescued = True
        if self.settings.can_hedge:
            self.retry_tokens -= 1
            self.hold(call)
        elif self.settings.can_cancel:
            self.actions.append(CancelAttempt(call.id, attempt.number))

    def probe(self, span: float) -> None:
        if not self.settings.can_check_health or not self.servers.pool:
            return
        now = self.now
        rate = max(PROBES_LEAST * self.servers.share, PROBES_PER_CALL * self.admission.rate)
        self.probe_tokens = max(self.probe_tokens, min(2.0, self.probe_tokens + rate * span))
        for server in self.servers.known.values():
            due = server.ejected_until and now >= server.ejected_until and not server.probe_out
            if due and server.state is EndpointState.SERVING:
                self.send_probe(server)
        while self.probe_tokens >= 1 and not self.asks:
            idle = [s for s in self.servers.pool if not s.probe_out and not s.ejected_until]
            if not idle:
                break
            self.probe_tokens -= 1
            oldest = min(s.probed_at for s in idle)
            self.send_probe(self.random.choice([s for s in idle if s.probed_at == oldest]))

    def must_wait(self, call: Call) -> bool:
        """Where calls are so few that steady reports are older than a call's latency, and probes are cheap,
        a call's candidates are asked before it is sent. Guards against picks on stale reports when many
        instances share few calls."""
        if call.asked is None:
            call.asked = []
            servers = self.servers
            pace = max(PROBES_LEAST * servers.share, PROBES_PER_CALL * self.admission.rate)
            if call.attempts or call.deadline - self.now < 3 * ASK_WAIT:
                return False
            if len(servers.pool) < pace * servers.unit or servers.unit < 2 * ASK_WAIT:
                return False
            usable = [s for s in servers.pool if servers.usable(s, self.now)]
            warm = [s for s in usable if servers.warm(s, self.now)]
            call.asked = self.random.sample(warm, min(ASK - 1, len(warm)))
            others = [s for s in usable if s not in call.asked]
            call.asked += self.random.sample(others, min(ASK - len(call.asked), len(others)))
            for server in call.asked:
                if not server.probe_out:
                    self.send_probe(server)
            call.asked_until = self.now + ASK_WAIT
            self.actions.append(SetTimer(ASK_WAIT, ASK_TOKEN))
        return self.now < call.asked_until - 1e-9 and any(server.probe_out for server in call.asked)

    def send_probe(self, server: Server) -> None:
        server.probe_out = True
        server.probed_at = self.now + self.random.random() * 1e-3
        self.actions.append(CheckHealth(server.id))

    # the queue
    def dispatch(self) -> None:
        place = 0
        now = self.now
        queue = self.queue
        servers = self.servers
        while place < len(queue) and self.busy + 1 <= self.admission.window:
            call = queue[place]
            if self.busy and call.useful_until - now < call.cls.mean.value and not call.out:
                # It would most likely end too late: work for nothing. With nothing else out it is sent all
                # the same, so that a mean that rose too far can fall again.
                del queue[place]
                call.queued = False
                self.refuse(call)
                continue
            if self.asks and self.must_wait(call):
                place += 1
                continue
            choice = servers.pick(call, self.gate, now)
            if choice is None:
                if not call.attempts:
                    return
                place += 1
                continue
            server, load = choice
            until = call.deadline if call.cls.late_counts else max(call.useful_until, now + STEP)
            idle = servers.idle(server, now)
            if idle > servers.idle_safe and servers.opening < OPEN_DEAR:
                self.actions.append(CloseIdleConnections(server.id))
                idle = 0.0
                server.used_at = -math.inf
            opened = server.used_at < now - self.settings.connection_idle_timeout
            attempt = self.gate.send(call, server, now, until - now, load)
            del queue[place]
            call.queued = False
            if attempt is None:
                continue
            self.out[(call.id, attempt.number)] = attempt
            attempt.idle = idle
            attempt.opened = opened
            server.used_at = now
            server.out += 1
            server.since += 1
            server.wanted = False
            if servers.ramp(server, now) < 1:
                server.tokens -= 1
            self.busy += 1
            self.sends += 1

    def shrink(self) -> None:
        """A held call's wait is about (place+1)*procQ/W and must fit what is left of its usefulness."""
        if not self.queue:
            return
        now = self.now
        wait = self.admission.proc / self.admission.window
        kept: list[Call] = []
        for call in self.queue:
            left = call.useful_until - now
            fits = not kept or (len(kept) + 1) * wait + TAIL * call.cls.mean.value <= left
            # A call that asks its candidates goes out or comes back here before its deadline; one with less
            # than a mean latency left would be work for nothing, most of all where servers are crowded.
            asking = now < call.asked_until - 1e-9 and left > call.cls.mean.value
            if fits and left > 0 and (asking or call.deadline - now > ANSWER_MARGIN):
                kept.append(call)
            else:
                call.queued = False
                if not call.out:
                    self.refuse(call)
        self.queue[:] = kept
