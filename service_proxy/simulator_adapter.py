"""The bench's wire on standard input and output: one Balancer an instance. Decides nothing."""

from __future__ import annotations

import gc
import io
import math
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import IO, Any

from service_proxy.policy import events as api
from service_proxy.policy.balancer import Balancer
from service_proxy.settings import (
    REPORT_NAMES,
    FieldError,
    Fields,
    field_integer,
    field_integer_or,
    field_number,
    field_text,
    field_truth,
    read_settings,
)

STATES = {
    "SERVING": api.EndpointState.SERVING,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.REMOVED,
}
KINDS = {
    "SAVED": api.ListScope.CACHED,
    "FULL": api.ListScope.FULL,
    "INCREMENTAL": api.ListScope.INCREMENTAL,
    "FAILED": api.ListScope.FAILED,
}


OUT_OF_PLACE = ("m", "tick", "eor")


def _split(parts: Iterable[str]) -> Fields:
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        raise FieldError("a part is not of the form name=value") from None


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
        raise FieldError(f"field load is not a list of name:value pairs: {text!r}") from None
    if not all(math.isfinite(value) for value in report.values()):
        raise FieldError(f"field load is not finite: {text!r}")
    return report


def _status(fields: Fields) -> int:
    status = field_integer(fields, "reason")
    if not 0 <= status <= max(api.AttemptStatus):
        raise FieldError(f"field reason is unknown: {status}")
    return status


def _entry(line: str) -> api.EndpointEntry:
    tag, *parts = line.split(" ")
    if tag != "m":
        raise FieldError("a list entry was due")
    fields = _split(parts)
    state = field_text(fields, "state")
    if state not in STATES:
        raise FieldError(f"field state is unknown: {state!r}")
    return api.EndpointEntry(
        endpoint_id=field_integer(fields, "backend"),
        zone=fields.get("campus", ""),
        kind=fields.get("sku", ""),
        cell=field_integer_or(fields, "bay", 0),
        state=STATES[state],
        weight=field_number(fields, "power_hint", 1.0),
        started_at=field_number(fields, "boot_time", 0.0),
    )


def _arrival(fields: Fields) -> api.Event:
    return api.RequestArrived(
        field_integer(fields, "call"),
        field_text(fields, "cls"),
        field_number(fields, "time_budget"),
        fields.get("party", ""),
        field_number(fields, "estimate", 0.0),
        field_truth(fields, "resent", False),
        field_truth(fields, "write", False),
        fields.get("route_key", ""),
    )


def _outcome(fields: Fields) -> api.Event:
    return api.AttemptEnded(
        field_integer(fields, "call"),
        field_integer(fields, "shot"),
        field_integer(fields, "backend"),
        _status(fields),
        field_number(fields, "cost_time"),
        field_truth(fields, "final", False),
        _report(fields),
    )


def _stream(fields: Fields) -> api.Event:
    return api.StreamStarted(
        field_integer(fields, "call"),
        field_integer(fields, "shot"),
        field_integer(fields, "backend"),
        field_number(fields, "cost_time", 0.0),
    )


def _gone(fields: Fields) -> api.Event:
    return api.RequestAbandoned(field_integer(fields, "call"))


def _probed(fields: Fields) -> api.Event:
    return api.HealthCheckEnded(
        field_integer(fields, "backend"),
        _status(fields),
        field_number(fields, "cost_time", 0.0),
        _report(fields),
    )


def _timer(fields: Fields) -> api.Event:
    return api.TimerFired(field_integer(fields, "key_back"))


def _peer(fields: Fields) -> api.Event:
    text = field_text(fields, "data")
    try:
        data = b"" if text == "-" else bytes.fromhex(text)
    except ValueError:
        raise FieldError(f"field data is not hex: {text!r}") from None
    return api.PeerMessage(field_integer(fields, "author"), data)


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
    """Write one action of instance `who` as a line of the simulator's wire."""
    return WRITERS[type(action)](who, action)


def _write_reject(who: str, action: api.Reject) -> str:
    retry_after = f" come_back={action.retry_after:.6f}" if action.retry_after > 0 else ""
    return f"bounce who={who} call={action.request_id}{retry_after}"


def _write_start_attempt(who: str, action: api.StartAttempt) -> str:
    attempt = f"call={action.request_id} backend={action.endpoint_id}"
    return f"try who={who} {attempt} allow_for={action.timeout:.6f}"


def _write_peer_message(who: str, action: api.SendPeerMessage) -> str:
    destination = "all" if action.peer is None else action.peer
    return f"broadcast_to who={who} dst={destination} data={action.data.hex() or '-'}"


WRITERS: dict[type, Callable[[str, Any], str]] = {
    api.StartAttempt: _write_start_attempt,
    api.Reject: _write_reject,
    api.Fail: lambda who, action: f"fail who={who} call={action.request_id}",
    api.CancelAttempt: lambda who, action: (
        f"recall who={who} call={action.request_id} shot={action.attempt_number}"
    ),
    api.CheckHealth: lambda who, action: f"poll who={who} backend={action.endpoint_id}",
    api.WatchEndpoints: lambda who, action: f"stream_changes who={who} on={int(action.enabled)}",
    api.FetchEndpoints: lambda who, action: f"refresh who={who}",
    api.SetTimer: lambda who, action: f"defer who={who} offset={action.delay:.6f} key_back={action.token}",
    api.CloseIdleConnections: lambda who, action: f"disconnect who={who} backend={action.endpoint_id}",
    api.SendPeerMessage: _write_peer_message,
    api.WriteLog: lambda who, action: f"emit who={who} words=" + " ".join(action.text.split()),
}


class Host:
    """The instances of this process and the process-wide server lists that events refer to."""

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[str, Balancer] = {}
        self.lists: dict[int, list[api.EndpointEntry]] = {}
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
            raise FieldError("the line is cut short")
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
                raise FieldError("a tick was due")
            fields = _split(rest.split(" "))
            self.now = field_number(fields, "clock")
            seq = field_text(fields, "seq")
            self.read_batch()
            for who in list(self.pending):
                self.flush(who)
            self.replies.append(f"eor seq={seq}\n")
            self.sink.write("\n".join(self.replies))
            self.sink.flush()
            self.replies.clear()

    def read_batch(self) -> None:
        readers = READERS
        pending = self.pending
        readline = self.source.readline
        while True:
            line = readline()
            if not line:
                raise FieldError("the batch is cut short: your_turn is missing")
            if line[-1] != "\n":
                self.line = line
                raise FieldError("the line is cut short")
            self.line = line = line[:-1]
            parts = line.split(" ")
            tag = parts[0]
            reader = readers.get(tag)
            if reader is not None:
                fields = _split(parts[1:])
                event = reader(fields)
                who = field_text(fields, "who")
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
                who = field_text(fields, "who")
                self.pending.pop(who, None)
                settings = read_settings(fields)
                self.instances[who] = Balancer(settings, field_integer(fields, "entropy"))
                pending[who] = []
            elif tag == "stop":
                who = field_text(_split(parts[1:]), "who")
                pending.pop(who, None)
                self.instances.pop(who, None)
            elif not tag or tag in OUT_OF_PLACE:
                raise FieldError("an event was due")

    def on_manifest(self, fields: Fields) -> None:
        count = field_integer(fields, "nodes_list")
        if count < 0:
            raise FieldError(f"field nodes_list is out of range: {count}")
        slot = field_integer(fields, "slot")
        entries = []
        for _ in range(count):
            line = self.next_line()
            if line is None:
                raise FieldError("the batch is cut short: a list entry is missing")
            entries.append(_entry(line))
        self.lists[slot] = entries

    def on_list(self, fields: Fields) -> None:
        who = field_text(fields, "who")
        scope = field_text(fields, "scope")
        if scope not in KINDS:
            raise FieldError(f"field scope is unknown: {scope!r}")
        kind = KINDS[scope]
        entries: list[api.EndpointEntry] = []
        if kind is not api.ListScope.FAILED:
            slot = field_integer(fields, "slot")
            if slot not in self.lists:
                raise FieldError(f"field slot names no list: {slot}")
            entries = self.lists[slot]
        if who in self.instances:
            version = field_integer_or(fields, "stamp", 0)
            self.pending.setdefault(who, []).append(api.EndpointListUpdate(kind, entries, version))

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
    except (FieldError, ValueError) as fault:
        shown = host.line[:300].encode("ascii", "backslashreplace").decode()
        print(f"service_proxy: {fault} in line: {shown}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
