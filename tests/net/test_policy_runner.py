"""The policy's runner: what the policy or one of its actions fails on ends alone."""

from __future__ import annotations

import asyncio
from typing import cast

from net_harness import TEST_TIMEOUT_S, run_async

import service_proxy as api
from service_proxy.net.policy_runner import PolicyRunner
from service_proxy.policy.balancer import Balancer


class ScriptedPolicy:
    """Stands for a Balancer: returns these actions, or fails on its first batch."""

    def __init__(self, actions: list[api.Action], fails_first: bool = False) -> None:
        self.actions = actions
        self.fails_next = fails_first
        self.batches: list[list[api.Event]] = []

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.batches.append(events)
        if self.fails_next:
            self.fails_next = False
            raise RuntimeError("scripted")
        return self.actions


def runner_of(policy: ScriptedPolicy, failed: list[int]) -> PolicyRunner:
    return PolicyRunner(cast(Balancer, policy), 0.0, failed.append)


def test_an_action_that_fails_ends_its_request_and_no_other() -> None:
    async def test() -> None:
        failed: list[int] = []
        rejected: list[int] = []

        def reject(action: api.Reject) -> None:
            if action.request_id == 1:
                raise RuntimeError("scripted")
            rejected.append(action.request_id)

        runner = runner_of(ScriptedPolicy([api.Reject(1), api.Reject(2)]), failed)
        runner.action_handlers = {api.Reject: reject}
        runner.flush()
        assert (failed, rejected) == ([1], [2])

    run_async(test())


def test_a_batch_that_the_policy_fails_on_ends_its_requests_and_brings_its_timers_again() -> None:
    async def test() -> None:
        failed: list[int] = []
        policy = ScriptedPolicy([], fails_first=True)
        runner = runner_of(policy, failed)
        runner.enqueue(api.RequestArrived(7, "stock", 1.0))
        runner.enqueue(api.TimerFired(3))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(policy.batches) < 2:
                await asyncio.sleep(0.005)
        assert failed == [7]
        assert policy.batches[1] == [api.TimerFired(3)]

    run_async(test())
