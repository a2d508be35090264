"""A scenario and a seed become a day. Pure: the same two always give the same day.

Every part has a stream of chance of its own, named by what it is for. So another load leaves the fleet as it
was, a further fault earlier ones, and a further node the figures of the others. Each figure takes its draw
from its stream whether it is a range or not, so that a range set to a number moves nothing else.
"""

from __future__ import annotations

from typing import Any

from coveport.testbed.day import Day
from coveport.testbed.fault_schedule import FaultSchedule, draw_fault
from coveport.testbed.fleet import draw_nodes, draw_sidecars
from coveport.testbed.random_streams import drawn, stream
from coveport.testbed.scenario import Scenario
from coveport.testbed.workload import draw_wishes


def draw(scenario: Scenario, seed: int) -> Day:
    """Draw the day of `seed`; ValueError (one line) where it would hold more than `MOST_WISHES` wishes."""
    nodes = draw_nodes(scenario, seed)
    capacity = sum(node.cores * node.speed for node in nodes)
    drawn_faults = [draw_fault(scenario, seed, number, nodes) for number in range(len(scenario.faults))]
    fault_schedule = FaultSchedule(scenario, seed, nodes, drawn_faults)
    network, rng = scenario.network, stream(seed, "network")
    same, client, jitter, notice, add = (
        drawn(rng, one)
        for one in (
            network.same_ms,
            network.client_ms,
            network.jitter,
            scenario.discovery.notice_s,
            scenario.discovery.add_s,
        )
    )
    zones = len(scenario.fleet.zones)
    cross = [[same] * zones for _ in range(zones)]
    for one in range(zones):
        for other in range(one):
            cross[one][other] = cross[other][one] = drawn(rng, network.cross_ms)
    return Day(
        scenario,
        seed,
        nodes=(*nodes, *fault_schedule.replacements),
        sidecars=draw_sidecars(scenario, seed),
        wishes=draw_wishes(scenario, seed, capacity, drawn_faults),
        changes=tuple(fault_schedule.changes),
        spans=tuple(fault_schedule.spans),
        same_ms=same,
        cross_ms=tuple(map(tuple, cross)),
        client_ms=client,
        jitter=jitter,
        notice_ms=notice * 1000,
        add_ms=add * 1000,
        capacity=capacity,
    )


def summary(day: Day) -> dict[str, Any]:
    """What a drawn day holds, for people: numbers, wishes a second, capacity, level, the classes' mix.

    `capacity` is in ms of standard work a ms, `level` the part of it that first tries ask for, `mix` the
    share of wishes by class.
    """
    count = len(day.wishes)
    classes = day.scenario.classes
    asked = [0] * len(classes)
    for wish in day.wishes:
        asked[wish.cls] += 1
    length = day.scenario.length_s
    return {
        "seed": day.seed,
        "length_s": length,
        "nodes": sum(node.born for node in day.nodes),
        "sidecars": len(day.sidecars),
        "wishes": count,
        "rate": count / length,
        "capacity": day.capacity,
        "level": sum(wish.work_ms for wish in day.wishes) / (day.capacity * length * 1000),
        "mix": {one.name: many / max(count, 1) for one, many in zip(classes, asked, strict=True)},
        "faults": [
            f"{span.kind} ({span.whom}) {span.begin / 1000:.1f} to {span.end / 1000:.1f} s"
            for span in day.spans
        ],
    }
