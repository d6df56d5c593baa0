"""Which backends are out by hand, as an overlay on the list. Pure: who asks brings the time.

A backend that is out drains, whatever a source lists; one that was put back is taken to have started at that
moment, for it was most likely restarted meanwhile and the list tells so late. So the module's own rules on
drains and cold servers hold for both.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from service_proxy.net.listing import Listed, Listing
from service_proxy.policy.events import EndpointState

MOST_OUT = 4096  # backends out by hand; a site has hundreds at most
LONGEST_NAME = 256  # bytes of a backend's name in the staff's calls


class Unknown(Exception):
    """No source lists a backend of this name, and none of it is out."""


class Maintenance:
    """Times are wall times in s, since they outlive the process; `wall_offset`: wall less monotonic, s."""

    def __init__(self, wall_offset: float, cold_for: float) -> None:
        """`cold_for`: s for which a backend that came back counts as cold."""
        self.wall_offset = wall_offset
        self.cold_for = cold_for
        self.out: dict[str, float] = {}  # since when, by name
        self.back: dict[str, float] = {}  # put back when
        self.listed: dict[str, Listed] = {}  # as the sources have them now
        self.owed: set[str] = set()  # put back while no source listed them as serving

    # what the staff ask for
    def take_out(self, name: str, now: float) -> Listing:
        """What changes by it. Raises Unknown. A second call for the same backend changes nothing."""
        self._known(name)
        if name not in self.out:
            if len(self.out) >= MOST_OUT:
                raise Unknown
            self.out[name] = now
            self.back.pop(name, None)
            self.owed.discard(name)
        return self._changed([name])

    def put_back(self, name: str, now: float) -> Listing:
        """However often it was taken out. Raises Unknown."""
        self._known(name)
        if self.out.pop(name, None) is None:
            return self._changed([])
        return self._returned([name], {name: now})

    def _known(self, name: str) -> None:
        if name not in self.listed and name not in self.out:
            raise Unknown

    # lists
    def overlay(self, listing: Listing) -> Listing:
        """The list as it is in force."""
        if listing.whole:
            self.listed = {}
        for listed in listing.backends:
            if listed.entry.state is EndpointState.REMOVED:
                self.listed.pop(listed.name, None)
            else:
                self.listed[listed.name] = listed
        if not self.out and not self.back:
            return listing
        return Listing(listing.version, listing.whole, [self._in_force(b) for b in listing.backends])

    def _returned(self, names: list[str], back: dict[str, float]) -> Listing:
        self.back |= back
        self.owed.update(names)
        return self._changed(names)

    def _in_force(self, listed: Listed) -> Listed:
        entry = listed.entry
        if listed.name in self.out:
            if entry.state is not EndpointState.SERVING:
                return listed
            return replace(listed, entry=replace(entry, state=EndpointState.DRAINING))
        back = self.back.get(listed.name)
        if back is None:
            return listed
        started_at = max(entry.started_at, back - self.wall_offset)
        wanted = entry.state is EndpointState.SERVING and listed.name in self.owed
        if wanted:
            self.owed.discard(listed.name)
        return replace(listed, entry=replace(entry, started_at=started_at, reinstated=wanted))

    def _changed(self, names: Iterable[str]) -> Listing:
        found = [self.listed[name] for name in names if name in self.listed]
        return Listing(0, False, [self._in_force(listed) for listed in found])

    def down(self, avoided: set[int]) -> int:
        """Listed backends that get nothing, by hand or since the module avoids them."""
        return sum(1 for name, b in self.listed.items() if name in self.out or b.entry.endpoint_id in avoided)

    # from one process to the next
    def restore(self, out: Mapping[str, float]) -> None:
        """Who was out before, by a record that outlives the machine; what is known here counts first."""
        for name, since in out.items():
            if name not in self.back and len(self.out) < MOST_OUT:
                self.out.setdefault(name, since)

    def written(self, now: float) -> str:
        """What `taken` reads, here or in the process that follows."""
        self.back = {name: at for name, at in self.back.items() if now - at < self.cold_for}
        return json.dumps({"version": 1, "out": self.out, "back": self.back})

    def taken(self, text: str) -> Listing:
        """Takes over what was written, also by another process; what changes by it. Raises ValueError, and
        then nothing has changed."""
        raw = json.loads(text)
        if not isinstance(raw, Mapping) or raw.get("version") != 1:
            raise ValueError("not a record of maintenance")
        out = _times(raw.get("out"))
        back = _times(raw.get("back"))
        taken_out = [name for name in out if name not in self.out]
        put_back = [name for name, at in back.items() if self.back.get(name) != at]
        self.out = out
        self.back = {}
        self.owed -= out.keys()
        gone = self._changed(taken_out)
        return Listing(0, False, gone.backends + self._returned(put_back, back).backends)


def _times(raw: Any) -> dict[str, float]:
    if not isinstance(raw, Mapping) or len(raw) > MOST_OUT:
        raise ValueError("not a record of maintenance")
    return {str(name): float(at) for name, at in raw.items()}
