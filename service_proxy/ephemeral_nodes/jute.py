"""The records of the ZooKeeper client protocol, to and from bytes. Pure: no sockets, no session.

Source: the published `zookeeper.jute` and the ZooKeeper programmer's guide (3.4 to 3.9). All figures are big
endian; a frame is an int with its length, then its bytes; a string or buffer is an int with its length (-1:
null), then its bytes; a vector is an int with its count, then its entries.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from dataclasses import astuple, dataclass
from enum import IntEnum
from typing import TypeVar

MAX_FRAME_BYTES = 8 << 20  # bytes; a getChildren of 100,000 names of 40 letters has 4.4 MB
MAX_VECTOR_ENTRIES = 1 << 20  # of a vector
PASSWORD_BYTES = 16  # bytes of a session's password

T = TypeVar("T")


class OpCode(IntEnum):
    """Request types (zookeeper.jute, ZooDefs.OpCode)."""

    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    GET_CHILDREN = 8
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    CHECK = 13
    MULTI = 14
    CREATE2 = 15
    REMOVE_WATCHES = 18
    CREATE_CONTAINER = 19
    CREATE_TTL = 21
    MULTI_READ = 22
    AUTH = 100
    SET_WATCHES = 101
    SET_WATCHES2 = 105
    ADD_WATCH = 106
    CLOSE = -11
    ERROR = -1  # in a multi's answer


class ReservedXid(IntEnum):
    """Ids of frames that answer no request of a number (ClientCnxn)."""

    NOTIFICATION = -1
    PING = -2
    AUTH = -4
    SET_WATCHES = -8


class ErrorCode(IntEnum):
    """Errors by their numbers (KeeperException.Code)."""

    OK = 0
    SYSTEM_ERROR = -1
    RUNTIME_INCONSISTENCY = -2
    DATA_INCONSISTENCY = -3
    CONNECTION_LOSS = -4
    MARSHALLING_ERROR = -5
    UNIMPLEMENTED = -6
    OPERATION_TIMEOUT = -7
    BAD_ARGUMENTS = -8
    NEW_CONFIG_NO_QUORUM = -13
    RECONFIG_IN_PROGRESS = -14
    API_ERROR = -100
    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    INVALID_CALLBACK = -113
    INVALID_ACL = -114
    AUTH_FAILED = -115
    SESSION_MOVED = -118
    NOT_READ_ONLY = -119
    EPHEMERAL_ON_LOCAL_SESSION = -120
    NO_WATCHER = -121
    REQUEST_TIMEOUT = -122
    RECONFIG_DISABLED = -123
    SESSION_CLOSED_REQUIRE_SASL_AUTH = -124
    QUOTA_EXCEEDED = -125


class CreateMode(IntEnum):
    """Flags of a create (CreateMode)."""

    PERSISTENT = 0
    EPHEMERAL = 1
    PERSISTENT_SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3
    CONTAINER = 4


class EventType(IntEnum):
    """Types of a watch's notification (Watcher.Event.EventType)."""

    NONE = -1
    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4
    DATA_WATCH_REMOVED = 5
    CHILD_WATCH_REMOVED = 6
    PERSISTENT_WATCH_REMOVED = 7


class AddWatchMode(IntEnum):
    """Of an addWatch (AddWatchMode)."""

    PERSISTENT = 0
    PERSISTENT_RECURSIVE = 1


class ServiceError(Exception):
    """The service answered a request with an error; `code` is its number, `Err` where it is known."""

    def __init__(self, code: int, path: str = "") -> None:
        known = {int(err): err for err in ErrorCode}
        self.code = known.get(code, code)
        name = self.code.name if isinstance(self.code, ErrorCode) else "an error of no known number"
        super().__init__(f"{name} ({code})" + (f" at {path}" if path else ""))


class MalformedRecordError(ValueError):
    """Bytes that are no record of this protocol."""


class RecordWriter:
    """Builds one record. Each method returns the writer, so that fields follow one another."""

    __slots__ = ("parts",)

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def int32(self, value: int) -> RecordWriter:
        self.parts.append(struct.pack(">i", value))
        return self

    def int64(self, value: int) -> RecordWriter:
        self.parts.append(struct.pack(">q", value))
        return self

    def boolean(self, value: bool) -> RecordWriter:
        self.parts.append(b"\x01" if value else b"\x00")
        return self

    def buffer(self, value: bytes | None) -> RecordWriter:
        if value is None:
            return self.int32(-1)
        self.parts.append(struct.pack(">i", len(value)) + value)
        return self

    def string(self, value: str | None) -> RecordWriter:
        return self.buffer(None if value is None else value.encode())

    def strings(self, values: Iterable[str]) -> RecordWriter:
        entries = list(values)
        self.int32(len(entries))
        for entry in entries:
            self.string(entry)
        return self

    def record(self, data: bytes) -> RecordWriter:
        self.parts.append(data)
        return self

    def to_bytes(self) -> bytes:
        return b"".join(self.parts)

    def frame(self) -> bytes:
        """With its length ahead, as it goes on the wire."""
        data = self.to_bytes()
        return struct.pack(">i", len(data)) + data


class RecordReader:
    """Reads the fields of one record; raises Malformed where it ends early or holds what can't be."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data = data
        self.position = at

    def take(self, size: int) -> bytes:
        if size < 0 or self.position + size > len(self.data):
            raise MalformedRecordError(
                f"a record ends early: {size} bytes wanted at {self.position} of {len(self.data)}"
            )
        piece = self.data[self.position : self.position + size]
        self.position += size
        return piece

    def int32(self) -> int:
        return int(struct.unpack(">i", self.take(4))[0])

    def int64(self) -> int:
        return int(struct.unpack(">q", self.take(8))[0])

    def boolean(self) -> bool:
        return self.take(1) != b"\x00"

    def buffer(self) -> bytes | None:
        size = self.int32()
        return None if size == -1 else self.take(size)

    def string(self) -> str:
        data = self.buffer()
        try:
            return (data or b"").decode()
        except UnicodeDecodeError:
            raise MalformedRecordError(f"a string that is no UTF-8: {data!r:.60}") from None

    def vector(self, entry: Callable[[], T]) -> list[T]:
        count = self.int32()
        if not -1 <= count <= MAX_VECTOR_ENTRIES:
            raise MalformedRecordError(f"a vector of {count} entries")
        return [entry() for _ in range(max(0, count))]

    @property
    def remaining(self) -> int:
        return len(self.data) - self.position


def split_frames(buffer: bytearray) -> list[bytes]:
    """Takes the whole frames off the buffer. Raises Malformed at a length that can't be."""
    found = []
    at = 0
    while len(buffer) - at >= 4:
        size = int.from_bytes(buffer[at : at + 4], "big", signed=True)
        if not 0 <= size <= MAX_FRAME_BYTES:
            raise MalformedRecordError(f"a frame of {size} bytes")
        if len(buffer) - at - 4 < size:
            break
        found.append(bytes(buffer[at + 4 : at + 4 + size]))
        at += 4 + size
    del buffer[:at]
    return found


@dataclass(frozen=True, slots=True)
class Stat:
    """A node's state (zookeeper.jute, Stat). Times in ms of Unix time."""

    czxid: int  # of the change that created it
    mzxid: int  # of its last change of data
    ctime: int
    mtime: int
    version: int
    cversion: int  # of its children
    aversion: int
    ephemeral_owner: int  # the session of an ephemeral node; 0: none
    data_length: int  # bytes of data
    num_children: int
    pzxid: int  # of the last change of its children

    def write(self, to: RecordWriter) -> RecordWriter:
        return to.record(STAT_LAYOUT.pack(*astuple(self)))


STAT_LAYOUT = struct.Struct(">qqqqiiiqiiq")


def read_stat(source: RecordReader) -> Stat:
    return Stat(*STAT_LAYOUT.unpack(source.take(STAT_LAYOUT.size)))


@dataclass(frozen=True, slots=True)
class Acl:
    """Who may do what: perms is a sum of read 1, write 2, create 4, delete 8, admin 16."""

    perms: int
    scheme: str
    id: str

    def write(self, to: RecordWriter) -> RecordWriter:
        return to.int32(self.perms).string(self.scheme).string(self.id)


ALL_PERMISSIONS = 31
OPEN_ACL = (Acl(ALL_PERMISSIONS, "world", "anyone"),)
CREATOR_ACL = (Acl(ALL_PERMISSIONS, "auth", ""),)


def read_acl(source: RecordReader) -> Acl:
    return Acl(source.int32(), source.string(), source.string())


@dataclass(frozen=True, slots=True)
class ConnectRequest:
    """The first frame of a connection (ConnectRequest). `timeout` in ms."""

    last_zxid: int
    timeout_ms: int
    session_id: int
    password: bytes
    read_only: bool = False
    protocol_version: int = 0

    def frame(self) -> bytes:
        body = (
            RecordWriter()
            .int32(self.protocol_version)
            .int64(self.last_zxid)
            .int32(self.timeout_ms)
            .int64(self.session_id)
        )
        return body.buffer(self.password).boolean(self.read_only).frame()


def parse_connect_request(data: bytes) -> ConnectRequest:
    source = RecordReader(data)
    version = source.int32()
    zxid = source.int64()
    timeout = source.int32()
    session = source.int64()
    password = source.buffer() or b""
    return ConnectRequest(
        zxid, timeout, session, password, source.boolean() if source.remaining else False, version
    )


@dataclass(frozen=True, slots=True)
class ConnectResponse:
    """The answer to it (ConnectResponse). A session of 0, or a timeout of 0, says that it has expired."""

    timeout_ms: int  # ms, as granted
    session_id: int
    password: bytes
    read_only: bool = False  # by a server without its quorum
    protocol_version: int = 0

    def frame(self) -> bytes:
        body = RecordWriter().int32(self.protocol_version).int32(self.timeout_ms).int64(self.session_id)
        return body.buffer(self.password).boolean(self.read_only).frame()


def parse_connect_response(data: bytes) -> ConnectResponse:
    source = RecordReader(data)
    version = source.int32()
    timeout = source.int32()
    session = source.int64()
    password = source.buffer() or b""
    # Servers before 3.4 leave the last field out.
    return ConnectResponse(
        timeout, session, password, source.boolean() if source.remaining else False, version
    )


def encode_request(xid: int, op: int, body: bytes = b"") -> bytes:
    """A frame: RequestHeader and the request's record."""
    return RecordWriter().int32(xid).int32(op).record(body).frame()


def encode_reply(xid: int, zxid: int, err: int, body: bytes = b"") -> bytes:
    """A frame: ReplyHeader and the answer's record, which an error has not."""
    return RecordWriter().int32(xid).int64(zxid).int32(err).record(body).frame()


def parse_reply(data: bytes) -> tuple[int, int, int, RecordReader]:
    """xid, zxid, error number, and the rest."""
    source = RecordReader(data)
    return source.int32(), source.int64(), source.int32(), source


# Requests' records


def encode_create(path: str, data: bytes, acl: Iterable[Acl], flags: int) -> bytes:
    entries = list(acl)
    body = RecordWriter().string(path).buffer(data).int32(len(entries))
    for entry in entries:
        entry.write(body)
    return body.int32(flags).to_bytes()


def encode_delete(path: str, version: int = -1) -> bytes:
    return RecordWriter().string(path).int32(version).to_bytes()


def encode_read(path: str, watch: bool) -> bytes:
    """Of exists, getData, getChildren and getChildren2."""
    return RecordWriter().string(path).boolean(watch).to_bytes()


def encode_set_data(path: str, data: bytes, version: int = -1) -> bytes:
    return RecordWriter().string(path).buffer(data).int32(version).to_bytes()


def encode_check(path: str, version: int) -> bytes:
    return RecordWriter().string(path).int32(version).to_bytes()


def encode_path(path: str) -> bytes:
    return RecordWriter().string(path).to_bytes()


def encode_auth(scheme: str, auth: bytes) -> bytes:
    return RecordWriter().int32(0).string(scheme).buffer(auth).to_bytes()


def encode_add_watch(path: str, mode: AddWatchMode) -> bytes:
    return RecordWriter().string(path).int32(mode).to_bytes()


def encode_set_watches(zxid: int, data: Iterable[str], exist: Iterable[str], child: Iterable[str]) -> bytes:
    """SetWatches: `zxid` is the last one seen; the server fires at once what has changed since."""
    return RecordWriter().int64(zxid).strings(data).strings(exist).strings(child).to_bytes()


def encode_set_watches2(
    zxid: int,
    data: Iterable[str],
    exist: Iterable[str],
    child: Iterable[str],
    persistent: Iterable[str],
    recursive: Iterable[str],
) -> bytes:
    more = RecordWriter().strings(persistent).strings(recursive).to_bytes()
    return encode_set_watches(zxid, data, exist, child) + more


@dataclass(frozen=True, slots=True)
class MultiOperation:
    """One part of a multi: its type and its record."""

    op: OpCode
    body: bytes


def encode_multi(operations: Iterable[MultiOperation]) -> bytes:
    """MultiHeader and record for each part; a header that is done ends them."""
    body = RecordWriter()
    for part in operations:
        body.int32(part.op).boolean(False).int32(-1).record(part.body)
    return body.int32(-1).boolean(True).int32(-1).to_bytes()


@dataclass(frozen=True, slots=True)
class MultiResult:
    """One part of a multi's answer: an error number, or 0 with what the part's type gives."""

    op: int
    error_code: int
    path: str = ""
    stat: Stat | None = None
    data: bytes = b""
    children: tuple[str, ...] = ()


def read_multi(source: RecordReader) -> list[MultiResult]:
    """The answer to a multi or multiRead: where one part of a multi failed, each part has an error."""
    results: list[MultiResult] = []
    while True:
        op = source.int32()
        done = source.boolean()
        err = source.int32()
        if done:
            return results
        if op == OpCode.ERROR:
            results.append(MultiResult(op, source.int32()))
        elif op in (OpCode.CREATE, OpCode.CREATE2, OpCode.CREATE_CONTAINER, OpCode.CREATE_TTL):
            path = source.string()
            results.append(MultiResult(op, err, path, None if op == OpCode.CREATE else read_stat(source)))
        elif op == OpCode.SET_DATA:
            results.append(MultiResult(op, err, stat=read_stat(source)))
        elif op == OpCode.GET_DATA:
            data = source.buffer() or b""
            results.append(MultiResult(op, err, data=data, stat=read_stat(source)))
        elif op == OpCode.GET_CHILDREN:
            results.append(MultiResult(op, err, children=tuple(source.vector(source.string))))
        elif op in (OpCode.DELETE, OpCode.CHECK):
            results.append(MultiResult(op, err))
        else:
            raise MalformedRecordError(f"a part of a multi of the unknown type {op}")


@dataclass(frozen=True, slots=True)
class WatcherEvent:
    """A watch has fired (WatcherEvent). `state` is the session's, as the server sees it."""

    type: int
    state: int
    path: str

    def frame(self, zxid: int = -1) -> bytes:
        body = RecordWriter().int32(self.type).int32(self.state).string(self.path).to_bytes()
        return encode_reply(ReservedXid.NOTIFICATION, zxid, ErrorCode.OK, body)


def read_watcher_event(source: RecordReader) -> WatcherEvent:
    return WatcherEvent(source.int32(), source.int32(), source.string())


FORBIDDEN_CODE_POINTS = ((0, 0x1F), (0x7F, 0x9F), (0xD800, 0xF8FF), (0xFFF0, 0xFFFF))  # in a path


def find_path_problem(path: str) -> str | None:
    """What the service would refuse in a path (PathUtils.validatePath); None for a good one."""
    if not path.startswith("/"):
        return "it does not begin with /"
    if path != "/" and path.endswith("/"):
        return "it ends with /"
    for part in path.split("/")[1:]:
        if not part and path != "/":
            return "it has an empty part"
        if part in (".", ".."):
            return "it has a relative part"
        for letter in part:
            if any(first <= ord(letter) <= last for first, last in FORBIDDEN_CODE_POINTS):
                return f"it holds the character U+{ord(letter):04X}"
    return None
