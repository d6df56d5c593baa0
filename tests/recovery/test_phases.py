"""What happened, in which phase service is, and whose turn it is at a cold server."""

from __future__ import annotations

from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from service_proxy.recovery.peer_survey import Finding, Peer, Said, lost_zones, pack, unpack, what_happened
from service_proxy.recovery.phases import (
    ADMITS,
    PATIENCE,
    TABLE,
    Admits,
    Guard,
    Phase,
    Seen,
    holds,
    step,
)
from service_proxy.recovery.staggered_start import FIRST, place, wait
from service_proxy.recovery.validity_rules import Loss

COLD = 24.0  # s


def test_every_path_through_the_table_ends_and_admits_no_more_than_is_known() -> None:
    """All phases, beside all that may be seen: 2,560 moments."""
    ends = Seen(cold_for=COLD).longest
    spans = (0.0, PATIENCE, 2 * PATIENCE, ends - 1.0, ends)
    bits = (False, True)
    for phase, servers, loss, settled, fresh, warm, fell, elapsed in product(
        Phase, (0, 5), Loss, bits, bits, bits, bits, spans
    ):
        seen = Seen(servers, loss, settled, fresh, warm, fell, elapsed, COLD)
        after, guard = step(phase, seen)
        assert (guard is None) == (after is phase)
        if elapsed >= ends or phase is Phase.STEADY:
            assert after is Phase.STEADY  # it ends, and what is over does not begin again
            continue
        if not servers:
            assert ADMITS[after] is Admits.NOTHING  # no wait that can't succeed
        if loss is Loss.UNKNOWN and elapsed < PATIENCE and phase in (Phase.DARK, Phase.GATHERING):
            assert ADMITS[after] in (Admits.NOTHING, Admits.COLD)
        if after is Phase.RAMP and phase is not Phase.RAMP:
            assert (settled and fresh) or elapsed >= 2 * PATIENCE
        if fell and servers and loss not in (Loss.PROCESS, Loss.MACHINE):
            assert ADMITS[after] is not Admits.WARM  # it steps back
    assert {guard for rows in TABLE.values() for guard, _ in rows} == set(Guard)


def test_who_restarts_alone_is_steady_with_the_first_survivor_it_hears() -> None:
    phase = Phase.DARK
    for _ in range(2):
        phase, _ = step(phase, Seen(5, Loss.PROCESS, elapsed=0.2, cold_for=COLD))
    assert phase is Phase.STEADY
    assert holds(Guard.OVER, Seen(elapsed=1e9, cold_for=COLD))


def peer(number: int, phase: Phase | None, lives: bool = True, kept: bool | None = None) -> Peer:
    said = Said(phase, kept) if phase is not None else None
    return Peer(f"p{number}", "abc"[number % 3], lives, said)


BEGUN = Phase.GATHERING
UP = Phase.STEADY
ALL = [(f"p{number}", "abc"[number % 3]) for number in range(1, 24)]


def found(peers: list[Peer], kept: bool | None = None, waited: float = 1.0, known: bool = True) -> Finding:
    """As p0 of 24, in sala a."""
    return what_happened("a", kept, peers, ALL if known else [], 24, waited)


def test_one_that_restarted_a_sala_and_everybody_are_told_apart() -> None:
    steady = [peer(number, UP) for number in range(1, 24)]
    assert found(steady) == Finding(Loss.PROCESS, frozenset(), "p1 was up all the while")
    assert found(steady, kept=False).loss is Loss.MACHINE
    sala = [peer(number, BEGUN if number % 3 == 0 else UP) for number in range(1, 24)]
    for known in (True, False):
        assert (found(sala, known=known).loss, found(sala, known=known).lost) == (Loss.ZONE, frozenset("a"))
    # What the view still says of its sala is from before, as long as nobody of it has answered.
    silent = [peer(number, None if number % 3 == 0 else UP) for number in range(1, 24)]
    assert found(silent).loss is Loss.UNKNOWN and found(silent, waited=PATIENCE).loss is Loss.ZONE
    assert found(silent, kept=True).loss is Loss.PROCESS
    dead = [peer(number, UP, lives=number % 3 != 0) for number in range(1, 24)]
    assert found(dead).loss is Loss.ZONE  # the first of its sala to be back
    other = [peer(number, BEGUN if number % 3 == 1 else UP) for number in range(1, 24)]
    assert (found(other).loss, found(other).lost) == (Loss.PROCESS, frozenset("b"))
    everybody = [peer(number, BEGUN) for number in range(1, 24)]
    assert (found(everybody).loss, found(everybody).lost) == (Loss.FLEET, None)
    # All proxies ended, and no machine did; one that can't tell is enough to hold it for the worst.
    kept = [peer(number, BEGUN, kept=True) for number in range(1, 24)]
    assert found(kept, kept=True).loss is Loss.PROCESS and found(kept).loss is Loss.FLEET


def test_half_or_fewer_prove_nothing_until_patience_is_over() -> None:
    half = [peer(number, BEGUN) for number in range(1, 12)]
    for peers in (half, []):
        assert found(peers).loss is Loss.UNKNOWN
        assert found(peers, waited=PATIENCE).loss is Loss.FLEET
    assert found([], kept=True, waited=PATIENCE).loss is Loss.PROCESS
    assert found([*half, peer(12, BEGUN)]).loss is Loss.FLEET
    # In a rolling restart somebody is steady at each moment.
    for turn in range(1, 23):
        rolling = [peer(number, BEGUN if number == turn else UP) for number in range(1, 24)]
        assert found(rolling).loss is Loss.PROCESS and not found(rolling).lost
    # Those that say nothing of it are an older version: neither survivors nor lost.
    older = [peer(number, None) for number in range(1, 24)]
    assert found(older).loss is Loss.UNKNOWN and lost_zones(older, ALL) == frozenset()


@given(st.sampled_from(Phase), st.sampled_from([None, True, False]), st.integers(0, 2**32 - 1), st.binary())
def test_a_word_comes_back_as_it_was_said(phase: Phase, kept: bool | None, at: int, noise: bytes) -> None:
    said = Said(phase, kept, at)
    assert unpack(pack(said) + b"of a newer version") == said
    unpack(noise)
    assert unpack(None) is None and unpack(b"\xf0" + pack(said)[1:]) is None


def test_turns_at_a_cold_server_are_spread_and_agreed_without_a_word() -> None:
    proxies = [f"p{number}" for number in range(200)]
    for server in ("n1", "n2"):
        places = {proxy: place(server, proxy, proxies) for proxy in proxies}
        assert sorted(places.values()) == list(range(200))
        waits = sorted(wait(at, 200, COLD) for at in places.values())
        assert waits.count(0.0) == FIRST and waits[-1] == COLD / 2
        for second in range(12):
            assert sum(second <= at < second + 1 for at in waits[FIRST:]) <= 17  # 197 over 12 s
    # Each proxy has servers to begin with, so that none waits with nothing to do.
    few = [f"p{number}" for number in range(24)]
    for proxy in few:
        begun = sum(place(f"n{server}", proxy, few) < FIRST for server in range(48))
        assert 1 <= begun <= 16
    assert wait(9, 2, COLD) == 0.0
