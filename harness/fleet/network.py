"""Model of a network's faults: one delivery plan for each datagram, from seed, link and its number there.

The virtual fleet and the relay between real processes both use it. A plan depends on nothing but these three
values and the active faults, so a recorded run can be replayed in another run.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TextIO

BASE_DELAY_RANGE_S = (0.0002, 0.001)  # s of a datagram's delay
DRAW_MODULUS = 1 << 61  # number of possible values of the random draw for a plan


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """Faults of one link; shares refer to its datagrams."""

    loss: float = 0.0
    delay: float = 0.0  # s in addition to the base delay
    jitter: float = 0.0  # s, maximum of an additional random delay; datagrams can overtake one another
    duplicate: float = 0.0
    corrupt: float = 0.0

    def __bool__(self) -> bool:
        return any((self.loss, self.delay, self.jitter, self.duplicate, self.corrupt))


NO_FAULTS = LinkFaults()
Link = tuple[int, int]
# Delivery plan of a datagram: for each copy its delay in s, and its flipped bit or -1.
DeliveryPlan = list[tuple[float, int]]


@dataclass
class Network:
    """Links between members, which are identified by their numbers.

    Attributes:
        base_delay_range: delay of a datagram on a link without faults, s.
        link_faults: faults of single links; default_faults: faults of all other links.
        cuts: links that deliver nothing, each with the number of faults that cut it.
        partitions: lists of groups between which nothing is delivered.
        counts: number of datagrams by link.
        lost: number of datagrams that were not delivered.
        on_datagram: called with each datagram.
        transcript: receives a line for each plan.
        recorded_plans: plans of a recording, by link and number.
    """

    seed: int
    base_delay_range: tuple[float, float] = BASE_DELAY_RANGE_S
    link_faults: dict[Link, LinkFaults] = field(default_factory=dict)
    default_faults: LinkFaults = NO_FAULTS
    # One-way links, each with the number of faults that cut it.
    cuts: dict[Link, int] = field(default_factory=dict)
    # Groups between which nothing is delivered.
    partitions: list[list[frozenset[int]]] = field(default_factory=list)
    counts: dict[Link, int] = field(default_factory=dict)
    lost: int = 0
    on_datagram: Callable[[bytes], None] | None = None  # called with each datagram
    transcript: TextIO | None = None  # receives a line for each plan
    # Plans by link and number.
    recorded_plans: dict[tuple[int, int, int], DeliveryPlan] = field(default_factory=dict)

    def cut(self, senders: Iterable[int], receivers: Iterable[int], by: int = 1) -> None:
        """Cut all links from senders to receivers; with by = -1, undo one such cut."""
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
        """Return whether the link from one member to another delivers datagrams."""
        if (sender, receiver) in self.cuts:
            return False
        return all(
            any(sender in group and receiver in group for group in groups) for groups in self.partitions
        )

    def carry(self, sender: int, receiver: int, data: bytes, now: float) -> list[tuple[float, bytes]]:
        """Return the delivered copies of a datagram, each with its delay in s; no copies if it is lost."""
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
        return [(wait, data if bit < 0 else flip_bit(data, bit)) for wait, bit in plan]

    def _plan_delivery(self, sender: int, receiver: int, number: int, size: int) -> DeliveryPlan:
        if not self.is_open(sender, receiver):
            return []
        faults = self.link_faults.get((sender, receiver)) or self.default_faults
        # The hash of integers is equal in every process.
        drawn = hash((self.seed, sender, receiver, number)) % DRAW_MODULUS
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
            is_corrupted = random.random() < faults.corrupt
            plan.append((wait, random.randrange(size * 8) if is_corrupted else -1))
        return plan

    def load_recording(self, file: Path) -> None:
        """Use a recording's plans for its datagrams; later datagrams get plans of their own.

        Raises:
            ValueError: a line is not a recorded plan; names file and line.
        """
        for line_number, line in enumerate(file.read_text(encoding="utf-8").splitlines(), 1):
            try:
                _, sender, receiver, number, _, plan = json.loads(line)
                self.recorded_plans[sender, receiver, number] = [
                    (float(wait), int(bit)) for wait, bit in plan
                ]
            except (ValueError, TypeError) as fault:
                text = f"{file}:{line_number}: not a recorded delivery: {fault}; record the run again"
                raise ValueError(text) from None


def flip_bit(data: bytes, bit: int) -> bytes:
    """Return the data with one bit flipped."""
    at = bit // 8 % len(data)
    return data[:at] + bytes((data[at] ^ 1 << bit % 8,)) + data[at + 1 :]
