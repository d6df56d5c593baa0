"""What the whole of the sessions is bound by, and the rigs' own script."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from wskit import CONFIG, PATIENCE, run, running

from harness.proxy_process import ROOT
from harness.websocket_endpoint import ScriptedFault, read_script
from service_proxy.operator_file import WebSocket
from service_proxy.policy.events import AttemptStatus
from service_proxy.websocket.frame_codec import ABNORMAL
from service_proxy.websocket.listener import WebSocketListener
from service_proxy.websocket.message_session import MessageConnection, MessageSessions
from service_proxy.websocket.session_registry import MessageSession
from service_proxy.websocket.tunnel import Tunnel, TunnelSide


class BufferingConnection:
    """A connection as far as WebSocketListener.on_write knows it."""

    def __init__(self, buffered_bytes: int) -> None:
        self.buffered_bytes = buffered_bytes
        self.failed = 0

    def fail(self, code: int, reason: str) -> None:
        self.failed = code

    def abort(self) -> None:
        self.buffered_bytes = 0


class UnreadConnection(BufferingConnection):
    """A connection whose other side reads nothing."""

    def __init__(self) -> None:
        super().__init__(0)
        self.unsent_bytes = 0

    def send(self, text: str) -> bool:
        if self.failed:
            return False
        self.unsent_bytes += len(text)
        return True


def test_where_all_hold_too_much_the_one_that_holds_most_is_closed() -> None:
    front: Any = object.__new__(WebSocketListener)
    front.max_unread_bytes = 1000
    front.unread_bytes = 0
    front.unread_by_connection = {}
    peers = [BufferingConnection(size) for size in (300, 400, 200)]
    for peer in peers:
        front.on_write(peer)
    assert front.unread_bytes == 900 and not any(peer.failed for peer in peers)
    peers[0].buffered_bytes = 350
    front.on_write(peers[0])
    assert front.unread_bytes == 950
    peers[2].buffered_bytes = 260  # 1,010 in all
    front.on_write(peers[2])
    assert [peer.failed for peer in peers] == [0, 1008, 0] and front.unread_bytes == 610
    peers[0].buffered_bytes = 0
    front.on_write(peers[0])
    assert front.unread_bytes == 260 and set(front.unread_by_connection) == {peers[2]}


def test_a_session_that_has_too_much_unread_is_closed_and_told_nothing_more() -> None:
    peer = UnreadConnection()
    talks = MessageSessions.__new__(MessageSessions)
    talks.listener = SimpleNamespace(
        settings=WebSocket(messages=("pantalla",), unread_bytes=1024), on_write=lambda peer: None
    )
    talk = MessageConnection(talks, MessageSession("t", ""), "127.0.0.1", 0.0)
    talk.connection = peer  # type: ignore[assignment]
    told = [(talk.send(text), peer.failed) for text in ("x" * 1024, "x", "y")]
    assert told == [(True, 0), (True, 1008), (False, 1008)] and peer.unsent_bytes == 1025


def test_a_node_that_answers_no_close_frame_is_let_go_of() -> None:
    async def test() -> None:
        done = asyncio.Event()
        tunnel = Tunnel.__new__(Tunnel)
        tunnel.client_side, tunnel.endpoint_side = TunnelSide(tunnel, True), TunnelSide(tunnel, False)
        tunnel.endpoint_side.connection = SimpleNamespace(abort=done.set)  # type: ignore[assignment]
        tunnel.close_for_drain(1012)
        assert not done.is_set()
        async with asyncio.timeout(PATIENCE):
            await done.wait()

    run(test())


@pytest.mark.parametrize(
    ("end", "status"),
    [
        (lambda t: t.on_side_closed(t.client_side, 1000, ""), AttemptStatus.OK),
        (lambda t: t.on_side_closed(t.client_side, ABNORMAL, ""), AttemptStatus.OK),
        (lambda t: t.on_side_closed(t.endpoint_side, 1000, ""), AttemptStatus.OK),
        (lambda t: t.on_side_closed(t.endpoint_side, ABNORMAL, ""), AttemptStatus.RESET),
        (lambda t: t.on_ping_timeout(t.endpoint_side), AttemptStatus.TIMEOUT),
    ],
)
def test_the_module_is_told_the_end_of_a_tunnel_once(
    end: Callable[[Tunnel], None], status: AttemptStatus
) -> None:
    """It counts the sessions of a node until then."""
    tunnel = Tunnel.__new__(Tunnel)
    told = list[AttemptStatus]()
    tunnel.client_side, tunnel.endpoint_side = TunnelSide(tunnel, True), TunnelSide(tunnel, False)
    tunnel.endpoint_side.connection = SimpleNamespace(  # type: ignore[assignment]
        abort=lambda: tunnel.on_side_closed(tunnel.endpoint_side, ABNORMAL, ""),
        close=lambda *how: None,
        has_violated_protocol=False,
    )
    tunnel.notify_end = told.append
    end(tunnel)
    end(tunnel)
    assert told == [status]


def test_budgets_and_messages_go_together(tmp_path: Path) -> None:
    """A message is a call to the filters, too: one with less time than its class takes is refused unseen."""
    keys = tmp_path / "keys"
    keys.touch(0o600)
    keys.write_text("k1 " + "ab" * 16 + "\n")
    config = CONFIG + f'[budgets]\nkeys_file = "{keys}"\nedge = true\n'

    async def test() -> None:
        async with running(config=config, service=0.2) as made:
            raw = await made.opened("/pantalla")
            await raw.said()
            for n in range(30):
                raw.send(f'{{"id":"a{n}","class":"reserva","key":"k{n}"}}')
                assert (await raw.said())["outcome"] == "served"
            raw.send('{"id":"b","class":"reserva","key":"b","budget_ms":25}')
            said = await raw.said()
            assert said["outcome"] == "refused" and not any(a.request_id == "b" for a in made.ledger.attempts)
            tunnel = await made.opened("/vigia")
            tunnel.send("x")
            assert await tunnel.text() == "n-0 x"

    run(test())


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("{", "script:1: no JSON"),
        ('{\n"faults": [}', "script:2: no JSON"),
        ("[]", 'write {"faults"'),
        ('{"faults": [{"what": "explode"}]}', "fault 1: what must be one of silent, mute"),
        ('{"faults": [{"what": "mute"}, {"whn": 2, "what": "mute"}]}', "fault 2: "),
    ],
)
def test_a_nodes_script_that_can_not_be_used_is_told_why(text: str, says: str) -> None:
    with pytest.raises(ValueError) as fault:
        read_script(text)
    assert says in str(fault.value)


def test_a_scripted_node_starts_as_a_program(tmp_path: Path) -> None:
    file = tmp_path / "script.json"
    file.write_text('{"faults": [{"session": 3, "after": 2, "what": "silent"}]}')
    assert read_script(file.read_text()) == [ScriptedFault("silent", 3, 2)]

    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "harness.websocket_endpoint",
            "--script",
            str(file),
            "--seconds",
            "0.2",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        assert process.returncode == 0 and out.startswith(b"listening 127.0.0.1:")
        assert b"sessions 0" in out

    run(test())
