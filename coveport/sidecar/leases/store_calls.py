"""Calls to a store, with time-outs, counters, and detection of a store that was reset."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.store import Done, Outcome, Refused, Unknown


class History(Protocol):
    """Recorder of an instance's lease events with their fields, for the log and for checkers."""

    def __call__(self, event: str, **fields: object) -> None:
        """Record an event."""


class StoreCalls:
    """The calls of one instance. `on_reset` is called with a reason when the store was reset.

    A store that was wiped, restored or replaced has another identity, or a lower revision than the revision
    known when the call was sent. The revision known when the answer arrives is no criterion, because answers
    may be reordered.
    """

    def __init__(self, timeout_s: float, history: History, on_reset: Callable[[str], None]) -> None:
        self._timeout_s = timeout_s
        self._history = history
        self._on_reset = on_reset
        self._identity = ""
        self._highest_revision = 0
        self.counts: dict[str, int] = {}  # by kind of call and outcome

    async def make(self, kind: str, call: Coroutine[Any, Any, Outcome], known_revision: int) -> Outcome:
        """Return the outcome of a call; the outcome is Unknown after a time-out or if the store was reset.

        `known_revision`: the highest revision from the watch, which the store had reached before this call.
        """
        identity = self._identity
        minimum_revision = max(self._highest_revision, known_revision)
        outcome = await self._with_timeout(call)
        count = f"{kind}_{outcome.kind.lower()}"
        self.counts[count] = self.counts.get(count, 0) + 1
        if isinstance(outcome, Unknown):
            self._history(log_events.STORE_CALL_UNKNOWN, call=kind, why=outcome.reason)
            return outcome
        reset = _find_reset(outcome, identity, minimum_revision)
        if reset:
            self._on_reset(reset)
            return Unknown("the store was reset")
        self._identity = outcome.identity
        self._highest_revision = max(self._highest_revision, outcome.revision)
        return outcome

    async def _with_timeout(self, call: Coroutine[Any, Any, Outcome]) -> Outcome:
        try:
            return await asyncio.wait_for(call, self._timeout_s)
        except TimeoutError:
            return Unknown(f"no answer in {self._timeout_s:.2f} s")
        except StoreError as error:
            self._on_reset(str(error))
            return Unknown(str(error))


def _find_reset(outcome: Done | Refused, identity: str, minimum_revision: int) -> str:
    """Return the evidence in an answer that the store was reset; empty if there is none."""
    if identity and outcome.identity != identity:
        return f"the store has identity {outcome.identity}, expected {identity}"
    if outcome.revision < minimum_revision:
        return f"the store's revision went back from {minimum_revision} to {outcome.revision}"
    return ""
