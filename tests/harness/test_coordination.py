"""The coordination stand-in, tested with an independent client library (kazoo)."""

from __future__ import annotations

import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from kazoo.client import KazooClient
from kazoo.exceptions import (
    BadVersionError,
    NoAuthError,
    NoChildrenForEphemeralsError,
    NodeExistsError,
    NoNodeError,
    NotEmptyError,
    RolledBackError,
)
from kazoo.protocol.states import KazooState
from kazoo.security import CREATOR_ALL_ACL

from harness.coordination import CoordinationService, main, read_script
from harness.event_loop import DEFAULT_TIMEOUT_S, LoopThread

ROOT = Path(__file__).parent.parent.parent


class Ensemble:
    def __init__(self) -> None:
        self.thread = LoopThread()
        self.service = self.thread.run(self._start())
        self.hosts = ",".join("{}:{}".format(*server.address) for server in self.service.servers)
        self.clients: list[KazooClient] = []

    async def _start(self) -> CoordinationService:
        service = CoordinationService(3)
        await service.start()
        return service

    def client(self, timeout: float = 5.0, **options: object) -> KazooClient:
        client = KazooClient(self.hosts, timeout=timeout, **options)
        client.start(DEFAULT_TIMEOUT_S)
        self.clients.append(client)
        return client

    def do(self, **step: object) -> None:
        self.thread.call(lambda: self.service.run_step(step))

    def stop(self) -> None:
        for client in self.clients:
            client.stop()
            client.close()
        self.thread.run(self.service.stop())
        self.thread.stop()


@pytest.fixture
def ensemble() -> Iterator[Ensemble]:
    running_ensemble = Ensemble()
    yield running_ensemble
    running_ensemble.stop()


def test_a_stock_client_reads_and_writes(ensemble: Ensemble) -> None:
    client = ensemble.client()
    client.ensure_path("/salas/portal")
    client.create("/salas/portal/s-1", b"one", ephemeral=True)
    data, stat = client.get("/salas/portal/s-1")
    assert data == b"one" and stat.ephemeralOwner == client.client_id[0] and stat.version == 0
    client.set("/salas/portal/s-1", b"two", 0)
    with pytest.raises(BadVersionError):
        client.set("/salas/portal/s-1", b"three", 0)
    assert client.get_children("/salas/portal") == ["s-1"]
    names, stat = client.get_children("/salas/portal", include_data=True)
    assert names == ["s-1"] and stat.numChildren == 1
    assert client.exists("/salas/nobody") is None and client.exists("/salas").version == 0
    assert client.create("/salas/n-", sequence=True) == "/salas/n-0000000001"
    assert client.create("/salas/n-", sequence=True, include_data=True)[0] == "/salas/n-0000000002"
    with pytest.raises(NodeExistsError):
        client.create("/salas/portal")
    with pytest.raises(NoNodeError):
        client.create("/nowhere/a")
    with pytest.raises(NotEmptyError):
        client.delete("/salas")
    with pytest.raises(NoChildrenForEphemeralsError):
        client.create("/salas/portal/s-1/a")
    client.delete("/salas/portal/s-1")
    assert client.sync("/salas") == "/salas"
    assert client.command(b"ruok") == "imok"


def test_a_stock_clients_transaction_is_all_or_nothing(ensemble: Ensemble) -> None:
    client = ensemble.client()
    good = client.transaction()
    good.create("/a", b"1")
    good.create("/a/b", b"2")
    good.set_data("/a", b"3")
    good.check("/a", 1)
    good.delete("/a/b")
    results = good.commit()
    assert results[:2] == ["/a", "/a/b"] and results[2].version == 1 and results[4] is True
    bad = client.transaction()
    bad.create("/c")
    bad.check("/a", 9)
    bad.delete("/a")
    results = bad.commit()
    assert isinstance(results[0], RolledBackError) and isinstance(results[1], BadVersionError)
    assert client.exists("/c") is None and client.exists("/a")


def test_a_stock_clients_watches_fire_once_and_in_order(ensemble: Ensemble) -> None:
    client = ensemble.client()
    other = ensemble.client()
    client.ensure_path("/p")
    events: list[tuple[str, str]] = []
    done = threading.Semaphore(0)

    def watch(event: object) -> None:
        events.append((event.type, event.path))  # type: ignore[attr-defined]
        done.release()

    client.get_children("/p", watch=watch)
    client.exists("/p/s", watch=watch)
    other.create("/p/s", b"", ephemeral=True)
    assert done.acquire(timeout=DEFAULT_TIMEOUT_S) and done.acquire(timeout=DEFAULT_TIMEOUT_S)
    assert events == [("CREATED", "/p/s"), ("CHILD", "/p")]
    client.get("/p/s", watch=watch)
    other.set("/p/s", b"x")
    other.set("/p/s", b"y")
    assert done.acquire(timeout=DEFAULT_TIMEOUT_S)
    client.get("/p/s", watch=watch)
    other.stop()
    assert done.acquire(timeout=DEFAULT_TIMEOUT_S)
    assert events[2:] == [("CHANGED", "/p/s"), ("DELETED", "/p/s")]


def test_a_stock_client_keeps_its_session_after_a_drop_and_is_notified_of_its_expiry(
    ensemble: Ensemble,
) -> None:
    client = ensemble.client()
    states: list[str] = []
    changed = threading.Condition()

    def listen(state: str) -> None:
        with changed:
            states.append(state)
            changed.notify_all()

    client.add_listener(listen)
    client.create("/mine", ephemeral=True)
    session = client.client_id[0]
    ensemble.do(do="drop")
    with changed:
        assert changed.wait_for(lambda: states[-1:] == [KazooState.CONNECTED], DEFAULT_TIMEOUT_S)
    assert states[0] == KazooState.SUSPENDED and client.client_id[0] == session
    assert client.exists("/mine").ephemeralOwner == session
    ensemble.do(do="expire", path="/mine")
    with changed:
        assert changed.wait_for(lambda: KazooState.LOST in states, DEFAULT_TIMEOUT_S)
        assert changed.wait_for(lambda: states[-1] == KazooState.CONNECTED, DEFAULT_TIMEOUT_S)
    assert client.client_id[0] != session and client.exists("/mine") is None


def test_a_stock_client_is_served_through_a_lost_leader_and_a_partition(ensemble: Ensemble) -> None:
    client = ensemble.client()
    client.create("/mine", ephemeral=True)
    zxid = ensemble.service.tree.zxid
    ensemble.do(do="lose_leader", seconds=0.3)
    assert client.retry(client.exists, "/mine")
    assert ensemble.service.tree.zxid >> 32 == (zxid >> 32) + 1
    ensemble.do(do="partition", servers=[0, 1], mode="reset")
    assert client.retry(client.exists, "/mine")
    ensemble.do(do="heal")


def test_a_stock_client_authenticates_with_credentials(ensemble: Ensemble) -> None:
    client = ensemble.client(auth_data=[("digest", "u:p")])
    client.create("/mine", b"secret", acl=CREATOR_ALL_ACL)
    assert client.get("/mine")[0] == b"secret"
    with pytest.raises(NoAuthError):
        ensemble.client().get("/mine")


def test_a_stock_client_reads_from_a_read_only_server(ensemble: Ensemble) -> None:
    client = ensemble.client()
    client.create("/a", b"1")
    ensemble.do(do="read_only", on=True)
    reader = ensemble.client(read_only=True)
    assert reader.get("/a")[0] == b"1"


def test_the_program_prints_where_it_listens_and_ends_by_itself(tmp_path: Path) -> None:
    script = tmp_path / "script"
    script.write_text('# nothing yet\n{"at": 0.1, "do": "empty"}\n')
    command = [sys.executable, "-m", "harness.coordination", "--ensemble", "3", "--script", str(script)]
    ended = subprocess.run(
        [*command, "--seconds", "0.5"], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    lines = ended.stdout.splitlines()
    assert len(lines) == 3 and all(line.startswith("listening 127.0.0.1:") for line in lines)


def test_an_invalid_script_is_reported_with_its_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    script = tmp_path / "script"
    script.write_text('{"at": 1, "do": "empty"}\n{"do": "empty"}\n')
    with pytest.raises(ValueError, match="script:2: not a step"):
        read_script(script)
    assert main(["--script", str(script), "--seconds", "0.1"]) == 2
    assert "script:2" in capsys.readouterr().err
