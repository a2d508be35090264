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
from coveport.testbed import scenario, sweep

TOP = Path(__file__).parents[2]
ENVIRON = {**os.environ, "PYTHONPATH": f"{TOP}{os.pathsep}{TOP / 'tests'}"}


def call(*args: object) -> Result:
    return CliRunner().invoke(root, [str(one) for one in args])


def said(result: Result, code: int, text: str) -> None:
    """One line on standard error, and nothing else."""
    assert result.exit_code == code, result.output
    assert result.stderr.count("\n") == 1 and text in result.stderr and not result.stdout


@pytest.fixture
def lab(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[dict[str, Any], dict[str, Any]]]:
    made: dict[str, Any] = {}
    played = outcomes.outcome()
    before = [(one, dict(one)) for one in (sys.modules, vars(scenario), vars(coveport.testbed))]
    outcomes.stand_in(made, played)
    monkeypatch.setattr(sweep, "play_day", outcomes.play)
    yield made, played
    for place, content in before:
        for name in [
            name for name in place if name.startswith("coveport.testbed") or place is not sys.modules
        ]:
            if name not in content:
                del place[name]
        place.update(content)


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


def test_wrong_calls_are_one_line(lab: Any, day: Path, tmp_path: Path) -> None:
    said(call("nonsense"), 2, "coveport: No such command 'nonsense'")
    said(call("lab", "run"), 2, "coveport lab run: Missing argument 'DAY'. (see coveport lab run --help)")
    said(call("lab", "run", day, "--set", "wrong=1"), 2, "wrong: no such key")
    said(call("lab", "run", day, "--json", day / "x"), 2, f"{day}: File exists")
    sweeping = ["lab", "sweep", day, "--out", tmp_path / "out", "--seeds"]
    said(call(*sweeping, "5-1"), 2, "seeds '5-1'")
    said(call(*sweeping, "1", "--grid", "wrong=1"), 2, "wrong: no such key")
    said(call(*sweeping, "1", "--ground", "real", "--jobs", 2), 2, "one day at a time")
    said(call(*sweeping, "1", "--ground", "real", "--variant", "a"), 2, "virtual ground only")
    said(call("lab", "run", day, "--variant", "xx"), 2, "no variant 'xx'")
    said(call("lab", "compare", tmp_path / "a", tmp_path / "b"), 2, "No such file")
    assert not lab[0]


def test_the_sidecar_is_checked_and_started(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    example, serve = TOP / "example/config.json", ModuleType("serve")
    monkeypatch.setenv("LB_CONFIG", "")
    assert call("check", example).stdout.startswith("ok: ")
    said(call("check"), 2, "LB_CONFIG is not set")
    vars(serve)["main"] = lambda: 7 if os.environ["LB_CONFIG"] == str(example) else 8
    monkeypatch.setitem(sys.modules, "coveport.sidecar.service", serve)
    assert call("run").exit_code == 8 and call("run", "--config", example).exit_code == 7


@pytest.mark.parametrize(
    ("more", "code"),
    [({}, 0), (outcomes.BROKEN, 1), (outcomes.MISSED, 1), ({"late": True, **outcomes.BROKEN}, 3)],
)
def test_a_day_ends_with_its_verdict(lab: Any, day: Path, tmp_path: Path, more: Any, code: int) -> None:
    made, played = lab
    played.update(more)
    report, told = tmp_path / "deep/out.html", tmp_path / "deep/out.json"
    result = call("lab", "run", day, "--seed", 4, "--set", "a=1", "--report", report, "--json", told)
    assert (result.exit_code, result.stdout, result.stderr) == (code, f"service 0.9\nreport: {report}\n", "")
    assert json.loads(told.read_text()) == played and report.read_text() == "played"
    assert made == {
        "name": "try",
        "seed": 4,
        "ground": "virtual",
        "variant": "",
        "logs": None,
        "progress": None,
        "scenario": ["a=1"],
    }
    assert json.loads(call("lab", "run", day, "--json", "-").stdout) == played
    assert call("lab", "list").stdout == "calm  A calm day\ntry   A first look\n"


def test_what_goes_wrong_is_one_line(lab: Any, day: Path) -> None:
    lab[1]["raises"] = KeyError("a\nb")
    assert "Traceback" in call("--debug", "lab", "run", day).stderr
    said(call("lab", "run", day), 70, "a fault of our own: KeyError")
    lab[1]["raises"] = ModuleNotFoundError("No module named 'numpy'")
    said(call("lab", "run", day), 2, "pip install 'coveport[lab]'")
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
    said(call(*base, "1-2"), 2, "holds another sweep (not the same: text_sha256)")


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
