"""After losses, every coordinator serves the newest configuration, for longer than `InTouchMs`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from coveport.http1 import write_request
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.operator import read_edition
from coveport.serving.simulation.registration import call_following
from coveport.serving.simulation.world import SimulatedDeployment
from coveport.serving.wire.names import Path

CHANGE_S = 3.0
END_S = 5.0
DOWN_S = 1.0
READ_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0


def all_processes_killed(day: SimulatedDeployment, faults: FaultInjector) -> None:
    for machine in (*day.coordinators, *day.proxies):
        faults.kill(END_S, machine, DOWN_S)


def all_power_lost(day: SimulatedDeployment, faults: FaultInjector) -> None:
    for machine in (*day.coordinators, *day.proxies):
        faults.lose_power(END_S, machine, DOWN_S)


def a_disk_lost_while_all_others_lose_power(day: SimulatedDeployment, faults: FaultInjector) -> None:
    faults.end_with_lost_disks(END_S, [day.coordinators[0]], DOWN_S)


@dataclass
class Reader:
    """Reads from every coordinator, following redirects, and records the editions by coordinator."""

    day: SimulatedDeployment
    until_s: float
    editions: dict[str, list[int]] = field(default_factory=dict)
    statuses: set[int] = field(default_factory=set)

    async def read(self) -> None:
        await asyncio.gather(*(self._read_at(machine) for machine in self.day.coordinators))

    async def _read_at(self, machine: Machine) -> None:
        address = (machine.spot.ip, self.day.deployment.ports.control)
        request = write_request("GET", Path.CONFIG, [("Host", "core")])
        editions = self.editions.setdefault(machine.spot.ip, [])
        while self.day.world.now < self.until_s:
            response = await call_following(self.day.operators[1]._net, address, request, CALL_TIMEOUT_S)
            if response is not None:
                self.statuses.add(response[1].status)
            if response is not None and response[1].status == 200:
                editions.append(read_edition(response[1].body)[0])
            await asyncio.sleep(READ_INTERVAL_S)


@pytest.mark.parametrize(
    "end", [all_processes_killed, all_power_lost, a_disk_lost_while_all_others_lose_power]
)
@pytest.mark.parametrize("seed", [1, 2])
def test_every_coordinator_answers_the_newest_again_and_again(
    end: Callable[[SimulatedDeployment, FaultInjector], None], seed: int
) -> None:
    day = SimulatedDeployment(Deployment(), seed)
    faults = FaultInjector(day)
    faults.add_route(CHANGE_S, "added")
    end(day, faults)
    in_touch_s = day.deployment.bounds.in_touch_ms / 1000
    read_for_s = 2.0 * in_touch_s
    began_s = day.traffic_from_s + END_S + DOWN_S
    reader = Reader(day, began_s + read_for_s)
    day.at(END_S + DOWN_S, lambda: day.run_operator(day.operators[1], reader.read))
    result = day.play(END_S + DOWN_S + read_for_s + 2.0)
    assert [str(breach) for breach in result.breaches] == [] and list(result.problems) == []
    newest = day.operators[0].configuration.edition
    assert newest > 0
    assert reader.statuses <= {200, 503}, (
        "a coordinator that can't confirm the newest edition must answer 503"
    )
    for editions in reader.editions.values():
        assert set(editions) == {newest}
        assert len(editions) > in_touch_s / (READ_INTERVAL_S + CALL_TIMEOUT_S), (
            "answered for longer than `InTouchMs`"
        )
