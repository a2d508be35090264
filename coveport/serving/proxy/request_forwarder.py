"""Forwards a request to one node: connects, sends, relays the response, and records the node's behaviour."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.model.view import KnownNode
from coveport.serving.proxy.errors import BrokenResponseError, ConnectFailedError
from coveport.serving.proxy.forwarded_request import write_forwarded_head
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.node_connection import NodeConnection
from coveport.serving.proxy.overload_estimate import StreamGaps
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.response_relay import REJECTIONS, RelayOutcome, ResponseRelay
from coveport.serving.proxy.retry_policy import AttemptOutcome, RetryPolicy
from coveport.serving.proxy.stall_policy import stall_timeouts
from coveport.serving.proxy.stall_timeouts import StallTimeouts


@dataclass(slots=True)
class RequestForwarder:
    """Makes the attempts of one request."""

    context: ProxyContext
    request: InFlightRequest
    retries: RetryPolicy
    relay: ResponseRelay

    async def forward(self, known_node: KnownNode) -> AttemptOutcome:
        """Send the request to one node, relay the response, and return the outcome."""
        context = self.context
        node = known_node.node
        selected_s = context.net.now_s()
        context.observations.record_selected(known_node, self.request.routed, selected_s)
        try:
            connection = await context.pool.acquire(node, avoided=self.request.used_connections)
        except ConnectFailedError:
            context.observations.record_finished(known_node)
            context.counters.add("connects_failed")
            context.observations.outliers.record_unreachable(node.incarnation, context.net.now_s())
            return AttemptOutcome.NOT_SENT
        except BaseException:
            context.observations.record_finished(known_node)
            raise
        is_reusable = False
        try:
            if not self._write(known_node, connection, selected_s):
                return AttemptOutcome.NOT_SENT
            outcome = await self._relay(known_node, connection)
            is_reusable = outcome in (AttemptOutcome.COMPLETE, AttemptOutcome.NOT_RUN)
            return outcome
        finally:
            context.observations.record_finished(known_node)
            if is_reusable:
                context.pool.release(node, connection)
            else:
                context.pool.drop(node, connection)

    def _write(self, known_node: KnownNode, connection: NodeConnection, selected_s: float) -> bool:
        """Write the request; return False if nothing was sent."""
        context = self.context
        request = self.request
        now_s = context.net.now_s()
        # The view may have changed while the connection was established.
        if not context.selector.is_still_eligible(known_node, now_s):
            return False
        incarnation = known_node.node.incarnation
        head = write_forwarded_head(request, incarnation, context.observations.prefix_cache, now_s)
        is_idempotent = request.routed.route.is_idempotent
        if not connection.send(head, request.message.body, ends_when_unacknowledged=is_idempotent):
            return False
        context.observations.record_forwarded(known_node, request.routed, selected_s, now_s)
        if request.attempts:
            self.retries.spend(now_s)
            context.counters.add("resumed" if request.client.has_begun else "retries")
        request.attempts += 1
        request.used_connections.append(connection)
        if request.attempt_id is None:
            connection.must_close = True
        return True

    def _observe_event_gaps(self, known_node: KnownNode, connection: NodeConnection) -> None:
        """Record when bytes of this response arrive. The callback is short, as it runs for every read."""
        net = self.context.net
        observations = self.context.observations
        routed = self.request.routed
        gaps = StreamGaps()

        def on_received() -> None:
            observations.record_received(known_node, routed, gaps, net.now_s())

        connection.on_received = on_received

    async def _relay(self, known_node: KnownNode, connection: NodeConnection) -> AttemptOutcome:
        """Relay the response, and record the outcome for outlier ejection.

        This is a single coroutine, since every read of the response resumes all nested coroutines.
        """
        request = self.request
        incarnation = known_node.node.incarnation
        may_have_run_before = request.may_have_run
        request.may_have_run = True
        self._observe_event_gaps(known_node, connection)
        is_idempotent = request.routed.route.is_idempotent
        timeouts = stall_timeouts(self.context, request, self.retries, known_node) if is_idempotent else None
        try:
            outcome = await self.relay.relay(connection, timeouts, self.retries.may_retry_after_error)
            if outcome in REJECTIONS and request.used_connections.count(connection) > 1:
                outcome = await self._confirm_rejection(known_node, connection, outcome, timeouts)
        except BrokenResponseError:
            self._record_broken_response(incarnation)
            return AttemptOutcome.FAILED
        else:
            self._record_outcome(incarnation, outcome)
        finally:
            self.context.observations.latency.record_ended(incarnation)
        if outcome is RelayOutcome.SERVER_ERROR:
            request.failed_nodes.add(incarnation)
            return AttemptOutcome.FAILED
        if outcome in (RelayOutcome.FORWARDED, RelayOutcome.SERVER_ERROR_FORWARDED):
            return AttemptOutcome.COMPLETE
        request.may_have_run = may_have_run_before
        return AttemptOutcome.NOT_RUN

    async def _confirm_rejection(
        self,
        known_node: KnownNode,
        connection: NodeConnection,
        rejection: RelayOutcome,
        timeouts: StallTimeouts | None,
    ) -> RelayOutcome:
        """Return the outcome of an attempt that was rejected on a connection that carried an earlier one.

        The health check that is sent counts against the node's slow start as a request does.
        """
        context = self.context
        service = self.request.routed.service
        context.counters.add("rejection_checks")
        context.observations.slow_start.record_send(known_node, service, context.view, context.net.now_s())
        may_retry = self.retries.may_retry_after_error
        return await self.relay.confirm_rejection(
            connection, rejection, service.health_path, timeouts, may_retry
        )

    def _record_broken_response(self, incarnation: str) -> None:
        self.context.counters.add("broken")
        self.context.observations.outliers.record_broken_response(incarnation, self.context.net.now_s())
        self.request.failed_nodes.add(incarnation)

    def _record_outcome(self, incarnation: str, outcome: RelayOutcome) -> None:
        outliers = self.context.observations.outliers
        counters = self.context.counters
        now_s = self.context.net.now_s()
        if outcome is RelayOutcome.REJECTED:
            counters.add("full")
            outliers.record_at_capacity(incarnation, now_s)
        elif outcome is RelayOutcome.MISDIRECTED:
            counters.add("misdirected")
            outliers.record_misdirected(incarnation, now_s)
        elif outcome is RelayOutcome.FORWARDED:
            outliers.record_served(incarnation, now_s)
        else:
            counters.add("node_failures")
            outliers.record_server_error(incarnation, now_s)
