"""Script of a run: its faults, with their start and duration, in virtual time or on real processes.

    members = 12                     # p0 to p11
    seconds = 40.0
    [[fault]]
    at = 5.0                         # s from the start of the script ...
    do = "kill"
    who = ["p3"]
    [[fault]]
    when = "p3 is dead"              # ... or an event: NAME is STATE in any member's view, or "settled"
    after = 0.5                      # s after the event
    do = "partition"
    groups = ["p0-p5", "p6-p11"]
    lasts = 10.0

`python -m harness.fleet schema` prints the JSON Schema. Errors name the file, the line and what to write.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from harness.fleet.network import LinkFaults, Network
from service_proxy.operator_file.reader import OperatorError, Problem, TableReader, between, key

MAX_FAULTS = 1000
MIN_GROUPS = 2  # minimum number of groups of a partition
ACTIONS = {
    "kill": "SIGKILL; with `lasts`, a new process starts after this time",
    "term": "SIGTERM; with `lasts`, a new process starts after this time",
    "stop": "SIGSTOP, and SIGCONT after `lasts`",
    "start": "a new process, if the former one was killed, ended or never started",
    "restart": "SIGKILL, and at once a new process of the same name",
    "rename": "SIGKILL, and a new process at the same address with the name `name`",
    "loss": "`share` of the datagrams between `who` and all other members is lost",
    "delay": "`by` s on each datagram of `who`, and up to `share` s of jitter, which reorders datagrams",
    "duplicate": "`share` of the datagrams of `who` is delivered twice",
    "corrupt": "`share` of the datagrams of `who` has a bit flipped",
    "cut": "no datagram from `who` reaches `to`",
    "partition": "`groups` can't reach one another",
    "clock": "the clock that the program reads in `who` jumps by `by` s; `name` = wall or monotonic",
    "storm": "`share` datagrams per second, garbage and another fleet's, are sent to `who`",
    "reset": "all TCP connections of `who` to its servers are reset",
    "silence": "no data passes on the TCP connections between `who` and its servers",
    "drain": "the list has the servers `who` (n0, n1, ...) as draining; with `lasts`, then as ready again",
}
LASTING_ACTIONS = frozenset(
    ("loss", "delay", "duplicate", "corrupt", "cut", "partition", "silence", "storm", "stop")
)
EVENT_PATTERN = re.compile(r"settled|([A-Za-z0-9_-]+) is (alive|suspect|dead|left)")
MEMBER_RANGE = re.compile(r"([A-Za-z_]+)(\d+)-\1(\d+)")


def _find_action_problem(value: str) -> str | None:
    return None if value in ACTIONS else "must be one of " + ", ".join(ACTIONS)


def _find_event_problem(value: str) -> str | None:
    return (
        None
        if not value or EVENT_PATTERN.fullmatch(value)
        else 'must be "settled" or such as "p7 is suspect"'
    )


@dataclass(frozen=True, slots=True)
class ScriptedFault:
    """One [[fault]] of a script."""

    do: str = key(str, '"kill" (or another of: ' + ", ".join(ACTIONS) + ")", check=_find_action_problem)
    at: float = key(float, "5.0", -1.0, between(0, 3600))
    when: str = key(str, '"p7 is suspect"', "", _find_event_problem)
    after: float = key(float, "0.5 (s after `when`)", 0.0, between(0, 600))
    who: tuple[str, ...] = key(tuple, '["p3", "p5-p9"] (or ["all"])', ())
    to: tuple[str, ...] = key(tuple, '["p4"]', ())
    groups: tuple[str, ...] = key(tuple, '["p0-p5", "p6-p11"]', ())
    lasts: float = key(float, "10.0", 0.0, between(0, 3600))
    share: float = key(float, "0.2", 0.0, between(0, 100_000))
    by: float = key(float, "-3600.0", 0.0, between(-1e9, 1e9))
    name: str = key(str, '"p4"', "")


@dataclass(frozen=True, slots=True)
class ScriptHeader:
    """The keys before the first [[fault]]."""

    members: int = key(int, "12", 12, between(1, 100_000))
    seconds: float = key(float, "40.0", 40.0, between(0.1, 3600))
    seed: int = key(int, "1", 1, between(0, 1 << 62))


@dataclass(frozen=True, slots=True)
class FaultScript:
    """A parsed script."""

    header: ScriptHeader
    faults: tuple[ScriptedFault, ...] = field(default=())


def parse_script(text: str, file: str = "script.toml") -> FaultScript:
    """Return the script.

    Raises:
        OperatorError: the script is invalid; lists all problems, each with its line.
    """
    try:
        raw = tomllib.loads(text)
    except ValueError as error:
        raise OperatorError(
            [Problem(file, 1, "C002", f"is not TOML: {error}", "correct this line")]
        ) from None
    reader = TableReader(file, text)
    tables = raw.pop("fault", [])
    top = reader.read_table(ScriptHeader, raw, ())
    faults = []
    if not isinstance(tables, list) or len(tables) > MAX_FAULTS:
        reader.add_problem(("fault",), "S104", "fault is not a list of tables", "write [[fault]] before each")
        tables = []
    for number, item in enumerate(tables):
        path = ("fault", str(number))
        fault = reader.read_table(ScriptedFault, item, path)
        if fault is not None and top is not None:
            faults.append(fault)
            _check(reader, path, fault, top.members)
    if reader.problems or top is None:
        raise OperatorError(reader.problems)
    return FaultScript(top, tuple(faults))


def _check(reader: TableReader, path: tuple[str, ...], fault: ScriptedFault, members: int) -> None:
    if (fault.at >= 0) == bool(fault.when):
        reader.add_problem(path, "S107", "a fault has either `at` or `when`", "write at = 5.0")
    if fault.do == "partition":
        if len(fault.groups) < MIN_GROUPS:
            reader.add_problem(
                path, "S103", "a partition has two groups or more", 'write groups = ["p0-p5", "p6"]'
            )
    elif not fault.who:
        reader.add_problem(path, "S103", f"{fault.do} has no `who`", 'write who = ["p3"]')
    if fault.do == "cut" and not fault.to:
        reader.add_problem(path, "S103", "cut has no `to`", 'write to = ["p4"]')
    if fault.do in LASTING_ACTIONS and not fault.lasts:
        reader.add_problem(path, "S103", f"{fault.do} has no `lasts`", "write lasts = 5.0")
    if fault.do != "drain":
        _check_members(reader, path, fault, members)


def _check_members(reader: TableReader, path: tuple[str, ...], fault: ScriptedFault, members: int) -> None:
    for name in ("who", "to", "groups"):
        for item in getattr(fault, name):
            try:
                member_numbers(item.split(","), members)
            except ValueError as error:
                reader.add_problem((*path, name), "S105", f"{item!r}: {error}", 'write "p3" or "p5-p9"')


def member_numbers(names: Iterable[str], members: int) -> list[int]:
    """Return the numbers of the members that names such as `p3`, `p5-p9` and `all` stand for.

    Raises:
        ValueError: there is no such member.
    """
    numbers: list[int] = []
    for name in names:
        member_range = MEMBER_RANGE.fullmatch(name)
        if name == "all":
            numbers += range(members)
        elif member_range:
            numbers += range(int(member_range[2]), int(member_range[3]) + 1)
        elif re.fullmatch(r"[A-Za-z_]+\d+", name):
            numbers.append(int(name.lstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_")))
        else:
            raise ValueError("is not a member")
    if any(number >= members for number in numbers):
        raise ValueError(f"the members are 0 to {members - 1}")
    return numbers


class FaultTarget(Protocol):
    """Interface of a fleet on which a script is played."""

    network: Network

    @property
    def names(self) -> Sequence[str]:
        """Current names of the members."""

    def schedule(self, wait: float, callback: Callable[[], None]) -> None:
        """Call a function after `wait` seconds."""

    def kill(self, number: int) -> None:
        """Kill a process."""

    def terminate(self, number: int) -> None:
        """Terminate a process gracefully."""

    def start(self, number: int, name: str = "") -> None:
        """Start a process, with another name if one is given."""

    def suspend(self, number: int) -> None:
        """Suspend a process."""

    def resume(self, number: int) -> None:
        """Resume a suspended process."""

    def adjust_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        """Move a process's clocks by some seconds."""

    def flood(self, number: int, rate: float, lasts: float) -> None:
        """Send `rate` useless datagrams per second to a member for `lasts` seconds."""

    def reset_connections(self, number: int) -> None:
        """Reset a member's TCP connections."""

    def set_silent(self, number: int, on: bool) -> None:
        """Stop or resume all traffic on a member's TCP connections."""

    def set_draining(self, server: str, on: bool) -> None:
        """List an endpoint as draining or as ready in the endpoint lists."""


class FaultPlayer:
    """Player of a script's faults; an observer of the views reports the events to it."""

    def __init__(
        self, script: FaultScript, target: FaultTarget, on_line: Callable[[str], None] | None = None
    ) -> None:
        self.script = script
        self.target = target
        self.on_line = on_line or (lambda _line: None)
        self.waiting_faults: list[ScriptedFault] = []
        self.played = 0
        self.active_faults = 0  # number of faults that have not ended yet

    def start(self) -> None:
        """Schedule all faults that have a time."""
        for fault in self.script.faults:
            if fault.when:
                self.waiting_faults.append(fault)
            else:
                self.target.schedule(fault.at, lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    def on_event(self, event: str) -> None:
        """Schedule the faults that wait for an event: `p7 is dead` in any member's view, or `settled`."""
        for fault in [fault for fault in self.waiting_faults if fault.when == event]:
            self.waiting_faults.remove(fault)
            self.target.schedule(fault.after, lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    @property
    def is_finished(self) -> bool:
        """Whether all faults were played and have ended."""
        return not self.active_faults and self.played >= len(self.script.faults)

    def apply(self, fault: ScriptedFault) -> None:
        """Play a fault now, and schedule its end."""
        self.played += 1
        target = self.target
        members = self.script.header.members
        self.on_line(f"{fault.do} {' '.join(fault.who or fault.groups)}")
        undo: list[Callable[[], None]] = []
        if fault.do == "drain":
            for server in fault.who:
                target.set_draining(server, True)
                undo.append(lambda server=server: target.set_draining(server, False))  # type: ignore[misc]
        elif fault.do == "partition":
            groups = [frozenset(member_numbers(group.split(","), members)) for group in fault.groups]
            target.network.partitions.append(groups)
            undo.append(lambda: target.network.partitions.remove(groups))
        elif fault.do == "cut":
            who = member_numbers(fault.who, members)
            to = member_numbers(fault.to, members)
            target.network.cut(who, to)
            undo.append(lambda: target.network.cut(who, to, -1))
        elif fault.do in ("loss", "delay", "duplicate", "corrupt"):
            undo += self._apply_link_faults(fault, member_numbers(fault.who, members))
        else:
            for number in member_numbers(fault.who, members):
                undo += self._apply_to_member(fault, number)
        if fault.lasts:
            self.active_faults += 1
            target.schedule(fault.lasts, lambda: self._end(fault, undo))

    def _end(self, fault: ScriptedFault, undo: list[Callable[[], None]]) -> None:
        self.active_faults -= 1
        self.on_line(f"end of {fault.do} {' '.join(fault.who or fault.groups)}")
        for step in undo:
            step()

    def _apply_link_faults(self, fault: ScriptedFault, who: list[int]) -> list[Callable[[], None]]:
        network = self.target.network
        members = self.script.header.members
        changes: dict[str, Any]
        if fault.do == "delay":
            changes = {"delay": fault.by, "jitter": fault.share}
        else:
            changes = {fault.do: fault.share}
        clear = {name: 0.0 for name in changes}
        if len(who) == members:
            network.default_faults = replace(network.default_faults, **changes)

            def restore() -> None:
                network.default_faults = replace(network.default_faults, **clear)

            return [restore]
        links = [
            (one, other)
            for one in range(members)
            for other in range(members)
            if one != other and (one in who or other in who)
        ]
        for link in links:
            network.link_faults[link] = replace(network.link_faults.get(link, LinkFaults()), **changes)

        def restore_links() -> None:
            for link in links:
                network.link_faults[link] = replace(network.link_faults.get(link, LinkFaults()), **clear)

        return [restore_links]

    def _apply_to_member(self, fault: ScriptedFault, number: int) -> list[Callable[[], None]]:
        """Play a fault on one member; return the functions that end it."""
        target = self.target
        match fault.do:
            case "kill" | "term":
                (target.kill if fault.do == "kill" else target.terminate)(number)
                return [lambda: target.start(number)]
            case "restart":
                target.kill(number)
                target.start(number)
            case "start":
                target.start(number)
            case "rename":
                return self._rename(fault, number)
            case "stop":
                target.suspend(number)
                return [lambda: target.resume(number)]
            case "clock":
                monotonic, wall = (fault.by, 0.0) if fault.name == "monotonic" else (0.0, fault.by)
                target.adjust_clock(number, monotonic=monotonic, wall=wall)
            case _:
                return self._apply_to_connections(fault, number)
        return []

    def _rename(self, fault: ScriptedFault, number: int) -> list[Callable[[], None]]:
        target = self.target
        former_name = target.names[number]
        target.kill(number)
        target.start(number, fault.name)
        if not fault.lasts:
            return []
        return [lambda: target.kill(number), lambda: target.start(number, former_name)]

    def _apply_to_connections(self, fault: ScriptedFault, number: int) -> list[Callable[[], None]]:
        target = self.target
        if fault.do == "storm":
            target.flood(number, fault.share, fault.lasts)
        elif fault.do == "reset":
            target.reset_connections(number)
        elif fault.do == "silence":
            target.set_silent(number, True)
            return [lambda: target.set_silent(number, False)]
        return []
