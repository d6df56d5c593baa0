"""Request dispatcher, which connects the downstream side, the policy and the upstream side.

The dispatcher owns the table of open requests. Retries, endpoint selection and queueing are decisions of the
policy. The dispatcher itself enforces each request's deadline, so that the client receives a response before
its own timeout even if the policy sends no answer in time.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping

import service_proxy as api
from service_proxy.net.address_owners import AddressOwners
from service_proxy.net.attempt_start import AttemptStart, attempt_headers, create_attempt
from service_proxy.net.cached_endpoints import cached_endpoint_list
from service_proxy.net.config import ProxyConfig
from service_proxy.net.discovery import DiscoveryClient
from service_proxy.net.downstream.request import LocalResponse, LocalResponses, Request, ResponseWriter
from service_proxy.net.endpoint_list import EndpointList
from service_proxy.net.header_fields import HOP_BY_HOP
from service_proxy.net.health_checker import HealthChecker
from service_proxy.net.http_status import CONFLICT
from service_proxy.net.limits import UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.net.load_report import parse_load_report
from service_proxy.net.open_request import NO_FILTER_LIMITS, FilterLimits, OpenRequest
from service_proxy.net.open_request_table import MIN_DEADLINE_MARGIN_S, OpenRequestTable
from service_proxy.net.policy_runner import PolicyRunner
from service_proxy.net.poll_schedule import poll_schedule_of
from service_proxy.net.request_filters import Rejection, RequestFilter, apply_filters, headers_consumed_by
from service_proxy.net.upstream import (
    UpgradeAttempt,
    UpstreamAttempt,
    UpstreamCluster,
)
from service_proxy.net.upstream.cluster import IDLE_TIMEOUT_SHARE
from service_proxy.policy.balancer import Balancer
from service_proxy.policy.settings_types import LoadReportSource

log = logging.getLogger(__name__)

# Upper bound of the margin between the response and the end of the client's time budget. The margin is at
# least MIN_DEADLINE_MARGIN_S and grows with the lag of the event loop.
MAX_DEADLINE_MARGIN_S = 0.15
POLICY_MARGIN_S = 0.02  # Margin by which the policy's deadline precedes the dispatcher's deadline.
# Number of open requests that counts as full load if the settings set no limit.
DEFAULT_MAX_OPEN_REQUESTS = 1000
RETRY_AFTER_OVERLOAD = ((b"retry-after", b"1"),)
REMOVED_RESPONSE_HEADERS = HOP_BY_HOP | {b"x-load-report", b"x-rejected"}
READY = LocalResponse(200, b"ok\n")
NOT_READY = LocalResponse(503, b"not ready\n")


class RequestDispatcher:
    """Dispatcher that accepts requests, runs the policy's actions and answers each request once.

    Args:
        config: Configuration of the proxy.
        filters: Request filters, applied to each request in this order before the policy receives it.
        list_override: Function that changes each endpoint list before the list is applied.

    Attributes:
        table: Table of the open requests.
        on_attempt_outcome: Called with the endpoint id and the status of each ended attempt and health check.
        adjust_retry_after: Function that changes the Retry-After (s) of a rejection.
        upgraded_connection_allowance: Number of additional connections to endpoints for upgraded requests.
    """

    def __init__(
        self,
        config: ProxyConfig,
        filters: tuple[RequestFilter, ...] = (),
        list_override: Callable[[EndpointList], EndpointList] | None = None,
    ) -> None:
        settings = config.settings
        self.list_override = list_override
        self.filters = filters
        self.consumed_headers = headers_consumed_by(filters)
        self.removed_response_headers = REMOVED_RESPONSE_HEADERS | self.consumed_headers
        self.config = config
        self.settings = settings
        self.idempotency_by_class: dict[str, api.Idempotency] = {}
        self._set_classes(settings, config.request_idempotency)
        self.cluster = UpstreamCluster(
            settings.connect_timeout,
            settings.connection_idle_timeout,
            max_connections=int(config.max_descriptors * UPSTREAM_DESCRIPTOR_SHARE),
        )
        self.requests_accepted = 0
        self.requests_succeeded = 0
        self.on_attempt_outcome: Callable[[int, api.AttemptStatus], None] | None = None
        self.adjust_retry_after: Callable[[float], float] | None = None
        self.upgraded_connection_allowance = 0
        self.balancer = Balancer(settings, config.seed)
        self._create_policy_runner()
        self.address_owners = AddressOwners()
        self.initial_list = cached_endpoint_list(config)
        self.discovery = DiscoveryClient(
            config.discovery,
            self.initial_list.version,
            poll_schedule_of(settings),
            config.seed,
            self.apply_endpoint_list,
            self.endpoint_list_failed,
        )
        self._apply_initial_list()

    def _set_classes(
        self, settings: api.Settings, request_idempotency: Mapping[str, api.Idempotency]
    ) -> None:
        # The downstream side holds a reference to this dict, so it is updated in place.
        self.idempotency_by_class.clear()
        self.idempotency_by_class.update(
            {cls.name: request_idempotency.get(cls.name, cls.idempotency) for cls in settings.classes}
        )
        self.deadline_by_class = {cls.name: cls.deadline for cls in settings.classes}

    def _create_policy_runner(self) -> None:
        """Create the policy runner and the request table, and register the policy's action handlers."""
        self.policy = PolicyRunner(
            self.balancer, self.settings.quantum, lambda request_id: self.table.fail(request_id)
        )
        self.enqueue_event = self.policy.enqueue
        self.cluster.on_process_replaced = lambda endpoint_id: self.enqueue_event(
            api.EndpointProcessReplaced(endpoint_id)
        )
        self.table = OpenRequestTable(self.enqueue_event)
        self.table.deadline_by_class = self.deadline_by_class
        self.health_checker = HealthChecker(
            self.cluster, self.settings.load_report_source, self.enqueue_event, self._report_outcome
        )
        self.policy.action_handlers = {
            api.StartAttempt: self._start_attempt,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.CancelAttempt: self._cancel_attempt,
            api.CheckHealth: self.health_checker.check,
            api.SetTimer: self.policy.set_timer,
            api.CloseIdleConnections: self._close_idle,
            api.WatchEndpoints: lambda action: self.discovery.watch(action.enabled),
            api.FetchEndpoints: lambda _: self.discovery.fetch(),
            api.WriteLog: lambda action: log.info("policy_message text=%s", action.text),
            api.SendPeerMessage: lambda _: None,  # This proxy sends no peer messages for the policy.
        }

    def _apply_initial_list(self) -> None:
        endpoint_list = self.initial_list
        if self.list_override is not None:
            endpoint_list = self.list_override(endpoint_list)
        endpoint_list = self.address_owners.resolve(endpoint_list)
        self.cluster.apply_endpoint_list(endpoint_list)
        self.policy.pending_events.append(self._endpoint_list_update(endpoint_list, api.ListScope.CACHED))

    def start(self) -> None:
        """Pass the first events to the policy, and start polling discovery."""
        self.policy.flush()
        self.discovery.start()

    def stop(self) -> None:
        """Cancel the polls of discovery."""
        self.discovery.stop()

    def set_resource_share(self, share: float) -> None:
        """Limit the connections to endpoints to those that `share` of all descriptors allows.

        The additional connections for upgraded requests are not reduced by the share.
        """
        self.cluster.max_connections = (
            int(self.config.max_descriptors * share * UPSTREAM_DESCRIPTOR_SHARE)
            + self.upgraded_connection_allowance
        )

    def set_shutdown_deadline(self, shutdown_deadline: float) -> None:
        """Limit the deadline of every open request to the shutdown deadline (monotonic, s)."""
        self.table.set_shutdown_deadline(shutdown_deadline)

    # Endpoint lists and settings
    @staticmethod
    def _endpoint_list_update(endpoint_list: EndpointList, scope: api.ListScope) -> api.EndpointListUpdate:
        entries = [endpoint.entry for endpoint in endpoint_list.endpoints]
        return api.EndpointListUpdate(scope, entries, endpoint_list.version)

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Apply an endpoint list from discovery or from a merger of endpoint sources."""
        self.apply_overridden_list(
            endpoint_list if self.list_override is None else self.list_override(endpoint_list)
        )

    def apply_overridden_list(self, endpoint_list: EndpointList) -> None:
        """Apply a list that `list_override` has already changed."""
        endpoint_list = self.address_owners.resolve(endpoint_list)
        self.cluster.apply_endpoint_list(endpoint_list)
        scope = api.ListScope.FULL if endpoint_list.is_snapshot else api.ListScope.INCREMENTAL
        self.enqueue_event(self._endpoint_list_update(endpoint_list, scope))

    def endpoint_list_failed(self) -> None:
        """Notify the policy that discovery did not respond."""
        # With pushed lists, the policy can't react to a failure.
        if self.settings.polls_discovery:
            self.enqueue_event(api.EndpointListUpdate(api.ListScope.FAILED))

    def update_settings(
        self, settings: api.Settings, request_idempotency: Mapping[str, api.Idempotency]
    ) -> None:
        """Apply new settings; open requests keep the values set at their arrival."""
        self.settings = settings
        self.policy.quantum = settings.quantum
        self._set_classes(settings, request_idempotency)
        self.table.deadline_by_class = self.deadline_by_class
        self.health_checker.load_report_source = settings.load_report_source
        self.cluster.connect_timeout = settings.connect_timeout
        self.cluster.idle_timeout = IDLE_TIMEOUT_SHARE * settings.connection_idle_timeout
        for request_filter in self.filters:
            request_filter.on_settings_update(settings)
        self.discovery.update_schedule(poll_schedule_of(settings))
        self.enqueue_event(api.SettingsUpdated(settings))

    def set_proxy_count(self, count: int) -> None:
        """Notify the policy of the number of proxies that serve the same endpoints, including this one."""
        self.enqueue_event(api.ProxyCountUpdated(count))

    # State and statistics
    @property
    def open_request_count(self) -> int:
        """Return the number of open requests."""
        return len(self.table.requests)

    @property
    def load(self) -> float:
        """Return the number of open requests as a share of the permitted maximum."""
        return len(self.table.requests) / (self.settings.max_open_requests or DEFAULT_MAX_OPEN_REQUESTS)

    @property
    def list_version(self) -> int:
        """Return the discovery version of the list in use."""
        return self.discovery.version or 0

    @property
    def is_ready(self) -> bool:
        """Return True if any endpoint is serving."""
        return self.cluster.is_ready

    @property
    def open_requests(self) -> Mapping[int, OpenRequest]:
        """Return the open requests by the request id of the policy."""
        return self.table.requests

    @property
    def shutdown_deadline(self) -> float:
        """Return the time of the shutdown (monotonic, s); every request is answered by then."""
        return self.table.shutdown_deadline

    def local_responses(self) -> LocalResponses:
        """Return the local response of /healthz, which reports whether the proxy is ready."""
        return {b"/healthz": lambda: READY if self.cluster.is_ready else NOT_READY}

    # Methods of net.downstream.RequestHandler
    def start_request(self, request: Request, writer: ResponseWriter) -> OpenRequest | None:
        """Add a request to the table and notify the policy, or answer the request at once."""
        if request.id in self.table.ids_in_use:
            # An earlier request with this id is in flight; a second copy could run at the same time.
            writer.respond(CONFLICT, (), b"this X-Call-Id is in use\n")
            return None
        self.requests_accepted += 1
        # A request may have waited in the socket before it was read. The wait reduces the client's budget,
        # and the lag of this event loop is the only indication of its length.
        margin = min(MAX_DEADLINE_MARGIN_S, MIN_DEADLINE_MARGIN_S + 2 * self.policy.loop_lag)
        # A client of a class waits no longer than the deadline of the class, whatever budget the client
        # states.
        client_budget = min(request.time_budget, self.deadline_by_class[request.class_name])
        deadline = min(request.received_at + client_budget - margin, self.table.shutdown_deadline)
        open_request = OpenRequest(self.requests_accepted, request, writer, deadline)
        if not request.body.is_complete:  # The time budget starts with the last byte of the body.
            open_request.deadline = self.table.shutdown_deadline
            request.body.on_complete = lambda: self.table.on_body_complete(open_request)
            request.body.on_rest_sent = lambda sent_at: self.table.on_rest_sent(open_request, sent_at)
        limits = NO_FILTER_LIMITS
        if self.filters:
            filtered = self._apply_filters(open_request)
            if isinstance(filtered, Rejection):
                writer.respond(filtered.status_code, filtered.headers, filtered.body)
                return None
            limits = filtered
            deadline = min(deadline, open_request.deadline)
        if self._refuse(open_request):
            return None
        self.table.add(open_request)
        self._enqueue_arrival(open_request, client_budget, deadline, limits)
        return open_request

    def _refuse(self, open_request: OpenRequest) -> bool:
        """Answer a new request for which there is no room or no time; return whether it was answered."""
        limit = self.settings.max_open_requests
        if limit and len(self.table.requests) >= limit:
            self.table.refuse(open_request, RETRY_AFTER_OVERLOAD, b"too many calls\n")
            return True
        is_overdue = open_request.deadline <= time.monotonic()
        if is_overdue and open_request.request.body.is_complete:
            # The request waited behind others of its connection.
            self.table.refuse(open_request, (), b"out of time\n")
            return True
        return False

    def client_disconnected(self, open_request: OpenRequest) -> None:
        """End a request whose client has disconnected."""
        self.table.client_disconnected(open_request)

    def abandon(self, open_request: OpenRequest) -> None:
        """Answer a request whose client may have disconnected unseen."""
        self.table.abandon(open_request)

    def _enqueue_arrival(
        self, open_request: OpenRequest, client_budget: float, deadline: float, limits: FilterLimits
    ) -> None:
        """Enqueue the arrival of a new request for the policy."""
        request = open_request.request
        self.enqueue_event(
            api.RequestArrived(
                request_id=open_request.request_id,
                class_name=request.class_name,
                time_budget=deadline - POLICY_MARGIN_S - time.monotonic(),
                stated_budget=client_budget,
                tenant=request.tenant,
                expected_work=request.expected_work,
                is_retry=request.is_retry,
                affinity_key=request.affinity_key,
                max_attempts=limits.max_attempts,
                weight_share=limits.weight_share * request.weight_share,
                earlier_execution=limits.earlier_execution,
            )
        )

    def _apply_filters(self, open_request: OpenRequest) -> FilterLimits | Rejection:
        """Apply all filters to a new request; return the limits for the policy, or the rejection."""
        filtered = apply_filters(self.filters, open_request.request, lambda: self.table.abandon(open_request))
        if isinstance(filtered, Rejection):
            return filtered
        return open_request.limit_by_filters(filtered) if filtered else NO_FILTER_LIMITS

    # Actions of the policy
    def _start_attempt(self, action: api.StartAttempt) -> None:
        endpoint_id = action.endpoint_id
        open_request = self.table.requests.get(action.request_id)
        if open_request is None:
            # The request ended after the policy received its batch of events. The policy requires an outcome
            # for every attempt.
            not_sent = api.AttemptStatus.NOT_SENT
            self.enqueue_event(api.AttemptEnded(action.request_id, 0, endpoint_id, not_sent, 0.0, True))
            return
        attempt_number = open_request.attempts_started
        open_request.attempts_started += 1
        pool = self.cluster.pools.get(endpoint_id)
        if pool is None or not pool.is_serving or open_request.attempt is not None:
            if open_request.attempt is not None:
                log.error("second_attempt_refused request=%d reason=attempt_in_flight", action.request_id)
            self._attempt_not_sent(open_request, attempt_number, endpoint_id)
            return
        start = AttemptStart(self, open_request, attempt_number, action, pool)
        extra_headers = attempt_headers(open_request, start.timeout, endpoint_id)
        if extra_headers is None:  # A filter forbids the attempt, for example because no time is left.
            self._attempt_not_sent(open_request, attempt_number, endpoint_id)
            return

        def on_end(attempt: UpstreamAttempt) -> None:
            self._on_attempt_end(open_request, attempt_number, endpoint_id, attempt)

        attempt = create_attempt(start, extra_headers, on_end)
        open_request.attempt = self.table.attempts_in_flight[open_request.request_id] = attempt
        self.cluster.start_attempt(attempt)

    def _attempt_not_sent(self, open_request: OpenRequest, attempt_number: int, endpoint_id: int) -> None:
        """Notify the policy that an attempt was not sent."""
        not_sent = api.AttemptStatus.NOT_SENT
        self.enqueue_event(
            api.AttemptEnded(open_request.request_id, attempt_number, endpoint_id, not_sent, 0.0, False)
        )

    def _on_attempt_end(
        self, open_request: OpenRequest, attempt_number: int, endpoint_id: int, attempt: UpstreamAttempt
    ) -> None:
        status = attempt.status
        assert status is not None
        open_request.attempt = None
        self.table.attempts_in_flight.pop(open_request.request_id, None)
        self._report_outcome(endpoint_id, status)
        for state in open_request.filter_states:
            state.on_attempt_end(attempt, status)
        if status not in api.NEVER_EXECUTED:
            open_request.maybe_executed = True
        if isinstance(attempt, UpgradeAttempt) and attempt.upgraded_connection is not None:
            self._on_upgrade(open_request, attempt_number, endpoint_id, attempt)
            return
        if not open_request.is_open:
            self.table.ids_in_use.discard(open_request.request.id)
        elif status is api.AttemptStatus.OK:
            self._forward_response(open_request, attempt)
        report = None
        if self.settings.load_report_source is LoadReportSource.ANSWER:
            reports = [value for name, value in attempt.response_headers if name == b"x-load-report"]
            report = parse_load_report(reports[0]) if len(reports) == 1 else None
        self.enqueue_event(
            api.AttemptEnded(
                open_request.request_id,
                attempt_number,
                endpoint_id,
                status,
                attempt.elapsed,
                not open_request.is_open,
                report,
            )
        )

    def _forward_response(self, open_request: OpenRequest, attempt: UpstreamAttempt) -> None:
        """Answer a request with the response of an attempt, either complete or streamed."""
        self.requests_succeeded += 1
        removed = self.removed_response_headers
        headers = [pair for pair in attempt.response_headers if pair[0] not in removed]
        if attempt.response_source is None:
            self.table.respond(open_request, 200, headers, attempt.response_body)
        else:
            # A streamed response needs no more decisions of the policy, so the request leaves the table.
            self.table.stream(open_request, headers, attempt.response_length, attempt.response_source)

    def _on_upgrade(
        self, open_request: OpenRequest, attempt_number: int, endpoint_id: int, attempt: UpgradeAttempt
    ) -> None:
        """Pass the upgraded connection to the negotiation, and report the request to the policy as a stream.

        The stream ends when the upgraded connection ends.
        """
        # The callback exists as long as the connection. It references these local variables, so that the
        # attempt and the request can be freed earlier.
        started_at = attempt.started_at
        request_id = open_request.request_id
        connection = attempt.upgraded_connection
        assert connection is not None

        def on_end(status: api.AttemptStatus) -> None:
            elapsed = time.monotonic() - started_at
            self.enqueue_event(
                api.AttemptEnded(request_id, attempt_number, endpoint_id, status, elapsed, True)
            )

        self.table.ids_in_use.discard(open_request.request.id)
        if not open_request.is_open:
            connection.abort()
            on_end(api.AttemptStatus.OK)
            return
        self.table.finish(open_request, True)
        self.enqueue_event(api.StreamStarted(request_id, attempt_number, endpoint_id, attempt.elapsed))
        attempt.negotiation.upgraded(connection, attempt.response_headers, attempt.surplus, on_end)

    def _report_outcome(self, endpoint_id: int, status: api.AttemptStatus) -> None:
        if self.on_attempt_outcome is not None:
            self.on_attempt_outcome(endpoint_id, status)

    def _reject(self, action: api.Reject) -> None:
        open_request = self.table.requests.get(action.request_id)
        if open_request is not None:
            wait = action.retry_after
            if self.adjust_retry_after is not None:
                wait = self.adjust_retry_after(wait)
            headers = ((b"retry-after", b"%.3f" % wait),) if wait > 0 else ()
            self.table.respond(open_request, 503, headers, b"refused\n")

    def _fail(self, action: api.Fail) -> None:
        open_request = self.table.requests.get(action.request_id)
        if open_request is not None:
            self.table.respond(open_request, 502, (), b"failed\n")

    def _cancel_attempt(self, action: api.CancelAttempt) -> None:
        attempt = self.table.attempts_in_flight.get(action.request_id)
        if attempt is not None:
            attempt.cancel()

    def _close_idle(self, action: api.CloseIdleConnections) -> None:
        pool = self.cluster.pools.get(action.endpoint_id)
        if pool is not None:
            pool.close_idle()

    def check_health(self, endpoint_id: int) -> None:
        """Start a health check that the policy did not request; the policy receives the result as usual."""
        self.health_checker.check(api.CheckHealth(endpoint_id))
