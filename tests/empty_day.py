"""A day of the testbed in which nothing happens: for tests that need only its network."""

from __future__ import annotations

from coveport.testbed.day import Day
from coveport.testbed.scenario import Scenario


def empty_day(same_ms: float, cross_ms: tuple[tuple[float, ...], ...], client_ms: float) -> Day:
    """Return a day without nodes, sidecars and requests.

    Args:
        same_ms: one-way delay within a zone.
        cross_ms: one-way delays from each zone to each zone.
        client_ms: one-way delay between clients and the others.

    """
    return Day(
        scenario=Scenario(title="t"),
        seed=1,
        nodes=(),
        sidecars=(),
        wishes=(),
        changes=(),
        spans=(),
        same_ms=same_ms,
        cross_ms=cross_ms,
        client_ms=client_ms,
        jitter=0.0,
        notice_ms=0,
        add_ms=0,
        capacity=1.0,
    )
