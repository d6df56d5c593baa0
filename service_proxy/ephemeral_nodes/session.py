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
from service_proxy.ephemeral_nodes.jute import (
    AddWatchMode,
    CreateMode,
    ErrorCode,
    EventType,
    OpCode,
    ReservedXid,
    ServiceError,
    Stat,
)
from service_proxy.ephemeral_nodes.session_states import (
    ENDED_STATES,
    RECOVERABLE_STATES,
    USABLE_STATES,
    SessionEvent,
    SessionState,
    next_state,
)
from service_proxy.net.endpoint_list import Address

log = logging.getLogger(__name__)

MAX_PENDING_REQUESTS = 1024  # requests without an answer; more are told to wait
PING_AFTER_SHARE = 1 / 3  # of the session's time-out without a request, after which a ping goes out
READ_TIMEOUT_SHARE = 2 / 3  # of it without a byte, after which another server is tried
BACKOFF_INITIAL_S = 0.05  # s after a whole round of the ensemble's servers has failed
BACKOFF_MAX_S = 3.0  # s
WRITABLE_CHECK_INITIAL_S = 1.0  # s on a read-only server after which one that can write is looked for
WRITABLE_CHECK_MAX_S = 60.0  # s
CLOSE_TIMEOUT_S = 1.0  # s for the service to confirm the end of a session


class ConnectionLostError(Exception):
    """The connection broke before the answer: a write may have taken place."""


class TooManyRequestsError(Exception):
    """More requests are out than MOST_PENDING."""


class FrameProtocol(asyncio.Protocol):
    """Frames of one connection."""

    def __init__(self, on_frame: Callable[[bytes], None], on_lost: Callable[[], None]) -> None:
        self.on_frame = on_frame
        self.on_connection_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        try:
            for frame in jute.split_frames(self.buffer):
                self.on_frame(frame)
        except jute.MalformedRecordError as fault:
            log.warning("the service sent what can't be read: %s", fault)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.on_connection_lost()

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
        on_state: Callable[[SessionState], None],
        on_event: Callable[[int, str], None],
        random: Random,
        chroot: str = "",
        auth: bytes | None = None,
        read_only: bool = False,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.servers = list(servers)
        self.requested_timeout = timeout
        self.connect_timeout = connect_timeout
        self.timeout = timeout  # as negotiated
        self.on_state = on_state
        self.on_event = on_event
        self.random = random
        self.chroot = chroot
        self.auth = auth
        self.read_only = read_only
        self.state = SessionState.CLOSED
        self.session_id, self.password = 0, bytes(jute.PASSWORD_BYTES)
        self.last_zxid = 0
        self.zxid_regressions = 0  # servers left because their zxid lay behind
        self.server: Address | None = None  # the server in use
        self.data_watches: set[str] = set()
        self.exists_watches: set[str] = set()
        self.child_watches: set[str] = set()
        self.recursive_watches: set[str] = set()
        self._xid = 0
        self._connection: FrameProtocol | None = None
        self._pending: deque[tuple[int, asyncio.Future[jute.RecordReader]]] = deque()
        self._connect_response: asyncio.Future[jute.ConnectResponse] | None = None
        self._disconnected: asyncio.Event = asyncio.Event()
        self._received_at = 0.0
        self._sent_at = 0.0
        self._lost_timer: asyncio.TimerHandle | None = None
        self._untried_servers: deque[Address] = deque()
        self._failures = 0
        self._task: asyncio.Task[None] | None = None
        self._retry_now = asyncio.Event()  # ends a backoff early

    # life
    def start(self) -> None:
        self._transition(SessionEvent.OPEN)
        self._task = self.loop.create_task(self._run())

    async def close(self) -> None:
        """Ends the session at the service, so that its ephemeral nodes go at once, and the connection."""
        if self.state in USABLE_STATES:
            with contextlib.suppress(ConnectionLostError, ServiceError, TooManyRequestsError, TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._request(OpCode.CLOSE, b"")
        self.stop()

    def stop(self) -> None:
        """Ends the connection alone: the session is left to its time-out."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._lost_timer is not None:
            self._lost_timer.cancel()
        if self.state is not SessionState.CLOSED:
            self._transition(SessionEvent.CLOSE)
        if self._connection is not None:
            self._connection.abort()
        self._fail_pending()

    def set_servers(self, servers: Iterable[Address]) -> bool:
        """Another ensemble, or the same with other servers: it is the same if they share one. Returns whether
        it is another, of which the session and the zxid tell nothing."""
        new = list(servers)
        other = not set(new) & set(self.servers)
        self.servers = new
        self._untried_servers.clear()
        self._failures = 0
        if other:
            self.last_zxid = 0
            self._forget_session()
            self._forget_watches()
        if self._connection is not None and (other or self.server not in new):
            self._connection.abort()
        self._retry_now.set()
        return other

    def forget_zxid(self) -> None:
        """The operator says that the service was restored: what it says now counts, though it lies behind."""
        self.last_zxid = 0
        self._retry_now.set()

    # requests; paths are below the chroot
    async def create(
        self,
        path: str,
        data: bytes,
        flags: CreateMode = CreateMode.PERSISTENT,
        acl: Iterable[jute.Acl] = jute.OPEN_ACL,
    ) -> str:
        """The path as created, with its number if it is sequential. Containers are refused: the service may
        remove one whenever it is empty, and a path without servers must stay."""
        if flags is CreateMode.CONTAINER:
            raise ValueError("containers are not created: write a persistent node in its place")
        answer = await self.request(
            OpCode.CREATE, jute.encode_create(self.absolute(path), data, acl, flags), path
        )
        return self.relative(answer.string())

    async def ensure_path(self, path: str) -> None:
        """Creates the persistent nodes of the path that are missing."""
        parts = path.strip("/").split("/") if path != "/" else []
        for count in range(1, len(parts) + 1):
            try:
                await self.create("/" + "/".join(parts[:count]), b"")
            except ServiceError as fault:
                if fault.code != ErrorCode.NODE_EXISTS:
                    raise

    async def delete(self, path: str, version: int = -1) -> None:
        await self.request(OpCode.DELETE, jute.encode_delete(self.absolute(path), version), path)

    async def exists(self, path: str, watch: bool = False) -> Stat | None:
        """None where there is no such node; the watch then waits for its creation."""
        whole = self.absolute(path)
        try:
            answer = await self.request(OpCode.EXISTS, jute.encode_read(whole, watch), path)
        except ServiceError as fault:
            if fault.code != ErrorCode.NO_NODE:
                raise
            if watch:
                self.exists_watches.add(whole)
            return None
        if watch:
            self.data_watches.add(whole)
        return jute.read_stat(answer)

    async def get_data(self, path: str, watch: bool = False) -> tuple[bytes, Stat]:
        whole = self.absolute(path)
        answer = await self.request(OpCode.GET_DATA, jute.encode_read(whole, watch), path)
        if watch:
            self.data_watches.add(whole)
        data = answer.buffer() or b""
        return data, jute.read_stat(answer)

    async def set_data(self, path: str, data: bytes, version: int = -1) -> Stat:
        answer = await self.request(
            OpCode.SET_DATA, jute.encode_set_data(self.absolute(path), data, version), path
        )
        return jute.read_stat(answer)

    async def get_children2(self, path: str, watch: bool = False) -> tuple[list[str], Stat]:
        whole = self.absolute(path)
        answer = await self.request(OpCode.GET_CHILDREN2, jute.encode_read(whole, watch), path)
        if watch:
            self.child_watches.add(whole)
        names = answer.vector(answer.string)
        return names, jute.read_stat(answer)

    async def multi(self, operations: Iterable[jute.MultiOperation]) -> list[jute.MultiResult]:
        """All or nothing. Raises the ServiceError of the first part that failed. Paths are absolute."""
        answer = await self.request(OpCode.MULTI, jute.encode_multi(operations))
        results = jute.read_multi(answer)
        for result in results:
            if result.error_code not in (ErrorCode.OK, ErrorCode.RUNTIME_INCONSISTENCY):
                raise ServiceError(result.error_code, result.path)
        return results

    async def watch_recursive(self, path: str) -> bool:
        """A persistent recursive watch; False where the service has none (before 3.6)."""
        whole = self.absolute(path)
        body = jute.encode_add_watch(whole, AddWatchMode.PERSISTENT_RECURSIVE)
        try:
            await self.request(OpCode.ADD_WATCH, body, path)
        except ServiceError as fault:
            if fault.code in (ErrorCode.UNIMPLEMENTED, ErrorCode.BAD_ARGUMENTS, ErrorCode.MARSHALLING_ERROR):
                return False
            raise
        self.recursive_watches.add(whole)
        return True

    async def request(self, op: OpCode, body: bytes, path: str = "") -> jute.RecordReader:
        """Raises ServiceError, ConnectionLost or Busy; the rest of the answer else."""
        if self.state not in USABLE_STATES:
            raise ConnectionLostError(f"the session is {self.state.value}")
        return await self._request(op, body, path)

    def _request(self, op: OpCode, body: bytes, path: str = "") -> asyncio.Future[jute.RecordReader]:
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            raise TooManyRequestsError(f"{MAX_PENDING_REQUESTS} requests are out")
        self._xid = self._xid % 0x7FFFFFFF + 1
        answer: asyncio.Future[jute.RecordReader] = self.loop.create_future()
        self._pending.append((self._xid, answer))
        self._write(jute.encode_request(self._xid, op, body))
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
        while self.state not in ENDED_STATES:
            if not self._untried_servers:
                if self._failures:
                    await self._back_off()
                self._untried_servers.extend(self.random.sample(self.servers, len(self.servers)))
            at = self._untried_servers.popleft()
            try:
                await self._serve(at)
            except (OSError, TimeoutError, ConnectionLostError, jute.MalformedRecordError) as fault:
                self._failures += 1
                log.info("service %s:%d: %s", *at, str(fault) or type(fault).__name__)
            finally:
                self._disconnect()
            if self.state is SessionState.EXPIRED:
                self._forget_session()
                self._forget_watches()
                self._transition(SessionEvent.OPEN)

    async def _back_off(self) -> None:
        # While a session may be saved, tries are close enough to save it.
        most = (
            min(BACKOFF_MAX_S, self.timeout * PING_AFTER_SHARE)
            if self.state in RECOVERABLE_STATES
            else BACKOFF_MAX_S
        )
        wait = min(most, BACKOFF_INITIAL_S * 2 ** min(self._failures, 16))
        self._retry_now.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait * (0.5 + 0.5 * self.random.random())):
                await self._retry_now.wait()

    async def _serve(self, at: Address) -> None:
        """Connects to one server and stays until the connection ends."""
        self._disconnected = asyncio.Event()
        down = self._disconnected
        wire = FrameProtocol(self._on_frame, down.set)
        offered = self.session_id
        async with asyncio.timeout(self.connect_timeout):
            await self.loop.create_connection(lambda: wire, *at)
            self._connection = wire
            self.server = at
            self._connect_response = self.loop.create_future()
            hello = jute.ConnectRequest(
                self.last_zxid,
                int(self.requested_timeout * 1000),
                self.session_id,
                self.password,
                self.read_only,
            )
            wire.write(hello.frame())
            ended = self.loop.create_task(down.wait())
            try:
                await asyncio.wait((self._connect_response, ended), return_when=asyncio.FIRST_COMPLETED)
            finally:
                ended.cancel()
            if not self._connect_response.done():
                raise ConnectionLostError("it closed the connection before it took the session")
            taken = self._connect_response.result()
        self._connect_response = None
        self._received_at = self._sent_at = self.loop.time()
        if taken.session_id == 0 or taken.timeout_ms <= 0:
            log.warning("service %s:%d: session 0x%x has expired", *at, offered)
            self._transition(SessionEvent.SESSION_EXPIRED if offered else SessionEvent.DISCONNECTED)
            self._forget_session()
            return
        self.session_id = taken.session_id
        self.password = taken.password
        self.timeout = taken.timeout_ms / 1000
        self._failures = 0
        if self.auth is not None:
            wire.write(
                jute.encode_request(ReservedXid.AUTH, OpCode.AUTH, jute.encode_auth("digest", self.auth))
            )
        self._set_watches()
        if self._lost_timer is not None:
            self._lost_timer.cancel()
            self._lost_timer = None
        self._transition(SessionEvent.CONNECTED_READ_ONLY if taken.read_only else SessionEvent.CONNECTED)
        writable = self.loop.create_task(self._look_for_writable(at)) if taken.read_only else None
        try:
            await self._keep_alive(wire, down)
        finally:
            if writable is not None:
                writable.cancel()

    async def _keep_alive(self, wire: FrameProtocol, down: asyncio.Event) -> None:
        """Pings, and leaves a server that says nothing."""
        ping = self.timeout * PING_AFTER_SHARE
        silence = self.timeout * READ_TIMEOUT_SHARE
        while not down.is_set():
            now = self.loop.time()
            if now >= self._received_at + silence:
                raise ConnectionLostError(f"nothing came for {silence:.1f} s")
            if now >= self._sent_at + ping:
                self._write(jute.encode_request(ReservedXid.PING, OpCode.PING))
            due = min(self._received_at + silence, self._sent_at + ping) - self.loop.time()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.001, due)):
                    await down.wait()

    async def _look_for_writable(self, at: Address) -> None:
        """While a read-only server serves, the others are asked whether one has its quorum again."""
        wait = WRITABLE_CHECK_INITIAL_S
        while True:
            await asyncio.sleep(wait * (0.5 + 0.5 * self.random.random()))
            wait = min(WRITABLE_CHECK_MAX_S, wait * 2)
            for other in [server for server in self.servers if server != at]:
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(self.connect_timeout):
                        reader, writer = await asyncio.open_connection(*other)
                        try:
                            writer.write(b"isro")
                            answer = await reader.read(2)
                        finally:
                            writer.close()
                    if answer == b"rw" and self._connection is not None:
                        self._untried_servers.appendleft(other)
                        self._connection.abort()
                        return

    def _write(self, frame: bytes) -> None:
        self._sent_at = self.loop.time()
        if self._connection is not None:
            self._connection.write(frame)

    def _disconnect(self) -> None:
        """The connection is over, however it ended."""
        wire = self._connection
        self._connection = None
        self.server = None
        self._connect_response = None
        if wire is not None:
            wire.abort()
        self._fail_pending()
        if self.state in USABLE_STATES:
            self._transition(SessionEvent.DISCONNECTED)
            if self.state in RECOVERABLE_STATES and self._lost_timer is None:
                self._lost_timer = self.loop.call_later(self.timeout, self._on_session_timeout)

    def _on_session_timeout(self) -> None:
        self._lost_timer = None
        if self.state is SessionState.SUSPENDED:
            self._transition(SessionEvent.TIMED_OUT)

    def _fail_pending(self) -> None:
        pending = self._pending
        self._pending = deque()
        for _, answer in pending:
            if not answer.done():
                answer.set_exception(ConnectionLostError("the connection broke before the answer"))
                answer.exception()  # one that nobody waits for any more is no fault

    def _forget_session(self) -> None:
        self.session_id, self.password = 0, bytes(jute.PASSWORD_BYTES)

    def _forget_watches(self) -> None:
        for watches in (self.data_watches, self.exists_watches, self.child_watches, self.recursive_watches):
            watches.clear()

    def _set_watches(self) -> None:
        """What was watched before is watched again, from the last zxid seen: the server fires at once what
        changed since. Not for persistent watches: who has one reads again after a reconnect."""
        one_shot = (sorted(self.data_watches), sorted(self.exists_watches), sorted(self.child_watches))
        if self.recursive_watches:
            body = jute.encode_set_watches2(self.last_zxid, *one_shot, (), sorted(self.recursive_watches))
            self._write(jute.encode_request(ReservedXid.SET_WATCHES, OpCode.SET_WATCHES2, body))
        elif any(one_shot):
            self._write(
                jute.encode_request(
                    ReservedXid.SET_WATCHES,
                    OpCode.SET_WATCHES,
                    jute.encode_set_watches(self.last_zxid, *one_shot),
                )
            )

    # frames
    def _on_frame(self, frame: bytes) -> None:
        self._received_at = self.loop.time()
        if self._connect_response is not None:
            if not self._connect_response.done():
                self._connect_response.set_result(jute.parse_connect_response(frame))
            return
        xid, zxid, err, rest = jute.parse_reply(frame)
        if zxid > 0:
            if zxid < self.last_zxid:
                self.zxid_regressions += 1
                log.error(
                    "service %s:%d: its zxid went back from 0x%x to 0x%x, as after a restore from a backup; "
                    "what is known is kept. If the restore was wanted, send SIGHUP",
                    *(self.server or ("?", 0)),
                    self.last_zxid,
                    zxid,
                )
                if self._connection is not None:
                    self._connection.abort()
                return
            self.last_zxid = zxid
        if xid == ReservedXid.NOTIFICATION:
            self._on_watcher_event(jute.read_watcher_event(rest))
        elif xid == ReservedXid.AUTH:
            if err != ErrorCode.OK:
                log.error("service %s:%d: it refused the credentials", *(self.server or ("?", 0)))
                self._transition(SessionEvent.AUTH_REJECTED)
                if self._connection is not None:
                    self._connection.abort()
        elif xid not in (ReservedXid.PING, ReservedXid.SET_WATCHES):
            self._on_reply(xid, err, rest)

    def _on_reply(self, xid: int, err: int, rest: jute.RecordReader) -> None:
        if not self._pending or self._pending[0][0] != xid:
            raise jute.MalformedRecordError(f"an answer to request {xid}, which is not the one that is due")
        _, answer = self._pending.popleft()
        if err == ErrorCode.SESSION_MOVED and self._connection is not None:
            self._connection.abort()
        if answer.done():
            return
        if err != ErrorCode.OK:
            answer.set_exception(ServiceError(err))
        else:
            answer.set_result(rest)

    def _on_watcher_event(self, event: jute.WatcherEvent) -> None:
        if event.type == EventType.NONE:
            return
        if event.type in (EventType.CREATED, EventType.DELETED, EventType.DATA_CHANGED):
            self.data_watches.discard(event.path)
            self.exists_watches.discard(event.path)
        if event.type in (EventType.CHILDREN_CHANGED, EventType.DELETED):
            self.child_watches.discard(event.path)
        self.on_event(event.type, self.relative(event.path))

    def _transition(self, happening: SessionEvent) -> None:
        before = self.state
        self.state = next_state(self.state, happening)
        if before is not self.state:
            log.info(
                "session 0x%x: %s -> %s (%s)",
                self.session_id,
                before.value,
                self.state.value,
                happening.value,
            )
            self.on_state(self.state)
