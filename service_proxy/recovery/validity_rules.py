"""Which persisted records still hold, by kind of record and by what happened. Pure; one table, with reasons.

There are three degrees: a TRUSTED record counts as if it were recorded now; a HINT is a place to look and
counts for nothing until it is confirmed (an address to check, a member to ask); an IGNORED one is not used.
While the outage is unknown each rule goes by the worst that may have happened: that is its `unknown`, and its
reason says which way is the harmless one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from service_proxy.recovery.persisted_records import (
    BootRecord,
    EndpointRecord,
    EndpointSourceRecord,
    KeyedRequestRecord,
    MaintenanceRecord,
    MemberRecord,
    PerformanceRecord,
    PersistedRecord,
)

# By which a record may lie ahead of the clock: one machine's clock, set back a little.
MAX_CLOCK_SKEW_S = 60.0
ENDPOINT_LIST_MAX_AGE_S = 600.0  # for which the sources would probably still give the same list
PERFORMANCE_MAX_AGE_S = 120.0  # for which an endpoint's latency is likely to be the same
MEMBER_MAX_AGE_S = 30 * 86_400.0  # after which no member is looked for at its address
NO_EXPIRY = float("inf")
ALL_ENDPOINTS = "all"  # a deduplication scope


class OutageScope(Enum):
    """What ended between this name's last record and now."""

    PROCESS = "this process alone ended"
    MACHINE = "this machine ended"
    ZONE = "the zone lost power"
    FLEET = "everybody did"
    UNKNOWN = "not known yet"


class Validity(Enum):
    """How far a record counts."""

    TRUSTED = "trusted"
    HINT = "hint"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class ValidityRule:
    """The degrees for one kind of record.

    Attributes:
        process, machine, zone, fleet, unknown: by the outage's scope, for a record that is neither from the
            future nor expired.
        max_age_s: after which a record is expired.
        when_expired: degree of an expired record.
        when_in_future: degree of a record that lies ahead of the clock.
        reason: shown to the operator.
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
    """Return the rule of records that count whatever happened and however old they are."""
    trusted = Validity.TRUSTED
    return ValidityRule(trusted, trusted, trusted, trusted, trusted, NO_EXPIRY, trusted, trusted, reason)


VALIDITY_RULES: dict[str, ValidityRule] = {
    BootRecord.KIND: always_trusted(
        "it only counts starts, and one that is counted twice harms nobody",
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
        reason="versions can be compared as long as the source has kept its counter; after an outage of its "
        "own machine a source may count from the start, and then a higher number is no newer list",
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
        reason="endpoints keep their addresses for longer than proxies run; but whether one still serves is "
        "only known when it answers, so after more than this process's own end an address is to be checked",
    ),
    MaintenanceRecord.KIND: always_trusted(
        "a machine in maintenance stays out until staff or the rolling operation say otherwise: a "
        "request too few is no harm, one to an open machine is",
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
        reason="former members are asked first; whether one is alive it says itself",
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
        reason="an endpoint's latency depends on its caches and neighbours, which the outage emptied; what "
        "was learned of a warm endpoint does not hold for one that is warming up",
    ),
    KeyedRequestRecord.KIND: always_trusted(
        "that a request may have been executed keeps it from taking effect twice; the record ends by "
        "its own expiry, and where the clock can't be trusted not at all",
    ),
}


@dataclass(frozen=True, slots=True)
class RestartContext:
    """What records are assessed against.

    Attributes:
        now: wall time, s.
        outage: what happened.
        affected_zones: which lost power, where not all did.
        latest_known_time: the latest wall time that a trustworthy record or member named, s.
        is_damaged: some of what was durable is lost.
        is_old_copy: the store is older than this name's last process, as others knew it.
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
    """How far one record counts now, and why."""

    validity: Validity
    reason: str


def assess(record: PersistedRecord, context: RestartContext) -> Assessment:
    """Return how far a record counts now."""
    rule = VALIDITY_RULES[record.KIND]
    age = context.now - record.recorded_at
    is_always_trusted = rule.for_scope(OutageScope.FLEET) is Validity.TRUSTED
    if context.is_old_copy and not is_always_trusted:
        is_performance = record.KIND == PerformanceRecord.KIND
        return Assessment(Validity.IGNORED if is_performance else Validity.HINT, "the store is an old copy")
    if age < -MAX_CLOCK_SKEW_S:
        return Assessment(rule.when_in_future, f"its time lies {-age:.0f} s ahead of the clock")
    if context.clock_went_backward and not is_always_trusted:
        validity = Validity.HINT if rule.when_in_future is Validity.TRUSTED else rule.when_in_future
        return Assessment(validity, "the clock went back, so its age is not known")
    if age > rule.max_age_s:
        return Assessment(rule.when_expired, f"it is {age:.0f} s old, over {rule.max_age_s:.0f} s")
    return Assessment(rule.for_scope(context.outage), rule.reason)


class RetryPermission(Enum):
    """Where a request that may already have been executed may be sent again."""

    WITHIN_SCOPE = "to its group, within its time"
    NEVER = "never"
    EXPIRED = "its time is over"


def retry_permission(record: KeyedRequestRecord, context: RestartContext) -> RetryPermission:
    """Return whether and where a request that may have been executed may be retried.

    Endpoints that lost power have forgotten the keys they had seen; and an expiry counts only by a clock that
    can be trusted.
    """
    is_clock_trusted = (
        not context.clock_went_backward and record.recorded_at <= context.now + MAX_CLOCK_SKEW_S
    )
    if is_clock_trusted and context.now > record.expires_at:
        return RetryPermission.EXPIRED
    is_wide_outage = context.outage in (OutageScope.FLEET, OutageScope.UNKNOWN)
    if not record.deduplication_scope or not is_clock_trusted or is_wide_outage:
        return RetryPermission.NEVER
    is_scope_affected = record.deduplication_scope in context.affected_zones or (
        bool(context.affected_zones) and record.deduplication_scope == ALL_ENDPOINTS
    )
    return RetryPermission.NEVER if is_scope_affected else RetryPermission.WITHIN_SCOPE
