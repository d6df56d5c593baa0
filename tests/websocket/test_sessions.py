"""Sessions, envelopes, limits and the spread of returns, without a socket."""

from __future__ import annotations

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from service_proxy.websocket import message_framing
from service_proxy.websocket.reconnect_spread import ReconnectSpread, close_reason
from service_proxy.websocket.session_limits import SessionLimits, TokenBucket
from service_proxy.websocket.session_registry import (
    MAX_KEPT_BYTES,
    MAX_KEPT_OUTCOMES,
    MessageStatus,
    Outcome,
    SessionRegistry,
)


def test_an_envelope_is_read() -> None:
    call = message_framing.parse_message(
        '{"id":"9b.1-f","class":"reserva","budget_ms":480,"key":"k","subject":"s","again":true,'
        '"path":"/x?y=1","body":"ñ","seen":3}'
    )
    assert call == message_framing.ClientMessage(
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
def test_what_is_no_envelope_is_told_so_with_its_id_where_it_has_one(text: str, id: str) -> None:
    with pytest.raises(message_framing.MalformedMessageError) as fault:
        message_framing.parse_message(text)
    assert fault.value.message_id == id and json.loads(message_framing.encode_error(fault.value))["id"] == id


@pytest.mark.parametrize(
    ("code", "kind"), [(200, "served"), (503, "refused"), (429, "refused"), (502, "failed"), (504, "failed")]
)
def test_an_outcome_says_what_became_of_its_message(code: int, kind: str) -> None:
    said = json.loads(message_framing.encode_outcome(4, "a", code, b"body", 0.25))
    assert (said["n"], said["id"], said["outcome"], said["code"]) == (4, "a", kind, code)
    assert said["retry_ms"] == 250 and said["body"] == "body"
    assert json.loads(message_framing.encode_outcome(4, "a", 200, b"\xff"))["body64"] == "/w=="
    assert "body" not in json.loads(message_framing.encode_outcome(4, "a", 200, b"x", is_body_dropped=True))


def outcome(n: int, id: str, size: int = 100) -> Outcome:
    return Outcome(n, id, "x" * size)


def test_a_message_is_taken_once() -> None:
    book = SessionRegistry(1 << 20)
    session = book.create("t", "acme", "one")
    assert session.status_of("a") == (MessageStatus.NEW, None)
    session.pending["a"] = "work"
    assert session.status_of("a") == (MessageStatus.PENDING, None)
    assert session.settle("a") == 1
    book.store(session, outcome(1, "a"))
    taking, known = session.status_of("a")
    assert taking is MessageStatus.ANSWERED and known is not None and known.number == 1
    with pytest.raises(KeyError):
        session.settle("a")


def test_a_session_is_taken_over_by_its_own_tenant_alone() -> None:
    book = SessionRegistry(1 << 20)
    session = book.create("t", "acme", "one")
    assert book.resume("t", "other", "two") is None and book.resume("nope", "acme", "two") is None
    assert session.connection == "one"
    assert book.resume("t", "acme", "two") == (session, "one") and session.connection == "two"
    book.detach(session, 5.0)
    assert list(book.expired(14.9, 10.0)) == [] and list(book.expired(15.0, 10.0)) == [session]
    assert book.resume("t", "acme", "three") == (session, None)
    assert list(book.expired(99.0, 10.0)) == []
    session.pending["a"] = "work"
    assert book.end(session) == ["work"] and book.resume("t", "acme", "four") is None


def test_outcomes_that_were_not_seen_are_kept_and_told_and_the_rest_counted_as_lost() -> None:
    book = SessionRegistry(1 << 20)
    session = book.create("t", "", None)
    for n in range(1, MAX_KEPT_OUTCOMES + 11):
        session.pending[str(n)] = None
        book.store(session, outcome(session.settle(str(n)), str(n), 10))
    owed, lost = session.unacknowledged(5)
    assert [o.number for o in owed] == list(range(11, MAX_KEPT_OUTCOMES + 11)) and lost == 5
    book.acknowledge(session, 20)
    owed, lost = session.unacknowledged(20)
    assert [o.number for o in owed] == list(range(21, MAX_KEPT_OUTCOMES + 11)) and lost == 0
    assert book.stored_bytes == session.stored_bytes == 10 * len(owed)


def test_a_long_outcome_is_kept_alone_and_none_beyond_the_pool() -> None:
    book = SessionRegistry(MAX_KEPT_BYTES * 4)
    session = book.create("t", "", None)
    for n, size in ((1, 100), (2, MAX_KEPT_BYTES * 3)):
        session.pending[str(n)] = None
        book.store(session, outcome(session.settle(str(n)), str(n), size))
    assert list(session.outcomes) == [2] and session.last_lost == 1
    other = book.create("u", "", None)
    other.pending["a"] = None
    book.store(other, outcome(other.settle("a"), "a", MAX_KEPT_BYTES * 2))
    assert (
        not other.outcomes and other.unacknowledged(0) == ([], 1) and book.stored_bytes == MAX_KEPT_BYTES * 3
    )
    book.end(session)
    assert book.stored_bytes == 0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("begin", "resume", "say", "settle", "detach", "seen", "end", "sweep")),
        st.integers(0, 3),
        st.integers(0, 5),
        st.integers(1, 9000),
    ),
    max_size=60,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STEPS)
def test_no_history_gives_a_message_two_outcomes_or_keeps_beyond_the_bounds(
    steps: list[tuple[str, int, int, int]],
) -> None:
    book = SessionRegistry(20_000)
    now = 0.0
    told: dict[tuple[int, str], set[int]] = {}
    made = 0
    alive: dict[int, int] = {}  # which session of the model has which number
    for what, which, message, size in steps:
        now += 1.0
        token = str(which)
        id = str(message)
        session = book.sessions.get(token)
        if what == "begin" and session is None:
            book.create(token, "", "p")
            made += 1
            alive[which] = made
        elif session is None:
            continue
        elif what == "resume":
            before = session.connection
            assert book.resume(token, "", "q") == (session, before) and session.connection == "q"
        elif what == "say":
            taking, known = session.status_of(id)
            if taking is MessageStatus.NEW:
                session.pending[id] = size
            elif taking is MessageStatus.ANSWERED:
                assert known is not None and known.number in told[alive[which], id]
        elif what == "settle" and id in session.pending:
            n = session.settle(id)
            seen = told.setdefault((alive[which], id), set())
            assert n not in seen
            seen.add(n)
            book.store(session, outcome(n, id, size))
        elif what == "detach":
            book.detach(session, now)
        elif what == "seen":
            book.acknowledge(session, message)
            assert all(n > message for n in session.outcomes)
        elif what == "end":
            book.end(session)
        elif what == "sweep":
            for over in book.expired(now, 3.0):
                assert over.detached_at + 3.0 <= now
                book.end(over)
        assert book.stored_bytes == sum(s.stored_bytes for s in book.sessions.values()) <= 20_000
        for s in book.sessions.values():
            assert s.stored_bytes == sum(len(o.text) for o in s.outcomes.values())
            assert len(s.outcomes) <= MAX_KEPT_OUTCOMES and (
                len(s.outcomes) <= 1 or s.stored_bytes <= MAX_KEPT_BYTES
            )
            assert set(s.pending).isdisjoint(o.message_id for o in s.outcomes.values())
            assert s.connection is None or s not in book.detached


def test_a_bucket_gives_its_rate_and_its_burst() -> None:
    bucket = TokenBucket(5.0, 100.0)
    assert [bucket.take(100.0, 2.0, 5.0) for _ in range(6)] == [True] * 5 + [False]
    assert math.isclose(bucket.time_until_token(2.0), 0.5)
    assert bucket.take(100.5, 2.0, 5.0) and not bucket.take(100.5, 2.0, 5.0)
    assert not bucket.take(50.0, 2.0, 5.0)  # a clock that steps back
    assert sum(bucket.take(1000.0, 2.0, 5.0) for _ in range(20)) == 5


def test_doors_count_by_proxy_client_and_tenant() -> None:
    doors = SessionLimits()
    for client, tenant in (("a", "x"), ("a", "y"), ("b", "x")):
        assert doors.exceeded_scope(client, tenant, 10, 2, 2) is None
        doors.add(client, tenant)
    assert (
        doors.exceeded_scope("a", "z", 10, 2, 2) == "client"
        and doors.exceeded_scope("c", "x", 10, 2, 2) == "tenant"
    )
    assert doors.exceeded_scope("c", "z", 3, 2, 2) == "proxy"
    for client, tenant in (("a", "x"), ("a", "y"), ("b", "x")):
        doors.remove(client, tenant)
    assert doors.open_count == 0 and not doors.count_by_client and not doors.count_by_tenant


@pytest.mark.parametrize("count", [10, 250, 2000])
@pytest.mark.parametrize("seed", range(5))
def test_returns_fill_their_span_evenly_however_many_there_are(count: int, seed: int) -> None:
    span = 5.0
    spread = ReconnectSpread(seed, span)
    waits = sorted(spread.next_delay() for _ in range(count))
    most = max(sum(1 for w in waits if start <= w < start + 0.1) for start in waits)
    assert waits[0] >= 0 and waits[-1] < span
    assert most <= count * 0.1 / span * 1.1 + 3


def test_two_proxies_do_not_agree_on_their_waits() -> None:
    first = [ReconnectSpread(1, 5.0).next_delay(), ReconnectSpread(2, 5.0).next_delay()]
    assert abs(first[0] - first[1]) > 0.01 and close_reason(1.234) == "reconnect in 1.23 s"
