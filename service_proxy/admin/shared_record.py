"""Small record in $TMPDIR that concurrent and successive processes of one proxy share."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

from service_proxy.admin.errors import InvalidRecordError

MAX_RECORD_BYTES = 1 << 20


class FileVersion(NamedTuple):
    """Version of the record file, which differs after each write."""

    inode: int
    modified_ns: int
    size_bytes: int


class SharedRecord:
    """Record that is replaced atomically: a reader sees the previous or the new text as a whole."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.last_version: FileVersion | None = None  # version that this process read or wrote last

    def write(self, text: str) -> None:
        """Replace the record.

        Raises:
            OSError: the record could not be written and is unchanged.
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
        """Return the record if another process has written it since the last call, else None.

        Raises:
            OSError: the record could not be read.
            ValueError: the record is larger than MAX_RECORD_BYTES, or is not UTF-8.
        """
        try:
            stat = os.stat(self.path)
        except FileNotFoundError:
            return None
        version = _version(stat)
        if version == self.last_version:
            return None
        self.last_version = version  # set before the read, so that an unreadable record is reported once
        if version.size_bytes > MAX_RECORD_BYTES:
            raise InvalidRecordError(f"{self.path.name} is too large")
        return self.path.read_text(encoding="utf-8")


def _version(stat: os.stat_result) -> FileVersion:
    return FileVersion(stat.st_ino, stat.st_mtime_ns, stat.st_size)
