"""Values that the store keeps while the session lasts: the instance's status and its published values.

Each value is bound to the session's lease. Without a lease, a value would outlive the session, and the
instance could never register its name again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from coveport.sidecar.leases.lease_state import LeaseState
from coveport.sidecar.leases.store import Outcome, Put, Unknown


class WriteCall(Protocol):
    """Function that puts a value in the store; `kind` is part of the name of the call's counter."""

    async def __call__(self, kind: str, put: Put) -> Outcome:
        """Return the outcome of the put."""


class SessionValues:
    """Writer of the values: one call per key at a time; later values of a key replace earlier ones."""

    def __init__(
        self,
        lease_state: LeaseState,
        status_key: str,
        write: WriteCall,
        start_task: Callable[[Coroutine[Any, Any, None]], None],
        retry_s: float,
    ) -> None:
        self._lease_state = lease_state
        self._status_key = status_key
        self._write = write
        self._start_task = start_task
        self._retry_s = retry_s
        self._closed = False
        self.status = b"{}"
        self._writing_status = False
        self._values: dict[str, bytes] = {}  # by key: values in flight or to be written next

    def close(self) -> None:
        """Stop starting writes."""
        self._closed = True

    @property
    def _may_write(self) -> bool:
        return not self._closed and self._lease_state.in_session

    def publish(self, key: str, value: bytes) -> None:
        """Write a value now, or discard the value if there is no session."""
        writing = key in self._values
        if writing:
            self._values[key] = value
        elif self._may_write:
            self._values[key] = value
            self._start_task(self._write_values(key))

    async def _write_values(self, key: str) -> None:
        while key in self._values:
            value = self._values[key]
            lease = self._lease_state.lease
            if not lease:
                del self._values[key]  # the session ended before this task ran
                return
            await self._write("put", Put(key, value, lease))
            if self._values.get(key) is value:
                del self._values[key]

    def publish_status(self, status: bytes) -> None:
        """Write the instance's status, now and after each registration."""
        if status != self.status:
            self.status = status
            self.write_status()

    def write_status(self) -> None:
        """Write the current status; if a write is in flight and the status changed, write again after it."""
        if self._may_write and not self._writing_status:
            self._writing_status = True
            self._start_task(self._write_status())

    async def _write_status(self) -> None:
        status = self.status
        lease = self._lease_state.lease
        if not lease:
            # The session ended before this task ran; the next session writes the status.
            self._writing_status = False
            return
        # The put is refused if the lease has ended, so the status never outlives the session.
        outcome = await self._write("fares", Put(self._status_key, status, lease))
        self._writing_status = False
        if isinstance(outcome, Unknown) and not self._closed:
            await asyncio.sleep(self._retry_s)
            self.write_status()
        elif status != self.status:
            self.write_status()
