"""A proxy's quota of the retry budget. Pure.

The rule (`settings.boot.Bounds`): in each sliding window the requests that reach nodes of a service beyond
the first attempt of each request, summed over all proxies, are at most ratio x requests + slack. Each proxy
keeps to ratio x its own requests, and to an equal share of the slack; both with a margin, since windows of
the rule begin at other moments than ours. An attempt that was rejected, and a 421, count; a connection that
never came up does not.

A retry is reserved when it is decided, and spent when it is sent: others are decided in between.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor

from coveport.serving.proxy.sliding_window import SlidingWindow

RATIO_MARGIN = 0.9  # of the ratio: windows of the rule hold other requests; measurement `retry-windows`
SLACK_MARGIN = 0.8  # of the slack, likewise; measurement `retry-windows`


@dataclass(slots=True)
class _ServiceBudget:
    requests: SlidingWindow
    retries: SlidingWindow
    reserved: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Counts requests and retries by service."""

    ratio: float
    slack: float
    window_s: float
    _services: dict[str, _ServiceBudget] = field(default_factory=dict)

    def _of(self, service: str) -> _ServiceBudget:
        found = self._services.get(service)
        if found is None:
            found = _ServiceBudget(SlidingWindow(self.window_s), SlidingWindow(self.window_s))
            self._services[service] = found
        return found

    def record_request(self, service: str, now_s: float) -> None:
        """Count a client's request for the service."""
        self._of(service).requests.add(now_s)

    def reserve(self, service: str, max_proxies: int, now_s: float) -> bool:
        """Reserve one retry and return True, if the budget has room for it."""
        budget = self._of(service)
        allowed = self.ratio * RATIO_MARGIN * budget.requests.count(now_s)
        allowed += floor(self.slack * SLACK_MARGIN / max(1, max_proxies))
        if budget.retries.count(now_s) + budget.reserved + 1 > allowed:
            return False
        budget.reserved += 1
        return True

    def spend(self, service: str, now_s: float) -> None:
        """Count a reserved retry that is sent."""
        budget = self._of(service)
        budget.reserved -= 1
        budget.retries.add(now_s)

    def release(self, service: str) -> None:
        """Give back a reserved retry that is not sent."""
        self._of(service).reserved -= 1
