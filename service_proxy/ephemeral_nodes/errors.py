"""Exceptions of the package."""

from __future__ import annotations

from service_proxy.ephemeral_nodes.codes import ErrorCode


class EphemeralNodesError(Exception):
    """Base class of this package's exceptions."""


class MalformedRecordError(EphemeralNodesError, ValueError):
    """Received bytes are not a valid record of the protocol."""


class ServiceError(EphemeralNodesError):
    """The service replied to a request with an error.

    Attributes:
        code: the error code, as an `ErrorCode` if known, else as a number.
        path: the znode that the request was for, if known.
    """

    def __init__(self, code: int, path: str = "") -> None:
        known = {int(error): error for error in ErrorCode}
        self.code = known.get(code, code)
        self.path = path
        name = self.code.name if isinstance(self.code, ErrorCode) else "unknown error code"
        super().__init__(f"{name} ({code})" + (f" at {path}" if path else ""))


class ConnectionLostError(EphemeralNodesError):
    """The connection broke before the reply; the service may have executed a write."""


class TooManyRequestsError(EphemeralNodesError):
    """Too many of the session's requests are without a reply."""


class InvalidTransitionError(EphemeralNodesError):
    """The event is not valid in the session's state, which is a bug in this package."""


class InvalidNodeError(EphemeralNodesError, ValueError):
    """The data of a znode is not a valid endpoint registration; the message gives the reason."""


class InvalidSnapshotError(EphemeralNodesError, ValueError):
    """The snapshot file can't be used; the message gives the reason."""
