"""Estimates how fast nodes answer this proxy's streams, and finds nodes that don't answer at all. Pure.

- A node is *saturated* while the mean gap between the events of this proxy's streams there is more than a
  part of the route's target: it prefills in every step, and each further request makes its streams late.
- A node is *unresponsive* while requests are pending there and it has sent nothing at all for
  `UNRESPONSIVE_S`: its region may be partitioned off. A request that can't be retried would be lost there.
  A connect that comes up ends the suspicion.

Both stand in one class because both are updated for every read of a response: two classes would be one more
call there.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

DECAY_S = 0.7  # time constant of the mean: some twenty events of an undisturbed stream; not measured
MIN_GAPS = 1.5  # decayed count of gaps from which on the mean is used: one alone may be chance; not measured
SATURATED_GAP_RATIO = 0.15  # of the target; undisturbed: under 0.1; measurement `saturated-gap`
UNRESPONSIVE_S = 0.8  # with 0.5 s live nodes were left; measurement `unresponsive-time`


@dataclass(slots=True)
class _NodeLatency:
    gap_sum_s: float = 0.0  # decaying
    gap_count: float = 0.0  # decaying alike
    decayed_at_s: float = 0.0
    pending_requests: int = 0  # of this proxy, sent and not completely answered
    last_received_s: float = 0.0  # or when the first pending request was sent, or a connect came up

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
        """Record that a request is no longer pending there."""
        node = self._nodes.get(incarnation)
        if node is not None and node.pending_requests:
            node.pending_requests -= 1

    def record_received(self, incarnation: str, gap_s: float | None, now_s: float) -> None:
        """Record bytes of a response, and the gap since those before; None: they are its first."""
        node = self._nodes.setdefault(incarnation, _NodeLatency())
        node.last_received_s = now_s
        if gap_s is not None:
            node.decay(now_s)
            node.gap_sum_s += gap_s
            node.gap_count += 1

    def record_reachable(self, incarnation: str, now_s: float) -> None:
        """Record that a connect came up: whatever is pending, the node can be reached."""
        node = self._nodes.get(incarnation)
        if node is not None:
            node.last_received_s = now_s

    def is_saturated(self, incarnation: str, gap_target_s: float, now_s: float) -> bool:
        """Return whether streams there are about to be late; False where too few events tell.

        `gap_target_s` is the route's target for gaps between events; 0: it has none.
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
        """Return the nodes with pending requests that have sent nothing for too long."""
        return [
            incarnation
            for incarnation, node in self._nodes.items()
            if node.pending_requests and now_s - node.last_received_s > UNRESPONSIVE_S
        ]

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the estimates of nodes that are gone and have no pending requests."""
        gone = [
            name
            for name, node in self._nodes.items()
            if name not in incarnations and not node.pending_requests
        ]
        for incarnation in gone:
            del self._nodes[incarnation]
