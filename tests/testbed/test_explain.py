"""The picture of a day: each lost wish has one cause, and the cause is the one that was played."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from coveport.cli.root import root
from coveport.testbed import catalog, explain, run
from coveport.testbed.scenario_file import load


def picture(*sets: str) -> explain.Picture:
    day = load(catalog.find("calm"), ("length_s=8", "load.retries.most=0", *sets))
    return explain.explain(run.play(day, seed=2, ground="bare"))


def test_shares_add_up_and_a_calm_day_loses_little() -> None:
    calm = picture()
    assert calm.served > 0.95 and calm.served + sum(calm.lost.values()) == pytest.approx(1)
    assert all(one.served + sum(one.lost.values()) == pytest.approx(1) for one in calm.windows if one.wishes)
    assert len(calm.windows) == 4 == len(calm.heat[0][2]) and len(calm.heat) == 10


@pytest.mark.parametrize(
    ("sets", "why"),
    [
        (('faults.0={kind="silent", at_s=2, for_s=3, whom={all=true}}',), {"timed out", "turned away"}),
        (('faults.0={kind="errors", at_s=1, size=1.0}', "rules.most_tries=1"), {"broken"}),
        (("load.level=2.5",), {"turned away", "timed out"}),
        (('faults.0={kind="kill", at_s=2, for_s=3, whom={all=true}}',), {"unanswered"}),
    ],
)
def test_what_was_done_to_the_day_is_the_cause(sets: tuple[str, ...], why: set[str]) -> None:
    lost = picture(*sets).lost
    assert max(lost, key=lambda one: lost[one]) in why and sum(lost.values()) > 0.1, lost


def test_the_verb_prints_and_writes_it() -> None:
    call = ["lab", "explain", "calm", "--ground", "bare", "--set", "length_s=4"]
    said = CliRunner().invoke(root, call)
    assert said.exit_code == 0 and "work without an answer" in said.stdout and "pamplona" in said.stdout
    assert json.loads(CliRunner().invoke(root, [*call, "--json", "-"]).stdout)["windows"][0]["wishes"] > 0
    bad = CliRunner().invoke(root, ["lab", "explain", "sidecar-trouble", "--ground", "bare"])
    assert bad.exit_code == 2 and "bare ground does not play" in bad.output
