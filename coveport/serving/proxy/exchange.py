"""Processes one routed client request: makes attempts at nodes until one responds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from coveport.serving.proxy.failure_response import send_failure, send_routing_failure
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.node_acquisition import acquire_node
from coveport.serving.proxy.node_connection import NodeConnection
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.request_forwarder import RequestForwarder
from coveport.serving.proxy.request_routing import RoutingFailure, request_timeout_s
from coveport.serving.proxy.response_relay import ResponseRelay
from coveport.serving.proxy.retry_policy import AttemptOutcome, RetryPolicy


@dataclass(slots=True)
class Exchange:
    """The attempts of one request, until it has a response or its deadline passes."""

    context: ProxyContext
    request: InFlightRequest
    _relay: ResponseRelay = field(init=False)
    _retries: RetryPolicy = field(init=False)
    _forwarder: RequestForwarder = field(init=False)
    _timeout: asyncio.Timeout = field(init=False)  # ends the exchange at the request's deadline

    def __post_init__(self) -> None:
        request = self.request
        self._relay = ResponseRelay(
            request.client,
            request.attempt_id,
            request.routed.route.resumable,
            self.context.counters,
            request.sequence,
            self._record_success_start,
        )
        self._retries = RetryPolicy(self.context, request)
        self._forwarder = RequestForwarder(self.context, request, self._retries, self._relay)
        self._timeout = asyncio.timeout_at(request.deadline_s)

    async def run(self) -> None:
        """Respond with a node's response or with a failure, by the deadline at the latest."""
        try:
            async with self._timeout:
                if not await self._attempt_until_complete():
                    send_failure(self.context, self.request)
        except TimeoutError:
            self.context.counters.add("deadline")
            send_failure(self.context, self.request, at_deadline=True)

    def _record_success_start(self, connection: NodeConnection) -> None:
        """Count the request for its tenant, only once even if a second node resumes the stream.

        A request whose response can't be resumed is not sent again, so that its body is no longer needed.
        """
        request = self.request
        tenant = request.routed.tenant
        telemetry = self.context.telemetry
        if telemetry is not None and tenant is not None and not request.has_success_started:
            telemetry.record_begun(tenant, connection.last_received_s - connection.one_way_delay_s)
        request.has_success_started = True
        if not request.routed.route.resumable:
            request.release_body()

    async def _attempt_until_complete(self) -> bool:
        """Make attempts; return True when the client has a response, False when no retry is allowed."""
        try:
            while True:
                known_node = await acquire_node(self.context, self.request)
                if known_node is None:
                    return False
                if not self._is_route_current():
                    if self._reroute():
                        continue
                    return True
                outcome = await self._forwarder.forward(known_node)
                if outcome is AttemptOutcome.COMPLETE:
                    return True
                if not self._retries.may_retry(outcome):
                    return False
        finally:
            self._retries.release()

    def _is_route_current(self) -> bool:
        """Return whether the route can be used: the newest configuration chose it, or an attempt was sent."""
        return self.request.attempts > 0 or self.context.router.is_current(self.request.routed)

    def _reroute(self) -> bool:
        """Route the request by the newest configuration, whose time-out it gets too.

        If that fails, send the failure and return False.
        """
        request = self.request
        routed = self.context.router.route(request.message)
        if isinstance(routed, RoutingFailure):
            send_routing_failure(request.client, self.context.counters, routed)
            return False
        request.routed = routed
        request.deadline_s = request.arrived_s + request_timeout_s(request.message, routed.route)
        self._timeout.reschedule(request.deadline_s)
        self._relay.is_resumable = routed.route.resumable
        return True
