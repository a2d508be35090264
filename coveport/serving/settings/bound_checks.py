"""Compares the operators' bounds with the times that this system needs, and finds those that are too tight.

The times are fixed, so a deployment with tighter bounds than they allow would break a rule under the faults
named here. It is still served: the operators decide.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from coveport.serving.settings.boot import Bounds
from coveport.serving.wire.settings import BOUNDS


@dataclass(frozen=True, slots=True)
class OwnTime:
    """What this system needs for something that a bound limits."""

    field: str  # of `Bounds`
    needed: float  # in the unit of the field
    reason: str


# A proxy whose coordinator falls silent asks another one after 1.2 s and a connect of up to 0.5 s
# (`proxy.subscription`); the table of docs/design/control-safety.md has the measured worst of CatchUpS.
OWN_TIMES: Final = (
    OwnTime("config_apply_ms", 1700.0, "a proxy leaves a silent coordinator"),
    OwnTime("evacuate_ms", 1700.0, "a proxy leaves a silent coordinator"),
    OwnTime("drain_ms", 1700.0, "a proxy leaves a silent coordinator"),
    OwnTime("catch_up_s", 2.5, "a replica is replaced"),
    OwnTime("acknowledge_ms", 2500.0, "another primary takes over"),
    OwnTime("grace_s", 2.0, "a proxy takes connections for another second"),
)


@dataclass(frozen=True, slots=True)
class TightBound:
    """A bound below the time that is needed."""

    key: str  # in the settings file
    bound: float
    needed: float
    reason: str


def tight_bounds(bounds: Bounds) -> Iterator[TightBound]:
    """Return the bounds that are tighter than our own times, in their own units."""
    for own in OWN_TIMES:
        bound = getattr(bounds, own.field)
        if bound < own.needed:
            yield TightBound(BOUNDS[own.field], bound, own.needed, own.reason)
