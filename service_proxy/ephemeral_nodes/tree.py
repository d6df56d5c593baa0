"""What is known of the nodes below the path, what must be read again, and what each reading changes. Pure.

It is told of readings and of watches that fired, in the order in which the service sent them, and answers
with `Changes`. It never reads: `wanted` names what must be read, in order, each name once however often it
changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from service_proxy.ephemeral_nodes.jute import Event, Stat
from service_proxy.ephemeral_nodes.nodes import Node, name_fault, read_node

MOST_NODES = 20_000  # below one path; beyond it new names are hidden, and said so
MOST_HIDDEN = 1_000  # names whose fault is remembered, so that it is logged once


@dataclass(slots=True)
class Changes:
    """What a reading or a watch has changed."""

    present: list[Node] = field(default_factory=list)  # new, or with other data
    lost: list[str] = field(default_factory=list)  # their sessions ended, or they were deleted
    hidden: list[tuple[str, str]] = field(default_factory=list)  # name and fault, each fault once

    def __bool__(self) -> bool:
        return bool(self.present or self.lost or self.hidden)

    def add(self, other: Changes) -> None:
        self.present += other.present
        self.lost += other.lost
        self.hidden += other.hidden


@dataclass(slots=True)
class Known:
    """A child as last read. `node` is None where its data can't be used, or where it was not read yet."""

    czxid: int = 0
    mzxid: int = 0
    node: Node | None = None


class Tree:
    def __init__(self) -> None:
        self.known: dict[str, Known] = {}
        self.wanted: dict[str, None] = {}  # to be read, the first wanted first
        self.faults: dict[str, str] = {}  # of hidden names, as logged
        self.heard = False  # a whole reading of the names has come

    def preload(self, nodes: Iterable[Node]) -> None:
        """From a snapshot: held to be there until a reading says otherwise."""
        for node in nodes:
            self.known[node.name] = Known(node=node)

    @property
    def complete(self) -> bool:
        """All that is there has been read, but for readings that are out."""
        return self.heard and not self.wanted

    def children(self, names: Iterable[str]) -> Changes:
        """A reading of all names. What is known and not among them is lost; what is new is wanted."""
        changes = Changes()
        named = set()
        for name in names:
            fault = name_fault(name)
            if fault is None and name not in self.known and len(self.known) >= MOST_NODES:
                fault = f"there are more than {MOST_NODES} nodes"
            if fault is not None:
                self._hide(changes, name, fault)
                continue
            named.add(name)
            if name not in self.known:
                self.known[name] = Known()
                self.wanted[name] = None
        for name in [name for name in self.known if name not in named]:
            changes.add(self.absent(name))
        self.heard = True
        return changes

    def read(self, name: str, data: bytes, stat: Stat) -> Changes:
        """A reading of one node. One that is older than what is known changes nothing."""
        changes = Changes()
        known = self.known.setdefault(name, Known())
        if stat.mzxid < known.mzxid:
            return changes
        if (stat.czxid, stat.mzxid) == (known.czxid, known.mzxid):
            return changes
        recreated = known.czxid not in (0, stat.czxid)
        known.czxid = stat.czxid
        known.mzxid = stat.mzxid
        try:
            if stat.owner == 0:
                raise ValueError("it is not ephemeral, so its end would never be told")
            node = read_node(name, data)
        except ValueError as fault:
            # Its own fault hides it alone. A registration that was usable and now holds bad data is no end,
            # and stays as it was; a new one in its place is not the one that was usable.
            self._hide(changes, name, str(fault))
            if recreated and known.node is not None:
                known.node = None
                changes.lost.append(name)
            return changes
        self.faults.pop(name, None)
        if node != known.node:
            known.node = node
            changes.present.append(node)
        return changes

    def absent(self, name: str) -> Changes:
        """It is not there: a watch said so, a reading of all names lacks it, or reading it failed so."""
        changes = Changes()
        self.wanted.pop(name, None)
        self.faults.pop(name, None)
        known = self.known.pop(name, None)
        if known is not None and known.node is not None:
            changes.lost.append(name)
        return changes

    def fired(self, event: int, name: str) -> Changes:
        """A watch on one node fired. `name` is the child's own."""
        if event == Event.DELETED:
            return self.absent(name)
        if event in (Event.CREATED, Event.DATA_CHANGED) and name_fault(name) is None:
            known = self.known.get(name)
            if known is None and len(self.known) >= MOST_NODES:
                return self.children([*self.known, name])  # which hides it, and says so
            if known is None:
                self.known[name] = Known()
            self.wanted[name] = None
        return Changes()

    def doubt_all(self) -> None:
        """What happened unseen (a connection was lost) may have changed any node's data."""
        for name in self.known:
            self.wanted.setdefault(name)

    def forget_versions(self) -> None:
        """Another ensemble: its zxids tell nothing of the old one's."""
        for known in self.known.values():
            known.czxid = 0
            known.mzxid = 0
        self.heard = False
        self.wanted.clear()

    def next_wanted(self) -> str | None:
        """What is to be read next. A change from here on wants another reading."""
        name = next(iter(self.wanted), None)
        if name is not None:
            del self.wanted[name]
        return name

    def nodes(self) -> list[Node]:
        """All that are usable, by name."""
        return [known.node for _, known in sorted(self.known.items()) if known.node is not None]

    def _hide(self, changes: Changes, name: str, fault: str) -> None:
        if self.faults.get(name) != fault:
            if len(self.faults) >= MOST_HIDDEN:
                self.faults.pop(next(iter(self.faults)))
            self.faults[name] = fault
            changes.hidden.append((name, fault))
