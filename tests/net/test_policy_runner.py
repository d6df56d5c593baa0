"""Policy runner: a failure of the policy or of one of its actions affects only the requests concerned."""

from __future__ import annotations

import asyncio
from typing import cast

from net_harness import TEST_TIMEOUT_S, run_async

import service_proxy as api
from service_proxy.net.policy_runner import PolicyRunner
from service_proxy.policy.balancer import Balancer


class ScriptedPolicy:
    """Replacement of a Balancer that returns these actions, or fails on its first batch."""

    def __init__(self, actions: list[api.Action], fails_on_first_batch: bool = False) -> None:
        self.actions = actions
        self.fails_on_next_batch = fails_on_first_batch
        self.batches: list[list[api.Event]] = []

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.batches.append(events)
        if self.fails_on_next_batch:
            self.fails_on_next_batch = False
            raise RuntimeError("scripted")
        return self.actions


def runner_of(policy: ScriptedPolicy, failed_requests: list[int]) -> PolicyRunner:
    return PolicyRunner(cast(Balancer, policy), 0.0, failed_requests.append)


def test_a_failed_action_fails_only_its_own_request() -> None:
    async def test() -> None:
        failed_requests: list[int] = []
        rejected_requests: list[int] = []

        def reject(action: api.Reject) -> None:
            if action.request_id == 1:
                raise RuntimeError("scripted")
            rejected_requests.append(action.request_id)

        runner = runner_of(ScriptedPolicy([api.Reject(1), api.Reject(2)]), failed_requests)
        runner.action_handlers = {api.Reject: reject}
        runner.flush()
        assert (failed_requests, rejected_requests) == ([1], [2])

    run_async(test())


def test_a_batch_that_the_policy_fails_on_fails_its_requests_and_repeats_its_timers() -> None:
    async def test() -> None:
        failed_requests: list[int] = []
        policy = ScriptedPolicy([], fails_on_first_batch=True)
        runner = runner_of(policy, failed_requests)
        runner.enqueue(api.RequestArrived(7, "stock", 1.0))
        runner.enqueue(api.TimerFired(3))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(policy.batches) < 2:
                await asyncio.sleep(0.005)
        assert failed_requests == [7]
        assert policy.batches[1] == [api.TimerFired(3)]

    run_async(test())
