"""Loopback pieces for the tests of the real proxy: a backend, a discovery and a caller, on port 0."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from harness.proxy_process import free_port, settings

ROOT = Path(__file__).parent.parent
PATIENCE = 20.0  # s; a test that waits longer has failed

SETTINGS: dict[str, Any] = settings(dcs=["a", "b"])


class Seen:
    """A request as a backend got it."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes, connection: int) -> None:
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.connection = connection


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


def response(code: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Behaviour = Callable[[Seen, asyncio.StreamWriter], Awaitable[None]]


async def serve_ok(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(response(200, b"done " + seen.headers["x-call-id"].encode()))


class Backend:
    """Answers calls by `behave`; keeps what it saw, apart from probes."""

    def __init__(self, behave: Behaviour = serve_ok) -> None:
        self.behave = behave
        self.healthy: bool | None = True  # what a probe is told; None: nothing
        self.probed = asyncio.Event()
        self.calls: asyncio.Queue[Seen] = asyncio.Queue()
        self.count = 0
        self.connections = 0
        self.closed: asyncio.Queue[int] = asyncio.Queue()  # connections that the proxy closed
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> Backend:
        """Listens where it did before, if it did."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                seen = Seen(*await read_message(reader), number)
                if seen.target in ("/load", "/healthz"):
                    self.probed.set()
                    if self.healthy is not None:
                        writer.write(response(200 if self.healthy else 503, b"inflight=0,queue=0"))
                    continue
                self.count += 1
                self.calls.put_nowait(seen)
                await self.behave(seen, writer)
        self.closed.put_nowait(number)
        writer.close()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            for writer in self.writers:
                writer.close()


class Discovery:
    """Tells the list at once, then each change as it is put."""

    def __init__(self) -> None:
        self.changes: asyncio.Queue[bytes] = asyncio.Queue()
        self.asked: asyncio.Queue[str] = asyncio.Queue()
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> Discovery:
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                line, _, _ = await read_message(reader)
                self.asked.put_nowait(line.split(" ")[1])
                writer.write(await self.changes.get())
        writer.close()

    def put(self, index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> None:
        told = json.dumps(listing(index, *endpoints, snapshot=snapshot))
        self.changes.put_nowait(response(200, told.encode()))


def endpoint(name: str, address: str, status: str = "Ready", **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "m",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
        **more,
    }


def listing(index: int, *endpoints: dict[str, Any], snapshot: bool = True) -> dict[str, Any]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}


class Answer:
    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.code = int(line.split(" ")[1])
        self.headers = headers
        self.body = body


class Caller:
    """One caller's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, cls: str, id: str, budget: str = "1000m", body: bytes = b"", **headers: str) -> None:
        method = "GET" if cls == "stock" else "POST"
        if cls == "reserva":
            headers.setdefault("Idempotency_Key", "k" + id)
        lines = [f"{method} /{cls}?q=1 HTTP/1.1", "Host: x", f"X-Call-Id: {id}", f"X-Budget: {budget}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def answer(self) -> Answer:
        async with asyncio.timeout(PATIENCE):
            return Answer(*await read_message(self.reader))

    async def call(
        self, cls: str, id: str, budget: str = "1000m", body: bytes = b"", **headers: str
    ) -> Answer:
        self.send(cls, id, budget, body, **headers)
        return await self.answer()

    async def raw(self, data: bytes) -> Answer:
        self.writer.write(data)
        return await self.answer()

    async def ended(self) -> bool:
        async with asyncio.timeout(PATIENCE):
            with contextlib.suppress(ConnectionError):
                return await self.reader.read(1) == b""
            return True


class Proxy:
    """The program itself, as a process."""

    def __init__(
        self, process: asyncio.subprocess.Process, address: tuple[str, int], path: Path, first: dict[str, Any]
    ) -> None:
        self.process = process
        self.address = address
        self.path = path
        self.first = first

    async def caller(self) -> Caller:
        return Caller(*await asyncio.open_connection(*self.address))

    def reload(self, **changes: Any) -> None:
        """Replaces the file (with `text`, or with these keys changed), then sends SIGHUP."""
        text = changes.pop("text", None)
        if text is None:
            text = json.dumps({**self.first, **changes})
        new = self.path.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.path)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    async def code(self) -> int:
        async with asyncio.timeout(PATIENCE):
            return await self.process.wait()


def config(discovery: str, known: dict[str, Any], listen: str, /, **changes: Any) -> dict[str, Any]:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": changes.pop("sockets", 1024)}
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": limits,
        "known": known,
        "settings": copy.deepcopy({**SETTINGS, **changes}),
    }


def loads(*prefixes: str) -> bool:
    """Whether a proxy with all off has a module loaded whose name begins so; it is put together in a process
    of its own."""
    code = (
        "import asyncio, sys\n"
        "from service_proxy.composition import Proxy\n"
        "from service_proxy.net.config import parse_config\n"
        "from harness.proxy_process import settings\n"
        "raw = {'listen': '127.0.0.1:0', 'discovery': '127.0.0.1:1', 'settings': settings()}\n"
        "async def test():\n"
        "    Proxy(parse_config(raw, {}), None).stop()\n"
        "asyncio.run(test())\n"
        f"sys.exit(7 if any(name.startswith({prefixes!r}) for name in sys.modules) else 0)\n"
    )
    code_of = subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=PATIENCE).returncode
    assert code_of in (0, 7)
    return code_of == 7


async def start_program(raw: object, folder: str, **variables: str) -> asyncio.subprocess.Process:
    path = Path(folder) / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw), encoding="utf-8")
    environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    environ |= {"EDGE_CONFIG": str(path), **variables}
    if isinstance(raw, dict):
        environ["EDGE_DISCOVERY"] = raw["discovery"]
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "service_proxy", cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
    )


async def until_ready(address: tuple[str, int]) -> None:
    async with asyncio.timeout(PATIENCE):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                caller = Caller(*await asyncio.open_connection(*address))
                reply = await caller.raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                caller.writer.close()
                if reply.code == 200:
                    return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def proxy(
    backends: dict[str, Backend], discovery: Discovery | None = None, /, **changes: Any
) -> AsyncIterator[Proxy]:
    """A proxy before these backends, ready; ended by force if the test has not ended it."""
    own = discovery or await Discovery().start()
    for backend in backends.values():
        if not backend.address:
            await backend.start()
    known = listing(1, *(endpoint(name, backend.address) for name, backend in backends.items()))
    listen = f"127.0.0.1:{free_port()}"
    host, _, port = listen.rpartition(":")
    with tempfile.TemporaryDirectory() as folder:
        raw = config(own.address, known, listen, **changes)
        process = await start_program(raw, folder)
        try:
            await until_ready((host, int(port)))
            yield Proxy(process, (host, int(port)), Path(folder) / "config.json", raw)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for backend in backends.values():
                await backend.stop()
            if own.server is not None:
                own.server.close()


def resets_on_close(raw: socket.socket) -> None:
    """socket(7), SO_LINGER with no time: what is closed from now on is reset."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def get(id: str) -> bytes:
    """A call of a class that is safe, as its bytes."""
    return f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:>016}\r\nX-Budget: 5000m\r\n\r\n".encode()


def run(test: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(4 * PATIENCE):
            await test

    asyncio.run(bounded())


async def next_call(backend: Backend) -> Seen:
    async with asyncio.timeout(PATIENCE):
        return await backend.calls.get()
