"""Work and state don't grow with the fleet: counts at 3,200 endpoints are compared with counts at 200.

The tests count executed byte codes, so that the result doesn't depend on a clock and any loop over
all endpoints increases the count.
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

USUAL_FLEET = 200
LARGE_FLEET = 3200
MAX_GROWTH = 1.5  # Allowed growth of a count from the usual fleet to the large one.
MAX_GROWTH_WITH_POOL = 1.1 * MAX_LARGE_POOL / MAX_POOL  # Allowed growth of a count if the pool grows as well.
MAX_STATE_BYTES = 1200  # Bytes of policy state per endpoint.
ZONES = "abc"


def listed_entry(number: int, **changes: Any) -> EndpointEntry:
    return EndpointEntry(number * 7919 % 1_000_003, zone=ZONES[number % 3], cell=number % 3, **changes)


def fleet_driver(size: int, proxies: int = USUAL_FLEET) -> BalancerDriver:
    """Build a policy for this many endpoints that has served some requests and checked some endpoints."""
    proxy_settings = settings(can_check_health=True, proxy_count=proxies, proxy_index=7)
    driver = BalancerDriver(proxy_settings, endpoints=[listed_entry(number) for number in range(size)])
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


def update_list(driver: BalancerDriver) -> None:
    """Apply list updates, each with one endpoint that drains, one that is removed and one that is added."""
    for number in range(10):
        entries = [
            listed_entry(number, state=EndpointState.DRAINING),
            listed_entry(50 + number, state=EndpointState.REMOVED),
            listed_entry(100_000 + number),
        ]
        driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries))


def eject_and_readmit(driver: BalancerDriver) -> None:
    """Eject and readmit endpoints."""
    for request_id in range(2000, 2006):
        for attempt in attempts(driver.arrive(request_id, "once")):
            for _ in range(3):
                driver.balancer.outliers.eject(
                    driver.balancer.endpoints.known[attempt.endpoint_id], driver.now, is_certain=True
                )
            driver.end_attempt(attempt, AttemptStatus.RESET)
    for _ in range(30):
        answer_checks(driver, driver.advance(0.05))


def count_work(action: Callable[[BalancerDriver], None], endpoints: int, proxies: int) -> int:
    driver = fleet_driver(endpoints, proxies)
    return count_opcodes(lambda: action(driver))


@pytest.mark.parametrize(
    "action",
    [run_control_steps, serve_requests, update_list, eject_and_readmit],
    ids=lambda action: action.__name__,
)
def test_work_does_not_grow_with_the_fleet(action: Callable[[BalancerDriver], None]) -> None:
    # Guards against work for all known endpoints. Each list update and each ejection sorted all of them (3.2
    # ms at 3,200 endpoints), and each control step searched all of them for ejected ones.
    usual_work = count_work(action, USUAL_FLEET, USUAL_FLEET)
    assert usual_work > 1000, "nothing was counted"
    # The number of proxies grows as well, so the pool keeps its size.
    assert count_work(action, LARGE_FLEET, LARGE_FLEET) <= MAX_GROWTH * usual_work
    assert count_work(action, LARGE_FLEET, USUAL_FLEET) <= MAX_GROWTH_WITH_POOL * usual_work


def serve_one_by_one(driver: BalancerDriver) -> None:
    for step in range(400):
        answer_checks(driver, driver.advance(0.05))
        for attempt in attempts(driver.arrive(3000 + step)):
            driver.end_attempt(attempt, AttemptStatus.OK)


@pytest.mark.parametrize("price_probe", [0.001, 0.01], ids=["checks for requests", "steady checks"])
def test_requests_and_health_checks_of_a_proxy_with_little_traffic_reach_few_endpoints(
    price_probe: float,
) -> None:
    # Guards against needless connections at 3,200 endpoints: health checks of a pool of 48 opened 132 of the
    # 165 allowed connections, and those of a pool of 16 opened 50.
    proxy_settings = settings(can_check_health=True, price_probe=price_probe, proxy_count=200, proxy_index=7)
    driver = BalancerDriver(proxy_settings, endpoints=[listed_entry(number) for number in range(LARGE_FLEET)])
    serve_one_by_one(driver)
    reached = {action.endpoint_id for action in driver.actions if isinstance(action, CheckHealth)}
    reached |= {attempt.endpoint_id for attempt in attempts(driver.actions)}
    assert len(driver.balancer.endpoints.members) == MAX_LARGE_POOL
    # A request may use an endpoint beyond the first MAX_POOL members.
    assert 3 < len(reached) <= 1.5 * MAX_POOL


def test_requests_over_the_capacity_of_the_first_members_use_the_whole_large_pool() -> None:
    driver = fleet_driver(LARGE_FLEET)
    driver.balancer.limiter.limit = 200.0
    for number in range(80):
        driver.arrive(5000 + number)
    started = {attempt.endpoint_id for attempt in attempts(driver.actions) if attempt.request_id >= 5000}
    assert len(started) == MAX_LARGE_POOL


def test_state_of_an_endpoint_is_small() -> None:
    tracemalloc.start()
    try:
        driver = BalancerDriver(settings(), endpoints=[])
        entries = [listed_entry(number) for number in range(LARGE_FLEET)]
        before = tracemalloc.get_traced_memory()[0]
        driver.feed(EndpointListUpdate(ListScope.FULL, entries))
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert used / LARGE_FLEET <= MAX_STATE_BYTES


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
    # Guards against a pool that is too small for 3,200 endpoints with a sixteenth of the usual capacity each.
    # A proxy with three times the mean traffic served 0.48 of its requests from 16 endpoints, compared with
    # 0.91 in a fleet of 200 endpoints.
    proxy_settings = settings(proxy_count=proxies)
    driver = BalancerDriver(proxy_settings, endpoints=[listed_entry(number) for number in range(endpoints)])
    assert len(driver.balancer.endpoints.members) == size


def test_the_pools_of_a_large_fleet_cover_it_evenly() -> None:
    counts: dict[int, int] = {}
    entries = [listed_entry(number) for number in range(LARGE_FLEET)]
    for proxy_index in range(200):
        pool = EndpointPool(settings(proxy_index=proxy_index, proxy_count=200, zone="a"), Random(1))
        pool.apply_update(EndpointListUpdate(ListScope.FULL, entries))
        for endpoint in pool.members:
            if endpoint.zone == "a":
                counts[endpoint.endpoint_id] = counts.get(endpoint.endpoint_id, 0) + 1
    in_zone = sum(entry.zone == "a" for entry in entries)
    assert len(counts) == in_zone and max(counts.values()) <= 3 * 200 * 30 / in_zone


def expected_members(pool: EndpointPool, proxy_settings: Settings) -> list[int]:
    """Return the pool by its definition, from complete rings that are sorted for each call."""
    zones: dict[str, list[int]] = {}
    for endpoint_id in sorted(pool.known):
        if pool.known[endpoint_id].state is EndpointState.SERVING:
            zones.setdefault(pool.known[endpoint_id].zone, []).append(endpoint_id)
    rings = {}
    for zone, ring in sorted(zones.items()):
        start = int(proxy_settings.proxy_index * GOLDEN_RATIO_FRACTION % 1.0 * len(ring))
        rotated = ring[start:] + ring[:start]
        rings[zone] = sorted(rotated, key=lambda one: bool(pool.known[one].ejected_until))
    members = rings.pop(proxy_settings.zone, [])[:MAX_POOL_LOCAL]
    for position in range(MAX_POOL):
        members += [ring[position] for ring in rings.values() if position < len(ring)]
    return members[:MAX_POOL]


@pytest.mark.parametrize("seed", range(12))
def test_pool_matches_its_definition_after_random_changes(seed: int) -> None:
    random = Random(seed)
    size = random.choice([1, 4, 12, 30, 90])
    proxy_settings = settings(proxy_index=random.randrange(200), zone=random.choice("abcx"))
    driver = BalancerDriver(proxy_settings, endpoints=[listed_entry(number) for number in range(size)])
    balancer = driver.balancer
    for _ in range(120):
        driver.now += 0.3
        numbers = [random.randrange(size + 4) for _ in range(random.randrange(4))]
        entries = [
            listed_entry(
                number, state=random.choice(list(EndpointState)), started_at=random.choice([0.0, driver.now])
            )
            for number in numbers
        ]
        if random.random() < 0.1:
            full = {entry.endpoint_id: entry for entry in entries}
            full |= {
                listed_entry(number).endpoint_id: listed_entry(number)
                for number in range(size)
                if random.random() < 0.7
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
        assert [e.endpoint_id for e in balancer.endpoints.members] == expected_members(
            balancer.endpoints, proxy_settings
        )
        serving = [e for e in balancer.endpoints.known.values() if e.state is EndpointState.SERVING]
        assert balancer.ejected_endpoint_ids == [e.endpoint_id for e in serving if e.ejected_until]
