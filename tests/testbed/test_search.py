"""Search: schedules that make sense, finds told apart, a bound that holds, folders that are gone on with."""

from __future__ import annotations

import functools
import json
import random
import re
import signal
import subprocess
import sys
import time
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Literal

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_sweep import Inline

from coveport.testbed import catalog, event_log, run, sweep
from coveport.testbed.broken import VARIANTS
from coveport.testbed.faults import FaultBase, Whom
from coveport.testbed.outcome import Outcome
from coveport.testbed.playing import Played
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import load, parse
from coveport.testbed.schema import FigureShare
from coveport.testbed.search import finds, hunt, reach, schedules
from coveport.testbed.search.aftermath import aftermath, ratio, troubles_of, without_faults
from coveport.testbed.search.files import laid, to_toml
from coveport.testbed.search.schedules import draw_schedule
from coveport.testbed.search.shrink import look_at

CALM = load(catalog.find("calm"))


@functools.cache
def played(name: str, *sets: str, variant: str = "") -> tuple[Played, Outcome]:
    day = load(catalog.find(name), sets)
    return run.play_and_judge(day, name=name, seed=1, ground="virtual", variant=variant)


# Schedules.


@settings(max_examples=12)
@given(st.text(st.characters(blacklist_categories=["Cs"]), max_size=20), st.integers(0, 400))
def test_a_schedule_is_a_file_that_reads_back_the_same(about: str, number: int) -> None:
    day = msgspec.structs.replace(draw_schedule(CALM, 5, number), about=about.replace("\r", ""))
    assert parse(to_toml(day, [about]), "x") == day
    assert day.faults and len(day.faults) <= schedules.MOST_FAULTS and day != CALM
    assert day.length_s - max(one.end for one in troubles_of(day, day.seed)) / 1000 >= schedules.QUIET_S[0]


def test_schedules_overlap_and_come_of_their_numbers_alone() -> None:
    several = [draw_schedule(CALM, 3, number) for number in range(60)]
    assert several[:3] == [draw_schedule(CALM, 3, number) for number in range(3)]
    assert several[:3] != [draw_schedule(CALM, 4, number) for number in range(3)]
    overlaps = within = 0
    for day in several:
        spans = sorted((one.begin, one.end) for one in troubles_of(day, day.seed))
        within += len(spans) - 1
        overlaps += sum(later[0] <= one[1] + 300 for one, later in pairwise(spans))
    assert overlaps > within / 2
    assert {type(fault) for day in several for fault in day.faults} == set(schedules.KINDS)


def test_the_base_has_its_say() -> None:
    base = load(catalog.find("flaky"), ["fleet.sidecars=2", "rules.probes=false"])
    for number in range(8):
        day = draw_schedule(base, 1, number)
        assert day.fleet.sidecars == 2 and not day.rules.probes and day.load.level == (0.3, 0.5)
        assert [type(one) for one in day.faults[:3]] == [type(one) for one in base.faults]


class Fog(FaultBase, frozen=True, tag="fog"):
    whom: Whom = Whom(count=1)
    size: FigureShare = 0.1
    how: Literal["thick", "thin"] = "thin"
    lifts: bool = False
    drift: tuple[float, float] | float = (-60.0, 60.0)


def test_a_kind_that_no_table_knows_is_drawn_by_its_bounds() -> None:
    rng = random.Random(1)
    tables = [schedules._drawn(Fog, CALM, rng) for _ in range(200)]
    assert {one["how"] for one in tables} == {"thick", "thin"}
    assert {one["lifts"] for one in tables} == {True, False}
    assert min(one["size"] for one in tables) < 0.05 and 0.5 < max(one["size"] for one in tables) <= 1
    assert min(one["drift"] for one in tables) < 0 < max(one["drift"] for one in tables)
    assert all(msgspec.convert(one | {"at_s": 1.0}, Fog).whom for one in tables)


# What was in reach.


def test_nobody_serves_more_than_was_in_reach() -> None:
    for name in ("try", "zone-cut"):
        got = reach.reachable(played(name)[0].day, played(name)[0].rows)
        assert got.served.sum() / got.asked.sum() == pytest.approx(played(name)[1].service, abs=0.02)
        assert (got.reachable <= got.asked + 1e-6).all()
        for begin in range(0, int(got.step_ms * len(got.asked)), 3000):
            due, served = got.between(begin, begin + 3000)
            assert served <= due + 1e-6, (name, begin)


@pytest.mark.parametrize(
    ("sets", "low", "high"),
    [
        ((), 0.99, 1.0),
        (("load.level=2.5",), 0.5, 0.85),
        (('faults.0={kind="crash", at_s=1, whom={share=0.8}}',), 0.5, 0.95),
        (('faults.0={kind="slow", at_s=1, size=8, whom={all=true}}',), 0.4, 0.85),
        (('faults.0={kind="cut", at_s=0, for_s=7, zone="pamplona"}', "fleet.nodes=2"), 0.5, 0.9),
    ],
)
def test_reach_follows_capacity(sets: tuple[str, ...], low: float, high: float) -> None:
    day, _ = played("calm", "length_s=7", "load.level=0.7", "fleet.nodes=4", *sets)
    got = reach.reachable(day.day, day.rows)
    assert low <= got.reachable.sum() / got.asked.sum() <= high


def test_service_that_stays_low_is_the_faults_doing_or_it_is_none() -> None:
    day, _ = played("calm", "length_s=18", "load.level=0.4", 'faults.0={kind="stall", at_s=4, for_s=1}')
    whole = reach.reachable(day.day, day.rows)
    after = aftermath(day.day, day.rows, whole)
    assert after.below is None and after.back_s is not None and after.back_s <= 1 and after.quiet >= 5000
    lost = [row for row in day.rows if not (isinstance(row, event_log.Answered) and row.at > 6000)]
    low = aftermath(day.day, lost, reach.reachable(day.day, lost))
    assert low.back_s is None and low.below is not None and low.below < 10_000
    here = finds.finds(Played(day.day, "virtual", lost), played("calm")[1])
    assert here.finds[0].signature == "no-return: unanswered"
    assert ratio(here.reach, low.below, 18_000) == 0
    assert finds.stands(here, day) and not finds.stands(here, Played(day.day, "virtual", lost))


def test_what_nobody_mends_is_there_from_the_beginning() -> None:
    day = laid(CALM, ['faults.0={kind="slow", at_s=1, for_s=2}', 'faults.1={kind="crash", at_s=4}'])
    same = without_faults(day, 7)
    assert len(same.faults) == 1 and same.faults[0].at_s == 0
    assert [one.targets for one in troubles_of(same, 7)] == [troubles_of(day, 7)[1].targets]


# Finds.


def signatures(name: str, *sets: str, variant: str = "") -> list[str]:
    return [one.signature for one in finds.finds(*played(name, *sets, variant=variant)).finds if one.counts]


def test_one_cause_has_one_signature_whatever_the_day() -> None:
    first = signatures("calm", "length_s=12", variant="answers-none")
    assert first[0] == "rule answer-none: ran, answered 200; given up (late)"
    assert first[0] == signatures("calm", "length_s=9", "fleet.sidecars=2", variant="answers-none")[0]
    assert signatures("calm", "length_s=9") == []
    resent = signatures("flaky", variant="redeem-resent")
    assert any(one.startswith("rule resent: never; ran, answered 500") for one in resent)
    assert not any(re.search(r"\b[0-9a-f]{8}\b|\d\.\d", one) for one in resent)
    assert "rule process: sidecar # ended at # ms with code #, without having been told to." in signatures(
        "calm", "length_s=12", "fleet.sidecars=1", variant="dies"
    )


LOG = """    1.250 coveport: sidecar-0: serving
    2.500 coveport: fault: Traceback (most recent call last):
  File "/somewhere/coveport/sidecar/effects.py", line 77, in feed
    self._carry_out(effect)
  File "/somewhere/coveport/balancing/balancer.py", line 12, in _draw
KeyError: 17
    3.000 coveport: unexpected: Fatal error 12: OSError(24, 'Too many open files') (3 like it left out)"""


def test_complaints_and_what_is_held_are_finds() -> None:
    day, outcome = played("calm", "length_s=9")
    bad = Played(day.day, "virtual", day.rows, logs={0: LOG, 1: LOG}, notes=["the lab: {'x': 0x7f12}"])
    assert {one.signature: one.count for one in finds.finds(bad, outcome).finds} == {
        "process: fault: KeyError in balancing/balancer.py _draw": 2,
        "process: note: the lab: {'x': #}": 1,
        "process: unexpected: Fatal error #: OSError(#, 'Too many open files') (# like it left out)": 2,
    }


def test_what_is_left_over_in_quiet_is_a_find() -> None:
    rest = {"connections": 1, "tasks": 1, "timers": 2, "hosts": 10, "requests": 0}
    left = {0: rest, 1: rest | {"requests": 2}, 2: rest | {"timers": 9, "requests": 1}}
    day: Any = SimpleNamespace(scenario=SimpleNamespace(quiet_s=8.0))
    over: Any = SimpleNamespace(day=day, held=left)
    assert [(one.signature, one.what) for one in finds._held(over)] == [
        ("held: requests", "sidecar 1 held 2 requests in quiet"),
        ("held: timers", "sidecar 2 held 9 timers in quiet"),
        ("held: requests", "sidecar 2 held 1 requests in quiet"),
    ]
    day.scenario.quiet_s = 0.0
    assert list(finds._held(over)) == []


# Folders.


class Player:
    """Plays nothing; run 2 has a find, and one run is interrupted."""

    def __init__(self, stops_at: int = -1) -> None:
        self.runs: list[int] = []
        self.stops_at = stops_at

    def __call__(self, job: hunt.Job) -> bytes:
        if len(self.runs) == self.stops_at:
            raise KeyboardInterrupt
        self.runs.append(job.run)
        found = [finds.Find("rule", "rule x: y", 50.0 + job.run, "what")] if job.run >= 2 else []
        if job.run == 4:
            raise ValueError("no such luck")
        return msgspec.json.encode(hunt.Result(job.run, "", 7, finds=found, seen=True, back_s=float(job.run)))


def hunted(out: Path, play: Player, runs: int, base: Scenario = CALM, **more: Any) -> hunt.Summary:
    return hunt.hunt(base, "calm", out, runs=runs, jobs=1, seed=1, play=play, lane=Inline, **more)


def test_a_stopped_search_goes_on_and_takes_more_runs(tmp_path: Path) -> None:
    stopped, rest, more, nothing = Player(stops_at=3), Player(), Player(), Player()
    with pytest.raises(KeyboardInterrupt):
        hunted(tmp_path, stopped, 4)
    told: list[hunt.Told] = []
    summary = hunted(tmp_path, rest, 4, told=told.append)
    assert (stopped.runs, rest.runs, [one.done for one in told]) == ([0, 1, 2], [3], [4])
    assert [(line.signature, line.runs, line.run) for line in summary.lines] == [("rule x: y", 2, 3)]
    assert load(tmp_path / summary.lines[0].file) == draw_schedule(CALM, 1, 3)
    assert summary.back_s == {"median": 1.5, "p95": pytest.approx(2.85), "worst": 3.0}
    assert hunted(tmp_path, more, 5).unplayed == 1 and more.runs == [4]
    assert hunted(tmp_path, nothing, 9, seconds=0).runs == 5 and nothing.runs == []
    with pytest.raises(sweep.SweepError, match="holds another search"):
        hunted(tmp_path, nothing, 5, laid(CALM, ["length_s=9"]))
    (tmp_path / "runs/000001.json").write_bytes(b"{")
    again = Player()
    assert hunted(tmp_path, again, 5).runs == 5 and again.runs == [1]


def test_a_day_that_does_not_get_on_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hunt, "LIMIT_S", 0.05)
    with pytest.raises(hunt.HangsError, match="more than 0"):
        hunt.look(laid(CALM, ["length_s=3000"]), 1)
    monkeypatch.setattr(hunt, "LIMIT_S", 0.004)  # shorter than any day, on whatever machine
    assert [one.signature for one in look_at(CALM, 1, "")] == ["process: not played: HangsError"]


def test_the_command_line_finds_and_stops_clean(tmp_path: Path) -> None:
    call = [
        sys.executable,
        "-m",
        "coveport",
        "lab",
        "search",
        "calm",
        "--jobs",
        "2",
        "--out",
        str(tmp_path / "out"),
        "--variant",
        "answers-none",
    ]
    with subprocess.Popen([*call, "--runs", "100000"], stderr=subprocess.PIPE, text=True) as process:
        until = time.monotonic() + 60
        while not list((tmp_path / "out").glob("runs/*.json")) and time.monotonic() < until:
            time.sleep(0.05)
        process.send_signal(signal.SIGINT)
        assert process.stderr is not None
        said = process.stderr.read()
        assert process.wait() == 130 and "the same call goes on from there" in said
        assert "Traceback" not in said
    done = len(list((tmp_path / "out").glob("runs/*.json")))
    ended = subprocess.run([*call, "--runs", str(done)], capture_output=True, text=True, check=False)
    assert ended.returncode == 1 and "rule answer-none: ran, answered 200" in ended.stdout
    assert json.loads((tmp_path / "out/summary.json").read_text())["runs"] == done
    ended = subprocess.run([*call, "--runs", "1", "--seed", "5"], capture_output=True, text=True, check=False)
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("variant", "most"),
    [
        ("redeem-resent", 2),
        ("second-copy", 8),
        ("deaf-to-drains", 8),
        ("loses-cancels", 2),
        ("never-ends", 1),
    ],
)
def test_a_broken_sidecar_is_found_from_the_calm_day(variant: str, most: int) -> None:
    """The benchmark `search` has them all."""
    for number in range(most):
        day = draw_schedule(CALM, 1, number)
        found, _ = hunt.look(day, day.seed, variant)
        if any(one.signature.startswith(f"rule {VARIANTS[variant].rule}:") for one in found):
            return
    pytest.fail(f"not found in {most} runs")


class Swallows:
    """Its finalizer is where the signal comes up: Python would print what is raised there, and go on."""

    def __del__(self) -> None:
        signal.raise_signal(signal.SIGINT)


def test_a_wish_to_stop_is_not_lost_in_a_finalizer(tmp_path: Path) -> None:
    def plays(job: hunt.Job) -> bytes:
        Swallows()
        return Player()(job)

    with pytest.raises(KeyboardInterrupt):
        hunted(tmp_path, plays, 4)  # type: ignore[arg-type]
    assert len(list(tmp_path.glob("runs/*.json"))) <= 1
