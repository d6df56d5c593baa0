"""What a Balancer returns: the actions that its user carries out, in their order."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Send an attempt of a request to an endpoint; it ends after `timeout` seconds at the latest.

    `send_by`: on the clock of `handle`; its first byte leaves before that or not at all.
    """

    request_id: int
    endpoint_id: int
    timeout: float
    send_by: float = math.inf


@dataclass(slots=True)
class Reject:
    """Answer the client that the request was not executed; `retry_after` in seconds, 0: not said."""

    request_id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Answer the client that the request failed; it may have been executed."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Give up an attempt that is in flight."""

    request_id: int
    attempt_number: int


@dataclass(slots=True)
class CheckHealth:
    """Ask an endpoint for its health and load."""

    endpoint_id: int


@dataclass(slots=True)
class WatchEndpoints:
    """Start a watch on the endpoint list, or end it."""

    enabled: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the endpoint list once."""


@dataclass(slots=True)
class SetTimer:
    """Send TimerFired with the token after `delay` seconds."""

    delay: float
    token: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the connections to an endpoint that are not in use."""

    endpoint_id: int


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to another proxy, or to all; only where `Settings.can_message_peers`."""

    data: bytes
    peer: int | None = None  # None: to all


@dataclass(slots=True)
class WriteLog:
    """Write a line into the log."""

    text: str


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | CheckHealth
    | WatchEndpoints
    | FetchEndpoints
    | SetTimer
    | CloseIdleConnections
    | SendPeerMessage
    | WriteLog
)
