"""Test of the proxy program with [membership]: requests follow its list, and SIGHUP changes the ensemble."""

from __future__ import annotations

import signal
from collections import Counter

from source_harness import register_node
from test_register import PATH
from test_session import ensemble, run

from harness.clients import DEFAULT_CLASSES, IDEMPOTENCY_BY_CLASS, ClientPool
from harness.coordination import CoordinationService
from harness.endpoint_registry import EndpointRegistry
from harness.event_loop import until
from harness.proxy_process import ProxyProcess, running_proxy
from harness.recorder import Recorder
from harness.stub_endpoint import StubEndpoint
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode


def operator_settings(*services: CoordinationService) -> str:
    servers = ", ".join('"{}:{}"'.format(*s.address) for service in services for s in service.servers)
    return (
        f'[membership]\nservers = [{servers}]\npath = "{PATH}"\nsession_timeout = 1.0\n'
        "connect_timeout = 0.3\nreread_jitter = 0.0\nmass_loss_share = 1.0\n"
    )


async def count_requests_by_endpoint(client_pool: ClientPool, count: int) -> Counter[str]:
    """Send `count` requests of the class canje, and return the number of attempts per endpoint."""
    before = len(client_pool.recorder.attempts)
    for _ in range(count):
        client_pool.send(DEFAULT_CLASSES[2])
    await until(lambda: not client_pool.open_requests, "the answers")
    return Counter(attempt.endpoint for attempt in client_pool.recorder.attempts[before:])


def has_logged(proxy: ProxyProcess, text: str) -> bool:
    return text in proxy.log_file.read_text()


def test_requests_follow_the_service_and_sighup_changes_it_while_suspended() -> None:
    async def test() -> None:
        recorder = Recorder()
        registry = EndpointRegistry(recorder)
        await registry.start()
        stubs = {name: StubEndpoint(recorder, name) for name in ("s-1", "s-2", "s-3")}
        async with ensemble(1) as old, ensemble(1) as new:
            for name, stub in stubs.items():
                await stub.start()
                register_node(old, name, EndpointNode(name, stub.address, "a", "m", 1))
            async with running_proxy(
                "n0", registry.address, [], operator_settings(old), ready=False
            ) as proxy:
                await until(proxy.is_ready, "ready")
                await until(lambda: has_logged(proxy, "source=membership health=fresh"), "fresh")
                client_pool = ClientPool(recorder, proxy.address, "n0", 1)
                assert set(await count_requests_by_endpoint(client_pool, 30)) == set(stubs)
                old.run_step({"do": "expire", "path": f"{PATH}/s-1"})
                await until(
                    lambda: has_logged(proxy, "endpoints_in_use_decreased count=2 before=3"), "the drain"
                )
                assert set(await count_requests_by_endpoint(client_pool, 30)) == {"s-2", "s-3"}

                old.run_step({"do": "partition", "mode": "reset"})
                await until(lambda: has_logged(proxy, "state=SUSPENDED before=CONNECTED"), "SUSPENDED")
                file = proxy.log_file.with_name("operator.toml")
                file.write_text(operator_settings(new) + "reed = 1\n")
                proxy.process.send_signal(signal.SIGHUP)
                await until(lambda: has_logged(proxy, "unknown key reed"), "the refusal")
                assert set(await count_requests_by_endpoint(client_pool, 30)) == {"s-2", "s-3"}
                for name in ("s-1", "s-2"):
                    register_node(new, name, EndpointNode(name, stubs[name].address, "a", "m", 1))
                file.write_text(operator_settings(new))
                proxy.process.send_signal(signal.SIGHUP)
                await until(lambda: has_logged(proxy, "ensemble_changed"), "the move")
                await until(
                    lambda: has_logged(proxy, "endpoint_decided endpoint=s-3 state=draining source="),
                    "s-3's end",
                )
                assert set(await count_requests_by_endpoint(client_pool, 30)) == {"s-1", "s-2"}
                assert client_pool.status_codes == {200: 120}
                proxy.process.send_signal(signal.SIGTERM)
                assert await proxy.process.wait() == 0
        registry.stop()
        for stub in stubs.values():
            stub.stop()
        assert recorder.audit(IDEMPOTENCY_BY_CLASS) == []

    run(test)
