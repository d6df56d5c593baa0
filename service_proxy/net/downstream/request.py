"""Requests that are read from a client's connection, and the interfaces between connections and handlers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from service_proxy.net.errors import NetError
from service_proxy.net.protocols import ResponseSource, UpgradeNegotiation
from service_proxy.net.request_body import RequestBody

# Share of the priority weight of a pipelined request. A client that sends many requests at once would
# otherwise take the place of as many clients that wait for their responses.
PIPELINED_WEIGHT_SHARE = 0.5


@dataclass(slots=True)
class Request:
    """Well-formed request that is complete, or whose long body is still being received.

    Attributes:
        id: value of X-Call-Id.
        class_name: the request class, from the first segment of the path.
        time_budget: time budget, counted from when the client sent the request (s).
        tenant: value of X-Caller.
        affinity_key: session identifier from the request's cookie.
        expected_work: value of X-Call-Cost (s).
        is_retry: X-Again is set because the client has sent the request before.
        head: the request head that is forwarded to an endpoint, without the headers that are added for each
            attempt (such as X-Budget) and without the final empty line.
        body: the request body; a streamed body may still be incomplete.
        received_at: the earliest time at which the last byte so far may have arrived (monotonic, s); final
            after the body is complete.
        idempotency_key: value of Idempotency-Key.
        consumed: headers that a filter of this proxy consumes; `head` doesn't contain them.
        upgrade: the negotiation of the upgrade that the request asks for; None: it asks for no upgrade.
        is_pipelined: the request waited behind earlier ones that the client sent on the same connection.
    """

    id: bytes
    class_name: str
    time_budget: float
    tenant: str
    affinity_key: str
    expected_work: float
    is_retry: bool
    head: bytes
    body: RequestBody
    received_at: float
    idempotency_key: bytes = b""
    consumed: tuple[tuple[bytes, bytes], ...] = ()
    upgrade: UpgradeNegotiation | None = None
    is_pipelined: bool = False

    @property
    def weight_share(self) -> float:
        """Return the share of the class's priority weight that this request has."""
        return PIPELINED_WEIGHT_SHARE if self.is_pipelined else 1.0


class ResponseWriter(Protocol):
    """Writer of a request's one response, either complete or streamed."""

    @property
    def needs_complete_response(self) -> bool:
        """Return whether nothing can be written before the response is complete.

        A response is then buffered for as long as its size allows, so that an attempt whose response stops in
        the middle fails and may be retried.
        """

    def respond(self, status_code: int, headers: Any, body: bytes) -> None:
        """Write a complete response, or raise RuntimeError if the request already has a response."""

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        """Stream a 200 response of `length` bytes from `source`; None: the body ends when `source` ends."""

    def has_client_left(self) -> bool:
        """Return whether the client has closed its side, even if the end is still unread in the socket."""

    def hides_disconnect(self) -> bool:
        """Return whether the client may have closed its side unseen, behind much that is unread."""


class RequestHandler(Protocol):
    """Interface of the dispatcher that the downstream side calls."""

    def start_request(self, request: Request, writer: ResponseWriter) -> object:
        """Start a request, and return an object that identifies the request in `client_disconnected`."""

    def client_disconnected(self, open_request: Any) -> None:
        """Note that the client no longer waits for the response."""


class RequestCounter(Protocol):
    """Counter of accepted requests by the status code of their response."""

    def request_ended(self, cls: str, status_code: int) -> None:
        """Count a request of this class whose response has this status code."""


class UpgradeRequest(NamedTuple):
    """HTTP upgrade request, which a handler may accept.

    Attributes:
        has_surplus: further bytes directly follow the request.
    """

    method: bytes
    target: bytes
    version: str
    headers: list[tuple[bytes, bytes]]
    has_body: bool
    has_surplus: bool


class LocalResponse(NamedTuple):
    """Response of the proxy itself: to a GET of a local path, or to an invalid request."""

    status_code: int
    body: bytes


# The functions that build local responses, by path.
LocalResponses = Mapping[bytes, Callable[[], LocalResponse]]


class BadRequestError(NetError):
    """A request is rejected before it reaches a handler.

    Attributes:
        status_code: status code of the error response, whose body is the message.
    """

    def __init__(self, status_code: int, text: str) -> None:
        super().__init__(text)
        self.status_code = status_code

    def response(self) -> LocalResponse:
        """Return the response to the request.

        Many pipelined requests may wait for their responses, and the error itself refers to the frames in
        which it was raised.
        """
        return LocalResponse(self.status_code, f"{self}\n".encode())
