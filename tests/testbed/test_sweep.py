"""Grids of days: resumed, refused, and whole whatever stops them."""

from __future__ import annotations

import csv
import json
import os
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import Any

import outcomes
import pytest

from coveport.testbed import sweep, worker_pool


class Inline:
    """A lane that plays at once, in this process."""

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        try:
            future.set_result(fn(*args, **kwargs))
        except BaseException as raised:
            future.set_exception(raised)
        return future

    def stop(self) -> None:
        pass


class Player:
    """Notes what is played, and is interrupted at one of them."""

    def __init__(self, stops_at: int = -1, **more: Any) -> None:
        self.cells: list[str] = []
        self.stops_at = stops_at
        self.more = more

    def __call__(self, job: sweep.Job) -> bytes:
        if len(self.cells) == self.stops_at:
            raise KeyboardInterrupt
        self.cells.append(job.cell.label)
        return json.dumps({**json.loads(outcomes.play(job)), **self.more}).encode()


def plan(
    seeds: str = "1-5",
    grid: str = "level=0.2,0.4",
    text: str = "a",
    ground: str = "virtual",
    variants: tuple[str, ...] = ("",),
) -> sweep.Plan:
    places = sweep.parse_grid([grid])
    manifest = sweep.Manifest("try", text, "c", ground, places, list(variants), {})
    return sweep.Plan(manifest, sweep.parse_seeds(seeds), tuple({} for _ in sweep.points(places)))


def swept(out: Path, play: sweep.Play, some: sweep.Plan | None = None, **more: Any) -> sweep.Swept:
    return sweep.sweep(some or plan(), out, jobs=1, play=play, lane=Inline, **more)


def test_seeds_and_grids_are_read() -> None:
    assert sweep.parse_seeds("3, 1-2,2") == (3, 1, 2)
    assert sweep.parse_grid(["a=1,[2,3]", "b=x"]) == {"a": ["1", "[2,3]"], "b": ["x"]}
    assert sweep.points({"a": ["1", "2"], "b": ["x", "y"]})[1] == {"a": "1", "b": "y"}


@pytest.mark.parametrize("wrong", ["", "1-", "4-2", "x", "1,,2", "0-999999999"])
def test_wrong_seeds_are_refused(wrong: str) -> None:
    with pytest.raises(sweep.SweepError):
        sweep.parse_seeds(wrong)


@pytest.mark.parametrize("wrong", ["a", "=1", "a=", "a=1,1", "a=1 a=2"])
def test_wrong_grids_are_refused(wrong: str) -> None:
    with pytest.raises(sweep.SweepError):
        sweep.parse_grid(wrong.split())


def test_the_table_holds_means_and_intervals(tmp_path: Path) -> None:
    low, high = swept(tmp_path / "out", outcomes.play).lines
    assert low.params == {"level": "0.2"}
    assert (low.days, low.kept, low.met, low.void, low.missing) == (5, 5, 5, 0, 0)
    assert low.mean == pytest.approx(
        {"service": 0.23, "p99.earn": 103, "waste": 0.01, "recovery.1 slow": 2.5, "unrecovered": 1}
    )
    assert 0.21 < low.low["service"] < 0.23 < low.high["service"] < 0.25 and low.high["waste"] == 0.01
    rows = list(csv.DictReader((tmp_path / "out/table.csv").read_text().splitlines()))
    assert float(rows[1]["service low"]) == high.low["service"] and rows[1]["level"] == "0.4"
    assert not swept(tmp_path / "few", outcomes.play, plan("1-4")).lines[0].low  # would promise too much


def test_a_stopped_sweep_goes_on_and_takes_more_seeds(tmp_path: Path) -> None:
    stopped, rest, more = Player(stops_at=3), Player(), Player()
    with pytest.raises(KeyboardInterrupt):
        swept(tmp_path / "out", stopped)
    told: list[sweep.Told] = []
    result = swept(tmp_path / "out", rest, told=told.append)
    assert stopped.cells == ["level=0.2 seed=1", "level=0.4 seed=1", "level=0.2 seed=2"]
    assert len(rest.cells) == 7 and not set(stopped.cells) & set(rest.cells)
    assert result.resumed == 3 and [one.done for one in told] == list(range(4, 11))
    assert [line.days for line in result.lines] == [5, 5]
    assert swept(tmp_path / "out", more, plan("1-6")).resumed == 10 and len(more.cells) == 2


@pytest.mark.parametrize(
    "other", [{"text": "b"}, {"grid": "level=0.2,0.5"}, {"ground": "real"}, {"variants": ("a",)}]
)
def test_a_folder_of_another_sweep_is_refused(tmp_path: Path, other: dict[str, Any]) -> None:
    swept(tmp_path / "out", outcomes.play)
    player = Player()
    with pytest.raises(sweep.SweepError, match=r"^[^\n]*holds another sweep[^\n]*$"):
        swept(tmp_path / "out", player, plan(**other))
    assert not player.cells


def test_a_foreign_folder_is_refused_and_left_alone(tmp_path: Path) -> None:
    (tmp_path / "mine.txt").touch()
    with pytest.raises(sweep.SweepError, match="not a sweep's folder"):
        swept(tmp_path, outcomes.play)
    assert os.listdir(tmp_path) == ["mine.txt"]


def test_damaged_foreign_and_void_cells_are_played_again(tmp_path: Path) -> None:
    assert [line.void for line in swept(tmp_path, Player(late=True)).lines] == [5, 5]
    lines = swept(tmp_path, Player(**outcomes.BROKEN)).lines
    assert [(line.days, line.void, line.kept) for line in lines] == [(5, 0, 0)] * 2
    first, second = sorted((tmp_path / "cells").iterdir())[:2]
    first.write_bytes(first.read_bytes()[:-40])
    second.write_text(second.read_text().replace(plan().digest, "0" * 64))
    assert swept(tmp_path, outcomes.play).resumed == 8


@pytest.mark.parametrize("fails", ["fsync", "replace"])
def test_files_are_whole_or_as_they_were(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str) -> None:
    def full(*_: object) -> None:
        raise OSError(28, "No space left on device")

    worker_pool.write_whole(tmp_path / "cell.json", b"old")
    monkeypatch.setattr(os, fails, full)
    with pytest.raises(OSError, match="No space"):
        worker_pool.write_whole(tmp_path / "cell.json", b"new" * 1000)
    assert (tmp_path / "cell.json").read_bytes() == b"old" and os.listdir(tmp_path) == ["cell.json"]


def test_a_dead_worker_takes_nobody_with_it(tmp_path: Path) -> None:
    result = sweep.sweep(plan("666,1-2,13", "a=1"), tmp_path, jobs=2, play=outcomes.play)
    assert {cell.seed: problem for cell, problem in result.problems} == {
        666: "the worker that played it died",
        13: "ValueError: no such luck",
    }
    assert result.lines[0].days == 2 and result.lines[0].missing == 2
