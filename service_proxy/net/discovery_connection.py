"""A kept connection to the discovery service: one HTTP GET at a time, each with its timeouts."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import httptools

from service_proxy.net.endpoint_list import Address

MAX_RESPONSE_BYTES = 8 << 20  # of a response


class DiscoveryConnection(asyncio.Protocol):
    """One kept connection to discovery, with one call at a time.

    Attributes:
        response: of the call that is in flight.
        raw_bytes: of the response as they came.
        completion_timeout: s for a response that has begun.
        call_timeout: of the call that is in flight.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser: Any = None
        self.body = bytearray()
        self.raw_bytes = 0
        self.completion_timeout = 0.0
        self.call_timeout: asyncio.Timeout | None = None

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is established."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - why does not matter
        """Fail the call that is in flight."""
        self.transport = None
        self.parser = None
        self._fail(ConnectionError("discovery closed the connection"))

    def data_received(self, data: bytes) -> None:
        """Parse what has come; a response that has begun has its own time from then on."""
        if not self.raw_bytes and self.call_timeout is not None and not self.call_timeout.expired():
            # It waits no longer for a change: a response that trickles or stands still is a silent one.
            completion_deadline = asyncio.get_running_loop().time() + self.completion_timeout
            self.call_timeout.reschedule(
                min(completion_deadline, self.call_timeout.when() or completion_deadline)
            )
        self.raw_bytes += len(data)
        try:
            if self.response is None or self.response.done() or self.raw_bytes > MAX_RESPONSE_BYTES:
                raise ValueError("more than was asked for")  # noqa: TRY301 - one way out for all
            self.parser.feed_data(data)
        except Exception as error:  # noqa: BLE001 - whatever it is, the stream can't be followed any further
            self._fail(ValueError(f"malformed answer: {error}"))
            self.close()

    # httptools callbacks
    def on_body(self, chunk: bytes) -> None:
        """Collect the body."""
        self.body += chunk
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise ValueError("the answer is too large")

    def on_message_complete(self) -> None:
        """Return the response to the call."""
        if self.response is not None and not self.response.done():
            self.response.set_result((self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive():
            self.close()

    def _fail(self, error: Exception) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)

    def close(self) -> None:
        """Close the connection; the next call makes a new one."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    async def get(
        self, address: Address, target: str, timeout: float, connect_timeout: float, completion_timeout: float
    ) -> tuple[int, bytes]:
        """Send a GET, and return the response's status code and body.

        Args:
            address: of the service.
            target: path and query.
            timeout: s for the whole call.
            connect_timeout: s of these for a connection.
            completion_timeout: s once a response begins.

        Raises:
            TimeoutError: one of the three is over.
            OSError: there is no connection, or it ended.
            ValueError: the response is malformed.
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
