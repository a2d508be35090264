"""Forty sidecars and sixty nodes: a short slice of each kind of day at size, and the overbooked discovery."""

from __future__ import annotations

import asyncio

import pytest
import timeless
from msgspec.structs import replace
from test_discovery_standin import Caller, Place

from coveport.testbed import catalog
from coveport.testbed.run import play_and_judge
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import load

EARLIER_S = 4.0


def slice_of(name: str) -> Scenario:
    """The day's begin and its faults' first seconds, drawn together."""
    whole = load(catalog.find(name))
    assert (whole.fleet.sidecars, whole.fleet.nodes) == (40, 60)
    faults = tuple(
        replace(one, at_s=max(0.0, one.at_s - EARLIER_S))
        for one in whole.faults
        if isinstance(one.at_s, int | float)
    )
    assert len(faults) == len(whole.faults)
    return replace(whole, length_s=14.0, faults=faults)


@pytest.mark.parametrize(
    ("name", "service", "calls"),
    [("fleet-herd", 0.87, 2000), ("fleet-zone", 0.83, 2400), ("fleet-join", 0.77, 3500)],
)
def test_a_fleet_at_size_keeps_the_rules(name: str, service: float, calls: int) -> None:
    _, outcome = play_and_judge(slice_of(name), name=name, seed=3, ground="virtual")
    assert not outcome.broken and outcome.service >= service and outcome.discovery_calls <= calls


async def overbooked() -> None:
    place = Place()
    place.do("discovery-overbooked", value=200.0)
    callers = [await place.caller(sidecar) for sidecar in (0, 1)]
    for _ in range(2):
        callers += [Caller(callers[0].port), Caller(callers[1].port)]
    began = place.host.day_ms()
    statuses = [one.status for one in await asyncio.gather(*(caller.call() for caller in callers))]
    # Three lines and the call: 800 ms each, so that the third begins at 1.6 s and the fourth would at 2.4 s.
    assert sorted(statuses) == [200] * 3 + [503] * 3 and place.host.day_ms() - began >= 2300
    served = callers[statuses.index(200)]
    began = place.host.day_ms()
    assert (await served.told(1, wait_ms=0))["hosts"] == []
    assert place.host.day_ms() - began >= 150, "a new watch"
    began = place.host.day_ms()
    assert (await served.told(1, wait_ms=0))["hosts"] == []
    assert place.host.day_ms() - began < 50, "it goes on"


def test_an_overbooked_discovery_takes_calls_in_turn_and_refuses_who_waits_too_long() -> None:
    timeless.run(overbooked())
