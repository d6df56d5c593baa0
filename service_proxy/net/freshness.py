"""The one budget of asking discovery: how long a call may wait, when it has fallen silent, what follows.

What is owed: no request to a backend that has been told as leaving for longer than the settings' drain_grace.
The platform's pages say when a change counts as told though it never arrived; every span here is a share of
that time and the grace, less what a new call takes. Pure: figures in, one table of spans out.
"""

from __future__ import annotations

from dataclasses import dataclass

WAITED_TOLD = 2.0  # s after the wait of a call that fell silent: what it missed counts as told (STANDING)
MOVED_TOLD = 4.0  # s after SIGHUP: what the new address lists counts as told (STANDING)
HOLD = 20.0  # s that a watch waits where discovery is one service for all: three calls a minute
HOLD_SPREAD = 0.5  # of HOLD, round it: calls that one change ended together come apart again
SPACING = 0.2  # s between the first tries while an answer is owed
MOST_DOUBLINGS = 10  # of SPACING: more is beyond every longest pause
CONNECT = 1.0  # s for a connection to discovery, at most
# A pushed list costs nothing, and counts from the moment that the agent has it: one silent call, the pause
# and the next call must fit into the grace. What is left of it is the loop's own lag.
PUSHED_SHARE = 0.25  # of the grace for each of wait, patience and next call
PUSHED_LONGEST = 0.5  # s of each
PUSHED_LEAST = 0.02  # s of each: a grace near 0 must not become a busy loop


@dataclass(frozen=True, slots=True)
class Freshness:
    """All in seconds."""

    pushed: bool  # tries never end: each list counts as told when the agent has it
    hold: float  # that a call may wait, in the mean
    spread: float  # within which waits lie, round the mean
    patience: float  # beyond its wait, after which a call has fallen silent
    owed: float  # after that, within which calls follow one another until one is answered
    call: float  # for the answer to a call that does not wait, or for the rest of one that has begun
    spacing: float  # between tries, at first
    longest: float  # between tries, which lie further apart each time
    connect: float
    moved: float  # after a new address is given, within which calls follow one another
    first: float  # for the answer to such a call

    def wait(self, chance: float) -> float:
        """Of one call; `chance` from 0 to 1."""
        return self.hold + self.spread * (chance - 0.5)

    def pause(self, failed: int, chance: float) -> float:
        """Before the next try, after so many that failed on end. One service for all that has no room, or is
        down, is not asked by all of them five times a second; an agent has this proxy alone."""
        if self.pushed:
            return self.spacing
        return min(self.longest, self.spacing * 2.0 ** min(failed - 1, MOST_DOUBLINGS)) * (0.5 + 0.5 * chance)


def freshness(asked: bool, grace: float) -> Freshness:
    """From how the settings say that lists come, and their drain_grace."""
    moved = MOVED_TOLD + grace
    if not asked:
        part = max(PUSHED_LEAST, min(PUSHED_LONGEST, PUSHED_SHARE * grace))
        return Freshness(True, part, 0.0, part, 0.0, part, part / 4, part / 4, part / 2, moved, part)
    patience = WAITED_TOLD / 2
    owed = WAITED_TOLD - patience + grace
    call = owed / 2  # two fit
    first = moved / 2
    return Freshness(
        False,
        HOLD,
        HOLD_SPREAD * HOLD,
        patience,
        owed,
        call,
        SPACING,
        call,
        min(CONNECT, call / 2),
        moved,
        first,
    )
