"""Plays a drawn day on bare ground: every decision as it is, any number of sidecars, a fortieth of the cost.

What it leaves out: bytes, CPU, descriptors, stalls, clocks, and all that staff do. A day with a fault of that
kind is refused (`BareError`), so that no figure of it stands for something that was not played.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable

from coveport import balancing
from coveport.balancing.balancer import Balancer
from coveport.testbed import stopping
from coveport.testbed.conductor import write_faults
from coveport.testbed.day import NETWORK_CHANGES, NODE_CHANGES, Change, Day
from coveport.testbed.discrete_event.clients import Tills, Try
from coveport.testbed.discrete_event.listing import Listing
from coveport.testbed.discrete_event.nodes import BareNode
from coveport.testbed.discrete_event.scheduler import Agenda
from coveport.testbed.discrete_event.sidecars import BareSidecar
from coveport.testbed.discrete_event.slow_start import Life, Warded
from coveport.testbed.event_log import EventLog
from coveport.testbed.model import KeyMemory
from coveport.testbed.network_model import Ways
from coveport.testbed.playing import Played
from coveport.testbed.standins.operation_costs import WorkBook

BEFORE_MS = 2000.0  # the sidecars start so long before the day begins
SLICE_MS = 250.0
_LISTED = ("die", "start", "leaving", "silent", "discovery-silent", "discovery-late")
PLAYED = frozenset((*NODE_CHANGES, *NETWORK_CHANGES, *_LISTED, "kill", "launch", "term"))
"""The changes that this ground can play."""


class BareError(ValueError):
    """A day holds what this ground does not play; one line, for people."""


class _Play:
    def __init__(self, day: Day, balancer: Callable[[balancing.Settings, int], Balancer]) -> None:
        self.day = day
        self.event_log = EventLog()
        ways = self.ways = Ways(day)
        agenda = self.agenda = Agenda(ways, -BEFORE_MS)
        keys, works = KeyMemory(), WorkBook(day)
        zones = [one.zone for one in day.sidecars]
        self.complaints: list[str] = []
        self.nodes = [
            BareNode(agenda, self.event_log, day, drawn, keys, works, zones, ways.base_ms)
            for drawn in day.nodes
        ]
        self.listing = Listing(agenda, self.event_log, day, self._tell)
        self.tills = Tills(agenda, self.event_log, day, self._ask, self._leave)
        self.sidecars = [
            BareSidecar(
                agenda,
                self.event_log,
                day,
                drawn,
                self.nodes,
                self.complaints,
                self.tills.answered,
                self.tills.broke,
                balancer,
            )
            for drawn in day.sidecars
        ]

    def lives(self) -> list[tuple[str, Life]]:
        """Name and life of each sidecar that takes operations."""
        return [(f"s{number}", one.run) for number, one in enumerate(self.sidecars) if one.run is not None]

    def _tell(self, number: int, update: balancing.EndpointUpdate) -> None:
        self.sidecars[number].told(update)

    def _ask(self, one: Try, key: str) -> bool:
        return self.sidecars[one.wish.sidecar].take(one, key)

    def _leave(self, one: Try) -> None:
        self.sidecars[one.wish.sidecar].gone(one)

    def change(self, change: Change) -> None:
        if change.what in NODE_CHANGES:
            for node in self.nodes if change.target < 0 else (self.nodes[change.target],):
                node.change(change)
        if change.what in _LISTED:
            self.listing.change(change)
        elif change.what in NETWORK_CHANGES:
            self.ways.change(change)
        elif change.what in ("kill", "launch", "term"):
            one = self.sidecars[change.target]
            if change.what == "kill":
                one.kill()
            elif change.what == "launch":
                one.start(self.listing.began)
            else:
                one.term(self.listing.began)

    def run(self, progress: Callable[[float], None] | None) -> None:
        scenario, agenda = self.day.scenario, self.agenda
        for node in self.nodes:
            if node.drawn.born:
                node.rise(cold=False)
        for one in self.sidecars:
            one.start(self.listing.began)
        for change in self.day.changes:
            agenda.at(change.at, self.change, change)
        over = scenario.length_s * 1000
        latest = over + scenario.tail_s * 1000
        while agenda.now < latest and not (agenda.now >= over and self.tills.done):
            agenda.run(min(agenda.now + SLICE_MS, latest))
            stopping.look()
            if progress is not None:
                progress(min(1.0, max(0.0, agenda.now / over)))
        for one in self.sidecars:
            one.term()
        agenda.run(agenda.now + 12_000.0)


def play_day(
    day: Day,
    *,
    progress: Callable[[float], None] | None = None,
    balancer: Callable[[balancing.Settings, int], Balancer] = Balancer,
    warded: bool = False,
) -> Played:
    """Play a day; `balancer` makes the module's instances. BareError where it holds what can't be played.

    `warded`: a warden in each zone shares out what fresh nodes bear.
    """
    strange = sorted({change.what for change in day.changes} - PLAYED)
    if strange or day.scenario.discovery.asked:
        what = ", ".join(strange) or "a discovery that must be asked"
        raise BareError(f"bare ground does not play {what}; take virtual ground")
    began = time.perf_counter()
    play = _Play(day, balancer)
    if warded:
        Warded(play, play.sidecars[0].settings.rules, len(day.scenario.fleet.zones))
    write_faults(day, play.event_log)
    gc.collect()
    gc.freeze()
    thresholds = gc.get_threshold()
    gc.set_threshold(100_000, 50, 100)  # as on virtual ground: no garbage in circles that matters
    try:
        play.run(progress)
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()
    rows = sorted(play.event_log.rows, key=lambda row: row.at)
    return Played(day, "bare", rows, wall_s=time.perf_counter() - began, notes=play.complaints)
