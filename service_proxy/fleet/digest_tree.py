"""The comparison of two views by a tree of digests, as a Merkle tree over prefixes of keys. Pure.

The requester walks down the tree where digests differ, to parts of few entries, and lists these with a short
digest each; the answer has what the requester lacks or has otherwise. What the requester has newer goes back
at once. The responder keeps no state. Each request and each answer is one datagram. Equal views cost nothing
beyond the digest in each header.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from service_proxy.fleet.errors import MalformedDatagramError
from service_proxy.fleet.member_states import MemberState
from service_proxy.fleet.member_table import KEY_NIBBLES, MemberTable
from service_proxy.fleet.members import KEY_BYTES, Address, MemberEntry, MemberKey
from service_proxy.fleet.wire import (
    CHILD_DIGESTS_LAYOUT,
    PREFIX_LAYOUT,
    TREE_FANOUT,
    DatagramWriter,
    MemberUpdate,
    Section,
    update_of,
)

MAX_LISTED_ENTRIES = 16  # entries that are named one by one
ENTRY_DIGEST_BYTES = 4  # bytes of an entry's tag
MAX_MISSING_KEYS = 3  # keys in one answer: their records fit in one datagram
Prefix = tuple[int, int]  # half bytes, and their value


@dataclass(slots=True)
class SyncSession:
    """One comparison with one member, as the requester keeps it."""

    partner: MemberKey
    address: Address
    pending: list[Prefix] = field(default_factory=lambda: [(0, 0)])
    request_id: int = 0  # of the question that is out; 0: none
    current: Prefix = (0, 0)
    attempts: int = 0


def write_request(table: MemberTable, prefix: Prefix, writer: DatagramWriter) -> bool:
    """Write the request about a prefix; return whether it lists entries one by one."""
    depth, path = prefix
    local = []
    for item in table.entries_below(depth, path):
        local.append(item)
        if len(local) > MAX_LISTED_ENTRIES and depth < KEY_NIBBLES:
            writer.add_section(Section.CHILD_DIGESTS, _pack_child_digests(table, prefix))
            return False
    digests = b"".join(item.key + _short_digest(item) for item in local[:MAX_LISTED_ENTRIES])
    writer.add_section(Section.ENTRY_DIGESTS, PREFIX_LAYOUT.pack(depth, path) + digests)
    return True


def _short_digest(item: MemberEntry) -> bytes:
    """Return what an entry is listed by, beside its key."""
    return item.digest.to_bytes(8, "big")[:ENTRY_DIGEST_BYTES]


def _pack_child_digests(table: MemberTable, prefix: Prefix) -> bytes:
    """Return the digests of a prefix's 16 parts, as they travel."""
    return CHILD_DIGESTS_LAYOUT.pack(
        *prefix, *(digest.to_bytes(8, "big") for digest in table.child_digests(*prefix))
    )


def _parse_digests_prefix(value: bytes) -> Prefix:
    """Return the prefix of digests that arrived complete."""
    if len(value) != CHILD_DIGESTS_LAYOUT.size:
        raise MalformedDatagramError("digests that are cut short")
    return _parse_prefix(value)


def _parse_prefix(value: bytes) -> Prefix:
    if len(value) < PREFIX_LAYOUT.size:
        raise MalformedDatagramError("a prefix that is cut short")
    depth, path = PREFIX_LAYOUT.unpack_from(value)
    if depth >= KEY_NIBBLES or path >= 1 << 4 * depth:
        raise MalformedDatagramError("a prefix of more than all keys")
    return depth, path


def answer_digest_request(table: MemberTable, value: bytes, writer: DatagramWriter) -> None:
    """Write the digests of the same part as this side has them."""
    writer.add_section(Section.CHILD_DIGESTS, _pack_child_digests(table, _parse_digests_prefix(value)))


def differing_children(table: MemberTable, value: bytes) -> list[Prefix]:
    """Return the parts that the other side has otherwise."""
    depth, path = prefix = _parse_digests_prefix(value)
    local = CHILD_DIGESTS_LAYOUT.unpack(_pack_child_digests(table, prefix))
    remote = CHILD_DIGESTS_LAYOUT.unpack(value)
    return [
        (depth + 1, path << 4 | branch)
        for branch in range(TREE_FANOUT)
        if local[2 + branch] != remote[2 + branch]
    ]


def parse_entry_digests(value: bytes) -> tuple[Prefix, dict[MemberKey, bytes]]:
    """Return the prefix, and the short digests by key, of a list of entries.

    Raises:
        MalformedDatagramError: it is cut short, or the prefix is out of range.
    """
    prefix = _parse_prefix(value)
    rest = value[PREFIX_LAYOUT.size :]
    size = KEY_BYTES + ENTRY_DIGEST_BYTES
    if len(rest) % size:
        raise MalformedDatagramError("entries that are cut short")
    return prefix, {
        rest[at : at + KEY_BYTES]: rest[at + KEY_BYTES : at + size] for at in range(0, len(rest), size)
    }


def answer_entries_request(
    table: MemberTable, value: bytes, local_key: MemberKey, writer: DatagramWriter
) -> bool:
    """Write what the requester lacks or has otherwise, as far as it fits, and the keys that this side lacks.

    Returns:
        Whether this side lacks any.
    """
    prefix, remote = parse_entry_digests(value)
    updates: list[MemberUpdate] = []
    missing: list[MemberKey] = []
    for key, digest in remote.items():
        local = table.entries.get(key)
        if local is not None:
            if _short_digest(local) != digest:
                updates.append(current_update(table, key, local_key))
        elif key in table.tombstones:
            updates.append(current_update(table, key, local_key))
        elif len(missing) < MAX_MISSING_KEYS:
            missing.append(key)
    updates += [
        current_update(table, item.key, local_key)
        for item in table.entries_below(*prefix)
        if item.key not in remote
    ]
    if missing:
        writer.add_section(Section.MISSING_KEYS, b"".join(missing))
    writer.remaining_bytes -= 3  # for MORE
    complete = all(writer.add_update(update) for update in updates)
    writer.remaining_bytes += 3
    if not complete:
        writer.add_section(Section.MORE, b"\x01")
    return bool(missing)


def current_update(table: MemberTable, key: MemberKey, local_key: MemberKey) -> MemberUpdate:
    """Return what this view holds of a member, as it is disseminated.

    The dead travel as suspicions that need no further confirmation: see member_states.
    """
    state = table.state(key)
    item = table.find(key)
    assert item is not None
    if state is MemberState.DEAD:
        return update_of(item, confirmed=True, accuser=local_key, with_record=False)
    return update_of(
        item,
        accuser=local_key if state is MemberState.SUSPECT else b"",
        with_record=state is not MemberState.LEFT,
    )
