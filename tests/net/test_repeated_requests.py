"""Answers of the proxy itself to a request that repeats one which may have been executed."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import pytest
import uvloop
from net_harness import Client, EndpointServer
from test_attempt_start import proxy_in_this_loop

from service_proxy.composition import Proxy
from service_proxy.net.downstream import Request
from service_proxy.net.open_request import OpenRequest
from service_proxy.net.request_filters import RequestFilterState
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import AttemptStatus, EarlierExecution


class FilterState:
    """State of a request that may have been executed before its arrival."""

    deadline = math.inf
    max_attempts = 0
    weight_share = 1.0
    cancels_on_disconnect = False

    def __init__(self, earlier_execution: EarlierExecution | None) -> None:
        self.earlier_execution = earlier_execution
        self.ends: list[bool] = []

    def on_attempt_start(self, timeout: float, endpoint_id: int) -> bytes | None:
        raise AssertionError((timeout, endpoint_id))

    def on_attempt_end(self, attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        raise AssertionError((attempt, status))

    def response_headers(self) -> tuple[()]:
        return ()

    def on_request_end(self, was_answered: bool) -> None:
        self.ends.append(was_answered)


class Filter:
    """Filter that gives each request the same earlier execution."""

    consumed_headers: frozenset[bytes] = frozenset()

    def __init__(self, earlier_execution: EarlierExecution | None) -> None:
        self.earlier_execution = earlier_execution
        self.states: list[FilterState] = []

    def on_settings_update(self, settings: object) -> None:
        pass

    def on_request(self, _request: Request, _abandon: Callable[[], None]) -> RequestFilterState:
        self.states.append(FilterState(self.earlier_execution))
        return self.states[-1]


def leave_undecided(proxy: Proxy) -> None:
    """Let the policy decide nothing, as while all endpoints are busy."""
    ignored: list[Any] = []
    proxy.dispatcher.enqueue_event = ignored.append  # type: ignore[assignment]


def fill_request_table(proxy: Proxy) -> None:
    """Leave no room for a further request."""
    proxy.dispatcher.settings = replace(proxy.dispatcher.settings, max_open_requests=1)
    proxy.dispatcher.table.requests[0] = cast(OpenRequest, None)


def use_up_budget(proxy: Proxy) -> None:
    """Let each request arrive as one that has waited for longer than its budget."""
    start_request = proxy.dispatcher.start_request

    def start_late(request: Request, writer: Any) -> object:
        request.received_at = time.monotonic() - request.time_budget
        return start_request(request, writer)

    proxy.dispatcher.start_request = start_late  # type: ignore[assignment, method-assign]


@pytest.mark.parametrize("obstacle", [leave_undecided, fill_request_table, use_up_budget])
@pytest.mark.parametrize("may_have_run", [True, False])
def test_a_repeat_that_starts_no_attempt_is_only_rejected_if_nothing_ran(
    obstacle: Callable[[Proxy], None], may_have_run: bool
) -> None:
    """Guards against a rejection, which promises that nothing ran, of a key that a killed process sent."""

    async def test() -> None:
        endpoint = EndpointServer()
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            repeats = Filter(EarlierExecution(None, 10.0) if may_have_run else None)
            proxy.dispatcher.filters = (repeats,)
            obstacle(proxy)
            client = Client(*await asyncio.open_connection(*address))
            client.send("canje", "a" * 16, "200m")
            assert (await client.response()).status_code == (504 if may_have_run else 503)
            assert endpoint.received_count == 0
            assert [state.ends for state in repeats.states] == [[True]]

    uvloop.run(test())
