"""Numbers in headers: a client or a node may write anything there."""

from __future__ import annotations

import pytest
from proxy_environment import ProxyEnvironment
from scripted_node import Arrival

from coveport.serving.proxy.headers import keep_alive_s
from coveport.serving.proxy.prompt_segments import parse_segments

# Digits to `str.isdigit`, yet not to `int`: superscripts, and more digits than `int` reads.
NO_NUMBERS = ["\xb2", "1\xb9", "9" * 400, "9" * 5000, "-1", "1.5", ""]
CASES = ["superscript", "digit and superscript", "400 digits", "5000 digits", "negative", "fraction", "empty"]


def respond(arrival: Arrival) -> None:
    arrival.respond()


@pytest.mark.parametrize("text", NO_NUMBERS, ids=CASES)
def test_a_time_left_that_is_no_number_does_not_end_the_connection(text: str) -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(respond)
    client = environment.connect_client()
    client.send_request("/u/x", ("Coveport-Time-Left", text))
    response = environment.run(client.response())
    assert response is not None and response.status == 200
    assert 4900 < int(node.arrivals[0].header("Coveport-Time-Left") or 0) <= 5000, "the route's"
    environment.check()


@pytest.mark.parametrize("text", NO_NUMBERS, ids=CASES)
def test_a_count_of_tokens_that_is_no_number_names_no_segments(text: str) -> None:
    assert parse_segments(f"5c:800,91:{text}") == ()


@pytest.mark.parametrize("text", NO_NUMBERS, ids=CASES)
def test_a_keep_alive_that_is_no_number_tells_no_time(text: str) -> None:
    assert keep_alive_s({"keep-alive": [f"timeout={text}"]}) is None
    assert keep_alive_s({"keep-alive": [f"timeout={text}, timeout=7"]}) == 7.0
