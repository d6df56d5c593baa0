"""ConcurrencyLimiter, queue, pick and health against figures worked out by hand."""

from __future__ import annotations

from random import Random

import pytest
from balancer_driver import ONCE, SAFE, BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import (
    Action,
    AttemptEnded,
    AttemptStatus,
    Balancer,
    CheckHealth,
    CloseIdleConnections,
    EndpointEntry,
    EndpointListUpdate,
    Fail,
    HealthCheckEnded,
    Idempotency,
    ListScope,
    Reject,
    RequestArrived,
    RequestClass,
    StartAttempt,
    Tenant,
    WatchEndpoints,
)
from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.connections import CONNECTION_LIMIT_S
from service_proxy.policy.endpoint_load import SAMPLE_MEMORY_S
from service_proxy.policy.outlier_detection import FAILURE_MEMORY_S
from service_proxy.policy.request_class import RequestClassState
from service_proxy.policy.retry_budget import UNEXECUTED_RETRY_COST


def admission(
    window: float, latency: float, rate: float, worths: list[float], stage: int = 0
) -> ConcurrencyLimiter:
    limiter = ConcurrencyLimiter(stage, Random(3))
    for _ in range(20):
        limiter.observe_latency(latency)
    limiter.limit = window
    limiter.arrival_rate = rate
    limiter.weights.extend(worths)
    return limiter


def test_drop_fraction() -> None:
    # ST = 4 / 0.1 = 40 a second of 50 that come: a fifth is dropped.
    assert admission(4, 0.1, 50, [1.0] * 20).shed_rate() == pytest.approx(0.2)
    assert admission(4, 0.1, 39, [1.0] * 20).shed_rate() == 0.0


def test_inner_tiers_refuse_later() -> None:
    # Work above is sunk: one tier down ST weighs 1.5 times.
    assert admission(4, 0.1, 120, [1.0] * 20, stage=1).shed_rate() == pytest.approx(0.5)


def test_nothing_is_refused_without_samples() -> None:
    limiter = ConcurrencyLimiter(0, Random(3))
    limiter.arrival_rate = 1e6
    limiter.update_shed_threshold()
    assert limiter.shed_rate() == 0.0 and limiter.admits(0.0)


def test_cut_and_tie_share() -> None:
    # 70% at 1, 30% at 12. Dropping 0.2 of all refuses 2 in 7 of the cheap ones.
    limiter = admission(4, 0.1, 50, [1.0] * 70 + [12.0] * 30)
    limiter.update_shed_threshold()
    assert limiter.shed_threshold == 1.0 and limiter.threshold_shed_share == pytest.approx(0.2 / 0.7)
    assert limiter.admits(12.0)
    refused = sum(not limiter.admits(1.0) for _ in range(7000))
    assert refused == pytest.approx(2000, rel=0.1)
    # Dropping 0.8 of all takes all cheap ones and a third of the others.
    limiter.arrival_rate = 200
    limiter.update_shed_threshold()
    assert limiter.shed_threshold == 12.0 and limiter.threshold_shed_share == pytest.approx(0.1 / 0.3)
    assert not limiter.admits(1.0)


def test_cut_takes_the_whole_level_when_the_cdf_just_reaches_the_target() -> None:
    limiter = admission(4, 0.1, 80, [1.0] * 50 + [12.0] * 50)
    limiter.update_shed_threshold()
    assert (
        limiter.shed_threshold == 1.0
        and limiter.threshold_shed_share == pytest.approx(1.0)
        and not limiter.admits(1.0)
    )


def test_window_grows_only_while_it_limits_and_shrinks_on_late_answers() -> None:
    limiter = ConcurrencyLimiter(0, Random(3))
    limiter.is_starting = False
    before = limiter.limit
    limiter.on_timely_answer(in_flight=0)
    assert limiter.limit == before
    limiter.on_timely_answer(in_flight=before)
    assert limiter.limit > before
    grown = limiter.limit
    limiter.on_late_answer()
    assert limiter.limit < grown
    for _ in range(100):
        limiter.on_late_answer()
    assert limiter.limit == 2
    # Found in incident ibba0b4: more instances than servers, each with two calls out.
    limiter.update_min_limit(endpoint_count=20, proxy_count=80)
    for _ in range(100):
        limiter.on_late_answer()
    assert limiter.limit == 1


def test_classes_rank_by_worth_where_the_worth_for_their_time_does_not_say_otherwise() -> None:
    def ranks(*figures: tuple[float, float]) -> list[float]:
        states = []
        for worth, mean in figures:
            state = RequestClassState(RequestClass("x", worth, 1.0, 2.0), 0, 3)
            state.mean_latency.value = mean
            states.append(state)
        for state in states:
            state.update_shedding_weight(states)
        return [state.shedding_weight for state in states]

    assert ranks((12, 0.1), (1, 0.4), (1, 0.9)) == [12, 1, 1]
    assert ranks((2, 0.45), (3, 0.8), (5, 1.0)) == [3, 3, 5]
    assert ranks((2, 0.6), (3, 0.8), (5, 1.0)) == [2, 3, 5]
    assert ranks((2, 0.3), (3, 0.8), (5, 1.0)) == [5, 3, 5]


def test_outstanding_ages_raise_proc() -> None:
    limiter = admission(4, 0.1, 50, [1.0] * 20)
    limiter.in_flight_age = 1.0
    assert limiter.mean_latency == pytest.approx(0.5)


def full(driver: BalancerDriver) -> None:
    """Fills the window with calls, so that the next ones are held."""
    driver.balancer.limiter.limit = 2.0
    driver.arrive(1001)
    driver.arrive(1002)


def test_queue_holds_what_its_wait_allows_and_drops_the_lowest() -> None:
    cheap = RequestClass("cheap", priority_weight=1, latency_objective=1.0, deadline=2.0)
    dear = RequestClass("dear", priority_weight=9, latency_objective=1.0, deadline=2.0)
    driver = BalancerDriver(settings(classes=[cheap, dear, *settings().classes]))
    full(driver)
    limiter = driver.balancer.limiter
    # a place waits 0.4 / 2 = 0.2 s
    limiter.latency.value = 0.4
    limiter.latency.count = 0.0
    for state in driver.balancer.request_classes.values():
        state.mean_latency.value = 0.2
    # Within an aim of 1 s: 0.2 n + 2 x 0.2 <= 1 allows three places.
    actions = driver.feed(*[RequestArrived(call, "cheap", 2.0) for call in (1, 2, 3, 4)])
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(4)]
    # A worthier newcomer displaces the lowest held call and goes first.
    actions = driver.arrive(5, "dear")
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(3)]
    assert [request.request_id for request in driver.balancer.queue.requests] == [5, 1, 2]


def test_one_place_remains() -> None:
    driver = BalancerDriver(settings())
    full(driver)
    driver.balancer.limiter.latency.value = 50.0
    actions = driver.arrive(1)
    assert not [a for a in actions if isinstance(a, Reject)]
    assert [request.request_id for request in driver.balancer.queue.requests] == [1]


def test_whole_batch_is_taken_in_before_the_worthiest_goes() -> None:
    driver = BalancerDriver(settings())
    driver.balancer.limiter.limit = 1.0
    actions = driver.feed(RequestArrived(1, "once", 2.0), RequestArrived(2, "safe", 2.0))
    assert only_attempt(actions).request_id == 2


def test_pick_takes_the_fewest_in_flight_counting_own_sends() -> None:
    driver = BalancerDriver(settings(can_check_health=True), servers=entries(1, 2))
    driver.feed(
        HealthCheckEnded(1, AttemptStatus.OK, 0.001, {"busy_reqs": 5.0}),
        HealthCheckEnded(2, AttemptStatus.OK, 0.001, {"busy_reqs": 3.0}),
    )
    servers = [only_attempt(driver.arrive(call)).endpoint_id for call in (1, 2)]
    assert servers == [2, 2]  # 3, then 4 of its own against 5
    more = {only_attempt(driver.arrive(call)).endpoint_id for call in (3, 4)}
    assert 1 in more


def test_pick_without_probes_uses_own_sends_alone() -> None:
    driver = BalancerDriver(settings(can_check_health=False), servers=entries(1, 2, 3))
    servers = [only_attempt(driver.arrive(call)).endpoint_id for call in range(3)]
    assert sorted(servers) == [1, 2, 3]
    assert not [a for a in driver.advance(5.0) if isinstance(a, CheckHealth)]


def test_pick_scales_by_the_listed_size() -> None:
    listed = [EndpointEntry(1, zone="a", weight=3.0), EndpointEntry(2, zone="a", weight=1.0)]
    driver = BalancerDriver(settings(), servers=listed)
    servers = [only_attempt(driver.arrive(call)).endpoint_id for call in range(4)]
    assert servers.count(1) == 3


def test_crossing_price_keeps_calls_at_home() -> None:
    listed = entries(1, zone="a") + entries(2, zone="b")
    driver = BalancerDriver(settings(price_cross_zone=0.5), servers=listed)
    assert {only_attempt(driver.arrive(call)).endpoint_id for call in range(4)} == {1}


def test_pool_is_bounded_and_covers_all_servers_evenly() -> None:
    counts = dict.fromkeys(range(1, 61), 0)
    for me in range(60):
        driver = BalancerDriver(settings(proxy_index=me, proxy_count=60), servers=entries(*range(1, 61)))
        pool = driver.balancer.endpoints.members
        assert len(pool) <= 16
        for server in pool:
            counts[server.endpoint_id] += 1
    assert min(counts.values()) >= 5 and max(counts.values()) <= 16


def test_refused_connections_eject_and_a_probe_readmits() -> None:
    driver = BalancerDriver(settings(can_check_health=True), servers=entries(1, 2))
    send = only_attempt(driver.arrive(1))
    driver.end_attempt(send, AttemptStatus.CONNECT_FAILED)
    others = {only_attempt(driver.arrive(call)).endpoint_id for call in (2, 3, 4)}
    assert send.endpoint_id not in others
    driver.advance(1.0)
    assert CheckHealth(send.endpoint_id) in driver.actions
    driver.feed(HealthCheckEnded(send.endpoint_id, AttemptStatus.OK, 0.001, None))
    assert not driver.balancer.endpoints.known[send.endpoint_id].ejected_until


def test_soft_ejection_is_capped() -> None:
    # When everything is slow, no server is at fault.
    driver = BalancerDriver(settings(), servers=entries(*range(1, 7)))
    outliers = driver.balancer.outliers
    endpoints = driver.balancer.endpoints.known.values()
    ejected = [outliers.eject(endpoint, driver.now, is_certain=False) for endpoint in endpoints]
    assert sum(ejected) == 2


def test_hung_server_is_left_by_the_ages_of_its_calls() -> None:
    driver = BalancerDriver(settings(), servers=entries(1, 2, 3))
    hung = 0
    for call in range(60):
        driver.advance(0.05)
        for send in attempts(driver.arrive(call, "once")):
            if send.endpoint_id == 1:
                hung += 1
            else:
                driver.end_attempt(send, AttemptStatus.OK)
    assert hung <= 8  # of the 20 that an even share would be


def test_fast_failing_server_is_left() -> None:
    driver = BalancerDriver(settings(max_attempts=1), servers=entries(1, 2, 3))
    failing = 0
    for call in range(200):
        driver.advance(0.02)
        for send in attempts(driver.arrive(call, "once")):
            failing += send.endpoint_id == 1
            bad = send.endpoint_id == 1
            driver.end_attempt(
                send, AttemptStatus.ERROR if bad else AttemptStatus.OK, elapsed=0.001 if bad else 0.05
            )
    assert failing <= 30  # an even share would be 66, and it looks idle


def test_retries_keep_to_their_budget() -> None:
    driver = BalancerDriver(settings(max_attempts=3))
    tries = 0
    for call in range(200):
        driver.advance(0.02)
        todo = [(send, 0) for send in attempts(driver.arrive(call))]
        while todo:
            send, number = todo.pop()
            tries += 1
            todo += [
                (again, number + 1)
                for again in attempts(driver.end_attempt(send, AttemptStatus.ERROR, number), send.request_id)
            ]
    assert tries <= 200 * 1.15 + 5


def test_over_share_calls_are_worth_less() -> None:
    driver = BalancerDriver(
        settings(tenants=[Tenant("t", 2.0)], over_quota_weight_share=0.1, proxy_count=1), servers=[]
    )
    driver.feed(*[RequestArrived(call, "safe", 2.0, "t") for call in range(4)])
    assert [request.weight for request in driver.balancer.queue.requests] == [10.0, 10.0, 1.0, 1.0]


def test_late_tries_are_known_by_their_budget() -> None:
    # Found in incident i37a472: a few long budgets made every first try look late.
    driver = BalancerDriver(settings())
    state = driver.balancer.request_classes["safe"]
    for _ in range(40):
        assert driver.balancer.admission.remaining_objective(state, 1.2, False) == pytest.approx(1.0)
    assert driver.balancer.admission.remaining_objective(state, 1.4, False) == pytest.approx(1.0)
    assert driver.balancer.admission.remaining_objective(state, 1.2, False) == pytest.approx(1.0)
    assert driver.balancer.admission.remaining_objective(state, 0.9, False) == pytest.approx(
        1.0 - (2.0 - 0.9)
    )
    inner = BalancerDriver(settings(tier_index=1))
    assert inner.balancer.admission.remaining_objective(
        inner.balancer.request_classes["safe"], 0.3, False
    ) == pytest.approx(1.0)


def test_a_first_try_with_a_short_budget_is_not_late_where_retries_are_marked() -> None:
    # Found on seed 7001: a quarter of the calls was refused as useless while backends stood idle.
    for marked, resent, sent in ((True, False, True), (True, True, False), (False, False, False)):
        driver = BalancerDriver(settings(clients_flag_retries=marked))
        for call in range(20):
            driver.end_attempt(only_attempt(driver.arrive(call)), AttemptStatus.OK)
        assert bool(attempts(driver.arrive(99, budget=0.9, is_retry=resent))) == sent


def test_cold_budget_does_not_fall_with_the_send_rate() -> None:
    # Found in incident ia644e1: few sends allowed fewer still, and a fleet in a roll stayed cold.
    driver = BalancerDriver(settings(), servers=entries(1, 2))
    slow_start = driver.balancer.slow_start
    slow_start.send_rate = 40.0
    slow_start.refill_tokens(driver.now, 0.05)
    slow_start.send_rate = 1.0
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(2, started_at=driver.now)))
    warming = driver.balancer.endpoints.known[2]
    warming.slow_start_tokens = 0.0
    slow_start.refill_tokens(driver.now, 0.05)
    assert warming.slow_start_tokens == pytest.approx(40 / 2 * 0.3 * 1.5 * 0.05, rel=0.02)


def test_asking_starts_within_two_seconds_and_backs_off() -> None:
    driver = BalancerDriver(settings(polls_discovery=True))
    driver.advance(2.1)
    assert driver.actions.count(WatchEndpoints(True)) == 1
    driver.feed(EndpointListUpdate(ListScope.FAILED))
    before = driver.actions.count(WatchEndpoints(True))
    driver.advance(0.9)
    assert driver.actions.count(WatchEndpoints(True)) == before
    driver.advance(1.2)
    assert driver.actions.count(WatchEndpoints(True)) == before + 1
    assert WatchEndpoints(True) not in BalancerDriver(settings()).advance(12.0)


def test_class_without_late_worth_times_out_at_its_aim() -> None:
    driver = BalancerDriver(settings())
    assert only_attempt(driver.arrive(1)).timeout == pytest.approx(1.0)
    late = RequestClass(
        "late",
        priority_weight=1,
        latency_objective=1.0,
        deadline=2.0,
        late_weight_share=0.5,
        idempotency=Idempotency.NOT_IDEMPOTENT,
    )
    driver = BalancerDriver(settings(classes=[late]))
    send = only_attempt(driver.arrive(1, "late"))
    assert send.timeout == pytest.approx(2.0)
    driver.now += 2.0
    assert Fail(1) in driver.end_attempt(send, AttemptStatus.TIMEOUT, elapsed=2.0)


def test_target_of_inner_tiers_is_smaller() -> None:
    cls = settings().classes[0]
    assert RequestClassState(cls, 1, 3).min_latency_target == pytest.approx(
        RequestClassState(cls, 0, 3).min_latency_target / 2
    )


def test_window_stays_open_until_the_unhurried_latency_is_known() -> None:
    # Found on the quiet day of riga-orders: a call a second an instance, each taking over a third of its
    # aim. W closed on the first answers, before the unhurried latency could be learned, and half was refused.
    driver = BalancerDriver(settings(can_check_health=False))
    limiter = driver.balancer.limiter
    before = limiter.limit
    for call in range(15):
        driver.advance(1.0)
        driver.end_attempt(only_attempt(driver.arrive(call)), AttemptStatus.OK, elapsed=0.7)
    assert limiter.limit >= before and limiter.shed_rate() == 0.0


def test_answer_within_the_same_instant_is_no_fault() -> None:
    # Found by the property test: a mean latency of 0 divided.
    driver = BalancerDriver(settings())
    driver.end_attempt(only_attempt(driver.arrive(1)), AttemptStatus.OK, elapsed=0.0)
    assert driver.balancer.request_classes["safe"].mean_latency.value > 0


def test_few_calls_and_cheap_probes_ask_before_sending() -> None:
    # Found on karachi-main: with one call in two seconds an instance, steady reports are always stale.
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5)
    )
    actions = driver.arrive(1)
    asked = [a.endpoint_id for a in actions if isinstance(a, CheckHealth)]
    assert len(asked) == 3 and not attempts(actions)
    driver.feed(
        *[HealthCheckEnded(server, AttemptStatus.OK, 0.001, {"busy_reqs": 4.0}) for server in asked[:2]]
    )
    idle = driver.feed(HealthCheckEnded(asked[2], AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}))
    assert only_attempt(idle).endpoint_id not in asked[:2]


def test_call_that_asked_goes_without_answers_after_a_while() -> None:
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5)
    )
    assert not attempts(driver.arrive(1))
    assert len(attempts(driver.advance(0.011))) == 1


def test_target_is_never_below_what_an_unhurried_call_takes() -> None:
    # Found on a quiet day of wa-payments: the unhurried latency was near the target and W closed to 5.
    state = RequestClassState(settings().classes[0], 0, 3)
    least = state.min_latency_target
    for _ in range(30):
        state.mean_latency.add(0.3, 50)
    state.update_latency_target(0.05)
    assert state.latency_target == pytest.approx(1.75 * 0.3) and state.latency_target > least
    for _ in range(300):
        state.mean_latency.add(0.9, 50)
    state.update_latency_target(0.05)
    assert state.latency_target < 0.54  # a crowd does not raise it at once


def test_live_server_without_room_for_connections_is_kept() -> None:
    # Found on a full-size day of central-santiago: ejected as dead, it left its calls to the rest.
    driver = BalancerDriver(settings(), servers=entries(1))
    server = driver.balancer.endpoints.known[1]
    first = only_attempt(driver.arrive(1, "once"))
    second = only_attempt(driver.arrive(2, "once"))
    third = only_attempt(driver.arrive(3, "once"))
    driver.end_attempt(first, AttemptStatus.OK)
    driver.end_attempt(second, AttemptStatus.CONNECT_FAILED, final=True)
    assert not server.connection_limit  # one may be chance
    driver.end_attempt(third, AttemptStatus.CONNECT_FAILED, final=True)
    assert not server.ejected_until
    again = attempts(driver.arrive(4, "once")) + attempts(driver.arrive(5, "once"))
    assert len(again) == 1 and server.in_flight == 1  # one connection is open: one call at a time


def test_hopeless_call_is_not_sent_while_others_are_out() -> None:
    # Found in incident i37a472: calls with less than a mean latency left were sent and ended too late.
    driver = BalancerDriver(settings())
    driver.balancer.request_classes["safe"].mean_latency.value = 0.4
    only_attempt(driver.arrive(1))
    actions = driver.arrive(2, budget=0.3)
    assert Reject(2) in actions and not attempts(actions)
    alone = BalancerDriver(settings())
    alone.balancer.request_classes["safe"].mean_latency.value = 0.4
    assert len(attempts(alone.arrive(2, budget=0.3))) == 1


def test_idle_instance_probes_seldom() -> None:
    # Found at full size: two probes a second cost several probes a call where a call a second comes.
    driver = BalancerDriver(settings(can_check_health=True))
    first = [a for a in driver.advance(1.0) if isinstance(a, CheckHealth)]
    driver.feed(
        *[HealthCheckEnded(a.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}) for a in first]
    )
    probes = 0
    for _ in range(200):
        asked = [a for a in driver.advance(0.1) if isinstance(a, CheckHealth)]
        probes += len(asked)
        driver.feed(
            *[HealthCheckEnded(a.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}) for a in asked]
        )
    assert 2 <= probes <= 12


def test_reset_on_an_idle_connection_is_not_the_server_s_fault() -> None:
    # Found on idle_reap days of pratiche-nord: each lost idle connection ejected a sound server, and the
    # next idle one was used all the same.
    driver = BalancerDriver(settings(), servers=entries(1))
    driver.end_attempt(only_attempt(driver.arrive(1, "once")), AttemptStatus.OK)
    driver.advance(3.0)
    send = only_attempt(driver.arrive(2, "once"))
    assert CloseIdleConnections(1) not in driver.actions
    driver.end_attempt(send, AttemptStatus.RESET, elapsed=0.001)
    assert not driver.balancer.endpoints.known[1].ejected_until
    driver.end_attempt(only_attempt(driver.arrive(3, "once")), AttemptStatus.OK)
    driver.advance(3.0)
    actions = driver.arrive(4, "once")
    assert actions.index(CloseIdleConnections(1)) < actions.index(only_attempt(actions))


def test_resets_eject_where_nothing_was_answered_lately_or_three_in_a_row() -> None:
    # Found on a wide+reset+stale day of central-santiago: each reset ejected a backend that had answered
    # others milliseconds before, until none was left.
    driver = BalancerDriver(settings(), servers=entries(1, 2))
    unheard = only_attempt(driver.arrive(1, "once"))
    driver.end_attempt(unheard, AttemptStatus.RESET)
    known = driver.balancer.endpoints.known
    assert known[unheard.endpoint_id].ejected_until
    other = known[3 - unheard.endpoint_id]
    driver.end_attempt(only_attempt(driver.arrive(2, "once")), AttemptStatus.OK)
    for call, status in enumerate(
        (AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED, AttemptStatus.OK, AttemptStatus.RESET), 3
    ):
        send = only_attempt(driver.arrive(call, "once"))
        driver.end_attempt(send, status, elapsed=0.001, final=True)
        assert send.endpoint_id == other.endpoint_id and not other.ejected_until
    driver.advance(CONNECTION_LIMIT_S + 0.1)
    driver.end_attempt(only_attempt(driver.arrive(7, "once")), AttemptStatus.OK)
    out = [only_attempt(driver.arrive(call, "once")) for call in (8, 9, 10)]
    for broken, send in enumerate(out, 1):  # a process that dies breaks all that it has
        driver.end_attempt(send, AttemptStatus.RESET)
        assert bool(other.ejected_until) == (broken >= 3)


def test_a_server_s_failing_share_is_of_one_class_and_fades() -> None:
    # Found on wide+reset+stale days of central-santiago: servers turned one class away, after 354 ms each.
    driver = BalancerDriver(settings(), servers=entries(1, 2))
    outliers = driver.balancer.outliers
    send = only_attempt(driver.arrive(1, "once"))
    driver.end_attempt(send, AttemptStatus.REJECTED, elapsed=0.354, final=True)
    failed = driver.balancer.endpoints.known[send.endpoint_id]
    assert outliers.failure_share(failed, "once", driver.now) == pytest.approx(0.3)
    assert outliers.failure_share(failed, "safe", driver.now) == 0.0
    assert outliers.pool_failure_share("once", driver.now) == pytest.approx(0.15)
    assert all(only_attempt(driver.arrive(call, "once")).endpoint_id != failed.endpoint_id for call in (2, 3))
    faded = outliers.failure_share(failed, "once", driver.now + FAILURE_MEMORY_S)
    assert faded == pytest.approx(0.3 / 2.71828, rel=1e-3)


def test_what_never_ran_is_tried_again_for_less_than_what_may_have_run() -> None:
    # Found there too: the retry budget of inner tiers went to calls turned away; each lost its caller.
    driver = BalancerDriver(settings())
    driver.balancer.retry_budget.tokens = UNEXECUTED_RETRY_COST
    first = only_attempt(driver.arrive(1))
    driver.balancer.retry_budget.tokens = UNEXECUTED_RETRY_COST
    assert len(attempts(driver.end_attempt(first, AttemptStatus.REJECTED))) == 1
    driver.balancer.retry_budget.tokens = UNEXECUTED_RETRY_COST
    assert not attempts(driver.end_attempt(only_attempt(driver.arrive(2)), AttemptStatus.ERROR))


def test_a_connection_s_fault_leaves_the_server_s_pace_alone_and_old_samples_fade() -> None:
    # Found there too: resets counted as 8 latencies; a server that got no calls kept its last word for 16 s.
    driver = BalancerDriver(settings(), servers=entries(1))
    driver.end_attempt(only_attempt(driver.arrive(1, "once")), AttemptStatus.OK)
    server = driver.balancer.endpoints.known[1]
    before = server.latency_sum, server.load_sum
    driver.end_attempt(only_attempt(driver.arrive(2, "once")), AttemptStatus.RESET)
    assert (server.latency_sum, server.load_sum) == before
    driver.advance(SAMPLE_MEMORY_S)
    assert server.load_sum == pytest.approx(before[1] / 2.71828, rel=0.01)
    assert server.latency_sum / server.load_sum == pytest.approx(before[0] / before[1])


def test_calls_keep_to_open_connections_where_new_ones_are_slow() -> None:
    # Found in incident i513ea5: a third of the attempts got no connection while open ones stood idle.
    def second_pick(new_cost: float) -> int:
        driver = BalancerDriver(settings(can_check_health=False), servers=entries(1, 2))
        first = only_attempt(driver.arrive(1))
        for call in range(2, 12):  # open on one server, and slow or not when opened
            driver.end_attempt(first, AttemptStatus.OK, elapsed=0.1)
            driver.balancer.connections.new_latency.add(new_cost, 30)
            driver.balancer.connections.open_latency.add(1.0, 30)
            first = only_attempt(driver.arrive(call))
        return int(only_attempt(driver.arrive(12)).endpoint_id == first.endpoint_id)

    assert second_pick(new_cost=4.0) == 1 and second_pick(new_cost=1.0) == 0


def test_unasked_server_is_as_loaded_as_its_zone() -> None:
    # Found on the first full-size day of riga-orders: the room with most traffic kept to its own servers,
    # since those that no probe had reached looked idle, while other rooms stood idle.
    listed = entries(1, 2, 3, zone="a") + entries(4, 5, zone="b")
    driver = BalancerDriver(settings(can_check_health=True, price_cross_zone=0.04), servers=listed)
    reports = {1: 9.0, 2: 9.0, 4: 0.0}
    driver.feed(
        *[
            HealthCheckEnded(server, AttemptStatus.OK, 0.01, {"busy_reqs": busy})
            for server, busy in reports.items()
        ]
    )
    assert {only_attempt(driver.arrive(call)).endpoint_id for call in range(3)} <= {4, 5}


def test_new_instance_asks_over_all_zones_first() -> None:
    # Found at full size of riga-orders: for ten seconds every instance of the crowded room knew nothing of
    # the loads and sent to its own servers; the retries that followed kept them crowded.
    listed = [entry for n, zone in enumerate("abc") for entry in entries(*range(n * 8, n * 8 + 8), zone=zone)]
    driver = BalancerDriver(settings(can_check_health=True), servers=listed)
    asked = [a.endpoint_id for a in driver.advance(0.3) if isinstance(a, CheckHealth)]
    assert 6 <= len(asked) <= 10 and len(set(asked)) == len(asked)
    assert any(server >= 8 for server in asked)


def test_own_pause_is_not_read_as_slow_servers() -> None:
    # Found in incident i309b5f: balancers that stood still for two seconds closed their windows and ejected
    # servers for answers that had long been there.
    driver = BalancerDriver(settings(can_check_health=False), servers=entries(1, 2, 3))
    out = [only_attempt(driver.arrive(call)) for call in range(3)]
    limiter = driver.balancer.limiter
    before = (limiter.limit, limiter.mean_latency)
    driver.now += 1.9
    actions = driver.feed(
        *[
            AttemptEnded(send.request_id, 0, send.endpoint_id, AttemptStatus.OK, 1.9, True)
            for send in out[:2]
        ],
        AttemptEnded(out[2].request_id, 0, out[2].endpoint_id, AttemptStatus.TIMEOUT, 1.9, False),
    )
    assert (limiter.limit, limiter.mean_latency) == before and Reject(out[2].request_id) in actions
    assert not any(server.ejected_until for server in driver.balancer.endpoints.known.values())


def test_short_call_is_sent_once_its_candidates_are_asked() -> None:
    # Found on the quiet day of pratiche-nord: inner calls with less than 0.1 s left were refused while they
    # waited a hundredth for their probes.
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5)
    )
    driver.balancer.request_classes["safe"].mean_latency.value = 0.05
    actions = driver.arrive(1, budget=0.08)
    assert not attempts(actions) and Reject(1) not in actions
    assert len(attempts(driver.advance(0.012))) == 1


def test_cut_refuses_nobody_while_the_window_is_not_filled() -> None:
    """Guards against a cut that holds itself: what it refuses keeps W from filling, and so from growing."""
    balancer = Balancer(settings(classes=[SAFE, ONCE]), 1)
    balancer.handle(100.0, [EndpointListUpdate(ListScope.CACHED, entries(1, 2, 3, 4))])
    balancer.limiter.shed_threshold = 1.0
    balancer.limiter.threshold_shed_share = 1.0
    balancer.limiter.limit = 5.0
    said: list[Action] = []
    for call in range(8):
        said += balancer.handle(
            100.001 + call / 1000, [RequestArrived(request_id=call, class_name="once", time_budget=2.0)]
        )
    assert [action.request_id for action in said if isinstance(action, StartAttempt)] == [0, 1, 2, 3]
    assert [action.request_id for action in said if isinstance(action, Reject)] == [4, 5, 6, 7]
