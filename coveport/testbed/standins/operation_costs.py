"""What each wish costs a node and how long its answer is; known to all stand-ins, told on no wire. Pure."""

from __future__ import annotations

from math import sqrt

from coveport.testbed.day import Day, Wish
from coveport.testbed.ids import first_id, try_number
from coveport.testbed.tables import Figure


class WorkBook:
    """What each wish costs and how long its answer is, so that nobody need tell a node on the wire."""

    def __init__(self, day: Day) -> None:
        self._wishes = {wish.op: wish for wish in day.wishes}
        self._noise = [_middle(one.attempt_noise) for one in day.scenario.classes]

    def find(self, op: str) -> Wish | None:
        """The wish that `op` is a try of; None where no till may have sent such an id."""
        number = try_number(op)
        wish = self._wishes.get(first_id(op)) if number >= 0 else None
        return wish if wish is not None and number < wish.tries else None

    def work_ms(self, wish: Wish, op: str, node: int) -> float:
        """The work of the try `op` of `wish` at that node, on a core of speed 1."""
        noise = self._noise[wish.cls]
        return wish.work_ms * max(0.05, 1 + noise * _bell(int(op, 16) + node)) if noise else wish.work_ms


def _middle(figure: Figure) -> float:
    return sum(figure) / 2 if isinstance(figure, tuple) else figure


def _bell(seed: int) -> float:
    """Nearly a standard normal figure from a number: the sum of four even ones (Irwin and Hall).

    The number's bits are mixed by SplitMix64 (Steele, Lea, Flood 2014).
    """
    z = (seed + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    z = (z ^ z >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    z = (z ^ z >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    z ^= z >> 31
    return (((z & 65535) + (z >> 16 & 65535) + (z >> 32 & 65535) + (z >> 48)) / 65536 - 2) * sqrt(3)
