"""When each proxy first sends to a cold server, so that not all do at once. Pure.

A server that has just come up bears a few calls (PROTOCOL: cold servers), and to each proxy that has not yet
sent to it it looks idle. All proxies that use a server order themselves by a hash of both names (rendezvous
hashing: Thaler and Ravishankar 1998), the same at each without a word between them. The first FIRST begin at
once, the others evenly over a share of its cold time. Which they are differs from server to server, so that
each proxy has some to begin with. What a proxy sends after its first is the module's own cold budget.
"""

from __future__ import annotations

from collections.abc import Collection
from hashlib import blake2b

FIRST = 3  # proxies at once: the least that any cold server bears in the time that settings name
OVER = 0.5  # of the cold time, by which all have begun


def weight(server: str, proxy: str) -> int:
    name = f"{server}\0{proxy}".encode()
    return int.from_bytes(blake2b(name, digest_size=8, person=b"turn").digest(), "big")


def place(server: str, me: str, proxies: Collection[str]) -> int:
    """How many of these come before this one."""
    mine = weight(server, me)
    return sum(weight(server, other) > mine for other in proxies if other != me)


def wait(place: int, count: int, cold_for: float) -> float:
    """s from a server's first answer until a proxy of this place, of so many, begins to send to it."""
    if place < FIRST or count <= FIRST:
        return 0.0
    return OVER * cold_for * (place - FIRST + 1) / (count - FIRST)
