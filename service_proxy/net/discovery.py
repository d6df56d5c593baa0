"""Discovery client: polls for complete endpoint lists (fetch) or for changes (watch).

A watch is a poll that the service answers when the list changes, or after the wait that the poll requests.
After a watch times out, the client sends polls without a wait until one of the polls in flight is answered or
the failure is reported to the policy.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from random import Random

from service_proxy.net.discovery_connection import DiscoveryConnection
from service_proxy.net.discovery_polls import PollsInFlight
from service_proxy.net.endpoint_list import Address, EndpointList, parse_endpoint_list
from service_proxy.net.http_status import OK
from service_proxy.net.poll_schedule import PollSchedule

log = logging.getLogger(__name__)

# Minimum time between the starts of two watch polls; limits the poll rate if discovery answers immediately.
MIN_WATCH_SPACING_S = 0.05
MAX_LOGGED_ERROR_CHARS = 200
MAX_FORMER_ADDRESSES = 4  # Former addresses whose polls stay in flight.
LIST_PATH = "/v1/servers"

# Difference between wall clock and monotonic clock, read once: an unchanged since_ms must yield the same
# start time in every list, otherwise a step of the wall clock would appear as a restart of every endpoint.
WALL_CLOCK_OFFSET_S = time.time() - time.monotonic()


class DiscoveryClient:
    """Discovery client that polls on request of the policy, or continuously if lists are pushed.

    A watch sends its next poll without an action of the policy, and repeats failed polls until the retry
    window ends.

    Args:
        address: Address of the discovery service.
        version: Version of the known list; the attribute is None after a change of address, until the new
            service sends a list.
        schedule: Waits and timeouts of the polls.
        seed: Seed of the random share of each wait.
        on_list: Called with each received list.
        on_failed: Called when a failure of polling is reported to the policy.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        schedule: PollSchedule,
        seed: int,
        on_list: Callable[[EndpointList], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.address = address
        self.version: int | None = version
        self.schedule = schedule
        self.random = Random(seed)
        self.on_list = on_list
        self.on_failed = on_failed
        self._watch_task: asyncio.Task[None] | None = None
        self._watch_polls: PollsInFlight | None = None  # Polls of the watch, to the current address.
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        # Tasks that wait for the polls of former addresses, the oldest first.
        self._former_polls: deque[asyncio.Task[None]] = deque()
        self._address_number = 0  # Number of changes of the address.
        self._listed_number = 0  # Number of the address that sent the last list.

    def start(self) -> None:
        """Start the watch if lists are pushed.

        A pushed list counts as notified from the moment that the discovery agent has the list.
        """
        if self.schedule.is_pushed:
            self.watch(True)

    def update_schedule(self, schedule: PollSchedule) -> None:
        """Replace the waits and timeouts, from the next poll on."""
        previous = self.schedule
        self.schedule = schedule
        if not previous.is_pushed:
            self.start()

    def watch(self, enabled: bool) -> None:
        """Restart the watch if enabled, otherwise cancel it.

        A watch that polls a new address for its first list is not restarted: that would only delay the list.
        """
        if self._watch_task is not None:
            if enabled and self.version is None and not self._watch_task.done():
                return
            self._watch_task.cancel()
            self._watch_task = None
        if enabled:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch())

    def change_address(self, address: Address) -> None:
        """Poll another service from now on.

        Responses of the old service are used until the new one has sent a list: if the address changes again
        before a slow service can respond, no list would arrive otherwise. The versions of the two services
        are not comparable, so the watch requests the whole list at once, and changes after that.
        """
        polls, self._watch_polls = self._watch_polls, None
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if polls is not None:
            self._keep_former_polls(polls)
        self.address = address
        self.version = None
        self._address_number += 1
        self.watch(True)

    def _keep_former_polls(self, polls: PollsInFlight) -> None:
        """Wait for the polls of the address that is about to change."""
        former = self._run_former_polls(polls, self._address_number)
        self._former_polls.append(asyncio.get_running_loop().create_task(former))
        while len(self._former_polls) > MAX_FORMER_ADDRESSES:
            self._former_polls.popleft().cancel()

    async def _run_former_polls(self, polls: PollsInFlight, address_number: int) -> None:
        """Apply the list of a former address, unless a later address has sent one meanwhile."""
        try:
            outcome = await polls.first_outcome(self.schedule.late_answer_time)
            if not isinstance(outcome, Exception):
                self._apply(outcome, address_number)
        finally:
            polls.close()

    def fetch(self) -> None:
        """Start one poll for the whole list."""
        task = asyncio.get_running_loop().create_task(self._run_fetch())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def stop(self) -> None:
        """Cancel all polls."""
        for task in (self._watch_task, *self._fetch_tasks, *self._former_polls):
            if task is not None:
                task.cancel()

    async def _run_watch(self) -> None:
        """Poll until a failure is reported to the policy, or until cancelled if lists are pushed.

        The policy decides about a new watch.
        """
        polls = self._watch_polls = PollsInFlight(self._poll)
        loop = asyncio.get_running_loop()
        try:
            started_at = loop.time()
            while await self._receive_list(polls):
                await asyncio.sleep(max(0.0, started_at + MIN_WATCH_SPACING_S - loop.time()))
                started_at = loop.time()
            self.on_failed()
        finally:
            if self._watch_polls is polls:  # Otherwise the address has changed, and the polls go on.
                self._watch_polls = None
                polls.close()

    async def _receive_list(self, polls: PollsInFlight) -> bool:
        """Poll until a list arrives; return False if a poll fails outside the retry window.

        A poll without an answer stays in flight beside the next one: discovery may need longer for each
        answer than this client waits before it polls again.
        """
        loop = asyncio.get_running_loop()
        can_wait = True  # Whether the next poll may wait for a change; False after a failed poll.
        failures = 0
        # End of the retry window (loop time, s); failed polls are repeated until then.
        retry_until = -math.inf
        if self.version is None:
            retry_until = loop.time() + self.schedule.address_change_window
        while True:
            schedule = self.schedule
            target, patience = self._next_poll(schedule, can_wait)
            poll = polls.start(target, patience + schedule.late_answer_time, schedule.max_polls)
            error = self._apply(await polls.first_outcome(patience, poll), self._address_number)
            if error is None:
                return True
            timed_out = isinstance(error, TimeoutError)
            if not poll.done():
                log.warning("discovery_poll_unanswered address=%s:%d waited_s=%.2f", *self.address, patience)
            if timed_out and can_wait and self.version is not None:
                # Changes that this poll missed count as notified after some time, by the platform's rules. A
                # poll without a wait returns these changes, or confirms that there was no change.
                retry_until = loop.time() + schedule.retry_window
            can_wait = False
            if schedule.is_pushed:
                self.on_failed()
            elif loop.time() >= retry_until:
                return False
            failures += 1
            if not timed_out:
                backoff = schedule.draw_backoff(failures, self.random.random())
                if self._apply(await polls.first_outcome(backoff), self._address_number) is None:
                    return True

    def _next_poll(self, schedule: PollSchedule, can_wait: bool) -> tuple[str, float]:
        """Return the target of the next poll, and the time (s) after which another poll starts beside it.

        The poll is for changes since the known list, or for the whole list if no version is known.
        """
        if self.version is None:
            return LIST_PATH, schedule.first_list_timeout
        wait = round(schedule.draw_watch_wait(self.random.random()), 3) if can_wait else 0.0
        target = f"{LIST_PATH}?from={self.version}&hold_ms={wait * 1000:.0f}"
        return target, wait + (schedule.silence_timeout if can_wait else schedule.call_timeout)

    async def _run_fetch(self) -> None:
        connection = DiscoveryConnection()
        address_number = self._address_number
        try:
            endpoint_list = await self._poll(connection, LIST_PATH, self.schedule.first_list_timeout)
        except Exception:  # noqa: BLE001 - any error ends only this poll, which has logged the error
            self.on_failed()
        else:
            if self._apply(endpoint_list, address_number) is not None:
                self.on_failed()
        finally:
            connection.close()

    async def _poll(self, connection: DiscoveryConnection, target: str, timeout: float) -> EndpointList:
        """Poll once, and return the list.

        Raises:
            TimeoutError: The poll is not answered in time, or its answer stalls.
            Exception: The poll failed, or the answer is malformed.
        """
        schedule = self.schedule
        try:
            status_code, body = await connection.get(
                self.address, target, timeout, schedule.connect_timeout, schedule.call_timeout
            )
            if status_code != OK:
                raise ValueError(f"status {status_code}")  # noqa: TRY301 - one error path for all failures
            return parse_endpoint_list(json.loads(body), WALL_CLOCK_OFFSET_S)
        except Exception as error:
            self._log_failure(error)
            raise

    def _apply(self, outcome: EndpointList | Exception, address_number: int) -> Exception | None:
        """Apply the list of an answered poll; return the error of a poll that failed.

        An error ends only this poll, because a watch that ended without notifying the policy would never be
        renewed.

        Args:
            outcome: List or error of the poll.
            address_number: Number of the address that was polled. A list is ignored if a later address has
                sent one before.
        """
        if isinstance(outcome, Exception):
            return outcome
        if address_number < self._listed_number:
            return None
        try:
            self.on_list(outcome)
        except Exception as error:  # noqa: BLE001 - any error ends only this poll
            self._log_failure(error)
            return error
        self._listed_number = address_number
        if address_number == self._address_number:
            self.version = outcome.version
            while self._former_polls:
                self._former_polls.popleft().cancel()
        return None

    def _log_failure(self, error: Exception) -> None:
        reason = str(error)[:MAX_LOGGED_ERROR_CHARS] or type(error).__name__
        log.warning("discovery_poll_failed address=%s:%d reason=%s", *self.address, reason)
