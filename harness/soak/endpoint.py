"""Endpoint that treats each request by the plan in its query, and records what it received."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time

from harness.soak.plan import Behavior, Framing, Plan
from harness.soak.record import Attempt, Record

READ_INTERVAL_S = 0.05
LINGER_0 = struct.pack("ii", 1, 0)
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nbusy_reqs=0,pending=0"
PATHS_OF_CHECKS = ("/healthz", "/load")


class SoakEndpoint:
    """Endpoint on loopback.

    Attributes:
        group: zone in which the key of a request is known.
        requests_since_start: number of requests since the last start.
    """

    def __init__(self, record: Record, name: str, group: str) -> None:
        self.record = record
        self.name = name
        self.group = group
        self.address = ""
        self.requests_since_start = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "") -> None:
        """Listen on loopback, at the address if one is given."""
        port = int(address.rpartition(":")[2]) if address else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.requests_since_start = 0

    def kill(self) -> None:
        """End as a process does that is killed: connections are reset, and new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, RuntimeError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self._serve_request(reader, writer):
                pass
        self._writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request, and return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        begun_at = time.monotonic()
        lines = head.split("\r\n")
        target = lines[0].split(" ")[1]
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        if target in PATHS_OF_CHECKS:
            writer.write(HEALTHY)
            return True
        plan = Plan.of_target(target)
        request_id = fields["x-call-id"]
        told_s = int(fields["x-budget"].rstrip("u")) / 1e6
        attempt = Attempt(request_id, self.name, self.group, begun_at, told_s)
        attempts = self.record.attempts[request_id]
        attempts.append(attempt)
        self.requests_since_start += 1
        await self._read_body(reader, fields, plan)
        attempt.ran_at = time.monotonic()
        return await self._respond(writer, plan, attempt, is_first=len(attempts) == 1)

    async def _read_body(self, reader: asyncio.StreamReader, fields: dict[str, str], plan: Plan) -> None:
        if "transfer-encoding" in fields:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await self._read_exactly(reader, size + 2, plan)
            await reader.readuntil(b"\r\n")
        else:
            await self._read_exactly(reader, int(fields.get("content-length", 0)), plan)

    @staticmethod
    async def _read_exactly(reader: asyncio.StreamReader, size: int, plan: Plan) -> None:
        step = round(plan.read_rate * READ_INTERVAL_S) or size
        while size:
            part = min(step, size)
            await reader.readexactly(part)
            size -= part
            if plan.read_rate:
                await asyncio.sleep(READ_INTERVAL_S)

    async def _respond(
        self, writer: asyncio.StreamWriter, plan: Plan, attempt: Attempt, is_first: bool
    ) -> bool:
        """Respond by the plan, and return whether the connection stays open."""
        if plan.behavior is Behavior.REJECT and is_first:
            attempt.is_rejected = True
            writer.write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        await asyncio.sleep(plan.work_ms / 1000)
        if plan.behavior is Behavior.RESET:
            reset(writer)
            return False
        if plan.behavior is Behavior.ERROR:
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if plan.behavior is Behavior.HANG:
            await asyncio.sleep(3600)
        await self._write_response(writer, plan, attempt)
        return plan.framing is not Framing.CLOSE

    @staticmethod
    async def _write_response(writer: asyncio.StreamWriter, plan: Plan, attempt: Attempt) -> None:
        heads = {
            Framing.LENGTH: f"Content-Length: {plan.size}",
            Framing.CHUNKS: "Transfer-Encoding: chunked",
            Framing.CLOSE: "Connection: close",
        }
        writer.write(f"HTTP/1.1 200 OK\r\n{heads[plan.framing]}\r\n\r\n".encode())
        body = plan.body(attempt.request_id)
        step = -(-plan.size // plan.pieces)
        for number in range(plan.pieces):
            if number:
                await asyncio.sleep(plan.gap_ms / 1000)
            if plan.behavior is Behavior.STOP and number * 2 >= plan.pieces:
                await asyncio.sleep(3600)
            piece = body[number * step : (number + 1) * step]
            if not piece:
                break
            chunked = b"%x\r\n%b\r\n" % (len(piece), piece)
            writer.write(chunked if plan.framing is Framing.CHUNKS else piece)
            attempt.last_byte_at = time.monotonic()
            await writer.drain()
        if plan.framing is Framing.CHUNKS:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection (socket(7), SO_LINGER with timeout 0)."""
    if writer.transport.is_closing():
        return
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
    writer.transport.abort()
