"""Times and counts of the protocol, and the values that depend on the size of the fleet.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

INDIRECT_PROBES = 3  # Members that are asked to probe a target indirectly (SWIM, 4.1: k).
CONFIRMATIONS = 3  # Additional accusers that reduce a suspicion to its shortest duration (Lifeguard, 4.2: K).
PING_RETRY_AT = 0.15  # Fraction of a period from a probe's first ping to its repetition.
# Fraction of a period from a probe's first ping to the indirect probes; also the timeout of a sync request.
INDIRECT_PING_AT = 0.3
NACK_AFTER = 0.4  # Fraction of a period that a helper waits for the target's answer before it sends a NACK.
PROBE_TIMEOUT = 0.9  # Fraction of a period from a probe's first ping to its failure.
GOSSIP_INTERVAL = 0.2  # Fraction of a period between two rounds of gossip.
GOSSIP_FANOUT = 3  # Members that receive each round of gossip.
# Maximum of the local health score. Probe timeouts are multiplied by one plus the score (Lifeguard, 4.1: S).
MAX_LOCAL_HEALTH = 8
# Periods for which a received digest counts in the decision whether the view has settled.
RECENT_PERIODS = 3.0
# Periods without a change of the view, after which different digests mean that views really differ and not
# that updates are still spreading.
QUIET_PERIODS = 2.0
# Periods without a sync session, after which a session starts even while the view changes.
SYNC_STARVED_PERIODS = 4.0
STALL_PERIODS = 1.0  # Periods by which a timer must be late for this process to count as stalled.
# Periods between two attempts to reach a dead member, or a seed that is the address of no known member.
RECONNECT_INTERVAL = 2.0
MAX_JOIN_ATTEMPTS = 3  # Unanswered join attempts, after which a member starts alone.
JOIN_FANOUT = 3  # Seeds that receive a join request per attempt.
BROADCAST_JOIN_REPLIES = 8  # Expected number of replies to a broadcast join request.
RECONNECTS_PER_BROADCAST = 5  # Reconnect attempts of an isolated member between two broadcast join requests.
SYNC_REQUESTS_PER_PERIOD = 16  # Sync requests per period.
STARTUP_SYNC_REQUESTS = 128  # Sync requests per period after a start, when the view is still incomplete.
STARTUP_PERIODS = 10.0  # Periods after a start during which the limits of a starting member apply.
MAX_SYNC_ATTEMPTS = 3  # Attempts per sync request.


@dataclass(frozen=True, slots=True)
class ProtocolTiming:
    """Protocol times that an operator can configure.

    Attributes:
        period: protocol period, in which a member starts two probes, s.
        suspicion_multiplier: shortest suspicion of a fleet of up to 9 members, in periods; it grows with the
            common logarithm of the size.
        tombstone_ttl: time for which a dead or departed member is recorded, s.
    """

    period: float = 1.0
    suspicion_multiplier: float = 3.0
    tombstone_ttl: float = 600.0

    def min_suspicion(self, live_count: int) -> float:
        """Return the duration of a suspicion that enough other members confirm, s.

        A member that stalls for less than this duration, counted from the start of the suspicion, is not
        declared dead by the members that can reach it after the stall.
        """
        return self.suspicion_multiplier * max(1.0, math.log10(live_count + 1)) * self.period

    def max_suspicion(self, live_count: int) -> float:
        """Return the duration of a suspicion that no other member confirms, s."""
        return 2.0 * self.min_suspicion(live_count)

    def suspicion_timeout(self, live_count: int, confirmations: int) -> float:
        """Return the duration of a suspicion with this number of confirmations, s (Lifeguard, 4.2)."""
        minimum = self.min_suspicion(live_count)
        maximum = self.max_suspicion(live_count)
        enough = min(CONFIRMATIONS, max(0, live_count - 2))
        if confirmations >= enough:
            return minimum
        return maximum - (maximum - minimum) * math.log(confirmations + 1) / math.log(enough + 1)

    @staticmethod
    def transmissions(live_count: int) -> int:
        """Return how many times each member sends an update (SWIM, 5: lambda log n)."""
        return math.ceil(6 * math.log10(live_count + 1) + 1)
