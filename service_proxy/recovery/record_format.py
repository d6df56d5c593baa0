r"""Encoding of log records as text lines, and decoding of the lines that a crash left in a file. Pure.

A snapshot or log file is a sequence of lines, and each line is one record:

    0000002a 00000028 5f3c9a01 {"put":"server","key":"n7", ...}\n

The fields are the record's sequence number within the file (hexadecimal, from 0), the sequence number of
the first record of its batch, the CRC-32 of generation, numbers and text, and a JSON object without line
breaks. The checksum includes the generation so that a line of another file is not accepted as valid.

A file is read up to the first line that is incomplete, fails its checksum or is out of sequence. The rest
of the file is a torn write, because the pages of one batch may reach the disk in any order. A valid line
after the broken record, from a batch that started later than the broken record, proves that the broken
record was durable once. In that case the file is damaged.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple
from zlib import crc32

FORMAT_VERSION = 1  # Version of the file format; the header record of each file names it.
MAX_LINE_BYTES = 4096  # Longest line of one record. A longer record is rejected when it is written.
LINE_PREFIX_BYTES = 27  # Length of the line's part before the JSON text.
NUMBER_BYTES = 17  # Length of the prefix's part with both sequence numbers and the space between them.

RawRecord = dict[str, Any]  # JSON object of one line.


class RecoveryError(Exception):
    """Base class of the errors of recovery; the message gives the cause and, where possible, the remedy."""


class RecordTooLongError(RecoveryError, ValueError):
    """Error of a record that doesn't fit in a line.

    Attributes:
        size_bytes: length of the record's JSON text.
    """

    def __init__(self, size_bytes: int) -> None:
        limit = MAX_LINE_BYTES - LINE_PREFIX_BYTES - 1
        super().__init__(f"record of {size_bytes} bytes exceeds the limit of {limit} bytes")
        self.size_bytes = size_bytes


def encode_line(generation: int, number: int, batch_start: int, record: RawRecord) -> bytes:
    """Encode a record as a line of a file.

    Args:
        generation: generation of the file.
        number: sequence number of the record within the file.
        batch_start: sequence number of the first record of the batch.
        record: JSON object of the line.

    Raises:
        RecordTooLongError: the line would be longer than MAX_LINE_BYTES.
    """
    text = json.dumps(record, separators=(",", ":"), ensure_ascii=True).encode()
    if LINE_PREFIX_BYTES + len(text) + 1 > MAX_LINE_BYTES:
        raise RecordTooLongError(len(text))
    numbers = b"%08x %08x" % (number, batch_start)
    return b"%b %08x %b\n" % (numbers, checksum(generation, numbers, text), text)


def checksum(generation: int, numbers: bytes, text: bytes) -> int:
    """Return the CRC-32 that protects a line."""
    return crc32(text, crc32(b"%d %b" % (generation, numbers)))


@dataclass(frozen=True, slots=True)
class ScanResult:
    """Readable content of a file.

    Attributes:
        records: valid records in the order of the file, up to the first broken record.
        valid_bytes: length of the file up to the end of the last of these records.
        torn_bytes: length of the rest, which has records that were being written.
        records_after_damage: valid records after a broken record that was durable before they were written.
    """

    records: list[RawRecord]
    valid_bytes: int
    torn_bytes: int
    records_after_damage: list[RawRecord]


def scan_lines(data: bytes, generation: int) -> ScanResult:
    """Read the records of a file as far as its lines are valid and in sequence."""
    records: list[RawRecord] = []
    valid_bytes = 0
    while valid_bytes < len(data):
        end = data.find(b"\n", valid_bytes, valid_bytes + MAX_LINE_BYTES)
        line = _decode_line(data[valid_bytes:end], generation) if end >= 0 else None
        if line is None or line.number != len(records):
            break
        records.append(line.record)
        valid_bytes = end + 1
    after_damage = _records_after_damage(data[valid_bytes:], generation, len(records))
    return ScanResult(records, valid_bytes, len(data) - valid_bytes, after_damage)


class _Line(NamedTuple):
    number: int
    batch_start: int
    record: RawRecord


def _decode_line(line: bytes, generation: int) -> _Line | None:
    """Decode one line without its line break; return None if the line is not valid."""
    try:
        number = int(line[:8], 16)
        batch_start = int(line[9:NUMBER_BYTES], 16)
        expected_checksum = int(line[18:26], 16)
    except ValueError:
        return None
    text = line[LINE_PREFIX_BYTES:]
    if checksum(generation, line[:NUMBER_BYTES], text) != expected_checksum:
        return None
    try:
        record = json.loads(text.decode("ascii"))
    except ValueError:
        return None
    return _Line(number, batch_start, record) if isinstance(record, dict) else None


def _records_after_damage(rest: bytes, generation: int, number: int) -> list[RawRecord]:
    """Return the valid records after broken record `number` from batches that started after that record."""
    decoded = (
        _decode_line(line, generation)
        for line in rest.split(b"\n")[1:]
        if LINE_PREFIX_BYTES < len(line) < MAX_LINE_BYTES
    )
    return [line.record for line in decoded if line is not None and line.batch_start > number]
