"""The times and counts of the protocol, and what follows from them for a fleet of so many. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

INDIRECT_PROBES = 3  # members that are asked to probe in one's stead (SWIM, 4.1: k)
CONFIRMATIONS = 3  # further accusers that bring a suspicion down to its shortest (Lifeguard, 4.2: K)
PING_RETRY_AT = 0.15  # of a period from a ping to its repetition
INDIRECT_PING_AT = 0.3  # of a period from a ping to asking the helpers
NACK_AFTER = 0.4  # of a period for which a helper waits before it says that it hears nothing either
PROBE_TIMEOUT = 0.9  # of a period from a ping to the verdict
GOSSIP_INTERVAL = 0.2  # of a period
GOSSIP_FANOUT = 3  # members that are told at each such beat
# By which a member that is itself slow multiplies its time-outs, less one (Lifeguard, 4.1: S).
MAX_LOCAL_HEALTH = 8
RECENT_PERIODS = 3.0  # periods for which what was heard of a member says something of now
QUIET_PERIODS = 2.0  # periods without a change, after which unequal digests are news
SYNC_STARVED_PERIODS = 4.0  # periods after which an exchange begins though changes go on
STALL_PERIODS = 1.0  # periods by which a timer is late, after which this process is taken to have stood still
# Periods between tries of one that is dead, or of an address that nobody was heard at.
RECONNECT_INTERVAL = 2.0
MAX_JOIN_ATTEMPTS = 3  # tries to join that nobody answered, after which a member goes on alone
JOIN_FANOUT = 3  # addresses at each try
BROADCAST_JOIN_REPLIES = 8  # that come, about, to a question to everyone
RECONNECTS_PER_BROADCAST = 5  # tries between two of one that is alone to reach everyone at once
SYNC_REQUESTS_PER_PERIOD = 16  # questions of anti-entropy in a period
STARTUP_SYNC_REQUESTS = 128  # the same in the first periods after a start, when there is all to learn
STARTUP_PERIODS = 10.0  # periods
MAX_SYNC_ATTEMPTS = 3  # of one question


@dataclass(frozen=True, slots=True)
class ProtocolTiming:
    """The times that an operator may set.

    Attributes:
        period: the protocol period, s, in which a member begins two probes.
        suspicion_multiplier: the shortest suspicion, in periods, of a fleet of up to 9; it grows as log10 of
            the size.
        tombstone_ttl: for which who died or left is remembered, s.
    """

    period: float = 1.0
    suspicion_multiplier: float = 3.0
    tombstone_ttl: float = 600.0

    def min_suspicion(self, living: int) -> float:
        """Return how long a suspicion lasts that enough others share, s.

        A member that stands still for less, from the moment it is first suspected, is not declared dead by
        those that can reach it afterwards.
        """
        return self.suspicion_multiplier * max(1.0, math.log10(living + 1)) * self.period

    def max_suspicion(self, living: int) -> float:
        """Return how long a suspicion lasts that nobody shares, s."""
        return 2.0 * self.min_suspicion(living)

    def suspicion_timeout(self, living: int, confirmations: int) -> float:
        """Return how long a suspicion lasts, s, by the number of confirmations (Lifeguard, 4.2)."""
        minimum = self.min_suspicion(living)
        maximum = self.max_suspicion(living)
        enough = min(CONFIRMATIONS, max(0, living - 2))
        if confirmations >= enough:
            return minimum
        return maximum - (maximum - minimum) * math.log(confirmations + 1) / math.log(enough + 1)

    @staticmethod
    def transmissions(living: int) -> int:
        """Return how often each member passes one update on (SWIM, 5: lambda log n)."""
        return math.ceil(6 * math.log10(living + 1) + 1)
