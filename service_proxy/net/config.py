"""The configuration of one proxy: EDGE_* variables and the JSON file, read into one typed object."""

from __future__ import annotations

import json
import resource
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, TypeVar

from service_proxy.net.endpoint_list import Address, parse_address
from service_proxy.net.errors import NetError
from service_proxy.net.limits import MIN_DESCRIPTORS
from service_proxy.policy.settings_types import Idempotency, Settings
from service_proxy.settings import read_idempotency, read_settings

T = TypeVar("T")
ADDRESS_FORM = "host:port, with the host as a number"
DEFAULT_MEMORY_MB = 192  # where the file names none
MAX_MEMORY_MB = 1 << 30
MAX_DESCRIPTORS = 1 << 20  # where the system names no limit


class ConfigError(NetError):
    """The configuration can't be used; the message is one line."""


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """What one proxy is configured with.

    Attributes:
        seed: of all that is drawn at random.
        max_descriptors: that the process may open.
        cached_endpoints: the endpoint list as last known, in discovery's form.
        request_idempotency: what requests of a class look like, where the policy treats them as another's.
        admin_address: of the admin service; None: it is off.
        raw: the file, to compare a new one with.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    memory_mb: float
    cached_endpoints: Mapping[str, Any]
    settings: Settings
    request_idempotency: Mapping[str, Idempotency]
    admin_address: Address | None = None
    raw: Mapping[str, Any] = field(default_factory=dict, compare=False)

    @property
    def peers(self) -> PeerAddresses:
        """Read the addresses of other proxies.

        Read only where they are used: a proxy that speaks to no peer does not mind what stands there.

        Raises:
            ValueError: one can't be used.
        """
        listen = self.raw.get("peer_listen")
        members = self.raw.get("peers") or []
        if not isinstance(members, list):
            raise ValueError("peers is no list")  # noqa: TRY004 - a wrong value of a file
        broadcast = self.raw.get("peers_all")
        return PeerAddresses(
            parse_address(listen) if listen else None,
            tuple(parse_address(item) for item in members),
            parse_address(broadcast) if broadcast else None,
        )

    @property
    def tier_name(self) -> str:
        """Return the name of the tier that the proxy stands before."""
        names = (self.raw.get("settings") or {}).get("stages") or []
        stage = self.settings.tier_index
        return str(names[stage]) if isinstance(names, list) and stage < len(names) else f"tier{stage}"


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where other proxies may be reached, as PROTOCOL has it; all empty where the platform names none."""

    listen: Address | None
    members: tuple[Address, ...]  # one for each proxy of the tier, its own among them
    broadcast: Address | None = None  # one that reaches all of these


def flatten_settings(value: object, path: str = "", into: dict[str, str] | None = None) -> dict[str, str]:
    """Return the settings object as the simulator's flat path=value pairs, so that both have one reader."""
    pairs = {} if into is None else into
    if isinstance(value, dict):
        if not value and path:
            pairs[path] = "{}"  # no value, and not left out either
        for key, item in value.items():
            flatten_settings(item, f"{path}.{key}" if path else str(key), pairs)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        pairs[path + ".count"] = str(len(value))
        for number, item in enumerate(value):
            flatten_settings(item, f"{path}.{number}", pairs)
    elif isinstance(value, list):
        pairs[path] = ",".join(str(item) for item in value)
        if not value:
            pairs[path + ".count"] = "0"
    elif isinstance(value, bool):
        pairs[path] = "true" if value else "false"
    elif value is not None:
        pairs[path] = str(value)
    return pairs


def _parse_value(key: str, value: object, parse: Callable[[Any], T], expected: str) -> T:
    """Parse a value of the file.

    Raises:
        ValueError: it can't be used; the message names the key and what to write.
    """
    try:
        return parse(value)
    except (ValueError, TypeError, AttributeError, OverflowError):
        raise ValueError(f"{key} can't be used: {value!r}; write {expected}") from None


def _parse_request_idempotency(raw: dict[str, str]) -> dict[str, Idempotency]:
    return {str(name): read_idempotency(effect) for name, effect in raw.items()}


def _parse_seed(text: object) -> int:
    return int(text, 16) if isinstance(text, str) else int(str(text))


def read_config_text(environ: Mapping[str, str]) -> str:
    """Read the file that EDGE_CONFIG names, as it is now.

    Raises:
        OSError, ValueError: it can't be read.
    """
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ValueError("EDGE_CONFIG is not set")
    return Path(path).read_text(encoding="utf-8")


def _read_json(environ: Mapping[str, str]) -> dict[str, Any]:
    raw = json.loads(read_config_text(environ))
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ValueError("the file holds no settings object")  # noqa: TRY004 - as above
    return raw


# Of a file and what stands in it.
CONFIG_READ_ERRORS = (OSError, ValueError, TypeError, AttributeError, RecursionError)


def config_error(error: Exception) -> ConfigError:
    """Return what went wrong as a ConfigError of one line."""
    return ConfigError(" ".join(f"bad configuration: {error}".split()))


def load_config(environ: Mapping[str, str]) -> ProxyConfig:
    """Read the file that EDGE_CONFIG names; the other variables override what it says.

    Raises:
        ConfigError: it can't be used.
    """
    try:
        return parse_config(_read_json(environ), environ)
    except CONFIG_READ_ERRORS as error:
        raise config_error(error) from None


def _read_policy_settings(raw: object) -> Settings:
    """Read the platform's settings for a proxy on sockets, which sends one attempt of a request at a time.

    Where hedging is not allowed, the policy cancels an overdue attempt and retries it. Allowed but not done,
    it would leave the request to an endpoint that hangs.
    """
    return replace(read_settings(flatten_settings(raw)), can_hedge=False)


def parse_config(raw: Mapping[str, Any], environ: Mapping[str, str]) -> ProxyConfig:
    """Read the configuration from the JSON's object.

    Raises:
        ValueError, TypeError, AttributeError, RecursionError: it can't be used.
    """
    cached_endpoints = raw.get("known") or {}
    limits = raw.get("limits") or {}
    if not isinstance(cached_endpoints, dict) or not isinstance(limits, dict):
        raise ValueError(  # noqa: TRY004 - as above
            "known and limits can't be used; write an object of each, or leave it out"
        )
    max_descriptors = _parse_max_descriptors(limits)
    memory_mb = _parse_value(
        "limits.memory_mb", limits.get("memory_mb", DEFAULT_MEMORY_MB), float, "a number"
    )
    if not 0 < memory_mb < MAX_MEMORY_MB:
        raise ValueError(f"limits.memory_mb is out of range: {memory_mb}; write more than 0")
    admin_address = environ.get("EDGE_CONSOLE") or raw.get("console")
    listen = environ.get("EDGE_LISTEN") or raw.get("listen")
    discovery = environ.get("EDGE_DISCOVERY") or raw.get("discovery")
    return ProxyConfig(
        name=environ.get("EDGE_NAME") or str(raw.get("name", "")),
        listen=_parse_value("listen (EDGE_LISTEN)", listen, parse_address, ADDRESS_FORM),
        discovery=_parse_value("discovery (EDGE_DISCOVERY)", discovery, parse_address, ADDRESS_FORM),
        seed=_parse_value(
            "seed", raw.get("seed", 0), _parse_seed, "a whole number, or a text of hexadecimal digits"
        ),
        max_descriptors=max_descriptors,
        memory_mb=memory_mb,
        cached_endpoints=cached_endpoints,
        settings=_read_policy_settings(raw["settings"]),
        admin_address=_parse_value("console (EDGE_CONSOLE)", admin_address, parse_address, ADDRESS_FORM)
        if admin_address
        else None,
        raw=raw,
        request_idempotency=_parse_value(
            "forms", raw.get("forms") or {}, _parse_request_idempotency, "{class: repeatable, by_key or once}"
        ),
    )


def _parse_max_descriptors(limits: Mapping[str, Any]) -> int:
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptor_limit == resource.RLIM_INFINITY:
        descriptor_limit = MAX_DESCRIPTORS
    configured = _parse_value(
        "limits.sockets", limits.get("sockets", descriptor_limit), int, "a whole number"
    )
    max_descriptors = min(configured, descriptor_limit)
    if max_descriptors < MIN_DESCRIPTORS:
        raise ValueError(f"limits.sockets is too little: {max_descriptors}; write {MIN_DESCRIPTORS} or more")
    return max_descriptors


def reload_discovery_address(environ: Mapping[str, str]) -> Address:
    """Return the address of discovery as the file has it now.

    EDGE_DISCOVERY does not override it: a process keeps the variables it was started with, so a reload could
    never change anything.

    Raises:
        ConfigError: the file or the address can't be used.
    """
    try:
        return _parse_value("discovery", _read_json(environ).get("discovery"), parse_address, ADDRESS_FORM)
    except (OSError, ValueError, RecursionError) as error:
        raise config_error(error) from None
