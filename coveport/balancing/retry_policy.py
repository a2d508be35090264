"""Retry policy: the further attempts and rejections that the rules on repeated execution allow."""

from __future__ import annotations

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.host import Host
from coveport.balancing.request_state import RequestState
from coveport.balancing.settings import Effect

RETRY_BUDGET_BURST = 2.0
"""Largest retry budget that is saved up; retries may overdraw it by as much, hedged requests may not."""


class RetryPolicy(BalancerState):
    """The rules on whether a request may be tried again, and at which host."""

    def _is_allowed(self, request: RequestState, host: Host | None) -> bool:
        """Return whether the rules allow another attempt at `host`, or a rejection (no host)."""
        cls = request.cls
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        if host is None:
            return not possibly_run or cls.is_repeatable_anywhere
        if (
            not host.ready
            or request.streaming
            or self.now >= request.deadline
            or len(request.attempts) >= request.limits.max_attempts
            or (not request.limits.second_copies and any(attempt.pending for attempt in request.attempts))
        ):
            return False
        # A streamed body may take longer than the window, so it is not repeated by its key.
        if not possibly_run or cls.effect is not Effect.KEYED or request.streams_body:
            return not possibly_run or cls.effect is Effect.SAFE
        return all(
            self.now - attempt.sent_at < request.window and cls.group.covers(attempt.host, host)
            for attempt in possibly_run
        )

    def _may_retry(self, request: RequestState) -> bool:
        """Return whether time, attempts and retry budget allow another attempt; if so, charge the budget."""
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        if possibly_run and request.cls.effect is Effect.KEYED:  # no repeat is allowed after the window
            request.queue_until = min(request.queue_until, possibly_run[0].sent_at + request.window)
        if (
            self.effective_now >= request.queue_until
            or len(request.attempts) >= request.limits.max_attempts
            or (
                possibly_run
                and (request.cls.effect is Effect.UNSAFE or self.retry_budget <= -RETRY_BUDGET_BURST)
            )
        ):
            return False
        self.retry_budget -= bool(possibly_run)
        return True
