"""The one budget of asking discovery: how long a call may wait, when it has fallen silent, what follows.

What is owed: no request to a backend that has been told as leaving for longer than the settings' drain_grace.
The platform's pages say when a change counts as told though it never arrived; every span here is a share of
that time and the grace, less what a new call takes. Pure: figures in, one table of spans out.
"""

from __future__ import annotations

from dataclasses import dataclass

SILENT_CALL_NOTIFIED_S = (
    2.0  # s after the wait of a call that fell silent: what it missed counts as told (STANDING)
)
ADDRESS_CHANGE_NOTIFIED_S = 4.0  # s after SIGHUP: what the new address lists counts as told (STANDING)
WATCH_WAIT_S = 20.0  # s that a watch waits where discovery is one service for all: three calls a minute
WATCH_WAIT_SPREAD = 0.5  # of HOLD, round it: calls that one change ended together come apart again
RETRY_SPACING_S = 0.2  # s between the first tries while an answer is owed
MAX_BACKOFF_DOUBLINGS = 10  # of SPACING: more is beyond every longest pause
MAX_CONNECT_TIMEOUT_S = 1.0  # s for a connection to discovery, at most
# A pushed list costs nothing, and counts from the moment that the agent has it: one silent call, the pause
# and the next call must fit into the grace. What is left of it is the loop's own lag.
PUSH_GRACE_SHARE = 0.25  # of the grace for each of wait, patience and next call
MAX_PUSH_WAIT_S = 0.5  # s of each
MIN_PUSH_WAIT_S = 0.02  # s of each: a grace near 0 must not become a busy loop


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """All in seconds."""

    is_pushed: bool  # tries never end: each list counts as told when the agent has it
    watch_wait: float  # that a call may wait, in the mean
    watch_wait_spread: float  # within which waits lie, round the mean
    silence_timeout: float  # beyond its wait, after which a call has fallen silent
    retry_window: float  # after that, within which calls follow one another until one is answered
    call_timeout: float  # for the answer to a call that does not wait, or for the rest of one that has begun
    retry_spacing: float  # between tries, at first
    max_backoff: float  # between tries, which lie further apart each time
    connect_timeout: float
    address_change_window: float  # after a new address is given, within which calls follow one another
    first_list_timeout: float  # for the answer to such a call

    def draw_watch_wait(self, fraction: float) -> float:
        """Of one call; `chance` from 0 to 1."""
        return self.watch_wait + self.watch_wait_spread * (fraction - 0.5)

    def draw_backoff(self, failures: int, fraction: float) -> float:
        """Before the next try, after so many that failed on end. One service for all that has no room, or is
        down, is not asked by all of them five times a second; an agent has this proxy alone."""
        if self.is_pushed:
            return self.retry_spacing
        return min(self.max_backoff, self.retry_spacing * 2.0 ** min(failures - 1, MAX_BACKOFF_DOUBLINGS)) * (
            0.5 + 0.5 * fraction
        )


def poll_schedule(is_polled: bool, drain_grace: float) -> PollSchedule:
    """From how the settings say that lists come, and their drain_grace."""
    address_change_window = ADDRESS_CHANGE_NOTIFIED_S + drain_grace
    if not is_polled:
        wait = max(MIN_PUSH_WAIT_S, min(MAX_PUSH_WAIT_S, PUSH_GRACE_SHARE * drain_grace))
        return PollSchedule(
            True, wait, 0.0, wait, 0.0, wait, wait / 4, wait / 4, wait / 2, address_change_window, wait
        )
    silence_timeout = SILENT_CALL_NOTIFIED_S / 2
    retry_window = SILENT_CALL_NOTIFIED_S - silence_timeout + drain_grace
    call_timeout = retry_window / 2  # two fit
    first_list_timeout = address_change_window / 2
    return PollSchedule(
        False,
        WATCH_WAIT_S,
        WATCH_WAIT_SPREAD * WATCH_WAIT_S,
        silence_timeout,
        retry_window,
        call_timeout,
        RETRY_SPACING_S,
        call_timeout,
        min(MAX_CONNECT_TIMEOUT_S, call_timeout / 2),
        address_change_window,
        first_list_timeout,
    )
