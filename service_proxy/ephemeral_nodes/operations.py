"""Operations of the coordination service on znodes, independent of the session's implementation."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

from service_proxy.ephemeral_nodes import records
from service_proxy.ephemeral_nodes.codes import AddWatchMode, CreateMode, ErrorCode, OpCode
from service_proxy.ephemeral_nodes.errors import ServiceError
from service_proxy.ephemeral_nodes.jute import RecordReader
from service_proxy.ephemeral_nodes.records import ANY_VERSION, Stat
from service_proxy.ephemeral_nodes.watches import WatchRegistry

# Errors of a service without addWatch (before 3.6).
ADD_WATCH_UNSUPPORTED = (ErrorCode.UNIMPLEMENTED, ErrorCode.BAD_ARGUMENTS, ErrorCode.MARSHALLING_ERROR)


class ZnodeOperations(ABC):
    """Operations on znodes, with paths relative to the chroot unless stated otherwise.

    All methods raise ServiceError, ConnectionLostError and TooManyRequestsError.
    """

    def __init__(self, chroot: str) -> None:
        self.chroot = chroot
        self.watches = WatchRegistry()

    @abstractmethod
    async def request(self, op: OpCode, body: bytes) -> RecordReader:
        """Send a request and return a reader of the reply's record."""

    def absolute(self, path: str) -> str:
        """Return the path with the chroot in front."""
        if self.chroot and path == "/":
            return self.chroot
        return self.chroot + path

    def relative(self, path: str) -> str:
        """Return an absolute path without the chroot."""
        if self.chroot and path.startswith(self.chroot):
            return path[len(self.chroot) :] or "/"
        return path

    async def create(
        self,
        path: str,
        data: bytes,
        flags: CreateMode = CreateMode.PERSISTENT,
        acl: Iterable[records.Acl] = records.OPEN_ACL,
    ) -> str:
        """Create a znode and return its path, which includes the number of a sequential znode.

        Raises:
            ValueError: for a container. The service may delete an empty container, but a path without
                endpoints
                must stay.
        """
        if flags is CreateMode.CONTAINER:
            raise ValueError("containers are not created; create a persistent znode instead")
        body = records.encode_create(self.absolute(path), data, acl, flags)
        reply = await self.request(OpCode.CREATE, body)
        return self.relative(reply.string())

    async def ensure_path(self, path: str) -> None:
        """Create the missing persistent znodes of the path."""
        parts = path.strip("/").split("/") if path != "/" else []
        for count in range(1, len(parts) + 1):
            try:
                await self.create("/" + "/".join(parts[:count]), b"")
            except ServiceError as error:
                if error.code != ErrorCode.NODE_EXISTS:
                    raise

    async def delete(self, path: str, version: int = ANY_VERSION) -> None:
        """Delete a znode if its data version matches."""
        await self.request(OpCode.DELETE, records.encode_delete(self.absolute(path), version))

    async def exists(self, path: str, watch: bool = False) -> Stat | None:
        """Return a znode's Stat, or None if it does not exist; the watch then fires at its creation."""
        absolute = self.absolute(path)
        try:
            reply = await self.request(OpCode.EXISTS, records.encode_read(absolute, watch))
        except ServiceError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            if watch:
                self.watches.exists.add(absolute)
            return None
        if watch:
            self.watches.data.add(absolute)
        return records.read_stat(reply)

    async def get_data(self, path: str, watch: bool = False) -> tuple[bytes, Stat]:
        """Return a znode's data and Stat."""
        absolute = self.absolute(path)
        reply = await self.request(OpCode.GET_DATA, records.encode_read(absolute, watch))
        if watch:
            self.watches.data.add(absolute)
        data = reply.buffer() or b""
        return data, records.read_stat(reply)

    async def set_data(self, path: str, data: bytes, version: int = ANY_VERSION) -> Stat:
        """Replace a znode's data if its data version matches; return the new Stat."""
        body = records.encode_set_data(self.absolute(path), data, version)
        return records.read_stat(await self.request(OpCode.SET_DATA, body))

    async def get_children2(self, path: str, watch: bool = False) -> tuple[list[str], Stat]:
        """Return the names of a znode's children, and the znode's Stat."""
        absolute = self.absolute(path)
        reply = await self.request(OpCode.GET_CHILDREN2, records.encode_read(absolute, watch))
        if watch:
            self.watches.child.add(absolute)
        names = reply.vector(reply.string)
        return names, records.read_stat(reply)

    async def multi(self, operations: Iterable[records.MultiOperation]) -> list[records.MultiResult]:
        """Execute all operations or none; their paths are absolute.

        Raises:
            ServiceError: the error of the first operation that failed.
        """
        reply = await self.request(OpCode.MULTI, records.encode_multi(operations))
        results = records.read_multi(reply)
        for result in results:
            if result.error_code not in (ErrorCode.OK, ErrorCode.RUNTIME_INCONSISTENCY):
                raise ServiceError(result.error_code, result.path)
        return results

    async def watch_recursive(self, path: str) -> bool:
        """Set a persistent recursive watch; return False if the service does not support it (before 3.6)."""
        absolute = self.absolute(path)
        body = records.encode_add_watch(absolute, AddWatchMode.PERSISTENT_RECURSIVE)
        try:
            await self.request(OpCode.ADD_WATCH, body)
        except ServiceError as error:
            if error.code in ADD_WATCH_UNSUPPORTED:
                return False
            raise
        self.watches.recursive.add(absolute)
        return True
