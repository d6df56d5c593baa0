"""The fleet in a proxy: permission, addresses, rate limits, metadata, reload and findings of the checks."""

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
from service_proxy.fleet.addressing import peer_placeholder
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


class StubProxy:
    """Stand-in for service.ProxyStatus."""

    load = 0.25
    list_version = 41
    is_ready = True

    def __init__(self) -> None:
        self.counts: list[int] = []

    def set_proxy_count(self, count: int) -> None:
        self.counts.append(count)


def config(peers_allowed: bool, me: int = 0, name: str = "n0", **more: Any) -> ProxyConfig:
    proxy_settings = platform_settings(balancers=3, me=me)
    proxy_settings["policy_limits"]["peers"] = peers_allowed
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
        proxy: Any = StubProxy()
        assert create_fleet(Settings("portal"), config(False, **PEERS), proxy, ()) is None
        assert "the platform's settings (policy_limits.peers) allow no messages" in logged[0]
        assert create_fleet(Settings("portal"), config(True, **PEERS), proxy, ()) is not None

    asyncio.run(test())


def test_datagrams_carry_peer_numbers_and_each_member_maps_them_to_its_own_peer_addresses() -> None:
    """Datagrams carry the peers' numbers, so the `peers` of the two proxies need not be equal."""

    async def test() -> None:
        ports = [free_port(), free_port()]
        created = []
        for me in range(2):
            # The two lists differ in the address of the third peer.
            peers = [f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}", f"127.0.0.1:{free_port()}"]
            peer_settings: dict[str, Any] = {"peer_listen": peers[me], "peers": peers}
            fleet = FleetService(
                Settings("portal", period=0.1),
                config(True, me, f"n{me}", **peer_settings),
                StubProxy(),
                Clock(),
            )
            assert fleet.protocol.record.address == peer_placeholder(me)
            fleet.start()
            created.append(fleet)
        one, other = created
        received: list[tuple[bytes, bytes]] = []
        other.receive(7, lambda sender, data: received.append((sender, data)))
        await until(lambda: one.is_settled and other.is_settled and len(one.members()) == 2, "settled")
        assert {member.name for member in one.members()} == {"n0", "n1"}
        one.publish(9, b"word")
        await until(
            lambda: any(m.metadata == {9: b"word"} for m in other.members()), "the published metadata"
        )
        assert one.send(7, b"hello", other.own_key) and not one.send(7, bytes(250))
        await until(lambda: received == [(member_key("n0"), b"hello")], "the datagram")
        with pytest.raises(ValueError, match="24 bytes"):
            one.publish(8, bytes(24))
        changes: list[Any] = []
        other.watch(changes.append)
        one.stop()
        await until(lambda: changes and changes[-1].after.value == "left", "the announced leave")
        assert one.protocol.status is MembershipStatus.LEFT
        other.stop()

    asyncio.run(test())


def test_floods_and_datagrams_from_foreign_addresses_are_dropped_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(rate_limits, "MAX_DATAGRAMS_PER_SOURCE_PER_S", 10)
        fleet = FleetService(Settings("portal"), config(True, **PEERS), StubProxy(), Clock())
        for _ in range(20):
            fleet.datagram_received(bytes(60), ("127.9.0.2", 7946))
        fleet.datagram_received(bytes(60), ("127.9.0.2", 7947))
        fleet.datagram_received(bytes(257), ("127.9.0.3", 7946))
        fleet.datagram_received(bytes(60), ("10.0.0.1", 7946))
        rejected = fleet.protocol.counters.rejected
        assert rejected["too many per second from one address"] == 11
        assert rejected["from an address that is not admitted"] == 1 and rejected["malformed"] == 11
        assert not fleet.protocol.take_effects().datagrams

    asyncio.run(test())


def test_a_reload_may_change_times_and_no_addresses(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = FleetService(Settings("portal"), config(True, **PEERS), StubProxy(), Clock())
        file = tmp_path / "operator.toml"
        file.write_text('[fleet]\nname = "portal"\nperiod = 2.0\n')
        fleet.reload(str(file))
        assert fleet.protocol.timing.period == 2.0
        for text, message in (('[fleet]\nname = "other"\n', "name of"), ("", "is gone")):
            file.write_text(text)
            with pytest.raises(OperatorError, match=message):
                fleet.reload(str(file))
        assert fleet.protocol.timing.period == 2.0

    asyncio.run(test())


def test_names_too_long_for_a_datagram_are_rejected_before_any_socket_opens() -> None:
    async def test() -> None:
        with pytest.raises(ConfigError, match="names of up to 32 bytes"):
            FleetService(Settings("portal"), config(True, name="n" * 33, **PEERS), StubProxy(), Clock())
        with pytest.raises(ConfigError, match="names no peer_listen"):
            FleetService(Settings("portal"), config(True), StubProxy(), Clock())

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
    [finding] = check([files["a"], files["b"]], "")
    assert (finding.code, finding.line) == ("F311", 2)
    [period_finding] = check([files["a"], files["c"]], "")
    assert (period_finding.code, period_finding.line, period_finding.remedy) == (
        "F312",
        5,
        "write period = 1",
    )


def test_with_only_a_broadcast_address_configured_the_join_request_goes_there() -> None:
    async def test() -> None:
        class JoinRecorder(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Any) -> None:
                message_types.append(data[1])

        message_types: list[int] = []
        loop = asyncio.get_running_loop()
        receiver, _ = await loop.create_datagram_endpoint(JoinRecorder, local_addr=("127.0.0.1", 0))
        broadcast_address = ":".join(map(str, receiver.get_extra_info("sockname")))
        created = FleetService(
            Settings("portal", period=0.1),
            config(True, peer_listen="127.0.0.1:0", peers_all=broadcast_address),
            StubProxy(),
            Clock(),
        )
        created.start()
        await until(lambda: MessageType.JOIN in message_types, "asked")
        assert not created.is_settled
        created.stop()
        receiver.close()

    asyncio.run(test())
