"""When to ask discovery for the endpoint list: watches, backoff after failures, and doubts about the list."""

from __future__ import annotations

import math
from random import Random

from service_proxy.policy.actions import Action, WatchEndpoints
from service_proxy.policy.events import ListScope
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

MAX_FIRST_DELAY_S = 2.0  # discovery is small and all proxies may start at once: the first watch is spread out
FIRST_DELAY_SHARE = 1 / 4  # of the longest poll interval, that the first watch is delayed by at most
FIRST_BACKOFF_S = 1.0  # doubles with each failure up to the longest poll interval
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
        longest = min(MAX_FIRST_DELAY_S, self.settings.max_poll_interval * FIRST_DELAY_SHARE)
        self.next_watch_at = now + self.random.random() * longest

    def on_update(self, scope: ListScope, now: float) -> None:
        """Take in that a list came, or that a watch failed."""
        if scope is ListScope.FAILED:
            self.is_watching = False
            self.failures += 1
            longest = min(FIRST_BACKOFF_S * 2**self.failures, self.settings.max_poll_interval)
            self.next_watch_at = now + longest * (0.5 + 0.5 * self.random.random())
        elif scope is not ListScope.CACHED:
            self.failures = 0
            self.last_update_at = now
            self.recheck_at = math.inf

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
