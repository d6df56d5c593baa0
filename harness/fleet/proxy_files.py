"""Configuration and operator file of each proxy of a fleet harness."""

from __future__ import annotations

from random import Random
from typing import Any

from harness.fleet.fault_relay import loopback_address
from harness.fleet.slots import FleetOptions, Slot, zone_of
from harness.proxy_process import POLICY_LIMITS, configuration, platform_settings


def proxy_configuration(
    options: FleetOptions,
    slot: Slot,
    fleet_port: int,
    http_port: int,
    peers: list[str],
    endpoint_entries: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return the platform's JSON configuration of the proxy in a slot."""
    number = slot.number
    seed = Random(f"{options.seed} {number} {slot.starts}").getrandbits(62)
    overrides = {
        "seed": f"{seed:x}",
        "peer_listen": f"{loopback_address(77, number)}:{fleet_port}",
        "peers": peers,
    }
    contract = {**platform_settings()["contract"], "cold": options.warm_up_s}
    return configuration(
        slot.name,
        f"{loopback_address(77, number)}:{http_port}",
        f"127.79.250.{number + 1}:{http_port}",
        endpoint_entries,
        overrides,
        balancers=options.members,
        me=number,
        zone=zone_of(number),
        policy_limits={**POLICY_LIMITS, "peers": True},
        contract=contract,
    )


def operator_file(options: FleetOptions, slot: Slot) -> str:
    """Return the text of the operator file of the proxy in a slot."""
    if not options.fleet_enabled:
        return ""
    fleet = options.fleet + (" (another)" if slot.number in options.foreign_members else "")
    text = (
        f'[fleet]\nname = "{fleet}"\nperiod = {options.period}\nsuspicion = {options.suspicion}\n'
        f"counts = {'true' if options.counts else 'false'}\n"
    )
    if options.recovery:
        marks = "".join(f'{kind}_mark = "{slot.folder}/{kind}"\n' for kind in ("machine", "boot"))
        text += f'[recovery]\nstore = "{slot.folder}/store"\n{marks}'
    if options.keys:
        text += '[budgets]\nkeys_file = "{folder}/keys"\n'
    return text
