"""A duty's two halves: what it decides (pure), and the runner that carries it out under a token.

A duty keeps what its successor goes on from under `state/NAME`. Each of its steps is one transaction: it
compares the token and the revision of the state it was worked out from, puts the next state, and makes the
step's changes. So a step is carried out once or not at all, whoever takes over in its middle.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from coveport.sidecar.leases.keys import STATE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.store import Compare, Delete, Done, Entry, Field, Put, Refused

AGAIN_S = 0.1  # after a state that could not be read


@dataclass(frozen=True, slots=True)
class Step:
    """One step: the next state, what else it changes (keys without prefix), and a word for the log."""

    state: bytes
    what: str
    changes: tuple[Put | Delete, ...] = ()


class Duty(Protocol):
    """The pure half."""

    name: str
    every_s: float  # how often it is asked

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """The next step, or None. `state`: as the store has it, None where there was none yet."""


class Runner:
    """Does a duty for as long as it is ours.

    `did`: told of each step that was done, with its token and revision.
    """

    def __init__(
        self,
        lease_client: LeaseClient,
        duty: Duty,
        now_s: Callable[[], float],
        did: Callable[[Step, int, int], None] = lambda step, token, revision: None,
    ) -> None:
        self._lease_client = lease_client
        self.duty = duty
        self._now_s = now_s
        self._did = did
        self._task: asyncio.Task[None] | None = None

    def began(self, token: int) -> None:
        """The duty is ours."""
        self.ended()
        self._task = asyncio.ensure_future(self._run(token))

    def ended(self) -> None:
        """It is not any more."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def read(self) -> tuple[bytes | None, int] | None:
        """The state and its revision; None where the store does not tell."""
        found = await self._lease_client.read(STATE_PREFIX + self.duty.name)
        if found is None:
            return None
        entry = next((one for one in found.entries if one.key == STATE_PREFIX + self.duty.name), None)
        return (None, 0) if entry is None else (entry.value, entry.modified)

    async def _run(self, token: int) -> None:
        known: tuple[bytes | None, int] | None = None
        while True:
            if known is None:
                # After our key was created: hence after every step of those before us that is ever accepted.
                known = await self.read()
                if known is None:
                    await asyncio.sleep(AGAIN_S)
                    continue
            if self._lease_client.usable_token(self.duty.name) == token:
                known = await self._step(token, known)
                if known is None:
                    continue
            await asyncio.sleep(self.duty.every_s)

    async def _step(self, token: int, known: tuple[bytes | None, int]) -> tuple[bytes | None, int] | None:
        state, modified = known
        step = self.duty.decide(self._now_s(), state, self._lease_client.entries)
        if step is None:
            return known
        key = STATE_PREFIX + self.duty.name
        outcome = await self._lease_client.commit_fenced(
            self.duty.name,
            Put(key, step.state),
            *step.changes,
            compares=(Compare(key, Field.MODIFIED, modified),),
            what=step.what,
        )
        if isinstance(outcome, Done):
            self._did(step, token, outcome.revision)
            return step.state, outcome.revision
        if isinstance(outcome, Refused) or outcome is None:
            await asyncio.sleep(AGAIN_S)
        return None  # it may have been done: what stands is read before anything else
