"""A client's connection to the stand-in for a coordination service: requests, watches and replies."""

from __future__ import annotations

import asyncio
import base64
import copy
import hashlib
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, cast

from harness.znode_tree import EPHEMERAL_MODES, Znode, name_of, parent_of
from service_proxy.ephemeral_nodes import records
from service_proxy.ephemeral_nodes.codes import ErrorCode, EventType, OpCode
from service_proxy.ephemeral_nodes.errors import MalformedRecordError, ServiceError
from service_proxy.ephemeral_nodes.jute import RecordReader, RecordWriter, split_frames
from service_proxy.ephemeral_nodes.records import ANY_VERSION, END_OF_MULTI

if TYPE_CHECKING:
    from harness.coordination import EnsembleServer

SYNC_CONNECTED = 3  # state field of a notification
FOUR_LETTER_WORDS = {b"ruok": b"imok", b"isro": b"rw", b"srvr": b"Zookeeper version: 3.8.0\n"}
FOUR_LETTERS = 4
WRITE_OPS = frozenset(
    (OpCode.CREATE, OpCode.CREATE2, OpCode.CREATE_CONTAINER, OpCode.DELETE, OpCode.SET_DATA, OpCode.MULTI)
)
MULTI_OPS = (OpCode.CREATE, OpCode.CREATE2, OpCode.DELETE, OpCode.SET_DATA)
# Permissions of an ACL entry.
READ = 1
WRITE = 2
CREATE = 4
DELETE = 8
# time between an error reply and the end of the connection, so that the client can read the reply
REFUSAL_LINGER_S = 0.05
CLOSE_LINGER_S = 0.01  # time between the reply to a close request and the end of the connection


@dataclass(slots=True)
class SessionRecord:
    """A session as the service stores it. Times are in s, monotonic."""

    id: int
    password: bytes
    timeout: float
    last_request_at: float
    nodes: set[str] = field(default_factory=set)  # paths of its ephemeral znodes
    connection: ServiceConnection | None = None


@dataclass(slots=True)
class ConnectionWatches:
    """The watched paths of a connection, by kind of watch."""

    data: set[str] = field(default_factory=set)
    exists: set[str] = field(default_factory=set)
    child: set[str] = field(default_factory=set)
    persistent: set[str] = field(default_factory=set)
    recursive: set[str] = field(default_factory=set)

    def discard(self, path: str) -> None:
        """Remove all watches of a path."""
        for paths in (self.data, self.exists, self.child, self.persistent, self.recursive):
            paths.discard(path)

    def fires(self, event: int, path: str) -> bool:
        """Return whether an event fires a watch; a one-shot watch is removed when it fires.

        A persistent recursive watch fires for each znode below its path, but not for changes of a list of
        children.
        """
        one_shot: tuple[set[str], ...] = (self.child,)
        if event != EventType.CHILDREN_CHANGED:
            one_shot = (self.data, self.exists)
            if event == EventType.DELETED:
                one_shot += (self.child,)
        has_one_shot = any([path in paths for paths in one_shot])
        for paths in one_shot:
            paths.discard(path)
        is_below = event != EventType.CHILDREN_CHANGED and self._is_below_recursive(path)
        return has_one_shot or path in self.persistent or is_below

    def _is_below_recursive(self, path: str) -> bool:
        if not self.recursive:
            return False
        while path not in self.recursive:
            if path == "/":
                return False
            path = parent_of(path)
        return True


class _TreeState(NamedTuple):
    """State of the tree and the sessions before a multi, which a failed multi restores."""

    zxid: int
    nodes: dict[str, Znode]
    nodes_by_session: dict[int, set[str]]


class ServiceConnection(asyncio.Protocol):
    """One client's connection to one server of the ensemble."""

    def __init__(self, server: EnsembleServer) -> None:
        self.server = server
        self.service = server.service
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.session: SessionRecord | None = None
        self.awaits_connect_request = True
        self.watches = ConnectionWatches()
        self.users: set[str] = set()  # authenticated users, as user:digest
        self.delayed: deque[tuple[float, bytes]] = deque()  # delayed frames, each with its due time
        self.handlers: dict[int, Callable[[RecordReader], bytes]] = {
            OpCode.PING: lambda _source: b"",
            OpCode.CLOSE: self._close,
            OpCode.AUTH: self._authenticate,
            OpCode.CREATE: self._create,
            OpCode.CREATE2: self._create2,
            OpCode.CREATE_CONTAINER: self._create2,
            OpCode.DELETE: self._delete,
            OpCode.EXISTS: self._exists,
            OpCode.GET_DATA: self._get_data,
            OpCode.SET_DATA: self._set_data,
            OpCode.GET_CHILDREN: self._get_children,
            OpCode.GET_CHILDREN2: self._get_children2,
            OpCode.SYNC: lambda source: RecordWriter().string(source.string()).to_bytes(),
            OpCode.MULTI: self._multi,
            OpCode.SET_WATCHES: self._set_watches,
            OpCode.SET_WATCHES2: self._set_watches2,
            OpCode.REMOVE_WATCHES: self._remove_watches,
        }
        if self.service.persistent_watches:
            self.handlers[OpCode.ADD_WATCH] = self._add_watch

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; drop the connection if the server is in a RESET partition."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.accepted += 1
        if self.server.mode == "reset":
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the server; the session stays open."""
        self.transport = None
        self.server.connections.discard(self)
        if self.session is not None and self.session.connection is self:
            self.session.connection = None

    def data_received(self, data: bytes) -> None:
        """Answer a four-letter word, or handle each complete frame."""
        if self.server.mode:
            return
        if self.awaits_connect_request and not self.buffer and data[:FOUR_LETTERS] in FOUR_LETTER_WORDS:
            self._answer_four_letter_word(data[:FOUR_LETTERS])
            return
        self.buffer += data
        try:
            for frame in split_frames(self.buffer):
                if self.awaits_connect_request:
                    self.awaits_connect_request = False
                    self._connect(frame)
                elif self.session is not None:
                    self._on_request(frame, self.session)
        except MalformedRecordError:
            self.drop()

    def drop(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _drop_later(self, delay: float) -> None:
        self.service.loop.call_later(delay, self.drop)

    def _answer_four_letter_word(self, command: bytes) -> None:
        assert self.transport is not None
        is_read_only = command == b"isro" and self.server.read_only
        self.transport.write(b"ro" if is_read_only else FOUR_LETTER_WORDS[command])
        self.transport.close()

    # Replies and notifications
    def _send(self, frame: bytes) -> None:
        """Send a frame; delayed frames keep their order."""
        if self.server.mode or self.transport is None:
            return
        if not self.service.slow and not self.delayed:
            self.transport.write(frame)
            return
        self.delayed.append((self.service.loop.time() + self.service.slow, frame))
        if len(self.delayed) == 1:
            self.service.loop.call_at(self.delayed[0][0], self._send_delayed)

    def _send_delayed(self) -> None:
        now = self.service.loop.time()
        while self.delayed and self.delayed[0][0] <= now:
            frame = self.delayed.popleft()[1]
            if self.transport is not None and not self.server.mode:
                self.transport.write(frame)
        if self.delayed:
            self.service.loop.call_at(self.delayed[0][0], self._send_delayed)

    def fire(self, event: int, path: str) -> None:
        """Notify the client of an event if one of its watches fires."""
        if self.watches.fires(event, path) and not self.service.watches_lost:
            self._notify(event, path)

    def _notify(self, event: int, path: str) -> None:
        self._send(records.WatcherEvent(event, SYNC_CONNECTED, path).frame())
        self._report_sent(event, [name_of(path)])

    def _report_sent(self, event: int, names: list[str]) -> None:
        if self.service.on_sent is not None and not self.server.mode and self.transport is not None:
            self.service.on_sent(self, event, names)

    # Requests
    def _connect(self, frame: bytes) -> None:
        request = records.parse_connect_request(frame)
        # a client that has seen newer changes has to connect to another server
        is_behind = request.last_zxid > self.service.tree.zxid
        if is_behind or (self.server.read_only and not request.read_only):
            self.drop()
            return
        session = self.service.connect(request, self)
        if session is None:
            self._send(records.ConnectResponse(0, 0, bytes(records.PASSWORD_BYTES)).frame())
            self._drop_later(REFUSAL_LINGER_S + self.service.slow)
            return
        self.session = session
        timeout_ms = int(session.timeout * 1000)
        response = records.ConnectResponse(timeout_ms, session.id, session.password, self.server.read_only)
        self._send(response.frame())

    def _on_request(self, frame: bytes, session: SessionRecord) -> None:
        session.last_request_at = time.monotonic()
        source = RecordReader(frame)
        xid = source.int32()
        op = source.int32()
        self.service.requests[op] += 1
        try:
            body = self._handle(op, source)
        except ServiceError as error:
            self._send(records.encode_reply(xid, self.service.tree.zxid, error.code))
            if op == OpCode.AUTH:
                self._drop_later(REFUSAL_LINGER_S)
            return
        self._send(records.encode_reply(xid, self.service.tree.zxid, ErrorCode.OK, body))
        if op == OpCode.CLOSE:
            self._drop_later(CLOSE_LINGER_S)

    def _handle(self, op: int, source: RecordReader) -> bytes:
        if self.server.read_only and op in WRITE_OPS:
            raise ServiceError(ErrorCode.NOT_READ_ONLY)
        handler = self.handlers.get(op)
        if handler is None:
            raise ServiceError(ErrorCode.UNIMPLEMENTED)
        return handler(source)

    def _close(self, _source: RecordReader) -> bytes:
        assert self.session is not None
        self.session.connection = None
        self.service.expire(self.session.id)
        return b""

    def _authenticate(self, source: RecordReader) -> bytes:
        source.int32()
        scheme = source.string()
        auth = source.buffer() or b""
        user, _, password = auth.decode("utf-8", "replace").partition(":")
        credentials = self.service.credentials
        if scheme != "digest" or (credentials and credentials.get(user) != password):
            raise ServiceError(ErrorCode.AUTH_FAILED)
        digest = base64.b64encode(hashlib.sha1(auth).digest()).decode()
        self.users.add(f"{user}:{digest}")
        return b""

    def _permitted_node(self, path: str, permission: int) -> Znode:
        """Return the znode. Raises ServiceError (NO_AUTH) if the client lacks the permission."""
        node = self.service.tree.node(path)
        for entry in node.acl:
            if entry.perms & permission and (entry.scheme == "world" or entry.id in self.users):
                return node
        raise ServiceError(ErrorCode.NO_AUTH, path)

    def _create(self, source: RecordReader) -> bytes:
        return RecordWriter().string(self._create_node(source)).to_bytes()

    def _create2(self, source: RecordReader) -> bytes:
        path = self._create_node(source)
        stat = self.service.tree.node(path).stat()
        return stat.write(RecordWriter().string(path)).to_bytes()

    def _create_node(self, source: RecordReader) -> str:
        path = source.string()
        data = source.buffer() or b""
        acl = source.vector(lambda: records.read_acl(source))
        flags = source.int32()
        assert self.session is not None
        self._permitted_node(parent_of(path), CREATE)
        created = self.service.tree.create(path, data, self._resolve_acl(acl, path), flags, self.session.id)
        if flags in EPHEMERAL_MODES:
            self.session.nodes.add(created)
        return created

    def _resolve_acl(self, acl: list[records.Acl], path: str) -> list[records.Acl]:
        """Replace each entry of scheme `auth` by entries for the client's authenticated users."""
        resolved = []
        for entry in acl:
            if entry.scheme != "auth":
                resolved.append(entry)
                continue
            if not self.users:
                raise ServiceError(ErrorCode.INVALID_ACL, path)
            resolved += [records.Acl(entry.perms, "digest", user) for user in sorted(self.users)]
        if not resolved:
            raise ServiceError(ErrorCode.INVALID_ACL, path)
        return resolved

    def _delete(self, source: RecordReader) -> bytes:
        path = source.string()
        version = source.int32()
        if path != "/":
            self._permitted_node(parent_of(path), DELETE)
        node = self.service.tree.delete(path, version)
        owner = self.service.sessions.get(node.owner)
        if owner is not None:
            owner.nodes.discard(path)
        return b""

    def _exists(self, source: RecordReader) -> bytes:
        path = source.string()
        watch = source.boolean()
        node = self.service.tree.nodes.get(path)
        if node is None:
            if watch:
                self.watches.exists.add(path)
            raise ServiceError(ErrorCode.NO_NODE, path)
        if watch:
            self.watches.data.add(path)
        return node.stat().write(RecordWriter()).to_bytes()

    def _get_data(self, source: RecordReader) -> bytes:
        path = source.string()
        watch = source.boolean()
        node = self._permitted_node(path, READ)
        if watch:
            self.watches.data.add(path)
        return node.stat().write(RecordWriter().buffer(node.data)).to_bytes()

    def _set_data(self, source: RecordReader) -> bytes:
        path = source.string()
        data = source.buffer() or b""
        version = source.int32()
        self._permitted_node(path, WRITE)
        return self.service.tree.set_data(path, data, version).write(RecordWriter()).to_bytes()

    def _get_children(self, source: RecordReader) -> bytes:
        return self._list_children(source)[1].to_bytes()

    def _get_children2(self, source: RecordReader) -> bytes:
        node, names = self._list_children(source)
        return node.stat().write(names).to_bytes()

    def _list_children(self, source: RecordReader) -> tuple[Znode, RecordWriter]:
        path = source.string()
        watch = source.boolean()
        node = self._permitted_node(path, READ)
        if watch:
            self.watches.child.add(path)
        names = sorted(node.children)
        self._report_sent(0, names)
        return node, RecordWriter().strings(names)

    # Watches
    def _add_watch(self, source: RecordReader) -> bytes:
        path = source.string()
        is_recursive = bool(source.int32())
        (self.watches.recursive if is_recursive else self.watches.persistent).add(path)
        return RecordWriter().int32(0).to_bytes()

    def _remove_watches(self, source: RecordReader) -> bytes:
        self.watches.discard(source.string())
        return b""

    def _set_watches(self, source: RecordReader) -> bytes:
        """Register watches again; those of znodes changed after a zxid fire at once (DataTree.setWatches)."""
        since = source.int64()
        data = source.vector(source.string)
        exists = source.vector(source.string)
        child = source.vector(source.string)
        nodes = self.service.tree.nodes
        watches = self.watches
        self._restore_watches(data, watches.data, since, EventType.DATA_CHANGED, lambda node: node.mzxid)
        for path in exists:
            if path in nodes:
                self._notify(EventType.CREATED, path)
            else:
                watches.exists.add(path)
        self._restore_watches(
            child, watches.child, since, EventType.CHILDREN_CHANGED, lambda node: node.pzxid
        )
        return b""

    def _set_watches2(self, source: RecordReader) -> bytes:
        self._set_watches(source)
        self.watches.persistent.update(source.vector(source.string))
        self.watches.recursive.update(source.vector(source.string))
        return b""

    def _restore_watches(
        self,
        paths: list[str],
        watches: set[str],
        since: int,
        event: EventType,
        changed_at: Callable[[Znode], int],
    ) -> None:
        for path in paths:
            node = self.service.tree.nodes.get(path)
            if node is None:
                self._notify(EventType.DELETED, path)
            elif changed_at(node) > since:
                self._notify(event, path)
            else:
                watches.add(path)

    # Multi
    def _multi(self, source: RecordReader) -> bytes:
        """Perform all operations of a multi, or none: if one fails, the reply has an error for each."""
        tree = self.service.tree
        saved_state = self._snapshot_tree()
        fired: list[tuple[int, str]] = []
        results: list[tuple[int, bytes]] = []
        failure: ServiceError | None = None
        fire = tree.fire
        tree.fire = lambda event, path: fired.append((event, path))
        try:
            self._perform_operations(source, results)
        except ServiceError as error:
            failure = error
        finally:
            tree.fire = fire
        reply = RecordWriter()
        if failure is not None:
            self._restore_tree(saved_state)
            for code in [int(ErrorCode.OK)] * len(results) + [int(failure.code)]:
                reply.int32(OpCode.ERROR).boolean(False).int32(code).int32(code)
        else:
            for op, result in results:
                reply.int32(op).boolean(False).int32(ErrorCode.OK).record(result)
            for event, path in fired:
                tree.fire(event, path)
        return reply.int32(END_OF_MULTI).boolean(True).int32(END_OF_MULTI).to_bytes()

    def _perform_operations(self, source: RecordReader, results: list[tuple[int, bytes]]) -> None:
        while True:
            op = source.int32()
            is_last = source.boolean()
            source.int32()
            if is_last:
                return
            if op == OpCode.CHECK:
                results.append((op, self._check(source)))
            elif op in MULTI_OPS:
                results.append((op, self._handle(op, source)))
            else:
                raise ServiceError(ErrorCode.BAD_ARGUMENTS)

    def _check(self, source: RecordReader) -> bytes:
        path = source.string()
        version = source.int32()
        if version not in (ANY_VERSION, self.service.tree.node(path).version):
            raise ServiceError(ErrorCode.BAD_VERSION, path)
        return b""

    def _snapshot_tree(self) -> _TreeState:
        tree = self.service.tree
        nodes_by_session = {number: set(record.nodes) for number, record in self.service.sessions.items()}
        return _TreeState(tree.zxid, copy.deepcopy(tree.nodes), nodes_by_session)

    def _restore_tree(self, state: _TreeState) -> None:
        self.service.tree.zxid = state.zxid
        self.service.tree.nodes = state.nodes
        for number, nodes in state.nodes_by_session.items():
            self.service.sessions[number].nodes = nodes
