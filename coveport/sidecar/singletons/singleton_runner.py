"""Runs a singleton role under its fencing token for as long as the instance holds it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.sidecar.leases.keys import STATE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.store import Compare, Done, Field, Put, Refused
from coveport.sidecar.singletons.singleton import SingletonRole, Step, StoredState

RETRY_S = 0.1  # delay after a failed read of the state or a refused step


class SingletonRunner:
    """Runner of one role while this instance holds it.

    `on_step_done` is called after each step with the step, the fencing token and the revision.
    """

    def __init__(
        self,
        lease_client: LeaseClient,
        role: SingletonRole,
        now_s: Callable[[], float],
        on_step_done: Callable[[Step, int, int], None] = lambda step, token, revision: None,
    ) -> None:
        self._lease_client = lease_client
        self.role = role
        self._now_s = now_s
        self._on_step_done = on_step_done
        self._task: asyncio.Task[None] | None = None

    def start(self, token: int) -> None:
        """Start running the role, which the instance has acquired under this fencing token."""
        self.stop()
        self._task = asyncio.ensure_future(self._run(token))

    def stop(self) -> None:
        """Stop running the role, which the instance no longer holds."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def read_state(self) -> StoredState | None:
        """Return the stored state; None if the outcome of the read is unknown."""
        key = STATE_PREFIX + self.role.name
        current = await self._lease_client.read(key)
        if current is None:
            return None
        entry = next((entry for entry in current.entries if entry.key == key), None)
        return StoredState(None, 0) if entry is None else StoredState(entry.value, entry.modified)

    async def _run(self, token: int) -> None:
        state: StoredState | None = None
        while True:
            if state is None:
                # The read follows the creation of the role's key, after which the store accepts no step of a
                # predecessor.
                state = await self.read_state()
                if state is None:
                    await asyncio.sleep(RETRY_S)
                    continue
            if self._lease_client.usable_token(self.role.name) == token:
                state = await self._step(token, state)
                if state is None:
                    continue
            await asyncio.sleep(self.role.interval_s)

    async def _step(self, token: int, state: StoredState) -> StoredState | None:
        """Carry out the next step; return the resulting state, or None if the state must be read again."""
        step = self.role.decide(self._now_s(), state.value, self._lease_client.entries)
        if step is None:
            return state
        key = STATE_PREFIX + self.role.name
        outcome = await self._lease_client.commit_fenced(
            self.role.name,
            Put(key, step.state),
            *step.changes,
            compares=(Compare(key, Field.MODIFIED, state.revision),),
            description=step.description,
        )
        if isinstance(outcome, Done):
            self._on_step_done(step, token, outcome.revision)
            return StoredState(step.state, outcome.revision)
        if isinstance(outcome, Refused) or outcome is None:
            await asyncio.sleep(RETRY_S)
        return None  # a step with an unknown outcome may have been stored, so the state is read again
