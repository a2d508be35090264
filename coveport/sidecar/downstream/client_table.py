"""The connected clients, and which connections are closed where they are too many."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import islice
from typing import Protocol

from coveport.sidecar.downstream.limits import (
    EXCESS_CLIENTS,
    FRESH_S,
    IDLE_TRIM_S,
    IDLE_TRIM_SHARE,
    PROTECTED_FRESH,
)


class Connection(Protocol):
    """What the table needs to know of a client connection."""

    @property
    def phase_began_at(self) -> float:
        """When it connected, its present request began to come in, or it went idle; monotonic seconds."""

    def may_close_idle(self, fresh_until: float) -> bool:
        """Return whether it is between requests, or before its first and connected by `fresh_until`."""

    def may_close_ending(self) -> bool:
        """Return whether its last response is out and a close would not reset it away."""

    def may_close_unused(self) -> bool:
        """Return whether it has brought no complete request, though all it sent is read."""

    def check(self, now: float) -> None:
        """Enforce the time-outs."""

    def close(self) -> None:
        """Close at once."""


class ClientTable:
    """All client connections in the order of their connects; closes some where there are too many."""

    def __init__(self, now_s: Callable[[], float], max_clients: int) -> None:
        self._now_s = now_s
        self._max_clients = max_clients
        self._connected: dict[Connection, None] = {}
        self._unused: dict[Connection, None] = {}  # no complete request yet
        self._ending: dict[Connection, None] = {}  # the last response has been written

    def __len__(self) -> int:
        return len(self._connected)

    def __iter__(self) -> Iterator[Connection]:
        """Iterate over a copy: connections may close meanwhile."""
        return iter(list(self._connected))

    @property
    def is_overfull(self) -> bool:
        """Whether there are more clients than allowed: the last ones are rejected."""
        return len(self._connected) > self._max_clients

    def add(self, client: Connection) -> None:
        """Add a client that has connected."""
        self._connected[client] = None
        self._unused[client] = None

    def remove(self, client: Connection) -> None:
        """Remove a client that is gone, if it is there."""
        for table in (self._connected, self._unused, self._ending):
            table.pop(client, None)

    def set_used(self, client: Connection) -> None:
        """Note that a client has brought its first complete request."""
        self._unused.pop(client, None)
        self._trim_idle(2)

    def set_ending(self, client: Connection) -> None:
        """Note that a client has had its last response and is about to close."""
        self._unused.pop(client, None)
        self._ending[client] = None

    def trim_idle(self) -> None:
        """Close idle connections above the share that they may hold."""
        self._trim_idle(self._max_clients)

    def _trim_idle(self, limit: int) -> None:
        # Guards against clients that ask once and keep their connection: all clients together may hold only a
        # third of the descriptors, and those would leave none to a client that has something to ask.
        excess = len(self._connected) - len(self._unused) - int(self._max_clients * IDLE_TRIM_SHARE)
        if excess > 0:
            before = self._now_s() - IDLE_TRIM_S
            idle = (
                client
                for client in self._longest_idle_first()
                if client.phase_began_at < before and client.may_close_idle(before)
            )
            for client in islice(idle, min(excess, limit)):
                client.close()

    def shed(self, count: int) -> None:
        """Close up to `count` connections: ending ones first, then those without a request, then idle."""
        # Guards against running out of descriptors, and against silent or half-sent connections that crowd
        # out clients with work; a client opens another when it wants one.
        now = self._now_s()
        closing = list(islice((client for client in self._ending if client.may_close_ending()), count))
        if len(closing) < count:
            closing += islice(self._unused_to_shed(now), count - len(closing))
        if len(closing) < count:
            idle = (client for client in self._longest_idle_first() if client.may_close_idle(now))
            closing += islice(idle, count - len(closing))
        for client in closing:
            client.close()

    def _unused_to_shed(self, now: float) -> Iterator[Connection]:
        # The newest may be about to send, unless there is no capacity left at all.
        protected = 0 if len(self._connected) > self._max_clients + EXCESS_CLIENTS else PROTECTED_FRESH
        unprotected = len(self._unused) - protected
        for index, client in enumerate(self._unused):
            is_exposed = index < unprotected or client.phase_began_at < now - FRESH_S
            if is_exposed and client.may_close_unused():
                yield client

    def _longest_idle_first(self) -> list[Connection]:
        used = (client for client in self._connected if client not in self._unused)
        return sorted(used, key=lambda client: client.phase_began_at)
