"""Makes the calls at a store: bounded in time, counted, and guarded against a store that was reset."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.store import Done, Outcome, Refused, Unknown


class History(Protocol):
    """Receives an instance's lease events with their fields, for the log and for later checking."""

    def __call__(self, event: str, **fields: object) -> None:
        """Record an event."""


class StoreCalls:
    """The calls of one instance. `on_reset` is called with a reason when the store turns out to be reset.

    A store that was wiped, restored or replaced shows by another identity or a lower revision than was known
    when the call was sent. (Not when it is answered: answers may overtake each other.)
    """

    def __init__(self, timeout_s: float, history: History, on_reset: Callable[[str], None]) -> None:
        self._timeout_s = timeout_s
        self._history = history
        self._on_reset = on_reset
        self._identity = ""
        self._highest_revision = 0
        self.counts: dict[str, int] = {}  # by kind of call and of outcome

    async def make(self, kind: str, call: Coroutine[Any, Any, Outcome], known_revision: int) -> Outcome:
        """Return the outcome of a call; unknown if it is not answered in time, or by a reset store.

        `known_revision`: the highest that a watch has shown, which the store had reached before this call.
        """
        identity = self._identity
        floor = max(self._highest_revision, known_revision)
        outcome = await self._bounded(call)
        count = f"{kind}_{outcome.kind.lower()}"
        self.counts[count] = self.counts.get(count, 0) + 1
        if isinstance(outcome, Unknown):
            self._history(log_events.STORE_CALL_UNKNOWN, call=kind, why=outcome.reason)
            return outcome
        reset = _find_reset(outcome, identity, floor)
        if reset:
            self._on_reset(reset)
            return Unknown("the store is not the one we knew")
        self._identity = outcome.identity
        self._highest_revision = max(self._highest_revision, outcome.revision)
        return outcome

    async def _bounded(self, call: Coroutine[Any, Any, Outcome]) -> Outcome:
        try:
            return await asyncio.wait_for(call, self._timeout_s)
        except TimeoutError:
            return Unknown(f"no answer in {self._timeout_s:.2f} s")
        except StoreError as error:
            self._on_reset(str(error))
            return Unknown(str(error))


def _find_reset(outcome: Done | Refused, identity: str, floor: int) -> str:
    """Return how an answer shows that the store was reset; empty if it does not."""
    if identity and outcome.identity != identity:
        return f"another store: {outcome.identity}, not {identity}"
    if outcome.revision < floor:
        return f"its revision went back from {floor} to {outcome.revision}"
    return ""
