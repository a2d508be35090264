"""Who is there on a day: ledger nodes and sidecars, drawn. Pure."""

from __future__ import annotations

import math

from coveport.testbed.day import NodeDrawn, SidecarDrawn
from coveport.testbed.random_streams import drawn, stream
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_checks import portions
from coveport.testbed.schema import Kind
from coveport.testbed.tables import Figure


def draw_sidecars(scenario: Scenario, seed: int) -> tuple[SidecarDrawn, ...]:
    """The sidecars, spread evenly over the zones."""
    return tuple(
        SidecarDrawn(
            number,
            f"sidecar-{number}",
            number % len(scenario.fleet.zones),
            stream(seed, "sidecar", number).getrandbits(32),
        )
        for number in range(scenario.fleet.sidecars)
    )


def draw_nodes(scenario: Scenario, seed: int) -> list[NodeDrawn]:
    """The nodes there from the start: zones in turn, a zone's cells filled one by one, kinds shuffled."""
    fleet = scenario.fleet
    counts = portions([kind.share for kind in fleet.kinds], fleet.nodes)
    kinds = [kind for kind, count in zip(fleet.kinds, counts, strict=True) for _ in range(count)]
    stream(seed, "fleet").shuffle(kinds)
    zones = len(fleet.zones)
    cells = math.ceil(math.ceil(fleet.nodes / zones) / fleet.cell_size)  # of a zone
    taken: set[str] = set()
    return [
        draw_node(
            scenario,
            seed,
            number,
            number % zones,
            number % zones * cells + number // zones // fleet.cell_size,
            kind,
            taken,
        )
        for number, kind in enumerate(kinds)
    ]


def draw_node(
    scenario: Scenario, seed: int, number: int, zone: int, cell: int, kind: Kind, taken: set[str]
) -> NodeDrawn:
    """One node, drawn from a stream of its own by `number`; its name is added to those `taken`."""
    fleet, cores = scenario.fleet, kind.cores
    rng = stream(seed, "node", number)
    name = f"s-{rng.getrandbits(32):08x}"
    while name in taken:
        name = f"s-{rng.getrandbits(32):08x}"
    taken.add(name)

    def of(figure: Figure) -> float:
        return drawn(rng, figure)

    return NodeDrawn(
        number=number,
        name=name,
        zone=zone,
        cell=cell,
        kind=kind.name,
        cores=cores,
        speed=of(kind.speed),
        slots=max(1, round(of(kind.slots) * cores)),
        waiting=round(of(kind.waiting) * cores),
        crowd_at=of(kind.crowd_at) * cores,
        crowd_cost=of(kind.crowd_cost),
        cold_from=of(kind.cold_from),
        warm_ms=of(kind.warm_s) * 1000,
        pause_every_ms=of(kind.pause_every_s) * 1000,
        pause_ms=of(kind.pause_ms),
        error_rate=of(kind.error_rate),
        cancel=kind.cancel,
        drops_expired=kind.drops_expired,
        connections=max(1, round(of(fleet.connections) * cores)),
        handshake_ms=of(fleet.handshake_ms),
        handshake_trips=of(fleet.handshake_trips),
        idle_ms=of(fleet.idle_s) * 1000,
        closes_behind=fleet.closes_behind,
        probe_ms=of(fleet.probe_ms),
        report_every_ms=of(fleet.report_every_ms),
        report_late_ms=of(fleet.report_late_ms),
        report_noise=of(fleet.report_noise),
        jam_at=fleet.jam.at * cores,
        jam_over_ms=fleet.jam.over_s * 1000,
        jam_slower=fleet.jam.slower,
        jam_below=fleet.jam.below,
        jam_rest_ms=fleet.jam.rest_s * 1000,
        jam_most_ms=fleet.jam.most_s * 1000,
        seed=rng.getrandbits(32),
    )
