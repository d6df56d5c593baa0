"""What is read from a client's connection, and the protocols between the downstream side and its handlers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from service_proxy.net.errors import NetError
from service_proxy.net.protocols import ResponseSource, UpgradeNegotiation
from service_proxy.net.request_body import RequestBody


@dataclass(slots=True)
class Request:
    """A well-formed request that has come complete, but for a long body's end.

    Attributes:
        id: X-Call-Id.
        class_name: the request class, by the path's first segment.
        time_budget: s, from when the client sent it.
        tenant: X-Caller.
        affinity_key: the session of its cookie.
        expected_work: X-Call-Cost, s.
        is_retry: X-Again: the client has sent it before.
        head: what goes on to an endpoint, but for the last headers.
        body: not complete yet, where it is streamed.
        received_at: of its last byte, once it is complete (monotonic, s).
        idempotency_key: Idempotency-Key.
        consumed: headers that a filter consumes; they are not in `head`.
        upgrade: it asks for an upgrade, and this is who negotiates it.
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


class ResponseWriter(Protocol):
    """Where a request's one response goes: complete, or as it comes."""

    def respond(self, code: int, headers: Any, body: bytes) -> None:
        """Write a complete response. Raises RuntimeError where there was one."""

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        """Write a 200 of this length as it comes; None: it ends when it ends."""

    def has_client_left(self) -> bool:
        """Tell whether the client has closed, be it that its end has not been read yet."""


class RequestHandler(Protocol):
    """What the downstream side asks of the dispatcher."""

    def start_request(self, request: Request, writer: ResponseWriter) -> object:
        """Take a request; whatever is returned names it in `client_disconnected`."""

    def client_disconnected(self, open_request: Any) -> None:
        """Note that nobody waits for the response any more."""


class RequestCounter(Protocol):
    """Counts the requests that are taken, by what they ended in."""

    def request_ended(self, cls: str, code: int) -> None:
        """Count a request of this class that was answered with this status code."""


class UpgradeRequest(NamedTuple):
    """A request to leave HTTP, where a handler takes these.

    Attributes:
        has_surplus: more came right behind it.
    """

    method: bytes
    target: bytes
    version: str
    headers: list[tuple[bytes, bytes]]
    has_body: bool
    has_surplus: bool


class LocalResponse(NamedTuple):
    """What the proxy says of itself at a path, to a GET."""

    status_code: int
    body: bytes


LocalResponses = Mapping[bytes, Callable[[], LocalResponse]]  # by path


class BadRequestError(NetError):
    """A request is refused before it reaches a handler.

    Attributes:
        status_code: of the response that says so; the message is its body.
    """

    def __init__(self, status_code: int, text: str) -> None:
        super().__init__(text)
        self.status_code = status_code
