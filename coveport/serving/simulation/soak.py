"""Days with many overlapping faults, drawn by a seed, on a deployment with tenants and singleton roles."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from coveport.serving.duties.kinds import SingletonTaskKind
from coveport.serving.model.configuration import Scaling, Tenant
from coveport.serving.settings.boot import FaultTolerance, PlatformSettings
from coveport.serving.simulation.deployment import BOUNDS, Deployment
from coveport.serving.simulation.duty_rules import PlatformHistory, UsageHistory, judge_calls, judge_usage
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.history import Breach, History
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.schedules import schedule_key_changes
from coveport.serving.simulation.world import DayResult, SimulatedDeployment
from coveport.serving.simulation.zones import Zone

LENGTH_S: Final = 32.0
QUIET_S: Final = 22.0  # after the traffic, until the last usage report is due and the final read is answered
FIRST_FAULT_S: Final = 1.0
LAST_FAULT_S: Final = 25.0
FAULTS: Final = 10
MAX_FAULT_S: Final = 7.0  # longer than two lease durations
CLOSING_PROBABILITY: Final = 0.4  # that the day ends with a change and a lost disk
TENANTS: Final = tuple(Tenant(name, (f"{name}-1", f"{name}-2")) for name in ("a", "b", "c", "d", "e", "f"))
LARGE: Final = Deployment(
    zones=tuple(
        Zone(f"{region}-{at}", region) for region in ("bizkaia", "asturias", "cantabria") for at in (1, 2)
    ),
    proxies=(4,) * 6,
    nodes=(2,) * 6,
    clients=(2,) * 6,
    tenants=TENANTS,
    tolerated=FaultTolerance(2, 1, 1),
    bounds=replace(BOUNDS, is_fenced=True),
    platform=PlatformSettings(("10.250.0.1", 8346), frozenset(SingletonTaskKind), 20.0),
    scaling=Scaling(1, 6, 3.0),
    clients_reuse_open_connections=True,
)
SMALL: Final = replace(
    LARGE, zones=LARGE.zones[::2], proxies=(1,) * 3, nodes=(2,) * 3, clients=(2,) * 3,
    tolerated=FaultTolerance(1, 1, 1),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Draw:
    """Draws the parameters of a day's faults, and injects them."""

    day: SimulatedDeployment
    faults: FaultInjector
    rng: Random

    def length_s(self) -> float:
        """Draw the duration of a fault."""
        return self.rng.uniform(0.5, MAX_FAULT_S)

    def coordinator(self) -> Machine:
        """Draw a coordinator."""
        return self.rng.choice(self.day.coordinators)

    def half_of(self, machines: Sequence[Machine]) -> list[Machine]:
        """Draw half of the machines."""
        return self.rng.sample(machines, (len(machines) + 1) // 2)

    def how(self) -> str:
        """Draw the direction of a network partition."""
        return self.rng.choice(("both", "in", "out"))


def _holder(day: SimulatedDeployment) -> Machine | None:
    """Return the coordinator that called the platform last; None if none of them did."""
    assert day.platform is not None
    address = day.platform.calls[-1].machine if day.platform.calls else ""
    return next((machine for machine in day.coordinators if machine.spot.ip == address), None)


def _schedule_on_holder(draw: Draw, at_s: float, inject: Callable[[Machine, float], object]) -> None:
    """Schedule a fault on the machine that holds the singleton roles at `at_s`."""

    def begin() -> None:
        machine = _holder(draw.day)
        if machine is not None:
            inject(machine, at_s + 0.01)

    draw.day.at(at_s, begin)


def _kill(draw: Draw, at_s: float) -> None:
    draw.faults.kill(at_s, draw.coordinator(), draw.length_s())


def _kill_holder(draw: Draw, at_s: float) -> None:
    length_s = draw.length_s()
    _schedule_on_holder(draw, at_s, lambda machine, now_s: draw.faults.kill(now_s, machine, length_s))


def _freeze_holder(draw: Draw, at_s: float) -> None:
    length_s = draw.rng.uniform(BOUNDS.lease_ms / 1000, MAX_FAULT_S)
    _schedule_on_holder(draw, at_s, lambda machine, now_s: draw.faults.freeze(now_s, machine, length_s))


def _cut_holder(draw: Draw, at_s: float) -> None:
    length_s, how = draw.length_s(), draw.how()
    _schedule_on_holder(
        draw,
        at_s,
        lambda machine, now_s: draw.faults.isolate(
            now_s, [machine], length_s, how=how, from_machines=draw.day.coordinators
        ),
    )


def _kill_proxies(draw: Draw, at_s: float) -> None:
    for machine in draw.half_of(draw.day.proxies)[:4]:
        draw.faults.kill(at_s + draw.rng.random(), machine, draw.length_s())


def _kill_all(draw: Draw, at_s: float) -> None:
    for machine in draw.day.coordinators:
        draw.faults.kill(at_s, machine, draw.rng.uniform(0.3, 3.0))


def _roll(draw: Draw, at_s: float) -> None:
    machines = draw.rng.choice((draw.day.coordinators, draw.half_of(draw.day.proxies)))
    draw.faults.roll(at_s, machines, draw.rng.uniform(0.1, 1.0))


def _hang_up(draw: Draw, at_s: float) -> None:
    machines = draw.half_of([*draw.day.coordinators, *draw.day.proxies])
    draw.faults.hang_up(at_s, machines, draw.rng.uniform(6.0, 9.0))


def _freeze(draw: Draw, at_s: float) -> None:
    machine = draw.rng.choice([*draw.day.coordinators, *draw.day.proxies])
    draw.faults.freeze(at_s, machine, draw.rng.uniform(BOUNDS.lease_ms / 1000, MAX_FAULT_S))


def _freeze_many(draw: Draw, at_s: float) -> None:
    length_s = draw.length_s()
    for machine in draw.half_of(draw.day.coordinators):
        draw.faults.freeze(at_s, machine, length_s)


def _cut_one(draw: Draw, at_s: float) -> None:
    machine = draw.rng.choice([*draw.day.coordinators, *draw.day.proxies])
    draw.faults.isolate(at_s, [machine], draw.length_s(), how=draw.how())


def _cut_half(draw: Draw, at_s: float) -> None:
    inside = [*draw.half_of(draw.day.coordinators), *draw.half_of(draw.day.proxies)]
    draw.faults.isolate(at_s, inside, draw.length_s(), how=draw.how())


def _cut_region(draw: Draw, at_s: float) -> None:
    region = draw.rng.choice(draw.day.deployment.zones).region
    draw.faults.isolate_region(at_s, region, draw.length_s(), how=draw.how())


def _lose_power(draw: Draw, at_s: float) -> None:
    draw.faults.lose_power(at_s, draw.coordinator(), draw.length_s())


def _lose_zone(draw: Draw, at_s: float) -> None:
    zone = draw.rng.choice(draw.day.deployment.zones)
    length_s = draw.length_s()
    for machine in (*draw.day.coordinators, *draw.day.proxies):
        if machine.spot.zone == zone:
            draw.faults.lose_power(at_s, machine, length_s)


def _lose_all_power(draw: Draw, at_s: float) -> None:
    draw.faults.end_with_lost_disks(at_s, (), draw.rng.uniform(0.5, 2.0))


def _lose_disk_and_all_power(draw: Draw, at_s: float) -> None:
    draw.faults.end_with_lost_disks(at_s, [draw.coordinator()], draw.rng.uniform(0.5, 2.0))


def _slow_disk(draw: Draw, at_s: float) -> None:
    draw.faults.slow_disk(at_s, draw.coordinator(), draw.length_s(), draw.rng.choice((0.05, 0.5, 3.0)))


def _throttle(draw: Draw, at_s: float) -> None:
    machines = draw.rng.choice((draw.half_of(draw.day.coordinators), draw.half_of(draw.day.proxies)))
    draw.faults.throttle(at_s, machines, draw.length_s(), draw.rng.uniform(0.01, 0.06))


def _silent_platform(draw: Draw, at_s: float) -> None:
    draw.faults.trouble_platform(at_s, draw.length_s(), is_silent=True)


def _down_platform(draw: Draw, at_s: float) -> None:
    draw.faults.trouble_platform(at_s, draw.length_s(), is_down=True)


def _slow_platform(draw: Draw, at_s: float) -> None:
    draw.faults.trouble_platform(at_s, draw.length_s(), delay_s=draw.rng.uniform(0.2, 4.0))


def _throttling_platform(draw: Draw, at_s: float) -> None:
    draw.faults.trouble_platform(at_s, draw.length_s(), calls_per_s=draw.rng.choice((0, 1, 2)))


def _cut_platform(draw: Draw, at_s: float) -> None:
    draw.faults.cut_platform(at_s, draw.half_of(draw.day.coordinators), draw.length_s(), how=draw.how())


def _crash_node(draw: Draw, at_s: float) -> None:
    draw.faults.crash_node(at_s, draw.rng.choice(draw.day.nodes), draw.rng.uniform(2.5, 5.0))


def _evacuate(draw: Draw, at_s: float) -> None:
    draw.faults.evacuate(at_s, draw.rng.choice(draw.day.deployment.zones).name, draw.rng.uniform(5.5, 7.0))


def _add_route(draw: Draw, at_s: float) -> None:
    draw.faults.add_route(at_s, f"added-{draw.rng.randrange(10000)}")


def _race(draw: Draw, at_s: float) -> None:
    draw.faults.race(at_s)


def _send_shared_key(draw: Draw, at_s: float) -> None:
    draw.faults.send_shared_key(at_s)


KINDS: Final[dict[str, Callable[[Draw, float], None]]] = {
    "kill coordinator": _kill,
    "kill holder": _kill_holder,
    "freeze holder": _freeze_holder,
    "cut holder": _cut_holder,
    "kill proxies": _kill_proxies,
    "kill all coordinators": _kill_all,
    "roll": _roll,
    "hang up": _hang_up,
    "freeze": _freeze,
    "freeze half of the core": _freeze_many,
    "cut one": _cut_one,
    "cut half": _cut_half,
    "cut region": _cut_region,
    "lose power": _lose_power,
    "lose a zone": _lose_zone,
    "lose all power": _lose_all_power,
    "lose a disk and all power": _lose_disk_and_all_power,
    "slow disk": _slow_disk,
    "throttle": _throttle,
    "platform silent": _silent_platform,
    "platform down": _down_platform,
    "platform slow": _slow_platform,
    "platform throttles": _throttling_platform,
    "platform cut": _cut_platform,
    "node crashes": _crash_node,
    "evacuate": _evacuate,
    "add route": _add_route,
    "race": _race,
    "shared key": _send_shared_key,
}
_AT_MOST_ONCE: Final = frozenset({"lose a disk and all power"})
"""A second disk may be lost before the first is replaced, which exceeds the tolerated faults."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of a day, with the drawn faults and the breaches of all rules."""

    day: DayResult
    drawn: tuple[tuple[float, str], ...]
    breaches: tuple[Breach, ...]
    fences: int  # number of fencing tokens in accepted calls
    windows: int  # number of accepted usage reports

    @property
    def is_good(self) -> bool:
        """Return whether no rule was broken and no program raised an error."""
        return not (self.breaches or self.day.problems)


def draw_series(seed: int) -> tuple[tuple[float, str], ...]:
    """Draw a day's faults, with their start times; the day may end with the loss of a disk and all power."""
    rng = Random(f"soak {seed}")
    series: list[tuple[float, str]] = []
    at_s = FIRST_FAULT_S
    for _ in range(FAULTS):
        name = rng.choice([kind for kind in KINDS if kind not in _AT_MOST_ONCE])
        series.append((at_s, name))
        at_s = min(LAST_FAULT_S, at_s + rng.choice((0.05, 1.0, 2.5, 5.0)) * rng.random() * 2)
    if rng.random() < CLOSING_PROBABILITY:
        series.append((LENGTH_S - 1.0, "add route"))
        series.append((LENGTH_S - 1.0 + rng.uniform(0.02, 0.3), "lose a disk and all power"))
    return tuple(series)


def play_soak(seed: int, deployment: Deployment = LARGE, *, calm: bool = False) -> SoakResult:
    """Play the day of a seed; `calm`: without faults and changes."""
    day = SimulatedDeployment(deployment, seed)
    drawn = () if calm else draw_series(seed)
    faults = FaultInjector(day)
    for number, (at_s, name) in enumerate(drawn):
        KINDS[name](Draw(day, faults, Random(f"soak {seed} {number}")), at_s)
    if not calm:
        schedule_key_changes(day, faults)
    day.quiet_s = QUIET_S
    result = day.play(LENGTH_S)
    return _judged(day, result, drawn)


def _judged(day: SimulatedDeployment, result: DayResult, drawn: tuple[tuple[float, str], ...]) -> SoakResult:
    assert day.platform is not None
    starts_s = {machine.spot.ip: tuple(machine.started_s) for machine in day.coordinators}
    bounds = day.deployment.bounds
    platform = PlatformHistory(day.platform.calls, bounds, starts_s)
    history = History.of(day.event_log, bounds, len(day.coordinators))
    usage = UsageHistory(platform, history, day.world.unix_s() - day.world.now, day.world.now)
    breaches = (*result.breaches, *judge_calls(platform), *judge_usage(usage))
    fences = len({call.fence for call in platform.accepted})
    return SoakResult(result, drawn, breaches, fences, len(platform.reports))
