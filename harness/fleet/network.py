"""What a network does to datagrams: one decision for each, by seed, link and the datagram's number there.

Used by the bed in virtual time and by the relay between real processes alike. A decision hangs on nothing but
these three and the faults in force, so that a transcript of a run says what another one will do.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TextIO

USUAL = (0.0002, 0.001)  # s of a datagram's way
DRAWN = 1 << 61  # numbers that a decision is drawn from


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
Fate = list[tuple[float, int]]  # of a datagram: each copy's delay in s, and its bit that is turned or -1


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
    transcript: TextIO | None = None  # a line for each decision
    replayed: dict[tuple[int, int, int], Fate] = field(default_factory=dict)  # by link and number

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
        fate = self.replayed.get((sender, receiver, number))
        if fate is None:
            fate = self._decide(sender, receiver, number, len(data))
        if not fate:
            self.lost += 1
        if self.transcript is not None:
            line = [round(now, 4), sender, receiver, number, len(data), fate]
            self.transcript.write(json.dumps(line) + "\n")
        return [(wait, data if place < 0 else turned(data, place)) for wait, place in fate]

    def _decide(self, sender: int, receiver: int, number: int, size: int) -> Fate:
        if not self.open(sender, receiver):
            return []
        weather = self.weather.get((sender, receiver)) or self.everywhere
        drawn = hash((self.seed, sender, receiver, number)) % DRAWN  # of whole numbers: the same everywhere
        least, most = self.usual
        usual = least + (most - least) * drawn / DRAWN
        if not weather:
            return [(usual, -1)]
        random = Random(drawn)
        if random.random() < weather.loss:
            return []
        fate = []
        for _ in range(2 if random.random() < weather.duplicate else 1):
            wait = usual + weather.delay + random.uniform(0, weather.jitter)
            spoilt = random.random() < weather.corrupt
            fate.append((wait, random.randrange(size * 8) if spoilt else -1))
        return fate

    def replay(self, file: Path) -> None:
        """Decides as a transcript says, datagram by datagram, and by itself beyond its end. Raises ValueError
        with file and line."""
        for place, line in enumerate(file.read_text(encoding="utf-8").splitlines(), 1):
            try:
                _, sender, receiver, number, _, fate = json.loads(line)
                self.replayed[sender, receiver, number] = [(float(wait), int(bit)) for wait, bit in fate]
            except (ValueError, TypeError) as fault:
                text = f"{file}:{place}: no decision: {fault}; record the run again"
                raise ValueError(text) from None


def turned(data: bytes, place: int) -> bytes:
    """With one bit turned."""
    at = place // 8 % len(data)
    return data[:at] + bytes((data[at] ^ 1 << place % 8,)) + data[at + 1 :]
