"""Rules that define which persisted records are still valid, by kind of record and by outage. Pure.

The rules are one table, with reasons. There are three degrees of validity. A TRUSTED record is used as if
it had been recorded now. A HINT gives an address to check or a member to query, and is not used for anything
else until it is confirmed. An IGNORED record is not used. While the outage is unknown, each rule assumes the
worst outage: that degree is its `unknown`, and its reason states which error is the harmless one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from service_proxy.recovery.persisted_records import (
    ALL_ENDPOINTS,
    BootRecord,
    EndpointRecord,
    EndpointSourceRecord,
    KeyedRequestRecord,
    MaintenanceRecord,
    MemberRecord,
    PerformanceRecord,
    PersistedRecord,
)

# Tolerated lead of a record over the clock, which covers a small backward correction of one machine's clock.
MAX_CLOCK_SKEW_S = 60.0
ENDPOINT_LIST_MAX_AGE_S = 600.0  # Age up to which the sources probably still give the same list.
PERFORMANCE_MAX_AGE_S = 120.0  # Age up to which an endpoint's latency is probably still the same.
MEMBER_MAX_AGE_S = 30 * 86_400.0  # Age after which a member's address is no longer tried.
NO_EXPIRY = float("inf")


class OutageScope(Enum):
    """Outage between the last record of a process of this name and now."""

    PROCESS = "this process alone ended"
    MACHINE = "this machine ended"
    ZONE = "the zone lost power"
    FLEET = "everybody did"
    UNKNOWN = "not known yet"


class Validity(Enum):
    """Degree to which a record is used."""

    TRUSTED = "trusted"
    HINT = "hint"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class ValidityRule:
    """Degrees of validity of one kind of record.

    Attributes:
        process, machine, zone, fleet, unknown: degree by scope of the outage, for a record that is neither
            expired nor ahead of the clock.
        max_age_s: age after which a record is expired.
        when_expired: degree of an expired record.
        when_in_future: degree of a record that is ahead of the clock.
        reason: explanation for the operator.
    """

    process: Validity
    machine: Validity
    zone: Validity
    fleet: Validity
    unknown: Validity
    max_age_s: float
    when_expired: Validity
    when_in_future: Validity
    reason: str

    def for_scope(self, outage: OutageScope) -> Validity:
        """Return the degree after an outage of this scope."""
        return {
            OutageScope.PROCESS: self.process,
            OutageScope.MACHINE: self.machine,
            OutageScope.ZONE: self.zone,
            OutageScope.FLEET: self.fleet,
            OutageScope.UNKNOWN: self.unknown,
        }[outage]


def always_trusted(reason: str) -> ValidityRule:
    """Return the rule of records that are trusted after any outage and at any age."""
    trusted = Validity.TRUSTED
    return ValidityRule(trusted, trusted, trusted, trusted, trusted, NO_EXPIRY, trusted, trusted, reason)


VALIDITY_RULES: dict[str, ValidityRule] = {
    BootRecord.KIND: always_trusted(
        "the record only counts starts, and a start that is counted twice is harmless",
    ),
    EndpointSourceRecord.KIND: ValidityRule(
        process=Validity.TRUSTED,
        machine=Validity.TRUSTED,
        zone=Validity.HINT,
        fleet=Validity.HINT,
        unknown=Validity.HINT,
        max_age_s=ENDPOINT_LIST_MAX_AGE_S,
        when_expired=Validity.HINT,
        when_in_future=Validity.IGNORED,
        reason="versions can be compared as long as the source keeps its counter; after an outage of its own "
        "machine a source may restart the counter, and a higher version is then not a newer list",
    ),
    EndpointRecord.KIND: ValidityRule(
        process=Validity.TRUSTED,
        machine=Validity.HINT,
        zone=Validity.HINT,
        fleet=Validity.HINT,
        unknown=Validity.HINT,
        max_age_s=ENDPOINT_LIST_MAX_AGE_S,
        when_expired=Validity.HINT,
        when_in_future=Validity.HINT,
        reason="endpoints keep their addresses for longer than proxies run, but only an answer shows that an "
        "endpoint still serves; after more than the end of this process the address must be checked",
    ),
    MaintenanceRecord.KIND: always_trusted(
        "a machine in maintenance stays out of service until an operator or the rolling operation ends the "
        "maintenance: a missing request is harmless, but a request to a machine under repair is not",
    ),
    MemberRecord.KIND: ValidityRule(
        process=Validity.HINT,
        machine=Validity.HINT,
        zone=Validity.HINT,
        fleet=Validity.HINT,
        unknown=Validity.HINT,
        max_age_s=MEMBER_MAX_AGE_S,
        when_expired=Validity.IGNORED,
        when_in_future=Validity.HINT,
        reason="former members are queried first, and only their answer shows that they are alive",
    ),
    PerformanceRecord.KIND: ValidityRule(
        process=Validity.TRUSTED,
        machine=Validity.IGNORED,
        zone=Validity.IGNORED,
        fleet=Validity.IGNORED,
        unknown=Validity.IGNORED,
        max_age_s=PERFORMANCE_MAX_AGE_S,
        when_expired=Validity.IGNORED,
        when_in_future=Validity.IGNORED,
        reason="an endpoint's latency depends on its caches and neighbours, which the outage emptied; a "
        "value measured at a warm endpoint is not valid while the endpoint is warming up",
    ),
    KeyedRequestRecord.KIND: always_trusted(
        "the record prevents a request that may have been executed from taking effect twice; it ends at its "
        "own expiry, and never while the clock can't be trusted",
    ),
}


@dataclass(frozen=True, slots=True)
class RestartContext:
    """Context against which records are assessed.

    Attributes:
        now: wall time, s.
        outage: scope of the outage.
        affected_zones: zones that lost power, unless all zones did.
        latest_known_time: latest wall time that a trustworthy record contains or a member reported, s.
        is_damaged: some durable records are lost.
        is_old_copy: the store is older than the last process of this name that other members have seen.
    """

    now: float
    outage: OutageScope
    affected_zones: frozenset[str] = frozenset()
    latest_known_time: float = 0.0
    is_damaged: bool = False
    is_old_copy: bool = False

    @property
    def clock_went_backward(self) -> bool:
        """Whether the clock is behind a time that is known to have passed."""
        return self.latest_known_time > self.now + MAX_CLOCK_SKEW_S


@dataclass(frozen=True, slots=True)
class Assessment:
    """Validity of one record now, and the reason."""

    validity: Validity
    reason: str


def assess(record: PersistedRecord, context: RestartContext) -> Assessment:
    """Return the validity of a record now."""
    rule = VALIDITY_RULES[record.KIND]
    age = context.now - record.recorded_at
    is_always_trusted = rule.for_scope(OutageScope.FLEET) is Validity.TRUSTED
    if context.is_old_copy and not is_always_trusted:
        is_performance = record.KIND == PerformanceRecord.KIND
        return Assessment(Validity.IGNORED if is_performance else Validity.HINT, "the store is an old copy")
    if age < -MAX_CLOCK_SKEW_S:
        return Assessment(rule.when_in_future, f"the record's time is {-age:.0f} s ahead of the clock")
    if context.clock_went_backward and not is_always_trusted:
        validity = Validity.HINT if rule.when_in_future is Validity.TRUSTED else rule.when_in_future
        return Assessment(validity, "the clock went back, so the record's age is not known")
    if age > rule.max_age_s:
        return Assessment(
            rule.when_expired, f"the record is {age:.0f} s old, more than {rule.max_age_s:.0f} s"
        )
    return Assessment(rule.for_scope(context.outage), rule.reason)


class RetryPermission(Enum):
    """Permission to send a request again that may already have been executed."""

    WITHIN_SCOPE = "to its group, within its time"
    NEVER = "never"
    EXPIRED = "its time is over"


def retry_permission(record: KeyedRequestRecord, context: RestartContext) -> RetryPermission:
    """Return whether and where a request that may have been executed may be retried.

    Endpoints that lost power have lost the idempotency keys that they had received. An expiry is only used if
    the clock can be trusted.
    """
    is_clock_trusted = (
        not context.clock_went_backward and record.recorded_at <= context.now + MAX_CLOCK_SKEW_S
    )
    if is_clock_trusted and context.now > record.expires_at:
        return RetryPermission.EXPIRED
    is_wide_outage = context.outage in (OutageScope.FLEET, OutageScope.UNKNOWN)
    if not record.has_known_scope or not is_clock_trusted or is_wide_outage:
        return RetryPermission.NEVER
    is_scope_affected = record.deduplication_scope in context.affected_zones or (
        bool(context.affected_zones) and record.deduplication_scope == ALL_ENDPOINTS
    )
    return RetryPermission.NEVER if is_scope_affected else RetryPermission.WITHIN_SCOPE
