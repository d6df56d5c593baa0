"""The inbound side: accepts requests for the application beside the sidecar and responds to their clients.

admission.py decides which requests are started, queued and rejected. This module does the I/O: health checks
of the application, deadline timers and responses. For its clients the sidecar is the endpoint and follows the
protocol of endpoints: it responds 503 with `X-Rejected: 1` if, and only if, the application never received
the request.
"""

from __future__ import annotations

import asyncio
import logging
import time

from service_proxy.net.downstream import HttpServer, LocalResponse, Request, ResponseWriter
from service_proxy.net.endpoint_list import Endpoint, EndpointList, parse_address
from service_proxy.net.header_fields import HOP_BY_HOP
from service_proxy.net.http_status import OK
from service_proxy.net.limits import LOOP_ITERATION_S, LOOP_STALL_S, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.net.request_filters import (
    HeaderFields,
    Rejection,
    RequestFilter,
    RequestFilterState,
    apply_filters,
    headers_consumed_by,
)
from service_proxy.net.upstream import UpstreamAttempt, UpstreamCluster
from service_proxy.policy.events import NEVER_EXECUTED, AttemptStatus, EndpointEntry
from service_proxy.policy.settings_types import Idempotency
from service_proxy.sidecar.admission import (
    ACCEPTING_STATES,
    AdmissionDecision,
    ApplicationAdmission,
    ApplicationSignal,
    ApplicationState,
)
from service_proxy.sidecar.model import Description, Sidecar

log = logging.getLogger(__name__)

HEALTH_CHECK_INTERVAL_S = 0.5  # interval for an application that is up
FAST_HEALTH_CHECK_INTERVAL_S = 0.05  # interval for an application in any other state
HEALTH_CHECK_TIMEOUT_S = 0.4  # a slow application is detected within one interval and two timeouts
CONNECT_TIMEOUT_S = 0.25
# Connections beyond those of requests: one for the current health check, and the one of the previous health
# check while it closes.
HEALTH_CHECK_CONNECTIONS = 2
IDLE_TIMEOUT_S = 4.0  # an idle connection to the application is closed after this time
DEADLINE_MARGIN_S = 0.01  # a response is sent this long before its client's deadline
REJECTED_HEADERS = ((b"x-rejected", b"1"),)
REMOVED_RESPONSE_HEADERS = HOP_BY_HOP | {b"x-load-report"}  # the sidecar sends its own load report
IDEMPOTENCY_BY_EFFECT = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by-key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
FIRST_REDIRECTION = 300  # first status code of responses that are not a success
APPLICATION_ENDPOINT_ID = 1  # endpoint id of the application, which is the cluster's only endpoint


def format_health_check(sidecar: Sidecar) -> bytes:
    """Return the bytes of the health check's request."""
    lines = f"GET {sidecar.health} HTTP/1.1", f"Host: {sidecar.application}", "", ""
    return "\r\n".join(lines).encode()


class InboundRequest:
    """Request that was accepted and has no response yet."""

    __slots__ = (
        "attempt",
        "deadline",
        "deadline_timer",
        "filter_states",
        "is_open",
        "request",
        "started_at",
        "writer",
    )

    def __init__(self, request: Request, writer: ResponseWriter, deadline: float) -> None:
        self.request = request
        self.writer = writer
        self.deadline = deadline
        self.is_open = True
        self.started_at = 0.0
        self.attempt: UpstreamAttempt | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.filter_states: list[RequestFilterState] = []


def create_application_cluster(sidecar: Sidecar, sockets: int) -> UpstreamCluster:
    """Return the upstream cluster whose only endpoint is the application."""
    max_connections = int(sockets * UPSTREAM_DESCRIPTOR_SHARE) + HEALTH_CHECK_CONNECTIONS
    cluster = UpstreamCluster(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, max_connections)
    address = parse_address(sidecar.application)
    application = Endpoint(address, EndpointEntry(APPLICATION_ENDPOINT_ID), "application")
    cluster.apply_endpoint_list(EndpointList(0, True, [application]))
    return cluster


class InboundListener:
    """Inbound listener of one [[sidecar]]; handles the requests of its HTTP server."""

    def __init__(
        self,
        description: Description,
        sidecar: Sidecar,
        sockets: int,
        memory_mb: float,
        filters: tuple[RequestFilter, ...] = (),
    ) -> None:
        self.filters = filters
        self.consumed_headers = headers_consumed_by(filters)
        self.removed_response_headers = REMOVED_RESPONSE_HEADERS | self.consumed_headers
        self.loop = asyncio.get_running_loop()
        self.sidecar = sidecar
        tier = description.tiers[sidecar.tier]
        self.classes = {name: description.classes[name] for name in tier.classes}
        self.sends_retry_after = description.features.retry_after
        self.admission: ApplicationAdmission[InboundRequest] = ApplicationAdmission(
            sidecar.slots, sidecar.waiting, tier.cold_from, tier.cold_for, description.features.warm_up
        )
        self.cluster = create_application_cluster(sidecar, sockets)
        self.application_pool = self.cluster.pools[APPLICATION_ENDPOINT_ID]
        self.health_check_request = format_health_check(sidecar)
        # Requests by X-Call-Id. An entry stays until the application's attempt has ended, even if the client
        # has disconnected.
        self.requests: dict[bytes, InboundRequest] = {}
        self.unanswered_count = 0
        self.abandoned_count = 0  # requests without a client whose slots are still in use
        self.is_closed = False  # true if no new requests are accepted
        self.drain_deadline = float("inf")  # monotonic time in seconds by which all requests are answered
        self.health_check_timer: asyncio.TimerHandle | None = None
        self.health_check_in_flight = False
        self.state_changed = asyncio.Event()  # set on each change of the application's state
        pages = {b"/healthz": self._health_response, b"/load": self._load_response}
        effects = {name: IDEMPOTENCY_BY_EFFECT[cls.effect] for name, cls in self.classes.items()}
        self.server = HttpServer(
            effects, self, sockets, memory_mb, pages, REJECTED_HEADERS, self.consumed_headers
        )

    async def start(self) -> None:
        """Start the health checks and the listener. Raises OSError if the listener can't be opened."""
        self._check_health()
        await self.server.listen(*parse_address(self.sidecar.inbound))

    def stop(self) -> None:
        """Stop the health checks."""
        if self.health_check_timer is not None:
            self.health_check_timer.cancel()

    def _health_response(self) -> LocalResponse:
        state = self.admission.state
        if self.admission.is_accepting:
            return LocalResponse(200, b"ok\n")
        return LocalResponse(
            503,
            b"draining\n" if state in ACCEPTING_STATES else b"the application is %s\n" % state.value.encode(),
        )

    def _load_response(self) -> LocalResponse:
        in_flight = self.admission.in_flight
        queue = len(self.admission.queue)
        return LocalResponse(
            200 if self.admission.is_accepting else 503,
            b"inflight=%d,queue=%d\n" % (in_flight + queue, queue),
        )

    def _check_health(self) -> None:
        self.health_check_timer = None
        if self.health_check_in_flight:
            return
        self.health_check_in_flight = True
        attempt = UpstreamAttempt(
            self.application_pool,
            self.health_check_request,
            HEALTH_CHECK_TIMEOUT_S,
            lambda: True,
            self._on_health_check_end,
        )
        if self.admission.state is not ApplicationState.UP:
            # An open connection does not show whether the application still listens.
            self.application_pool.close_idle()
        self.cluster.start_attempt(attempt)

    def _on_health_check_end(self, attempt: UpstreamAttempt) -> None:
        self.health_check_in_flight = False
        status = attempt.status
        if status is AttemptStatus.CONNECT_FAILED:
            self._on_signal(ApplicationSignal.REFUSED)
        elif attempt.status_code:
            is_healthy = OK <= attempt.status_code < FIRST_REDIRECTION
            self._on_signal(ApplicationSignal.HEALTHY if is_healthy else ApplicationSignal.UNHEALTHY)
        elif status is AttemptStatus.TIMEOUT:
            self._on_signal(ApplicationSignal.SILENT)
        # A health check that was not sent shows nothing about the application.
        elif status is not AttemptStatus.NOT_SENT:
            self._on_signal(ApplicationSignal.BROKEN)
        self._schedule_health_check()

    def _schedule_health_check(self, wait: float | None = None) -> None:
        if self.health_check_timer is not None:
            self.health_check_timer.cancel()
        if wait is None:
            wait = (
                HEALTH_CHECK_INTERVAL_S
                if self.admission.state is ApplicationState.UP
                else FAST_HEALTH_CHECK_INTERVAL_S
            )
        self.health_check_timer = self.loop.call_later(wait, self._check_health)

    def _on_signal(self, signal: ApplicationSignal) -> None:
        before = self.admission.state
        now = time.monotonic()
        self._on_state_change(before, self.admission.on_signal(signal, now), now)

    def _on_state_change(self, before: ApplicationState, state: ApplicationState, now: float) -> None:
        if state is before:
            return
        address = self.sidecar.application
        log.warning(
            "application_state_changed address=%s before=%s after=%s", address, before.value, state.value
        )
        self.state_changed.set()
        for inbound in self.admission.take_rejected():
            self._reject(inbound, b"the application is %s\n" % state.value.encode())
        self._start_queued(now)

    def start_request(self, request: Request, writer: ResponseWriter) -> InboundRequest | None:
        """Start, queue or reject a request."""
        now = time.monotonic()
        if self.is_closed or request.id in self.requests:
            # Either the listener is closed, or a request with this id is in progress. The application never
            # received the new request.
            reason = b"draining\n" if self.is_closed else b"this X-Call-Id is in use\n"
            writer.respond(503, self._rejection_headers(now), reason)
            return None
        cls = self.classes[request.class_name]
        deadline = min(
            request.received_at + min(request.time_budget, cls.deadline) - DEADLINE_MARGIN_S,
            self.drain_deadline,
        )
        inbound = InboundRequest(request, writer, deadline)
        priority_weight = cls.worth * request.weight_share
        # The callback does nothing, because only the client waits for the request.
        filtered = apply_filters(self.filters, request, lambda: None)
        if isinstance(filtered, Rejection):
            writer.respond(503, self._rejection_headers(now), filtered.body)
            return None
        inbound.filter_states = filtered
        for filter_state in filtered:
            inbound.deadline = deadline = min(deadline, filter_state.deadline)
            priority_weight *= filter_state.weight_share
        decision, displaced = self.admission.offer(inbound, priority_weight, deadline, now)
        if decision is AdmissionDecision.REJECT:
            self._end_filters(inbound, True)
            writer.respond(503, self._rejection_headers(now), self._rejection_reason())
            return None
        self.requests[request.id] = inbound
        self.unanswered_count += 1
        inbound.deadline_timer = self.loop.call_later(max(0.0, deadline - now), self._on_deadline, inbound)
        if displaced is not None:
            self._reject(displaced, b"others are worth more\n")
        if decision is AdmissionDecision.START:
            self._start_attempt(inbound, now)
        return inbound

    def _rejection_reason(self) -> bytes:
        state = self.admission.state
        if state in ACCEPTING_STATES:
            return b"busy\n"
        return b"the application is %s\n" % state.value.encode()

    def client_disconnected(self, inbound: InboundRequest) -> None:
        """Cancel a request whose client has disconnected.

        A queued request is not started. The connection of a request in flight is closed, so that no attempt
        is in flight without a client.
        """
        if not inbound.is_open:
            return
        self._finish(inbound, False)
        if self.admission.remove_queued(inbound):
            del self.requests[inbound.request.id]
        elif inbound.attempt is not None:
            self._abandon(inbound, inbound.attempt)

    def _abandon(self, inbound: InboundRequest, attempt: UpstreamAttempt) -> None:
        """Cancel an attempt whose client has disconnected.

        The slot stays in use for the mean latency, because an application that does not detect the closed
        connection continues to process the request.
        """
        if not attempt.sent:
            attempt.cancel()
            return
        time_left = inbound.started_at + self.admission.mean_latency - time.monotonic()
        self.abandoned_count += 1
        self.admission.in_flight += 1  # replaces the request that ends now
        self.loop.call_later(max(0.0, time_left), self._release_slot)
        attempt.cancel()

    def _release_slot(self) -> None:
        self.abandoned_count -= 1
        now = time.monotonic()
        self.admission.on_request_end(None)
        self._start_queued(now)

    def _end_filters(self, inbound: InboundRequest, answered: bool) -> None:
        for filter_state in inbound.filter_states:
            filter_state.on_request_end(answered)

    def _start_attempt(self, inbound: InboundRequest, now: float) -> None:
        inbound.started_at = now
        request = inbound.request
        time_left = inbound.deadline - now
        extra_headers = b"".join(
            filter_state.on_attempt_start(time_left, APPLICATION_ENDPOINT_ID) or b""
            for filter_state in inbound.filter_states
        )
        head = b"%s%sx-budget: %du\r\n\r\n" % (request.head, extra_headers, max(1, int(time_left * 1e6)))
        inbound.attempt = UpstreamAttempt(
            self.application_pool,
            b"".join([head, *request.body.parts]),
            max(0.0, time_left),
            lambda: inbound.is_open,
            lambda ended_attempt: self._on_attempt_end(inbound, ended_attempt),
        )
        self.cluster.start_attempt(inbound.attempt)

    def _start_queued(self, now: float) -> None:
        while (inbound := self.admission.next_request(now)) is not None:
            self._start_attempt(inbound, now)

    def _on_attempt_end(self, inbound: InboundRequest, attempt: UpstreamAttempt) -> None:
        """Handle the end of an attempt, whether or not the application received the request."""
        now = time.monotonic()
        status = attempt.status
        assert status is not None
        del self.requests[inbound.request.id]
        for filter_state in inbound.filter_states:
            filter_state.on_attempt_end(attempt, status)
        self.admission.on_request_end(attempt.elapsed if attempt.status_code else None)
        if inbound.is_open:
            self._respond_by_outcome(inbound, attempt, status, now)
        before = self.admission.state
        if status is AttemptStatus.RESET:
            self._on_state_change(
                before, self.admission.on_connection_broken(len(self.application_pool.connections), now), now
            )
            self._schedule_health_check(0.0)
        elif status is AttemptStatus.CONNECT_FAILED:
            self._on_state_change(before, self.admission.on_signal(ApplicationSignal.REFUSED, now), now)
            self._schedule_health_check(FAST_HEALTH_CHECK_INTERVAL_S)
        self._start_queued(now)

    def _respond_by_outcome(
        self, inbound: InboundRequest, attempt: UpstreamAttempt, status: AttemptStatus, now: float
    ) -> None:
        if attempt.status_code >= OK:
            headers = tuple(
                field for field in attempt.response_headers if field[0] not in self.removed_response_headers
            )
            self._respond(inbound, attempt.status_code, headers, attempt.response_body, True)
        elif status in NEVER_EXECUTED:
            self._respond(inbound, 503, self._rejection_headers(now), b"the application did not get it\n")
        elif status is AttemptStatus.TIMEOUT:
            self._respond(inbound, 504, (), b"the application did not answer in time\n")
        else:
            self._respond(inbound, 502, (), b"the application's answer was cut or can't be used\n")

    def _respond(
        self,
        inbound: InboundRequest,
        status_code: int,
        headers: HeaderFields,
        body: bytes,
        is_application_response: bool = False,
    ) -> None:
        """Send a response; `is_application_response` is true if the application has completed the request."""
        for filter_state in inbound.filter_states:
            headers += filter_state.response_headers()
        self._finish(inbound, is_application_response)
        inbound.writer.respond(status_code, headers, body)

    def _reject(self, inbound: InboundRequest, reason: bytes) -> None:
        """Reject a queued request that was never started."""
        del self.requests[inbound.request.id]
        if inbound.is_open:
            self._respond(inbound, 503, self._rejection_headers(time.monotonic()), reason)

    def _rejection_headers(self, now: float) -> tuple[tuple[bytes, bytes], ...]:
        if not self.sends_retry_after:
            return REJECTED_HEADERS
        return (*REJECTED_HEADERS, (b"retry-after", b"%.3f" % self.admission.retry_after(now)))

    def _on_deadline(self, inbound: InboundRequest, is_recheck: bool = False) -> None:
        """End a request at its deadline, whether it is queued or in flight.

        An attempt in flight would reach its own timeout shortly afterwards.
        """
        if not inbound.is_open:
            return
        if not is_recheck and time.monotonic() > inbound.deadline + LOOP_STALL_S:
            # The event loop stalled, and its timers run before its sockets. The response may have arrived
            # already.
            inbound.deadline_timer = self.loop.call_later(LOOP_ITERATION_S, self._on_deadline, inbound, True)
            return
        attempt = inbound.attempt
        if attempt is None:
            self.admission.remove_queued(inbound)  # the request may have been skipped and removed just before
            self._reject(inbound, b"waited for as long as its caller would\n")
            return
        if attempt.sent:
            self._respond(inbound, 504, (), b"the application did not answer in time\n")
        else:
            self._respond(
                inbound, 503, self._rejection_headers(time.monotonic()), b"the application did not get it\n"
            )
        attempt.end(AttemptStatus.TIMEOUT if attempt.sent else AttemptStatus.NOT_SENT)

    def _finish(self, inbound: InboundRequest, answered: bool) -> None:
        """Close the request; if `answered` is false, the application's work on the request is lost."""
        inbound.is_open = False
        self._end_filters(inbound, answered)
        self.unanswered_count -= 1
        if inbound.deadline_timer is not None:
            inbound.deadline_timer.cancel()

    def update(self, sidecar: Sidecar) -> None:
        """Apply the slots, queue size and health check of a reloaded description."""
        self.sidecar = sidecar
        self.admission.slots = sidecar.slots
        self.admission.max_queued = sidecar.waiting
        self.health_check_request = format_health_check(sidecar)
        self._start_queued(time.monotonic())

    def drain(self, drain_deadline: float) -> None:
        """Fail health checks, continue to serve requests, and answer all of them by the deadline.

        `drain_deadline` is in monotonic seconds.
        """
        self.admission.draining = True
        self.drain_deadline = drain_deadline
        for inbound in self.requests.values():
            if inbound.is_open and inbound.deadline > drain_deadline:
                assert inbound.deadline_timer is not None
                inbound.deadline_timer.cancel()
                inbound.deadline = drain_deadline
                inbound.deadline_timer = self.loop.call_later(
                    max(0.0, drain_deadline - time.monotonic()), self._on_deadline, inbound
                )

    def close(self) -> None:
        """Reject new requests and stop listening."""
        self.is_closed = True
        self.server.stop_listening()
