"""Days with deliberately broken programs, each of which the judge must detect."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import immutables
import pytest

from coveport.serving.model.configuration import Configuration
from coveport.serving.model.node import NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.disk import SimulatedFile
from coveport.serving.simulation.events import RequestRan
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.world import DayResult, SimulatedDeployment

Patch = pytest.MonkeyPatch
LENGTH_S = 12.0
AT_S = 3.0


class AlteredView(ControlView):
    """A control view that alters the data given to its proxy; subclasses define how."""

    def __setattr__(self, name: str, value: Any) -> None:
        if name == "nodes":
            value = self.altered_nodes(value)
        elif name == "evacuated_zones":
            value = self.altered_zones(value)
        elif name == "configuration" and value is not None:
            value = self.altered_configuration(value)
        super().__setattr__(name, value)

    def altered_nodes(self, nodes: immutables.Map[str, KnownNode]) -> immutables.Map[str, KnownNode]:
        return nodes

    def altered_zones(self, zones: frozenset[str]) -> frozenset[str]:
        return zones

    def altered_configuration(self, configuration: Configuration) -> Configuration:
        return configuration


class IgnoresDraining(AlteredView):
    def altered_nodes(self, nodes: immutables.Map[str, KnownNode]) -> immutables.Map[str, KnownNode]:
        accepting = {
            name: replace(known, node=replace(known.node, state=NodeState.ACCEPTING))
            for name, known in nodes.items()
        }
        return immutables.Map(accepting)


class IgnoresEvacuations(AlteredView):
    def altered_zones(self, zones: frozenset[str]) -> frozenset[str]:
        return frozenset()


class IgnoresHomeRegions(AlteredView):
    def altered_configuration(self, configuration: Configuration) -> Configuration:
        routes = tuple(replace(route, home_regions=frozenset()) for route in configuration.routes)
        return replace(configuration, routes=routes)


class RetriesEverything(AlteredView):
    def altered_configuration(self, configuration: Configuration) -> Configuration:
        routes = tuple(replace(route, resumable=True, max_attempts=3) for route in configuration.routes)
        return replace(configuration, routes=routes)


class KeepsFirstConfiguration(AlteredView):
    def altered_configuration(self, configuration: Configuration) -> Configuration:
        return self.configuration or configuration


class IgnoresWarmUp(AlteredView):
    def altered_nodes(self, nodes: immutables.Map[str, KnownNode]) -> immutables.Map[str, KnownNode]:
        return immutables.Map({name: replace(known, warming_until_s=0.0) for name, known in nodes.items()})


def play(day: SimulatedDeployment, length_s: float = LENGTH_S) -> DayResult:
    result = day.play(length_s)
    assert list(result.problems) == []
    return result


def break_with(view: type[ControlView], monkeypatch: Patch) -> None:
    monkeypatch.setattr("coveport.serving.proxy.process.ControlView", view)


def rules(result: DayResult) -> set[str]:
    return {breach.rule for breach in result.breaches}


@pytest.fixture
def day() -> SimulatedDeployment:
    return SimulatedDeployment(Deployment(), 1)


def test_an_unaltered_view_breaks_no_rule(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(AlteredView, monkeypatch)
    FaultInjector(day).evacuate(AT_S, "gijon", 7.0)
    result = play(day)
    assert rules(result) == set()
    assert result.served_fraction > 0.97


def test_requests_to_draining_nodes_are_detected(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(IgnoresDraining, monkeypatch)
    node = day.nodes[0]
    FaultInjector(day).close_node(AT_S, node)
    # The node stays longer than necessary, as the protocol allows; otherwise few requests would reach it.
    monkeypatch.setattr("coveport.serving.simulation.registration.LINGER_S", 3.0)
    assert rules(play(day)) == {"DRAIN"}


def test_requests_to_evacuated_zones_are_detected(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(IgnoresEvacuations, monkeypatch)
    FaultInjector(day).evacuate(AT_S, "gijon", 8.0)
    assert rules(play(day)) == {"EVAC"}


def test_ignored_home_regions_are_detected(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(IgnoresHomeRegions, monkeypatch)
    assert rules(play(day)) == {"HOME"}


def test_retries_of_non_idempotent_requests_are_detected(
    day: SimulatedDeployment, monkeypatch: Patch
) -> None:
    break_with(RetriesEverything, monkeypatch)
    for node in day.nodes:
        day.at(AT_S, lambda node=node: setattr(node.server.faults, "break_off_probability", 0.5))  # type: ignore[misc]
    assert "TWICE" in rules(play(day))


def test_a_configuration_that_is_never_applied_is_detected(
    day: SimulatedDeployment, monkeypatch: Patch
) -> None:
    break_with(KeepsFirstConfiguration, monkeypatch)
    FaultInjector(day).add_route(AT_S, "added")
    assert rules(play(day)) == {"CONFIG"}


def test_too_many_requests_to_a_node_that_warms_up_are_detected(monkeypatch: Patch) -> None:
    # All clients are in one zone; its node restarts and can serve little while it warms up.
    zones = Deployment().zones
    deployment = Deployment(nodes=(1, 1, 1), clients=(9, 0, 0), warm_up_rate=0.5)
    assert [zone.name for zone in zones] == ["barakaldo", "gijon", "camargo"]

    def rules_after_restart(seed: int) -> set[str]:
        day = SimulatedDeployment(deployment, seed)
        # The restart shows in heartbeats; a node that warms up without notice may get as much as before.
        FaultInjector(day).crash_node(AT_S, day.nodes[0], for_s=1.0)
        return rules(play(day))

    assert rules_after_restart(1) == set()
    break_with(IgnoresWarmUp, monkeypatch)
    assert "FAILBACK" in rules_after_restart(1)


def test_a_disk_that_does_not_sync_is_detected(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    def lose_power_everywhere(day: SimulatedDeployment) -> DayResult:
        faults = FaultInjector(day)
        faults.add_route(AT_S, "added")
        for coordinator in day.coordinators:
            faults.lose_power(AT_S + 2.0, coordinator, for_s=1.0)
        return play(day)

    assert rules(lose_power_everywhere(day)) == set()
    monkeypatch.setattr(SimulatedFile, "sync", lambda self: None)
    found = rules(lose_power_everywhere(SimulatedDeployment(Deployment(), 1)))
    assert found == {"CONFIG"}


def test_streams_that_nodes_break_off_lower_the_served_fraction(day: SimulatedDeployment) -> None:
    for node in day.nodes:
        day.at(AT_S, lambda node=node: setattr(node.server.faults, "break_off_probability", 0.5))  # type: ignore[misc]
    result = play(day)
    assert rules(result) == set()
    assert result.served_fraction < 0.9
    assert len(result.event_log.of(RequestRan)) > 50
