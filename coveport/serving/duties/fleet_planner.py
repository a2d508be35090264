"""Decides how many nodes each service should have in each zone. Does no I/O.

More nodes are ordered at once, for the demand expected when the new nodes will serve. Fewer nodes are ordered
step by step, and only while observations are complete: demand or nodes that are not observed are no reason to
remove nodes (`fleet_stability`). A lost request costs far more than a node that was not needed.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass
from math import inf
from typing import Final

from coveport.serving.duties.demand_history import DemandHistory, DemandSample
from coveport.serving.duties.fleet_observation import FleetObservation, NodeGroup, ZoneFleet
from coveport.serving.duties.fleet_sizing import (
    ToleratedLosses,
    clamp,
    exceeds_high_occupancy,
    nodes_for,
    spare_demand,
)
from coveport.serving.duties.fleet_stability import FleetStability
from coveport.serving.duties.state import FleetOrder
from coveport.serving.model.configuration import Scaling

# Whether the planner may remove nodes. Two trials on scaled-down copies did not show that removing nodes pays
# off (docs/policy.md).
ORDERS_FEWER: Final = False
TAKEOVER_GRACE_S: Final = 2.0  # time in which the tables of a new lease owner fill up
SCALE_UP_INTERVAL_S: Final = 2.0  # minimum between any order for a group and an order for more nodes
# Minimum between any order for a group and an order for fewer nodes: by then the load after the earlier order
# is known.
SCALE_DOWN_INTERVAL_S: Final = 3.0
MAX_SCALE_DOWN_RATIO: Final = 0.25  # largest part of the nodes that one step may remove
REPLACEMENT_MARGIN_S: Final = 3.0  # nodes that still don't serve this long after they should are given up


@dataclass(frozen=True, slots=True)
class _GroupStatus:
    """One node group, with the inputs to the decision about an order for this group."""

    key: NodeGroup
    fleet: ZoneFleet
    scaling: Scaling
    lead_s: float  # time from an order until its nodes have warmed up
    ordered_nodes: int  # nodes as last ordered or, without an order, as observed

    @property
    def slots_per_node(self) -> float:
        return self.fleet.slots / self.fleet.accepting


class FleetPlanner:
    """Owns the history of the demand, and the times of orders."""

    def __init__(self, tolerated: ToleratedLosses) -> None:
        self._tolerated = tolerated
        self._histories: dict[NodeGroup, DemandHistory] = {}
        self._stability = FleetStability()
        self._started_at_s = inf
        self._ordered_at_s: dict[NodeGroup, float] = {}

    def start(self, now_s: float) -> None:
        """Start as the lease owner, without earlier observations and orders."""
        self._ordered_at_s.clear()
        self.reset_history(now_s)

    def reset_history(self, now_s: float) -> None:
        """Drop earlier observations, which are out of date after a stall."""
        self._started_at_s = now_s
        self._histories.clear()
        self._stability.reset(now_s)

    def record(self, observation: FleetObservation, wanted: Mapping[NodeGroup, int], now_s: float) -> None:
        """Add an observation. `wanted`: the number of nodes ordered for each group."""
        self._stability.record(observation, wanted, now_s)
        for group, fleet in observation.fleets.items():
            history = self._histories.setdefault(group, DemandHistory())
            history.record(DemandSample(now_s, fleet.demand, fleet.arrivals))

    def is_ready(self, now_s: float) -> bool:
        """Return whether the tables have had time to fill up since the start."""
        return now_s - self._started_at_s >= TAKEOVER_GRACE_S

    def allows_scale_down(self, service: str, now_s: float) -> bool:
        """Return whether nodes of a service may be removed."""
        return ORDERS_FEWER and self._stability.allows_scale_down(service, now_s)

    def new_orders(
        self,
        observation: FleetObservation,
        wanted: Mapping[NodeGroup, int],
        unconfirmed: Collection[NodeGroup],
        now_s: float,
    ) -> tuple[FleetOrder, ...]:
        """Return the orders to make now; `observation` must have been recorded before.

        `unconfirmed`: groups whose newest order the platform may not have accepted. No order reduces the
        nodes of such a group.
        """
        if not self.is_ready(now_s):
            return ()
        orders = []
        for group in _visible_groups(observation, wanted):
            nodes = self._more_nodes(group, observation, now_s)
            if nodes is None and group.key not in unconfirmed:
                nodes = self._fewer_nodes(group, observation, now_s)
            if nodes is not None:
                self._ordered_at_s[group.key] = now_s
                orders.append(FleetOrder(group.key.service, group.key.zone, nodes))
        return tuple(orders)

    def _more_nodes(self, group: _GroupStatus, observation: FleetObservation, now_s: float) -> int | None:
        """Return a higher number of nodes, if the demand expected when these nodes serve needs more."""
        since_order_s = self._since_order_s(group, now_s)
        if since_order_s < SCALE_UP_INTERVAL_S:
            return None
        ordered_nodes = group.ordered_nodes
        is_booting = since_order_s < group.lead_s + REPLACEMENT_MARGIN_S
        expected_nodes = ordered_nodes if is_booting else min(ordered_nodes, group.fleet.accepting)
        demand = self._demand_ahead(group, observation)
        if not exceeds_high_occupancy(demand, expected_nodes, group.slots_per_node):
            return None
        # The number is always above the newest order, as that order's missing nodes may never start.
        nodes = clamp(max(ordered_nodes + 1, nodes_for(demand, group.slots_per_node)), group.scaling)
        return nodes if nodes > ordered_nodes else None

    def _fewer_nodes(self, group: _GroupStatus, observation: FleetObservation, now_s: float) -> int | None:
        """Return a number of nodes that is one step lower, if the recent demand allows this step."""
        if not self._may_scale_down(group, now_s):
            return None
        ordered_nodes = group.ordered_nodes
        demand = self._with_spare(group.key, observation, lambda other: self._histories[other].peak())
        needed = clamp(nodes_for(demand, group.slots_per_node), group.scaling)
        nodes = max(needed, ordered_nodes - max(1, int(MAX_SCALE_DOWN_RATIO * ordered_nodes)))
        return nodes if nodes < ordered_nodes else None

    def _may_scale_down(self, group: _GroupStatus, now_s: float) -> bool:
        """Return whether nodes may be removed now: the fleet is stable, and the last step has ended."""
        return (
            self.allows_scale_down(group.key.service, now_s)
            and self._since_order_s(group, now_s) >= SCALE_DOWN_INTERVAL_S
            and group.fleet.accepting <= group.ordered_nodes
            and group.fleet.warming_up == 0
        )

    def _demand_ahead(self, group: _GroupStatus, observation: FleetObservation) -> float:
        """Return the demand that the group must serve when nodes that are ordered now begin to serve.

        This is the forecast, or the current demand with the worst loss; both at once are unlikely.
        """
        with_spare = self._with_spare(group.key, observation, lambda other: observation.fleets[other].demand)
        return max(with_spare, self._histories[group.key].forecast(group.lead_s))

    def _with_spare(
        self,
        key: NodeGroup,
        observation: FleetObservation,
        demand_of: Callable[[NodeGroup], float],
    ) -> float:
        """Return a zone's demand, plus the demand that moves to this zone with the losses to be tolerated.

        Where a zone is already missing, no further loss is added: that zone's demand has moved already.
        """
        tolerated = self._tolerated if observation.has_all_zones else ToleratedLosses()
        fleets = {other: fleet for other, fleet in observation.fleets.items() if other.service == key.service}
        demands = {other.zone: demand_of(other) for other in fleets}
        regions = {other.zone: fleet.region for other, fleet in fleets.items()}
        return demands[key.zone] + spare_demand(key.zone, demands, regions, tolerated)

    def _since_order_s(self, group: _GroupStatus, now_s: float) -> float:
        return now_s - self._ordered_at_s.get(group.key, -inf)


def _visible_groups(observation: FleetObservation, wanted: Mapping[NodeGroup, int]) -> Iterator[_GroupStatus]:
    """Return the groups that are observed; a zone without any node or proxy may be unreachable."""
    for key, fleet in sorted(observation.fleets.items()):
        service = observation.services.get(key.service)
        is_observed = fleet.slots > 0 and key.zone in observation.reachable_zones
        if service is not None and service.scaling is not None and is_observed:
            lead_s = service.scaling.boot_s + service.warm_up_s
            yield _GroupStatus(key, fleet, service.scaling, lead_s, wanted.get(key, fleet.accepting))
