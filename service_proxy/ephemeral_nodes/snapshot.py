"""The list as last known, in a file: written whole or not at all, and refused where it is torn.

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

MAGIC = b"willowwing-nodes"
VERSION = b"1"
MAX_FILE_BYTES = 64 << 20  # bytes; 20,000 nodes have 5 MB


class InvalidSnapshotError(ValueError):
    """The file can't be used; the message says why."""


def encode(nodes: Iterable[EndpointNode]) -> bytes:
    lines = [node.encode() for node in nodes]
    body = b"".join(line + b"\n" for line in lines)
    digest = hashlib.sha256(body).hexdigest().encode()
    return b" ".join((MAGIC, VERSION, digest, b"%d" % len(lines))) + b"\n" + body


def decode(data: bytes) -> list[EndpointNode]:
    head, newline, body = data.partition(b"\n")
    parts = head.split(b" ")
    if not newline or len(parts) != 4 or parts[0] != MAGIC:
        raise InvalidSnapshotError("it does not begin as a snapshot does")
    if parts[1] != VERSION:
        raise InvalidSnapshotError(
            f"it has version {parts[1].decode('latin-1'):.20}, and {VERSION.decode()} is read"
        )
    if hashlib.sha256(body).hexdigest().encode() != parts[2]:
        raise InvalidSnapshotError("it is torn: its checksum is not that of its lines")
    lines = body.splitlines()
    if parts[3] != b"%d" % len(lines):
        raise InvalidSnapshotError(f"it has {len(lines)} lines and says {parts[3].decode('latin-1'):.20}")
    nodes = []
    for number, line in enumerate(lines, 2):
        try:
            name = _name(line)
            nodes.append(parse_node(name, line))
        except ValueError as fault:
            raise InvalidSnapshotError(f"line {number}: {fault}") from None
    return nodes


def _name(line: bytes) -> str:
    raw = json.loads(line)
    name = raw.get("name") if isinstance(raw, dict) else None
    if not isinstance(name, str):
        raise ValueError("no node with a name")
    return name


def read(path: Path) -> list[EndpointNode]:
    """Raises BadSnapshot; OSError where it can't be read, FileNotFoundError where there is none."""
    with path.open("rb") as source:
        data = source.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise InvalidSnapshotError(f"it is larger than {MAX_FILE_BYTES} bytes")
    return decode(data)


def write(path: Path, nodes: Iterable[EndpointNode]) -> None:
    """The new file is whole on disk before it takes the old one's place. Raises OSError."""
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
