"""HTTP status codes used in the proxy's decisions, and reason phrases of its own responses (RFC 9110, 15)."""

from __future__ import annotations

CONTINUE = 100
SWITCHING_PROTOCOLS = 101
OK = 200  # Also the lower bound of final responses; lower codes are interim responses.
NO_CONTENT = 204
NOT_MODIFIED = 304
# Status codes of responses that end with the head (RFC 9112, 6.3).
BODILESS = frozenset((NO_CONTENT, NOT_MODIFIED))
NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
INTERNAL_SERVER_ERROR = 500
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    426: b"Upgrade Required",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
