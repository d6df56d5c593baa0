"""The seam for sources of servers and other subsystems: what each fills, and how main holds them.

A source yields lists of the shape of `net.discovery.Listing` and its own health; which of them counts is the
subsystem's pure merger's to say, never this file's.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from service_proxy.net.endpoint_list import EndpointList


class SourceHealth(Enum):
    """What is known of a source itself."""

    NEVER_RECEIVED = "never heard"
    FRESH = "fresh"  # what it said last is what it says now, but for its usual delay
    STALE = "stale"  # its connection or watch broke a moment ago; its list may be behind
    UNREACHABLE = "unreachable"  # for longer than its session or patience: nothing it says is news


class EndpointListListener(Protocol):
    """Where merged lists go: the driver."""

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None: ...

    def endpoint_list_failed(self) -> None: ...


class Subsystem(Protocol):
    """A part that the operator's file turns on."""

    def start(self) -> None: ...

    def stop(self) -> None:
        """Ends its tasks and sockets; called once, when the proxy ends."""

    def reload(self, file: str) -> None:
        """After SIGHUP. Raises `operator.OperatorError`, and then nothing has changed."""
