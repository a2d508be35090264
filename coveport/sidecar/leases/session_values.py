"""Values that stand in the store for as long as the session: the instance's status, and what it publishes.

Each is bound to the session's lease. A value that stood unbound would outlive the session: the instance's
own name would be taken for ever, by itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from coveport.sidecar.leases.lease_state import LeaseState
from coveport.sidecar.leases.store import Outcome, Put, Unknown


class WriteCall(Protocol):
    """Puts a value; `kind` is what the call is counted as."""

    async def __call__(self, kind: str, put: Put) -> Outcome:
        """Return the outcome of the put."""


class SessionValues:
    """Writes the values, one call a key at a time; of several values for a key the last one counts."""

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
        self._values: dict[str, bytes] = {}  # being written, or to be written next

    def close(self) -> None:
        """Start no more writes."""
        self._closed = True

    @property
    def _may_write(self) -> bool:
        return not self._closed and self._lease_state.in_session

    def publish(self, key: str, value: bytes) -> None:
        """Write a value now; it is lost if there is no session."""
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
                del self._values[key]  # the session ended in this very turn
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
        """Write the status as it is, unless a write is in flight: that one sees to the rest."""
        if self._may_write and not self._writing_status:
            self._writing_status = True
            self._start_task(self._write_status())

    async def _write_status(self) -> None:
        status = self.status
        lease = self._lease_state.lease
        if not lease:
            self._writing_status = False  # the session ended in this very turn; the next one writes it
            return
        # Refused if the lease is gone, so it never outlives the session.
        outcome = await self._write("fares", Put(self._status_key, status, lease))
        self._writing_status = False
        if isinstance(outcome, Unknown) and not self._closed:
            await asyncio.sleep(self._retry_s)
            self.write_status()
        elif status != self.status:
            self.write_status()
