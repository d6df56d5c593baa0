"""Tests of the budget header: its bytes, and malformed values."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from service_proxy.deadlines import header
from service_proxy.deadlines.header import (
    BudgetHeader,
    MalformedBudgetError,
    decode_budget,
    encode_budget,
    exceeds_hop_limit,
)

KEYS = {b"k1": b"a secret of the fleet", b"k0": b"the one before"}
REQUEST_ID = b"9b1f03aa5c7e2d41"
BUDGET = BudgetHeader(1.2, 0.5, 4, 12.0, "stock", ("edge", "portal"), "00ff00ff00ff00ff")
NAMES = st.from_regex(r"[a-z][a-z0-9_-]{0,20}", fullmatch=True)


def signed(unsigned: bytes, key: bytes = KEYS[b"k1"], request_id: bytes = REQUEST_ID) -> bytes:
    return unsigned + b";m=" + header.sign_value(unsigned, request_id, key)


def test_value_is_as_documented_to_the_byte() -> None:
    value = encode_budget(BUDGET, REQUEST_ID, KEYS)
    head, _, mac = value.rpartition(b";m=")
    assert head == b"1;t=1200000;o=500000;a=4;w=12000;c=stock;p=edge.portal;i=00ff00ff00ff00ff;k=k1"
    # Computed with another implementation: printf '%s\n%s' HEAD CALL | openssl dgst -sha256 -hmac KEY
    assert mac == b"c57e680af3485ef249d5e34ef7688a5c"


@given(
    st.builds(
        BudgetHeader,
        st.integers(0, 3_600_000_000).map(lambda us: us / 1e6),
        st.integers(0, 3_600_000_000).map(lambda us: us / 1e6),
        st.integers(0, 9999),
        st.integers(0, 1_000_000_000).map(lambda thousandths: thousandths / 1e3),
        NAMES,
        st.lists(NAMES, min_size=1, max_size=8).map(tuple),
        st.from_regex(r"[0-9a-f]{16}", fullmatch=True),
    )
)
def test_encoded_budget_is_decoded(budget: BudgetHeader) -> None:
    if len(encode_budget(budget, REQUEST_ID, KEYS)) > header.MAX_VALUE_BYTES:
        return
    found = decode_budget(encode_budget(budget, REQUEST_ID, KEYS), REQUEST_ID, KEYS)
    assert (found.attempts, found.request_class, found.path, found.tree_id) == (
        budget.attempts,
        budget.request_class,
        budget.path,
        budget.tree_id,
    )
    assert found.remaining_time == pytest.approx(budget.remaining_time, abs=2e-6)
    assert found.priority_weight == pytest.approx(budget.priority_weight, abs=2e-3)


@pytest.mark.parametrize("time", [-1.0, -1e12])
def test_negative_numbers_are_encoded_as_zero(time: float) -> None:
    value = encode_budget(BudgetHeader(time, time, -3, -1.0, "stock", ("edge",), "0" * 16), REQUEST_ID, KEYS)
    assert decode_budget(value, REQUEST_ID, KEYS) == BudgetHeader(
        0.0, 0.0, 0, 0.0, "stock", ("edge",), "0" * 16
    )


def test_too_large_numbers_are_encoded_as_the_maximum() -> None:
    found = decode_budget(
        encode_budget(BudgetHeader(1e9, 1e9, 10**9, 1e12, "stock", ("edge",), "0" * 16), REQUEST_ID, KEYS),
        REQUEST_ID,
        KEYS,
    )
    assert (found.remaining_time, found.attempts, found.priority_weight) == (3600.0, 9999, 1e6)


GOOD = b"1;t=1200000;o=500000;a=4;w=12000;c=stock;p=edge.portal;i=00ff00ff00ff00ff;k=k1"


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b"t=1200000", b"t=-1"),
        (b"t=1200000", b"t=01"),
        (b"t=1200000", b"t=1e6"),
        (b"t=1200000", b"t="),
        (b"t=1200000", b"t=+5"),
        (b"t=1200000", b"t=" + b"9" * 16),
        (b"t=1200000", b"t=\xd9\xa1"),
        (b"t=1200000", b"t=999999999999999"),
        (b"a=4", b"a=10000"),
        (b"w=12000", b"w=1000000001"),
        (b"a=4", b"a=4;a=5"),
        (b"c=stock", b"c=Stock"),
        (b"c=stock", b"c="),
        (b"c=stock", b"c=st\xc3\xb6ck"),
        (b"p=edge.portal", b"p="),
        (b"p=edge.portal", b"p=edge..portal"),
        (b"p=edge.portal", b"p=edge.portal."),
        (b"p=edge.portal", b"p=" + b".".join([b"a"] * 9)),
        (b"i=00ff00ff00ff00ff", b"i=00FF00FF00FF00FF"),
        (b"i=00ff00ff00ff00ff", b"i=00ff"),
        (b"1;", b"2;"),
        (b"1;", b" 1;"),
        (b";a=", b"; a="),
        (b"k=k1", b"k=k1 "),
        (b"o=500000;a=4", b"a=4;o=500000"),
        (b"o=500000;", b""),
        (b"o=500000", b"o=3600000001"),
    ],
)
def test_malformed_value_is_rejected_though_it_is_signed(old: bytes, new: bytes) -> None:
    decode_budget(signed(GOOD), REQUEST_ID, KEYS)
    assert old in GOOD
    with pytest.raises(MalformedBudgetError):
        decode_budget(signed(GOOD.replace(old, new, 1)), REQUEST_ID, KEYS)


def test_too_long_value_is_rejected_before_it_is_parsed() -> None:
    long = GOOD.replace(b"edge.portal", b".".join([b"a" * 63] * 8))
    with pytest.raises(MalformedBudgetError, match="longer than 512"):
        decode_budget(signed(long), REQUEST_ID, KEYS)


def test_forged_value_is_rejected() -> None:
    for forged in (
        signed(GOOD, b"a guess"),
        signed(GOOD).replace(b"w=12000", b"w=99000"),
        signed(GOOD).replace(b"t=1200000", b"t=3600000"),
        signed(GOOD, request_id=b"another call"),
        signed(GOOD)[:-32] + b"0" * 32,
    ):
        with pytest.raises(MalformedBudgetError, match="MAC"):
            decode_budget(forged, REQUEST_ID, KEYS)
    with pytest.raises(MalformedBudgetError, match="k9 is not known"):
        decode_budget(signed(GOOD.replace(b"k=k1", b"k=k9")), REQUEST_ID, KEYS)


def test_both_keys_are_accepted_during_rotation_and_the_first_signs() -> None:
    before = {b"k0": KEYS[b"k0"]}
    after = {b"k1": KEYS[b"k1"], b"k0": KEYS[b"k0"]}
    assert decode_budget(encode_budget(BUDGET, REQUEST_ID, before), REQUEST_ID, after) == BUDGET
    assert b";k=k1;" in encode_budget(BUDGET, REQUEST_ID, after)
    with pytest.raises(MalformedBudgetError, match="k1 is not known"):
        decode_budget(encode_budget(BUDGET, REQUEST_ID, after), REQUEST_ID, before)


@given(st.binary(max_size=600))
def test_arbitrary_bytes_are_rejected(value: bytes) -> None:
    with pytest.raises(MalformedBudgetError):
        decode_budget(value, REQUEST_ID, KEYS)
    assert header.decode_reference(value) is None or len(value) == 20
    header.decode_usage(value, 5)


@pytest.mark.parametrize(
    ("value", "granted", "found"),
    [
        (b"1;s=3;q=81000", 4, (3, 0.081)),
        (b"1;s=0;q=0", 0, (0, 0.0)),
        (b"1;s=5;q=81000", 4, None),  # A report of more attempts than were granted is ignored.
        (b"1;s=-1;q=1", 4, None),
        (b"1;s=1", 4, None),
        (b"", 4, None),
    ],
)
def test_usage_is_decoded_only_within_the_grant(
    value: bytes, granted: int, found: tuple[int, float] | None
) -> None:
    assert header.decode_usage(value, granted) == found
    if found is not None:
        assert header.encode_usage(*found) == value


def test_reference_is_decoded() -> None:
    assert header.decode_reference(header.encode_reference("0123456789abcdef")) == "0123456789abcdef"
    assert header.decode_reference(b"ref;0123456789ABCDEF") is None


@pytest.mark.parametrize(
    ("path", "hop_id", "max_passes", "is_loop"),
    [
        (("edge",), "portal", 1, False),
        (("edge", "portal", "nucleo"), "portal", 1, True),
        (("a", "b", "c"), "a", 1, True),
        # In a diamond, the path of each branch has the tier once.
        (("edge", "portal", "nucleo"), "common", 1, False),
        (("edge", "portal", "common"), "common", 1, True),
        (("edge", "common", "portal"), "common", 2, False),  # The operator's settings allow two passes.
        (("edge", "common", "portal", "common"), "common", 2, True),
        (tuple("abcdefgh"), "i", 1, True),  # The path already has the largest number of hops.
    ],
)
def test_hop_limit(path: tuple[str, ...], hop_id: str, max_passes: int, is_loop: bool) -> None:
    assert exceeds_hop_limit(path, hop_id, max_passes) is is_loop
