"""Orders nodes from the platform: records what `fleet_planner` decides, and calls until it is taken. Pure.

An order is recorded before it is sent, and repeated with the same bytes until the platform has answered. A
holder that follows goes on from the recorded orders: where the nodes are as ordered, the order was taken.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from coveport.serving.duties.commands import RecordFleetOrders, SingletonCommand
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.duties.fleet_observation import FleetObservation, FleetSubject
from coveport.serving.duties.fleet_planner import FleetPlanner
from coveport.serving.duties.fleet_sizing import ToleratedLosses, clamp
from coveport.serving.duties.retry_pause import RetryBackoff
from coveport.serving.duties.state import FleetOrder, SingletonState

LOOK_INTERVAL_S: Final = 0.25  # between two observations
STALL_S: Final = 1.5  # without being asked for longer, what was seen before says nothing of now
CALL_INTERVAL_S: Final = 1.0  # between two calls for one subject, repeats included
MIN_BACKOFF_S: Final = 1.0
MAX_BACKOFF_S: Final = 8.0  # calls are paid for, also those that fail


@dataclass(slots=True)
class _Calls:
    """What this holder knows of its calls, by subject."""

    made: dict[FleetSubject, FleetOrder] = field(default_factory=dict)  # the last one
    made_at_s: dict[FleetSubject, float] = field(default_factory=dict)
    taken: dict[FleetSubject, FleetOrder] = field(default_factory=dict)  # by the platform
    rejected: set[FleetSubject] = field(default_factory=set)  # it will never take an order for these

    def is_done(self, order: FleetOrder) -> bool:
        """Return whether an order need not be sent any more."""
        subject = subject_of(order)
        return self.taken.get(subject) == order or subject in self.rejected


class FleetController:
    """The duty of ordering nodes (`duty.Duty`)."""

    def __init__(
        self,
        observe: Callable[[float], FleetObservation],
        tolerated: ToleratedLosses,
        render: Callable[[FleetOrder], PlatformCall],
        on_rejected: Callable[[FleetOrder], None],
    ) -> None:
        """`on_rejected` is called with an order that the platform will never take."""
        self._observe = observe
        self._render = render
        self._on_rejected = on_rejected
        self._planner = FleetPlanner(tolerated)
        self._pause = RetryBackoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        self._calls = _Calls()
        self._recorded: dict[FleetSubject, FleetOrder] = {}  # by this holder
        self._called: FleetOrder | None = None  # last
        self._observation: FleetObservation | None = None
        self._looked_at_s = -inf
        self._asked_at_s = -inf

    def take_over(self, state: SingletonState, now_s: float) -> None:
        """Begin to hold the duty: nothing is known of the platform's answers to recorded orders."""
        self._calls = _Calls()
        self._recorded.clear()
        self._pause.reset()
        self._planner.begin(now_s)
        self._observation = None
        self._looked_at_s = -inf
        self._asked_at_s = now_s

    def next_command(self, state: SingletonState, fence: int, now_s: float) -> SingletonCommand | None:
        """Return the command that records new orders; None: there are none."""
        observation = self._look(state, now_s)
        wanted = _wanted(state)
        unanswered = self._unanswered(state, observation, now_s)
        orders = self._planner.new_orders(observation, wanted, unanswered, now_s)
        orders = tuple(order for order in orders if subject_of(order) not in self._calls.rejected)
        self._recorded.update((subject_of(order), order) for order in orders)
        return RecordFleetOrders(fence, orders) if orders else None

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        """Return the call for a recorded order that the platform may not have taken yet."""
        observation = self._look(state, now_s)
        if self._pause.lasts(now_s):
            return None
        for order in state.fleet_orders:
            if self._is_due(order, observation, now_s):
                subject = subject_of(order)
                self._calls.made[subject] = order
                self._calls.made_at_s[subject] = now_s
                self._called = order
                return self._render(order)
        return None

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        """Take note of how the last call ended."""
        order = self._called
        assert order is not None  # the runner reports the outcomes of our own calls
        match outcome:
            case CallOutcome.ACCEPTED:
                self._calls.taken[subject_of(order)] = order
                self._pause.reset()
            case CallOutcome.REJECTED:
                self._calls.rejected.add(subject_of(order))
                self._on_rejected(order)
            case CallOutcome.THROTTLED | CallOutcome.UNKNOWN:
                self._pause.record_failure(now_s)
            case CallOutcome.FENCED:
                pass  # the same order goes under the next fence

    def _look(self, state: SingletonState, now_s: float) -> FleetObservation:
        """Return what is seen of the fleet now, or was seen a moment ago."""
        if now_s - self._asked_at_s > STALL_S:
            self._planner.forget(now_s)
            self._observation = None
        self._asked_at_s = now_s
        if self._observation is None or now_s - self._looked_at_s >= LOOK_INTERVAL_S:
            self._looked_at_s = now_s
            self._observation = self._observe(now_s)
            self._planner.record(self._observation, _wanted(state), now_s)
        return self._observation

    def _unanswered(
        self, state: SingletonState, observation: FleetObservation, now_s: float
    ) -> frozenset[FleetSubject]:
        """Return the subjects with an order of this holder that may not be taken; all in a pause."""
        if self._pause.lasts(now_s):
            return frozenset(observation.fleets)
        own = (order for order in state.fleet_orders if self._is_own(order))
        return frozenset(subject_of(order) for order in own if not self._calls.is_done(order))

    def _is_own(self, order: FleetOrder) -> bool:
        return self._recorded.get(subject_of(order)) == order

    def _is_due(self, order: FleetOrder, observation: FleetObservation, now_s: float) -> bool:
        """Return whether the platform must be called for a recorded order now."""
        subject = subject_of(order)
        if self._calls.is_done(order) or not _is_within_bounds(order, observation):
            return False
        if now_s - self._calls.made_at_s.get(subject, -inf) < CALL_INTERVAL_S:
            return False
        is_first_call = self._is_own(order) and self._calls.made.get(subject) != order
        return is_first_call or self._must_be_repeated(order, observation, now_s)

    def _must_be_repeated(self, order: FleetOrder, observation: FleetObservation, now_s: float) -> bool:
        """Return whether an order that may have been taken was not, and is still right."""
        subject = subject_of(order)
        fleet = observation.fleets.get(subject)
        if fleet is None or subject.zone not in observation.reachable_zones:
            return False
        if fleet.accepting == order.wanted:
            self._calls.taken[subject] = order
            return False
        if fleet.accepting < order.wanted:
            return self._planner.has_begun(now_s)
        return self._planner.allows_fewer(subject.service, now_s)


def subject_of(order: FleetOrder) -> FleetSubject:
    """Return what an order is for."""
    return FleetSubject(order.service, order.zone)


def _wanted(state: SingletonState) -> dict[FleetSubject, int]:
    return {subject_of(order): order.wanted for order in state.fleet_orders}


def _is_within_bounds(order: FleetOrder, observation: FleetObservation) -> bool:
    """Return whether the newest configuration allows an order; it may be older."""
    service = observation.services.get(order.service)
    if service is None or service.scaling is None:
        return False
    return clamp(order.wanted, service.scaling) == order.wanted
