"""A small record on $TMPDIR that the processes of one proxy share, also one and the next."""

from __future__ import annotations

import os
from pathlib import Path

MAX_RECORD_BYTES = 1 << 20  # bytes of a record


class SharedRecord:
    """One record, written whole: who reads sees the one before or the new one, never half of one."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.last_version: tuple[int, int, int] | None = None  # which writing was read or written last

    def write(self, text: str) -> None:
        """Raises OSError, and then the record is what it was."""
        part = self.path.with_suffix(f".{os.getpid()}")
        try:
            part.write_text(text, encoding="utf-8")
            self.last_version = _mark(os.stat(part))
            os.replace(part, self.path)
        except OSError:
            part.unlink(missing_ok=True)
            raise

    def read_if_changed(self) -> str | None:
        """The record, where another process has written it since. Raises OSError or ValueError."""
        try:
            stat = os.stat(self.path)
        except FileNotFoundError:
            return None
        if _mark(stat) == self.last_version:
            return None
        self.last_version = _mark(stat)  # one that can't be read is complained of once
        if stat.st_size > MAX_RECORD_BYTES:
            raise ValueError(f"{self.path.name} is too large")
        return self.path.read_text(encoding="utf-8")


def _mark(stat: os.stat_result) -> tuple[int, int, int]:
    return stat.st_ino, stat.st_mtime_ns, stat.st_size
