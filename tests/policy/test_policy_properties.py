"""Valid events in arbitrary order; the rules of the retry guard are asserted on the actions alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import hypothesis.strategies as st
import pytest
from balancer_driver import CLASSES, BalancerDriver, attempts, entries, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings

from service_proxy import (
    Action,
    AttemptEnded,
    AttemptStatus,
    Balancer,
    CancelAttempt,
    CheckHealth,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    HealthCheckEnded,
    Idempotency,
    IdempotencyScope,
    ListScope,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)
from service_proxy.policy.retry_guard import WINDOW_MARGIN_S

NEVER_EXECUTED = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
CLASSES_BY_NAME = {request_class.name: request_class for request_class in CLASSES}


ZONES = {1: "a", 2: "a", 3: "b", 4: "b"}  # Zone of each endpoint.
EVENT_TYPES = ["arrive", "arrive", "end attempt", "end attempt", "abandon", "list", "end health check"]
TIMER_SLACK_S = 0.3  # Longest step of the clock in these tests, by which an answer may be late.


@dataclass
class SentAttempt:
    """Attempt from the point of view of its endpoint."""

    endpoint_id: int
    sent_at: float
    status: AttemptStatus | None = None  # None while the attempt is in flight.


@dataclass
class ClientRequest:
    """State of one request from the point of view of its client."""

    request_class: RequestClass
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    has_ended: bool = False

    def first_possible_execution(self) -> SentAttempt | None:
        return next((a for a in self.attempts if a.status not in NEVER_EXECUTED), None)


class RandomEnvironment:
    """Random environment of clients, endpoints and a clock; checks each action against the rules."""

    def __init__(self, data: st.DataObject, policy_settings: Settings, seed: int) -> None:
        self.data = data
        self.policy_settings = policy_settings
        self.balancer = Balancer(policy_settings, seed)
        self.now = 50.0
        self.requests: dict[int, ClientRequest] = {}
        self.states = dict.fromkeys(ZONES, EndpointState.SERVING)
        self.timers: list[tuple[float, int]] = []
        self.health_checks: list[int] = []
        listed = [entry for endpoint_id, zone in ZONES.items() for entry in entries(endpoint_id, zone=zone)]
        self.events: list[Event] = [EndpointListUpdate(ListScope.CACHED, listed)]

    def run_step(self) -> None:
        actions = self.balancer.handle(self.now, self.events)
        ended_now = {
            event.request_id
            for event in self.events
            if isinstance(event, RequestAbandoned) or (isinstance(event, AttemptEnded) and event.is_final)
        }
        for action in actions:
            self._check_action(action, ended_now)
        self._advance_clock()
        self._end_overdue_attempts()
        for _ in range(self.data.draw(st.integers(0, 4))):
            self._draw_event()
        if not self.events:
            self.events = [TimerFired(99)]
        # A queued request is answered in time: no request without an attempt stays open past its deadline.
        late = [
            request_id
            for request_id, request in self.requests.items()
            if not request.has_ended and not request.attempts and self.now > request.deadline + TIMER_SLACK_S
        ]
        assert not late, late

    def _check_action(self, action: Action, ended_now: set[int]) -> None:
        if isinstance(action, StartAttempt):
            self._check_attempt(action)
        elif isinstance(action, Reject | Fail):
            self._check_answer(action, ended_now)
        elif isinstance(action, CancelAttempt):
            assert self.policy_settings.can_cancel
            assert self.requests[action.request_id].attempts[action.attempt_number]
        elif isinstance(action, CheckHealth):
            assert self.policy_settings.can_check_health
            self.health_checks.append(action.endpoint_id)
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, action.token))

    def _check_attempt(self, action: StartAttempt) -> None:
        request = self.requests[action.request_id]
        assert not request.has_ended and self.now < request.deadline
        assert self.states[action.endpoint_id] is EndpointState.SERVING
        assert len(request.attempts) < self.policy_settings.max_attempts
        assert 0 < action.timeout <= request.deadline - self.now + 0.006
        if not self.policy_settings.can_hedge:
            assert all(attempt.status is not None for attempt in request.attempts)
        first = request.first_possible_execution()
        if first is not None:
            request_class = request.request_class
            assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT, "may be executed twice"
            if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                assert self.now - first.sent_at < request_class.idempotency_window - WINDOW_MARGIN_S + 1e-9
                assert (
                    request_class.idempotency_scope is IdempotencyScope.ALL
                    or ZONES[first.endpoint_id] == ZONES[action.endpoint_id]
                )
        request.attempts.append(SentAttempt(action.endpoint_id, self.now))

    def _check_answer(self, action: Reject | Fail, ended_now: set[int]) -> None:
        request = self.requests[action.request_id]
        # In the batch that ends a request, the answer to an earlier event of the batch may still come and is
        # ignored.
        assert not request.has_ended or action.request_id in ended_now
        assert self.now <= request.deadline + self.policy_settings.deadline_slack
        assert all(attempt.status is not None for attempt in request.attempts)
        if isinstance(action, Reject) and request.first_possible_execution() is not None:
            request_class = request.request_class
            assert (
                request_class.idempotency is Idempotency.IDEMPOTENT
                or request_class.idempotency_scope is IdempotencyScope.ALL
            )
            assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        request.has_ended = True

    def _advance_clock(self) -> None:
        """Advance the clock by a drawn step, but at most to the next timer or client deadline."""
        due = [due for due, _ in self.timers]
        due += [request.deadline for request in self.requests.values() if not request.has_ended]
        step = self.data.draw(st.sampled_from([0.0, 0.005, 0.05, 0.3]))
        self.now = max(self.now, min([self.now + step, *[at for at in due if at > self.now]]))
        self.events = [TimerFired(token) for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]

    def _end_overdue_attempts(self) -> None:
        for request_id, request in self.requests.items():
            if self.now < request.deadline:
                continue
            in_flight = [number for number, sent in enumerate(request.attempts) if sent.status is None]
            for number in in_flight:
                self._end_attempt(request_id, number, AttemptStatus.TIMEOUT)
            if in_flight and not request.has_ended:
                request.deadline = self.now

    def _end_attempt(self, request_id: int, number: int, status: AttemptStatus) -> None:
        request = self.requests[request_id]
        sent = request.attempts[number]
        sent.status = status
        request.has_ended = request.has_ended or status is AttemptStatus.OK
        elapsed = self.now - sent.sent_at
        self.events.append(
            AttemptEnded(request_id, number, sent.endpoint_id, status, elapsed, request.has_ended)
        )

    def _draw_event(self) -> None:
        event_type = self.data.draw(st.sampled_from(EVENT_TYPES))
        if event_type == "arrive":
            self._draw_arrival()
        elif event_type == "end attempt":
            self._draw_attempt_end()
        elif event_type == "abandon":
            self._draw_abandonment()
        elif event_type == "list":
            self._draw_list_update()
        elif self.health_checks:
            status = self.data.draw(st.integers(0, 4))
            self.events.append(HealthCheckEnded(self.health_checks.pop(), status, 0.01, {"busy_reqs": 1.0}))

    def _draw_arrival(self) -> None:
        request_id = len(self.requests) + 1
        budget = self.data.draw(st.sampled_from([0.01, 0.3, 1.0, 2.0]))
        class_name = self.data.draw(st.sampled_from(sorted(CLASSES_BY_NAME)))
        self.requests[request_id] = ClientRequest(CLASSES_BY_NAME[class_name], self.now + budget)
        self.events.append(RequestArrived(request_id, class_name, budget))

    def _draw_attempt_end(self) -> None:
        in_flight = [
            (request_id, number)
            for request_id, request in self.requests.items()
            for number, sent in enumerate(request.attempts)
            if sent.status is None
        ]
        if in_flight:
            request_id, number = self.data.draw(st.sampled_from(in_flight))
            self._end_attempt(request_id, number, AttemptStatus(self.data.draw(st.integers(0, 7))))

    def _draw_abandonment(self) -> None:
        unanswered = [request_id for request_id, request in self.requests.items() if not request.has_ended]
        if unanswered:
            request_id = self.data.draw(st.sampled_from(unanswered))
            self.requests[request_id].has_ended = True
            self.events.append(RequestAbandoned(request_id))

    def _draw_list_update(self) -> None:
        endpoint_id = self.data.draw(st.sampled_from(sorted(ZONES)))
        state = self.data.draw(st.sampled_from(list(EndpointState)))
        started_at = self.data.draw(st.sampled_from([0.0, self.now]))
        self.states[endpoint_id] = state
        entry = entries(endpoint_id, zone=ZONES[endpoint_id], state=state, started_at=started_at)
        self.events.append(EndpointListUpdate(ListScope.INCREMENTAL, entry))


@hypothesis_settings(
    max_examples=100, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(
    data=st.data(),
    can_hedge=st.booleans(),
    can_cancel=st.booleans(),
    can_check_health=st.booleans(),
    seed=st.integers(0, 99),
)
def test_retry_guard_rules_hold_for_arbitrary_events(
    data: st.DataObject, can_hedge: bool, can_cancel: bool, can_check_health: bool, seed: int
) -> None:
    policy_settings = settings(
        can_hedge=can_hedge,
        can_cancel=can_cancel,
        can_check_health=can_check_health,
        polls_discovery=seed % 2 == 0,
    )
    environment = RandomEnvironment(data, policy_settings, seed)
    for _ in range(data.draw(st.integers(5, 40))):
        environment.run_step()


@hypothesis_settings(
    max_examples=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(
    endpoints=st.integers(3, 8),
    rate=st.sampled_from([4, 15, 50]),
    warm_up=st.sampled_from([0.0, 6.0]),
    latency=st.sampled_from([0.02, 0.2]),
    seed=st.integers(0, 99),
)
def test_warming_endpoint_is_sent_no_more_than_one_proxys_share(
    endpoints: int, rate: int, warm_up: float, latency: float, seed: int
) -> None:
    """Check that the attempts of one proxy in any window stay under multiple x capacity x window.

    The check uses only the traffic of this proxy, whatever the other proxies send. The capacity is the
    proxy's share of the capacity of a warm endpoint.
    """
    policy_settings = settings(
        overload_multiple=3.0,
        overload_window=1.5,
        slow_start_initial_share=0.2,
        slow_start_window=10.0,
        can_check_health=True,
    )
    driver = BalancerDriver(policy_settings, seed, entries(*range(1, endpoints + 1)))
    driver.balancer.limiter.limit = 50.0
    random = Random(seed)
    request_id = 0
    first = driver.now
    sent_attempts = list[tuple[float, StartAttempt]]()
    warming_sends = list[float]()
    restarted = False
    while driver.now - first < warm_up + 8.0:
        if not restarted and driver.now - first >= warm_up:
            restarted = True
            start_time = driver.now
            driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(1, started_at=driver.now)))
        request_id += 1
        actions = driver.advance(random.expovariate(rate))
        for health_check in [
            a for a in actions if isinstance(a, CheckHealth)
        ]:  # The warming endpoint looks idle to all proxies.
            busy = 0.0 if health_check.endpoint_id == 1 and restarted else 30.0
            driver.feed(
                HealthCheckEnded(health_check.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": busy})
            )
        for attempt in [a for a in driver.arrive(request_id) if isinstance(a, StartAttempt)]:
            sent_attempts.append((driver.now + latency, attempt))
            if restarted and attempt.endpoint_id == 1:
                warming_sends.append(driver.now - start_time)
        while sent_attempts and sent_attempts[0][0] <= driver.now:
            driver.end_attempt(sent_attempts.pop(0)[1], AttemptStatus.OK, elapsed=latency)
    fair_rate = rate / endpoints  # Requests per second that this proxy would send to a warm endpoint.
    for start in warming_sends:
        sent = sum(1 for t in warming_sends if start <= t < start + 1.5)
        capacity = (0.2 + 0.8 * min(1.0, start / 10.0)) * fair_rate * 1.5
        assert sent <= 3.0 * capacity + 2, (start, sent, capacity)


@pytest.mark.parametrize("seed", range(4))
def test_all_proxies_together_stay_below_what_overloads_a_warming_endpoint(seed: int) -> None:
    """Check the platform's bound of N + 3 * sqrt(N) + 3 requests within the overload window.

    N is the number of requests that the settings allow the endpoint in this time. Sixty proxies are
    notified of the restart at the same moment, and each has few requests.
    """
    # `rate` counts the requests per second of all proxies together.
    proxies = 60
    endpoints = 3
    rate = 240.0
    window = 1.5
    multiple = 1.5
    policy_settings = settings(
        overload_multiple=multiple,
        overload_window=window,
        slow_start_initial_share=0.2,
        slow_start_window=30.0,
        proxy_count=proxies,
        can_check_health=True,
    )
    fleet = [
        BalancerDriver(policy_settings, seed * 1000 + n, entries(*range(1, endpoints + 1)))
        for n in range(proxies)
    ]
    random = Random(seed)
    now = start_time = fleet[0].now
    request_id = 0
    restarted = 0.0
    warming_sends = list[float]()
    sent_attempts: list[tuple[float, BalancerDriver, StartAttempt]] = []

    def advance_to(driver: BalancerDriver, due_at: float) -> None:
        """Advance a proxy; its health checks find the warming endpoint idle and all other endpoints busy."""
        for health_check in driver.advance(max(0.0, due_at - driver.now)):
            if isinstance(health_check, CheckHealth):
                busy = 0.0 if restarted and health_check.endpoint_id == 1 else 30.0
                driver.feed(
                    HealthCheckEnded(health_check.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": busy})
                )

    while now < start_time + 12.0:
        now += random.expovariate(rate)
        if not restarted and now > start_time + 6.0:
            restarted = now
            for proxy in fleet:
                advance_to(proxy, now)
                proxy.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(1, started_at=now)))
        while sent_attempts and sent_attempts[0][0] <= now:
            due, owner, attempt = sent_attempts.pop(0)
            advance_to(owner, due)
            owner.end_attempt(attempt, AttemptStatus.OK, elapsed=0.1)
        driver = random.choice(fleet)
        advance_to(driver, now)
        request_id += 1
        for attempt in attempts(driver.arrive(request_id)):
            sent_attempts.append((now + 0.1, driver, attempt))
            if restarted and attempt.endpoint_id == 1:
                warming_sends.append(now - restarted)
    assert len(warming_sends) > 10
    for start in warming_sends:
        sent = sum(1 for at in warming_sends if start <= at < start + window)
        allowed = multiple * (0.2 + 0.8 * start / 30.0) * rate / endpoints * window
        assert sent <= allowed + 3 * allowed**0.5 + 3, (start, sent, allowed)
