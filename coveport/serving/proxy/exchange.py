"""Carries one client's request from its route to its response: attempts at nodes until one answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from coveport.serving.proxy.failure_response import send_failure
from coveport.serving.proxy.headers import first
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.node_acquisition import acquire_node
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.request_forwarder import RequestForwarder
from coveport.serving.proxy.response_relay import ResponseRelay
from coveport.serving.proxy.retry_policy import AttemptOutcome, RetryPolicy
from coveport.serving.wire.names import Header


@dataclass(slots=True)
class Exchange:
    """The attempts of one request, until it is answered or its deadline passes."""

    context: ProxyContext
    request: InFlightRequest
    _retries: RetryPolicy = field(init=False)
    _forwarder: RequestForwarder = field(init=False)

    def __post_init__(self) -> None:
        request = self.request
        relay = ResponseRelay(
            request.client,
            first(request.message.headers, Header.ATTEMPT_ID),
            request.routed.route.resumable,
            self.context.counters,
            request.sequence,
        )
        self._retries = RetryPolicy(self.context, request)
        self._forwarder = RequestForwarder(self.context, request, self._retries, relay)

    async def run(self) -> None:
        """Answer the request: with a node's response, else with a failure, at its deadline at the latest."""
        try:
            async with asyncio.timeout_at(self.request.deadline_s):
                if not await self._attempt_until_complete():
                    send_failure(self.context, self.request)
        except TimeoutError:
            self.context.counters.add("deadline")
            send_failure(self.context, self.request, at_deadline=True)

    async def _attempt_until_complete(self) -> bool:
        """Try nodes and return True when the client has a response, False when no retry is left."""
        try:
            while True:
                known = await acquire_node(self.context, self.request)
                if known is None:
                    return False
                outcome = await self._forwarder.forward(known)
                if outcome is AttemptOutcome.COMPLETE:
                    return True
                if not self._retries.may_retry(outcome):
                    return False
        finally:
            self._retries.release()
