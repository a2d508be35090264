"""Formats of slow start in the store: capacity requests, grants, and the coordinator's state.

The module is pure: it does no I/O, and uses no clock or random source of its own.

    need/NAME           request of an instance: time by its own clock, its rate, the known warming nodes
    grant/ZONE/NAME     operations that instance NAME may send to each node of ZONE, and the request's time
    state/warden@ZONE   state of the zone's coordinator: grants that may be in use, by node

`name` of a field is the field's name in the store, if the two names differ; stored names must not change.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

REQUEST_PREFIX = "need/"
GRANT_PREFIX = "grant/"
ROLE_NAME_PREFIX = "warden@"  # + zone
GRANT_LIFETIME_S = 2.0  # G: time after the request during which an instance may use the grant


@dataclass(frozen=True, slots=True)
class SafeLoad:
    """Load that a warming node can carry without failing, by the invariants of the settings."""

    initial_fraction: float = 0.36  # share of the node's full capacity that the node has at its start
    warm_after_s: float = 8.6  # age at which a node has its full capacity
    overload_factor: float = 4.0  # multiple of its present capacity at which a node fails
    overload_window_s: float = 2.0  # W: duration of that load after which the node fails

    def operations(self, age_s: float, service_s: float) -> float:
        """Return how many operations a one-core node of this age can carry out in W.

        `service_s`: mean time of an operation.
        """
        age = min(max(age_s, 0.0), self.warm_after_s)
        warmth = age / self.warm_after_s if self.warm_after_s else 1.0
        capacity_fraction = self.initial_fraction + (1 - self.initial_fraction) * warmth
        return self.overload_factor * capacity_fraction * self.overload_window_s / service_s


class CapacityRequest(msgspec.Struct, frozen=True):
    """An instance's request for a share of warming nodes' capacity."""

    # Incarnation of the requesting instance: a later process of the same name can't use the grant.
    incarnation: str = msgspec.field(name="to")
    requested_at: float = msgspec.field(name="stamp")  # s, by the requester's own clock
    rate_per_s: float = msgspec.field(name="rate")  # recent rate of first attempts
    service_s: float = msgspec.field(name="service")  # estimated mean time of an operation
    nodes: dict[str, tuple[int, float]]  # warming nodes: zone, and age in s


class CapacityGrant(msgspec.Struct, frozen=True):
    """Number of operations that an instance may send, by node."""

    incarnation: str = msgspec.field(name="to")
    requested_at: float = msgspec.field(name="stamp")  # time of the answered request
    step: int  # number of the coordinator's step; used to accept each grant only once
    operations: dict[str, int] = msgspec.field(name="counts")


class OutstandingGrant(msgspec.Struct, frozen=True):
    """Operations on one node that were granted at one time and may be in use."""

    granted_at: float = msgspec.field(name="at")  # s, by the writer's clock
    operations: int = msgspec.field(name="count")


class CoordinatorState(msgspec.Struct, frozen=True):
    """State of a coordinator, from which a successor continues."""

    written_by: str = msgspec.field(name="by")  # incarnation, whose clock all times in the state refer to
    step: int = 0
    outstanding: dict[str, list[OutstandingGrant]] = msgspec.field(
        default_factory=dict, name="out"
    )  # by node
    answered: dict[str, float] = {}  # by instance: time of its last answered request
