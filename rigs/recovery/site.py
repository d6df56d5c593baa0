"""A site that loses power: two tiers of real proxies before nodos that a loss leaves cold, callers that come
back, and scripts of the order in which power, processes and lists return.

Proxies of the first half of the seats are the first tier; each of its nodos calls the second tier for each
call that it serves, through the second tier's proxies. Each tier has half of the nodos.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any

from rigs.backend import Backend, Incoming
from rigs.callers import GRADES, MIX, Callers
from rigs.fleet.relay import host
from rigs.fleet.world import Seat, Setup, World
from rigs.ledger import Rules
from rigs.padron import Entry
from rigs.recovery.callers import TEMPERS, Persistent
from rigs.recovery.nodo import Memory, Nodo

SERVICE = 0.02  # core s of a call at a nodo
CAPACITY = 0.24  # core s each second that a warm nodo bears: 12 calls a second
REGISTERED = (0.5, 2.0)  # s after which discovery tells of a start
INNER = 0.8  # of what is left of a call, that a nodo gives the call that it makes for it
ZONES = "abc"
WORTH = {str(grade["name"]): float(grade["value"]) for grade in GRADES}
CLASSES = {cls.name: cls for cls in MIX}


@dataclass(frozen=True, slots=True)
class Step:
    """`what`: proxy N, nodo N, lists WORD (full, empty, old), dark ZONES, apart (every second proxy hears
    no other half), together."""

    at: float  # s after the loss
    what: str
    value: Any = ""


@dataclass(frozen=True, slots=True)
class Script:
    name: str
    zones: str  # that lose power at first; "": proxies alone end, "-": nodos alone
    steps: tuple[Step, ...]
    tempers: tuple[str, ...] = TEMPERS


class Site(World):
    def __init__(self, setup: Setup, folder: Path) -> None:
        self.rules = Rules(cold_for=setup.cold)
        self.memories = {(tier, zone): Memory() for tier in (0, 1) for zone in ZONES}
        self.turn = 0
        self.whole: dict[str, dict[str, Entry]] = {}  # each proxy's list, as it was at the first loss
        self.last_nodo = 0.0  # when the last one was switched on, by the loop's clock
        super().__init__(setup, folder)

    # World
    def tier(self, seat: Seat) -> int:
        return int(seat.number >= self.setup.members // 2)

    def nodo(self, number: int) -> Backend:
        zone, tier = ZONES[number % 3], int(number >= self.setup.nodos // 2)
        made = Nodo(
            self.ledger, f"n{number}", zone, SERVICE, CAPACITY, self.rules, self.memories[tier, zone],
            self._registered,
        )  # fmt: skip
        if tier == 0:
            made.further = self._further
        return made

    @property
    def first_nodos(self) -> frozenset[str]:
        return frozenset(nodo.name for nodo in self.nodos[: self.setup.nodos // 2])

    def before(self, seat: Seat) -> list[Backend]:
        half = self.setup.nodos // 2
        return self.nodos[half:] if self.tier(seat) else self.nodos[:half]

    def users(self, seat: Seat) -> Callers:
        of = (self.ledger, (host(77, seat.number), self.http), seat.name, self.setup.seed)
        return Callers(*of) if self.tier(seat) else Persistent(*of)

    def peers(self, seat: Seat) -> list[str]:
        half = self.setup.members // 2
        every = self.relay.addresses()
        return every[half:] if self.tier(seat) else every[:half]

    def place(self, seat: Seat) -> dict[str, Any]:
        half = self.setup.members // 2
        count = self.setup.members - half if self.tier(seat) else half
        return {
            "balancers": count, "me": seat.number - half * self.tier(seat), "stage": self.tier(seat),
            "stages": ["portal", "nucleo"], "callers": {"marks_retry": True},
        }  # fmt: skip

    def asks(self, callers: Callers) -> bool:
        return isinstance(callers, Persistent)

    async def way(self, seat: Seat, number: int, nodo: Backend) -> str:
        """Itself: a connection to one that is down is refused, as a machine's is."""
        return nodo.address

    # the second tier's callers are the first tier's nodos
    async def _further(self, incoming: Incoming) -> bool:
        cls = CLASSES[incoming.cls]
        left = INNER * (incoming.due - self.loop.time())
        if left <= 0:
            return False
        half = self.setup.members // 2
        for _ in range(half):  # who is not there is not waited for
            self.turn += 1
            users = self.callers[half + self.turn % (self.setup.members - half)]
            code = await users.call(replace(cls, budget=left), key=incoming.key)
            if code != -1:
                return code == 200
        return False

    # power
    def power_off(self, zones: str = ZONES) -> None:
        for nodo in self.nodos:
            if nodo.zone in zones and isinstance(nodo, Nodo):
                nodo.power_off()
        for (_, zone), memory in self.memories.items():
            if zone in zones:
                memory.known.clear()
        super().power_off(zones)
        if zones == ZONES:
            self.lists("none")

    def lists(self, word: str) -> None:
        """What discovery says from now on: none (it is down), empty, old (some are missing, and one that is
        gone is there), full."""
        for padron in self.padrons:
            whole = self.whole.setdefault(padron.proxy, dict(padron.entries))
            padron.stop()
            if word == "none":
                continue
            names = sorted(whole)
            shown = {"empty": [], "old": names[: -max(1, len(names) // 4)], "full": names}[word]
            padron.entries = {name: whole[name] for name in shown}
            padron.index += 1
            padron.changed = dict.fromkeys(shown, padron.index)
            self._task(padron.start())

    def _registered(self, nodo: Nodo) -> None:
        """Discovery hears of its start, a little later."""
        for padron in self.padrons:
            for entries in (padron.entries, self.whole.get(padron.proxy, {})):
                if nodo.name in entries:
                    entries[nodo.name] = dict(entries[nodo.name], since_ms=nodo.since_ms)
            if nodo.name in padron.entries:
                padron.put(padron.entries[nodo.name], REGISTERED)

    async def play(self, script: Script) -> None:
        """From the loss to the last step."""
        self._darken(script)
        begun = self.loop.time()
        for step in script.steps:
            await asyncio.sleep(max(0.0, begun + step.at - self.loop.time()))
            await self._do(step)

    def _darken(self, script: Script) -> None:
        for users in self.callers:
            if isinstance(users, Persistent):
                users.tempers = script.tempers
        if script.zones == "":
            for seat in self.seats:
                self.kill(seat.number)
        elif script.zones == "-":
            for nodo in self.nodos:
                assert isinstance(nodo, Nodo)
                nodo.power_off()
            for memory in self.memories.values():
                memory.known.clear()
        else:
            self.power_off(script.zones)

    async def _do(self, step: Step) -> None:
        if step.what == "proxy":
            self.start(step.value)
        elif step.what == "nodo":
            self.last_nodo = self.loop.time()
            await self.nodo_on(step.value)
        elif step.what == "lists":
            self.lists(step.value)
        elif step.what == "dark":
            self.power_off(step.value)
        elif step.what == "apart":
            halves = [frozenset(range(first, self.setup.members, 2)) for first in (0, 1)]
            self.network.parts.append(halves)
        elif step.what == "together":
            self.network.parts.clear()
        else:
            raise ValueError(f"no such step: {step.what}")

    # what came of it
    @property
    def falls(self) -> int:
        return sum(len(nodo.falls) for nodo in self.nodos if isinstance(nodo, Nodo))

    def worth(self) -> float:
        """Of all wishes that were served."""
        return sum(
            WORTH[wish.cls.name] for users in self.callers if isinstance(users, Persistent)
            for wish in users.wishes if wish.codes[-1:] == (200,)
        )  # fmt: skip


def scripts(seed: int, members: int, nodos: int) -> list[Script]:
    """Ten orders in which all returns; `seed` draws what each leaves open."""
    random = Random(f"scripts {seed}")
    first, second = range(members // 2), range(members // 2, members)
    tier_one, tier_two = list(range(nodos // 2)), list(range(nodos // 2, nodos))

    def shuffled(numbers: range | list[int]) -> list[int]:
        return random.sample(list(numbers), len(numbers))

    def spread(what: str, numbers: range | list[int], begin: float, span: float) -> list[Step]:
        return [Step(begin + span * at / len(numbers), what, number) for at, number in enumerate(numbers)]

    def script(name: str, zones: str, *steps: list[Step], tempers: tuple[str, ...] = TEMPERS) -> Script:
        whole = sorted((step for some in steps for step in some), key=lambda step: step.at)
        return Script(name, zones, tuple(whole), tempers)

    proxies, machines = shuffled(range(members)), shuffled(range(nodos))
    soon, full = spread("proxy", proxies, 0.5, 1.0), [Step(1.0, "lists", "full")]
    part = machines[: int(0.6 * nodos)]
    rest = [number for number in machines if number not in part]
    return [
        script(
            "the worst order: first tier first, lists last", "abc", spread("proxy", first, 0.5, 1.0),
            spread("nodo", tier_one, 2.0, 2.0), spread("proxy", second, 5.0, 1.0),
            spread("nodo", tier_two, 7.0, 3.0), [Step(11.0, "lists", "full")],
        ),
        script(
            "three fifths at once, the rest one by one", "abc", soon, full,
            [Step(5.0, "nodo", number) for number in part], spread("nodo", rest, 8.0, 4.0),
        ),
        script(
            "dark again in the middle of the ramp", "abc", soon, full, spread("nodo", machines, 2.0, 1.0),
            [Step(8.0, "dark", "abc")], spread("proxy", proxies, 9.0, 1.0), [Step(9.5, "lists", "full")],
            spread("nodo", machines, 10.0, 2.0),
        ),
        script(
            "one sala alone", "a", spread("proxy", range(0, members, 3), 0.5, 0.5),
            spread("nodo", range(0, nodos, 3), 3.0, 1.0),
        ),
        script("all proxies, no nodo", "", soon),
        script("all nodos, no proxy", "-", spread("nodo", machines, 2.0, 3.0)),
        script(
            "two halves that can't hear each other", "abc", soon, full, spread("nodo", machines, 2.0, 4.0),
            [Step(0.1, "apart"), Step(20.0, "together")],
        ),
        script(
            "lists empty for ten seconds", "abc", [Step(0.5, "lists", "empty"), Step(10.5, "lists", "full")],
            soon, spread("nodo", machines, 2.0, 3.0),
        ),
        script(
            "all at once, an old list, callers that obey nobody", "abc",
            [Step(0.5, "lists", "old"), Step(12.0, "lists", "full")], soon,
            [Step(4.0, "nodo", number) for number in machines], tempers=("ignores", "waves"),
        ),
        script(
            "nodos first, proxies over ten seconds", "abc", [Step(1.0, "nodo", n) for n in machines], full,
            spread("proxy", proxies, 2.0, 10.0), tempers=("ignores", "waves", "half"),
        ),
    ]
