"""Tests of a session with the stand-in service: states, reconnects, watches, credentials and restores."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random

import pytest

from harness.coordination import CoordinationService
from harness.event_loop import DEFAULT_TIMEOUT_S, until
from service_proxy.ephemeral_nodes import session as module
from service_proxy.ephemeral_nodes.codes import CreateMode, ErrorCode, EventType, OpCode
from service_proxy.ephemeral_nodes.errors import ConnectionLostError, ServiceError, TooManyRequestsError
from service_proxy.ephemeral_nodes.records import (
    CREATOR_ACL,
    OPEN_ACL,
    MultiOperation,
    encode_create,
    encode_delete,
)
from service_proxy.ephemeral_nodes.session import Session
from service_proxy.ephemeral_nodes.session_states import SessionState


class RecordingClient:
    """Session with recorded states and events."""

    def __init__(self, service: CoordinationService, timeout: float = 2.0, **more: object) -> None:
        self.states: list[SessionState] = []
        self.events: list[tuple[int, str]] = []
        self.session = Session(
            [server.address for server in service.servers],
            timeout,
            0.5,
            self.states.append,
            lambda event, path: self.events.append((event, path)),
            Random(1),
            **more,  # type: ignore[arg-type]
        )
        self.session.start()

    async def wait_for_state(self, state: SessionState) -> None:
        """Wait until the session is in this state."""
        await until(lambda: self.session.state is state, f"{state} after {self.states}")


async def connected(service: CoordinationService, timeout: float = 2.0, **more: object) -> RecordingClient:
    client = RecordingClient(service, timeout, **more)
    await client.wait_for_state(SessionState.CONNECTED)
    return client


@contextlib.asynccontextmanager
async def ensemble(servers: int = 3, **more: bool) -> AsyncIterator[CoordinationService]:
    """Run the stand-in service with this number of servers."""
    service = CoordinationService(servers, **more)
    await service.start()
    try:
        yield service
    finally:
        await service.stop()


def has_moved(client: RecordingClient, previous_server: tuple[str, int]) -> bool:
    return client.session.server not in (None, previous_server)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop, with a time limit."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * DEFAULT_TIMEOUT_S):
            await test()

    asyncio.run(bounded())


def test_requests_of_every_type() -> None:
    async def test() -> None:
        async with ensemble() as service:
            client = await connected(service)
            session = client.session
            await session.ensure_path("/a/b")
            await session.ensure_path("/a/b")
            assert (
                await session.create("/a/b/s-", b"1", CreateMode.EPHEMERAL_SEQUENTIAL) == "/a/b/s-0000000000"
            )
            assert (await session.get_children2("/a/b"))[0] == ["s-0000000000"]
            data, stat = await session.get_data("/a/b/s-0000000000")
            assert data == b"1" and stat.ephemeral_owner == session.session_id
            assert (await session.set_data("/a/b", b"2", 0)).version == 1
            assert await session.exists("/nowhere") is None
            with pytest.raises(ServiceError, match=r"BAD_VERSION \(-103\)"):
                await session.set_data("/a/b", b"3", 0)
            with pytest.raises(ValueError, match="containers are not created"):
                await session.create("/c", b"", CreateMode.CONTAINER)
            results = await session.multi(
                [
                    MultiOperation(OpCode.DELETE, encode_delete("/a/b/s-0000000000")),
                    MultiOperation(
                        OpCode.CREATE, encode_create("/a/c", b"", OPEN_ACL, CreateMode.PERSISTENT)
                    ),
                ]
            )
            assert len(results) == 2
            with pytest.raises(ServiceError, match="NO_NODE"):
                await session.multi(
                    [MultiOperation(OpCode.DELETE, encode_delete(path)) for path in ("/a/c", "/x")]
                )
            assert await session.exists("/a/c") is not None
            await session.close()
            assert session.state is SessionState.CLOSED and not service.sessions

    run(test)


def test_paths_are_below_the_chroot() -> None:
    async def test() -> None:
        async with ensemble() as service:
            plain = await connected(service)
            chrooted = await connected(service, chroot="/prod")
            await plain.session.ensure_path("/prod")
            await chrooted.session.get_children2("/", watch=True)
            assert await chrooted.session.create("/s-1", b"") == "/s-1"
            assert await plain.session.exists("/prod/s-1") is not None
            await until(lambda: chrooted.events, "the watch")
            assert chrooted.events == [(EventType.CHILDREN_CHANGED, "/")]

    run(test)


def test_a_session_moves_to_another_server_and_keeps_its_nodes() -> None:
    async def test() -> None:
        async with ensemble() as service:
            client = await connected(service)
            await client.session.create("/mine", b"", CreateMode.EPHEMERAL)
            number = client.session.session_id
            for mode in ("reset", "silent"):
                used = next(s.number for s in service.servers if s.address == client.session.server)
                service.run_step({"do": "partition", "servers": [used], "mode": mode})
                await until(functools.partial(has_moved, client, service.servers[used].address), "the move")
                await client.wait_for_state(SessionState.CONNECTED)
                assert client.session.session_id == number and "/mine" in service.tree.nodes
                service.run_step({"do": "heal"})
            assert SessionState.EXPIRED not in client.states and SessionState.SUSPENDED in client.states

    run(test)


def test_a_session_without_a_server_is_lost_and_expires_at_the_reconnect() -> None:
    async def test() -> None:
        async with ensemble() as service:
            client = await connected(service, timeout=0.4)
            number = client.session.session_id
            service.run_step({"do": "partition", "mode": "reset"})
            await client.wait_for_state(SessionState.LOST)
            with pytest.raises(ConnectionLostError):
                await client.session.exists("/")
            service.run_step({"do": "heal"})
            await client.wait_for_state(SessionState.CONNECTED)
            assert client.session.session_id != number
            states = [s for s in client.states if s is not SessionState.CONNECTING]
            assert states == [
                SessionState.CONNECTED,
                SessionState.SUSPENDED,
                SessionState.LOST,
                SessionState.EXPIRED,
                SessionState.CONNECTED,
            ]

    run(test)


def test_the_loss_of_the_leader_expires_no_session() -> None:
    async def test() -> None:
        async with ensemble() as service:
            client = await connected(service, timeout=0.4)
            number = client.session.session_id
            service.run_step({"do": "lose_leader", "seconds": 1.0})
            await client.wait_for_state(SessionState.LOST)
            await client.wait_for_state(SessionState.CONNECTED)
            assert client.session.session_id == number and SessionState.EXPIRED not in client.states

    run(test)


def test_a_silent_server_is_disconnected_after_two_thirds_of_the_session_timeout() -> None:
    async def test() -> None:
        async with ensemble(1) as service:
            client = await connected(service, timeout=0.6)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            service.run_step({"do": "partition", "mode": "silent"})
            await client.wait_for_state(SessionState.SUSPENDED)
            assert 0.15 < loop.time() - started_at < 5

    run(test)


def test_pings_keep_an_idle_session_connected() -> None:
    async def test() -> None:
        async with ensemble(1) as service:
            client = await connected(service, timeout=0.3)
            await until(lambda: service.requests[OpCode.PING] >= 8, "pings")
            assert client.states == [SessionState.CONNECTING, SessionState.CONNECTED]

    run(test)


def test_a_watch_that_fired_while_disconnected_fires_on_the_reconnect() -> None:
    """One-shot watches are set again with the last zxid, and the server reports the changes since."""

    async def test() -> None:
        async with ensemble() as service:
            client = await connected(service)
            other = await connected(service)
            await other.session.ensure_path("/p")
            await other.session.create("/p/s-1", b"")
            await other.session.create("/p/s-2", b"")
            await client.session.get_children2("/p", watch=True)
            await client.session.get_data("/p/s-1", watch=True)
            await client.session.get_data("/p/s-2", watch=True)
            await client.session.exists("/p/s-3", watch=True)
            service.run_step({"do": "lose_watches", "on": True})
            await other.session.delete("/p/s-1")
            await other.session.set_data("/p/s-2", b"x")
            await other.session.create("/p/s-3", b"")
            service.run_step({"do": "lose_watches", "on": False})
            assert not client.events
            service.run_step({"do": "drop"})
            await until(lambda: len(client.events) == 4, "the watches")
            assert sorted(client.events) == [
                (EventType.CREATED, "/p/s-3"),
                (EventType.DELETED, "/p/s-1"),
                (EventType.DATA_CHANGED, "/p/s-2"),
                (EventType.CHILDREN_CHANGED, "/p"),
            ]
            await client.wait_for_state(SessionState.CONNECTED)
            assert not client.session.watches.data and not client.session.watches.child

    run(test)


def test_a_persistent_recursive_watch_survives_reconnects_and_reports_each_change() -> None:
    async def test() -> None:
        async with ensemble() as service:
            client = await connected(service)
            other = await connected(service)
            await other.session.ensure_path("/p")
            assert await client.session.watch_recursive("/p")
            service.run_step({"do": "drop"})
            await until(lambda: client.states.count(SessionState.CONNECTED) == 2, "the reconnect")
            await until(lambda: other.states.count(SessionState.CONNECTED) == 2, "the reconnect")
            for _ in range(2):
                await other.session.create("/p/s-1", b"", CreateMode.EPHEMERAL)
                await other.session.set_data("/p/s-1", b"x")
                await other.session.delete("/p/s-1")
            await until(lambda: len(client.events) == 6, "the events")
            expected_events = [
                (kind, "/p/s-1") for kind in (EventType.CREATED, EventType.DATA_CHANGED, EventType.DELETED)
            ]
            assert client.events == expected_events * 2

    run(test)


def test_watch_recursive_returns_false_without_persistent_watches() -> None:
    async def test() -> None:
        async with ensemble(1, persistent_watches=False) as service:
            client = await connected(service)
            assert not await client.session.watch_recursive("/")

    run(test)


def test_a_lower_zxid_is_refused_until_the_operator_confirms_it() -> None:
    async def test() -> None:
        async with ensemble(1) as service:
            client = await connected(service)
            service.run_step({"do": "save"})
            await client.session.create("/a", b"")
            zxid_before = client.session.last_zxid
            service.run_step({"do": "restore"})  # The server refuses a client with a higher zxid.
            await client.wait_for_state(SessionState.SUSPENDED)
            accepted_before = service.servers[0].accepted
            await until(lambda: service.servers[0].accepted >= accepted_before + 3, "tries")
            assert client.session.last_zxid == zxid_before and client.states[-1] is not SessionState.CONNECTED
            client.session.reset_zxid()
            await client.wait_for_state(SessionState.CONNECTED)
            assert client.session.last_zxid < zxid_before

    run(test)


def test_a_server_with_a_lower_zxid_is_disconnected() -> None:
    """The server keeps the connection, so the lower zxid is only visible in its replies."""

    async def test() -> None:
        async with ensemble(1) as service:
            client = await connected(service)
            await client.session.create("/a", b"")
            service.tree.zxid -= 1
            with pytest.raises(ConnectionLostError):
                await client.session.exists("/a")
            assert client.session.zxid_regressions == 1 and client.session.state is SessionState.SUSPENDED

    run(test)


def test_valid_credentials_grant_access_and_rejected_ones_stop_reconnects() -> None:
    async def test() -> None:
        async with ensemble(1) as service:
            service.credentials = {"u": "p"}
            good = await connected(service, auth=b"u:p")
            unauthenticated = await connected(service)
            await good.session.create("/mine", b"x", acl=CREATOR_ACL)
            with pytest.raises(ServiceError, match="NO_AUTH"):
                await unauthenticated.session.get_data("/mine")
            with pytest.raises(ServiceError) as refused:
                await unauthenticated.session.create("/other", b"", acl=CREATOR_ACL)
            assert refused.value.code == ErrorCode.INVALID_ACL
            bad = RecordingClient(service, auth=b"u:wrong")
            await bad.wait_for_state(SessionState.AUTH_FAILED)
            accepted_before = service.servers[0].accepted
            await asyncio.sleep(0.3)
            assert service.servers[0].accepted == accepted_before

    run(test)


def test_a_read_only_server_is_used_until_another_has_a_quorum(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "WRITABLE_CHECK_INITIAL_S", 0.1)

    async def test() -> None:
        async with ensemble(2) as service:
            service.run_step({"do": "read_only", "on": True})
            client = RecordingClient(service, read_only=True)
            plain = RecordingClient(service)
            await client.wait_for_state(SessionState.CONNECTED_RO)
            with pytest.raises(ServiceError, match="NOT_READ_ONLY"):
                await client.session.create("/a", b"")
            assert await client.session.exists("/") is not None
            used = next(s.number for s in service.servers if s.address == client.session.server)
            service.servers[1 - used].read_only = False
            await client.wait_for_state(SessionState.CONNECTED)
            await plain.wait_for_state(SessionState.CONNECTED)
            assert client.session.server == service.servers[1 - used].address

    run(test)


def test_another_ensemble_while_suspended_is_a_new_session() -> None:
    async def test() -> None:
        async with ensemble(1) as old, ensemble(1) as new:
            client = await connected(old)
            await client.session.create("/a", b"")
            await client.session.get_children2("/", watch=True)
            old.run_step({"do": "partition", "mode": "reset"})
            await client.wait_for_state(SessionState.SUSPENDED)
            assert client.session.set_servers([server.address for server in new.servers])
            await client.wait_for_state(SessionState.CONNECTED)
            assert client.session.session_id in new.sessions and not client.session.watches.child
            assert not client.session.set_servers(
                [*(server.address for server in new.servers), ("127.0.0.1", 1)]
            )
            assert await client.session.exists("/a") is None

    run(test)


def test_requests_beyond_the_limit_are_refused_and_a_disconnect_fails_pending_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_PENDING_REQUESTS", 5)

    async def test() -> None:
        async with ensemble(1) as service:
            client = await connected(service)
            service.run_step({"do": "slow", "seconds": 5})
            pending = [asyncio.ensure_future(client.session.exists("/")) for _ in range(5)]
            await asyncio.sleep(0)
            with pytest.raises(TooManyRequestsError):
                await client.session.exists("/")
            service.run_step({"do": "drop"})
            ended = await asyncio.gather(*pending, return_exceptions=True)
            assert all(isinstance(error, ConnectionLostError) for error in ended)

    run(test)


INVALID_REPLIES = {
    "noise": b"HTTP/1.1 400 Bad Request\r\n\r\n",
    "endless": b"\x7f\xff\xff\xff",
    "short": b"\x00\x00\x00\x02ab",
    "nothing": b"",
}


@pytest.mark.parametrize("data", INVALID_REPLIES.values(), ids=INVALID_REPLIES)
def test_a_peer_with_invalid_replies_is_disconnected(data: bytes) -> None:
    async def test() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(10)
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        peer = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with ensemble(1) as service:
            client = await connected(service)
            client.session.stop()
            new_client = RecordingClient(service)
            new_client.session.set_servers([peer.sockets[0].getsockname()[:2], service.servers[0].address])
            await new_client.wait_for_state(SessionState.CONNECTED)
        peer.close()

    run(test)
