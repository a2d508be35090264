"""Draw the faults of a scenario: what changes when, and which targets it affects. Pure."""

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

ENDING_MS = 1000.0  # a sidecar asked to stop counts as restarted after this, for the end of a fault
KILLED_MS = 1000.0  # until a killed sidecar is started again where the scenario does not say

LIFECYCLE_STEPS = frozenset({"leaving", "die", "gone", "start", "kill", "launch", "term", "stall", "upgrade"})


@dataclass(slots=True)
class DrawnFault:
    """Hold a fault with its figures and targets drawn. Times in ms of the day."""

    number: int
    fault: AnyFault
    begin: float
    length: float  # 0 where the scenario gives none
    end: float
    size: float = 0.0
    share: float = 0.0  # heavy tail: of the class's operations; slow readers: of the clients
    which: int = 0  # zone of a cut, class of a heavy tail
    targets: tuple[int, ...] = ()  # nodes or sidecars


def draw_fault(scenario: Scenario, seed: int, number: int, nodes: Sequence[NodeDrawn]) -> DrawnFault:
    """Return the fault at index `number` with its figures and targets, drawn from a stream of its own."""
    fault = scenario.faults[number]
    rng = stream(seed, "fault", number)
    begin = drawn(rng, fault.at_s) * 1000
    length = drawn(rng, fault.for_s) * 1000
    drawn_fault = DrawnFault(
        number, fault, begin, length, begin + length if length else scenario.length_s * 1000
    )
    drawn_fault.size = drawn(rng, getattr(fault, "size", 0.0))
    if isinstance(fault, HeavyTail):
        drawn_fault.share = drawn(rng, fault.share)
        drawn_fault.which = _named(rng, [cls.name for cls in scenario.classes], fault.cls)
    elif isinstance(fault, Cut):
        drawn_fault.which = _named(rng, scenario.fleet.zones, fault.zone)
    elif isinstance(fault, Delay):
        drawn_fault.size = drawn(rng, fault.added_ms)
    elif not isinstance(fault, Loss | Burst | DiscoveryFault):
        drawn_fault.targets = _chosen(rng, scenario, nodes, fault.whom, isinstance(fault, OF_SIDECARS))
    if isinstance(fault, SlowReader):
        drawn_fault.share = drawn(rng, fault.share)
    behind = max(len(drawn_fault.targets) - 1, 0)
    if isinstance(fault, Rolling):
        drawn_fault.end = begin + (behind * fault.every_s + fault.gone_s + fault.down_s) * 1000
    elif isinstance(fault, Restart | Upgrade):
        drawn_fault.end = begin + behind * fault.every_s * 1000 + ENDING_MS
    elif isinstance(fault, Kill):
        drawn_fault.length = length or KILLED_MS
        drawn_fault.end = begin + drawn_fault.length
    elif isinstance(fault, DiscoveryFault) and fault.how == "moves":
        drawn_fault.end = begin
    return drawn_fault


def _named(rng: random.Random, names: Sequence[str], name: str) -> int:
    """Return the index of a name; a drawn one where no name is given."""
    random_index = rng.randrange(len(names))
    return names.index(name) if name else random_index


def _chosen(
    rng: random.Random, scenario: Scenario, nodes: Sequence[NodeDrawn], whom: Whom, sidecars: bool
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
    rng.shuffle(pool)  # then a prefix, so that a larger share takes the same targets and more
    if whom.share:
        pool = pool[: max(1, int(whom.share * len(pool) + 0.5))]
    elif whom.count:
        pool = pool[: whom.count]
    return tuple(sorted(pool))


@dataclass(slots=True)
class _Party:
    """Track the state of a node or sidecar as the day goes on."""

    number: int  # of the node that runs in this slot now
    state: str = "up"  # "up", "leaving", "down"
    owner: int = -1  # index of the fault that took it down
    ending: float = NEVER  # sidecar: asked to stop, and possibly not restarted, until then
    stalled: float = NEVER  # sidecar: stalled until then


class FaultSchedule:
    """Schedule the steps of all faults in order of time, without those that are not applicable by then.

    A target that is down or draining is left to the fault that did that. A crash ends a drain, whose restart
    is then dropped; a replacement takes over the slot of its node, and later faults target it.
    """

    def __init__(
        self, scenario: Scenario, seed: int, nodes: Sequence[NodeDrawn], drawn_faults: Sequence[DrawnFault]
    ) -> None:
        self._scenario = scenario
        self._seed = seed
        self._nodes = nodes
        self.changes: list[Change] = []
        self.replacements: list[NodeDrawn] = []
        self._hit: dict[int, list[int]] = {}  # by fault
        self._fresh: dict[tuple[int, int], int] = {}  # replacements by fault and slot
        self._began: dict[tuple[int, int], int] = {}  # target to revert, by fault and slot
        self._parties = {(False, number): _Party(number) for number in range(scenario.fleet.nodes)}
        self._parties |= {(True, number): _Party(number) for number in range(scenario.fleet.sidecars)}
        # Guards against a kill or launch of a sidecar that still ends: its clients may wait that long.
        self._ending_ms = max([3000.0, *(one.deadline_ms for one in scenario.classes)]) + 1000
        for drawn_fault in drawn_faults:
            self._replace(drawn_fault)
        steps = [
            (at, drawn_fault.number, place, what, drawn_fault)
            for drawn_fault in drawn_faults
            for at, place, what in _steps(drawn_fault)
        ]
        for at, _, place, what, drawn_fault in sorted(steps, key=lambda step: step[:2]):
            self._step(at, place, what, drawn_fault)
        self.spans = [
            Span(
                fault.number,
                str(fault.fault.__struct_config__.tag),
                fault.begin,
                fault.end,
                self._whom(fault),
            )
            for fault in drawn_faults
        ]

    def _replace(self, drawn_fault: DrawnFault) -> None:
        if not (isinstance(drawn_fault.fault, Crash) and drawn_fault.fault.replaced and drawn_fault.length):
            return
        kinds = {kind.name: kind for kind in self._scenario.fleet.kinds}
        taken = {node.name for node in (*self._nodes, *self.replacements)}
        for place in drawn_fault.targets:
            old, number = self._nodes[place], len(self._nodes) + len(self.replacements)
            new = draw_node(self._scenario, self._seed, number, old.zone, old.cell, kinds[old.kind], taken)
            self.replacements.append(msgspec.structs.replace(new, born=False))
            self._fresh[drawn_fault.number, place] = number

    def _step(self, at: float, place: int, what: str, drawn_fault: DrawnFault) -> None:
        fault = drawn_fault.fault
        if place < 0 or what not in LIFECYCLE_STEPS:
            self._toggle(at, place, what, drawn_fault)
            return
        party = self._parties[isinstance(fault, OF_SIDECARS), place]
        mine = party.owner == drawn_fault.number
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
        party.state, party.owner = state, drawn_fault.number
        if what == "start":
            party.number = self._fresh.get((drawn_fault.number, place), party.number)
        elif what in ("term", "upgrade"):
            party.ending = at + self._ending_ms
        elif what == "stall":
            party.stalled = at + drawn_fault.length
        elif what == "kill":
            party.stalled = NEVER
        if what not in ("gone", "start", "launch"):
            self._hit.setdefault(drawn_fault.number, []).append(party.number)
        self.changes.append(
            Change(
                at,
                drawn_fault.number,
                "die" if what == "gone" else what,
                True,
                party.number,
                drawn_fault.length if what == "stall" else 0.0,
            )
        )

    def _toggle(self, at: float, place: int, what: str, drawn_fault: DrawnFault) -> None:
        """Begin an effect, or revert it (`what` with a leading minus)."""
        fault, on = drawn_fault.fault, not what.startswith("-")
        target = place
        if place >= 0 and on:
            target = self._parties[isinstance(fault, OF_SIDECARS), place].number
            self._began[drawn_fault.number, place] = target
            self._hit.setdefault(drawn_fault.number, []).append(target)
        elif place >= 0:
            target = self._began[drawn_fault.number, place]
        elif isinstance(fault, Cut):
            target = drawn_fault.which
        seconds = isinstance(fault, DiscoveryFault | Clock | SlowReader) and what != "discovery-overbooked"
        told = not isinstance(fault, DiscoveryFault) or what in ("discovery-late", "discovery-overbooked")
        value = drawn_fault.size * (1000 if seconds else 1) if told else 0.0
        if isinstance(fault, Scrape):
            value = fault.every_s * 1000
        share = (
            fault.ran
            if isinstance(fault, Errors | Resets)
            else float(fault.silent)
            if isinstance(fault, Scrape)
            else drawn_fault.share
            if drawn_fault.share
            else float(getattr(fault, "within", False))
        )
        self.changes.append(
            Change(
                at,
                drawn_fault.number,
                what.removeprefix("-"),
                on,
                target,
                value if on else 0.0,
                share if on else 0.0,
            )
        )

    def _whom(self, drawn_fault: DrawnFault) -> str:
        fault, scenario = drawn_fault.fault, self._scenario
        if isinstance(fault, Cut):
            return f"zone {scenario.fleet.zones[drawn_fault.which]}"
        if isinstance(fault, HeavyTail):
            return f"class {scenario.classes[drawn_fault.which].name}"
        if isinstance(fault, Burst):
            return "all tills"
        if isinstance(fault, Delay | Loss):
            return "ways between zones" if isinstance(fault, Delay) and not fault.within else "all ways"
        if isinstance(fault, DiscoveryFault):
            return "discovery"
        sidecars = isinstance(fault, OF_SIDECARS)
        party, total = ("sidecar", scenario.fleet.sidecars) if sidecars else ("node", len(self._nodes))
        hit = sorted(set(self._hit.get(drawn_fault.number, [])))
        if not hit:
            return f"no {party}"
        if len(hit) == total > 1:
            return f"all {party}s"
        shown = ", ".join(map(str, hit[:12])) + (f" and {len(hit) - 12} more" if len(hit) > 12 else "")
        return f"{party}{'s' * (len(hit) > 1)} {shown}"


def _steps(drawn_fault: DrawnFault) -> Iterator[tuple[float, int, str]]:
    """Yield the steps of a fault: time in ms, target (-1: no single one) and effect; "gone" ends a drain."""
    fault = drawn_fault.fault
    begin = drawn_fault.begin
    restart = drawn_fault.begin + drawn_fault.length
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
        for place in drawn_fault.targets if hasattr(fault, "whom") else (-1,):
            yield begin, place, what
            if what != "discovery-moves":
                yield drawn_fault.end, place, f"-{what}"
    for position, place in enumerate(drawn_fault.targets):
        later = begin + position * getattr(fault, "every_s", 0.0) * 1000
        if isinstance(fault, Crash):
            yield begin, place, "die"
            if drawn_fault.length:
                yield restart, place, "start"
        elif isinstance(fault, Drain):
            yield begin, place, "leaving"
            yield begin + fault.gone_s * 1000, place, "gone"
            if drawn_fault.length:
                yield restart, place, "start"
        elif isinstance(fault, Rolling):
            yield later, place, "leaving"
            yield later + fault.gone_s * 1000, place, "gone"
            yield later + (fault.gone_s + fault.down_s) * 1000, place, "start"
        elif isinstance(fault, Kill):
            yield begin, place, "kill"
            yield restart, place, "launch"
        elif isinstance(fault, Stall):
            yield begin, place, "stall"
        elif isinstance(fault, Upgrade):
            yield later, place, "upgrade"
        elif isinstance(fault, Restart):
            yield later, place, "term"
