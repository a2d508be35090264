"""A grid of days: parameters x variants x seeds, each played by a worker process, kept in a folder.

The folder holds `manifest.json` (what the sweep is), `cells/` (one file a played day) and, once all are
there, `table.json` and `table.csv`. Every file is written aside and renamed, so that whatever stops a sweep
leaves whole files only, and the same call goes on from there.
"""

from __future__ import annotations

import contextlib
import csv
import dataclasses
import hashlib
import io
import itertools
import math
import platform
import re
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

import coveport
from coveport.testbed.worker_pool import Lane, Worker, each, said, write_whole

FORMAT = 1


class SweepError(Exception):
    """The sweep can't be made; its text is one line."""


class Manifest(Struct, frozen=True):
    """What makes two sweeps the same. Seeds are not part of it: a sweep may be given more of them."""

    scenario: str
    text_sha256: str  # of the scenario's file
    code_sha256: str  # of all modules of coveport: another program, another sweep
    ground: str
    grid: dict[str, list[str]]
    variants: list[str]
    versions: dict[str, str]
    format: int = FORMAT


class Cell(Struct, frozen=True):
    """One day of a sweep."""

    params: dict[str, str]
    variant: str
    seed: int

    @property
    def label(self) -> str:
        """For people: `load.level=0.5 variant=a seed=3`."""
        words = [f"{key}={value}" for key, value in self.params.items()]
        return " ".join([*words, *([f"variant={self.variant}"] if self.variant else []), f"seed={self.seed}"])

    @property
    def file(self) -> str:
        """The name of its file: unlike for unlike cells, readable, and free of what a shell would expand."""
        told = msgspec.json.encode([sorted(self.params.items()), self.variant, self.seed])
        words = [self.variant or "base", *(f"{key}={value}" for key, value in sorted(self.params.items()))]
        readable = re.sub(r"[^A-Za-z0-9._=~-]", "_", "~".join(words))[:120]
        return f"{readable}~s{self.seed:04d}~{hashlib.sha256(told).hexdigest()[:8]}.json"


@dataclass(frozen=True)
class Job:
    """What a worker is given; it must survive pickling."""

    name: str
    scenario: Any  # `coveport.testbed.scenario.Scenario`
    ground: str
    cell: Cell


class Named(Struct):
    """A scenario: its title, and its file's name."""

    title: str
    name: str = ""


class Expectation(Struct):
    """One of the scenario's expectations."""

    met: bool


class ClassService(Struct):
    """The class that was served worst."""

    service: float | None = None


class Attempts(Struct):
    """What went to nodes."""

    per_operation: float | None = None


class Judged(Struct):
    """What experiments read of an outcome (`coveport.testbed.outcome`); its other fields may come and go."""

    scenario: Named
    seed: int
    kept: bool
    ground: str = ""
    variant: str = ""
    broken: list[Any] = []
    expectations: list[Expectation] = []
    service: float | None = None
    worst_10s: float | None = None
    worst_class: ClassService = field(default_factory=ClassService)
    mark: float | None = None
    latency_ms: dict[str, dict[str, float | None]] = {}
    attempts: Attempts = field(default_factory=Attempts)
    waste: float | None = None
    crossings: float | None = None
    recovery_s: dict[str, float | None] = {}
    late: bool = False
    trace: str = ""

    @property
    def lawful(self) -> bool:
        """Whether no rule was broken."""
        return self.kept and not self.broken

    @property
    def met(self) -> bool:
        """Whether all expectations were met."""
        return all(one.met for one in self.expectations)

    def figures(self) -> dict[str, float]:
        """What can be averaged and compared, by name; a figure that the day does not have is left out.

        Shares between 0 and 1; attempts an operation; ms for `p99.CLASS`; s for `recovery.FAULT`, and
        `unrecovered`, how many faults the day did not recover from, which have no time.
        """
        told: dict[str, float | None] = {
            "service": self.service,
            "worst_10s": self.worst_10s,
            "worst_class": self.worst_class.service,
            "mark": self.mark,
            "attempts": self.attempts.per_operation,
            "waste": self.waste,
            "crossings": self.crossings,
        }
        told |= {f"p99.{cls}": quantiles.get("p99") for cls, quantiles in self.latency_ms.items()}
        told |= {f"recovery.{fault}": seconds for fault, seconds in self.recovery_s.items()}
        if self.recovery_s:
            told["unrecovered"] = sum(seconds is None for seconds in self.recovery_s.values())
        return {name: value for name, value in told.items() if value is not None and math.isfinite(value)}


class Kept(Struct):
    """A cell's file: which it is, of which sweep, and the outcome as it was encoded."""

    cell: Cell
    sweep: str
    outcome: msgspec.Raw


class Line(Struct):
    """A line of the table: all seeds of one variant at one place of the grid."""

    params: dict[str, str]
    variant: str
    days: int  # played, void ones left out
    void: int  # the machine ran late
    missing: int  # could not be played
    kept: int  # days on which no rule was broken
    met: int  # days that met all expectations
    mean: dict[str, float]
    low: dict[str, float]  # of the 95% interval of the mean; not there for fewer than 5 days
    high: dict[str, float]


@dataclass(frozen=True)
class Told:
    """A cell is done: with an outcome, or with the reason why there is none."""

    done: int
    total: int
    cell: Cell
    judged: Judged | None
    problem: str = ""


@dataclass
class Swept:
    """A whole sweep."""

    lines: list[Line]
    resumed: int = 0  # cells that were there already
    problems: list[tuple[Cell, str]] = dataclasses.field(default_factory=list)


Play = Callable[[Job], bytes]
"""Plays one day and gives the encoded outcome. Workers look it up by its module and name."""


# Reading the call.


def parse_seeds(text: str) -> tuple[int, ...]:
    """`1-20`, `3`, or several of these with commas between; SweepError where it is anything else."""
    found: dict[int, None] = {}
    for part in text.split(","):
        match = re.fullmatch(r"\s*(\d{1,9})(?:-(\d{1,9}))?\s*", part)
        if not match or (match[2] and int(match[2]) < int(match[1])):
            raise SweepError(f"seeds {text!r}: want 1-20, 3, or several with commas between")
        several = range(int(match[1]), int(match[2] or match[1]) + 1)
        if len(several) > 100_000:
            raise SweepError(f"seeds {text!r}: more than 100,000")
        found.update(dict.fromkeys(several))
    return tuple(found)


def parse_grid(texts: Iterable[str]) -> dict[str, list[str]]:
    """`KEY=V1,V2` each; commas within brackets do not part values. SweepError where it is anything else."""
    grid: dict[str, list[str]] = {}
    for text in texts:
        key, _, told = text.partition("=")
        values = [one.strip() for one in re.split(r",(?![^\[]*\])", told)]
        if not key.strip() or not all(values) or len(set(values)) < len(values):
            raise SweepError(f"grid {text!r}: want KEY=V1,V2,... with unlike values")
        if grid.setdefault(key.strip(), values) is not values:
            raise SweepError(f"grid: {key.strip()} is there twice")
    return grid


def points(grid: dict[str, list[str]]) -> list[dict[str, str]]:
    """All places of a grid, the last key fastest; one empty place where there is no grid."""
    return [dict(zip(grid, values, strict=True)) for values in itertools.product(*grid.values())]


def code_hash() -> str:
    """Of all that is played: the modules of coveport, in order of their names."""
    digest = hashlib.sha256()
    top = Path(str(coveport.__file__)).parent
    for path in sorted(top.rglob("*.py")):
        text = path.read_bytes()
        digest.update(f"{top.name}/{path.relative_to(top).as_posix()} {len(text)}\n".encode() + text)
    return digest.hexdigest()


@dataclass(frozen=True)
class Plan:
    """A sweep before it is played; the scenarios are those of the grid's places, in order."""

    manifest: Manifest
    seeds: tuple[int, ...]
    scenarios: tuple[Any, ...]

    @property
    def digest(self) -> str:
        """Names the sweep in its cells' files."""
        return hashlib.sha256(msgspec.json.encode(self.manifest, order="deterministic")).hexdigest()

    @property
    def total(self) -> int:
        """How many days it is."""
        return len(self.seeds) * len(self.scenarios) * len(self.manifest.variants)

    def jobs(self) -> Iterator[Job]:
        """All days, seed by seed: a sweep that is stopped has about as many seeds everywhere."""
        places = list(zip(points(self.manifest.grid), self.scenarios, strict=True))
        for seed in self.seeds:
            for params, scenario in places:
                for variant in self.manifest.variants:
                    yield Job(
                        self.manifest.scenario, scenario, self.manifest.ground, Cell(params, variant, seed)
                    )


def plan(
    path: Path,
    seeds: Sequence[int],
    grid: dict[str, list[str]],
    variants: Sequence[str] = ("",),
    ground: str = "virtual",
) -> Plan:
    """Read the scenario at every place of the grid; ScenarioError or OSError where that can't be."""
    from coveport.testbed.scenario_file import load

    text = path.read_bytes()
    scenarios = tuple(
        load(path, [f"{key}={value}" for key, value in place.items()]) for place in points(grid)
    )
    versions = {"python": platform.python_version(), "msgspec": msgspec.__version__}
    manifest = Manifest(
        path.stem, hashlib.sha256(text).hexdigest(), code_hash(), ground, grid, list(variants), versions
    )
    return Plan(manifest, tuple(seeds), scenarios)


# Files.


def _open(out: Path, manifest: Manifest) -> None:
    """Make the folder, or see that it holds this sweep; SweepError where it holds anything else."""
    path = out / "manifest.json"
    if path.is_file():
        try:
            there = msgspec.json.decode(path.read_bytes(), type=Manifest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise SweepError(f"{path}: {problem}; name another folder") from problem
        if there != manifest:
            unlike = [
                name for name in Manifest.__struct_fields__ if getattr(there, name) != getattr(manifest, name)
            ]
            raise SweepError(
                f"{out} holds another sweep (not the same: {', '.join(unlike)}); name another folder"
            )
        return
    if out.exists() and (not out.is_dir() or any(out.iterdir())):
        raise SweepError(f"{out} is not a sweep's folder, and not empty; name another folder")
    (out / "cells").mkdir(parents=True)
    write_whole(path, msgspec.json.format(msgspec.json.encode(manifest), indent=2))


def _read(path: Path, digest: str) -> Judged | None:
    """What a cell's file says; None where there is none of this sweep that can be read."""
    try:
        kept = msgspec.json.decode(path.read_bytes(), type=Kept)
        return msgspec.json.decode(kept.outcome, type=Judged) if kept.sweep == digest else None
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
        return None


# Playing.


def play_day(job: Job) -> bytes:
    """Play and judge one day, in whatever process this is called."""
    from coveport.testbed.outcome import encode
    from coveport.testbed.run import play_and_judge

    _, outcome = play_and_judge(
        job.scenario, name=job.name, seed=job.cell.seed, ground=job.ground, variant=job.cell.variant
    )
    return encode(outcome)


def sweep(
    plan: Plan,
    out: Path,
    *,
    jobs: int,
    play: Play = play_day,
    told: Callable[[Told], None] | None = None,
    lane: Callable[[], Lane] = Worker,
) -> Swept:
    """Play all cells that `out` does not hold yet, `jobs` at a time, and write the table.

    A day that raises, or whose worker dies, is reported and left out; the same call tries it again, as it
    does with void ones. KeyboardInterrupt passes through once the workers are gone; what is done is kept.
    SweepError where `out` is another's, OSError where it can't be written.
    """
    _open(out, plan.manifest)
    digest, every = plan.digest, list(plan.jobs())
    paths = {job.cell.file: out / "cells" / job.cell.file for job in every}
    done: dict[str, Judged] = {}
    for name, path in paths.items():
        judged = _read(path, digest)
        if judged is not None and not judged.late:
            done[name] = judged
    swept = Swept([], resumed=len(done))
    waiting = [job for job in every if job.cell.file not in done]
    count = len(done)
    with contextlib.closing(each(waiting, play, jobs, lane)) as played:
        for job, data, problem in played:
            count += 1
            judged = None
            if data is not None:
                try:
                    judged = msgspec.json.decode(data, type=Judged)
                except msgspec.MsgspecError as raised:
                    problem = said(raised)
            if judged is not None and data is not None:
                write_whole(
                    paths[job.cell.file], msgspec.json.encode(Kept(job.cell, digest, msgspec.Raw(data)))
                )
                done[job.cell.file] = judged
            else:
                swept.problems.append((job.cell, problem))
            if told is not None:
                told(Told(count, len(every), job.cell, judged, problem))
    swept.lines = table((job.cell, done.get(job.cell.file)) for job in every)
    write_whole(out / "table.json", msgspec.json.format(msgspec.json.encode(swept.lines), indent=2))
    write_whole(out / "table.csv", table_csv(swept.lines).encode())
    return swept


# The table.


def table(cells: Iterable[tuple[Cell, Judged | None]]) -> list[Line]:
    """A line for each variant and place of the grid, in order of their first cells."""
    from coveport.testbed.intervals import interval

    groups: dict[bytes, tuple[Cell, list[Judged | None]]] = {}
    for cell, judged in cells:
        key = msgspec.json.encode([cell.params, cell.variant])
        groups.setdefault(key, (cell, []))[1].append(judged)
    lines = []
    for cell, all_days in groups.values():
        played = [one for one in all_days if one is not None]
        days = [one for one in played if not one.late]
        values: dict[str, list[float]] = {}
        for day in days:
            for name, value in day.figures().items():
                values.setdefault(name, []).append(value)
        bounds = {name: interval(some) for name, some in values.items()}
        lines.append(
            Line(
                cell.params,
                cell.variant,
                len(days),
                len(played) - len(days),
                len(all_days) - len(played),
                sum(one.lawful for one in days),
                sum(one.met for one in days),
                {name: math.fsum(some) / len(some) for name, some in values.items()},
                {name: one[0] for name, one in bounds.items() if one},
                {name: one[1] for name, one in bounds.items() if one},
            )
        )
    return lines


def table_csv(lines: Sequence[Line]) -> str:
    """The table with a header; a figure has three columns: its mean, and its interval's ends or nothing."""
    keys = list(lines[0].params) if lines else []
    figures = list(dict.fromkeys(name for line in lines for name in line.mean))
    counts = ("days", "void", "missing", "kept", "met")
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(
        [
            *keys,
            "variant",
            *counts,
            *(column for name in figures for column in (name, f"{name} low", f"{name} high")),
        ]
    )
    for line in lines:
        writer.writerow(
            [
                *(line.params[key] for key in keys),
                line.variant,
                *(getattr(line, name) for name in counts),
                *(part.get(name, "") for name in figures for part in (line.mean, line.low, line.high)),
            ]
        )
    return text.getvalue()
