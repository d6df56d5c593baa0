"""Anti-entropy: two views made equal by questions of one datagram, each with an answer of one. Pure.

Who asks walks down the tree of key prefixes where digests differ (as a Merkle tree), to parts of few entries,
and names these with a tag each; the answer holds what the asker lacks or has otherwise. What the asker has
newer goes back at once. Who answers keeps nothing. Equal views cost nothing beyond the digest in each header.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from service_proxy.fleet.entries import KEY_BYTES, Address, Entry, Key
from service_proxy.fleet.states import State
from service_proxy.fleet.table import NIBBLES, Table
from service_proxy.fleet.wire import BRANCHES, NODE, TREE, Malformed, Said, Section, Writer, said_of

FEW = 16  # entries that are named one by one
TAG = 4  # bytes of an entry's tag
MOST_WANTED = 3  # keys in one answer: their records fit in one datagram
Prefix = tuple[int, int]  # half bytes, and their value


@dataclass(slots=True)
class Walk:
    """One comparison with one member, as who asks keeps it."""

    partner: Key
    address: Address
    open: list[Prefix] = field(default_factory=lambda: [(0, 0)])
    number: int = 0  # of the question that is out; 0: none
    asked: Prefix = (0, 0)
    tries: int = 0


def ask(table: Table, prefix: Prefix, writer: Writer) -> bool:
    """Writes the question about a prefix; whether it names entries one by one."""
    depth, path = prefix
    mine = []
    for item in table.below(depth, path):
        mine.append(item)
        if len(mine) > FEW and depth < NIBBLES:
            writer.add(Section.TREE, _tree(table, prefix))
            return False
    listed = b"".join(item.key + _mark(item) for item in mine[:FEW])
    writer.add(Section.LEAVES, NODE.pack(depth, path) + listed)
    return True


def _mark(item: Entry) -> bytes:
    """What an entry is named by, beside its key."""
    return item.tag.to_bytes(8, "big")[:TAG]


def _tree(table: Table, prefix: Prefix) -> bytes:
    """The digests of a prefix's parts, as they travel."""
    return TREE.pack(*prefix, *(digest.to_bytes(8, "big") for digest in table.branches(*prefix)))


def _whole(value: bytes) -> Prefix:
    """The prefix of digests that came, all of them."""
    if len(value) != TREE.size:
        raise Malformed("digests that are cut short")
    return _prefix(value)


def _prefix(value: bytes) -> Prefix:
    if len(value) < NODE.size:
        raise Malformed("a prefix that is cut short")
    depth, path = NODE.unpack_from(value)
    if depth >= NIBBLES or path >= 1 << 4 * depth:
        raise Malformed("a prefix of more than all keys")
    return depth, path


def answer_branches(table: Table, value: bytes, writer: Writer) -> None:
    """The same part's digests as this side has them."""
    writer.add(Section.TREE, _tree(table, _whole(value)))


def differing(table: Table, value: bytes) -> list[Prefix]:
    """The parts that the other side has otherwise."""
    depth, path = prefix = _whole(value)
    mine = TREE.unpack(_tree(table, prefix))
    theirs = TREE.unpack(value)
    return [
        (depth + 1, path << 4 | branch)
        for branch in range(BRANCHES)
        if mine[2 + branch] != theirs[2 + branch]
    ]


def leaves(value: bytes) -> tuple[Prefix, dict[Key, bytes]]:
    prefix = _prefix(value)
    rest = value[NODE.size :]
    size = KEY_BYTES + TAG
    if len(rest) % size:
        raise Malformed("entries that are cut short")
    return prefix, {
        rest[at : at + KEY_BYTES]: rest[at + KEY_BYTES : at + size] for at in range(0, len(rest), size)
    }


def answer_leaves(table: Table, value: bytes, me: Key, writer: Writer) -> bool:
    """What the asker lacks, or has otherwise than this side, as far as it fits. Whether something of the
    asker's is wanted."""
    prefix, theirs = leaves(value)
    told: list[Said] = []
    wanted: list[Key] = []
    for key, tag in theirs.items():
        mine = table.entries.get(key)
        if mine is not None:
            if _mark(mine) != tag:
                told.append(about(table, key, me))
        elif key in table.gone:
            told.append(about(table, key, me))
        elif len(wanted) < MOST_WANTED:
            wanted.append(key)
    told += [about(table, item.key, me) for item in table.below(*prefix) if item.key not in theirs]
    if wanted:
        writer.add(Section.WANT, b"".join(wanted))
    writer.room -= 3  # for MORE
    fitted = all(writer.said(said) for said in told)
    writer.room += 3
    if not fitted:
        writer.add(Section.MORE, b"\x01")
    return bool(wanted)


def about(table: Table, key: Key, me: Key) -> Said:
    """What this view holds of a member, as it is told: the dead as suspicions that need no confirmation."""
    state = table.state(key)
    item = table.held(key)
    assert item is not None
    if state is State.DEAD:
        return said_of(item, sure=True, accuser=me, record=False)
    return said_of(item, accuser=me if state is State.SUSPECT else b"", record=state is not State.LEFT)
