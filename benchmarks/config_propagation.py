"""Time from the acknowledgement of a configuration to the last proxy that routes by it, in simulated time.

    python -m benchmarks.config_propagation [--seeds 1-20] [--json FILE]

Three coordinators, nine proxies, five nodes, with traffic; a change every 0.5 s while the trouble lasts.
Each row is a situation: of all pairs of a change and a proxy the median, the 99th of 100 and the worst, then
of the changes the last proxy alone. A proxy that is frozen or cut off from all coordinators counts from the
end of that on. No processor time is simulated, so these are the times of messages and time-outs.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles
from typing import Final

from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.events import Order, OrderEnded, OrderStarted, Verdict
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.world import SimulatedDeployment
from coveport.serving.simulation.zones import Delays

AT_S: Final = 3.0  # of the trouble, after the traffic's start
FOR_S: Final = 6.0
CHANGES: Final = 12
GAP_S: Final = 0.5
ACTIVATED: Final = re.compile(r"^at=([0-9.]+) .*event=configuration_activated edition=([0-9]+)")


CALM_DELAYS: Final = Delays()
SLOW_DELAYS: Final = Delays(between_regions_ms=120.0)


@dataclass(frozen=True, slots=True)
class Situation:
    """A trouble, and the machines by whose return a proxy's time is counted."""

    name: str
    begin: Callable[[SimulatedDeployment, FaultInjector], None]
    away_proxies: int = 0  # so many proxies are away for the whole trouble
    delays: Delays = CALM_DELAYS


def _nothing(day: SimulatedDeployment, faults: FaultInjector) -> None:
    """Leave the day calm."""


def _kill_coordinator(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.kill(AT_S + 1.0, day.coordinators[0], FOR_S)


def _power_of_coordinator(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.lose_power(AT_S + 1.0, day.coordinators[1], FOR_S)


def _cut_coordinator(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.isolate(AT_S + 1.0, [day.coordinators[0]], FOR_S, from_machines=day.coordinators)


def _freeze_coordinator(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.freeze(AT_S + 1.0, day.coordinators[2], 3.0)


def _freeze_proxy(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.freeze(AT_S, day.proxies[0], FOR_S)


def _cut_proxy(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.isolate(AT_S, [day.proxies[0]], FOR_S)


def _throttle_all(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.throttle(AT_S, [*day.coordinators, *day.proxies], FOR_S)


SITUATIONS: Final = (
    Situation("calm", _nothing),
    Situation("slow links between regions, 120 ms", _nothing, delays=SLOW_DELAYS),
    Situation("a coordinator killed", _kill_coordinator),
    Situation("a coordinator without power", _power_of_coordinator),
    Situation("a coordinator cut off from the others", _cut_coordinator),
    Situation("a coordinator frozen for 3 s", _freeze_coordinator),
    Situation("a proxy frozen", _freeze_proxy, away_proxies=1),
    Situation("a proxy cut off", _cut_proxy, away_proxies=1),
    Situation("processor quota on all", _throttle_all),
)


def measure(situation: Situation, seed: int) -> tuple[list[float], list[float]]:
    """Return the seconds of each pair of a change and a proxy, and of the last proxy of each change."""
    day = SimulatedDeployment(Deployment(proxies=(3, 3, 3), delays=situation.delays), seed)
    faults = FaultInjector(day)
    for number in range(CHANGES):
        faults.add_route(AT_S + number * GAP_S, f"added-{number}")
    situation.begin(day, faults)
    day.play(AT_S + FOR_S + 4.0)
    acknowledged_at_s = _acknowledgements(day)
    away_until_s = day.traffic_from_s + AT_S + FOR_S
    each: list[float] = []
    last: dict[int, float] = {}
    for number, proxy in enumerate(day.proxies):
        activated = [match for line in proxy.log_lines if (match := ACTIVATED.match(line))]
        for edition, acknowledged_s in acknowledged_at_s.items():
            at_s = min((float(match[1]) for match in activated if int(match[2]) >= edition), default=None)
            if at_s is None:
                raise RuntimeError(f"{proxy.spot.name} never activated edition {edition}")
            from_s = max(acknowledged_s, away_until_s) if number < situation.away_proxies else acknowledged_s
            took_s = max(0.0, at_s - from_s)
            each.append(took_s)
            last[edition] = max(last.get(edition, 0.0), took_s)
    return each, list(last.values())


def _acknowledgements(day: SimulatedDeployment) -> dict[int, float]:
    """Return when the operator had the acknowledgement of each edition, by edition."""
    kinds = {one.number: one for one in day.event_log.of(OrderStarted)}
    return {
        kinds[one.number].edition: one.at_s
        for one in day.event_log.of(OrderEnded)
        if one.verdict is Verdict.ACKNOWLEDGED and kinds[one.number].order in (Order.PATCH, Order.PUT)
    }


def _row(values: list[float]) -> tuple[float, float, float]:
    cuts = quantiles(values, n=100, method="inclusive")
    return cuts[49], cuts[98], max(values)


def main() -> int:
    """Print a table of all situations."""
    parser = argparse.ArgumentParser(description="Time from an acknowledgement to the proxies")
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    print(
        "| situation | changes | a proxy: median, 99th, worst, s | the last proxy: median, 99th, worst, s |"
    )
    print("| --- | --- | --- | --- |")
    figures = {}
    for situation in SITUATIONS:
        results = [measure(situation, seed) for seed in seeds]
        each = [value for result, _ in results for value in result]
        slowest = [value for _, result in results for value in result]
        figures[situation.name] = {"proxies": _row(each), "last": _row(slowest), "changes": len(slowest)}
        cells = [", ".join(f"{value:.2f}" for value in _row(values)) for values in (each, slowest)]
        print(f"| {situation.name} | {len(slowest)} | {cells[0]} | {cells[1]} |", flush=True)
    if arguments.json:
        arguments.json.write_text(json.dumps(figures, indent=2), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
