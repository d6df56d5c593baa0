"""Actions that a Balancer returns and that its caller executes in order."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt of a request at an endpoint; the attempt ends after at most `timeout` seconds.

    `send_by` is a time on the clock of `Balancer.handle`. The attempt is not sent if its first byte
    can't leave before `send_by`.
    """

    request_id: int
    endpoint_id: int
    timeout: float
    send_by: float = math.inf


@dataclass(slots=True)
class Reject:
    """Answer the client that the request was not executed.

    `retry_after` is in seconds; 0 means that the answer contains no retry time.
    """

    request_id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Answer the client that the request failed and may have been executed."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: int
    attempt_number: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to an endpoint to get its health and load."""

    endpoint_id: int


@dataclass(slots=True)
class WatchEndpoints:
    """Start or end the watch on the endpoint list."""

    enabled: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the endpoint list once."""


@dataclass(slots=True)
class SetTimer:
    """Deliver TimerFired with `token` after `delay` seconds."""

    delay: float
    token: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one proxy or to all proxies; allowed only if `Settings.can_message_peers` is set."""

    data: bytes
    peer: int | None = None  # None addresses all proxies.


@dataclass(slots=True)
class WriteLog:
    """Write a line to the log."""

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
