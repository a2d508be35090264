"""What slow start keeps in the store: requests for capacity, grants, and the coordinator's state. Pure.

    need/NAME           an instance's request: a time of its own clock, its rate, the warming nodes it knows
    grant/ZONE/NAME     what it may send to which node of that zone, with the time of the request it answers
    state/warden@ZONE   what may still be in use, by node

Names of fields in the store differ from those here where a `name` is given; they are on disk and stay.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

REQUEST_PREFIX = "need/"
GRANT_PREFIX = "grant/"
ROLE_NAME_PREFIX = "warden@"  # + zone
GRANT_LIFETIME_S = 2.0  # G: how long from its request on an instance may use a grant


@dataclass(frozen=True, slots=True)
class SafeLoad:
    """What a warming node bears, by the settings' invariants."""

    initial_fraction: float = 0.36  # of its full capacity, when it starts
    warm_after_s: float = 8.6
    overload_factor: float = 4.0  # times its present capacity, at which it fails
    overload_window_s: float = 2.0  # W: it fails when it is sent more for so long

    def operations(self, age_s: float, service_s: float) -> float:
        """Return how many operations of this mean time a node of that age bears in W, with one core."""
        age = min(max(age_s, 0.0), self.warm_after_s)
        warmth = age / self.warm_after_s if self.warm_after_s else 1.0
        capacity_fraction = self.initial_fraction + (1 - self.initial_fraction) * warmth
        return self.overload_factor * capacity_fraction * self.overload_window_s / service_s


class CapacityRequest(msgspec.Struct, frozen=True):
    """An instance's request for a share of warming nodes' capacity."""

    incarnation: str = msgspec.field(name="to")  # a later process of the same name can't use the grant
    requested_at: float = msgspec.field(name="stamp")  # s, by the requester's own clock
    rate_per_s: float = msgspec.field(name="rate")  # first attempts, lately
    service_s: float = msgspec.field(name="service")  # mean time of an operation, as it knows it
    nodes: dict[str, tuple[int, float]]  # warming nodes: zone, and age in s


class CapacityGrant(msgspec.Struct, frozen=True):
    """Operations by node that an instance may send."""

    incarnation: str = msgspec.field(name="to")
    requested_at: float = msgspec.field(name="stamp")  # of the request it answers
    step: int  # the coordinator's, so that a grant is accepted once
    operations: dict[str, int] = msgspec.field(name="counts")


class OutstandingGrant(msgspec.Struct, frozen=True):
    """Operations of a node that were granted, and may be in use."""

    granted_at: float = msgspec.field(name="at")  # s, by the writer's clock
    operations: int = msgspec.field(name="count")


class CoordinatorState(msgspec.Struct, frozen=True):
    """What the coordinator's successor goes on from."""

    written_by: str = msgspec.field(name="by")  # incarnation: times are of its clock
    step: int = 0
    outstanding: dict[str, list[OutstandingGrant]] = msgspec.field(
        default_factory=dict, name="out"
    )  # by node
    answered: dict[str, float] = {}  # by instance: time of its request that was answered last
