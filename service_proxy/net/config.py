"""Configuration of one proxy: EDGE_* variables and the JSON file, parsed into one typed object."""

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
DEFAULT_MEMORY_MB = 192  # Default if the file sets no limits.memory_mb.
MAX_MEMORY_MB = 1 << 30
MAX_DESCRIPTORS = 1 << 20  # Default if the system sets no limit.


class ConfigError(NetError):
    """The configuration is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """Configuration of one proxy.

    Attributes:
        seed: Seed of all random draws.
        max_descriptors: Maximum number of file descriptors that the process may open.
        cached_endpoints: The last known endpoint list, in the JSON form of discovery.
        request_idempotency: Idempotency of the requests, by request class; the policy's idempotency applies
            to a class that is not listed.
        admin_address: Address of the admin service; None if the service is off.
        raw: Parsed JSON file, kept for the comparison with a reloaded file.
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
        """Return the parsed addresses of the other proxies.

        The addresses are parsed only on use, so a proxy that contacts no peer accepts an invalid value.

        Raises:
            ValueError: An address is invalid.
        """
        listen = self.raw.get("peer_listen")
        members = self.raw.get("peers") or []
        if not isinstance(members, list):
            raise ValueError("peers is not a list; write a list of host:port")  # noqa: TRY004 - file content
        broadcast = self.raw.get("peers_all")
        return PeerAddresses(
            parse_address(listen) if listen else None,
            tuple(parse_address(item) for item in members),
            parse_address(broadcast) if broadcast else None,
        )

    @property
    def tier_name(self) -> str:
        """Return the name of the tier to whose endpoints the proxy sends requests."""
        names = (self.raw.get("settings") or {}).get("stages") or []
        tier_index = self.settings.tier_index
        return (
            str(names[tier_index])
            if isinstance(names, list) and tier_index < len(names)
            else f"tier{tier_index}"
        )


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Addresses of the other proxies (platform's page PROTOCOL); empty if the platform configures none."""

    listen: Address | None
    members: tuple[Address, ...]  # One address for each proxy of the tier, including this one.
    broadcast: Address | None = None  # Broadcast address that reaches all members.


def flatten_settings(value: object, path: str = "", into: dict[str, str] | None = None) -> dict[str, str]:
    """Return the settings as flat path=value pairs.

    The simulator passes settings in this form, so the proxy and the simulator share one parser.
    """
    pairs = {} if into is None else into
    if isinstance(value, dict):
        if not value and path:
            pairs[path] = "{}"  # Keeps the key of an empty object, which has no values to list.
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
    """Return the parsed value of a configuration key.

    Raises:
        ValueError: The value is invalid; the message names the key and the expected form.
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
    """Return the present content of the file that EDGE_CONFIG names.

    Raises:
        OSError, ValueError: The file can't be read.
    """
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ValueError("EDGE_CONFIG is not set; set it to the path of the configuration file")
    return Path(path).read_text(encoding="utf-8")


def _read_json(environ: Mapping[str, str]) -> dict[str, Any]:
    raw = json.loads(read_config_text(environ))
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ValueError("the file contains no settings object")  # noqa: TRY004 - file content
    return raw


# Exceptions raised by reading or parsing an invalid configuration file.
CONFIG_READ_ERRORS = (OSError, ValueError, TypeError, AttributeError, RecursionError)


def config_error(error: Exception) -> ConfigError:
    """Return a ConfigError with a one-line message for the error."""
    return ConfigError(" ".join(f"bad configuration: {error}".split()))


def load_config(environ: Mapping[str, str]) -> ProxyConfig:
    """Return the configuration of the file that EDGE_CONFIG names; other EDGE_* variables override it.

    Raises:
        ConfigError: The configuration is invalid.
    """
    try:
        return parse_config(_read_json(environ), environ)
    except CONFIG_READ_ERRORS as error:
        raise config_error(error) from None


def _read_policy_settings(raw: object) -> Settings:
    """Return the platform's settings with hedging disabled, because a proxy sends one attempt at a time.

    If hedging is not allowed, the policy cancels an overdue attempt and retries it. If hedging were allowed
    without being performed, the request would stay with an endpoint that hangs.
    """
    return replace(read_settings(flatten_settings(raw)), can_hedge=False)


def parse_config(raw: Mapping[str, Any], environ: Mapping[str, str]) -> ProxyConfig:
    """Return the configuration of the parsed JSON object and the EDGE_* variables.

    Raises:
        ValueError, TypeError, AttributeError, RecursionError: The configuration is invalid.
    """
    cached_endpoints = raw.get("known") or {}
    limits = raw.get("limits") or {}
    if not isinstance(cached_endpoints, dict) or not isinstance(limits, dict):
        raise ValueError(  # noqa: TRY004 - file content
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
        raise ValueError(f"limits.sockets is too small: {max_descriptors}; write {MIN_DESCRIPTORS} or more")
    return max_descriptors


def reload_discovery_address(environ: Mapping[str, str]) -> Address:
    """Return the discovery address of the present configuration file.

    EDGE_DISCOVERY does not override the address here: the variables of a running process don't change, so a
    reload could never change the address.

    Raises:
        ConfigError: The file or the address is invalid.
    """
    try:
        return _parse_value("discovery", _read_json(environ).get("discovery"), parse_address, ADDRESS_FORM)
    except (OSError, ValueError, RecursionError) as error:
        raise config_error(error) from None
