"""The adapter over a hand-written transcript."""

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


def start(who: int) -> str:
    return (
        f"new_instance who={who} entropy=77{who} {PARAMS.format(me=who)}\n"
        "manifest slot=0 nodes_list=2\n"
        "m backend=11 campus=north sku=std bay=0 state=SERVING power_hint=1\n"
        "m backend=12 campus=north sku=std bay=0 state=SERVING power_hint=1 boot_time=1.5 extra=1\n"
        f"membership who={who} stamp=1 slot=0 scope=SAVED\n"
    )


def later(who: int) -> list[str]:
    return [
        f"ingress who={who} call=5{who} cls=read time_budget=1.5\n"
        f"ingress who={who} call=6{who} cls=write time_budget=1\n",
        f"wakeup who={who} key_back=1\n"
        f"pong who={who} backend=11 reason=0 cost_time=0.002 load=busy_reqs:3,pending:0\n",
        f"hangup who={who} call=5{who}\nmembership who={who} stamp=2 slot=0 scope=FAILED\n",
        f"unheard who={who} of=1\nstop who={who}\n",
    ]


def transcript(*instances: int) -> str:
    steps = ["", "".join(start(who) for who in instances)]
    steps += ["".join(later(who)[n] for who in instances) for n in range(4)]
    return "".join(
        f"tick clock={100 + 0.1 * n:.6f} seq={n}\n{step}your_turn\n" for n, step in enumerate(steps)
    )


def play(text: str) -> str:
    sink = io.StringIO()
    SimulatorAdapter(io.StringIO(text), sink).run()
    return sink.getvalue()


def run(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "service_proxy.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )


def test_transcript() -> None:
    reply = play(transcript(0)).splitlines()
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


def test_same_bytes_under_other_hash_seeds_and_spreads() -> None:
    together = run(transcript(0, 1), "1")
    assert together.returncode == 0 and together.stderr == ""
    assert together.stdout == run(transcript(0, 1), "2").stdout == play(transcript(0, 1))
    lines = together.stdout.splitlines()
    for who in (0, 1):
        mine = [line for line in lines if f" who={who}" in line]
        alone = [line for line in play(transcript(who)).splitlines() if " who=" in line]
        assert mine == alone and mine


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
    done = run(f"tick clock=1 seq=0\n{start(0)}{line}\nyour_turn\n")
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1 and field in done.stderr and line in done.stderr


def test_cut_batches_and_end_of_input() -> None:
    assert run("").returncode == 0
    assert run(transcript(0)).returncode == 0
    for text in (
        "tick clock=1 seq=0\n",
        "tick clock=1 seq=0\nmanifest slot=0 nodes_list=2\nm backend=1 state=SERVING\n",
        "tick clock=1 seq=0\nyour_t",
        "wakeup who=0 key_back=1\n",
    ):
        done = run(text)
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1


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
def test_bad_settings_name_the_key(key: str, value: str | None) -> None:
    params = pairs(PARAMS)
    if value is None:
        del params[key]
    else:
        params[key] = value
    named = key.removesuffix(".count")
    with pytest.raises(ValueError, match=rf"^setting {re.escape(named)} is .*write "):
        read_settings(params)


def test_fault_in_the_module_becomes_fatal(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("two\nlines")

    monkeypatch.setattr(Balancer, "handle", broken)
    reply = play(transcript(0))
    assert "fatal who=0 words=RuntimeError: two lines" in reply.splitlines()
    assert "Traceback" in capsys.readouterr().err


def test_status_numbers_are_the_wire_s() -> None:
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


def test_settings_of_the_wire_page() -> None:
    shown = read_settings(
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
    assert isinstance(shown, Settings)
    assert (shown.tier_count, shown.zones, shown.endpoint_types, shown.quantum) == (
        2,
        ("north", "south"),
        ("std",),
        0.005,
    )
    assert (shown.load_report_fields, shown.load_report_source, shown.weight_meaning) == (
        ("busy_reqs", "svc_ms"),
        "answer",
        "rough",
    )
    assert (
        shown.weight_by_work
        and shown.can_message_peers
        and shown.clients_flag_retries
        and shown.max_open_requests == 9
    )
    assert (shown.connect_timeout, shown.requests_per_connection, shown.cpu_per_s) == (0.15, 100, 2.0)
    assert (shown.price_waste, shown.price_late_fail, shown.goal_class) == (0.04, 0.05, 0.2)
    plain = read_settings(pairs(PARAMS))
    assert (
        plain.load_report_source,
        plain.weight_meaning,
        plain.can_message_peers,
        plain.connect_timeout,
    ) == (
        "probe",
        "nominal",
        False,
        0.25,
    )


def test_messages_to_peers() -> None:
    assert write_action("3", SendPeerMessage(b"hi", 2)) == "broadcast_to who=3 dst=2 data=6869"
    assert write_action("3", SendPeerMessage(b"")) == "broadcast_to who=3 dst=all data=-"


def test_input_that_is_not_utf8_ends_with_status_2() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "service_proxy.simulator_adapter"],
        input=b"tick clock=1 seq=0\n\xff\xfe=1\nm\n",
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == b"" and len(done.stderr.splitlines()) == 1
