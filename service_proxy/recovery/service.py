"""Recovery of one proxy: determines the outage, advances the recovery phase, and records state meanwhile.

The decisions are made by `peer_survey`, `phases`, `validity_rules`, `staggered_start`,
`endpoint_override` and `retry_after`. After the recovery has finished, this module only records changes
and keyed requests, if there is a store.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Protocol

from service_proxy.clock import Clock
from service_proxy.net.config import ProxyConfig
from service_proxy.net.endpoint_list import EndpointList
from service_proxy.net.fleet_protocols import DatagramChannel, MembershipView, MetadataPublisher
from service_proxy.operator_file import OperatorError, Problem, load
from service_proxy.operator_file import Recovery as Settings
from service_proxy.policy.events import AttemptStatus
from service_proxy.recovery.admission import RecoveryFilter
from service_proxy.recovery.async_store_writer import AsyncStoreWriter
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.health_checks import UnansweredEndpointChecks
from service_proxy.recovery.keyed_requests import KeyedRequestLog
from service_proxy.recovery.member_survey import PORT, MemberSurvey
from service_proxy.recovery.peer_survey import (
    OutageFinding,
    RecoveryStatus,
    determine_outage,
    encode_status,
)
from service_proxy.recovery.persisted_records import PersistedState
from service_proxy.recovery.phases import (
    LOCAL_OUTAGES,
    MIN_STABLE_S,
    Observation,
    RecoveryPhase,
    next_phase,
)
from service_proxy.recovery.restoration import restore_state
from service_proxy.recovery.retry_after import RetryAfterSchedule
from service_proxy.recovery.state_recorder import StateRecorder
from service_proxy.recovery.store import StoreContents, StoreOwner
from service_proxy.recovery.store_directory import StoreDirectory, read_identifier
from service_proxy.recovery.validity_rules import OutageScope, RestartContext

log = logging.getLogger("service_proxy.recovery")

TICK_S = 0.25  # Interval of the timer that queries peers, checks endpoints and advances the phase.
MAINTENANCE_STORE_TIMEOUT_S = 1.0  # Longest wait for the store before staff get an answer.
CONNECTION_FAILURES = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)
# Results of attempts that don't show whether the endpoint works.
INCONCLUSIVE = (AttemptStatus.NOT_SENT, AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT)


class Dispatcher(Protocol):
    """The part of the request dispatcher that recovery uses."""

    requests_succeeded: int

    @property
    def open_request_count(self) -> int:
        """Number of requests in flight."""

    @property
    def list_version(self) -> int:
        """Version of the endpoint list in force."""

    def check_health(self, endpoint_id: int) -> None:
        """Start a health check of an endpoint."""


class Recovery:
    """Recovery subsystem of one proxy; implements net.endpoint_sources.Subsystem.

    Attributes:
        phase: current phase of the recovery.
        finding: outage of this proxy and its fleet, as far as it is known.
        filter: request filter that admits or rejects requests during the recovery.
        endpoint_override: changes endpoint lists before they come into force.
        in_maintenance: endpoints that are in maintenance according to the store, by name, each with the wall
            time (s) at which the maintenance began.
        current_maintenance: returns the endpoints that are in maintenance now, in the same form; None without
            an admin service.
    """

    def __init__(self, settings: Settings, config: ProxyConfig, clock: Clock) -> None:
        """Read the store if one is configured. A faulty store never prevents the proxy from serving."""
        self.settings = settings
        self.clock = clock
        self.name = config.name or f"{config.listen[0]}:{config.listen[1]}"
        boot_id = read_identifier(Path(settings.boot_mark))
        writer = self._open_store()
        self.contents = writer.contents if writer is not None else StoreContents()
        self.started_at = time.monotonic()
        self.phase = RecoveryPhase.UNAVAILABLE
        self.phase_since = self.started_at
        self.finding = OutageFinding(OutageScope.UNKNOWN, None, "no member has been queried yet")
        # Wall time (s) at which this process determined that the fleet had lost power; 0: not determined.
        self.outage_at = 0
        self.machine_stayed_up = _machine_stayed_up(self.contents.state, boot_id)
        self.latest_known_time = self.contents.state.latest_time
        self.restored = restore_state(self.contents.state, self.restart_context())
        self.in_maintenance = self.restored.in_maintenance
        self.recorder: StateRecorder | None = None
        self.keyed_requests: KeyedRequestLog | None = None
        if writer is not None:
            self.recorder = StateRecorder(writer, boot_id, self.restored)
            self.keyed_requests = KeyedRequestLog(writer, clock, self.contents.state, config.settings)
        self.endpoint_override = self._create_override(config)
        if self.keyed_requests is not None:
            self.keyed_requests.zone_of_endpoint = self.endpoint_override.zone_of
        self.schedule = _create_schedule(config)
        self.filter = self._create_filter(config)
        self.health_checks = UnansweredEndpointChecks(config.settings.proxy_index)
        self.view: MembershipView | None = None
        self.survey: MemberSurvey | None = None
        self.metadata: MetadataPublisher | None = None
        self.dispatcher: Dispatcher | None = None
        self.push: Callable[[EndpointList], None] = lambda _listing: None
        self.current_maintenance: Callable[[], Mapping[str, float]] | None = None
        self.is_listed_by_source = False
        self.is_list_changed = False
        self.timer: asyncio.TimerHandle | None = None
        self.published_status = b""

    def _open_store(self) -> AsyncStoreWriter | None:
        if not self.settings.store:
            return None
        owner = StoreOwner(self.name, read_identifier(Path(self.settings.machine_mark)))
        return AsyncStoreWriter(StoreDirectory(Path(self.settings.store)), owner, self.clock)

    def _create_override(self, config: ProxyConfig) -> EndpointListOverride:
        override = EndpointListOverride(self.name, config.settings.slow_start_window, self.started_at)
        override.add_restored(self.restored.endpoints)
        override.in_maintenance = frozenset(self.restored.in_maintenance)
        return override

    def _create_filter(self, config: ProxyConfig) -> RecoveryFilter:
        return RecoveryFilter(
            config.settings,
            config.seed,
            self.endpoint_override,
            self.schedule,
            self.keyed_requests,
            self.restart_context,
        )

    def attach(
        self,
        dispatcher: Dispatcher,
        push: Callable[[EndpointList], None],
        view: MembershipView | None,
        channel: DatagramChannel | None,
        metadata: MetadataPublisher | None,
    ) -> None:
        """Connect recovery to the rest of the proxy; `push` puts a changed endpoint list into force."""
        self.dispatcher = dispatcher
        self.filter.dispatcher = dispatcher
        self.push = push
        self.view = view
        self.metadata = metadata
        if view is not None and channel is not None:
            self.survey = MemberSurvey(view, channel, lambda: self.filter.settings.zone, self._status)
        if view is None and self.machine_stayed_up is not False:
            # Without a fleet there are no peers to query, and no record shows that more than this process
            # ended. Service continues without a recovery.
            self._enter(RecoveryPhase.STEADY, "no fleet to query, and no sign that the machine was rebooted")

    def restart_context(self) -> RestartContext:
        """Return the context against which restored records are assessed."""
        return RestartContext(
            self.clock.wall_time(),
            self.finding.scope,
            self.finding.affected_zones or frozenset(),
            self.latest_known_time,
            bool(self.contents.damage),
        )

    # Methods of net.endpoint_sources.Subsystem.

    def start(self) -> None:
        """Start the store's thread and the timer."""
        if self.recorder is not None:
            self.recorder.start(self.clock.wall_time())
        self._tick()

    def stop(self) -> None:
        """Stop the timer, write the pending records and close the store."""
        if self.timer is not None:
            self.timer.cancel()
        if self.recorder is not None:
            self.recorder.stop(self.clock.wall_time())

    def reload(self, file: str) -> None:
        """Check that [recovery] in the operator's file is unchanged.

        Raises:
            OperatorError: [recovery] has changed; a change of any of its settings requires a restart.
        """
        if load(file).recovery != self.settings:
            text = "[recovery] can't change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "restart the proxy")])

    # Processing of endpoint lists and attempts.

    def override_list(self, listing: EndpointList) -> EndpointList:
        """Return the endpoint list that comes into force for a source's list."""
        override = self.endpoint_override
        self.is_list_changed = True
        if self.dispatcher is not None:
            self.is_listed_by_source |= bool(listing.endpoints)
        # The endpoints of the store replace an empty initial list.
        elif not listing.endpoints and override.known:
            listing = EndpointList(listing.version, listing.is_snapshot, list(override.known.values()))
        rejected_lists = override.rejected_lists
        effective = override.apply(listing)
        if override.rejected_lists != rejected_lists:
            log.warning(
                "endpoint_list_rejected endpoints=%d known_endpoints=%d",
                len(listing.endpoints),
                len(override.known),
            )
        return effective

    def on_attempt_end(self, endpoint_id: int, status: AttemptStatus) -> None:
        """Update the state of an endpoint after an attempt or health check has ended."""
        now = time.monotonic()
        if status in CONNECTION_FAILURES:
            has_failed = self.endpoint_override.record_failure(endpoint_id, now)
            if has_failed and self.phase is not RecoveryPhase.STEADY:
                name = self.endpoint_override.names_by_id[endpoint_id]
                log.info("endpoint_failed_again endpoint=%s", name)
        elif status not in INCONCLUSIVE:
            change = self.endpoint_override.record_answer(endpoint_id, now)
            if change is not None:
                self.push(change)

    def retry_after(self, wait: float) -> float:
        """Return the Retry-After (s) of a rejection: the policy's, or a longer one during the recovery."""
        return self.filter.retry_after(wait)

    async def store_maintenance(self) -> bool:
        """Record which endpoints are in maintenance; return whether the store has it within a second."""
        if self.recorder is None or self.current_maintenance is None:
            return True
        self.recorder.record_maintenance(self.current_maintenance())
        return await self.recorder.writer.flush(MAINTENANCE_STORE_TIMEOUT_S)

    # Timer callbacks.

    def _tick(self) -> None:
        if self.recorder is None and self.view is None:
            return  # Without a store and a fleet there is nothing to determine and nothing to record.
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        now = time.monotonic()
        if self.phase is not RecoveryPhase.STEADY:
            self._update_outage(now)
            self._check_unanswered_endpoints()
            self._advance_phase(now)
            assert self.dispatcher is not None
            first_answers = self.endpoint_override.first_answers.values()
            self.schedule.observe(now, self.dispatcher.requests_succeeded, first_answers)
        if self.recorder is not None:
            self._record(self.recorder)
        self._publish_status()

    def _update_outage(self, now: float) -> None:
        """Query the members, and update the outage and the live proxies from their answers."""
        settings = self.filter.settings
        former_members = self.restored.members
        peers = []
        expected_proxies = 1
        if self.survey is not None:
            self.survey.query()
            peers = self.survey.peers()
            expected_proxies = max(settings.proxy_count, len(former_members) + 1)
        finding = determine_outage(
            settings.zone,
            self.machine_stayed_up,
            peers,
            former_members,
            expected_proxies,
            now - self.started_at,
        )
        if not self._accept(finding):
            return
        alive = [peer.name for peer in peers if peer.is_alive]
        if self.endpoint_override.update_outage(self._affected_zones(), alive):
            self.push(self.endpoint_override.effective_list())

    def _accept(self, finding: OutageFinding) -> bool:
        """Store a finding if it may replace the current one; return whether it is in effect.

        A finding that is based on a survivor's answer stays valid after that survivor has ended. For this
        reason a local outage is not widened, and a known outage doesn't become unknown.
        """
        current = self.finding
        if (finding.scope, finding.affected_zones) == (current.scope, current.affected_zones):
            return True
        is_widened = current.scope in LOCAL_OUTAGES and finding.scope not in LOCAL_OUTAGES
        becomes_unknown = finding.scope is OutageScope.UNKNOWN and current.scope is not OutageScope.UNKNOWN
        if is_widened or becomes_unknown:
            return False
        log.info('outage_determined scope=%s reason="%s"', finding.scope.name.lower(), finding.reason)
        self.finding = finding
        if finding.scope is OutageScope.FLEET and not self.outage_at:
            self.outage_at = int(self.clock.wall_time())
        return True

    def _affected_zones(self) -> frozenset[str] | None:
        """Return the zones whose endpoints are marked as warming up.

        While the outage is unknown no zone is marked, because a mark can't be removed. The limit on requests
        in flight applies meanwhile.
        """
        if self.finding.scope is OutageScope.UNKNOWN:
            return frozenset()
        return self.finding.affected_zones

    def _check_unanswered_endpoints(self) -> None:
        if self.filter.settings.can_check_health:
            assert self.dispatcher is not None
            for endpoint_id in self.health_checks.due(self.endpoint_override, TICK_S):
                self.dispatcher.check_health(endpoint_id)

    def _advance_phase(self, now: float) -> None:
        override = self.endpoint_override
        observation = Observation(
            responding_endpoints=len(override.first_answers),
            outage=self.finding.scope,
            is_view_settled=self.view is None or self.view.is_settled,
            is_list_current=self.is_listed_by_source,
            is_warm=override.all_warm(now),
            has_recent_failures=now - override.last_failure_at < MIN_STABLE_S,
            elapsed=now - self.started_at,
            slow_start_window=self.filter.settings.slow_start_window,
        )
        phase, guard = next_phase(self.phase, observation)
        if guard is not None:
            self._enter(phase, guard.value)

    def _enter(self, phase: RecoveryPhase, reason: str) -> None:
        now = time.monotonic()
        log.info(
            'recovery_phase_changed before=%s after=%s duration_s=%.2f reason="%s"',
            self.phase.name.lower(),
            phase.name.lower(),
            now - self.phase_since,
            reason,
        )
        self.phase = phase
        self.filter.phase = phase
        self.phase_since = now
        if phase is RecoveryPhase.STEADY:
            self.is_list_changed = True
            removed = self.endpoint_override.finish()
            if removed.endpoints:
                self.push(removed)

    def _publish_status(self) -> None:
        """Publish the recovery status in this member's metadata if the status has changed."""
        if self.metadata is None:
            return
        status = self._status()
        if status != self.published_status:
            self.published_status = status
            self.metadata.publish(PORT, status)

    def _status(self) -> bytes:
        return encode_status(RecoveryStatus(self.phase, self.machine_stayed_up, self.outage_at))

    def _record(self, recorder: StateRecorder) -> None:
        """Record what has changed since the previous tick."""
        now = self.clock.wall_time()
        if self.view is not None:
            recorder.record_members(self.view, now)
        if self.is_list_changed:
            self.is_list_changed = False
            if self.is_listed_by_source:
                assert self.dispatcher is not None
                recorder.record_endpoints(self.endpoint_override, self.dispatcher.list_version, now)
        if self.keyed_requests is not None:
            self.keyed_requests.drop_expired(time.monotonic())
        if self.current_maintenance is not None:
            recorder.record_maintenance(self.current_maintenance())


def _machine_stayed_up(state: PersistedState, boot_id: str) -> bool | None:
    """Return whether the machine has stayed up since the previous process; return None if unknown."""
    if state.boot is None or not state.boot.boot_id or not boot_id:
        return None
    return state.boot.boot_id == boot_id


def _create_schedule(config: ProxyConfig) -> RetryAfterSchedule:
    settings = config.settings
    return RetryAfterSchedule(
        config.seed,
        settings.slow_start_initial_share,
        settings.slow_start_window,
        settings.max_retry_after if settings.can_send_retry_after else 0.0,
    )
