"""Observer of a fleet of real processes.

It polls each member's view, and reads each member's log.
"""

from __future__ import annotations

import asyncio
import os
import re
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from harness.event_loop import until
from harness.fleet.fault_relay import DatagramRelay, loopback_address
from harness.fleet.slots import FleetOptions, Slot
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.errors import MalformedDatagramError
from service_proxy.fleet.view_query import ViewPage, ViewRow, decode_view_page, encode_view_request

POLL_INTERVAL_S = 0.1  # interval between two requests for each view
VIEW_TIMEOUT_S = 2.0
MAX_ID = 65535
FLEET_KEY = "0123456789abcdef" * 4  # key of fleets that authenticate their datagrams
CHANGE_LINE = re.compile(
    r"service_proxy\.fleet: member_state_changed revision=(\d+) at_s=([\d.]+) member=(\S+) "
    r"before=(\w+) after=(\w+) incarnation=(\S+) source=(\S+) reason=(.*)"
)
KEPT_LINE_MARKERS = ("service_proxy.fleet", "service_proxy.recovery", "ERROR", "Traceback")


@dataclass(slots=True)
class LoggedChange:
    """A log line of a member about a change of its view."""

    observer: str
    revision: int
    at: float
    name: str
    before: str
    after: str
    incarnation: str
    source: str
    reason: str


class ObservedFleet(Protocol):
    """Interface of the harness that the observer uses."""

    loop: asyncio.AbstractEventLoop
    options: FleetOptions
    slots: list[Slot]
    port: int
    relay: DatagramRelay
    starting: int

    @property
    def living(self) -> Sequence[Slot]:
        """Slots whose process runs and is not suspended."""

    def create_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine until the harness ends."""


class _ViewSocket(asyncio.DatagramProtocol):
    """Socket that receives the members' answers."""

    def __init__(self, observer: FleetObserver) -> None:
        self.observer = observer

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.observer.on_answer(str(addr[0]), data)

    def error_received(self, exc: Exception) -> None:
        pass


class FleetObserver:
    """Collector of every member's view, from its answers, and of each change in its log.

    Attributes:
        pages: the last received first page of each member's view, with its arrival time.
        changes: logged changes, in the order in which they were read.
        on_event: called once with each "NAME is STATE", when the first log contains this change.
    """

    def __init__(self, harness: ObservedFleet) -> None:
        self.harness = harness
        self.authenticator = MessageAuthenticator([bytes.fromhex(FLEET_KEY)] if harness.options.keys else ())
        self.transport: asyncio.DatagramTransport | None = None
        self.last_request_id = 0
        self.pages: dict[str, tuple[float, ViewPage]] = {}
        self.changes: list[LoggedChange] = []
        # log lines of the fleet that report no change, by the slot's name
        self.lines: dict[str, list[str]] = {}
        self.on_event: Callable[[str], None] | None = None
        self.reported_events: set[str] = set()
        self.pending_requests: dict[int, asyncio.Future[ViewPage]] = {}

    def start(self) -> None:
        """Start to poll all views and logs."""
        self.harness.create_task(self._poll_views())

    async def _poll_views(self) -> None:
        loop = self.harness.loop
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ViewSocket(self), local_addr=("127.0.0.1", 0)
        )
        self.transport = transport
        while True:
            for slot in self.harness.living:
                if slot.program is not None:
                    self._request_view(slot, 0)
            self.read_logs()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _request_view(self, slot: Slot, first: int) -> int:
        self.last_request_id = self.last_request_id % MAX_ID + 1
        at = loopback_address(77, slot.number)
        if self.transport is not None:
            nonce = os.getpid() % MAX_ID + 1
            data = encode_view_request(first, self.last_request_id, 1, nonce, self.authenticator)
            self.transport.sendto(data, (at, self.harness.port))
        return self.last_request_id

    def on_answer(self, at: str, data: bytes) -> None:
        """Store a page that a member sent."""
        try:
            page = decode_view_page(data, self.authenticator)
        except MalformedDatagramError:
            return
        pending = self.pending_requests.pop(page.request_id, None)
        if pending is None:
            slot = self.harness.slots[self.harness.relay.number_by_address[at]]
            self.pages[slot.name] = time.monotonic(), page
        elif not pending.done():
            pending.set_result(page)

    async def fetch_view(self, slot: Slot) -> tuple[ViewPage, list[ViewRow]]:
        """Return the last page and all rows of one member's view."""
        rows: list[ViewRow] = []
        while True:
            number = self._request_view(slot, len(rows))
            self.pending_requests[number] = asyncio.get_running_loop().create_future()
            page = await asyncio.wait_for(self.pending_requests[number], VIEW_TIMEOUT_S)
            rows += page.rows
            if len(rows) >= page.row_count or not page.rows:
                return page, rows

    def read_logs(self) -> None:
        """Read the new lines of all logs."""
        for slot in self.harness.slots:
            log = slot.folder / "log"
            if not log.exists():
                continue
            with log.open("rb") as source:
                source.seek(slot.log_position)
                data = source.read()
            end = data.rfind(b"\n") + 1
            slot.log_position += end
            for line in data[:end].decode(errors="replace").splitlines():
                self._read_line(slot, line)

    def _read_line(self, slot: Slot, line: str) -> None:
        match = CHANGE_LINE.search(line)
        if match is None:
            if any(text in line for text in KEPT_LINE_MARKERS):
                self.lines.setdefault(slot.name, []).append(line)
            return
        revision, at, name, before, after, incarnation, source, reason = match.groups()
        change = LoggedChange(
            slot.name, int(revision), float(at), name, before, after, incarnation, source, reason
        )
        self.changes.append(change)
        event = f"{name} is {after}"
        if self.on_event is not None and event not in self.reported_events:
            self.reported_events.add(event)
            self.on_event(event)

    def discard_view(self, slot: Slot) -> None:
        """Discard the last page of a slot whose process ends."""
        self.pages.pop(slot.name, None)

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    # Checks
    def views_agree(self, since: float = 0.0, settled: bool = False) -> bool:
        """Return whether all living members have the same view, which lists the living members.

        Only answers after `since` count.
        """
        slots = self.harness.living
        pages = [self.pages.get(slot.name) for slot in slots]
        if any(page is None or page[0] < since for page in pages):
            return False
        found = [page[1] for page in pages if page is not None]
        return (
            len({page.digest for page in found}) <= 1
            and all(page.alive_count == len(slots) for page in found)
            and (not settled or all(page.settled for page in found))
        )

    async def wait_until_settled(self, timeout: float, settled: bool = False) -> float:
        """Wait until all living members' views are equal and right; return the duration in s.

        Raises:
            TimeoutError: it took longer than `timeout`.
        """
        started_at = time.monotonic()
        await until(
            lambda: not self.harness.starting and self.views_agree(started_at, settled),
            "equal views",
            timeout,
        )
        return time.monotonic() - started_at

    def deaths(self) -> list[LoggedChange]:
        """Return the changes to DEAD."""
        return [change for change in self.changes if change.after == "dead"]

    def false_deaths(self) -> list[LoggedChange]:
        """Return the deaths of members whose process was running, not suspended, at that time."""
        downtimes = {slot.name: slot.downtimes for slot in self.harness.slots}
        return [
            death
            for death in self.deaths()
            if not any(start <= death.at <= end for start, end in downtimes.get(death.name, ()))
        ]

    def resurrections(self) -> list[LoggedChange]:
        """Return the changes that mark an incarnation as live after the same view had declared it dead."""
        declared_dead: dict[tuple[str, str], set[str]] = {}
        revisions: dict[str, int] = {}
        found = []
        for change in self.changes:
            # a new process, which starts with a new view
            if change.revision < revisions.get(change.observer, 0):
                for pair in [pair for pair in declared_dead if pair[0] == change.observer]:
                    del declared_dead[pair]
            revisions[change.observer] = change.revision
            dead = declared_dead.setdefault((change.observer, change.name), set())
            if change.after == "dead":
                dead.add(change.incarnation)
            elif change.after in ("alive", "suspect") and change.incarnation in dead:
                found.append(change)
        return found
