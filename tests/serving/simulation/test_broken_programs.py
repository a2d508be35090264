"""Days of programs broken on purpose: what the judge must see, so that a day that passes says something."""

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


class FalseView(ControlView):
    """A view that changes what its proxy is told, by what its subclasses say."""

    def __setattr__(self, name: str, value: Any) -> None:
        if name == "nodes":
            value = self.false_nodes(value)
        elif name == "evacuated_zones":
            value = self.false_zones(value)
        elif name == "configuration" and value is not None:
            value = self.false_configuration(value)
        super().__setattr__(name, value)

    def false_nodes(self, nodes: immutables.Map[str, KnownNode]) -> immutables.Map[str, KnownNode]:
        return nodes

    def false_zones(self, zones: frozenset[str]) -> frozenset[str]:
        return zones

    def false_configuration(self, configuration: Configuration) -> Configuration:
        return configuration


class KeepsClosingNodes(FalseView):
    def false_nodes(self, nodes: immutables.Map[str, KnownNode]) -> immutables.Map[str, KnownNode]:
        accepting = {
            name: replace(known, node=replace(known.node, state=NodeState.ACCEPTING))
            for name, known in nodes.items()
        }
        return immutables.Map(accepting)


class KeepsZones(FalseView):
    def false_zones(self, zones: frozenset[str]) -> frozenset[str]:
        return frozenset()


class ForgetsHomes(FalseView):
    def false_configuration(self, configuration: Configuration) -> Configuration:
        routes = tuple(replace(route, home_regions=frozenset()) for route in configuration.routes)
        return replace(configuration, routes=routes)


class RepeatsEverything(FalseView):
    def false_configuration(self, configuration: Configuration) -> Configuration:
        routes = tuple(replace(route, resumable=True, max_attempts=3) for route in configuration.routes)
        return replace(configuration, routes=routes)


class KeepsTheFirst(FalseView):
    def false_configuration(self, configuration: Configuration) -> Configuration:
        return self.configuration or configuration


class SeesNobodyCold(FalseView):
    def false_nodes(self, nodes: immutables.Map[str, KnownNode]) -> immutables.Map[str, KnownNode]:
        return immutables.Map({name: replace(known, warming_until_s=0.0) for name, known in nodes.items()})


def play(day: SimulatedDeployment, length_s: float = LENGTH_S) -> DayResult:
    result = day.play(length_s)
    assert list(result.problems) == []
    return result


def break_with(view: type[ControlView], monkeypatch: Patch) -> None:
    monkeypatch.setattr("coveport.serving.proxy.process.ControlView", view)


def rules(result: DayResult) -> set[str]:
    return {one.rule for one in result.breaches}


@pytest.fixture
def day() -> SimulatedDeployment:
    return SimulatedDeployment(Deployment(), 1)


def test_a_view_that_tells_all_breaks_nothing(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(FalseView, monkeypatch)
    FaultInjector(day).evacuate(AT_S, "gijon", 7.0)
    result = play(day)
    assert rules(result) == set()
    assert result.served_fraction > 0.97


def test_closing_nodes_that_still_get_requests(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(KeepsClosingNodes, monkeypatch)
    node = day.nodes[0]
    FaultInjector(day).close_node(AT_S, node)
    # It stays a while longer than it must, as the protocol lets it: else few requests meet it.
    monkeypatch.setattr("coveport.serving.simulation.registration.LINGER_S", 3.0)
    assert rules(play(day)) == {"DRAIN"}


def test_evacuated_zones_that_still_get_requests(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(KeepsZones, monkeypatch)
    FaultInjector(day).evacuate(AT_S, "gijon", 8.0)
    assert rules(play(day)) == {"EVAC"}


def test_homes_that_are_forgotten(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(ForgetsHomes, monkeypatch)
    assert rules(play(day)) == {"HOME"}


def test_requests_that_are_repeated_though_they_must_not(
    day: SimulatedDeployment, monkeypatch: Patch
) -> None:
    break_with(RepeatsEverything, monkeypatch)
    for node in day.nodes:
        day.at(AT_S, lambda node=node: setattr(node.server.faults, "break_off_probability", 0.5))  # type: ignore[misc]
    assert "TWICE" in rules(play(day))


def test_a_configuration_that_never_comes_into_force(day: SimulatedDeployment, monkeypatch: Patch) -> None:
    break_with(KeepsTheFirst, monkeypatch)
    FaultInjector(day).add_route(AT_S, "added")
    assert rules(play(day)) == {"CONFIG"}


def test_a_cold_node_that_gets_too_much(monkeypatch: Patch) -> None:
    # One zone with all clients and two nodes; one of them turns cold and bears little.
    zones = Deployment().zones
    told = Deployment(nodes=(1, 1, 1), clients=(9, 0, 0), warm_up_rate=0.5)
    assert [zone.name for zone in zones] == ["barakaldo", "gijon", "camargo"]

    def turned_cold(seed: int) -> set[str]:
        day = SimulatedDeployment(told, seed)
        # Told by its heartbeats: a node that turns cold without notice may get what it got before.
        FaultInjector(day).crash_node(AT_S, day.nodes[0], for_s=1.0)
        return rules(play(day))

    assert turned_cold(1) == set()
    break_with(SeesNobodyCold, monkeypatch)
    assert "FAILBACK" in turned_cold(1)


def test_a_disk_that_says_synced_and_is_not(day: SimulatedDeployment, monkeypatch: Patch) -> None:
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


def test_nodes_that_break_off_show_in_the_figures(day: SimulatedDeployment) -> None:
    for node in day.nodes:
        day.at(AT_S, lambda node=node: setattr(node.server.faults, "break_off_probability", 0.5))  # type: ignore[misc]
    result = play(day)
    assert rules(result) == set()
    assert result.served_fraction < 0.9
    assert len(result.event_log.of(RequestRan)) > 50
