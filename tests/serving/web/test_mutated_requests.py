"""Whatever comes on one connection, each answer goes to its own call, and sound callers are served."""

from __future__ import annotations

import os

import pytest
from mutated_requests import Exchange, PairingError

from coveport.http1 import codec
from coveport.serving.web import server
from coveport.serving.web.messages import ApiResponse

EXCHANGES = int(os.environ.get("COVEPORT_MUTATED_CALLS", "4000"))


def play(exchanges: int) -> int:
    """Play exchanges; how many calls were answered."""
    return sum(Exchange(seed).run() for seed in range(exchanges))


def test_no_mutated_call_gets_anothers_answer_or_harms_a_sound_one() -> None:
    assert play(EXCHANGES) > EXCHANGES


def test_answers_to_whoever_called_last_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The variant in which a connection forgets whose call it answers."""
    original = server._Connection._write
    last: list[server._Connection] = []

    def write(self: server._Connection, response: ApiResponse, keep_alive: bool) -> None:
        last.append(self)
        original(last[-2] if len(last) > 1 else self, response, keep_alive)

    monkeypatch.setattr(server._Connection, "_write", write)
    with pytest.raises((PairingError, AssertionError)):
        play(200)


def test_a_body_that_is_read_as_the_next_call_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The variant that takes a body's length for nothing: what is behind the head is another call."""
    original = codec.RequestParser.next_request

    def next_request(self: codec.RequestParser) -> codec.Request | None:
        request = original(self)
        return None if request is not None and request.body else request

    monkeypatch.setattr(codec.RequestParser, "next_request", next_request)
    with pytest.raises(PairingError):
        play(200)
