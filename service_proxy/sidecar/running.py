"""The process `run`: the inbound and outbound listeners of one sidecar beside its application.

It checks its description before it opens a socket, and again on SIGHUP: a file that check refuses changes
nothing. At SIGTERM the inbound side ends first, since the application needs the outbound listeners while it
has requests.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import resource
import secrets
import signal
import socket
import sys
import time
from collections.abc import Iterator
from typing import Any

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
from service_proxy.sidecar.explain import effective
from service_proxy.sidecar.inbound import IDEMPOTENCY_BY_EFFECT, InboundListener
from service_proxy.sidecar.model import Description, Sidecar
from service_proxy.sidecar.write import platform

log = logging.getLogger("service_proxy.sidecar")

RESPONSE_MARGIN_S = 0.4  # by which the last responses are sent before SIGKILL
MAX_LOGGED_FINDINGS = 3  # findings in one line of the log
RELOADABLE_KEYS = frozenset(("padron", "slots", "waiting", "health"))  # by SIGHUP


class DescriptionRejectedError(Exception):
    """The description can't be run: what check found."""

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
        problems = layers.problems  # it changed since
    raise DescriptionRejectedError(problems)


def choose_sidecar(description: Description, host: str, tier: str) -> Sidecar:
    """Return the one [[sidecar]] that is this machine's. Raises DescriptionRejectedError."""
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
        [Problem(description.file, 1, "S107", text, f"say which: {names or 'there is none'}")]
    )


def listener_limits(sidecar: Sidecar) -> tuple[int, float]:
    """Return the descriptors and MB of each listener."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = sidecar.sockets if soft == resource.RLIM_INFINITY else min(sidecar.sockets, soft)
    listeners = len(sidecar.outbound) + 1
    return sockets // listeners, BASE_MEMORY_MB + (sidecar.memory_mb - BASE_MEMORY_MB) / listeners


def outbound_config(description: Description, sidecar: Sidecar, called: str) -> ProxyConfig:
    """Return the configuration of the proxy towards a tier. Raises ConfigError."""
    sockets, memory_mb = listener_limits(sidecar)
    raw = platform(description, sidecar, called)
    raw["limits"] = {"sockets": sockets, "memory_mb": memory_mb}
    raw["seed"] = secrets.token_hex(8)
    try:
        return parse_config(raw, {})
    except (ValueError, TypeError) as error:
        raise ConfigError(f"towards {called}: {error}") from None


def request_classes(description: Description, tier: str) -> dict[str, RequestClass]:
    """Return the classes that the application serves, as deadline propagation knows them."""
    found = {}
    for name in description.tiers[tier].classes:
        cls = description.classes[name]
        found[name] = RequestClass(
            name, cls.worth, cls.aim, cls.deadline, idempotency=IDEMPOTENCY_BY_EFFECT[cls.effect]
        )
    return found


class RunningSidecar:
    """One sidecar's parts, from their start until the end."""

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
        """Start all listeners, the outbound ones first: the application may need them at once.

        Raises OSError, with the address, where a listener's is taken.
        """
        for proxy in self.outbound.values():
            await proxy.start()
        await self.inbound.start()
        if self.registrar is not None:
            self.registration_task = asyncio.get_running_loop().create_task(self._keep_registered())

    async def _keep_registered(self) -> None:
        """Keep the endpoint's node up to date.

        It is created once the application is healthy, says Terminating while it is not, and then has a new
        start time.
        """
        assert self.registrar is not None
        inbound = self.inbound
        node = self.registrar.node
        begun = False
        ready = False
        while True:
            inbound.state_changed.clear()
            state = inbound.admission.state
            if state is ApplicationState.UP and not ready:
                since_ms = int(time.time() * 1000) if begun else node.since_ms
                self.registrar.update(dataclasses.replace(node, since_ms=since_ms))
                if not begun:
                    self.registrar.start()
                begun = True
                ready = True
            elif ready and state not in ACCEPTING_STATES:
                self.registrar.update(self.registrar.node.draining())
                ready = False
            await inbound.state_changed.wait()

    def reload(self, description: Description, sidecar: Sidecar) -> list[str]:
        """Apply a reread description; return the keys that have changed and can't while it runs.

        If there are any, nothing is applied; nor where the key file can't be used: OperatorError.
        """
        values = dict(effective(self.description))
        unchangeable = []
        for path, value in effective(description):
            if values.pop(path, None) != value and path[-1] not in RELOADABLE_KEYS:
                unchangeable.append(".".join(path))
        unchangeable += [".".join(path) for path in values]
        if unchangeable:
            return unchangeable
        if self.budgets is not None:
            self.budgets.reread_keys()
        self.description = description
        self.sidecar = sidecar
        for called, proxy in self.outbound.items():
            proxy.move_discovery(parse_address(description.padron(called)))
        self.inbound.update(sidecar)
        return []

    async def drain(self) -> None:
        """Answer all accepted requests, before the SIGKILL `stop_after` s from now."""
        tier = self.description.tiers[self.sidecar.tier]
        now = time.monotonic()
        end_by = now + tier.stop_after - RESPONSE_MARGIN_S
        self.inbound.drain(end_by)
        for proxy in self.outbound.values():
            proxy.end_all_by(end_by)
        if self.registration_task is not None and self.registrar is not None:
            self.registration_task.cancel()
            self.registrar.update(self.registrar.node.draining())
        # Clients learn late that it drains, and may send requests until then.
        await asyncio.sleep(min(tier.drain, max(0.0, end_by - time.monotonic())))
        self.inbound.close()
        await drain_server(self.inbound.server, lambda: self.inbound.unanswered > 0)
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
    """Write findings as one line of the log."""
    lines = [" | ".join(str(problem).splitlines()) for problem in problems[:MAX_LOGGED_FINDINGS]]
    more = f" (and {len(problems) - MAX_LOGGED_FINDINGS} more)" if len(problems) > MAX_LOGGED_FINDINGS else ""
    return "; ".join(lines) + more


def reload_description(running: RunningSidecar, options: Any) -> None:
    """Reread the description on SIGHUP; nothing of a rejected one is applied."""
    try:
        description = read_description(options.file, options.environment)
        sidecar = choose_sidecar(description, running.sidecar.host, running.sidecar.tier)
    except DescriptionRejectedError as error:
        log.error("reload_rejected error=%s", join_findings(error.problems))
        return
    try:
        unchangeable = running.reload(description, sidecar)
    except OperatorError as error:
        log.error("reload_rejected error=%s", join_findings(error.problems))
        return
    if unchangeable:
        names = ", ".join(unchangeable[:MAX_LOGGED_FINDINGS]) + (
            f" and {len(unchangeable) - MAX_LOGGED_FINDINGS} more"
            if unchangeable[MAX_LOGGED_FINDINGS:]
            else ""
        )
        reason = f"{options.file}: S109: {names} can't change while it runs: start it anew"
        log.error("reload_rejected error=%s", reason)
        return
    log.info("reload_accepted file=%s", options.file)


def status_lines(running: RunningSidecar) -> Iterator[str]:
    """Yield what is printed once the sidecar runs."""
    sidecar = running.sidecar
    yield f"inbound {sidecar.inbound} for the application at {sidecar.application}"
    for called, address in sorted(sidecar.outbound.items()):
        yield f"outbound {address} towards {called}"
    yield "running"


async def serve(description: Description, sidecar: Sidecar, options: Any) -> None:
    """Run the sidecar until SIGTERM or SIGINT, and drain it."""
    loop = asyncio.get_running_loop()
    term = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, term.set)
    running = RunningSidecar(description, sidecar)
    loop.add_signal_handler(signal.SIGHUP, reload_description, running, options)
    await running.start()
    freeze_long_lived_objects()
    for line in status_lines(running):
        print(line, flush=True)
    await term.wait()
    await running.drain()
    running.stop()


def run(options: Any) -> int:
    """Run a sidecar by file, environment, host and tier.

    Return exit code 0 after SIGTERM, 1 for findings or an address that is taken, 2 where a file can't be
    read.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one during the start: the new file is read anyway
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
    except OperatorError as error:  # a file that the description names
        sys.stderr.write(report.as_text(error.problems))
        return exit_code_of(error.problems)
    except OSError as error:
        print(f"{options.file}: {sidecar.tier} on {sidecar.host}: {error}", file=sys.stderr)
        return 1
    return 0
