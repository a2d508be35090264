"""The drawing of layers in docs/architecture.md is the one that its script makes of the import contracts."""

from __future__ import annotations

import importlib.util
import sys
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parents[1]


@pytest.fixture(scope="module")
def script() -> ModuleType:
    """Return the script as a module."""
    spec = importlib.util.spec_from_file_location(
        "package_layers", ROOT / "docs" / "diagrams" / "package_layers.py"
    )
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    # A dataclass looks its own module up by its name.
    with pytest.MonkeyPatch.context() as patch:
        patch.setitem(sys.modules, spec.name, module)
        spec.loader.exec_module(module)
    return module


def test_the_page_has_the_drawing_of_the_script(script: ModuleType) -> None:
    page = (ROOT / "docs" / "architecture.md").read_text()
    assert script.block(page) == script.draw(script.read_layers())


def test_every_layer_of_the_contracts_is_drawn(script: ModuleType) -> None:
    contracts = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]["contracts"]
    layers = [contract for contract in contracts if contract["type"] == "layers"]
    assert len(layers) >= 2
    drawing = script.draw(script.read_layers())
    for contract in layers:
        prefix = "".join(f"{container}." for container in contract.get("containers", []))
        for layer in contract["layers"]:
            for package in layer.split("|"):
                assert f"{prefix}{package.strip()}" in drawing.split(), package


def test_a_page_without_the_marks_is_refused(script: ModuleType) -> None:
    with pytest.raises(ValueError, match="expected"):
        script.block("no marks")
