"""Directory of a store in the file system, with its lock file, and the identifiers of the machine.

This module performs I/O; it implements `store.Directory` in the running proxy.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"
MAX_IDENTIFIER_CHARACTERS = 64
NO_DESCRIPTOR = -1


class StoreDirectory:
    """Directory with the files of one store. All methods raise OSError.

    Attributes:
        path: path of the directory.
        lock_descriptor: descriptor of the lock file while this process holds the lock.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.lock_descriptor = NO_DESCRIPTOR

    @property
    def is_locked(self) -> bool:
        """Whether this process holds the lock."""
        return self.lock_descriptor != NO_DESCRIPTOR

    def create_directory(self) -> None:
        """Create the directory and its parents if they don't exist."""
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Take the lock; return whether it was free. The kernel releases the lock when the process ends."""
        descriptor = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                return False
            raise
        self.lock_descriptor = descriptor
        return True

    def unlock(self) -> None:
        """Release the lock if this process holds it."""
        if self.is_locked:
            os.close(self.lock_descriptor)
            self.lock_descriptor = NO_DESCRIPTOR

    # Methods of store.Directory.

    def file_names(self) -> list[str]:
        """Return the names of all files; return no names if the directory doesn't exist."""
        try:
            return os.listdir(self.path)
        except FileNotFoundError:
            return []

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return up to `max_bytes` from the beginning of a file."""
        with open(self.path / name, "rb") as file:
            return file.read(max_bytes)

    def create(self, name: str) -> int:
        """Create or truncate a file for appending; return its descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(self.path / name, flags, 0o600)

    def write(self, file: int, data: bytes) -> None:
        """Write all data, in as many system calls as necessary."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(file, rest) :]

    def fsync(self, file: int) -> None:
        """Make the content of a file durable."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Close a file."""
        os.close(file)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, and replace an existing file that has the new name."""
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path / name)

    def fsync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def read_identifier(file: Path) -> str:
    """Return the machine's or boot's identifier from a file; return "" if the file has none.

    The operator's file names these files; the defaults are machine-id(5) and the boot_id of random(4).
    """
    try:
        return file.read_text(encoding="ascii")[:MAX_IDENTIFIER_CHARACTERS].strip()
    except (OSError, UnicodeDecodeError):
        return ""
