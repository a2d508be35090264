"""The faults of a scenario, drawn: what changes when, and whom it concerns. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import msgspec

from coveport.testbed.day import NEVER, Change, NodeDrawn, Span
from coveport.testbed.faults import (
    OF_SIDECARS,
    AnyFault,
    Burst,
    Clock,
    Crash,
    Cut,
    Delay,
    Descriptors,
    DiscoveryFault,
    Drain,
    Errors,
    FullQueue,
    HeavyTail,
    Kill,
    Lameduck,
    Loss,
    Resets,
    Restart,
    Retune,
    Rolling,
    Scrape,
    Silent,
    Slow,
    SlowReader,
    Spoilt,
    Stall,
    Starve,
    Upgrade,
    Whom,
)
from coveport.testbed.fleet import draw_node
from coveport.testbed.random_streams import drawn, stream
from coveport.testbed.scenario import Scenario

ENDING_MS = 1000.0  # a sidecar told to stop is taken to be back by then, for a fault's end
KILLED_MS = 1000.0  # until a killed sidecar is started again where the scenario does not say

LIVES = frozenset({"leaving", "die", "gone", "start", "kill", "launch", "term", "stall", "upgrade"})


@dataclass(slots=True)
class Trouble:
    """A fault with its figures drawn. Times in ms."""

    number: int
    fault: AnyFault
    begin: float
    length: float  # 0 where the scenario gives none
    end: float
    size: float = 0.0
    share: float = 0.0  # heavy tail: of the class's wishes; slow readers: of the tills
    which: int = 0  # zone of a cut, class of a heavy tail
    targets: tuple[int, ...] = ()  # nodes or sidecars


def draw_trouble(scenario: Scenario, seed: int, number: int, nodes: Sequence[NodeDrawn]) -> Trouble:
    """The fault at position `number` with its figures and targets, from a stream of its own."""
    fault = scenario.faults[number]
    chance = stream(seed, "fault", number)
    begin, length = drawn(chance, fault.at_s) * 1000, drawn(chance, fault.for_s) * 1000
    one = Trouble(number, fault, begin, length, begin + length if length else scenario.length_s * 1000)
    one.size = drawn(chance, getattr(fault, "size", 0.0))
    if isinstance(fault, HeavyTail):
        one.share = drawn(chance, fault.share)
        one.which = _named(chance, [cls.name for cls in scenario.classes], fault.cls)
    elif isinstance(fault, Cut):
        one.which = _named(chance, scenario.fleet.zones, fault.zone)
    elif isinstance(fault, Delay):
        one.size = drawn(chance, fault.added_ms)
    elif not isinstance(fault, Loss | Burst | DiscoveryFault):
        one.targets = _chosen(chance, scenario, nodes, fault.whom, isinstance(fault, OF_SIDECARS))
    if isinstance(fault, SlowReader):
        one.share = drawn(chance, fault.share)
    behind = max(len(one.targets) - 1, 0)
    if isinstance(fault, Rolling):
        one.end = begin + (behind * fault.every_s + fault.gone_s + fault.down_s) * 1000
    elif isinstance(fault, Restart | Upgrade):
        one.end = begin + behind * fault.every_s * 1000 + ENDING_MS
    elif isinstance(fault, Kill):
        one.length = length or KILLED_MS
        one.end = begin + one.length
    elif isinstance(fault, DiscoveryFault) and fault.how == "moves":
        one.end = begin
    return one


def _named(chance: random.Random, names: Sequence[str], name: str) -> int:
    """The position of a name, or a drawn one where none is given."""
    any_of_them = chance.randrange(len(names))
    return names.index(name) if name else any_of_them


def _chosen(
    chance: random.Random, scenario: Scenario, nodes: Sequence[NodeDrawn], whom: Whom, sidecars: bool
) -> tuple[int, ...]:
    fleet = scenario.fleet
    if whom.numbers:
        return whom.numbers
    pool = [
        number
        for number in range(fleet.sidecars if sidecars else fleet.nodes)
        if not whom.zone or number % len(fleet.zones) == fleet.zones.index(whom.zone)
    ]
    if whom.kind:
        pool = [number for number in pool if nodes[number].kind == whom.kind]
    chance.shuffle(pool)  # the first so many, so that a larger share takes the same ones and more
    if whom.share:
        pool = pool[: max(1, int(whom.share * len(pool) + 0.5))]
    elif whom.count:
        pool = pool[: whom.count]
    return tuple(sorted(pool))


@dataclass(slots=True)
class _Party:
    """A node's place, or a sidecar, as the day goes on."""

    number: int  # of the node that stands there now
    state: str = "up"  # "up", "leaving", "down"
    owner: int = -1  # the fault by which it is not up
    ending: float = NEVER  # sidecar: told to stop, and perhaps not yet back, until then
    stalled: float = NEVER  # sidecar: until then


class Course:
    """Carries the faults' steps out in order of time, leaving out those that make no sense by then.

    Who is down already, or on the way there, is left to the fault that did it. A crash ends a drain, whose
    return then falls away; a node's place is taken by its replacement, at which later faults aim.
    """

    def __init__(
        self, scenario: Scenario, seed: int, nodes: Sequence[NodeDrawn], troubles: Sequence[Trouble]
    ) -> None:
        self._scenario = scenario
        self._seed = seed
        self._nodes = nodes
        self.changes: list[Change] = []
        self.replacements: list[NodeDrawn] = []
        self._hit: dict[int, list[int]] = {}  # by fault
        self._fresh: dict[tuple[int, int], int] = {}  # replacements by fault and place
        self._began: dict[tuple[int, int], int] = {}  # whom to take it back from, by fault and place
        self._parties = {(False, number): _Party(number) for number in range(scenario.fleet.nodes)}
        self._parties |= {(True, number): _Party(number) for number in range(scenario.fleet.sidecars)}
        # Guards against a kill or launch of a sidecar that still ends: its clients may wait that long.
        self._ending_ms = max([3000.0, *(one.deadline_ms for one in scenario.classes)]) + 1000
        for trouble in troubles:
            self._replace(trouble)
        steps = [
            (at, trouble.number, place, what, trouble)
            for trouble in troubles
            for at, place, what in _steps(trouble)
        ]
        for at, _, place, what, trouble in sorted(steps, key=lambda step: step[:2]):
            self._step(at, place, what, trouble)
        self.spans = [
            Span(one.number, str(one.fault.__struct_config__.tag), one.begin, one.end, self._whom(one))
            for one in troubles
        ]

    def _replace(self, trouble: Trouble) -> None:
        if not (isinstance(trouble.fault, Crash) and trouble.fault.replaced and trouble.length):
            return
        kinds = {kind.name: kind for kind in self._scenario.fleet.kinds}
        taken = {node.name for node in (*self._nodes, *self.replacements)}
        for place in trouble.targets:
            old, number = self._nodes[place], len(self._nodes) + len(self.replacements)
            new = draw_node(self._scenario, self._seed, number, old.zone, old.cell, kinds[old.kind], taken)
            self.replacements.append(msgspec.structs.replace(new, born=False))
            self._fresh[trouble.number, place] = number

    def _step(self, at: float, place: int, what: str, trouble: Trouble) -> None:
        fault = trouble.fault
        if place < 0 or what not in LIVES:
            self._toggle(at, place, what, trouble)
            return
        party = self._parties[isinstance(fault, OF_SIDECARS), place]
        mine = party.owner == trouble.number
        busy = at < party.ending or at < party.stalled
        ok, state = {
            "leaving": (party.state == "up", "leaving"),
            "die": (party.state != "down", "down"),
            "gone": (mine and party.state == "leaving", "down"),
            "start": (mine and party.state == "down", "up"),
            "kill": (party.state == "up" and at >= party.ending, "down"),
            "launch": (mine and party.state == "down", "up"),
            "term": (party.state == "up" and not busy, "up"),
            "stall": (party.state == "up" and not busy, "up"),
            "upgrade": (party.state == "up" and not busy, "up"),
        }[what]
        if not ok:
            return
        party.state, party.owner = state, trouble.number
        if what == "start":
            party.number = self._fresh.get((trouble.number, place), party.number)
        elif what in ("term", "upgrade"):
            party.ending = at + self._ending_ms
        elif what == "stall":
            party.stalled = at + trouble.length
        elif what == "kill":
            party.stalled = NEVER
        if what not in ("gone", "start", "launch"):
            self._hit.setdefault(trouble.number, []).append(party.number)
        self.changes.append(
            Change(
                at,
                trouble.number,
                "die" if what == "gone" else what,
                True,
                party.number,
                trouble.length if what == "stall" else 0.0,
            )
        )

    def _toggle(self, at: float, place: int, what: str, trouble: Trouble) -> None:
        """Begin something, or take it back (`what` with a minus in front)."""
        fault, on = trouble.fault, not what.startswith("-")
        target = place
        if place >= 0 and on:
            target = self._parties[isinstance(fault, OF_SIDECARS), place].number
            self._began[trouble.number, place] = target
            self._hit.setdefault(trouble.number, []).append(target)
        elif place >= 0:
            target = self._began[trouble.number, place]
        elif isinstance(fault, Cut):
            target = trouble.which
        seconds = isinstance(fault, DiscoveryFault | Clock | SlowReader) and what != "discovery-overbooked"
        told = not isinstance(fault, DiscoveryFault) or what in ("discovery-late", "discovery-overbooked")
        value = trouble.size * (1000 if seconds else 1) if told else 0.0
        if isinstance(fault, Scrape):
            value = fault.every_s * 1000
        share = (
            fault.ran
            if isinstance(fault, Errors | Resets)
            else float(fault.silent)
            if isinstance(fault, Scrape)
            else trouble.share
            if trouble.share
            else float(getattr(fault, "within", False))
        )
        self.changes.append(
            Change(
                at,
                trouble.number,
                what.removeprefix("-"),
                on,
                target,
                value if on else 0.0,
                share if on else 0.0,
            )
        )

    def _whom(self, trouble: Trouble) -> str:
        fault, scenario = trouble.fault, self._scenario
        if isinstance(fault, Cut):
            return f"zone {scenario.fleet.zones[trouble.which]}"
        if isinstance(fault, HeavyTail):
            return f"class {scenario.classes[trouble.which].name}"
        if isinstance(fault, Burst):
            return "all tills"
        if isinstance(fault, Delay | Loss):
            return "ways between zones" if isinstance(fault, Delay) and not fault.within else "all ways"
        if isinstance(fault, DiscoveryFault):
            return "discovery"
        sidecars = isinstance(fault, OF_SIDECARS)
        party, total = ("sidecar", scenario.fleet.sidecars) if sidecars else ("node", len(self._nodes))
        hit = sorted(set(self._hit.get(trouble.number, [])))
        if not hit:
            return f"no {party}"
        if len(hit) == total > 1:
            return f"all {party}s"
        shown = ", ".join(map(str, hit[:12])) + (f" and {len(hit) - 12} more" if len(hit) > 12 else "")
        return f"{party}{'s' * (len(hit) > 1)} {shown}"


def _steps(one: Trouble) -> Iterator[tuple[float, int, str]]:
    """What a fault does when to which target (-1: not one by one); "gone" is the death that ends a drain."""
    fault, begin, back = one.fault, one.begin, one.begin + one.length
    what = {
        Slow: "slow",
        Silent: "silent",
        Errors: "errors",
        Resets: "resets",
        Spoilt: "spoilt",
        Cut: "cut",
        Delay: "delay",
        Loss: "loss",
        FullQueue: "full-queue",
        Clock: "clock",
        Starve: "starve",
        Descriptors: "descriptors",
        SlowReader: "slow-reader",
        Lameduck: "lameduck",
        Retune: "retune",
        Scrape: "scrape",
    }.get(type(fault), "")
    if isinstance(fault, DiscoveryFault):
        what = f"discovery-{fault.how}"
    if what:
        for place in one.targets if hasattr(fault, "whom") else (-1,):
            yield begin, place, what
            if what != "discovery-moves":
                yield one.end, place, f"-{what}"
    for position, place in enumerate(one.targets):
        later = begin + position * getattr(fault, "every_s", 0.0) * 1000
        if isinstance(fault, Crash):
            yield begin, place, "die"
            if one.length:
                yield back, place, "start"
        elif isinstance(fault, Drain):
            yield begin, place, "leaving"
            yield begin + fault.gone_s * 1000, place, "gone"
            if one.length:
                yield back, place, "start"
        elif isinstance(fault, Rolling):
            yield later, place, "leaving"
            yield later + fault.gone_s * 1000, place, "gone"
            yield later + (fault.gone_s + fault.down_s) * 1000, place, "start"
        elif isinstance(fault, Kill):
            yield begin, place, "kill"
            yield back, place, "launch"
        elif isinstance(fault, Stall):
            yield begin, place, "stall"
        elif isinstance(fault, Upgrade):
            yield later, place, "upgrade"
        elif isinstance(fault, Restart):
            yield later, place, "term"
