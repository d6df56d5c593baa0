"""The phases in which service returns, as a table: what each admits, and what ends it. Pure.

    DARK ──▶ GATHERING ──▶ PROVISIONAL ──▶ RAMP ──▶ STEADY
      ▲          │  cause known: it alone ended        ▲
      │          └─────────────────────────────────────┤
      └── no server answers, from anywhere             └── the longest time is over, from anywhere

Who restarts alone in a steady fleet passes through DARK and GATHERING in the time that it takes to hear one
survivor. What an unknown cause admits is what would be harmless if everything were cold, so waiting for
certainty costs service only where there may be none.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from service_proxy.recovery.validity_rules import Loss

PATIENCE = 10.0  # s for which others are asked what happened, at the most
LIST_PATIENCE = 10.0  # s more for which a fresh list and a settled view are waited for
RAMPS = 2.0  # cold times that a ramp may take ...
SPARE = 15.0  # ... and s beyond: after that, all is the module's again, whatever has not come back
LEAST_CALM = 2.0  # s without a fall before a ramp that stepped back goes on


class Phase(IntEnum):
    """As it travels in a member's word."""

    DARK = 0  # no server answers: nothing can succeed
    GATHERING = 1  # there are servers; what happened is being asked
    PROVISIONAL = 2  # power was lost, or it can't be told; the list or the view is not sure yet
    RAMP = 3  # admission rises with what is warm
    STEADY = 4  # recovery has no part in anything


class Admits(Enum):
    NOTHING = "nothing"  # refused at once: no call can succeed
    COLD = "first tries, as many as cold servers bear"
    WARM = "by what is warm; first tries before repeats"
    ALL = "all"


ADMITS = {
    Phase.DARK: Admits.NOTHING,
    Phase.GATHERING: Admits.COLD,
    Phase.PROVISIONAL: Admits.COLD,
    Phase.RAMP: Admits.WARM,
    Phase.STEADY: Admits.ALL,
}


@dataclass(frozen=True, slots=True)
class Seen:
    """What holds at one moment. `elapsed`: s since this process began."""

    servers: int = 0  # that answer
    loss: Loss = Loss.UNKNOWN
    settled: bool = False  # the view of the fleet
    fresh: bool = False  # the list in force is a source's word of now
    warm: bool = False  # all that answer have been up for their cold time
    fell: bool = False  # servers that answered fell again, within LEAST_CALM
    elapsed: float = 0.0
    cold_for: float = 0.0

    @property
    def longest(self) -> float:
        """s after which a recovery is over however it stands."""
        return PATIENCE + LIST_PATIENCE + RAMPS * self.cold_for + SPARE


class Guard(Enum):
    """Conditions on what is seen, by their name in the table."""

    OVER = "the longest time is over"
    NO_SERVERS = "no server answers"
    SERVERS = "a server answers"
    ALONE = "this process or machine alone ended"
    LOST = "a zone or everybody lost power"
    ASKED = "it was asked for long enough"
    SURE = "the view has settled and the list is fresh"
    WAITED = "that was waited for long enough"
    FELL = "servers fell again"
    WARM = "what answers is warm"


ALONE = (Loss.PROCESS, Loss.MACHINE)


def holds(guard: Guard, seen: Seen) -> bool:
    if guard is Guard.OVER:
        return seen.elapsed >= seen.longest
    if guard is Guard.NO_SERVERS:
        return not seen.servers
    if guard is Guard.SERVERS:
        return seen.servers > 0
    if guard is Guard.ALONE:
        return seen.loss in ALONE
    if guard is Guard.LOST:
        return seen.loss in (Loss.ZONE, Loss.FLEET)
    if guard is Guard.ASKED:
        return seen.elapsed >= PATIENCE
    if guard is Guard.SURE:
        return seen.settled and seen.fresh and seen.loss is not Loss.UNKNOWN
    if guard is Guard.WAITED:
        return seen.elapsed >= PATIENCE + LIST_PATIENCE
    if guard is Guard.FELL:
        return seen.fell
    return seen.warm


P = Phase
G = Guard
TABLE: dict[Phase, tuple[tuple[Guard, Phase], ...]] = {  # the first guard that holds counts
    P.DARK: ((G.OVER, P.STEADY), (G.SERVERS, P.GATHERING)),
    P.GATHERING: (
        (G.OVER, P.STEADY),
        (G.NO_SERVERS, P.DARK),
        (G.ALONE, P.STEADY),
        (G.LOST, P.PROVISIONAL),
        (G.ASKED, P.PROVISIONAL),
    ),
    P.PROVISIONAL: (
        (G.OVER, P.STEADY),
        (G.NO_SERVERS, P.DARK),
        (G.ALONE, P.STEADY),
        (G.FELL, P.PROVISIONAL),
        (G.SURE, P.RAMP),
        (G.WAITED, P.RAMP),
    ),
    P.RAMP: (
        (G.OVER, P.STEADY),
        (G.NO_SERVERS, P.DARK),
        (G.ALONE, P.STEADY),
        (G.FELL, P.PROVISIONAL),
        (G.WARM, P.STEADY),
    ),
    P.STEADY: (),
}


def step(phase: Phase, seen: Seen) -> tuple[Phase, Guard | None]:
    """The phase after this, and which guard led there; None: it stays."""
    for guard, after in TABLE[phase]:
        if holds(guard, seen):
            return after, guard if after is not phase else None
    return phase, None
