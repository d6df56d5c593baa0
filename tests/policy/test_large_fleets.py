"""Work and state do not grow with the fleet: what is counted at 3,200 endpoints is what is counted at 200.

Counted are the byte codes that run, so that no clock takes part: any loop over all endpoints shows.
"""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from balancer_driver import BalancerDriver, attempts, settings

from harness.work_counter import count_opcodes
from service_proxy import (
    AttemptStatus,
    CheckHealth,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    HealthCheckEnded,
    ListScope,
    Settings,
)
from service_proxy.policy.endpoint_pool import (
    GOLDEN_RATIO_FRACTION,
    MAX_LARGE_POOL,
    MAX_POOL,
    MAX_POOL_LOCAL,
    EndpointPool,
)

USUAL = 200
LARGE = 3200
MAX_GROWTH = 1.5  # of what is counted, from the usual size to the large one
MAX_GROWTH_WITH_POOL = 1.1 * MAX_LARGE_POOL / MAX_POOL  # where the pool grows as well
MAX_STATE_BYTES = 1200  # of the policy for each endpoint
ZONES = "abc"


def item(number: int, **changes: Any) -> EndpointEntry:
    return EndpointEntry(number * 7919 % 1_000_003, zone=ZONES[number % 3], cell=number % 3, **changes)


def fleet_driver(size: int, proxies: int = USUAL) -> BalancerDriver:
    """A policy before so many endpoints that has served some requests and checked some endpoints."""
    setup = settings(can_check_health=True, proxy_count=proxies, proxy_index=7)
    driver = BalancerDriver(setup, endpoints=[item(number) for number in range(size)])
    for request_id in range(40):
        answer_checks(driver, driver.advance(0.05))
        for attempt in attempts(driver.arrive(request_id)):
            driver.end_attempt(attempt, AttemptStatus.OK)
    return driver


def answer_checks(driver: BalancerDriver, actions: list[Any]) -> None:
    checked = [action.endpoint_id for action in actions if isinstance(action, CheckHealth)]
    driver.feed(*[HealthCheckEnded(one, AttemptStatus.OK, 0.001, {"busy_reqs": 1.0}) for one in checked])


def run_control_steps(driver: BalancerDriver) -> None:
    for _ in range(20):
        answer_checks(driver, driver.advance(0.05))


def serve_requests(driver: BalancerDriver) -> None:
    for request_id in range(1000, 1010):
        for attempt in attempts(driver.arrive(request_id)):
            driver.end_attempt(attempt, AttemptStatus.OK)


def change_the_list(driver: BalancerDriver) -> None:
    """One endpoint drains, one goes and one comes, again and again."""
    for number in range(10):
        entries = [
            item(number, state=EndpointState.DRAINING),
            item(50 + number, state=EndpointState.REMOVED),
            item(100_000 + number),
        ]
        driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries))


def break_and_recover(driver: BalancerDriver) -> None:
    """Endpoints are ejected and readmitted."""
    for request_id in range(2000, 2006):
        for attempt in attempts(driver.arrive(request_id, "once")):
            for _ in range(3):
                driver.balancer.outliers.eject(
                    driver.balancer.endpoints.known[attempt.endpoint_id], driver.now, is_certain=True
                )
            driver.end_attempt(attempt, AttemptStatus.RESET)
    for _ in range(30):
        answer_checks(driver, driver.advance(0.05))


def work(action: Callable[[BalancerDriver], None], endpoints: int, proxies: int) -> int:
    driver = fleet_driver(endpoints, proxies)
    return count_opcodes(lambda: action(driver))


@pytest.mark.parametrize(
    "action",
    [run_control_steps, serve_requests, change_the_list, break_and_recover],
    ids=lambda action: action.__name__,
)
def test_work_does_not_grow_with_the_fleet(action: Callable[[BalancerDriver], None]) -> None:
    # Found with sixteen times the endpoints: each change of the list and each ejection sorted and walked all
    # known endpoints (3.2 ms at 3,200), and each control step walked them for those that are ejected.
    few = work(action, USUAL, USUAL)
    assert few > 1000, "nothing was counted"
    assert work(action, LARGE, LARGE) <= MAX_GROWTH * few  # with as many proxies, and so the same pool
    assert work(action, LARGE, USUAL) <= MAX_GROWTH_WITH_POOL * few


def serve_one_by_one(driver: BalancerDriver) -> None:
    for step in range(400):
        answer_checks(driver, driver.advance(0.05))
        for attempt in attempts(driver.arrive(3000 + step)):
            driver.end_attempt(attempt, AttemptStatus.OK)


@pytest.mark.parametrize("price_probe", [0.001, 0.01], ids=["checks for requests", "steady checks"])
def test_requests_and_health_checks_of_a_proxy_with_little_traffic_keep_to_few_endpoints(
    price_probe: float,
) -> None:
    # Found with sixteen times the endpoints: checks of a pool of 48 made 132 connections, of 165 allowed,
    # where a pool of 16 made 50.
    setup = settings(can_check_health=True, price_probe=price_probe, proxy_count=200, proxy_index=7)
    driver = BalancerDriver(setup, endpoints=[item(number) for number in range(LARGE)])
    serve_one_by_one(driver)
    reached = {action.endpoint_id for action in driver.actions if isinstance(action, CheckHealth)}
    reached |= {attempt.endpoint_id for attempt in attempts(driver.actions)}
    assert len(driver.balancer.endpoints.members) == MAX_LARGE_POOL
    assert 3 < len(reached) <= 1.5 * MAX_POOL  # a request may go beyond the core


def test_requests_that_the_core_of_a_pool_has_no_room_for_go_beyond_it() -> None:
    driver = fleet_driver(LARGE)
    driver.balancer.limiter.limit = 200.0
    for number in range(80):
        driver.arrive(5000 + number)
    started = {attempt.endpoint_id for attempt in attempts(driver.actions) if attempt.request_id >= 5000}
    assert len(started) == MAX_LARGE_POOL


def test_state_of_an_endpoint_is_small() -> None:
    tracemalloc.start()
    try:
        driver = BalancerDriver(settings(), endpoints=[])
        entries = [item(number) for number in range(LARGE)]
        before = tracemalloc.get_traced_memory()[0]
        driver.feed(EndpointListUpdate(ListScope.FULL, entries))
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert used / LARGE <= MAX_STATE_BYTES


@pytest.mark.parametrize(
    ("endpoints", "proxies", "size"),
    [
        (200, 200, 16),
        (800, 200, 16),
        (800, 4, 16),
        (1600, 200, 24),
        (3200, 200, 48),
        (3200, 3200, 16),
        (3200, 4, 48),
    ],
)
def test_a_pool_holds_several_fair_shares_of_the_endpoints(endpoints: int, proxies: int, size: int) -> None:
    # Found with sixteen times the endpoints, each with a sixteenth of the capacity: a proxy with three times
    # the mean traffic served 0.48 of its requests from sixteen of them, where it served 0.91 at 200.
    setup = settings(proxy_count=proxies)
    driver = BalancerDriver(setup, endpoints=[item(number) for number in range(endpoints)])
    assert len(driver.balancer.endpoints.members) == size


def test_the_pools_of_a_large_fleet_cover_it_evenly() -> None:
    counts: dict[int, int] = {}
    entries = [item(number) for number in range(LARGE)]
    for proxy_index in range(200):
        pool = EndpointPool(settings(proxy_index=proxy_index, proxy_count=200, zone="a"), Random(1))
        pool.apply_update(EndpointListUpdate(ListScope.FULL, entries))
        for endpoint in pool.members:
            if endpoint.zone == "a":
                counts[endpoint.endpoint_id] = counts.get(endpoint.endpoint_id, 0) + 1
    in_zone = sum(entry.zone == "a" for entry in entries)
    assert len(counts) == in_zone and max(counts.values()) <= 3 * 200 * 30 / in_zone


def plain_members(pool: EndpointPool, setup: Settings) -> list[int]:
    """The pool by its definition: all rings in full, sorted anew."""
    zones: dict[str, list[int]] = {}
    for endpoint_id in sorted(pool.known):
        if pool.known[endpoint_id].state is EndpointState.SERVING:
            zones.setdefault(pool.known[endpoint_id].zone, []).append(endpoint_id)
    rings = {}
    for zone, ring in sorted(zones.items()):
        start = int(setup.proxy_index * GOLDEN_RATIO_FRACTION % 1.0 * len(ring))
        turned = ring[start:] + ring[:start]
        rings[zone] = sorted(turned, key=lambda one: bool(pool.known[one].ejected_until))
    members = rings.pop(setup.zone, [])[:MAX_POOL_LOCAL]
    for position in range(MAX_POOL):
        members += [ring[position] for ring in rings.values() if position < len(ring)]
    return members[:MAX_POOL]


@pytest.mark.parametrize("seed", range(12))
def test_the_pool_is_what_its_definition_says_after_any_changes(seed: int) -> None:
    random = Random(seed)
    size = random.choice([1, 4, 12, 30, 90])
    setup = settings(proxy_index=random.randrange(200), zone=random.choice("abcx"))
    driver = BalancerDriver(setup, endpoints=[item(number) for number in range(size)])
    balancer = driver.balancer
    for _ in range(120):
        driver.now += 0.3
        numbers = [random.randrange(size + 4) for _ in range(random.randrange(4))]
        entries = [
            item(
                number, state=random.choice(list(EndpointState)), started_at=random.choice([0.0, driver.now])
            )
            for number in numbers
        ]
        if random.random() < 0.1:
            full = {entry.endpoint_id: entry for entry in entries}
            full |= {
                item(number).endpoint_id: item(number) for number in range(size) if random.random() < 0.7
            }
            driver.feed(EndpointListUpdate(ListScope.FULL, list(full.values())))
        else:
            driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries))
        for endpoint in list(balancer.endpoints.members):
            if random.random() < 0.1:
                balancer.outliers.eject(endpoint, driver.now, is_certain=True)
        for endpoint in [e for e in balancer.endpoints.known.values() if e.ejected_until]:
            if random.random() < 0.2:
                balancer.outliers.readmit(endpoint)
        assert [e.endpoint_id for e in balancer.endpoints.members] == plain_members(balancer.endpoints, setup)
        serving = [e for e in balancer.endpoints.known.values() if e.state is EndpointState.SERVING]
        assert balancer.avoided == [e.endpoint_id for e in serving if e.ejected_until]
