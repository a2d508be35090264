"""Calls to a store: time-outs, counts, and the detection of a store reset."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.store import Done, Outcome, Refused, Unknown
from coveport.sidecar.leases.store_calls import StoreCalls


class Recorder:
    """A `StoreCalls` with its reported events and resets."""

    def __init__(self, timeout_s: float = 1.0) -> None:
        self.events: list[str] = []
        self.resets: list[str] = []
        self.calls = StoreCalls(timeout_s, self._record, self.resets.append)

    def _record(self, event: str, **fields: object) -> None:
        self.events.append(event)

    def make(self, outcome: Outcome, known_revision: int = 0) -> Outcome:
        async def call() -> Outcome:
            return outcome

        return self.run(call(), known_revision)

    def run(self, call: Coroutine[Any, Any, Outcome], known_revision: int = 0) -> Outcome:
        return asyncio.run(self.calls.make("read", call, known_revision))


def test_outcomes_are_counted_by_kind() -> None:
    recorder = Recorder()
    recorder.make(Done("s", 1))
    recorder.make(Done("s", 2))
    recorder.make(Refused("s", 2))
    recorder.make(Unknown("lost"))
    assert recorder.calls.counts == {"read_done": 2, "read_refused": 1, "read_unknown": 1}
    assert recorder.events == ["store_call_unknown"] and recorder.resets == []


def test_call_that_times_out_is_unknown() -> None:
    async def never_answered() -> Outcome:
        await asyncio.sleep(5)
        return Done("s", 1)

    assert isinstance(Recorder(0.01).run(never_answered()), Unknown)


@pytest.mark.parametrize("answer", [Done("s", 4), Refused("s", 4), Done("other", 9)])
def test_lower_revision_or_another_identity_is_a_reset(answer: Done | Refused) -> None:
    recorder = Recorder()
    recorder.make(Done("s", 5))
    assert isinstance(recorder.make(answer), Unknown) and len(recorder.resets) == 1


def test_revision_below_that_of_the_watch_is_a_reset() -> None:
    recorder = Recorder()
    recorder.make(Done("s", 5))
    assert isinstance(recorder.make(Done("s", 6), known_revision=7), Unknown) and len(recorder.resets) == 1


def test_unusable_store_is_a_reset() -> None:
    async def unusable() -> Outcome:
        raise StoreError("not a store")

    recorder = Recorder()
    assert recorder.run(unusable()) == Unknown("not a store") and recorder.resets == ["not a store"]
