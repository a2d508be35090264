"""Parses the parts of a played day's report (JSON) that `explain` needs. Pure.

Some fields have other names in the report, such as `worth` for the earned value; only this module uses those.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

import dacite

# Field names in the report, and the names of these fields in this module.
_DAY_NAMES: Final = {"G": "net_value", "parts": "components"}
_OUTCOME_NAMES: Final = {"n": "requests", "in_aim": "within_target", "worth": "earned_fraction"}
_OUTCOME_LISTS: Final = ("classes", "zones", "windows")


class UnreadableReport(Enum):
    """Why a text is not a report; the value completes a message that begins with the file's name."""

    NOT_JSON = "is not JSON"
    NOT_A_REPORT = "is not the report of a day"


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """How the requests of one class, zone or window ended."""

    name: str
    requests: int
    within_target: int  # answered within their latency target
    late: int
    refused: int
    failed: int
    earned_fraction: float  # earned fraction of the value of all these requests, 0 to 1

    @property
    def lost_requests(self) -> float:
        """Number of requests that earned no value; a late request counts by the fraction not earned."""
        return self.requests * (1.0 - self.earned_fraction)


@dataclass(frozen=True, slots=True)
class DayEvent:
    """A fault or a planned operation, in seconds after the traffic's start."""

    at_s: float
    to_s: float
    kind: str


@dataclass(frozen=True, slots=True)
class ValueComponent:
    """A component of the day's value: the fraction that its requests earned, times its weight."""

    name: str
    weight: float  # the weights of all components sum up to 1
    earned_fraction: float

    @property
    def lost_value(self) -> float:
        """The value that the component lost, as a fraction of the day's whole value."""
        return self.weight * (1.0 - self.earned_fraction)


@dataclass(frozen=True, slots=True)
class Price:
    """A resource that the day used, and the value deducted for its use."""

    name: str
    amount: float  # in the unit that the name contains
    value: float


@dataclass(frozen=True, slots=True)
class DayReport:
    """The parts of a report that show where value was lost."""

    net_value: float  # value of the components minus the prices
    components: list[ValueComponent]
    prices: list[Price]
    classes: list[OutcomeCounts]
    zones: list[OutcomeCounts]
    windows: list[OutcomeCounts]  # named by the second at which they begin
    events: list[DayEvent] = field(default_factory=list)
    breaks: dict[str, int] = field(default_factory=dict)  # number of violations by rule
    fault: str | None = None  # a failure other than a broken rule, if any


def read_report(text: str) -> DayReport | UnreadableReport:
    """Parse a report; ignore unknown fields."""
    try:
        document = json.loads(text)
    except ValueError:
        return UnreadableReport.NOT_JSON
    if not isinstance(document, dict):
        return UnreadableReport.NOT_A_REPORT
    config = dacite.Config(type_hooks={float: float, ValueComponent: _read_component, Price: _read_price})
    try:
        return dacite.from_dict(DayReport, _with_module_names(document), config)
    except (dacite.DaciteError, TypeError, ValueError):
        return UnreadableReport.NOT_A_REPORT


def _with_module_names(document: dict[str, Any]) -> dict[str, Any]:
    renamed = _rename(document, _DAY_NAMES)
    for name in _OUTCOME_LISTS:
        counts = renamed.get(name)
        if isinstance(counts, list):
            renamed[name] = [
                _rename(item, _OUTCOME_NAMES) if isinstance(item, dict) else item for item in counts
            ]
    return renamed


def _rename(fields: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in fields.items()}


def _read_component(row: Any) -> ValueComponent:
    name, weight, earned_fraction = row
    return ValueComponent(_read_name(name), float(weight), float(earned_fraction))


def _read_price(row: Any) -> Price:
    name, amount, value = row
    return Price(_read_name(name), float(amount), float(value))


def _read_name(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a name must be a string, not {value!r}")
    return value
