"""A small record in $TMPDIR that the processes of one proxy share, also one and the next."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

from service_proxy.admin.errors import InvalidRecordError

MAX_RECORD_BYTES = 1 << 20


class FileVersion(NamedTuple):
    """Tells one writing of the record from another."""

    inode: int
    modified_ns: int
    size_bytes: int


class SharedRecord:
    """One record, replaced atomically: a reader sees the one before or the new one, never a part of one."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.last_version: FileVersion | None = None  # that was read or written last

    def write(self, text: str) -> None:
        """Replace the record.

        Raises:
            OSError: it could not be written; the record is what it was.
        """
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_text(text, encoding="utf-8")
            self.last_version = _version(os.stat(temporary))
            os.replace(temporary, self.path)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise

    def read_if_changed(self) -> str | None:
        """Return the record where another process has written it since, else None.

        Raises:
            OSError: it could not be read.
            ValueError: it is larger than MAX_RECORD_BYTES, or no UTF-8.
        """
        try:
            stat = os.stat(self.path)
        except FileNotFoundError:
            return None
        version = _version(stat)
        if version == self.last_version:
            return None
        self.last_version = version  # one that can't be read is reported once
        if version.size_bytes > MAX_RECORD_BYTES:
            raise InvalidRecordError(f"{self.path.name} is too large")
        return self.path.read_text(encoding="utf-8")


def _version(stat: os.stat_result) -> FileVersion:
    return FileVersion(stat.st_ino, stat.st_mtime_ns, stat.st_size)
