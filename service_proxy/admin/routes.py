"""Routes of the admin server ("console" in the platform's pages), separate from its sockets. Pure.

The platform defines the paths, methods and texts (DAYS, "The second address"), and operators' scripts read
them.
"""

from __future__ import annotations

from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol
from urllib.parse import unquote_to_bytes

MAX_NAME_BYTES = 256  # bytes of an endpoint's name in a path, after percent-decoding
READ_PATHS = (b"healthcheck", b"stats")
ENDPOINT_ACTIONS = (b"maint", b"ready")
ENDPOINT_PATH_PARTS = 3  # backends/ID/ACTION


class AdminResponse(NamedTuple):
    """Plain-text response; a 2xx status reports success, a 4xx or 5xx status reports failure."""

    status: HTTPStatus
    text: str


# Response to a request, which may depend on something that takes time, such as a disk.
AdminReply = AdminResponse | Coroutine[Any, Any, AdminResponse]

USE_GET = AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "this is asked with GET\n")
USE_POST = AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "this is asked with POST\n")
UNKNOWN_ENDPOINT = AdminResponse(HTTPStatus.NOT_FOUND, "no such backend\n")
UNKNOWN_PATH = AdminResponse(
    HTTPStatus.NOT_FOUND,
    "no such call; there are /healthcheck, /stats, /backends/ID/maint and /backends/ID/ready\n",
)


class AdminHandler(Protocol):
    """Handler of the requests that `route` recognises."""

    def health(self) -> AdminResponse:
        """Return whether this process serves requests."""

    def stats(self) -> AdminResponse:
        """Return the metrics of this process."""

    def start_maintenance(self, name: str) -> AdminReply:
        """Drain the endpoint `name` until `end_maintenance` is called."""

    def end_maintenance(self, name: str) -> AdminReply:
        """Reinstate the endpoint `name`."""


def route(handler: AdminHandler, method: bytes, target: bytes) -> AdminReply:
    """Return the response of `handler` to one request, or an error response if no route matches."""
    path = target.partition(b"?")[0]
    parts = path.split(b"/")[1:] if path.startswith(b"/") else []
    if len(parts) == 1 and parts[0] in READ_PATHS:
        if method != b"GET":
            return USE_GET
        return handler.health() if parts[0] == b"healthcheck" else handler.stats()
    if len(parts) == ENDPOINT_PATH_PARTS and parts[0] == b"backends" and parts[2] in ENDPOINT_ACTIONS:
        if method != b"POST":
            return USE_POST
        return _route_endpoint_action(handler, unquote_to_bytes(parts[1]), parts[2])
    return UNKNOWN_PATH


def _route_endpoint_action(handler: AdminHandler, name: bytes, action: bytes) -> AdminReply:
    if not 0 < len(name) <= MAX_NAME_BYTES:
        return UNKNOWN_ENDPOINT
    text = name.decode("utf-8", "replace")
    return handler.start_maintenance(text) if action == b"maint" else handler.end_maintenance(text)
