"""`coveport lab search`: draws days with faults, and keeps those that break something."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli import progress
from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.lab_options import OUT_FOLDER, VARIANT, usage_errors
from coveport.cli.progress import resume_hint
from coveport.cli.trials import search_trials

if TYPE_CHECKING:
    from coveport.testbed.search.hunt import Line, Summary, Told

PROGRESS_LINES = 20  # on the runs of a search, where there is no terminal

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
    with usage_errors("virtual", [] if day.startswith("trials/") else [variant]):
        from coveport.testbed.catalog import find
        from coveport.testbed.fault_injection.days import is_trial
        from coveport.testbed.scenario_file import load
        from coveport.testbed.search.hunt import hunt
        from coveport.testbed.sweep import SweepError

        path = find(day)
        if is_trial(path):
            return search_trials(path, runs, jobs or 0, seed, out, variant, sets)
        base = load(path, sets)
        try:
            with _search_progress(out, runs) as show_progress:
                summary = hunt(
                    base,
                    path.stem,
                    out,
                    runs=runs,
                    jobs=jobs or os.cpu_count() or 1,
                    seed=seed,
                    variant=variant,
                    seconds=seconds or float("inf"),
                    told=show_progress,
                )
        except SweepError as error:
            raise UnusableError(str(error)) from error
    _show(summary, out)
    return ExitCode.FAILED if summary.lines else ExitCode.DONE


@contextlib.contextmanager
def _search_progress(out: Path, total: int) -> Iterator[Callable[[Told], None]]:
    """Show a bar on a terminal and a line for each new find; elsewhere a line now and then as well."""
    with resume_hint("runs", out):
        if not progress.is_shown():
            yield _print_run
            return
        with progress.count_bar("runs", total) as bar:

            def show(run: Told) -> None:
                bar.update(run.done)
                for line in _new_finds(run):
                    bar.print(line)

            yield show


def _print_run(run: Told) -> None:
    for line in _new_finds(run):
        click.echo(line, err=True)
    if run.done % max(1, run.total // PROGRESS_LINES) == 0 or run.done == run.total:
        click.echo(f"{run.done}/{run.total} runs", err=True)


def _new_finds(run: Told) -> Iterator[str]:
    for signature in run.fresh:
        yield f"run {run.result.run}, seed {run.result.seed}: {signature}"


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
