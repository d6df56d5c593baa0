"""The sidecar as a process: what it refuses to start with, SIGHUP, SIGTERM, and who may still call whom."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from net_harness import (
    TEST_TIMEOUT_S,
    Client,
    DiscoveryServer,
    EndpointServer,
    ReceivedRequest,
    endpoint_entry,
    next_request,
    respond_ok,
    run_async,
)
from test_description import PLAIN, ROOT, put

from harness.coordination import CoordinationService
from harness.event_loop import until
from harness.proxy_process import free_port


class Ports:
    """Of one portal sidecar, its application, and its padron."""

    def __init__(self, application: str, padron: str) -> None:
        self.inbound, self.outbound = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        self.application = application
        self.padron = padron

    def text(self) -> str:
        text = PLAIN.replace('padron = "10.2.0.1:8500"', f'padron = "{self.padron}"', 1)
        text = text.replace('"10.0.0.4:8081"', f'"{self.inbound}"').replace(
            '"127.0.0.1:7001"', f'"{self.outbound}"'
        )
        return text.replace('"127.0.0.1:9000"', f'"{self.application}"', 1)


class Running:
    def __init__(self, process: asyncio.subprocess.Process, ports: Ports, file: Path, log: Path) -> None:
        self.process = process
        self.ports = ports
        self.file = file
        self.log = log

    async def caller(self, at: str) -> Client:
        host, _, port = at.rpartition(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def health(self, at: str) -> int:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            caller = await self.caller(at)
            answer = await caller.send_raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            caller.writer.close()
            return answer.status_code
        return 0

    async def healthy(self, at: str) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await self.health(at) != 200:
                await asyncio.sleep(0.02)

    async def said(self, text: str, times: int = 1) -> str:
        await until(lambda: self.log.read_text().count(text) >= times, text)
        return next(line for line in reversed(self.log.read_text().splitlines()) if text in line)

    def hang_up(self, text: str) -> None:
        new = self.file.with_suffix(".new")
        new.write_text(text)
        new.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    async def code(self) -> int:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self.process.wait()


async def start(folder: Path, file: str, *more: str) -> tuple[asyncio.subprocess.Process, Path]:
    log = folder / "log"
    with log.open("wb") as sink:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "service_proxy.sidecar",
            "run",
            file,
            "--tier",
            "portal",
            *more,
            cwd=ROOT,
            stdout=sink,
            stderr=sink,
        )
    return process, log


@contextlib.asynccontextmanager
async def running(
    folder: Path, application: EndpointServer, nucleo: EndpointServer, more: str = "", ready: bool = True
) -> AsyncIterator[Running]:
    """The portal's sidecar of PLAIN beside this application, before one server of nucleo."""
    for backend in (application, nucleo):
        if not backend.address:
            await backend.start()
    discovery = await DiscoveryServer().start()
    discovery.publish(1, endpoint_entry("s-1", nucleo.address, zone="sala-a"), snapshot=True)
    ports = Ports(application.address, discovery.address)
    file = put(folder, text=ports.text().replace("[[sidecar]]", more + "[[sidecar]]", 1))
    process, log = await start(folder, file)
    made = Running(process, ports, Path(file), log)
    try:
        await made.said("running")
        if ready:
            await made.healthy(ports.inbound)
            await made.healthy(ports.outbound)
        yield made
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        for backend in (application, nucleo):
            await backend.stop()
        if discovery.server is not None:
            discovery.server.close()


def test_calls_come_in_to_the_application_and_go_out_to_the_next_tier(tmp_path: Path) -> None:
    async def test() -> None:
        application = EndpointServer()
        nucleo = EndpointServer()
        async with running(tmp_path, application, nucleo) as made:
            inside = await made.caller(made.ports.inbound)
            outside = await made.caller(made.ports.outbound)
            assert (
                await inside.request("stock", "1" * 16)
            ).status_code == 200 and application.received_count == 1
            assert (
                await outside.request("reserva", "2" * 16)
            ).status_code == 200 and nucleo.received_count == 1

    run_async(test())


@pytest.mark.parametrize(
    ("old", "new", "code", "line"),
    [
        ('retry = "never-ran"', 'retry = "always"', "R202", 32),
        ("format = 2", "format = 1", "C005", 1),
        ("[class.canje]", "[class.canje", "C002", 18),
    ],
)
def test_what_check_refuses_is_not_started(tmp_path: Path, old: str, new: str, code: str, line: int) -> None:
    """It checks again itself: between a check and a start the file may have changed."""

    async def test() -> None:
        file = put(tmp_path, text=PLAIN.replace(old, new))
        process, log = await start(tmp_path, file)
        assert await process.wait() in (1, 2)
        assert f"app.toml:{line}:" in log.read_text() and f"error[{code}]" in log.read_text()
        assert "running" not in log.read_text()

    run_async(test())


@pytest.mark.parametrize(
    ("more", "says"),
    [
        (["--host", "h-9"], "no sidecars are for host h-9 and tier portal"),
        (["--tier", "nucleo", "--host", "h-1"], "no sidecars are for host h-1 and tier nucleo"),
        (["--environment", "nowhere"], "app.nowhere.toml:1:1: error[C001]"),
    ],
)
def test_a_sidecar_that_is_not_described_is_not_started(tmp_path: Path, more: list[str], says: str) -> None:
    async def test() -> None:
        process, log = await start(tmp_path, put(tmp_path), *more)
        assert await process.wait() in (1, 2) and says in log.read_text()

    run_async(test())


def test_a_port_that_is_taken_is_told_and_is_exit_1(tmp_path: Path) -> None:
    async def test() -> None:
        taken = await EndpointServer().start()
        ports = Ports("127.0.0.1:1", "127.0.0.1:2")
        ports.inbound = taken.address
        process, log = await start(tmp_path, put(tmp_path, text=ports.text()))
        assert await process.wait() == 1
        assert "portal on h-1" in log.read_text() and "in use" in log.read_text()
        assert "Traceback" not in log.read_text()
        await taken.stop()

    run_async(test())


def test_its_health_is_that_of_the_application(tmp_path: Path) -> None:
    async def test() -> None:
        application = EndpointServer()
        application.health_answer = False
        async with running(tmp_path, application, EndpointServer(), ready=False) as made:
            await application.health_checked.wait()
            assert await made.health(made.ports.inbound) == 503
            application.health_answer = True
            await made.healthy(made.ports.inbound)

    run_async(test())


def test_a_reload_that_check_refuses_changes_nothing_and_says_so_in_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        application = EndpointServer()
        async with running(tmp_path, application, EndpointServer()) as made:
            good = made.file.read_text()
            for number, bad in enumerate(
                (
                    good.replace('retry = "never-ran"', 'retry = "always"'),
                    "not [ toml",
                    good.replace("h-1", "h-7"),
                )
            ):
                made.hang_up(bad)
                line = await made.said("reload_rejected error=", number + 1)
                assert (
                    line.startswith("ERROR service_proxy.sidecar: reload_rejected error=")
                    and str(made.file) in line
                )
            said = made.log.read_text()
            assert said.count("ERROR") == 3 and "R202" in said and "C002" in said
            assert (
                await (await made.caller(made.ports.inbound)).request("canje", "1" * 16)
            ).status_code == 200
            assert (
                await (await made.caller(made.ports.outbound)).request("canje", "2" * 16)
            ).status_code == 200

    run_async(test())


def test_a_reload_takes_a_new_padron_and_slots_and_refuses_what_cant_change(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            await respond_ok(seen, writer)

        application = EndpointServer(behave)
        two = await EndpointServer().start()
        padron = await DiscoveryServer().start()
        padron.publish(7, endpoint_entry("s-2", two.address, zone="sala-a"), snapshot=True)
        async with running(tmp_path, application, EndpointServer()) as made:
            good = made.file.read_text()
            made.hang_up(good.replace(made.ports.inbound, "127.0.0.1:1"))
            assert "sidecar.0.inbound can't change" in await made.said("S109")
            new = good.replace(f'padron = "{made.ports.padron}"', f'padron = "{padron.address}"')
            made.hang_up(new.replace('tier = "portal"\n', 'tier = "portal"\nslots = 1\nwaiting = 0\n'))
            await made.said("reload_accepted file=")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while "from=7" not in await padron.polls.get():
                    pass
            outside = await made.caller(made.ports.outbound)
            assert (await outside.request("canje", "1" * 16)).status_code == 200 and two.received_count == 1
            first, second = [await made.caller(made.ports.inbound) for _ in range(2)]
            first.send("canje", "2" * 16, "5000m")
            await next_request(application)
            assert (await second.request("canje", "3" * 16)).headers["x-rejected"] == "1"
            release.set()
            assert (await first.response()).status_code == 200
        await two.stop()
        assert padron.server is not None
        padron.server.close()

    run_async(test())


def test_at_sigterm_the_application_may_call_out_until_what_it_has_is_answered(tmp_path: Path) -> None:
    """The order of the end: were the outbound side first, the taken call would fail for want of it."""

    async def test() -> None:
        going = asyncio.Event()
        out: list[str] = []

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await going.wait()
            host, _, port = out[0].rpartition(":")
            caller = Client(*await asyncio.open_connection(host, int(port)))
            answer = await caller.request("canje", "f" * 16)
            assert answer.status_code == 200
            await respond_ok(seen, writer)

        application = EndpointServer(behave)
        async with running(tmp_path, application, EndpointServer()) as made:
            out.append(made.ports.outbound)
            caller = await made.caller(made.ports.inbound)
            caller.send("canje", "1" * 16, "6000m")
            await next_request(application)
            made.process.terminate()
            async with asyncio.timeout(TEST_TIMEOUT_S):  # until it takes nothing new: 2 s later
                while await made.health(made.ports.inbound):
                    await asyncio.sleep(0.05)
            going.set()
            assert (await caller.response()).status_code == 200
            assert await caller.is_closed() and await made.code() == 0

    run_async(test())


def test_a_second_sigterm_and_a_hang_up_while_it_ends_change_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, EndpointServer(), EndpointServer()) as made:
            made.process.terminate()
            made.process.send_signal(signal.SIGHUP)
            made.process.terminate()
            assert await made.code() == 0 and "Traceback" not in made.log.read_text()

    run_async(test())


def test_its_node_is_registered_with_the_application_drains_with_it_and_begins_anew(tmp_path: Path) -> None:
    """Ephemeral nodes: [tier.portal.membership] and [sidecar.registration]."""

    async def test() -> None:
        service = CoordinationService()
        ((host, port),) = await service.start()
        application = EndpointServer()
        application.health_answer = False
        membership = f'[tier.portal.membership]\nservers = ["{host}:{port}"]\npath = "/salas/portal"\n\n'
        async with running(tmp_path, application, EndpointServer(), membership, ready=False) as made:
            made.process.kill()
            await made.process.wait()
            registration = (
                '\n[sidecar.registration]\nname = "s-1"\naddress = "{}"\n\n[[sidecar]]\nhost = "h-2"'
            )
            text = made.file.read_text().replace(
                '\n[[sidecar]]\nhost = "h-2"', registration.format(made.ports.inbound)
            )
            made.file.write_text(text)
            made.process, _ = await start(tmp_path, str(made.file))
            path = "/salas/portal/s-1"

            def status() -> str:
                node = service.tree.nodes.get(path)
                return "" if node is None else "Terminating" if b"Terminating" in node.data else "Ready"

            await application.health_checked.wait()
            assert status() == ""
            application.health_answer = True
            await until(lambda: status() == "Ready", "registered")
            first = service.tree.nodes[path].data
            application.health_answer = False
            await until(lambda: status() == "Terminating", "drains with its application")
            application.health_answer = True
            await until(lambda: status() == "Ready", "registered again")
            assert service.tree.nodes[path].data != first  # a later start: its callers hold it for cold
            made.process.terminate()
            await until(lambda: status() == "Terminating", "says that it leaves")
            assert await made.code() == 0
            assert status() == ""
        await service.stop()

    run_async(test())
