"""Cached endpoint list of the configuration, which is used until discovery responds."""

from __future__ import annotations

from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S
from service_proxy.net.endpoint_list import EndpointList, parse_endpoint_list


def cached_endpoint_list(config: ProxyConfig) -> EndpointList:
    """Return the cached endpoint list of the configuration, which is used until discovery responds.

    Raises:
        ConfigError: The cached endpoint list is invalid.
    """
    if not config.cached_endpoints:
        return EndpointList(0, True, [])
    try:
        return parse_endpoint_list(config.cached_endpoints, WALL_CLOCK_OFFSET_S)
    except ValueError as error:
        raise ConfigError(f"bad configuration: known: {error}") from None
