"""Runner of the single `Balancer`: collects events into batches, and passes each action to its handler.

This module is the only caller of the policy. The runner owns the policy's timers, and catches all exceptions
of the policy.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from typing import Any

import service_proxy as api
from service_proxy.policy.balancer import Balancer

log = logging.getLogger(__name__)

LOOP_LAG_DECAY = 0.995  # Factor by which the measured loop lag decays at each timer.
RETRIED_TIMER_S = 0.05  # Delay before a timer event is repeated after the policy failed on it.


class PolicyRunner:
    """Runner that passes events to the policy and runs its actions, at most once per quantum.

    Attributes:
        quantum: Time (s) between two batches of events.
        action_handlers: Handler by action type; set by the component that runs the actions.
        on_request_failed: Called with the id of each request whose event or action failed.
        loop_lag: Recent delay (s) of this event loop's timers.
    """

    def __init__(self, balancer: Balancer, quantum: float, on_request_failed: Callable[[int], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.balancer = balancer
        self.quantum = quantum
        self.on_request_failed = on_request_failed
        self.action_handlers: Mapping[type, Callable[[Any], None]] = {}
        self.pending_events: list[api.Event] = []
        self.flush_handle: asyncio.Handle | None = None
        self.last_flush_at = 0.0
        self.loop_lag = 0.0

    def enqueue(self, event: api.Event) -> None:
        """Queue an event for the next batch."""
        self.pending_events.append(event)
        if self.flush_handle is None:
            wait = self.last_flush_at + self.quantum - time.monotonic()
            if wait > 0:
                self.flush_handle = self.loop.call_later(wait, self.flush)
            else:
                self.flush_handle = self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Pass all queued events to the policy, and run the returned actions."""
        self.flush_handle = None
        now = self.last_flush_at = time.monotonic()
        events = self.pending_events
        self.pending_events = []
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            log.exception("policy_failed events=%d", len(events))
            self._recover(events)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:  # The failure of one action must not prevent the other actions.
                log.exception("action_failed action=%s", action)
                request_id = getattr(action, "request_id", None)
                if request_id is not None:
                    self.on_request_failed(request_id)

    def _recover(self, events: list[api.Event]) -> None:
        """Fail the requests and repeat the timers of a batch on which the policy failed."""
        for event in events:
            if isinstance(event, api.RequestArrived | api.AttemptEnded):
                self.on_request_failed(event.request_id)
            elif isinstance(event, api.TimerFired):
                self.set_timer(api.SetTimer(RETRIED_TIMER_S, event.token))

    def set_timer(self, action: api.SetTimer) -> None:
        """Queue a TimerFired event after the action's delay (s)."""
        due = time.monotonic() + action.delay
        self.loop.call_later(max(0.0, action.delay), self._on_timer, due, action.token)

    def _on_timer(self, due: float, token: int) -> None:
        self.loop_lag = max(self.loop_lag * LOOP_LAG_DECAY, time.monotonic() - due)
        self.enqueue(api.TimerFired(token))
