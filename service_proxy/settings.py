"""The one reader of the platform's settings: flat path=value pairs in, one typed `Settings` out.

The simulator's adapter and the real proxy both read them here. No I/O: who has the pairs brings them.
"""

from __future__ import annotations

from typing import Any

from service_proxy.policy import events as api

Fields = dict[str, str]

EFFECTS = [effect.value for effect in api.Idempotency]
DISCOVERY = ["push", "ask"]
REPORT_NAMES = ("busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps")
WEIGHTS = {"off": "none", "nominal": "nominal", "rough": "rough", "live": "live"}
WORTH_BY = {"work": "work", "request": "request"}
REPORT_VIA = {"inline": "answer", "on_probe": "probe", "off": "none"}


class FieldError(Exception):
    """A field that is missing or can't be read; the message names it, and says what to write."""


def _missing(key: str, instead: str) -> FieldError:
    return FieldError(f"field {key} is missing: write {instead}")


def _unreadable(key: str, fault: str, text: str, instead: str) -> FieldError:
    return FieldError(f"field {key} {fault}: {text!r}; write {instead}")


TEXT = "a text"
WHOLE = "a whole number"
NUMBER = "a number"
TRUTH = "true or false"


class _Pairs(Fields):
    """Pairs of which each may be read as one value only where it is one: an object or a list in its place
    must not pass for a value that was left out.
    """

    def __init__(self, pairs: Fields) -> None:
        super().__init__(pairs)
        self.parents = {path[:at] for path in pairs for at, sign in enumerate(path) if sign == "."}

    def _check(self, key: object) -> None:
        if key in self.parents and not super().__contains__(key):
            raise FieldError(f"field {key} is an object or a list of objects: write one value")

    def get(self, key: str, default: Any = None) -> Any:
        self._check(key)
        return super().get(key, default)

    def __contains__(self, key: object) -> bool:
        self._check(key)
        return super().__contains__(key)

    def __getitem__(self, key: str) -> str:
        self._check(key)
        return super().__getitem__(key)


def field_text(fields: Fields, key: str) -> str:
    try:
        return fields[key]
    except KeyError:
        raise _missing(key, TEXT) from None


def field_integer(fields: Fields, key: str) -> int:
    try:
        return int(fields[key])
    except KeyError:
        raise _missing(key, WHOLE) from None
    except ValueError:
        raise _unreadable(key, "is not a whole number", fields[key], WHOLE) from None


def field_number(fields: Fields, key: str, default: float | None = None) -> float:
    text = fields.get(key)
    if text is None:
        if default is None:
            raise _missing(key, NUMBER)
        return default
    try:
        value = float(text)
    except ValueError:
        raise _unreadable(key, "is not a number", text, NUMBER) from None
    if value - value != 0.0:
        raise _unreadable(key, "is not finite", text, NUMBER)
    return value


def field_truth(fields: Fields, key: str, default: bool | None = None) -> bool:
    text = fields.get(key)
    if text is None and default is not None:
        return default
    if text in ("1", "true"):
        return True
    if text in ("0", "false"):
        return False
    raise _missing(key, TRUTH) if text is None else _unreadable(key, "is not a truth value", text, TRUTH)


def field_integer_or(fields: Fields, key: str, default: int) -> int:
    return field_integer(fields, key) if key in fields else default


def _count(fields: Fields, key: str, default: int | None = None) -> int:
    """Of a list of objects."""
    listed = key + ".count" in fields
    plain = dict.get(fields, key)
    if not listed and plain:  # the simulator writes an empty list as an empty text
        raise _unreadable(key, "is no list of objects", plain, "[{...}]")
    if not listed and default is None:
        raise _missing(key, "[{...}]")
    return field_integer_or(fields, key + ".count", default or 0)


def _choice(fields: Fields, key: str, words: dict[str, str], default: str) -> str:
    text = fields.get(key, "")
    if not text:
        return default
    if text not in words:
        raise _unreadable(key, "is out of range", text, " or ".join(words))
    return words[text]


def _names(text: str) -> tuple[str, ...]:
    return tuple(name for name in text.split(",") if name)


def read_settings(params: Fields) -> api.Settings:
    """Settings from the flat path=value pairs; unknown keys are skipped, missing ones raise ValueError."""
    try:
        return _settings(_Pairs(params))
    except FieldError as fault:
        raise ValueError(str(fault).replace("field", "setting", 1)) from None


def _settings(params: Fields) -> api.Settings:
    classes = []
    for n in range(_count(params, "grades")):
        path = f"grades.{n}."
        name = field_text(params, path + "name")
        if not name:
            raise _unreadable(path + "name", "is empty", name, "the first part of its requests' path")
        effect = field_text(params, path + "effect")
        if effect not in EFFECTS:
            raise _unreadable(path + "effect", "is out of range", effect, " or ".join(EFFECTS))
        classes.append(
            api.RequestClass(
                name=name,
                priority_weight=field_number(params, path + "value"),
                latency_objective=field_number(params, path + "objective"),
                deadline=field_number(params, path + "deadline"),
                late_weight_share=field_number(params, path + "late_worth", 0.0),
                idempotency=api.Idempotency(effect),
                idempotency_scope=params.get(path + "group", "all"),
                idempotency_window=field_number(params, path + "window", 0.0),
                stream=field_truth(params, path + "stream", False),
                objective_stretch=field_number(params, path + "aim_stretch", 0.0),
                max_attempts=field_integer_or(params, path + "attempts", 0),
            )
        )
    tenants = []
    for n in range(_count(params, "tenants", 0)):
        path = f"tenants.{n}."
        quota = field_number(params, path + "quota_rps")
        share = field_number(params, path + "portion", 0.0)
        tenants.append(api.Tenant(field_text(params, path + "name"), quota, share))
    discovery = field_text(params, "discovery")
    if discovery not in DISCOVERY:
        raise _unreadable("discovery", "is out of range", discovery, " or ".join(DISCOVERY))
    limits = "policy_limits."
    return api.Settings(
        classes=classes,
        tenants=tenants,
        zone=params.get("zone", ""),
        proxy_index=field_integer(params, "me"),
        proxy_count=field_integer(params, "balancers"),
        tier_index=field_integer_or(params, "stage", 0),
        tier_count=len(_names(params.get("stages", ""))) or field_integer_or(params, "stage", 0) + 1,
        zones=_names(params.get("dcs", "")),
        kinds=_names(params.get("kinds", "")),
        quantum=field_number(params, "quantum", 0.0),
        polls_discovery=discovery == "ask",
        max_poll_interval=field_number(params, "contract.must_ask_in", 10.0),
        max_attempts=field_integer(params, limits + "send_cap"),
        can_hedge=field_truth(params, limits + "may_duplicate"),
        can_cancel=field_truth(params, limits + "may_cancel"),
        can_check_health=field_truth(params, limits + "probes"),
        can_message_peers=field_truth(params, limits + "peers", False),
        max_open_requests=field_integer_or(params, limits + "most_held", 0),
        clients_mark_retries=field_truth(params, "callers.marks_retry", False),
        can_send_retry_after=field_truth(params, limits + "retry_after", False),
        max_retry_after=field_number(params, limits + "max_retry_after", 0.0),
        over_quota_weight_share=field_number(params, "over_share_worth", 1.0),
        weight_by_work=_choice(params, "worth_by", WORTH_BY, "request") == "work",
        passes_deadline=field_truth(params, "specifics.passes_deadline", False),
        load_report_fields=tuple(n for n in _names(params.get("report.names", "")) if n in REPORT_NAMES),
        load_report_source=_choice(params, "report.via", REPORT_VIA, "probe"),
        weight_meaning=_choice(params, "weights", WEIGHTS, "nominal"),
        connect_timeout=field_number(params, limits + "connect_timeout", 0.25),
        requests_per_connection=field_integer_or(params, limits + "streams_per_conn", 1),
        cpu_per_s=field_number(params, limits + "cpu_us_per_s", 0.0) / 1e6,
        cpu_per_request=field_number(params, limits + "cpu_us_per_request", 0.0) / 1e6,
        goal_whole=field_number(params, "objective_mix.whole", 1.0),
        goal_window=field_number(params, "objective_mix.worst_window", 0.0),
        goal_class=field_number(params, "objective_mix.worst_class", 0.0),
        goal_tenant=field_number(params, "objective_mix.worst_tenant", 0.0),
        connection_idle_timeout=field_number(params, limits + "conn_idle", 15.0),
        deadline_slack=field_number(params, "contract.grace_to_answer"),
        drain_grace=field_number(params, "contract.drain_grace"),
        slow_start_initial_share=field_number(params, "contract.cold_from"),
        slow_start_window=field_number(params, "contract.cold"),
        overload_multiple=field_number(params, "contract.fall_multiple"),
        overload_window=field_number(params, "contract.overload_for"),
        price_cross_zone=field_number(params, "charges.cross_zone", 0.0),
        price_probe=field_number(params, "charges.probe", 0.0),
        price_handshake=field_number(params, "charges.handshake", 0.0),
        price_connection=field_number(params, "charges.connection", 0.0),
        price_waste=field_number(params, "charges.waste", 0.0),
        price_late_fail=field_number(params, "charges.late_fail", 0.0),
        price_peer=field_number(params, "charges.peer", 0.0),
        price_discovery=field_number(params, "charges.discovery", 0.0),
    )
