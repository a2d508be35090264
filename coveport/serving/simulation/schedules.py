"""Days drawn from a seed: a few faults of random kinds at random times, and sometimes a final fault."""

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
QUIET_S: Final = 8.0  # after the traffic and a final fault; then the configuration must be readable again
MAX_FAULTS: Final = 4
LAST_FAULT_S: Final = 9.0  # latest start of a fault, so that each fault ends within the day

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


def _reject_disk_writes(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    faults.reject_disk_writes(at_s, rng.choice(day.coordinators), rng.uniform(1.0, 5.0))


def _inject_node_faults(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    fault = rng.choice(
        ("break_off_probability", "garble_probability", "surplus_probability", "refuse_probability")
    )
    probability = rng.uniform(0.05, 0.6)
    for node in day.nodes:
        if rng.random() < 0.6:
            faults.inject_node_fault(at_s, node, 5.0, fault, probability)


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
    "refusing disk": _reject_disk_writes,
    "replace coordinator": _replace,
    "kill proxy": _kill_proxy,
    "roll proxies": _roll_proxies,
    "roll coordinators": _roll_coordinators,
    "cut region": _isolate_region,
    "cut coordinator": _isolate_coordinator,
    "node crashes": _crash_node,
    "node goes dark": _hang_node,
    "node closes": _close_node,
    "nodes misbehave": _inject_node_faults,
    "node turns cold": _begin_warm_up,
    "burst": _burst,
    "evacuate": _evacuate,
    "add route": _add_route,
    "race": _race,
    "invalid configurations": _send_invalid,
}
_CORE_FAULTS: Final = frozenset(
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
"""Faults of which a day has at most one: two of them exceed what the deployment tolerates."""


def _lose_all_power(day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random) -> None:
    for machine in (*day.coordinators, *day.proxies):
        faults.lose_power(at_s, machine, 1.0)


def _lose_power_and_wipe_one(
    day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random
) -> None:
    wiped = rng.choice(day.coordinators)
    for machine in day.coordinators:
        faults.lose_power(at_s, machine, 1.0, wipe=machine is wiped)


FINAL_FAULTS: Final[dict[str, Draw]] = {
    "all lose power": _lose_all_power,
    "all coordinators lose power, one its disk": _lose_power_and_wipe_one,
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
    """Return the faults of a day; a final fault directly follows a configuration change."""
    rng = Random(f"schedule {seed}")
    names: list[str] = []
    for _ in range(rng.randint(1, MAX_FAULTS)):
        name = rng.choice(list(DRAWS))
        if name not in _CORE_FAULTS or not _CORE_FAULTS & set(names):
            names.append(name)
    faults_of_day = [DrawnFault(name, rng.uniform(0.5, LAST_FAULT_S)) for name in names]
    if rng.random() < 0.3:
        faults_of_day.append(DrawnFault("add route", LENGTH_S - 1.0))
        faults_of_day.append(
            DrawnFault(rng.choice(list(FINAL_FAULTS)), LENGTH_S - 1.0 + rng.uniform(0.02, 0.3))
        )
    return tuple(sorted(faults_of_day, key=lambda drawn: drawn.at_s))


def _change_keys(
    day: SimulatedDeployment, faults: FaultInjector, at_s: float, rng: Random, pair: tuple[Tenant, Tenant]
) -> None:
    """Take a key from the first of two tenants, move it to the second, or add one."""
    old_holder, new_holder = pair
    key, *kept_keys = old_holder.api_keys
    reduced_holder = replace(old_holder, api_keys=tuple(kept_keys))
    added_key = f"{old_holder.name}-added"
    changed, checked = rng.choice(
        [
            ((reduced_holder,), (key, *kept_keys)),
            ((reduced_holder, replace(new_holder, api_keys=(*new_holder.api_keys, key))), (key,)),
            ((replace(old_holder, api_keys=(*old_holder.api_keys, added_key)),), (key, added_key)),
        ]
    )
    faults.change_tenants(at_s, *changed, checked_keys=checked)


def schedule_key_changes(day: SimulatedDeployment, faults: FaultInjector) -> None:
    """Change the keys of each pair of tenants once; does nothing in a deployment without tenants."""
    rng = Random(f"keys {day.seed}")
    tenants = day.deployment.tenants or ()
    for pair in zip(tenants[::2], tenants[1::2], strict=False):
        _change_keys(day, faults, rng.uniform(0.5, LAST_FAULT_S), rng, pair)


def play_drawn(seed: int, deployment: Deployment | None = None) -> tuple[DayResult, SimulatedDeployment]:
    """Simulate the day of a seed; return its result and the deployment."""
    day = SimulatedDeployment(deployment or Deployment(), seed)
    faults = FaultInjector(day)
    for at, drawn in enumerate(draw_faults(seed)):
        draw = DRAWS.get(drawn.name) or FINAL_FAULTS[drawn.name]
        draw(day, faults, drawn.at_s, Random(f"trouble {seed} {at}"))
    schedule_key_changes(day, faults)
    day.quiet_s = QUIET_S
    return day.play(LENGTH_S), day
