"""Chance as something to branch on: each draw of the module is a choice, made by whoever explores. Pure.

The module draws in three ways. A number in [0, 1) that is compared with a limit is kept as an *interval*,
which each comparison narrows: both sides are explored, and nothing between them is lost. A number that is
scaled and made whole picks a place in a list: each place is explored. A spread of time takes one of a few
given values.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from itertools import permutations
from math import ceil, floor
from typing import Any, TypeVar

from coveport.balancing import Balancer
from coveport.balancing.host import Host
from coveport.balancing.request_state import RequestState
from coveport.testbed.check.world import NODE

T = TypeVar("T")
R = TypeVar("R")
FREE_DRAWS = 2  # of a pick: so many take cold hosts too; from there on a place drawn again changes nothing


class Draw:
    """A number drawn in [0, 1), of which only an interval is known yet; `scale` and `shift` make it a figure.

    Copies that arithmetic makes share the interval, so that what one comparison tells holds for all. Behind
    its ends stands the trial in which it was drawn.
    """

    __slots__ = ("chooser", "scale", "shift", "span")

    def __init__(self, chooser: Chooser, span: list[float], scale: float = 1.0, shift: float = 0.0) -> None:
        self.chooser = chooser
        self.span = span
        self.scale = scale
        self.shift = shift

    def __mul__(self, by: float) -> Draw:
        return Draw(self.chooser, self.span, self.scale * by, self.shift * by)

    def __add__(self, more: float) -> Draw:
        return Draw(self.chooser, self.span, self.scale, self.shift + more)

    __rmul__, __radd__ = __mul__, __add__

    def __lt__(self, limit: float) -> bool:
        return self._below((limit - self.shift) / self.scale)

    def __ge__(self, limit: float) -> bool:
        return not self < limit

    __le__, __gt__ = __lt__, __ge__  # that it is just the limit has no chance

    def _below(self, limit: float) -> bool:
        low, high = self.span[0], self.span[1]
        if limit <= low or limit >= high:
            return limit >= high
        below = self.chooser.choose(2) == 0
        self.chooser.narrow(self.span, low if below else limit, limit if below else high)
        return below

    def __int__(self) -> int:
        low, high = self.span[0] * self.scale + self.shift, self.span[1] * self.scale + self.shift
        first = floor(low)
        place = first + self.chooser.place(max(1, ceil(high) - first))
        self.chooser.narrow(
            self.span,
            (max(low, place) - self.shift) / self.scale,
            (min(high, place + 1) - self.shift) / self.scale,
        )
        return place


class Chooser:
    """Takes the place of the module's `random`: follows a script of choices, then takes the first of each.

    `taken` tells which choice was made of how many, so that the next script can be made from it. With `drawn`
    set, all draws are noted there: intervals, or figures in [0, 1).
    """

    def __init__(self, spreads: Sequence[float] = (0.5,)) -> None:
        self.spreads = tuple(spreads)
        self.script: Sequence[int] = ()
        self.taken: list[tuple[int, int]] = []
        self.drawn: list[list[float]] | None = None
        self._trial = 0.0  # of picks; 0: this is no trial
        self._undo: list[tuple[list[float], float, float]] = []  # what was known of numbers before the trial
        self._places: list[int] | None = None  # drawn in the pick that is going on
        self._again = False  # it draws none but the first of them from here on

    def choose(self, count: int) -> int:
        """One of so many ways to go on."""
        if count == 1:
            return 0
        made = len(self.taken)
        choice = self.script[made] if made < len(self.script) else 0
        self.taken.append((choice, count))
        return choice

    def next_script(self) -> list[int] | None:
        """The script after the one just followed; None: that was the last."""
        taken = self.taken
        while taken and taken[-1][0] + 1 == taken[-1][1]:
            taken.pop()
        return [choice for choice, _ in taken[:-1]] + [taken[-1][0] + 1] if taken else None

    def narrow(self, span: list[float], low: float, high: float) -> None:
        """Learn more of a number drawn."""
        if span[2] != self._trial:
            self._undo.append((span, span[0], span[1]))
        span[0], span[1] = low, high

    # What the module calls.

    def random(self) -> Draw:
        """A number in [0, 1)."""
        span = [0.0, 1.0, self._trial]
        if self.drawn is not None:
            self.drawn.append(span)
        return Draw(self, span)

    def uniform(self, low: float, high: float) -> float:
        """A figure between the two: one of the spreads."""
        part = self.spreads[self.choose(len(self.spreads))]
        if self.drawn is not None:
            self.drawn.append([part, part])
        return low + (high - low) * part

    def sample(self, population: Sequence[T], count: int) -> list[T]:
        """So many of a list, in any order."""
        rest, found = list(population), []
        for _ in range(count):
            place = self.choose(len(rest))
            if self.drawn is not None:
                self.drawn.append([place / len(rest), (place + 1) / len(rest)])
            found.append(rest.pop(place))
        return found

    def choice(self, population: Sequence[T]) -> T:
        """One of a list."""
        return self.sample(population, 1)[0]

    # Picks: a list is drawn from several times, until enough was found.

    def place(self, count: int) -> int:
        """A place in a list; within a pick, one drawn before only where that can matter."""
        places = self._places
        if places is None:
            return self.choose(count)
        if self._again:
            return places[0] if places else 0
        if len(places) < FREE_DRAWS:
            place = self.choose(count)
        else:
            # Either one that was not drawn yet, or no such one any more.
            fresh = [one for one in range(count) if one not in places]
            choice = self.choose(len(fresh) + 1)
            self._again = choice == len(fresh)
            place = places[0] if self._again else fresh[choice]
        places.append(place)
        return place

    def pick(self, run: Callable[[Sequence[T]], R], orders: Sequence[Sequence[T]], pure: bool) -> R:
        """Let the module pick from a list that may stand in any of these orders.

        `pure`: that changes nothing, so picks that end alike are one choice.
        """
        if not pure:
            return self._picked(run, orders)
        outer = self.script, self.taken
        noted = len(self.drawn) if self.drawn is not None else 0
        ends: dict[Any, list[int]] = {}
        script: list[int] | None = []
        while script is not None:
            self.script = script
            self.taken = []
            self._undo = []
            self._trial += 1
            found = self._picked(run, orders)
            spans = frozenset((id(span), span[0], span[1]) for span, _, _ in self._undo)
            ends.setdefault((id(found), spans), [choice for choice, _ in self.taken])
            for span, low, high in reversed(self._undo):
                span[0], span[1] = low, high
            if self.drawn is not None:
                del self.drawn[noted:]
            script = self.next_script()
        self._trial = 0.0
        self._undo = []
        self.script, self.taken = outer
        end = list(ends.values())[self.choose(len(ends))]
        outer = self.script, self.taken
        self.script = end
        self.taken = []
        found = self._picked(run, orders)
        self.script, self.taken = outer
        return found

    def _picked(self, run: Callable[[Sequence[T]], R], orders: Sequence[Sequence[T]]) -> R:
        # A list that is drawn from tells its order only where draws fail and it is looked through.
        order = self.choose(len(orders))
        self._places = []
        self._again = order > 0
        try:
            return run(orders[order])
        finally:
            self._places = None


class Drawn:
    """Takes the place of the module's `random` where a path is played again: hands out given numbers."""

    def __init__(self, draws: Sequence[float]) -> None:
        self._draws: Iterator[float] = iter(draws)

    def random(self) -> float:
        """The next one; one half where there are no more."""
        return next(self._draws, 0.5)

    def uniform(self, low: float, high: float) -> float:
        """A figure between the two."""
        return low + (high - low) * self.random()

    def sample(self, population: Sequence[T], count: int) -> list[T]:
        """So many of a list."""
        rest = list(population)
        return [rest.pop(int(self.random() * len(rest))) for _ in range(count)]

    def choice(self, population: Sequence[T]) -> T:
        """One of a list."""
        return self.sample(population, 1)[0]


def watched(balancer: type[Balancer], kinds: Sequence[int] = ()) -> type[Balancer]:
    """The module as it is, but for its picks, which tell the chooser where they begin and end.

    `kinds`: those of the nodes, by their place in the world. Nodes of one kind are told apart by nothing but
    their order in a list; where states that differ in that count as one, each pick has to try them all.
    """

    def orders(level: list[Host]) -> list[list[Host]]:
        found = [level]
        if kinds and len({kinds[host.id - NODE] for host in level}) < len(level):
            found += [
                list(other)
                for other in permutations(level)
                if list(other) != level
                and all(
                    kinds[one.id - NODE] == kinds[two.id - NODE]
                    for one, two in zip(level, other, strict=True)
                )
            ]
        return found

    class Watched(balancer):  # type: ignore[misc, valid-type]
        def _draw(self, level: list[Host], request: RequestState) -> Host | None:
            chooser = self.random
            assert isinstance(chooser, Chooser)
            # With probes a pick sends some on its way, so it is not pure.
            host: Host | None = chooser.pick(
                lambda order: super(Watched, self)._draw(order, request),
                orders(level),
                not self.limits.probes,
            )
            return host

    return Watched
