"""Protocols of endpoint sources and of other subsystems that the operator's file enables.

A source yields endpoint lists (`net.endpoint_list`) and its own health. A merger, which is part of the
subsystem and does no I/O, decides which source is used.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from service_proxy.net.endpoint_list import EndpointList


class SourceHealth(Enum):
    """Health of an endpoint source; the reports of the source contain these values."""

    NEVER_RECEIVED = "never heard"
    UP_TO_DATE = "fresh"  # The last received list is current, apart from the usual delay.
    STALE = "stale"  # The connection or watch broke recently; the list may be outdated.
    # The source is unreachable for longer than its session or timeout; its list is not trusted.
    UNREACHABLE = "unreachable"


class EndpointListListener(Protocol):
    """Receiver of the merged lists, which the dispatcher implements."""

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Apply a list."""

    def endpoint_list_failed(self) -> None:
        """Record that no list is available."""


class Subsystem(Protocol):
    """Subsystem that the operator's file enables."""

    def start(self) -> None:
        """Start the tasks of the subsystem; called once, in the running loop."""

    def stop(self) -> None:
        """Stop the tasks and close the sockets of the subsystem; called once, when the proxy ends."""

    def reload(self, file: str) -> None:
        """Reload the subsystem's table of the operator's file after SIGHUP.

        Raises:
            OperatorError: The table is invalid; the present configuration remains in use.
        """
