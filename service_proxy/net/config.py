"""The configuration of one proxy: EDGE_* and the JSON file, read into one typed object."""

from __future__ import annotations

import json
import resource
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from service_proxy.net.limits import LEAST_SOCKETS
from service_proxy.net.listing import Address, address
from service_proxy.policy.events import Idempotency, Settings
from service_proxy.settings import read_settings

T = TypeVar("T")
ADDRESS = "host:port, with the host as a number"


class ConfigError(Exception):
    """The configuration can't be used; the message is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that the process may hold
    memory_mb: float
    known: Mapping[str, Any]  # the list of backends as last held, in discovery's form
    settings: Settings
    forms: Mapping[
        str, Idempotency
    ]  # what requests of a class look like, where they are treated as another's
    console: Address | None = None  # the second address, for the staff's calls; None: those parts are off
    raw: Mapping[str, Any] = field(default_factory=dict, compare=False)  # the file, to hold a new one against

    @property
    def peers(self) -> Peers:
        """Read when it is wanted: a proxy that speaks to no peer does not mind what stands there. Raises
        ValueError."""
        listen = self.raw.get("peer_listen")
        named = self.raw.get("peers") or []
        if not isinstance(named, list):
            raise ValueError("peers is no list")
        everyone = self.raw.get("peers_all")
        return Peers(
            address(listen) if listen else None,
            tuple(address(item) for item in named),
            address(everyone) if everyone else None,
        )

    @property
    def tier(self) -> str:
        """The name of its tier."""
        names = (self.raw.get("settings") or {}).get("stages") or []
        stage = self.settings.tier_index
        return str(names[stage]) if isinstance(names, list) and stage < len(names) else f"tier{stage}"


@dataclass(frozen=True, slots=True)
class Peers:
    """Where other proxies may be spoken to, as PROTOCOL has it; all empty where the platform names none."""

    listen: Address | None
    all: tuple[Address, ...]  # one for each proxy of the tier, its own among them
    everyone: Address | None = None  # one that reaches all of these


def flatten(value: object, path: str = "", into: dict[str, str] | None = None) -> dict[str, str]:
    """The settings object as the simulator's flat path=value pairs, so that both have one reader."""
    pairs = {} if into is None else into
    if isinstance(value, dict):
        if not value and path:
            pairs[path] = "{}"  # no value, and not left out either
        for key, item in value.items():
            flatten(item, f"{path}.{key}" if path else str(key), pairs)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        pairs[path + ".count"] = str(len(value))
        for number, item in enumerate(value):
            flatten(item, f"{path}.{number}", pairs)
    elif isinstance(value, list):
        pairs[path] = ",".join(str(item) for item in value)
        if not value:
            pairs[path + ".count"] = "0"
    elif isinstance(value, bool):
        pairs[path] = "true" if value else "false"
    elif value is not None:
        pairs[path] = str(value)
    return pairs


def _value(key: str, value: object, read: Callable[[Any], T], instead: str) -> T:
    """Raises ValueError, with the key and what to write."""
    try:
        return read(value)
    except (ValueError, TypeError, AttributeError, OverflowError):
        raise ValueError(f"{key} can't be used: {value!r}; write {instead}") from None


def _forms(raw: dict[str, str]) -> dict[str, Idempotency]:
    return {str(name): Idempotency(effect) for name, effect in raw.items()}


def _seed(text: object) -> int:
    return int(text, 16) if isinstance(text, str) else int(str(text))


def read_text(environ: Mapping[str, str]) -> str:
    """The file that EDGE_CONFIG names, as it is now. Raises OSError or ValueError."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ValueError("EDGE_CONFIG is not set")
    return Path(path).read_text(encoding="utf-8")


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    raw = json.loads(read_text(environ))
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ValueError("the file holds no settings object")
    return raw


UNREADABLE = (OSError, ValueError, TypeError, AttributeError, RecursionError)  # of a file and what it holds


def config_error(fault: Exception) -> ConfigError:
    return ConfigError(" ".join(f"bad configuration: {fault}".split()))


def load(environ: Mapping[str, str]) -> Config:
    """Reads the file that EDGE_CONFIG names; the other variables override what it says."""
    try:
        return read_config(_read_file(environ), environ)
    except UNREADABLE as fault:
        raise config_error(fault) from None


def read_config(raw: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """From the JSON's object. Raises ValueError, TypeError, AttributeError or RecursionError."""
    known = raw.get("known") or {}
    limits = raw.get("limits") or {}
    if not isinstance(known, dict) or not isinstance(limits, dict):
        raise ValueError("known and limits can't be used; write an object of each, or leave it out")
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft == resource.RLIM_INFINITY:
        soft = 1 << 20
    sockets = min(_value("limits.sockets", limits.get("sockets", soft), int, "a whole number"), soft)
    if sockets < LEAST_SOCKETS:
        raise ValueError(f"limits.sockets is too little: {sockets}; write {LEAST_SOCKETS} or more")
    memory_mb = _value("limits.memory_mb", limits.get("memory_mb", 192), float, "a number")
    if not 0 < memory_mb < 1 << 30:
        raise ValueError(f"limits.memory_mb is out of range: {memory_mb}; write more than 0")
    console = environ.get("EDGE_CONSOLE") or raw.get("console")
    listen = environ.get("EDGE_LISTEN") or raw.get("listen")
    discovery = environ.get("EDGE_DISCOVERY") or raw.get("discovery")
    return Config(
        name=environ.get("EDGE_NAME") or str(raw.get("name", "")),
        listen=_value("listen (EDGE_LISTEN)", listen, address, ADDRESS),
        discovery=_value("discovery (EDGE_DISCOVERY)", discovery, address, ADDRESS),
        seed=_value("seed", raw.get("seed", 0), _seed, "a whole number, or a text of hexadecimal digits"),
        sockets=sockets,
        memory_mb=memory_mb,
        known=known,
        settings=read_settings(flatten(raw["settings"])),
        console=_value("console (EDGE_CONSOLE)", console, address, ADDRESS) if console else None,
        raw=raw,
        forms=_value("forms", raw.get("forms") or {}, _forms, "{class: repeatable, by_key or once}"),
    )


def reread_discovery(environ: Mapping[str, str]) -> Address:
    """The address of discovery as the file has it now. EDGE_DISCOVERY does not override it: a process keeps
    the variables it was started with, so a reload could never change anything."""
    try:
        return _value("discovery", _read_file(environ).get("discovery"), address, ADDRESS)
    except (OSError, ValueError, RecursionError) as fault:
        raise config_error(fault) from None
