"""Shrinking: the same signature to the end, and little left."""

from __future__ import annotations

import pytest

from coveport.testbed import catalog
from coveport.testbed.faults import Cut, Kill, Slow
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import load, parse
from coveport.testbed.search.aftermath import troubles_of
from coveport.testbed.search.files import laid, sparse, to_toml
from coveport.testbed.search.finds import Find
from coveport.testbed.search.shrink import NotShownError, shrink

CALM = load(catalog.find("calm"))
SETS = (
    "load.level=0.73",
    "load.ask_once=0.31",
    "network.loss=0.0123",
    "rules.probes=false",
    "fleet.nodes=9",
    "classes.1.window_ms=417",
    "length_s=23.5",
    "seed=77",
    'faults.0={kind="slow", at_s=3.27, for_s=5.61, size=7.7, whom={share=0.6}}',
    'faults.1={kind="kill", at_s=6.43, for_s=1.37, whom={count=3}}',
    'faults.2={kind="cut", at_s=6.6, for_s=2.2}',
    'faults.3={kind="errors", at_s=7, for_s=1}',
)


class Looker:
    """Shows `a` where a cut overlaps a kill and two nodes are there, `b` on any day without probes."""

    def __init__(self) -> None:
        self.seen: list[Scenario] = []

    def __call__(self, day: Scenario, seed: int, variant: str) -> list[Find]:
        assert seed == day.seed and parse(to_toml(day), "again") == day
        self.seen.append(day)
        found = [] if day.rules.probes else [Find("rule", "b", 90.0, "b")]
        kills = [one for one in day.faults if isinstance(one, Kill)]
        cuts = [one for one in day.faults if isinstance(one, Cut)]
        if kills and cuts and day.fleet.nodes >= 2 and day.network.loss > 0:
            found.append(Find("rule", "a, exactly", 50.0, "a", 4000.0))
        return found


def test_all_that_is_not_needed_goes() -> None:
    looker = Looker()
    shrunk = shrink(laid(CALM, SETS), 77, "a, exactly", look=looker)
    day = shrunk.scenario
    assert sorted(type(one).__name__ for one in day.faults) == ["Cut", "Kill"]
    assert (day.fleet.sidecars, day.fleet.nodes, day.network.loss) == (1, 2, 0.01)
    assert set(sparse(day)) == {"title", "length_s", "fleet", "network", "faults", "seed"}
    assert day.length_s <= 5 and {one.at_s for one in day.faults} == {1.0}
    assert not shrunk.spent and shrunk.plays == len(looker.seen) - 1 < 200
    assert shrunk.text().startswith("# cause: \n# mend: \n# signature: a, exactly\n")
    assert parse(shrunk.text(), "found") == day


def test_it_does_not_slip_to_a_worse_find_unless_that_is_wanted() -> None:
    assert shrink(laid(CALM, SETS), 77, look=Looker()).find.signature == "b"
    assert len(shrink(laid(CALM, SETS), 77, look=Looker()).scenario.faults) == 0
    assert shrink(laid(CALM, SETS), 77, "exactly", look=Looker()).scenario.network.loss > 0
    with pytest.raises(NotShownError, match=r"it shows: b$"):
        shrink(laid(CALM, [*SETS, "network.loss=0"]), 77, "a", look=Looker())


def test_plays_are_bounded() -> None:
    looker = Looker()
    shrunk = shrink(laid(CALM, SETS), 77, "a, exactly", most_plays=5, look=looker)
    assert shrunk.spent and len(looker.seen) == 6
    assert Looker()(shrunk.scenario, shrunk.scenario.seed, "")[-1].signature == "a, exactly"


def test_whom_a_fault_hits_stays_while_others_go() -> None:
    def look(day: Scenario, seed: int, variant: str) -> list[Find]:
        slow = [one for one in day.faults if isinstance(one, Slow)]
        hit = slow and set(slow[0].whom.numbers or targets) & targets
        return [Find("rule", "x", 1.0, "x")] if hit else []

    day = laid(
        CALM,
        [
            *SETS[:8],
            'faults.0={kind="errors", at_s=1, for_s=1}',
            'faults.1={kind="slow", at_s=3, for_s=5, whom={count=1}}',
        ],
    )
    targets = set(troubles_of(day, day.seed)[1].targets)
    (fault,) = shrink(day, day.seed, look=look).scenario.faults
    assert isinstance(fault, Slow) and (set(fault.whom.numbers) == targets or fault.whom.all)


def test_a_sidecar_that_forgets_answers_needs_no_fault_at_all() -> None:
    day = laid(
        CALM,
        [
            "length_s=8",
            "fleet.sidecars=2",
            "network.loss=0.01",
            "rules.probes=false",
            'faults.0={kind="slow", at_s=2, for_s=3}',
            'faults.1={kind="kill", at_s=3, for_s=1}',
        ],
    )
    small = shrink(
        day, 1, "rule answer-none: ran, answered 200; given up", variant="answers-none", most_plays=25
    ).scenario
    assert not small.faults and small.fleet.sidecars == 1
    assert set(sparse(small)) <= {"title", "length_s", "fleet", "load", "seed"}
