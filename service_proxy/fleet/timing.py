"""The times and counts of the protocol, and what follows from them for a fleet of so many. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

HELPERS = 3  # members that are asked to probe in one's stead (SWIM, 4.1: k)
CONFIRMATIONS = 3  # further accusers that bring a suspicion down to its shortest (Lifeguard, 4.2: K)
AGAIN = 0.15  # of a period from a ping to its repetition
ASK = 0.3  # of a period from a ping to asking the helpers
GIVE_UP = 0.4  # of a period for which a helper waits before it says that it hears nothing either
VERDICT = 0.9  # of a period from a ping to the verdict
GOSSIP_EVERY = 0.2  # of a period
FANOUT = 3  # members that are told at each such beat
MOST_HEALTH = (
    8  # by which a member that is itself slow multiplies its time-outs, less one (Lifeguard, 4.1: S)
)
LATELY = 3.0  # periods for which what was heard of a member says something of now
QUIET = 2.0  # periods without a change, after which unequal digests are news
STARVED = 4.0  # periods after which an exchange begins though changes go on
STALL = 1.0  # periods by which a timer is late, after which this process is taken to have stood still
RETRY_EVERY = 2.0  # periods between tries of one that is dead, or of an address that nobody was heard at
ALONE_AFTER = 3  # tries to join that nobody answered, after which a member goes on alone
JOIN_TO = 3  # addresses at each try
ANSWERS = 8  # that come, about, to a question to everyone
EVERYONE_EVERY = 5  # tries between two of one that is alone to reach everyone at once
EXCHANGES = 16  # questions of anti-entropy in a period
YOUNG_EXCHANGES = 128  # the same in the first periods after a start, when there is all to learn
YOUNG = 10.0  # periods
MOST_TRIES = 3  # of one question


@dataclass(frozen=True, slots=True)
class Timing:
    """`period`: s in which a member begins two probes: of its ring's next, and of its successor by key.
    `suspicion`: the shortest suspicion, in periods, of a fleet of up to 9; it grows as log10 of its size.
    `memory`: s for which who died or left is remembered."""

    period: float = 1.0
    suspicion: float = 3.0
    memory: float = 600.0

    def shortest(self, living: int) -> float:
        """s of a suspicion that enough others share. A member that stands still for less, from the moment it
        is first suspected, is not declared dead by those who can reach it afterwards."""
        return self.suspicion * max(1.0, math.log10(living + 1)) * self.period

    def longest(self, living: int) -> float:
        return 2.0 * self.shortest(living)

    def suspect_for(self, living: int, confirmations: int) -> float:
        """s, by how many others than the first say the same (Lifeguard, 4.2)."""
        least = self.shortest(living)
        most = self.longest(living)
        enough = min(CONFIRMATIONS, max(0, living - 2))
        if confirmations >= enough:
            return least
        return most - (most - least) * math.log(confirmations + 1) / math.log(enough + 1)

    @staticmethod
    def transmissions(living: int) -> int:
        """How often each member passes one change on (SWIM, 5: lambda log n)."""
        return math.ceil(6 * math.log10(living + 1) + 1)
