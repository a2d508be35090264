"""Decides whether a request may be sent to another node after an attempt.

| outcome of the attempt | the request may be retried |
| --- | --- |
| no connection | yes: nothing was sent; counts neither as an attempt nor against the retry budget |
| 503, 429 or 408 with a statement that the request did not run; 421 | yes |
| a reset, an invalid response, a stall, or a rejection without that statement | if it is idempotent |
| the same in the middle of a resumable stream | yes, after the last complete event that the client received |
| 500 or 502 of the node | if it is idempotent; else the response is forwarded to the client |

A retry must also stay within `Route.max_attempts`, and needs a reservation in the retry budget.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.proxy_context import ProxyContext

MAX_FAILED_CONNECTS = 4  # per request; each failed connect may take a large part of the latency target


class AttemptOutcome(Enum):
    """How one attempt at a node ended."""

    COMPLETE = "the client has the complete response"
    NOT_SENT = "nothing was sent"
    NOT_RUN = "the node said that it did not run the request"
    FAILED = "the request may have run, and there is no complete response"


@dataclass(slots=True)
class RetryPolicy:
    """The retries of one request, and its reservation in the retry budget."""

    context: ProxyContext
    request: InFlightRequest
    _has_reservation: bool = False

    def may_retry(self, outcome: AttemptOutcome) -> bool:
        """Return whether another node may be tried after this outcome; if so, reserve the retry."""
        if outcome is AttemptOutcome.NOT_SENT:
            self.request.failed_connects += 1
            return self.request.failed_connects < MAX_FAILED_CONNECTS
        if outcome is AttemptOutcome.FAILED and not self.may_run_twice:
            return False
        return self.reserve()

    @property
    def may_run_twice(self) -> bool:
        """Whether the request may be sent again although it may have run.

        If the response to the client has begun, the stream must be resumable.
        """
        route = self.request.routed.route
        return route.resumable if self.request.client.has_begun else route.is_idempotent

    def may_retry_after_error(self) -> bool:
        """Return whether another node may be tried after a node's error; if so, reserve the retry."""
        return self.may_run_twice and self.reserve()

    def reserve(self) -> bool:
        """Reserve one retry, if the route and the budget allow it; return whether a retry is reserved."""
        if self._has_reservation:
            return True
        routed = self.request.routed
        if self.request.attempts >= routed.route.max_attempts:
            return False
        context = self.context
        now_s = context.net.now_s()
        self._has_reservation = context.budget.reserve(routed.service.name, context.view.max_proxies, now_s)
        return self._has_reservation

    def spend(self, now_s: float) -> None:
        """Spend the reservation, as the retry is sent."""
        self._has_reservation = False
        self.context.budget.spend(self.request.routed.service.name, now_s)

    def release(self) -> None:
        """Cancel the reservation, if there is one."""
        if self._has_reservation:
            self._has_reservation = False
            self.context.budget.release(self.request.routed.service.name)
