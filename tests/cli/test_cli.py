"""The command line: exit codes, one line for what goes wrong, help that names all verbs."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import click
import outcomes
import pytest
from click.testing import CliRunner, Result

import coveport.testbed
from coveport.cli.root import root
from coveport.testbed import scenario_file, sweep

TOP = Path(__file__).parents[2]
ENVIRON = {**os.environ, "PYTHONPATH": f"{TOP}{os.pathsep}{TOP / 'tests'}"}


def call(*args: object) -> Result:
    return CliRunner().invoke(root, [str(argument) for argument in args])


def assert_error_line(result: Result, code: int, text: str) -> None:
    """Check that a call printed one line on standard error and nothing else."""
    assert result.exit_code == code, result.output
    assert result.stderr.count("\n") == 1 and text in result.stderr and not result.stdout


@pytest.fixture
def lab(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[dict[str, Any], dict[str, Any]]]:
    """Replace the playing of days; yield its arguments, filled by each call, and its outcome."""
    arguments: dict[str, Any] = {}
    outcome = outcomes.outcome()
    namespaces = (sys.modules, vars(scenario_file), vars(coveport.testbed))
    before = [(namespace, dict(namespace)) for namespace in namespaces]
    outcomes.stand_in(arguments, outcome)
    monkeypatch.setattr(sweep, "play_day", outcomes.play)
    yield arguments, outcome
    for namespace, content in before:
        for name in [
            name for name in namespace if name.startswith("coveport.testbed") or namespace is not sys.modules
        ]:
            if name not in content:
                del namespace[name]
        namespace.update(content)


@pytest.fixture
def day(tmp_path: Path) -> Path:
    (tmp_path / "try.toml").write_text("title = 'A day'\n")
    return tmp_path / "try.toml"


def test_help_names_every_verb_and_exit_code() -> None:
    lab = root.commands["lab"]
    assert isinstance(lab, click.Group)
    assert sorted(root.commands) == ["check", "duties", "fleet", "lab", "rollout", "run", "work"]
    assert sorted(lab.commands) == [
        "check-model",
        "compare",
        "explain",
        "fuzz",
        "list",
        "run",
        "search",
        "shrink",
        "sweep",
        "trials",
    ]
    for group, path in ((root, ()), (lab, ("lab",))):
        for name in group.commands:
            assert f"\n  {name} " in call(*path, "--help").stdout and call(*path, name, "-h").exit_code == 0
    assert all(f"\n    {code} " in call("--help").stdout for code in (0, 1, 2, 3, 70, 130))
    assert call("--version").stdout.startswith("coveport, version 0.")


def test_a_wrong_call_gives_one_line(lab: Any, day: Path, tmp_path: Path) -> None:
    assert_error_line(call("nonsense"), 2, "coveport: No such command 'nonsense'")
    assert_error_line(
        call("lab", "run"), 2, "coveport lab run: Missing argument 'DAY'. (see coveport lab run --help)"
    )
    assert_error_line(call("lab", "run", day, "--set", "wrong=1"), 2, "wrong: no such key")
    assert_error_line(call("lab", "run", day, "--json", day / "x"), 2, f"{day}: File exists")
    sweeping = ["lab", "sweep", day, "--out", tmp_path / "out", "--seeds"]
    assert_error_line(call(*sweeping, "5-1"), 2, "seeds '5-1'")
    assert_error_line(call(*sweeping, "1", "--grid", "wrong=1"), 2, "wrong: no such key")
    assert_error_line(call(*sweeping, "1", "--ground", "real", "--jobs", 2), 2, "one day at a time")
    assert_error_line(call(*sweeping, "1", "--ground", "real", "--variant", "a"), 2, "virtual ground only")
    assert_error_line(call("lab", "run", day, "--variant", "xx"), 2, "no variant 'xx'")
    assert_error_line(call("lab", "compare", tmp_path / "a", tmp_path / "b"), 2, "No such file")
    assert not lab[0]


def test_the_sidecar_is_checked_and_started(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    example, serve = TOP / "example/config.json", ModuleType("serve")
    monkeypatch.setenv("LB_CONFIG", "")
    assert call("check", example).stdout.startswith("ok: ")
    assert_error_line(call("check"), 2, "LB_CONFIG is not set")
    vars(serve)["main"] = lambda: 7 if os.environ["LB_CONFIG"] == str(example) else 8
    monkeypatch.setitem(sys.modules, "coveport.sidecar.service", serve)
    assert call("run").exit_code == 8 and call("run", "--config", example).exit_code == 7


@pytest.mark.parametrize(
    ("more", "code"),
    [({}, 0), (outcomes.BROKEN, 1), (outcomes.MISSED, 1), ({"late": True, **outcomes.BROKEN}, 3)],
)
def test_the_exit_code_of_a_day_is_its_verdict(
    lab: Any, day: Path, tmp_path: Path, more: Any, code: int
) -> None:
    arguments, outcome = lab
    outcome.update(more)
    report, outcome_file = tmp_path / "deep/out.html", tmp_path / "deep/out.json"
    result = call("lab", "run", day, "--seed", 4, "--set", "a=1", "--report", report, "--json", outcome_file)
    assert (result.exit_code, result.stdout, result.stderr) == (code, f"service 0.9\nreport: {report}\n", "")
    assert json.loads(outcome_file.read_text()) == outcome and report.read_text() == "played"
    assert arguments == {
        "name": "try",
        "seed": 4,
        "ground": "virtual",
        "variant": "",
        "logs": None,
        "progress": None,
        "scenario": ["a=1"],
    }
    assert json.loads(call("lab", "run", day, "--json", "-").stdout) == outcome
    assert call("lab", "list").stdout == "calm  A calm day\ntry   A first look\n"


def test_an_error_gives_one_line(lab: Any, day: Path) -> None:
    lab[1]["raises"] = KeyError("a\nb")
    assert "Traceback" in call("--debug", "lab", "run", day).stderr
    assert_error_line(call("lab", "run", day), 70, "a fault of our own: KeyError")
    lab[1]["raises"] = ModuleNotFoundError("No module named 'numpy'")
    assert_error_line(call("lab", "run", day), 2, "pip install 'coveport[lab]'")
    lab[1]["raises"] = KeyboardInterrupt()
    assert call("lab", "run", day).exit_code == 130


def test_a_sweep_and_its_comparison(lab: Any, day: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    base = ["lab", "sweep", day, "--out", out, "--jobs", 2, "--variant", "a,b", "--seeds"]
    first, again = call(*base, "1-2"), call(*base, "1-2,666")
    assert first.exit_code == 0 and first.stderr.count("held") == 4 and "table.csv" in first.stdout
    assert again.exit_code == 1 and "(4 days were there already)" in again.stdout
    assert "not played: variant=a seed=666: the worker that played it died" in again.stderr
    sides = [out / "cells/a~*", out / "cells/b~*"]
    assert "All figures are equal on all days." in call("lab", "compare", *sides).stdout
    assert json.loads(call("lab", "compare", *sides, "--json", "-").stdout)["pairs"] == 2
    day.write_text("title = 'Another'\n")
    assert_error_line(call(*base, "1-2"), 2, "holds another sweep (not the same: text_sha256)")


def test_ctrl_c_ends_a_sweep_and_its_workers(day: Path, tmp_path: Path) -> None:
    worker, out = tmp_path / "worker", tmp_path / "out"
    process = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import outcomes; outcomes.command_line()",
            "lab",
            "sweep",
            str(day),
            "--seeds",
            "1",
            "--grid",
            f"to={worker}",
            "--out",
            str(out),
        ],
        env=ENVIRON,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        while process.poll() is None and not (worker.exists() and worker.read_text()):
            time.sleep(0.01)
        os.killpg(process.pid, signal.SIGINT)  # as a terminal does
        errors = process.communicate(timeout=20)[1]
    finally:
        process.kill()
    assert process.returncode == 130
    assert [line[:8] for line in errors.splitlines() if line] == ["stopped;", "coveport"]
    with pytest.raises(ProcessLookupError):
        os.kill(int(worker.read_text()), 0)


def test_the_command_line_loads_nothing_heavy() -> None:
    code = (
        "import sys, coveport.cli.main, coveport.cli.root; "
        "print(sorted({'numpy', 'scipy', 'matplotlib', 'msgspec', 'rich'} & set(sys.modules)))"
    )
    assert subprocess.check_output([sys.executable, "-c", code], env=ENVIRON, text=True) == "[]\n"
