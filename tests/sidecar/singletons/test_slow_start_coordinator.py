"""Slow-start coordinator: the total of all grants under takeovers, delays and clock drift."""

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


class Zone:
    """Two concurrent coordinators of one zone, instances whose clocks differ, and one node.

    The node starts at 0 s.
    """

    def __init__(self, instances: int, seed: int = 1, drift: float = 0.02) -> None:
        self.engine, self.now, self.rng = Engine(), 0.0, random.Random(seed)
        self.coordinators = [SlowStartCoordinator(0, f"w{number}", SAFE, drift) for number in range(2)]
        self.names = [f"s{number}" for number in range(instances)]
        self.rates = {name: (1 + drift) ** self.rng.uniform(-0.5, 0.5) for name in self.names}
        self.offsets_s = {name: self.rng.uniform(0, 1e6) for name in self.names}
        self.clients = {name: CapacityClient(f"{name}#1") for name in self.names}
        self.last_read_state: dict[int, Entry | None] = {0: None, 1: None}
        self.usable: dict[
            str, tuple[float, int]
        ] = {}  # by instance: expiry by its clock, and operations left
        self.sent: list[float] = []
        for name in self.names:
            self.put(f"instance/{name}", b"")

    def clock(self, name: str) -> float:
        return float(self.now * self.rates[name] + self.offsets_s[name])

    def put(self, key: str, value: bytes) -> None:
        self.engine.commit(self.now, Transaction((), (Put(key, value),)))

    def request(self, name: str, rate: float = 500.0, service: float = 0.02) -> None:
        request = self.clients[name].request(self.clock(name), rate, service, {"n": (0, self.now)})
        if request is not None:
            self.put(f"need/{name}", request)

    def decide(self, number: int, fresh_state: bool = True) -> bool:
        if fresh_state:
            self.last_read_state[number] = self.engine.entries.get(STATE)
        state = self.last_read_state[number]
        step = self.coordinators[number].decide(self.now, state.value if state else None, self.engine.entries)
        if step is None:
            return False
        outcome = self.engine.commit(
            self.now,
            Transaction(
                (Compare(STATE, Field.MODIFIED, state.modified if state else 0),),
                (Put(STATE, step.state), *step.changes),
            ),
        )
        return isinstance(outcome, Done)

    def accept(self, name: str) -> None:
        grant = self.clients[name].accept(self.clock(name), "0", self.engine.entries.get(f"grant/0/{name}"))
        if grant is not None:
            self.usable[name] = grant.expires_at, grant.operations["n"]

    def send(self, name: str) -> bool:
        expires_at, operations = self.usable.get(name, (0.0, 0))
        if operations <= 0 or self.clock(name) >= expires_at:
            return False
        self.usable[name] = expires_at, operations - 1
        self.sent.append(self.now)
        return True

    def send_all(self, name: str) -> None:
        while self.send(name):
            pass

    def check_load(self, service: float = 0.02) -> None:
        """Check that granted operations in each window stay below a share of the safe load at its start."""
        for begin in self.sent:
            arrived = sum(begin <= at <= begin + SAFE.overload_window_s for at in self.sent)
            assert arrived <= GRANTED_SHARE * SAFE.operations(begin, service), (begin, arrived)


def test_safe_load_grows_with_age() -> None:
    assert SAFE.operations(0.0, 0.02) == pytest.approx(4 * 0.36 * 2 / 0.02)
    assert SAFE.operations(8.6, 0.02) == SAFE.operations(100.0, 0.02) == pytest.approx(4 * 2 / 0.02)
    assert SAFE.operations(-5.0, 0.02) == SAFE.operations(0.0, 0.02)


@pytest.mark.parametrize("seed", range(80))
def test_node_is_not_overloaded_under_delays_losses_and_takeovers(seed: int) -> None:
    """Coordinators decide on outdated states; grants are read late and used in one burst."""
    zone = Zone(5, seed)
    rng = zone.rng
    for _ in range(600):
        zone.now += rng.choice([0.0, 0.0, 0.01, 0.1, 0.3])
        kind, name = rng.random(), rng.choice(zone.names)
        if kind < 0.3:
            zone.request(name)
        elif kind < 0.5:
            zone.decide(rng.randrange(2), rng.random() < 0.7)
        elif kind < 0.75:
            zone.accept(name)
        elif kind < 0.95:
            zone.send_all(name)
        else:
            zone.coordinators[rng.randrange(2)] = SlowStartCoordinator(0, f"w{rng.random()}", SAFE, 0.02)
    zone.check_load()
    assert zone.sent or "state/warden@0" in zone.engine.entries, "some operations were granted"


def test_capacity_granted_by_a_predecessor_becomes_available_again() -> None:
    zone = Zone(5)
    for turn in range(120):
        if turn % 40 == 0:
            zone.coordinators[0] = SlowStartCoordinator(0, f"w{turn}", SAFE, 0.02)
        zone.now += 0.25
        for name in zone.names:
            zone.request(name)
        zone.decide(0)
        for name in zone.names:
            zone.accept(name)
            zone.send_all(name)
    zone.check_load()
    assert max(later - before for before, later in itertools.pairwise(zone.sent)) < 5.0 + 4.1


EVENTS = ("request", "decide0", "decide1", "accept", "burst", "late", "new process")


@pytest.mark.parametrize("first", EVENTS[:3])
def test_node_is_not_overloaded_in_any_order_of_few_events(first: str) -> None:
    """Every sequence of six events, with one instance and two coordinators."""
    for rest in itertools.product(EVENTS, repeat=5):
        zone = Zone(1)
        for event in (first, *rest, "accept", "burst"):
            if event == "request":
                zone.request("s0")
            elif event.startswith("decide"):
                zone.decide(int(event[-1]))
            elif event == "accept":
                zone.accept("s0")
            elif event == "burst":
                zone.send_all("s0")
            elif event == "late":
                zone.now += 1.1
            else:
                zone.coordinators[0] = SlowStartCoordinator(0, "w9", SAFE, 0.02)
        zone.check_load()


class ForgetfulCoordinator(SlowStartCoordinator):
    """A faulty successor that ignores its predecessor's grants."""

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        if state:
            stored = msgspec.json.decode(state, type=CoordinatorState)
            if stored.written_by != self._incarnation:
                state = msgspec.json.encode(CoordinatorState(self._incarnation, stored.step))
        return super().decide(now, state, entries)


def test_check_detects_a_coordinator_that_forgets_grants() -> None:
    failed_checks = 0
    for seed in range(20):
        zone = Zone(5, seed)
        for turn in range(40):
            zone.coordinators = [ForgetfulCoordinator(0, f"w{turn}", SAFE, 0.02)] * 2
            for name in zone.names:
                zone.request(name)
            zone.decide(0)
            for name in zone.names:
                zone.accept(name)
                zone.send_all(name)
            zone.now += 0.6
        try:
            zone.check_load()
        except AssertionError:
            failed_checks += 1
    assert failed_checks == 20


def test_grant_is_accepted_once_by_its_requester_in_time() -> None:
    client = CapacityClient("s0#2")
    grant = Entry("g", msgspec.json.encode(CapacityGrant("s0#2", 10.0, 3, {"n": 4})), 1, 1)
    assert client.accept(10.5, "0", grant) == UsableGrant(10.0 + GRANT_LIFETIME_S, {"n": 4})
    assert client.accept(10.6, "0", grant) is None, "the grant was accepted before"
    late = CapacityGrant("s0#2", 10.0, 4, {"n": 4})
    assert client.accept(12.0, "0", Entry("g", msgspec.json.encode(late), 1, 2)) is None, (
        "the grant has expired"
    )
    foreign = CapacityGrant("s0#1", 20.0, 9, {"n": 4})
    assert client.accept(20.1, "0", Entry("g", msgspec.json.encode(foreign), 1, 3)) is None, (
        "a grant for another process"
    )
    assert client.accept(20.1, "0", Entry("g", b"?", 1, 4)) is None and client.accept(20.1, "0", None) is None


@pytest.mark.parametrize("seed", range(30))
def test_shares_are_whole_and_by_weight(seed: int) -> None:
    rng = random.Random(seed)
    weights = {f"s{number}": rng.choice([0.1, 1.0, 30.0]) for number in range(rng.randint(1, 300))}
    total = rng.randint(0, 200)
    shares = apportion(total, weights, "x")
    assert sum(shares.values()) == (total if total else 0) and all(count >= 1 for count in shares.values())
    for name, count in shares.items():
        assert abs(count - total * weights[name] / sum(weights.values())) < 1


def test_single_share_is_not_always_assigned_to_the_same_instance() -> None:
    weights = {f"s{number}": 1.0 for number in range(200)}
    assert len({next(iter(apportion(1, weights, f"n {step}"))) for step in range(50)}) > 30


def test_node_of_another_zone_and_absent_instance_are_ignored() -> None:
    zone = Zone(1)
    zone.put("need/s0", msgspec.json.encode(CapacityRequest("s0#1", 1.0, 100.0, 0.02, {"m": (1, 0.0)})))
    zone.put("need/s7", msgspec.json.encode(CapacityRequest("s7#1", 1.0, 100.0, 0.02, {"n": (0, 0.0)})))
    assert zone.decide(0) is False
