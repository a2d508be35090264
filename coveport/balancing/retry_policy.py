"""Retry policy: which further attempts and which rejections keep the rules on repeated effects."""

from __future__ import annotations

from coveport.balancing.balancer_state import BalancerState
from coveport.balancing.host import Host
from coveport.balancing.request_state import RequestState
from coveport.balancing.settings import Effect

RETRY_BUDGET_BURST = 2.0
"""The most retries saved up; retries may overdraw the budget as much, hedged requests may not."""


class RetryPolicy(BalancerState):
    """Says whether a request may be tried again, and where."""

    def _is_allowed(self, request: RequestState, host: Host | None) -> bool:
        """Return whether another attempt at `host`, or a rejection (no host), keeps the rules."""
        cls = request.cls
        risky = [attempt for attempt in request.attempts if attempt.may_have_run]
        if host is None:
            return not risky or cls.repeats_anywhere
        if (
            not host.ready
            or request.streaming
            or self.now >= request.deadline
            or len(request.attempts) >= request.limits.max_attempts
            or (not request.limits.second_copies and any(attempt.pending for attempt in request.attempts))
        ):
            return False
        if not risky or cls.effect is not Effect.KEYED or request.streams_body:  # which takes its time
            return not risky or cls.effect is Effect.SAFE
        return all(
            self.now - attempt.sent_at < request.window and cls.group.covers(attempt.host, host)
            for attempt in risky
        )

    def _may_retry(self, request: RequestState) -> bool:
        """Return whether time, attempts and the retry budget allow another attempt; charge the budget."""
        risky = [attempt for attempt in request.attempts if attempt.may_have_run]
        if risky and request.cls.effect is Effect.KEYED:  # behind its window it would be held for nothing
            request.queue_until = min(request.queue_until, risky[0].sent_at + request.window)
        if (
            self.effective_now >= request.queue_until
            or len(request.attempts) >= request.limits.max_attempts
            or (risky and (request.cls.effect is Effect.UNSAFE or self.retry_budget <= -RETRY_BUDGET_BURST))
        ):
            return False
        self.retry_budget -= bool(risky)
        return True
