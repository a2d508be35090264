"""Selects the node for one attempt of a request, from the view and this proxy's observations.

The candidates are the first group that is not empty:

1. preferred nodes (below) of the proxy's region, else of any region;
2. usable nodes that are not saturated, of the proxy's region, else of any region;
3. usable nodes of the proxy's region, else of any region;
4. nodes that would be usable if they were not ejected, where all nodes are ejected: panic routing, as Envoy
   calls it.

For a prompt with named segments, at most two of the candidates remain (`prefix_cache`). Then the power of
two choices applies: two nodes are drawn at random, and the one with fewer of this proxy's requests in flight
takes the request. On a tie the node with more of the prompt's prefix in its cache takes it, else either at
random.

A node is not usable while

- it is draining or deregistered, or its announced shutdown time has passed (`node_eligibility`);
- its zone is evacuated, or it is outside the home regions of the request (`node_eligibility`);
- an attempt of this request has failed there, and there are untried nodes;
- it is warming up and this proxy's quota of requests to it is used up (`slow_start`);
- it is ejected as an outlier (`outlier_ejection`), or has just rejected a request for lack of capacity;
- this proxy's quota of its connections is in use (`connection_pool`).

Among usable nodes those are preferred that are neither saturated (`latency_estimate`) nor overloaded for a
prompt of this length (`overload_estimate`).

This module does no I/O and reads no clock.
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

LONG_PREFILL_TOKENS = 4000  # a node takes several steps in a row to prefill a prompt of this length


class NoNode(Enum):
    """The reason why no node was selected."""

    NONE_ELIGIBLE = "no node is open to the request"
    ALL_AT_CAPACITY = "all nodes are full or warming up"


@dataclass(slots=True)
class NodeSelector:
    """Selects nodes by the view, the connections in use, and the observations of nodes."""

    view: ControlView
    region: str
    random: Random
    pool: ConnectionPool
    observations: NodeObservations

    def choose(
        self, routed: RoutedRequest, failed_nodes: Collection[str], now_s: float
    ) -> KnownNode | NoNode:
        """Return the node for one attempt; one of `failed_nodes` only where no other node is eligible.

        The predicates are closures, and the preferences one expression, for speed: this runs for every
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
        """Return whether the node's streams would be late if the node prefilled this prompt."""
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
            and self.pool.has_capacity(known.node.incarnation, self.max_connections(service))
            and self.observations.slow_start.may_send(known, service, self.view, now_s)
        )

    def max_connections(self, service: Service) -> int:
        """Return how many connections this proxy may have to one node; 0: no limit."""
        if service.max_connections <= 0:
            return 0
        return max(1, service.max_connections // max(1, self.view.max_proxies))

    def _panic_candidates(
        self, by_locality: NodesByLocality, service: Service, now_s: float
    ) -> list[KnownNode]:
        """Return the nodes with capacity if all nodes are ejected, else none.

        An attempt at an ejected node may succeed; without a node the request would fail.
        """
        nodes = [*by_locality.local, *by_locality.remote]
        if not all(self._is_ejected(known, now_s) for known in nodes):
            return []
        return by_locality.first_usable(lambda known: self._has_capacity(known, service, now_s))

    def is_still_eligible(self, known: KnownNode, now_s: float) -> bool:
        """Return whether the newest view still allows requests to a selected node."""
        current = self.view.nodes.get(known.node.incarnation)
        return current is not None and is_eligible(self.view, current, now_s)
