"""Tests of the registrar: registration, expiry, reconnect, draining, deletion and takeover."""

from __future__ import annotations

import asyncio
import functools
import signal
import sys
from pathlib import Path
from random import Random

from test_session import ensemble, run

from harness.coordination import CoordinationService
from harness.event_loop import until
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, parse_node
from service_proxy.ephemeral_nodes.registrar import Registrar
from service_proxy.operator_file import Membership

ROOT = Path(__file__).parent.parent.parent
PATH = "/salas/portal"
REGISTRATION_TIMEOUT_S = 10.0


def settings(service: CoordinationService, **more: object) -> Membership:
    """Return client settings for this service."""
    servers = tuple("{}:{}".format(*server.address) for server in service.servers)
    return Membership(servers, PATH, session_timeout=1.0, connect_timeout=0.3, **more)  # type: ignore[arg-type]


def node(name: str = "s-1", address: str = "127.0.0.1:8081", since: int = 1000) -> EndpointNode:
    """Return a node with the status Ready; `since` is the start time of its endpoint (Unix time, ms)."""
    return EndpointNode(name, address, "a", "m", 1, 1.0, since)


def start_registrar(
    service: CoordinationService, entry: EndpointNode | None = None, **more: object
) -> Registrar:
    found = Registrar(settings(service, **more), entry or node(), Random(1))
    found.start()
    return found


async def registered(
    service: CoordinationService, entry: EndpointNode | None = None, **more: object
) -> Registrar:
    found = start_registrar(service, entry, **more)
    await asyncio.wait_for(found.registered.wait(), REGISTRATION_TIMEOUT_S)
    return found


def has_reconnected(service: CoordinationService, accepted_before: int) -> bool:
    return sum(server.accepted for server in service.servers) > accepted_before


def has_registered(registrar: Registrar, times: int) -> bool:
    return registrar.registrations == times


def registered_node(service: CoordinationService, name: str = "s-1") -> EndpointNode | None:
    found = service.tree.nodes.get(f"{PATH}/{name}")
    return parse_node(name, found.data) if found is not None else None


def test_it_registers_drains_and_leaves() -> None:
    async def test() -> None:
        async with ensemble() as service:
            registrar = start_registrar(service)
            await until(lambda: registered_node(service) == node(), "the registration")
            assert service.tree.nodes[f"{PATH}/s-1"].owner == registrar.session.session_id
            leaving = asyncio.ensure_future(registrar.leave(0.2))
            await until(lambda: registered_node(service) == node().draining(), "the drain")
            await leaving
            assert registered_node(service) is None and not service.sessions

    run(test)


def test_it_registers_again_after_an_expiry_although_the_endpoint_keeps_running() -> None:
    async def test() -> None:
        async with ensemble() as service:
            registrar = await registered(service)
            for count in range(2, 5):
                service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
                assert registered_node(service) is None
                await until(functools.partial(has_registered, registrar, count), "again")
                assert registered_node(service) == node()
            registrar.crash()

    run(test)


def test_it_keeps_its_node_through_reconnects() -> None:
    async def test() -> None:
        async with ensemble() as service:
            registrar = await registered(service)
            for _ in range(3):
                accepted_before = sum(server.accepted for server in service.servers)
                service.run_step({"do": "drop"})
                await until(functools.partial(has_reconnected, service, accepted_before), "the reconnect")
                await asyncio.wait_for(registrar.registered.wait(), REGISTRATION_TIMEOUT_S)
            assert registrar.registrations == 1 and registered_node(service) == node()
            registrar.crash()

    run(test)


def test_a_deleted_or_overwritten_node_is_restored() -> None:
    async def test() -> None:
        async with ensemble() as service:
            registrar = await registered(service)
            service.tree.delete(f"{PATH}/s-1", -1)
            await until(lambda: registered_node(service) == node(), "again")
            service.tree.set_data(f"{PATH}/s-1", b"{}", -1)
            await until(lambda: service.tree.nodes[f"{PATH}/s-1"].data == node().encode(), "again")
            registrar.crash()

    run(test)


def test_a_restarted_endpoint_takes_over_its_node_in_one_step() -> None:
    """The old session has not expired yet; watchers must never see the name missing."""

    async def test() -> None:
        async with ensemble() as service:
            old = await registered(service)
            old.crash()
            before = service.tree.zxid
            new = start_registrar(service, node(since=9000))
            await until(lambda: registered_node(service) == node(since=9000), "the take-over")
            assert service.tree.zxid == before + 2
            session_id = service.tree.nodes[f"{PATH}/s-1"].owner
            service.expire(next(n for n in service.sessions if n != session_id))
            assert registered_node(service) == node(since=9000)
            new.crash()

    run(test)


def test_a_name_that_another_endpoint_owns_is_waited_for() -> None:
    async def test() -> None:
        async with ensemble() as service:
            other = await registered(service, node(address="127.0.0.1:9"))
            registrar = start_registrar(service)
            await until(lambda: len(service.sessions) == 2, "the session")
            await asyncio.sleep(0.2)
            assert (
                registered_node(service) == node(address="127.0.0.1:9") and not registrar.registered.is_set()
            )
            await other.leave(0.0)
            await asyncio.wait_for(registrar.registered.wait(), REGISTRATION_TIMEOUT_S)
            assert registered_node(service) == node()
            registrar.crash()

    run(test)


def test_a_registrar_that_waits_for_its_name_leaves_the_node_of_the_other_endpoint() -> None:
    """Guards against a holder that is deleted because a registrar that waits for the name is stopped."""

    async def test() -> None:
        async with ensemble() as service:
            other = await registered(service, node(address="127.0.0.1:9"))
            waiting = start_registrar(service)
            await until(lambda: len(service.sessions) == 2, "the session")
            await waiting.leave(0.0)
            assert registered_node(service) == node(address="127.0.0.1:9")
            assert other.registrations == 1 and other.registered.is_set()
            other.crash()

    run(test)


def test_draining_survives_an_expiry() -> None:
    async def test() -> None:
        async with ensemble() as service:
            registrar = await registered(service)
            await registrar.drain()
            service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
            await until(lambda: registrar.registrations == 2, "again")
            assert registered_node(service) == node().draining()
            registrar.crash()

    run(test)


def test_with_credentials_the_acl_admits_the_creator_only(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "auth"
        file.write_text("u:p\n")
        async with ensemble() as service:
            service.credentials = {"u": "p"}
            registrar = await registered(service, auth_file=str(file))
            acl = service.tree.nodes[f"{PATH}/s-1"].acl
            assert [entry.scheme for entry in acl] == ["digest"] and acl[0].id.startswith("u:")
            await registrar.leave(0.0)

    run(test)


def test_the_program_registers_and_leaves_on_sigterm(tmp_path: Path) -> None:
    async def test() -> None:
        async with ensemble() as service:
            servers = ", ".join('"{}:{}"'.format(*server.address) for server in service.servers)
            file = tmp_path / "operator.toml"
            file.write_text(
                f'[membership]\nservers = [{servers}]\npath = "{PATH}"\n'
                '[registration]\nname = "s-7"\naddress = "127.0.0.1:8087"\nzone = "b"\ndrain = 0.2\n'
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "service_proxy.ephemeral_nodes.register",
                "--operator",
                str(file),
                cwd=ROOT,
                stderr=asyncio.subprocess.DEVNULL,
            )
            await until(lambda: registered_node(service, "s-7") is not None, "the registration")
            found = registered_node(service, "s-7")
            assert found is not None and (found.zone, found.status) == ("b", "Ready") and found.since_ms > 0
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 20) == 0
            assert registered_node(service, "s-7") is None and not service.sessions

    run(test)


def test_the_program_needs_both_tables(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "operator.toml"
        file.write_text('[membership]\nservers = ["127.0.0.1:1"]\npath = "/a"\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "service_proxy.ephemeral_nodes.register",
            "--operator",
            str(file),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        _, stderr_output = await process.communicate()
        assert process.returncode == 2 and b"[registration] are needed" in stderr_output

    run(test)
