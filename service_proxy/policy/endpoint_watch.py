"""When to ask discovery for the endpoint list: watches, backoff after failures, and doubts about the list."""

from __future__ import annotations

import math
from random import Random

from service_proxy.policy.actions import Action, WatchEndpoints
from service_proxy.policy.events import ListScope
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser
from service_proxy.policy.timing import CONTROL_INTERVAL_S

# Discovery is small and all proxies may start at once, so the first watch is spread out; until then a proxy
# is held to the list that it was started with.
FIRST_DELAY_SHARE = 1 / 2  # of the longest poll interval, that the first watch is delayed by at most
# After a poll that failed, a change counts as notified so long after discovery had it and could be reached,
# whether or not it came (STANDING).
FAILED_POLL_NOTIFIED_S = 6.0
POLL_ANSWER_S = 0.5  # of it, for the answer to the next poll: discovery answers the polls of all in turn
MAX_POLL_FAILURE_S = 2.0  # that a poll waits for discovery at most before it fails
MIN_BACKOFF_SHARE = 0.8  # of the longest backoff, from the second failure on
RECHECK_SPREAD_S = 2.0  # over which proxies ask again where endpoints contradict the list: all see it at once
RECHECK_INTERVAL_S = 8.0  # since the list was asked for or came, within which it is not doubted


class EndpointWatch(SettingsUser):
    """The watch on the endpoint list; where discovery pushes, there is nothing to ask for."""

    def __init__(self, settings: Settings, actions: list[Action], random: Random) -> None:
        super().__init__(settings)
        self.actions = actions
        self.random = random
        self.is_watching = not settings.polls_discovery
        self.next_watch_at = -1.0
        self.failures = 0  # in a row
        self.last_update_at = 0.0  # the last list, or the start of a watch
        self.recheck_at = math.inf  # when to start a new watch although one is on

    def start(self, now: float) -> None:
        """Plan the first watch."""
        longest = FIRST_DELAY_SHARE * self.settings.max_poll_interval
        self.next_watch_at = now + self.random.random() * longest

    def on_update(self, scope: ListScope, now: float) -> None:
        """Take in that a list came, or that a watch failed."""
        if scope is ListScope.FAILED:
            self.is_watching = False
            self.failures += 1
            self.next_watch_at = now + self._draw_backoff(now)
        elif scope is not ListScope.CACHED:
            self.failures = 0
            self.last_update_at = now
            self.recheck_at = math.inf

    def _draw_backoff(self, now: float) -> float:
        """Return the seconds until the next watch after one that failed.

        It is answered in time for the drain grace, should discovery have come back right after the failed
        poll began. So there is no room for a backoff that doubles: what keeps the proxies, which fail
        together, from crowding discovery at its return is that their polls are few and lie evenly apart. The
        first backoff is spread over all of the time, and further ones over its end, which keeps them apart.
        """
        failed_for = now - self.last_update_at
        if failed_for > MAX_POLL_FAILURE_S + CONTROL_INTERVAL_S:
            failed_for = 0.0  # this was a watch, in order until now
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
        """Plan a new watch because an endpoint contradicts the list: it is listed and goes on refusing.

        The watch may be held by what no longer answers; a new one brings at once what was missed. Guards
        against watches that hang or are lost unseen, and lists that are late. Cost: where endpoints crash,
        each proxy that sees it asks once more in RECHECK_INTERVAL_S, spread out.
        """
        if self.settings.polls_discovery and self.is_watching and math.isinf(self.recheck_at):
            earliest = max(now, self.last_update_at + RECHECK_INTERVAL_S)
            self.recheck_at = earliest + self.random.random() * RECHECK_SPREAD_S
