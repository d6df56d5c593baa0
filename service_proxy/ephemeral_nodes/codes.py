"""Codes of the ZooKeeper client protocol (3.4 to 3.9): requests, errors, events, modes. Pure."""

from __future__ import annotations

from enum import IntEnum


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
    ERROR = -1  # Type of a failed operation in the reply to a multi.


class ReservedXid(IntEnum):
    """Reserved xids of frames that don't belong to a numbered request (ClientCnxn)."""

    NOTIFICATION = -1
    PING = -2
    AUTH = -4
    SET_WATCHES = -8


class ErrorCode(IntEnum):
    """Error codes (KeeperException.Code)."""

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
    """Flags of a create request (CreateMode)."""

    PERSISTENT = 0
    EPHEMERAL = 1
    PERSISTENT_SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3
    CONTAINER = 4


class EventType(IntEnum):
    """Types of watch events (Watcher.Event.EventType)."""

    NONE = -1
    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4
    DATA_WATCH_REMOVED = 5
    CHILD_WATCH_REMOVED = 6
    PERSISTENT_WATCH_REMOVED = 7


class AddWatchMode(IntEnum):
    """Modes of an addWatch request (AddWatchMode)."""

    PERSISTENT = 0
    PERSISTENT_RECURSIVE = 1
