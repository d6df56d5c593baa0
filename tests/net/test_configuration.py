"""Settings of others: whatever the classes, tenants and limits are called and set to, the program starts and
keeps the rules; and no name of any deployment stands in it."""

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
from hypothesis import settings as checks
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
SPANS = st.floats(0.05, 8.0)


@st.composite
def whole_settings(draw: Any) -> dict[str, Any]:
    """As the platform's page has them; what may be left out is at times, and unknown keys come along."""
    zones = draw(st.lists(NAMES, max_size=4, unique=True))
    grades = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True)):
        deadline = draw(SPANS)
        grade = {
            "name": name,
            "value": draw(st.floats(0, 50)),
            "deadline": deadline,
            "unheard": {"of": [1]},
            "objective": deadline * draw(st.floats(0.2, 1.0)),
            "effect": draw(st.sampled_from(["repeatable", "by_key", "once"])),
        }
        if draw(st.booleans()):
            grade |= {"group": draw(st.sampled_from(["all", "zone", "cell"])), "window": draw(SPANS)}
        if draw(st.booleans()):
            grade["late_worth"] = draw(st.floats(0, 1))
        grades.append(grade)
    made: dict[str, Any] = {
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
        made["tenants"] = [{"name": name, "quota_rps": draw(st.floats(0.1, 100))} for name in names]
    if draw(st.booleans()):
        made |= {"stage": draw(st.integers(0, 2)), "stages": ["x", "y", "z"], "quantum": 0.005}
    if draw(st.booleans()):
        made["report"] = {"names": ["busy_reqs"], "via": draw(st.sampled_from(["inline", "on_probe", "off"]))}
    return made


def raw_of(settings: dict[str, Any], discovery: str = "127.0.0.1:1") -> dict[str, Any]:
    return {**config(discovery, endpoint_list(1), "127.0.0.1:0"), "settings": settings}


@checks(max_examples=150, deadline=None, derandomize=True)
@given(settings=whole_settings())
def test_any_settings_are_read_and_each_request_is_sent_or_answered(settings: dict[str, Any]) -> None:
    read = parse_config(raw_of(settings), {}).settings
    assert [cls.name for cls in read.classes] == [grade["name"] for grade in settings["grades"]]
    balancer = Balancer(read, 1)
    balancer.handle(1.0, [])
    tenants = [tenant.name for tenant in read.tenants] or [""]
    calls: list[Event] = [
        RequestArrived(number, cls.name, cls.deadline, tenant=tenants[number % len(tenants)])
        for number, cls in enumerate(read.classes)
    ]
    done = set()
    for step in range(200):  # of 50 ms, over the longest deadline; no server is listed
        for action in balancer.handle(1.0 + step * 0.05, calls if step == 0 else []):
            assert not isinstance(action, StartAttempt)
            if isinstance(action, Reject | Fail):
                assert action.request_id not in done
                done.add(action.request_id)
    assert done == set(range(len(calls)))


def everywhere(grade: dict[str, Any]) -> bool:
    return bool(grade["effect"] == "by_key" and grade["group"] == "all")


def drawn(seed: int) -> dict[str, Any]:
    """One deployment for the real program: every effect, names of no other, short deadlines."""
    chance = Random(seed)
    made: dict[str, Any] = copy.deepcopy(raw_of({})["settings"])
    effects = ["repeatable", "by_key", "once"]
    made["grades"] = [
        {
            "name": f"c{number}.{chance.randrange(999)}~x",
            "value": chance.uniform(0.1, 9),
            "deadline": (deadline := chance.uniform(0.25, 1.5)),
            "objective": deadline * chance.uniform(0.4, 1),
            "effect": effects[number % 3],
            "group": chance.choice(["all", "zone", "cell"]),
            "window": chance.uniform(0.2, 3),
        }
        for number in range(chance.randint(3, 6))
    ]
    made["discovery"] = chance.choice(["push", "ask"])
    made["tenants"] = [{"name": f"t-{n}", "quota_rps": 5.0} for n in range(chance.randint(0, 4))]
    made["policy_limits"] = {
        "send_cap": chance.randint(1, 5),
        "may_duplicate": chance.random() < 0.5,
        "may_cancel": chance.random() < 0.5,
        "probes": False,
    }
    made["contract"] = {
        "grace_to_answer": 0.02,
        "drain_grace": chance.choice([0.2, 0.5, 2.0]),
        "cold_from": 0.2,
        "cold": 8.0,
        "fall_multiple": 2.5,
        "overload_for": 2.0,
    }
    return made


@pytest.mark.parametrize("seed", range(6))
def test_the_real_program_keeps_the_rules_under_any_deployment(seed: int) -> None:
    """Endpoints serve, fail, turn away, reset and hang; clients come at once, and some leave."""

    async def test() -> None:
        settings = drawn(seed)
        ledger = Recorder()
        loop = asyncio.get_running_loop()
        chance = Random(seed)

        def respond(name: str) -> Any:
            async def behaves(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                key = received.headers.get("idempotency-key", "")
                entry = ledger.attempt(received.headers["x-call-id"], name, "a", loop.time(), key=key)
                entry.last_byte_at = loop.time()
                kind = chance.choice(["ok", "ok", "ok", "error", "full", "reset", "hang"])
                if kind == "full":
                    entry.rejected = True
                    writer.write(response(503, X_Rejected="1"))
                elif kind != "hang":
                    entry.executed, entry.executed_at = True, loop.time()
                    if kind == "reset":
                        writer.transport.abort()
                    else:
                        writer.write(response(200 if kind == "ok" else 500, b"done"))
                entry.ended_at = loop.time()  # of one that hangs, too: how long it is out is not told here

            return behaves

        async def calls(proxy: Any, number: int) -> None:
            grade = settings["grades"][number % len(settings["grades"])]
            client: Client = await proxy.connect()
            id = f"{number:016x}"
            leaves = number % 7 == 6
            get = grade["effect"] == "repeatable"
            key = f"Idempotency-Key: k{id}\r\n" if grade["effect"] == "by_key" else ""
            budget = grade["deadline"]
            head = f"{'GET' if get else 'POST'} /{grade['name']} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\n"
            length = "" if get else "Content-Length: 0\r\n"
            client.writer.write(f"{head}X-Budget: {budget * 1000:.0f}m\r\n{key}{length}\r\n".encode())
            begun = loop.time()
            ledger.requests.append(
                SentRequest(id, grade["name"], begun, begun + budget, key=key and f"k{id}")
            )
            if leaves:
                client.writer.close()
                ledger.excused_requests.add(id)  # nobody is there to be answered
                return
            async with asyncio.timeout(TEST_TIMEOUT_S):
                line, _, _ = await read_message(client.reader)
            ledger.answers.append(ReceivedAnswer(id, loop.time(), int(line.split(" ")[1])))
            client.writer.close()

        async def lane(proxy: Any, first: int) -> None:
            for number in range(first, 120, 6):
                await calls(proxy, number)

        endpoints = {f"s-{n}": EndpointServer(respond(f"s-{n}")) for n in range(4)}
        own = {key: settings[key] for key in ("discovery", "grades", "tenants", "policy_limits", "contract")}
        async with proxy_under_test(endpoints, **own) as proxy:
            await asyncio.gather(*(lane(proxy, first) for first in range(6)))
        effects = {
            g["name"]: Idempotency(g["effect"], g["window"], everywhere(g)) for g in settings["grades"]
        }
        # A busy machine delays what is seen of an answer, and that of a resend; not that there is one.
        found = [v for v in ledger.audit(effects, Rules(slack=TEST_TIMEOUT_S)) if v.rule == 1]
        found += [v for v in ledger.audit(effects, Rules(slack=0.5)) if v.rule == 2]
        assert len(ledger.answers) + len(ledger.excused_requests) == 120 and len(ledger.attempts) >= 20
        assert not found, [str(violation) for violation in found]

    run_async(test())


ROOTS = [ROOT / "service_proxy", ROOT / "deploy" / "balancer.toml"]


def deployment_names() -> set[str]:
    """Of classes, tenants, zones and tiers of the deployments that are known here."""
    names = {str(grade["name"]) for grade in CLASS_SETTINGS} | {"sala", "salas", "sala-a", "portal", "nucleo"}
    for path in sorted((ROOT / "deploy" / "sites").glob("*.toml")):
        site = tomllib.loads(path.read_text(encoding="utf-8"))
        names |= {site["name"], *site["net"]["zones"]}
        for key in ("class", "tenant", "tier"):
            names |= {item["name"] for item in site.get(key, ())}
    # Words that stand for themselves in a program of this kind.
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


def test_no_name_of_a_deployment_stands_in_the_program() -> None:
    names = deployment_names()
    assert {"stock", "weighing", "ping7", "quay", "cardio", "ward-desk"} <= names
    files = [path for root in ROOTS for path in ([root] if root.is_file() else sorted(root.rglob("*.py")))]
    assert len(files) > 50
    found = {str(path.relative_to(ROOT)): found_names(path.read_text("utf-8"), names) for path in files}
    assert not {path: those for path, those in found.items() if those}


def test_the_search_for_names_finds_one() -> None:
    assert found_names('if cls == "Weighing":', {"weighing"}) == {"weighing"}
    assert not found_names("outweighing", {"weighing"})


WRONG = {
    "an empty name": (("grades", 0, "name"), "", "grades.0.name is empty: ''; write the first part of"),
    "a name that is an object": (("grades", 0, "name"), {"a": 1}, "grades.0.name is an object"),
    "no deadline": (("grades", 1, "deadline"), None, "grades.1.deadline is missing: write a number"),
    "a deadline of 0": (
        ("grades", 1, "deadline"),
        0,
        "setting grades.1.deadline is out of range: 0.0; write more than 0",
    ),
    "an aim below 0": (
        ("grades", 1, "objective"),
        -1,
        "setting grades.1.objective is out of range: -1.0; write more than 0",
    ),
    "a worth of NaN": (("grades", 1, "value"), float("nan"), "value is not finite: 'nan'; write a number"),
    "a worth in words": (("grades", 1, "value"), "much", "value is not a number: 'much'; write a number"),
    "an effect of its own": (("grades", 2, "effect"), "twice", "'twice'; write repeatable or by_key or once"),
    "classes that are no list": (("grades",), "x", "grades is no list of objects: 'x'; write [{...}]"),
    "no classes": (("grades",), None, "grades is missing: write [{...}]"),
    "tenants that are no list": (("tenants",), "x", "tenants is no list of objects: 'x'; write [{...}]"),
    "tenants by their names alone": (("tenants",), ["a", "b"], "tenants is no list of objects: 'a,b'"),
    "an empty object for a figure": (("policy_limits", "conn_idle"), {}, "conn_idle is not a number: '{}'"),
    "an object for a figure": (("policy_limits", "conn_idle"), {"s": 3}, "conn_idle is an object or"),
    "a list for a figure": (("contract", "drain_grace"), [1, 2], "drain_grace is not a number: '1,2'"),
    "half an attempt": (("policy_limits", "send_cap"), 1.5, "send_cap is not a whole number: '1.5'"),
    "a truth in words": (("policy_limits", "may_cancel"), "yes", "'yes'; write true or false"),
    "a discovery of its own": (("discovery",), "poll", "'poll'; write push or ask"),
}


@pytest.mark.parametrize(("path", "value", "said"), WRONG.values(), ids=list(WRONG))
def test_invalid_settings_are_rejected_with_the_key_and_what_to_write(
    path: tuple[str | int, ...], value: object, said: str
) -> None:
    made: Any = config("127.0.0.1:1", endpoint_list(1), "127.0.0.1:0")
    assert parse_config(made, {})
    place = made["settings"]
    for key in path[:-1]:
        place = place[key]
    if value is None:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    with pytest.raises(ValueError, match=re.escape(said)):
        parse_config(made, {})


OUTSIDE = {
    "no address": ("listen", None, "listen (EDGE_LISTEN) can't be used: None; write host:port"),
    "an address without a port": ("discovery", "x", "(EDGE_DISCOVERY) can't be used: 'x'; write host:"),
    "a console that is no address": ("console", 5, "(EDGE_CONSOLE) can't be used: 5; write host:port"),
    "a seed of other letters": ("seed", "zz", "seed can't be used: 'zz'; write a whole number, or a text"),
    "limits that are no object": ("limits", "x", "limits can't be used; write an object of each"),
    "descriptors in words": ("limits", {"sockets": "many"}, "limits.sockets can't be used: 'many'; write"),
    "too few descriptors": ("limits", {"sockets": 8}, "limits.sockets is too small: 8; write 64 or more"),
    "no memory": ("limits", {"memory_mb": 0}, "limits.memory_mb is out of range: 0.0; write more than 0"),
    "memory of NaN": ("limits", {"memory_mb": float("nan")}, "limits.memory_mb is out of range: nan; write"),
    "forms that are no object": ("forms", "x", "forms can't be used: 'x'; write {class: repeatable"),
    "a form of its own": ("forms", {"a": "b"}, "forms can't be used: {'a': 'b'}; write {class: repeatable"),
}


@pytest.mark.parametrize(("key", "value", "said"), OUTSIDE.values(), ids=list(OUTSIDE))
def test_an_invalid_file_is_rejected_with_the_key_and_what_to_write(
    key: str, value: object, said: str
) -> None:
    made: Any = config("127.0.0.1:1", endpoint_list(1), "127.0.0.1:0")
    made[key] = value
    with pytest.raises(ValueError, match=re.escape(said)):
        parse_config(made, {})
