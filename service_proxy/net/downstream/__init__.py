"""The downstream side: HTTP listener, client connections and request parsing."""

from __future__ import annotations

from service_proxy.net.downstream.connection import DownstreamConnection
from service_proxy.net.downstream.http_server import BASE_MEMORY_MB, HttpServer
from service_proxy.net.downstream.read_turns import ReadTurns
from service_proxy.net.downstream.request import (
    BadRequestError,
    LocalResponse,
    LocalResponses,
    Request,
    RequestCounter,
    RequestHandler,
    ResponseWriter,
    UpgradeRequest,
)
from service_proxy.net.downstream.request_parser import parse_request
from service_proxy.net.downstream.request_reader import UpgradeHandler

__all__ = [
    "BASE_MEMORY_MB",
    "BadRequestError",
    "DownstreamConnection",
    "HttpServer",
    "LocalResponse",
    "LocalResponses",
    "ReadTurns",
    "Request",
    "RequestCounter",
    "RequestHandler",
    "ResponseWriter",
    "UpgradeHandler",
    "UpgradeRequest",
    "parse_request",
]
