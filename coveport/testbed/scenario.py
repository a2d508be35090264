"""What a scenario file may say, a day of the tables of `schema` and `faults`; checked before anything starts.

A figure written as `[low, high]` is drawn anew for each seed (and for each node where it is a node's), evenly
between the two; a plain number is taken as it is. Defaults are the figures of the ledger's deployment.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

from msgspec import field

from coveport.testbed.faults import SIMULATED_FAULTS, AnyFault
from coveport.testbed.scenario_checks import check_day
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
from coveport.testbed.tables import Bounds, Tables, TablesError


class Scenario(Strict, frozen=True):
    """A day."""

    title: Title
    about: str = ""
    seed: Annotated[int, Bounds(0, 2**53)] = 1  # played where none is asked for
    length_s: Annotated[float, Bounds(0, 86_400, above=True)] = 20.0
    settle_s: From0 = 1.0  # of the start that does not count
    tail_s: Annotated[float, Bounds(0, 3600)] = 8.0  # how long after the last arrival it runs on at most
    quiet_s: Annotated[float, Bounds(0, 3600)] = 0.0  # after that, until sidecars are told to stop
    fleet: Fleet = Fleet()
    classes: tuple[Class, ...] = field(default_factory=default_classes)
    load: Load = Load()
    network: Network = Network()
    discovery: DiscoveryService = DiscoveryService()
    rules: Rules = Rules()
    limits: Limits = Limits()
    faults: tuple[AnyFault, ...] = ()
    expect: Expect = Expect()


# Reading.

# By field; checked in place of what must be there and is not, or is wrong.
STAND_INS: dict[str, Any] = {
    "title": "?",
    "name": "x",
    "share": 1.0,
    "work_ms": 1.0,
    "repeats": "safe",
    "aim_ms": 1.0,
    "deadline_ms": 1.0,
    "at_s": 0.0,
}

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
"""Figures of the network that simulated ground alone can do."""


class ScenarioError(Exception):
    """A scenario can't be used; its text is one line: `FILE: KEY: what is wrong; what would be right`."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(" ".join(f"{name}: {text}".split()))


def load(path: Path, sets: Sequence[str] = ()) -> Scenario:
    """Read and check a file, with `sets` laid over it (see `parse`); ScenarioError in one line."""
    try:
        text = path.read_bytes().decode()
    except OSError as problem:
        raise ScenarioError(
            str(path),
            f"file: can't be read, {(problem.strerror or str(problem)).lower()}; the path of a scenario",
        ) from problem
    except UnicodeDecodeError as problem:
        raise ScenarioError(str(path), f"byte {problem.start}: not UTF-8; a text in UTF-8") from problem
    return parse(text, str(path), sets)


def parse(text: str, name: str, sets: Sequence[str] = ()) -> Scenario:
    """Read and check a scenario; `name` is what errors call it.

    `sets` are `KEY=VALUE` laid over the file in their order: keys dotted, positions in lists by number
    (`faults.0.size=4`, `faults[0].size=4`; one more than there are adds one), values as in TOML, anything
    else taken as a string. Raises ScenarioError with one line on what is wrong first in the file, sets last.
    """
    try:
        tables = Tables(text, sets, Scenario, STAND_INS)
    except TablesError as problem:
        raise ScenarioError(name, str(problem)) from problem
    check_day(tables.value, tables.say)
    if problem_text := tables.first():
        raise ScenarioError(name, problem_text)
    return tables.value


def needs_simulation(day: Scenario) -> str:
    """The first key that simulated ground alone can do; empty where there is none."""
    calm = Network()
    for name in SIMULATED_FIGURES:
        if getattr(day.network, name) != getattr(calm, name):
            return f"network.{name}"
    return next(
        (
            f"faults[{number}].kind"
            for number, fault in enumerate(day.faults)
            if isinstance(fault, SIMULATED_FAULTS)
        ),
        "",
    )


def nonsense(day: Scenario) -> str:
    """What makes no sense first in a scenario that no file was read for; empty where all does."""
    said: list[str] = []
    check_day(day, lambda place, text, *needs: said.append(f"{'.'.join(map(str, place))}: {text}"))
    return said[0] if said else ""
