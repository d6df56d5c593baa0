"""Tree of znodes of the stand-in for a coordination service; zxids order all changes."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from service_proxy.ephemeral_nodes import paths, records
from service_proxy.ephemeral_nodes.codes import CreateMode, ErrorCode, EventType
from service_proxy.ephemeral_nodes.errors import ServiceError
from service_proxy.ephemeral_nodes.records import ANY_VERSION, Stat

EPOCH_BITS = 32  # number of the counter's bits in a zxid; the leader's epoch is above these bits
SEQUENTIAL_MODES = (CreateMode.PERSISTENT_SEQUENTIAL, CreateMode.EPHEMERAL_SEQUENTIAL)
EPHEMERAL_MODES = (CreateMode.EPHEMERAL, CreateMode.EPHEMERAL_SEQUENTIAL)
CREATE_MODES = tuple(CreateMode)


@dataclass(slots=True)
class Znode:
    """One znode; its fields are those of its Stat."""

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
        """Return the znode's Stat."""
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


def parent_of(path: str) -> str:
    """Return the path of a znode's parent."""
    return path.rpartition("/")[0] or "/"


def name_of(path: str) -> str:
    """Return a znode's name below its parent."""
    return path.rpartition("/")[2]


def _now_ms() -> int:
    return int(time.time() * 1000)


class ZnodeTree:
    """Tree of all znodes. It calls `fire` with the event and the path of each change."""

    def __init__(self) -> None:
        self.zxid = 1 << EPOCH_BITS
        self.nodes: dict[str, Znode] = {}
        self.fire: Callable[[int, str], None] = lambda _event, _path: None
        self.reset()

    def reset(self) -> None:
        """Remove all znodes except the root."""
        now = _now_ms()
        self.nodes = {"/": Znode(b"", list(records.OPEN_ACL), 0, 0, 0, now, now)}

    def begin_epoch(self) -> None:
        """Continue with zxids of a new leader's epoch."""
        self.zxid = ((self.zxid >> EPOCH_BITS) + 1) << EPOCH_BITS

    def node(self, path: str) -> Znode:
        """Return a znode.

        Raises:
            ServiceError: the znode does not exist (NO_NODE).
        """
        found = self.nodes.get(path)
        if found is None:
            raise ServiceError(ErrorCode.NO_NODE, path)
        return found

    def create(self, path: str, data: bytes, acl: list[records.Acl], flags: int, owner: int) -> str:
        """Create a znode for the session `owner`; return its path, with its number if it is sequential.

        Raises:
            ServiceError: the service would reject the request, with the same code.
        """
        if flags in SEQUENTIAL_MODES:
            path = f"{path}{self.node(parent_of(path)).sequence:010d}"
        if paths.find_path_problem(path) or path == "/":
            raise ServiceError(ErrorCode.BAD_ARGUMENTS, path)
        parent = self.node(parent_of(path))
        if path in self.nodes:
            raise ServiceError(ErrorCode.NODE_EXISTS, path)
        if parent.owner:
            raise ServiceError(ErrorCode.NO_CHILDREN_FOR_EPHEMERALS, path)
        if flags not in CREATE_MODES:
            raise ServiceError(ErrorCode.UNIMPLEMENTED, path)
        self.zxid += 1
        now = _now_ms()
        ephemeral_owner = owner if flags in EPHEMERAL_MODES else 0
        self.nodes[path] = Znode(data, acl, self.zxid, self.zxid, self.zxid, now, now, ephemeral_owner)
        parent.children.add(name_of(path))
        parent.cversion += 1
        parent.sequence += 1
        parent.pzxid = self.zxid
        self.fire(EventType.CREATED, path)
        self.fire(EventType.CHILDREN_CHANGED, parent_of(path))
        return path

    def delete(self, path: str, version: int) -> Znode:
        """Delete a znode if its data version matches `version`; return the deleted znode.

        Raises:
            ServiceError: the service would reject the request, with the same code.
        """
        node = self.node(path)
        if version not in (ANY_VERSION, node.version):
            raise ServiceError(ErrorCode.BAD_VERSION, path)
        if node.children:
            raise ServiceError(ErrorCode.NOT_EMPTY, path)
        self.zxid += 1
        del self.nodes[path]
        parent = self.node(parent_of(path))
        parent.children.discard(name_of(path))
        parent.cversion += 1
        parent.pzxid = self.zxid
        self.fire(EventType.DELETED, path)
        self.fire(EventType.CHILDREN_CHANGED, parent_of(path))
        return node

    def set_data(self, path: str, data: bytes, version: int) -> Stat:
        """Replace a znode's data if its data version matches `version`; return the new Stat.

        Raises:
            ServiceError: the service would reject the request, with the same code.
        """
        node = self.node(path)
        if version not in (ANY_VERSION, node.version):
            raise ServiceError(ErrorCode.BAD_VERSION, path)
        self.zxid += 1
        node.data = data
        node.mzxid = self.zxid
        node.mtime = _now_ms()
        node.version += 1
        self.fire(EventType.DATA_CHANGED, path)
        return node.stat()
