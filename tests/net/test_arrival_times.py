"""Lower bounds of the times at which bytes have arrived in a socket."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from service_proxy.net.arrival_times import ArrivalTimes

# Bytes that arrive, and bytes that are read, in each step of 1 s.
STEPS = st.lists(st.tuples(st.integers(0, 300), st.integers(0, 200)), min_size=1, max_size=60)


def test_bytes_that_are_read_at_once_have_arrived_when_they_are_read() -> None:
    """Guards against a time budget that begins before its request was sent."""
    times = ArrivalTimes()
    assert times.on_read(100, 0, 1.0) == 1.0
    assert times.on_read(100, 0, 5.0) == 5.0


def test_bytes_that_waited_in_the_socket_count_from_the_observation_before_them() -> None:
    """Guards against a time budget that begins when the proxy reads, long after the request arrived."""
    times = ArrivalTimes()
    assert times.on_read(100, 50, 1.0) == 1.0
    times.observe(70, 2.0)
    assert times.on_read(50, 20, 3.0) == 1.0
    assert times.on_read(20, 0, 4.0) == 1.0
    assert times.on_read(10, 0, 9.0) == 9.0
    times.observe(0, 10.0)  # Reading is paused from now on.
    assert times.on_read(10, 5, 12.0) == 10.0
    assert times.on_read(5, 0, 13.0) == 10.0


@given(steps=STEPS)
def test_the_bound_is_never_later_than_the_arrival(steps: list[tuple[int, int]]) -> None:
    """Guards against requests that are answered late, because a part of their wait is not counted."""
    times = ArrivalTimes()
    arrived: list[int] = []  # Step in which each unread byte arrived.
    is_paused = False
    for step, (arriving, reading) in enumerate(steps):
        arrived += [step] * arriving
        if is_paused and not arrived:
            times.clear()
        size = min(reading, len(arrived))
        if size:
            first = arrived[0]
            del arrived[:size]
            bound = times.on_read(size, len(arrived), float(step))
            assert bound <= first
        times.observe(len(arrived), float(step))
        is_paused = True
