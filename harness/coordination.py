"""A stand-in for a coordination service: the ZooKeeper client protocol, to any client, with scripted faults.

    python -m harness.coordination --listen 127.0.0.1:0 [--ensemble 3] [--script FILE] [--seconds 600]

It prints `listening HOST:PORT`, then one such line for each further server of the ensemble. One process holds
all servers and one tree, so an ensemble is consistent at once; what goes wrong is the script's to say:

    {"at": 2.0, "do": "expire", "path": "/salas/portal/s-1"}      the session that owns the node; or
    "session": ID {"at": 3.0, "do": "partition", "servers": [0, 1], "mode": "silent"}     or "reset";
    sessions run out {"at": 5.0, "do": "heal"}
    {"at": 6.0, "do": "slow", "seconds": 0.5}                     each answer of all servers; 0 ends it
    {"at": 7.0, "do": "lose_leader", "seconds": 1.5}              no server serves; sessions do not run out
    {"at": 8.0, "do": "lose_watches", "on": true}                 watches fire unsent
    {"at": 9.0, "do": "empty"}                                    restored empty: no nodes below /, no
    sessions {"at": 9.5, "do": "save"}, {"at": 10, "do": "restore"}        the tree as saved, with the zxid
    of then {"at": 11.0, "do": "read_only", "servers": [2], "on": true}

Sources: zookeeper.jute and the programmer's guide (sessions, watches, ephemeral nodes, multi).
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import copy
import hashlib
import json
import sys
import time
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any, cast

from service_proxy.ephemeral_nodes import errors, jute, paths, records
from service_proxy.ephemeral_nodes.codes import ErrorCode, EventType, OpCode
from service_proxy.ephemeral_nodes.errors import ServiceError
from service_proxy.ephemeral_nodes.jute import RecordReader, RecordWriter
from service_proxy.ephemeral_nodes.records import Stat

EXPIRY_STEP = 0.05  # s between looks at sessions
# ms that a session is granted
MIN_SESSION_TIMEOUT_MS = 200
MAX_SESSION_TIMEOUT_MS = 40_000
SYNC_CONNECTED = 3  # state in a notification
FOUR_LETTERS = {b"ruok": b"imok", b"isro": b"rw", b"srvr": b"Zookeeper version: 3.8.0\n"}
WRITE_OPS = frozenset(
    (OpCode.CREATE, OpCode.CREATE2, OpCode.CREATE_CONTAINER, OpCode.DELETE, OpCode.SET_DATA, OpCode.MULTI)
)


@dataclass(slots=True)
class Znode:
    data: bytes
    acl: list[records.Acl]
    czxid: int
    mzxid: int
    pzxid: int
    ctime: int
    mtime: int
    owner: int = 0
    version: int = 0
    cversion: int = 0
    children: set[str] = field(default_factory=set)
    sequence: int = 0

    def stat(self) -> Stat:
        return Stat(
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            0,
            self.owner,
            len(self.data),
            len(self.children),
            self.pzxid,
        )


@dataclass(slots=True)
class SessionRecord:
    id: int
    password: bytes
    timeout: float
    heard: float
    nodes: set[str] = field(default_factory=set)
    connection: ServiceConnection | None = None


def parent_of(path: str) -> str:
    return path.rpartition("/")[0] or "/"


class ZnodeTree:
    """The nodes, and the one order of changes (zxid)."""

    def __init__(self) -> None:
        self.zxid = 1 << 32
        self.nodes: dict[str, Znode] = {}
        self.fire: Callable[[int, str], None] = lambda event, path: None
        self.reset()

    def reset(self) -> None:
        now = int(time.time() * 1000)
        self.nodes = {"/": Znode(b"", list(records.OPEN_ACL), 0, 0, 0, now, now)}

    def node(self, path: str) -> Znode:
        found = self.nodes.get(path)
        if found is None:
            raise ServiceError(ErrorCode.NO_NODE, path)
        return found

    def create(self, path: str, data: bytes, acl: list[records.Acl], flags: int, owner: int) -> str:
        if flags & 2:
            holder = self.node(parent_of(path))
            path = f"{path}{holder.sequence:010d}"
        if paths.find_path_problem(path) or path == "/":
            raise ServiceError(ErrorCode.BAD_ARGUMENTS, path)
        parent = self.node(parent_of(path))
        if path in self.nodes:
            raise ServiceError(ErrorCode.NODE_EXISTS, path)
        if parent.owner:
            raise ServiceError(ErrorCode.NO_CHILDREN_FOR_EPHEMERALS, path)
        if flags not in (0, 1, 2, 3, 4):
            raise ServiceError(ErrorCode.UNIMPLEMENTED, path)
        self.zxid += 1
        now = int(time.time() * 1000)
        holder_id = owner if flags in (1, 3) else 0
        self.nodes[path] = Znode(data, acl, self.zxid, self.zxid, self.zxid, now, now, holder_id)
        parent.children.add(path.rpartition("/")[2])
        parent.cversion += 1
        parent.sequence += 1
        parent.pzxid = self.zxid
        self.fire(EventType.CREATED, path)
        self.fire(EventType.CHILDREN_CHANGED, parent_of(path))
        return path

    def delete(self, path: str, version: int) -> Znode:
        node = self.node(path)
        if version not in (-1, node.version):
            raise ServiceError(ErrorCode.BAD_VERSION, path)
        if node.children:
            raise ServiceError(ErrorCode.NOT_EMPTY, path)
        self.zxid += 1
        del self.nodes[path]
        parent = self.node(parent_of(path))
        parent.children.discard(path.rpartition("/")[2])
        parent.cversion += 1
        parent.pzxid = self.zxid
        self.fire(EventType.DELETED, path)
        self.fire(EventType.CHILDREN_CHANGED, parent_of(path))
        return node

    def set_data(self, path: str, data: bytes, version: int) -> Stat:
        node = self.node(path)
        if version not in (-1, node.version):
            raise ServiceError(ErrorCode.BAD_VERSION, path)
        self.zxid += 1
        node.data, node.mzxid, node.mtime = data, self.zxid, int(time.time() * 1000)
        node.version += 1
        self.fire(EventType.DATA_CHANGED, path)
        return node.stat()


class CoordinationService:
    """The ensemble: one tree, the sessions, and what the script does to them."""

    def __init__(self, servers: int = 1, persistent_watches: bool = True) -> None:
        self.loop = asyncio.get_running_loop()
        self.tree = ZnodeTree()
        self.tree.fire = self._fire
        self.sessions: dict[int, SessionRecord] = {}
        self.ids = count((int(time.time() * 1000) << 20) & 0x00FFFFFFFFFFFFFF | 1)
        self.servers = [EnsembleServer(self, number) for number in range(servers)]
        self.persistent_watches = persistent_watches
        self.credentials: dict[str, str] = {}  # user: password; an unknown user's digest is refused if any
        self.slow = 0.0  # s that each answer takes
        self.watches_lost = False
        self.leaderless = False
        self.saved: tuple[int, dict[str, Znode]] | None = None
        self.requests: dict[int, int] = defaultdict(int)  # by type
        self.expired: list[tuple[float, int, set[str]]] = []  # when, which session, its nodes
        # What was just written to a client: an event and its node's name, or 0 and all names of a path.
        self.on_sent: Callable[[ServiceConnection, int, list[str]], None] | None = None
        self._expiry: asyncio.Task[None] | None = None
        self._script: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> list[tuple[str, int]]:
        """The addresses of the servers; the first has the port asked for."""
        for server in self.servers:
            await server.listen(host, port if server.number == 0 else 0)
        self._expiry = self.loop.create_task(self._expiring())
        return [server.address for server in self.servers]

    async def stop(self) -> None:
        for task in (self._expiry, self._script):
            if task is not None:
                task.cancel()
        for server in self.servers:
            server.close()

    # sessions
    async def _expiring(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_STEP)
            now = time.monotonic()
            if self.leaderless:  # without a leader no session can end
                for session in self.sessions.values():
                    session.heard = now
                continue
            for session in [s for s in self.sessions.values() if now > s.heard + s.timeout]:
                self.expire(session.id)

    def expire(self, number: int) -> None:
        """Ends a session: its nodes go, and its connection."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        now = time.monotonic()
        self.expired.append((now, number, set(session.nodes)))
        for path in sorted(session.nodes):
            if path in self.tree.nodes:
                self.tree.delete(path, -1)
        if session.connection is not None:
            session.connection.drop()

    def connect(self, wanted: records.ConnectRequest, connection: ServiceConnection) -> SessionRecord | None:
        """A new session, or the one asked for; None where it has expired. Moving it ends its old
        connection.
        """
        timeout = min(MAX_SESSION_TIMEOUT_MS, max(MIN_SESSION_TIMEOUT_MS, wanted.timeout_ms)) / 1000
        now = time.monotonic()
        if wanted.session_id == 0:
            number = next(self.ids)
            password = hashlib.sha256(b"%d" % number).digest()[:16]
            session = SessionRecord(number, password, timeout, now)
            self.sessions[number] = session
        else:
            found = self.sessions.get(wanted.session_id)
            if found is None or found.password != wanted.password:
                return None
            session = found
            session.timeout = timeout
            session.heard = now
            if session.connection is not None and session.connection is not connection:
                session.connection.drop()
        session.connection = connection
        return session

    # watches
    def _fire(self, event: int, path: str) -> None:
        for server in self.servers:
            for connection in list(server.connections):
                connection.fire(event, path)

    # the script
    def run_script(self, steps: list[dict[str, Any]]) -> None:
        self._script = self.loop.create_task(self._playing(steps))

    async def _playing(self, steps: list[dict[str, Any]]) -> None:
        begun = self.loop.time()
        for step in sorted(steps, key=lambda step: float(step["at"])):
            await asyncio.sleep(max(0.0, begun + float(step["at"]) - self.loop.time()))
            self.run_step(step)

    def run_step(self, step: dict[str, Any]) -> None:
        """One step of a script, now. Raises ValueError for one that is not known."""
        action = step["do"]
        chosen = [self.servers[n] for n in step.get("servers", range(len(self.servers)))]
        if action == "expire":
            number = step.get("session") or self.tree.node(step["path"]).owner
            self.expire(int(number))
        elif action == "partition":
            for server in chosen:
                server.cut(step.get("mode", "silent"))
        elif action == "heal":
            for server in chosen:
                server.mend()
        elif action == "slow":
            self.slow = float(step["seconds"])
        elif action == "lose_leader":
            self.lose_leader(float(step["seconds"]))
        elif action == "lose_watches":
            self.watches_lost = bool(step["on"])
        elif action == "empty":
            self.empty()
        elif action == "save":
            self.saved = self.tree.zxid, copy.deepcopy(self.tree.nodes)
        elif action == "restore":
            self.restore()
        elif action == "read_only":
            for server in chosen:
                server.set_read_only(bool(step["on"]))
        elif action == "drop":
            for server in chosen:
                server.drop_all()
        else:
            raise ValueError(f"unknown step {action!r}; the module's docstring lists them")

    def lose_leader(self, seconds: float) -> None:
        self.leaderless = True
        for server in self.servers:
            server.cut("reset")

        def elected() -> None:
            self.leaderless = False
            self.tree.zxid = ((self.tree.zxid >> 32) + 1) << 32  # a new epoch
            for server in self.servers:
                server.mend()

        self.loop.call_later(seconds, elected)

    def empty(self) -> None:
        """Restored from nothing: zxids go on, sessions and nodes are gone, and no watch tells."""
        self.sessions.clear()
        self.tree.reset()
        self.tree.zxid += 1
        for server in self.servers:
            server.drop_all()

    def restore(self) -> None:
        if self.saved is None:
            raise ValueError("nothing was saved: put a step save before restore")
        self.tree.zxid, nodes = self.saved
        self.tree.nodes = copy.deepcopy(nodes)
        for server in self.servers:
            server.drop_all()


class EnsembleServer:
    """One of the ensemble: a listener and its connections."""

    def __init__(self, service: CoordinationService, number: int) -> None:
        self.service = service
        self.number = number
        self.connections: set[ServiceConnection] = set()
        self.address = ("127.0.0.1", 0)
        self.mode = ""  # "", "silent" or "reset"
        self.read_only = False
        self.taken = 0
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServiceConnection(self), host, port, backlog=1024)
        self.address = self.listener.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.drop_all()

    def drop_all(self) -> None:
        for connection in list(self.connections):
            connection.drop()

    def cut(self, mode: str) -> None:
        """`silent`: connections stay open and say nothing; `reset`: they end, and new ones end at once."""
        self.mode = mode
        if mode == "reset":
            self.drop_all()

    def mend(self) -> None:
        """What was sent meanwhile is lost, as the connections that carried it are."""
        was = self.mode
        self.mode = ""
        if was == "silent":
            self.drop_all()

    def set_read_only(self, on: bool) -> None:
        self.read_only = on
        self.drop_all()


class ServiceConnection(asyncio.Protocol):
    def __init__(self, server: EnsembleServer) -> None:
        self.server = server
        self.service = server.service
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.session: SessionRecord | None = None
        self.first = True
        self.data: set[str] = set()
        self.exist: set[str] = set()
        self.child: set[str] = set()
        self.persistent: set[str] = set()
        self.recursive: set[str] = set()
        self.users: set[str] = set()
        self.waiting: deque[tuple[float, bytes]] = deque()  # with when each is due

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.taken += 1
        if self.server.mode == "reset":
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.connections.discard(self)
        if self.session is not None and self.session.connection is self:
            self.session.connection = None

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.server.mode:
            return
        if self.first and not self.buffer and data[:4] in FOUR_LETTERS:
            read_only = data[:4] == b"isro" and self.server.read_only
            assert self.transport is not None
            self.transport.write(b"ro" if read_only else FOUR_LETTERS[data[:4]])
            self.transport.close()
            return
        self.buffer += data
        try:
            for frame in jute.split_frames(self.buffer):
                if self.first:
                    self.first = False
                    self._connect(frame)
                elif self.session is not None:
                    self._request(frame)
        except errors.MalformedRecordError:
            self.drop()

    def _send(self, frame: bytes) -> None:
        """Answers and notifications leave in the order in which they were made, also where they are slow."""
        if self.server.mode:
            return
        if self.transport is None:
            return
        if not self.service.slow and not self.waiting:
            self.transport.write(frame)
            return
        self.waiting.append((self.service.loop.time() + self.service.slow, frame))
        if len(self.waiting) == 1:
            self.service.loop.call_at(self.waiting[0][0], self._send_waiting)

    def _send_waiting(self) -> None:
        now = self.service.loop.time()
        while self.waiting and self.waiting[0][0] <= now:
            frame = self.waiting.popleft()[1]
            if self.transport is not None and not self.server.mode:
                self.transport.write(frame)
        if self.waiting:
            self.service.loop.call_at(self.waiting[0][0], self._send_waiting)

    def _connect(self, frame: bytes) -> None:
        wanted = records.parse_connect_request(frame)
        if wanted.last_zxid > self.service.tree.zxid or (self.server.read_only and not wanted.read_only):
            self.drop()  # the client has seen what this server has not, or wants to write
            return
        session = self.service.connect(wanted, self)
        if session is None:
            self._send(records.ConnectResponse(0, 0, bytes(16)).frame())
            self.service.loop.call_later(0.05 + self.service.slow, self.drop)
            return
        self.session = session
        granted = records.ConnectResponse(
            int(session.timeout * 1000), session.id, session.password, self.server.read_only
        )
        self._send(granted.frame())

    def _request(self, frame: bytes) -> None:
        assert self.session is not None
        self.session.heard = time.monotonic()
        source = RecordReader(frame)
        xid = source.int32()
        op = source.int32()
        self.service.requests[op] += 1
        try:
            if self.server.read_only and op in WRITE_OPS:
                raise ServiceError(ErrorCode.NOT_READ_ONLY)
            body = self._do(op, source)
        except ServiceError as fault:
            self._send(records.encode_reply(xid, self.service.tree.zxid, fault.code))
            if op == OpCode.AUTH:
                self.service.loop.call_later(0.05, self.drop)
            return
        self._send(records.encode_reply(xid, self.service.tree.zxid, ErrorCode.OK, body))
        if op == OpCode.CLOSE:
            self.service.loop.call_later(0.01, self.drop)

    def _do(self, op: int, source: RecordReader) -> bytes:
        tree = self.service.tree
        session = self.session
        assert session is not None
        if op == OpCode.PING:
            return b""
        if op == OpCode.CLOSE:
            session.connection = None
            self.service.expire(session.id)
            return b""
        if op == OpCode.AUTH:
            return self._auth(source)
        if op in (OpCode.CREATE, OpCode.CREATE2, OpCode.CREATE_CONTAINER):
            path = self._create(source)
            stat = RecordWriter() if op == OpCode.CREATE else tree.node(path).stat().write(RecordWriter())
            return RecordWriter().string(path).to_bytes() + stat.to_bytes()
        if op == OpCode.DELETE:
            self._delete(source.string(), source.int32())
            return b""
        if op == OpCode.EXISTS:
            return self._exists(source.string(), source.boolean())
        if op == OpCode.GET_DATA:
            path = source.string()
            watch = source.boolean()
            node = self._allowed(path, 1)
            if watch:
                self.data.add(path)
            return node.stat().write(RecordWriter().buffer(node.data)).to_bytes()
        if op == OpCode.SET_DATA:
            path = source.string()
            data = source.buffer() or b""
            version = source.int32()
            self._allowed(path, 2)
            return tree.set_data(path, data, version).write(RecordWriter()).to_bytes()
        if op in (OpCode.GET_CHILDREN, OpCode.GET_CHILDREN2):
            path = source.string()
            watch = source.boolean()
            node = self._allowed(path, 1)
            if watch:
                self.child.add(path)
            body = RecordWriter().strings(sorted(node.children))
            self._sent(0, sorted(node.children))
            return (body if op == OpCode.GET_CHILDREN else node.stat().write(body)).to_bytes()
        if op == OpCode.SYNC:
            return RecordWriter().string(source.string()).to_bytes()
        if op == OpCode.MULTI:
            return self._multi(source)
        if op in (OpCode.SET_WATCHES, OpCode.SET_WATCHES2):
            self._set_watches(source, op == OpCode.SET_WATCHES2)
            return b""
        if op == OpCode.ADD_WATCH and self.service.persistent_watches:
            path = source.string()
            mode = source.int32()
            (self.recursive if mode else self.persistent).add(path)
            return RecordWriter().int32(0).to_bytes()
        if op == OpCode.REMOVE_WATCHES:
            path = source.string()
            for watches in (self.data, self.exist, self.child, self.persistent, self.recursive):
                watches.discard(path)
            return b""
        raise ServiceError(ErrorCode.UNIMPLEMENTED)

    def _create(self, source: RecordReader) -> str:
        path = source.string()
        data = source.buffer() or b""
        acl = source.vector(lambda: records.read_acl(source))
        flags = source.int32()
        assert self.session is not None
        self._allowed(parent_of(path), 4)
        real = []
        for entry in acl:
            if entry.scheme == "auth":
                if not self.users:
                    raise ServiceError(ErrorCode.INVALID_ACL, path)
                real += [records.Acl(entry.perms, "digest", user) for user in sorted(self.users)]
            else:
                real.append(entry)
        if not real:
            raise ServiceError(ErrorCode.INVALID_ACL, path)
        made = self.service.tree.create(path, data, real, flags, self.session.id)
        if flags in (1, 3):
            self.session.nodes.add(made)
        return made

    def _delete(self, path: str, version: int) -> None:
        if path != "/":
            self._allowed(parent_of(path), 8)
        node = self.service.tree.delete(path, version)
        holder = self.service.sessions.get(node.owner)
        if holder is not None:
            holder.nodes.discard(path)

    def _exists(self, path: str, watch: bool) -> bytes:
        node = self.service.tree.nodes.get(path)
        if node is None:
            if watch:
                self.exist.add(path)
            raise ServiceError(ErrorCode.NO_NODE, path)
        if watch:
            self.data.add(path)
        return node.stat().write(RecordWriter()).to_bytes()

    def _multi(self, source: RecordReader) -> bytes:
        """All or nothing: the tree is put back where a part fails, and each part has an error then."""
        tree = self.service.tree
        session = self.session
        assert session is not None
        before = (
            tree.zxid,
            copy.deepcopy(tree.nodes),
            {n: set(s.nodes) for n, s in self.service.sessions.items()},
        )
        fired: list[tuple[int, str]] = []
        real = tree.fire
        tree.fire = lambda event, path: fired.append((event, path))
        done: list[tuple[int, bytes]] = []
        failed: ServiceError | None = None
        try:
            while True:
                op = source.int32()
                last = source.boolean()
                _ = source.int32()
                if last:
                    break
                if failed is not None:
                    raise failed
                if op == OpCode.CHECK:
                    path = source.string()
                    version = source.int32()
                    if tree.node(path).version != version and version != -1:
                        raise ServiceError(ErrorCode.BAD_VERSION, path)
                    done.append((op, b""))
                elif op in (OpCode.CREATE, OpCode.CREATE2, OpCode.DELETE, OpCode.SET_DATA):
                    done.append((op, self._do(op, source)))
                else:
                    raise ServiceError(ErrorCode.BAD_ARGUMENTS)
        except ServiceError as fault:
            failed = fault
        finally:
            tree.fire = real
        body = RecordWriter()
        if failed is not None:
            tree.zxid = before[0]
            tree.nodes = before[1]
            for number, nodes in before[2].items():
                self.service.sessions[number].nodes = nodes
            codes = [int(ErrorCode.OK)] * len(done) + [int(failed.code)]
            for code in codes:
                body.int32(OpCode.ERROR).boolean(False).int32(code).int32(code)
        else:
            for op, result in done:
                body.int32(op).boolean(False).int32(0).record(result)
            for event, path in fired:
                tree.fire(event, path)
        return body.int32(-1).boolean(True).int32(-1).to_bytes()

    def _auth(self, source: RecordReader) -> bytes:
        source.int32()
        scheme = source.string()
        auth = source.buffer() or b""
        user, _, password = auth.decode("utf-8", "replace").partition(":")
        known = self.service.credentials
        if scheme != "digest" or (known and known.get(user) != password):
            raise ServiceError(ErrorCode.AUTH_FAILED)
        digest = base64.b64encode(hashlib.sha1(auth).digest()).decode()
        self.users.add(f"{user}:{digest}")
        return b""

    def _allowed(self, path: str, permission: int) -> Znode:
        node = self.service.tree.node(path)
        for entry in node.acl:
            if entry.perms & permission and (entry.scheme == "world" or entry.id in self.users):
                return node
        raise ServiceError(ErrorCode.NO_AUTH, path)

    def _set_watches(self, source: RecordReader, more: bool) -> None:
        """Watches again, from a zxid: what has changed since fires at once (DataTree.setWatches)."""
        since = source.int64()
        data, exist, child = (source.vector(source.string) for _ in range(3))
        nodes = self.service.tree.nodes
        self._watch_again(data, self.data, since, EventType.DATA_CHANGED, lambda node: node.mzxid)
        for path in exist:
            if path in nodes:
                self._notify(EventType.CREATED, path)
            else:
                self.exist.add(path)
        self._watch_again(child, self.child, since, EventType.CHILDREN_CHANGED, lambda node: node.pzxid)
        if more:
            self.persistent.update(source.vector(source.string))
            self.recursive.update(source.vector(source.string))

    def _watch_again(
        self,
        paths: list[str],
        watches: set[str],
        since: int,
        event: EventType,
        changed: Callable[[Znode], int],
    ) -> None:
        for path in paths:
            node = self.service.tree.nodes.get(path)
            if node is None:
                self._notify(EventType.DELETED, path)
            elif changed(node) > since:
                self._notify(event, path)
            else:
                watches.add(path)

    def fire(self, event: int, path: str) -> None:
        """One-shot watches are spent; a persistent recursive one fires for each node below its path, and not
        for changes of lists of children."""
        hit = False
        if event == EventType.CHILDREN_CHANGED:
            hit = path in self.child
            self.child.discard(path)
            hit = hit or path in self.persistent
        else:
            for watches in (self.data, self.exist):
                hit = hit or path in watches
                watches.discard(path)
            if event == EventType.DELETED:
                hit = hit or path in self.child
                self.child.discard(path)
            hit = hit or path in self.persistent or self._below(path)
        if hit and not self.service.watches_lost:
            self._notify(event, path)

    def _below(self, path: str) -> bool:
        if not self.recursive:
            return False
        while True:
            if path in self.recursive:
                return True
            if path == "/":
                return False
            path = parent_of(path)

    def _notify(self, event: int, path: str) -> None:
        self._send(records.WatcherEvent(event, SYNC_CONNECTED, path).frame())
        self._sent(event, [path.rpartition("/")[2]])

    def _sent(self, event: int, names: list[str]) -> None:
        if self.service.on_sent is not None and not self.server.mode and self.transport is not None:
            self.service.on_sent(self, event, names)


def read_script(path: Path) -> list[dict[str, Any]]:
    """One JSON object a line. Raises ValueError with file and line."""
    steps = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        try:
            step = json.loads(line)
            float(step["at"])
            str(step["do"])
        except (ValueError, KeyError, TypeError) as fault:
            text = f"{path}:{number}: no step: {fault!r}; write an object with at and do"
            raise ValueError(text) from None
        steps.append(step)
    return steps


async def serve(listen: str, ensemble: int, script: Path | None, seconds: float) -> None:
    host, _, port = listen.rpartition(":")
    service = CoordinationService(ensemble)
    steps = read_script(script) if script else []
    for at in await service.start(host, int(port)):
        print(f"listening {at[0]}:{at[1]}", flush=True)
    service.run_script(steps)
    try:
        await asyncio.sleep(seconds)
    finally:
        await service.stop()


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m harness.coordination",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--ensemble", type=int, default=1, choices=range(1, 10), metavar="SERVERS")
    parser.add_argument("--script", type=Path, metavar="FILE")
    parser.add_argument("--seconds", type=float, default=600.0, help="after which it ends by itself")
    wanted = parser.parse_args(argv)
    try:
        asyncio.run(serve(wanted.listen, wanted.ensemble, wanted.script, wanted.seconds))
    except ValueError as fault:
        print(fault, file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        pass
    return 0


if __name__ == "__main__":
    sys.exit(main())
