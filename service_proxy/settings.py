"""Reader of the platform's settings, which turns flat path=value pairs into one typed `Settings`.

The simulator adapter and the real proxy both use this reader. It performs no I/O: the caller supplies the
pairs. Only this module translates the names of the platform's pages to the policy's own names.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from service_proxy.policy.settings_types import (
    Idempotency,
    IdempotencyScope,
    InvalidSettingError,
    LoadReportSource,
    RequestClass,
    Settings,
    Tenant,
    WeightMeaning,
)

T = TypeVar("T")
Fields = dict[str, str]

IDEMPOTENCY_BY_EFFECT = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
POLLS_BY_DISCOVERY = {"push": False, "ask": True}
WEIGHT_MEANINGS = {
    "off": WeightMeaning.NONE,
    "nominal": WeightMeaning.NOMINAL,
    "rough": WeightMeaning.ROUGH,
    "live": WeightMeaning.LIVE,
}
WEIGHTS_BY_WORK = {"work": True, "request": False}
LOAD_REPORT_SOURCES = {
    "inline": LoadReportSource.ANSWER,
    "on_probe": LoadReportSource.HEALTH_CHECK,
    "off": LoadReportSource.NONE,
}
SCOPES_BY_GROUP = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.CELL,
}
LOAD_REPORT_FIELDS = ("busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps")
MICROSECONDS_PER_S = 1e6

TEXT = "a text"
INTEGER = "a whole number"
NUMBER = "a number"
BOOLEAN = "true or false"
LIST_OF_OBJECTS = "[{...}]"


class FieldError(Exception):
    """Missing or unreadable field; the message names the field and says what to write."""


def _missing(key: str, remedy: str) -> FieldError:
    return FieldError(f"field {key} is missing: write {remedy}")


def _unreadable(key: str, fault: str, text: str, remedy: str) -> FieldError:
    return FieldError(f"field {key} {fault}: {text!r}; write {remedy}")


class _SingleValues(Fields):
    """Fields that raise FieldError if a key is read as one value but holds an object or a list.

    An object or a list in place of a value must not be treated as a value that was left out.
    """

    def __init__(self, pairs: Fields) -> None:
        super().__init__(pairs)
        self.parents = {
            path[:index] for path in pairs for index, character in enumerate(path) if character == "."
        }

    def _check(self, key: object) -> None:
        if key in self.parents and not super().__contains__(key):
            raise FieldError(f"field {key} is an object or a list of objects: write one value")

    def get(self, key: str, default: Any = None) -> Any:
        """Return the value of a key, or the default."""
        self._check(key)
        return super().get(key, default)

    def __contains__(self, key: object) -> bool:
        self._check(key)
        return super().__contains__(key)

    def __getitem__(self, key: str) -> str:
        self._check(key)
        return super().__getitem__(key)


def field_text(fields: Fields, key: str) -> str:
    """Return a field's text; raise FieldError if the field is missing."""
    try:
        return fields[key]
    except KeyError:
        raise _missing(key, TEXT) from None


def field_integer(fields: Fields, key: str) -> int:
    """Return a field's whole number; raise FieldError if the field is missing or not a whole number."""
    try:
        return int(fields[key])
    except KeyError:
        raise _missing(key, INTEGER) from None
    except ValueError:
        raise _unreadable(key, "is not a whole number", fields[key], INTEGER) from None


def field_integer_or(fields: Fields, key: str, default: int) -> int:
    """Return a field's whole number, or the default if the field is missing.

    Raise FieldError if the field is not a whole number.
    """
    return field_integer(fields, key) if key in fields else default


def field_number(fields: Fields, key: str, default: float | None = None) -> float:
    """Return a field's finite number, or the default if the field is missing.

    Raise FieldError if the field is not a finite number, or is missing and has no default.
    """
    text = fields.get(key)
    if text is None:
        if default is None:
            raise _missing(key, NUMBER)
        return default
    try:
        value = float(text)
    except ValueError:
        raise _unreadable(key, "is not a number", text, NUMBER) from None
    if value - value != 0.0:  # faster than math.isfinite; this function reads every event of the simulator
        raise _unreadable(key, "is not finite", text, NUMBER)
    return value


def field_boolean(fields: Fields, key: str, default: bool | None = None) -> bool:
    """Return a field's boolean, or the default if the field is missing.

    Raise FieldError if the field is not a boolean, or is missing and has no default.
    """
    text = fields.get(key)
    if text is None and default is not None:
        return default
    if text in ("1", "true"):
        return True
    if text in ("0", "false"):
        return False
    raise (_missing(key, BOOLEAN) if text is None else _unreadable(key, "is not a boolean", text, BOOLEAN))


def _count(fields: Fields, key: str, default: int | None = None) -> int:
    """Return the length of a list of objects."""
    is_list = key + ".count" in fields
    text = dict.get(fields, key)
    if not is_list and text:  # the simulator writes an empty list as an empty text
        raise _unreadable(key, "is no list of objects", text, LIST_OF_OBJECTS)
    if not is_list and default is None:
        raise _missing(key, LIST_OF_OBJECTS)
    return field_integer_or(fields, key + ".count", default or 0)


def _choice(fields: Fields, key: str, choices: Mapping[str, T], default: str) -> T:
    """Return the choice that a field's word names; a missing or empty field counts as the default word."""
    text = fields.get(key, "") or default
    if text not in choices:
        raise _unreadable(key, "is out of range", text, " or ".join(choices))
    return choices[text]


def _required_choice(fields: Fields, key: str, choices: Mapping[str, T]) -> T:
    text = field_text(fields, key)
    if text not in choices:
        raise _unreadable(key, "is out of range", text, " or ".join(choices))
    return choices[text]


def read_idempotency(effect: str) -> Idempotency:
    """Return the idempotency that the platform's word for an effect names; raise ValueError if unknown."""
    try:
        return IDEMPOTENCY_BY_EFFECT[effect]
    except KeyError:
        raise ValueError(f"{effect!r} is not one of {', '.join(IDEMPOTENCY_BY_EFFECT)}") from None


def _list_of_names(text: str) -> tuple[str, ...]:
    return tuple(name for name in text.split(",") if name)


class _Setting(NamedTuple):
    """Mapping of a field of the policy's settings to its platform key and the function that reads it."""

    field: str
    key: str
    read: Callable[[Fields, str], Any]


def _number(default: float) -> Callable[[Fields, str], float]:
    return lambda fields, key: field_number(fields, key, default)


def _integer(default: int) -> Callable[[Fields, str], int]:
    return lambda fields, key: field_integer_or(fields, key, default)


def _boolean(default: bool) -> Callable[[Fields, str], bool]:
    return lambda fields, key: field_boolean(fields, key, default)


def _text(default: str) -> Callable[[Fields, str], str]:
    return lambda fields, key: str(fields.get(key, default))


def _names(fields: Fields, key: str) -> tuple[str, ...]:
    return _list_of_names(fields.get(key, ""))


def _load_report_fields(fields: Fields, key: str) -> tuple[str, ...]:
    return tuple(name for name in _names(fields, key) if name in LOAD_REPORT_FIELDS)


def _tier_count(fields: Fields, key: str) -> int:
    """Return the number of listed tiers or, if none is listed, the number that this tier's index implies."""
    return len(_names(fields, key)) or field_integer_or(fields, "stage", 0) + 1


def _cpu_seconds(fields: Fields, key: str) -> float:
    return field_number(fields, key, 0.0) / MICROSECONDS_PER_S


def _any_of(choices: Mapping[str, T], default: str) -> Callable[[Fields, str], T]:
    return lambda fields, key: _choice(fields, key, choices, default)


def _one_of(choices: Mapping[str, T]) -> Callable[[Fields, str], T]:
    return lambda fields, key: _required_choice(fields, key, choices)


def _class_name(fields: Fields, key: str) -> str:
    name = field_text(fields, key)
    if not name:
        raise _unreadable(key, "is empty", name, "the first part of its requests' path")
    return name


def _idempotency_scope(fields: Fields, key: str) -> IdempotencyScope:
    text = fields.get(key, "all")
    if text not in SCOPES_BY_GROUP:
        raise _unreadable(key, "is out of range", text, "all, zone or cell")
    return SCOPES_BY_GROUP[text]


# Keys are relative to grades.N. and tenants.N.
CLASS_SETTINGS = (
    _Setting("name", "name", _class_name),
    _Setting("idempotency", "effect", _one_of(IDEMPOTENCY_BY_EFFECT)),
    _Setting("priority_weight", "value", field_number),
    _Setting("latency_objective", "objective", field_number),
    _Setting("deadline", "deadline", field_number),
    _Setting("late_weight_share", "late_worth", _number(0.0)),
    _Setting("idempotency_scope", "group", _idempotency_scope),
    _Setting("idempotency_window", "window", _number(0.0)),
    _Setting("stream", "stream", _boolean(False)),
    _Setting("objective_stretch", "aim_stretch", _number(0.0)),
    _Setting("max_attempts", "attempts", _integer(0)),
)
TENANT_SETTINGS = (
    _Setting("quota_per_s", "quota_rps", field_number),
    _Setting("share", "portion", _number(0.0)),
    _Setting("name", "name", field_text),
)
PROXY_SETTINGS = (
    _Setting("polls_discovery", "discovery", _one_of(POLLS_BY_DISCOVERY)),
    _Setting("zone", "zone", _text("")),
    _Setting("proxy_index", "me", field_integer),
    _Setting("proxy_count", "balancers", field_integer),
    _Setting("tier_index", "stage", _integer(0)),
    _Setting("tier_count", "stages", _tier_count),
    _Setting("zones", "dcs", _names),
    _Setting("endpoint_types", "kinds", _names),
    _Setting("quantum", "quantum", _number(0.0)),
    _Setting("max_poll_interval", "contract.must_ask_in", _number(10.0)),
    _Setting("max_attempts", "policy_limits.send_cap", field_integer),
    _Setting("can_hedge", "policy_limits.may_duplicate", field_boolean),
    _Setting("can_cancel", "policy_limits.may_cancel", field_boolean),
    _Setting("can_check_health", "policy_limits.probes", field_boolean),
    _Setting("can_message_peers", "policy_limits.peers", _boolean(False)),
    _Setting("max_open_requests", "policy_limits.most_held", _integer(0)),
    _Setting("clients_flag_retries", "callers.marks_retry", _boolean(False)),
    _Setting("can_send_retry_after", "policy_limits.retry_after", _boolean(False)),
    _Setting("max_retry_after", "policy_limits.max_retry_after", _number(0.0)),
    _Setting("over_quota_weight_share", "over_share_worth", _number(1.0)),
    _Setting("weight_by_work", "worth_by", _any_of(WEIGHTS_BY_WORK, "request")),
    _Setting("propagates_deadline", "specifics.passes_deadline", _boolean(False)),
    _Setting("load_report_fields", "report.names", _load_report_fields),
    _Setting("load_report_source", "report.via", _any_of(LOAD_REPORT_SOURCES, "on_probe")),
    _Setting("weight_meaning", "weights", _any_of(WEIGHT_MEANINGS, "nominal")),
    _Setting("connect_timeout", "policy_limits.connect_timeout", _number(0.25)),
    _Setting("requests_per_connection", "policy_limits.streams_per_conn", _integer(1)),
    _Setting("cpu_per_s", "policy_limits.cpu_us_per_s", _cpu_seconds),
    _Setting("cpu_per_request", "policy_limits.cpu_us_per_request", _cpu_seconds),
    _Setting("goal_overall", "objective_mix.whole", _number(1.0)),
    _Setting("goal_window", "objective_mix.worst_window", _number(0.0)),
    _Setting("goal_class", "objective_mix.worst_class", _number(0.0)),
    _Setting("goal_tenant", "objective_mix.worst_tenant", _number(0.0)),
    _Setting("connection_idle_timeout", "policy_limits.conn_idle", _number(15.0)),
    _Setting("deadline_slack", "contract.grace_to_answer", field_number),
    _Setting("drain_grace", "contract.drain_grace", field_number),
    _Setting("slow_start_initial_share", "contract.cold_from", field_number),
    _Setting("slow_start_window", "contract.cold", field_number),
    _Setting("overload_multiple", "contract.fall_multiple", field_number),
    _Setting("overload_window", "contract.overload_for", field_number),
    _Setting("price_cross_zone", "charges.cross_zone", _number(0.0)),
    _Setting("price_probe", "charges.probe", _number(0.0)),
    _Setting("price_handshake", "charges.handshake", _number(0.0)),
    _Setting("price_connection", "charges.connection", _number(0.0)),
    _Setting("price_waste", "charges.waste", _number(0.0)),
    _Setting("price_late_fail", "charges.late_fail", _number(0.0)),
    _Setting("price_peer", "charges.peer", _number(0.0)),
    _Setting("price_discovery", "charges.discovery", _number(0.0)),
)
LISTS_BY_FIELD = {"classes": "grades", "tenants": "tenants"}


def read_settings(params: Fields) -> Settings:
    """Return the settings from flat path=value pairs; unknown keys are skipped.

    Raises ValueError for the first key that is missing, can't be read or is out of range. The message names
    the platform's key and says what to write.
    """
    fields = _SingleValues(params)
    try:
        classes = [
            _read(RequestClass, CLASS_SETTINGS, fields, f"grades.{number}.")
            for number in range(_count(fields, "grades"))
        ]
        tenants = [
            _read(Tenant, TENANT_SETTINGS, fields, f"tenants.{number}.")
            for number in range(_count(fields, "tenants", 0))
        ]
        return _read(Settings, PROXY_SETTINGS, fields, "", classes=classes, tenants=tenants)
    except FieldError as error:
        raise ValueError(str(error).replace("field", "setting", 1)) from None


def _read(
    create: Callable[..., T], settings: tuple[_Setting, ...], fields: Fields, prefix: str, **lists: list[Any]
) -> T:
    """Return an object of the policy's settings; report a value out of range under the platform's key."""
    values = {setting.field: setting.read(fields, prefix + setting.key) for setting in settings}
    try:
        return create(**lists, **values)
    except InvalidSettingError as error:
        keys = LISTS_BY_FIELD | {setting.field: prefix + setting.key for setting in settings}
        raise FieldError(
            f"field {keys[error.field]} is out of range: {error.value!r}; write {error.remedy}"
        ) from error
