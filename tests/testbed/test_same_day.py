"""A seed is a day: the same bytes at the same times, in whatever process and under whatever hash seed."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from coveport.testbed import catalog, run, scenario_file
from coveport.testbed.event_log import Asked, Life, Unasked

SCRIPT = """
from coveport.testbed import catalog, run, scenario_file
day = scenario_file.load(catalog.find("flaky"))
print(run.play(day, seed={seed}, ground="virtual").trace)
"""


def trace(seed: int, hash_seed: str) -> str:
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(seed=seed)],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.strip()


def test_the_same_seed_gives_the_same_bytes_at_the_same_times_and_another_does_not() -> None:
    one, two, other = trace(5, "1"), trace(5, "2"), trace(6, "1")
    assert one == two != other and len(one) == 32


@pytest.mark.parametrize(
    "name", [name for name, _ in catalog.names() if not name.startswith(("found/", "trials/"))]
)
def test_every_shipped_day_plays_and_breaks_no_rule(name: str) -> None:
    day = scenario_file.load(catalog.find(name))
    played, outcome = run.play_and_judge(day, name=name, seed=2, ground="virtual")
    assert played.notes == []
    assert outcome.kept, outcome.broken[0]
    assert all(one.met for one in outcome.expectations), outcome.expectations


def test_a_stall_shows_in_the_latency_of_what_was_due_meanwhile() -> None:
    text = """
title = "Two seconds without CPU"
length_s = 8
[fleet]
sidecars = 1
[load]
rate = 40
spread = 0
retries.most = 0
[[faults]]
kind = "stall"
at_s = 3
for_s = 2
whom.all = true
"""
    day = scenario_file.parse(text, "stall")
    played, outcome = run.play_and_judge(day, name="stall", seed=1, ground="virtual")
    assert outcome.kept, "what waited below is answered by the client's time, not by ours"
    due = [row.due for row in played.rows if isinstance(row, Asked) and 3100 < row.due < 4900]
    assert len(due) > 50, "tills asked on, though nothing was taken up"
    assert (outcome.latency_ms["redeem"].p99 or 0.0) > 1500 and outcome.service < 0.9


def test_a_killed_sidecar_answers_nothing_and_is_blamed_for_nothing() -> None:
    text = """
title = "Killed"
length_s = 8
[load]
rate = 60
[[faults]]
kind = "kill"
at_s = 3
for_s = 2
whom.numbers = [0]
[[faults]]
kind = "restart"
at_s = 4
whom.numbers = [1]
"""
    day = scenario_file.parse(text, "killed")
    played, outcome = run.play_and_judge(day, name="killed", seed=1, ground="virtual")
    assert outcome.kept
    lives = [row for row in played.rows if isinstance(row, Life) and row.at > 0]
    said = [(row.sidecar, row.what, row.detail) for row in lives]
    assert said[:1] == [(0, "kill", "")] and (0, "start", "1") in said and (0, "ready", "") in said
    assert (1, "exit", "0") in said and (1, "start", "1") in said
    assert any(isinstance(row, Unasked) and row.sidecar == 0 for row in played.rows)
