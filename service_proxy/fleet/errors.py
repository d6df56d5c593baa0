"""Errors of the fleet's package."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of the errors of the fleet's package."""


class MalformedDatagramError(FleetError, ValueError):
    """What arrived is no datagram of a fleet; the message says why."""


class NoAnswerError(FleetError):
    """A member did not answer a request for its view.

    Attributes:
        address: host and port that were asked.
        cause: what came instead of an answer.
    """

    def __init__(self, address: tuple[str, int], cause: str) -> None:
        super().__init__(f"{address[0]}:{address[1]} did not answer: {cause}")
        self.address = address
        self.cause = cause
