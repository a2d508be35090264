from __future__ import annotations

import json
from random import Random

import pytest

from coveport.serving.configuration.commands import PatchConfiguration, PutConfiguration
from coveport.serving.configuration.reader import read_configuration
from coveport.serving.configuration.state import initial_state
from coveport.serving.configuration.state_machine import apply_command
from coveport.serving.model.findings import Refusal
from coveport.serving.replication.state_machine import Applied
from coveport.serving.scale.faults import plan_day
from coveport.serving.scale.load import change_of_edition, first_configuration
from coveport.serving.scale.sizes import NODE_WEIGHTS, Addresses, ScaleSize, spread


@pytest.mark.parametrize("count", [1, 6, 12, 71, 100, 600])
def test_spread_keeps_the_total_and_follows_the_weights(count: int) -> None:
    parts = spread(count, NODE_WEIGHTS)
    assert sum(parts) == count
    total = sum(NODE_WEIGHTS)
    assert all(
        abs(part - count * weight / total) < 1 for part, weight in zip(parts, NODE_WEIGHTS, strict=True)
    )


def test_addresses_of_the_largest_size_are_all_different() -> None:
    addresses = Addresses(9)
    all_addresses = [addresses.coordinator(number) for number in range(6)]
    all_addresses += [addresses.real_proxy(number) for number in range(7)]
    all_addresses += [addresses.proxy(number) for number in range(800)]
    all_addresses += [addresses.node(number) for number in range(2000)]
    assert len(set(all_addresses)) == len(all_addresses)
    assert all(
        0 < int(part) < 255 for address in all_addresses for part in address.split(".")[2:] if part != "0"
    )


@pytest.mark.parametrize(
    "invalid_size", [{"coordinators": 2}, {"coordinators": 7}, {"proxies": 0}, {"nodes": 2001}, {"routes": 0}]
)
def test_invalid_sizes_are_rejected(invalid_size: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="must be"):
        ScaleSize(**invalid_size)


def test_the_configuration_and_its_changes_are_accepted() -> None:
    size = ScaleSize(routes=100)
    first = apply_command(initial_state(), PutConfiguration(0, first_configuration(size)))
    assert isinstance(first, Applied)
    second = apply_command(first.state, PatchConfiguration(1, change_of_edition(2, size)))
    assert isinstance(second, Applied)
    assert second.state.edition == 2
    configuration = read_configuration(first_configuration(size))
    assert not isinstance(configuration, Refusal)
    assert len(configuration.routes) == 100
    assert sum(bool(route.home_regions) for route in configuration.routes) == 35
    assert {route.services[0].service for route in configuration.routes} == {
        service["Name"] for service in json.loads(first_configuration(size))["Services"]
    }


def test_a_day_at_full_size_has_the_specified_losses_and_restarts() -> None:
    sizes = [68, 68, 68, 34, 34, 34, 34, 146, 146, 146, 59, 59, 22, 22]
    faults_of_day = plan_day(sizes, 7, Random(1))
    single = [fault for fault in faults_of_day if len(fault.numbers) == 1]
    assert sum(fault.kind == "lose" for fault in single) == 18
    assert sum(fault.kind == "restart" for fault in single) == 52
    (rack,) = [fault for fault in faults_of_day if len(fault.numbers) > 1]
    assert rack.worker >= 7
    assert len(rack.numbers) == 12


def test_no_machine_has_two_faults_on_a_day() -> None:
    sizes = [1, 2, 3, 6, 6, 4]
    affected = [(fault.worker, number) for fault in plan_day(sizes, 3, Random(4)) for number in fault.numbers]
    assert len(set(affected)) == len(affected)
    assert all(number < sizes[worker] for worker, number in affected)
