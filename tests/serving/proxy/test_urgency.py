"""The priority that nodes are told: in time before late, short before long."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from proxy_ground import Ground
from scripted_node import Arrival

from coveport.serving.proxy.urgency import LONG_TOKENS, MEDIUM_TOKENS, SHORT_TOKENS, priority


def test_short_prompts_go_before_long_ones() -> None:
    sizes = (0, SHORT_TOKENS, MEDIUM_TOKENS, LONG_TOKENS)
    assert [priority(size, 0.5) for size in sizes] == [2, 3, 4, 5]


@given(st.integers(0, 10**6), st.integers(0, 10**6), st.floats(0.001, 60), st.floats(-60, 0))
def test_what_can_be_in_time_goes_before_what_is_late(
    one: int, other: int, spare: float, late: float
) -> None:
    assert 0 <= priority(one, spare) < priority(other, late) <= 9


def told(ground: Ground, node_arrivals: list[Arrival], *headers: tuple[str, str]) -> str:
    client = ground.client()
    client.ask("/a/x", *headers)
    assert ground.run(client.answer()) is not None
    return node_arrivals[-1].header("Priority") or ""


def test_a_node_is_told_by_what_it_has_to_read_and_by_the_time_that_was_spent() -> None:
    ground = Ground()
    arrivals: list[Arrival] = []

    def answer(arrival: Arrival) -> None:
        arrivals.append(arrival)
        arrival.whole()

    ground.node(answer)
    long = ("Coveport-Prompt-Prefix", "aa:8000,bb:100")
    assert told(ground, arrivals, long) == "4"
    assert told(ground, arrivals, long) == "2", "the node keeps what it has read"
    assert told(ground, arrivals, long, ("Coveport-Time-Left", "4000")) == "7", "its objective has passed"
    assert told(ground, arrivals, ("Priority", "0")) == "", "a client sets none"
    ground.check()
