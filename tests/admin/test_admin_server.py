"""The admin server, metrics, maintenance and settings updates, through the program itself."""

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
    PATIENT_BUDGET,
    TEST_TIMEOUT_S,
    DiscoveryServer,
    EndpointServer,
    ProxyUnderTest,
    Response,
    config,
    endpoint_entry,
    endpoint_list,
    idle_proxy_loads,
    next_request,
    patient_settings,
    read_message,
    run_async,
    start_proxy,
    wait_until_ready,
)

from harness.proxy_process import free_port
from service_proxy.admin.metrics import Metrics
from service_proxy.admin.routes import AdminResponse, route
from service_proxy.admin.server import MAX_CONNECTIONS


class ProxyWithAdmin(ProxyUnderTest):
    """A proxy with an admin server."""

    admin_address: tuple[str, int]

    async def admin(self, request_line: str, data: bytes = b"") -> Response:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.admin_address)
            method, _, target = request_line.partition(" ")
            head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            response = Response(*await read_message(reader))
            assert await reader.read() == b""  # one request a connection
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
    backends: dict[str, EndpointServer], discovery: DiscoveryServer, **changes: Any
) -> AsyncIterator[ProxyWithAdmin]:
    for backend in backends.values():
        await backend.start()
    known = endpoint_list(1, *(endpoint_entry(name, backend.address) for name, backend in backends.items()))
    listen = free_port()
    console = free_port()
    with tempfile.TemporaryDirectory() as folder:
        raw = config(discovery.address, known, f"127.0.0.1:{listen}", **changes)
        raw["console"] = f"127.0.0.1:{console}"
        process = await start_proxy(raw, folder, TMPDIR=folder)
        try:
            await wait_until_ready(("127.0.0.1", listen))
            made = ProxyWithAdmin(process, ("127.0.0.1", listen), Path(folder) / "config.json", raw)
            made.admin_address = "127.0.0.1", console
            yield made
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for backend in backends.values():
                await backend.stop()


class RecordingHandler:
    """Records the requests that it is handed."""

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
    assert route(handler, method, target).status == code
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

        async def behave(seen: Any, writer: asyncio.StreamWriter) -> None:
            if seen.target.startswith("/canje"):
                await gate.wait()
            code = b"500 X" if seen.target.startswith("/reserva") else b"200 X"
            writer.write(b"HTTP/1.1 " + code + b"\r\nContent-Length: 2\r\n\r\nok")

        discovery = await DiscoveryServer().start()
        backend = EndpointServer(behave)
        async with proxy_with_admin({"s-1": backend}, discovery, **patient_settings()) as node:
            caller = await node.connect()
            slow_client = await node.connect()
            for n in range(3):
                assert (await caller.request("stock", f"a{n}", PATIENT_BUDGET)).status_code == 200
            assert (await caller.request("reserva", "b")).status_code != 200
            assert (await caller.request("nosuch", "c")).status_code == 404
            slow_client.send("canje", "d", PATIENT_BUDGET)
            while (await next_request(backend)).headers["x-call-id"] != "d":
                pass
            found = await node.metrics()
            assert found["inflight"] == 1 and found["hosts_listed"] == 1
            assert found["calls.stock.success"] == 3 and found["calls.canje.success"] == 0
            assert found["calls.reserva.success"] == 0
            assert found["calls.reserva.busy"] + found["calls.reserva.failure"] == 1
            assert found["backend_calls"] == backend.received_count
            gate.set()
            assert (await slow_client.response()).status_code == 200
            found = await node.metrics()
            assert found["calls.canje.success"] == 1 and found["inflight"] == 0

    run_async(test())


def test_the_admin_server_answers_beside_clients_that_hold_its_connections() -> None:
    """More connections than it holds, each with half a request."""

    async def test() -> None:
        discovery = await DiscoveryServer().start()
        backend = EndpointServer()
        async with proxy_with_admin({"s-1": backend}, discovery) as node:
            held = [await asyncio.open_connection(*node.admin_address) for _ in range(MAX_CONNECTIONS + 4)]
            for _, writer in held:
                writer.write(b"GET /sta")
            begun = asyncio.get_running_loop().time()
            assert (await node.admin("GET /healthcheck")).status_code == 200
            assert asyncio.get_running_loop().time() - begun < 1.0
            assert (await node.admin("POST /nothing")).status_code == 404
            assert (await node.admin("GET /" + "x" * 9000)).status_code in (
                400,
                404,
            )  # by how it came in pieces
            for _, writer in held:
                writer.close()

    run_async(test())


def test_an_endpoint_in_maintenance_gets_nothing_and_a_request_soon_after_it_is_back() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        one = EndpointServer()
        two = EndpointServer()
        async with proxy_with_admin({"s-1": one, "s-2": two}, discovery, **patient_settings()) as node:
            assert (await node.admin("POST /backends/s-9/maint")).status_code == 404
            for _ in range(2):
                assert (await node.admin("POST /backends/s-1/maint")).status_code == 200
            before = one.received_count
            discovery.publish(
                2, endpoint_entry("s-1", one.address), endpoint_entry("s-2", two.address), snapshot=True
            )
            while "?from=2&hold_ms=" not in await discovery.polls.get():
                pass
            caller = await node.connect()  # not idle for as long as the first poll may take
            for n in range(20):
                assert (await caller.request("canje", f"a{n}", budget=PATIENT_BUDGET)).status_code == 200
            assert one.received_count == before and (await node.metrics())["hosts_down"] == 1
            assert (await node.admin("POST /backends/s-1/ready")).status_code == 200
            assert (await caller.request("canje", "b", budget=PATIENT_BUDGET)).status_code == 200
            assert one.received_count == before + 1 and (await node.metrics())["hosts_down"] == 0

    run_async(test())


def test_maintenance_goes_on_in_the_process_that_follows() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        one = EndpointServer()
        two = EndpointServer()
        async with proxy_with_admin({"s-1": one, "s-2": two}, discovery, **patient_settings()) as node:
            assert (await node.admin("POST /backends/s-1/maint")).status_code == 200
            node.process.kill()
            await node.process.wait()
            folder = str(node.config_path.parent)
            node.process = await start_proxy(node.initial_config, folder, TMPDIR=folder)
            try:
                await wait_until_ready(node.address)
                before = one.received_count
                caller = await node.connect()
                for n in range(10):
                    assert (await caller.request("stock", f"a{n}", PATIENT_BUDGET)).status_code == 200
                assert one.received_count == before
                assert (await node.metrics())["hosts_down"] == 1
            finally:
                node.process.kill()
                await node.process.wait()

    run_async(test())


def request_classes(**changes: Any) -> list[dict[str, Any]]:
    classes: list[dict[str, Any]] = patient_settings()["grades"]
    for request_class in classes:
        request_class.update(changes.get(request_class["name"], {}))
    return classes


def test_a_reload_takes_new_and_stricter_classes_and_requests_in_flight_keep_theirs() -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def behave(seen: Any, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] == "held":
                await gate.wait()
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")

        discovery = await DiscoveryServer().start()
        backend = EndpointServer(behave)
        async with proxy_with_admin({"s-1": backend}, discovery, **patient_settings()) as node:
            caller = await node.connect()
            slow_client = await node.connect()
            slow_client.send("canje", "held", budget=PATIENT_BUDGET)
            assert (await next_request(backend)).headers["x-call-id"] == "held"
            classes = [g for g in request_classes(stock={"effect": "once"}) if g["name"] != "canje"]
            classes.append({**classes[0], "name": "express"})
            node.reload(settings={**node.initial_config["settings"], "grades": classes})
            await node.until_metric("reconfig_ok", 1)
            assert (await caller.request("express", "e", PATIENT_BUDGET)).status_code == 200  # at once
            served = 0
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while (code := (await caller.request("canje", "x", PATIENT_BUDGET)).status_code) != 404:
                    served += code == 200
                    await asyncio.sleep(0.02)
            head = b"POST /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: s\r\nX-Budget: 9000m\r\n"
            assert (await caller.send_raw(head + b"Content-Length: 0\r\n\r\n")).status_code == 200
            gate.set()
            assert (await slow_client.response()).status_code == 200
            found = await node.metrics()
            assert found["calls.canje.success"] == served + 1 and found["calls.express.success"] == 1

    run_async(test())


def test_an_invalid_file_changes_nothing_and_is_counted() -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        backend = EndpointServer()
        async with proxy_with_admin({"s-1": backend}, discovery) as node:
            cut = json.dumps(node.initial_config)[:-20]
            nought = {
                **node.initial_config,
                "settings": {
                    **node.initial_config["settings"],
                    "grades": request_classes(stock={"deadline": 0}),
                },
            }
            for n, text in enumerate(["", cut, json.dumps(nought)], 1):
                node.reload(text=text)
                await node.until_metric("reconfig_failed", n)
            assert (await (await node.connect()).request("stock", "a")).status_code == 200
            assert (await node.metrics())["reconfig_ok"] == 0

    run_async(test())


def test_without_an_admin_address_nothing_of_the_package_is_imported() -> None:
    assert not idle_proxy_loads("service_proxy.admin")
