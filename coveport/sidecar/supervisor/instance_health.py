"""The health of one instance, as reported to its supervisor. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SuccessRate:
    """The success rate of recently ended operations, as reported by an instance."""

    fraction: float = 1.0  # fraction of the operations that succeeded
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
    """The health of an instance, as input to a rolling restart."""

    incarnation: str = ""
    serving_s: float = -1.0  # how long the instance has served, s; negative if it does not serve
    fault: str = ""  # reason why the instance can't serve; empty if there is none
    success: SuccessRate = SuccessRate()
