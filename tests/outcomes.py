"""Outcomes, and stand-ins for the lab's parts; light, as worker processes load it too."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from coveport.testbed import scenario_file, sweep

BROKEN: dict[str, Any] = {"kept": False, "broken": [{"rule": "ran-twice"}]}
MISSED: dict[str, Any] = {"expectations": [{"met": False}]}


def outcome(seed: int = 1, service: float = 0.9, **more: Any) -> dict[str, Any]:
    """As far as experiments read it."""
    return {
        "scenario": {"title": "A day", "name": "try"},
        "seed": seed,
        "ground": "virtual",
        "kept": True,
        "service": service,
        "latency_ms": {"earn": {"p99": 100.0 + seed}},
        "waste": 0.01,
        "recovery_s": {"0 crash": None, "1 slow": 2.5},
        "trace": f"{seed} {service} {more}",
        **more,
    }


def play(job: sweep.Job) -> bytes:
    """Service tells the level and the seed; seed 666 kills its process, 13 can't be played."""
    if job.cell.seed == 666:
        os._exit(9)
    if job.cell.seed == 13:
        raise ValueError("no such\nluck")
    level = float(job.cell.params.get("level", 0.5))
    return json.dumps(outcome(job.cell.seed, level + job.cell.seed / 100, variant=job.cell.variant)).encode()


def sleep(job: sweep.Job) -> bytes:
    Path(job.scenario[0].partition("=")[2]).write_text(str(os.getpid()))
    time.sleep(60)
    return b""


class ScenarioError(Exception):
    pass


class Read(list[str]):
    seed = 1


def load(path: Path, sets: list[str]) -> Read:
    if "wrong=1" in sets or not path.exists():
        raise ScenarioError("wrong: no such key")
    return Read(sets)


def stand_in(made: dict[str, Any], played: dict[str, Any]) -> None:
    """Take the place of the lab's parts; `made` gets what they are called with, `played` is the outcome."""

    def play_and_judge(scenario: Any, **how: Any) -> tuple[str, Any]:
        made.update(how, scenario=scenario)
        if "raises" in played:
            raise played["raises"]
        return "played", msgspec.convert(played, sweep.Judged)

    def variant_named(name: str) -> None:
        if len(name) > 1:
            raise ValueError(f"no variant {name!r}")

    parts: dict[str, dict[str, Any]] = {
        "broken": {"variant_named": variant_named},
        "real": {"GroundError": type("GroundError", (Exception,), {})},
        "catalog": {"find": Path, "names": lambda: [("calm", "A calm day"), ("try", "A first look")]},
        "run": {"play_and_judge": play_and_judge},
        "outcome": {"encode": lambda _: json.dumps(played).encode()},
        "report": {
            "write": lambda path, told, _: path.write_text(told),
            "summary_text": lambda one: f"service {one.service}",
        },
    }
    vars(scenario_file).update(load=load, ScenarioError=ScenarioError)
    for name, content in parts.items():
        module = sys.modules[f"coveport.testbed.{name}"] = ModuleType(name)
        vars(module).update(content)
        vars(sys.modules["coveport.testbed"])[name] = module


def command_line() -> None:
    """What a process of the tests runs: the command line with days that sleep."""
    # Guards against tests in the background of a shell, where SIGINT is ignored and stays so.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    stand_in({}, {})
    sweep.play_day = sleep
    from coveport.cli.main import main

    main()
