"""Days with tenants: all coordinators' counts equal the requests that the nodes began to run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from coveport.serving.coordinator.coordinator import Coordinator
from coveport.serving.coordinator.telemetry_replication import FOLLOWER_INTERVAL_S
from coveport.serving.model.configuration import Tenant
from coveport.serving.model.telemetry import usage_window_at
from coveport.serving.proxy.process import Proxy
from coveport.serving.simulation.deployment import Deployment, proxy_settings
from coveport.serving.simulation.events import RequestArrived, RequestRan
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.world import SimulatedDeployment

WINDOW_S = 5.0
TENANTS = tuple(Tenant(name, (f"{name}-key",)) for name in ("north", "south", "west"))
LENGTH_S = 12.0


class TenantDeployment(SimulatedDeployment):
    """A deployment with tenants whose proxies count their requests."""

    def _run_proxy(self, machine: Machine, first_boot: bool, log: Any, rng: Random) -> Proxy:
        super()._run_proxy(machine, first_boot, log, rng)  # records the start of the proxy
        settings = proxy_settings(self.deployment, machine.spot, self.seeds, first_boot)
        return Proxy(machine.net, settings, rng, log, WINDOW_S)

    def _window(self, at_s: float) -> int:
        return usage_window_at(self.world.unix_s() + at_s - self.world.now, WINDOW_S)

    def requests_run(self) -> Counter[tuple[int, str]]:
        """Return how many requests began to run, by window and tenant."""
        tenants = {arrived.attempt_id: arrived.tenant for arrived in self.event_log.of(RequestArrived)}
        first_runs: dict[str, float] = {}
        for ran in self.event_log.of(RequestRan):
            first_runs.setdefault(ran.attempt_id, ran.at_s)
        return Counter((self._window(at_s), tenants[attempt]) for attempt, at_s in first_runs.items())

    def counted(self, machine: Machine) -> Counter[tuple[int, str]]:
        """Return a coordinator's counts, by window and tenant."""
        coordinator = machine.program
        assert isinstance(coordinator, Coordinator)
        usage_log = coordinator.telemetry.usage_log
        windows = {counts.window for source in usage_log.by_source().values() for counts in source}
        return Counter(
            {
                (window, count.tenant): count.requests
                for window in windows
                for count in usage_log.counts(window)
            }
        )


def play(inject_faults: Callable[[TenantDeployment, FaultInjector], object], seed: int) -> TenantDeployment:
    """Play a day and return its deployment."""
    day = TenantDeployment(Deployment(tenants=TENANTS), seed)
    inject_faults(day, FaultInjector(day))
    result = day.play(LENGTH_S)
    day.world.run(day.world.now + 2 * FOLLOWER_INTERVAL_S)  # until the last counts reach all coordinators
    assert list(result.problems) == []
    assert [str(breach) for breach in result.breaches] == []
    return day


def count_differences(day: TenantDeployment, machine: Machine) -> int:
    """Return by how many requests a coordinator's counts differ from the requests run, over all windows."""
    requests_run, counted = day.requests_run(), day.counted(machine)
    assert requests_run.total() > 50
    return ((requests_run - counted) + (counted - requests_run)).total()


@pytest.mark.parametrize("seed", [1, 2])
def test_without_faults_all_coordinators_count_the_requests_run(seed: int) -> None:
    day = play(lambda day, faults: None, seed)
    assert [count_differences(day, machine) for machine in day.coordinators] == [0, 0, 0]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_coordinator_that_restarts_has_all_counts_again(seed: int) -> None:
    day = play(lambda day, faults: faults.kill(6.0, day.coordinators[0]), seed)
    assert [count_differences(day, machine) for machine in day.coordinators] == [0, 0, 0]


def test_a_coordinator_that_was_frozen_has_all_counts_again() -> None:
    day = play(lambda day, faults: faults.freeze(4.0, day.coordinators[1], 4.0), 1)
    assert [count_differences(day, machine) for machine in day.coordinators] == [0, 0, 0]


def test_a_killed_proxy_loses_only_unreported_counts() -> None:
    day = play(lambda day, faults: faults.kill(6.0, day.proxies[0]), 1)
    differences = [count_differences(day, machine) for machine in day.coordinators]
    assert max(differences) <= 5, "at most the requests within one reporting interval are lost"
    assert len(set(differences)) == 1


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_partitioned_proxy_reports_its_counts_afterwards(seed: int) -> None:
    def cut_off(day: TenantDeployment, faults: FaultInjector) -> None:
        faults.isolate(4.0, [day.proxies[0]], 5.0, from_machines=day.coordinators)

    day = play(cut_off, seed)
    assert [count_differences(day, machine) for machine in day.coordinators] == [0, 0, 0]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_partitioned_coordinators_have_the_same_counts_afterwards(seed: int) -> None:
    def cut_off(day: TenantDeployment, faults: FaultInjector) -> None:
        faults.isolate(4.0, [day.coordinators[0]], 5.0, from_machines=day.coordinators[1:])

    day = play(cut_off, seed)
    assert [count_differences(day, machine) for machine in day.coordinators] == [0, 0, 0]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_streams_that_another_node_resumes_after_a_crash_count_once(seed: int) -> None:
    day = play(lambda day, faults: faults.crash_node(5.0, day.nodes[0]), seed)
    assert [count_differences(day, machine) for machine in day.coordinators] == [0, 0, 0]
