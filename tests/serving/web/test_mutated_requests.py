"""Each response belongs to its own request, and valid clients are served, beside mutated requests."""

from __future__ import annotations

import os

import pytest
from mutated_requests import Exchange, PairingError

from coveport import http1
from coveport.serving.web import server
from coveport.serving.web.messages import ApiResponse

EXCHANGES = int(os.environ.get("COVEPORT_MUTATED_CALLS", "4000"))


def count_responses(exchanges: int) -> int:
    """Run exchanges, and return the number of responses."""
    return sum(Exchange(seed).run() for seed in range(exchanges))


def test_mutated_requests_never_receive_others_responses_or_disturb_valid_ones() -> None:
    assert count_responses(EXCHANGES) > EXCHANGES


def test_variant_that_responds_on_the_previous_connection_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The variant writes each response to the connection of the response before it."""
    original = server._Connection._write
    writers: list[server._Connection] = []

    def write(self: server._Connection, response: ApiResponse, keep_alive: bool) -> None:
        writers.append(self)
        original(writers[-2] if len(writers) > 1 else self, response, keep_alive)

    monkeypatch.setattr(server._Connection, "_write", write)
    with pytest.raises((PairingError, AssertionError)):
        count_responses(200)


def test_variant_that_drops_requests_with_a_body_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The variant ignores requests that have a body, so that valid clients miss responses."""
    original = http1.RequestParser.next_request

    def next_request(self: http1.RequestParser) -> http1.Request | None:
        request = original(self)
        return None if request is not None and request.body else request

    monkeypatch.setattr(http1.RequestParser, "next_request", next_request)
    with pytest.raises(PairingError):
        count_responses(200)
