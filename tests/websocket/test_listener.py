"""Tests of the limits over all sessions, the end of a tunnel, and the test endpoint's scripted faults."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from websocket_test_harness import CONFIG, WAIT_TIMEOUT_S, run_test, running_websocket_proxy

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
    """Connection with only the parts that WebSocketListener.on_write uses."""

    def __init__(self, buffered_bytes: int) -> None:
        self.buffered_bytes = buffered_bytes
        self.close_code = 0

    def fail(self, code: int, reason: str) -> None:
        self.close_code = code

    def abort(self) -> None:
        self.buffered_bytes = 0


class UnreadConnection(BufferingConnection):
    """Connection whose peer reads nothing."""

    def __init__(self) -> None:
        super().__init__(0)
        self.unsent_bytes = 0

    def send(self, text: str) -> bool:
        if self.close_code:
            return False
        self.unsent_bytes += len(text)
        return True


def test_over_the_total_limit_the_connection_with_the_largest_buffer_is_closed() -> None:
    listener: Any = object.__new__(WebSocketListener)
    listener.max_unread_bytes = 1000
    listener.unread_bytes = 0
    listener.unread_by_connection = {}
    connections = [BufferingConnection(size) for size in (300, 400, 200)]
    for connection in connections:
        listener.on_write(connection)
    assert listener.unread_bytes == 900
    assert not any(connection.close_code for connection in connections)
    connections[0].buffered_bytes = 350
    listener.on_write(connections[0])
    assert listener.unread_bytes == 950
    connections[2].buffered_bytes = 260  # The total is 1,010 bytes.
    listener.on_write(connections[2])
    assert [connection.close_code for connection in connections] == [0, 1008, 0]
    assert listener.unread_bytes == 610
    connections[0].buffered_bytes = 0
    listener.on_write(connections[0])
    assert listener.unread_bytes == 260
    assert set(listener.unread_by_connection) == {connections[2]}


def test_a_session_over_its_unread_limit_is_closed_and_sent_nothing_more() -> None:
    connection = UnreadConnection()
    sessions = MessageSessions.__new__(MessageSessions)
    sessions.listener = SimpleNamespace(
        settings=WebSocket(messages=("pantalla",), unread_bytes=1024), on_write=lambda connection: None
    )
    message_connection = MessageConnection(sessions, MessageSession("t", ""), "127.0.0.1", 0.0)
    message_connection.connection = connection  # type: ignore[assignment]
    results = [(message_connection.send(text), connection.close_code) for text in ("x" * 1024, "x", "y")]
    assert results == [(True, 0), (True, 1008), (False, 1008)]
    assert connection.unsent_bytes == 1025


def test_an_endpoint_that_answers_no_close_frame_is_aborted() -> None:
    async def test() -> None:
        aborted = asyncio.Event()
        tunnel = Tunnel.__new__(Tunnel)
        tunnel.client_side, tunnel.endpoint_side = TunnelSide(tunnel, True), TunnelSide(tunnel, False)
        tunnel.endpoint_side.connection = SimpleNamespace(abort=aborted.set)  # type: ignore[assignment]
        tunnel.close_for_drain(1012)
        assert not aborted.is_set()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await aborted.wait()

    run_test(test())


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
def test_the_policy_is_notified_once_of_the_end_of_a_tunnel(
    end: Callable[[Tunnel], None], status: AttemptStatus
) -> None:
    """A repeated or missing notification would falsify the policy's count of an endpoint's sessions."""
    tunnel = Tunnel.__new__(Tunnel)
    notified = list[AttemptStatus]()
    tunnel.client_side, tunnel.endpoint_side = TunnelSide(tunnel, True), TunnelSide(tunnel, False)
    tunnel.endpoint_side.connection = SimpleNamespace(  # type: ignore[assignment]
        abort=lambda: tunnel.on_side_closed(tunnel.endpoint_side, ABNORMAL, ""),
        close=lambda *arguments: None,
        has_violated_protocol=False,
    )
    tunnel.notify_end = notified.append
    end(tunnel)
    end(tunnel)
    assert notified == [status]


def test_messages_are_subject_to_deadline_propagation(tmp_path: Path) -> None:
    """A message is a request for the filters: one with less time than its class takes is rejected unsent."""
    keys = tmp_path / "keys"
    keys.touch(0o600)
    keys.write_text("k1 " + "ab" * 16 + "\n")
    config = CONFIG + f'[budgets]\nkeys_file = "{keys}"\nedge = true\n'

    async def test() -> None:
        async with running_websocket_proxy(config=config, service_time=0.2) as deployment:
            client = await deployment.connect("/pantalla")
            await client.read_json()
            for n in range(30):
                client.send(f'{{"id":"a{n}","class":"reserva","key":"k{n}"}}')
                assert (await client.read_json())["outcome"] == "served"
            client.send('{"id":"b","class":"reserva","key":"b","budget_ms":25}')
            reply = await client.read_json()
            assert reply["outcome"] == "refused"
            assert not any(attempt.request_id == "b" for attempt in deployment.recorder.attempts)
            tunnel = await deployment.connect("/vigia")
            tunnel.send("x")
            assert await tunnel.read_text() == "n-0 x"

    run_test(test())


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{", "script:1: no JSON"),
        ('{\n"faults": [}', "script:2: no JSON"),
        ("[]", 'write {"faults"'),
        ('{"faults": [{"what": "explode"}]}', "fault 1: what must be one of silent, mute"),
        ('{"faults": [{"what": "mute"}, {"whn": 2, "what": "mute"}]}', "fault 2: "),
    ],
)
def test_an_invalid_fault_script_is_rejected_with_the_reason(text: str, message: str) -> None:
    with pytest.raises(ValueError) as error:
        read_script(text)
    assert message in str(error.value)


def test_a_scripted_endpoint_starts_as_a_program(tmp_path: Path) -> None:
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
        output, _ = await process.communicate()
        assert process.returncode == 0
        assert output.startswith(b"listening 127.0.0.1:")
        assert b"sessions 0" in output

    run_test(test())
