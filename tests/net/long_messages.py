"""Helpers for the tests of long messages: endpoints and clients that stream bodies of 32 MB."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Awaitable, Callable

from net_harness import (
    Client,
    EndpointServer,
    ProxyUnderTest,
    ReceivedRequest,
    response,
)

from harness.proxy_process import process_memory_mb

MB = 1 << 20
LONG_BYTES = 32 * MB  # Longest message that the operators report.
PIECE = bytes(range(256)) * 256  # Body piece of 64 KiB.
# Limit of the resident memory's growth during a 32 MB message: a quarter of what buffering takes.
MAX_GROWTH_MB = 12.0
LONG_DIGEST = hashlib.sha256(PIECE * (LONG_BYTES // len(PIECE))).hexdigest()
OK = b"HTTP/1.1 200 OK\r\n"
WITH_LENGTH = b"Content-Length: %d\r\n\r\n" % LONG_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"Connection: close\r\n\r\n"


def resident_mb(proxy: ProxyUnderTest) -> float:
    """Return the resident memory of a proxy in MB."""
    return process_memory_mb(proxy.process.pid, "VmRSS")


def post_head(id: str, length: int | None, target: str = "canje", budget: str = "6000m") -> bytes:
    """Return the head of a POST with a body of this length; None: a chunked body."""
    framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    head = f"POST /{target} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Budget: {budget}\r\n"
    return head.encode() + framing + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_head(client: Client) -> tuple[int, dict[str, str]]:
    """Return the status code and the headers of a response."""
    lines = (await client.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    return int(lines[0].split(" ")[1]), headers


async def read_body(
    client: Client, headers: dict[str, str], after_piece: Callable[[], Awaitable[None]]
) -> tuple[str, int]:
    """Return the digest and the length of a body, read to its end.

    Raises:
        IncompleteReadError: the body is truncated.
    """
    digest = hashlib.sha256()
    size = 0
    reader = client.reader
    remaining = int(headers.get("content-length", -1))
    while remaining:
        if "chunked" in headers.get("transfer-encoding", ""):
            length = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(length)
            await reader.readexactly(2)
            remaining = length
        elif remaining > 0:
            data = await reader.readexactly(min(remaining, len(PIECE)))
            remaining -= len(data)
        else:  # The end of the connection ends the body.
            data = await reader.read(len(PIECE))
            remaining = -1 if data else 0
        digest.update(data)
        size += len(data)
        await after_piece()
    return digest.hexdigest(), size


async def no_delay() -> None:
    """Return immediately."""


def streaming_endpoint(
    framing: bytes, pieces: int = LONG_BYTES // len(PIECE), is_complete: bool = True
) -> EndpointServer:
    """Return an endpoint that streams a response in this framing, and closes early unless `is_complete`."""

    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            writer.write(OK + framing)
            for _ in range(pieces):
                writer.write(chunk(PIECE) if framing is CHUNKED else PIECE)
                await writer.drain()
            if framing is CHUNKED and is_complete:
                writer.write(b"0\r\n\r\n")
            if framing is UNTIL_CLOSE or not is_complete:
                await writer.drain()
                writer.close()

    return EndpointServer(respond)


def body_endpoint(bodies: list[tuple[str, int]]) -> EndpointServer:
    """Return an endpoint that records the digest and length of each body, and responds with the length."""

    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(200, b"%d" % len(received.body)))

    endpoint = EndpointServer(respond)

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
                if lines[0].split(" ")[1] in ("/load", "/healthz"):
                    writer.write(response(200, b"inflight=0,queue=0"))
                    continue
                client = Client(reader, writer)
                endpoint.received_count += 1
                if "transfer-encoding" not in headers:
                    headers.setdefault("content-length", "0")
                bodies.append(await read_body(client, headers, no_delay))
                writer.write(response(200, b"%d" % bodies[-1][1]))
        endpoint.closed_connections.put_nowait(0)
        writer.close()

    endpoint._connection = connection  # type: ignore[method-assign]
    return endpoint
