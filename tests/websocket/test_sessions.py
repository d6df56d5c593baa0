"""Tests of the session registry, message framing, limits and reconnect delays, without a socket."""

from __future__ import annotations

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from websocket_test_harness import max_in_100_ms

from service_proxy.websocket import message_framing
from service_proxy.websocket.reconnect_spread import ReconnectSpread, close_reason
from service_proxy.websocket.session_limits import SessionLimits, TokenBucket
from service_proxy.websocket.session_registry import (
    MAX_STORED_BYTES,
    MAX_STORED_OUTCOMES,
    MessageStatus,
    Outcome,
    SessionRegistry,
)


def test_a_client_message_is_parsed() -> None:
    message = message_framing.parse_message(
        '{"id":"9b.1-f","class":"reserva","budget_ms":480,"key":"k","subject":"s","again":true,'
        '"path":"/x?y=1","body":"ñ","seen":3}'
    )
    assert message == message_framing.ClientMessage(
        "9b.1-f", "reserva", 0.48, "/x?y=1", "k", "s", True, "ñ".encode(), 3
    )
    assert message_framing.parse_message('{"id":"a","class":"stock"}') == message_framing.ClientMessage(
        "a", "stock", None, "", "", "", False, b"", -1
    )


@pytest.mark.parametrize(
    ("text", "id"),
    [
        ("", ""),
        ("nonsense", ""),
        ("[]", ""),
        ("3", ""),
        ("[" * 100_000, ""),
        ('{"class":"stock"}', ""),
        ('{"id":7,"class":"stock"}', ""),
        ('{"id":"a b","class":"stock"}', ""),
        ('{"id":"a"}', "a"),
        ('{"id":"a\\r\\nx: y","class":"stock"}', ""),
        ('{"id":"a","id":"b","class":"stock"}', ""),
        ('{"id":"a","class":"stock","nope":1}', "a"),
        ('{"id":"a","class":"stock","budget_ms":0}', "a"),
        ('{"id":"a","class":"stock","budget_ms":true}', "a"),
        ('{"id":"a","class":"stock","budget_ms":NaN}', "a"),
        ('{"id":"a","class":"stock","budget_ms":1e99}', "a"),
        ('{"id":"a","class":"stock","path":"x"}', "a"),
        ('{"id":"a","class":"stock","path":"/ HTTP/1.1"}', "a"),
        ('{"id":"a","class":"stock","key":"a\\r\\nx: y"}', "a"),
        ('{"id":"a","class":"stock","subject":"a;b"}', "a"),
        ('{"id":"a","class":"stock","body":7}', "a"),
        ('{"id":"a","class":"stock","again":"yes"}', "a"),
        ('{"id":"a","class":"stock","seen":1.5}', "a"),
        ('{"id":"a","class":"stock","body":"\\ud800"}', "a"),
    ],
)
def test_a_malformed_message_raises_an_error_with_its_id_where_it_has_one(text: str, id: str) -> None:
    with pytest.raises(message_framing.MalformedMessageError) as error:
        message_framing.parse_message(text)
    assert error.value.message_id == id
    assert json.loads(message_framing.encode_error(error.value))["id"] == id


@pytest.mark.parametrize(
    ("code", "result"),
    [(200, "served"), (503, "refused"), (429, "refused"), (502, "failed"), (504, "failed")],
)
def test_an_outcome_states_the_result_of_its_message(code: int, result: str) -> None:
    outcome = json.loads(message_framing.encode_outcome(4, "a", code, b"body", 0.25))
    assert (outcome["n"], outcome["id"], outcome["outcome"], outcome["code"]) == (4, "a", result, code)
    assert outcome["retry_ms"] == 250
    assert outcome["body"] == "body"
    assert json.loads(message_framing.encode_outcome(4, "a", 200, b"\xff"))["body64"] == "/w=="
    assert "body" not in json.loads(message_framing.encode_outcome(4, "a", 200, b"x", is_body_dropped=True))


def make_outcome(n: int, id: str, size: int = 100) -> Outcome:
    return Outcome(n, id, "x" * size)


def test_a_message_is_accepted_once() -> None:
    registry = SessionRegistry(1 << 20)
    session = registry.create("t", "acme", "one")
    assert session.status_of("a") == (MessageStatus.NEW, None)
    session.pending["a"] = "work"
    assert session.status_of("a") == (MessageStatus.PENDING, None)
    assert session.settle("a") == 1
    registry.store(session, make_outcome(1, "a"))
    status, stored = session.status_of("a")
    assert status is MessageStatus.ANSWERED
    assert stored is not None
    assert stored.number == 1
    with pytest.raises(KeyError):
        session.settle("a")


def test_a_session_is_resumed_by_its_own_tenant_alone() -> None:
    registry = SessionRegistry(1 << 20)
    session = registry.create("t", "acme", "one")
    assert registry.resume("t", "other", "two") is None
    assert registry.resume("nope", "acme", "two") is None
    assert session.connection == "one"
    assert registry.resume("t", "acme", "two") == (session, "one")
    assert session.connection == "two"
    registry.detach(session, 5.0)
    assert list(registry.expired(14.9, 10.0)) == []
    assert list(registry.expired(15.0, 10.0)) == [session]
    assert registry.resume("t", "acme", "three") == (session, None)
    assert list(registry.expired(99.0, 10.0)) == []
    session.pending["a"] = "work"
    assert registry.end(session) == ["work"]
    assert registry.resume("t", "acme", "four") is None


def test_unacknowledged_outcomes_are_stored_up_to_the_limit_and_the_rest_counted_as_lost() -> None:
    registry = SessionRegistry(1 << 20)
    session = registry.create("t", "", None)
    for n in range(1, MAX_STORED_OUTCOMES + 11):
        session.pending[str(n)] = None
        registry.store(session, make_outcome(session.settle(str(n)), str(n), 10))
    unacknowledged, lost = session.unacknowledged(5)
    assert [o.number for o in unacknowledged] == list(range(11, MAX_STORED_OUTCOMES + 11))
    assert lost == 5
    registry.acknowledge(session, 20)
    unacknowledged, lost = session.unacknowledged(20)
    assert [o.number for o in unacknowledged] == list(range(21, MAX_STORED_OUTCOMES + 11))
    assert lost == 0
    assert registry.stored_bytes == session.stored_bytes == 10 * len(unacknowledged)


def test_a_long_outcome_is_stored_alone_and_none_over_the_total_limit() -> None:
    registry = SessionRegistry(MAX_STORED_BYTES * 4)
    session = registry.create("t", "", None)
    for n, size in ((1, 100), (2, MAX_STORED_BYTES * 3)):
        session.pending[str(n)] = None
        registry.store(session, make_outcome(session.settle(str(n)), str(n), size))
    assert list(session.outcomes) == [2]
    assert session.last_lost == 1
    other = registry.create("u", "", None)
    other.pending["a"] = None
    registry.store(other, make_outcome(other.settle("a"), "a", MAX_STORED_BYTES * 2))
    assert not other.outcomes
    assert other.unacknowledged(0) == ([], 1)
    assert registry.stored_bytes == MAX_STORED_BYTES * 3
    registry.end(session)
    assert registry.stored_bytes == 0


def long_outcome(n: int, size: int) -> Outcome:
    text = message_framing.encode_outcome(n, f"m{n}", 200, b"x" * size)
    return Outcome(n, f"m{n}", text, 200)


@given(sizes=st.lists(st.integers(0, MAX_STORED_BYTES), min_size=1, max_size=MAX_STORED_OUTCOMES))
def test_the_result_of_a_message_is_stored_although_its_body_is_not(sizes: list[int]) -> None:
    """Guards against messages that clients repeat and that run again, as their outcomes were not stored."""
    registry = SessionRegistry(1 << 20)
    session = registry.create("t", "", None)
    for n, size in enumerate(sizes, 1):
        session.pending[f"m{n}"] = None
        registry.store(session, long_outcome(session.settle(f"m{n}"), size))
    outcomes, lost = session.unacknowledged(0)
    results = [json.loads(outcome.text) for outcome in outcomes]
    assert lost == 0
    assert [(result["id"], result["outcome"]) for result in results] == [
        (f"m{n}", "served") for n in range(1, len(sizes) + 1)
    ]
    assert session.stored_bytes == sum(len(outcome.text) for outcome in outcomes)
    assert len(sizes) == 1 or session.stored_bytes <= MAX_STORED_BYTES
    dropped = [result.get("body_dropped", False) for result in results]
    assert dropped == sorted(dropped, reverse=True)  # The newest bodies are kept.


def test_a_result_is_stored_although_all_sessions_together_have_no_room_for_its_body() -> None:
    """Guards against results that are lost for the sake of other sessions' bodies."""
    registry = SessionRegistry(1000)
    session = registry.create("t", "", None)
    session.pending["m1"] = None
    registry.store(session, long_outcome(session.settle("m1"), 2000))
    outcomes, lost = session.unacknowledged(0)
    assert lost == 0 and json.loads(outcomes[0].text)["body_dropped"]


def test_a_stored_outcome_takes_a_byte_for_each_character() -> None:
    """Guards against outcomes whose memory is four times what the limit counts."""
    text = message_framing.encode_outcome(1, "a", 200, "\U0001f600ñ".encode())
    assert message_framing.in_ascii(text).isascii()
    assert json.loads(message_framing.in_ascii(text)) == json.loads(text)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("create", "resume", "receive", "settle", "detach", "acknowledge", "end", "expire")),
        st.integers(0, 3),
        st.integers(0, 5),
        st.integers(1, 9000),
    ),
    max_size=60,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
def test_no_sequence_of_events_gives_a_message_two_outcomes_or_exceeds_the_limits(
    steps: list[tuple[str, int, int, int]],
) -> None:
    registry = SessionRegistry(20_000)
    now = 0.0
    numbers: dict[tuple[int, str], set[int]] = {}
    created_count = 0
    # Number of the current session of each token, in the order of creation.
    incarnations: dict[str, int] = {}
    for event, token_number, message, size in steps:
        now += 1.0
        token = str(token_number)
        id = str(message)
        session = registry.sessions.get(token)
        if event == "create" and session is None:
            registry.create(token, "", "p")
            created_count += 1
            incarnations[token] = created_count
        elif session is None:
            continue
        elif event == "resume":
            previous = session.connection
            assert registry.resume(token, "", "q") == (session, previous)
            assert session.connection == "q"
        elif event == "receive":
            status, stored = session.status_of(id)
            if status is MessageStatus.NEW:
                session.pending[id] = size
            elif status is MessageStatus.ANSWERED:
                assert stored is not None
                assert stored.number in numbers[incarnations[token], id]
        elif event == "settle" and id in session.pending:
            n = session.settle(id)
            seen = numbers.setdefault((incarnations[token], id), set())
            assert n not in seen
            seen.add(n)
            registry.store(session, make_outcome(n, id, size))
        elif event == "detach":
            registry.detach(session, now)
        elif event == "acknowledge":
            registry.acknowledge(session, message)
            assert all(n > message for n in session.outcomes)
        elif event == "end":
            registry.end(session)
        elif event == "expire":
            for expired in registry.expired(now, 3.0):
                assert expired.detached_at + 3.0 <= now
                registry.end(expired)
        assert registry.stored_bytes == sum(s.stored_bytes for s in registry.sessions.values()) <= 20_000
        for s in registry.sessions.values():
            assert s.stored_bytes == sum(len(o.text) for o in s.outcomes.values())
            assert len(s.outcomes) <= MAX_STORED_OUTCOMES
            assert len(s.outcomes) <= 1 or s.stored_bytes <= MAX_STORED_BYTES
            assert set(s.pending).isdisjoint(o.message_id for o in s.outcomes.values())
            assert s.connection is None or s not in registry.detached


def test_a_token_bucket_grants_its_rate_and_its_burst() -> None:
    bucket = TokenBucket(5.0, 100.0)
    assert [bucket.take(100.0, 2.0, 5.0) for _ in range(6)] == [True] * 5 + [False]
    assert math.isclose(bucket.time_until_token(2.0), 0.5)
    assert bucket.take(100.5, 2.0, 5.0)
    assert not bucket.take(100.5, 2.0, 5.0)
    assert not bucket.take(50.0, 2.0, 5.0)  # The clock steps back.
    assert sum(bucket.take(1000.0, 2.0, 5.0) for _ in range(20)) == 5


def test_session_limits_count_by_proxy_client_and_tenant() -> None:
    limits = SessionLimits()
    for client, tenant in (("a", "x"), ("a", "y"), ("b", "x")):
        assert limits.exceeded_scope(client, tenant, 10, 2, 2) is None
        limits.add(client, tenant)
    assert limits.exceeded_scope("a", "z", 10, 2, 2) == "client"
    assert limits.exceeded_scope("c", "x", 10, 2, 2) == "tenant"
    assert limits.exceeded_scope("c", "z", 3, 2, 2) == "proxy"
    for client, tenant in (("a", "x"), ("a", "y"), ("b", "x")):
        limits.remove(client, tenant)
    assert limits.open_count == 0
    assert not limits.count_by_client
    assert not limits.count_by_tenant


@pytest.mark.parametrize("count", [10, 250, 2000])
@pytest.mark.parametrize("seed", range(5))
def test_reconnect_delays_fill_their_span_evenly_for_any_count(count: int, seed: int) -> None:
    span = 5.0
    spread = ReconnectSpread(seed, span)
    delays = sorted(spread.next_delay() for _ in range(count))
    busiest = max_in_100_ms(delays)
    assert delays[0] >= 0
    assert delays[-1] < span
    assert busiest <= count * 0.1 / span * 1.1 + 3


def test_two_proxies_draw_different_reconnect_delays() -> None:
    first = [ReconnectSpread(1, 5.0).next_delay(), ReconnectSpread(2, 5.0).next_delay()]
    assert abs(first[0] - first[1]) > 0.01
    assert close_reason(1.234) == "reconnect in 1.23 s"
