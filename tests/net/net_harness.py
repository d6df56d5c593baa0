"""Loopback helpers for tests of the proxy process: endpoint, discovery service and client on free ports."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from harness.proxy_process import free_port, platform_settings

ROOT = Path(__file__).parents[2]
TEST_TIMEOUT_S = 20.0  # A test that waits longer fails.

SETTINGS: dict[str, Any] = platform_settings(dcs=["a", "b"])


class ReceivedRequest:
    """Request as received by an endpoint."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes, connection: int) -> None:
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.connection = connection


async def listen(
    handler: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], port: int = 0
) -> tuple[asyncio.Server, str]:
    """Serve connections on a loopback port, and return the server and its address.

    A handler that still waits at the end of the test's loop is cancelled; this cancellation is not reported.
    """

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await handler(reader, writer)

    server = await asyncio.start_server(connection, "127.0.0.1", port)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


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


Responder = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


async def respond_ok(received_request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(200, b"done " + received_request.headers["x-call-id"].encode()))


class EndpointServer:
    """Endpoint that answers requests with `respond`, and records them except for health checks."""

    def __init__(self, respond: Responder = respond_ok) -> None:
        self.respond = respond
        self.health_check_result: bool | None = True  # Result of a health check; None: no response.
        self.health_checked = asyncio.Event()
        self.received: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.received_count = 0
        self.connections_accepted = 0
        # Numbers of the connections that the proxy closed.
        self.closed_connections: asyncio.Queue[int] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> EndpointServer:
        """Start listening; a restarted server uses its previous address."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server, self.address = await listen(self._connection, port)
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections_accepted += 1
        number = self.connections_accepted
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                received_request = ReceivedRequest(*await read_message(reader), number)
                if received_request.target in ("/load", "/healthz"):
                    self.health_checked.set()
                    if self.health_check_result is not None:
                        writer.write(
                            response(200 if self.health_check_result else 503, b"inflight=0,queue=0")
                        )
                    continue
                self.received_count += 1
                self.received.put_nowait(received_request)
                await self.respond(received_request, writer)
        self.closed_connections.put_nowait(number)
        writer.close()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            for writer in self.writers:
                writer.close()


class DiscoveryServer:
    """Discovery service that answers each poll with the next queued change."""

    def __init__(self) -> None:
        self.changes: asyncio.Queue[bytes] = asyncio.Queue()
        self.polls: asyncio.Queue[str] = asyncio.Queue()
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> DiscoveryServer:
        self.server, self.address = await listen(self._connection)
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                line, _, _ = await read_message(reader)
                self.polls.put_nowait(line.split(" ")[1])
                writer.write(await self.changes.get())
        writer.close()

    def publish(self, index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> None:
        body = json.dumps(endpoint_list(index, *endpoints, snapshot=snapshot))
        self.changes.put_nowait(response(200, body.encode()))


def endpoint_entry(name: str, address: str, status: str = "Ready", **more: Any) -> dict[str, Any]:
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


def endpoint_list(index: int, *endpoints: dict[str, Any], snapshot: bool = True) -> dict[str, Any]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}


class Response:
    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.status_code = int(line.split(" ")[1])
        self.headers = headers
        self.body = body


class Client:
    """Connection of one client."""

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

    async def response(self) -> Response:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return Response(*await read_message(self.reader))

    async def request(
        self, cls: str, id: str, budget: str = "1000m", body: bytes = b"", **headers: str
    ) -> Response:
        self.send(cls, id, budget, body, **headers)
        return await self.response()

    async def send_raw(self, data: bytes) -> Response:
        self.writer.write(data)
        return await self.response()

    async def is_closed(self) -> bool:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                return await self.reader.read(1) == b""
            return True


class ProxyUnderTest:
    """Proxy program, running as a process."""

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        address: tuple[str, int],
        path: Path,
        initial_config: dict[str, Any],
    ) -> None:
        self.process = process
        self.address = address
        self.config_path = path
        self.initial_config = initial_config

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))

    def reload(self, **changes: Any) -> None:
        """Replace the configuration file with `text` or with changed keys, then send SIGHUP."""
        text = changes.pop("text", None)
        if text is None:
            text = json.dumps({**self.initial_config, **changes})
        new = self.config_path.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.config_path)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self, kill_after: float | None = None) -> None:
        """Send SIGTERM, and SIGKILL after `kill_after` seconds as the platform does.

        A process that ended before SIGKILL keeps exit code 0, even if the test process notices the end late.
        """
        self.process.send_signal(signal.SIGTERM)
        if kill_after is not None:
            asyncio.get_running_loop().call_later(kill_after, self._kill)

    def _kill(self) -> None:
        if self.process.returncode is None:  # Popen.kill would reap an ended process and lose its exit code.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)

    async def exit_code(self) -> int:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self.process.wait()


def config(discovery: str, known: dict[str, Any], listen: str, /, **changes: Any) -> dict[str, Any]:
    limits = {
        "cores": 1.0,
        "memory_mb": changes.pop("memory_mb", 192),
        "sockets": changes.pop("sockets", 1024),
    }
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": limits,
        "known": known,
        "settings": copy.deepcopy({**SETTINGS, **changes}),
    }


def idle_proxy_loads(*prefixes: str) -> bool:
    """Return True if a proxy with all subsystems disabled loads a module with one of these name prefixes.

    The proxy is created in a separate process.
    """
    code = (
        "import asyncio, sys\n"
        "from service_proxy.composition import Proxy\n"
        "from service_proxy.net.config import parse_config\n"
        "from harness.proxy_process import platform_settings\n"
        "raw = {'listen': '127.0.0.1:0', 'discovery': '127.0.0.1:1', 'settings': platform_settings()}\n"
        "async def test():\n"
        "    Proxy(parse_config(raw, {}), None).stop()\n"
        "asyncio.run(test())\n"
        f"sys.exit(7 if any(name.startswith({prefixes!r}) for name in sys.modules) else 0)\n"
    )
    completed_exit_code = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, timeout=TEST_TIMEOUT_S
    ).returncode
    assert completed_exit_code in (0, 7)
    return completed_exit_code == 7


def buffering_for(timeout: float) -> tuple[str, ...]:
    """Return the arguments that run the program with this BUFFERING_TIMEOUT_S.

    The timeout must be long compared with the delays of a busy machine.
    """
    code = (
        "import sys\n"
        "from service_proxy import __main__\n"
        "from service_proxy.net.upstream import connection\n"
        f"assert connection.BUFFERING_TIMEOUT_S < {timeout}\n"
        f"connection.BUFFERING_TIMEOUT_S = {timeout}\n"
        "sys.exit(__main__.main())\n"
    )
    return "-c", code


PROGRAM = ("-m", "service_proxy")


async def start_proxy(
    raw: object, folder: str, program: tuple[str, ...] = PROGRAM, **variables: str
) -> asyncio.subprocess.Process:
    path = Path(folder) / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw), encoding="utf-8")
    environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    environ |= {"EDGE_CONFIG": str(path), **variables}
    if isinstance(raw, dict):
        environ["EDGE_DISCOVERY"] = raw["discovery"]
    return await asyncio.create_subprocess_exec(
        sys.executable, *program, cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
    )


async def wait_until_ready(address: tuple[str, int]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = Client(*await asyncio.open_connection(*address))
                reply = await client.send_raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                client.writer.close()
                if reply.status_code == 200:
                    return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def proxy_under_test(
    endpoints: dict[str, EndpointServer],
    discovery: DiscoveryServer | None = None,
    /,
    program: tuple[str, ...] = PROGRAM,
    **changes: Any,
) -> AsyncIterator[ProxyUnderTest]:
    """Run a proxy for these endpoints until it is ready; kill the process if the test has not ended it."""
    discovery_server = discovery or await DiscoveryServer().start()
    for endpoint in endpoints.values():
        if not endpoint.address:
            await endpoint.start()
    known = endpoint_list(
        1, *(endpoint_entry(name, endpoint.address) for name, endpoint in endpoints.items())
    )
    listen = f"127.0.0.1:{free_port()}"
    host, _, port = listen.rpartition(":")
    with tempfile.TemporaryDirectory() as folder:
        raw = config(discovery_server.address, known, listen, **changes)
        process = await start_proxy(raw, folder, program)
        try:
            await wait_until_ready((host, int(port)))
            yield ProxyUnderTest(process, (host, int(port)), Path(folder) / "config.json", raw)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for endpoint in endpoints.values():
                await endpoint.stop()
            if discovery_server.server is not None:
                discovery_server.server.close()


def get_request(id: str) -> bytes:
    """Return the bytes of a request of a safe class."""
    return f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id:>016}\r\nX-Budget: 5000m\r\n\r\n".encode()


def run_async(test: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(4 * TEST_TIMEOUT_S):
            await test

    asyncio.run(bounded())


async def next_request(endpoint: EndpointServer) -> ReceivedRequest:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        return await endpoint.received.get()


MAX_LATE_SETUPS = 10  # Maximum number of late set-ups in a row; a test with more fails.


async def repeat_until_timely(set_up: Callable[[int], Awaitable[bool]]) -> None:
    """Run a set-up, which receives its number, until it returns True because it was on time.

    A set-up returns False only if the clock shows that the test process or the machine was too late for the
    condition under test.
    """
    for number in range(MAX_LATE_SETUPS):
        if await set_up(number):
            return
    raise AssertionError(f"the set-up was late {MAX_LATE_SETUPS} times in a row, so nothing was tested")


LONG_TIME_BUDGET = f"{TEST_TIMEOUT_S * 1000:.0f}m"


def long_timeout_settings() -> dict[str, Any]:
    """Return settings under which attempts end only by the behavior of the endpoint.

    The endpoints run in the test process, which a busy machine may stall. With LONG_TIME_BUDGET, an attempt
    may last as long as the test. No overdue attempt is cancelled and retried. There are no health checks,
    which could stay unanswered, or occupy a connection so that a request opens another one.
    """
    long_times = {"objective": TEST_TIMEOUT_S, "deadline": TEST_TIMEOUT_S}
    limits = {**SETTINGS["policy_limits"], "probes": False, "may_cancel": False}
    return {"grades": [{**entry, **long_times} for entry in SETTINGS["grades"]], "policy_limits": limits}


async def suspend(process: asyncio.subprocess.Process) -> None:
    """Send SIGSTOP, and wait until the process has stopped (proc(5), stat, state)."""
    process.send_signal(signal.SIGSTOP)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
            await asyncio.sleep(0)
