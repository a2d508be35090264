"""The client connections, and which of them are closed when there are too many."""

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
    """The part of a client connection that the table uses."""

    @property
    def phase_began_at(self) -> float:
        """When the client connected, began its present request, or went idle; monotonic seconds."""

    def may_close_idle(self, fresh_until: float) -> bool:
        """Return whether the client is between requests, or sent none and connected before `fresh_until`."""

    def may_close_ending(self) -> bool:
        """Return whether the last response is written, and closing would not destroy it by a reset."""

    def may_close_unused(self) -> bool:
        """Return whether all received bytes have been read without a complete request among them."""

    def check(self, now: float) -> None:
        """Enforce the time-outs."""

    def close(self) -> None:
        """Close at once."""


class ClientTable:
    """All client connections, in the order in which they connected; closes some when there are too many."""

    def __init__(self, now_s: Callable[[], float], max_clients: int) -> None:
        self._now_s = now_s
        self._max_clients = max_clients
        self._connected: dict[Connection, None] = {}
        self._unused: dict[Connection, None] = {}  # connections without a complete request
        self._ending: dict[Connection, None] = {}  # connections whose last response has been written

    def __len__(self) -> int:
        return len(self._connected)

    def __iter__(self) -> Iterator[Connection]:
        """Iterate over a copy, as connections may close during the iteration."""
        return iter(list(self._connected))

    @property
    def is_overfull(self) -> bool:
        """Whether there are more clients than allowed; if so, the newest clients are rejected."""
        return len(self._connected) > self._max_clients

    def add(self, client: Connection) -> None:
        """Add a new client."""
        self._connected[client] = None
        self._unused[client] = None

    def remove(self, client: Connection) -> None:
        """Remove a client, if it is in the table."""
        for table in (self._connected, self._unused, self._ending):
            table.pop(client, None)

    def set_used(self, client: Connection) -> None:
        """Record that a client has sent its first complete request."""
        self._unused.pop(client, None)
        self._trim_idle(2)

    def set_ending(self, client: Connection) -> None:
        """Record that a client's last response has been written and its connection is ending."""
        self._unused.pop(client, None)
        self._ending[client] = None

    def trim_idle(self) -> None:
        """Close idle connections while clients take more than their share of the capacity."""
        self._trim_idle(self._max_clients)

    def _trim_idle(self, limit: int) -> None:
        # Guards against clients that send one request and keep their connection: client connections may use
        # only a third of the descriptors, and idle ones would leave none for a client with a request.
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
        """Close up to `count` connections: ending ones first, then unused ones, then idle ones."""
        # Guards against running out of descriptors, and against silent connections and partial requests
        # that crowd out clients with requests; a client can connect again when it needs to.
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
        # The newest connections may be about to send; they are protected unless all capacity is used up.
        protected = 0 if len(self._connected) > self._max_clients + EXCESS_CLIENTS else PROTECTED_FRESH
        unprotected = len(self._unused) - protected
        for index, client in enumerate(self._unused):
            is_sheddable = index < unprotected or client.phase_began_at < now - FRESH_S
            if is_sheddable and client.may_close_unused():
                yield client

    def _longest_idle_first(self) -> list[Connection]:
        used = (client for client in self._connected if client not in self._unused)
        return sorted(used, key=lambda client: client.phase_began_at)
