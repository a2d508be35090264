"""Days of day-to-day service: an upgrade, a drain, a retuning and callers in slices; planted faults."""

from __future__ import annotations

import json

import pytest
from msgspec.structs import replace

from coveport.sidecar.telemetry import counters
from coveport.testbed import catalog
from coveport.testbed.event_log import AnyRow, Life
from coveport.testbed.oracle import judge
from coveport.testbed.run import play_and_judge
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import load


def slice_of(name: str, *kinds: str, length_s: float = 16.0) -> Scenario:
    """The day with a few sidecars, and its faults of these kinds (all where none is named)."""
    whole = load(catalog.find(name))
    faults = tuple(one for one in whole.faults if not kinds or one.__struct_config__.tag in kinds)
    return replace(whole, faults=faults, length_s=length_s, fleet=replace(whole.fleet, sidecars=3))


@pytest.mark.parametrize("name", ["upgrade", "lameduck"])
def test_a_slice_keeps_the_rules(name: str) -> None:
    played, outcome = play_and_judge(slice_of(name), name=name, seed=2, ground="virtual")
    assert not outcome.broken and outcome.service > 0.95 and not played.notes
    seen = {row.what for row in played.rows if isinstance(row, Life)}
    assert seen >= (
        {"replace", "replaced", "info"}
        if name == "upgrade"
        else {"lameduck", "rejoin", "no", "yes", "reload", "info"}
    )


def rows_of(name: str, *kinds: str, length_s: float = 16.0) -> tuple[list[AnyRow], object]:
    played, _ = play_and_judge(slice_of(name, *kinds, length_s=length_s), name=name, seed=2, ground="virtual")
    assert not judge(played.day, played.rows)
    return list(played.rows), played.day


def broken(day: object, rows: list[AnyRow]) -> set[str]:
    return {one.rule for one in judge(day, rows)}  # type: ignore[arg-type]


def test_what_staff_were_not_told_is_found() -> None:
    rows, day = rows_of("lameduck", "lameduck", "scrape")
    for what in ("no", "info"):
        left = [row for row in rows if not (isinstance(row, Life) and row.what == what)]
        assert broken(day, left) == {"staff"}
    late = [
        replace(row, at=row.at + 1200) if isinstance(row, Life) and row.what == "info" else row
        for row in rows
    ]
    assert broken(day, late) == {"staff"}


def test_figures_that_do_not_add_up_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    rows, _ = rows_of("lameduck", "scrape")
    told = [row for row in rows if isinstance(row, Life) and row.what == "info"]
    assert json.loads(told[-1].detail)[f"{counters.PREFIX}.pending"] == "0"
    add = counters.Counters.add

    def twice(self: counters.Counters, name: str, amount: int = 1) -> None:
        add(self, name, 2 * amount if name.endswith(".completed") else amount)

    monkeypatch.setattr(counters.Counters, "add", twice)
    _, outcome = play_and_judge(slice_of("lameduck", "scrape"), name="x", seed=2, ground="virtual")
    assert {one.rule for one in outcome.broken} == {"staff"}


def test_a_replaced_process_that_does_not_end_is_found() -> None:
    rows, day = rows_of("upgrade", "upgrade", length_s=24.0)
    longer = [row for row in rows if not (isinstance(row, Life) and row.what == "replaced")]
    assert broken(day, longer) == {"staff"}


def test_long_bodies_in_pieces_with_readers_that_pause_keep_the_rules() -> None:
    played, outcome = play_and_judge(slice_of("bulk"), name="bulk", seed=2, ground="virtual")
    assert not outcome.broken and outcome.service > 0.95
    told = [line for log in played.logs.values() for line in log.splitlines() if "counters " in line]
    figures = [json.loads(line.partition("counters ")[2]) for line in told]
    assert sum(one.get("answers_long", 0) for one in figures) > 20
    assert all(one["long_bytes"] == one["pending"] == 0 for one in figures)
