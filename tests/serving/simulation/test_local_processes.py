"""Processes that the program starts find the program and what it was found with."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

import coveport
from coveport.serving.simulation.local_processes import child_environment

ROOT = str(Path(coveport.__file__).parent.parent)


def test_libraries_on_the_path_are_found_by_the_processes_too(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PYTHONPATH", "target/deps")
    assert child_environment()["PYTHONPATH"].split(os.pathsep) == [ROOT, "target/deps"]


def test_without_a_path_only_the_program_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("PYTHONPATH", raising=False)
    assert child_environment()["PYTHONPATH"] == ROOT
