"""A proxy's share of the budget of second sends. Pure.

The rule: in each sliding window the arrivals at a service beyond the first of each request, summed over all
proxies, are at most RetryRatio x requests + RetrySlack. Each proxy keeps to ratio x its own requests, and
to an equal part of the slack; both with a margin, since windows of the rule begin at other moments than
ours.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor

from coveport.system.proxy.sliding_window import SlidingWindow

RATIO_PART = 0.9  # of the ratio that is spent
SLACK_PART = 0.8  # of the slack that is spent


@dataclass(slots=True)
class _ServiceBudget:
    requests: SlidingWindow
    repeats: SlidingWindow


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

    def may_repeat(self, service: str, proxies_at_most: int, now_s: float) -> bool:
        """Whether one more send beyond a request's first fits."""
        budget = self._of(service)
        allowed = self.ratio * RATIO_PART * budget.requests.count(now_s)
        allowed += floor(self.slack * SLACK_PART / max(1, proxies_at_most))
        return budget.repeats.count(now_s) + 1 <= allowed

    def note_repeat(self, service: str, now_s: float) -> None:
        """A request has been sent again."""
        self._of(service).repeats.add(now_s)
