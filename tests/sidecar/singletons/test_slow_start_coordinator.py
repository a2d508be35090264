"""The warden of cold nodes: what all grants together come to, whoever holds it and whatever is late."""

from __future__ import annotations

import itertools
import random
from collections.abc import Mapping

import msgspec
import pytest

from coveport.sidecar.leases.store import Compare, Done, Entry, Field, Put, Transaction
from coveport.sidecar.singletons.singleton import Step
from coveport.sidecar.singletons.slow_start_client import CapacityClient, UsableGrant
from coveport.sidecar.singletons.slow_start_coordinator import GRANTED_SHARE, SlowStartCoordinator, apportion
from coveport.sidecar.singletons.slow_start_messages import (
    GRANT_LIFETIME_S,
    CapacityGrant,
    CapacityRequest,
    CoordinatorState,
    SafeLoad,
)
from coveport.testbed.standins.etcd.engine import Engine

SAFE = SafeLoad()
STATE = "state/warden@0"


class Place:
    """Two wardens that both believe, instances whose clocks differ, and a node that starts at 0."""

    def __init__(self, instances: int, seed: int = 1, drift: float = 0.02) -> None:
        self.engine, self.now, self.chance = Engine(), 0.0, random.Random(seed)
        self.wardens = [SlowStartCoordinator(0, f"w{one}", SAFE, drift) for one in range(2)]
        self.names = [f"s{one}" for one in range(instances)]
        self.rates = {name: (1 + drift) ** self.chance.uniform(-0.5, 0.5) for name in self.names}
        self.shift = {name: self.chance.uniform(0, 1e6) for name in self.names}
        self.parts = {name: CapacityClient(f"{name}#1") for name in self.names}
        self.read: dict[int, Entry | None] = {0: None, 1: None}
        self.held: dict[str, tuple[float, int]] = {}  # by instance: until when by its clock, and how many
        self.sent: list[float] = []
        for name in self.names:
            self.put(f"instance/{name}", b"")

    def clock(self, name: str) -> float:
        return float(self.now * self.rates[name] + self.shift[name])

    def put(self, key: str, value: bytes) -> None:
        self.engine.commit(self.now, Transaction((), (Put(key, value),)))

    def wish(self, name: str, rate: float = 500.0, service: float = 0.02) -> None:
        wish = self.parts[name].request(self.clock(name), rate, service, {"n": (0, self.now)})
        if wish is not None:
            self.put(f"need/{name}", wish)

    def decide(self, who: int, fresh_state: bool = True) -> bool:
        if fresh_state:
            self.read[who] = self.engine.entries.get(STATE)
        state = self.read[who]
        step = self.wardens[who].decide(self.now, state.value if state else None, self.engine.entries)
        if step is None:
            return False
        done = self.engine.commit(
            self.now,
            Transaction(
                (Compare(STATE, Field.MODIFIED, state.modified if state else 0),),
                (Put(STATE, step.state), *step.changes),
            ),
        )
        return isinstance(done, Done)

    def take(self, name: str) -> None:
        grant = self.parts[name].accept(self.clock(name), "0", self.engine.entries.get(f"grant/0/{name}"))
        if grant is not None:
            self.held[name] = grant.expires_at, grant.operations["n"]

    def send(self, name: str) -> bool:
        until, left = self.held.get(name, (0.0, 0))
        if left <= 0 or self.clock(name) >= until:
            return False
        self.held[name] = until, left - 1
        self.sent.append(self.now)
        return True

    def send_all(self, name: str) -> None:
        while self.send(name):
            pass

    def holds(self, service: float = 0.02) -> None:
        """No window sees more of grants than their part of what the node bears at its beginning."""
        for begin in self.sent:
            came = sum(begin <= at <= begin + SAFE.overload_window_s for at in self.sent)
            assert came <= GRANTED_SHARE * SAFE.operations(begin, service), (begin, came)


def test_what_a_node_bears_by_its_age() -> None:
    assert SAFE.operations(0.0, 0.02) == pytest.approx(4 * 0.36 * 2 / 0.02)
    assert SAFE.operations(8.6, 0.02) == SAFE.operations(100.0, 0.02) == pytest.approx(4 * 2 / 0.02)
    assert SAFE.operations(-5.0, 0.02) == SAFE.operations(0.0, 0.02)


@pytest.mark.parametrize("seed", range(80))
def test_whatever_is_late_lost_or_taken_over_the_node_is_not_flooded(seed: int) -> None:
    """States of any age, grants read late, all of them used in one burst at the worst time."""
    place = Place(5, seed)
    chance = place.chance
    for _ in range(600):
        place.now += chance.choice([0.0, 0.0, 0.01, 0.1, 0.3])
        kind, name = chance.random(), chance.choice(place.names)
        if kind < 0.3:
            place.wish(name)
        elif kind < 0.5:
            place.decide(chance.randrange(2), chance.random() < 0.7)
        elif kind < 0.75:
            place.take(name)
        elif kind < 0.95:
            place.send_all(name)
        else:
            place.wardens[chance.randrange(2)] = SlowStartCoordinator(0, f"w{chance.random()}", SAFE, 0.02)
    place.holds()
    assert place.sent or "state/warden@0" in place.engine.entries, "something was granted"


def test_what_a_predecessor_granted_comes_free_again() -> None:
    place = Place(5)
    for turn in range(120):
        if turn % 40 == 0:
            place.wardens[0] = SlowStartCoordinator(0, f"w{turn}", SAFE, 0.02)
        place.now += 0.25
        for name in place.names:
            place.wish(name)
        place.decide(0)
        for name in place.names:
            place.take(name)
            place.send_all(name)
    place.holds()
    assert max(later - before for before, later in itertools.pairwise(place.sent)) < 5.0 + 4.1


ORDER = ("wish", "decide0", "decide1", "take", "burst", "late", "newcomer")


@pytest.mark.parametrize("first", ORDER[:3])
def test_all_orders_of_a_small_world(first: str) -> None:
    """Every order of six of these, one instance, two wardens."""
    for rest in itertools.product(ORDER, repeat=5):
        place = Place(1)
        for what in (first, *rest, "take", "burst"):
            if what == "wish":
                place.wish("s0")
            elif what.startswith("decide"):
                place.decide(int(what[-1]))
            elif what == "take":
                place.take("s0")
            elif what == "burst":
                place.send_all("s0")
            elif what == "late":
                place.now += 1.1
            else:
                place.wardens[0] = SlowStartCoordinator(0, "w9", SAFE, 0.02)
        place.holds()


class Forgetful(SlowStartCoordinator):
    """A successor that takes nothing for used."""

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        if state:
            stored = msgspec.json.decode(state, type=CoordinatorState)
            if stored.written_by != self._incarnation:
                state = msgspec.json.encode(CoordinatorState(self._incarnation, stored.step))
        return super().decide(now, state, entries)


def test_the_check_sees_grants_that_were_forgotten() -> None:
    broken = 0
    for seed in range(20):
        place = Place(5, seed)
        for turn in range(40):
            place.wardens = [Forgetful(0, f"w{turn}", SAFE, 0.02)] * 2
            for name in place.names:
                place.wish(name)
            place.decide(0)
            for name in place.names:
                place.take(name)
                place.send_all(name)
            place.now += 0.6
        try:
            place.holds()
        except AssertionError:
            broken += 1
    assert broken == 20


def test_a_grant_is_used_once_by_whom_it_was_meant_for_and_in_time() -> None:
    part = CapacityClient("s0#2")
    grant = Entry("g", msgspec.json.encode(CapacityGrant("s0#2", 10.0, 3, {"n": 4})), 1, 1)
    assert part.accept(10.5, "0", grant) == UsableGrant(10.0 + GRANT_LIFETIME_S, {"n": 4})
    assert part.accept(10.6, "0", grant) is None, "taken"
    later = CapacityGrant("s0#2", 10.0, 4, {"n": 4})
    assert part.accept(12.0, "0", Entry("g", msgspec.json.encode(later), 1, 2)) is None, "too late"
    other = CapacityGrant("s0#1", 20.0, 9, {"n": 4})
    assert part.accept(20.1, "0", Entry("g", msgspec.json.encode(other), 1, 3)) is None, "of another life"
    assert part.accept(20.1, "0", Entry("g", b"?", 1, 4)) is None and part.accept(20.1, "0", None) is None


@pytest.mark.parametrize("seed", range(30))
def test_shares_are_whole_and_by_demand(seed: int) -> None:
    chance = random.Random(seed)
    wishes = {f"s{one}": chance.choice([0.1, 1.0, 30.0]) for one in range(chance.randint(1, 300))}
    most = chance.randint(0, 200)
    found = apportion(most, wishes, "x")
    assert sum(found.values()) == (most if most else 0) and all(count >= 1 for count in found.values())
    for name, count in found.items():
        assert abs(count - most * wishes[name] / sum(wishes.values())) < 1


def test_one_share_of_two_hundred_does_not_always_fall_to_the_same() -> None:
    wishes = {f"s{one}": 1.0 for one in range(200)}
    assert len({next(iter(apportion(1, wishes, f"n {step}"))) for step in range(50)}) > 30


def test_a_node_of_another_zone_and_one_that_is_not_there_are_left_alone() -> None:
    place = Place(1)
    place.put("need/s0", msgspec.json.encode(CapacityRequest("s0#1", 1.0, 100.0, 0.02, {"m": (1, 0.0)})))
    place.put("need/s7", msgspec.json.encode(CapacityRequest("s7#1", 1.0, 100.0, 0.02, {"n": (0, 0.0)})))
    assert place.decide(0) is False
