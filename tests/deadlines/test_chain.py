"""Tests of deadline propagation over a chain of real sidecars, checked by its applications' records."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import pytest

from harness.deployment import ApplicationProfile, SidecarHost
from harness.event_loop import until
from harness.proxy_process import ProxyProcess
from harness.stub_endpoint import IncomingRequest
from harness.tier_chain import ATTEMPTS_PER_TREE, CLASSES, Chain, running_chain
from service_proxy.net.endpoint_list import parse_address

PROFILE = ApplicationProfile(
    propagates_deadline=False,
    copies_budget_header=True,
    service_time_by_tier={"portal": 0.004, "nucleo": 0.02},
)


def run(test: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(60):
            await test

    asyncio.run(bounded())


def host(chain: Chain, tier: str, number: int = 0) -> SidecarHost:
    return [host for host in chain.deployment.hosts if host.sidecar.tier == tier][number]


async def call(chain: Chain, cls: str = "canje", budget: float = 0.0) -> int:
    clients = chain.deployment.clients
    assert clients is not None
    client_class = chain.deployment.classes[cls]
    return await clients.request(replace(client_class, budget=budget or client_class.budget))


def violations(chain: Chain) -> list[str]:
    effects = {name: cls.idempotency for name, cls in chain.deployment.classes.items()}
    return [str(violation) for violation in chain.deployment.recorder.audit(effects)]


def executions(chain: Chain) -> Counter[tuple[str, str]]:
    """Return how often each tier executed each outermost request."""
    return Counter(
        (chain.root_request(a.request_id), a.endpoint.partition("-")[0])
        for a in chain.deployment.recorder.attempts
        if a.executed
    )


@pytest.mark.parametrize("extends_ids", [False, True])
def test_budget_reaches_the_inner_tier_by_the_header_or_by_the_ids(extends_ids: bool) -> None:
    """The application passes no deadline on, so a call without a budget would have its class's 1.5 s."""

    async def test() -> None:
        profile = replace(PROFILE, copies_budget_header=not extends_ids, extends_ids=extends_ids)
        async with running_chain(2, 1, profile=profile) as chain:
            deadlines: list[float] = []
            inner = host(chain, "nucleo").application

            async def record_deadline(incoming: IncomingRequest) -> bool:
                deadlines.append(incoming.deadline - time.monotonic())
                return True

            inner.handler = record_deadline
            assert await call(chain, budget=0.5) == 200 and 0.0 < deadlines[0] < 0.5
            assert violations(chain) == []

    run(test())


def test_call_without_header_and_with_unrelated_ids_has_its_class_deadline() -> None:
    async def test() -> None:
        async with running_chain(2, 1, profile=replace(PROFILE, copies_budget_header=False)) as chain:
            deadlines: list[float] = []

            async def record_deadline(incoming: IncomingRequest) -> bool:
                deadlines.append(incoming.deadline - time.monotonic())
                return True

            host(chain, "nucleo").application.handler = record_deadline
            assert await call(chain, budget=0.5) == 200 and 0.5 < deadlines[0] < CLASSES["canje"].deadline

    run(test())


@pytest.mark.parametrize("older", ["nucleo", "portal"])
def test_tier_of_a_version_without_budgets_works(older: str) -> None:
    async def test() -> None:
        async with running_chain(2, 1, profile=PROFILE, tiers_without_budgets=frozenset((older,))) as chain:
            assert [await call(chain, cls) for cls in CLASSES for _ in range(4)] == [200] * 12
            assert violations(chain) == []

    run(test())


def test_call_whose_deadline_passes_in_the_queue_is_never_started() -> None:
    """A paused application has both slots of the only server; a third call waits until its client leaves."""

    async def test() -> None:
        async with running_chain(2, 1, profile=PROFILE) as chain:
            inner = host(chain, "nucleo").application
            inner.paused_until = time.monotonic() + 1.0
            codes = await asyncio.gather(*(call(chain, budget=0.4) for _ in range(5)))
            assert set(codes) <= {502, 503, 504}
            # The pause ends meanwhile; a call that was not abandoned would start now.
            await asyncio.sleep(1.0)
            assert chain.late_attempts(0.02) == [] and executions(chain).total() == len(
                [
                    a
                    for a in chain.deployment.recorder.attempts
                    if a.executed and a.endpoint.startswith("portal")
                ]
            )
            assert violations(chain) == []

    run(test())


def test_client_that_leaves_ends_the_attempts_below_it() -> None:
    async def test() -> None:
        async with running_chain(2, 1, profile=PROFILE) as chain:
            clients = chain.deployment.clients
            assert clients is not None
            inner = host(chain, "nucleo").application
            inner.paused_until = time.monotonic() + 1.0
            clients.send(replace(chain.deployment.classes["canje"], budget=1.4))
            await until(lambda: inner.request_count, "the inner tier has it")
            (connection,) = clients.live_connections
            connection.close()
            started_at = time.monotonic()
            await until(
                lambda: all(a.ended_at < float("inf") for a in chain.deployment.recorder.attempts),
                "all ended",
            )
            # The attempts end before the end of the pause and before their deadline.
            assert time.monotonic() - started_at < 0.8
            await asyncio.sleep(max(0.0, inner.paused_until - time.monotonic()) + 0.1)
            assert not any(
                a.executed for a in chain.deployment.recorder.attempts if a.endpoint.startswith("nucleo")
            )

    run(test())


def test_unsafe_call_whose_inner_attempt_broke_runs_once_and_is_answered_once() -> None:
    async def test() -> None:
        async with running_chain(2, 2, profile=PROFILE) as chain:
            inner = [host(chain, "nucleo", number).application for number in range(2)]

            async def abort_connections(incoming: IncomingRequest) -> bool:
                for application in inner:
                    for connection in list(application.connections):
                        if connection.transport is not None:
                            connection.transport.abort()
                return True

            for application in inner:
                application.handler = abort_connections
            assert await call(chain) in (502, 504)
            assert executions(chain)["edge-00000001", "nucleo"] == 1 and violations(chain) == []

    run(test())


def test_deadline_during_a_retry_ends_the_retry() -> None:
    """Each attempt of a repeatable read ends after 0.1 s. The attempt at the deadline must be the last."""

    async def test() -> None:
        async with running_chain(2, 2, profile=PROFILE) as chain:
            inner = [host(chain, "nucleo", number).application for number in range(2)]
            for application in inner:
                application.paused_until = time.monotonic() + 2.0
            started_at = time.monotonic()
            assert await call(chain, "stock", budget=0.6) in (502, 503, 504)
            assert time.monotonic() - started_at < 0.7
            await asyncio.sleep(0.3)
            attempts = len(chain.deployment.recorder.attempts)
            await asyncio.sleep(0.3)
            assert len(chain.deployment.recorder.attempts) == attempts and chain.late_attempts(0.02) == []
            assert chain.attempts_by_root()["edge-00000001"] <= ATTEMPTS_PER_TREE

    run(test())


def test_second_of_two_sequential_calls_has_the_time_left_by_the_first() -> None:
    async def test() -> None:
        profile = replace(
            PROFILE, requests_per_tier=2, service_time_by_tier={"portal": 0.004, "nucleo": 0.25}
        )
        async with running_chain(2, 1, profile=profile) as chain:
            deadlines: list[float] = []

            async def record_deadline(incoming: IncomingRequest) -> bool:
                deadlines.append(incoming.deadline - time.monotonic())
                return True

            host(chain, "nucleo").application.handler = record_deadline
            assert await call(chain, budget=1.0) == 200
            assert deadlines[0] - deadlines[1] >= 0.25 and deadlines[0] < 0.76

    run(test())


@pytest.mark.parametrize("tiers", [1, 2, 3])
def test_loop_by_misroute_is_rejected_within_three_hops_and_logged(tiers: int) -> None:
    async def test() -> None:
        async with running_chain(tiers, 1, misroute=True) as chain:
            assert await call(chain) != 200
            assert max(chain.depth(a.request_id) for a in chain.deployment.recorder.attempts) <= 3
            assert max(executions(chain).values()) == 1  # No tier executed the request twice.
            await until(chain.reported_loops, "the path is logged")
            logs = [host.log_file.read_text() for host in chain.deployment.hosts]
            log = next(text for text in logs if ": loop_rejected path=" in text)
            assert "portal > " in log and ' > portal" remedy=' in log and violations(chain) == []

    run(test())


def test_clocks_that_are_hours_off_and_step_change_nothing() -> None:
    async def test() -> None:
        async with running_chain(2, 2, skew=True, profile=PROFILE) as chain:
            started_at = time.monotonic()
            codes: list[int] = []
            while time.monotonic() < started_at + 2.5:  # The clock steps after 2 s.
                codes += await asyncio.gather(*(call(chain, cls) for cls in CLASSES))
            assert set(codes) == {200} and violations(chain) == []

    run(test())


def test_keys_are_rotated_while_calls_go_on() -> None:
    """Rejections on a busy machine don't matter here, but no call may lose its budget because of a key."""

    async def test() -> None:
        async with running_chain(2, 1, profile=PROFILE) as chain:
            clients = chain.deployment.clients
            edge = chain.deployment.edge_proxy
            assert clients is not None and edge is not None
            programs = [edge]
            for host in chain.deployment.hosts:
                assert host.process is not None
                programs.append(
                    ProxyProcess(host.process, parse_address(host.sidecar.inbound), host.log_file)
                )

            async def wait_for_served_calls(more: int) -> None:
                target_count = clients.status_codes[200] + more
                await until(lambda: clients.status_codes[200] >= target_count, "calls with these keys")

            async def rotate(text: str) -> None:
                chain.key_file.write_text(text)
                for program in programs:
                    program.process.send_signal(signal.SIGHUP)
                    # A request after the signal may be processed in the signal's loop iteration; a second
                    # request can't be.
                    for _ in range(2):
                        await until(program.is_ready, "an answer after the signal")
                    await wait_for_served_calls(3)  # Some processes have the new keys and others do not.

            old = chain.key_file.read_text()
            new = "k2 " + "cd" * 16 + "\n"
            calling = asyncio.create_task(clients.run(30.0, 60.0, wait_and_close=False))
            for text in (old + new, new + old, new):
                await rotate(text)
            await wait_for_served_calls(20)
            calling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await calling
            await until(lambda: not clients.open_requests, "the last answers")
            assert set(clients.status_codes) <= {200, 503}, clients.status_codes
            logs = "".join(program.log_file.read_text() for program in programs)
            assert "budget_header_ignored" not in logs and "reload_rejected" not in logs
            assert violations(chain) == []

    run(test())
