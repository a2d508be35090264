"""Interfaces between the connection pool and an upstream protocol."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from coveport.net.transport import Net
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import Attempt, AttemptConnection, AttemptPool


class Connection(AttemptConnection, Protocol):
    """One connection to a destination, or a stream of a connection; it carries one attempt at a time."""

    has_carried_rejection: bool  # whether an answer on it said that its operation did not run
    idle_since: float  # when the connection returned to the pool, in seconds of the event loop's clock

    def carry(self, attempt: Attempt) -> None:
        """Send an attempt, call its `mark_sent` once the last byte was written, and end it once."""

    def drop(self) -> None:
        """Close at once: the destination must see the close before a retry reaches another destination."""

    @property
    def is_quiet(self) -> bool:
        """Whether nothing has arrived since the last answer: neither an end of stream nor stray bytes."""


class Pool(AttemptPool, Protocol):
    """The part of the connection pool that a connection uses."""

    net: Net
    counters: Counters
    log: Log

    def add_connection(self, connection: Connection) -> None:
        """Add a new connection."""

    def put_idle(self, connection: Connection) -> None:
        """Keep a connection for its next attempt."""

    def forget(self, connection: Connection) -> None:
        """Remove a connection that is closed."""


Dial = Callable[[Pool, int, EndpointAddress, Attempt], Awaitable[None]]
"""Opens a connection to a destination for an attempt, by one protocol; OSError where that fails.

Called with the pool, the destination's number, its endpoint and the attempt that the connection is for.
"""
