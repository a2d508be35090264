"""Records what this proxy observes of nodes in its own attempts, for node selection.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.latency_estimate import LatencyEstimator
from coveport.serving.proxy.load_sampler import LoadCounters
from coveport.serving.proxy.outlier_ejection import OutlierDetector
from coveport.serving.proxy.overload_estimate import OverloadEstimator, StreamGaps
from coveport.serving.proxy.prefix_cache import PrefixCacheIndex
from coveport.serving.proxy.routed_request import RoutedRequest
from coveport.serving.proxy.slow_start import SlowStartLimiter

# If the request is sent this long after the selection, the next slow-start window may have begun.
DELAYED_SEND_S = 0.1


@dataclass(slots=True)
class NodeObservations:
    """The estimates and counts of one proxy, by incarnation of the nodes."""

    view: ControlView
    outliers: OutlierDetector
    slow_start: SlowStartLimiter
    latency: LatencyEstimator = field(default_factory=LatencyEstimator)
    overload: OverloadEstimator = field(default_factory=OverloadEstimator)
    prefix_cache: PrefixCacheIndex = field(default_factory=PrefixCacheIndex)
    in_flight: dict[str, int] = field(default_factory=dict)  # attempts of this proxy that have not ended
    loads: LoadCounters = field(default_factory=LoadCounters)

    def record_selected(self, known: KnownNode, routed: RoutedRequest, now_s: float) -> None:
        """Record that an attempt at the node begins."""
        incarnation = known.node.incarnation
        self.in_flight[incarnation] = self.in_flight.get(incarnation, 0) + 1
        self.loads.record_selected(known.node)
        self.outliers.record_attempt(incarnation, now_s)
        self.slow_start.record_send(known, routed.service, self.view, now_s)

    def record_forwarded(
        self, known: KnownNode, routed: RoutedRequest, selected_s: float, now_s: float
    ) -> None:
        """Record that the request was written to the node."""
        if now_s > selected_s + DELAYED_SEND_S:
            self.slow_start.record_send(known, routed.service, self.view, now_s)
        self.prefix_cache.record_forwarded(routed.segments, known.node.incarnation)
        self.latency.record_forwarded(known.node.incarnation, now_s)

    def record_received(
        self, known: KnownNode, routed: RoutedRequest, gaps: StreamGaps, now_s: float
    ) -> None:
        """Record that bytes of the response were received.

        This method runs for every read, so it must make few calls.
        """
        incarnation = known.node.incarnation
        gap_s = gaps.record_event(now_s)
        self.latency.record_received(incarnation, gap_s, now_s)
        if gap_s is not None:
            gap_target_s = routed.route.inter_token_target_ms / 1000
            self.overload.record_gap(incarnation, gap_s, gaps.mean_s, gap_target_s, now_s)

    def record_finished(self, known: KnownNode) -> None:
        """Record that the attempt at the node has ended."""
        self.loads.record_finished(known.node)
        incarnation = known.node.incarnation
        remaining = self.in_flight.get(incarnation, 0) - 1
        if remaining > 0:
            self.in_flight[incarnation] = remaining
        else:
            self.in_flight.pop(incarnation, None)

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the observations of all other nodes."""
        self.outliers.forget_all_but(incarnations)
        self.slow_start.forget_all_but(incarnations)
        self.latency.forget_all_but(incarnations)
        self.overload.forget_all_but(incarnations)
