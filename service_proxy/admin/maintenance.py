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

MAX_ENDPOINTS_IN_MAINTENANCE = 4096  # backends out by hand; a site has hundreds at most
MAX_NAME_BYTES = 256  # bytes of a backend's name in the staff's calls


class UnknownEndpointError(Exception):
    """No source lists a backend of this name, and none of it is out."""


class MaintenanceOverlay:
    """Times are wall times in s, since they outlive the process; `wall_offset`: wall less monotonic, s."""

    def __init__(self, wall_offset: float, slow_start_window_s: float) -> None:
        """`cold_for`: s for which a backend that came back counts as cold."""
        self.wall_offset = wall_offset
        self.slow_start_window_s = slow_start_window_s
        self.in_maintenance: dict[str, float] = {}  # since when, by name
        self.reinstated_at: dict[str, float] = {}  # put back when
        self.endpoints: dict[str, Listed] = {}  # as the sources have them now
        self.awaiting_reinstatement: set[str] = set()  # put back while no source listed them as serving

    # what the staff ask for
    def start_maintenance(self, name: str, now: float) -> Listing:
        """What changes by it. Raises Unknown. A second call for the same backend changes nothing."""
        self._known(name)
        if name not in self.in_maintenance:
            if len(self.in_maintenance) >= MAX_ENDPOINTS_IN_MAINTENANCE:
                raise UnknownEndpointError
            self.in_maintenance[name] = now
            self.reinstated_at.pop(name, None)
            self.awaiting_reinstatement.discard(name)
        return self._changed([name])

    def end_maintenance(self, name: str, now: float) -> Listing:
        """However often it was taken out. Raises Unknown."""
        self._known(name)
        if self.in_maintenance.pop(name, None) is None:
            return self._changed([])
        return self._returned([name], {name: now})

    def _known(self, name: str) -> None:
        if name not in self.endpoints and name not in self.in_maintenance:
            raise UnknownEndpointError

    # lists
    def apply(self, listing: Listing) -> Listing:
        """The list as it is in force."""
        if listing.whole:
            self.endpoints = {}
        for listed in listing.backends:
            if listed.entry.state is EndpointState.REMOVED:
                self.endpoints.pop(listed.name, None)
            else:
                self.endpoints[listed.name] = listed
        if not self.in_maintenance and not self.reinstated_at:
            return listing
        return Listing(listing.version, listing.whole, [self._in_force(b) for b in listing.backends])

    def _returned(self, names: list[str], back: dict[str, float]) -> Listing:
        self.reinstated_at |= back
        self.awaiting_reinstatement.update(names)
        return self._changed(names)

    def _in_force(self, listed: Listed) -> Listed:
        entry = listed.entry
        if listed.name in self.in_maintenance:
            if entry.state is not EndpointState.SERVING:
                return listed
            return replace(listed, entry=replace(entry, state=EndpointState.DRAINING))
        back = self.reinstated_at.get(listed.name)
        if back is None:
            return listed
        started_at = max(entry.started_at, back - self.wall_offset)
        wanted = entry.state is EndpointState.SERVING and listed.name in self.awaiting_reinstatement
        if wanted:
            self.awaiting_reinstatement.discard(listed.name)
        return replace(listed, entry=replace(entry, started_at=started_at, reinstated=wanted))

    def _changed(self, names: Iterable[str]) -> Listing:
        found = [self.endpoints[name] for name in names if name in self.endpoints]
        return Listing(0, False, [self._in_force(listed) for listed in found])

    def count_unavailable(self, avoided: set[int]) -> int:
        """Listed backends that get nothing, by hand or since the module avoids them."""
        return sum(
            1
            for name, b in self.endpoints.items()
            if name in self.in_maintenance or b.entry.endpoint_id in avoided
        )

    # from one process to the next
    def restore(self, out: Mapping[str, float]) -> None:
        """Who was out before, by a record that outlives the machine; what is known here counts first."""
        for name, since in out.items():
            if name not in self.reinstated_at and len(self.in_maintenance) < MAX_ENDPOINTS_IN_MAINTENANCE:
                self.in_maintenance.setdefault(name, since)

    def encode_record(self, now: float) -> str:
        """What `apply_record` reads, here or in the process that follows."""
        self.reinstated_at = {
            name: at for name, at in self.reinstated_at.items() if now - at < self.slow_start_window_s
        }
        return json.dumps({"version": 1, "out": self.in_maintenance, "back": self.reinstated_at})

    def apply_record(self, text: str) -> Listing:
        """Takes over what was written, also by another process; what changes by it. Raises ValueError, and
        then nothing has changed."""
        raw = json.loads(text)
        if not isinstance(raw, Mapping) or raw.get("version") != 1:
            raise ValueError("not a record of maintenance")
        out = _times(raw.get("out"))
        back = _times(raw.get("back"))
        taken_out = [name for name in out if name not in self.in_maintenance]
        put_back = [name for name, at in back.items() if self.reinstated_at.get(name) != at]
        self.in_maintenance = out
        self.reinstated_at = {}
        self.awaiting_reinstatement -= out.keys()
        gone = self._changed(taken_out)
        return Listing(0, False, gone.backends + self._returned(put_back, back).backends)


def _times(raw: Any) -> dict[str, float]:
    if not isinstance(raw, Mapping) or len(raw) > MAX_ENDPOINTS_IN_MAINTENANCE:
        raise ValueError("not a record of maintenance")
    return {str(name): float(at) for name, at in raw.items()}
