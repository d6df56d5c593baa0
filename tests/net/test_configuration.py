"""Arbitrary settings: the proxy starts and keeps the rules with any names and values of its settings.

The names are those of classes, tenants and limits. The code of the proxy contains no name of a deployment.
"""

from __future__ import annotations

import asyncio
import copy
import re
import tomllib
from random import Random
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from net_harness import (
    ROOT,
    TEST_TIMEOUT_S,
    Client,
    EndpointServer,
    ReceivedRequest,
    config,
    endpoint_list,
    proxy_under_test,
    read_message,
    response,
    run_async,
)

from harness.clients import CLASS_SETTINGS
from harness.recorder import Idempotency, ReceivedAnswer, Recorder, Rules, SentRequest
from service_proxy.net.config import parse_config
from service_proxy.policy.actions import Fail, Reject, StartAttempt
from service_proxy.policy.balancer import Balancer
from service_proxy.policy.events import Event, RequestArrived

NAMES = st.text("abcXYZ019-_.~", min_size=1, max_size=12).filter(lambda name: name not in (".", ".."))
DURATIONS = st.floats(0.05, 8.0)


@st.composite
def whole_settings(draw: Any) -> dict[str, Any]:
    """Draw settings in the platform's documented form, with random optional keys and with unknown keys."""
    zones = draw(st.lists(NAMES, max_size=4, unique=True))
    grades = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True)):
        deadline = draw(DURATIONS)
        grade = {
            "name": name,
            "value": draw(st.floats(0, 50)),
            "deadline": deadline,
            "unheard": {"of": [1]},
            "objective": deadline * draw(st.floats(0.2, 1.0)),
            "effect": draw(st.sampled_from(["repeatable", "by_key", "once"])),
        }
        if draw(st.booleans()):
            grade |= {"group": draw(st.sampled_from(["all", "zone", "cell"])), "window": draw(DURATIONS)}
        if draw(st.booleans()):
            grade["late_worth"] = draw(st.floats(0, 1))
        grades.append(grade)
    raw: dict[str, Any] = {
        "balancers": draw(st.integers(1, 200)),
        "me": 0,
        "grades": grades,
        "new_key": [1, {"deep": None}],
        "discovery": draw(st.sampled_from(["push", "ask"])),
        "dcs": zones,
        "zone": (zones or ["nowhere"])[0],
        "policy_limits": {
            "send_cap": draw(st.integers(1, 6)),
            "may_duplicate": draw(st.booleans()),
            "may_cancel": draw(st.booleans()),
            "probes": draw(st.booleans()),
        },
        "contract": {
            "grace_to_answer": 0.02,
            "drain_grace": draw(st.floats(0, 3)),
            "cold_from": draw(st.floats(0.05, 1)),
            "cold": draw(st.floats(0, 30)),
            "fall_multiple": draw(st.floats(1.1, 5)),
            "overload_for": draw(st.floats(0.5, 5)),
        },
    }
    if draw(st.booleans()):
        names = draw(st.lists(NAMES, max_size=5, unique=True))
        raw["tenants"] = [{"name": name, "quota_rps": draw(st.floats(0.1, 100))} for name in names]
    if draw(st.booleans()):
        raw |= {"stage": draw(st.integers(0, 2)), "stages": ["x", "y", "z"], "quantum": 0.005}
    if draw(st.booleans()):
        raw["report"] = {"names": ["busy_reqs"], "via": draw(st.sampled_from(["inline", "on_probe", "off"]))}
    return raw


def raw_of(settings: dict[str, Any], discovery: str = "127.0.0.1:1") -> dict[str, Any]:
    return {**config(discovery, endpoint_list(1), "127.0.0.1:0"), "settings": settings}


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(settings=whole_settings())
def test_any_valid_settings_are_read_and_each_request_is_answered_once(settings: dict[str, Any]) -> None:
    read = parse_config(raw_of(settings), {}).settings
    assert [cls.name for cls in read.classes] == [grade["name"] for grade in settings["grades"]]
    balancer = Balancer(read, 1)
    balancer.handle(1.0, [])
    tenants = [tenant.name for tenant in read.tenants] or [""]
    arrivals: list[Event] = [
        RequestArrived(number, cls.name, cls.deadline, tenant=tenants[number % len(tenants)])
        for number, cls in enumerate(read.classes)
    ]
    answered = set()
    for step in range(200):  # Steps of 50 ms exceed the longest deadline; no endpoint is listed.
        for action in balancer.handle(1.0 + step * 0.05, arrivals if step == 0 else []):
            assert not isinstance(action, StartAttempt)
            if isinstance(action, Reject | Fail):
                assert action.request_id not in answered
                answered.add(action.request_id)
    assert answered == set(range(len(arrivals)))


def is_fleet_wide(grade: dict[str, Any]) -> bool:
    return bool(grade["effect"] == "by_key" and grade["group"] == "all")


def draw_deployment(seed: int) -> dict[str, Any]:
    """Return random settings with each kind of idempotency, unusual names and short deadlines."""
    random = Random(seed)
    raw: dict[str, Any] = copy.deepcopy(raw_of({})["settings"])
    effects = ["repeatable", "by_key", "once"]
    raw["grades"] = [
        {
            "name": f"c{number}.{random.randrange(999)}~x",
            "value": random.uniform(0.1, 9),
            "deadline": (deadline := random.uniform(0.25, 1.5)),
            "objective": deadline * random.uniform(0.4, 1),
            "effect": effects[number % 3],
            "group": random.choice(["all", "zone", "cell"]),
            "window": random.uniform(0.2, 3),
        }
        for number in range(random.randint(3, 6))
    ]
    raw["discovery"] = random.choice(["push", "ask"])
    raw["tenants"] = [{"name": f"t-{n}", "quota_rps": 5.0} for n in range(random.randint(0, 4))]
    raw["policy_limits"] = {
        "send_cap": random.randint(1, 5),
        "may_duplicate": random.random() < 0.5,
        "may_cancel": random.random() < 0.5,
        "probes": False,
    }
    raw["contract"] = {
        "grace_to_answer": 0.02,
        "drain_grace": random.choice([0.2, 0.5, 2.0]),
        "cold_from": 0.2,
        "cold": 8.0,
        "fall_multiple": 2.5,
        "overload_for": 2.0,
    }
    return raw


@pytest.mark.parametrize("seed", range(6))
def test_the_proxy_keeps_the_rules_with_random_settings(seed: int) -> None:
    """Endpoints succeed, fail, reject, reset and hang; clients send concurrently, and some disconnect."""

    async def test() -> None:
        settings = draw_deployment(seed)
        recorder = Recorder()
        loop = asyncio.get_running_loop()
        random = Random(seed)

        def respond(name: str) -> Any:
            async def respond_at_random(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                key = received.headers.get("idempotency-key", "")
                entry = recorder.attempt(received.headers["x-call-id"], name, "a", loop.time(), key=key)
                entry.last_byte_at = loop.time()
                kind = random.choice(["ok", "ok", "ok", "error", "full", "reset", "hang"])
                if kind == "full":
                    entry.rejected = True
                    writer.write(response(503, X_Rejected="1"))
                elif kind != "hang":
                    entry.executed, entry.executed_at = True, loop.time()
                    if kind == "reset":
                        writer.transport.abort()
                    else:
                        writer.write(response(200 if kind == "ok" else 500, b"done"))
                # Also recorded for a hanging attempt; this test does not check the duration of an attempt.
                entry.ended_at = loop.time()

            return respond_at_random

        async def send_request(proxy: Any, number: int) -> None:
            grade = settings["grades"][number % len(settings["grades"])]
            client: Client = await proxy.connect()
            id = f"{number:016x}"
            disconnects = number % 7 == 6
            get = grade["effect"] == "repeatable"
            key = f"Idempotency-Key: k{id}\r\n" if grade["effect"] == "by_key" else ""
            budget = grade["deadline"]
            head = f"{'GET' if get else 'POST'} /{grade['name']} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\n"
            length = "" if get else "Content-Length: 0\r\n"
            client.writer.write(f"{head}X-Budget: {budget * 1000:.0f}m\r\n{key}{length}\r\n".encode())
            sent_at = loop.time()
            recorder.requests.append(
                SentRequest(id, grade["name"], sent_at, sent_at + budget, key=key and f"k{id}")
            )
            if disconnects:
                client.writer.close()
                recorder.excused_requests.add(id)  # A disconnected client receives no answer.
                return
            async with asyncio.timeout(TEST_TIMEOUT_S):
                line, _, _ = await read_message(client.reader)
            recorder.answers.append(ReceivedAnswer(id, loop.time(), int(line.split(" ")[1])))
            client.writer.close()

        async def send_every_sixth_request(proxy: Any, first: int) -> None:
            for number in range(first, 120, 6):
                await send_request(proxy, number)

        endpoints = {f"s-{n}": EndpointServer(respond(f"s-{n}")) for n in range(4)}
        overrides = {
            key: settings[key] for key in ("discovery", "grades", "tenants", "policy_limits", "contract")
        }
        async with proxy_under_test(endpoints, **overrides) as proxy:
            await asyncio.gather(*(send_every_sixth_request(proxy, first) for first in range(6)))
        idempotency_by_class = {
            g["name"]: Idempotency(g["effect"], g["window"], is_fleet_wide(g)) for g in settings["grades"]
        }
        # A busy machine delays the observation of an answer and of a retry, but not their existence.
        violations = [
            v for v in recorder.audit(idempotency_by_class, Rules(slack=TEST_TIMEOUT_S)) if v.rule == 1
        ]
        violations += [v for v in recorder.audit(idempotency_by_class, Rules(slack=0.5)) if v.rule == 2]
        assert len(recorder.answers) + len(recorder.excused_requests) == 120 and len(recorder.attempts) >= 20
        assert not violations, [str(violation) for violation in violations]

    run_async(test())


SEARCHED_PATHS = [ROOT / "service_proxy", ROOT / "deploy" / "balancer.toml"]


def deployment_names() -> set[str]:
    """Return the names of classes, tenants, zones and tiers of all known deployments."""
    names = {str(grade["name"]) for grade in CLASS_SETTINGS} | {"sala", "salas", "sala-a", "portal", "nucleo"}
    for path in sorted((ROOT / "deploy" / "sites").glob("*.toml")):
        site = tomllib.loads(path.read_text(encoding="utf-8"))
        names |= {site["name"], *site["net"]["zones"]}
        for key in ("class", "tenant", "tier"):
            names |= {item["name"] for item in site.get(key, ())}
    # General words of this field, which the code may contain.
    return names - {
        "gate",
        "north",
        "east",
        "south",
        "annex",
        "ledger",
        "desk",
        "lab",
        "rail",
        "yard",
        "records",
    }


def found_names(text: str, names: set[str]) -> set[str]:
    return {
        name for name in names if re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text, re.IGNORECASE)
    }


def test_the_code_contains_no_name_of_a_deployment() -> None:
    names = deployment_names()
    assert {"stock", "weighing", "ping7", "quay", "cardio", "ward-desk"} <= names
    files = [
        path for root in SEARCHED_PATHS for path in ([root] if root.is_file() else sorted(root.rglob("*.py")))
    ]
    assert len(files) > 50
    found = {str(path.relative_to(ROOT)): found_names(path.read_text("utf-8"), names) for path in files}
    assert not {path: matches for path, matches in found.items() if matches}


def test_the_search_finds_whole_names_in_any_case() -> None:
    assert found_names('if cls == "Weighing":', {"weighing"}) == {"weighing"}
    assert not found_names("outweighing", {"weighing"})


INVALID_SETTINGS = {
    "an empty name": (("grades", 0, "name"), "", "grades.0.name is empty: ''; write the first part of"),
    "a name that is an object": (("grades", 0, "name"), {"a": 1}, "grades.0.name is an object"),
    "no deadline": (("grades", 1, "deadline"), None, "grades.1.deadline is missing: write a number"),
    "a deadline of 0": (
        ("grades", 1, "deadline"),
        0,
        "setting grades.1.deadline is out of range: 0.0; write more than 0",
    ),
    "a negative objective": (
        ("grades", 1, "objective"),
        -1,
        "setting grades.1.objective is out of range: -1.0; write more than 0",
    ),
    "a value of NaN": (("grades", 1, "value"), float("nan"), "value is not finite: 'nan'; write a number"),
    "a value in words": (("grades", 1, "value"), "much", "value is not a number: 'much'; write a number"),
    "an unknown effect": (("grades", 2, "effect"), "twice", "'twice'; write repeatable or by_key or once"),
    "classes that are not a list": (("grades",), "x", "grades is no list of objects: 'x'; write [{...}]"),
    "no classes": (("grades",), None, "grades is missing: write [{...}]"),
    "tenants that are not a list": (("tenants",), "x", "tenants is no list of objects: 'x'; write [{...}]"),
    "tenants as a list of names": (("tenants",), ["a", "b"], "tenants is no list of objects: 'a,b'"),
    "an empty object for a number": (("policy_limits", "conn_idle"), {}, "conn_idle is not a number: '{}'"),
    "an object for a number": (("policy_limits", "conn_idle"), {"s": 3}, "conn_idle is an object or"),
    "a list for a number": (("contract", "drain_grace"), [1, 2], "drain_grace is not a number: '1,2'"),
    "a fraction of an attempt": (("policy_limits", "send_cap"), 1.5, "send_cap is not a whole number: '1.5'"),
    "a boolean in words": (("policy_limits", "may_cancel"), "yes", "'yes'; write true or false"),
    "an unknown discovery mode": (("discovery",), "poll", "'poll'; write push or ask"),
}


@pytest.mark.parametrize(("path", "value", "said"), INVALID_SETTINGS.values(), ids=list(INVALID_SETTINGS))
def test_invalid_settings_are_rejected_with_the_key_and_the_expected_value(
    path: tuple[str | int, ...], value: object, said: str
) -> None:
    raw: Any = config("127.0.0.1:1", endpoint_list(1), "127.0.0.1:0")
    assert parse_config(raw, {})
    parent = raw["settings"]
    for key in path[:-1]:
        parent = parent[key]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    with pytest.raises(ValueError, match=re.escape(said)):
        parse_config(raw, {})


INVALID_FILE_VALUES = {
    "no address": ("listen", None, "listen (EDGE_LISTEN) can't be used: None; write host:port"),
    "an address without a port": ("discovery", "x", "(EDGE_DISCOVERY) can't be used: 'x'; write host:"),
    "a console that is not an address": ("console", 5, "(EDGE_CONSOLE) can't be used: 5; write host:port"),
    "a seed that is not hexadecimal": (
        "seed",
        "zz",
        "seed can't be used: 'zz'; write a whole number, or a text",
    ),
    "limits that are not an object": ("limits", "x", "limits can't be used; write an object of each"),
    "descriptors in words": ("limits", {"sockets": "many"}, "limits.sockets can't be used: 'many'; write"),
    "too few descriptors": ("limits", {"sockets": 8}, "limits.sockets is too small: 8; write 64 or more"),
    "no memory": ("limits", {"memory_mb": 0}, "limits.memory_mb is out of range: 0.0; write more than 0"),
    "memory of NaN": ("limits", {"memory_mb": float("nan")}, "limits.memory_mb is out of range: nan; write"),
    "forms that are not an object": ("forms", "x", "forms can't be used: 'x'; write {class: repeatable"),
    "an unknown form": ("forms", {"a": "b"}, "forms can't be used: {'a': 'b'}; write {class: repeatable"),
}


@pytest.mark.parametrize(
    ("key", "value", "said"), INVALID_FILE_VALUES.values(), ids=list(INVALID_FILE_VALUES)
)
def test_an_invalid_file_is_rejected_with_the_key_and_the_expected_value(
    key: str, value: object, said: str
) -> None:
    raw: Any = config("127.0.0.1:1", endpoint_list(1), "127.0.0.1:0")
    raw[key] = value
    with pytest.raises(ValueError, match=re.escape(said)):
        parse_config(raw, {})
