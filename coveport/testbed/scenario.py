"""Define a scenario: a day of the tables of `schema` and `faults`, with its defaults.

A figure written as `[low, high]` is drawn anew for each seed (and for each node where it is a node's), evenly
between the two; a plain number is taken as it is. Defaults are the figures of the ledger's deployment.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import field

from coveport.testbed.faults import SIMULATED_FAULTS, AnyFault
from coveport.testbed.schema import (
    Class,
    DiscoveryService,
    Expect,
    Fleet,
    From0,
    Limits,
    Load,
    Network,
    Rules,
    Strict,
    Title,
    default_classes,
)
from coveport.testbed.tables import Bounds


class Scenario(Strict, frozen=True):
    """Describe a day: fleet, load, network, faults and what is expected of them."""

    title: Title
    about: str = ""
    seed: Annotated[int, Bounds(0, 2**53)] = 1  # played where none is asked for
    length_s: Annotated[float, Bounds(0, 86_400, above=True)] = 20.0
    settle_s: From0 = 1.0  # of the start that does not count
    tail_s: Annotated[float, Bounds(0, 3600)] = 8.0  # how long after the last arrival it runs on at most
    quiet_s: Annotated[float, Bounds(0, 3600)] = 0.0  # after that, until sidecars are asked to stop
    fleet: Fleet = Fleet()
    classes: tuple[Class, ...] = field(default_factory=default_classes)
    load: Load = Load()
    network: Network = Network()
    discovery: DiscoveryService = DiscoveryService()
    rules: Rules = Rules()
    limits: Limits = Limits()
    faults: tuple[AnyFault, ...] = ()
    expect: Expect = Expect()


SIMULATED_FIGURES = (
    "split",
    "merge",
    "window",
    "reset_mid",
    "end_mid",
    "late_connect",
    "backlog",
    "accept_ms",
    "read_chunk",
)
"""Settings of the network that only the simulated network supports."""


def needs_simulation(scenario: Scenario) -> str:
    """Return the first key that only the simulated network supports; empty where there is none."""
    calm = Network()
    for name in SIMULATED_FIGURES:
        if getattr(scenario.network, name) != getattr(calm, name):
            return f"network.{name}"
    return next(
        (
            f"faults[{number}].kind"
            for number, fault in enumerate(scenario.faults)
            if isinstance(fault, SIMULATED_FAULTS)
        ),
        "",
    )
