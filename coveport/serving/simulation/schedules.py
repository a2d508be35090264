"""Days drawn from a seed: a few faults of all kinds at random times, and perhaps a final one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from coveport.serving.model.configuration import Tenant
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.world import DayResult, SimulatedDeployment

LENGTH_S: Final = 16.0
QUIET_S: Final = 8.0  # after the traffic, and after a final fault: what is read back must be there by then
MAX_FAULTS: Final = 4
LAST_FAULT_S: Final = 9.0  # no fault begins later, so that the end of each is seen

Draw = Callable[[SimulatedDeployment, FaultInjector, float, Random], object]


def _kill_coordinator(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.kill(at_s, rng.choice(day.coordinators), rng.uniform(0.5, 4.0))


def _kill_coordinators(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    for machine in day.coordinators:
        faults.kill(at_s, machine, rng.uniform(0.3, 0.9))


def _lose_power(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.lose_power(at_s, rng.choice(day.coordinators), rng.uniform(1.0, 4.0))


def _wipe(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.lose_power(at_s, rng.choice(day.coordinators), rng.uniform(1.0, 4.0), wipe=True)


def _freeze(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    machine = rng.choice([*day.coordinators, *day.proxies])
    faults.freeze(at_s, machine, rng.uniform(0.5, 4.0))


def _slow_disk(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.slow_disk(at_s, rng.choice(day.coordinators), 5.0, rng.choice((0.05, 0.5, 3.0)))


def _kill_proxy(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.kill(at_s, rng.choice(day.proxies), rng.uniform(0.5, 4.0))


def _roll_proxies(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.roll(at_s, day.proxies, rng.uniform(0.3, 1.5))


def _roll_coordinators(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.roll(at_s, day.coordinators, rng.uniform(0.3, 1.5))


def _isolate_region(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    region = rng.choice(day.deployment.zones).region
    faults.isolate_region(at_s, region, rng.uniform(1.0, 6.0), how=rng.choice(("both", "in", "out")))


def _isolate_coordinator(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    how = rng.choice(("both", "in", "out"))
    faults.isolate(at_s, [rng.choice(day.coordinators)], rng.uniform(1.0, 6.0), how=how)


def _crash_node(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.crash_node(at_s, rng.choice(day.nodes), rng.uniform(2.5, 5.0))


def _hang_node(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.hang_node(at_s, rng.choice(day.nodes), rng.uniform(2.0, 5.0))


def _close_node(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    notice = rng.choice((None, None, 2.0))
    faults.close_node(at_s, rng.choice(day.nodes), rng.choice((None, 8.0)), notice)


def _evacuate(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.evacuate(at_s, rng.choice(day.deployment.zones).name, rng.uniform(5.5, 8.0))


def _add_route(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.add_route(at_s, f"added-{rng.randrange(1000)}")


def _race(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.race(at_s)


def _send_invalid(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.send_invalid(at_s)


def _replace(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.replace_coordinator(at_s, rng.choice(day.coordinators), rng.uniform(0.5, 4.0))


def _refusing_disk(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.refusing_disk(at_s, rng.choice(day.coordinators), rng.uniform(1.0, 5.0))


def _spoil_node(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    fault = rng.choice(
        ("break_off_probability", "garble_probability", "surplus_probability", "refuse_probability")
    )
    probability = rng.uniform(0.05, 0.6)
    for node in day.nodes:
        if rng.random() < 0.6:
            faults.spoil_node(at_s, node, 5.0, fault, probability)


def _burst(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    kind, rate = rng.choice(day.deployment.rates)
    faults.burst(at_s, kind, rate * rng.uniform(1.0, 4.0), 5.0)


def _begin_warm_up(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.begin_warm_up(at_s, rng.choice(day.nodes), rng.uniform(1.0, 4.0))


DRAWS: Final[dict[str, Draw]] = {
    "kill coordinator": _kill_coordinator,
    "kill all coordinators": _kill_coordinators,
    "coordinator loses power": _lose_power,
    "coordinator loses its disk": _wipe,
    "freeze": _freeze,
    "slow disk": _slow_disk,
    "refusing disk": _refusing_disk,
    "replace coordinator": _replace,
    "kill proxy": _kill_proxy,
    "roll proxies": _roll_proxies,
    "roll coordinators": _roll_coordinators,
    "cut region": _isolate_region,
    "cut coordinator": _isolate_coordinator,
    "node crashes": _crash_node,
    "node goes dark": _hang_node,
    "node closes": _close_node,
    "nodes misbehave": _spoil_node,
    "node turns cold": _begin_warm_up,
    "burst": _burst,
    "evacuate": _evacuate,
    "add route": _add_route,
    "race": _race,
    "invalid configurations": _send_invalid,
}
_ON_THE_CORE: Final = frozenset(
    {
        "coordinator loses power",
        "coordinator loses its disk",
        "cut region",
        "cut coordinator",
        "slow disk",
        "refusing disk",
        "replace coordinator",
    }
)
"""No two of these in a day: together they exceed what the deployment tolerates."""


def _power_off_all(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    for machine in (*day.coordinators, *day.proxies):
        faults.lose_power(at_s, machine, 1.0)


def _wipe_one(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    wiped = rng.choice(day.coordinators)
    for machine in day.coordinators:
        faults.lose_power(at_s, machine, 1.0, wipe=machine is wiped)


CLOSINGS: Final[dict[str, Draw]] = {
    "all lose power": _power_off_all,
    "all coordinators lose power, one its disk": _wipe_one,
    "all coordinators are killed": _kill_coordinators,
}


@dataclass(frozen=True, slots=True)
class DrawnFault:
    """One scheduled fault of a day."""

    name: str
    at_s: float

    def __str__(self) -> str:
        return f"{self.name} at {self.at_s:.2f} s"


def draw_faults(seed: int) -> tuple[DrawnFault, ...]:
    """Return the faults of a day; the last one may directly follow a change."""
    rng = Random(f"schedule {seed}")
    names: list[str] = []
    for _ in range(rng.randint(1, MAX_FAULTS)):
        name = rng.choice(list(DRAWS))
        if name not in _ON_THE_CORE or not _ON_THE_CORE & set(names):
            names.append(name)
    found = [DrawnFault(name, rng.uniform(0.5, LAST_FAULT_S)) for name in names]
    if rng.random() < 0.3:
        found.append(DrawnFault("add route", LENGTH_S - 1.0))
        found.append(DrawnFault(rng.choice(list(CLOSINGS)), LENGTH_S - 1.0 + rng.uniform(0.02, 0.3)))
    return tuple(sorted(found, key=lambda drawn: drawn.at_s))


def _change_keys(
    day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random, pair: tuple[Tenant, Tenant]
) -> None:
    """Take a key from the first of two tenants, move it to the second, or add one."""
    giver, taker = pair
    key, *kept = giver.api_keys
    without = replace(giver, api_keys=tuple(kept))
    added = f"{giver.name}-added"
    changed, checked = rng.choice(
        [
            ((without,), (key, *kept)),
            ((without, replace(taker, api_keys=(*taker.api_keys, key))), (key,)),
            ((replace(giver, api_keys=(*giver.api_keys, added)),), (key, added)),
        ]
    )
    faults.change_tenants(at_s, *changed, checked_keys=checked)


def schedule_key_changes(day: SimulatedDeployment, faults: FaultInjector) -> None:
    """Change the keys of each pair of tenants once; a deployment without tenants has none."""
    rng = Random(f"keys {day.seed}")
    tenants = day.deployment.tenants or ()
    for pair in zip(tenants[::2], tenants[1::2], strict=False):
        _change_keys(day, faults, rng.uniform(0.5, LAST_FAULT_S), rng, pair)


def play_drawn(seed: int, deployment: Deployment | None = None) -> tuple[DayResult, SimulatedDeployment]:
    """Play the day of a seed; return its result and the deployment."""
    day = SimulatedDeployment(deployment or Deployment(), seed)
    faults = FaultInjector(day)
    for at, drawn in enumerate(draw_faults(seed)):
        draw = DRAWS.get(drawn.name) or CLOSINGS[drawn.name]
        draw(day, faults, drawn.at_s, Random(f"trouble {seed} {at}"))
    schedule_key_changes(day, faults)
    day.quiet_s = QUIET_S
    return day.play(LENGTH_S), day
