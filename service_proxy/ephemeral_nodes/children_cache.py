"""Cache of the children of the path, with the reads that are pending. Pure.

The cache receives read results and watch events in the order in which the service sent them, and returns
`ChildChanges`. It does no I/O: `pending_reads` lists the names to read, in order, each name once however
often its znode has changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from service_proxy.ephemeral_nodes.codes import EventType
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, find_name_problem, parse_node
from service_proxy.ephemeral_nodes.errors import InvalidNodeError
from service_proxy.ephemeral_nodes.records import Stat

MAX_CHILDREN = 20_000  # Upper bound of children below one path. Further new names are hidden and logged.
# Upper bound of names whose problem is stored, so that each problem is logged once.
MAX_STORED_PROBLEMS = 1_000
NO_OWNER = 0  # `ephemeral_owner` of a znode that is not ephemeral.


class HiddenChild(NamedTuple):
    """Child that can't be used as an endpoint, and the reason."""

    name: str
    problem: str


@dataclass(slots=True)
class ChildChanges:
    """Changes that result from a read or a watch event."""

    present: list[EndpointNode] = field(default_factory=list)  # New nodes, and nodes with changed data.
    lost: list[str] = field(default_factory=list)  # Names whose session ended, or whose znode was deleted.
    hidden: list[HiddenChild] = field(default_factory=list)  # Unusable children, each problem reported once.

    def __bool__(self) -> bool:
        return bool(self.present or self.lost or self.hidden)

    def add(self, other: ChildChanges) -> None:
        """Append changes that happened after these."""
        self.present += other.present
        self.lost += other.lost
        self.hidden += other.hidden


@dataclass(slots=True)
class CachedChild:
    """Child as last read; `node` is None if its data is unusable or not read yet."""

    czxid: int = 0
    mzxid: int = 0
    node: EndpointNode | None = None


class ChildrenCache:
    """Known children of one path."""

    def __init__(self) -> None:
        self.children_by_name: dict[str, CachedChild] = {}
        self.pending_reads: dict[str, None] = {}  # Names to read, in this order.
        self.problems: dict[str, str] = {}  # Reported problem of each hidden name.
        self.has_names = False  # Whether the list of names has been read.

    def preload(self, nodes: Iterable[EndpointNode]) -> None:
        """Add the nodes of a snapshot; a later read replaces or removes them."""
        for node in nodes:
            self.children_by_name[node.name] = CachedChild(node=node)

    @property
    def is_complete(self) -> bool:
        """Whether every child has been read; reads in flight don't count as pending."""
        return self.has_names and not self.pending_reads

    def on_names(self, names: Iterable[str]) -> ChildChanges:
        """Apply a read of all names: a missing child is lost, and a new one becomes pending."""
        changes = ChildChanges()
        listed = set()
        for name in names:
            problem = self._find_problem(name)
            if problem is not None:
                self._hide(changes, name, problem)
                continue
            listed.add(name)
            if name not in self.children_by_name:
                self.children_by_name[name] = CachedChild()
                self.pending_reads[name] = None
        for name in [name for name in self.children_by_name if name not in listed]:
            changes.add(self.on_absent(name))
        self.has_names = True
        return changes

    def _find_problem(self, name: str) -> str | None:
        problem = find_name_problem(name)
        if problem is None and name not in self.children_by_name and self._is_full():
            return f"the path has more than {MAX_CHILDREN} children"
        return problem

    def _is_full(self) -> bool:
        return len(self.children_by_name) >= MAX_CHILDREN

    def on_data(self, name: str, data: bytes, stat: Stat) -> ChildChanges:
        """Apply a read of one child, unless the cached data is newer."""
        changes = ChildChanges()
        child = self.children_by_name.setdefault(name, CachedChild())
        if stat.mzxid < child.mzxid or (stat.czxid, stat.mzxid) == (child.czxid, child.mzxid):
            return changes
        is_recreated = child.czxid not in (0, stat.czxid)
        child.czxid = stat.czxid
        child.mzxid = stat.mzxid
        try:
            node = _parse_ephemeral(name, data, stat)
        except ValueError as error:
            # Bad data hides this znode only. A usable registration whose data turns bad has not ended, so its
            # last good data stays in use. If the znode was created anew, the earlier registration has ended.
            self._hide(changes, name, str(error))
            if is_recreated and child.node is not None:
                child.node = None
                changes.lost.append(name)
            return changes
        self.problems.pop(name, None)
        if node != child.node:
            child.node = node
            changes.present.append(node)
        return changes

    def on_absent(self, name: str) -> ChildChanges:
        """Remove a child after a delete event, a list of names without it, or a read that found no znode."""
        changes = ChildChanges()
        self.pending_reads.pop(name, None)
        self.problems.pop(name, None)
        child = self.children_by_name.pop(name, None)
        if child is not None and child.node is not None:
            changes.lost.append(name)
        return changes

    def on_watch_event(self, event: int, name: str) -> ChildChanges:
        """Apply a watch event for the child `name`."""
        if event == EventType.DELETED:
            return self.on_absent(name)
        if event in (EventType.CREATED, EventType.DATA_CHANGED) and find_name_problem(name) is None:
            if name not in self.children_by_name:
                if self._is_full():
                    # Hides the name and reports its problem.
                    return self.on_names([*self.children_by_name, name])
                self.children_by_name[name] = CachedChild()
            self.pending_reads[name] = None
        return ChildChanges()

    def invalidate_all(self) -> None:
        """Mark all children as pending, because changes without a connected watch may have been missed."""
        for name in self.children_by_name:
            self.pending_reads.setdefault(name)

    def reset_versions(self) -> None:
        """Reset all versions for another ensemble, because zxids of two ensembles can't be compared."""
        for child in self.children_by_name.values():
            child.czxid = 0
            child.mzxid = 0
        self.has_names = False
        self.pending_reads.clear()

    def next_read(self) -> str | None:
        """Return the next name to read and remove it from the pending reads.

        A change after this call marks the name as pending again.
        """
        name = next(iter(self.pending_reads), None)
        if name is not None:
            del self.pending_reads[name]
        return name

    def nodes(self) -> list[EndpointNode]:
        """Return all usable nodes, sorted by name."""
        children = sorted(self.children_by_name.items())
        return [child.node for _, child in children if child.node is not None]

    def _hide(self, changes: ChildChanges, name: str, problem: str) -> None:
        if self.problems.get(name) != problem:
            if len(self.problems) >= MAX_STORED_PROBLEMS:
                self.problems.pop(next(iter(self.problems)))
            self.problems[name] = problem
            changes.hidden.append(HiddenChild(name, problem))


def _parse_ephemeral(name: str, data: bytes, stat: Stat) -> EndpointNode:
    if stat.ephemeral_owner == NO_OWNER:
        raise InvalidNodeError(
            "the znode is not ephemeral, so the service would keep it after the endpoint has ended"
        )
    return parse_node(name, data)
