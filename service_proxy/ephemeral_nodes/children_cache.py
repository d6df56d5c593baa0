"""What is known of the children of the path, what must be read again, and what each reading changes. Pure.

It receives readings and watch events in the order in which the service sent them, and returns `ChildChanges`.
It never reads: `pending_reads` names what must be read, in order, each name once however often it changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from service_proxy.ephemeral_nodes.codes import EventType
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, find_name_problem, parse_node
from service_proxy.ephemeral_nodes.errors import InvalidNodeError
from service_proxy.ephemeral_nodes.records import Stat

MAX_CHILDREN = 20_000  # below one path; beyond it new names are hidden, and reported
MAX_REMEMBERED_PROBLEMS = 1_000  # names whose problem is remembered, so that it is logged once
NO_OWNER = 0  # of a znode that is not ephemeral


class HiddenChild(NamedTuple):
    """A child that can't be used."""

    name: str
    problem: str


@dataclass(slots=True)
class ChildChanges:
    """What a reading or a watch event has changed."""

    present: list[EndpointNode] = field(default_factory=list)  # new, or with other data
    lost: list[str] = field(default_factory=list)  # their sessions ended, or they were deleted
    hidden: list[HiddenChild] = field(default_factory=list)  # each problem once

    def __bool__(self) -> bool:
        return bool(self.present or self.lost or self.hidden)

    def add(self, other: ChildChanges) -> None:
        """Append what has changed after this."""
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
    """The children of one path."""

    def __init__(self) -> None:
        self.children_by_name: dict[str, CachedChild] = {}
        self.pending_reads: dict[str, None] = {}  # in the order in which they are to be read
        self.problems: dict[str, str] = {}  # of hidden names, as reported
        self.has_names = False  # a reading of all names has come

    def preload(self, nodes: Iterable[EndpointNode]) -> None:
        """Take these, of a snapshot, to be there until a reading says otherwise."""
        for node in nodes:
            self.children_by_name[node.name] = CachedChild(node=node)

    @property
    def is_complete(self) -> bool:
        """Whether all that is there has been read, but for reads in flight."""
        return self.has_names and not self.pending_reads

    def on_names(self, names: Iterable[str]) -> ChildChanges:
        """Apply a reading of all names: a known child that is missing is lost, a new one is to be read."""
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
            return f"there are more than {MAX_CHILDREN} nodes"
        return problem

    def _is_full(self) -> bool:
        return len(self.children_by_name) >= MAX_CHILDREN

    def on_data(self, name: str, data: bytes, stat: Stat) -> ChildChanges:
        """Apply a reading of one child; one that is older than what is known changes nothing."""
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
            # Its own problem hides it alone. A registration that was usable and now has bad data is no end,
            # and stays as it was; a new one in its place is not the one that was usable.
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
        """Remove a child: a watch said so, a reading of all names lacks it, or reading it failed so."""
        changes = ChildChanges()
        self.pending_reads.pop(name, None)
        self.problems.pop(name, None)
        child = self.children_by_name.pop(name, None)
        if child is not None and child.node is not None:
            changes.lost.append(name)
        return changes

    def on_watch_event(self, event: int, name: str) -> ChildChanges:
        """Apply an event of a watch on the child `name`."""
        if event == EventType.DELETED:
            return self.on_absent(name)
        if event in (EventType.CREATED, EventType.DATA_CHANGED) and find_name_problem(name) is None:
            if name not in self.children_by_name:
                if self._is_full():
                    return self.on_names([*self.children_by_name, name])  # which hides it, and reports it
                self.children_by_name[name] = CachedChild()
            self.pending_reads[name] = None
        return ChildChanges()

    def invalidate_all(self) -> None:
        """Read all children again: what happened while no connection watched may have changed any."""
        for name in self.children_by_name:
            self.pending_reads.setdefault(name)

    def forget_versions(self) -> None:
        """Accept another ensemble, whose zxids can't be compared with the old one's."""
        for child in self.children_by_name.values():
            child.czxid = 0
            child.mzxid = 0
        self.has_names = False
        self.pending_reads.clear()

    def next_read(self) -> str | None:
        """Return what is to be read next; a change from here on needs another reading."""
        name = next(iter(self.pending_reads), None)
        if name is not None:
            del self.pending_reads[name]
        return name

    def nodes(self) -> list[EndpointNode]:
        """Return all that are usable, by name."""
        children = sorted(self.children_by_name.items())
        return [child.node for _, child in children if child.node is not None]

    def _hide(self, changes: ChildChanges, name: str, problem: str) -> None:
        if self.problems.get(name) != problem:
            if len(self.problems) >= MAX_REMEMBERED_PROBLEMS:
                self.problems.pop(next(iter(self.problems)))
            self.problems[name] = problem
            changes.hidden.append(HiddenChild(name, problem))


def _parse_ephemeral(name: str, data: bytes, stat: Stat) -> EndpointNode:
    if stat.ephemeral_owner == NO_OWNER:
        raise InvalidNodeError("it is not ephemeral, so its end would never be told")
    return parse_node(name, data)
