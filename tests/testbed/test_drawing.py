"""A day is the same wherever it is drawn and holds what its scenario says; its faults make sense together."""

import json
import os
import subprocess
import sys
from collections import Counter
from statistics import fmean

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveport.balancing import simulator_settings
from coveport.testbed import catalog, drawing
from coveport.testbed.day import NODE_CHANGES, SIDECAR_CHANGES, Day, sidecar_settings
from coveport.testbed.scenario_file import load, parse

WHOLE = """
import hashlib, msgspec
from coveport.testbed import catalog, drawing, scenario_file
for name in ("crash", "slow+burst", "sidecar-trouble"):
    sets = ["faults.0.whom.share=0.4", "faults.0.whom.count=0"]
    day = drawing.draw(scenario_file.load(catalog.find(name), sets), 5)
    print(hashlib.sha256(msgspec.msgpack.encode(day)).hexdigest())
"""


def drawn(faults: str = "", seed: int = 1, *sets: str) -> Day:
    return drawing.draw(parse(f'title = "t"\n{faults}', "day.toml", ["length_s=60", *sets]), seed)


def fault(text: str) -> str:
    return "\n".join(["[[faults]]", *text.split("; "), ""])


def test_a_day_is_the_same_in_every_process() -> None:
    told = [
        subprocess.run(
            [sys.executable, "-c", WHOLE],
            env=os.environ | {"PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert told[0] == told[1] and len(set(told[0].split())) == 3


@pytest.mark.parametrize("name", [name for name, _ in catalog.names() if "/" not in name])
def test_shipped_scenarios_can_be_drawn_and_played(name: str) -> None:
    scenario = load(catalog.find(name))
    assert 20 <= scenario.length_s <= 60 and scenario.about
    for seed in range(3):
        day = drawing.draw(scenario, seed)
        assert_sound(day)
        assert 300 < len(day.wishes) < 30_000 and all(span.whom[:3] != "no " for span in day.spans)
        json.dumps(drawing.summary(day))
        for sidecar in day.sidecars:
            assert (
                simulator_settings.parse_settings(json.dumps(sidecar_settings(day, sidecar))).zone
                == sidecar.zone
            )


def test_the_fleet_is_as_the_scenario_says() -> None:
    day = drawn(
        "",
        4,
        "fleet.nodes=25",
        "fleet.cell_size=3",
        "fleet.jam.at=7",
        "fleet.kinds.0.cores=2",
        "fleet.sidecars=7",
    )
    assert Counter(node.kind for node in day.nodes) == {"full-core": 16, "slow-core": 9}
    assert sorted(Counter(node.zone for node in day.nodes).values()) == [8, 8, 9]
    assert sorted(Counter(one.zone for one in day.sidecars).values()) == [2, 2, 3]
    cells = Counter((node.cell, node.zone) for node in day.nodes)
    assert sorted(cells.values()) == [2, 2, 3, 3, 3, 3, 3, 3, 3] and len({cell for cell, _ in cells}) == 9
    assert len({node.name for node in day.nodes}) == 25 and len({node.seed for node in day.nodes}) == 25
    full = [node for node in day.nodes if node.kind == "full-core"]
    assert (
        all(
            0.85 <= node.speed <= 1.1
            and node.jam_at == 14
            and 1200 <= node.connections <= 1800
            and 4 <= node.slots <= 12
            and 52 <= node.waiting <= 114
            and 12.2 <= node.crowd_at <= 28
            for node in full
        )
        and len({node.speed for node in full}) == 16
    )
    assert day.capacity == pytest.approx(sum(node.cores * node.speed for node in day.nodes))
    for one, row in enumerate(day.cross_ms):
        assert row[one] == day.same_ms and all(row[other] == day.cross_ms[other][one] for other in range(3))


def test_what_is_not_changed_stays_as_it_was() -> None:
    crash, slow = (
        fault('kind = "crash"; at_s = [3, 9]; for_s = [4, 9]; replaced = true'),
        fault('kind = "slow"; at_s = [8, 20]; whom.count = 3'),
    )
    day, other_load = drawn(crash + slow), drawn(crash + slow, 1, "load.rate=20", "classes.0.share=0.1")
    assert (other_load.nodes, other_load.changes) == (day.nodes, day.changes)
    burst, errors = fault('kind = "burst"; at_s = 9; for_s = 9'), fault('kind = "errors"; at_s = 1')
    more = drawn(crash + slow + burst + errors)
    assert more.nodes == day.nodes and more.spans[:2] == day.spans
    assert [one for one in more.changes if one.fault < 2] == list(day.changes)
    assert set(day.wishes) < set(more.wishes)  # a burst only adds
    larger = drawn(crash + slow.replace("3", "5"))
    assert larger.spans[0] == day.spans[0]
    assert {one.target for one in larger.changes} > {one.target for one in day.changes}
    fleet = drawn("", 1, "fleet.nodes=14", "fleet.kinds.0.speed=2")
    assert [node.report_noise for node in fleet.nodes[:10]] == [node.report_noise for node in day.nodes[:10]]


def test_wishes_follow_rate_mix_and_work() -> None:
    day = drawn(
        "",
        2,
        "load.rate=500",
        "load.retries.most=1.25",
        "classes.0.work_ms=60",
        "classes.1.work_ms=100",
        "classes.1.cv=0.8",
        "load.spread=0.5",
        "load.skew=0.4",
        "load.impatient=0.1",
        "load.half_close=0.05",
    )
    wishes = day.wishes
    assert len(wishes) == pytest.approx(30_000, rel=0.03)
    assert [one.due for one in wishes] == sorted(one.due for one in wishes)
    assert wishes[0].due >= 0 and wishes[-1].due < 60_000
    for cls, one in enumerate(day.scenario.classes):
        own = [wish for wish in wishes if wish.cls == cls]
        assert len(own) / len(wishes) == pytest.approx(one.share, abs=0.01)
        assert all((wish.body == 0) == (one.repeats == "safe") and 100 <= wish.answer <= 900 for wish in own)
        assert all((len(wish.key) == 32) == (one.repeats == "keyed") for wish in own)
        if cls < 2:
            mean = fmean(wish.work_ms for wish in own)
            assert mean == pytest.approx((60, 100)[cls], rel=0.05)
            cv = fmean((wish.work_ms - mean) ** 2 for wish in own) ** 0.5 / mean
            assert cv == pytest.approx((1, 0.8)[cls], abs=0.1)
    assert {wish.tries for wish in wishes} == {2, 3}
    assert fmean(wish.tries for wish in wishes) == pytest.approx(2.25, abs=0.02)
    assert all(0.7 <= wish.try_share <= 1 for wish in wishes)
    assert fmean(wish.leaves_ms >= 0 for wish in wishes) == pytest.approx(0.1, abs=0.01)
    assert fmean(wish.half for wish in wishes) == pytest.approx(0.05, abs=0.01)
    assert not any(wish.stays for wish in wishes)
    assert len({wish.op[:14] for wish in wishes}) == len(wishes) == len({wish.op for wish in wishes})
    assert len({wish.key for wish in wishes}) == 1 + sum(wish.cls == 1 for wish in wishes)
    zones = Counter(wish.sidecar % 3 for wish in wishes)
    assert sorted(zones.values()) == pytest.approx([6000, 10_000, 14_000], rel=0.06)  # skew 0.4
    assert len(set(Counter(wish.sidecar for wish in wishes).values())) == 6  # spread


def test_the_level_becomes_a_rate() -> None:
    days = [drawn("", seed, "load.level=0.5", "length_s=300") for seed in range(8)]
    levels = [drawing.summary(day)["level"] for day in days]
    assert fmean(levels) == pytest.approx(0.5, rel=0.05) and max(levels) < 0.6
    with pytest.raises(ValueError, match="would hold some 6e\\+06 wishes"):
        drawn("", 1, "load.rate=100000")


def per_second(day: Day, begin: float, end: float) -> float:
    return sum(begin <= one.due < end for one in day.wishes) / (end - begin) * 1000


def test_shapes_bursts_and_heavy_tails_are_where_they_belong() -> None:
    curve = drawn("", 1, "load.rate=300", "load.shape=curve", "load.curve=[[0, 0], [30, 2], [30.1, 1]]")
    assert per_second(curve, 0, 15_000) == pytest.approx(150, rel=0.1)
    assert per_second(curve, 15_000, 30_000) == pytest.approx(450, rel=0.1)
    assert per_second(curve, 31_000, 60_000) == pytest.approx(300, rel=0.1)
    wave = drawn("", 1, "load.rate=300", "load.shape=wave", "load.swing=0.5", "load.wave_s=60")
    sixths = [per_second(wave, at * 10_000, at * 10_000 + 10_000) for at in range(6)]
    assert max(sixths) == pytest.approx(440, rel=0.1) and min(sixths) == pytest.approx(160, rel=0.15)
    burst = drawn(
        fault('kind = "burst"; at_s = 20; for_s = 20; size = 3; rise_s = 5')
        + fault('kind = "burst"; at_s = 50; size = 0.2; rise_s = 0'),
        1,
        "load.rate=300",
    )
    assert per_second(burst, 0, 20_000) == pytest.approx(300, rel=0.1)
    assert per_second(burst, 20_000, 25_000) == pytest.approx(600, rel=0.1)
    assert per_second(burst, 25_000, 35_000) == pytest.approx(900, rel=0.1)
    assert per_second(burst, 35_000, 40_000) == pytest.approx(600, rel=0.1)
    assert per_second(burst, 40_000, 50_000) == pytest.approx(300, rel=0.1)
    assert per_second(burst, 50_000, 60_000) == pytest.approx(60, rel=0.2)
    assert len({one.op[:14] for one in burst.wishes}) == len(burst.wishes)
    calm = drawn("", 1, "load.rate=300")
    tail = fault('kind = "heavy_tail"; at_s = 10; for_s = 20; share = 0.05; size = 8; cls = "earn"')
    heavy = drawn(tail, 1, "load.rate=300")
    pairs = [(one, other) for one, other in zip(calm.wishes, heavy.wishes, strict=True) if one != other]
    assert all(
        other.work_ms == pytest.approx(8 * one.work_ms) and one.cls == 1 and 10_000 <= one.due < 30_000
        for one, other in pairs
    )
    assert len(pairs) == pytest.approx(0.05 * 0.28 * 300 * 20, rel=0.3)


def told(day: Day) -> list[str]:
    """Changes in short: second, what (a minus in front where it is taken back), whom, figures."""
    return [
        f"{one.at / 1000:g} {'' if one.on else '-'}{one.what} {one.target} {one.value:g} {one.share:g}"
        for one in day.changes
    ]


@pytest.mark.parametrize(
    ("text", "changes", "span"),
    [
        (
            'kind = "crash"; at_s = 3; for_s = 4; whom.numbers = [1, 6]',
            ["3 die 1 0 0", "3 die 6 0 0", "7 start 1 0 0", "7 start 6 0 0"],
            "3 7 nodes 1, 6",
        ),
        ('kind = "crash"; at_s = 3; whom.numbers = [1]', ["3 die 1 0 0"], "3 60 node 1"),
        (
            'kind = "crash"; at_s = 3; for_s = 4; whom.numbers = [1]; replaced = true',
            ["3 die 1 0 0", "7 start 10 0 0"],
            "3 7 node 1",
        ),
        (
            'kind = "slow"; at_s = 3; for_s = 4; size = 5; whom.numbers = [1]',
            ["3 slow 1 5 0", "7 -slow 1 0 0"],
            "3 7 node 1",
        ),
        (
            'kind = "silent"; at_s = 3; whom.numbers = [1]',
            ["3 silent 1 0 0", "60 -silent 1 0 0"],
            "3 60 node 1",
        ),
        (
            'kind = "drain"; at_s = 3; for_s = 9; gone_s = 2; whom.numbers = [1]',
            ["3 leaving 1 0 0", "5 die 1 0 0", "12 start 1 0 0"],
            "3 12 node 1",
        ),
        (
            'kind = "rolling"; at_s = 3; every_s = 5; whom.zone = "pamplona"',
            [
                "3 leaving 2 0 0",
                "5 die 2 0 0",
                "6 start 2 0 0",
                "8 leaving 5 0 0",
                "10 die 5 0 0",
                "11 start 5 0 0",
                "13 leaving 8 0 0",
                "15 die 8 0 0",
                "16 start 8 0 0",
            ],
            "3 16 nodes 2, 5, 8",
        ),
        (
            'kind = "errors"; at_s = 3; for_s = 4; size = 0.3; ran = 0.7; whom.numbers = [4]',
            ["3 errors 4 0.3 0.7", "7 -errors 4 0 0"],
            "3 7 node 4",
        ),
        (
            'kind = "spoilt"; at_s = 3; for_s = 4; size = 0.3; whom = {zone = "bilbao", kind = "slow-core"}',
            ["3 spoilt 3 0.3 0", "7 -spoilt 3 0 0"],
            "3 7 node 3",
        ),
        (
            'kind = "cut"; at_s = 3; for_s = 4; zone = "oviedo"',
            ["3 cut 1 0 0", "7 -cut 1 0 0"],
            "3 7 zone oviedo",
        ),
        (
            'kind = "delay"; at_s = 3; for_s = 4; added_ms = 30; within = true',
            ["3 delay -1 30 1", "7 -delay -1 0 0"],
            "3 7 all ways",
        ),
        ('kind = "loss"; at_s = 3; for_s = 4', ["3 loss -1 0.02 0", "7 -loss -1 0 0"], "3 7 all ways"),
        (
            'kind = "discovery"; at_s = 3; for_s = 4; how = "late"; size = 2',
            ["3 discovery-late -1 2000 0", "7 -discovery-late -1 0 0"],
            "3 7 discovery",
        ),
        ('kind = "discovery"; at_s = 3; how = "moves"', ["3 discovery-moves -1 0 0"], "3 3 discovery"),
        ('kind = "kill"; at_s = 3; whom.numbers = [2]', ["3 kill 2 0 0", "4 launch 2 0 0"], "3 4 sidecar 2"),
        (
            'kind = "stall"; at_s = 3; for_s = 0.5; whom.zone = "oviedo"',
            ["3 stall 1 500 0", "3 stall 4 500 0"],
            "3 3.5 sidecars 1, 4",
        ),
        (
            'kind = "restart"; at_s = 3; every_s = 2; whom.numbers = [5, 0]',
            ["3 term 5 0 0", "5 term 0 0 0"],
            "3 6 sidecars 0, 5",
        ),
        (
            'kind = "full_queue"; at_s = 3; for_s = 4; whom.numbers = [1]',
            ["3 full-queue 1 0 0", "7 -full-queue 1 0 0"],
            "3 7 node 1",
        ),
        (
            'kind = "clock"; at_s = 3; for_s = 4; size = -2.5; whom.numbers = [1]',
            ["3 clock 1 -2500 0", "7 -clock 1 0 0"],
            "3 7 sidecar 1",
        ),
        (
            'kind = "starve"; at_s = 3; for_s = 4; size = 0.4; whom.numbers = [1]',
            ["3 starve 1 0.4 0", "7 -starve 1 0 0"],
            "3 7 sidecar 1",
        ),
        (
            'kind = "descriptors"; at_s = 3; for_s = 4; size = 30; whom.numbers = [1]',
            ["3 descriptors 1 30 0", "7 -descriptors 1 0 0"],
            "3 7 sidecar 1",
        ),
        (
            'kind = "slow_reader"; at_s = 3; size = 0.5; share = 0.3; whom.numbers = [5]',
            ["3 slow-reader 5 500 0.3", "60 -slow-reader 5 0 0"],
            "3 60 sidecar 5",
        ),
        ('kind = "heavy_tail"; at_s = 3; cls = "earn"', [], "3 60 class earn"),
        ('kind = "burst"; at_s = 3; for_s = 2', [], "3 5 all tills"),
    ],
)
def test_faults_become_changes_and_spans(text: str, changes: list[str], span: str) -> None:
    day = drawn(fault(text))
    assert told(day) == changes
    (one,) = day.spans
    assert f"{one.begin / 1000:g} {one.end / 1000:g} {one.whom}" == span and one.kind in text


def test_shares_of_nodes_are_drawn_by_the_seed() -> None:
    days = [drawn(fault('kind = "crash"; at_s = [3, 5]; whom.share = 0.23'), seed) for seed in range(20)]
    assert {len(day.changes) for day in days} == {2}
    assert len({one.target for day in days for one in day.changes}) == 10
    assert all(3000 <= day.spans[0].begin < 5000 for day in days)
    replaced = drawn(fault('kind = "crash"; at_s = 3; for_s = 1; whom.numbers = [4]; replaced = true'))
    old, new = replaced.nodes[4], replaced.nodes[10]
    assert (new.zone, new.cell, new.kind, new.born, old.born) == (old.zone, old.cell, old.kind, False, True)
    assert new.name not in {node.name for node in replaced.nodes[:10]}
    assert drawing.summary(replaced)["nodes"] == 10


@pytest.mark.parametrize(
    ("faults", "changes"),
    [
        # Who is down already is left to the fault that did it.
        (
            ['kind = "crash"; at_s = 3; for_s = 9', 'kind = "crash"; at_s = 5; for_s = 1'],
            ["3 die", "12 start"],
        ),
        (
            ['kind = "crash"; at_s = 5; for_s = 1', 'kind = "crash"; at_s = 3; for_s = 9'],
            ["3 die", "12 start"],
        ),
        (
            ['kind = "crash"; at_s = 3; for_s = 9', 'kind = "drain"; at_s = 5; for_s = 4'],
            ["3 die", "12 start"],
        ),
        (
            [
                'kind = "drain"; at_s = 3; for_s = 9; gone_s = 5',
                'kind = "drain"; at_s = 4; for_s = 3; gone_s = 1',
            ],
            ["3 leaving", "8 die", "12 start"],
        ),
        # A crash ends a drain; its own return counts, or none.
        (
            ['kind = "drain"; at_s = 3; for_s = 5', 'kind = "crash"; at_s = 4; for_s = 9'],
            ["3 leaving", "4 die", "13 start"],
        ),
        (['kind = "drain"; at_s = 3; for_s = 5', 'kind = "crash"; at_s = 4'], ["3 leaving", "4 die"]),
        (
            ['kind = "crash"; at_s = 3; for_s = 2', 'kind = "drain"; at_s = 5; for_s = 4'],
            ["3 die", "5 start", "5 leaving", "8 die", "9 start"],
        ),
        (
            [
                'kind = "crash"; at_s = 3; for_s = 2; replaced = true',
                'kind = "slow"; at_s = 9; for_s = 2; size = 4',
            ],
            ["3 die", "5 start 10", "9 slow 10", "11 -slow 10"],
        ),
        (
            [
                'kind = "slow"; at_s = 4; for_s = 2; size = 4',
                'kind = "crash"; at_s = 3; for_s = 2; replaced = true',
            ],
            ["3 die", "4 slow", "5 start 10", "6 -slow"],
        ),
        (
            [
                'kind = "kill"; at_s = 3; for_s = 5',
                'kind = "kill"; at_s = 4',
                'kind = "restart"; at_s = 5',
                'kind = "stall"; at_s = 6; for_s = 1',
            ],
            ["3 kill", "8 launch"],
        ),
        (
            ['kind = "restart"; at_s = 3', 'kind = "kill"; at_s = 5', 'kind = "kill"; at_s = 11'],
            ["3 term", "11 kill", "12 launch"],
        ),
        (
            [
                'kind = "stall"; at_s = 3; for_s = 2',
                'kind = "restart"; at_s = 4',
                'kind = "kill"; at_s = 4.5',
            ],
            ["3 stall", "4.5 kill", "5.5 launch"],
        ),
    ],
)
def test_faults_that_meet_make_sense(faults: list[str], changes: list[str]) -> None:
    day = drawn("".join(fault(f"{one}; whom.numbers = [3]") for one in faults))
    assert [" ".join(one.split()[: 3 if one.split()[2] == "10" else 2]) for one in told(day)] == changes
    hit = {one.fault for one in day.changes}
    assert [span.whom[:3] == "no " for span in day.spans] == [one not in hit for one in range(len(faults))]


def assert_sound(day: Day) -> None:
    """Whoever starts was down, whoever dies was there, and what is taken back had begun by the same fault."""
    assert [one.at for one in day.changes] == sorted(one.at for one in day.changes)
    down = {(True, node.number) for node in day.nodes if not node.born}
    leaving: set[tuple[bool, int]] = set()
    open_ones: set[tuple[str, int, int]] = set()
    for one in day.changes:
        party, kind = (one.what in NODE_CHANGES, one.target), (one.what, one.fault, one.target)
        if one.what in ("start", "launch"):
            assert party in down
            down.remove(party)
        elif one.what in ("die", "kill", "leaving", "term", "stall"):
            assert party not in down and (one.what != "leaving" or party not in leaving)
            down |= {party} if one.what in ("die", "kill") else set()
            leaving = leaving | {party} if one.what == "leaving" else leaving - {party}
        elif one.what not in SIDECAR_CHANGES and one.what != "discovery-moves":
            assert (kind in open_ones) != one.on
            open_ones ^= {kind}
    assert not open_ones


KINDS = ("crash", "drain", "rolling", "slow", "kill", "stall", "restart")


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(KINDS), st.integers(0, 20), st.integers(4, 9), st.integers(1, 6), st.booleans()
        ),
        max_size=8,
    ),
    st.integers(0, 99),
)
def test_any_faults_together_are_sound(faults: list[tuple[str, int, int, int, bool]], seed: int) -> None:
    day = drawn(
        "".join(
            fault(
                f'kind = "{kind}"; at_s = {at}; whom.count = {count}'
                + (f"; for_s = {length}" * (kind not in ("rolling", "restart")))
                + (f"; replaced = {str(new).lower()}" * (kind == "crash"))
            )
            for kind, at, length, count, new in faults
        ),
        seed,
        "load.rate=1",
    )
    assert_sound(day)
    assert msgspec.json.decode(msgspec.json.encode(day), type=Day) == day
