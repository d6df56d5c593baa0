"""What is known of the nodes below the path, what must be read again, and what each reading changes. Pure.

It is told of readings and of watches that fired, in the order in which the service sent them, and answers
with `Changes`. It never reads: `wanted` names what must be read, in order, each name once however often it
changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, find_name_problem, parse_node
from service_proxy.ephemeral_nodes.jute import EventType, Stat

MAX_CHILDREN = 20_000  # below one path; beyond it new names are hidden, and said so
MAX_REMEMBERED_PROBLEMS = 1_000  # names whose fault is remembered, so that it is logged once


@dataclass(slots=True)
class ChildChanges:
    """What a reading or a watch has changed."""

    present: list[EndpointNode] = field(default_factory=list)  # new, or with other data
    lost: list[str] = field(default_factory=list)  # their sessions ended, or they were deleted
    hidden: list[tuple[str, str]] = field(default_factory=list)  # name and fault, each fault once

    def __bool__(self) -> bool:
        return bool(self.present or self.lost or self.hidden)

    def add(self, other: ChildChanges) -> None:
        self.present += other.present
        self.lost += other.lost
        self.hidden += other.hidden


@dataclass(slots=True)
class CachedChild:
    """A child as last read. `node` is None where its data can't be used, or where it was not read yet."""

    czxid: int = 0
    mzxid: int = 0
    node: EndpointNode | None = None


class ChildrenCache:
    def __init__(self) -> None:
        self.children_by_name: dict[str, CachedChild] = {}
        self.pending_reads: dict[str, None] = {}  # to be read, the first wanted first
        self.problems: dict[str, str] = {}  # of hidden names, as logged
        self.has_names = False  # a whole reading of the names has come

    def preload(self, nodes: Iterable[EndpointNode]) -> None:
        """From a snapshot: held to be there until a reading says otherwise."""
        for node in nodes:
            self.children_by_name[node.name] = CachedChild(node=node)

    @property
    def is_complete(self) -> bool:
        """All that is there has been read, but for readings that are out."""
        return self.has_names and not self.pending_reads

    def on_names(self, names: Iterable[str]) -> ChildChanges:
        """A reading of all names. What is known and not among them is lost; what is new is wanted."""
        changes = ChildChanges()
        named = set()
        for name in names:
            fault = find_name_problem(name)
            if (
                fault is None
                and name not in self.children_by_name
                and len(self.children_by_name) >= MAX_CHILDREN
            ):
                fault = f"there are more than {MAX_CHILDREN} nodes"
            if fault is not None:
                self._hide(changes, name, fault)
                continue
            named.add(name)
            if name not in self.children_by_name:
                self.children_by_name[name] = CachedChild()
                self.pending_reads[name] = None
        for name in [name for name in self.children_by_name if name not in named]:
            changes.add(self.on_absent(name))
        self.has_names = True
        return changes

    def on_data(self, name: str, data: bytes, stat: Stat) -> ChildChanges:
        """A reading of one node. One that is older than what is known changes nothing."""
        changes = ChildChanges()
        known = self.children_by_name.setdefault(name, CachedChild())
        if stat.mzxid < known.mzxid:
            return changes
        if (stat.czxid, stat.mzxid) == (known.czxid, known.mzxid):
            return changes
        recreated = known.czxid not in (0, stat.czxid)
        known.czxid = stat.czxid
        known.mzxid = stat.mzxid
        try:
            if stat.ephemeral_owner == 0:
                raise ValueError("it is not ephemeral, so its end would never be told")
            node = parse_node(name, data)
        except ValueError as fault:
            # Its own fault hides it alone. A registration that was usable and now holds bad data is no end,
            # and stays as it was; a new one in its place is not the one that was usable.
            self._hide(changes, name, str(fault))
            if recreated and known.node is not None:
                known.node = None
                changes.lost.append(name)
            return changes
        self.problems.pop(name, None)
        if node != known.node:
            known.node = node
            changes.present.append(node)
        return changes

    def on_absent(self, name: str) -> ChildChanges:
        """It is not there: a watch said so, a reading of all names lacks it, or reading it failed so."""
        changes = ChildChanges()
        self.pending_reads.pop(name, None)
        self.problems.pop(name, None)
        known = self.children_by_name.pop(name, None)
        if known is not None and known.node is not None:
            changes.lost.append(name)
        return changes

    def on_watch_event(self, event: int, name: str) -> ChildChanges:
        """A watch on one node fired. `name` is the child's own."""
        if event == EventType.DELETED:
            return self.on_absent(name)
        if event in (EventType.CREATED, EventType.DATA_CHANGED) and find_name_problem(name) is None:
            known = self.children_by_name.get(name)
            if known is None and len(self.children_by_name) >= MAX_CHILDREN:
                return self.on_names([*self.children_by_name, name])  # which hides it, and says so
            if known is None:
                self.children_by_name[name] = CachedChild()
            self.pending_reads[name] = None
        return ChildChanges()

    def invalidate_all(self) -> None:
        """What happened unseen (a connection was lost) may have changed any node's data."""
        for name in self.children_by_name:
            self.pending_reads.setdefault(name)

    def forget_versions(self) -> None:
        """Another ensemble: its zxids tell nothing of the old one's."""
        for known in self.children_by_name.values():
            known.czxid = 0
            known.mzxid = 0
        self.has_names = False
        self.pending_reads.clear()

    def next_read(self) -> str | None:
        """What is to be read next. A change from here on wants another reading."""
        name = next(iter(self.pending_reads), None)
        if name is not None:
            del self.pending_reads[name]
        return name

    def nodes(self) -> list[EndpointNode]:
        """All that are usable, by name."""
        return [known.node for _, known in sorted(self.children_by_name.items()) if known.node is not None]

    def _hide(self, changes: ChildChanges, name: str, fault: str) -> None:
        if self.problems.get(name) != fault:
            if len(self.problems) >= MAX_REMEMBERED_PROBLEMS:
                self.problems.pop(next(iter(self.problems)))
            self.problems[name] = fault
            changes.hidden.append((name, fault))
