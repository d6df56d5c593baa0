"""WebSocket benchmark: sessions while half of the endpoints drain or crash, fuzzing, cost and memory.

    python -m benchmarks.websocket [--short] [--seed N] [--json FILE]

Half of the sessions are in message mode and half are tunnels. While all sessions send, a quarter of the
endpoints drain and a quarter are killed. Each tunnel to these endpoints must end in time, reconnect after the
delay in its close frame, and be served again.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import AsyncIterator, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from statistics import median
from typing import Any, NamedTuple

from benchmarks.per_call import US_PER_S, cpu_seconds, running_relay
from benchmarks.report import BenchmarkReport, run_benchmark
from benchmarks.websocket_fuzz import measure_fuzz
from harness.clients import CLASS_SETTINGS, DEFAULT_CLASSES, IDEMPOTENCY_BY_CLASS
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import until
from harness.proxy_process import ProxyProcess, platform_settings, running_proxy
from harness.recorder import Idempotency, Recorder
from harness.websocket_clients import WebSocketClient, WebSocketClientPool
from harness.websocket_endpoint import WebSocketEndpoint

MESSAGE_PATH = "/pantalla"
TUNNEL_PATH = "/vigia"
TUNNEL_CLASS = {
    "name": "vigia",
    "value": 1.0,
    "objective": 1.0,
    "deadline": 3.0,
    "effect": "repeatable",
    "stream": True,
}
UNLIMITED_RATE = "messages_per_s = 10000.0\nburst = 10000.0\nopen_messages = 1000\n"
MAX_DRAIN_S = 2.0  # Longest time that rule 3 allows for sessions at a draining endpoint.
DRAIN_TOLERANCE_S = 0.05  # Tolerance of the recorder's audit.
CONNECT_BATCH = 50  # Number of connections that are opened at the same time.
SEND_BATCH = 20  # Number of sessions that send at the same time.
SEND_INTERVAL_S = 2.0  # Interval between two messages of a session.
RECOVERY_TIMEOUT_S = 20.0  # Time to recover in addition to six times the reconnect spread.
PEAK_WINDOW_S = 0.1
MAX_PEAK_RATIO = 3.0  # Reconnects within PEAK_WINDOW_S, as a multiple of the even distribution.
PEAK_TOLERANCE = 3  # Accepted number of reconnects in addition to MAX_PEAK_RATIO.
MAX_IDLE_KB = 12.0  # Memory of the proxy per idle session.
WARM_UP_SESSIONS = 50  # Number of sessions that are opened before memory is measured.
TURNS = 3
COST_SESSIONS = 8


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a run.

    Attributes:
        sessions: number of sessions, half in message mode and half tunnels.
        endpoints: number of endpoints in the run with faults.
        reconnect_spread: seconds over which clients with closed sessions reconnect.
        streams: number of fuzzed streams of frames.
        histories: number of session registry histories.
        echoes: number of echoes per turn of the cost measurement.
        calm: seconds before the faults, and seconds after all sessions are served again.
    """

    sessions: int
    endpoints: int
    reconnect_spread: float
    streams: int
    histories: int
    echoes: int
    calm: float


FULL = Size(2000, 8, 5.0, 100_000, 20_000, 6000, 5.0)
SHORT = Size(400, 8, 2.0, 4000, 500, 1500, 1.5)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Running proxy with its endpoints and clients."""

    proxy: ProxyProcess
    client_pool: WebSocketClientPool
    endpoints: list[WebSocketEndpoint]
    registry: EndpointRegistry
    recorder: Recorder

    def notification_times(self, first: int) -> dict[str, float]:
        """Return the time of the proxy's notification for each draining endpoint.

        Notifications before the index `first` are ignored.
        """
        return {
            notification.endpoint: notification.notified_at
            for notification in self.recorder.notifications[first:]
            if notification.state != "ready"
        }


@asynccontextmanager
async def running_deployment(size: Size, endpoint_count: int, config: str = "") -> AsyncIterator[Deployment]:
    """Run a proxy that accepts all sessions. `config` holds additional settings for [websocket]."""
    recorder = Recorder()
    registry = EndpointRegistry(recorder)
    endpoints = [WebSocketEndpoint(recorder, f"n-{n}", zone="abc"[n % 3]) for n in range(endpoint_count)]
    for endpoint in endpoints:
        await endpoint.start()
    entries = [entry(endpoint.name, endpoint.address, zone=endpoint.zone) for endpoint in endpoints]
    for endpoint_entry in entries:
        registry.put(endpoint_entry)
    discovery = await registry.start()
    operator = (
        f'[websocket]\nmessages = ["pantalla"]\ntunnels = ["vigia"]\nsessions = {size.sessions + 100}\n'
        f"reconnect_spread = {size.reconnect_spread}\nping_every = 5.0\n{config}"
    )
    overrides = {
        "settings": platform_settings(grades=[*CLASS_SETTINGS, TUNNEL_CLASS]),
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 3 * size.sessions + 1500},
    }
    try:
        async with running_proxy("edge", discovery, entries, operator, overrides=overrides) as proxy:
            client_pool = WebSocketClientPool(recorder, [proxy.address])
            try:
                yield Deployment(proxy, client_pool, endpoints, registry, recorder)
            finally:
                client_pool.close()
    finally:
        for endpoint in endpoints:
            endpoint.stop()
        registry.stop()


async def connect_clients(pool: WebSocketClientPool, count: int, path: str) -> list[WebSocketClient]:
    """Connect `count` additional clients."""
    clients: list[WebSocketClient] = []
    for first in range(0, count, CONNECT_BATCH):
        names = [f"{path[1]}{first + n}" for n in range(min(CONNECT_BATCH, count - first))]
        batch = [pool.add(name, path) for name in names]
        clients += batch
        await asyncio.gather(*(client.connect() for client in batch))
        await until(lambda: pool.connected_count == len(pool.clients), "the sessions are open")
    return clients


async def keep_sending(pool: WebSocketClientPool, random: Random) -> None:
    """Send one message per session every SEND_INTERVAL_S, evenly distributed over the interval."""
    shares = [request_class.share for request_class in DEFAULT_CLASSES]
    while True:
        started_at = time.monotonic()
        clients = list(pool.clients)
        random.shuffle(clients)
        for number, client in enumerate(clients):
            if number % SEND_BATCH == 0:
                due = started_at + SEND_INTERVAL_S * number / len(clients)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            if client.is_connected and client.is_message_mode:
                client.send(random.choices(DEFAULT_CLASSES, shares)[0])
            elif client.is_connected:
                client.send_text("x")
        await asyncio.sleep(max(0.0, started_at + SEND_INTERVAL_S - time.monotonic()))


def served_messages(client: WebSocketClient) -> int:
    """Return the number of a client's messages that were served or echoed."""
    return client.served_count if client.is_message_mode else len(client.texts)


@dataclass(slots=True)
class FaultResult:
    """Results of the drains and kills.

    Attributes:
        draining, killed: names of the endpoints.
        sessions: number of sessions that were open at these endpoints.
        max_drain: longest time in seconds from the notification of a drain to the end of the endpoint's last
            session.
        recovered_after: seconds until all sessions were served again, or -1 if they never were.
        unserved: number of sessions that were not served again.
        reconnect_times: times of the connections after the faults, in ascending order.
    """

    draining: list[str]
    killed: list[str]
    sessions: int
    max_drain: float = 0.0
    recovered_after: float = -1.0
    unserved: int = 0
    reconnect_times: list[float] = field(default_factory=list)

    @property
    def peak_reconnects(self) -> int:
        """Return the largest number of reconnects within PEAK_WINDOW_S."""
        times = self.reconnect_times
        in_windows = (sum(1 for time in times if start <= time < start + PEAK_WINDOW_S) for start in times)
        return max(in_windows, default=0)


async def inject_faults(deployment: Deployment, size: Size) -> FaultResult:
    """Drain a quarter of the endpoints, kill a quarter, and wait until all sessions are served again."""
    pool = deployment.client_pool
    quarter = size.endpoints // 4
    draining = deployment.endpoints[:quarter]
    killed = deployment.endpoints[quarter : 2 * quarter]
    result = FaultResult(
        [endpoint.name for endpoint in draining],
        [endpoint.name for endpoint in killed],
        sum(len(endpoint.open_sessions) for endpoint in draining + killed),
    )
    first_connect = len(pool.connect_times)
    first_notification = len(deployment.recorder.notifications)
    for endpoint in draining:
        status = entry(endpoint.name, endpoint.address, zone=endpoint.zone, status="Terminating")
        deployment.registry.put(status)
    await until(
        lambda: len(deployment.notification_times(first_notification)) == quarter,
        "the proxy is notified of the drains",
    )
    for endpoint in killed:
        endpoint.stop()
    ended_at = await wait_for_recovery(pool, draining, size, result)
    await asyncio.sleep(size.calm)
    notified_at = deployment.notification_times(first_notification)
    result.max_drain = max(ended_at[name] - notified_at[name] for name in result.draining)
    result.reconnect_times = sorted(pool.connect_times[first_connect:])
    return result


async def wait_for_recovery(
    pool: WebSocketClientPool, draining: list[WebSocketEndpoint], size: Size, result: FaultResult
) -> dict[str, float]:
    """Wait until all sessions are served again.

    Return when the last session of each draining endpoint ended.
    """
    started_at = time.monotonic()
    deadline = started_at + 6 * size.reconnect_spread + RECOVERY_TIMEOUT_S
    served_before = {client: served_messages(client) for client in pool.clients}
    ended_at: dict[str, float] = {}
    unserved = list(pool.clients)
    while unserved and time.monotonic() < deadline:
        for endpoint in draining:
            if not endpoint.open_sessions:
                ended_at.setdefault(endpoint.name, time.monotonic())
        unserved = [client for client in unserved if served_messages(client) <= served_before[client]]
        if not unserved:
            result.recovered_after = time.monotonic() - started_at
        await asyncio.sleep(0.01)
    result.unserved = len(unserved)
    return {endpoint.name: ended_at.get(endpoint.name, deadline) for endpoint in draining}


async def measure_faults(report: BenchmarkReport, size: Size) -> None:
    """Drain and kill endpoints while all sessions are open."""
    async with running_deployment(size, size.endpoints) as deployment:
        pool = deployment.client_pool
        started_at = time.monotonic()
        message_sessions = await connect_clients(pool, size.sessions // 2, MESSAGE_PATH)
        tunnels = await connect_clients(pool, size.sessions - size.sessions // 2, TUNNEL_PATH)
        unit = f"sessions over {size.endpoints} endpoints, half of them tunnels"
        report.record("sessions", len(message_sessions) + len(tunnels), unit)
        report.record("opened_in", time.monotonic() - started_at, "s")
        sending = asyncio.create_task(keep_sending(pool, Random(report.seed)))
        await asyncio.sleep(size.calm)
        result = await inject_faults(deployment, size)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await until(lambda: not pool.open_message_count, "the last outcomes")
        report_faults(report, result, size)
        report_messages(report, deployment)


def report_faults(report: BenchmarkReport, result: FaultResult, size: Size) -> None:
    """Record the results of the drains and kills, and check them."""
    even_count = result.sessions * PEAK_WINDOW_S / size.reconnect_spread
    peak = result.peak_reconnects
    faults = f"sessions at {len(result.draining)} draining and {len(result.killed)} killed endpoints"
    report.record("hit_sessions", result.sessions, faults)
    drained = "s from the notification to the end of the last session at a draining endpoint"
    report.record("drained_after", result.max_drain, drained)
    report.record("served_again", result.recovered_after, "s until all sessions were served again")
    spread = f"after the faults, at most {peak} in 100 ms (evenly spread: {even_count:.1f})"
    report.record("reconnects", len(result.reconnect_times), spread)
    report.check(result.sessions > 0, "no session was open at the draining and killed endpoints")
    is_drained = result.max_drain <= MAX_DRAIN_S + DRAIN_TOLERANCE_S
    report.check(is_drained, f"a draining endpoint had sessions for {result.max_drain:.2f} s")
    report.check(not result.unserved, f"{result.unserved} sessions were not served again")
    report.check(peak <= MAX_PEAK_RATIO * even_count + PEAK_TOLERANCE, f"{peak} reconnects in 100 ms")


def report_messages(report: BenchmarkReport, deployment: Deployment) -> None:
    """Record closes, messages and outcomes, and check that messages match outcomes and no rule is broken."""
    pool = deployment.client_pool
    recorder = deployment.recorder
    closes = ", ".join(f"{code}: {count}" for code, count in sorted(pool.close_codes.items()))
    outcomes = ", ".join(f"{outcome} {count}" for outcome, count in sorted(pool.outcomes.items()))
    violations = recorder.audit({**IDEMPOTENCY_BY_CLASS, "vigia": Idempotency("repeatable")})
    report.record("closes", sum(pool.close_codes.values()), closes)
    report.record("messages", len(recorder.requests), "accepted in message mode")
    report.record("outcomes", sum(pool.outcomes.values()), outcomes)
    report.record("echoes", pool.echo_count, "echoes through tunnels")
    report.record("rules_broken", len(violations), "violations found by the recorder's audit")
    for violation in violations[:3]:
        print(violation)
    has_equal_counts = len(recorder.requests) == len(recorder.answers) == sum(pool.outcomes.values())
    sent = {request.request_id for request in recorder.requests}
    answered = {answer.request_id for answer in recorder.answers}
    report.check(has_equal_counts and answered == sent, "messages and outcomes don't match")
    report.check(not violations, f"{len(violations)} rules broken")
    report.check(set(pool.close_codes) <= {1012}, f"sessions closed with another code than 1012: {closes}")


async def measure_memory(report: BenchmarkReport, size: Size) -> None:
    """Measure the proxy's memory per idle session in each mode."""
    async with running_deployment(size, 4) as deployment:
        for name, path in (("talk", MESSAGE_PATH), ("tunnel", TUNNEL_PATH)):
            await connect_clients(deployment.client_pool, WARM_UP_SESSIONS, path)
            resident_before = deployment.proxy.resident_mb()
            count = size.sessions // 2 - WARM_UP_SESSIONS
            await connect_clients(deployment.client_pool, count, path)
            kb_per_session = (deployment.proxy.resident_mb() - resident_before) * 1024 / count
            report.record(
                f"idle_{name}", kb_per_session, f"kB of the proxy's memory per session, for {count} sessions"
            )
            report.check(
                kb_per_session < MAX_IDLE_KB, f"an idle {name} session takes {kb_per_session:.1f} kB"
            )


class Cost(NamedTuple):
    """Cost of messages in one turn: CPU seconds per message, and messages per second."""

    cpu: float
    rate: float


async def measure_cost(report: BenchmarkReport, size: Size) -> None:
    """Compare the cost of echoes through a tunnel and through a bare relay in turns, and measure messages.

    The messages in message mode are requests.
    """
    async with AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(running_deployment(size, 1, UNLIMITED_RATE))
        relay = await stack.enter_async_context(running_relay(deployment.endpoints[0].address))
        relay_pool = WebSocketClientPool(Recorder(), [relay.address])
        proxy_pid = deployment.proxy.process.pid
        echo_clients = {
            "relay": (relay.pid, await connect_clients(relay_pool, COST_SESSIONS, TUNNEL_PATH)),
            "tunnel": (proxy_pid, await connect_clients(deployment.client_pool, COST_SESSIONS, TUNNEL_PATH)),
        }
        message_clients = await connect_clients(deployment.client_pool, COST_SESSIONS, MESSAGE_PATH)
        costs: dict[str, list[Cost]] = {"relay": [], "tunnel": [], "talk": []}
        for _ in range(TURNS):
            for name, (pid, clients) in echo_clients.items():
                costs[name].append(await run_echoes(pid, clients, size.echoes))
            costs["talk"].append(await run_requests(proxy_pid, message_clients, size.echoes // 4))
        relay_pool.close()
    for name, turn_costs in costs.items():
        cpu = median(cost.cpu for cost in turn_costs) * US_PER_S
        report.record(f"cpu_{name}", cpu, "us per message and its answer")
        rate = median(cost.rate for cost in turn_costs)
        report.record(f"rate_{name}", rate, f"messages/s, one at a time on {COST_SESSIONS} sessions")
    pairs = zip(costs["tunnel"], costs["relay"], strict=True)
    ratios = [tunnel.cpu / relay_cost.cpu for tunnel, relay_cost in pairs]
    spread = f"times the CPU of the relay, {min(ratios):.2f} to {max(ratios):.2f}"
    report.record("tunnel_to_relay", median(ratios), spread)


async def run_echoes(pid: int, clients: list[WebSocketClient], count: int) -> Cost:
    """Send messages through tunnels. Each client sends one message at a time."""

    async def run_client(client: WebSocketClient) -> None:
        for _ in range(count // len(clients)):
            received = len(client.texts)
            client.received.clear()
            client.send_text("x" * 32)
            while len(client.texts) == received:
                await client.received.wait()
                client.received.clear()

    return await cost_of(pid, [run_client(client) for client in clients], count)


async def run_requests(pid: int, clients: list[WebSocketClient], count: int) -> Cost:
    """Send messages that are requests. Each client sends one message at a time."""

    async def run_client(client: WebSocketClient) -> None:
        for _ in range(count // len(clients)):
            client.received.clear()
            client.send(DEFAULT_CLASSES[1])
            while client.open_messages:
                await client.received.wait()
                client.received.clear()

    return await cost_of(pid, [run_client(client) for client in clients], count)


async def cost_of(pid: int, work: list[Coroutine[Any, Any, None]], count: int) -> Cost:
    """Run coroutines that send `count` messages through a process, and return the cost per message."""
    cpu_before = cpu_seconds(pid)
    started_at = time.monotonic()
    await asyncio.gather(*work)
    return Cost((cpu_seconds(pid) - cpu_before) / count, count / (time.monotonic() - started_at))


async def measure(report: BenchmarkReport, _options: argparse.Namespace) -> None:
    """Run all parts of the benchmark."""
    size = SHORT if report.short else FULL
    measure_fuzz(report, size.streams, size.histories)
    await measure_memory(report, size)
    await measure_cost(report, size)
    await measure_faults(report, size)


if __name__ == "__main__":
    sys.exit(run_benchmark("websocket", measure))
