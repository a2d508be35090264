"""Settings of a balancer: request classes, limits of the deployment, slow-start rules and prices.

Times are in milliseconds. A value out of range raises `ValueError`, which names the field.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Effect(Enum):
    """The effect of running a request twice."""

    SAFE = "safe"  # harmless: the request may be repeated freely
    KEYED = "keyed"  # for a limited time, hosts of a group drop repeats by the request's key
    UNSAFE = "unsafe"  # harmful: the request must never run twice


class Locality(Protocol):
    """The failure domains of a host."""

    @property
    def zone(self) -> int:
        """The zone of the host."""

    @property
    def cell(self) -> int:
        """The cell of the host, unique within its zone."""


class DeduplicationScope(Enum):
    """The hosts that drop each other's repeats of a keyed request: all, or those of a zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def covers(self, first: Locality, second: Locality) -> bool:
        """Return whether hosts at two localities drop each other's repeats."""
        same_zone = first.zone == second.zone
        return self is DeduplicationScope.ALL or (
            same_zone and (self is DeduplicationScope.ZONE or first.cell == second.cell)
        )


_MAX_FLOAT = sys.float_info.max  # JSON may hold integers beyond the range of floats


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
    """A class of requests: its value, latency target and deadline, and whether it may be repeated."""

    name: str = ""
    aim_ms: float = 1000.0  # latency target
    deadline_ms: float = 5000.0
    worth: float = 1.0  # value of an answer within the latency target
    late_share: float = 0.0  # fraction of the value that a later answer still has
    aim_stretch: float = 0.0  # fraction of the cost hint by which the target is longer
    effect: Effect = Effect.UNSAFE
    group: DeduplicationScope = DeduplicationScope.ALL  # hosts that drop repeats of a keyed request
    window_ms: float = 0.0  # time for which these hosts drop repeats
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
    def is_repeatable_anywhere(self) -> bool:
        """Whether another attempt, also one by the client, is harmless at any host."""
        return self.effect is Effect.SAFE or (
            self.effect is Effect.KEYED and self.group is DeduplicationScope.ALL
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that the deployment sets on attempts, hedged requests and health checks."""

    max_attempts: int = 3
    second_copies: bool = False  # whether hedged requests are allowed
    cancel: bool = False  # whether attempts in flight may be cancelled
    probes: bool = False  # whether health checks are allowed
    retry_after: bool = False  # whether a rejection may state when to retry
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0

    def __post_init__(self) -> None:
        _positive(max_attempts=self.max_attempts, connect_timeout_ms=self.connect_timeout_ms)
        _not_negative(max_retry_after_ms=self.max_retry_after_ms)


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the rules on answers, draining and slow start."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    ask_within_ms: float = 10_000.0  # time within which the balancer must ask discovery for endpoints
    cold_from: float = 0.1  # fraction of its capacity that a host has at its start
    warm_after_ms: float = 30_000.0  # time from the start of a host to its full capacity
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
        """Return the fraction of its capacity that a host has `age_ms` after its start, before it is warm."""
        return self.cold_from + (1 - self.cold_from) * max(age_ms, 0.0) / self.warm_after_ms


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs of a decision, each as a fraction of the value of a mean request."""

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
    """The configuration of a balancer."""

    classes: tuple[RequestClass, ...]
    zone: int = 0
    peers_total: int = 1
    must_ask: bool = False  # whether endpoint updates come only after a subscription
    worth_by_work: bool = False
    tick_ms: float = 1.0  # resolution of the caller's timers
    load_fields: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes must name at least one class")
        _positive(peers_total=self.peers_total, tick_ms=self.tick_ms)
