"""A session with the service: one connection at a time to one server of the ensemble, kept up by reconnects.

It moves frames and keeps the session's state by states.py; it knows nothing of nodes and lists. Watches that
were set are set again on each reconnect, so that what happened meanwhile fires. A server whose zxid lies
behind what was seen before is left: it was restored from a backup, and what it says is older than what is
known.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import cast

from service_proxy.ephemeral_nodes import jute
from service_proxy.ephemeral_nodes.jute import Create, Err, Event, Op, ServiceError, Stat, WatchMode, Xid
from service_proxy.ephemeral_nodes.states import HOPEFUL, OVER, USABLE, Happening, State, after
from service_proxy.net.endpoint_list import Address

log = logging.getLogger(__name__)

MOST_PENDING = 1024  # requests without an answer; more are told to wait
PING_SHARE = 1 / 3  # of the session's time-out without a request, after which a ping goes out
SILENCE_SHARE = 2 / 3  # of it without a byte, after which another server is tried
BACKOFF_FIRST = 0.05  # s after a whole round of the ensemble's servers has failed
BACKOFF_MOST = 3.0  # s
WRITABLE_FIRST = 1.0  # s on a read-only server after which one that can write is looked for
WRITABLE_MOST = 60.0  # s
CLOSE_PATIENCE = 1.0  # s for the service to confirm the end of a session


class ConnectionLost(Exception):
    """The connection broke before the answer: a write may have taken place."""


class Busy(Exception):
    """More requests are out than MOST_PENDING."""


class _Wire(asyncio.Protocol):
    """Frames of one connection."""

    def __init__(self, on_frame: Callable[[bytes], None], on_lost: Callable[[], None]) -> None:
        self.on_frame = on_frame
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        try:
            for frame in jute.frames(self.buffer):
                self.on_frame(frame)
        except jute.Malformed as fault:
            log.warning("the service sent what can't be read: %s", fault)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.on_lost()

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Session:
    """`on_state(state)` is called after each change, `on_event(type, path)` for each watch that fired (paths
    without the chroot). Times in seconds. Use `start` and `close` once each."""

    def __init__(
        self,
        servers: Iterable[Address],
        timeout: float,
        connect_timeout: float,
        on_state: Callable[[State], None],
        on_event: Callable[[int, str], None],
        random: Random,
        chroot: str = "",
        auth: bytes | None = None,
        read_only: bool = False,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.servers = list(servers)
        self.wanted_timeout = timeout
        self.connect_timeout = connect_timeout
        self.timeout = timeout  # as negotiated
        self.on_state = on_state
        self.on_event = on_event
        self.random = random
        self.chroot = chroot
        self.auth = auth
        self.read_only = read_only
        self.state = State.CLOSED
        self.id, self.password = 0, bytes(jute.PASSWORD)
        self.last_zxid = 0
        self.regressions = 0  # servers left because their zxid lay behind
        self.at: Address | None = None  # the server in use
        self.data_watches: set[str] = set()
        self.exist_watches: set[str] = set()
        self.child_watches: set[str] = set()
        self.recursive: set[str] = set()
        self._xid = 0
        self._wire: _Wire | None = None
        self._pending: deque[tuple[int, asyncio.Future[jute.Reader]]] = deque()
        self._connecting: asyncio.Future[jute.Connected] | None = None
        self._down: asyncio.Event = asyncio.Event()
        self._heard = 0.0
        self._sent = 0.0
        self._overdue: asyncio.TimerHandle | None = None
        self._round: deque[Address] = deque()
        self._failures = 0
        self._task: asyncio.Task[None] | None = None
        self._again = asyncio.Event()  # ends a backoff early

    # life
    def start(self) -> None:
        self._happen(Happening.OPEN)
        self._task = self.loop.create_task(self._run())

    async def close(self) -> None:
        """Ends the session at the service, so that its ephemeral nodes go at once, and the connection."""
        if self.state in USABLE:
            with contextlib.suppress(ConnectionLost, ServiceError, Busy, TimeoutError):
                async with asyncio.timeout(CLOSE_PATIENCE):
                    await self._request(Op.CLOSE, b"")
        self.stop()

    def stop(self) -> None:
        """Ends the connection alone: the session is left to its time-out."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._overdue is not None:
            self._overdue.cancel()
        if self.state is not State.CLOSED:
            self._happen(Happening.CLOSE)
        if self._wire is not None:
            self._wire.abort()
        self._fail_pending()

    def move(self, servers: Iterable[Address]) -> bool:
        """Another ensemble, or the same with other servers: it is the same if they share one. Returns whether
        it is another, of which the session and the zxid tell nothing."""
        new = list(servers)
        other = not set(new) & set(self.servers)
        self.servers = new
        self._round.clear()
        self._failures = 0
        if other:
            self.last_zxid = 0
            self._forget_session()
            self._forget_watches()
        if self._wire is not None and (other or self.at not in new):
            self._wire.abort()
        self._again.set()
        return other

    def forget_zxid(self) -> None:
        """The operator says that the service was restored: what it says now counts, though it lies behind."""
        self.last_zxid = 0
        self._again.set()

    # requests; paths are below the chroot
    async def create(
        self,
        path: str,
        data: bytes,
        flags: Create = Create.PERSISTENT,
        acl: Iterable[jute.Acl] = jute.OPEN_ACL,
    ) -> str:
        """The path as created, with its number if it is sequential. Containers are refused: the service may
        remove one whenever it is empty, and a path without servers must stay."""
        if flags is Create.CONTAINER:
            raise ValueError("containers are not created: write a persistent node in its place")
        answer = await self.request(Op.CREATE, jute.create_body(self.absolute(path), data, acl, flags), path)
        return self.relative(answer.string())

    async def ensure(self, path: str) -> None:
        """Creates the persistent nodes of the path that are missing."""
        parts = path.strip("/").split("/") if path != "/" else []
        for count in range(1, len(parts) + 1):
            try:
                await self.create("/" + "/".join(parts[:count]), b"")
            except ServiceError as fault:
                if fault.code != Err.NODE_EXISTS:
                    raise

    async def delete(self, path: str, version: int = -1) -> None:
        await self.request(Op.DELETE, jute.delete_body(self.absolute(path), version), path)

    async def exists(self, path: str, watch: bool = False) -> Stat | None:
        """None where there is no such node; the watch then waits for its creation."""
        whole = self.absolute(path)
        try:
            answer = await self.request(Op.EXISTS, jute.read_body(whole, watch), path)
        except ServiceError as fault:
            if fault.code != Err.NO_NODE:
                raise
            if watch:
                self.exist_watches.add(whole)
            return None
        if watch:
            self.data_watches.add(whole)
        return jute.read_stat(answer)

    async def get_data(self, path: str, watch: bool = False) -> tuple[bytes, Stat]:
        whole = self.absolute(path)
        answer = await self.request(Op.GET_DATA, jute.read_body(whole, watch), path)
        if watch:
            self.data_watches.add(whole)
        data = answer.buffer() or b""
        return data, jute.read_stat(answer)

    async def set_data(self, path: str, data: bytes, version: int = -1) -> Stat:
        answer = await self.request(Op.SET_DATA, jute.set_data_body(self.absolute(path), data, version), path)
        return jute.read_stat(answer)

    async def get_children2(self, path: str, watch: bool = False) -> tuple[list[str], Stat]:
        whole = self.absolute(path)
        answer = await self.request(Op.GET_CHILDREN2, jute.read_body(whole, watch), path)
        if watch:
            self.child_watches.add(whole)
        names = answer.vector(answer.string)
        return names, jute.read_stat(answer)

    async def multi(self, operations: Iterable[jute.Operation]) -> list[jute.Result]:
        """All or nothing. Raises the ServiceError of the first part that failed. Paths are absolute."""
        answer = await self.request(Op.MULTI, jute.multi_body(operations))
        results = jute.read_multi(answer)
        for result in results:
            if result.err not in (Err.OK, Err.RUNTIME_INCONSISTENCY):
                raise ServiceError(result.err, result.path)
        return results

    async def watch_recursive(self, path: str) -> bool:
        """A persistent recursive watch; False where the service has none (before 3.6)."""
        whole = self.absolute(path)
        body = jute.add_watch_body(whole, WatchMode.PERSISTENT_RECURSIVE)
        try:
            await self.request(Op.ADD_WATCH, body, path)
        except ServiceError as fault:
            if fault.code in (Err.UNIMPLEMENTED, Err.BAD_ARGUMENTS, Err.MARSHALLING_ERROR):
                return False
            raise
        self.recursive.add(whole)
        return True

    async def request(self, op: Op, body: bytes, path: str = "") -> jute.Reader:
        """Raises ServiceError, ConnectionLost or Busy; the rest of the answer else."""
        if self.state not in USABLE:
            raise ConnectionLost(f"the session is {self.state.value}")
        return await self._request(op, body, path)

    def _request(self, op: Op, body: bytes, path: str = "") -> asyncio.Future[jute.Reader]:
        if len(self._pending) >= MOST_PENDING:
            raise Busy(f"{MOST_PENDING} requests are out")
        self._xid = self._xid % 0x7FFFFFFF + 1
        answer: asyncio.Future[jute.Reader] = self.loop.create_future()
        self._pending.append((self._xid, answer))
        self._write(jute.request(self._xid, op, body))
        return answer

    def absolute(self, path: str) -> str:
        if self.chroot and path == "/":
            return self.chroot
        return self.chroot + path

    def relative(self, path: str) -> str:
        if self.chroot and path.startswith(self.chroot):
            return path[len(self.chroot) :] or "/"
        return path

    # the connection
    async def _run(self) -> None:
        while self.state not in OVER:
            if not self._round:
                if self._failures:
                    await self._back_off()
                self._round.extend(self.random.sample(self.servers, len(self.servers)))
            at = self._round.popleft()
            try:
                await self._serve(at)
            except (OSError, TimeoutError, ConnectionLost, jute.Malformed) as fault:
                self._failures += 1
                log.info("service %s:%d: %s", *at, str(fault) or type(fault).__name__)
            finally:
                self._drop()
            if self.state is State.EXPIRED:
                self._forget_session()
                self._forget_watches()
                self._happen(Happening.OPEN)

    async def _back_off(self) -> None:
        # While a session may be saved, tries are close enough to save it.
        most = min(BACKOFF_MOST, self.timeout * PING_SHARE) if self.state in HOPEFUL else BACKOFF_MOST
        wait = min(most, BACKOFF_FIRST * 2 ** min(self._failures, 16))
        self._again.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait * (0.5 + 0.5 * self.random.random())):
                await self._again.wait()

    async def _serve(self, at: Address) -> None:
        """Connects to one server and stays until the connection ends."""
        self._down = asyncio.Event()
        down = self._down
        wire = _Wire(self._on_frame, down.set)
        offered = self.id
        async with asyncio.timeout(self.connect_timeout):
            await self.loop.create_connection(lambda: wire, *at)
            self._wire = wire
            self.at = at
            self._connecting = self.loop.create_future()
            hello = jute.Connect(
                self.last_zxid, int(self.wanted_timeout * 1000), self.id, self.password, self.read_only
            )
            wire.write(hello.frame())
            ended = self.loop.create_task(down.wait())
            try:
                await asyncio.wait((self._connecting, ended), return_when=asyncio.FIRST_COMPLETED)
            finally:
                ended.cancel()
            if not self._connecting.done():
                raise ConnectionLost("it closed the connection before it took the session")
            taken = self._connecting.result()
        self._connecting = None
        self._heard = self._sent = self.loop.time()
        if taken.session == 0 or taken.timeout <= 0:
            log.warning("service %s:%d: session 0x%x has expired", *at, offered)
            self._happen(Happening.REFUSED if offered else Happening.DOWN)
            self._forget_session()
            return
        self.id = taken.session
        self.password = taken.password
        self.timeout = taken.timeout / 1000
        self._failures = 0
        if self.auth is not None:
            wire.write(jute.request(Xid.AUTH, Op.AUTH, jute.auth_body("digest", self.auth)))
        self._set_watches()
        if self._overdue is not None:
            self._overdue.cancel()
            self._overdue = None
        self._happen(Happening.UP_RO if taken.read_only else Happening.UP)
        writable = self.loop.create_task(self._look_for_writable(at)) if taken.read_only else None
        try:
            await self._keep(wire, down)
        finally:
            if writable is not None:
                writable.cancel()

    async def _keep(self, wire: _Wire, down: asyncio.Event) -> None:
        """Pings, and leaves a server that says nothing."""
        ping = self.timeout * PING_SHARE
        silence = self.timeout * SILENCE_SHARE
        while not down.is_set():
            now = self.loop.time()
            if now >= self._heard + silence:
                raise ConnectionLost(f"nothing came for {silence:.1f} s")
            if now >= self._sent + ping:
                self._write(jute.request(Xid.PING, Op.PING))
            due = min(self._heard + silence, self._sent + ping) - self.loop.time()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.001, due)):
                    await down.wait()

    async def _look_for_writable(self, at: Address) -> None:
        """While a read-only server serves, the others are asked whether one has its quorum again."""
        wait = WRITABLE_FIRST
        while True:
            await asyncio.sleep(wait * (0.5 + 0.5 * self.random.random()))
            wait = min(WRITABLE_MOST, wait * 2)
            for other in [server for server in self.servers if server != at]:
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(self.connect_timeout):
                        reader, writer = await asyncio.open_connection(*other)
                        try:
                            writer.write(b"isro")
                            answer = await reader.read(2)
                        finally:
                            writer.close()
                    if answer == b"rw" and self._wire is not None:
                        self._round.appendleft(other)
                        self._wire.abort()
                        return

    def _write(self, frame: bytes) -> None:
        self._sent = self.loop.time()
        if self._wire is not None:
            self._wire.write(frame)

    def _drop(self) -> None:
        """The connection is over, however it ended."""
        wire = self._wire
        self._wire = None
        self.at = None
        self._connecting = None
        if wire is not None:
            wire.abort()
        self._fail_pending()
        if self.state in USABLE:
            self._happen(Happening.DOWN)
            if self.state in HOPEFUL and self._overdue is None:
                self._overdue = self.loop.call_later(self.timeout, self._is_overdue)

    def _is_overdue(self) -> None:
        self._overdue = None
        if self.state is State.SUSPENDED:
            self._happen(Happening.OVERDUE)

    def _fail_pending(self) -> None:
        pending = self._pending
        self._pending = deque()
        for _, answer in pending:
            if not answer.done():
                answer.set_exception(ConnectionLost("the connection broke before the answer"))
                answer.exception()  # one that nobody waits for any more is no fault

    def _forget_session(self) -> None:
        self.id, self.password = 0, bytes(jute.PASSWORD)

    def _forget_watches(self) -> None:
        for watches in (self.data_watches, self.exist_watches, self.child_watches, self.recursive):
            watches.clear()

    def _set_watches(self) -> None:
        """What was watched before is watched again, from the last zxid seen: the server fires at once what
        changed since. Not for persistent watches: who has one reads again after a reconnect."""
        one_shot = (sorted(self.data_watches), sorted(self.exist_watches), sorted(self.child_watches))
        if self.recursive:
            body = jute.set_watches2_body(self.last_zxid, *one_shot, (), sorted(self.recursive))
            self._write(jute.request(Xid.SET_WATCHES, Op.SET_WATCHES2, body))
        elif any(one_shot):
            self._write(
                jute.request(
                    Xid.SET_WATCHES, Op.SET_WATCHES, jute.set_watches_body(self.last_zxid, *one_shot)
                )
            )

    # frames
    def _on_frame(self, frame: bytes) -> None:
        self._heard = self.loop.time()
        if self._connecting is not None:
            if not self._connecting.done():
                self._connecting.set_result(jute.read_connected(frame))
            return
        xid, zxid, err, rest = jute.read_reply(frame)
        if zxid > 0:
            if zxid < self.last_zxid:
                self.regressions += 1
                log.error(
                    "service %s:%d: its zxid went back from 0x%x to 0x%x, as after a restore from a backup; "
                    "what is known is kept. If the restore was wanted, send SIGHUP",
                    *(self.at or ("?", 0)),
                    self.last_zxid,
                    zxid,
                )
                if self._wire is not None:
                    self._wire.abort()
                return
            self.last_zxid = zxid
        if xid == Xid.NOTIFICATION:
            self._notified(jute.read_notification(rest))
        elif xid == Xid.AUTH:
            if err != Err.OK:
                log.error("service %s:%d: it refused the credentials", *(self.at or ("?", 0)))
                self._happen(Happening.AUTH_REFUSED)
                if self._wire is not None:
                    self._wire.abort()
        elif xid not in (Xid.PING, Xid.SET_WATCHES):
            self._answered(xid, err, rest)

    def _answered(self, xid: int, err: int, rest: jute.Reader) -> None:
        if not self._pending or self._pending[0][0] != xid:
            raise jute.Malformed(f"an answer to request {xid}, which is not the one that is due")
        _, answer = self._pending.popleft()
        if err == Err.SESSION_MOVED and self._wire is not None:
            self._wire.abort()
        if answer.done():
            return
        if err != Err.OK:
            answer.set_exception(ServiceError(err))
        else:
            answer.set_result(rest)

    def _notified(self, event: jute.Notification) -> None:
        if event.type == Event.NONE:
            return
        if event.type in (Event.CREATED, Event.DELETED, Event.DATA_CHANGED):
            self.data_watches.discard(event.path)
            self.exist_watches.discard(event.path)
        if event.type in (Event.CHILDREN_CHANGED, Event.DELETED):
            self.child_watches.discard(event.path)
        self.on_event(event.type, self.relative(event.path))

    def _happen(self, happening: Happening) -> None:
        before = self.state
        self.state = after(self.state, happening)
        if before is not self.state:
            log.info("session 0x%x: %s -> %s (%s)", self.id, before.value, self.state.value, happening.value)
            self.on_state(self.state)
