"""Days drawn by a seed: a few troubles of all kinds at drawn moments, and perhaps a final fault."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.faults import Troubles
from coveport.serving.simulation.world import DayResult, SimulatedDeployment

LENGTH_S: Final = 16.0
QUIET_S: Final = 8.0  # after the traffic, and after a final fault: what is read back must be there by then
MOST_TROUBLES: Final = 4
LAST_BEGIN_S: Final = 9.0  # no trouble begins later, so that the end of each is seen

Draw = Callable[[SimulatedDeployment, Troubles, float, Random], object]


def _kill_coordinator(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.kill(at_s, chance.choice(day.coordinators), chance.uniform(0.5, 4.0))


def _kill_coordinators(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    for machine in day.coordinators:
        troubles.kill(at_s, machine, chance.uniform(0.3, 0.9))


def _lose_power(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.lose_power(at_s, chance.choice(day.coordinators), chance.uniform(1.0, 4.0))


def _wipe(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.lose_power(at_s, chance.choice(day.coordinators), chance.uniform(1.0, 4.0), wipe=True)


def _freeze(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    machine = chance.choice([*day.coordinators, *day.proxies])
    troubles.freeze(at_s, machine, chance.uniform(0.5, 4.0))


def _slow_disk(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.slow_disk(at_s, chance.choice(day.coordinators), 5.0, chance.choice((0.05, 0.5, 3.0)))


def _kill_proxy(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.kill(at_s, chance.choice(day.proxies), chance.uniform(0.5, 4.0))


def _roll_proxies(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.roll(at_s, day.proxies, chance.uniform(0.3, 1.5))


def _roll_coordinators(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.roll(at_s, day.coordinators, chance.uniform(0.3, 1.5))


def _cut_region(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    region = chance.choice(day.deployment.zones).region
    troubles.cut_region(at_s, region, chance.uniform(1.0, 6.0), how=chance.choice(("both", "in", "out")))


def _cut_coordinator(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    how = chance.choice(("both", "in", "out"))
    troubles.cut_off(at_s, [chance.choice(day.coordinators)], chance.uniform(1.0, 6.0), how=how)


def _crash_node(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.crash_node(at_s, chance.choice(day.nodes), chance.uniform(2.5, 5.0))


def _darken_node(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.darken_node(at_s, chance.choice(day.nodes), chance.uniform(2.0, 5.0))


def _close_node(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    notice = chance.choice((None, None, 2.0))
    troubles.close_node(at_s, chance.choice(day.nodes), chance.choice((None, 8.0)), notice)


def _evacuate(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.evacuate(at_s, chance.choice(day.deployment.zones).name, chance.uniform(5.5, 8.0))


def _add_route(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.add_route(at_s, f"added-{chance.randrange(1000)}")


def _race(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.race(at_s)


def _send_invalid(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.send_invalid(at_s)


def _replace(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.replace_coordinator(at_s, chance.choice(day.coordinators), chance.uniform(0.5, 4.0))


def _refusing_disk(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.refusing_disk(at_s, chance.choice(day.coordinators), chance.uniform(1.0, 5.0))


def _spoil_node(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    fault = chance.choice(("break_off_share", "garble_share", "surplus_share", "refuse_share"))
    share = chance.uniform(0.05, 0.6)
    for node in day.nodes:
        if chance.random() < 0.6:
            troubles.spoil_node(at_s, node, 5.0, fault, share)


def _burst(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    kind, rate = chance.choice(day.deployment.rates)
    troubles.burst(at_s, kind, rate * chance.uniform(1.0, 4.0), 5.0)


def _turn_cold(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    troubles.turn_cold(at_s, chance.choice(day.nodes), chance.uniform(1.0, 4.0))


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
    "cut region": _cut_region,
    "cut coordinator": _cut_coordinator,
    "node crashes": _crash_node,
    "node goes dark": _darken_node,
    "node closes": _close_node,
    "nodes misbehave": _spoil_node,
    "node turns cold": _turn_cold,
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
"""No two of these in a day: more than the deployment says that it bears at once."""


def _power_off_all(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    for machine in (*day.coordinators, *day.proxies):
        troubles.lose_power(at_s, machine, 1.0)


def _wipe_one(day: SimulatedDeployment, troubles: Troubles, at_s: float, chance: Random) -> None:
    wiped = chance.choice(day.coordinators)
    for machine in day.coordinators:
        troubles.lose_power(at_s, machine, 1.0, wipe=machine is wiped)


CLOSINGS: Final[dict[str, Draw]] = {
    "all lose power": _power_off_all,
    "all coordinators lose power, one its disk": _wipe_one,
    "all coordinators are killed": _kill_coordinators,
}


@dataclass(frozen=True, slots=True)
class DrawnTrouble:
    """One trouble of a day."""

    name: str
    at_s: float

    def __str__(self) -> str:
        return f"{self.name} at {self.at_s:.2f} s"


def draw_troubles(seed: int) -> tuple[DrawnTrouble, ...]:
    """The troubles of a day; the last one may be a final fault right behind a change."""
    chance = Random(f"schedule {seed}")
    names: list[str] = []
    for _ in range(chance.randint(1, MOST_TROUBLES)):
        name = chance.choice(list(DRAWS))
        if name not in _ON_THE_CORE or not _ON_THE_CORE & set(names):
            names.append(name)
    found = [DrawnTrouble(name, chance.uniform(0.5, LAST_BEGIN_S)) for name in names]
    if chance.random() < 0.3:
        found.append(DrawnTrouble("add route", LENGTH_S - 1.0))
        found.append(DrawnTrouble(chance.choice(list(CLOSINGS)), LENGTH_S - 1.0 + chance.uniform(0.02, 0.3)))
    return tuple(sorted(found, key=lambda one: one.at_s))


def play_drawn(seed: int, deployment: Deployment | None = None) -> tuple[DayResult, SimulatedDeployment]:
    """The day of a seed, and what it was played with."""
    day = SimulatedDeployment(deployment or Deployment(), seed)
    troubles = Troubles(day)
    for at, drawn in enumerate(draw_troubles(seed)):
        draw = DRAWS.get(drawn.name) or CLOSINGS[drawn.name]
        draw(day, troubles, drawn.at_s, Random(f"trouble {seed} {at}"))
    day.quiet_s = QUIET_S
    return day.play(LENGTH_S), day
