"""Chooses the node for a request from everything the proxy knows of nodes."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from coveport.system.model.configuration import Route, Service
from coveport.system.model.view import ControlView, KnownNode
from coveport.system.proxy.levels import less_busy_of_two
from coveport.system.proxy.node_health import NodeHealth
from coveport.system.proxy.node_pool import NodePool
from coveport.system.proxy.routing import Levels, open_nodes, split_levels
from coveport.system.proxy.warm_up import WarmUpCredit


class NoNode(Enum):
    """Why no node was chosen."""

    NONE_OPEN = "no node is open to the request"
    ALL_FULL = "all nodes are full or warming up"


@dataclass(slots=True)
class NodeSelection:
    """The levels and the draw, over this proxy's own counts."""

    view: ControlView
    region: str
    random: Random
    health: NodeHealth
    warm_up: WarmUpCredit
    pool: NodePool
    in_flight: dict[str, int] = field(default_factory=dict)  # this proxy's requests by incarnation

    def choose(
        self, route: Route, service: Service, sent_to: Collection[str], now_s: float
    ) -> KnownNode | NoNode:
        """The node for one send; `sent_to` had the request already."""
        levels = split_levels(
            open_nodes(self.view, service.name, route.home_regions, now_s, sent_to), self.region
        )
        candidates = levels.first(
            lambda known: self._has_place(known, service, now_s) and not self._is_out(known, now_s)
        )
        if not candidates:
            candidates = self._last_resort(levels, service, now_s)
        if not candidates:
            return NoNode.ALL_FULL if levels.own or levels.rest else NoNode.NONE_OPEN
        incarnations = [known.node.incarnation for known in candidates]
        chosen = less_busy_of_two(incarnations, self.in_flight, self.random)
        return candidates[incarnations.index(chosen)]

    def _is_out(self, known: KnownNode, now_s: float) -> bool:
        return self.health.is_out(known.node.incarnation, now_s)

    def _has_place(self, known: KnownNode, service: Service, now_s: float) -> bool:
        return (
            self.health.full_until_s(known.node.incarnation) <= now_s
            and self.pool.has_room(known.node.incarnation, self._connections_at_most(service))
            and self.warm_up.may_send(known, service, self.view, now_s)
        )

    def _connections_at_most(self, service: Service) -> int:
        """How many connections this proxy may have to a node; 0: not bounded."""
        if service.max_connections <= 0:
            return 0
        return max(1, service.max_connections // max(1, self.view.proxies_at_most))

    def _last_resort(self, levels: Levels, service: Service, now_s: float) -> list[KnownNode]:
        """Where bad ends alone keep all nodes out, they are tried rather than none."""
        everyone = [*levels.own, *levels.rest]
        if not all(self._is_out(known, now_s) for known in everyone):
            return []
        return levels.first(lambda known: self._has_place(known, service, now_s))

    def note_send(self, known: KnownNode, service: Service, now_s: float) -> None:
        """A request goes to the node."""
        incarnation = known.node.incarnation
        self.in_flight[incarnation] = self.in_flight.get(incarnation, 0) + 1
        self.health.note_send(incarnation, now_s)

    def note_arrival(self, known: KnownNode, service: Service, now_s: float) -> None:
        """... and is handed over."""
        self.warm_up.note_send(known, service, self.view, now_s)

    def note_end(self, known: KnownNode) -> None:
        """The request is off the node."""
        incarnation = known.node.incarnation
        left = self.in_flight.get(incarnation, 0) - 1
        if left > 0:
            self.in_flight[incarnation] = left
        else:
            self.in_flight.pop(incarnation, None)
