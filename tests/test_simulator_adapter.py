"""Tests of the simulator adapter with a hand-written transcript."""

from __future__ import annotations

import io
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from service_proxy import Balancer, SendPeerMessage, Settings
from service_proxy.settings import read_settings
from service_proxy.simulator_adapter import SimulatorAdapter, write_action

ROOT = Path(__file__).parent.parent
PARAMS = (
    "balancers=2 charges.probe=0.01 contract.cold=8.8 contract.cold_from=0.3 contract.drain_grace=0.5 "
    "contract.fall_multiple=3.0 contract.grace_to_answer=0.02 contract.must_ask_in=10.0 "
    "contract.overload_for=1.5 discovery=push grades.count=2 grades.0.deadline=3.0 "
    "grades.0.effect=repeatable grades.0.group=all grades.0.name=read grades.0.objective=1.2 "
    "grades.0.value=12.0 grades.0.window=5.0 grades.1.deadline=2.5 grades.1.effect=once "
    "grades.1.name=write grades.1.objective=1.0 grades.1.value=1.0 me={me} "
    "policy_limits.may_cancel=true policy_limits.may_duplicate=true policy_limits.probes=true "
    "policy_limits.send_cap=3 some.new.key=7 stage=0 tenants= zone=north"
)


def start_lines(who: int) -> str:
    return (
        f"new_instance who={who} entropy=77{who} {PARAMS.format(me=who)}\n"
        "manifest slot=0 nodes_list=2\n"
        "m backend=11 campus=north sku=std bay=0 state=SERVING power_hint=1\n"
        "m backend=12 campus=north sku=std bay=0 state=SERVING power_hint=1 boot_time=1.5 extra=1\n"
        f"membership who={who} stamp=1 slot=0 scope=SAVED\n"
    )


def later_steps(who: int) -> list[str]:
    return [
        f"ingress who={who} call=5{who} cls=read time_budget=1.5\n"
        f"ingress who={who} call=6{who} cls=write time_budget=1\n",
        f"wakeup who={who} key_back=1\n"
        f"pong who={who} backend=11 reason=0 cost_time=0.002 load=busy_reqs:3,pending:0\n",
        f"hangup who={who} call=5{who}\nmembership who={who} stamp=2 slot=0 scope=FAILED\n",
        f"unheard who={who} of=1\nstop who={who}\n",
    ]


def transcript(*proxies: int) -> str:
    steps = ["", "".join(start_lines(who) for who in proxies)]
    steps += ["".join(later_steps(who)[n] for who in proxies) for n in range(4)]
    return "".join(
        f"tick clock={100 + 0.1 * n:.6f} seq={n}\n{step}your_turn\n" for n, step in enumerate(steps)
    )


def run_in_process(text: str) -> str:
    sink = io.StringIO()
    SimulatorAdapter(io.StringIO(text), sink).run()
    return sink.getvalue()


def run_process(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "service_proxy.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )


def test_adapter_answers_a_transcript() -> None:
    reply = run_in_process(transcript(0)).splitlines()
    assert [line for line in reply if line.startswith("eor")] == [f"eor seq={n}" for n in range(6)]
    first = reply[reply.index("eor seq=1") + 1 : reply.index("eor seq=2")]
    assert {line for line in first if line.startswith("poll")} <= {
        "poll who=0 backend=11",
        "poll who=0 backend=12",
    }
    first = [line for line in first if not line.startswith("poll")]
    assert [line.split(" ")[0:3] for line in first] == [
        ["try", "who=0", "call=50"],
        ["try", "who=0", "call=60"],
    ]
    assert {line.split(" ")[3] for line in first} == {"backend=11", "backend=12"} or all(
        "backend=11" in line for line in first
    )
    assert any(line.startswith("recall who=0 call=50 shot=0") for line in reply)
    assert not any(line.startswith("fatal") for line in reply)


def test_output_depends_neither_on_the_hash_seed_nor_on_other_proxies() -> None:
    completed = run_process(transcript(0, 1), "1")
    assert completed.returncode == 0 and completed.stderr == ""
    assert completed.stdout == run_process(transcript(0, 1), "2").stdout == run_in_process(transcript(0, 1))
    lines = completed.stdout.splitlines()
    for who in (0, 1):
        lines_of_proxy = [line for line in lines if f" who={who}" in line]
        lines_alone = [line for line in run_in_process(transcript(who)).splitlines() if " who=" in line]
        assert lines_of_proxy == lines_alone and lines_of_proxy


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("ingress who=0 cls=read time_budget=1", "call"),
        ("ingress who=0 call=x cls=read time_budget=1", "call"),
        ("ingress who=0 call=1 cls=read time_budget=nan", "time_budget"),
        ("ingress who=0 call=1 cls=read", "time_budget"),
        ("settled who=0 call=50 cost_time=1 backend=1 reason=0", "shot"),
        ("settled who=0 call=50 cost_time=1 backend=1 reason=0 shot=0 final=maybe", "final"),
        ("pong who=0 backend=1 reason=0 cost_time=1 load=busy_reqs", "load"),
        ("membership who=0 stamp=1 slot=9 scope=FULL", "slot"),
        ("membership who=0 stamp=1 slot=0 scope=SOME", "scope"),
        ("hangup who=0 call", "name=value"),
        ("pong who=0 backend=11 reason=0 cost_time=1 load=busy_reqs:nan", "load"),
        ("pong who=0 backend=11 reason=9 cost_time=1", "reason"),
        ("settled who=0 call=50 cost_time=inf backend=1 reason=0 shot=0", "cost_time"),
        ("ingress who=0 call=1 cls=read time_budget=1 resent=perhaps", "resent"),
        ("m backend=13 state=SERVING", "event"),
        ("manifest slot=0 nodes_list=-1", "nodes_list"),
    ],
)
def test_malformed_line_ends_with_status_2(line: str, field: str) -> None:
    completed = run_process(f"tick clock=1 seq=0\n{start_lines(0)}{line}\nyour_turn\n")
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 1 and field in completed.stderr and line in completed.stderr


def test_truncated_batches_end_with_status_2_and_end_of_input_with_0() -> None:
    assert run_process("").returncode == 0
    assert run_process(transcript(0)).returncode == 0
    for text in (
        "tick clock=1 seq=0\n",
        "tick clock=1 seq=0\nmanifest slot=0 nodes_list=2\nm backend=1 state=SERVING\n",
        "tick clock=1 seq=0\nyour_t",
        "wakeup who=0 key_back=1\n",
    ):
        completed = run_process(text)
        assert completed.returncode == 2 and len(completed.stderr.splitlines()) == 1


def pairs(text: str) -> dict[str, str]:
    return dict(part.split("=", 1) for part in text.format(me=0).split(" "))


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("balancers", "0"),
        ("grades.count", "0"),
        ("grades.0.objective", "-1"),
        ("grades.0.effect", "twice"),
        ("contract.cold_from", "0"),
        ("policy_limits.send_cap", "0"),
        ("discovery", "guess"),
        ("me", "x"),
        ("grades.1.deadline", None),
        ("policy_limits.probes", None),
        ("contract.fall_multiple", None),
        ("worth_by", "weight"),
        ("report.via", "pigeon"),
        ("weights", "guessed"),
        ("policy_limits.streams_per_conn", "0"),
        ("policy_limits.connect_timeout", "-1"),
        ("stage", "1.5"),
    ],
)
def test_invalid_settings_are_reported_by_their_key(key: str, value: str | None) -> None:
    params = pairs(PARAMS)
    if value is None:
        del params[key]
    else:
        params[key] = value
    named = key.removesuffix(".count")
    with pytest.raises(ValueError, match=rf"^setting {re.escape(named)} is .*write "):
        read_settings(params)


def test_exception_in_the_policy_is_reported_as_fatal(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("two\nlines")

    monkeypatch.setattr(Balancer, "handle", broken)
    reply = run_in_process(transcript(0))
    assert "fatal who=0 words=RuntimeError: two lines" in reply.splitlines()
    assert "Traceback" in capsys.readouterr().err


def test_attempt_status_numbers_are_those_of_the_wire() -> None:
    from service_proxy import AttemptStatus

    assert [status.name for status in AttemptStatus] == [
        "OK",
        "ERROR",
        "REJECTED",
        "TIMEOUT",
        "CONNECT_FAILED",
        "RESET",
        "CANCELLED",
        "NOT_SENT",
    ]


def test_settings_of_the_wire_are_translated() -> None:
    settings = read_settings(
        pairs(
            PARAMS
            + " stages=front,back dcs=north,south kinds=std quantum=0.005 report.names=busy_reqs,odd,svc_ms"
            " report.via=inline weights=rough worth_by=work policy_limits.peers=true"
            " policy_limits.most_held=9"
            " policy_limits.connect_timeout=0.15 policy_limits.streams_per_conn=100 charges.waste=0.04"
            " charges.late_fail=0.05 objective_mix.worst_class=0.2 callers.marks_retry=true"
            " policy_limits.cpu_us_per_s=2000000"
        )
    )
    assert isinstance(settings, Settings)
    assert (settings.tier_count, settings.zones, settings.endpoint_types, settings.quantum) == (
        2,
        ("north", "south"),
        ("std",),
        0.005,
    )
    assert (settings.load_report_fields, settings.load_report_source, settings.weight_meaning) == (
        ("busy_reqs", "svc_ms"),
        "answer",
        "rough",
    )
    assert (
        settings.weight_by_work
        and settings.can_message_peers
        and settings.clients_flag_retries
        and settings.max_open_requests == 9
    )
    assert (settings.connect_timeout, settings.requests_per_connection, settings.cpu_per_s) == (
        0.15,
        100,
        2.0,
    )
    assert (settings.price_waste, settings.price_late_fail, settings.goal_class) == (0.04, 0.05, 0.2)
    defaults = read_settings(pairs(PARAMS))
    assert (
        defaults.load_report_source,
        defaults.weight_meaning,
        defaults.can_message_peers,
        defaults.connect_timeout,
    ) == (
        "probe",
        "nominal",
        False,
        0.25,
    )


def test_messages_to_peers_are_written_as_hex() -> None:
    assert write_action("3", SendPeerMessage(b"hi", 2)) == "broadcast_to who=3 dst=2 data=6869"
    assert write_action("3", SendPeerMessage(b"")) == "broadcast_to who=3 dst=all data=-"


def test_input_that_is_not_utf8_ends_with_status_2() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "service_proxy.simulator_adapter"],
        input=b"tick clock=1 seq=0\n\xff\xfe=1\nm\n",
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert completed.returncode == 2 and completed.stdout == b"" and len(completed.stderr.splitlines()) == 1
