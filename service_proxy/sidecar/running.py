"""The `run` command: the inbound and outbound listeners of one sidecar beside its application.

The description is checked before any socket is opened, and again on SIGHUP. A file that fails the check
changes nothing. At SIGTERM the inbound side ends first, because the application needs the outbound listeners
while it processes requests.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import secrets
import signal
import socket
import sys
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import uvloop

from service_proxy.composition import (
    Proxy,
    create_deadline_propagation,
    create_registrar,
    drain_server,
    freeze_long_lived_objects,
    inner_filters,
)
from service_proxy.log_setup import configure_logging
from service_proxy.net.config import ConfigError, ProxyConfig, parse_config
from service_proxy.net.downstream import BASE_MEMORY_MB
from service_proxy.net.endpoint_list import parse_address
from service_proxy.operator_file.reader import OperatorError, Problem
from service_proxy.policy.settings_types import RequestClass
from service_proxy.sidecar import report
from service_proxy.sidecar.admission import ACCEPTING_STATES, ApplicationState
from service_proxy.sidecar.checking import check, exit_code_of
from service_proxy.sidecar.description import load
from service_proxy.sidecar.explain import effective_values
from service_proxy.sidecar.inbound import IDEMPOTENCY_BY_EFFECT, InboundListener
from service_proxy.sidecar.model import Description, Sidecar
from service_proxy.sidecar.write import platform_config

log = logging.getLogger("service_proxy.sidecar")

RESPONSE_MARGIN_S = 0.4  # the last responses are sent this long before SIGKILL
MS_PER_S = 1000
MAX_LOGGED_FINDINGS = 3  # findings per log line
# Keys that a reload on SIGHUP can change.
RELOADABLE_KEYS = frozenset(("padron", "slots", "waiting", "health"))


class StartEstimate(NamedTuple):
    """Latest and earliest possible start of the application in ms of Unix time; earliest 0: unknown."""

    since_ms: int
    since_after_ms: int


class DescriptionRejectedError(Exception):
    """Error: the description has findings of the checks, so it can't be run."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__(f"{len(problems)} findings")
        self.problems = problems


def read_description(file: str, environment: str) -> Description:
    """Read and check a description. Raises DescriptionRejectedError."""
    problems = [problem for problem in check([file], environment) if not problem.is_warning]
    if not problems:
        try:
            layers, description = load(file, environment)
        except OperatorError as error:
            raise DescriptionRejectedError(error.problems) from None
        if description is not None:
            return description
        problems = layers.problems  # the file changed after the check
    raise DescriptionRejectedError(problems)


def choose_sidecar(description: Description, host: str, tier: str) -> Sidecar:
    """Return the [[sidecar]] table that matches the host and tier. Raises DescriptionRejectedError.

    If several tables match and no host is given, the table of this machine's host name is used.
    """
    found = [
        sidecar
        for sidecar in description.sidecars
        if (not tier or sidecar.tier == tier) and (not host or sidecar.host == host)
    ]
    if not host and len(found) > 1:
        found = [sidecar for sidecar in found if sidecar.host == socket.gethostname()] or found
    if len(found) == 1:
        return found[0]
    names = ", ".join(f"--host {entry.host} --tier {entry.tier}" for entry in description.sidecars[:8])
    text = f"{len(found) or 'no'} sidecars are for host {host or 'any'} and tier {tier or 'any'}"
    raise DescriptionRejectedError(
        [
            Problem(
                description.file,
                1,
                "S107",
                text,
                f"name one of the described sidecars: {names or 'there is none'}",
            )
        ]
    )


def listener_limits(sidecar: Sidecar) -> tuple[int, float]:
    """Return the file descriptors and the memory in MB that each listener may use."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = sidecar.sockets if soft == resource.RLIM_INFINITY else min(sidecar.sockets, soft)
    listeners = len(sidecar.outbound) + 1
    return sockets // listeners, BASE_MEMORY_MB + (sidecar.memory_mb - BASE_MEMORY_MB) / listeners


def outbound_config(description: Description, sidecar: Sidecar, called: str) -> ProxyConfig:
    """Return the configuration of the proxy that sends requests to a tier. Raises ConfigError."""
    sockets, memory_mb = listener_limits(sidecar)
    raw = platform_config(description, sidecar, called)
    raw["limits"] = {"sockets": sockets, "memory_mb": memory_mb}
    raw["seed"] = secrets.token_hex(8)
    try:
        return parse_config(raw, {})
    except (ValueError, TypeError) as error:
        raise ConfigError(f"towards {called}: {error}") from None


def request_classes(description: Description, tier: str) -> dict[str, RequestClass]:
    """Return the request classes that the application serves, in the form that deadline propagation uses."""
    found = {}
    for name in description.tiers[tier].classes:
        cls = description.classes[name]
        found[name] = RequestClass(
            name, cls.worth, cls.aim, cls.deadline, idempotency=IDEMPOTENCY_BY_EFFECT[cls.effect]
        )
    return found


class RunningSidecar:
    """Inbound listener, outbound proxies and registration of one running sidecar."""

    def __init__(self, description: Description, sidecar: Sidecar) -> None:
        self.description = description
        self.sidecar = sidecar
        sockets, memory_mb = listener_limits(sidecar)
        tier = description.tiers[sidecar.tier]
        self.budgets = None
        if description.budgets is not None:
            self.budgets = create_deadline_propagation(description.budgets, sidecar.tier)
        filters = inner_filters(self.budgets, request_classes(description, sidecar.tier))
        self.inbound = InboundListener(description, sidecar, sockets, memory_mb, filters)
        self.outbound = {
            called: Proxy(
                outbound_config(description, sidecar, called),
                description.tiers[called].membership,
                self.budgets,
                called,
            )
            for called in sorted(sidecar.outbound)
        }
        self.registrar = None
        if sidecar.registration is not None and tier.membership is not None:
            self.registrar = create_registrar(tier.membership, sidecar.registration, int(time.time() * 1000))
        self.registration_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start all listeners, the outbound ones first, because the application may need them at once.

        Raises OSError, with the address, if the address of a listener is in use.
        """
        for proxy in self.outbound.values():
            await proxy.start()
        await self.inbound.start()
        if self.registrar is not None:
            self.registration_task = asyncio.get_running_loop().create_task(self._keep_registered())

    async def _keep_registered(self) -> None:
        """Keep the endpoint's ephemeral node up to date.

        The node is created once the application is healthy. Its status is Terminating while the application
        does not accept requests. The node has a new start time after the application has restarted.
        """
        assert self.registrar is not None
        inbound = self.inbound
        node = self.registrar.node
        registrar_started = False
        is_ready = False
        restarts = 0
        while True:
            inbound.state_changed.clear()
            state = inbound.admission.state
            has_restarted = inbound.admission.restarts != restarts
            if state is ApplicationState.UP and (has_restarted or not is_ready):
                if has_restarted:
                    restarts = inbound.admission.restarts
                    start = self._estimate_start()
                    node = node.restarted(start.since_ms, start.since_after_ms)
                self.registrar.update(node)
                if not registrar_started:
                    self.registrar.start()
                registrar_started = True
                is_ready = True
            elif is_ready and state not in ACCEPTING_STATES:
                self.registrar.update(self.registrar.node.draining())
                is_ready = False
            await inbound.state_changed.wait()

    def _estimate_start(self) -> StartEstimate:
        """Return when the application, which has restarted and answers now, may have started."""
        started_after = self.inbound.admission.started_after
        wall_time = time.time()
        earliest = wall_time - (time.monotonic() - started_after) if started_after > 0 else 0.0
        return StartEstimate(int(wall_time * MS_PER_S), int(earliest * MS_PER_S))

    def reload(self, description: Description, sidecar: Sidecar) -> list[str]:
        """Apply a reloaded description, and return the changed keys that can't change while the sidecar runs.

        If there are such keys, nothing is applied. Raises OperatorError if the key file can't be used; then
        nothing is applied either.
        """
        values = dict(effective_values(self.description))
        not_reloadable = []
        for path, value in effective_values(description):
            if values.pop(path, None) != value and path[-1] not in RELOADABLE_KEYS:
                not_reloadable.append(".".join(path))
        not_reloadable += [".".join(path) for path in values]
        if not_reloadable:
            return not_reloadable
        if self.budgets is not None:
            self.budgets.reread_keys()
        self.description = description
        self.sidecar = sidecar
        for called, proxy in self.outbound.items():
            proxy.change_discovery_address(parse_address(description.padron(called)))
        self.inbound.update(sidecar)
        return []

    async def drain(self) -> None:
        """Answer all accepted requests before the SIGKILL, which follows `stop_after` seconds from now."""
        tier = self.description.tiers[self.sidecar.tier]
        now = time.monotonic()
        drain_deadline = now + tier.stop_after - RESPONSE_MARGIN_S
        self.inbound.drain(drain_deadline)
        for proxy in self.outbound.values():
            proxy.start_drain(drain_deadline)
        if self.registration_task is not None and self.registrar is not None:
            self.registration_task.cancel()
            self.registrar.update(self.registrar.node.draining())
        # Clients are notified of the drain with a delay and may send requests until then.
        await asyncio.sleep(min(tier.drain, max(0.0, drain_deadline - time.monotonic())))
        self.inbound.close()
        await drain_server(self.inbound.server, lambda: self.inbound.unanswered_count > 0)
        for proxy in self.outbound.values():
            proxy.server.stop_listening()
            await proxy.wait_until_drained()
        if self.registrar is not None:
            await self.registrar.leave(0.0)

    def stop(self) -> None:
        """Stop all listeners."""
        self.inbound.stop()
        for proxy in self.outbound.values():
            proxy.stop()


def join_findings(problems: list[Problem]) -> str:
    """Return the findings as one line for the log."""
    lines = [" | ".join(str(problem).splitlines()) for problem in problems[:MAX_LOGGED_FINDINGS]]
    more = f" (and {len(problems) - MAX_LOGGED_FINDINGS} more)" if len(problems) > MAX_LOGGED_FINDINGS else ""
    return "; ".join(lines) + more


def reload_description(running: RunningSidecar, options: Any) -> None:
    """Reload the description on SIGHUP; nothing of a rejected description is applied."""
    try:
        description = read_description(options.file, options.environment)
        sidecar = choose_sidecar(description, running.sidecar.host, running.sidecar.tier)
    except DescriptionRejectedError as error:
        log.error("reload_rejected error=%s", join_findings(error.problems))
        return
    try:
        not_reloadable = running.reload(description, sidecar)
    except OperatorError as error:
        log.error("reload_rejected error=%s", join_findings(error.problems))
        return
    if not_reloadable:
        names = ", ".join(not_reloadable[:MAX_LOGGED_FINDINGS]) + (
            f" and {len(not_reloadable) - MAX_LOGGED_FINDINGS} more"
            if not_reloadable[MAX_LOGGED_FINDINGS:]
            else ""
        )
        reason = f"{options.file}: S109: {names} can't change while the sidecar runs: restart the sidecar"
        log.error("reload_rejected error=%s", reason)
        return
    log.info("reload_accepted file=%s", options.file)


def status_lines(running: RunningSidecar) -> Iterator[str]:
    """Yield the lines that are printed when the sidecar has started."""
    sidecar = running.sidecar
    yield f"inbound {sidecar.inbound} for the application at {sidecar.application}"
    for called, address in sorted(sidecar.outbound.items()):
        yield f"outbound {address} towards {called}"
    yield "running"


async def serve(description: Description, sidecar: Sidecar, options: Any) -> None:
    """Run the sidecar until SIGTERM or SIGINT, then drain it."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    running = RunningSidecar(description, sidecar)
    loop.add_signal_handler(signal.SIGHUP, reload_description, running, options)
    await running.start()
    freeze_long_lived_objects()
    for line in status_lines(running):
        print(line, flush=True)
    await stop_requested.wait()
    await running.drain()
    running.stop()


def run(options: Any) -> int:
    """Run the sidecar that the file, environment, host and tier select.

    Return exit code 0 after SIGTERM, 1 for findings or an address that is in use, and 2 if a file can't be
    read.
    """
    # A SIGHUP during the start is ignored, because the start reads the current file anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logging()
    log.setLevel(logging.INFO)
    try:
        description = read_description(options.file, options.environment)
        sidecar = choose_sidecar(description, options.host, options.tier)
    except DescriptionRejectedError as error:
        sys.stderr.write(report.as_text(error.problems))
        return exit_code_of(error.problems)
    try:
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(description, sidecar, options))
    except ConfigError as error:
        print(f"{options.file}: {error}", file=sys.stderr)
        return 2
    except OperatorError as error:  # raised for a file that the description names
        sys.stderr.write(report.as_text(error.problems))
        return exit_code_of(error.problems)
    except OSError as error:
        print(f"{options.file}: {sidecar.tier} on {sidecar.host}: {error}", file=sys.stderr)
        return 1
    return 0
