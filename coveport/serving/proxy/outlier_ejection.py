"""Ejects nodes whose responses to this proxy fail: outlier detection with circuit breaking. Pure.

A node whose recent attempts all failed is ejected until a health check succeeds; the ejection time is
jittered and doubles with each failure. Where no connection came up, the health check is a connect of its own,
so that no request is lost to it. Where responses broke off, the circuit is half-open after the ejection time:
one request at a time is let through. A rejection for want of capacity makes a node unusable for a short
moment only, and shows that it is alive.

A node that answers part of its requests with errors of its own is *degraded*: it is ejected by their share
among its recent responses, and each request that is served meanwhile lets that share fall again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from random import Random

CONSECUTIVE_FAILURES_TO_EJECT = 2  # one alone may be chance; not measured
BASE_EJECTION_S = 0.4  # about what a failed connect costs; not measured
MAX_EJECTION_S = 4.0  # a recovered node is found again within this; not measured
AT_CAPACITY_S = 0.15  # capacity that frees up meanwhile is found soon; not measured
DEGRADED_FAILURES = 1.2  # a decaying count, so two in a row reach it; not measured
DEGRADED_FAILURE_RATIO = 0.25  # of the responses counted; measurement `degraded-nodes`
FAILURE_DECAY_S = 15.0  # time constant of both counts; measurement `degraded-nodes`
CHECK_TIMEOUT_S = 3.0  # after that a check without a result no longer blocks the next; not measured


@dataclass(slots=True)
class _NodeRecord:
    consecutive_failures: int = 0
    is_unreachable: bool = False  # the last connect failed
    ejection_s: float = BASE_EJECTION_S  # of the next ejection
    next_check_at_s: float = 0.0
    at_capacity_until_s: float = 0.0
    failures: float = 0.0  # decaying count of responses with an error of the node's own
    served: float = 0.0  # decaying count of other responses since the first failure
    counted_at_s: float = 0.0

    def is_failing(self, now_s: float) -> bool:
        return self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT or self.is_degraded(now_s)

    def is_degraded(self, now_s: float) -> bool:
        if not self.failures or self.failures * self._decay_factor(now_s) < DEGRADED_FAILURES:
            return False
        return self.failures >= DEGRADED_FAILURE_RATIO * (self.failures + self.served)

    def count(self, now_s: float, *, failures: int = 0, served: int = 0) -> None:
        factor = self._decay_factor(now_s)
        self.failures = self.failures * factor + failures
        self.served = self.served * factor + served
        self.counted_at_s = now_s

    def _decay_factor(self, now_s: float) -> float:
        return exp(-max(0.0, now_s - self.counted_at_s) / FAILURE_DECAY_S)

    def recover(self) -> None:
        self.consecutive_failures = 0
        self.ejection_s = BASE_EJECTION_S
        self.is_unreachable = False


@dataclass(slots=True)
class OutlierDetector:
    """What this proxy's attempts show of each node, by incarnation."""

    random: Random
    _records: dict[str, _NodeRecord] = field(default_factory=dict)

    def is_ejected(self, incarnation: str, now_s: float) -> bool:
        """Return whether failures keep requests off the node; False while the circuit is half-open."""
        record = self._records.get(incarnation)
        if record is None or not record.is_failing(now_s):
            return False
        return record.is_unreachable or now_s < record.next_check_at_s

    def at_capacity_until_s(self, incarnation: str) -> float:
        """Return until when the node is known to reject requests."""
        record = self._records.get(incarnation)
        return record.at_capacity_until_s if record is not None else 0.0

    def scheduled_health_checks(self, now_s: float) -> list[str]:
        """Return the nodes to connect to now; each is returned once per check."""
        scheduled = []
        for incarnation, record in self._records.items():
            if record.is_unreachable and now_s >= record.next_check_at_s:
                record.next_check_at_s = now_s + CHECK_TIMEOUT_S
                scheduled.append(incarnation)
        return scheduled

    def record_attempt(self, incarnation: str, now_s: float) -> None:
        """Record that a request goes to the node: where the circuit is half-open, no other does meanwhile."""
        record = self._records.get(incarnation)
        if record is not None and record.is_failing(now_s):
            record.next_check_at_s = max(record.next_check_at_s, now_s + CHECK_TIMEOUT_S)

    def record_recovered(self, incarnation: str) -> None:
        """Record that the node answered, or that a health check's connect came up."""
        record = self._records.get(incarnation)
        if record is not None:
            record.recover()

    def record_served(self, incarnation: str, now_s: float) -> None:
        """Record a response that is no error of the node's own."""
        record = self._records.get(incarnation)
        if record is None:
            return
        record.recover()
        if record.failures:
            record.count(now_s, served=1)
            if record.is_degraded(now_s):
                record.next_check_at_s = now_s + self._jittered(BASE_EJECTION_S)

    def record_server_error(self, incarnation: str, now_s: float) -> None:
        """Record that the node ran a request and answered with an error of its own (500, 502)."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures = 0
        record.is_unreachable = False
        record.count(now_s, failures=1)
        if record.is_degraded(now_s):
            self._eject(record, now_s)

    def record_broken_response(self, incarnation: str, now_s: float) -> None:
        """Record a response that was reset, broke off, was invalid or did not come."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures += 1
        if record.is_failing(now_s):
            self._eject(record, now_s)

    def record_unreachable(self, incarnation: str, now_s: float) -> None:
        """Record that no connection came up."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures = max(record.consecutive_failures, CONSECUTIVE_FAILURES_TO_EJECT)
        record.is_unreachable = True
        self._eject(record, now_s)

    def record_misdirected(self, incarnation: str, now_s: float) -> None:
        """Record that another incarnation answered at the node's address (421)."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures = max(record.consecutive_failures, CONSECUTIVE_FAILURES_TO_EJECT)
        record.ejection_s = MAX_EJECTION_S  # an incarnation that is gone does not come back
        self._eject(record, now_s)

    def record_at_capacity(self, incarnation: str, now_s: float) -> None:
        """Record that the node rejected a request for want of capacity."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.recover()
        record.at_capacity_until_s = now_s + self._jittered(AT_CAPACITY_S)

    def _jittered(self, time_s: float) -> float:
        return time_s * (0.75 + 0.5 * self.random.random())

    def _eject(self, record: _NodeRecord, now_s: float) -> None:
        record.next_check_at_s = now_s + self._jittered(record.ejection_s)
        record.ejection_s = min(record.ejection_s * 2, MAX_EJECTION_S)

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the records of nodes that are gone."""
        for gone in self._records.keys() - incarnations:
            del self._records[gone]
