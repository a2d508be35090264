"""A played day's report (JSON), as far as `explain` reads it, and what follows from it. Pure."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import dacite

AFTERMATH_S = 4.0  # what is lost so shortly after a trouble is counted to it ...
STREAM_S = 4.0  # ... and what came so shortly before it, since its streams still run then
NO_TROUBLE = "no trouble"


class ReportFault(Enum):
    """Why a text is no report."""

    NOT_JSON = "is not JSON"
    NOT_A_REPORT = "is not the report of a day"


@dataclass(frozen=True, slots=True)
class Tally:
    """How the requests of one kind, zone or window ended."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    worth: float  # earned of what was owed

    @property
    def lost(self) -> float:
        """In requests: those that earned nothing, and the parts that the late ones did not earn."""
        return self.n * (1.0 - self.worth)


@dataclass(frozen=True, slots=True)
class Happening:
    """A trouble or planned work."""

    at_s: float
    to_s: float
    kind: str

    def touches(self, from_s: float, to_s: float) -> bool:
        """Whether what is lost in this time may be its doing."""
        return self.at_s < to_s + STREAM_S and from_s < self.to_s + AFTERMATH_S


@dataclass(frozen=True, slots=True)
class DayReport:
    """The parts of a report that tell where worth went."""

    G: float  # worth less prices
    parts: list[tuple[str, float, float]]  # name, weight, share
    prices: list[tuple[str, float, float]]  # name, amount, worth taken
    classes: list[Tally]
    zones: list[Tally]
    windows: list[Tally]  # named by the second they begin at
    events: list[Happening] = field(default_factory=list)
    breaks: dict[str, int] = field(default_factory=dict)  # rules, and how often each was broken
    fault: str | None = None


def read_report(text: str) -> DayReport | ReportFault:
    """Read a report."""
    try:
        data = json.loads(text)
    except ValueError:
        return ReportFault.NOT_JSON
    if not isinstance(data, dict):
        return ReportFault.NOT_A_REPORT
    try:
        return dacite.from_dict(DayReport, data, dacite.Config(cast=[tuple], type_hooks={float: float}))
    except (dacite.DaciteError, TypeError, ValueError):
        return ReportFault.NOT_A_REPORT


@dataclass(frozen=True, slots=True)
class Loss:
    """Worth that is missing at the end, as a share of the whole day's."""

    what: str
    worth: float
    amount: float | None = None  # of a price: how much of it was used


def losses(report: DayReport) -> list[Loss]:
    """What the parts of the day's worth lack, and the prices; the largest first."""
    lacking = [Loss(name, weight * (1.0 - share)) for name, weight, share in report.parts]
    paid = [Loss(name, worth, amount) for name, amount, worth in report.prices]
    return sorted(lacking + paid, key=lambda loss: -loss.worth)


@dataclass(frozen=True, slots=True)
class WindowLoss:
    """A span of the day, and what happened in it or just before."""

    from_s: float
    tally: Tally
    kinds: tuple[str, ...]


def window_losses(report: DayReport) -> list[WindowLoss]:
    """All windows in their order, with the troubles that touch each."""
    starts_s = [float(window.name) for window in report.windows]
    length_s = starts_s[1] - starts_s[0] if len(starts_s) > 1 else 0.0
    found = []
    for from_s, tally in zip(starts_s, report.windows, strict=True):
        kinds = (one.kind for one in report.events if one.touches(from_s, from_s + length_s))
        found.append(WindowLoss(from_s, tally, tuple(dict.fromkeys(kinds))))
    return found


def lost_by_cause(windows: Sequence[WindowLoss]) -> list[tuple[str, float]]:
    """Requests lost beside each kind of trouble, the largest first; several that touch one share it."""
    lost: defaultdict[str, float] = defaultdict(float)
    for window in windows:
        kinds = window.kinds or (NO_TROUBLE,)
        for kind in kinds:
            lost[kind] += window.tally.lost / len(kinds)
    return sorted(lost.items(), key=lambda item: -item[1])
