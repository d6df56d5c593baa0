"""The sidecar as a process: refused starts, SIGHUP, SIGTERM, and the requests that are served meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from description_files import PLAIN, ROOT, write_description
from inbound_harness import respond_after
from net_harness import (
    TEST_TIMEOUT_S,
    Client,
    DiscoveryServer,
    EndpointServer,
    ReceivedRequest,
    Response,
    endpoint_entry,
    next_request,
    respond_ok,
    run_async,
)

from harness.coordination import CoordinationService
from harness.event_loop import until
from harness.proxy_process import free_port


class SidecarAddresses:
    """Addresses of one sidecar of the tier portal, of its application and of its discovery."""

    def __init__(self, application: str, discovery: str) -> None:
        self.inbound = f"127.0.0.1:{free_port()}"
        self.outbound = f"127.0.0.1:{free_port()}"
        self.application = application
        self.discovery = discovery

    def description(self) -> str:
        """Return the text of the plain description with these addresses."""
        text = PLAIN.replace('padron = "10.2.0.1:8500"', f'padron = "{self.discovery}"', 1)
        text = text.replace('"10.0.0.4:8081"', f'"{self.inbound}"')
        text = text.replace('"127.0.0.1:7001"', f'"{self.outbound}"')
        return text.replace('"127.0.0.1:9000"', f'"{self.application}"', 1)


class SidecarProcess:
    """Running sidecar process."""

    def __init__(
        self, process: asyncio.subprocess.Process, addresses: SidecarAddresses, file: Path, log: Path
    ) -> None:
        self.process = process
        self.addresses = addresses
        self.file = file
        self.log = log

    async def connect(self, address: str) -> Client:
        """Open a connection to a listener of the sidecar."""
        host, _, port = address.rpartition(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def request(self, address: str, class_name: str, request_id: str) -> Response:
        """Send a request to a listener of the sidecar on a new connection; return the response."""
        client = await self.connect(address)
        return await client.request(class_name, request_id)

    async def health_status(self, address: str) -> int:
        """Return the status code of a listener's health check, or 0 if there is no response."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await self.connect(address)
            response = await client.send_raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            client.writer.close()
            return response.status_code
        return 0

    async def wait_until_healthy(self, address: str) -> None:
        """Wait until a listener's health check responds 200."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await self.health_status(address) != 200:
                await asyncio.sleep(0.02)

    async def wait_for_log(self, text: str, count: int = 1) -> str:
        """Wait until the log contains the text `count` times; return the last line with the text."""
        await until(lambda: self.log.read_text().count(text) >= count, text)
        return next(line for line in reversed(self.log.read_text().splitlines()) if text in line)

    def reload(self, text: str) -> None:
        """Replace the description and send SIGHUP."""
        replacement = self.file.with_suffix(".new")
        replacement.write_text(text)
        replacement.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    async def exit_code(self) -> int:
        """Wait for the process to exit and return its exit code."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self.process.wait()


async def start_sidecar(folder: Path, file: str, *arguments: str) -> tuple[asyncio.subprocess.Process, Path]:
    """Start `run` for the tier portal; return the process and its log file."""
    log = folder / "log"
    command = [sys.executable, "-m", "service_proxy.sidecar", "run", file, "--tier", "portal", *arguments]
    with log.open("wb") as sink:
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=sink, stderr=sink)
    return process, log


@contextlib.asynccontextmanager
async def running_sidecar(
    folder: Path, application: EndpointServer, nucleo: EndpointServer, tables: str = "", ready: bool = True
) -> AsyncIterator[SidecarProcess]:
    """Run the plain description's sidecar of the tier portal with an application and one endpoint of nucleo.

    `tables` is added to the plain description. If `ready`, the listeners are healthy when the sidecar is
    yielded.
    """
    for endpoint in (application, nucleo):
        if not endpoint.address:
            await endpoint.start()
    discovery = await DiscoveryServer().start()
    discovery.publish(1, endpoint_entry("s-1", nucleo.address, zone="sala-a"), snapshot=True)
    addresses = SidecarAddresses(application.address, discovery.address)
    text = addresses.description().replace("[[sidecar]]", tables + "[[sidecar]]", 1)
    file = write_description(folder, text=text)
    process, log = await start_sidecar(folder, file)
    sidecar = SidecarProcess(process, addresses, Path(file), log)
    try:
        await sidecar.wait_for_log("running")
        if ready:
            await sidecar.wait_until_healthy(addresses.inbound)
            await sidecar.wait_until_healthy(addresses.outbound)
        yield sidecar
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        for endpoint in (application, nucleo):
            await endpoint.stop()
        if discovery.server is not None:
            discovery.server.close()


def test_requests_reach_the_application_and_the_next_tier(tmp_path: Path) -> None:
    async def test() -> None:
        application = EndpointServer()
        nucleo = EndpointServer()
        async with running_sidecar(tmp_path, application, nucleo) as sidecar:
            inbound = await sidecar.connect(sidecar.addresses.inbound)
            outbound = await sidecar.connect(sidecar.addresses.outbound)
            assert (await inbound.request("stock", "1" * 16)).status_code == 200
            assert application.received_count == 1
            assert (await outbound.request("reserva", "2" * 16)).status_code == 200
            assert nucleo.received_count == 1

    run_async(test())


@pytest.mark.parametrize(
    ("replaced", "replacement", "code", "line"),
    [
        ('retry = "never-ran"', 'retry = "always"', "R202", 32),
        ("format = 2", "format = 1", "C005", 1),
        ("[class.canje]", "[class.canje", "C002", 18),
    ],
)
def test_a_description_that_check_refuses_is_not_started(
    tmp_path: Path, replaced: str, replacement: str, code: str, line: int
) -> None:
    """Guards against a description that was changed after `check` accepted it."""

    async def test() -> None:
        file = write_description(tmp_path, text=PLAIN.replace(replaced, replacement))
        process, log = await start_sidecar(tmp_path, file)
        assert await process.wait() in (1, 2)
        assert f"app.toml:{line}:" in log.read_text()
        assert f"error[{code}]" in log.read_text()
        assert "running" not in log.read_text()

    run_async(test())


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--host", "h-9"], "no sidecars are for host h-9 and tier portal"),
        (["--tier", "nucleo", "--host", "h-1"], "no sidecars are for host h-1 and tier nucleo"),
        (["--environment", "nowhere"], "app.nowhere.toml:1:1: error[C001]"),
    ],
)
def test_a_sidecar_that_is_not_described_is_not_started(
    tmp_path: Path, arguments: list[str], message: str
) -> None:
    async def test() -> None:
        process, log = await start_sidecar(tmp_path, write_description(tmp_path), *arguments)
        assert await process.wait() in (1, 2)
        assert message in log.read_text()

    run_async(test())


def test_a_port_in_use_is_reported_and_is_exit_code_1(tmp_path: Path) -> None:
    async def test() -> None:
        listener = await EndpointServer().start()
        addresses = SidecarAddresses("127.0.0.1:1", "127.0.0.1:2")
        addresses.inbound = listener.address
        file = write_description(tmp_path, text=addresses.description())
        process, log = await start_sidecar(tmp_path, file)
        assert await process.wait() == 1
        assert "portal on h-1" in log.read_text()
        assert "in use" in log.read_text()
        assert "Traceback" not in log.read_text()
        await listener.stop()

    run_async(test())


def test_the_inbound_health_check_fails_while_the_application_is_not_ready(tmp_path: Path) -> None:
    async def test() -> None:
        application = EndpointServer()
        application.health_check_result = False
        async with running_sidecar(tmp_path, application, EndpointServer(), ready=False) as sidecar:
            await application.health_checked.wait()
            assert await sidecar.health_status(sidecar.addresses.inbound) == 503
            application.health_check_result = True
            await sidecar.wait_until_healthy(sidecar.addresses.inbound)

    run_async(test())


def test_a_reload_that_check_refuses_changes_nothing_and_is_logged_in_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        application = EndpointServer()
        async with running_sidecar(tmp_path, application, EndpointServer()) as sidecar:
            valid = sidecar.file.read_text()
            invalid_texts = (
                valid.replace('retry = "never-ran"', 'retry = "always"'),
                "not [ toml",
                valid.replace("h-1", "h-7"),
            )
            for number, text in enumerate(invalid_texts, 1):
                sidecar.reload(text)
                line = await sidecar.wait_for_log("reload_rejected error=", number)
                assert line.startswith("ERROR service_proxy.sidecar: reload_rejected error=")
                assert str(sidecar.file) in line
            log = sidecar.log.read_text()
            assert log.count("ERROR") == 3
            assert "R202" in log
            assert "C002" in log
            inbound = await sidecar.request(sidecar.addresses.inbound, "canje", "1" * 16)
            outbound = await sidecar.request(sidecar.addresses.outbound, "canje", "2" * 16)
            assert inbound.status_code == outbound.status_code == 200

    run_async(test())


def test_a_reload_accepts_a_new_padron_and_slots_and_rejects_what_cannot_change(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()
        application = EndpointServer(respond_after(release))
        new_nucleo = await EndpointServer().start()
        new_discovery = await DiscoveryServer().start()
        new_discovery.publish(7, endpoint_entry("s-2", new_nucleo.address, zone="sala-a"), snapshot=True)
        async with running_sidecar(tmp_path, application, EndpointServer()) as sidecar:
            text = sidecar.file.read_text()
            sidecar.reload(text.replace(sidecar.addresses.inbound, "127.0.0.1:1"))
            assert "sidecar.0.inbound can't change" in await sidecar.wait_for_log("S109")
            text = text.replace(sidecar.addresses.discovery, new_discovery.address)
            sidecar.reload(text.replace('tier = "portal"\n', 'tier = "portal"\nslots = 1\nwaiting = 0\n'))
            await sidecar.wait_for_log("reload_accepted file=")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while "from=7" not in await new_discovery.polls.get():
                    pass
            outbound = await sidecar.request(sidecar.addresses.outbound, "canje", "1" * 16)
            assert outbound.status_code == 200
            assert new_nucleo.received_count == 1
            first, second = [await sidecar.connect(sidecar.addresses.inbound) for _ in range(2)]
            first.send("canje", "2" * 16, "5000m")
            await next_request(application)
            assert (await second.request("canje", "3" * 16)).headers["x-rejected"] == "1"
            release.set()
            assert (await first.response()).status_code == 200
        await new_nucleo.stop()
        assert new_discovery.server is not None
        new_discovery.server.close()

    run_async(test())


def test_after_sigterm_the_application_may_send_requests_until_its_own_are_answered(tmp_path: Path) -> None:
    """Guards against outbound listeners that close before the application has answered its requests."""

    async def test() -> None:
        drained = asyncio.Event()
        sidecars: list[SidecarProcess] = []

        async def request_next_tier(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await drained.wait()
            response = await sidecars[0].request(sidecars[0].addresses.outbound, "canje", "f" * 16)
            assert response.status_code == 200
            await respond_ok(request, writer)

        application = EndpointServer(request_next_tier)
        async with running_sidecar(tmp_path, application, EndpointServer()) as sidecar:
            sidecars.append(sidecar)
            client = await sidecar.connect(sidecar.addresses.inbound)
            client.send("canje", "1" * 16, "6000m")
            await next_request(application)
            sidecar.process.terminate()
            async with asyncio.timeout(TEST_TIMEOUT_S):  # the inbound listener closes 2 s after SIGTERM
                while await sidecar.health_status(sidecar.addresses.inbound):
                    await asyncio.sleep(0.05)
            drained.set()
            assert (await client.response()).status_code == 200
            assert await client.is_closed()
            assert await sidecar.exit_code() == 0

    run_async(test())


def test_a_second_sigterm_and_a_sighup_during_the_drain_change_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_sidecar(tmp_path, EndpointServer(), EndpointServer()) as sidecar:
            sidecar.process.terminate()
            sidecar.process.send_signal(signal.SIGHUP)
            sidecar.process.terminate()
            assert await sidecar.exit_code() == 0
            assert "Traceback" not in sidecar.log.read_text()

    run_async(test())


def test_the_ephemeral_node_follows_the_health_of_the_application(tmp_path: Path) -> None:
    """The node is configured with [tier.portal.membership] and [sidecar.registration]."""

    async def test() -> None:
        service = CoordinationService()
        ((host, port),) = await service.start()
        application = EndpointServer()
        application.health_check_result = False
        membership = f'[tier.portal.membership]\nservers = ["{host}:{port}"]\npath = "/salas/portal"\n\n'
        async with running_sidecar(
            tmp_path, application, EndpointServer(), membership, ready=False
        ) as sidecar:
            sidecar.process.kill()
            await sidecar.process.wait()
            second_sidecar = '\n[[sidecar]]\nhost = "h-2"'
            registration = (
                f'\n[sidecar.registration]\nname = "s-1"\naddress = "{sidecar.addresses.inbound}"\n'
            )
            text = sidecar.file.read_text().replace(second_sidecar, registration + second_sidecar)
            sidecar.file.write_text(text)
            sidecar.process, _ = await start_sidecar(tmp_path, str(sidecar.file))
            path = "/salas/portal/s-1"

            def status() -> str:
                node = service.tree.nodes.get(path)
                if node is None:
                    return ""
                return "Terminating" if b"Terminating" in node.data else "Ready"

            def start() -> tuple[int, int]:
                data = json.loads(service.tree.nodes[path].data)
                return data["since_ms"], data["since_after_ms"]

            await application.health_checked.wait()
            assert status() == ""
            application.health_check_result = True
            await until(lambda: status() == "Ready", "registered")
            first_data = service.tree.nodes[path].data
            application.health_check_result = False
            await until(lambda: status() == "Terminating", "drains with its application")
            application.health_check_result = True
            await until(lambda: status() == "Ready", "registered again")
            # It is the same process, so a drain that discovery reports of it stays valid.
            assert service.tree.nodes[path].data == first_data
            first_since_ms, first_since_after_ms = start()
            assert first_since_after_ms == 0
            await application.stop()
            await until(lambda: status() == "Terminating", "drains when nobody listens")
            ended_at = time.time() * 1000
            await application.start()
            await until(lambda: status() == "Ready", "registered after a restart")
            # The new start time makes clients treat the endpoint as warming up.
            since_ms, since_after_ms = start()
            assert first_since_ms <= since_after_ms <= ended_at <= since_ms
            sidecar.process.terminate()
            await until(lambda: status() == "Terminating", "says that it leaves")
            assert await sidecar.exit_code() == 0
            assert status() == ""
        await service.stop()

    run_async(test())
