"""Client session with the coordination service, over one connection at a time to one server of the ensemble.

The session reconnects after each loss of its connection. It exchanges frames and tracks its state by
`session_states.py`; it contains no code about endpoints. After each reconnect, it registers its watches
again, so that the server reports the changes that took place in between. The session disconnects from a
server whose zxid is lower than the last zxid received: such a server was restored from a backup, and its data
is older than the data already read.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

from service_proxy.ephemeral_nodes import records
from service_proxy.ephemeral_nodes.codes import ErrorCode, EventType, OpCode, ReservedXid
from service_proxy.ephemeral_nodes.connection import FrameProtocol
from service_proxy.ephemeral_nodes.errors import (
    ConnectionLostError,
    MalformedRecordError,
    ServiceError,
    TooManyRequestsError,
)
from service_proxy.ephemeral_nodes.jute import RecordReader
from service_proxy.ephemeral_nodes.operations import ZnodeOperations
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

MAX_PENDING_REQUESTS = 1024  # Upper bound of requests without a reply.
MAX_XID = 0x7FFFFFFF
PING_AFTER_SHARE = 1 / 3  # Time without a sent request until a ping, as a share of the session timeout.
# Time without a received byte until a switch to another server, as a share of the session timeout.
READ_TIMEOUT_SHARE = 2 / 3
BACKOFF_INITIAL_S = 0.05  # First wait after every server of the ensemble has failed in turn.
BACKOFF_MAX_S = 3.0
MAX_BACKOFF_DOUBLINGS = 16
# First wait between searches for a writable server, while the session uses a read-only server.
WRITABLE_CHECK_INITIAL_S = 1.0
WRITABLE_CHECK_MAX_S = 60.0
CLOSE_TIMEOUT_S = 1.0  # Time limit for the service to confirm the end of a session.
JITTER_MIN = 0.5  # Fixed share of a wait; the rest is drawn at random.
NO_PASSWORD = bytes(records.PASSWORD_BYTES)


class Session(ZnodeOperations):
    """Session with the service; `start` and `close` are called once each.

    Args:
        servers: addresses of the ensemble's servers.
        timeout: the session timeout to request, in s; the attribute `timeout` is the negotiated one.
        connect_timeout: time limit of a connection attempt to one server, in s.
        on_state: called after each change of the state.
        on_event: called for each watch event, with its EventType and the path without the chroot.
        random: generator for the order of servers and the jitter of waits.
        chroot: prefix of each path.
        auth: `user:password` for the scheme digest, or None.
        read_only: whether to accept a server that has lost its quorum.
    """

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
        super().__init__(chroot)
        self.loop = asyncio.get_running_loop()
        self.servers = list(servers)
        self.requested_timeout = timeout
        self.connect_timeout = connect_timeout
        self.timeout = timeout
        self.on_state = on_state
        self.on_event = on_event
        self.random = random
        self.auth = auth
        self.read_only = read_only
        self.state = SessionState.CLOSED
        self.session_id = 0
        self.password = NO_PASSWORD
        self.last_zxid = 0
        self.zxid_regressions = 0  # Count of disconnections because a server's zxid was too low.
        self.server: Address | None = None  # Address of the connected server.
        self._xid = 0
        self._connection: FrameProtocol | None = None
        self._pending: deque[tuple[int, asyncio.Future[RecordReader]]] = deque()
        self._connect_response: asyncio.Future[records.ConnectResponse] | None = None
        self._received_at = 0.0
        self._sent_at = 0.0
        self._lost_timer: asyncio.TimerHandle | None = None
        self._untried_servers: deque[Address] = deque()
        self._failures = 0
        self._task: asyncio.Task[None] | None = None
        self._retry_now = asyncio.Event()  # Set to end a backoff early.

    # Life cycle
    def start(self) -> None:
        """Start to connect in the background."""
        self._transition(SessionEvent.OPEN)
        self._task = self.loop.create_task(self._run())

    async def close(self) -> None:
        """Close the session at the service, which deletes its ephemeral nodes at once, and the connection."""
        if self.state in USABLE_STATES:
            with contextlib.suppress(ConnectionLostError, ServiceError, TooManyRequestsError, TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._send_request(OpCode.CLOSE, b"")
        self.stop()

    def stop(self) -> None:
        """Close the connection only; the service expires the session after its timeout."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._lost_timer is not None:
            self._lost_timer.cancel()
        if self.state is not SessionState.CLOSED:
            self._transition(SessionEvent.CLOSE)
        self._abort_connection()
        self._fail_pending()

    def set_servers(self, servers: Iterable[Address]) -> bool:
        """Replace the list of servers; return whether it names a different ensemble.

        Two lists name the same ensemble if they share a server. A session id and a zxid are not valid in a
        different ensemble, so both are discarded.
        """
        new = list(servers)
        is_other_ensemble = not set(new) & set(self.servers)
        self.servers = new
        self._untried_servers.clear()
        self._failures = 0
        if is_other_ensemble:
            self.last_zxid = 0
            self._discard_session()
            self.watches.clear()
        if is_other_ensemble or self.server not in new:
            self._abort_connection()
        self._retry_now.set()
        return is_other_ensemble

    def reset_zxid(self) -> None:
        """Reset the last zxid after the operator has confirmed a restore of the service from a backup.

        The session then accepts a server with a lower zxid.
        """
        self.last_zxid = 0
        self._retry_now.set()

    # Requests
    async def request(self, op: OpCode, body: bytes) -> RecordReader:
        """Send a request and return a reader of the reply's record.

        Raises:
            ServiceError: the service replied with an error.
            ConnectionLostError: there is no connection, or it broke before the reply.
            TooManyRequestsError: MAX_PENDING_REQUESTS requests have no reply yet.
        """
        if self.state not in USABLE_STATES:
            raise ConnectionLostError(f"request not sent: the session is {self.state.value}")
        return await self._send_request(op, body)

    def _send_request(self, op: OpCode, body: bytes) -> asyncio.Future[RecordReader]:
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            raise TooManyRequestsError(f"request not sent: {MAX_PENDING_REQUESTS} requests have no reply yet")
        self._xid = self._xid % MAX_XID + 1
        reply: asyncio.Future[RecordReader] = self.loop.create_future()
        self._pending.append((self._xid, reply))
        self._write(records.encode_request(self._xid, op, body))
        return reply

    # Connection handling
    async def _run(self) -> None:
        while self.state not in ENDED_STATES:
            if not self._untried_servers:
                if self._failures:
                    await self._back_off()
                self._untried_servers.extend(self.random.sample(self.servers, len(self.servers)))
            server = self._untried_servers.popleft()
            try:
                await self._use_server(server)
            except (OSError, TimeoutError, ConnectionLostError, MalformedRecordError) as error:
                self._failures += 1
                reason = str(error) or type(error).__name__
                log.info("coordination_connection_ended server=%s:%d reason=%s", *server, reason)
            finally:
                self._disconnect()
            if self.state is SessionState.EXPIRED:
                self._discard_session()
                self.watches.clear()
                self._transition(SessionEvent.OPEN)

    async def _back_off(self) -> None:
        maximum = BACKOFF_MAX_S
        # Retries stay frequent enough to reconnect before the session expires.
        if self.state in RECOVERABLE_STATES:
            maximum = min(maximum, self.timeout * PING_AFTER_SHARE)
        wait = min(maximum, BACKOFF_INITIAL_S * 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS))
        self._retry_now.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._jitter(wait)):
                await self._retry_now.wait()

    def _jitter(self, wait: float) -> float:
        return wait * (JITTER_MIN + (1 - JITTER_MIN) * self.random.random())

    async def _use_server(self, server: Address) -> None:
        """Connect to one server and return when the connection ends."""
        disconnected = asyncio.Event()
        connection = FrameProtocol(self._on_frame, disconnected.set)
        offered_session = self.session_id
        response = await self._connect(server, connection, disconnected)
        self._received_at = self._sent_at = self.loop.time()
        if response.session_id == 0 or response.timeout_ms <= 0:
            log.warning("session_expired server=%s:%d session=0x%x", *server, offered_session)
            self._transition(SessionEvent.SESSION_EXPIRED if offered_session else SessionEvent.DISCONNECTED)
            self._discard_session()
            return
        self._enter_session(response, connection)
        search = (
            self.loop.create_task(self._switch_to_writable_server(server)) if response.read_only else None
        )
        try:
            await self._keep_alive(disconnected)
        finally:
            if search is not None:
                search.cancel()

    async def _connect(
        self, server: Address, connection: FrameProtocol, disconnected: asyncio.Event
    ) -> records.ConnectResponse:
        async with asyncio.timeout(self.connect_timeout):
            await self.loop.create_connection(lambda: connection, *server)
            self._connection = connection
            self.server = server
            response: asyncio.Future[records.ConnectResponse] = self.loop.create_future()
            self._connect_response = response
            timeout_ms = int(self.requested_timeout * 1000)
            request = records.ConnectRequest(
                self.last_zxid, timeout_ms, self.session_id, self.password, self.read_only
            )
            connection.write(request.frame())
            ended = self.loop.create_task(disconnected.wait())
            try:
                await asyncio.wait((response, ended), return_when=asyncio.FIRST_COMPLETED)
            finally:
                ended.cancel()
            if not response.done():
                raise ConnectionLostError("the server closed the connection before it accepted the session")
        self._connect_response = None
        return response.result()

    def _enter_session(self, response: records.ConnectResponse, connection: FrameProtocol) -> None:
        self.session_id = response.session_id
        self.password = response.password
        self.timeout = response.timeout_ms / 1000
        self._failures = 0
        if self.auth is not None:
            body = records.encode_auth("digest", self.auth)
            connection.write(records.encode_request(ReservedXid.AUTH, OpCode.AUTH, body))
        restored_watches = self.watches.encode_restore(self.last_zxid)
        if restored_watches is not None:
            self._write(restored_watches)
        if self._lost_timer is not None:
            self._lost_timer.cancel()
            self._lost_timer = None
        read_only = response.read_only
        self._transition(SessionEvent.CONNECTED_READ_ONLY if read_only else SessionEvent.CONNECTED)

    async def _keep_alive(self, disconnected: asyncio.Event) -> None:
        """Send pings until the connection ends.

        Raises:
            ConnectionLostError: the server has sent nothing for READ_TIMEOUT_SHARE of the session timeout.
        """
        ping_after = self.timeout * PING_AFTER_SHARE
        read_timeout = self.timeout * READ_TIMEOUT_SHARE
        while not disconnected.is_set():
            now = self.loop.time()
            if now >= self._received_at + read_timeout:
                raise ConnectionLostError(f"no data received for {read_timeout:.1f} s")
            if now >= self._sent_at + ping_after:
                self._write(records.encode_request(ReservedXid.PING, OpCode.PING))
            wait = min(self._received_at + read_timeout, self._sent_at + ping_after) - self.loop.time()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.001, wait)):
                    await disconnected.wait()

    async def _switch_to_writable_server(self, server: Address) -> None:
        """Search for a server with a quorum while the connected server is read-only, and switch to it."""
        wait = WRITABLE_CHECK_INITIAL_S
        while True:
            await asyncio.sleep(self._jitter(wait))
            wait = min(WRITABLE_CHECK_MAX_S, wait * 2)
            for other in [candidate for candidate in self.servers if candidate != server]:
                if await self._is_writable(other) and self._connection is not None:
                    self._untried_servers.appendleft(other)
                    self._connection.abort()
                    return

    async def _is_writable(self, server: Address) -> bool:
        """Return whether the server accepts writes, by its reply to the four-letter command `isro`."""
        answer = b""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.connect_timeout):
                reader, writer = await asyncio.open_connection(*server)
                try:
                    writer.write(b"isro")
                    answer = await reader.read(2)
                finally:
                    writer.close()
        return answer == b"rw"

    def _write(self, frame: bytes) -> None:
        self._sent_at = self.loop.time()
        if self._connection is not None:
            self._connection.write(frame)

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()

    def _disconnect(self) -> None:
        """Clean up after a connection has ended for any reason."""
        connection = self._connection
        self._connection = None
        self.server = None
        self._connect_response = None
        if connection is not None:
            connection.abort()
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
        for _, reply in pending:
            if not reply.done():
                reply.set_exception(ConnectionLostError("the connection broke before the reply"))
                # Marks the exception as retrieved, so that asyncio does not log it if the caller was
                # cancelled.
                reply.exception()

    def _discard_session(self) -> None:
        self.session_id = 0
        self.password = NO_PASSWORD

    # Received frames
    def _on_frame(self, frame: bytes) -> None:
        self._received_at = self.loop.time()
        if self._connect_response is not None:
            if not self._connect_response.done():
                self._connect_response.set_result(records.parse_connect_response(frame))
            return
        reply = records.parse_reply(frame)
        if reply.zxid > 0:
            if reply.zxid < self.last_zxid:
                self._disconnect_outdated_server(reply.zxid)
                return
            self.last_zxid = reply.zxid
        if reply.xid == ReservedXid.NOTIFICATION:
            self._on_watcher_event(records.read_watcher_event(reply.body))
        elif reply.xid == ReservedXid.AUTH:
            self._on_auth_reply(reply)
        elif reply.xid not in (ReservedXid.PING, ReservedXid.SET_WATCHES):
            self._on_reply(reply)

    def _disconnect_outdated_server(self, zxid: int) -> None:
        self.zxid_regressions += 1
        log.error(
            "zxid_went_back server=%s:%d from=0x%x to=0x%x (the server may have been restored from a backup; "
            "the known endpoints stay in use; if the restore was intended, send SIGHUP)",
            *(self.server or ("?", 0)),
            self.last_zxid,
            zxid,
        )
        self._abort_connection()

    def _on_auth_reply(self, reply: records.Reply) -> None:
        if reply.error_code == ErrorCode.OK:
            return
        log.error("credentials_rejected server=%s:%d", *(self.server or ("?", 0)))
        self._transition(SessionEvent.AUTH_REJECTED)
        self._abort_connection()

    def _on_reply(self, reply: records.Reply) -> None:
        if not self._pending or self._pending[0][0] != reply.xid:
            raise MalformedRecordError(
                f"reply to request {reply.xid}, which is not the oldest request without a reply"
            )
        _, waiter = self._pending.popleft()
        if reply.error_code == ErrorCode.SESSION_MOVED:
            self._abort_connection()
        if waiter.done():
            return
        if reply.error_code != ErrorCode.OK:
            waiter.set_exception(ServiceError(reply.error_code))
        else:
            waiter.set_result(reply.body)

    def _on_watcher_event(self, event: records.WatcherEvent) -> None:
        if event.type == EventType.NONE:
            return
        self.watches.on_event(event)
        self.on_event(event.type, self.relative(event.path))

    def _transition(self, event: SessionEvent) -> None:
        before = self.state
        self.state = next_state(self.state, event)
        if before is not self.state:
            log.info(
                "session_state_changed session=0x%x state=%s before=%s event=%s",
                self.session_id,
                self.state.value,
                before.value,
                event.value,
            )
            self.on_state(self.state)
