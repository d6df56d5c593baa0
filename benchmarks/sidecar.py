"""Proof of the sidecar: mutations that break a rule by construction, harmless edits, a large fleet; then two
tiers and four applications, each of which is restarted under traffic, and each sidecar too.

    python -m benchmarks.sidecar [--short] [--seed N] [--json FILE]

A mutation changes one value of a good description so that one of the four rules is broken: what the values
are before and after tells so, not the checker. None may slip through. A harmless edit (comments, order,
spacing) changes nothing that counts; none may be refused. Then a fleet of 37 sidecars before 87 nodes is
checked. The restarts are of real processes (`sidecar run`); an application dies without a word and comes back
cold, a sidecar gets SIGTERM and ends by itself. Every taken call must get its one answer, by the ledger.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import resource
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

from benchmarks.report import BenchmarkReport, run_benchmark
from harness.clients import GIVE_UP_MARGIN_S
from harness.deployment import EDGE_PROXY_NAME, running_deployment
from harness.event_loop import until
from harness.stub_endpoint import StubEndpoint
from service_proxy.sidecar.checking import check
from service_proxy.sidecar.description import load
from service_proxy.sidecar.model import Description

CORPUS = Path(__file__).parent.parent / "tests" / "corpus" / "good"
MUTATIONS = 2000
MUTATIONS_SHORT = 150
EDITS = 500
EDITS_SHORT = 50
SIDECARS = 37
NODES = 87
EXAMPLE = Path(__file__).parent.parent / "deploy" / "application.toml"
# calls a second
RATE = 120.0
RATE_SHORT = 60.0
ROUNDS = 5
# s for which an application is down
AWAY = 2.0
AWAY_SHORT = 0.5
SETTLE = 1.0  # s of traffic before and after
LONGEST = 600.0  # s of it at the most
LEAST_SERVED = 0.9  # of all calls: one of two servers of a tier is away for most of the time

Mutation = Callable[[str, Description, Random], str | None]


def table(text: str, header: str) -> tuple[int, int] | None:
    """Where the table's lines begin and end."""
    found = re.search(rf"^\[{re.escape(header)}\][^\n]*\n", text, re.M)
    if found is None:
        return None
    following = re.search(r"^\[", text[found.end() :], re.M)
    return found.end(), found.end() + following.start() if following else len(text)


def put(text: str, header: str, key: str, value: str) -> str | None:
    """The table with this key at this value, in place of the one it has; with the table, where there is
    none.
    """
    where = table(text, header)
    if where is None:
        return f"{text.rstrip()}\n\n[{header}]\n{key} = {value}\n" if header.startswith("route.") else None
    begin, end = where
    body = re.sub(rf"^\s*{key}\s*=.*\n?", "", text[begin:end], flags=re.M)
    return f"{text[:begin]}{key} = {value}\n{body}{text[end:]}"


def once_is_retried(text: str, d: Description, random: Random) -> str | None:
    """Rule 2: an unsafe class is sent again after it may have run."""
    name = random.choice([name for name, cls in d.classes.items() if cls.effect == "once"])
    if d.routes[name].attempts < 2:
        return None
    if random.random() < 0.5:
        return put(text, f"route.{name}", "retry", '"always"')
    changed = put(text, f"route.{name}", "retry", '"by-key"')
    return changed and put(changed, f"route.{name}", "retry_for", f'"{random.randint(1, 9000)}ms"')


def hedged(text: str, d: Description, random: Random) -> str | None:
    """Rule 2: two attempts out at once."""
    name = random.choice(list(d.classes))
    return put(text, f"route.{name}", "hedge", "true") if d.routes[name].attempts > 1 else None


def key_leaves_its_group(text: str, d: Description, random: Random) -> str | None:
    """Rule 2: a keyed class is sent to servers that don't know its key."""
    for name, cls in d.classes.items():
        wider = {"cell": ["zone", "all"], "zone": ["all"], "all": []}[cls.group]
        if cls.effect == "by-key" and d.routes[name].retry == "by-key" and wider:
            return put(text, f"route.{name}", "retry_within", f'"{random.choice(wider)}"')
    return None


def key_is_forgotten(text: str, d: Description, random: Random) -> str | None:
    """Rule 2: a keyed class is sent again later than its key is known."""
    for name, cls in d.classes.items():
        route = d.routes[name]
        latest = min(route.retry_for, cls.deadline)
        if cls.effect == "by-key" and route.retry == "by-key" and latest > 0.1:
            return put(text, f"class.{name}", "window", f'"{random.uniform(0.05, latest - 0.02):.3f}s"')
    return None


def stopped_too_soon(text: str, d: Description, random: Random) -> str | None:
    """Rule 1: the host is stopped before the longest deadline of what it has taken."""
    name = random.choice(list(d.tiers))
    longest = max(d.classes[cls].deadline for cls in d.tiers[name].classes)
    return put(text, f"tier.{name}", "stop_after", f'"{random.uniform(0, longest - 0.01):.3f}s"')


def drained_too_long(text: str, d: Description, random: Random) -> str | None:
    """Rule 3: more than 2 s."""
    return put(text, f"tier.{random.choice(list(d.tiers))}", "drain", f'"{random.uniform(2.01, 600):.3f}s"')


def pushed_over(text: str, d: Description, random: Random) -> str | None:
    """Rule 4: more than a cold server survives."""
    name = random.choice(list(d.tiers))
    if d.tiers[name].cold_from == 1.0:
        return None
    return put(text, f"tier.{name}", "push", f"{d.tiers[name].survives + random.uniform(0, 20):.3f}")


BREAKS: dict[Mutation, str] = {
    once_is_retried: "R202",
    hedged: "R202",
    key_leaves_its_group: "R202",
    key_is_forgotten: "R202",
    stopped_too_soon: "R201",
    drained_too_long: "R203",
    pushed_over: "R204",
}


def harmless(text: str, random: Random) -> str:
    """Comments, blank lines, spaces round `=`, other ends of lines, or tables in another order."""
    kind = random.randrange(5)
    lines = text.splitlines()
    if kind == 0:
        lines.insert(random.randint(0, len(lines)), "# " + "".join(random.choices("ab=\"[]{}'#", k=12)))
    elif kind == 1:
        lines.insert(random.randint(0, len(lines)), "")
    elif kind == 2:
        place = random.choice([n for n, line in enumerate(lines) if re.match(r"[a-z_.]+\s*=", line)])
        key, _, value = lines[place].partition("=")
        lines[place] = (
            f"{' ' * random.randint(0, 4)}{key.strip()}{' ' * random.randint(0, 4)}=\t{value.strip()}  # x"
        )
    elif kind == 3:
        return "\r\n".join(lines) + "\r\n"
    else:
        head, *tables = re.split(r"(?m)^(?=\[)", "\n".join(lines) + "\n")
        arrays = [part for part in tables if part.startswith("[[")]
        plain = [part for part in tables if not part.startswith("[[")]
        random.shuffle(plain)
        return head + "".join(part.rstrip("\n") + "\n\n" for part in plain + arrays)
    return "\n".join(lines) + "\n"


def fleet(folder: Path) -> list[str]:
    """37 sidecars of as many descriptions, two tiers, 87 nodes in all."""
    plain = (CORPUS / "plain.toml").read_text()
    body = plain[: plain.index("[[sidecar]]")]
    body = body.replace("nodes = 16", f"nodes = {NODES // 3}").replace(
        "nodes = 40", f"nodes = {NODES - NODES // 3}"
    )
    body = body.replace('stop_after = "7s"\n\n[tenant', 'stop_after = "7s"\nconnections = 140\n\n[tenant')
    found = []
    for number in range(SIDECARS):
        file = folder / f"app-{number:02d}.toml"
        file.write_text(
            f'{body}[[sidecar]]\nhost = "h-{number}"\nzone = "sala-{"abc"[number % 3]}"\ntier = "portal"\n'
            f'inbound = "10.0.0.{number + 4}:8081"\napplication = "127.0.0.1:9000"\n'
            'outbound.nucleo = "127.0.0.1:7001"\n'
        )
        found.append(str(file))
    return found


def has_more_requests(endpoint: StubEndpoint, count: int) -> bool:
    """Whether the endpoint got a request after that many."""
    return endpoint.request_count > count


async def restarts(proof: BenchmarkReport) -> None:
    """Two tiers, four applications: each dies and comes back under traffic, then each sidecar restarts."""
    _, description = load(str(EXAMPLE))
    assert description is not None
    rate, rounds, away = (RATE_SHORT, 1, AWAY_SHORT) if proof.short else (RATE, ROUNDS, AWAY)
    async with running_deployment(description) as made:
        callers = made.clients
        assert callers is not None
        loop = asyncio.get_running_loop()
        begun = loop.time()
        calling = asyncio.create_task(callers.run(LONGEST, rate, wait_and_close=False))
        await asyncio.sleep(SETTLE)
        ended = []
        back = []
        for _ in range(rounds):
            for host in made.hosts:
                before = host.application.request_count
                await host.restart_application(away)
                at = loop.time()
                await until(partial(has_more_requests, host.application, before), f"calls to {host.name}")
                back.append(loop.time() - at)
            for host in made.hosts:
                at = loop.time()
                await host.stop_sidecar()
                ended.append(loop.time() - at)
                proof.check(host.exit_code == 0, f"{host.name} ended with {host.exit_code}")
                await host.start_sidecar()
                made.update_lists(host.sidecar.tier, host.list_entry)
        await asyncio.sleep(SETTLE)
        calling.cancel()
        longest = max(cls.budget for cls in made.classes.values()) + GIVE_UP_MARGIN_S
        await until(lambda: not callers.open_requests, "the last answers", longest + 1.0)
        span = loop.time() - begun
        codes = callers.status_codes
        total = callers.status_codes.total()
        lost = codes[0] + codes[-1] + callers.unsent_count
        broken = made.recorder.audit({name: cls.idempotency for name, cls in made.classes.items()})
        inner = sum(taken.proxy != EDGE_PROXY_NAME for taken in made.recorder.requests)
    proof.record("restarts_applications", len(back), f"each away for {away:g} s")
    proof.record("restarts_sidecars", len(ended), "by SIGTERM")
    proof.record("calls", total, f"in {span:.1f} s, and {inner} of them to the second tier")
    proof.record("served", codes[200], "")
    proof.record("refused", codes[503], "with 503, harmless to try again")
    proof.record("failed", total - codes[200] - codes[503] - codes[0] - codes[-1], "with another code")
    proof.record("lost", lost, "taken and not answered in time, or not taken")
    proof.record("rules_broken", len(broken), "by the ledger")
    proof.record("application_back", max(back), "s at the most until it was called again")
    proof.record("sidecar_ended", max(ended), "s at the most from SIGTERM to its end")
    proof.check(total > rate and inner > total / 2, "too few calls to tell anything")
    proof.check(not lost, f"{lost} calls lost")
    proof.check(not broken, f"rules broken: {[str(violation) for violation in broken[:3]]}")
    proof.check(codes[200] >= LEAST_SERVED * total, f"{codes[200]} of {total} calls served")


async def measure(proof: BenchmarkReport, wanted: argparse.Namespace) -> None:
    random = Random(proof.seed)
    good = [(path.name, path.read_text()) for path in sorted(CORPUS.glob("*.toml")) if path.stem not in ODD]
    with tempfile.TemporaryDirectory() as text_folder:
        folder = Path(text_folder)
        file = folder / "app.toml"
        slipped: list[str] = []
        wrong: list[str] = []
        kinds: Counter[str] = Counter()
        count = MUTATIONS_SHORT if proof.short else MUTATIONS
        while kinds.total() < count:
            name, text = random.choice(good)
            file.write_text(text)
            _, description = load(str(file))
            assert description is not None, name
            mutation = random.choice(list(BREAKS))
            changed = mutation(text, description, random)
            if changed is None:
                continue
            kinds[mutation.__name__] += 1
            file.write_text(changed)
            codes = {problem.code for problem in check([str(file)], "") if not problem.is_warning}
            if not codes:
                slipped.append(f"{mutation.__name__} of {name}")
            elif BREAKS[mutation] not in codes:
                wrong.append(f"{mutation.__name__} of {name}: {sorted(codes)}")
        for kind, times in sorted(kinds.items()):
            proof.record(f"mutations_{kind}", times, "")
        proof.record("mutations", kinds.total(), "that break a rule")
        proof.record("slipped", len(slipped), "of them accepted")
        proof.record("told_otherwise", len(wrong), "of them refused for another reason")
        proof.check(not slipped, f"accepted: {slipped[:3]}")
        proof.check(not wrong, f"refused, but not by their rule: {wrong[:3]}")
        refused = []
        edits = EDITS_SHORT if proof.short else EDITS
        for _ in range(edits):
            name, text = random.choice(good)
            file.write_bytes(harmless(text, random).encode())
            problems = check([str(file)], "")
            if problems:
                refused.append(f"{name}: {problems[0]}")
        proof.record("harmless_edits", edits, "")
        proof.record("harmless_refused", len(refused), "of them")
        proof.check(not refused, f"refused: {refused[:2]}")
        files = fleet(folder)
        begun = time.perf_counter()
        problems = check(files, "")
        span = time.perf_counter() - begun
        proof.record("fleet", len(files), f"sidecars before {NODES} nodes")
        proof.record("fleet_time", span / len(files) * 1000, "ms a file")
        proof.record("memory", resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, "MB at the most")
        proof.check(not problems, f"the fleet was refused: {problems[:1]}")
    await restarts(proof)


# Written so that a line-wise mutation does not find its way: they are the corpus's, not this proof's.
ODD = frozenset(("comments", "crlf", "inline-tables", "dotted", "quoted-names", "tabs", "long-strings"))

if __name__ == "__main__":
    sys.exit(run_benchmark("sidecar", measure))
