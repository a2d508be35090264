"""pyproject.toml agrees with the packages, imports and requirements of the serving system."""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())
SOURCES = sorted((ROOT / "coveport" / "serving").rglob("*.py"))
TOOLS = {"cli", "scale", "simulation"}  # packages that a serving process imports only in part
# These files seed a generator from the operating system; all other code is passed a `Random`.
SYSTEM_SEEDED = {
    "coordinator/process.py",
    "proxy/process.py",
    "scale/hollow_nodes.py",
    "scale/hollow_proxies.py",
}


def test_every_package_is_installed() -> None:
    packages = {
        ".".join(init_file.parent.relative_to(ROOT).parts)
        for init_file in (ROOT / "coveport").rglob("__init__.py")
    }
    assert len(packages) > 30
    assert packages - set(PROJECT["tool"]["setuptools"]["packages"]) == set()


def test_the_extra_names_the_requirements_of_the_deployment() -> None:
    lines = (ROOT / "deploy" / "system-requirements.txt").read_text().splitlines()
    requirements = [line for line in lines if line and not line.startswith("#")]
    assert requirements == sorted(PROJECT["project"]["optional-dependencies"]["system"])


def imported_roots(source: Path) -> set[str]:
    """Return the packages that a file imports, by their first names."""
    roots = set()
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            roots |= {name.name.partition(".")[0] for name in node.names}
        if isinstance(node, ast.ImportFrom) and not node.level:
            roots.add((node.module or "").partition(".")[0])
    return roots


def test_nothing_is_imported_that_the_deployment_does_not_install() -> None:
    """Guards against an import of a development dependency, which ends each deployed process at its start."""
    installed = {
        re.split(r"[^a-z]", line)[0] for line in PROJECT["project"]["optional-dependencies"]["system"]
    }
    available = installed | set(sys.stdlib_module_names) | {"coveport"}
    shared = [*(ROOT / "coveport" / "http1").rglob("*.py"), *(ROOT / "coveport" / "net").rglob("*.py")]
    serving = [source for source in SOURCES if not TOOLS & set(source.relative_to(ROOT).parts)]
    assert len(serving) > 100
    missing = {source: imported_roots(source) - available for source in (*serving, *shared)}
    assert {str(source): roots for source, roots in missing.items() if roots} == {}


def uses_of_random(source: Path) -> list[str]:
    """Return the names that a file uses from the module `random`, and `Random()` for unseeded generators."""
    tree = ast.parse(source.read_text())
    modules = {name.name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names}
    uses = []
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module == "random":
            uses += [imported.name for imported in node.names if imported.name != "Random"]
        if "random" in modules and isinstance(node, ast.Attribute) and ast.unparse(node.value) == "random":
            uses += [node.attr] if node.attr[0].islower() else []
        if isinstance(node, ast.Call) and not node.args and ast.unparse(node.func).endswith("Random"):
            uses.append("Random()")
    return uses


@pytest.mark.parametrize("source", SOURCES, ids=lambda path: str(path.relative_to(ROOT / "coveport/serving")))
def test_randomness_comes_from_a_generator_that_is_passed_in(source: Path) -> None:
    name = str(source.relative_to(ROOT / "coveport" / "serving"))
    assert uses_of_random(source) == (["Random()"] if name in SYSTEM_SEEDED else [])


def test_the_search_finds_uses_of_random(tmp_path: Path) -> None:
    source = tmp_path / "source.py"
    source.write_text("import random\nfrom random import choice\nrandom.random()\nrandom.Random()\n")
    assert sorted(uses_of_random(source)) == ["Random()", "choice", "random"]
