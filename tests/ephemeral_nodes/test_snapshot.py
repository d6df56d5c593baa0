"""Tests of the snapshot file: a truncated or changed file is refused as a whole."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest

from service_proxy.ephemeral_nodes import snapshot
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode
from service_proxy.ephemeral_nodes.errors import InvalidSnapshotError

NODES = [EndpointNode(f"s-{n}", f"127.0.0.1:{8000 + n}", "a", "m", n, 1.0, 5, "Ready") for n in range(5)]


def test_a_snapshot_is_read_as_written(tmp_path: Path) -> None:
    file = tmp_path / "nodes"
    snapshot.write(file, NODES)
    assert snapshot.read(file) == NODES
    snapshot.write(file, [])
    assert snapshot.read(file) == [] and list(tmp_path.iterdir()) == [file]


def test_a_file_truncated_at_any_byte_is_refused() -> None:
    data = snapshot.encode(NODES)
    for size in range(len(data)):
        with pytest.raises(InvalidSnapshotError):
            snapshot.decode(data[:size])


def test_a_file_with_any_byte_changed_is_refused() -> None:
    data = snapshot.encode(NODES[:2])
    for offset in range(len(data)):
        damaged = bytearray(data)
        damaged[offset] ^= 0x01
        with pytest.raises(InvalidSnapshotError):
            snapshot.decode(bytes(damaged))


def test_a_valid_checksum_over_invalid_nodes_is_refused(tmp_path: Path) -> None:
    for line in (b"{}", b"[]", b"{", b'{"name":"s-1"}'):
        body = line + b"\n"
        data = b"willowwing-nodes 1 %s 1\n" % hashlib.sha256(body).hexdigest().encode() + body
        with pytest.raises(InvalidSnapshotError, match="line 2"):
            snapshot.decode(data)


def test_a_write_that_fails_leaves_the_old_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "nodes"
    snapshot.write(file, NODES)

    def fail_with_full_disk(handle: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", fail_with_full_disk)
    with pytest.raises(OSError, match="No space"):
        snapshot.write(file, NODES[:1])
    assert snapshot.read(file) == NODES and list(tmp_path.iterdir()) == [file]


def test_a_file_of_another_version_or_kind_is_refused_with_the_reason() -> None:
    with pytest.raises(InvalidSnapshotError, match="version 2"):
        snapshot.decode(snapshot.encode([]).replace(b" 1 ", b" 2 ", 1))
    with pytest.raises(InvalidSnapshotError, match="does not begin"):
        snapshot.decode(b"\x7fELF")
