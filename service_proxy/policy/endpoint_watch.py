"""Schedule of the watches on the endpoint list: first start, backoff after failures, and rechecks."""

from __future__ import annotations

import math
from random import Random

from service_proxy.policy.actions import Action, WatchEndpoints
from service_proxy.policy.events import ListScope
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

# Discovery has little capacity and all proxies may start at once, so the first watches are spread over time.
# Until its first watch, a proxy is only required to follow the list that it was started with.
FIRST_DELAY_SHARE = 1 / 2  # Longest delay of the first watch, as a share of the longest poll interval.
# Time after which a change counts as notified although a poll failed and the change may not have arrived. The
# time starts when discovery has the change and is reachable (operators' page STANDING).
FAILED_POLL_NOTIFIED_S = 6.0
# Part of FAILED_POLL_NOTIFIED_S for the answer to the next poll, because discovery answers one poll after
# another.
POLL_ANSWER_S = 0.5
MAX_POLL_FAILURE_S = 2.0  # Longest time that a poll waits for discovery before the poll fails.
MIN_BACKOFF_SHARE = 0.8  # Shortest backoff from the second failure on, as a share of the longest backoff.
# Time over which proxies spread their rechecks, because all proxies detect at once that a listed endpoint
# refuses connections.
RECHECK_SPREAD_S = 2.0
# Time after a request for the list, or after the arrival of the list, within which no recheck starts.
RECHECK_INTERVAL_S = 8.0


class EndpointWatch(SettingsUser):
    """Watch on the endpoint list; the watch is always active if discovery pushes the list."""

    def __init__(self, settings: Settings, actions: list[Action], random: Random) -> None:
        super().__init__(settings)
        self.actions = actions
        self.random = random
        self.is_watching = not settings.polls_discovery
        self.next_watch_at = -1.0
        self.failures = 0  # Consecutive failures.
        self.last_update_at = 0.0  # Time of the last list or of the last start of a watch.
        self.recheck_at = math.inf  # Time to start a new watch although one is active.

    def start(self, now: float) -> None:
        """Schedule the first watch."""
        longest = FIRST_DELAY_SHARE * self.settings.max_poll_interval
        self.next_watch_at = now + self.random.random() * longest

    def on_update(self, scope: ListScope, now: float) -> None:
        """Record the arrival of a list or the failure of a watch."""
        if scope is ListScope.FAILED:
            self.is_watching = False
            self.failures += 1
            self.next_watch_at = now + self._draw_backoff(now)
        elif scope is not ListScope.CACHED:
            self.failures = 0
            self.last_update_at = now
            self.recheck_at = math.inf

    def _draw_backoff(self, now: float) -> float:
        """Return the seconds until the next watch after a failed one.

        The next watch must be answered within the drain grace, even if discovery recovered right after the
        failed poll began. This leaves no time for an exponential backoff. The polls of all proxies fail
        together, but discovery is not overloaded when it recovers, because the polls are few and evenly
        spaced. The first backoff is drawn from the whole available time, and each later backoff from the last
        fifth of this time, which preserves the spacing.
        """
        # A watch that failed may have owed an answer for this time, however long it was active before.
        failed_for = min(now - self.last_update_at, MAX_POLL_FAILURE_S)
        longest = FAILED_POLL_NOTIFIED_S + self.settings.drain_grace - POLL_ANSWER_S - failed_for
        longest = min(longest, self.settings.max_poll_interval)
        shortest = 0.0 if self.failures == 1 else MIN_BACKOFF_SHARE * longest
        return self.random.uniform(shortest, longest)

    def run(self, now: float) -> None:
        """Start a watch if one is due."""
        if (not self.is_watching and now >= self.next_watch_at) or now >= self.recheck_at:
            self.is_watching = True
            self.last_update_at = now
            self.recheck_at = math.inf
            self.actions.append(WatchEndpoints(True))

    def schedule_recheck(self, now: float) -> None:
        """Schedule a new watch because a listed endpoint keeps refusing connections.

        The present watch may depend on a peer that no longer answers, and a new watch returns the missed
        changes at once. This limits the effect of watches that hang or are lost without notice, and of
        late lists. Cost: if endpoints crash, each proxy that detects refused connections sends one more
        request per RECHECK_INTERVAL_S. These requests are spread over time.
        """
        if self.settings.polls_discovery and self.is_watching and math.isinf(self.recheck_at):
            earliest = max(now, self.last_update_at + RECHECK_INTERVAL_S)
            self.recheck_at = earliest + self.random.random() * RECHECK_SPREAD_S
