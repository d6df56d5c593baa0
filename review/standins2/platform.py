"""Stand-ins for the platform: discovery and backends as the protocol page describes them, and HTTP clients.

All of them live in the process of the test, listen on loopback and end with it. Programs of the project are
separate processes, started by the commands of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RUN_COMMAND = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST_PORT, LAST_PORT = 20_000, 32_000  # below the kernel's ephemeral range

GRADES: list[dict[str, Any]] = [
    {"name": "stock", "value": 12.0, "objective": 0.5, "deadline": 1.2, "effect": "repeatable"},
    {
        "name": "reserva",
        "value": 1.0,
        "objective": 1.5,
        "deadline": 4.0,
        "effect": "by_key",
        "group": "zone",
        "window": 6.0,
    },
    {"name": "canje", "value": 1.0, "objective": 2.5, "deadline": 6.0, "effect": "once"},
]


def settings(**changes: Any) -> dict[str, Any]:
    """Return the platform's settings of a small deployment, with the figures of central-santiago."""
    return {
        "balancers": 2,
        "me": 0,
        "stage": 0,
        "stages": ["portal"],
        "zone": "sala-a",
        "dcs": ["sala-a", "sala-b", "sala-c"],
        "discovery": "ask",
        "quantum": 0.005,
        "grades": GRADES,
        "tenants": [],
        "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
        "charges": {"cross_zone": 0.015, "waste": 0.05, "late_fail": 0.08, "probe": 0.01},
        "policy_limits": {
            "send_cap": 5,
            "may_duplicate": False,
            "may_cancel": True,
            "probes": True,
            "peers": True,
            "conn_idle": 30.0,
            "connect_timeout": 0.25,
            "most_held": 2000,
            "retry_after": True,
            "max_retry_after": 2.0,
        },
        "contract": {
            "must_ask_in": 10.0,
            "grace_to_answer": 0.02,
            "drain_grace": 2.0,
            "cold_from": 0.16,
            "cold": 24.0,
            "fall_multiple": 3.0,
            "overload_for": 3.0,
        },
        **changes,
    }


class Record:
    """What was sent, answered and run, in order; written to record.txt beside the script."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port on which nobody listens for TCP or UDP, and that was not returned before."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _used_ports:
            continue
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            _used_ports.add(port)
            return port


async def until(condition: Callable[[], Any], what: str, limit: float = 20.0) -> None:
    """Wait until a condition holds. Raises CannotRunError after `limit` s."""
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise CannotRunError(f"not within {limit:g} s: {what}")
        await asyncio.sleep(0.02)


class CannotRunError(Exception):
    """The case could not run; its script exits with 2."""


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read a request's or response's head; return the words of its first line, and its header fields."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return head[0].split(" ", 2), fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read the body that the fields announce."""
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(code: int, body: bytes, extra: str = "") -> bytes:
    """Return the bytes of a response."""
    return f"HTTP/1.1 {code} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class KeyMemory:
    """What the backends of one group remember: the answer to each key that ran, for `window` s."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.ran_at: dict[str, float] = {}

    def is_repeat(self, key: str) -> bool:
        """Return whether this key ran within the window; otherwise remember that it runs now."""
        now = time.monotonic()
        if now - self.ran_at.get(key, float("-inf")) < self.window:
            return True
        self.ran_at[key] = now
        return False


class Backend:
    """A backend: it runs each request that has come whole, unless its group remembers the key.

    Attributes:
        runs: one entry for each request that ran: its key or id.
        work: seconds of work for each request.
        body: makes the answer to a request id.
        is_healthy: whether GET /healthz answers 200 or 503.
        raw_answer: if not empty, the bytes of each answer, after which the connection stays open.
    """

    def __init__(self, record: Record, name: str, zone: str, memory: KeyMemory, work: float = 0.3) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.memory = memory
        self.work = work
        self.body: Callable[[str], bytes] = lambda request_id: f"done {request_id}".encode()
        self.raw_answer = b""
        self.is_healthy = True
        self.port = free_port()
        self.runs: list[str] = []
        self.open = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.since_ms = 0

    @property
    def entry(self) -> dict[str, Any]:
        """The backend as discovery lists it."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "portal-rapido",
            "group": 0,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def start(self, is_cold: bool = False) -> None:
        """Listen; a cold backend tells that it started now."""
        if is_cold:
            self.since_ms = int(time.time() * 1000)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.record.add(f"backend {self.name} in {self.zone} up")

    def kill(self) -> None:
        """End like a process that dies: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add(f"backend {self.name} in {self.zone} died")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                words, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if words[1] in ("/healthz", "/load"):
                    code = 200 if self.is_healthy else 503
                    writer.write(response(code, f"inflight={self.open},queue=0".encode()))
                    continue
                self.open += 1
                try:
                    writer.write(await self._run(words, fields, body))
                finally:
                    self.open -= 1
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _run(self, words: list[str], fields: dict[str, str], _body: bytes) -> bytes:
        request_id = fields.get("x-call-id", "")
        key = fields.get("idempotency-key", "")
        if not request_id:
            return response(404, b"no id")
        if key and self.memory.is_repeat(key):
            self.record.add(
                f"backend {self.name} in {self.zone} dropped repeat of key {key} (id {request_id})"
            )
        else:
            self.runs.append(key or request_id)
            call = f"{words[0]} {words[1]} id {request_id} key {key or '-'}"
            self.record.add(f"backend {self.name} in {self.zone} RAN {call}")
        await asyncio.sleep(self.work)
        if self.raw_answer:
            self.record.add(f"backend {self.name} answers id {request_id} with {self.raw_answer!r}")
            return self.raw_answer
        return response(200, self.body(request_id))


def count_repeated_keys(record: Record, backends: list[Backend], keys: list[str]) -> int:
    """Record where each key ran, and return how many of the keys ran more than once."""
    repeated = 0
    for key in keys:
        ran_at = [backend.name for backend in backends for run in backend.runs if run == key]
        record.add(f"key {key} ran {len(ran_at)} times: {' '.join(ran_at)}")
        repeated += len(ran_at) > 1
    record.add(f"{repeated} of {len(keys)} keys ran more than once")
    return repeated


class Discovery:
    """Discovery of one tier: the whole list, and a watch on changes.

    `delay` is the time that it takes for an answer, beyond the wait of a watch.
    """

    def __init__(self, record: Record, delay: float = 0.0) -> None:
        self.record = record
        self.delay = delay
        self.port = free_port()
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address for the proxy's configuration."""
        return f"127.0.0.1:{self.port}"

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change an entry."""
        self.index += 1
        self.entries[entry["name"]] = entry
        self.changed_at[entry["name"]] = self.index
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        endpoints = [entry for entry in self.entries.values() if entry["status"] != "Gone"]
        return {"index": self.index, "snapshot": True, "endpoints": endpoints}

    def reset(self, entries: list[dict[str, Any]]) -> None:
        """List only these entries, as a discovery that starts anew does: its version begins at 1."""
        self.entries = {entry["name"]: entry for entry in entries}
        self.index = 1
        self.changed_at = dict.fromkeys(self.entries, 1)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def kill(self) -> None:
        """End like a process that dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                words, _ = await read_head(reader)
                _, _, query = words[1].partition("?")
                fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
                if "from" not in fields:
                    answer = self.known()
                else:
                    since = int(fields["from"])
                    if since == self.index and int(fields.get("hold_ms", "0")):
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), int(fields["hold_ms"]) / 1000)
                    if writer.transport.is_closing():
                        return
                    changes = [e for name, e in self.entries.items() if self.changed_at[name] > since]
                    answer = {"index": self.index, "snapshot": False, "endpoints": changes}
                    if since > self.index:
                        answer = self.known()
                if self.delay:
                    await asyncio.sleep(self.delay)
                if writer.transport.is_closing():
                    self.record.add(f"discovery: the caller of {words[1]} has gone")
                    return
                names = " ".join(f"{e['name']}:{e['status']}" for e in answer["endpoints"])
                kind = "whole list" if answer["snapshot"] else "changes"
                self.record.add(f"discovery answers {words[1]}: {kind}, index {answer['index']}, [{names}]")
                writer.write(response(200, json.dumps(answer).encode()))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Client:
    """Client of a proxy; each request has a connection of its own."""

    def __init__(self, record: Record) -> None:
        self.record = record

    async def send(
        self,
        port: int,
        path: str,
        request_id: str,
        key: str = "",
        budget_ms: int = 4000,
        is_retry: bool = False,
        method: str = "POST",
        note: str = "",
    ) -> tuple[int, bytes]:
        """Send a request and return status and body; status 0: the connection was refused or broke."""
        lines = [f"{method} {path} HTTP/1.1", "Host: service.internal", f"X-Call-Id: {request_id}"]
        lines += [f"X-Budget: {budget_ms}m"]
        if key:
            lines.append(f"Idempotency-Key: {key}")
        if is_retry:
            lines.append("X-Again: 1")
        if method == "POST":
            lines.append("Content-Length: 0")
        self.record.add(f"client sends {method} {path} id {request_id} key {key or '-'} {note}")
        code, body = 0, b""
        writer = None
        try:
            async with asyncio.timeout(budget_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                words, fields = await read_head(reader)
                code, body = int(words[1]), await read_body(reader, fields)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            body = type(error).__name__.encode()
        finally:
            if writer is not None:
                writer.transport.abort()
        self.record.add(f"client got {code} for id {request_id}: {body[:70]!r}")
        return code, body


async def is_ready(port: int) -> bool:
    """Return whether GET /healthz answers 200."""
    writer = None
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            words, _ = await read_head(reader)
            return words[1] == "200"
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.transport.abort()


class Program:
    """A process of the project, started with `command` by /bin/sh from the root, as the deploy page says."""

    def __init__(self, record: Record, name: str, folder: Path, command: str = RUN_COMMAND) -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.command = command
        self.process: asyncio.subprocess.Process | None = None
        self.environ: dict[str, str] = {}
        self.starts = 0

    @property
    def log(self) -> str:
        """The log of the present process."""
        path = self.folder / f"log-{self.starts}"
        return path.read_text() if path.exists() else ""

    async def start(self) -> None:
        """Start the process with an empty $TMPDIR of its own."""
        self.starts += 1
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ |= self.environ | {"TMPDIR": str(temporary)}
        with (self.folder / f"log-{self.starts}").open("wb") as sink:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.command, cwd=ROOT, env=environ, stdout=sink, stderr=sink
            )
        self.record.add(f"{self.name} started")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def kill(self, number: int = signal.SIGKILL, limit: float = 15.0) -> int | None:
        """Send a signal and wait for the end; return the exit code."""
        if self.process is None or not self.is_running:
            return None
        self.process.send_signal(number)
        self.record.add(f"{self.name} got {signal.Signals(number).name}")
        async with asyncio.timeout(limit):
            return await self.process.wait()


class Proxy(Program):
    """One proxy with its configuration and, if there is one, its operator's file."""

    def __init__(
        self, record: Record, folder: Path, name: str, config: dict[str, Any], operator: str = ""
    ) -> None:
        folder.mkdir()
        command = RUN_COMMAND
        if operator:
            (folder / "operator.toml").write_text(operator)
            command += f" --operator {folder}/operator.toml"
        super().__init__(record, name, folder, command)
        self.port = int(config["listen"].rpartition(":")[2])
        self.environ = {
            "EDGE_NAME": name,
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(folder / "config.json"),
        }
        self.write_config(config)

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration."""
        self.config = config
        (self.folder / "config.json").write_text(json.dumps(config))

    async def wait_ready(self, limit: float = 20.0) -> None:
        """Wait until GET /healthz answers 200."""
        end = time.monotonic() + limit
        while not await is_ready(self.port):
            if not self.is_running or time.monotonic() > end:
                raise CannotRunError(f"{self.name} is not ready: {self.log[-1500:]}")
            await asyncio.sleep(0.02)


def proxy_config(
    name: str, discovery: Discovery, known: dict[str, Any] | None = None, **more: Any
) -> dict[str, Any]:
    """Return the configuration of a proxy on a free loopback port."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": discovery.address,
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known or discovery.known(),
        "settings": settings(),
        **more,
    }


def set_boot(folder: Path, name: str) -> None:
    """Give the machine of a proxy a new boot identifier, as each boot does."""
    (folder / f"boot-{name}").write_text(f"{random.getrandbits(128):032x}\n")


async def start_fleet(
    record: Record,
    folder: Path,
    programs: list[Program],
    discovery: Discovery,
    count: int = 2,
    warm_after: float = 24.0,
) -> list[Proxy]:
    """Start proxies of one fleet with a recovery store each, and wait until their recovery is steady."""
    peers = [f"127.0.0.1:{free_port()}" for _ in range(count)]
    contract = settings()["contract"] | {"cold": warm_after}
    proxies = []
    for number in range(count):
        name = f"p{number}"
        config = proxy_config(
            name,
            discovery,
            peer_listen=peers[number],
            peers=peers,
            settings=settings(me=number, balancers=count, contract=contract),
        )
        set_boot(folder, name)
        operator = f"""[fleet]
name = "portal-central"

[recovery]
store = "{folder}/store-{name}"
boot_mark = "{folder}/boot-{name}"
"""
        proxies.append(Proxy(record, folder / name, name, config, operator))
    programs += proxies
    for proxy in proxies:
        await proxy.start()
    for proxy in proxies:
        await proxy.wait_ready()
    await wait_steady(proxies)
    return proxies


async def wait_steady(proxies: list[Proxy], limit: float = 70.0) -> None:
    """Wait until the log of each proxy says that its recovery is steady."""
    for proxy in proxies:
        await until(lambda proxy=proxy: "after=steady" in proxy.log, f"{proxy.name} steady", limit)
    record_names = ", ".join(proxy.name for proxy in proxies)
    proxies[0].record.add(f"recovery is steady at {record_names}")


async def warm_up(client: Client, ports: list[int], count: int = 8) -> None:
    """Send requests that are safe to repeat, two at a time, so that the proxies know their backends."""
    for number in range(count):
        for port in ports:
            await asyncio.gather(
                *(
                    client.send(port, "/stock/1", f"w{port}-{number}-{n}", method="GET", budget_ms=1200)
                    for n in range(2)
                )
            )


async def lose_power(
    record: Record, discovery: Discovery, backends: list[Backend], proxies: list[Proxy], dark: float
) -> None:
    """Let backends, proxies and discovery of a site end at one moment; the backends forget all keys."""
    record.add("the site loses power")
    discovery.kill()
    for backend in backends:
        backend.kill()
        backend.memory.ran_at.clear()
    await asyncio.gather(*(proxy.kill() for proxy in proxies))
    await asyncio.sleep(dark)
    for backend in backends:
        backend.since_ms = int(time.time() * 1000)


async def regain_power(record: Record, folder: Path, backends: list[Backend], proxies: list[Proxy]) -> None:
    """Let backends and proxies start again and wait for the proxies; the case starts discovery itself."""
    record.add("power is back")
    for backend in backends:
        await backend.start()
    for proxy in proxies:
        set_boot(folder, proxy.name)
        await proxy.start()
    for proxy in proxies:
        await proxy.wait_ready()


def run_case(case: Callable[[Record, Path, list[Program]], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    `case` gets the record, a temporary folder and a list of programs; it adds each program that it starts.
    """
    record = Record(folder / "record.txt")
    programs: list[Program] = []

    async def run(temporary: Path) -> int:
        record.add(f"trouble: {'on' if TROUBLE else 'off'}")
        try:
            async with asyncio.timeout(110):
                return 0 if await case(record, temporary, programs) else 1
        except (CannotRunError, TimeoutError, OSError) as error:
            record.add(f"the case could not run: {type(error).__name__} {error}")
            return 2
        finally:
            for program in programs:
                with contextlib.suppress(TimeoutError):
                    await program.kill()
                if os.environ.get("KEEP_LOGS"):
                    for number in range(1, program.starts + 1):
                        text = (program.folder / f"log-{number}").read_text()
                        record.add(f"log of {program.name}, start {number}:\n{text}")

    with tempfile.TemporaryDirectory() as temporary:
        code = asyncio.run(run(Path(temporary)))
    record.add(f"exit code {code}")
    record.write()
    print(f"{folder.name}: {['the rule held', 'the rule was broken', 'the case could not run'][code]}")
    sys.exit(code)
