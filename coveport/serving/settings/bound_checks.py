"""Finds bounds of the operators that are below the times that this system requires.

The required times can't be set, so a deployment with a tighter bound would break a rule under the fault named
here. The process runs nevertheless: the decision is the operators'.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from coveport.serving.settings.boot import Bounds
from coveport.serving.wire.settings import BOUNDS


@dataclass(frozen=True, slots=True)
class RequiredTime:
    """The lowest value of a bound that this system can meet."""

    field: str  # name of a field of `Bounds`
    needed: float  # lowest value that the system can meet, in the unit of the field
    reason: str  # the event that takes this time


# A proxy whose coordinator stops responding subscribes at another coordinator after 1.2 s and a connect of up
# to 0.5 s (`proxy.subscription`). The table of docs/design/control-safety.md has the worst case of CatchUpS.
REQUIRED_TIMES: Final = (
    RequiredTime("config_apply_ms", 1700.0, "a proxy leaves a silent coordinator"),
    RequiredTime("evacuate_ms", 1700.0, "a proxy leaves a silent coordinator"),
    RequiredTime("drain_ms", 1700.0, "a proxy leaves a silent coordinator"),
    RequiredTime("catch_up_s", 2.5, "a replica is replaced"),
    RequiredTime("acknowledge_ms", 2500.0, "another primary takes over"),
    RequiredTime("grace_s", 2.0, "a proxy takes connections for another second"),
)


@dataclass(frozen=True, slots=True)
class TightBound:
    """A bound below the required time."""

    key: str  # key of the bound in the settings file
    bound: float
    needed: float
    reason: str


def tight_bounds(bounds: Bounds) -> Iterator[TightBound]:
    """Return the bounds below the required times, each in the unit of its bound."""
    for required in REQUIRED_TIMES:
        bound = getattr(bounds, required.field)
        if bound < required.needed:
            yield TightBound(BOUNDS[required.field], bound, required.needed, required.reason)
