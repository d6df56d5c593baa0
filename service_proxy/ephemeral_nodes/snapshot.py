"""Snapshot file of the last known endpoints, written atomically and refused if damaged.

    willowwing-nodes 1 <sha256 of the rest, in hex> <count>
    one node's JSON per line

A file of another version, a damaged file, or a file with one invalid line is refused as a whole, because a
partial list would look like a mass loss.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import tempfile
from collections.abc import Iterable
from pathlib import Path

from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, parse_node
from service_proxy.ephemeral_nodes.errors import InvalidSnapshotError

MAGIC = b"willowwing-nodes"
VERSION = b"1"
HEADER_FIELD_COUNT = 4  # Number of header fields: magic, version, digest, count.
FIRST_BODY_LINE = 2
MAX_FILE_BYTES = 64 << 20  # Upper bound of a snapshot; 20,000 nodes have 5 MB.


def encode(nodes: Iterable[EndpointNode]) -> bytes:
    """Return the content of a snapshot file."""
    lines = [node.encode() for node in nodes]
    body = b"".join(line + b"\n" for line in lines)
    digest = hashlib.sha256(body).hexdigest().encode()
    return b" ".join((MAGIC, VERSION, digest, b"%d" % len(lines))) + b"\n" + body


def decode(data: bytes) -> list[EndpointNode]:
    """Return the nodes of a snapshot's content.

    Raises:
        InvalidSnapshotError: the content is invalid; no node is used.
    """
    body = _check_header(data)
    nodes = []
    for number, line in enumerate(body.splitlines(), FIRST_BODY_LINE):
        try:
            nodes.append(parse_node(_read_name(line), line))
        except ValueError as error:
            raise InvalidSnapshotError(f"line {number}: {error}") from None
    return nodes


def _check_header(data: bytes) -> bytes:
    """Check the header against the body, and return the body."""
    header, newline, body = data.partition(b"\n")
    fields = header.split(b" ")
    if not newline or len(fields) != HEADER_FIELD_COUNT or fields[0] != MAGIC:
        raise InvalidSnapshotError("the file does not begin with a snapshot header")
    _, version, digest, count = fields
    if version != VERSION:
        found = version.decode("latin-1")
        raise InvalidSnapshotError(f"the file has version {found:.20}; supported: {VERSION.decode()}")
    if hashlib.sha256(body).hexdigest().encode() != digest:
        raise InvalidSnapshotError("the file is damaged: the checksum does not match the lines")
    lines = len(body.splitlines())
    if count != b"%d" % lines:
        raise InvalidSnapshotError(
            f"the file has {lines} lines; its header says {count.decode('latin-1'):.20}"
        )
    return body


def _read_name(line: bytes) -> str:
    raw = json.loads(line)
    name = raw.get("name") if isinstance(raw, dict) else None
    if not isinstance(name, str):
        raise InvalidSnapshotError("the line is not a JSON object with a name")
    return name


def read(path: Path) -> list[EndpointNode]:
    """Read a snapshot.

    Raises:
        InvalidSnapshotError: the content is invalid.
        OSError: the file can't be read; FileNotFoundError if it does not exist.
    """
    with path.open("rb") as source:
        data = source.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise InvalidSnapshotError(f"the file is larger than {MAX_FILE_BYTES} bytes")
    return decode(data)


def write(path: Path, nodes: Iterable[EndpointNode]) -> None:
    """Replace a snapshot after the new file is completely on the disk.

    Raises:
        OSError: the write failed; the old file is unchanged.
    """
    data = encode(nodes)
    handle, name = tempfile.mkstemp(prefix=path.name + ".", dir=path.parent)
    try:
        with os.fdopen(handle, "wb") as sink:
            sink.write(data)
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(name, path)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise
