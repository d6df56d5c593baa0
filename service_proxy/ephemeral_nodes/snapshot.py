"""The endpoints as last known, in a file: written atomically, and refused where it is torn.

    willowwing-nodes 1 <sha256 of the rest, in hex> <count>
    one node's JSON a line

A file of another version, a torn one, or one with a line that can't be read gives nothing at all: half a list
would look like a mass loss.
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
HEAD_FIELDS = 4  # magic, version, digest, count
FIRST_BODY_LINE = 2
MAX_FILE_BYTES = 64 << 20  # 20,000 nodes have 5 MB


def encode(nodes: Iterable[EndpointNode]) -> bytes:
    """Return the file's content."""
    lines = [node.encode() for node in nodes]
    body = b"".join(line + b"\n" for line in lines)
    digest = hashlib.sha256(body).hexdigest().encode()
    return b" ".join((MAGIC, VERSION, digest, b"%d" % len(lines))) + b"\n" + body


def decode(data: bytes) -> list[EndpointNode]:
    """Return the nodes of a file's content.

    Raises:
        InvalidSnapshotError: it can't be used as a whole.
    """
    body = _check_head(data)
    nodes = []
    for number, line in enumerate(body.splitlines(), FIRST_BODY_LINE):
        try:
            nodes.append(parse_node(_read_name(line), line))
        except ValueError as error:
            raise InvalidSnapshotError(f"line {number}: {error}") from None
    return nodes


def _check_head(data: bytes) -> bytes:
    """Return what follows the head, once that agrees with it."""
    head, newline, body = data.partition(b"\n")
    fields = head.split(b" ")
    if not newline or len(fields) != HEAD_FIELDS or fields[0] != MAGIC:
        raise InvalidSnapshotError("it does not begin as a snapshot does")
    _, version, digest, count = fields
    if version != VERSION:
        found = version.decode("latin-1")
        raise InvalidSnapshotError(f"it has version {found:.20}, and {VERSION.decode()} is read")
    if hashlib.sha256(body).hexdigest().encode() != digest:
        raise InvalidSnapshotError("it is torn: its checksum is not that of its lines")
    lines = len(body.splitlines())
    if count != b"%d" % lines:
        raise InvalidSnapshotError(f"it has {lines} lines and says {count.decode('latin-1'):.20}")
    return body


def _read_name(line: bytes) -> str:
    raw = json.loads(line)
    name = raw.get("name") if isinstance(raw, dict) else None
    if not isinstance(name, str):
        raise InvalidSnapshotError("no node with a name")
    return name


def read(path: Path) -> list[EndpointNode]:
    """Read a snapshot.

    Raises:
        InvalidSnapshotError: it can't be used.
        OSError: it can't be read; FileNotFoundError where there is none.
    """
    with path.open("rb") as source:
        data = source.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise InvalidSnapshotError(f"it is larger than {MAX_FILE_BYTES} bytes")
    return decode(data)


def write(path: Path, nodes: Iterable[EndpointNode]) -> None:
    """Replace a snapshot, once the new file is complete on the disk.

    Raises:
        OSError: it could not be written; the old one is what it was.
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
