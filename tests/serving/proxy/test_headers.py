"""Numbers in headers: clients and nodes may send any text in their place."""

from __future__ import annotations

import pytest
from proxy_environment import ProxyEnvironment
from scripted_node import Arrival

from coveport.serving.proxy.headers import keep_alive_s
from coveport.serving.proxy.prompt_segments import parse_segments

# Some of these pass `str.isdigit`, yet not `int`: superscripts, and more digits than `int` accepts.
INVALID_NUMBERS = ["\xb2", "1\xb9", "9" * 400, "9" * 5000, "-1", "1.5", ""]
INVALID_NUMBER_IDS = [
    "superscript",
    "digit and superscript",
    "400 digits",
    "5000 digits",
    "negative",
    "fraction",
    "empty",
]


def respond(arrival: Arrival) -> None:
    arrival.respond()


@pytest.mark.parametrize("text", INVALID_NUMBERS, ids=INVALID_NUMBER_IDS)
def test_invalid_time_left_is_replaced_by_the_time_out_of_the_route(text: str) -> None:
    environment = ProxyEnvironment()
    node = environment.add_node(respond)
    client = environment.connect_client()
    client.send_request("/u/x", ("Coveport-Time-Left", text))
    response = environment.run(client.response())
    assert response is not None and response.status == 200
    assert 4900 < int(node.arrivals[0].header("Coveport-Time-Left") or 0) <= 5000, "the time-out of the route"
    environment.check()


@pytest.mark.parametrize("text", INVALID_NUMBERS, ids=INVALID_NUMBER_IDS)
def test_invalid_token_count_yields_no_segments(text: str) -> None:
    assert parse_segments(f"5c:800,91:{text}") == ()


@pytest.mark.parametrize("text", INVALID_NUMBERS, ids=INVALID_NUMBER_IDS)
def test_invalid_keep_alive_time_out_is_ignored(text: str) -> None:
    assert keep_alive_s({"keep-alive": [f"timeout={text}"]}) is None
    assert keep_alive_s({"keep-alive": [f"timeout={text}, timeout=7"]}) == 7.0
