"""Selects the node for one attempt of a request, from all that the proxy knows of nodes. Pure.

The first of these groups that holds a node is used:

1. preferred nodes (below), of the own region, then of any region;
2. usable nodes that are not saturated, of the own region, then of any;
3. usable nodes, of the own region, then of any;
4. nodes that are unusable as they are ejected, and for nothing else: what Envoy calls panic routing.

Within it, a prompt whose segments are known is narrowed down to at most two nodes (`prefix_cache`). Then the
power of two choices: two nodes are drawn at random, and the one with fewer of this proxy's own requests in
flight takes the request. Ties go to the node that has more of the prompt's prefix cached, else to either at
random.

A node is not usable while

- it drains, is gone, or its announced end has passed (`node_eligibility`);
- its zone is evacuated, or it is outside the home regions of the request (`node_eligibility`);
- an attempt of this request failed there, and there are others;
- it warms up and this proxy's quota of requests to it is spent (`slow_start`);
- it is ejected as an outlier (`outlier_ejection`), or has just rejected a request for want of capacity;
- this proxy's share of its connections is in use (`connection_pool`).

Among usable nodes those are preferred that are neither saturated (`latency_estimate`) nor overloaded for a
prompt of this length (`overload_estimate`).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from random import Random

from coveport.balancing.locality import less_busy_of_two
from coveport.serving.model.configuration import Service
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.connection_pool import ConnectionPool
from coveport.serving.proxy.node_eligibility import (
    NodesByLocality,
    eligible_nodes,
    group_by_locality,
    is_eligible,
)
from coveport.serving.proxy.node_observations import NodeObservations
from coveport.serving.proxy.prefix_cache import AFFINITY_NODES, affinity_candidates
from coveport.serving.proxy.routed_request import RoutedRequest

LONG_PREFILL_TOKENS = 4000  # takes a node several steps in a row; not measured alone


class NoNode(Enum):
    """Why no node was selected."""

    NONE_ELIGIBLE = "no node is open to the request"
    ALL_AT_CAPACITY = "all nodes are full or warming up"


@dataclass(slots=True)
class NodeSelector:
    """Selects nodes by the view, the connections in use, and what was observed of nodes."""

    view: ControlView
    region: str
    random: Random
    pool: ConnectionPool
    observations: NodeObservations

    def choose(
        self, routed: RoutedRequest, failed_nodes: Collection[str], now_s: float
    ) -> KnownNode | NoNode:
        """Return the node for one attempt; nodes where this request failed come last.

        The predicates are closures, and the preferences stand in one expression, because this runs for every
        attempt over every node of the service.
        """
        service = routed.service
        nodes = eligible_nodes(self.view, service.name, routed.route.home_regions, now_s)
        untried = [known for known in nodes if known.node.incarnation not in failed_nodes]
        by_locality = group_by_locality(untried or nodes, self.region)
        gap_target_s = routed.route.inter_token_target_ms / 1000

        def is_usable(known: KnownNode) -> bool:
            return self._has_capacity(known, service, now_s) and not self._is_ejected(known, now_s)

        def is_responsive(known: KnownNode) -> bool:
            incarnation = known.node.incarnation
            return is_usable(known) and not self.observations.latency.is_saturated(
                incarnation, gap_target_s, now_s
            )

        def is_preferred(known: KnownNode) -> bool:
            return is_responsive(known) and not self._is_overloaded_for(routed, known.node.incarnation, now_s)

        candidates = (
            by_locality.first_usable(is_preferred)
            or by_locality.first_usable(is_responsive)
            or by_locality.first_usable(is_usable)
            or self._panic_candidates(by_locality, service, now_s)
        )
        if not candidates:
            return NoNode.ALL_AT_CAPACITY if nodes else NoNode.NONE_ELIGIBLE
        by_incarnation = {known.node.incarnation: known for known in candidates}
        chosen = less_busy_of_two(
            affinity_candidates(routed.segments, tuple(by_incarnation), AFFINITY_NODES),
            self.observations.in_flight,
            self.random,
            lambda first, second: self.observations.prefix_cache.preferred_node(
                routed.segments, first, second
            ),
        )
        return by_incarnation[chosen]

    def _is_overloaded_for(self, routed: RoutedRequest, incarnation: str, now_s: float) -> bool:
        """Return whether prefilling the prompt there would make the node's streams late."""
        if self.observations.prefix_cache.uncached_tokens(routed.segments, incarnation) < LONG_PREFILL_TOKENS:
            return False
        return self.observations.overload.is_overloaded(
            incarnation, routed.route.inter_token_target_ms / 1000, now_s
        )

    def _is_ejected(self, known: KnownNode, now_s: float) -> bool:
        return self.observations.outliers.is_ejected(known.node.incarnation, now_s)

    def _has_capacity(self, known: KnownNode, service: Service, now_s: float) -> bool:
        return (
            self.observations.outliers.at_capacity_until_s(known.node.incarnation) <= now_s
            and self.pool.has_capacity(known.node.incarnation, self._max_connections(service))
            and self.observations.slow_start.may_send(known, service, self.view, now_s)
        )

    def _max_connections(self, service: Service) -> int:
        """Return this proxy's share of a node's connections; 0: not bounded."""
        if service.max_connections <= 0:
            return 0
        return max(1, service.max_connections // max(1, self.view.max_proxies))

    def _panic_candidates(
        self, by_locality: NodesByLocality, service: Service, now_s: float
    ) -> list[KnownNode]:
        """Return nodes with capacity where all nodes are ejected: better than certain failure."""
        nodes = [*by_locality.local, *by_locality.remote]
        if not all(self._is_ejected(known, now_s) for known in nodes):
            return []
        return by_locality.first_usable(lambda known: self._has_capacity(known, service, now_s))

    def is_still_eligible(self, known: KnownNode, now_s: float) -> bool:
        """Return whether a selected node may still be sent to, by the newest view."""
        current = self.view.nodes.get(known.node.incarnation)
        return current is not None and is_eligible(self.view, current, now_s)
