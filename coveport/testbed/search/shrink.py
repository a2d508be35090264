"""The smallest scenario that still shows a find's signature.

First delta debugging (Zeller and Hildebrandt 2002; Lithium's strategy of halving chunks) over all that the
scenario changes: its faults, and each figure that differs from its default. Then what is left is made
smaller bit by bit: fewer sidecars and nodes, a shorter day, earlier and rounder times, less load. A step is
kept if it makes the scenario smaller and the same signature is still there, so it can't slip to another
fault of the program.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from lithium.strategies import Minimize, ReductionIterator
from lithium.testcases import Testcase

from coveport.testbed.fault_schedule import draw_fault
from coveport.testbed.faults import OF_SIDECARS, Whom
from coveport.testbed.fleet import draw_nodes
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import ScenarioError, parse
from coveport.testbed.schema import Expect
from coveport.testbed.search.aftermath import troubles_of
from coveport.testbed.search.files import fields, sparse, to_toml
from coveport.testbed.search.finds import Find, unplayed
from coveport.testbed.search.hunt import look
from coveport.testbed.worker_pool import said

MOST_PLAYS = 300
OTHER_SEEDS = (1, 2, 3)  # tried where a step deals everything anew
OWN = ("title", "about", "seed", "length_s", "settle_s", "tail_s", "quiet_s")  # no pieces
PARTIES = (("fleet", "sidecars"), ("fleet", "nodes"))  # nor are these: without them there might be more

Look = Callable[[Scenario, int, str], list[Find]]


class NotShownError(Exception):
    """The scenario does not show what is to be shrunk; its text is one line."""


@dataclass
class Shrunk:
    """The end of it; the scenario names its seed."""

    scenario: Scenario
    find: Find
    plays: int
    spent: bool  # the plays ran out before nothing could be made smaller any more

    def text(self) -> str:
        """Its file, with lines on cause and mend to be filled in."""
        return to_toml(
            self.scenario,
            ["cause: ", "mend: ", f"signature: {self.find.signature}", f"shows: {self.find.what}"],
        )


def look_at(scenario: Scenario, seed: int, variant: str) -> list[Find]:
    """Play it and say what it shows; a day that can't be played is a find, too."""
    try:
        return look(scenario, seed, variant)[0]
    except Exception as raised:
        return [unplayed(said(raised))]


def shrink(
    scenario: Scenario,
    seed: int,
    signature: str = "",
    *,
    variant: str = "",
    most_plays: int = MOST_PLAYS,
    told: Callable[[int, Scenario], None] | None = None,
    look: Look = look_at,
) -> Shrunk:
    """Make a scenario small that shows `signature` (a part of one will do; empty: its worst find).

    `told` hears of the plays so far and the smallest scenario yet. NotShownError where it shows no such find.
    """
    scenario = msgspec.structs.replace(scenario, seed=seed, expect=Expect())
    shown = [one for one in look(scenario, seed, variant) if one.counts]
    found = [one for one in shown if signature in one.signature]
    exact = [one for one in found if one.signature == signature]
    if not found:
        told_of = "; ".join(one.signature for one in shown) or "nothing"
        raise NotShownError(f"with seed {seed} it shows no find {signature!r}; it shows: {told_of}")
    one = _Shrinking(_frozen(scenario), (exact or found)[0], variant, most_plays, told, look)
    if not one.shows(one.best):
        one.best = scenario
    one.drop_pieces()
    while one.step():
        pass
    smallest = msgspec.structs.replace(one.best, title=f"Found: {one.find.signature}"[:100], about="")
    return Shrunk(smallest, one.find, one.plays, one.plays >= most_plays)


class _Shrinking:
    def __init__(
        self,
        scenario: Scenario,
        find: Find,
        variant: str,
        most: int,
        told: Callable[[int, Scenario], None] | None,
        look: Look,
    ) -> None:
        self.best = scenario
        self.find = find
        self.plays = 0
        self._variant = variant
        self._most = most
        self._told = told
        self._look = look
        self._tried: set[str] = set()

    def shows(self, scenario: Scenario) -> bool:
        """Whether it makes sense and shows the signature; at most one play for one text."""
        try:
            text = to_toml(scenario)
            if text in self._tried or self.plays >= self._most or parse(text, "shrunk") != scenario:
                return False
        except ScenarioError:
            return False
        self._tried.add(text)
        self.plays += 1
        same = [
            one
            for one in self._look(scenario, scenario.seed, self._variant)
            if one.signature == self.find.signature
        ]
        if same:
            self.find = same[0]
            self.best = scenario
        if self._told is not None:
            self._told(self.plays, self.best)
        return bool(same)

    def drop_pieces(self) -> None:
        """Leave out all that can be left out of what the scenario changes."""
        pieces = _pieces(self.best)
        reduction = Minimize().reduce(_Numbered.of(len(pieces)))
        assert isinstance(reduction, ReductionIterator)
        for attempt in reduction:
            kept = [pieces[int(part)] for part in attempt.parts]
            reduction.feedback(self.shows(_built(self.best, kept)))

    def step(self) -> bool:
        """Make it smaller by one change; False where none can be found."""
        size = _size(self.best)
        for smaller, anew in _smaller(self.best, self.find):
            if _size(smaller) < size:
                seeds = (smaller.seed, *OTHER_SEEDS) if anew else (smaller.seed,)
                if any(self.shows(msgspec.structs.replace(smaller, seed=seed)) for seed in seeds):
                    return True
        return False


class _Numbered(Testcase):
    """Pieces by their numbers, for Lithium."""

    atom = "piece"

    @classmethod
    def of(cls, count: int) -> _Numbered:
        one = cls()
        one.parts = [str(number).encode() for number in range(count)]
        one.reducible = [True] * count
        return one

    def split_parts(self, data: bytes) -> None:
        raise NotImplementedError


# Pieces.

Piece = tuple[tuple[str, ...], Any]
"""A place in the file and its value; a fault has the place `("faults",)`."""


def _pieces(scenario: Scenario) -> list[Piece]:
    found: list[Piece] = []

    def split(table: dict[str, Any], place: tuple[str, ...]) -> None:
        for key, value in table.items():
            if isinstance(value, dict):
                split(value, (*place, key))
            elif (*place, key) == ("faults",):
                found.extend((("faults",), one) for one in value)
            elif (place or key not in OWN) and (*place, key) not in PARTIES:
                found.append(((*place, key), value))

    split(sparse(scenario), ())
    return found


def _built(scenario: Scenario, pieces: list[Piece]) -> Scenario:
    """A scenario of these pieces alone, with the title, seed, times and parties of the other."""
    tables = {key: value for key, value in sparse(scenario).items() if key in OWN}
    tables["fleet"] = {party: getattr(scenario.fleet, party) for _, party in PARTIES}
    for place, value in pieces:
        if place == ("faults",):
            tables.setdefault("faults", []).append(value)
            continue
        here = tables
        for part in place[:-1]:
            here = here.setdefault(part, {})
        here[place[-1]] = value
    return msgspec.convert(tables, Scenario)


def _frozen(scenario: Scenario) -> Scenario:
    """The same with its faults' targets named, so that each keeps them whatever becomes of the others."""
    nodes, faults = draw_nodes(scenario, scenario.seed), []
    for number, fault in enumerate(scenario.faults):
        targets = draw_fault(scenario, scenario.seed, number, nodes).targets
        if targets and hasattr(fault, "whom") and not fault.whom.all:
            fault = msgspec.structs.replace(fault, whom=Whom(numbers=targets))
        faults.append(fault)
    return msgspec.structs.replace(scenario, faults=tuple(faults))


# Smaller ones.


def _size(scenario: Scenario) -> tuple[float, ...]:
    """What is compared: faults, who is there, changes, time, load, and how much there is to read."""
    times = sum(
        _high(getattr(fault, name, 0.0))
        for fault in scenario.faults
        for name in ("at_s", "for_s", "every_s", "gone_s", "down_s")
    )
    bare = msgspec.structs.replace(scenario, title="-", about="", seed=1)
    return (
        len(scenario.faults),
        scenario.fleet.sidecars + scenario.fleet.nodes,
        len(_pieces(scenario)),
        scenario.length_s + times,
        _high(scenario.load.level),
        len(str(sparse(bare))),
    )


def _high(figure: Any) -> float:
    return float(figure[-1] if isinstance(figure, tuple) else figure)


def _smaller(scenario: Scenario, find: Find) -> Iterator[tuple[Scenario, bool]]:
    """Scenarios to try, each with whether it deals the day anew (so that other seeds are worth a play)."""
    replace = msgspec.structs.replace
    faults = scenario.faults
    for number in range(len(faults)):
        yield replace(scenario, faults=faults[:number] + faults[number + 1 :]), False
    for party in ("sidecars", "nodes"):
        count = getattr(scenario.fleet, party)
        for fewer in dict.fromkeys((1, 2, 3, count // 2, count - 1)):
            if 0 < fewer < count:
                yield _trimmed(scenario, party, fewer), True
    pieces = _pieces(scenario)
    for number, (place, _) in enumerate(pieces):
        if place != ("faults",):
            yield _built(scenario, pieces[:number] + pieces[number + 1 :]), False
    ends = max([one.end / 1000 for one in troubles_of(scenario, scenario.seed)], default=0.0)
    for length in (
        math.ceil(find.at_ms / 1000) + 1,
        scenario.length_s / 2,
        math.ceil(ends) + 2,
        math.floor(scenario.length_s - 1),
        math.floor(scenario.length_s),
    ):
        if scenario.settle_s < length < scenario.length_s:
            yield replace(scenario, length_s=float(length)), False
    level = _high(scenario.load.level)
    for lower in (0.1, level / 4, level / 2, level * 0.75, level):
        yield replace(scenario, load=replace(scenario.load, level=_rounder(lower))), True
    for number, fault in enumerate(faults):
        for changed in _simpler(fault):
            yield replace(scenario, faults=(*faults[:number], changed, *faults[number + 1 :])), False
    for number, (place, value) in enumerate(pieces):
        if place != ("faults",) and isinstance(value, float) and not isinstance(value, bool):
            rounder = [*pieces[:number], (place, _rounder(value)), *pieces[number + 1 :]]
            yield _built(scenario, rounder), False


def _simpler(fault: Any) -> Iterator[Any]:
    """One fault with one figure smaller, rounder or as by default, or with fewer targets."""
    replace = msgspec.structs.replace
    whom = getattr(fault, "whom", None)
    if whom is not None and len(whom.numbers) > 1:
        yield replace(fault, whom=Whom(numbers=whom.numbers[:1]))
        yield replace(fault, whom=Whom(numbers=whom.numbers[: len(whom.numbers) // 2]))
        yield replace(fault, whom=Whom(numbers=whom.numbers[1:]))
        yield replace(fault, whom=Whom(all=True))
    for one in fields(type(fault)):
        value = getattr(fault, one.name)
        if one.name not in ("at_s", "whom") and not one.required and value != one.default:
            yield replace(fault, **{one.name: one.default})
        if isinstance(value, float) and not isinstance(value, bool) and value:
            times = one.name.endswith("_s")
            for less in (
                (1.0, round(max(value, 2) / 2, 1), math.floor(value), round(value, 1))
                if times
                else (_rounder(value),)
            ):
                if less != value and less:
                    yield replace(fault, **{one.name: float(less)})


def _rounder(value: float) -> float:
    return float(f"{value:.1g}")


def _trimmed(scenario: Scenario, party: str, count: int) -> Scenario:
    """With fewer nodes or sidecars, and none of those that are gone named by a fault."""
    faults = []
    for fault in scenario.faults:
        whom = getattr(fault, "whom", None)
        if whom is not None and whom.numbers and isinstance(fault, OF_SIDECARS) == (party == "sidecars"):
            numbers = tuple(one for one in whom.numbers if one < count) or (0,)
            fault = msgspec.structs.replace(fault, whom=Whom(numbers=numbers))
        faults.append(fault)
    fleet = msgspec.structs.replace(scenario.fleet, **{party: count})
    return msgspec.structs.replace(scenario, fleet=fleet, faults=tuple(faults))
