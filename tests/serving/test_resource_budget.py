"""The budget of memory and connections: what it grants, and which connections give way to others."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.resource_budget import (
    CONNECTION_BYTES,
    DISPLACEMENT_RATIO,
    LARGE_RATIO,
    MIN_DESCRIPTORS,
    MIN_LARGEST_BODY_BYTES,
    MIN_MEMORY_MB,
    SLOW_S,
    SMALL_BYTES,
    STALL_S,
    Capacity,
    Reservation,
    ResourceBudget,
    Shortage,
    capacity_of,
)

LARGE_BYTES = 1024 * 1024


@dataclass
class Client:
    """A connection that records how it gave way."""

    sheds: list[Shortage] = field(default_factory=list)
    reservation: Reservation | None = None
    is_serving: bool = False

    def held(self) -> Reservation:
        assert self.reservation is not None
        return self.reservation


@dataclass
class Environment:
    """A budget, its clock, and its connections."""

    capacity: Capacity
    now_s: float = 0.0
    clients: list[Client] = field(default_factory=list)
    budget: ResourceBudget = field(init=False)

    def __post_init__(self) -> None:
        self.budget = ResourceBudget(self.capacity, lambda: self.now_s)

    def open(self) -> Client:
        client = Client()
        client.reservation = self.budget.open(client.sheds.append)
        self.clients.append(client)
        return client

    def check(self) -> None:
        held = [client.reservation for client in self.clients if client.reservation is not None]
        live = [reservation for reservation in held if not reservation.is_closed]
        used = sum(reservation.held_bytes + CONNECTION_BYTES for reservation in live)
        assert self.budget.used_bytes == used <= self.capacity.memory_bytes
        assert self.budget.open_connections == len(live) <= self.capacity.connections


def with_room_for(large: float, connections: int = 100) -> Environment:
    """Return an environment that can hold so many large requests."""
    return Environment(
        Capacity((large * LARGE_BYTES + connections * CONNECTION_BYTES) / LARGE_RATIO, connections)
    )


def test_requests_of_the_same_size_do_not_displace_each_other() -> None:
    environment = with_room_for(2, connections=3)
    first, second, third = (environment.open() for _ in range(3))
    assert first.held().transfer(LARGE_BYTES)
    assert second.held().transfer(LARGE_BYTES)
    assert not third.held().transfer(LARGE_BYTES)
    assert first.sheds == second.sheds == third.sheds == []
    environment.check()


def test_a_stalled_request_gives_way() -> None:
    environment = with_room_for(2, connections=3)
    first, second, third = (environment.open() for _ in range(3))
    assert first.held().transfer(LARGE_BYTES)
    environment.now_s = STALL_S / 2
    assert second.held().transfer(LARGE_BYTES)
    environment.now_s = STALL_S
    assert third.held().transfer(LARGE_BYTES)
    assert (first.sheds, second.sheds) == ([Shortage.MEMORY], [])
    environment.check()


def test_progress_keeps_a_request() -> None:
    environment = with_room_for(1, connections=2)
    first, second = environment.open(), environment.open()
    assert first.held().transfer(LARGE_BYTES)
    environment.now_s = STALL_S
    assert first.held().transfer(LARGE_BYTES)
    assert not second.held().transfer(LARGE_BYTES)


def test_progress_by_single_bytes_does_not_keep_a_request() -> None:
    environment = with_room_for(1, connections=2)
    trickling, other = environment.open(), environment.open()
    while environment.now_s < SLOW_S:
        assert trickling.held().transfer(LARGE_BYTES)
        environment.now_s += STALL_S / 2
    assert trickling.held().transfer(LARGE_BYTES)
    assert other.held().transfer(LARGE_BYTES)
    assert trickling.sheds == [Shortage.MEMORY]
    environment.check()


def test_the_largest_gives_way_to_a_far_smaller_one() -> None:
    environment = Environment(Capacity(2 * LARGE_BYTES, 10))
    large = environment.open()
    assert large.held().transfer(int(LARGE_RATIO * 2 * LARGE_BYTES) - CONNECTION_BYTES)
    small = [environment.open() for _ in range(9)]
    granted = [client.held().transfer(SMALL_BYTES) for client in small]
    assert all(granted)
    assert large.sheds == [Shortage.MEMORY]
    environment.check()


@pytest.mark.parametrize("needed_bytes", [LARGE_BYTES // DISPLACEMENT_RATIO, LARGE_BYTES])
def test_only_a_far_larger_one_gives_way(needed_bytes: int) -> None:
    environment = with_room_for(1, connections=2)
    first, second = environment.open(), environment.open()
    assert first.held().transfer(LARGE_BYTES)
    assert second.held().transfer(needed_bytes) is (needed_bytes < LARGE_BYTES)


def test_served_requests_are_kept_and_leave_room_for_small_ones() -> None:
    environment = with_room_for(1, connections=5)
    served = environment.open()
    assert served.held().serve(LARGE_BYTES)
    environment.now_s = 2 * STALL_S
    assert not environment.open().held().transfer(LARGE_BYTES)
    assert environment.open().held().transfer(SMALL_BYTES)
    assert served.sheds == []
    environment.check()


def test_an_idle_connection_gives_way_to_a_new_one() -> None:
    environment = with_room_for(1, connections=2)
    first, second = environment.open(), environment.open()
    environment.now_s = 1.0
    first.held().wait()
    assert environment.open().reservation is not None
    assert (first.sheds, second.sheds) == ([], [Shortage.CONNECTIONS])
    environment.check()


def test_a_stalled_request_gives_way_to_a_new_connection_before_an_idle_one() -> None:
    environment = with_room_for(1, connections=2)
    idle, stalled = environment.open(), environment.open()
    assert stalled.held().transfer(1)
    environment.now_s = STALL_S
    assert environment.open().reservation is not None
    assert (idle.sheds, stalled.sheds) == ([], [Shortage.CONNECTIONS])


def test_no_connection_is_opened_while_all_are_served() -> None:
    environment = with_room_for(1, connections=2)
    for _ in range(2):
        assert environment.open().held().serve(1)
    assert environment.open().reservation is None
    environment.check()


def test_a_closed_reservation_grants_nothing_and_returns_its_bytes_once() -> None:
    environment = with_room_for(1)
    client = environment.open()
    assert client.held().transfer(LARGE_BYTES)
    client.held().close()
    client.held().close()
    client.held().wait()
    assert not client.held().transfer(1)
    assert not client.held().serve(1)
    assert environment.budget.used_bytes == environment.budget.open_connections == 0


def test_the_least_limits_hold_one_largest_body() -> None:
    capacity = capacity_of(MIN_MEMORY_MB, MIN_DESCRIPTORS)
    client = Environment(capacity).open()
    assert client.held().transfer(MIN_LARGEST_BODY_BYTES - CONNECTION_BYTES)


def test_memory_without_a_limit_holds_everything() -> None:
    assert Environment(capacity_of(0.0, MIN_DESCRIPTORS)).open().held().transfer(1 << 50)


def step(environment: Environment, client: Client, name: str, held_bytes: int) -> None:
    """Take one step of a connection."""
    if name == "open":
        environment.open()
    elif name == "transfer":
        client.held().transfer(held_bytes)
    elif name == "serve":
        client.is_serving = client.held().serve(held_bytes) or client.is_serving
        return
    elif name == "wait":
        client.held().wait()
    else:
        client.held().close()
    client.is_serving = client.is_serving and name == "open"


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["open", "transfer", "serve", "wait", "close"]),
            st.integers(0, 9),
            st.integers(0, 2 * LARGE_BYTES),
            st.floats(0, STALL_S),
        ),
        max_size=60,
    )
)
def test_any_steps_stay_within_the_capacity_and_keep_served_requests(
    steps: list[tuple[str, int, int, float]],
) -> None:
    environment = with_room_for(3, connections=6)
    environment.open()
    for name, number, held_bytes, pause_s in steps:
        granted = [client for client in environment.clients if client.reservation is not None]
        served = [(client, len(client.sheds)) for client in granted if client.is_serving]
        step(environment, granted[number % len(granted)], name, held_bytes)
        assert all(len(client.sheds) == sheds for client, sheds in served)
        environment.now_s += pause_s
        environment.check()
