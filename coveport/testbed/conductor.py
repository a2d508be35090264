"""Carries the day's changes out at their time, on whatever ground: each party takes what concerns it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from coveport.net.transport import Net
from coveport.testbed.day import (
    DISCOVERY_CHANGES,
    NETWORK_CHANGES,
    NODE_CHANGES,
    QUEUE_CHANGES,
    SIDECAR_CHANGES,
    TILL_CHANGES,
    Change,
    Day,
)
from coveport.testbed.event_log import EventLog, Fault

Take = Callable[[Change], None]

OF_NODES = frozenset(NODE_CHANGES)
OF_QUEUES = frozenset(QUEUE_CHANGES)
OF_NETWORK = frozenset(NETWORK_CHANGES)
OF_DISCOVERY = frozenset(DISCOVERY_CHANGES)
OF_SIDECARS = frozenset(SIDECAR_CHANGES)
OF_TILLS = frozenset(TILL_CHANGES)


def conduct(
    changes: Iterable[Change],
    net: Net,
    day_ms: Callable[[], float],
    takers: Iterable[tuple[frozenset[str], Take]],
) -> None:
    """Set a timer for each change that somebody here takes; each taker gets those whose `what` is in its set.

    Changes of one instant are handed over in the day's order, whichever taker they go to.
    """
    pairs = list(takers)
    wanted = frozenset[str]().union(*(whats for whats, _ in pairs))

    def due(change: Change) -> None:
        for whats, take in pairs:
            if change.what in whats:
                take(change)

    for change in changes:
        if change.what in wanted:
            net.loop.call_later(max(0.0, change.at - day_ms()) / 1000, due, change)


def write_faults(day: Day, event_log: EventLog) -> None:
    """Enter when each of the day's faults begins and ends; known ahead, so it is done once."""
    for span in day.spans:
        event_log.write(Fault(span.begin, span.number, span.kind, True, span.whom))
        event_log.write(Fault(span.end, span.number, span.kind, False, span.whom))
