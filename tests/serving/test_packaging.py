"""What pyproject.toml says of the serving system is what there is."""

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
# Where a process gets its randomness from the operating system; everything else is handed a `Random`.
TOOLS = {"cli", "scale", "simulation"}  # packages that no serving process imports more than a part of
OWN_RANDOMNESS = {
    "coordinator/process.py",
    "proxy/process.py",
    "scale/hollow_nodes.py",
    "scale/hollow_proxies.py",
}


def test_every_package_is_installed() -> None:
    there = {
        ".".join(made.parent.relative_to(ROOT).parts) for made in (ROOT / "coveport").rglob("__init__.py")
    }
    assert len(there) > 30
    assert there - set(PROJECT["tool"]["setuptools"]["packages"]) == set()


def test_the_extra_names_what_the_deployment_installs() -> None:
    lines = (ROOT / "deploy" / "system-requirements.txt").read_text().splitlines()
    named = [line for line in lines if line and not line.startswith("#")]
    assert named == sorted(PROJECT["project"]["optional-dependencies"]["system"])


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
    """A package that only the developers' environment has ended each process at its start."""
    installed = {
        re.split(r"[^a-z]", line)[0] for line in PROJECT["project"]["optional-dependencies"]["system"]
    }
    known = installed | set(sys.stdlib_module_names) | {"coveport"}
    shared = [*(ROOT / "coveport" / "http1").rglob("*.py"), *(ROOT / "coveport" / "net").rglob("*.py")]
    served = [source for source in SOURCES if not TOOLS & set(source.relative_to(ROOT).parts)]
    assert len(served) > 100
    used = {source: imported_roots(source) - known for source in (*served, *shared)}
    assert {str(source): roots for source, roots in used.items() if roots} == {}


def uses_of_random(source: Path) -> list[str]:
    """What is taken from the module `random` other than the class, and unseeded generators."""
    tree = ast.parse(source.read_text())
    modules = {name.name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names}
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module == "random":
            found += [one.name for one in node.names if one.name != "Random"]
        if "random" in modules and isinstance(node, ast.Attribute) and ast.unparse(node.value) == "random":
            found += [node.attr] if node.attr[0].islower() else []
        if isinstance(node, ast.Call) and not node.args and ast.unparse(node.func).endswith("Random"):
            found.append("Random()")
    return found


@pytest.mark.parametrize("source", SOURCES, ids=lambda path: str(path.relative_to(ROOT / "coveport/serving")))
def test_randomness_comes_from_a_generator_that_is_handed_in(source: Path) -> None:
    name = str(source.relative_to(ROOT / "coveport" / "serving"))
    assert uses_of_random(source) == (["Random()"] if name in OWN_RANDOMNESS else [])


def test_the_look_for_randomness_sees_it(tmp_path: Path) -> None:
    told = tmp_path / "told.py"
    told.write_text("import random\nfrom random import choice\nrandom.random()\nrandom.Random()\n")
    assert sorted(uses_of_random(told)) == ["Random()", "choice", "random"]
