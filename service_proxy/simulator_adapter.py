"""Adapter between the simulator's line protocol on standard input and output and one Balancer per proxy.

The adapter makes no decisions: it reads lines as events, passes the events to the policy, and writes the
policy's actions as lines. Each batch begins with a `tick` line and ends with a `your_turn` line; the reply
ends with an `eor` line.
"""

from __future__ import annotations

import gc
import io
import math
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import IO, Any

import service_proxy as api
from service_proxy.policy.balancer import Balancer
from service_proxy.settings import (
    LOAD_REPORT_FIELDS,
    FieldError,
    Fields,
    field_boolean,
    field_integer,
    field_integer_or,
    field_number,
    field_text,
    read_settings,
)

ENDPOINT_STATES = {
    "SERVING": api.EndpointState.SERVING,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.REMOVED,
}
LIST_SCOPES = {
    "SAVED": api.ListScope.CACHED,
    "FULL": api.ListScope.FULL,
    "INCREMENTAL": api.ListScope.INCREMENTAL,
    "FAILED": api.ListScope.FAILED,
}
END_OF_BATCH = "your_turn"
ENTRY_TAG = "m"  # tag of a line that holds one entry of an endpoint list
MISPLACED_TAGS = (ENTRY_TAG, "tick", "eor")  # known tags that must not occur within a batch
NO_VALUE = "-"

# The garbage collector runs rarely, because reference counts free the objects of a batch.
GC_THRESHOLDS = (50_000, 20, 50)
MAX_LINE_SHOWN = 300  # characters of a malformed line that the error message shows

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2


def _split(parts: Iterable[str]) -> Fields:
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        raise FieldError("a part is not of the form name=value") from None


def _load_report(fields: Fields) -> dict[str, float] | None:
    text = fields.get("load")
    if not text or text == NO_VALUE:
        return None
    report = {}
    try:
        for pair in text.split(","):
            name, value = pair.split(":", 1)
            if name in LOAD_REPORT_FIELDS:
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


def _endpoint_entry(line: str) -> api.EndpointEntry:
    tag, *parts = line.split(" ")
    if tag != ENTRY_TAG:
        raise FieldError("expected a list entry")
    fields = _split(parts)
    state = field_text(fields, "state")
    if state not in ENDPOINT_STATES:
        raise FieldError(f"field state is unknown: {state!r}")
    return api.EndpointEntry(
        endpoint_id=field_integer(fields, "backend"),
        zone=fields.get("campus", ""),
        endpoint_type=fields.get("sku", ""),
        cell=field_integer_or(fields, "bay", 0),
        state=ENDPOINT_STATES[state],
        weight=field_number(fields, "power_hint", 1.0),
        started_at=field_number(fields, "boot_time", 0.0),
    )


def _request_arrived(fields: Fields) -> api.Event:
    return api.RequestArrived(
        field_integer(fields, "call"),
        field_text(fields, "cls"),
        field_number(fields, "time_budget"),
        fields.get("party", ""),
        field_number(fields, "estimate", 0.0),
        field_boolean(fields, "resent", False),
        field_boolean(fields, "write", False),
        fields.get("route_key", ""),
    )


def _attempt_ended(fields: Fields) -> api.Event:
    return api.AttemptEnded(
        field_integer(fields, "call"),
        field_integer(fields, "shot"),
        field_integer(fields, "backend"),
        _status(fields),
        field_number(fields, "cost_time"),
        field_boolean(fields, "final", False),
        _load_report(fields),
    )


def _stream_started(fields: Fields) -> api.Event:
    return api.StreamStarted(
        field_integer(fields, "call"),
        field_integer(fields, "shot"),
        field_integer(fields, "backend"),
        field_number(fields, "cost_time", 0.0),
    )


def _request_abandoned(fields: Fields) -> api.Event:
    return api.RequestAbandoned(field_integer(fields, "call"))


def _health_check_ended(fields: Fields) -> api.Event:
    return api.HealthCheckEnded(
        field_integer(fields, "backend"),
        _status(fields),
        field_number(fields, "cost_time", 0.0),
        _load_report(fields),
    )


def _timer_fired(fields: Fields) -> api.Event:
    return api.TimerFired(field_integer(fields, "key_back"))


def _peer_message(fields: Fields) -> api.Event:
    text = field_text(fields, "data")
    try:
        data = b"" if text == NO_VALUE else bytes.fromhex(text)
    except ValueError:
        raise FieldError(f"field data is not hex: {text!r}") from None
    return api.PeerMessage(field_integer(fields, "author"), data)


EVENT_READERS: dict[str, Callable[[Fields], api.Event]] = {
    "ingress": _request_arrived,
    "settled": _attempt_ended,
    "first": _stream_started,
    "hangup": _request_abandoned,
    "pong": _health_check_ended,
    "wakeup": _timer_fired,
    "datagram": _peer_message,
}


def write_action(who: str, action: api.Action) -> str:
    """Return one action of the proxy `who` as a line of the simulator's protocol."""
    return ACTION_WRITERS[type(action)](who, action)


def _write_start_attempt(who: str, action: api.StartAttempt) -> str:
    attempt = f"call={action.request_id} backend={action.endpoint_id}"
    return f"try who={who} {attempt} allow_for={action.timeout:.6f}"


def _write_reject(who: str, action: api.Reject) -> str:
    retry_after = f" come_back={action.retry_after:.6f}" if action.retry_after > 0 else ""
    return f"bounce who={who} call={action.request_id}{retry_after}"


def _write_fail(who: str, action: api.Fail) -> str:
    return f"fail who={who} call={action.request_id}"


def _write_cancel_attempt(who: str, action: api.CancelAttempt) -> str:
    return f"recall who={who} call={action.request_id} shot={action.attempt_number}"


def _write_check_health(who: str, action: api.CheckHealth) -> str:
    return f"poll who={who} backend={action.endpoint_id}"


def _write_watch_endpoints(who: str, action: api.WatchEndpoints) -> str:
    return f"stream_changes who={who} on={int(action.enabled)}"


def _write_fetch_endpoints(who: str, _action: api.FetchEndpoints) -> str:
    return f"refresh who={who}"


def _write_set_timer(who: str, action: api.SetTimer) -> str:
    return f"defer who={who} offset={action.delay:.6f} key_back={action.token}"


def _write_close_idle_connections(who: str, action: api.CloseIdleConnections) -> str:
    return f"disconnect who={who} backend={action.endpoint_id}"


def _write_peer_message(who: str, action: api.SendPeerMessage) -> str:
    destination = "all" if action.peer is None else action.peer
    return f"broadcast_to who={who} dst={destination} data={action.data.hex() or NO_VALUE}"


def _write_log(who: str, action: api.WriteLog) -> str:
    return f"emit who={who} words=" + " ".join(action.text.split())


ACTION_WRITERS: dict[type, Callable[[str, Any], str]] = {
    api.StartAttempt: _write_start_attempt,
    api.Reject: _write_reject,
    api.Fail: _write_fail,
    api.CancelAttempt: _write_cancel_attempt,
    api.CheckHealth: _write_check_health,
    api.WatchEndpoints: _write_watch_endpoints,
    api.FetchEndpoints: _write_fetch_endpoints,
    api.SetTimer: _write_set_timer,
    api.CloseIdleConnections: _write_close_idle_connections,
    api.SendPeerMessage: _write_peer_message,
    api.WriteLog: _write_log,
}


class SimulatorAdapter:
    """Simulated proxies of this process, and the endpoint lists that events refer to by slot."""

    def __init__(self, source: IO[str], sink: IO[str]) -> None:
        self.source = source
        self.sink = sink
        self.balancers: dict[str, Balancer] = {}
        self.endpoint_lists: dict[int, list[api.EndpointEntry]] = {}
        self.pending: dict[str, list[api.Event]] = {}  # events of this batch by proxy
        self.replies: list[str] = []
        self.line = ""  # the last line read, for error messages
        self.now = 0.0
        self._readers: dict[str, Callable[[Fields], None]] = {
            "membership": self._read_endpoint_list_update,
            "manifest": self._read_endpoint_list,
            "new_instance": self._start_proxy,
            "stop": self._stop_proxy,
        }

    def run(self) -> None:
        """Process batches until the end of input; raise FieldError or ValueError for malformed input."""
        while True:
            line = self._next_line()
            if line is None:
                return
            if not line:
                continue
            tag, _, arguments = line.partition(" ")
            if tag != "tick":
                raise FieldError("expected a tick line")
            fields = _split(arguments.split(" "))
            self.now = field_number(fields, "clock")
            sequence = field_text(fields, "seq")
            self._read_batch()
            for who in list(self.pending):
                self._decide(who)
            self.replies.append(f"eor seq={sequence}\n")
            self.sink.write("\n".join(self.replies))
            self.sink.flush()
            self.replies.clear()

    def _next_line(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        if not line.endswith("\n"):
            self.line = line
            raise FieldError("the line is truncated: its newline is missing")
        self.line = line = line.rstrip("\r\n")
        return line

    def _read_batch(self) -> None:
        """Read lines up to the end of the batch; events are parsed here, because most lines are events."""
        readline = self.source.readline
        event_readers = EVENT_READERS
        pending = self.pending
        while True:
            line = readline()
            if not line:
                raise FieldError("the batch is truncated: your_turn is missing")
            if line[-1] != "\n":
                self.line = line
                raise FieldError("the line is truncated: its newline is missing")
            self.line = line = line[:-1]
            parts = line.split(" ")
            tag = parts[0]
            event_reader = event_readers.get(tag)
            if event_reader is not None:
                fields = _split(parts[1:])
                event = event_reader(fields)
                who = field_text(fields, "who")
                if who in pending:
                    pending[who].append(event)
                elif who in self.balancers:
                    pending[who] = [event]
            elif tag == END_OF_BATCH:
                return
            else:
                self._read_other_line(tag, parts)

    def _read_other_line(self, tag: str, parts: list[str]) -> None:
        reader = self._readers.get(tag)
        if reader is not None:
            reader(_split(parts[1:]))
        elif not tag or tag in MISPLACED_TAGS:
            raise FieldError("expected an event")

    def _start_proxy(self, fields: Fields) -> None:
        who = field_text(fields, "who")
        self.pending.pop(who, None)
        settings = read_settings(fields)
        self.balancers[who] = Balancer(settings, field_integer(fields, "entropy"))
        self.pending[who] = []

    def _stop_proxy(self, fields: Fields) -> None:
        who = field_text(fields, "who")
        self.pending.pop(who, None)
        self.balancers.pop(who, None)

    def _read_endpoint_list(self, fields: Fields) -> None:
        count = field_integer(fields, "nodes_list")
        if count < 0:
            raise FieldError(f"field nodes_list is out of range: {count}")
        slot = field_integer(fields, "slot")
        entries = []
        for _ in range(count):
            line = self._next_line()
            if line is None:
                raise FieldError("the batch is truncated: a list entry is missing")
            entries.append(_endpoint_entry(line))
        self.endpoint_lists[slot] = entries

    def _read_endpoint_list_update(self, fields: Fields) -> None:
        who = field_text(fields, "who")
        scope_text = field_text(fields, "scope")
        if scope_text not in LIST_SCOPES:
            raise FieldError(f"field scope is unknown: {scope_text!r}")
        scope = LIST_SCOPES[scope_text]
        entries: list[api.EndpointEntry] = []
        if scope is not api.ListScope.FAILED:
            slot = field_integer(fields, "slot")
            if slot not in self.endpoint_lists:
                raise FieldError(f"field slot refers to an unknown endpoint list: {slot}")
            entries = self.endpoint_lists[slot]
        if who in self.balancers:
            version = field_integer_or(fields, "stamp", 0)
            self.pending.setdefault(who, []).append(api.EndpointListUpdate(scope, entries, version))

    def _decide(self, who: str) -> None:
        events = self.pending.pop(who)
        try:
            for action in self.balancers[who].handle(self.now, events):
                self.replies.append(write_action(who, action))
        except Exception as error:  # noqa: BLE001 - reported to the simulator; the other proxies continue
            traceback.print_exc(file=sys.stderr)
            text = " ".join(f"{type(error).__name__}: {error}".split())
            self.replies.append(f"fatal who={who} words={text}")


def main() -> int:
    """Run the adapter on the standard streams and return the exit code."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    if isinstance(sys.stdin, io.TextIOWrapper):
        sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    adapter = SimulatorAdapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (FieldError, ValueError) as error:
        shown = adapter.line[:MAX_LINE_SHOWN].encode("ascii", "backslashreplace").decode()
        print(f"service_proxy: {error} in line: {shown}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
