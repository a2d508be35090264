"""The priority that nodes are told: in time before late, short before long."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from proxy_environment import ProxyEnvironment
from scripted_node import Arrival

from coveport.serving.proxy.request_priority import (
    LONG_PROMPT_TOKENS,
    MEDIUM_PROMPT_TOKENS,
    SHORT_PROMPT_TOKENS,
    request_priority,
)


def test_short_prompts_go_before_long_ones() -> None:
    sizes = (0, SHORT_PROMPT_TOKENS, MEDIUM_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
    assert [request_priority(size, 0.5) for size in sizes] == [2, 3, 4, 5]


@given(st.integers(0, 10**6), st.integers(0, 10**6), st.floats(0.001, 60), st.floats(-60, 0))
def test_what_can_be_in_time_goes_before_what_is_late(
    one: int, other: int, spare: float, late: float
) -> None:
    assert 0 <= request_priority(one, spare) < request_priority(other, late) <= 9


def told(environment: ProxyEnvironment, node_arrivals: list[Arrival], *headers: tuple[str, str]) -> str:
    client = environment.client()
    client.ask("/a/x", *headers)
    assert environment.run(client.answer()) is not None
    return node_arrivals[-1].header("Priority") or ""


def test_a_node_is_told_by_what_it_has_to_read_and_by_the_time_that_was_spent() -> None:
    environment = ProxyEnvironment()
    arrivals: list[Arrival] = []

    def answer(arrival: Arrival) -> None:
        arrivals.append(arrival)
        arrival.whole()

    environment.node(answer)
    long = ("Coveport-Prompt-Prefix", "aa:8000,bb:100")
    assert told(environment, arrivals, long) == "4"
    assert told(environment, arrivals, long) == "2", "the node keeps what it has read"
    assert told(environment, arrivals, long, ("Coveport-Time-Left", "4000")) == "7", (
        "its objective has passed"
    )
    assert told(environment, arrivals, ("Priority", "0")) == "", "a client sets none"
    environment.check()
