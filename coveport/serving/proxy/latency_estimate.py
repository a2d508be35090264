"""Estimates the latency of nodes in this proxy's streams, and finds nodes that don't respond at all.

- A node is *saturated* while the mean gap between the events of this proxy's streams there exceeds
  `SATURATED_GAP_RATIO` of the route's target: it prefills in every step, and each further request makes its
  streams late.
- A node is *unresponsive* while requests are pending there and it has sent no byte for `UNRESPONSIVE_S`: its
  region may be partitioned off, and a request that can't be retried would be lost there. A successful connect
  makes it responsive again.

One class holds both estimates because both are updated for every read of a response: two classes would need
one more call there.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

DECAY_S = 0.7  # time constant of the mean: the duration of about twenty events of an undisturbed stream
MIN_GAPS = 1.5  # minimum decayed count of gaps for a mean to count: a single long gap may be chance
# Ratio of the mean gap to the target; undisturbed streams stay under 0.1 (docs/policy.md, `saturated-gap`).
SATURATED_GAP_RATIO = 0.15
UNRESPONSIVE_S = 0.8  # with 0.5 s, live nodes were ejected (docs/policy.md, `unresponsive-time`)


@dataclass(slots=True)
class _NodeLatency:
    gap_sum_s: float = 0.0  # decaying sum of the gaps
    gap_count: float = 0.0  # decaying count of the gaps
    decayed_at_s: float = 0.0  # time of the last decay
    pending_requests: int = 0  # this proxy's requests to the node whose responses are not complete
    last_received_s: float = 0.0  # time of the last byte, successful connect, or send without others pending

    def decay(self, now_s: float) -> None:
        factor = exp(-max(0.0, now_s - self.decayed_at_s) / DECAY_S)
        self.gap_sum_s *= factor
        self.gap_count *= factor
        self.decayed_at_s = now_s


@dataclass(slots=True)
class LatencyEstimator:
    """Latency estimates by incarnation."""

    _nodes: dict[str, _NodeLatency] = field(default_factory=dict)

    def record_forwarded(self, incarnation: str, now_s: float) -> None:
        """Record that a request was written to the node."""
        node = self._nodes.setdefault(incarnation, _NodeLatency())
        if not node.pending_requests:
            node.last_received_s = now_s
        node.pending_requests += 1

    def record_ended(self, incarnation: str) -> None:
        """Record that a request to the node is no longer pending."""
        node = self._nodes.get(incarnation)
        if node is not None and node.pending_requests:
            node.pending_requests -= 1

    def record_received(self, incarnation: str, gap_s: float | None, now_s: float) -> None:
        """Record that bytes of a response were received.

        `gap_s` is the time since the previous bytes of the response; None: these are its first.
        """
        node = self._nodes.setdefault(incarnation, _NodeLatency())
        node.last_received_s = now_s
        if gap_s is not None:
            node.decay(now_s)
            node.gap_sum_s += gap_s
            node.gap_count += 1

    def record_reachable(self, incarnation: str, now_s: float) -> None:
        """Record a successful connect to the node, which is reachable even if its responses are pending."""
        node = self._nodes.get(incarnation)
        if node is not None:
            node.last_received_s = now_s

    def is_saturated(self, incarnation: str, gap_target_s: float, now_s: float) -> bool:
        """Return whether the node is saturated; False where too few gaps are recorded.

        `gap_target_s` is the route's target for gaps between events; 0: the route has no target.
        """
        node = self._nodes.get(incarnation)
        if node is None or gap_target_s <= 0:
            return False
        node.decay(now_s)
        return (
            node.gap_count >= MIN_GAPS
            and node.gap_sum_s > SATURATED_GAP_RATIO * gap_target_s * node.gap_count
        )

    def unresponsive(self, now_s: float) -> list[str]:
        """Return the incarnations with pending requests that have sent nothing for `UNRESPONSIVE_S`."""
        return [
            incarnation
            for incarnation, node in self._nodes.items()
            if node.pending_requests and now_s - node.last_received_s > UNRESPONSIVE_S
        ]

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the estimates of all other nodes, except those with pending requests."""
        gone = [
            name
            for name, node in self._nodes.items()
            if name not in incarnations and not node.pending_requests
        ]
        for incarnation in gone:
            del self._nodes[incarnation]
