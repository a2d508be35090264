"""Slow start in the discrete-event simulator: its pure halves, and a store that is a dictionary and a delay.

The store, its faults and who holds the duty are other trials' matter; here one warden a zone holds it all
the day, and what is looked at is what its grants come to at the nodes.
"""

from __future__ import annotations

from typing import Protocol

from coveport import balancing
from coveport.sidecar.leases.store import Entry, Put
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.reducer import Reducer
from coveport.sidecar.singletons.slow_start_client import CapacityClient
from coveport.sidecar.singletons.slow_start_coordinator import SlowStartCoordinator
from coveport.sidecar.singletons.slow_start_messages import GRANT_PREFIX, REQUEST_PREFIX, SafeLoad
from coveport.testbed.discrete_event.scheduler import Agenda

LOOK_MS = 250.0  # how often instances wish, and the warden answers
STORE_MS = 10.0  # a write, or news of one


class Life(Protocol):
    """One life of a sidecar, as bare ground runs it."""

    reducer: Reducer
    came: int

    def feed(self, item: core.Input) -> None:
        """Tell the reducer."""


class Fleet(Protocol):
    """Whoever can say which sidecars run now."""

    agenda: Agenda

    def lives(self) -> list[tuple[str, Life]]:
        """Name and life of each."""


class Warded:
    """Wishes, grants and the store between them."""

    def __init__(self, fleet: Fleet, rules: balancing.Rules, zones: int, drift: float = 0.02) -> None:
        self._fleet = fleet
        self._agenda = fleet.agenda
        safe = SafeLoad(
            rules.cold_from, rules.warm_after_ms / 1000, rules.overload_factor, rules.fall_ms / 1000
        )
        self._wardens = [SlowStartCoordinator(zone, "warden#1", safe, drift) for zone in range(zones)]
        self._states: dict[str, bytes] = {}
        self._entries: dict[str, Entry] = {}
        self._parts: dict[
            int, tuple[CapacityClient, int]
        ] = {}  # by life: its half, and how many had come to it
        self._revision = 1
        self.granted = 0
        self._agenda.at(self._agenda.now, self._look)

    def _put(self, key: str, value: bytes) -> None:
        self._revision += 1
        self._entries[key] = Entry(key, value, self._revision, self._revision)

    def _look(self) -> None:
        now = self._agenda.now / 1000
        lives = self._fleet.lives()
        self._entries = {key: one for key, one in self._entries.items() if not key.startswith("instance/")}
        for name, life in lives:
            self._put(f"instance/{name}", b"")
            part, had = self._parts.setdefault(id(life), (CapacityClient(f"{name}#{id(life)}"), life.came))
            rate = (life.came - had) * 1000 / LOOK_MS
            self._parts[id(life)] = part, life.came
            fresh = {
                f"n{number}": (zone, age / 1000)
                for number, (zone, age) in life.reducer.in_slow_start().items()
            }
            wish = part.request(now, max(rate, 0.5), life.reducer.service_ms / 1000, fresh)
            if wish is not None:
                self._agenda.at(self._agenda.now + STORE_MS, self._put, REQUEST_PREFIX + name, wish)
        for warden in self._wardens:
            step = warden.decide(now, self._states.get(warden.name), self._entries)
            if step is not None:
                self._states[warden.name] = step.state
                for one in step.changes:
                    assert isinstance(one, Put)
                    self._put(one.key, one.value)
                    self._agenda.at(self._agenda.now + STORE_MS, self._news, one.key)
        self._agenda.at(self._agenda.now + LOOK_MS, self._look)

    def _news(self, key: str) -> None:
        zone, _, name = key[len(GRANT_PREFIX) :].partition("/")
        now = self._agenda.now / 1000
        for who, life in self._fleet.lives():
            if who == name and id(life) in self._parts:
                grant = self._parts[id(life)][0].accept(now, zone, self._entries.get(key))
                if grant is not None:
                    lasts_ms = (grant.expires_at - now) * 1000
                    for node, count in grant.operations.items():
                        self.granted += count
                        life.feed(core.SlowStartGranted(int(node[1:]), count, lasts_ms))
