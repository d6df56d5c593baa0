"""The processes of one proxy, one after another or two beside each other: who comes before and after whom.

Each holds a lock (flock(2)) on a file of its own on $TMPDIR, numbered upwards. The kernel drops the lock with
the process, however that ends, so a file that nobody holds is of a process that is gone.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

MAX_NUMBER_ATTEMPTS = 100  # numbers tried by a process that starts; others may start at the same moment


class ProcessGenerations:
    """`stem`: the files' path without their number."""

    def __init__(self, stem: Path) -> None:
        """Raises OSError where no file can be made."""
        self.path_stem = stem
        number = 1 + max(self._numbers(), default=0)
        for self.number in range(number, number + MAX_NUMBER_ATTEMPTS):
            try:
                self.lock_fd = os.open(self._path(self.number), os.O_CREAT | os.O_EXCL | os.O_RDWR, 0o600)
                break
            except FileExistsError:
                continue
        else:
            raise OSError(f"no number is free for {stem}")
        fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        for older in self._numbers():
            if older < self.number and not self._is_running(older):
                self._path(older).unlink(missing_ok=True)

    def _path(self, number: int) -> Path:
        return self.path_stem.with_name(f"{self.path_stem.name}.{number}")

    def _numbers(self) -> list[int]:
        names = [path.name.rpartition(".") for path in self.path_stem.parent.glob(f"{self.path_stem.name}.*")]
        return [
            int(number) for stem, _, number in names if stem == self.path_stem.name and number.isdecimal()
        ]

    def _is_running(self, number: int) -> bool:
        """Whether a process holds this number."""
        try:
            looked = os.open(self._path(number), os.O_RDWR)
        except OSError:
            return False
        try:
            fcntl.flock(looked, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return False
        except BlockingIOError:
            return True
        finally:
            os.close(looked)

    def has_successor(self) -> bool:
        """Whether a process that started later runs. Numbers have no gaps above a process that runs."""
        number = self.number + 1
        while self._path(number).exists():
            if self._is_running(number):
                return True
            number += 1
        return False

    def has_predecessor(self) -> bool:
        """Whether the process before runs: there are no more than two, and gaps are of those that ended."""
        return any(self._is_running(number) for number in range(max(1, self.number - 3), self.number))

    def release(self) -> None:
        """This process counts no more."""
        with contextlib.suppress(OSError):
            self._path(self.number).unlink()
            os.close(self.lock_fd)
