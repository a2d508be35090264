"""Settings of a balancer: request classes, limits of the site, slow-start rules and prices.

Times are milliseconds. A value that no balancer can work with raises `ValueError`, which names the field.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # repeats are dropped inside a group of hosts, for a while
    UNSAFE = "unsafe"  # must never run twice


class Locality(Protocol):
    """The failure domains of a host."""

    @property
    def zone(self) -> int:
        """Its zone."""

    @property
    def cell(self) -> int:
        """Its cell, unique in its zone."""


class DeduplicationScope(Enum):
    """Which hosts drop the repeats of a keyed request: all, those of one zone, or those of one cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def covers(self, first: Locality, second: Locality) -> bool:
        """Return whether two localities drop each other's repeats."""
        same_zone = first.zone == second.zone
        return self is DeduplicationScope.ALL or (
            same_zone and (self is DeduplicationScope.ZONE or first.cell == second.cell)
        )


_MAX_FLOAT = sys.float_info.max  # guards against whole numbers beyond all floats, which JSON may hold


def _positive(**values: float) -> None:
    for key, value in values.items():
        if not 0 < value <= _MAX_FLOAT:
            raise ValueError(f"{key} must be positive and finite, not {value!r}")


def _not_negative(**values: float) -> None:
    for key, value in values.items():
        if not 0 <= value <= _MAX_FLOAT:
            raise ValueError(f"{key} must be finite and not negative, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its value, latency target and deadline, and whether it may run again."""

    name: str = ""
    aim_ms: float = 1000.0
    deadline_ms: float = 5000.0
    worth: float = 1.0
    late_share: float = 0.0
    aim_stretch: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: DeduplicationScope = DeduplicationScope.ALL
    window_ms: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        _positive(aim_ms=self.aim_ms, deadline_ms=self.deadline_ms)
        _not_negative(
            worth=self.worth,
            late_share=self.late_share,
            window_ms=self.window_ms,
            aim_stretch=self.aim_stretch,
        )

    @property
    def repeats_anywhere(self) -> bool:
        """Whether another attempt at any host whatever, by whomever, does no harm."""
        return self.effect is Effect.SAFE or (
            self.effect is Effect.KEYED and self.group is DeduplicationScope.ALL
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the site on attempts, hedged requests and health checks."""

    max_attempts: int = 3
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0

    def __post_init__(self) -> None:
        _positive(max_attempts=self.max_attempts, connect_timeout_ms=self.connect_timeout_ms)
        _not_negative(max_retry_after_ms=self.max_retry_after_ms)


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the rules on answers, drains and slow start."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    ask_within_ms: float = 10_000.0
    cold_from: float = 0.1
    warm_after_ms: float = 30_000.0
    overload_factor: float = 2.0
    fall_ms: float = 1000.0

    def __post_init__(self) -> None:
        _positive(
            ask_within_ms=self.ask_within_ms,
            cold_from=self.cold_from,
            overload_factor=self.overload_factor,
            fall_ms=self.fall_ms,
        )
        _not_negative(
            answer_slack_ms=self.answer_slack_ms,
            drain_grace_ms=self.drain_grace_ms,
            warm_after_ms=self.warm_after_ms,
        )
        if self.cold_from > 1:
            raise ValueError(f"cold_from must be at most 1, not {self.cold_from!r}")

    def capacity_fraction(self, age_ms: float) -> float:
        """Return the part of its capacity that a host has `age_ms` after its start, before it is warm."""
        return self.cold_from + (1 - self.cold_from) * max(age_ms, 0.0) / self.warm_after_ms


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, each as a fraction of a mean request's worth."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(
            cross_zone=self.cross_zone, waste=self.waste, late_fail=self.late_fail, probe=self.probe
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer knows at its start."""

    classes: tuple[RequestClass, ...]
    zone: int = 0
    peers_total: int = 1
    must_ask: bool = False  # the list comes only to those who ask for it
    worth_by_work: bool = False
    tick_ms: float = 1.0
    load_fields: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes must name at least one class")
        _positive(peers_total=self.peers_total, tick_ms=self.tick_ms)
