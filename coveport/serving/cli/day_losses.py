"""Attributes the value and the requests that a played day lost to components, prices and events. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from coveport.serving.cli.day_report import DayEvent, DayReport, OutcomeCounts

AFTERMATH_S: Final = 4.0  # losses so shortly after an event are attributed to it ...
STREAM_S: Final = 4.0  # ... and those of windows so shortly before it, whose streams still run when it begins
NO_EVENT: Final = "no trouble"  # in outputs


@dataclass(frozen=True, slots=True)
class ValueLoss:
    """Value that is missing at the end, as a fraction of the whole day's."""

    name: str
    value: float
    amount: float | None = None  # of a price: how much of the resource was used


@dataclass(frozen=True, slots=True)
class WindowLoss:
    """A window of the day, and the kinds of events that touch it."""

    from_s: float
    counts: OutcomeCounts
    event_kinds: tuple[str, ...]


def value_losses(report: DayReport) -> list[ValueLoss]:
    """Return what the components of the day's value lack and what the prices took; the largest first."""
    of_components = [ValueLoss(component.name, component.lost_value) for component in report.components]
    of_prices = [ValueLoss(price.name, price.value, price.amount) for price in report.prices]
    return sorted(of_components + of_prices, key=lambda loss: -loss.value)


def window_losses(report: DayReport) -> list[WindowLoss]:
    """Return all windows in their order, with the events that touch each."""
    starts_s = [float(window.name) for window in report.windows]
    length_s = starts_s[1] - starts_s[0] if len(starts_s) > 1 else 0.0
    losses = []
    for from_s, counts in zip(starts_s, report.windows, strict=True):
        kinds = (event.kind for event in report.events if _touches(event, from_s, from_s + length_s))
        losses.append(WindowLoss(from_s, counts, tuple(dict.fromkeys(kinds))))
    return losses


def _touches(event: DayEvent, from_s: float, to_s: float) -> bool:
    """Return whether what is lost between these times may be the event's doing."""
    return event.at_s < to_s + STREAM_S and from_s < event.to_s + AFTERMATH_S


def requests_lost_by_event(windows: Sequence[WindowLoss]) -> list[tuple[str, float]]:
    """Return the requests lost beside each kind of event, the largest first.

    Kinds that touch the same window share its losses evenly.
    """
    lost: defaultdict[str, float] = defaultdict(float)
    for window in windows:
        kinds = window.event_kinds or (NO_EVENT,)
        for kind in kinds:
            lost[kind] += window.counts.lost_requests / len(kinds)
    return sorted(lost.items(), key=lambda item: -item[1])
