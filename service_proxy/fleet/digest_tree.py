"""Comparison of two views by a tree of digests: a Merkle tree over prefixes of member keys.

The requester descends the tree where digests differ, down to prefixes with few entries, and lists these
entries with a short digest each. The reply contains the entries that the requester lacks or has in another
incarnation or claim. The responder requests the keys that it lacks in the same reply, and the requester
sends their records at once. The responder keeps no state. Each request and each reply is one datagram. Equal
views cost nothing beyond the digest in each datagram's header. Performs no I/O and reads no clock.
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

MAX_LISTED_ENTRIES = 16  # Entries that one request lists individually.
ENTRY_DIGEST_BYTES = 4  # Bytes of the short digest of an entry.
MAX_MISSING_KEYS = 3  # Missing keys in one reply; the records of this many keys fit in one datagram.
Prefix = tuple[int, int]  # The depth in half bytes (nibbles) and the value of these nibbles.


@dataclass(slots=True)
class SyncSession:
    """State of one comparison with one partner, on the requester's side.

    Attributes:
        pending: prefixes that still have to be compared.
        request_id: id of the request that waits for a reply; 0 if there is none.
        current: prefix of that request.
        attempts: timeouts of the current request.
    """

    partner: MemberKey
    address: Address
    pending: list[Prefix] = field(default_factory=lambda: [(0, 0)])
    request_id: int = 0
    current: Prefix = (0, 0)
    attempts: int = 0


def write_request(table: MemberTable, prefix: Prefix, writer: DatagramWriter) -> bool:
    """Write the request about a prefix; return whether the request lists individual entries."""
    depth, path = prefix
    local = []
    for entry in table.entries_below(depth, path):
        local.append(entry)
        if len(local) > MAX_LISTED_ENTRIES and depth < KEY_NIBBLES:
            writer.add_section(Section.CHILD_DIGESTS, _pack_child_digests(table, prefix))
            return False
    digests = b"".join(entry.key + _short_digest(entry) for entry in local[:MAX_LISTED_ENTRIES])
    writer.add_section(Section.ENTRY_DIGESTS, PREFIX_LAYOUT.pack(depth, path) + digests)
    return True


def _short_digest(entry: MemberEntry) -> bytes:
    """Return the short digest by which a request lists an entry beside its key."""
    return entry.digest.to_bytes(8, "big")[:ENTRY_DIGEST_BYTES]


def _pack_child_digests(table: MemberTable, prefix: Prefix) -> bytes:
    """Return a prefix and the digests of its 16 children in wire format."""
    return CHILD_DIGESTS_LAYOUT.pack(
        *prefix, *(digest.to_bytes(8, "big") for digest in table.child_digests(*prefix))
    )


def _parse_child_digests_prefix(value: bytes) -> Prefix:
    """Return the prefix of a CHILD_DIGESTS section after checking the section's length."""
    if len(value) != CHILD_DIGESTS_LAYOUT.size:
        raise MalformedDatagramError("a CHILD_DIGESTS section of the wrong size")
    return _parse_prefix(value)


def _parse_prefix(value: bytes) -> Prefix:
    if len(value) < PREFIX_LAYOUT.size:
        raise MalformedDatagramError("a truncated prefix of keys")
    depth, path = PREFIX_LAYOUT.unpack_from(value)
    if depth >= KEY_NIBBLES or path >= 1 << 4 * depth:
        raise MalformedDatagramError("a prefix of keys that is out of range")
    return depth, path


def answer_digest_request(table: MemberTable, value: bytes, writer: DatagramWriter) -> None:
    """Write this view's digests of the children of the requested prefix."""
    writer.add_section(Section.CHILD_DIGESTS, _pack_child_digests(table, _parse_child_digests_prefix(value)))


def differing_children(table: MemberTable, value: bytes) -> list[Prefix]:
    """Return the child prefixes whose digests differ between this view and the received section."""
    depth, path = prefix = _parse_child_digests_prefix(value)
    local = CHILD_DIGESTS_LAYOUT.unpack(_pack_child_digests(table, prefix))
    remote = CHILD_DIGESTS_LAYOUT.unpack(value)
    return [
        (depth + 1, path << 4 | branch)
        for branch in range(TREE_FANOUT)
        if local[2 + branch] != remote[2 + branch]
    ]


def parse_entry_digests(value: bytes) -> tuple[Prefix, dict[MemberKey, bytes]]:
    """Return the prefix and the short digests by key of a received list of entries.

    Raises:
        MalformedDatagramError: the list is truncated, or the prefix is out of range.
    """
    prefix = _parse_prefix(value)
    rest = value[PREFIX_LAYOUT.size :]
    size = KEY_BYTES + ENTRY_DIGEST_BYTES
    if len(rest) % size:
        raise MalformedDatagramError("a truncated list of entry digests")
    return prefix, {
        rest[at : at + KEY_BYTES]: rest[at + KEY_BYTES : at + size] for at in range(0, len(rest), size)
    }


def answer_entries_request(
    table: MemberTable, value: bytes, local_key: MemberKey, writer: DatagramWriter
) -> bool:
    """Write the entries that differ from the requester's list, and the keys that this view lacks.

    Entries that do not fit in the datagram are announced by the section MORE.

    Returns:
        Whether this view lacks any of the listed keys.
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
        current_update(table, entry.key, local_key)
        for entry in table.entries_below(*prefix)
        if entry.key not in remote
    ]
    if missing:
        writer.add_section(Section.MISSING_KEYS, b"".join(missing))
    writer.remaining_bytes -= 3  # Space for the MORE section.
    complete = all(writer.add_update(update) for update in updates)
    writer.remaining_bytes += 3
    if not complete:
        writer.add_section(Section.MORE, b"\x01")
    return bool(missing)


def current_update(table: MemberTable, key: MemberKey, local_key: MemberKey) -> MemberUpdate:
    """Return this view's state of a member as an update to disseminate.

    A dead member is sent as a confirmed suspicion, which needs no further confirmation; see member_states.
    """
    state = table.state(key)
    entry = table.find(key)
    assert entry is not None
    if state is MemberState.DEAD:
        return update_of(entry, confirmed=True, accuser=local_key, with_record=False)
    return update_of(
        entry,
        accuser=local_key if state is MemberState.SUSPECT else b"",
        with_record=state is not MemberState.LEFT,
    )
