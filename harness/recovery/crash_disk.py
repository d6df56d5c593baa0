"""Disk in memory that yields every state a crash may leave, and that fails according to a plan.

It guarantees only what POSIX guarantees ("All File Systems Are Not Created Equal", 2014): content is durable
after an fsync of its file, and names (created, renamed, removed) are durable after an fsync of the directory.
Before that, any part of the content may be missing, and any of the name changes, in any order. A
`RecordingDirectory` records a store's operations; `crash_images` replays each prefix of them.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

Image = dict[str, bytes]  # content of a directory's files by name


class Action(Enum):
    """An operation that a store requests from its directory."""

    CREATE = "create"
    WRITE = "write"
    FSYNC = "fsync"
    RENAME = "rename"
    REMOVE = "remove"
    FSYNC_DIRECTORY = "fsync directory"


class Progress(NamedTuple):
    """Number of records submitted to a store, and number of those that it acknowledged as durable."""

    submitted: int
    durable: int


class FileHandle(NamedTuple):
    """A file that is open for writing."""

    name: str
    inode: int


@dataclass(eq=False)
class Inode:
    """Content of a file: the durable part, and the writes after it."""

    durable: bytes = b""
    pending: list[bytes] = field(default_factory=list)

    @property
    def content(self) -> bytes:
        """Durable and pending content."""
        return self.durable + b"".join(self.pending)


@dataclass(frozen=True)
class DiskOperation:
    """One operation of a store, and the progress before it."""

    action: Action
    name: str = ""
    new_name: str = ""
    inode: int = -1
    data: bytes = b""
    progress: Progress = field(default=Progress(0, 0), kw_only=True)


class RecordingDirectory:
    """A store.Directory in memory that records each operation.

    Attributes:
        operations: operations so far; failed ones only if they wrote a part.
        submitted_count, durable_count: numbers of records, which the caller that drives the store sets.
        fault_for: returns the errno with which an action on a file fails, or 0.
    """

    def __init__(self, image: Image | None = None) -> None:
        """Start with the files of an image, or empty."""
        self.files: dict[str, int] = {}
        self.inodes: list[bytearray] = []
        self.initial_image = dict(image or {})
        for name, data in self.initial_image.items():
            self.files[name] = len(self.inodes)
            self.inodes.append(bytearray(data))
        self.operations: list[DiskOperation] = []
        self.submitted_count = 0
        self.durable_count = 0
        self.fault_for: Callable[[Action, str], int] | None = None

    @property
    def progress(self) -> Progress:
        """Numbers of submitted and of acknowledged records so far."""
        return Progress(self.submitted_count, self.durable_count)

    def image(self) -> Image:
        """Return the current content of all files."""
        return {name: bytes(self.inodes[inode]) for name, inode in self.files.items()}

    def _record(
        self, action: Action, name: str = "", new_name: str = "", inode: int = -1, data: bytes = b""
    ) -> None:
        fault = self.fault_for(action, name) if self.fault_for is not None else 0
        if fault and action is not Action.WRITE:
            raise OSError(fault, errno.errorcode[fault])
        if fault:  # a failed write leaves a part of its data
            data = data[: len(data) // 2]
            self.inodes[inode] += data
        self.operations.append(DiskOperation(action, name, new_name, inode, data, progress=self.progress))
        if fault:
            raise OSError(fault, errno.errorcode[fault])

    def file_names(self) -> list[str]:
        """Return the names of all files."""
        return list(self.files)

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return the beginning of a file."""
        if name not in self.files:
            raise OSError(errno.ENOENT, "ENOENT")
        return bytes(self.inodes[self.files[name]][:max_bytes])

    def create(self, name: str) -> FileHandle:
        """Create or truncate a file."""
        self._record(Action.CREATE, name, inode=len(self.inodes))
        self.files[name] = len(self.inodes)
        self.inodes.append(bytearray())
        return FileHandle(name, self.files[name])

    def write(self, file: FileHandle, data: bytes) -> None:
        """Append to a file."""
        self._record(Action.WRITE, file.name, inode=file.inode, data=data)
        self.inodes[file.inode] += data

    def fsync(self, file: FileHandle) -> None:
        """Make the content of a file durable."""
        self._record(Action.FSYNC, file.name, inode=file.inode)

    def close(self, file: FileHandle) -> None:
        """Close a file; this makes nothing durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._record(Action.RENAME, old, new)
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._record(Action.REMOVE, name)
        self.files.pop(name, None)

    def fsync_directory(self) -> None:
        """Make names durable."""
        self._record(Action.FSYNC_DIRECTORY)


def crash_images(recording: RecordingDirectory) -> Iterator[tuple[Image, Progress]]:
    """Yield each image that a crash may leave, with the progress at the time of the crash.

    An image is yielded again only with another progress.
    """
    disk = _ReplayedDisk(recording.initial_image)
    seen: set[int] = set()
    for count in range(len(recording.operations) + 1):
        is_end = count == len(recording.operations)
        progress = recording.progress if is_end else recording.operations[count].progress
        for image in disk.possible_images():
            image_hash = hash((progress, tuple(sorted(image.items()))))
            if image_hash not in seen:
                seen.add(image_hash)
                yield image, progress
        if not is_end:
            disk.replay(recording.operations[count])


class _ReplayedDisk:
    """Durable and pending parts of the disk after a prefix of a recording."""

    def __init__(self, image: Image) -> None:
        self.inodes = {number: Inode(data) for number, data in enumerate(image.values())}
        self.names = {name: number for number, name in enumerate(image)}
        self.pending_names: list[DiskOperation] = []

    def replay(self, operation: DiskOperation) -> None:
        if operation.action is Action.WRITE:
            self.inodes[operation.inode].pending.append(operation.data)
        elif operation.action is Action.FSYNC:
            inode = self.inodes[operation.inode]
            inode.durable = inode.content
            inode.pending = []
        elif operation.action is Action.FSYNC_DIRECTORY:
            for pending in self.pending_names:
                _apply_name_change(self.names, pending)
            self.pending_names = []
        else:
            if operation.action is Action.CREATE:
                self.inodes[operation.inode] = Inode()
            self.pending_names.append(operation)

    def possible_images(self) -> Iterator[Image]:
        pending = self.pending_names
        half = len(pending) // 2
        for chosen in (pending, [], pending[:half], pending[half:], pending[-1:]):
            names = dict(self.names)
            for operation in chosen:
                _apply_name_change(names, operation)
            for recovered_content in (_all_written, _only_synced, _half_written, _zeros_then_rest):
                yield {name: recovered_content(self.inodes[inode]) for name, inode in names.items()}


def _apply_name_change(names: dict[str, int], operation: DiskOperation) -> None:
    if operation.action is Action.CREATE:
        names[operation.name] = operation.inode
    elif operation.action is Action.REMOVE:
        names.pop(operation.name, None)
    elif operation.name in names:
        names[operation.new_name] = names.pop(operation.name)


def _all_written(inode: Inode) -> bytes:
    return inode.content


def _only_synced(inode: Inode) -> bytes:
    return inode.durable


def _half_written(inode: Inode) -> bytes:
    pending = b"".join(inode.pending)
    return inode.durable + pending[: (len(pending) + 1) // 2]


def _zeros_then_rest(inode: Inode) -> bytes:
    """Return the full length of the file, with zeros in the first half of the unsynced content."""
    pending = b"".join(inode.pending)
    return inode.durable + bytes(len(pending) // 2) + pending[len(pending) // 2 :]
