"""A proxy's quota of the retry budget.

The rule (`settings.boot.Bounds`): in each sliding window the requests that reach nodes of a service beyond
the first attempt of each request, summed over all proxies, are at most ratio x requests + slack. The quota
of a proxy is ratio x its own requests plus an equal part of the slack, both with a margin, since the windows
of the rule begin at other times than the windows here. Rejected attempts and 421 responses count; a
connection that could not be established does not.

A retry is reserved when it is decided and spent when it is sent, since further retries may be decided in
between.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor

from coveport.serving.proxy.sliding_window import SlidingWindow

RATIO_MARGIN = 0.9  # part of the ratio that is used, as the rule's windows differ; measured (`retry-windows`)
SLACK_MARGIN = 0.8  # part of the slack that is used, for the same reason; measured (`retry-windows`)


@dataclass(slots=True)
class _ServiceBudget:
    requests: SlidingWindow
    retries: SlidingWindow
    reserved: int = 0  # retries decided and not yet sent


@dataclass(slots=True)
class RetryBudget:
    """The requests and retries of each service, and the retries that the quota still allows."""

    ratio: float
    slack: float
    window_s: float
    _budgets_by_service: dict[str, _ServiceBudget] = field(default_factory=dict)

    def _budget_of(self, service: str) -> _ServiceBudget:
        service_budget = self._budgets_by_service.get(service)
        if service_budget is None:
            service_budget = _ServiceBudget(SlidingWindow(self.window_s), SlidingWindow(self.window_s))
            self._budgets_by_service[service] = service_budget
        return service_budget

    def record_request(self, service: str, now_s: float) -> None:
        """Count a client's request for the service."""
        self._budget_of(service).requests.add(now_s)

    def reserve(self, service: str, max_proxies: int, now_s: float) -> bool:
        """Reserve one retry and return True, if the quota allows it."""
        budget = self._budget_of(service)
        max_retries = self.ratio * RATIO_MARGIN * budget.requests.count(now_s)
        max_retries += floor(self.slack * SLACK_MARGIN / max(1, max_proxies))
        if budget.retries.count(now_s) + budget.reserved + 1 > max_retries:
            return False
        budget.reserved += 1
        return True

    def spend(self, service: str, now_s: float) -> None:
        """Count a reserved retry as sent."""
        budget = self._budget_of(service)
        budget.reserved -= 1
        budget.retries.add(now_s)

    def release(self, service: str) -> None:
        """Cancel the reservation of a retry that is not sent."""
        self._budget_of(service).reserved -= 1
