"""What a protocol owes the connections' pool, and what it may ask of it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

from coveport.net.transport import Net
from coveport.sidecar.reducer.locality import Place
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

if TYPE_CHECKING:
    from coveport.sidecar.upstream.route_step import RouteStep


class Link(Protocol):
    """One connection to a destination (or a part of one) that carries one route step at a time."""

    number: int  # the destination's
    place: Place
    idle_since: float  # when it was put back, in the loop's seconds

    def carry(self, step: RouteStep) -> None:
        """Send a route step, set its `handed` once its last byte has left us, and end it once."""

    def release(self, keep: bool) -> None:
        """The route step is over: wait for the next one (`Pool.put_idle`), or close."""

    def drop(self) -> None:
        """Close at once: the destination must see the end before anything sent elsewhere later."""

    def pause(self) -> None:
        """Read no more of a long answer for now."""

    def resume(self) -> None:
        """Read on."""

    @property
    def waits(self) -> bool:
        """Whether a long body stands still because the client's side does."""

    @property
    def quiet(self) -> bool:
        """Whether nothing has come since the last answer: neither an end nor stray bytes."""


class Pool(Protocol):
    """What a link may ask of the pool that it belongs to."""

    net: Net
    counters: Counters
    log: Log

    def joined(self, link: Link) -> None:
        """A connection has come up."""

    def put_idle(self, link: Link) -> None:
        """A connection waits for its next route step."""

    def forget(self, link: Link) -> None:
        """A connection is no longer of use."""


Dial = Callable[["Pool", int, Place, "RouteStep"], Awaitable[None]]
"""Opens a connection to a destination for a route step, by one protocol; OSError where that fails.

Called with the pool, the destination's number, its place and the route step that the connection is for.
"""
