"""Play a script of faults and check the members' views at its end.

    python -m harness.fleet play SCRIPT [--real] [--seed N] [--transcript FILE] [--replay FILE]
    python -m harness.fleet schema

Without --real, the protocol runs without processes, in virtual time. --transcript writes one line for each
delivery of a datagram: [s, sender, receiver, its number on this link, bytes, [[delay s, flipped bit or -1],
...]]. --replay uses the deliveries of such a file.

Exit codes:
    0: all views of the living members were equal and right at the end, and no dead incarnation became live.
    1: otherwise.
    2: a file can't be used.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

import uvloop

from harness.event_loop import until
from harness.fleet.fault_script import FaultPlayer, FaultScript, ScriptedFault, ScriptHeader, parse_script
from harness.fleet.harness import running_fleet
from harness.fleet.network import Network
from harness.fleet.slots import FleetOptions
from harness.fleet.virtual_fleet import VirtualFaultTarget, VirtualFleet
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.operator_file.reader import OperatorError, read_text
from service_proxy.sidecar.explain import table_schema

SETTLING_PERIODS = 30.0  # longest wait, in periods, for equal views after the last fault
PERIOD_S = 0.5  # s, on real processes


def schema() -> dict[str, object]:
    """Return the JSON Schema of a script."""
    script_schema = table_schema(ScriptHeader)
    script_schema["properties"]["fault"] = {"type": "array", "items": table_schema(ScriptedFault)}
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "script of faults",
        **script_schema,
    }


def play_virtual(script: FaultScript, network: Network) -> int:
    """Play a script in virtual time; return the exit code."""
    fleet = VirtualFleet(script.header.members, ProtocolTiming(period=1.0), script.header.seed, network)
    for number in range(script.header.members):
        fleet.start(number)
    fleet.run(8.0)
    target = VirtualFaultTarget(fleet)
    player = FaultPlayer(script, target, lambda line: print(f"{fleet.now:8.2f} s {line}"))
    target.on_event = player.on_event
    player.start()
    while not player.is_finished and fleet.now < 8.0 + script.header.seconds:
        fleet.run(fleet.now + 0.25)
    ended_at = fleet.now
    while not fleet.is_converged() and fleet.now < ended_at + SETTLING_PERIODS:
        fleet.run(fleet.now + 0.25)
    print(
        f"{fleet.datagrams} datagrams, {fleet.network.lost} lost; "
        f"settled {fleet.now - ended_at:.2f} periods after the end"
    )
    print(
        "views equal and right" if fleet.is_converged() else "views NOT equal",
        *(f"; {line}" for line in target.resurrections),
    )
    return 0 if fleet.is_converged() and not target.resurrections else 1


async def play_real(script: FaultScript, network: Network) -> int:
    """Play a script on real processes; return the exit code."""
    header = script.header
    async with running_fleet(
        FleetOptions(members=header.members, seed=header.seed, period=PERIOD_S)
    ) as harness:
        harness.network.recorded_plans = network.recorded_plans
        harness.network.transcript = network.transcript
        await harness.observer.wait_until_settled(SETTLING_PERIODS, True)
        player = FaultPlayer(script, harness, lambda line: print(line, flush=True))
        harness.observer.on_event = player.on_event
        player.start()
        await until(lambda: player.is_finished, "the script's end", header.seconds)
        try:
            settling = await harness.observer.wait_until_settled(SETTLING_PERIODS * PERIOD_S)
        except TimeoutError:
            print("views NOT equal")
            return 1
        await harness.finish_requests()
        harness.observer.read_logs()
        resurrections = harness.observer.resurrections()
        violations = harness.audit()
        deaths = len(harness.observer.deaths())
        print(f"settled {settling / PERIOD_S:.2f} periods after the end; deaths logged: {deaths}")
        print(f"dead incarnations live again: {len(resurrections)}; rules broken: {len(violations)}")
        for violation in violations[:3]:
            print(violation)
        return 1 if resurrections or violations else 0


def main(argv: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.fleet",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    play = commands.add_parser("play", help="play a script")
    play.add_argument("script", metavar="SCRIPT")
    play.add_argument("--real", action="store_true", help="on real processes")
    play.add_argument("--seed", type=int, help="seed in place of the script's")
    play.add_argument("--transcript", type=Path, metavar="FILE")
    play.add_argument("--replay", type=Path, metavar="FILE")
    commands.add_parser("schema", help="JSON Schema of a script")
    options = parser.parse_args(argv)
    if options.command == "schema":
        print(json.dumps(schema(), indent=1))
        return 0
    try:
        script = parse_script(read_text(options.script)[0], options.script)
        if options.seed is not None:
            script = FaultScript(
                ScriptHeader(script.header.members, script.header.seconds, options.seed), script.faults
            )
        network = Network(script.header.seed)
        if options.replay is not None:
            network.load_recording(options.replay)
        if options.transcript is not None:
            network.transcript = options.transcript.open("w", encoding="utf-8")
    except (OperatorError, ValueError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    try:
        if options.real:
            return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(play_real(script, network))
        return play_virtual(script, network)
    finally:
        if network.transcript is not None:
            network.transcript.close()


if __name__ == "__main__":
    sys.exit(main())
