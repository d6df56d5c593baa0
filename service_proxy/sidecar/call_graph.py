"""Graph of calls between tiers, over one description or several. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from service_proxy.sidecar.model import Description

# The tiers that each tier calls, each with the description that names it.
CallGraph = dict[str, list[tuple[str, Description]]]


def build_call_graph(descriptions: Iterable[Description]) -> CallGraph:
    """Return the graph of the calls of all descriptions."""
    graph: CallGraph = defaultdict(list)
    for description in descriptions:
        for name, tier in description.tiers.items():
            graph[name] += [(called, description) for called in tier.calls]
    return graph


def tiers_below(graph: CallGraph, start: str) -> set[str]:
    """Return all tiers that a request to the start tier may reach."""
    found: set[str] = set()
    unvisited = [start]
    while unvisited:
        for called, _ in graph.get(unvisited.pop(), ()):
            if called not in found:
                found.add(called)
                unvisited.append(called)
    return found


def call_depth(graph: CallGraph, name: str, visited: frozenset[str] = frozenset()) -> int:
    """Return the number of tiers on the longest path of calls from this tier, itself included.

    Cycles are not followed.
    """
    if name in visited:
        return 0
    depths = [call_depth(graph, called, visited | {name}) for called, _ in graph.get(name, ())]
    return 1 + max(depths, default=0)
