"""Processes of one proxy, in sequence or side by side: each finds its predecessor and its successor.

Each process holds a lock (flock(2)) on its own file in $TMPDIR. The files are numbered upwards. The kernel
releases the lock when the process ends, however it ends, so an unlocked file belongs to a process that has
ended.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

# numbers that a starting process tries; other processes may start at the same moment
MAX_NUMBER_ATTEMPTS = 100
# Lower numbers among which a predecessor is searched. No more than two processes run, and the numbers between
# them belong to processes that have ended.
PREDECESSOR_RANGE = 3
LOCK_FILE_MODE = 0o600


class ProcessGenerations:
    """Position of this process among the processes of its proxy.

    `path_stem` is the path of the lock files without their numbers. Raises OSError if no file can be created.
    """

    def __init__(self, path_stem: Path) -> None:
        self.path_stem = path_stem
        self.number, self.lock_fd = self._create_lock_file()
        fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._remove_files_of_ended_processes()

    def _create_lock_file(self) -> tuple[int, int]:
        """Create the lock file, and return its number and its descriptor."""
        first = 1 + max(self._numbers(), default=0)
        for number in range(first, first + MAX_NUMBER_ATTEMPTS):
            with contextlib.suppress(FileExistsError):
                flags = os.O_CREAT | os.O_EXCL | os.O_RDWR
                return number, os.open(self._path(number), flags, LOCK_FILE_MODE)
        raise OSError(f"no unused process number was found for {self.path_stem}")

    def _remove_files_of_ended_processes(self) -> None:
        for number in self._numbers():
            if number < self.number and not self._is_running(number):
                self._path(number).unlink(missing_ok=True)

    def _path(self, number: int) -> Path:
        return self.path_stem.with_name(f"{self.path_stem.name}.{number}")

    def _numbers(self) -> list[int]:
        stem = self.path_stem.name
        names = [path.name.rpartition(".") for path in self.path_stem.parent.glob(f"{stem}.*")]
        return [int(number) for name, _, number in names if name == stem and number.isdecimal()]

    def _is_running(self, number: int) -> bool:
        """Return whether a process holds the lock of this number."""
        try:
            descriptor = os.open(self._path(number), os.O_RDWR)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        else:
            return False
        finally:
            os.close(descriptor)

    def has_successor(self) -> bool:
        """Return whether a process that started later is running."""
        number = self.number + 1
        while self._path(number).exists():  # numbers above that of a running process have no gaps
            if self._is_running(number):
                return True
            number += 1
        return False

    def has_predecessor(self) -> bool:
        """Return whether a process that started earlier is running."""
        first = max(1, self.number - PREDECESSOR_RANGE)
        return any(self._is_running(number) for number in range(first, self.number))

    def release(self) -> None:
        """Remove this process's lock file, so that the other processes no longer count this process."""
        with contextlib.suppress(OSError):
            self._path(self.number).unlink()
            os.close(self.lock_fd)
