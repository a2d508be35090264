"""What lies between two hosts: how long a message takes, what is lost on the way, who is cut off. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable

from coveport.testbed.day import Change, Day
from coveport.testbed.tables import Figure

CLIENT = -1
"""Stands for the zone of tills, who sit beside their sidecar."""


PIECE = 16_384
"""Bytes that may need a round trip of their own, at the least, where windows are as large as usual."""


def harsh_ms(day: Day) -> float:
    """What segments and merged messages may add to any one way, at the most."""
    network = day.scenario.network
    return (_high(network.split_ms) if network.split else 0.0) + (
        _high(network.merge_ms) if network.merge else 0.0
    )


def piece(day: Day) -> int:
    """Bytes that may need a round trip of their own, at the least."""
    window = day.scenario.network.window
    return min(PIECE, int(window[0] if isinstance(window, tuple) else window))


def asking_ms(day: Day, cls: int) -> float:
    """What a harsh network may add to the ways of a class's request and answer, till to sidecar and back."""
    harsh = harsh_ms(day)
    if not harsh and piece(day) == PIECE:
        return 0.0
    one, network = day.scenario.classes[cls], day.scenario.network
    trip_ms = 2 * day.client_ms * (1 + day.jitter) + (_high(network.split_ms) if network.split else 0.0)
    return 2 * harsh + (_high(one.body) + _high(one.answer)) // piece(day) * trip_ms


def _high(figure: Figure) -> float:
    return figure[1] if isinstance(figure, tuple) else figure


class Ways:
    """The network's state, changed by the day's changes; draws come from the day's seed."""

    def __init__(self, day: Day) -> None:
        network = day.scenario.network
        self._cross = day.cross_ms
        self._client = day.client_ms
        self._jitter = day.jitter
        self._base_loss = network.loss if isinstance(network.loss, float | int) else network.loss[0]
        self._loss_ms = network.loss_ms
        self._random = random.Random(f"ways {day.seed}")
        self._added: dict[int, tuple[float, bool]] = {}  # by fault
        self._losses: dict[int, float] = {}
        self._cut: dict[int, int] = {}  # zone by fault
        self._opened: list[Callable[[], None]] = []

    def base_ms(self, one: int, other: int) -> float:
        """One way between two zones in calm, without jitter."""
        return self._client if CLIENT in (one, other) else self._cross[one][other]

    def delay_ms(self, one: int, other: int) -> float:
        """One way between two zones for the next message, in ms: drawn, so call it once a message."""
        base = self.base_ms(one, other)
        delay = base * (1 + self._jitter * self._random.random())
        if CLIENT in (one, other):
            return delay
        for added, within in self._added.values():
            if within or one != other:
                delay += added
        loss = self._base_loss + sum(self._losses.values())
        if loss:
            while self._random.random() < loss:  # each loss is seen as a retransmission's time
                delay += self._loss_ms
        return delay

    def held(self, one: int, other: int) -> bool:
        """Whether nothing passes between two zones for now."""
        return (
            one != other
            and CLIENT not in (one, other)
            and any(zone in (one, other) for zone in self._cut.values())
        )

    def on_open(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever a cut is taken back."""
        self._opened.append(listener)

    def change(self, change: Change) -> None:
        """Take in one of `NETWORK_CHANGES`."""
        table: dict[int, object] = {"delay": self._added, "loss": self._losses, "cut": self._cut}[change.what]  # type: ignore[assignment]
        if not change.on:
            table.pop(change.fault, None)
            if change.what == "cut":
                for listener in self._opened:
                    listener()
        elif change.what == "delay":
            self._added[change.fault] = (change.value, change.share >= 1)
        elif change.what == "loss":
            self._losses[change.fault] = change.value
        else:
            self._cut[change.fault] = change.target
