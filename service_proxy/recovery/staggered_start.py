"""Staggered start of the proxies at an endpoint that is warming up, so that not all send at once. Pure.

An endpoint that has just started can take a few requests (PROTOCOL: cold servers), and it appears idle to
each proxy that has not yet sent to it. All proxies that use an endpoint are ordered by a hash of both names
(rendezvous hashing: Thaler and Ravishankar 1998). Each proxy computes the same order without coordination.
The first IMMEDIATE_STARTS proxies start at once, and the rest start evenly over a share of the slow-start
window. The order differs between endpoints, so that each proxy can start at some endpoints at once. After
its first request a proxy is limited by the policy's own slow start.
"""

from __future__ import annotations

from collections.abc import Collection
from hashlib import blake2b

# Proxies that start at once: the fewest requests that an endpoint can take throughout the slow-start window.
IMMEDIATE_STARTS = 3
STAGGER_SHARE = 0.5  # Share of the slow-start window after which all proxies have started.


def rendezvous_hash(endpoint_name: str, proxy_name: str) -> int:
    """Return the rendezvous hash of a proxy at an endpoint."""
    pair = f"{endpoint_name}\0{proxy_name}".encode()
    return int.from_bytes(blake2b(pair, digest_size=8, person=b"turn").digest(), "big")


def start_rank(endpoint_name: str, own_name: str, proxies: Collection[str]) -> int:
    """Return the number of these proxies that start before this one at an endpoint."""
    own_weight = rendezvous_hash(endpoint_name, own_name)
    return sum(rendezvous_hash(endpoint_name, other) > own_weight for other in proxies if other != own_name)


def start_delay(rank: int, proxy_count: int, slow_start_window: float) -> float:
    """Return the delay from an endpoint's first answer to the first request of a proxy of this rank, s."""
    if rank < IMMEDIATE_STARTS or proxy_count <= IMMEDIATE_STARTS:
        return 0.0
    return (
        STAGGER_SHARE * slow_start_window * (rank - IMMEDIATE_STARTS + 1) / (proxy_count - IMMEDIATE_STARTS)
    )
