"""The list of tests that are known to fail names tests that there are, and passes over just these."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from known_red import KnownRed, read_known_red

ROOT = Path(__file__).parents[1]
TESTS = """
def test_red():
    assert False

def test_green():
    assert True

def test_other():
    assert {other}
"""


def played(folder: Path, listed: str, other: bool = True) -> tuple[int, str]:
    """What pytest says of three tests, by the list."""
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        (folder / "tests" / name).write_text((ROOT / "tests" / name).read_text())
    (folder / "tests" / "test_some.py").write_text(TESTS.format(other=other))
    if listed:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    ran = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False, timeout=60)
    return ran.returncode, ran.stdout


RED = "tests/test_some.py::test_red | it is wrong | issue 0\n"


def test_a_listed_test_fails_without_failing_the_run_and_is_named(tmp_path: Path) -> None:
    code, said = played(tmp_path, RED)
    assert code == 0 and "fails: tests/test_some.py::test_red: it is wrong (issue 0)" in said


def test_any_other_failure_fails_the_run(tmp_path: Path) -> None:
    code, said = played(tmp_path, RED, other=False)
    assert code == 1 and "FAILED tests/test_some.py::test_other" in said


def test_without_a_list_every_failure_counts(tmp_path: Path) -> None:
    code, said = played(tmp_path, "")
    assert code == 1 and "FAILED tests/test_some.py::test_red" in said


def test_a_listed_test_that_passes_is_named(tmp_path: Path) -> None:
    code, said = played(tmp_path, RED + "tests/test_some.py::test_green | was wrong | issue 0\n")
    assert code == 0 and "PASSES NOW, take it off the list: tests/test_some.py::test_green" in said


def test_a_line_without_cause_or_issue_is_no_line(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("\ntests/test_some.py::test_red | it is wrong\n")
    with pytest.raises(ValueError, match=r"KNOWN-RED.txt:2: must read"):
        read_known_red(path)
    path.write_text(RED)
    assert list(read_known_red(path).values()) == [
        KnownRed("tests/test_some.py::test_red", "it is wrong", "issue 0")
    ]


def test_every_test_on_the_list_is_there() -> None:
    for test in read_known_red(ROOT / "KNOWN-RED.txt"):
        file, _, name = test.partition("::")
        assert (ROOT / file).is_file(), test
        assert f"def {name.partition('[')[0].rpartition('::')[2]}(" in (ROOT / file).read_text(), test
