"""Where the scenarios that come with the program lie, and by what names they go."""

from __future__ import annotations

import difflib
from importlib import resources
from pathlib import Path

import coveport
from coveport.testbed.fault_injection.days import is_trial
from coveport.testbed.fault_injection.days import load as trial
from coveport.testbed.scenario_file import ScenarioError, load


def folder() -> Path:
    """The folder of the scenarios: a package's in an installed program, else the one beside the source."""
    installed = Path(str(resources.files(coveport))) / "scenarios"
    return installed if installed.is_dir() else Path(coveport.__file__).resolve().parents[1] / "scenarios"


def names() -> list[tuple[str, str]]:
    """Name and title of each, those in folders last; a file that can't be used has its error as title."""
    rows = []
    for name, path in _files().items():
        try:
            rows.append((name, trial(path).title if is_trial(path) else load(path).title))
        except ScenarioError as problem:
            rows.append((name, f"can't be used: {problem}"))
    return rows


def find(name_or_path: str) -> Path:
    """The file of that path, else of that name; ScenarioError lists the names, nearest first."""
    path = Path(name_or_path)
    if path.is_file():
        return path
    files = _files()
    if name_or_path in files:
        return files[name_or_path]
    near = difflib.get_close_matches(name_or_path, files, len(files), 0.5)
    known = ", ".join([*near, *(name for name in files if name not in near)])
    raise ScenarioError(name_or_path, f"file: neither a file nor a scenario's name; one of {known}")


def _files() -> dict[str, Path]:
    top = folder()
    return {
        path.relative_to(top).with_suffix("").as_posix(): path
        for pattern in ("*.toml", "found/*.toml", "trials/*.toml")
        for path in sorted(top.glob(pattern))
    }
