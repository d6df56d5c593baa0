"""The endpoint list that the configuration brings, as last known: it serves until discovery answers."""

from __future__ import annotations

from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S
from service_proxy.net.endpoint_list import EndpointList, parse_endpoint_list


def cached_endpoint_list(config: ProxyConfig) -> EndpointList:
    """Read the endpoint list that the configuration brings, for the time before discovery answers.

    Raises:
        ConfigError: it can't be used.
    """
    if not config.cached_endpoints:
        return EndpointList(0, True, [])
    try:
        return parse_endpoint_list(config.cached_endpoints, WALL_CLOCK_OFFSET_S)
    except ValueError as error:
        raise ConfigError(f"bad configuration: known: {error}") from None
