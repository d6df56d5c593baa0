"""Records of the ZooKeeper client protocol, encoded and decoded. Pure: no sockets, no session.

Source: the published `zookeeper.jute` (3.4 to 3.9); the records have the same names. Each `encode_...`
function returns the record of a request, and `encode_request` puts the record into a frame.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import astuple, dataclass
from typing import NamedTuple

from service_proxy.ephemeral_nodes.codes import AddWatchMode, ErrorCode, OpCode, ReservedXid
from service_proxy.ephemeral_nodes.errors import MalformedRecordError
from service_proxy.ephemeral_nodes.jute import RecordReader, RecordWriter

PASSWORD_BYTES = 16  # Length of a session's password.
ANY_VERSION = -1  # Version of an unconditional write.


@dataclass(frozen=True, slots=True)
class Stat:
    """State of a znode (Stat); times in ms of Unix time."""

    czxid: int  # zxid of the znode's creation.
    mzxid: int  # zxid of the last change of the data.
    ctime: int
    mtime: int
    version: int
    cversion: int  # Version of the list of children.
    aversion: int
    ephemeral_owner: int  # Session id of the owner of an ephemeral node; 0: not ephemeral.
    data_length: int  # Length of the data in bytes.
    num_children: int
    pzxid: int  # zxid of the last change of the children.

    def write(self, to: RecordWriter) -> RecordWriter:
        """Append this record to `to`."""
        return to.record(STAT_LAYOUT.pack(*astuple(self)))


STAT_LAYOUT = struct.Struct(">qqqqiiiqiiq")


def read_stat(source: RecordReader) -> Stat:
    """Read a Stat."""
    return Stat(*STAT_LAYOUT.unpack(source.take(STAT_LAYOUT.size)))


@dataclass(frozen=True, slots=True)
class Acl:
    """Permissions of an identity (ACL); `perms` is a sum of read 1, write 2, create 4, delete 8, admin 16."""

    perms: int
    scheme: str
    id: str

    def write(self, to: RecordWriter) -> RecordWriter:
        """Append this record to `to`."""
        return to.int32(self.perms).string(self.scheme).string(self.id)


ALL_PERMISSIONS = 31
OPEN_ACL = (Acl(ALL_PERMISSIONS, "world", "anyone"),)
CREATOR_ACL = (Acl(ALL_PERMISSIONS, "auth", ""),)


def read_acl(source: RecordReader) -> Acl:
    """Read an ACL."""
    return Acl(source.int32(), source.string(), source.string())


@dataclass(frozen=True, slots=True)
class ConnectRequest:
    """First frame that a client sends on a connection (ConnectRequest)."""

    last_zxid: int
    timeout_ms: int
    session_id: int
    password: bytes
    read_only: bool = False
    protocol_version: int = 0

    def frame(self) -> bytes:
        """Return the request as a frame."""
        writer = RecordWriter().int32(self.protocol_version).int64(self.last_zxid)
        writer.int32(self.timeout_ms).int64(self.session_id)
        return writer.buffer(self.password).boolean(self.read_only).frame()


def parse_connect_request(data: bytes) -> ConnectRequest:
    """Parse a ConnectRequest; clients before 3.4 omit its last field."""
    source = RecordReader(data)
    protocol_version = source.int32()
    last_zxid = source.int64()
    timeout_ms = source.int32()
    session_id = source.int64()
    password = source.buffer() or b""
    read_only = source.boolean() if source.remaining else False
    return ConnectRequest(last_zxid, timeout_ms, session_id, password, read_only, protocol_version)


@dataclass(frozen=True, slots=True)
class ConnectResponse:
    """Reply to a ConnectRequest; a session id or a timeout of 0 means that the session has expired."""

    timeout_ms: int  # Negotiated session timeout.
    session_id: int
    password: bytes
    read_only: bool = False  # Whether the server has no quorum and accepts reads only.
    protocol_version: int = 0

    def frame(self) -> bytes:
        """Return the response as a frame."""
        writer = RecordWriter().int32(self.protocol_version).int32(self.timeout_ms).int64(self.session_id)
        return writer.buffer(self.password).boolean(self.read_only).frame()


def parse_connect_response(data: bytes) -> ConnectResponse:
    """Parse a ConnectResponse; servers before 3.4 omit its last field."""
    source = RecordReader(data)
    protocol_version = source.int32()
    timeout_ms = source.int32()
    session_id = source.int64()
    password = source.buffer() or b""
    read_only = source.boolean() if source.remaining else False
    return ConnectResponse(timeout_ms, session_id, password, read_only, protocol_version)


def encode_request(xid: int, op: int, body: bytes = b"") -> bytes:
    """Return a frame with the RequestHeader and the request's record."""
    return RecordWriter().int32(xid).int32(op).record(body).frame()


def encode_reply(xid: int, zxid: int, err: int, body: bytes = b"") -> bytes:
    """Return a frame with the ReplyHeader and the reply's record; an error has no record."""
    return RecordWriter().int32(xid).int64(zxid).int32(err).record(body).frame()


class Reply(NamedTuple):
    """ReplyHeader, and a reader of the record that follows."""

    xid: int
    zxid: int
    error_code: int
    body: RecordReader


def parse_reply(data: bytes) -> Reply:
    """Parse a frame that a server sends after its ConnectResponse."""
    source = RecordReader(data)
    return Reply(source.int32(), source.int64(), source.int32(), source)


# Requests


def encode_create(path: str, data: bytes, acl: Iterable[Acl], flags: int) -> bytes:
    """Return a CreateRequest; `flags` is a CreateMode."""
    entries = list(acl)
    writer = RecordWriter().string(path).buffer(data).int32(len(entries))
    for entry in entries:
        entry.write(writer)
    return writer.int32(flags).to_bytes()


def encode_delete(path: str, version: int = ANY_VERSION) -> bytes:
    """Return a DeleteRequest."""
    return RecordWriter().string(path).int32(version).to_bytes()


def encode_read(path: str, watch: bool) -> bytes:
    """Return the request record of exists, getData, getChildren or getChildren2."""
    return RecordWriter().string(path).boolean(watch).to_bytes()


def encode_set_data(path: str, data: bytes, version: int = ANY_VERSION) -> bytes:
    """Return a SetDataRequest."""
    return RecordWriter().string(path).buffer(data).int32(version).to_bytes()


def encode_check(path: str, version: int) -> bytes:
    """Return a CheckVersionRequest."""
    return RecordWriter().string(path).int32(version).to_bytes()


def encode_path(path: str) -> bytes:
    """Return a request record that consists of a path."""
    return RecordWriter().string(path).to_bytes()


def encode_auth(scheme: str, auth: bytes) -> bytes:
    """Return an AuthPacket."""
    return RecordWriter().int32(0).string(scheme).buffer(auth).to_bytes()


def encode_add_watch(path: str, mode: AddWatchMode) -> bytes:
    """Return an AddWatchRequest."""
    return RecordWriter().string(path).int32(mode).to_bytes()


def encode_set_watches(zxid: int, data: Iterable[str], exist: Iterable[str], child: Iterable[str]) -> bytes:
    """Return a SetWatches; `zxid` is the last one received.

    The server immediately sends the events of changes since `zxid`.
    """
    return RecordWriter().int64(zxid).strings(data).strings(exist).strings(child).to_bytes()


def encode_set_watches2(
    zxid: int,
    data: Iterable[str],
    exist: Iterable[str],
    child: Iterable[str],
    persistent: Iterable[str],
    recursive: Iterable[str],
) -> bytes:
    """Return a SetWatches2, which also contains persistent watches."""
    added = RecordWriter().strings(persistent).strings(recursive).to_bytes()
    return encode_set_watches(zxid, data, exist, child) + added


# Multi


@dataclass(frozen=True, slots=True)
class MultiOperation:
    """Operation of a multi: its type and its record."""

    op: OpCode
    body: bytes


END_OF_MULTI = -1  # Type and error code of the header that ends a multi.


def encode_multi(operations: Iterable[MultiOperation]) -> bytes:
    """Return a multi: a MultiHeader and a record per operation, then a final MultiHeader."""
    writer = RecordWriter()
    for operation in operations:
        writer.int32(operation.op).boolean(False).int32(END_OF_MULTI).record(operation.body)
    return writer.int32(END_OF_MULTI).boolean(True).int32(END_OF_MULTI).to_bytes()


@dataclass(frozen=True, slots=True)
class MultiResult:
    """Result of one operation of a multi: an error code, or 0 and the fields that its type returns."""

    op: int
    error_code: int
    path: str = ""
    stat: Stat | None = None
    data: bytes = b""
    children: tuple[str, ...] = ()


def read_multi(source: RecordReader) -> list[MultiResult]:
    """Read the reply to a multi or multiRead; one failed operation gives each result of a multi an error."""
    results: list[MultiResult] = []
    while True:
        op = source.int32()
        done = source.boolean()
        error_code = source.int32()
        if done:
            return results
        results.append(_read_multi_result(op, error_code, source))


def _read_multi_result(op: int, error_code: int, source: RecordReader) -> MultiResult:
    if op == OpCode.ERROR:
        return MultiResult(op, source.int32())
    if op in (OpCode.CREATE, OpCode.CREATE2, OpCode.CREATE_CONTAINER, OpCode.CREATE_TTL):
        path = source.string()
        return MultiResult(op, error_code, path, None if op == OpCode.CREATE else read_stat(source))
    if op == OpCode.SET_DATA:
        return MultiResult(op, error_code, stat=read_stat(source))
    if op == OpCode.GET_DATA:
        data = source.buffer() or b""
        return MultiResult(op, error_code, data=data, stat=read_stat(source))
    if op == OpCode.GET_CHILDREN:
        return MultiResult(op, error_code, children=tuple(source.vector(source.string)))
    if op not in (OpCode.DELETE, OpCode.CHECK):
        raise MalformedRecordError(f"unknown operation type {op} in the reply to a multi")
    return MultiResult(op, error_code)


@dataclass(frozen=True, slots=True)
class WatcherEvent:
    """Notification of a fired watch (WatcherEvent); `state` is the session's state at the server."""

    type: int
    state: int
    path: str

    def frame(self, zxid: int = -1) -> bytes:
        """Return the notification as a frame."""
        body = RecordWriter().int32(self.type).int32(self.state).string(self.path).to_bytes()
        return encode_reply(ReservedXid.NOTIFICATION, zxid, ErrorCode.OK, body)


def read_watcher_event(source: RecordReader) -> WatcherEvent:
    """Read a WatcherEvent."""
    return WatcherEvent(source.int32(), source.int32(), source.string())
