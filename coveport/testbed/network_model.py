"""Model the network between hosts: delay, loss and partitions. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable

from coveport.testbed.day import Change, Day
from coveport.testbed.tables import Figure

CLIENT = -1
"""The zone of clients, which are next to their sidecar."""

CHUNK_BYTES = 16_384
"""Least number of bytes that may need a round trip of their own, with windows of the usual size."""


def harsh_ms(day: Day) -> float:
    """Return the most that segmenting and merging messages may add to one way, in ms."""
    network = day.scenario.network
    return (_high(network.split_ms) if network.split else 0.0) + (
        _high(network.merge_ms) if network.merge else 0.0
    )


def chunk_bytes(day: Day) -> int:
    """Return the least number of bytes that may need a round trip of their own."""
    window = day.scenario.network.window
    return min(CHUNK_BYTES, int(window[0] if isinstance(window, tuple) else window))


def asking_ms(day: Day, cls: int) -> float:
    """Return the most that a harsh network may add between client and sidecar, both ways, in ms."""
    harsh = harsh_ms(day)
    if not harsh and chunk_bytes(day) == CHUNK_BYTES:
        return 0.0
    request_class = day.scenario.classes[cls]
    network = day.scenario.network
    trip_ms = 2 * day.client_ms * (1 + day.jitter) + (_high(network.split_ms) if network.split else 0.0)
    return 2 * harsh + (_high(request_class.body) + _high(request_class.answer)) // chunk_bytes(day) * trip_ms


def _high(figure: Figure) -> float:
    return figure[1] if isinstance(figure, tuple) else figure


class Ways:
    """Hold the state of the network; faults change it, and draws come from the day's seed."""

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
        self._cut: dict[int, int] = {}  # zone, by fault
        self._opened: list[Callable[[], None]] = []

    def base_ms(self, one: int, other: int) -> float:
        """Return the one-way delay between two zones without jitter and faults, in ms."""
        return self._client if CLIENT in (one, other) else self._cross[one][other]

    def delay_ms(self, one: int, other: int) -> float:
        """Return the one-way delay of the next message in ms; it is drawn, so call this once a message."""
        base = self.base_ms(one, other)
        delay = base * (1 + self._jitter * self._random.random())
        if CLIENT in (one, other):
            return delay
        for added, within in self._added.values():
            if within or one != other:
                delay += added
        loss = self._base_loss + sum(self._losses.values())
        if loss:
            while self._random.random() < loss:  # each loss costs the time of a retransmission
                delay += self._loss_ms
        return delay

    def held(self, one: int, other: int) -> bool:
        """Return whether a partition blocks traffic between two zones."""
        return (
            one != other
            and CLIENT not in (one, other)
            and any(zone in (one, other) for zone in self._cut.values())
        )

    def on_open(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever a partition ends."""
        self._opened.append(listener)

    def change(self, change: Change) -> None:
        """Apply one of `NETWORK_CHANGES`."""
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
