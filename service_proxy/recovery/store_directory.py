"""A folder of the machine as `store.Disk`, the lock on it, and the machine's own marks. Does."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

LOCK = "lock"
MACHINE_MARK = Path("/etc/machine-id")  # machine-id(5)
BOOT_MARK = Path("/proc/sys/kernel/random/boot_id")  # random(4): another after each boot
MOST_MARK = 64  # characters


class Folder:
    """Raises OSError throughout."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.held = -1

    def make(self) -> None:
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Whether it is this process's from now on; it ends with the process, however that ends."""
        held = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            os.close(held)
            if fault.errno in (errno.EWOULDBLOCK, errno.EACCES):
                return False
            raise
        self.held = held
        return True

    def unlock(self) -> None:
        if self.held >= 0:
            os.close(self.held)
            self.held = -1

    # store.Disk
    def names(self) -> list[str]:
        try:
            return os.listdir(self.path)
        except FileNotFoundError:
            return []

    def read(self, name: str, most: int) -> bytes:
        with open(self.path / name, "rb") as file:
            return file.read(most)

    def create(self, name: str) -> int:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(self.path / name, flags, 0o600)

    def write(self, file: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(file, rest) :]

    def sync(self, file: int) -> None:
        os.fsync(file)

    def close(self, file: int) -> None:
        os.close(file)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path / name)

    def sync_folder(self) -> None:
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def mark(file: Path) -> str:
    """A mark of the machine, "" where it has none."""
    try:
        return file.read_text(encoding="ascii")[:MOST_MARK].strip()
    except (OSError, UnicodeDecodeError):
        return ""
