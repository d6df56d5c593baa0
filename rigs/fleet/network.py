"""What a network does to datagrams: one decision for each, by seed, link and the datagram's number there.

Used by the bed in virtual time and by the relay between real processes alike. A decision hangs on nothing but
these three and the faults in force, so that a transcript of a run says what another one will do.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

USUAL = (0.0002, 0.001)  # s of a datagram's way


@dataclass(frozen=True, slots=True)
class Weather:
    """What is wrong with a link; shares are of its datagrams."""

    loss: float = 0.0
    delay: float = 0.0  # s on top of the usual
    jitter: float = 0.0  # s, drawn up to that; so datagrams pass one another
    duplicate: float = 0.0
    corrupt: float = 0.0

    def __bool__(self) -> bool:
        return any((self.loss, self.delay, self.jitter, self.duplicate, self.corrupt))


CLEAR = Weather()
Link = tuple[int, int]


@dataclass
class Network:
    seed: int
    usual: tuple[float, float] = USUAL
    weather: dict[Link, Weather] = field(default_factory=dict)
    everywhere: Weather = CLEAR
    cuts: dict[Link, int] = field(default_factory=dict)  # one way, and how many faults hold it
    parts: list[list[frozenset[int]]] = field(default_factory=list)  # groups that can't reach one another
    counts: dict[Link, int] = field(default_factory=dict)
    lost: int = 0
    seen: Callable[[bytes], None] | None = None  # is shown each datagram

    def cut(self, senders: Iterable[int], receivers: Iterable[int], by: int = 1) -> None:
        """-1 mends it."""
        receivers = list(receivers)
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    held = self.cuts.get((sender, receiver), 0) + by
                    if held > 0:
                        self.cuts[sender, receiver] = held
                    else:
                        self.cuts.pop((sender, receiver), None)

    def open(self, sender: int, receiver: int) -> bool:
        if (sender, receiver) in self.cuts:
            return False
        return all(any(sender in group and receiver in group for group in groups) for groups in self.parts)

    def carry(self, sender: int, receiver: int, data: bytes, now: float) -> list[tuple[float, bytes]]:
        """The copies of it that arrive, each after so long; none: it is lost."""
        if self.seen is not None:
            self.seen(data)
        link = sender, receiver
        number = self.counts[link] = self.counts.get(link, 0) + 1
        if not self.open(sender, receiver):
            self.lost += 1
            return []
        weather = self.weather.get(link) or self.everywhere
        random = Random(f"{self.seed} {sender} {receiver} {number}")
        usual = random.uniform(*self.usual)
        if not weather:
            return [(usual, data)]
        if random.random() < weather.loss:
            self.lost += 1
            return []
        copies = []
        for _ in range(2 if random.random() < weather.duplicate else 1):
            wait = usual + weather.delay + random.uniform(0, weather.jitter)
            sent = data
            if random.random() < weather.corrupt:
                place = random.randrange(len(data))
                sent = data[:place] + bytes((data[place] ^ 1 << random.randrange(8),)) + data[place + 1 :]
            copies.append((wait, sent))
        return copies
