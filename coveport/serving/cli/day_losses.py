"""Attributes the lost value and requests of a played day to components, prices and events. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from coveport.serving.cli.day_report import DayEvent, DayReport, OutcomeCounts

AFTERMATH_S: Final = 4.0  # losses up to this long after an event are attributed to the event
MAX_STREAM_S: Final = 4.0  # likewise before an event: streams that began in the window may still run
NO_EVENT: Final = "no trouble"  # shown for losses without an event


@dataclass(frozen=True, slots=True)
class ValueLoss:
    """Value lost to one component or price, as a fraction of the day's whole value."""

    name: str
    value: float
    amount: float | None = None  # used amount of a priced resource; None for a component


@dataclass(frozen=True, slots=True)
class WindowLoss:
    """A time window of the day: its outcome counts, and the kinds of events that may have caused losses."""

    from_s: float
    counts: OutcomeCounts
    event_kinds: tuple[str, ...]


def value_losses(report: DayReport) -> list[ValueLoss]:
    """Return the value lost by components and the value deducted as prices; the largest first."""
    component_losses = [ValueLoss(component.name, component.lost_value) for component in report.components]
    price_losses = [ValueLoss(price.name, price.value, price.amount) for price in report.prices]
    return sorted(component_losses + price_losses, key=lambda loss: -loss.value)


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
    """Return whether the event may have caused losses between these times."""
    return event.at_s < to_s + MAX_STREAM_S and from_s < event.to_s + AFTERMATH_S


def requests_lost_by_event(windows: Sequence[WindowLoss]) -> list[tuple[str, float]]:
    """Return the lost requests by kind of event, the largest first.

    Kinds that touch the same window share its losses evenly.
    """
    lost: defaultdict[str, float] = defaultdict(float)
    for window in windows:
        kinds = window.event_kinds or (NO_EVENT,)
        for kind in kinds:
            lost[kind] += window.counts.lost_requests / len(kinds)
    return sorted(lost.items(), key=lambda item: -item[1])
