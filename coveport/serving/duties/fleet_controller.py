"""Orders nodes from the platform: records orders of `fleet_planner`, and returns the calls that send them.

An order is recorded before it is sent, and repeated with the same bytes until the platform has answered. The
next lease owner continues from the recorded orders: where the nodes are as ordered, the order was accepted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from coveport.serving.duties.commands import RecordFleetOrders, SingletonCommand
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.duties.fleet_observation import FleetObservation, NodeGroup
from coveport.serving.duties.fleet_planner import FleetPlanner
from coveport.serving.duties.fleet_sizing import ToleratedLosses, clamp
from coveport.serving.duties.retry_pause import RetryBackoff
from coveport.serving.duties.state import FleetOrder, SingletonState

OBSERVATION_INTERVAL_S: Final = 0.25  # between two observations of the fleet
STALL_S: Final = 1.5  # earlier observations are dropped after a longer gap between two polls
CALL_INTERVAL_S: Final = 1.0  # between two calls for one node group, repeats included
MIN_BACKOFF_S: Final = 1.0
MAX_BACKOFF_S: Final = 8.0  # the platform charges for each call, also for failed ones


@dataclass(slots=True)
class _CallHistory:
    """The calls of this lease owner, by node group."""

    sent: dict[NodeGroup, FleetOrder] = field(default_factory=dict)  # the last order sent
    sent_at_s: dict[NodeGroup, float] = field(default_factory=dict)
    accepted: dict[NodeGroup, FleetOrder] = field(default_factory=dict)  # the last accepted order
    rejected: set[NodeGroup] = field(default_factory=set)  # groups for which the platform rejects orders

    def is_done(self, order: FleetOrder) -> bool:
        """Return whether an order was accepted, or need not be sent for another reason."""
        group = group_of(order)
        return self.accepted.get(group) == order or group in self.rejected


class FleetController:
    """The singleton task of ordering nodes (`duty.SingletonTask`)."""

    def __init__(
        self,
        observe: Callable[[float], FleetObservation],
        tolerated: ToleratedLosses,
        render: Callable[[FleetOrder], PlatformCall],
        on_rejected: Callable[[FleetOrder], None],
    ) -> None:
        """Create a controller; `on_rejected` is called with each order that the platform rejects for good."""
        self._observe = observe
        self._render = render
        self._on_rejected = on_rejected
        self._planner = FleetPlanner(tolerated)
        self._backoff = RetryBackoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        self._calls = _CallHistory()
        self._recorded: dict[NodeGroup, FleetOrder] = {}  # orders recorded by this lease owner
        self._last_called: FleetOrder | None = None  # the order in the newest call
        self._observation: FleetObservation | None = None
        self._observed_at_s = -inf
        self._polled_at_s = -inf

    def take_over(self, state: SingletonState, now_s: float) -> None:
        """Start as the lease owner, which doesn't know whether the platform accepted the recorded orders."""
        self._calls = _CallHistory()
        self._recorded.clear()
        self._backoff.reset()
        self._planner.start(now_s)
        self._observation = None
        self._observed_at_s = -inf
        self._polled_at_s = now_s

    def next_command(
        self, state: SingletonState, fencing_token: int, now_s: float
    ) -> SingletonCommand | None:
        """Return the command that records new orders; None where there are no new orders."""
        observation = self._recent_observation(state, now_s)
        wanted_by_group = _wanted_by_group(state)
        unconfirmed = self._unconfirmed(state, observation, now_s)
        orders = self._planner.new_orders(observation, wanted_by_group, unconfirmed, now_s)
        orders = tuple(order for order in orders if group_of(order) not in self._calls.rejected)
        self._recorded.update((group_of(order), order) for order in orders)
        return RecordFleetOrders(fencing_token, orders) if orders else None

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        """Return the call for a recorded order that the platform may not have accepted yet."""
        observation = self._recent_observation(state, now_s)
        if self._backoff.is_active(now_s):
            return None
        for order in state.fleet_orders:
            if self._is_due(order, observation, now_s):
                group = group_of(order)
                self._calls.sent[group] = order
                self._calls.sent_at_s[group] = now_s
                self._last_called = order
                return self._render(order)
        return None

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        """Record the outcome of the newest call."""
        order = self._last_called
        assert order is not None  # the runner reports outcomes of calls that this task returned
        match outcome:
            case CallOutcome.ACCEPTED:
                self._calls.accepted[group_of(order)] = order
                self._backoff.reset()
            case CallOutcome.REJECTED:
                self._calls.rejected.add(group_of(order))
                self._on_rejected(order)
            case CallOutcome.THROTTLED | CallOutcome.UNKNOWN:
                self._backoff.record_failure(now_s)
            case CallOutcome.FENCED:
                pass  # the same order is sent under the next fencing token

    def _recent_observation(self, state: SingletonState, now_s: float) -> FleetObservation:
        """Return an observation of the fleet that is at most `OBSERVATION_INTERVAL_S` old."""
        if now_s - self._polled_at_s > STALL_S:
            self._planner.reset_history(now_s)
            self._observation = None
        self._polled_at_s = now_s
        if self._observation is None or now_s - self._observed_at_s >= OBSERVATION_INTERVAL_S:
            self._observed_at_s = now_s
            self._observation = self._observe(now_s)
            self._planner.record(self._observation, _wanted_by_group(state), now_s)
        return self._observation

    def _unconfirmed(
        self, state: SingletonState, observation: FleetObservation, now_s: float
    ) -> frozenset[NodeGroup]:
        """Return the groups with an order of this owner that may be unaccepted; in a backoff, all groups."""
        if self._backoff.is_active(now_s):
            return frozenset(observation.fleets)
        own = (order for order in state.fleet_orders if self._is_own(order))
        return frozenset(group_of(order) for order in own if not self._calls.is_done(order))

    def _is_own(self, order: FleetOrder) -> bool:
        return self._recorded.get(group_of(order)) == order

    def _is_due(self, order: FleetOrder, observation: FleetObservation, now_s: float) -> bool:
        """Return whether the call for a recorded order is due now."""
        group = group_of(order)
        if self._calls.is_done(order) or not _is_within_bounds(order, observation):
            return False
        if now_s - self._calls.sent_at_s.get(group, -inf) < CALL_INTERVAL_S:
            return False
        is_first_call = self._is_own(order) and self._calls.sent.get(group) != order
        return is_first_call or self._must_repeat(order, observation, now_s)

    def _must_repeat(self, order: FleetOrder, observation: FleetObservation, now_s: float) -> bool:
        """Return whether an order was evidently not accepted, and its nodes are still wanted."""
        group = group_of(order)
        fleet = observation.fleets.get(group)
        if fleet is None or group.zone not in observation.reachable_zones:
            return False
        if fleet.accepting == order.wanted:
            self._calls.accepted[group] = order
            return False
        if fleet.accepting < order.wanted:
            return self._planner.is_ready(now_s)
        return self._planner.allows_scale_down(group.service, now_s)


def group_of(order: FleetOrder) -> NodeGroup:
    """Return the node group of an order."""
    return NodeGroup(order.service, order.zone)


def _wanted_by_group(state: SingletonState) -> dict[NodeGroup, int]:
    return {group_of(order): order.wanted for order in state.fleet_orders}


def _is_within_bounds(order: FleetOrder, observation: FleetObservation) -> bool:
    """Return whether the newest configuration allows an order, which may be older than the configuration."""
    service = observation.services.get(order.service)
    if service is None or service.scaling is None:
        return False
    return clamp(order.wanted, service.scaling) == order.wanted
