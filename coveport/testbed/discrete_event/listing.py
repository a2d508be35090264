"""Discovery on bare ground: what it has seen of the nodes, and who hears of it when.

As `standins.discovery` has it, without calls: a death is seen `notice_ms` later, silence after twice that, a
start `add_ms` later, leaving at once, and each sidecar hears of it after a spread of its own. Silent and late
discoveries can be played; what concerns calls and bytes can't.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from coveport.balancing import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from coveport.testbed.day import NEVER, Change, Day
from coveport.testbed.discrete_event.scheduler import Agenda
from coveport.testbed.event_log import EventLog, Told
from coveport.testbed.random_streams import ends
from coveport.testbed.standins.seen_node import SeenNode

EPOCH_MS = 1e9  # the day's begin on the sidecars' clock, on which 0 means long ago
_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}


class Listing:
    """The list of nodes, and what each sidecar has been told of it."""

    def __init__(
        self, agenda: Agenda, event_log: EventLog, day: Day, tell: Callable[[int, EndpointUpdate], None]
    ) -> None:
        """`tell`: hand an update to a sidecar, by its number."""
        self._agenda = agenda
        self._write = event_log.write
        self._day = day
        self._tell = tell
        self._nodes = {node.number: SeenNode(node.born) for node in day.nodes}
        self._places = {node.number: (node.zone, node.cell) for node in day.nodes}
        self._first = [node.number for node in day.nodes if node.born]
        self._heard = [dict.fromkeys(self._first, ("active", NEVER)) for _ in day.sidecars]
        self._quiet = set[int]()  # faults by which discovery is silent
        self._late = dict[int, float]()
        self._kept = list[tuple[int, int, tuple[str, float]]]()
        self._spread = [random.Random(f"spread {day.seed} {one.number}") for one in day.sidecars]

    def began(self, sidecar: int) -> None:
        """A sidecar has started: it has the day's first list, and asks for what is listed now."""
        known = {node: ("active", NEVER) for node in self._first}
        self._hand(sidecar, EndpointUpdateKind.CACHED, known)
        if not self._quiet:
            self._agenda.at(
                self._agenda.now + ends(self._day.scenario.discovery.spread_ms)[0], self._whole, sidecar
            )

    def _whole(self, sidecar: int) -> None:
        heard = self._heard[sidecar]
        gone = {node: ("left", self._nodes[node].born) for node in self._first if node not in heard}
        self._hand(sidecar, EndpointUpdateKind.FULL, heard, gone)

    def _hand(
        self,
        sidecar: int,
        kind: EndpointUpdateKind,
        listed: dict[int, tuple[str, float]],
        gone: dict[int, tuple[str, float]] | None = None,
    ) -> None:
        now = self._agenda.now
        for node, (state, born) in (listed | (gone or {})).items():
            self._write(Told(now, sidecar, node, state, born))
        self._tell(
            sidecar,
            EndpointUpdate(
                kind,
                tuple(
                    Endpoint(
                        node + 1,
                        *self._places[node],
                        _STATES[state],
                        started_ms=born + EPOCH_MS if born >= 0 else 0.0,
                    )
                    for node, (state, born) in listed.items()
                ),
            ),
        )

    def change(self, change: Change) -> None:
        """Take in what happens to nodes, and to discovery itself."""
        if change.what == "discovery-silent":
            (self._quiet.add if change.on else self._quiet.discard)(change.fault)
            if not self._quiet:
                kept, self._kept = self._kept, []
                for one in kept:
                    self._hear(*one)
        elif change.what == "discovery-late":
            if change.on:
                self._late[change.fault] = change.value
            else:
                self._late.pop(change.fault, None)
        elif change.what in ("die", "start", "leaving", "silent"):
            for number in [change.target] if change.target >= 0 else self._nodes:
                self._changes(number, change)

    def _changes(self, number: int, change: Change) -> None:
        delay = self._nodes[number].change(change, self._agenda.now, self._day)
        if delay is not None:
            self._agenda.at(self._agenda.now + delay, self._notice, number, self._nodes[number].news)

    def _notice(self, number: int, news: int) -> None:
        node = self._nodes[number]
        if not node.notice(news):
            return
        low, high = ends(self._day.scenario.discovery.spread_ms)
        late = sum(self._late.values())
        for sidecar, rng in enumerate(self._spread):
            self._agenda.at(
                self._agenda.now + rng.uniform(low, high) + late, self._hear, sidecar, number, node.seen
            )

    def _hear(self, sidecar: int, number: int, seen: tuple[str, float]) -> None:
        if self._quiet:
            self._kept.append((sidecar, number, seen))
            return
        if seen[0] == "left":
            self._heard[sidecar].pop(number, None)
        else:
            self._heard[sidecar][number] = seen
        self._hand(sidecar, EndpointUpdateKind.DELTA, {number: seen})
