"""Read a scenario from TOML, with overrides, and check it before anything starts."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_checks import check_day
from coveport.testbed.tables import Tables, TablesError

PLACEHOLDERS: dict[str, Any] = {
    "title": "?",
    "name": "x",
    "share": 1.0,
    "work_ms": 1.0,
    "repeats": "safe",
    "aim_ms": 1.0,
    "deadline_ms": 1.0,
    "at_s": 0.0,
}
"""Values by field, checked in place of a required one that is missing or wrong."""


class ScenarioError(Exception):
    """Report a scenario that can't be used, in one line: `FILE: KEY: what is wrong; what would be right`."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(" ".join(f"{name}: {text}".split()))


def load(path: Path, sets: Sequence[str] = ()) -> Scenario:
    """Read and check a file, overridden by `sets` (see `parse`).

    Raises ScenarioError where the file can't be read or is not a usable scenario.
    """
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
    """Read and check a scenario; `name` stands for the file in errors.

    `sets` are overrides of the form `KEY=VALUE`, applied in order: keys dotted, list positions by number
    (`faults.0.size=4`, `faults[0].size=4`; the position behind the last appends), values as in TOML, anything
    else a string. Raises ScenarioError for the first problem in the file, then in the overrides.
    """
    try:
        tables = Tables(text, sets, Scenario, PLACEHOLDERS)
    except TablesError as problem:
        raise ScenarioError(name, str(problem)) from problem
    check_day(tables.value, tables.say)
    if problem_text := tables.first():
        raise ScenarioError(name, problem_text)
    return tables.value


def first_inconsistency(scenario: Scenario) -> str:
    """Return the first inconsistency of a scenario made without a file; empty where there is none."""
    problems: list[str] = []
    check_day(scenario, lambda place, text, *needs: problems.append(f"{'.'.join(map(str, place))}: {text}"))
    return problems[0] if problems else ""
