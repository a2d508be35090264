"""Request priorities: requests in time go before late ones, short prompts before long ones."""

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
def test_request_that_can_be_in_time_goes_before_a_late_one(
    timely_tokens: int, late_tokens: int, slack_s: float, late_s: float
) -> None:
    assert 0 <= request_priority(timely_tokens, slack_s) < request_priority(late_tokens, late_s) <= 9


def forwarded_priority(
    environment: ProxyEnvironment, node_arrivals: list[Arrival], *headers: tuple[str, str]
) -> str:
    client = environment.connect_client()
    client.send_request("/a/x", *headers)
    assert environment.run(client.response()) is not None
    return node_arrivals[-1].header("Priority") or ""


def test_priority_depends_on_uncached_tokens_and_time_spent() -> None:
    environment = ProxyEnvironment()
    arrivals: list[Arrival] = []

    def respond(arrival: Arrival) -> None:
        arrivals.append(arrival)
        arrival.respond()

    environment.add_node(respond)
    long_prompt = ("Coveport-Prompt-Prefix", "aa:8000,bb:100")
    assert forwarded_priority(environment, arrivals, long_prompt) == "4"
    assert forwarded_priority(environment, arrivals, long_prompt) == "2", "the prefix is cached on the node"
    assert forwarded_priority(environment, arrivals, long_prompt, ("Coveport-Time-Left", "4000")) == "7", (
        "its latency target has passed"
    )
    assert forwarded_priority(environment, arrivals, ("Priority", "0")) == "", (
        "a client can't set the priority"
    )
    environment.check()
