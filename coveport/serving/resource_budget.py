"""The account of memory and connections of one process: how much its peers can make it hold.

Each accepted connection has a `Reservation`, which counts the bytes that the process holds for it: of
requests that are incomplete, served or pipelined, and of responses that the peer has not read. A reservation
is in one of three states, which tell what may be done with its connection when resources run short:

| state | the connection | when resources run short |
| --- | --- | --- |
| idle | waits for a request | closed, the longest unused first, if connections are short |
| transferring | has sent a part of a request, or has not read a response | gives way to others, see below |
| serving | waits for the response to its request | kept |

A reservation that is too large for the memory left may take it from connections that transfer: from one that
has stalled or takes long, else from the largest, if that holds at least twice as much. So neither stalled
clients nor many large requests keep small requests out, and requests of a similar size don't displace each
other. Large reservations leave a part of the memory to small ones, as no memory is taken from requests that
are served.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

MEMORY_RATIO: Final = 0.9  # part of the machine's memory that is used; the rest covers short-lived copies
BASE_BYTES: Final = 64_000_000  # interpreter, code, configuration and tables
CONNECTION_BYTES: Final = 12 * 1024  # objects of one connection without received or unsent bytes
SMALL_BYTES: Final = 64 * 1024  # largest reservation that may use all of the memory
LARGE_RATIO: Final = 0.75  # part of the memory that reservations above `SMALL_BYTES` may use
DISPLACEMENT_RATIO: Final = (
    2  # an active transfer gives way to one that needs its size divided by this, or less
)
STALL_S: Final = 1.0  # a transfer without progress for this long gives way to any other
SLOW_S: Final = 15.0  # a transfer that takes this long gives way too, so that trickling keeps nothing
RESERVED_DESCRIPTORS: Final = 200  # for files outside the data directory, as the operators' page says
ACCEPTED_RATIO: Final = 0.5  # part of the descriptors for accepted connections; each may need one to a node
MIN_ACCEPTED: Final = 16
MIN_LARGEST_BODY_BYTES: Final = 4 * 1024 * 1024  # default of MaxBodyBytes, which the least memory can hold
MIN_MEMORY_MB: Final = math.ceil((MIN_LARGEST_BODY_BYTES / LARGE_RATIO + BASE_BYTES) / MEMORY_RATIO / 1e6)
MIN_DESCRIPTORS: Final = RESERVED_DESCRIPTORS + math.ceil(MIN_ACCEPTED / ACCEPTED_RATIO)


class Shortage(Enum):
    """What is short when a connection has to give way."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


ShedHandler = Callable[[Shortage], None]
"""Rejects the incomplete request of a connection, or closes a connection that has none."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """What accepted connections may use together."""

    memory_bytes: float
    connections: int


def capacity_of(memory_mb: float, descriptors: int) -> Capacity:
    """Return what the limits of a process leave for its connections; memory of 0 MB is not limited."""
    memory_bytes = math.inf
    if memory_mb:
        memory_bytes = max(0.0, memory_mb * 1e6 * MEMORY_RATIO - BASE_BYTES)
    usable_descriptors = descriptors - RESERVED_DESCRIPTORS
    return Capacity(memory_bytes, max(MIN_ACCEPTED, int(usable_descriptors * ACCEPTED_RATIO)))


class ResourceBudget:
    """The reservations of one process, within its capacity."""

    def __init__(self, capacity: Capacity, now_s: Callable[[], float]) -> None:
        """Create a budget without reservations; `now_s` returns monotonic seconds."""
        self.capacity = capacity
        self.used_bytes = 0
        self.open_connections = 0
        self.sheds = 0  # connections that gave way to others so far
        self._now_s = now_s
        # Both in the order of their last progress, the oldest first.
        self._idle: OrderedDict[Reservation, None] = OrderedDict()
        self._transferring: OrderedDict[Reservation, None] = OrderedDict()

    def open(self, on_shed: ShedHandler) -> Reservation | None:
        """Return the reservation of a new connection, or None if the connection must be refused."""
        if self.open_connections >= self.capacity.connections:
            victim = self._connection_victim()
            if victim is None:
                return None
            self._shed(victim, Shortage.CONNECTIONS)
            victim.close()
        reservation = Reservation(self, on_shed)
        if not self._make_room(reservation, CONNECTION_BYTES, CONNECTION_BYTES):
            return None
        self.used_bytes += CONNECTION_BYTES
        self.open_connections += 1
        self.mark_idle(reservation)
        return reservation

    def resize(self, reservation: Reservation, held_bytes: int) -> bool:
        """Change the bytes of a reservation; return False, and change nothing, if there is no room."""
        added_bytes = held_bytes - reservation.held_bytes
        if added_bytes > 0 and not self._make_room(reservation, held_bytes, added_bytes):
            return False
        self.used_bytes += added_bytes
        reservation.held_bytes = held_bytes
        return True

    def mark_idle(self, reservation: Reservation) -> None:
        """Record that a connection waits for a request."""
        self._transferring.pop(reservation, None)
        self._record_progress(self._idle, reservation)

    def mark_transferring(self, reservation: Reservation) -> None:
        """Record that a part of a request has arrived, or that a response is unread."""
        self._idle.pop(reservation, None)
        self._record_progress(self._transferring, reservation)

    def mark_serving(self, reservation: Reservation) -> None:
        """Record that a request may run, so that its connection is kept."""
        self._idle.pop(reservation, None)
        self._transferring.pop(reservation, None)

    def close(self, reservation: Reservation) -> None:
        """Return what a connection used."""
        self.mark_serving(reservation)
        self.used_bytes -= reservation.held_bytes + CONNECTION_BYTES
        self.open_connections -= 1

    def _record_progress(self, ordered: OrderedDict[Reservation, None], reservation: Reservation) -> None:
        reservation.last_progress_s = self._now_s()
        if reservation not in ordered:
            reservation.started_s = reservation.last_progress_s
        ordered[reservation] = None
        ordered.move_to_end(reservation)

    def _make_room(self, reservation: Reservation, held_bytes: int, added_bytes: int) -> bool:
        """Shed transfers until the bytes fit; return whether they do."""
        ratio = LARGE_RATIO if held_bytes > SMALL_BYTES else 1.0
        limit_bytes = self.capacity.memory_bytes * ratio
        while self.used_bytes + added_bytes > limit_bytes:
            victim = self._memory_victim(reservation, held_bytes)
            if victim is None:
                return False
            self._shed(victim, Shortage.MEMORY)
        return True

    def _memory_victim(self, requester: Reservation, needed_bytes: int) -> Reservation | None:
        """Return the transfer that gives way: one that is stalled or slow, else the largest if far larger."""
        slow = self._stalled(requester) or self._slow(requester)
        if slow is not None:
            return slow
        largest = max(self._transferring, key=lambda reservation: reservation.held_bytes, default=None)
        if largest is None or largest is requester:
            return None
        return largest if largest.held_bytes >= DISPLACEMENT_RATIO * needed_bytes else None

    def _connection_victim(self) -> Reservation | None:
        """Return the connection that gives way to a new one."""
        return self._stalled(None) or next(iter(self._idle), None) or next(iter(self._transferring), None)

    def _stalled(self, requester: Reservation | None) -> Reservation | None:
        """Return the transfer without progress for the longest time, if it has stalled."""
        stalled_since_s = self._now_s() - STALL_S
        for reservation in self._transferring:
            if reservation.last_progress_s > stalled_since_s:
                return None
            if reservation is not requester:
                return reservation
        return None

    def _slow(self, requester: Reservation) -> Reservation | None:
        """Return the transfer that has taken the longest time, if it is slow."""
        oldest = min(self._transferring, key=lambda reservation: reservation.started_s, default=None)
        if oldest is None or oldest is requester:
            return None
        return oldest if oldest.started_s <= self._now_s() - SLOW_S else None

    def _shed(self, victim: Reservation, shortage: Shortage) -> None:
        """Let a connection give way, and return the memory of its request."""
        self.sheds += 1
        self.mark_serving(victim)
        victim.on_shed(shortage)
        self.resize(victim, 0)


class Reservation:
    """What the process holds for one connection."""

    __slots__ = ("held_bytes", "is_closed", "last_progress_s", "on_shed", "started_s", "_budget")

    def __init__(self, budget: ResourceBudget, on_shed: ShedHandler) -> None:
        """Create a reservation; `ResourceBudget.open` adds it to the budget."""
        self.held_bytes = 0  # without `CONNECTION_BYTES`
        self.is_closed = False
        self.last_progress_s = 0.0
        self.started_s = 0.0  # when the present state began
        self.on_shed = on_shed
        self._budget = budget

    def wait(self, held_bytes: int = 0) -> None:
        """Record that the connection waits for a request; the bytes held don't grow."""
        if not self.is_closed:
            self._budget.resize(self, min(held_bytes, self.held_bytes))
            self._budget.mark_idle(self)

    def transfer(self, held_bytes: int) -> bool:
        """Record a part of a request, or an unread response; return False if the bytes can't be held."""
        if self.is_closed:
            return False
        self._budget.mark_transferring(self)
        return self._budget.resize(self, held_bytes)

    def serve(self, held_bytes: int) -> bool:
        """Record that a request is served; return False if its bytes can't be held."""
        if self.is_closed:
            return False
        self._budget.mark_serving(self)
        return self._budget.resize(self, held_bytes)

    def close(self) -> None:
        """Return everything; calls after the first do nothing."""
        if not self.is_closed:
            self.is_closed = True
            self._budget.close(self)
            self.on_shed = _ignore  # so that no cycle of references delays the release of the connection


def _ignore(_: Shortage) -> None:
    """Do nothing: a closed connection has given way already."""
