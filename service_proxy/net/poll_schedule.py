"""Schedule of polling discovery: wait of a poll, timeouts, and delays after a failure.

Requirement: a draining endpoint receives no request later than the settings' drain_grace after its draining
was notified. The platform's page STANDING defines when a change counts as notified although the change never
reached the proxy. The times in this module are shares of that time and of the grace, minus the duration of a
new poll. This module does no I/O and reads no clock: it computes one table of times from the settings.
"""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.policy.settings_types import Settings

# Time after the wait of an unanswered poll at which the changes that the poll missed count as notified.
SILENT_CALL_NOTIFIED_S = 2.0
ADDRESS_CHANGE_NOTIFIED_S = 4.0  # Time after SIGHUP at which the list of the new address counts as notified.
WATCH_WAIT_S = 20.0  # Wait of a watch poll if discovery is a central service: three polls a minute.
# Range of the waits around WATCH_WAIT_S, as a share of WATCH_WAIT_S. A change ends the polls of many proxies
# at once, and random waits spread the next polls.
WATCH_WAIT_SPREAD = 0.5
CALLS_IN_RETRY_WINDOW = 2  # Number of unanswered calls that fit into the retry window.
RETRY_SPACING_S = 0.2  # Time between the first polls after a failure.
# Maximum number of doublings of RETRY_SPACING_S; the result exceeds every max_backoff.
MAX_BACKOFF_DOUBLINGS = 10
MAX_CONNECT_TIMEOUT_S = 1.0  # Timeout of establishing a connection to discovery.
# Pushed lists come from an agent that serves only this proxy. A pushed list costs nothing, and counts as
# notified from the moment that the agent has the list. One unanswered poll, the backoff and the next poll
# must fit into the grace; the rest of the grace covers the lag of the event loop.
PUSH_GRACE_SHARE = 0.25  # Share of the grace for each of the wait, the silence timeout and the next poll.
MAX_PUSH_WAIT_S = 0.5  # Upper bound of the wait, of the silence timeout and of the next poll.
# Lower bound of the wait, of the silence timeout and of the next poll; avoids a busy loop if the grace is
# near 0.
MIN_PUSH_WAIT_S = 0.02


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """Times of polling, all in s."""

    # True if an agent has the lists pushed to it. Polling then never stops, because each list counts as
    # notified from the moment that the agent has the list.
    is_pushed: bool
    watch_wait: float  # Mean wait of a poll.
    watch_wait_spread: float  # Range of the waits around the mean.
    silence_timeout: float  # Time after the wait of a poll at which the next poll starts beside it.
    retry_window: float  # Time after a silence timeout in which polls repeat until one is answered.
    # Time after a poll without a wait at which the next poll starts beside it, and timeout of the rest of a
    # response that has begun.
    call_timeout: float
    retry_spacing: float  # Initial time between polls after a failure.
    max_backoff: float  # Upper bound of the growing time between polls after failures.
    # Time for which a poll stays in flight beside the next ones; 0: it is cancelled when the next one starts.
    late_answer_time: float
    max_polls: int  # Maximum number of polls in flight.
    connect_timeout: float
    # Time after a change of address in which polls repeat until one is answered.
    address_change_window: float
    first_list_timeout: float  # Timeout of a poll for a whole list.

    def draw_watch_wait(self, fraction: float) -> float:
        """Return the wait of one poll; `fraction` is a random number from 0 to 1."""
        return self.watch_wait + self.watch_wait_spread * (fraction - 0.5)

    def draw_backoff(self, failures: int, fraction: float) -> float:
        """Return the wait before the next poll, after this number of failures in a row.

        The backoff grows so that the proxies don't poll an overloaded or failed central service five times a
        second. An agent serves only this proxy, so its polls have a fixed spacing. `fraction` is a random
        number from 0 to 1.
        """
        if self.is_pushed:
            return self.retry_spacing
        backoff = self.retry_spacing * 2.0 ** min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        return min(self.max_backoff, backoff) * (0.5 + 0.5 * fraction)


def poll_schedule_of(settings: Settings) -> PollSchedule:
    """Return the schedule of polling discovery under these settings."""
    return poll_schedule(settings.polls_discovery, settings.drain_grace)


def poll_schedule(is_polled: bool, drain_grace: float) -> PollSchedule:
    """Return the schedule for polled or pushed lists and the settings' drain_grace (s)."""
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
            late_answer_time=0.0,
            max_polls=1,
            connect_timeout=wait / 2,
            address_change_window=address_change_window,
            first_list_timeout=wait,
        )
    silence_timeout = SILENT_CALL_NOTIFIED_S / 2
    retry_window = SILENT_CALL_NOTIFIED_S - silence_timeout + drain_grace
    call_timeout = retry_window / CALLS_IN_RETRY_WINDOW
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
        late_answer_time=max(retry_window, address_change_window),
        max_polls=1 + CALLS_IN_RETRY_WINDOW,
        connect_timeout=min(MAX_CONNECT_TIMEOUT_S, call_timeout / 2),
        address_change_window=address_change_window,
        first_list_timeout=first_list_timeout,
    )
