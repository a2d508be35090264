"""Decides how many nodes each service should have in each zone. Pure.

More nodes are ordered at once, for the demand to expect when they will serve. Fewer are ordered one step at
a time, and only where everything is seen: a demand or a node that is missing is no reason to let nodes go
(`fleet_stability`). To lose requests costs far more than a node that was not needed.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass
from math import inf
from typing import Final

from coveport.serving.duties.demand_history import DemandHistory, DemandSample
from coveport.serving.duties.fleet_observation import FleetObservation, FleetSubject, ZoneFleet
from coveport.serving.duties.fleet_sizing import (
    ToleratedLosses,
    clamp,
    is_over_high,
    nodes_for,
    spare_demand,
)
from coveport.serving.duties.fleet_stability import FleetStability
from coveport.serving.duties.state import FleetOrder
from coveport.serving.model.configuration import Scaling

# Whether nodes are ever let go. Two trials on small twins did not show that it pays (docs/policy.md).
ORDERS_FEWER: Final = False
TAKEOVER_GRACE_S: Final = 2.0  # in which the tables of a coordinator that has just taken over fill up
UP_INTERVAL_S: Final = 2.0  # between two orders for one subject, where the second is for more
DOWN_INTERVAL_S: Final = 3.0  # and where it is for less: the load of the step before is seen by then
STEP_DOWN_RATIO: Final = 0.25  # of the nodes that are let go in one step; not measured
REPLACEMENT_MARGIN_S: Final = 3.0  # nodes that are still missing so long after they should serve won't come


@dataclass(frozen=True, slots=True)
class _Subject:
    """One subject, with what its order depends on."""

    key: FleetSubject
    fleet: ZoneFleet
    scaling: Scaling
    lead_s: float  # from an order until its nodes have warmed up
    in_force: int  # nodes that were ordered last or, without an order, that are there

    @property
    def slots_per_node(self) -> float:
        return self.fleet.slots / self.fleet.accepting


class FleetPlanner:
    """Owns what is remembered of the demand, and when orders were made."""

    def __init__(self, tolerated: ToleratedLosses) -> None:
        self._tolerated = tolerated
        self._histories: dict[FleetSubject, DemandHistory] = {}
        self._stability = FleetStability()
        self._began_at_s = inf
        self._ordered_at_s: dict[FleetSubject, float] = {}

    def begin(self, now_s: float) -> None:
        """Begin as the holder: nothing that was seen before counts."""
        self._ordered_at_s.clear()
        self.forget(now_s)

    def forget(self, now_s: float) -> None:
        """Forget what was seen: after a stall it says nothing of now."""
        self._began_at_s = now_s
        self._histories.clear()
        self._stability.reset(now_s)

    def record(self, observation: FleetObservation, wanted: Mapping[FleetSubject, int], now_s: float) -> None:
        """Take an observation. `wanted`: the orders in force."""
        self._stability.record(observation, wanted, now_s)
        for subject, fleet in observation.fleets.items():
            history = self._histories.setdefault(subject, DemandHistory())
            history.record(DemandSample(now_s, fleet.demand, fleet.arrivals))

    def has_begun(self, now_s: float) -> bool:
        """Return whether the tables have had time to fill up."""
        return now_s - self._began_at_s >= TAKEOVER_GRACE_S

    def allows_fewer(self, service: str, now_s: float) -> bool:
        """Return whether nodes of a service may be let go."""
        return ORDERS_FEWER and self._stability.allows_fewer(service, now_s)

    def new_orders(
        self,
        observation: FleetObservation,
        wanted: Mapping[FleetSubject, int],
        unanswered: Collection[FleetSubject],
        now_s: float,
    ) -> tuple[FleetOrder, ...]:
        """Return the orders to make now; `observation` was recorded before.

        `unanswered`: subjects whose order in force the platform may not have taken. They get no fewer nodes.
        """
        if not self.has_begun(now_s):
            return ()
        orders = []
        for subject in _subjects(observation, wanted):
            nodes = self._more_nodes(subject, observation, now_s)
            if nodes is None and subject.key not in unanswered:
                nodes = self._fewer_nodes(subject, observation, now_s)
            if nodes is not None:
                self._ordered_at_s[subject.key] = now_s
                orders.append(FleetOrder(subject.key.service, subject.key.zone, nodes))
        return tuple(orders)

    def _more_nodes(self, subject: _Subject, observation: FleetObservation, now_s: float) -> int | None:
        """Return a higher number of nodes, if the demand to expect when they serve needs it."""
        since_order_s = self._since_order_s(subject, now_s)
        if since_order_s < UP_INTERVAL_S:
            return None
        in_force = subject.in_force
        is_under_way = since_order_s < subject.lead_s + REPLACEMENT_MARGIN_S
        expected = in_force if is_under_way else min(in_force, subject.fleet.accepting)
        demand = self._demand_ahead(subject, observation)
        if not is_over_high(demand, expected, subject.slots_per_node):
            return None
        # Above the order in force, also where fewer would do: its nodes that never came are not waited for.
        nodes = clamp(max(in_force + 1, nodes_for(demand, subject.slots_per_node)), subject.scaling)
        return nodes if nodes > in_force else None

    def _fewer_nodes(self, subject: _Subject, observation: FleetObservation, now_s: float) -> int | None:
        """Return a number of nodes one step lower, if the demand of the last seconds allows it."""
        if not self._may_let_go(subject, now_s):
            return None
        in_force = subject.in_force
        demand = self._with_spare(subject.key, observation, lambda other: self._histories[other].peak())
        needed = clamp(nodes_for(demand, subject.slots_per_node), subject.scaling)
        nodes = max(needed, in_force - max(1, int(STEP_DOWN_RATIO * in_force)))
        return nodes if nodes < in_force else None

    def _may_let_go(self, subject: _Subject, now_s: float) -> bool:
        """Return whether nodes may go now: all is seen and settled, and the step before has ended."""
        return (
            self.allows_fewer(subject.key.service, now_s)
            and self._since_order_s(subject, now_s) >= DOWN_INTERVAL_S
            and subject.fleet.accepting <= subject.in_force
            and subject.fleet.warming == 0
        )

    def _demand_ahead(self, subject: _Subject, observation: FleetObservation) -> float:
        """Return the demand to have nodes for when those that are ordered now serve.

        That is the one to expect, or the one of now with the worst loss: hardly both at once.
        """
        with_spare = self._with_spare(
            subject.key, observation, lambda other: observation.fleets[other].demand
        )
        return max(with_spare, self._histories[subject.key].forecast(subject.lead_s))

    def _with_spare(
        self,
        key: FleetSubject,
        observation: FleetObservation,
        demand_of: Callable[[FleetSubject], float],
    ) -> float:
        """Return a zone's demand, and what moves to it with the losses that must be borne.

        Where a zone is missing already, that is the loss: its demand has moved.
        """
        tolerated = self._tolerated if observation.has_all_zones else ToleratedLosses()
        fleets = {other: fleet for other, fleet in observation.fleets.items() if other.service == key.service}
        demands = {other.zone: demand_of(other) for other in fleets}
        regions = {other.zone: fleet.region for other, fleet in fleets.items()}
        return demands[key.zone] + spare_demand(key.zone, demands, regions, tolerated)

    def _since_order_s(self, subject: _Subject, now_s: float) -> float:
        return now_s - self._ordered_at_s.get(subject.key, -inf)


def _subjects(observation: FleetObservation, wanted: Mapping[FleetSubject, int]) -> Iterator[_Subject]:
    """Return the subjects that can be seen: where the holder sees no node or no proxy, it may be cut off."""
    for key, fleet in sorted(observation.fleets.items()):
        service = observation.services.get(key.service)
        is_seen = fleet.slots > 0 and key.zone in observation.reachable_zones
        if service is not None and service.scaling is not None and is_seen:
            lead_s = service.scaling.boot_s + service.warm_up_s
            yield _Subject(key, fleet, service.scaling, lead_s, wanted.get(key, fleet.accepting))
