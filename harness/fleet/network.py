"""What a network does to datagrams: one decision for each, by seed, link and the datagram's number there.

Used by the virtual fleet and by the relay between real processes alike. A decision hangs on nothing but these
three and the faults in force, so that a recording of a run says what another one will do.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TextIO

BASE_DELAY_RANGE_S = (0.0002, 0.001)  # s of a datagram's way
DRAW_MODULUS = 1 << 61  # numbers that a decision is drawn from


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """What is wrong with a link; shares are of its datagrams."""

    loss: float = 0.0
    delay: float = 0.0  # s on top of the usual
    jitter: float = 0.0  # s, drawn up to that; so datagrams pass one another
    duplicate: float = 0.0
    corrupt: float = 0.0

    def __bool__(self) -> bool:
        return any((self.loss, self.delay, self.jitter, self.duplicate, self.corrupt))


NO_FAULTS = LinkFaults()
Link = tuple[int, int]
DeliveryPlan = list[
    tuple[float, int]
]  # of a datagram: each copy's delay in s, and its bit that is turned or -1


@dataclass
class Network:
    """The links between members, by their numbers.

    Attributes:
        base_delay_range: of a datagram on a link without faults, s.
        link_faults: of single links; default_faults: of all others.
        cuts: links on which nothing passes, and how many faults cut each.
        partitions: each a list of groups that can't reach one another.
        counts: datagrams on each link.
        lost: datagrams that never arrived.
        on_datagram: is shown each datagram.
        transcript: takes a line for each decision.
        recorded_plans: decisions of a recording, by link and number.
    """

    seed: int
    base_delay_range: tuple[float, float] = BASE_DELAY_RANGE_S
    link_faults: dict[Link, LinkFaults] = field(default_factory=dict)
    default_faults: LinkFaults = NO_FAULTS
    cuts: dict[Link, int] = field(default_factory=dict)  # one way, and how many faults hold it
    partitions: list[list[frozenset[int]]] = field(
        default_factory=list
    )  # groups that can't reach one another
    counts: dict[Link, int] = field(default_factory=dict)
    lost: int = 0
    on_datagram: Callable[[bytes], None] | None = None  # is shown each datagram
    transcript: TextIO | None = None  # a line for each decision
    recorded_plans: dict[tuple[int, int, int], DeliveryPlan] = field(
        default_factory=dict
    )  # by link and number

    def cut(self, senders: Iterable[int], receivers: Iterable[int], by: int = 1) -> None:
        """Cut all links from these senders to these receivers; by -1: mend them."""
        receivers = list(receivers)
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    count = self.cuts.get((sender, receiver), 0) + by
                    if count > 0:
                        self.cuts[sender, receiver] = count
                    else:
                        self.cuts.pop((sender, receiver), None)

    def is_open(self, sender: int, receiver: int) -> bool:
        """Return whether anything passes from one to the other."""
        if (sender, receiver) in self.cuts:
            return False
        return all(
            any(sender in group and receiver in group for group in groups) for groups in self.partitions
        )

    def carry(self, sender: int, receiver: int, data: bytes, now: float) -> list[tuple[float, bytes]]:
        """Return the copies of a datagram that arrive, each with its delay, s; none: it is lost."""
        if self.on_datagram is not None:
            self.on_datagram(data)
        link = sender, receiver
        number = self.counts[link] = self.counts.get(link, 0) + 1
        plan = self.recorded_plans.get((sender, receiver, number))
        if plan is None:
            plan = self._plan_delivery(sender, receiver, number, len(data))
        if not plan:
            self.lost += 1
        if self.transcript is not None:
            line = [round(now, 4), sender, receiver, number, len(data), plan]
            self.transcript.write(json.dumps(line) + "\n")
        return [(wait, data if place < 0 else flip_bit(data, place)) for wait, place in plan]

    def _plan_delivery(self, sender: int, receiver: int, number: int, size: int) -> DeliveryPlan:
        if not self.is_open(sender, receiver):
            return []
        faults = self.link_faults.get((sender, receiver)) or self.default_faults
        drawn = (
            hash((self.seed, sender, receiver, number)) % DRAW_MODULUS
        )  # of whole numbers: the same everywhere
        minimum, maximum = self.base_delay_range
        base_delay = minimum + (maximum - minimum) * drawn / DRAW_MODULUS
        if not faults:
            return [(base_delay, -1)]
        random = Random(drawn)
        if random.random() < faults.loss:
            return []
        plan = []
        for _ in range(2 if random.random() < faults.duplicate else 1):
            wait = base_delay + faults.delay + random.uniform(0, faults.jitter)
            spoilt = random.random() < faults.corrupt
            plan.append((wait, random.randrange(size * 8) if spoilt else -1))
        return plan

    def load_recording(self, file: Path) -> None:
        """Decide as a recording says, datagram by datagram, and by itself beyond its end.

        Raises:
            ValueError: with file and line, where it is no recording.
        """
        for place, line in enumerate(file.read_text(encoding="utf-8").splitlines(), 1):
            try:
                _, sender, receiver, number, _, plan = json.loads(line)
                self.recorded_plans[sender, receiver, number] = [
                    (float(wait), int(bit)) for wait, bit in plan
                ]
            except (ValueError, TypeError) as fault:
                text = f"{file}:{place}: no decision: {fault}; record the run again"
                raise ValueError(text) from None


def flip_bit(data: bytes, bit: int) -> bytes:
    """Return the data with one bit turned."""
    at = bit // 8 % len(data)
    return data[:at] + bytes((data[at] ^ 1 << bit % 8,)) + data[at + 1 :]
