"""Harsh days: what network and machines do to the program, as the books and its own words show."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import pytest

from coveport.sidecar.effects import Effects
from coveport.testbed import run, scenario_file
from coveport.testbed.broken import VARIANTS, Variant
from coveport.testbed.event_log import Answered, Arrived, Asked, Life, Linked, Replied, Told
from coveport.testbed.playing import Played
from coveport.testbed.scenario import SIMULATED_FIGURES
from coveport.testbed.schema import Network
from coveport.testbed.simulated_network.harsh import Harsh

TROUBLE = """
title = "Everything harsh"
length_s = 9
tail_s = 6
load.level = 0.4
faults = [
    {kind = "resets", at_s = 1, for_s = 7, size = 0.04},
    {kind = "spoilt", at_s = 1, for_s = 7, size = 0.04},
    {kind = "drain", at_s = 2, for_s = 5, gone_s = 2, whom = {count = 1}},
    {kind = "crash", at_s = 4, for_s = 2, whom = {count = 2}},
    {kind = "full_queue", at_s = 3, for_s = 2, whom = {count = 2}},
    {kind = "slow_reader", at_s = 1, for_s = 7},
    {kind = "clock", at_s = 2, for_s = 4},
    {kind = "kill", at_s = 5, for_s = 1},
    {kind = "discovery", at_s = 3, how = "moves"},
]
[network]
"""
FIGURES = """
split = 0.2
merge = 0.05
window = [512, 65536]
reset_mid = 0.01
end_mid = 0.01
late_connect = 0.05
backlog = 4
accept_ms = [0, 4]
read_chunk = 100
"""
HARSH = TROUBLE + FIGURES
CALM = 'title = "t"\nlength_s = 4\nsettle_s = 0\nfleet.sidecars = 2\nload.rate = 40\n'


def play(text: str, seed: int = 1, **more: Any) -> Played:
    return run.play(scenario_file.parse(text, "harsh"), seed=seed, ground="virtual", **more)


def rows(played: Played, kind: type[Any], sidecar: int = -1) -> list[Any]:
    return [
        row
        for row in played.rows
        if isinstance(row, kind) and (sidecar < 0 or getattr(row, "sidecar", sidecar) == sidecar)
    ]


def test_a_harsh_day_is_the_same_in_every_process_and_unlike_a_calm_one() -> None:
    script = (
        f"from coveport.testbed import run, scenario_file\nday = scenario_file.parse({HARSH!r}, 'harsh')\n"
    )
    script += "print(run.play(day, seed=4, ground='virtual').trace)"
    told = [
        subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
            timeout=60,
        ).stdout
        for seed in "12"
    ]
    assert told[0] == told[1] and play(TROUBLE, 4).trace != told[0].strip()


def test_figures_that_come_to_nothing_change_no_byte() -> None:
    assert Harsh.of(Network(), 1) is None
    idle = ("split_ms = 99", "merge_ms = 99", "late_connect_ms = 99", "window = 262144", "backlog = 0")
    assert play(CALM + "\n".join(("[network]", *idle))).trace == play(CALM).trace
    one = {"split": 0.1, "window": 900.0, "backlog": 1, "accept_ms": 1.0, "read_chunk": 9}
    for name in SIMULATED_FIGURES:
        assert Harsh.of(Network(**{name: one.get(name, 0.1)}), 1) is not None  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(1, 7))
def test_the_sidecar_keeps_all_rules_on_harsh_days(seed: int) -> None:
    _, outcome = run.play_and_judge(
        scenario_file.parse(HARSH, "harsh"), name="harsh", seed=seed, ground="virtual"
    )
    assert outcome.kept, outcome.broken[0]
    assert 0.5 < outcome.service < 0.99, "it is harsh, but something goes"


def test_what_lay_on_a_tills_way_is_not_held_against_the_sidecar() -> None:
    late = CALM + "load.level = 1.3\nload.retries.try_share = 0.2\n[network]\nmerge = 1\nmerge_ms = 60\n"
    _, outcome = run.play_and_judge(
        scenario_file.parse(late.replace("load.rate = 40\n", ""), "late"),
        name="late",
        seed=1,
        ground="virtual",
    )
    assert outcome.kept, outcome.broken[0]


def test_word_of_discovery_that_the_network_cuts_short_is_not_told() -> None:
    faults = 'faults = [{kind = "rolling", at_s = 1, every_s = 0.3, gone_s = 0.2, down_s = 0.2}]\n'
    played = play(CALM + faults + "[network]\nreset_mid = 0.4\n")
    for number, log in played.logs.items():
        read = json.loads(log.split("counters ")[-1].splitlines()[0])["pool_updates"]
        assert 2 < len({row.at for row in rows(played, Told, number) if row.at > -2000}) <= read


@pytest.mark.parametrize("name", ["redeem-resent", "answers-none", "holds-back", "loses-cancels"])
def test_a_broken_sidecar_is_caught_on_harsh_days_too(name: str) -> None:
    for seed in range(1, 3):
        day = scenario_file.parse(HARSH, "harsh", ["load.level=0.7", "load.impatient=0.1"])
        _, outcome = run.play_and_judge(day, name="harsh", seed=seed, ground="virtual", variant=name)
        if VARIANTS[name].rule in {one.rule for one in outcome.broken}:
            return
    pytest.fail(f"{name} broke no {VARIANTS[name].rule} on two days")


def test_a_clock_that_steps_moves_the_wall_and_a_process_started_meanwhile_has_it_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from coveport.testbed.simulated_network.wires import VirtualNet

    steps: list[float] = []  # seconds off, whenever somebody looked
    real = VirtualNet.unix_s

    def unix_s(net: VirtualNet) -> float:
        steps.append(round(real(net) - net.world.unix_s(), 3))
        return real(net)

    monkeypatch.setattr(VirtualNet, "unix_s", unix_s)
    faults = """faults = [
        {kind = "clock", at_s = 1, for_s = 2, size = 30}, {kind = "clock", at_s = 1.5, size = -4},
        {kind = "restart", at_s = 1.6, whom.numbers = [0]},
        {kind = "kill", at_s = 3.5, for_s = 0.1, whom.numbers = [1]}]"""
    played = play(CALM + faults)
    assert steps == [0, 0, 26, -4], "a process reads it once, at its start"
    assert len(rows(played, Answered)) > 100


def test_a_starved_sidecar_runs_only_in_its_part_of_each_tenth_of_a_second() -> None:
    played = play(CALM + 'faults = [{kind = "starve", at_s = 1, for_s = 2, size = 0.25, whom.numbers = [1]}]')
    lives = [(round(row.at), row.what) for row in rows(played, Life, 1) if row.detail == "starve"]
    assert lives[:4] == [(1000, "stall"), (1075, "resume"), (1100, "stall"), (1175, "resume")]
    assert len(lives) == 40 and not [row for row in rows(played, Life, 0) if row.what == "stall"]
    sent = [row.handed % 100 for row in rows(played, Arrived, 1) if 1001 < row.handed < 3000]
    assert len(sent) > 10 and min(sent) >= 75


def test_a_stall_on_top_of_starving_is_one_time_without_cpu() -> None:
    played = play(
        CALM
        + """faults = [{kind = "starve", at_s = 1, for_s = 2, size = 0.5, whom.all = true},
        {kind = "stall", at_s = 1.52, for_s = 1, whom.all = true}]"""
    )
    lives = [(round(row.at), row.what) for row in rows(played, Life, 0) if row.at > 1460]
    assert lives[:4] == [(1500, "stall"), (2550, "resume"), (2600, "stall"), (2650, "resume")]


def test_descriptors_fall_and_rise_again() -> None:
    text = CALM.replace("40", "80") + "load.connections = 60\nload.ask_once = 1\n"
    text += 'faults = [{kind = "descriptors", at_s = 1, for_s = 2, size = 12, whom.numbers = [0]}]'
    played = play(text)
    assert "Too many open files" in played.logs[0] and "Too many open files" not in played.logs[1]
    first, last = (
        next(float(line.split()[0]) for line in lines if "Too many" in line)
        for lines in (played.logs[0].splitlines(), reversed(played.logs[0].splitlines()))
    )
    assert 1 <= first <= last < 3


@pytest.mark.parametrize("window", [700, 262144])
def test_a_slow_till_blames_nobody_and_its_rows_say_when_it_came(window: int) -> None:
    slow = 'faults = [{kind = "slow_reader", at_s = 0, share = 1, size = 3, whom.numbers = [0]}]'
    sets = [f"network.window={window}", "classes.0.answer=9000", "load.impatient=0.2"]
    day = scenario_file.parse(CALM + slow, "slow", sets)
    played, outcome = run.play_and_judge(day, name="slow", seed=2, ground="virtual")
    assert outcome.kept, outcome.broken[0]
    replied = {row.op: row.at for row in rows(played, Replied)}
    waits = [row.at - replied[row.op] for row in rows(played, Answered) if row.op in replied]
    assert len(waits) > 100 and max(waits) < 400, "what came is not late because it was not read"
    used = [len({row.conn for row in rows(played, Asked, number)}) for number in (0, 1)]
    assert used[0] > 2 * used[1], "who does not read keeps its connection"


def test_a_full_queue_lets_nobody_connect() -> None:
    fault = 'faults = [{kind = "full_queue", at_s = 1, for_s = 2, whom.numbers = [0, 1, 2]}]'
    calm, full = (
        rows(play(CALM + "fleet.nodes = 6\nfleet.idle_s = 0.2\n" + text), Linked) for text in ("", fault)
    )

    def up(all_rows: list[Linked], want: Callable[[Linked], bool]) -> int:
        return sum(row.up and 1030 < row.at < 3000 and want(row) for row in all_rows)

    assert up(calm, lambda row: row.node < 3) > 5 and up(full, lambda row: row.node < 3) == 0
    assert up(full, lambda row: row.node >= 3) > 5
    assert any(row.up and row.node < 3 and row.at > 3000 for row in full)


def test_what_a_sidecar_holds_after_a_quiet_time_is_told_and_a_leak_shows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = play(CALM + "quiet_s = 8").held
    assert set(held) == {0, 1}
    empty = {name: size for name, size in held[0].items() if name not in ("hosts", "places")}
    assert empty.pop("connections") == 1, "to discovery"
    assert empty.pop("tasks") == 1 and empty.pop("timers") <= 2 and not any(empty.values())
    assert held[0]["hosts"] == held[0]["places"] == 10
    assert {"clients", "operations", "open", "links", "idle", "connecting", "flights"} < set(empty)
    busy = play(CALM).held[0]
    assert busy["clients"] > 0 < busy["links"], "without a quiet time, connections rest"

    class Leaky(Effects):
        def _forget(self, number: int, answered: bool = False) -> None:
            if number % 5:
                super()._forget(number, answered)

    monkeypatch.setitem(VARIANTS, "leaky", Variant("leaky", "forgets four in five", effects=Leaky))
    leaky = play(CALM + "quiet_s = 8", variant="leaky").held
    assert leaky[0]["open"] > 5 and leaky[0]["operations"] == 0


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("network.read_chunk = 5", "network.read_chunk"),
        ('faults = [{kind = "slow", at_s = 1}, {kind = "starve", at_s = 1}]', "faults[1].kind"),
    ],
)
def test_real_ground_refuses_in_one_line_what_it_cannot_do(text: str, key: str) -> None:
    from coveport.testbed.loopback import GroundError

    with pytest.raises(GroundError, match=r"^[^\n]*$") as caught:
        run.play(scenario_file.parse(CALM + text, "harsh"), seed=1, ground="real")
    assert str(caught.value).startswith(f"{key}: ") and "--ground virtual" in str(caught.value)


def test_counters_tell_the_tables() -> None:
    line = play(CALM).logs[0].split("counters ")[-1].splitlines()[0]
    assert {"clients", "operations", "open"} < set(json.loads(line)["tables"])
