"""The one time budget of polling discovery: how long a poll may wait, when it is silent, what follows.

What is owed: no request to an endpoint that was notified as draining for longer than the settings'
drain_grace. The platform's pages (STANDING) say when a change counts as notified though it never arrived;
every time here is a share of that and of the grace, less what a new poll takes. Pure: figures in, one table
of times out.
"""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.policy.settings_types import Settings

SILENT_CALL_NOTIFIED_S = 2.0  # after the wait of a poll that fell silent: what it missed counts as notified
ADDRESS_CHANGE_NOTIFIED_S = 4.0  # after SIGHUP: what the new address lists counts as notified
WATCH_WAIT_S = 20.0  # that a watch waits where discovery is one service for all: three polls a minute
WATCH_WAIT_SPREAD = 0.5  # of WATCH_WAIT_S, round it: polls that one change ended together come apart again
RETRY_SPACING_S = 0.2  # between the first polls while an answer is owed
MAX_BACKOFF_DOUBLINGS = 10  # of RETRY_SPACING_S: more is beyond every longest backoff
MAX_CONNECT_TIMEOUT_S = 1.0  # for a connection to discovery
# A pushed list costs nothing, and counts from the moment that the agent has it: one silent poll, the backoff
# and the next poll must fit into the grace. What is left of it is the loop's own lag.
PUSH_GRACE_SHARE = 0.25  # of the grace, for each of wait, silence and next poll
MAX_PUSH_WAIT_S = 0.5  # of each
MIN_PUSH_WAIT_S = 0.02  # of each: a grace near 0 must not become a busy loop


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """The times of polling, all in s."""

    is_pushed: bool  # polls never end: each list counts as notified when the agent has it
    watch_wait: float  # that a poll may wait, in the mean
    watch_wait_spread: float  # within which waits lie, round the mean
    silence_timeout: float  # beyond its wait, after which a poll has fallen silent
    retry_window: float  # after that, within which polls follow one another until one is answered
    call_timeout: float  # for the answer to a poll that does not wait, or for the rest of one that has begun
    retry_spacing: float  # between polls, at first
    max_backoff: float  # between polls, which lie further apart each time
    connect_timeout: float
    address_change_window: float  # after a new address is given, within which polls follow one another
    first_list_timeout: float  # for the answer to such a poll

    def draw_watch_wait(self, fraction: float) -> float:
        """Return the wait of one poll; `fraction`: drawn from 0 to 1."""
        return self.watch_wait + self.watch_wait_spread * (fraction - 0.5)

    def draw_backoff(self, failures: int, fraction: float) -> float:
        """Return the wait before the next poll, after so many failures in a row.

        One service for all that has no room, or is down, is not polled by all of them five times a second;
        an agent has this proxy alone. `fraction`: drawn from 0 to 1.
        """
        if self.is_pushed:
            return self.retry_spacing
        backoff = self.retry_spacing * 2.0 ** min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        return min(self.max_backoff, backoff) * (0.5 + 0.5 * fraction)


def poll_schedule_of(settings: Settings) -> PollSchedule:
    """Return how discovery is polled under these settings."""
    return poll_schedule(settings.polls_discovery, settings.drain_grace)


def poll_schedule(is_polled: bool, drain_grace: float) -> PollSchedule:
    """Return the times that follow from how lists come and from the settings' drain_grace (s)."""
    address_change_window = ADDRESS_CHANGE_NOTIFIED_S + drain_grace
    if not is_polled:
        wait = max(MIN_PUSH_WAIT_S, min(MAX_PUSH_WAIT_S, PUSH_GRACE_SHARE * drain_grace))
        return PollSchedule(
            is_pushed=True,
            watch_wait=wait,
            watch_wait_spread=0.0,
            silence_timeout=wait,
            retry_window=0.0,
            call_timeout=wait,
            retry_spacing=wait / 4,
            max_backoff=wait / 4,
            connect_timeout=wait / 2,
            address_change_window=address_change_window,
            first_list_timeout=wait,
        )
    silence_timeout = SILENT_CALL_NOTIFIED_S / 2
    retry_window = SILENT_CALL_NOTIFIED_S - silence_timeout + drain_grace
    call_timeout = retry_window / 2  # two fit
    first_list_timeout = address_change_window / 2
    return PollSchedule(
        is_pushed=False,
        watch_wait=WATCH_WAIT_S,
        watch_wait_spread=WATCH_WAIT_SPREAD * WATCH_WAIT_S,
        silence_timeout=silence_timeout,
        retry_window=retry_window,
        call_timeout=call_timeout,
        retry_spacing=RETRY_SPACING_S,
        max_backoff=call_timeout,
        connect_timeout=min(MAX_CONNECT_TIMEOUT_S, call_timeout / 2),
        address_change_window=address_change_window,
        first_list_timeout=first_list_timeout,
    )
