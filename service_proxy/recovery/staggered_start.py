"""When each proxy first sends to an endpoint that is warming up, so that not all do at once. Pure.

An endpoint that has just started can take a few requests (PROTOCOL: cold servers), and to each proxy that has
not yet sent to it it looks idle. All proxies that use an endpoint order themselves by a hash of both names
(rendezvous hashing: Thaler and Ravishankar 1998), the same at each proxy without coordination. The first
IMMEDIATE_STARTS begin at once, the others evenly over a share of the slow-start window. The order differs
from endpoint to endpoint, so that each proxy has some to begin with. What a proxy sends after its first
request is limited by the policy's own slow start.
"""

from __future__ import annotations

from collections.abc import Collection
from hashlib import blake2b

IMMEDIATE_STARTS = 3  # proxies at once: the least that an endpoint can take throughout the slow-start window
STAGGER_SHARE = 0.5  # of the slow-start window, by which all have begun


def rendezvous_hash(endpoint_name: str, proxy_name: str) -> int:
    """Return the weight of a proxy at an endpoint."""
    pair = f"{endpoint_name}\0{proxy_name}".encode()
    return int.from_bytes(blake2b(pair, digest_size=8, person=b"turn").digest(), "big")


def start_rank(endpoint_name: str, own_name: str, proxies: Collection[str]) -> int:
    """Return how many of these proxies start before this one at an endpoint."""
    own_weight = rendezvous_hash(endpoint_name, own_name)
    return sum(rendezvous_hash(endpoint_name, other) > own_weight for other in proxies if other != own_name)


def start_delay(rank: int, proxy_count: int, slow_start_window: float) -> float:
    """Return the time from an endpoint's first answer until a proxy of this rank sends to it, s."""
    if rank < IMMEDIATE_STARTS or proxy_count <= IMMEDIATE_STARTS:
        return 0.0
    return (
        STAGGER_SHARE * slow_start_window * (rank - IMMEDIATE_STARTS + 1) / (proxy_count - IMMEDIATE_STARTS)
    )
