"""docs/architecture.md lists every package of the serving system, the import order, and existing files."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
SYSTEM = ROOT / "coveport" / "serving"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
SECTION = PAGE.partition("\n## The serving system\n")[2].partition("\n## The sidecar\n")[0]


def test_every_package_has_a_row() -> None:
    packages = {init_file.parent.name for init_file in SYSTEM.glob("*/__init__.py")}
    assert len(packages) > 10
    assert set(re.findall(r"^\| `(\w+)` \|", SECTION, re.MULTILINE)) == packages


def test_the_order_of_imports_is_that_of_the_contract() -> None:
    contracts = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]["contracts"]
    (layers,) = (
        contract["layers"] for contract in contracts if contract.get("containers") == ["coveport.serving"]
    )
    ordered = [name for layer in layers for name in re.findall(r"\w+", layer) if name != "__main__"]
    order = re.search(r"Imports run down only: (.*?)\. Time", SECTION, re.DOTALL)
    assert order is not None
    assert re.findall(r"`(\w+)(?:\.py)?`", order[1]) == ordered


def test_every_named_file_exists() -> None:
    named = set(re.findall(r"`(\w+/\w+\.py)`", SECTION))
    assert len(named) > 25
    existing = {name for name in named if (SYSTEM / name).exists() or (SYSTEM.parent / name).exists()}
    assert named - existing == set()
