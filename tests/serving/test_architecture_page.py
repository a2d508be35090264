"""docs/architecture.md names every package of the serving system, the order of imports, and real files."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
SYSTEM = ROOT / "coveport" / "serving"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
PART = PAGE.partition("\n## The serving system\n")[2].partition("\n## The sidecar\n")[0]


def test_every_package_has_its_row() -> None:
    packages = {made.parent.name for made in SYSTEM.glob("*/__init__.py")}
    assert len(packages) > 10
    assert set(re.findall(r"^\| `(\w+)` \|", PART, re.MULTILINE)) == packages


def test_the_order_of_imports_is_that_of_the_contract() -> None:
    contracts = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]["contracts"]
    (layers,) = (one["layers"] for one in contracts if one.get("containers") == ["coveport.serving"])
    ordered = [name for layer in layers for name in re.findall(r"\w+", layer) if name != "__main__"]
    told = re.search(r"Imports run down only: (.*?)\. Time", PART, re.DOTALL)
    assert told is not None
    assert re.findall(r"`(\w+)(?:\.py)?`", told[1]) == ordered


def test_every_file_that_is_named_is_there() -> None:
    named = set(re.findall(r"`(\w+/\w+\.py)`", PART))
    assert len(named) > 25
    there = {name for name in named if (SYSTEM / name).exists() or (SYSTEM.parent / name).exists()}
    assert named - there == set()
