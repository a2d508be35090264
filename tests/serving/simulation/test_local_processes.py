"""Child processes can import the package and the libraries on this process's PYTHONPATH."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

import coveport
from coveport.serving.simulation.local_processes import child_environment

ROOT = str(Path(coveport.__file__).parent.parent)


def test_child_processes_inherit_the_python_path(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PYTHONPATH", "target/deps")
    assert child_environment()["PYTHONPATH"].split(os.pathsep) == [ROOT, "target/deps"]


def test_without_a_python_path_only_the_package_is_listed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("PYTHONPATH", raising=False)
    assert child_environment()["PYTHONPATH"] == ROOT
