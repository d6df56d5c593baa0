"""The bench's wire on standard input and output: one Balancer an instance. Decides nothing."""

from __future__ import annotations

import gc
import io
import math
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import IO, Any

from granitepoint import interface as api
from granitepoint.logic import Balancer

Fields = dict[str, str]

STATES = {
    "SERVING": api.ServerState.SERVING,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.GONE,
}
KINDS = {
    "SAVED": api.ListKind.SAVED,
    "FULL": api.ListKind.FULL,
    "INCREMENTAL": api.ListKind.INCREMENTAL,
    "FAILED": api.ListKind.FAILED,
}


REPORT_NAMES = ("busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps")
WEIGHTS = {"off": "none", "nominal": "nominal", "rough": "rough", "live": "live"}
WORTH_BY = {"work": "work", "request": "request"}
REPORT_VIA = {"inline": "answer", "on_probe": "probe", "off": "none"}
OUT_OF_PLACE = ("m", "tick", "eor")


class WireError(Exception):
    """A line that can't be read; the message names the field."""


def _split(parts: Iterable[str]) -> Fields:
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        raise WireError("a part is not of the form name=value") from None


def _get(fields: Fields, key: str) -> str:
    try:
        return fields[key]
    except KeyError:
        raise WireError(f"field {key} is missing") from None


def _int(fields: Fields, key: str) -> int:
    try:
        return int(fields[key])
    except KeyError:
        raise WireError(f"field {key} is missing") from None
    except ValueError:
        raise WireError(f"field {key} is not a whole number: {fields[key]!r}") from None


def _number(fields: Fields, key: str, default: float | None = None) -> float:
    text = fields.get(key)
    if text is None:
        if default is None:
            raise WireError(f"field {key} is missing")
        return default
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {key} is not a number: {text!r}") from None
    if value - value != 0.0:
        raise WireError(f"field {key} is not finite: {text!r}")
    return value


def _bool(fields: Fields, key: str, default: bool | None = None) -> bool:
    text = fields.get(key)
    if text is None and default is not None:
        return default
    if text in ("1", "true"):
        return True
    if text in ("0", "false"):
        return False
    raise WireError(f"field {key} is " + ("missing" if text is None else f"not a truth value: {text!r}"))


def _whole(fields: Fields, key: str, default: int) -> int:
    return _int(fields, key) if key in fields else default


def _choice(fields: Fields, key: str, words: dict[str, str], default: str) -> str:
    text = fields.get(key, "")
    if not text:
        return default
    if text not in words:
        raise ValueError(f"setting {key} is out of range: {text!r}")
    return words[text]


def _report(fields: Fields) -> dict[str, float] | None:
    text = fields.get("load")
    if not text or text == "-":
        return None
    report = {}
    try:
        for pair in text.split(","):
            name, value = pair.split(":", 1)
            if name in REPORT_NAMES:
                report[name] = float(value)
    except ValueError:
        raise WireError(f"field load is not a list of name:value pairs: {text!r}") from None
    if not all(math.isfinite(value) for value in report.values()):
        raise WireError(f"field load is not finite: {text!r}")
    return report


def _status(fields: Fields) -> int:
    status = _int(fields, "reason")
    if not 0 <= status <= max(api.Status):
        raise WireError(f"field reason is unknown: {status}")
    return status


def _names(text: str) -> tuple[str, ...]:
    return tuple(name for name in text.split(",") if name)


def read_settings(params: Fields) -> api.Settings:
    """Settings from the flat path=value pairs; unknown keys are skipped, missing ones raise ValueError."""
    try:
        return _settings(params)
    except WireError as fault:
        raise ValueError(str(fault).replace("field", "setting", 1)) from None


def _settings(params: Fields) -> api.Settings:
    classes = []
    for n in range(_int(params, "grades.count")):
        path = f"grades.{n}."
        effect = _get(params, path + "effect")
        if effect not in ("repeatable", "by_key", "once"):
            raise ValueError(f"setting {path}effect is out of range: {effect!r}")
        classes.append(
            api.RequestClass(
                name=_get(params, path + "name"),
                worth=_number(params, path + "value"),
                aim=_number(params, path + "objective"),
                deadline=_number(params, path + "deadline"),
                late_worth=_number(params, path + "late_worth", 0.0),
                effect=api.Effect(effect),
                group=params.get(path + "group", "all"),
                window=_number(params, path + "window", 0.0),
                stream=_bool(params, path + "stream", False),
                aim_stretch=_number(params, path + "aim_stretch", 0.0),
            )
        )
    tenants = []
    for n in range(_whole(params, "tenants.count", 0)):
        path = f"tenants.{n}."
        quota, share = _number(params, path + "quota_rps"), _number(params, path + "portion", 0.0)
        tenants.append(api.Tenant(_get(params, path + "name"), quota, share))
    discovery = _get(params, "discovery")
    if discovery not in ("push", "ask"):
        raise ValueError(f"setting discovery is out of range: {discovery!r}")
    limits = "policy_limits."
    return api.Settings(
        classes=classes,
        tenants=tenants,
        zone=params.get("zone", ""),
        me=_int(params, "me"),
        balancers=_int(params, "balancers"),
        stage=_whole(params, "stage", 0),
        stages=len(_names(params.get("stages", ""))) or _whole(params, "stage", 0) + 1,
        zones=_names(params.get("dcs", "")),
        kinds=_names(params.get("kinds", "")),
        quantum=_number(params, "quantum", 0.0),
        ask_for_list=discovery == "ask",
        must_ask_within=_number(params, "contract.must_ask_in", 10.0),
        max_attempts=_int(params, limits + "send_cap"),
        may_duplicate=_bool(params, limits + "may_duplicate"),
        may_cancel=_bool(params, limits + "may_cancel"),
        may_probe=_bool(params, limits + "probes"),
        may_tell=_bool(params, limits + "peers", False),
        most_held=_whole(params, limits + "most_held", 0),
        clients_mark_retries=_bool(params, "callers.marks_retry", False),
        may_advise_wait=_bool(params, limits + "retry_after", False),
        max_wait_advice=_number(params, limits + "max_retry_after", 0.0),
        over_share_worth=_number(params, "over_share_worth", 1.0),
        worth_by_work=_choice(params, "worth_by", WORTH_BY, "request") == "work",
        passes_deadline=_bool(params, "specifics.passes_deadline", False),
        report_names=tuple(n for n in _names(params.get("report.names", "")) if n in REPORT_NAMES),
        reports=_choice(params, "report.via", REPORT_VIA, "probe"),
        weights=_choice(params, "weights", WEIGHTS, "nominal"),
        connect_timeout=_number(params, limits + "connect_timeout", 0.25),
        calls_per_connection=_whole(params, limits + "streams_per_conn", 1),
        cpu_per_s=_number(params, limits + "cpu_us_per_s", 0.0) / 1e6,
        cpu_per_call=_number(params, limits + "cpu_us_per_request", 0.0) / 1e6,
        goal_whole=_number(params, "objective_mix.whole", 1.0),
        goal_window=_number(params, "objective_mix.worst_window", 0.0),
        goal_class=_number(params, "objective_mix.worst_class", 0.0),
        goal_tenant=_number(params, "objective_mix.worst_tenant", 0.0),
        conn_idle=_number(params, limits + "conn_idle", 15.0),
        answer_slack=_number(params, "contract.grace_to_answer"),
        drain_grace=_number(params, "contract.drain_grace"),
        cold_from=_number(params, "contract.cold_from"),
        cold_for=_number(params, "contract.cold"),
        fall_multiple=_number(params, "contract.fall_multiple"),
        fall_within=_number(params, "contract.overload_for"),
        price_crossing=_number(params, "charges.cross_zone", 0.0),
        price_probe=_number(params, "charges.probe", 0.0),
        price_handshake=_number(params, "charges.handshake", 0.0),
        price_connection=_number(params, "charges.connection", 0.0),
        price_waste=_number(params, "charges.waste", 0.0),
        price_late_fail=_number(params, "charges.late_fail", 0.0),
        price_peer=_number(params, "charges.peer", 0.0),
        price_discovery=_number(params, "charges.discovery", 0.0),
    )


def _entry(line: str) -> api.ServerEntry:
    tag, *parts = line.split(" ")
    if tag != "m":
        raise WireError("a list entry was due")
    fields = _split(parts)
    state = _get(fields, "state")
    if state not in STATES:
        raise WireError(f"field state is unknown: {state!r}")
    return api.ServerEntry(
        server=_int(fields, "backend"),
        zone=fields.get("campus", ""),
        kind=fields.get("sku", ""),
        cell=_whole(fields, "bay", 0),
        state=STATES[state],
        weight=_number(fields, "power_hint", 1.0),
        started_at=_number(fields, "boot_time", 0.0),
    )


def _arrival(fields: Fields) -> api.Event:
    return api.Arrival(
        _int(fields, "call"),
        _get(fields, "cls"),
        _number(fields, "time_budget"),
        fields.get("party", ""),
        _number(fields, "estimate", 0.0),
        _bool(fields, "resent", False),
        _bool(fields, "write", False),
        fields.get("route_key", ""),
    )


def _outcome(fields: Fields) -> api.Event:
    return api.Outcome(
        _int(fields, "call"),
        _int(fields, "shot"),
        _int(fields, "backend"),
        _status(fields),
        _number(fields, "cost_time"),
        _bool(fields, "final", False),
        _report(fields),
    )


def _stream(fields: Fields) -> api.Event:
    return api.StreamStarted(
        _int(fields, "call"),
        _int(fields, "shot"),
        _int(fields, "backend"),
        _number(fields, "cost_time", 0.0),
    )


def _gone(fields: Fields) -> api.Event:
    return api.Gone(_int(fields, "call"))


def _probed(fields: Fields) -> api.Event:
    return api.Probed(
        _int(fields, "backend"), _status(fields), _number(fields, "cost_time", 0.0), _report(fields)
    )


def _timer(fields: Fields) -> api.Event:
    return api.Timer(_int(fields, "key_back"))


def _peer(fields: Fields) -> api.Event:
    text = _get(fields, "data")
    try:
        data = b"" if text == "-" else bytes.fromhex(text)
    except ValueError:
        raise WireError(f"field data is not hex: {text!r}") from None
    return api.PeerMessage(_int(fields, "author"), data)


READERS = {
    "ingress": _arrival,
    "settled": _outcome,
    "first": _stream,
    "hangup": _gone,
    "pong": _probed,
    "wakeup": _timer,
    "datagram": _peer,
}


def write_action(who: str, action: api.Action) -> str:
    kind = type(action).__name__
    return WRITERS[kind](who, action)


WRITERS: dict[str, Callable[[str, Any], str]] = {
    "Send": lambda w, a: f"try who={w} call={a.call} backend={a.server} allow_for={a.timeout:.6f}",
    "Refuse": lambda w, a: f"bounce who={w} call={a.call}"
    + (f" come_back={a.retry_after:.6f}" if a.retry_after > 0 else ""),
    "Fail": lambda w, a: f"fail who={w} call={a.call}",
    "Cancel": lambda w, a: f"recall who={w} call={a.call} shot={a.attempt}",
    "Probe": lambda w, a: f"poll who={w} backend={a.server}",
    "Watch": lambda w, a: f"stream_changes who={w} on={int(a.on)}",
    "Fetch": lambda w, a: f"refresh who={w}",
    "SetTimer": lambda w, a: f"defer who={w} offset={a.delay:.6f} key_back={a.token}",
    "CloseIdle": lambda w, a: f"disconnect who={w} backend={a.server}",
    "Tell": lambda w, a: f"broadcast_to who={w} dst={'all' if a.peer is None else a.peer} "
    f"data={a.data.hex() or '-'}",
    "Log": lambda w, a: f"emit who={w} words=" + " ".join(a.text.split()),
}


class Host:
    """The instances of this process and the process-wide server lists that events refer to."""

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        self.source, self.sink = source, sink
        self.instances: dict[str, Balancer] = {}
        self.lists: dict[int, list[api.ServerEntry]] = {}
        self.pending: dict[str, list[api.Event]] = {}
        self.replies: list[str] = []
        self.line = ""
        self.now = 0.0

    def next_line(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        if not line.endswith("\n"):
            self.line = line
            raise WireError("the line is cut short")
        self.line = line = line.rstrip("\r\n")
        return line

    def run(self) -> None:
        while True:
            line = self.next_line()
            if line is None:
                return
            if not line:
                continue
            tag, _, rest = line.partition(" ")
            if tag != "tick":
                raise WireError("a tick was due")
            fields = _split(rest.split(" "))
            self.now = _number(fields, "clock")
            seq = _get(fields, "seq")
            self.read_batch()
            for who in list(self.pending):
                self.flush(who)
            self.replies.append(f"eor seq={seq}\n")
            self.sink.write("\n".join(self.replies))
            self.sink.flush()
            self.replies.clear()

    def read_batch(self) -> None:
        readers, pending, readline = READERS, self.pending, self.source.readline
        while True:
            line = readline()
            if not line:
                raise WireError("the batch is cut short: your_turn is missing")
            if line[-1] != "\n":
                self.line = line
                raise WireError("the line is cut short")
            self.line = line = line[:-1]
            parts = line.split(" ")
            tag = parts[0]
            reader = readers.get(tag)
            if reader is not None:
                fields = _split(parts[1:])
                event = reader(fields)
                who = _get(fields, "who")
                if who in pending:
                    pending[who].append(event)
                elif who in self.instances:
                    pending[who] = [event]
            elif tag == "your_turn":
                return
            elif tag == "membership":
                self.on_list(_split(parts[1:]))
            elif tag == "manifest":
                self.on_manifest(_split(parts[1:]))
            elif tag == "new_instance":
                fields = _split(parts[1:])
                who = _get(fields, "who")
                self.pending.pop(who, None)
                settings = read_settings(fields)
                self.instances[who] = Balancer(settings, _int(fields, "entropy"))
                pending[who] = []
            elif tag == "stop":
                who = _get(_split(parts[1:]), "who")
                pending.pop(who, None)
                self.instances.pop(who, None)
            elif not tag or tag in OUT_OF_PLACE:
                raise WireError("an event was due")

    def on_manifest(self, fields: Fields) -> None:
        count = _int(fields, "nodes_list")
        if count < 0:
            raise WireError(f"field nodes_list is out of range: {count}")
        slot = _int(fields, "slot")
        entries = []
        for _ in range(count):
            line = self.next_line()
            if line is None:
                raise WireError("the batch is cut short: a list entry is missing")
            entries.append(_entry(line))
        self.lists[slot] = entries

    def on_list(self, fields: Fields) -> None:
        who = _get(fields, "who")
        scope = _get(fields, "scope")
        if scope not in KINDS:
            raise WireError(f"field scope is unknown: {scope!r}")
        kind = KINDS[scope]
        entries: list[api.ServerEntry] = []
        if kind is not api.ListKind.FAILED:
            slot = _int(fields, "slot")
            if slot not in self.lists:
                raise WireError(f"field slot names no list: {slot}")
            entries = self.lists[slot]
        if who in self.instances:
            version = _whole(fields, "stamp", 0)
            self.pending.setdefault(who, []).append(api.ServerList(kind, entries, version))

    def flush(self, who: str) -> None:
        events = self.pending.pop(who)
        try:
            for action in self.instances[who].handle(self.now, events):
                self.replies.append(write_action(who, action))
        except Exception as fault:
            traceback.print_exc(file=sys.stderr)
            text = " ".join(f"{type(fault).__name__}: {fault}".split())
            self.replies.append(f"fatal who={who} words={text}")


def main() -> int:
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    if isinstance(sys.stdin, io.TextIOWrapper):
        sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except (WireError, ValueError) as fault:
        shown = host.line[:300].encode("ascii", "backslashreplace").decode()
        print(f"granitepoint: {fault} in line: {shown}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
