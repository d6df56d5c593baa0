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
from service_proxy.recovery.async_store_writer import Keeper
from service_proxy.recovery.endpoint_override import Overlay
from service_proxy.recovery.peer_survey import Finding, Peer, Said, pack, unpack, what_happened
from service_proxy.recovery.persisted_records import Boot, Keyed, Maintenance, Member, Server, Source
from service_proxy.recovery.phases import ADMITS, ALONE, LEAST_CALM, Admits, Phase, Seen, step
from service_proxy.recovery.retry_after import Bookings
from service_proxy.recovery.staggered_start import FIRST
from service_proxy.recovery.store import Owner
from service_proxy.recovery.store_directory import Folder, mark
from service_proxy.recovery.validity_rules import Loss, Repeat, Situation, Trust, judge, repeat

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


class Proxied(Protocol):
    """What recovery wants of the driver."""

    calls_answered: int

    @property
    def held(self) -> int: ...

    @property
    def list_version(self) -> int: ...

    def probe(self, server: int) -> None: ...


class Held:
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
        self.boot = mark(Path(settings.boot_mark))
        self.keeper: Keeper | None = None
        if settings.store:
            owner = Owner(self.name, mark(Path(settings.machine_mark)))
            self.keeper = Keeper(Folder(Path(settings.store)), owner, clock)
        self.found = self.keeper.found if self.keeper is not None else None
        last = self.found.state.boot if self.found is not None else None
        self.kept = last.boot == self.boot if last is not None and last.boot and self.boot else None
        self.starts = last.count + 1 if last is not None else 1
        self.last_seen = self.found.state.newest if self.found is not None else 0.0
        self.began = time.monotonic()
        self.phase = Phase.DARK
        self.finding = Finding(Loss.UNKNOWN, None, "nobody was asked yet")
        self.since = self.began  # of the phase
        self.lists = Overlay(self.name, self.proxy.slow_start_window, self.began)
        self.random = Random(config.seed)
        limits = self.proxy
        self.bookings = Bookings(
            config.seed,
            limits.slow_start_initial_share,
            limits.slow_start_window,
            limits.max_retry_after if limits.can_send_retry_after else 0.0,
        )
        self.answers: dict[bytes, Said] = {}  # of members, to this process
        self.asking = 0
        self.view: View | None = None
        self.channel: Channel | None = None
        self.word: Word | None = None
        self.driver: Proxied | None = None
        self.push: Callable[[Listing], None] = lambda listing: None
        self.maintained: Callable[[], Mapping[str, float]] | None = None
        self.listed_by_source = False
        # probes that are left, and whose turn it is
        self.looks = 1.0
        self.looked = config.settings.proxy_index
        self.timer: asyncio.TimerHandle | None = None
        self.said = b""
        self.lost_at = 0  # wall time at which this process found that everybody had lost power
        self.kept_out: dict[str, float] = {}
        self.kept_members: dict[str, tuple[int, int]] = {}
        self.stamp = -1  # of the view that these are of
        self.list_news = False
        self.open_keys: deque[tuple[float, str]] = deque()  # of requests that are kept, until when
        self.begun_together: set[tuple[str, tuple[int, ...]]] = set()  # seen at their beginning: no survivors
        self.kept_servers: dict[str, Server] = {}
        self.before: list[tuple[str, str]] = []
        self._take_back()

    def _take_back(self) -> None:
        """What the store says of before, as far as it is trusted while nothing else is known."""
        if self.found is None:
            return
        state = self.found.state
        situation = self.situation
        self.before = [
            (name, fact.zone)
            for name, fact in state.tables[Member.KIND].items()
            if isinstance(fact, Member) and judge(fact, situation).trust is not Trust.IGNORED
        ]
        servers = []
        for name, fact in state.tables[Server.KIND].items():
            if isinstance(fact, Server) and judge(fact, situation).trust is not Trust.IGNORED:
                self.kept_servers[name] = fact
                try:
                    servers.append(listed_of(name, fact))
                except ValueError:
                    log.error("store: the address of %s can't be read: %.60s", name, fact.address)
        self.lists.before(servers)
        self.kept_out = {
            name: fact.at
            for name, fact in state.tables[Maintenance.KIND].items()
            if isinstance(fact, Maintenance) and not fact.back
        }
        self.lists.out = frozenset(self.kept_out)

    # what the assembly hands in
    def attach(
        self,
        driver: Proxied,
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
            self._go(Phase.STEADY, "there is nobody to ask")

    @property
    def situation(self) -> Situation:
        found = self.found
        return Situation(
            self.clock.wall_time(),
            self.finding.loss,
            self.finding.lost or frozenset(),
            self.last_seen,
            bool(found is not None and found.damaged),
        )

    # net.sources.Subsystem
    def start(self) -> None:
        if self.keeper is not None:
            self.keeper.start()
            self.keeper.put("", Boot(self.starts, self.clock.wall_time(), "", self.boot))
        self._tick()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.keeper is not None:
            now = self.clock.wall_time()
            self.keeper.put("", Boot(self.starts, now, "", self.boot, now))
            self.keeper.stop()

    def reread(self, file: str) -> None:
        """All of it wants a restart."""
        if load(file).recovery != self.settings:
            text = "[recovery] can't change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "start the proxy anew")])

    # lists
    def overlay(self, listing: Listing) -> Listing:
        """Each list as it comes from a source."""
        self.list_news = True
        if self.driver is not None:
            self.listed_by_source |= bool(listing.backends)
        elif not listing.backends and self.lists.known:  # the platform knew nobody, and the store does
            listing = Listing(listing.version, listing.whole, list(self.lists.known.values()))
        doubted = self.lists.doubted
        found = self.lists.overlay(listing)
        if self.lists.doubted != doubted:
            log.warning("a list of %d servers is not believed while service returns", len(listing.backends))
        return found

    def witness(self, server: int, status: AttemptStatus) -> None:
        """The end of an attempt or probe."""
        now = time.monotonic()
        if status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET):
            if self.lists.failed(server, now) and self.phase is not Phase.STEADY:
                log.info("a server that had answered has fallen again")
        elif status not in (AttemptStatus.NOT_SENT, AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT):
            change = self.lists.answered(server, now)
            if change is not None:
                self.push(change)

    # the look, four times a second
    def _tick(self) -> None:
        if self.keeper is None and self.view is None:
            return  # nothing can be known, and nothing is kept
        self.timer = asyncio.get_running_loop().call_later(TICK, self._tick)
        now = time.monotonic()
        if self.phase is not Phase.STEADY:
            self._ask(now)
            self._look_for(now)
            self._step(now)
            assert self.driver is not None
            self.bookings.look(now, self.driver.calls_answered, self.lists.answers.values())
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
            if said is not None and said.phase is not Phase.STEADY:
                self.begun_together.add(process)
            elif said is not None and process in self.begun_together:
                said = Said(Phase.RAMP, said.kept, said.lost_at)
            lives = member.state in ("alive", "suspect") and member.phase != "leaving"
            found.append(Peer(member.name, member.zone, lives, said))
        return found

    def _inquire(self) -> None:
        """Some of those that have not answered this process yet are asked; its own zone first."""
        assert self.view is not None
        assert self.channel is not None
        living = [m for m in self.view.members() if m.state == "alive" and m.key != self.view.me]
        silent = [m for m in living if m.key not in self.answers or self.answers[m.key].phase < Phase.STEADY]
        mates = [m for m in silent if m.zone == self.proxy.zone]
        others = [m for m in silent if m.zone != self.proxy.zone]
        self.asking += MOST_ASKED
        for some in (mates, others):
            for at in range(min(MOST_ASKED, len(some))):
                self.channel.send(PORT, QUESTION + self._own_word(), some[(self.asking + at) % len(some)].key)

    def _told(self, sender: bytes, data: bytes) -> None:
        """A question is answered. What either says of its sender is kept."""
        said = unpack(data[1:])
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
        finding = what_happened(self.proxy.zone, self.kept, peers, self.before, expected, now - self.began)
        if finding.loss is not self.finding.loss or finding.lost != self.finding.lost:
            stands = self.finding.loss in ALONE and finding.loss not in ALONE
            if stands or (finding.loss is Loss.UNKNOWN and self.finding.loss is not Loss.UNKNOWN):
                return  # a survivor's word stands, also where that survivor is gone since
            log.info("what happened: %s: %s", finding.loss.value, finding.why)
            self.finding = finding
            if finding.loss is Loss.FLEET and not self.lost_at:
                self.lost_at = int(self.clock.wall_time())
        living = [peer.name for peer in peers if peer.lives]
        if self.lists.happened(self._lost(), living):
            self.push(self.lists.all_in_force())

    def _look_for(self, now: float) -> None:
        """Servers that have not answered yet are asked, in turn: where nothing is sent, nobody else does."""
        if not self.proxy.can_check_health:
            return
        lists = self.lists
        waiting = [item for name, item in lists.known.items() if name not in lists.answers]
        self.looks = min(MOST_PROBES, self.looks + PROBES * TICK * len(waiting) / len(lists.proxies))
        while self.looks >= 1 and waiting:
            self.looks -= 1
            self.looked += 1
            assert self.driver is not None
            self.driver.probe(waiting[self.looked % len(waiting)].entry.endpoint_id)

    def _lost(self) -> frozenset[str] | None:
        """Zones whose servers are held cold. While the cause is asked for nothing is marked, for a mark
        can't be taken back; the bound on calls holds meanwhile."""
        return frozenset() if self.finding.loss is Loss.UNKNOWN else self.finding.lost

    def _step(self, now: float) -> None:
        lists = self.lists
        seen = Seen(
            servers=len(lists.answers),
            loss=self.finding.loss,
            settled=self.view is None or self.view.settled,
            fresh=self.listed_by_source,
            warm=lists.warm(now),
            fell=now - lists.fell_at < LEAST_CALM,
            elapsed=now - self.began,
            cold_for=self.proxy.slow_start_window,
        )
        after, guard = step(self.phase, seen)
        if guard is not None:
            self._go(after, guard.value)

    def _go(self, phase: Phase, why: str) -> None:
        now = time.monotonic()
        before = f"{self.phase.name.lower()} -> {phase.name.lower()}"
        log.info("recovery: %s after %.2f s: %s", before, now - self.since, why)
        self.phase = phase
        self.since = now
        if phase is Phase.STEADY:
            self.list_news = True
            gone = self.lists.end()
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
        return pack(Said(self.phase, self.kept, self.lost_at))

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
                    keeper.put(member.name, Member(member.tier, member.zone, run, life, now))
        if self.list_news:
            self.list_news = False
            self._keep_servers(now)
        while self.open_keys and self.open_keys[0][0] < time.monotonic():
            keeper.drop(Keyed.KIND, self.open_keys.popleft()[1])
        if self.maintained is not None:
            out = dict(self.maintained())
            for name, since in out.items():
                if name not in self.kept_out:
                    keeper.put(name, Maintenance(since, "by hand"))
            for name in self.kept_out.keys() - out.keys():
                keeper.drop(Maintenance.KIND, name)
            self.kept_out = out

    def _keep_servers(self, now: float) -> None:
        """The list in force, as far as sources named it."""
        keeper = self.keeper
        assert keeper is not None
        assert self.driver is not None
        if not self.listed_by_source:
            return
        changed = False
        for name, item in self.lists.listed.items():
            fact = fact_of(item, now)
            old = self.kept_servers.get(name)
            if old is None or fact != replace(old, at=fact.at):
                self.kept_servers[name] = fact
                keeper.put(name, fact)
                changed = True
        for name in [name for name in self.kept_servers if name not in self.lists.listed]:
            if self.lists.over or name not in self.lists.known:
                del self.kept_servers[name]
                keeper.drop(Server.KIND, name)
                changed = True
        if changed:
            keeper.put("discovery", Source(self.driver.list_version, now))

    def keep_request(self, key: str, cls: str) -> None:
        if self.keeper is not None and key:
            settings = next((item for item in self.proxy.classes if item.name == cls), None)
            if settings is not None:
                now = self.clock.wall_time()
                group = ""
                if settings.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                    group = self.proxy.zone if settings.idempotency_scope == "zone" else "all"
                lasts = settings.deadline + settings.idempotency_window
                self.keeper.put(key, Keyed(cls, group, now, now + lasts))
                self.open_keys.append((time.monotonic() + lasts, key))

    def forget_request(self, key: str) -> None:
        if self.keeper is not None:
            self.keeper.drop(Keyed.KIND, key)

    # net.filters.Filter
    def retuned(self, settings: ProxySettings) -> None:
        self.proxy = settings

    def arrival(self, request: Request, give_up: Callable[[], None]) -> Ticket | Turned | None:
        if self.phase is not Phase.STEADY:
            turned = self._turned(request)
            if turned is not None:
                return turned
        if self.keeper is None or not request.key:
            return None
        key = name_of(request.cls, request.key)
        assert self.found is not None
        known = self.found.state.tables[Keyed.KIND].get(key)
        if isinstance(known, Keyed) and repeat(known, self.situation) is Repeat.NEVER:
            return Turned(b"it may have run before the power was lost; ask what became of it\n", 504)
        return Held(self, key, request.cls)

    def _turned(self, request: Request) -> Turned | None:
        admits = ADMITS[self.phase]
        if admits is Admits.NOTHING and not self.proxy.can_check_health:
            admits = Admits.COLD  # nothing but a call finds a server
        if admits is Admits.NOTHING:
            return self._later(b"no server answers yet\n")
        if admits is Admits.COLD:
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
        proxies = max(self.proxy.proxy_count, len(self.lists.proxies))
        return max(1.0, FIRST * len(self.lists.answers) / proxies)

    def _warm(self) -> float:
        """Share of what the servers that are known bear when all are warm."""
        known = max(1, len(self.lists.known))
        return self.bookings.capacity(time.monotonic(), self.lists.answers.values()) / known

    def advise(self, wait: float) -> float:
        """The advice of any refusal: the module's own, or later."""
        if self.phase is Phase.STEADY:
            return wait
        return max(wait, self.bookings.advise(time.monotonic(), self.lists.answers.values()))

    def _later(self, text: bytes) -> Turned:
        wait = self.advise(0.0)
        return Turned(text, 503, ((b"retry-after", b"%.3f" % wait),) if wait > 0 else ())


def name_of(cls: str, key: bytes) -> str:
    """What a request is kept under; its key may be anything."""
    return blake2b(cls.encode() + b"\0" + key, digest_size=16, person=b"keyed").hexdigest()


def listed_of(name: str, fact: Server) -> Listed:
    """Raises ValueError."""
    entry = EndpointEntry(
        server_id(name),
        fact.zone,
        fact.kind,
        fact.group,
        EndpointState.DRAINING if fact.draining else EndpointState.SERVING,
        fact.weight,
        max(1e-3, fact.since - WALL_OFFSET) if fact.since else 0.0,
    )
    return Listed(address_of(fact.address), entry, name)


def fact_of(item: Listed, now: float) -> Server:
    entry = item.entry
    host, port = item.address
    since = entry.started_at + WALL_OFFSET if entry.started_at else 0.0
    return Server(
        f"{host}:{port}",
        entry.zone,
        entry.kind,
        entry.cell,
        entry.weight,
        entry.state is EndpointState.DRAINING,
        round(since, 3),
        now,
    )
