"""Errors of the package."""

from __future__ import annotations

from service_proxy.ephemeral_nodes.codes import ErrorCode


class EphemeralNodesError(Exception):
    """Base class of the errors of this package."""


class MalformedRecordError(EphemeralNodesError, ValueError):
    """Bytes that are no record of the protocol."""


class ServiceError(EphemeralNodesError):
    """The service answered a request with an error.

    Attributes:
        code: the error's number, an `ErrorCode` where it is a known one.
        path: the znode that the request was for, where it is known.
    """

    def __init__(self, code: int, path: str = "") -> None:
        known = {int(error): error for error in ErrorCode}
        self.code = known.get(code, code)
        self.path = path
        name = self.code.name if isinstance(self.code, ErrorCode) else "an error of no known number"
        super().__init__(f"{name} ({code})" + (f" at {path}" if path else ""))


class ConnectionLostError(EphemeralNodesError):
    """The connection broke before the reply came: a write may have taken place."""


class TooManyRequestsError(EphemeralNodesError):
    """As many requests as a session may have are without a reply."""


class InvalidTransitionError(EphemeralNodesError):
    """An event that the session's state can't have: a fault of this program."""


class InvalidNodeError(EphemeralNodesError, ValueError):
    """The data of a znode is no endpoint's; the message says why."""


class InvalidSnapshotError(EphemeralNodesError, ValueError):
    """A snapshot file can't be used; the message says why."""
