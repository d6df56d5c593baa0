"""Callers that come back: each wish is a first try and what follows it, by a temper of its own.

They mark their repeats as the platform says. A request that may have run is sent again only where its class
allows it; an unsafe one is then given up by its caller.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from rigs.callers import Callers, Class
from rigs.ledger import REFUSED

TEMPERS = ("obeys", "half", "ignores", "waves")
WAVE = 4.0  # s between two moments at which those of the waves come, all together
PATIENCE = 30.0  # s for which a wish is pursued
AGAIN = "X-Again: 1"


@dataclass(slots=True)
class Wish:
    """What one caller wants."""

    cls: Class
    key: str
    begun: float
    temper: str
    tries: int = 1
    codes: tuple[int, ...] = ()
    over: float = math.nan  # when


class Persistent(Callers):
    def __init__(self, *of: Any, tempers: tuple[str, ...] = TEMPERS) -> None:
        super().__init__(*of)
        self.tempers = tempers
        self.wishes: list[Wish] = []
        self.pursued: dict[str, Wish] = {}  # by the id of the try that is out
        self.advised: dict[str, float] = {}  # s, by the id of the try
        self.stopped = False

    def send(self, cls: Class, key: str = "", more: str = "", of: str = "") -> str:
        """A first try."""
        call = super().send(cls, key, more, of)
        wish = Wish(cls, key or call, self.loop.time(), self.random.choice(self.tempers))
        self.wishes.append(wish)
        self.pursued[call] = wish
        return call

    def _over(self, call: str, code: int) -> None:
        super()._over(call, code)
        wish = self.pursued.pop(call, None)
        if wish is None:
            return
        now = self.loop.time()
        wish.codes += (code,)
        again = code in REFUSED or code == -1 or (wish.cls.effect.kind != "once" and code in (0, 502, 504))
        wait = self._wait(wish.temper, code, self.advised.pop(call, 0.0), now)
        if not again or self.stopped or now + wait > wish.begun + PATIENCE:
            wish.over = now
        else:
            self.loop.call_later(wait, self._again, wish)

    def _wait(self, temper: str, code: int, advice: float, now: float) -> float:
        if code == -1:  # nobody listens
            return self.random.uniform(0.5, 1.5)
        if temper == "waves":
            return WAVE - now % WAVE
        if temper == "ignores" or not advice:
            return self.random.uniform(0.1, 0.4)
        return advice * (0.5 if temper == "half" else 1.0)

    def _again(self, wish: Wish) -> None:
        if self.stopped:
            return
        wish.tries += 1
        key = wish.key if wish.cls.effect.kind == "by_key" else ""
        self.pursued[super().send(wish.cls, key, AGAIN)] = wish

    def ended(self, call: str, at: float, code: int, left: bool = False, advice: float = 0.0) -> None:
        self.advised[call] = advice
        super().ended(call, at, code, left, advice)
