"""Protocols of endpoint sources and other subsystems that the operator's file turns on.

A source yields endpoint lists (`net.endpoint_list`) and its own health; which source counts is decided by the
subsystem's pure merger, never here.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from service_proxy.net.endpoint_list import EndpointList


class SourceHealth(Enum):
    """What is known of a source itself; the values stand in its reports."""

    NEVER_RECEIVED = "never heard"
    UP_TO_DATE = "fresh"  # its last list is its list now, but for its usual delay
    STALE = "stale"  # its connection or watch broke a moment ago; its list may be behind
    UNREACHABLE = "unreachable"  # for longer than its session or timeout: its list is not trusted


class EndpointListListener(Protocol):
    """Where merged lists go: the dispatcher."""

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Put a list in force."""

    def endpoint_list_failed(self) -> None:
        """Take note that there is no list to be had."""


class Subsystem(Protocol):
    """A part that the operator's file turns on."""

    def start(self) -> None:
        """Begin its tasks; called once, in the running loop."""

    def stop(self) -> None:
        """End its tasks and sockets; called once, when the proxy ends."""

    def reload(self, file: str) -> None:
        """Read its table again, after SIGHUP.

        Raises:
            OperatorError: it can't be used; then nothing has changed.
        """
