"""Persistent connection to the discovery service, with one HTTP GET at a time and timeouts for each."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import httptools

from service_proxy.net.endpoint_list import Address

MAX_RESPONSE_BYTES = 8 << 20  # Maximum size of a response.


class DiscoveryConnection(asyncio.Protocol):
    """Persistent connection to discovery, with one call at a time.

    Attributes:
        response: Future of the response to the call in flight.
        raw_bytes: Number of received bytes of the response, before parsing.
        completion_timeout: Time limit (s) for the rest of a response that has begun.
        call_timeout: Timeout of the call in flight.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser: Any = None
        self.body = bytearray()
        self.raw_bytes = 0
        self.completion_timeout = 0.0
        self.call_timeout: asyncio.Timeout | None = None

    # Callbacks of asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class.

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the reason is not used
        """Fail the call in flight, because the connection has ended."""
        self.transport = None
        self.parser = None
        self._fail(ConnectionError("discovery closed the connection before the response was complete"))

    def data_received(self, data: bytes) -> None:
        """Parse received data; the first bytes of a response start the completion timeout."""
        if not self.raw_bytes and self.call_timeout is not None and not self.call_timeout.expired():
            # The response has begun, so the wait for a change is over. A slow or stalled response times out.
            completion_deadline = asyncio.get_running_loop().time() + self.completion_timeout
            self.call_timeout.reschedule(
                min(completion_deadline, self.call_timeout.when() or completion_deadline)
            )
        self.raw_bytes += len(data)
        try:
            if self.response is None or self.response.done() or self.raw_bytes > MAX_RESPONSE_BYTES:
                raise ValueError("unexpected data or oversized response")  # noqa: TRY301 - one error path
            self.parser.feed_data(data)
        except Exception as error:  # noqa: BLE001 - any error makes the rest of the stream unusable
            self._fail(ValueError(f"malformed response: {error}"))
            self.close()

    # Callbacks of httptools
    def on_body(self, chunk: bytes) -> None:
        """Append a chunk to the body.

        Raises:
            ValueError: The body exceeds MAX_RESPONSE_BYTES.
        """
        self.body += chunk
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise ValueError("the response body exceeds the size limit")

    def on_message_complete(self) -> None:
        """Complete the call with the response."""
        if self.response is not None and not self.response.done():
            self.response.set_result((self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive():
            self.close()

    def _fail(self, error: Exception) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)

    def close(self) -> None:
        """Close the connection; the next call opens a new connection."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    async def get(
        self, address: Address, target: str, timeout: float, connect_timeout: float, completion_timeout: float
    ) -> tuple[int, bytes]:
        """Send a GET request, and return the status code and the body of the response.

        Args:
            address: Address of the service.
            target: Path and query.
            timeout: Time limit (s) of the whole call.
            connect_timeout: Time limit (s) of the connection attempt, within the whole call.
            completion_timeout: Time limit (s) of the response after its first byte.

        Raises:
            TimeoutError: One of the three timeouts expired.
            OSError: The connection could not be established, or it ended.
            ValueError: The response is malformed.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout) as call_timeout:
                if self.transport is None:
                    async with asyncio.timeout(connect_timeout):
                        await loop.create_connection(lambda: self, *address)
                assert self.transport is not None
                self.parser = httptools.HttpResponseParser(self)
                self.body.clear()
                self.raw_bytes = 0
                self.completion_timeout = completion_timeout
                self.call_timeout = call_timeout
                self.response = loop.create_future()
                self.transport.write(
                    f"GET {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n".encode()
                )
                return await self.response
        except BaseException:
            self.close()
            raise
        finally:
            self.response = None
            self.call_timeout = None
