"""Ejects nodes whose responses to this proxy fail: outlier detection with circuit breaking.

A node whose recent attempts all failed is ejected until a health check succeeds; the ejection time is
jittered and doubles with each failure. After a failed connect, the health check is a separate connect, so
that it costs no request. After broken responses, the circuit is half-open at the end of the ejection time:
one request at a time is let through. A rejection for lack of capacity makes a node unusable for only
`AT_CAPACITY_S`, and shows that it is alive.

A node that answers some of its requests with its own errors is *degraded*: it is ejected when the ratio of
such errors among its recent responses is too high, and each request served meanwhile lowers that ratio.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from random import Random

CONSECUTIVE_FAILURES_TO_EJECT = 2  # a single failure may be chance
BASE_EJECTION_S = 0.4  # about the time that a failed connect costs
MAX_EJECTION_S = 4.0  # longest time until a recovered node is used again
AT_CAPACITY_S = 0.15  # short, so that the node is used again soon after it has capacity
# Threshold of the decaying count of failures; two failures in a row reach this threshold.
DEGRADED_FAILURES = 1.2
DEGRADED_FAILURE_RATIO = 0.25  # failures among the counted responses (docs/policy.md, `degraded-nodes`)
FAILURE_DECAY_S = 15.0  # time constant of both counts (docs/policy.md, `degraded-nodes`)
CHECK_TIMEOUT_S = 3.0  # a check without a result blocks the next one for this long


@dataclass(slots=True)
class _NodeRecord:
    consecutive_failures: int = 0
    is_unreachable: bool = False  # whether the last connect failed
    ejection_s: float = BASE_EJECTION_S  # length of the next ejection
    next_check_at_s: float = 0.0  # time of the next health check or half-open request
    at_capacity_until_s: float = 0.0
    failures: float = 0.0  # decaying count of responses with the node's own error
    served: float = 0.0  # decaying count of other responses since the first failure
    counted_at_s: float = 0.0  # time of the last update of both counts

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
    """Records of this proxy's attempts at each node, by incarnation."""

    random: Random
    _records: dict[str, _NodeRecord] = field(default_factory=dict)

    def is_ejected(self, incarnation: str, now_s: float) -> bool:
        """Return whether the node is ejected; False while its circuit is half-open."""
        record = self._records.get(incarnation)
        if record is None or not record.is_failing(now_s):
            return False
        return record.is_unreachable or now_s < record.next_check_at_s

    def at_capacity_until_s(self, incarnation: str) -> float:
        """Return the time until which the node is expected to reject requests."""
        record = self._records.get(incarnation)
        return record.at_capacity_until_s if record is not None else 0.0

    def scheduled_health_checks(self, now_s: float) -> list[str]:
        """Return the incarnations whose health check is due; each one is returned once per check."""
        scheduled = []
        for incarnation, record in self._records.items():
            if record.is_unreachable and now_s >= record.next_check_at_s:
                record.next_check_at_s = now_s + CHECK_TIMEOUT_S
                scheduled.append(incarnation)
        return scheduled

    def record_attempt(self, incarnation: str, now_s: float) -> None:
        """Record that a request is sent to the node; a half-open circuit then admits no other meanwhile."""
        record = self._records.get(incarnation)
        if record is not None and record.is_failing(now_s):
            record.next_check_at_s = max(record.next_check_at_s, now_s + CHECK_TIMEOUT_S)

    def record_recovered(self, incarnation: str) -> None:
        """Record that the node answered, or that the connect of a health check succeeded."""
        record = self._records.get(incarnation)
        if record is not None:
            record.recover()

    def record_served(self, incarnation: str, now_s: float) -> None:
        """Record a response that is not the node's own error."""
        record = self._records.get(incarnation)
        if record is None:
            return
        record.recover()
        if record.failures:
            record.count(now_s, served=1)
            if record.is_degraded(now_s):
                record.next_check_at_s = now_s + self._jittered(BASE_EJECTION_S)

    def record_server_error(self, incarnation: str, now_s: float) -> None:
        """Record that the node ran a request and answered with its own error (500, 502)."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures = 0
        record.is_unreachable = False
        record.count(now_s, failures=1)
        if record.is_degraded(now_s):
            self._eject(record, now_s)

    def record_broken_response(self, incarnation: str, now_s: float) -> None:
        """Record a response that was reset, truncated, invalid or missing."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures += 1
        if record.is_failing(now_s):
            self._eject(record, now_s)

    def record_unreachable(self, incarnation: str, now_s: float) -> None:
        """Record that a connect to the node failed."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures = max(record.consecutive_failures, CONSECUTIVE_FAILURES_TO_EJECT)
        record.is_unreachable = True
        self._eject(record, now_s)

    def record_misdirected(self, incarnation: str, now_s: float) -> None:
        """Record that another incarnation answered at the node's address (421)."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.consecutive_failures = max(record.consecutive_failures, CONSECUTIVE_FAILURES_TO_EJECT)
        record.ejection_s = MAX_EJECTION_S  # the incarnation has ended and does not return
        self._eject(record, now_s)

    def record_at_capacity(self, incarnation: str, now_s: float) -> None:
        """Record that the node rejected a request for lack of capacity."""
        record = self._records.setdefault(incarnation, _NodeRecord())
        record.recover()
        record.at_capacity_until_s = now_s + self._jittered(AT_CAPACITY_S)

    def _jittered(self, time_s: float) -> float:
        return time_s * (0.75 + 0.5 * self.random.random())

    def _eject(self, record: _NodeRecord, now_s: float) -> None:
        record.next_check_at_s = now_s + self._jittered(record.ejection_s)
        record.ejection_s = min(record.ejection_s * 2, MAX_EJECTION_S)

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the records of all other nodes."""
        for incarnation in self._records.keys() - incarnations:
            del self._records[incarnation]
