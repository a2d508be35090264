"""A proxy's share of the budget of second sends. Pure.

The rule: in each sliding window the arrivals at a service beyond the first of each request, summed over all
proxies, are at most RetryRatio x requests + RetrySlack. Each proxy keeps to ratio x its own requests, and
to an equal part of the slack; both with a margin, since windows of the rule begin at other moments than
ours. A refused send and a 421 count as arrivals; a connection that never came up does not.

A second send is reserved when it is decided, and spent when it is handed over: in between others decide
too.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor

from coveport.serving.proxy.sliding_window import SlidingWindow

RATIO_PART = 0.9  # of the ratio that is spent
SLACK_PART = 0.8  # of the slack that is spent


@dataclass(slots=True)
class _ServiceBudget:
    requests: SlidingWindow
    repeats: SlidingWindow
    reserved: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Counts requests and repeats by service."""

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

    def note_request(self, service: str, now_s: float) -> None:
        """A client's request for the service has come."""
        self._of(service).requests.add(now_s)

    def reserve(self, service: str, max_proxies: int, now_s: float) -> bool:
        """Hold one more send beyond a request's first, if it fits."""
        budget = self._of(service)
        allowed = self.ratio * RATIO_PART * budget.requests.count(now_s)
        allowed += floor(self.slack * SLACK_PART / max(1, max_proxies))
        if budget.repeats.count(now_s) + budget.reserved + 1 > allowed:
            return False
        budget.reserved += 1
        return True

    def spend(self, service: str, now_s: float) -> None:
        """A reserved send is handed over."""
        budget = self._of(service)
        budget.reserved -= 1
        budget.repeats.add(now_s)

    def release(self, service: str) -> None:
        """A reserved send is not made after all."""
        self._of(service).reserved -= 1
