"""Trials on simulated ground: the shipped program breaks no rule, and each broken one does."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from coveport.sidecar.singletons.rollout_plan import RolloutPhase, RolloutPlan
from coveport.testbed import catalog
from coveport.testbed.fault_injection import judge
from coveport.testbed.fault_injection.broken_variants import VARIANTS
from coveport.testbed.fault_injection.days import load, write
from coveport.testbed.fault_injection.history import Histories, Record
from coveport.testbed.fault_injection.linear import Call, linearizable
from coveport.testbed.fault_injection.schedules import HOLDER, Fault, Trial, draw
from coveport.testbed.fault_injection.search import hunt, shrink
from coveport.testbed.fault_injection.virtual import play
from coveport.testbed.scenario_file import ScenarioError


def trial(*faults: Fault, **more: object) -> Trial:
    return Trial(faults=faults, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "fault",
    [
        Fault(10, "kill", HOLDER, 5),
        Fault(10, "stall", HOLDER, 20),
        Fault(10, "sleep", HOLDER, 20),
        Fault(10, "cut", HOLDER, 10),
        Fault(10, "cut_out", HOLDER, 10),
        Fault(10, "cut_back", HOLDER, 10),
        Fault(10, "act-stall", "", 20),
        Fault(10, "keep-stall", "", 20),
        Fault(10, "act-late", "", 20),
        Fault(10, "store_away", "", 3600),
        Fault(10, "act-unheard"),
        Fault(10, "leave", HOLDER, 3),
        Fault(10, "store_away", "", 60),
        Fault(10, "store_stall", "", 10),
        Fault(10, "halves", "", 10),
        Fault(10, "unwell", HOLDER, 30),
        Fault(10, "double", HOLDER, 20, 0.9),
        Fault(10, "late", HOLDER, 20, 0.5),
    ],
    ids=lambda one: f"{one.kind}-{one.lasts_s:g}",
)
@pytest.mark.parametrize("instances", [5, 40])
def test_each_fault_by_itself_harms_nobody(fault: Fault, instances: int) -> None:
    played = play(trial(fault, instances=instances), 1)
    assert played.findings == []
    assert len(played.acts) > 100


@pytest.mark.parametrize("name", [name for name, _ in catalog.names() if name.startswith("trials/")])
def test_every_shipped_trial_plays_and_breaks_no_rule(name: str) -> None:
    day = load(catalog.find(name))
    assert play(day.trial, day.seed).findings == []


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("[trial]\ntitle = 'x'\nttl = 0.3", "ttl 0.3 s leaves no room"),
        ("[trial]\nttl = 3.0", "title"),
        ("[trial]\ntitle = 'x'\n[[fault]]\nat = 1.0\nkind = 'flood'", "fault 1: kind"),
        ("[trial]\ntitle = 'x'\n[[fault]]\nat = 1.0\nkind = 'cut'\ntarget = 'all'", "fault 1: target"),
        ("[trial]\ntitle = 'x'\n[load]\nx = 1", "load"),
        ("[trial]\ntitle = 'x'\nstore = 'paper'", "store"),
    ],
)
def test_a_trial_that_can_t_be_used_is_one_line(tmp_path: Path, text: str, why: str) -> None:
    path = tmp_path / "one.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as problem:
        load(path)
    assert why in str(problem.value) and "\n" not in str(problem.value)


@pytest.mark.parametrize("seed", range(5))
def test_a_trial_is_read_as_it_was_written(tmp_path: Path, seed: int) -> None:
    one = draw(seed)
    path = tmp_path / "one.toml"
    path.write_text(write(one, seed, 'found "by" search'))
    day = load(path)
    assert day.trial.faults == tuple(it for it in one.faults if not it.kind.startswith("rollout"))
    assert (day.seed, day.trial.instances, day.title) == (seed, 5, 'found "by" search')


def test_search_draws_trials_and_keeps_what_it_finds(tmp_path: Path) -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "coveport",
            "lab",
            "search",
            "trials/halves",
            "--runs",
            "40",
            "--out",
            str(tmp_path / "out"),
            "--variant",
            "claims-over",
            "--jobs",
            "1",
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 1 and "1 finds" in done.stdout, done.stderr
    (kept,) = (tmp_path / "out" / "finds").iterdir()
    assert load(kept).trial.faults


def test_after_a_kill_it_is_handed_on_within_the_time_to_live() -> None:
    for seed in range(5):
        played = play(trial(Fault(10.0, "kill", HOLDER, 20)), seed)
        gaps = judge.gaps(played.beliefs, "drill", 1005.0, 1020.0)
        # The store's clock may be slow by the drift; a watch, a wait and a claim come on top.
        assert len(gaps) == 1 and gaps[0][1] - gaps[0][0] < 3.0 * 1.02 + 0.2


def test_a_planned_end_hands_on_at_once() -> None:
    for seed in range(5):
        played = play(trial(Fault(10.0, "leave", HOLDER, 20)), seed)
        (gap,) = judge.gaps(played.beliefs, "drill", 1005.0, 1020.0)
        assert gap[1] - gap[0] < 0.1


def test_forty_do_not_all_come_at_once() -> None:
    played = play(trial(Fault(10.0, "kill", HOLDER, 5), instances=40), 1)
    assert played.calls["claim_refused"] < 3 * 40 / 4


def test_two_useless_ones_do_not_throw_it_to_and_fro() -> None:
    faults = [Fault(5.0 + at, "unwell", HOLDER, 3.0) for at in range(0, 40, 4)]
    played = play(trial(*faults, instances=2), 3)
    assert played.findings == [] and len(played.beliefs) < 14


@pytest.mark.parametrize("seeds", [range(0, 40), range(1000, 1040)], ids=str)
def test_drawn_trials_break_no_rule(seeds: range) -> None:
    assert [found for _, found in hunt(seeds, workers=1) if found] == []


def test_a_roll_out_goes_through_whoever_holds_it_and_a_bad_one_goes_back() -> None:
    faults = (
        Fault(5.0, "rollout"),
        Fault(7.0, "kill", HOLDER, 3.0),
        Fault(40.0, "rollout-bad"),
        Fault(41.0, "stall", HOLDER, 8.0),
    )
    played = play(trial(*faults, duties=("rollout", "drill"), calm_s=30.0), 4)
    assert played.findings == []
    plans = [msgspec.json.decode(act.state, type=RolloutPlan) for act in played.acts if act.duty == "rollout"]
    assert [plan.phase for plan in plans if plan.phase.value in ("done", "undone")] == [
        RolloutPhase.DONE,
        RolloutPhase.ROLLED_BACK,
    ]
    assert len({record.instance for record in played.histories.of("runs")}) == 5


def test_grants_are_given_and_used_and_the_node_is_not_flooded() -> None:
    played = play(trial(Fault(6.0, "kill", HOLDER, 3.0), duties=("warden@0", "drill")), 2)
    assert played.findings == []
    assert sum(record.number("count") for record in played.histories.of("used")) > 100


def test_the_same_seed_gives_the_same_records() -> None:
    one, other = (play(draw(11), 11) for _ in range(2))
    assert one.histories.records == other.histories.records and one.calls == other.calls


@pytest.mark.parametrize("name", VARIANTS)
def test_every_broken_one_is_found_by_the_rule_that_it_breaks(name: str) -> None:
    found = next((found for _, found in hunt(range(200), variant=name, workers=1, first=True) if found), None)
    assert found is not None, "not within 200 drawn trials"
    assert {one.rule for one in found.findings} & set(VARIANTS[name].rules)


def test_a_find_is_shrunk_to_what_shows_it() -> None:
    found = next(found for _, found in hunt(range(200), variant="never-over", workers=1, first=True) if found)
    less = shrink(found, "never-over")
    assert len(less.trial.faults) <= min(2, len(found.trial.faults)) and less.findings


# The judge by itself.


def act(revision: int, token: int, count: int = 1) -> judge.Accepted:
    return judge.Accepted("drill", float(revision), revision, token, "x", b'{"count": %d}' % count)


def test_an_act_after_a_later_holders_first_is_seen() -> None:
    assert judge.order([act(5, 3), act(6, 5), act(7, 5)]) == []
    (finding,) = judge.order([act(5, 3), act(6, 5), act(7, 3)])
    assert finding.rule == "order" and finding.at == 7.0
    assert judge.order([act(5, 0)])[0].rule == "order", "nobody's key stood"


def test_what_was_told_is_held_against_the_book() -> None:
    def told(revision: int, token: int) -> Histories:
        return Histories(
            [
                Record(
                    1.0,
                    "s",
                    "s.1",
                    "commit_finished",
                    1.0,
                    {"duty": "drill", "token": token, "end": "Done", "revision": revision},
                )
            ]
        )

    assert judge.told(told(5, 3), [act(5, 3)]) == []
    assert judge.told(told(6, 3), [act(5, 3)])[0].rule == "told"
    assert judge.told(told(5, 2), [act(5, 3)])[0].rule == "order"


@pytest.mark.parametrize(
    ("counts", "rule"), [((1, 2, 3), ""), ((1, 2, 2), "once"), ((1, 2, 4), "once"), ((1, 2, 1), "lost")]
)
def test_steps_follow_each_other(counts: tuple[int, ...], rule: str) -> None:
    found = judge.steps([act(place + 2, 1, count) for place, count in enumerate(counts)])
    assert [one.rule for one in found] == ([rule] if rule else [])


# The checker of linearizability.

INF = float("inf")


@pytest.mark.parametrize(
    ("calls", "fine"),
    [
        ([Call(0, 1, "put", 1), Call(2, 3, "read", 1)], True),
        ([Call(0, 1, "put", 1), Call(2, 3, "read", None)], False),
        ([Call(0, 5, "put", 1), Call(2, 3, "read", None), Call(3.5, 4, "read", 1)], True),
        ([Call(0, 5, "put", 1), Call(2, 3, "read", 1), Call(3.5, 4, "read", None)], False),
        ([Call(0, INF, "put", 1), Call(2, 3, "read", None), Call(4, 5, "read", 1)], True),
        ([Call(0, INF, "put", 1), Call(2, 3, "read", 1), Call(4, 5, "read", None)], False),
        ([Call(0, 1, "swap", 1, None), Call(0, 1, "swap", 2, None, False)], True),
        ([Call(0, 1, "swap", 1, None), Call(0, 1, "swap", 2, None)], False),
        ([Call(0, 1, "swap", 1, None), Call(2, 3, "swap", 2, 1, False)], False),
        ([Call(0, INF, "swap", 1, None), Call(2, 3, "swap", 2, None), Call(4, 5, "read", 2)], True),
    ],
    ids=range(10),
)
def test_only_orders_that_explain_all_answers_are_taken(calls: list[Call], fine: bool) -> None:
    assert linearizable(calls) is fine
