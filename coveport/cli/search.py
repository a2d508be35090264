"""`coveport lab search`: draws days with faults, and keeps those that break something."""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.lab_options import OUT_FOLDER, VARIANT, one_line
from coveport.cli.trials import search_trials

if TYPE_CHECKING:
    from coveport.testbed.search.hunt import Line, Summary, Told

SEARCH_EPILOG = """\b
Examples:
  coveport lab search calm --runs 500 --out out/calm
  coveport lab search overload --runs 2000 --jobs 4 --seed 7 --seconds 600 --out out/overload
  coveport lab search calm --set fleet.sidecars=40 --runs 200 --out out/forty
  coveport lab shrink out/calm/finds/FIND.toml --out found.toml
"""


@click.command("search", short_help="Draw days that hurt.", epilog=SEARCH_EPILOG)
@click.argument("day")
@click.option("--runs", type=click.IntRange(min=1), required=True, metavar="N", help="Schedules to play.")
@click.option("--jobs", type=click.IntRange(min=1), metavar="K", help="At once; by default one a core.")
@click.option(
    "--seed", type=click.IntRange(min=0), default=1, show_default=True, help="All schedules come of it."
)
@click.option("--out", type=OUT_FOLDER, required=True, metavar="DIR", help="Where the search is kept.")
@VARIANT
@click.option("--set", "sets", multiple=True, metavar="KEY=VALUE", help="Change a figure of the day's file.")
@click.option(
    "--seconds",
    type=click.FloatRange(min=0, min_open=True),
    metavar="T",
    help="Begin no further run after so long.",
)
def search(
    day: str,
    runs: int,
    jobs: int | None,
    seed: int,
    out: Path,
    variant: str,
    sets: Sequence[str],
    seconds: float | None,
) -> int:
    """Play N schedules of faults drawn around DAY on simulated ground, and list what they show, worst first.

    A schedule is a scenario: up to five faults that overlap, and figures of fleet, load, network and rules
    drawn over their whole range; what DAY says itself stays. Finds are broken rules, processes that fail or
    complain, what is left over in quiet, and service that does not come back though capacity allows it. DIR
    gets a file for each run and each find; the same call goes on where it was stopped, and takes more runs.

    A DAY of trials/ is searched by trials drawn for as many instances, over all faults.

    Exit code 0 where there is no find, 1 where there is, 2 where the file or the call can't be used.
    """
    with one_line("virtual", [] if day.startswith("trials/") else [variant]):
        from coveport.testbed.catalog import find
        from coveport.testbed.fault_injection.days import is_trial
        from coveport.testbed.scenario import load
        from coveport.testbed.search.hunt import hunt
        from coveport.testbed.sweep import SweepError

        path = find(day)
        if is_trial(path):
            return search_trials(path, runs, jobs or 0, seed, out, variant, sets)
        base = load(path, sets)
        try:
            with _progress(out, runs) as told:
                summary = hunt(
                    base,
                    path.stem,
                    out,
                    runs=runs,
                    jobs=jobs or os.cpu_count() or 1,
                    seed=seed,
                    variant=variant,
                    seconds=seconds or float("inf"),
                    told=told,
                )
        except SweepError as problem:
            raise UnusableError(str(problem)) from problem
    _show(summary, out)
    return ExitCode.FAILED if summary.lines else ExitCode.DONE


@contextlib.contextmanager
def _progress(out: Path, total: int) -> Iterator[Callable[[Told], None]]:
    """A bar on a terminal, a line for each new find; elsewhere a line now and then as well."""

    def fresh(told: Told) -> Iterator[str]:
        for signature in told.fresh:
            yield f"run {told.result.run}, seed {told.result.seed}: {signature}"

    try:
        if not sys.stderr.isatty():

            def plain(told: Told) -> None:
                for line in fresh(told):
                    click.echo(line, err=True)
                if told.done % max(1, total // 20) == 0 or told.done == total:
                    click.echo(f"{told.done}/{total} runs", err=True)

            yield plain
            return
        from rich.console import Console
        from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

        with Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            console=Console(stderr=True),
        ) as progress:
            task = progress.add_task("runs", total=total)

            def bar(told: Told) -> None:
                progress.update(task, completed=told.done)
                for line in fresh(told):
                    progress.console.print(line, markup=False, highlight=False)

            yield bar
    except KeyboardInterrupt:
        click.echo(f"stopped; the runs done are in {out}, the same call goes on from there", err=True)
        raise


def _show(summary: Summary, out: Path) -> None:
    for line in summary.lines:
        _show_line(line, out)
    if summary.dips:
        worst = summary.dips[0]
        click.echo(
            f"\nMost worth in reach and not served (a figure, no find): run {worst.run}, seed "
            f"{worst.seed}: {worst.what}"
        )
    back = summary.back_s
    times = ", ".join(f"{name} {seconds:.1f} s" for name, seconds in back.items())
    click.echo(
        f"\n{len(summary.lines)} finds in {summary.runs} runs"
        + (f", {summary.unplayed} of them not played" if summary.unplayed else "")
        + f"; a minute: {summary.runs_a_minute:.0f} runs, {summary.simulated_h_a_minute:.2f} hours of "
        "days"
    )
    if back or summary.not_back:
        click.echo(
            f"back after the last fault: {times or 'never'}; not by the day's end: {summary.not_back:.0%}"
        )
    click.echo(f"{out}/summary.json")


def _show_line(line: Line, out: Path) -> None:
    click.echo(
        f"{line.badness:5.1f}  {line.signature}\n"
        f"       {line.runs} run{'s' * (line.runs > 1)}; worst: run {line.run}, seed {line.seed}, "
        f"{out}/{line.file}\n       {line.what}"
    )
