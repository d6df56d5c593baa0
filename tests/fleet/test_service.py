"""The fleet in a proxy: where it is off, numbers as addresses, what it drops, what it says, SIGHUP."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from harness.event_loop import until
from harness.proxy_process import free_port, platform_settings
from service_proxy.clock import Clock
from service_proxy.composition import create_fleet
from service_proxy.fleet import rate_limits
from service_proxy.fleet.addressing import peer_address
from service_proxy.fleet.members import member_key
from service_proxy.fleet.metadata import pack_metadata, unpack_metadata
from service_proxy.fleet.name_ownership import MembershipStatus
from service_proxy.fleet.service import FleetService
from service_proxy.fleet.wire import MessageType
from service_proxy.net.config import ConfigError, ProxyConfig, parse_config
from service_proxy.operator_file import Fleet as Settings
from service_proxy.operator_file import OperatorError
from service_proxy.sidecar.checking import check

PEERS: dict[str, Any] = {
    "peer_listen": "127.0.0.1:0",
    "peers": ["127.9.0.1:7946", "127.9.0.2:7946", "127.9.0.3:7946"],
}


class Driver:
    """service.ProxyStatus."""

    load = 0.25
    list_version = 41
    is_ready = True

    def __init__(self) -> None:
        self.counts: list[int] = []

    def set_proxy_count(self, count: int) -> None:
        self.counts.append(count)


def config(allowed: bool, me: int = 0, name: str = "n0", **more: Any) -> ProxyConfig:
    proxy_settings = platform_settings(balancers=3, me=me)
    proxy_settings["policy_limits"]["peers"] = allowed
    raw = {
        "name": name,
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "settings": proxy_settings,
        **more,
    }
    return parse_config(raw, {})


def test_without_permission_for_peers_the_fleet_is_off_and_logs_it(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr("service_proxy.composition.log.error", logged.append)

    async def test() -> None:
        driver: Any = Driver()
        assert create_fleet(Settings("portal"), config(False, **PEERS), driver, ()) is None
        assert "the platform's settings (policy_limits.peers) allow no messages" in logged[0]
        assert create_fleet(Settings("portal"), config(True, **PEERS), driver, ()) is not None

    asyncio.run(test())


def test_members_name_one_another_by_number_and_each_reaches_them_at_its_own_peers_addresses() -> None:
    """Two proxies whose lists name the same proxies at other addresses."""

    async def test() -> None:
        ports = [free_port(), free_port()]
        made = []
        for me in range(2):
            # Each knows the other at another loopback address than it listens at.
            seen = [f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}", f"127.0.0.1:{free_port()}"]
            where: dict[str, Any] = {"peer_listen": seen[me], "peers": seen}
            fleet = FleetService(
                Settings("portal", period=0.1), config(True, me, f"n{me}", **where), Driver(), Clock()
            )
            assert fleet.protocol.record.address == peer_address(me)
            fleet.start()
            made.append(fleet)
        one, other = made
        received: list[tuple[bytes, bytes]] = []
        other.receive(7, lambda sender, data: received.append((sender, data)))
        await until(lambda: one.is_settled and other.is_settled and len(one.members()) == 2, "settled")
        assert {member.name for member in one.members()} == {"n0", "n1"}
        one.publish(9, b"word")
        await until(lambda: any(m.metadata == {9: b"word"} for m in other.members()), "the word")
        assert one.send(7, b"hello", other.own_key) and not one.send(7, bytes(250))
        await until(lambda: received == [(member_key("n0"), b"hello")], "the datagram")
        with pytest.raises(ValueError, match="24 bytes"):
            one.publish(8, bytes(24))
        changes: list[Any] = []
        other.watch(changes.append)
        one.stop()
        await until(lambda: changes and changes[-1].after.value == "left", "its leave")
        assert one.protocol.status is MembershipStatus.LEFT
        other.stop()

    asyncio.run(test())


def test_floods_and_datagrams_from_foreign_addresses_are_dropped_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(rate_limits, "MAX_DATAGRAMS_PER_SOURCE_PER_S", 10)
        fleet = FleetService(Settings("portal"), config(True, **PEERS), Driver(), Clock())
        for _ in range(20):
            fleet.datagram_received(bytes(60), ("127.9.0.2", 7946))
        fleet.datagram_received(bytes(60), ("127.9.0.2", 7947))
        fleet.datagram_received(bytes(257), ("127.9.0.3", 7946))
        fleet.datagram_received(bytes(60), ("10.0.0.1", 7946))
        refused = fleet.protocol.counters.rejected
        assert refused["too many in a second from one address"] == 11
        assert refused["from an address that is no member's"] == 1 and refused["malformed"] == 11
        assert not fleet.protocol.take_effects().datagrams

    asyncio.run(test())


def test_a_reload_may_change_times_and_no_addresses(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = FleetService(Settings("portal"), config(True, **PEERS), Driver(), Clock())
        file = tmp_path / "operator.toml"
        file.write_text('[fleet]\nname = "portal"\nperiod = 2.0\n')
        fleet.reload(str(file))
        assert fleet.protocol.timing.period == 2.0
        for text, what in (('[fleet]\nname = "other"\n', "name of"), ("", "is gone")):
            file.write_text(text)
            with pytest.raises(OperatorError, match=what):
                fleet.reload(str(file))
        assert fleet.protocol.timing.period == 2.0

    asyncio.run(test())


def test_names_too_long_for_a_datagram_are_rejected_before_any_socket_opens() -> None:
    async def test() -> None:
        with pytest.raises(ConfigError, match="names of up to 32 bytes"):
            FleetService(Settings("portal"), config(True, name="n" * 33, **PEERS), Driver(), Clock())
        with pytest.raises(ConfigError, match="names no peer_listen"):
            FleetService(Settings("portal"), config(True), Driver(), Clock())

    asyncio.run(test())


def test_the_metadata_of_several_subsystems_is_packed_together() -> None:
    values = {3: b"abc", 200: b""}
    assert unpack_metadata(pack_metadata(values)) == values
    assert unpack_metadata(pack_metadata(values) + b"\x05\x09cut") == values


def test_check_finds_two_fleets_of_one_name_and_one_with_two_periods(tmp_path: Path) -> None:
    texts = {
        "a": '[fleet]\nname = "portal"\nlisten = "10.0.0.1:1"\nmembers = ["10.0.0.1:1", "10.0.0.2:1"]\n',
        "b": '[fleet]\nname = "portal"\nlisten = "10.0.1.1:1"\nmembers = ["10.0.1.1:1", "10.0.1.2:1"]\n',
        "c": '[fleet]\nname = "portal"\nlisten = "10.0.0.2:1"\nmembers = ["10.0.0.1:1"]\nperiod = 2.0\n',
    }
    files = {}
    for name, text in texts.items():
        (tmp_path / f"{name}.toml").write_text(text)
        files[name] = str(tmp_path / f"{name}.toml")
    assert check([files["a"]], "") == []
    [two] = check([files["a"], files["b"]], "")
    assert (two.code, two.line) == ("F311", 2)
    [clocks] = check([files["a"], files["c"]], "")
    assert (clocks.code, clocks.line, clocks.remedy) == ("F312", 5, "write period = 1")


def test_where_only_the_broadcast_address_is_configured_the_join_goes_there() -> None:
    async def test() -> None:
        class Asked(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Any) -> None:
                kinds.append(data[1])

        kinds: list[int] = []
        loop = asyncio.get_running_loop()
        asked, _ = await loop.create_datagram_endpoint(Asked, local_addr=("127.0.0.1", 0))
        everyone = ":".join(map(str, asked.get_extra_info("sockname")))
        made = FleetService(
            Settings("portal", period=0.1),
            config(True, peer_listen="127.0.0.1:0", peers_all=everyone),
            Driver(),
            Clock(),
        )
        made.start()
        await until(lambda: MessageType.JOIN in kinds, "asked")
        assert not made.is_settled
        made.stop()
        asked.close()

    asyncio.run(test())
