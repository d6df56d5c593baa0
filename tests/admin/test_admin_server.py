"""Tests of the admin server, metrics, maintenance and settings updates through a proxy process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path
from typing import Any

import pytest
from net_harness import (
    LONG_TIME_BUDGET,
    PROGRAM,
    TEST_TIMEOUT_S,
    DiscoveryServer,
    EndpointServer,
    ProxyUnderTest,
    Response,
    config,
    endpoint_entry,
    endpoint_list,
    idle_proxy_loads,
    long_timeout_settings,
    next_request,
    read_message,
    run_async,
    start_proxy,
    wait_until_ready,
)

from harness.proxy_process import free_port
from service_proxy.admin.metrics import Metrics
from service_proxy.admin.routes import AdminResponse, route
from service_proxy.admin.server import MAX_CONNECTIONS
from service_proxy.admin.service import NOT_STORED
from service_proxy.recovery.store import read_store
from service_proxy.recovery.store_directory import StoreDirectory


class ProxyWithAdmin(ProxyUnderTest):
    """Proxy process with an admin server."""

    admin_address: tuple[str, int]

    async def admin(self, request_line: str, data: bytes = b"") -> Response:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.admin_address)
            method, _, target = request_line.partition(" ")
            head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            response = Response(*await read_message(reader))
            assert await reader.read() == b""  # the server closes the connection after one request
            writer.close()
            return response

    async def metrics(self) -> dict[str, int]:
        response = await self.admin("GET /stats")
        assert response.status_code == 200
        found = {}
        for line in response.body.decode().splitlines():
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            assert name.startswith("edge_edge.") and kind in ("c", "g")
            found[name.removeprefix("edge_edge.")] = int(value)
        return found

    async def until_metric(self, name: str, value: int) -> dict[str, int]:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while (found := await self.metrics()).get(name) != value:
                await asyncio.sleep(0.02)
            return found


@contextlib.asynccontextmanager
async def proxy_with_admin(
    endpoint_servers: dict[str, EndpointServer],
    discovery: DiscoveryServer,
    operator_file: str = "",
    **changes: Any,
) -> AsyncIterator[ProxyWithAdmin]:
    for endpoint_server in endpoint_servers.values():
        await endpoint_server.start()
    known = endpoint_list(
        1,
        *(
            endpoint_entry(name, endpoint_server.address)
            for name, endpoint_server in endpoint_servers.items()
        ),
    )
    listen = free_port()
    console = free_port()
    with tempfile.TemporaryDirectory() as folder:
        raw = config(discovery.address, known, f"127.0.0.1:{listen}", **changes)
        raw["console"] = f"127.0.0.1:{console}"
        program: tuple[str, ...] = PROGRAM
        if operator_file:
            path = Path(folder) / "operator.toml"
            path.write_text(operator_file)
            program += ("--operator", str(path))
        process = await start_proxy(raw, folder, program, TMPDIR=folder)
        try:
            await wait_until_ready(("127.0.0.1", listen))
            running_proxy = ProxyWithAdmin(process, ("127.0.0.1", listen), Path(folder) / "config.json", raw)
            running_proxy.admin_address = "127.0.0.1", console
            yield running_proxy
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for endpoint_server in endpoint_servers.values():
                await endpoint_server.stop()


class RecordingHandler:
    """Handler that records the requests routed to it."""

    def __init__(self) -> None:
        self.requests: list[str] = []

    def _record(self, request: str) -> AdminResponse:
        self.requests.append(request)
        return AdminResponse(HTTPStatus.OK, "ok\n")

    def health(self) -> AdminResponse:
        return self._record("health")

    def stats(self) -> AdminResponse:
        return self._record("stats")

    def start_maintenance(self, name: str) -> AdminResponse:
        return self._record(f"out {name}")

    def end_maintenance(self, name: str) -> AdminResponse:
        return self._record(f"back {name}")


@pytest.mark.parametrize(
    ("method", "target", "code", "handled"),
    [
        (b"GET", b"/healthcheck", 200, ["health"]),
        (b"GET", b"/stats?x=1", 200, ["stats"]),
        (b"POST", b"/stats", 405, []),
        (b"POST", b"/backends/s-1/maint", 200, ["out s-1"]),
        (b"POST", b"/backends/s%2D1/ready", 200, ["back s-1"]),
        (b"GET", b"/backends/s-1/maint", 405, []),
        (b"POST", b"/backends//maint", 404, []),
        (b"POST", b"/backends/" + b"x" * 257 + b"/maint", 404, []),
        (b"POST", b"/backends/s-1/maint/x", 404, []),
        (b"GET", b"*", 404, []),
    ],
)
def test_requests_are_routed_by_method_and_path(
    method: bytes, target: bytes, code: int, handled: list[str]
) -> None:
    handler = RecordingHandler()
    reply = route(handler, method, target)
    assert isinstance(reply, AdminResponse) and reply.status == code
    assert handler.requests == handled


def test_metrics_are_rendered_as_statsd_lines() -> None:
    metrics = Metrics()
    metrics.add_request_class("stock")
    for code in (200, 503, 429, 502, 400, 504, 200):
        metrics.request_ended("canje", code)
    assert metrics.render({"inflight": 3}, {"backend_calls": 9}).splitlines() == [
        "edge_edge.backend_calls:9|c",
        "edge_edge.calls.canje.busy:2|c",
        "edge_edge.calls.canje.failure:3|c",
        "edge_edge.calls.canje.success:2|c",
        "edge_edge.calls.stock.busy:0|c",
        "edge_edge.calls.stock.failure:0|c",
        "edge_edge.calls.stock.success:0|c",
        "edge_edge.inflight:3|g",
        "edge_edge.reconfig_failed:0|c",
        "edge_edge.reconfig_ok:0|c",
    ]


def test_metrics_count_what_clients_and_endpoints_saw() -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def respond(request: Any, writer: asyncio.StreamWriter) -> None:
            if request.target.startswith("/canje"):
                await gate.wait()
            code = b"500 X" if request.target.startswith("/reserva") else b"200 X"
            writer.write(b"HTTP/1.1 " + code + b"\r\nContent-Length: 2\r\n\r\nok")

        discovery = await DiscoveryServer().start()
        endpoint_server = EndpointServer(respond)
        async with proxy_with_admin({"s-1": endpoint_server}, discovery, **long_timeout_settings()) as proxy:
            client = await proxy.connect()
            slow_client = await proxy.connect()
            for n in range(3):
                assert (await client.request("stock", f"a{n}", LONG_TIME_BUDGET)).status_code == 200
            assert (await client.request("reserva", "b")).status_code != 200
            assert (await client.request("nosuch", "c")).status_code == 404
            slow_client.send("canje", "d", LONG_TIME_BUDGET)
            while (await next_request(endpoint_server)).headers["x-call-id"] != "d":
                pass
            found = await proxy.metrics()
            assert found["inflight"] == 1 and found["hosts_listed"] == 1
            assert found["calls.stock.success"] == 3 and found["calls.canje.success"] == 0
            assert found["calls.reserva.success"] == 0
            assert found["calls.reserva.busy"] + found["calls.reserva.failure"] == 1
            assert found["backend_calls"] == endpoint_server.received_count
            gate.set()
            assert (await slow_client.response()).status_code == 200
            found = await proxy.metrics()
            assert found["calls.canje.success"] == 1 and found["inflight"] == 0

    run_async(test())


def test_the_admin_server_answers_while_slow_clients_occupy_its_connections() -> None:
    """Clients open more connections than the admin server allows, and send half a request on each."""

    async def test() -> None:
        discovery = await DiscoveryServer().start()
        endpoint_server = EndpointServer()
        async with proxy_with_admin({"s-1": endpoint_server}, discovery) as proxy:
            open_connections = [
                await asyncio.open_connection(*proxy.admin_address) for _ in range(MAX_CONNECTIONS + 4)
            ]
            for _, writer in open_connections:
                writer.write(b"GET /sta")
            started_at = asyncio.get_running_loop().time()
            assert (await proxy.admin("GET /healthcheck")).status_code == 200
            assert asyncio.get_running_loop().time() - started_at < 1.0
            assert (await proxy.admin("POST /nothing")).status_code == 404
            assert (await proxy.admin("GET /" + "x" * 9000)).status_code in (
                400,
                404,
            )  # the status depends on how the request is split into reads
            for _, writer in open_connections:
                writer.close()

    run_async(test())


def test_an_endpoint_gets_no_requests_in_maintenance_and_one_soon_after_it() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        one = EndpointServer()
        two = EndpointServer()
        async with proxy_with_admin({"s-1": one, "s-2": two}, discovery, **long_timeout_settings()) as proxy:
            assert (await proxy.admin("POST /backends/s-9/maint")).status_code == 404
            for _ in range(2):
                assert (await proxy.admin("POST /backends/s-1/maint")).status_code == 200
            before = one.received_count
            discovery.publish(
                2, endpoint_entry("s-1", one.address), endpoint_entry("s-2", two.address), snapshot=True
            )
            while "?from=2&hold_ms=" not in await discovery.polls.get():
                pass
            # opened late, because the first poll may take longer than the idle timeout of a connection
            client = await proxy.connect()
            for n in range(20):
                assert (await client.request("canje", f"a{n}", budget=LONG_TIME_BUDGET)).status_code == 200
            assert one.received_count == before and (await proxy.metrics())["hosts_down"] == 1
            assert (await proxy.admin("POST /backends/s-1/ready")).status_code == 200
            assert (await client.request("canje", "b", budget=LONG_TIME_BUDGET)).status_code == 200
            assert one.received_count == before + 1 and (await proxy.metrics())["hosts_down"] == 0

    run_async(test())


def test_maintenance_continues_in_the_next_process() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        one = EndpointServer()
        two = EndpointServer()
        async with proxy_with_admin({"s-1": one, "s-2": two}, discovery, **long_timeout_settings()) as proxy:
            assert (await proxy.admin("POST /backends/s-1/maint")).status_code == 200
            proxy.process.kill()
            await proxy.process.wait()
            folder = str(proxy.config_path.parent)
            proxy.process = await start_proxy(proxy.initial_config, folder, TMPDIR=folder)
            try:
                await wait_until_ready(proxy.address)
                before = one.received_count
                client = await proxy.connect()
                for n in range(10):
                    assert (await client.request("stock", f"a{n}", LONG_TIME_BUDGET)).status_code == 200
                assert one.received_count == before
                assert (await proxy.metrics())["hosts_down"] == 1
            finally:
                proxy.process.kill()
                await proxy.process.wait()

    run_async(test())


@pytest.mark.parametrize("action", ["maint", "ready"])
def test_maintenance_is_stored_before_it_is_confirmed(tmp_path: Path, action: str) -> None:
    """Guards against a confirmed maintenance that a crash undoes, because it is not on the disk yet."""

    async def test() -> None:
        discovery = await DiscoveryServer().start()
        servers = {"s-1": EndpointServer(), "s-2": EndpointServer()}
        operator_file = f'[recovery]\nstore = "{tmp_path}"\n'
        async with proxy_with_admin(servers, discovery, operator_file, **long_timeout_settings()) as proxy:
            if action == "ready":
                assert (await proxy.admin("POST /backends/s-1/maint")).status_code == 200
            assert (await proxy.admin(f"POST /backends/s-1/{action}")).status_code == 200
            proxy.process.kill()
            await proxy.process.wait()
        stored = read_store(StoreDirectory(tmp_path), None).state.tables["maintenance"]
        assert set(stored) == ({"s-1"} if action == "maint" else set())

    run_async(test())


def test_maintenance_is_not_confirmed_if_the_store_fails(tmp_path: Path) -> None:
    """Guards against a wait without end for a disk that fails, and against a false confirmation."""

    async def test() -> None:
        discovery = await DiscoveryServer().start()
        (tmp_path / "file").write_text("")
        operator_file = f'[recovery]\nstore = "{tmp_path}/file/store"\n'
        servers = {"s-1": EndpointServer(), "s-2": EndpointServer()}
        async with proxy_with_admin(servers, discovery, operator_file, **long_timeout_settings()) as proxy:
            reply = await proxy.admin("POST /backends/s-1/maint")
            assert (reply.status_code, reply.body) == (503, NOT_STORED.text.encode())
            # The maintenance is in effect.
            assert (await proxy.metrics())["hosts_down"] == 1

    run_async(test())


def request_classes(**changes: Any) -> list[dict[str, Any]]:
    classes: list[dict[str, Any]] = long_timeout_settings()["grades"]
    for request_class in classes:
        request_class.update(changes.get(request_class["name"], {}))
    return classes


def test_a_reload_applies_new_and_stricter_classes_but_not_to_requests_in_flight() -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def respond(request: Any, writer: asyncio.StreamWriter) -> None:
            if request.headers["x-call-id"] == "held":
                await gate.wait()
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")

        discovery = await DiscoveryServer().start()
        endpoint_server = EndpointServer(respond)
        async with proxy_with_admin({"s-1": endpoint_server}, discovery, **long_timeout_settings()) as proxy:
            client = await proxy.connect()
            slow_client = await proxy.connect()
            slow_client.send("canje", "held", budget=LONG_TIME_BUDGET)
            assert (await next_request(endpoint_server)).headers["x-call-id"] == "held"
            classes = [g for g in request_classes(stock={"effect": "once"}) if g["name"] != "canje"]
            classes.append({**classes[0], "name": "express"})
            proxy.reload(settings={**proxy.initial_config["settings"], "grades": classes})
            await proxy.until_metric("reconfig_ok", 1)
            # new classes take effect at once
            assert (await client.request("express", "e", LONG_TIME_BUDGET)).status_code == 200
            served = 0
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while (code := (await client.request("canje", "x", LONG_TIME_BUDGET)).status_code) != 404:
                    served += code == 200
                    await asyncio.sleep(0.02)
            head = b"POST /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: s\r\nX-Budget: 9000m\r\n"
            assert (await client.send_raw(head + b"Content-Length: 0\r\n\r\n")).status_code == 200
            gate.set()
            assert (await slow_client.response()).status_code == 200
            found = await proxy.metrics()
            assert found["calls.canje.success"] == served + 1 and found["calls.express.success"] == 1

    run_async(test())


def test_an_invalid_file_changes_nothing_and_is_counted() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        endpoint_server = EndpointServer()
        async with proxy_with_admin({"s-1": endpoint_server}, discovery) as proxy:
            truncated = json.dumps(proxy.initial_config)[:-20]
            zero_deadline = {
                **proxy.initial_config,
                "settings": {
                    **proxy.initial_config["settings"],
                    "grades": request_classes(stock={"deadline": 0}),
                },
            }
            for n, text in enumerate(["", truncated, json.dumps(zero_deadline)], 1):
                proxy.reload(text=text)
                await proxy.until_metric("reconfig_failed", n)
            assert (await (await proxy.connect()).request("stock", "a")).status_code == 200
            assert (await proxy.metrics())["reconfig_ok"] == 0

    run_async(test())


def test_without_an_admin_address_nothing_of_the_package_is_imported() -> None:
    assert not idle_proxy_loads("service_proxy.admin")
