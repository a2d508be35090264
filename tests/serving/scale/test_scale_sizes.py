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
def test_spread_loses_nothing_and_follows_the_weights(count: int) -> None:
    parts = spread(count, NODE_WEIGHTS)
    assert sum(parts) == count
    total = sum(NODE_WEIGHTS)
    assert all(
        abs(part - count * weight / total) < 1 for part, weight in zip(parts, NODE_WEIGHTS, strict=True)
    )


def test_addresses_of_the_largest_size_are_all_different() -> None:
    addresses = Addresses(9)
    made = [addresses.coordinator(one) for one in range(6)]
    made += [addresses.real_proxy(one) for one in range(7)]
    made += [addresses.proxy(one) for one in range(800)]
    made += [addresses.node(one) for one in range(2000)]
    assert len(set(made)) == len(made)
    assert all(0 < int(part) < 255 for one in made for part in one.split(".")[2:] if part != "0")


@pytest.mark.parametrize(
    "wrong", [{"coordinators": 2}, {"coordinators": 7}, {"proxies": 0}, {"nodes": 2001}, {"routes": 0}]
)
def test_sizes_that_cannot_be_are_refused(wrong: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="must be"):
        ScaleSize(**wrong)


def test_the_configuration_and_its_changes_are_taken() -> None:
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


def test_a_day_at_full_size_has_the_losses_and_restarts_that_the_operators_name() -> None:
    sizes = [68, 68, 68, 34, 34, 34, 34, 146, 146, 146, 59, 59, 22, 22]
    strikes = plan_day(sizes, 7, Random(1))
    single = [strike for strike in strikes if len(strike.numbers) == 1]
    assert sum(strike.kind == "lose" for strike in single) == 18
    assert sum(strike.kind == "restart" for strike in single) == 52
    (rack,) = [strike for strike in strikes if len(strike.numbers) > 1]
    assert rack.worker >= 7
    assert len(rack.numbers) == 12


def test_no_machine_is_struck_twice_on_a_day() -> None:
    sizes = [1, 2, 3, 6, 6, 4]
    struck = [
        (strike.worker, number) for strike in plan_day(sizes, 3, Random(4)) for number in strike.numbers
    ]
    assert len(set(struck)) == len(struck)
    assert all(number < sizes[worker] for worker, number in struck)
