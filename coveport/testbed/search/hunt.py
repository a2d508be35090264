"""Many schedules over the cores, kept in a folder: what they showed, and how service came back.

The folder holds `manifest.json` (what the search is), `runs/` (one file a schedule played), `finds/` (for
each signature the scenario that showed it worst) and `summary.json`. Files are whole whatever stops a
search; the same call goes on from there, and takes more runs.
"""

from __future__ import annotations

import contextlib
import hashlib
import signal
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from dataclasses import field as made
from math import inf
from pathlib import Path

import msgspec
import numpy as np
from msgspec import Struct

from coveport.testbed import stopping
from coveport.testbed.run import play, play_and_judge
from coveport.testbed.scenario import Scenario
from coveport.testbed.search.aftermath import without_faults
from coveport.testbed.search.files import to_toml
from coveport.testbed.search.finds import NO_RETURN, Find, finds, stands, unplayed
from coveport.testbed.search.schedules import draw_schedule
from coveport.testbed.sweep import SweepError, code_hash
from coveport.testbed.worker_pool import Lane, Worker, each, write_whole

FORMAT = 1
LIMIT_S = 60.0  # of CPU time: a day that takes more hangs


class Manifest(Struct, frozen=True):
    """What makes two searches the same. The number of runs is not part of it."""

    base: str  # the scenario's name
    text_sha256: str  # of the scenario as it was laid
    code_sha256: str
    seed: int
    variant: str
    format: int = FORMAT


@dataclass(frozen=True)
class Job:
    """What a worker is given."""

    base: Scenario
    seed: int
    run: int
    variant: str


class Result(Struct):
    """What one schedule showed."""

    run: int
    search: str  # of which search
    seed: int = 0  # of the schedule's day
    faults: list[str] = []
    finds: list[Find] = []
    service: float = 0.0
    short: float = 0.0  # share of the worth in reach, from the first fault on, that was not served
    seen: bool = False  # there was time to see whether the service came back
    back_s: float | None = None  # from the last trouble's end until service was back; None: not by the end
    wall_s: float = 0.0
    simulated_s: float = 0.0
    problem: str = ""  # why it could not be played


class Line(Struct):
    """A signature: how many runs showed it, and the worst of them."""

    signature: str
    kind: str
    badness: float
    runs: int
    run: int  # the worst one
    seed: int
    what: str
    file: str = ""  # its scenario, in the search's folder


class Summary(Struct):
    """A search as far as it came."""

    base: str
    seed: int
    variant: str
    runs: int
    unplayed: int
    simulated_h: float
    wall_s: float  # of this call
    runs_a_minute: float
    simulated_h_a_minute: float
    back_s: dict[str, float]  # median, p95 and worst of the runs whose service came back
    not_back: float  # share of those with time to see it
    lines: list[Line] = []  # finds, worst first
    dips: list[Line] = []  # the most worth in reach that was not served; figures to look at, no finds


@dataclass
class Told:
    """A run is done."""

    done: int
    total: int
    result: Result
    fresh: list[str] = made(default_factory=list)  # signatures that no run had shown before


Play = Callable[[Job], bytes]


class HangsError(Exception):
    """A day does not get on: its processes keep calling, and no time passes."""


@contextlib.contextmanager
def _bounded(seconds: float) -> Iterator[None]:
    """End what takes more CPU time, by HangsError; time in which this process is stopped does not count."""

    def enough(*_: object) -> None:
        stopping.ask(HangsError(f"took more than {seconds:g} s of CPU time"))

    if threading.current_thread() is not threading.main_thread():
        yield  # signals come to the main thread alone
        return
    before = signal.signal(signal.SIGPROF, enough)
    signal.setitimer(signal.ITIMER_PROF, seconds)
    try:
        yield
        stopping.look()
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        signal.signal(signal.SIGPROF, before)
        stopping.forget()


def look(scenario: Scenario, seed: int, variant: str = "") -> tuple[list[Find], Result]:
    """Play a scenario and say what it shows; a service that stays low counts only where its faults did it.

    HangsError where it does not get on; ValueError where it can't be drawn.
    """
    began = time.perf_counter()
    with _bounded(LIMIT_S):
        played, outcome = play_and_judge(
            scenario, name="schedule", seed=seed, ground="virtual", variant=variant
        )
        here = finds(played, outcome)
        found = here.finds
        if any(one.kind == NO_RETURN for one in found):
            control = play(without_faults(scenario, seed), seed=seed, ground="virtual", variant=variant)
            if not stands(here, control):
                found = [one for one in found if one.kind != NO_RETURN]
    return found, Result(
        0,
        "",
        seed,
        _kinds(scenario),
        found,
        outcome.service,
        here.after.short,
        here.after.seen,
        here.after.back_s,
        time.perf_counter() - began,
        outcome.simulated_s,
    )


def play_run(job: Job) -> bytes:
    """Draw and play one schedule, in whatever process this is called."""
    schedule = draw_schedule(job.base, job.seed, job.run)
    _, result = look(schedule, schedule.seed, job.variant)
    result.run = job.run
    return msgspec.json.encode(result)


def hunt(
    base: Scenario,
    name: str,
    out: Path,
    *,
    runs: int,
    jobs: int,
    seed: int,
    variant: str = "",
    seconds: float = inf,
    play: Play = play_run,
    told: Callable[[Told], None] | None = None,
    lane: Callable[[], Lane] = Worker,
) -> Summary:
    """Play the runs that `out` does not hold yet, `jobs` at a time, for so many seconds at the most.

    SweepError where `out` is another's; KeyboardInterrupt passes through once the workers are gone.
    """
    manifest = Manifest(name, hashlib.sha256(to_toml(base).encode()).hexdigest(), code_hash(), seed, variant)
    digest = hashlib.sha256(msgspec.json.encode(manifest)).hexdigest()[:16]
    _open(out, manifest)
    results = {
        run: one for run in range(runs) if (one := _read(out / "runs" / _file(run), digest)) is not None
    }
    began, before = time.monotonic(), len(results)
    known = {find.signature for one in results.values() for find in one.finds if find.counts}

    def waiting() -> Iterator[Job]:
        for run in range(runs):
            if run not in results:
                if time.monotonic() - began >= seconds:
                    return
                yield Job(base, seed, run, variant)

    try:
        with contextlib.closing(each(waiting(), play, jobs, lane)) as played:
            for job, data, problem in played:
                result = msgspec.json.decode(data, type=Result) if data is not None else _failed(job, problem)
                result.search = digest
                write_whole(out / "runs" / _file(job.run), msgspec.json.encode(result))
                results[job.run] = result
                fresh = [one.signature for one in result.finds if one.counts and one.signature not in known]
                known.update(fresh)
                if told is not None:
                    told(Told(len(results), runs, result, fresh))
    finally:
        summary = _summary(manifest, results, time.monotonic() - began, before)
        _write_finds(base, out, summary)
        write_whole(out / "summary.json", msgspec.json.format(msgspec.json.encode(summary), indent=2))
    return summary


def _failed(job: Job, problem: str) -> Result:
    """A run that raised, hung or broke its worker is a find of its own."""
    schedule = draw_schedule(job.base, job.seed, job.run)
    return Result(job.run, "", schedule.seed, _kinds(schedule), [unplayed(problem)], problem=problem)


def _kinds(schedule: Scenario) -> list[str]:
    return [str(one.__struct_config__.tag) for one in schedule.faults]


# Files.


def _file(run: int) -> str:
    return f"{run:06d}.json"


def _open(out: Path, manifest: Manifest) -> None:
    path = out / "manifest.json"
    if path.is_file():
        try:
            there = msgspec.json.decode(path.read_bytes(), type=Manifest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise SweepError(f"{path}: {problem}; name another folder") from problem
        unlike = [
            name for name in Manifest.__struct_fields__ if getattr(there, name) != getattr(manifest, name)
        ]
        if unlike:
            raise SweepError(
                f"{out} holds another search (not the same: {', '.join(unlike)}); name another folder"
            )
    elif out.exists() and (not out.is_dir() or any(out.iterdir())):
        raise SweepError(f"{out} is not a search's folder, and not empty; name another folder")
    for part in ("runs", "finds"):
        (out / part).mkdir(parents=True, exist_ok=True)
    if not path.is_file():
        write_whole(path, msgspec.json.format(msgspec.json.encode(manifest), indent=2))


def _read(path: Path, digest: str) -> Result | None:
    """A run's file; None where there is none of this search that can be read."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return result if result.search == digest else None


def _write_finds(base: Scenario, out: Path, summary: Summary) -> None:
    """The scenario of each line's worst run; those of signatures that are worst elsewhere by now go."""
    kept = set()
    for line in (*summary.lines, *summary.dips):
        told = hashlib.sha256(line.signature.encode()).hexdigest()[:8]
        line.file = f"finds/{line.kind}-{told}-{line.run}.toml"
        kept.add(out / line.file)
        if not (out / line.file).is_file():
            schedule = draw_schedule(base, summary.seed, line.run)
            notes = [f"signature: {line.signature}", f"shows: {line.what}"]
            write_whole(out / line.file, to_toml(schedule, notes).encode())
    for path in (out / "finds").glob("*.toml"):
        if path not in kept:
            path.unlink()


# Sums.


def _summary(manifest: Manifest, results: dict[int, Result], wall_s: float, before: int) -> Summary:
    every = [results[run] for run in sorted(results)]
    played = [one for one in every if not one.problem]
    seen = [one for one in played if one.seen]
    back = [one.back_s for one in seen if one.back_s is not None]
    fresh = len(every) - before
    a_minute = 60 / wall_s if wall_s > 0 and fresh else 0.0
    hours = sum(one.simulated_s for one in played) / 3600
    lines = _lines(every)
    return Summary(
        manifest.base,
        manifest.seed,
        manifest.variant,
        len(every),
        len(every) - len(played),
        hours,
        wall_s,
        fresh * a_minute,
        hours / max(len(every), 1) * fresh * a_minute,
        {"median": float(np.median(back)), "p95": float(np.quantile(back, 0.95)), "worst": max(back)}
        if back
        else {},
        1 - len(back) / len(seen) if seen else 0.0,
        [one for one in lines if one.kind != "dip"],
        [one for one in lines if one.kind == "dip"],
    )


def _lines(results: Sequence[Result]) -> list[Line]:
    by: dict[str, list[tuple[Find, Result]]] = {}
    for result in results:
        for find in result.finds:
            by.setdefault(find.signature, []).append((find, result))
    lines = []
    for signature, those in by.items():
        find, result = max(those, key=lambda pair: (pair[0].badness, -pair[1].run))
        lines.append(Line(signature, find.kind, find.badness, len(those), result.run, result.seed, find.what))
    return sorted(lines, key=lambda line: (-line.badness, -line.runs, line.signature))
