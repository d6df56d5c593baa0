"""How a record stands in a file, and what of a file can be read again after a cut at any byte. Pure.

A file is lines. Each is a record of its own:

    0000002a 00000028 5f3c9a01 {"put":"server","key":"n7", ...}\\n

its number within the file (hexadecimal, from 0), the number of the first that was written with it, the
CRC-32 of generation, numbers and text (so that no line of another file is taken for one of this), and a JSON
object without line breaks. A file is read as far as its lines are whole and follow one another. What stands
behind is the tail of what was being written; pages of it may have come to the disk and earlier ones not. But
a whole line behind that was written in a later batch than the broken one proves that this was safe once:
then it is damage.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from zlib import crc32

FORMAT = 1  # of the files; the first record of each says it
MOST_LINE = 4096  # bytes of one record; nothing that is kept is longer
HEAD = 27  # bytes before the text

Record = dict[str, Any]


class TooLong(ValueError):
    """A fact that has no place in a line; the message says of which kind."""


def encode(generation: int, number: int, first: int, record: Record) -> bytes:
    """`first`: the number of the first of its batch. Raises TooLong."""
    text = json.dumps(record, separators=(",", ":"), ensure_ascii=True).encode()
    if HEAD + len(text) + 1 > MOST_LINE:
        raise TooLong(f"a record of {len(text)} bytes; {MOST_LINE - HEAD - 1} are the most")
    place = b"%08x %08x" % (number, first)
    return b"%b %08x %b\n" % (place, checksum(generation, place, text), text)


def checksum(generation: int, place: bytes, text: bytes) -> int:
    return crc32(text, crc32(b"%d %b" % (generation, place)))


@dataclass(frozen=True, slots=True)
class Scan:
    """What a file holds. `good`: bytes up to the end of the last whole record."""

    records: list[Record]
    good: int
    torn: int  # bytes behind that, of records that were being written
    behind: list[Record]  # whole, behind a broken one that was safe before they were written


def scan(data: bytes, generation: int) -> Scan:
    records: list[Record] = []
    good = 0
    while good < len(data):
        end = data.find(b"\n", good, good + MOST_LINE)
        line = _line(data[good:end], generation) if end >= 0 else None
        if line is None or line[0] != len(records):
            break
        records.append(line[2])
        good = end + 1
    return Scan(records, good, len(data) - good, _behind(data[good:], generation, len(records)))


def _line(line: bytes, generation: int) -> tuple[int, int, Record] | None:
    """Its number, the first of its batch, and what it says."""
    try:
        number = int(line[:8], 16)
        first = int(line[9:17], 16)
        check = int(line[18:26], 16)
    except ValueError:
        return None
    text = line[HEAD:]
    if checksum(generation, line[:17], text) != check:
        return None
    try:
        record = json.loads(text.decode("ascii"))
    except ValueError:
        return None
    return (number, first, record) if isinstance(record, dict) else None


def _behind(rest: bytes, generation: int, number: int) -> list[Record]:
    """Whole records in what can't be followed whose batch began after `number`."""
    lines = (_line(line, generation) for line in rest.split(b"\n")[1:] if HEAD < len(line) < MOST_LINE)
    return [line[2] for line in lines if line is not None and line[1] > number]
