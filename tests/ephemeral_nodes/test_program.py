"""The program itself with [membership] on: calls by the service's list, and SIGHUP while it is cut off."""

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


def operator(*services: CoordinationService) -> str:
    servers = ", ".join('"{}:{}"'.format(*s.address) for service in services for s in service.servers)
    return (
        f'[membership]\nservers = [{servers}]\npath = "{PATH}"\nsession_timeout = 1.0\n'
        "connect_timeout = 0.3\nreread_jitter = 0.0\nmass_loss_share = 1.0\n"
    )


async def count_requests_by_endpoint(callers: ClientPool, count: int) -> Counter[str]:
    """So many calls of canje, all served; which nodos had them."""
    before = len(callers.recorder.attempts)
    for _ in range(count):
        callers.send(DEFAULT_CLASSES[2])
    await until(lambda: not callers.open_requests, "the answers")
    return Counter(attempt.endpoint for attempt in callers.recorder.attempts[before:])


def has_logged(program: ProxyProcess, text: str) -> bool:
    return text in program.log_file.read_text()


def test_requests_follow_the_service_and_sighup_changes_it_while_suspended() -> None:
    async def test() -> None:
        ledger = Recorder()
        registry = EndpointRegistry(ledger)
        await registry.start()
        nodos = {name: StubEndpoint(ledger, name) for name in ("s-1", "s-2", "s-3")}
        async with ensemble(1) as old, ensemble(1) as new:
            for name, nodo in nodos.items():
                await nodo.start()
                register_node(old, name, EndpointNode(name, nodo.address, "a", "m", 1))
            async with running_proxy("n0", registry.address, [], operator(old), ready=False) as program:
                await until(program.is_ready, "ready")
                await until(lambda: has_logged(program, "source=membership health=fresh"), "fresh")
                callers = ClientPool(ledger, program.address, "n0", 1)
                assert set(await count_requests_by_endpoint(callers, 30)) == set(nodos)
                old.run_step({"do": "expire", "path": f"{PATH}/s-1"})
                await until(
                    lambda: has_logged(program, "endpoints_in_use_decreased count=2 before=3"), "the drain"
                )
                assert set(await count_requests_by_endpoint(callers, 30)) == {"s-2", "s-3"}

                old.run_step({"do": "partition", "mode": "reset"})
                await until(lambda: has_logged(program, "state=SUSPENDED before=CONNECTED"), "SUSPENDED")
                file = program.log_file.with_name("operator.toml")
                file.write_text(operator(new) + "reed = 1\n")
                program.process.send_signal(signal.SIGHUP)
                await until(lambda: has_logged(program, "unknown key reed"), "the refusal")
                assert set(await count_requests_by_endpoint(callers, 30)) == {"s-2", "s-3"}
                for name in ("s-1", "s-2"):
                    register_node(new, name, EndpointNode(name, nodos[name].address, "a", "m", 1))
                file.write_text(operator(new))
                program.process.send_signal(signal.SIGHUP)
                await until(lambda: has_logged(program, "ensemble_changed"), "the move")
                await until(
                    lambda: has_logged(program, "endpoint_decided endpoint=s-3 state=draining source="),
                    "s-3's end",
                )
                assert set(await count_requests_by_endpoint(callers, 30)) == {"s-1", "s-2"}
                assert callers.status_codes == {200: 120}
                program.process.send_signal(signal.SIGTERM)
                assert await program.process.wait() == 0
        registry.stop()
        for nodo in nodos.values():
            nodo.stop()
        assert ledger.audit(IDEMPOTENCY_BY_CLASS) == []

    run(test)
