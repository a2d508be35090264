"""A trial of a supervised fleet: its size, its duration and its faults, drawn from a seed. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

from coveport.sidecar.config.operator_sections import Fleet
from coveport.testbed.fault_injection.schedules import Fault

# Drawn uniformly: a kind that is listed twice is drawn twice as often.
KINDS = (
    "sup_kill",
    "sup_kill",
    "sup_stall",
    "sup_stall",
    "sup_cut",
    "sup_lossy",
    "sup_leave",
    "store_away",
    "store_stall",
    "kill",
    "kill",
    "most_killed",
    "hang",
    "hang",
    "host_stall",
    "loop",
    "slow",
    "bad_file",
    "bad_lives",
    "term",
    "scale",
    "scale",
    "restart",
    "restart",
    "drain",
    "flood",
)
SETTINGS = Fleet(
    name="host",
    instances=5,
    at_once=3,
    a_second=4.0,
    ready_s=6.0,
    stop_s=4.0,
    hung_s=2.0,
    backoff_s=0.25,
    backoff_most_s=4.0,
    loop=4,
    loop_s=20.0,
    rest_s=15.0,
    hold_s=1.0,
)
INSTANCES_PER_START = 20  # a fleet starts more at a time for each so many instances
MAX_RESTART_S = 90.0  # that a trial waits for a rolling restart


@dataclass(frozen=True, slots=True)
class FleetTrial:
    """What is played. `over_s`: the last fault may begin until then. `calm_s`: added at the end."""

    instances: int = 5
    supervisors: int = 2
    ttl_s: float = 2.0
    over_s: float = 25.0
    calm_s: float = 0.0
    faults: tuple[Fault, ...] = ()

    @property
    def fleet(self) -> Fleet:
        """The fleet's settings: a larger one starts more instances at a time."""
        factor = max(1, self.instances // INSTANCES_PER_START)
        return msgspec.structs.replace(
            SETTINGS, instances=self.instances, at_once=3 * factor, a_second=4.0 * factor
        )

    @property
    def calm_from(self) -> float:
        """When the last fault has ended, s from the start."""
        return max([self.over_s, *(fault.at_s + fault.lasts_s for fault in self.faults)])

    @property
    def lasts_s(self) -> float:
        """Until all must serve again: rests, backoff, a start of the whole fleet, one complete restart."""
        fleet = self.fleet
        start_s = self.instances / fleet.a_second + 2 * fleet.ready_s
        restart_s = 2.5 * self.instances * (1.2 + 0.6 + fleet.hold_s)
        has_restart = any(fault.kind == "restart" for fault in self.faults)
        return (
            self.calm_from
            + 1.2 * fleet.rest_s
            + fleet.backoff_most_s
            + start_s
            + 4 * self.ttl_s
            + (min(restart_s, MAX_RESTART_S) if has_restart else 0.0)
            + self.calm_s
        )


def draw(seed: int, instances: int = 5) -> FleetTrial:
    """Return the trial that belongs to a seed."""
    rng = random.Random(f"fleet {seed}")
    faults = []
    for _ in range(rng.randint(1, 6)):
        kind = rng.choice(KINDS)
        faults.append(
            Fault(
                round(rng.uniform(1.0, 20.0), 3),
                kind,
                str(rng.randrange(instances)),
                round(rng.uniform(0.1, 8.0), 3),
                round(rng.random(), 2),
            )
        )
    return FleetTrial(
        instances,
        rng.choice((1, 2, 2, 3)),
        rng.choice((2.0, 2.0, 10.0)),
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
    )
