"""Stand-in for a coordination service, which speaks the ZooKeeper client protocol and runs scripted faults.

    python -m harness.coordination --listen 127.0.0.1:0 [--ensemble 3] [--script FILE] [--seconds 600]

It prints `listening HOST:PORT` for the first server of the ensemble, then one such line for each further
server. One process holds all servers and one tree, so the ensemble is always consistent. Only the script's
steps cause faults:

    {"at": 2.0, "do": "expire", "path": "/salas/portal/s-1"}    expires the znode's session; or "session": ID
    {"at": 3.0, "do": "partition", "servers": [0, 1], "mode": "silent"}     or "reset"; sessions time out
    {"at": 5.0, "do": "heal"}                                   ends a partition
    {"at": 6.0, "do": "slow", "seconds": 0.5}                   delays each reply of all servers; 0 ends it
    {"at": 7.0, "do": "lose_leader", "seconds": 1.5}            no server serves; sessions do not time out
    {"at": 8.0, "do": "lose_watches", "on": true}               fired watches are not sent
    {"at": 9.0, "do": "empty"}                                  loses all znodes and sessions
    {"at": 9.5, "do": "save"}, {"at": 10, "do": "restore"}      restores the saved tree with its zxid
    {"at": 11.0, "do": "read_only", "servers": [2], "on": true}
    {"at": 12.0, "do": "drop"}                                  ends all connections

Sources: zookeeper.jute and the programmer's guide (sessions, watches, ephemeral nodes, multi).
"""

from __future__ import annotations

import argparse
import asyncio
import copy
import hashlib
import json
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any, NamedTuple

from harness.coordination_connection import ServiceConnection, SessionRecord
from harness.znode_tree import Znode, ZnodeTree
from service_proxy.ephemeral_nodes import records
from service_proxy.ephemeral_nodes.records import ANY_VERSION

EXPIRY_CHECK_INTERVAL_S = 0.05  # interval between two checks for expired sessions
# Range of the session timeout that a client can negotiate.
MIN_SESSION_TIMEOUT_MS = 200
MAX_SESSION_TIMEOUT_MS = 40_000
LISTEN_BACKLOG = 1024
SILENT = "silent"
RESET = "reset"
MAX_SERVERS = 9

Step = dict[str, Any]  # one step of a script


class ExpiredSession(NamedTuple):
    """An ended session: the time of its end (monotonic, s), its id, and the paths of its ephemeral znodes."""

    at: float
    session_id: int
    nodes: set[str]


class SavedTree(NamedTuple):
    """A backup of the tree."""

    zxid: int
    nodes: dict[str, Znode]


class CoordinationService:
    """The ensemble: its servers, one tree, the sessions, and the steps of a script."""

    def __init__(self, servers: int = 1, persistent_watches: bool = True) -> None:
        self.loop = asyncio.get_running_loop()
        self.tree = ZnodeTree()
        self.tree.fire = self._fire
        self.sessions: dict[int, SessionRecord] = {}
        self.ids = count((int(time.time() * 1000) << 20) & 0x00FFFFFFFFFFFFFF | 1)
        self.persistent_watches = persistent_watches
        self.servers = [EnsembleServer(self, number) for number in range(servers)]
        # password by user; if not empty, the digest of an unknown user is rejected
        self.credentials: dict[str, str] = {}
        self.slow = 0.0  # delay of each reply in s
        self.watches_lost = False
        self.leaderless = False
        self.saved: SavedTree | None = None
        self.requests: dict[int, int] = defaultdict(int)  # number of requests by type
        self.expired: list[ExpiredSession] = []
        # Called after a write to a client: with an event and the name of its znode, or with 0 and the names
        # of all children of a path.
        self.on_sent: Callable[[ServiceConnection, int, list[str]], None] | None = None
        self._expiry_task: asyncio.Task[None] | None = None
        self._script_task: asyncio.Task[None] | None = None
        self._actions: dict[str, Callable[[Step], None]] = {
            "expire": self._expire_by_step,
            "partition": lambda step: self._for_each(
                step, lambda server: server.partition(step.get("mode", SILENT))
            ),
            "heal": lambda step: self._for_each(step, EnsembleServer.heal),
            "slow": self._set_slow,
            "lose_leader": lambda step: self.lose_leader(float(step["seconds"])),
            "lose_watches": self._set_watches_lost,
            "empty": lambda _step: self.empty(),
            "save": lambda _step: self.save(),
            "restore": lambda _step: self.restore(),
            "read_only": lambda step: self._for_each(
                step, lambda server: server.set_read_only(bool(step["on"]))
            ),
            "drop": lambda step: self._for_each(step, EnsembleServer.drop_all),
        }

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> list[tuple[str, int]]:
        """Start all servers and return their addresses; the first server listens on the requested port."""
        for server in self.servers:
            await server.listen(host, port if server.number == 0 else 0)
        self._expiry_task = self.loop.create_task(self._expire_sessions())
        return [server.address for server in self.servers]

    async def stop(self) -> None:
        """Close all servers."""
        for task in (self._expiry_task, self._script_task):
            if task is not None:
                task.cancel()
        for server in self.servers:
            server.close()

    # Sessions
    async def _expire_sessions(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            now = time.monotonic()
            if self.leaderless:  # without a leader no session can expire
                for session in self.sessions.values():
                    session.last_request_at = now
                continue
            for session in [s for s in self.sessions.values() if now > s.last_request_at + s.timeout]:
                self.expire(session.id)

    def expire(self, number: int) -> None:
        """Expire a session: delete its ephemeral znodes and drop its connection."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        self.expired.append(ExpiredSession(time.monotonic(), number, set(session.nodes)))
        for path in sorted(session.nodes):
            if path in self.tree.nodes:
                self.tree.delete(path, ANY_VERSION)
        if session.connection is not None:
            session.connection.drop()

    def connect(self, request: records.ConnectRequest, connection: ServiceConnection) -> SessionRecord | None:
        """Return a new session, or the requested session; None if that session has expired.

        If the session was open on another connection, that connection is dropped.
        """
        timeout = min(MAX_SESSION_TIMEOUT_MS, max(MIN_SESSION_TIMEOUT_MS, request.timeout_ms)) / 1000
        now = time.monotonic()
        if request.session_id == 0:
            number = next(self.ids)
            password = hashlib.sha256(b"%d" % number).digest()[: records.PASSWORD_BYTES]
            session = SessionRecord(number, password, timeout, now)
            self.sessions[number] = session
        else:
            found = self.sessions.get(request.session_id)
            if found is None or found.password != request.password:
                return None
            session = found
            session.timeout = timeout
            session.last_request_at = now
            if session.connection is not None and session.connection is not connection:
                session.connection.drop()
        session.connection = connection
        return session

    def _fire(self, event: int, path: str) -> None:
        for server in self.servers:
            for connection in list(server.connections):
                connection.fire(event, path)

    # Script
    def run_script(self, steps: list[Step]) -> None:
        """Run the steps in the background, each at its time after this call."""
        self._script_task = self.loop.create_task(self._run_steps(steps))

    async def _run_steps(self, steps: list[Step]) -> None:
        started_at = self.loop.time()
        for step in sorted(steps, key=lambda step: float(step["at"])):
            await asyncio.sleep(max(0.0, started_at + float(step["at"]) - self.loop.time()))
            self.run_step(step)

    def run_step(self, step: Step) -> None:
        """Run one step now.

        Raises:
            ValueError: the step is unknown.
        """
        action = self._actions.get(step["do"])
        if action is None:
            raise ValueError(
                f"unknown step {step['do']!r}; write one that the docstring of harness.coordination lists"
            )
        action(step)

    def _for_each(self, step: Step, action: Callable[[EnsembleServer], None]) -> None:
        """Apply an action to the servers that the step names, or to all servers."""
        for number in step.get("servers", range(len(self.servers))):
            action(self.servers[number])

    def _expire_by_step(self, step: Step) -> None:
        self.expire(int(step.get("session") or self.tree.node(step["path"]).owner))

    def _set_slow(self, step: Step) -> None:
        self.slow = float(step["seconds"])

    def _set_watches_lost(self, step: Step) -> None:
        self.watches_lost = bool(step["on"])

    def lose_leader(self, seconds: float) -> None:
        """Stop serving on all servers for some seconds, until another leader is elected."""
        self.leaderless = True
        for server in self.servers:
            server.partition(RESET)
        self.loop.call_later(seconds, self._elect_leader)

    def _elect_leader(self) -> None:
        self.leaderless = False
        self.tree.begin_epoch()
        for server in self.servers:
            server.heal()

    def empty(self) -> None:
        """Lose all sessions and znodes without firing watches; zxids continue."""
        self.sessions.clear()
        self.tree.reset()
        self.tree.zxid += 1
        for server in self.servers:
            server.drop_all()

    def save(self) -> None:
        """Save a backup of the tree."""
        self.saved = SavedTree(self.tree.zxid, copy.deepcopy(self.tree.nodes))

    def restore(self) -> None:
        """Restore the tree from the backup.

        Raises:
            ValueError: there is no backup.
        """
        if self.saved is None:
            raise ValueError("no backup to restore: put a step save before restore")
        self.tree.zxid = self.saved.zxid
        self.tree.nodes = copy.deepcopy(self.saved.nodes)
        for server in self.servers:
            server.drop_all()


class EnsembleServer:
    """One server of the ensemble: a listener and its connections."""

    def __init__(self, service: CoordinationService, number: int) -> None:
        self.service = service
        self.number = number
        self.connections: set[ServiceConnection] = set()
        self.address = ("127.0.0.1", 0)
        self.mode = ""  # "", SILENT or RESET
        self.read_only = False
        self.accepted = 0  # number of accepted connections
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServiceConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        self.address = self.listener.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.listener is not None:
            self.listener.close()
        self.drop_all()

    def drop_all(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.drop()

    def partition(self, mode: str) -> None:
        """Partition the server: SILENT leaves connections open, RESET ends open and new ones at once."""
        self.mode = mode
        if mode == RESET:
            self.drop_all()

    def heal(self) -> None:
        """End the partition. Connections from a SILENT partition are dropped with all unanswered requests."""
        mode = self.mode
        self.mode = ""
        if mode == SILENT:
            self.drop_all()

    def set_read_only(self, on: bool) -> None:
        """Switch read-only mode, in which a server without a quorum serves; drop all connections."""
        self.read_only = on
        self.drop_all()


def read_script(path: Path) -> list[Step]:
    """Read a script with one JSON object per line.

    Raises:
        ValueError: a line is not a step; names file and line.
    """
    steps = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        try:
            step = json.loads(line)
            float(step["at"])
            str(step["do"])
        except (ValueError, KeyError, TypeError) as error:
            text = f"{path}:{number}: not a step: {error!r}; write an object with at and do"
            raise ValueError(text) from None
        steps.append(step)
    return steps


async def serve(listen: str, ensemble: int, script: Path | None, seconds: float) -> None:
    """Run an ensemble for `seconds`."""
    host, _, port = listen.rpartition(":")
    service = CoordinationService(ensemble)
    steps = read_script(script) if script else []
    for at in await service.start(host, int(port)):
        print(f"listening {at[0]}:{at[1]}", flush=True)
    service.run_script(steps)
    try:
        await asyncio.sleep(seconds)
    finally:
        await service.stop()


def main(argv: list[str] | None = None) -> int:
    """Run the program; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.coordination",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument(
        "--ensemble", type=int, default=1, choices=range(1, MAX_SERVERS + 1), metavar="SERVERS"
    )
    parser.add_argument("--script", type=Path, metavar="FILE")
    parser.add_argument("--seconds", type=float, default=600.0, help="time until the program ends")
    arguments = parser.parse_args(argv)
    try:
        asyncio.run(serve(arguments.listen, arguments.ensemble, arguments.script, arguments.seconds))
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        pass
    return 0


if __name__ == "__main__":
    sys.exit(main())
