"""The discovery client: polls for endpoint lists (fetch) or for what changed (watch).

A watch is a poll that the service answers at a change, or after the wait that the poll names. One that falls
silent is followed by polls that name no wait, until one is answered or the policy has to know.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Callable
from random import Random

from service_proxy.net.discovery_connection import DiscoveryConnection
from service_proxy.net.endpoint_list import Address, EndpointList, parse_endpoint_list
from service_proxy.net.http_status import OK
from service_proxy.net.poll_schedule import PollSchedule

log = logging.getLogger(__name__)

MIN_WATCH_SPACING_S = 0.05  # between two watches, should discovery answer each at once
MAX_LOGGED_ERROR_CHARS = 200
LIST_PATH = "/v1/servers"

# Wall less monotonic time, taken once: the same since_ms must give the same figure in every list, or a step
# of the wall clock would look like a restart of every endpoint.
WALL_CLOCK_OFFSET_S = time.time() - time.monotonic()


class DiscoveryClient:
    """Polls as the policy says, or all the time where lists are pushed.

    By itself it polls for what a watch brings next, and again where an answer is owed.

    Args:
        address: of the service.
        version: of the list that is known; None: nothing is known of this service's versions yet.
        schedule: the waits and timeouts.
        seed: of the random share of each wait.
        on_list: called with each list.
        on_failed: called where polls failed.
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
        self._fetch_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to watch, where lists are pushed: they count from the first moment, whoever asks for them."""
        if self.schedule.is_pushed:
            self.watch(True)

    def update_schedule(self, schedule: PollSchedule) -> None:
        """Put other waits and timeouts in force, from the next poll on."""
        previous = self.schedule
        self.schedule = schedule
        if not previous.is_pushed:
            self.start()

    def watch(self, enabled: bool) -> None:
        """Begin a watch anew, or end it."""
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if enabled:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch())

    def change_address(self, address: Address) -> None:
        """Poll another service from now on.

        What the old one may still say is ignored, and its versions tell nothing of the new one's: the whole
        list comes first, at once, and changes from there.
        """
        self.stop()
        self.address = address
        self.version = None
        self.watch(True)

    def fetch(self) -> None:
        """Poll once for the whole list."""
        task = asyncio.get_running_loop().create_task(self._run_fetch())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def stop(self) -> None:
        """End all polls."""
        for task in (self._watch_task, *self._fetch_tasks):
            if task is not None:
                task.cancel()

    async def _run_watch(self) -> None:
        """Poll on until a poll has failed and no list is owed: then who asked for the watch decides."""
        connection = DiscoveryConnection()
        loop = asyncio.get_running_loop()
        can_wait = True  # the next poll may: nothing is in doubt
        failures = 0  # in a row
        retry_until = -math.inf  # until then a list is owed
        if self.version is None:
            retry_until = loop.time() + self.schedule.address_change_window
        try:
            while True:
                started_at = loop.time()
                schedule = self.schedule
                error = await self._poll_change(connection, schedule, can_wait)
                if error is None:
                    can_wait = True
                    retry_until = -math.inf
                    failures = 0
                    await asyncio.sleep(max(0.0, started_at + MIN_WATCH_SPACING_S - loop.time()))
                    continue
                timed_out = isinstance(error, TimeoutError)
                if timed_out and can_wait and self.version is not None:
                    # What it missed will count as notified: a poll that needs no wait brings it, or tells
                    # that there was nothing.
                    retry_until = loop.time() + schedule.retry_window
                can_wait = False
                if schedule.is_pushed or loop.time() >= retry_until:
                    self.on_failed()
                    if not schedule.is_pushed:
                        return
                failures += 1
                if not timed_out:
                    await asyncio.sleep(schedule.draw_backoff(failures, self.random.random()))
        finally:
            connection.close()

    async def _poll_change(
        self, connection: DiscoveryConnection, schedule: PollSchedule, can_wait: bool
    ) -> Exception | None:
        """Poll for what has changed since the known list, or for the whole list where none is known."""
        if self.version is None:
            return await self._poll(connection, LIST_PATH, schedule.first_list_timeout)
        wait = round(schedule.draw_watch_wait(self.random.random()), 3) if can_wait else 0.0
        target = f"{LIST_PATH}?from={self.version}&hold_ms={wait * 1000:.0f}"
        timeout = wait + (schedule.silence_timeout if can_wait else schedule.call_timeout)
        return await self._poll(connection, target, timeout)

    async def _run_fetch(self) -> None:
        connection = DiscoveryConnection()
        try:
            if await self._poll(connection, LIST_PATH, self.schedule.first_list_timeout) is not None:
                self.on_failed()
        finally:
            connection.close()

    async def _poll(self, connection: DiscoveryConnection, target: str, timeout: float) -> Exception | None:
        """Poll once, and return what went wrong.

        That ends this poll only: a watch that ended without a word to the policy would never be renewed.
        """
        schedule = self.schedule
        try:
            status_code, body = await connection.get(
                self.address, target, timeout, schedule.connect_timeout, schedule.call_timeout
            )
            if status_code != OK:
                raise ValueError(f"status {status_code}")  # noqa: TRY301 - one way out for all
            endpoint_list = parse_endpoint_list(json.loads(body), WALL_CLOCK_OFFSET_S)
            self.on_list(endpoint_list)
        except Exception as error:  # noqa: BLE001 - whatever it is, see above
            reason = str(error)[:MAX_LOGGED_ERROR_CHARS] or type(error).__name__
            log.warning("discovery_poll_failed address=%s:%d reason=%s", *self.address, reason)
            return error
        self.version = endpoint_list.version
        return None
