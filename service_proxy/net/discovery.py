"""Discovery: asks for lists of backends (fetch) or for what changed (watch)."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Callable
from random import Random
from typing import Any, cast

import httptools

from service_proxy.net.endpoint_list import Address, EndpointList, parse_endpoint_list
from service_proxy.net.poll_schedule import PollSchedule

log = logging.getLogger(__name__)

MIN_WATCH_SPACING_S = 0.05  # s between two watches, should discovery answer each at once
MAX_RESPONSE_BYTES = 8 << 20  # bytes of an answer

# Wall less monotonic time, taken once: the same since_ms must give the same figure in every list, or a step
# of the wall clock would look like a restart of every backend.
WALL_CLOCK_OFFSET_S = time.time() - time.monotonic()


class _DiscoveryConnection(asyncio.Protocol):
    """One kept connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser: Any = None
        self.body = bytearray()
        self.raw_bytes = 0  # bytes of the answer as they came
        self.completion_timeout = 0.0  # s for an answer that has begun
        self.call_timeout: asyncio.Timeout | None = None  # of the call that is out

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self._fail(ConnectionError("discovery closed the connection"))

    def data_received(self, data: bytes) -> None:
        if not self.raw_bytes and self.call_timeout is not None and not self.call_timeout.expired():
            # It has stopped waiting: an answer that trickles or stands still is a silent one.
            completion_deadline = asyncio.get_running_loop().time() + self.completion_timeout
            self.call_timeout.reschedule(
                min(completion_deadline, self.call_timeout.when() or completion_deadline)
            )
        self.raw_bytes += len(data)
        try:
            if self.response is None or self.response.done() or self.raw_bytes > MAX_RESPONSE_BYTES:
                raise ValueError("more than was asked for")
            self.parser.feed_data(data)
        except Exception as error:  # whatever it is, the stream can't be followed any further
            self._fail(ValueError(f"malformed answer: {error}"))
            self.close()

    def on_body(self, chunk: bytes) -> None:
        self.body += chunk
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise ValueError("the answer is too large")

    def on_message_complete(self) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_result((self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive():
            self.close()

    def _fail(self, error: Exception) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    async def get(
        self, address: Address, target: str, timeout: float, connect_timeout: float, completion_timeout: float
    ) -> tuple[int, bytes]:
        """`timeout` for the whole call, `connect` of it for a connection, `rest` once an answer begins."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout) as call_timeout:
                if self.transport is None:
                    async with asyncio.timeout(connect_timeout):
                        await loop.create_connection(lambda: self, *address)
                assert self.transport is not None
                self.parser = httptools.HttpResponseParser(self)
                self.body.clear()
                self.raw_bytes = 0
                self.completion_timeout = completion_timeout
                self.call_timeout = call_timeout
                self.response = loop.create_future()
                self.transport.write(
                    f"GET {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n".encode()
                )
                return await self.response
        except BaseException:
            self.close()
            raise
        finally:
            self.response = None
            self.call_timeout = None


class DiscoveryClient:
    """Asks as the module says, or all the time where lists are pushed, and hands on each list, or that the
    calls failed. By itself it asks for what a watch brings next, and again where an answer is owed."""

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
        self.version: int | None = version  # None: nothing is known of this server's versions yet
        self.schedule = schedule
        self.random = Random(seed)
        self.on_list = on_list
        self.on_failed = on_failed
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """An agent's list counts as told from the first moment, whoever asks for it."""
        if self.schedule.is_pushed:
            self.watch(True)

    def update_schedule(self, schedule: PollSchedule) -> None:
        previous = self.schedule
        self.schedule = schedule
        if not previous.is_pushed:
            self.start()

    def watch(self, enabled: bool) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if enabled:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch())

    def change_address(self, address: Address) -> None:
        """Another server from now on. What the old one may still say is not heard, and its versions tell
        nothing of the new one's: the whole list comes first, at once, and changes from there."""
        self.stop()
        self.address = address
        self.version = None
        self.watch(True)

    def fetch(self) -> None:
        task = asyncio.get_running_loop().create_task(self._run_fetch())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def stop(self) -> None:
        for task in (self._watch_task, *self._fetch_tasks):
            if task is not None:
                task.cancel()

    async def _run_watch(self) -> None:
        """Ends when a call has failed and no list is owed: then who asked for the watch decides."""
        connection = _DiscoveryConnection()
        loop = asyncio.get_running_loop()
        can_wait = True  # the next call may: nothing is in doubt
        failures = 0  # calls, on end
        retry_until = (
            loop.time() + self.schedule.address_change_window if self.version is None else -math.inf
        )  # until then one is owed
        try:
            while True:
                started_at = loop.time()
                schedule = self.schedule
                if self.version is None:
                    error = await self._poll(connection, "/v1/servers", schedule.first_list_timeout)
                else:
                    wait = round(schedule.draw_watch_wait(self.random.random()), 3) if can_wait else 0.0
                    target = f"/v1/servers?from={self.version}&hold_ms={wait * 1000:.0f}"
                    error = await self._poll(
                        connection,
                        target,
                        wait + (schedule.silence_timeout if can_wait else schedule.call_timeout),
                    )
                if error is None:
                    can_wait = True
                    retry_until = -math.inf
                    failures = 0
                    await asyncio.sleep(max(0.0, started_at + MIN_WATCH_SPACING_S - loop.time()))
                    continue
                timed_out = isinstance(error, TimeoutError)
                if timed_out and can_wait and self.version is not None:
                    # What it missed will count as told: a call that needs no wait brings it, or tells that
                    # there was nothing.
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

    async def _run_fetch(self) -> None:
        connection = _DiscoveryConnection()
        try:
            if await self._poll(connection, "/v1/servers", self.schedule.first_list_timeout) is not None:
                self.on_failed()
        finally:
            connection.close()

    async def _poll(self, connection: _DiscoveryConnection, target: str, timeout: float) -> Exception | None:
        """What went wrong ends this call only: a watch that ended untold would never be renewed."""
        schedule = self.schedule
        try:
            status_code, body = await connection.get(
                self.address, target, timeout, schedule.connect_timeout, schedule.call_timeout
            )
            if status_code != 200:
                raise ValueError(f"status {status_code}")
            endpoint_list = parse_endpoint_list(json.loads(body), WALL_CLOCK_OFFSET_S)
            self.on_list(endpoint_list)
        except Exception as error:
            log.warning("discovery %s:%d: %s", *self.address, str(error)[:200] or type(error).__name__)
            return error
        self.version = endpoint_list.version
        return None
