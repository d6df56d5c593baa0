"""Reader of the path's children over a session: all names after a random delay, then the pending children.

The rate of reads is bounded. The children cache decides which children to read.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

from service_proxy.ephemeral_nodes.children_cache import ChildChanges, ChildrenCache
from service_proxy.ephemeral_nodes.codes import ErrorCode
from service_proxy.ephemeral_nodes.errors import ConnectionLostError, ServiceError, TooManyRequestsError
from service_proxy.ephemeral_nodes.session import Session
from service_proxy.operator_file import Membership as MembershipSettings

log = logging.getLogger(__name__)

MAX_READS_IN_FLIGHT = 64
READ_BURST_S = 0.05  # Time during which unused reads of the bounded rate accumulate for a burst.
# Mean wait after a failed read while the connection is up; an actual wait is 50 % to 150 % of the mean.
READ_RETRY_S = 1.0
ONE_SHOT = "one-shot"  # Values of settings.watch.
PERSISTENT = "persistent"

ReadTasks = set[asyncio.Task[None]]


class ChildrenReader:
    """Reader that keeps a children cache up to date.

    `on_changes` is called with the changes of each read, `on_complete` each time that no read is left.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        children: ChildrenCache,
        random: Random,
        on_changes: Callable[[ChildChanges], None],
        on_complete: Callable[[], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.children = children
        self.random = random
        self.on_changes = on_changes
        self.on_complete = on_complete
        self.lacks_persistent_watches = False  # Whether the service has no persistent watches.
        self.may_have_missed_changes = True  # Whether data may have changed while no watch was set.
        self.data_read_count = 0
        self.names_read_count = 0  # Count of reads of all names.
        self._is_names_read_due = False
        self._read_needed = asyncio.Event()

    def read_names(self) -> None:
        """Schedule a read of all names."""
        self._is_names_read_due = True
        self._read_needed.set()

    def read_pending(self) -> None:
        """Schedule the cache's pending reads."""
        self._read_needed.set()

    def on_connected(self, session: Session) -> None:
        """Prepare for a new connection of the session; call `run` afterwards."""
        # One-shot watches are set again with the last zxid, and the server then reports the changes since.
        # Persistent watches don't report such changes.
        self.may_have_missed_changes = self.may_have_missed_changes or not session.watches.data
        self.read_names()

    async def run(self, session: Session) -> None:
        """Read over one connection until it is lost."""
        while True:
            try:
                await self._read_all(session)
            except ConnectionLostError:
                return
            except (ServiceError, TooManyRequestsError, ValueError) as error:
                self._is_names_read_due = True
                log.warning("read_failed path=%s error=%s", self.settings.path, error)
                await asyncio.sleep(READ_RETRY_S * (0.5 + self.random.random()))

    async def _read_all(self, session: Session) -> None:
        if self._is_names_read_due or not self.children.has_names:
            await asyncio.sleep(self.random.random() * self.settings.reread_jitter)
            await self._read_names(session)
        await self._read_pending(session)
        if self.children.is_complete and not self._is_names_read_due:
            self.on_complete()
            self._read_needed.clear()
            await self._read_needed.wait()

    async def _read_names(self, session: Session) -> None:
        """Read all names once, however many changes were reported since the last read."""
        path = self.settings.path
        await self._watch(session)
        self._is_names_read_due = False
        try:
            names, _ = await session.get_children2(path, watch=not session.watches.recursive)
        except ServiceError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            await session.exists(path, watch=True)
            log.warning("path_missing path=%s (all of its endpoints are reported as lost together)", path)
            names = []
        self.names_read_count += 1
        self.on_changes(self.children.on_names(names))
        if self.may_have_missed_changes:
            # A persistent watch does not report changes from the time without a connection.
            self.may_have_missed_changes = False
            self.children.invalidate_all()

    async def _watch(self, session: Session) -> None:
        if self.settings.watch == ONE_SHOT or session.watches.recursive or self.lacks_persistent_watches:
            return
        self.lacks_persistent_watches = not await session.watch_recursive(self.settings.path)
        if self.lacks_persistent_watches and self.settings.watch == PERSISTENT:
            log.warning("persistent_watches_unavailable used=%s", ONE_SHOT)

    async def _read_pending(self, session: Session) -> None:
        in_flight: ReadTasks = set()
        interval = 1 / self.settings.reads_per_s
        due = self.loop.time()
        try:
            while not self._is_names_read_due:
                name = self.children.next_read()
                if name is None:
                    if not in_flight:
                        return
                    in_flight = await _wait_for_one(in_flight)
                    continue
                in_flight.add(self.loop.create_task(self._read_child(session, name)))
                due = max(due, self.loop.time() - READ_BURST_S) + interval
                wait = due - self.loop.time()
                if wait > 0:
                    await asyncio.sleep(wait)
                if len(in_flight) >= MAX_READS_IN_FLIGHT:
                    in_flight = await _wait_for_one(in_flight)
                in_flight = {task for task in in_flight if not task.done()}
        finally:
            for task in in_flight:
                task.cancel()

    async def _read_child(self, session: Session, name: str) -> None:
        path = f"{self.settings.path.rstrip('/')}/{name}"
        try:
            data, stat = await session.get_data(path, watch=not session.watches.recursive)
        except ServiceError as error:
            if error.code == ErrorCode.NO_NODE:
                self.on_changes(self.children.on_absent(name))
            else:
                log.warning("read_failed path=%s error=%s", path, error)
        except (ConnectionLostError, TooManyRequestsError, asyncio.CancelledError):
            self.children.pending_reads.setdefault(name)
            raise
        else:
            self.data_read_count += 1
            self.on_changes(self.children.on_data(name, data, stat))


async def _wait_for_one(tasks: ReadTasks) -> ReadTasks:
    """Wait until at least one task has ended; return the tasks that are still running."""
    _, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    return pending
