"""The packages in `deploy/system.toml` are those that the builds and runs call, no more and no less."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
DEPLOY = ROOT / "deploy"
ESSENTIAL = {"[", "rm", "mkdir", "touch", "mv", "cp", "test", "cmp"}  # of coreutils, diffutils: always there
PACKAGE_OF_PROGRAM = {"python3": "python3"}
PACKAGE_OF_MODULE = {"pip": "python3-pip", "venv": "python3-venv"}
OWN_PATHS = (".venv/", "target/")  # what a build has made before


def lines() -> list[str]:
    """Return the shell lines of the builds, and the command lines of the roles."""
    system = tomllib.loads((DEPLOY / "system.toml").read_text(encoding="utf-8"))
    sidecar = tomllib.loads((DEPLOY / "balancer.toml").read_text(encoding="utf-8"))
    runs = [role["run"] for role in system["roles"].values()]
    return [system["build"], sidecar["build"], *runs]


def commands(line: str) -> list[list[str]]:
    """Return the simple commands of a shell line, as words."""
    parts = re.split(r"\|\||&&|;|\(|\)|\{ | \}", line)
    return [words for part in parts if (words := part.replace("!", " ").split())]


def needed_packages(line: str) -> set[str]:
    """Return the packages that a line needs; raise ValueError for a program that none is known of."""
    needed = set()
    for words in commands(line):
        program = words[0]
        if program in ESSENTIAL or program.startswith(OWN_PATHS):
            continue
        if program not in PACKAGE_OF_PROGRAM:
            raise ValueError(f"no package is known of {program!r}")
        needed.add(PACKAGE_OF_PROGRAM[program])
        if "-m" in words:
            module = words[words.index("-m") + 1]
            needed |= {PACKAGE_OF_MODULE[module]} if module in PACKAGE_OF_MODULE else set()
    return needed


def listed_packages() -> set[str]:
    text = (DEPLOY / "system.toml").read_text(encoding="utf-8")
    return set(tomllib.loads(text)["packages"])


def test_the_list_has_what_the_lines_need_no_more_and_no_less() -> None:
    needed = set[str]().union(*(needed_packages(line) for line in lines()))
    assert listed_packages() == needed


def test_each_package_has_its_reason() -> None:
    text = (DEPLOY / "system.toml").read_text(encoding="utf-8")
    for package in listed_packages():
        assert re.search(rf'"{re.escape(package)}", # \S', text), package


def test_a_program_that_nobody_listed_is_noticed() -> None:
    with pytest.raises(ValueError, match="curl"):
        needed_packages("[ -e x ] || (curl -O y && touch x)")
    assert needed_packages("python3 -m venv .venv && .venv/bin/pip install x") == {"python3", "python3-venv"}


def test_libraries_come_as_wheels_alone() -> None:
    system = tomllib.loads((DEPLOY / "system.toml").read_text(encoding="utf-8"))
    assert "--only-binary :all:" in system["build"]
