"""The health of one instance, as its supervisor knows it. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SuccessRate:
    """What an instance reports of the operations that ended lately."""

    fraction: float = 1.0  # that succeeded
    operations: int = 0

    @classmethod
    def parse(cls, text: str) -> SuccessRate | None:
        """Read `FRACTION/OPERATIONS`, as in the `X_SERVED` notification; None if malformed."""
        fraction, _, operations = text.partition("/")
        try:
            return cls(float(fraction), int(operations))
        except ValueError:
            return None


@dataclass(frozen=True, slots=True)
class InstanceHealth:
    """What a rolling restart needs to know of an instance."""

    incarnation: str = ""
    serving_s: float = -1.0  # for how long it has served; negative if it does not serve
    fault: str = ""  # what keeps it from serving; empty if nothing does
    success: SuccessRate = SuccessRate()
