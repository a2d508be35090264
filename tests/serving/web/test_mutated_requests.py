"""Whatever one connection sends, each response goes to its own request, and valid clients are served."""

from __future__ import annotations

import os

import pytest
from mutated_requests import Exchange, PairingError

from coveport import http1
from coveport.serving.web import server
from coveport.serving.web.messages import ApiResponse

EXCHANGES = int(os.environ.get("COVEPORT_MUTATED_CALLS", "4000"))


def play(exchanges: int) -> int:
    """Run exchanges; return how many requests got a response."""
    return sum(Exchange(seed).run() for seed in range(exchanges))


def test_mutated_request_never_gets_anothers_response_or_harms_a_valid_one() -> None:
    assert play(EXCHANGES) > EXCHANGES


def test_variant_that_responds_to_the_last_caller_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection forgets whose request it responds to."""
    original = server._Connection._write
    writers: list[server._Connection] = []

    def write(self: server._Connection, response: ApiResponse, keep_alive: bool) -> None:
        writers.append(self)
        original(writers[-2] if len(writers) > 1 else self, response, keep_alive)

    monkeypatch.setattr(server._Connection, "_write", write)
    with pytest.raises((PairingError, AssertionError)):
        play(200)


def test_variant_that_reads_a_body_as_the_next_request_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The length of a body is ignored: what follows the head is read as another request."""
    original = http1.RequestParser.next_request

    def next_request(self: http1.RequestParser) -> http1.Request | None:
        request = original(self)
        return None if request is not None and request.body else request

    monkeypatch.setattr(http1.RequestParser, "next_request", next_request)
    with pytest.raises(PairingError):
        play(200)
