"""The success rate of recently ended operations, from the sidecar's counters."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from coveport.sidecar.telemetry.counters import RESULTS, Counters, result_counter

SAMPLES = 6  # number kept; the rate covers operations between the oldest and the newest sample
SUCCEEDED = RESULTS[0]


class _Sample(NamedTuple):
    succeeded: int
    total: int


class SuccessWindow:
    """Samples the counters of ended operations."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES)

    def sample(self, counters: Counters, classes: Iterable[str]) -> str:
        """Take a sample; return the success rate in the form of `X_SERVED`: `FRACTION/OPERATIONS`."""
        names = list(classes)
        self._samples.append(
            _Sample(
                sum(counters.get(result_counter(name, SUCCEEDED)) for name in names),
                sum(counters.get(result_counter(name, result)) for name in names for result in RESULTS),
            )
        )
        oldest, newest = self._samples[0], self._samples[-1]
        total = newest.total - oldest.total
        succeeded = newest.succeeded - oldest.succeeded
        return f"{succeeded / total if total else 1.0:.4f}/{total}"
