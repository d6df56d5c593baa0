"""Errors of the fleet package."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of the errors of the fleet package."""


class MalformedDatagramError(FleetError, ValueError):
    """Raised when received bytes are not a valid datagram of a fleet; the message states the fault."""


class NoAnswerError(FleetError):
    """Raised when a member does not answer a request for its view.

    Attributes:
        address: host and port to which the request was sent.
        cause: the last error of the attempts, or the statement that no datagram arrived.
    """

    def __init__(self, address: tuple[str, int], cause: str) -> None:
        super().__init__(f"{address[0]}:{address[1]} did not answer: {cause}")
        self.address = address
        self.cause = cause
