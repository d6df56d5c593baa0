"""Puts recovery round a proxy: what it keeps, what it asks, what it says on lists and calls, and until when.

It decides nothing of its own: census, phases, trust, turns, overlay and advice do. As a filter it acts on
calls while service returns; once that is over it only notes keyed requests, where there is a store.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Protocol

from service_proxy.clock import Clock
from service_proxy.net.config import Config
from service_proxy.net.discovery import WALL_OFFSET
from service_proxy.net.filters import Headers, Ticket, Turned
from service_proxy.net.listing import Listed, Listing, server_id
from service_proxy.net.listing import address as address_of
from service_proxy.net.peers import Channel, View, Word
from service_proxy.net.server import Request
from service_proxy.net.upstream import Exchange
from service_proxy.operator_file import OperatorError, Problem, load
from service_proxy.operator_file import Recovery as Settings
from service_proxy.policy.events import (
    NEVER_EXECUTED,
    AttemptStatus,
    EndpointEntry,
    EndpointState,
    Idempotency,
)
from service_proxy.policy.events import Settings as ProxySettings
from service_proxy.recovery.async_store_writer import AsyncStoreWriter
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.peer_survey import (
    KnownMember,
    OutageFinding,
    Peer,
    RecoveryStatus,
    decode_status,
    determine_outage,
    encode_status,
)
from service_proxy.recovery.persisted_records import (
    BootRecord,
    EndpointRecord,
    EndpointSourceRecord,
    KeyedRequestRecord,
    MaintenanceRecord,
    MemberRecord,
)
from service_proxy.recovery.phases import (
    ADMISSION_BY_PHASE,
    LOCAL_OUTAGES,
    MIN_STABLE_S,
    AdmissionMode,
    Observation,
    RecoveryPhase,
    next_phase,
)
from service_proxy.recovery.retry_after import RetryAfterSchedule
from service_proxy.recovery.staggered_start import IMMEDIATE_STARTS
from service_proxy.recovery.store import StoreOwner
from service_proxy.recovery.store_directory import StoreDirectory, read_identifier
from service_proxy.recovery.validity_rules import (
    OutageScope,
    RestartContext,
    RetryPermission,
    Validity,
    assess,
    retry_permission,
)

log = logging.getLogger("service_proxy.recovery")

PORT = 2  # of this part's words and datagrams, among those that stand on the fleet
TICK = 0.25  # s between two looks
# to members: what do you say of your recovery?
QUESTION = b"?"
ANSWER = b"!"
MOST_ASKED = 4  # members at one look, of the own zone and of others
MOST_ANSWERS = 20_000  # members
PROBES = 4.0  # a second of a server that does not answer yet, by all proxies together
MOST_PROBES = 8  # at one look


class Dispatcher(Protocol):
    """What recovery wants of the driver."""

    calls_answered: int

    @property
    def held(self) -> int: ...

    @property
    def list_version(self) -> int: ...

    def probe(self, server: int) -> None: ...


class KeyedRequestTracker:
    """A keyed or unsafe request, from its first attempt on: net.filters.Ticket."""

    __slots__ = ("cls", "key", "recovery", "sent")
    due = math.inf
    attempts = 0
    share = 1.0
    stops = False

    def __init__(self, recovery: Recovery, key: str, cls: str) -> None:
        self.recovery = recovery
        self.key = key
        self.cls = cls
        self.sent = False

    def sending(self, timeout: float) -> bytes | None:
        if not self.sent:
            self.sent = True
            self.recovery.keep_request(self.key, self.cls)
        return b""

    def returned(self, exchange: Exchange, status: AttemptStatus) -> None:
        """One that never ran leaves nothing behind, as long as no other attempt did."""
        if status not in NEVER_EXECUTED:
            self.key = ""
        elif self.key:
            self.sent = False
            self.recovery.forget_request(self.key)

    def answering(self) -> Headers:
        return ()

    def ended(self, answered: bool) -> None: ...


class Recovery:
    """net.sources.Subsystem and net.filters.Filter."""

    takes: frozenset[bytes] = frozenset()

    def __init__(self, settings: Settings, config: Config, clock: Clock) -> None:
        """Reads the store, if there is one; nothing that is wrong with it keeps the proxy from serving."""
        self.settings = settings
        self.config = config
        self.clock = clock
        self.proxy = config.settings
        self.name = config.name or f"{config.listen[0]}:{config.listen[1]}"
        self.boot = read_identifier(Path(settings.boot_mark))
        self.keeper: AsyncStoreWriter | None = None
        if settings.store:
            owner = StoreOwner(self.name, read_identifier(Path(settings.machine_mark)))
            self.keeper = AsyncStoreWriter(StoreDirectory(Path(settings.store)), owner, clock)
        self.found = self.keeper.contents if self.keeper is not None else None
        last = self.found.state.boot if self.found is not None else None
        self.kept = last.boot_id == self.boot if last is not None and last.boot_id and self.boot else None
        self.starts = last.start_count + 1 if last is not None else 1
        self.last_seen = self.found.state.latest_time if self.found is not None else 0.0
        self.began = time.monotonic()
        self.phase = RecoveryPhase.UNAVAILABLE
        self.finding = OutageFinding(OutageScope.UNKNOWN, None, "nobody was asked yet")
        self.since = self.began  # of the phase
        self.endpoint_override = EndpointListOverride(self.name, self.proxy.slow_start_window, self.began)
        self.random = Random(config.seed)
        limits = self.proxy
        self.bookings = RetryAfterSchedule(
            config.seed,
            limits.slow_start_initial_share,
            limits.slow_start_window,
            limits.max_retry_after if limits.can_send_retry_after else 0.0,
        )
        self.answers: dict[bytes, RecoveryStatus] = {}  # of members, to this process
        self.asking = 0
        self.view: View | None = None
        self.channel: Channel | None = None
        self.word: Word | None = None
        self.driver: Dispatcher | None = None
        self.push: Callable[[Listing], None] = lambda listing: None
        self.current_maintenance: Callable[[], Mapping[str, float]] | None = None
        self.listed_by_source = False
        # probes that are left, and whose turn it is
        self.looks = 1.0
        self.looked = config.settings.proxy_index
        self.timer: asyncio.TimerHandle | None = None
        self.said = b""
        self.lost_at = 0  # wall time at which this process found that everybody had lost power
        self.in_maintenance: dict[str, float] = {}
        self.kept_members: dict[str, tuple[int, int]] = {}
        self.stamp = -1  # of the view that these are of
        self.list_news = False
        self.open_keys: deque[tuple[float, str]] = deque()  # of requests that are kept, until when
        self.begun_together: set[tuple[str, tuple[int, ...]]] = set()  # seen at their beginning: no survivors
        self.kept_servers: dict[str, EndpointRecord] = {}
        self.before: list[KnownMember] = []
        self._take_back()

    def _take_back(self) -> None:
        """What the store says of before, as far as it is trusted while nothing else is known."""
        if self.found is None:
            return
        state = self.found.state
        situation = self.situation
        self.before = [
            KnownMember(name, fact.zone)
            for name, fact in state.tables[MemberRecord.KIND].items()
            if isinstance(fact, MemberRecord) and assess(fact, situation).validity is not Validity.IGNORED
        ]
        servers = []
        for name, fact in state.tables[EndpointRecord.KIND].items():
            if isinstance(fact, EndpointRecord) and assess(fact, situation).validity is not Validity.IGNORED:
                self.kept_servers[name] = fact
                try:
                    servers.append(listed_of(name, fact))
                except ValueError:
                    log.error("store: the address of %s can't be read: %.60s", name, fact.address)
        self.endpoint_override.add_restored(servers)
        self.in_maintenance = {
            name: fact.recorded_at
            for name, fact in state.tables[MaintenanceRecord.KIND].items()
            if isinstance(fact, MaintenanceRecord) and not fact.is_returning
        }
        self.endpoint_override.in_maintenance = frozenset(self.in_maintenance)

    # what the assembly hands in
    def attach(
        self,
        driver: Dispatcher,
        push: Callable[[Listing], None],
        view: View | None,
        channel: Channel | None,
        word: Word | None,
    ) -> None:
        """`push`: brings a change of the list into force."""
        self.driver = driver
        self.push = push
        self.view = view
        self.word = word
        self.channel = channel
        if channel is not None:
            channel.receive(PORT, self._told)
        if view is None and self.kept is not False:
            # Nobody to ask, and nothing says that more ended than this process: as ever.
            self._go(RecoveryPhase.STEADY, "there is nobody to ask")

    @property
    def situation(self) -> RestartContext:
        found = self.found
        return RestartContext(
            self.clock.wall_time(),
            self.finding.scope,
            self.finding.affected_zones or frozenset(),
            self.last_seen,
            bool(found is not None and found.damage),
        )

    # net.sources.Subsystem
    def start(self) -> None:
        if self.keeper is not None:
            self.keeper.start()
            self.keeper.put("", BootRecord(self.starts, self.clock.wall_time(), "", self.boot))
        self._tick()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.keeper is not None:
            now = self.clock.wall_time()
            self.keeper.put("", BootRecord(self.starts, now, "", self.boot, now))
            self.keeper.stop()

    def reread(self, file: str) -> None:
        """All of it wants a restart."""
        if load(file).recovery != self.settings:
            text = "[recovery] can't change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "start the proxy anew")])

    # lists
    def override_list(self, listing: Listing) -> Listing:
        """Each list as it comes from a source."""
        self.list_news = True
        if self.driver is not None:
            self.listed_by_source |= bool(listing.backends)
        elif (
            not listing.backends and self.endpoint_override.known
        ):  # the platform knew nobody, and the store does
            listing = Listing(listing.version, listing.whole, list(self.endpoint_override.known.values()))
        doubted = self.endpoint_override.rejected_lists
        found = self.endpoint_override.apply(listing)
        if self.endpoint_override.rejected_lists != doubted:
            log.warning("a list of %d servers is not believed while service returns", len(listing.backends))
        return found

    def on_attempt_end(self, server: int, status: AttemptStatus) -> None:
        """The end of an attempt or probe."""
        now = time.monotonic()
        if status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET):
            if self.endpoint_override.record_failure(server, now) and self.phase is not RecoveryPhase.STEADY:
                log.info("a server that had answered has fallen again")
        elif status not in (AttemptStatus.NOT_SENT, AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT):
            change = self.endpoint_override.record_answer(server, now)
            if change is not None:
                self.push(change)

    # the look, four times a second
    def _tick(self) -> None:
        if self.keeper is None and self.view is None:
            return  # nothing can be known, and nothing is kept
        self.timer = asyncio.get_running_loop().call_later(TICK, self._tick)
        now = time.monotonic()
        if self.phase is not RecoveryPhase.STEADY:
            self._ask(now)
            self._look_for(now)
            self._step(now)
            assert self.driver is not None
            self.bookings.observe(
                now, self.driver.calls_answered, self.endpoint_override.first_answers.values()
            )
        if self.keeper is not None:
            self._keep()
        self._say()

    def peers(self) -> list[Peer]:
        """All others that the view knows of. Who was at its beginning when this process first heard it has
        come back from the same loss, and is no survivor when it is steady."""
        assert self.view is not None
        found = []
        for member in self.view.members():
            if member.key == self.view.me or member.state == "left":
                continue
            said = self.answers.get(member.key)
            process = (member.name, member.incarnation[:2])
            if said is not None and said.phase is not RecoveryPhase.STEADY:
                self.begun_together.add(process)
            elif said is not None and process in self.begun_together:
                said = RecoveryStatus(RecoveryPhase.RAMP, said.machine_kept_power, said.outage_at)
            lives = member.state in ("alive", "suspect") and member.phase != "leaving"
            found.append(Peer(member.name, member.zone, lives, said))
        return found

    def _inquire(self) -> None:
        """Some of those that have not answered this process yet are asked; its own zone first."""
        assert self.view is not None
        assert self.channel is not None
        living = [m for m in self.view.members() if m.state == "alive" and m.key != self.view.me]
        silent = [
            m for m in living if m.key not in self.answers or self.answers[m.key].phase < RecoveryPhase.STEADY
        ]
        mates = [m for m in silent if m.zone == self.proxy.zone]
        others = [m for m in silent if m.zone != self.proxy.zone]
        self.asking += MOST_ASKED
        for some in (mates, others):
            for at in range(min(MOST_ASKED, len(some))):
                self.channel.send(PORT, QUESTION + self._own_word(), some[(self.asking + at) % len(some)].key)

    def _told(self, sender: bytes, data: bytes) -> None:
        """A question is answered. What either says of its sender is kept."""
        said = decode_status(data[1:])
        if said is None or data[:1] not in (QUESTION, ANSWER):
            return
        if len(self.answers) < MOST_ANSWERS or sender in self.answers:
            self.answers[sender] = said
        if data[:1] == QUESTION and self.channel is not None:
            self.channel.send(PORT, ANSWER + self._own_word(), sender)

    def _ask(self, now: float) -> None:
        if self.view is not None:
            self._inquire()
        peers = self.peers() if self.view is not None else []
        expected = max(self.proxy.proxy_count, len(self.before) + 1) if self.view is not None else 1
        finding = determine_outage(self.proxy.zone, self.kept, peers, self.before, expected, now - self.began)
        if finding.scope is not self.finding.scope or finding.affected_zones != self.finding.affected_zones:
            stands = self.finding.scope in LOCAL_OUTAGES and finding.scope not in LOCAL_OUTAGES
            if stands or (
                finding.scope is OutageScope.UNKNOWN and self.finding.scope is not OutageScope.UNKNOWN
            ):
                return  # a survivor's word stands, also where that survivor is gone since
            log.info("what happened: %s: %s", finding.scope.value, finding.reason)
            self.finding = finding
            if finding.scope is OutageScope.FLEET and not self.lost_at:
                self.lost_at = int(self.clock.wall_time())
        living = [peer.name for peer in peers if peer.is_alive]
        if self.endpoint_override.update_outage(self._lost(), living):
            self.push(self.endpoint_override.effective_list())

    def _look_for(self, now: float) -> None:
        """Servers that have not answered yet are asked, in turn: where nothing is sent, nobody else does."""
        if not self.proxy.can_check_health:
            return
        lists = self.endpoint_override
        waiting = [item for name, item in lists.known.items() if name not in lists.first_answers]
        self.looks = min(MOST_PROBES, self.looks + PROBES * TICK * len(waiting) / len(lists.proxies))
        while self.looks >= 1 and waiting:
            self.looks -= 1
            self.looked += 1
            assert self.driver is not None
            self.driver.probe(waiting[self.looked % len(waiting)].entry.endpoint_id)

    def _lost(self) -> frozenset[str] | None:
        """Zones whose servers are held cold. While the cause is asked for nothing is marked, for a mark
        can't be taken back; the bound on calls holds meanwhile."""
        return frozenset() if self.finding.scope is OutageScope.UNKNOWN else self.finding.affected_zones

    def _step(self, now: float) -> None:
        lists = self.endpoint_override
        seen = Observation(
            responding_endpoints=len(lists.first_answers),
            outage=self.finding.scope,
            is_view_settled=self.view is None or self.view.settled,
            is_list_current=self.listed_by_source,
            is_warm=lists.all_warm(now),
            has_recent_failures=now - lists.last_failure_at < MIN_STABLE_S,
            elapsed=now - self.began,
            slow_start_window=self.proxy.slow_start_window,
        )
        after, guard = next_phase(self.phase, seen)
        if guard is not None:
            self._go(after, guard.value)

    def _go(self, phase: RecoveryPhase, why: str) -> None:
        now = time.monotonic()
        before = f"{self.phase.name.lower()} -> {phase.name.lower()}"
        log.info("recovery: %s after %.2f s: %s", before, now - self.since, why)
        self.phase = phase
        self.since = now
        if phase is RecoveryPhase.STEADY:
            self.list_news = True
            gone = self.endpoint_override.finish()
            if gone.backends:
                self.push(gone)

    def _say(self) -> None:
        """Its phase, to the fleet."""
        if self.word is None:
            return
        word = self._own_word()
        if word != self.said:
            self.said = word
            self.word.say(PORT, word)

    def _own_word(self) -> bytes:
        return encode_status(RecoveryStatus(self.phase, self.kept, self.lost_at))

    # what is kept
    def _keep(self) -> None:
        keeper = self.keeper
        assert keeper is not None
        now = self.clock.wall_time()
        if self.view is not None and self.view.stamp != self.stamp:
            self.stamp = self.view.stamp
            for member in self.view.members():
                run, life = member.incarnation[:2]
                known = self.kept_members.get(member.name) == (run, life)
                if member.state == "alive" and member.key != self.view.me and not known:
                    self.kept_members[member.name] = run, life
                    keeper.put(member.name, MemberRecord(member.tier, member.zone, run, life, now))
        if self.list_news:
            self.list_news = False
            self._keep_servers(now)
        while self.open_keys and self.open_keys[0][0] < time.monotonic():
            keeper.drop(KeyedRequestRecord.KIND, self.open_keys.popleft()[1])
        if self.current_maintenance is not None:
            out = dict(self.current_maintenance())
            for name, since in out.items():
                if name not in self.in_maintenance:
                    keeper.put(name, MaintenanceRecord(since, "by hand"))
            for name in self.in_maintenance.keys() - out.keys():
                keeper.drop(MaintenanceRecord.KIND, name)
            self.in_maintenance = out

    def _keep_servers(self, now: float) -> None:
        """The list in force, as far as sources named it."""
        keeper = self.keeper
        assert keeper is not None
        assert self.driver is not None
        if not self.listed_by_source:
            return
        changed = False
        for name, item in self.endpoint_override.listed.items():
            fact = fact_of(item, now)
            old = self.kept_servers.get(name)
            if old is None or fact != replace(old, recorded_at=fact.recorded_at):
                self.kept_servers[name] = fact
                keeper.put(name, fact)
                changed = True
        for name in [name for name in self.kept_servers if name not in self.endpoint_override.listed]:
            if self.endpoint_override.is_finished or name not in self.endpoint_override.known:
                del self.kept_servers[name]
                keeper.drop(EndpointRecord.KIND, name)
                changed = True
        if changed:
            keeper.put("discovery", EndpointSourceRecord(self.driver.list_version, now))

    def keep_request(self, key: str, cls: str) -> None:
        if self.keeper is not None and key:
            settings = next((item for item in self.proxy.classes if item.name == cls), None)
            if settings is not None:
                now = self.clock.wall_time()
                group = ""
                if settings.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                    group = self.proxy.zone if settings.idempotency_scope == "zone" else "all"
                lasts = settings.deadline + settings.idempotency_window
                self.keeper.put(key, KeyedRequestRecord(cls, group, now, now + lasts))
                self.open_keys.append((time.monotonic() + lasts, key))

    def forget_request(self, key: str) -> None:
        if self.keeper is not None:
            self.keeper.drop(KeyedRequestRecord.KIND, key)

    # net.filters.Filter
    def retuned(self, settings: ProxySettings) -> None:
        self.proxy = settings

    def arrival(self, request: Request, give_up: Callable[[], None]) -> Ticket | Turned | None:
        if self.phase is not RecoveryPhase.STEADY:
            turned = self._turned(request)
            if turned is not None:
                return turned
        if self.keeper is None or not request.key:
            return None
        key = name_of(request.cls, request.key)
        assert self.found is not None
        known = self.found.state.tables[KeyedRequestRecord.KIND].get(key)
        if (
            isinstance(known, KeyedRequestRecord)
            and retry_permission(known, self.situation) is RetryPermission.NEVER
        ):
            return Turned(b"it may have run before the power was lost; ask what became of it\n", 504)
        return KeyedRequestTracker(self, key, request.cls)

    def _turned(self, request: Request) -> Turned | None:
        admits = ADMISSION_BY_PHASE[self.phase]
        if admits is AdmissionMode.NONE and not self.proxy.can_check_health:
            admits = AdmissionMode.INITIAL_SHARE  # nothing but a call finds a server
        if admits is AdmissionMode.NONE:
            return self._later(b"no server answers yet\n")
        if admits is AdmissionMode.INITIAL_SHARE:
            if request.resent:
                return self._later(b"service returns: first tries come first\n")
            assert self.driver is not None
            if self.driver.held >= self._bound():
                return self._later(b"service returns: more than cold servers bear\n")
        elif request.resent and self.random.random() > self._warm():
            return self._later(b"service returns: first tries come first\n")
        return None

    def _bound(self) -> float:
        """Calls at once that are harmless were all servers cold: FIRST of each, over all proxies that the
        settings know of or that live."""
        proxies = max(self.proxy.proxy_count, len(self.endpoint_override.proxies))
        return max(1.0, IMMEDIATE_STARTS * len(self.endpoint_override.first_answers) / proxies)

    def _warm(self) -> float:
        """Share of what the servers that are known bear when all are warm."""
        known = max(1, len(self.endpoint_override.known))
        return self.bookings.capacity(time.monotonic(), self.endpoint_override.first_answers.values()) / known

    def retry_after(self, wait: float) -> float:
        """The advice of any refusal: the module's own, or later."""
        if self.phase is RecoveryPhase.STEADY:
            return wait
        return max(
            wait, self.bookings.reserve(time.monotonic(), self.endpoint_override.first_answers.values())
        )

    def _later(self, text: bytes) -> Turned:
        wait = self.retry_after(0.0)
        return Turned(text, 503, ((b"retry-after", b"%.3f" % wait),) if wait > 0 else ())


def name_of(cls: str, key: bytes) -> str:
    """What a request is kept under; its key may be anything."""
    return blake2b(cls.encode() + b"\0" + key, digest_size=16, person=b"keyed").hexdigest()


def listed_of(name: str, fact: EndpointRecord) -> Listed:
    """Raises ValueError."""
    entry = EndpointEntry(
        server_id(name),
        fact.zone,
        fact.kind,
        fact.cell,
        EndpointState.DRAINING if fact.is_draining else EndpointState.SERVING,
        fact.weight,
        max(1e-3, fact.started_at - WALL_OFFSET) if fact.started_at else 0.0,
    )
    return Listed(address_of(fact.address), entry, name)


def fact_of(item: Listed, now: float) -> EndpointRecord:
    entry = item.entry
    host, port = item.address
    since = entry.started_at + WALL_OFFSET if entry.started_at else 0.0
    return EndpointRecord(
        f"{host}:{port}",
        entry.zone,
        entry.kind,
        entry.cell,
        entry.weight,
        entry.state is EndpointState.DRAINING,
        round(since, 3),
        now,
    )
