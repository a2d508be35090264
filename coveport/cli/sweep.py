"""`coveport lab sweep`: plays a grid of parameters, variants and seeds."""

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
from coveport.cli.lab_options import GROUND, OUT_FOLDER, usage_errors
from coveport.cli.lab_output import escape_markup, format_figure, print_table
from coveport.cli.progress import resume_hint

if TYPE_CHECKING:
    from rich.table import Table

    from coveport.testbed.sweep import Line, Told

SWEEP_EPILOG = """\b
Examples:
  coveport lab sweep try --seeds 1-20 --out out/try
  coveport lab sweep try --seeds 1-10 --grid load.level=0.3,0.5,0.7 --grid fleet.nodes=8,12 --out out/grid
  coveport lab sweep try --seeds 1-20 --variant a,b --out out/ab
  coveport lab compare 'out/ab/cells/a~*' 'out/ab/cells/b~*'
"""


@click.command("sweep", short_help="Play a grid of parameters, variants and seeds.", epilog=SWEEP_EPILOG)
@click.argument("day")
@click.option("--seeds", required=True, metavar="1-20", help="Which seeds: 1-20, or 1,5,9-12.")
@click.option(
    "--grid",
    "grids",
    multiple=True,
    metavar="KEY=V1,V2,...",
    help="Values of a figure of the day's file; several of these span a grid.",
)
@click.option(
    "--variant",
    "variants",
    default="",
    metavar="A,B",
    help="Variants of the sidecar; nothing between commas is the sidecar as it is.",
)
@click.option(
    "--jobs",
    type=click.IntRange(min=1),
    metavar="N",
    help="Days played at once; by default one a core (real ground: one).",
)
@click.option("--out", type=OUT_FOLDER, required=True, metavar="DIR", help="Where the sweep is kept.")
@GROUND
def sweep(
    day: str, seeds: str, grids: Sequence[str], variants: str, jobs: int | None, out: Path, ground: str
) -> int:
    """Play DAY at all places of a grid, with all seeds, and print means with 95% bootstrap intervals.

    DIR gets a file for each day as it is done, and at the end table.json and table.csv. The same call goes on
    where it was stopped, and takes more seeds; a folder of another sweep (day, grid or program changed) is
    refused. A day that can't be played, or kills its worker, is reported and does not stop the others.

    Exit code 0 where rules and expectations held on all days, 1 where not or where a day could not be played,
    2 where the file or the call can't be used, 3 where days were void.
    """
    variant_names = list(dict.fromkeys(variants.split(",")))
    with usage_errors(ground, variant_names):
        from coveport.testbed import sweep as sweeping
        from coveport.testbed.catalog import find

        if ground == "real" and (jobs or 1) > 1:
            raise UnusableError(
                "--ground real plays one day at a time: days at once would make each other late"
            )
        try:
            plan = sweeping.plan(
                find(day), sweeping.parse_seeds(seeds), sweeping.parse_grid(grids), variant_names, ground
            )
            with _sweep_progress(out, plan.total) as show_progress:
                swept = sweeping.sweep(
                    plan,
                    out,
                    play=sweeping.play_day,
                    told=show_progress,
                    jobs=jobs or (1 if ground == "real" else os.cpu_count() or 1),
                )
        except sweeping.SweepError as error:
            raise UnusableError(str(error)) from error
    print_table(_sweep_table(swept.lines))
    for cell, why in swept.problems:
        click.echo(f"not played: {cell.label}: {why}", err=True)
    click.echo(
        f"{out}/table.csv, {out}/table.json"
        + (f" ({swept.resumed} days were there already)" if swept.resumed else "")
    )
    lines = swept.lines
    if swept.problems or any(min(line.kept, line.met) < line.days for line in lines):
        return ExitCode.FAILED
    return ExitCode.VOID if any(line.void for line in lines) else ExitCode.DONE


def _describe(day: Told) -> str:
    """Return a line on a day that is done."""
    if day.judged is None:
        return f"{day.cell.label}: NOT PLAYED: {day.problem}"
    judged = day.judged
    state = (
        "void, the machine ran late"
        if judged.late
        else "RULES BROKEN"
        if not judged.lawful
        else "expectations missed"
        if not judged.met
        else "held"
    )
    return f"{day.cell.label}: {state}, service {format_figure(judged.service)}"


@contextlib.contextmanager
def _sweep_progress(out: Path, total: int) -> Iterator[Callable[[Told], None]]:
    """Show a bar on a terminal, a line a day elsewhere; print how to go on where it is interrupted."""
    with resume_hint("days", out):
        if not progress.is_shown():
            yield lambda day: click.echo(f"{day.done}/{day.total} {_describe(day)}", err=True)
            return
        with progress.count_bar("days", total) as bar:

            def show(day: Told) -> None:
                bar.update(day.done)
                if day.judged is None or not day.judged.lawful:
                    bar.print(_describe(day))

            yield show


def _sweep_table(lines: Sequence[Line]) -> Table:
    from rich.box import SIMPLE_HEAD
    from rich.table import Table

    table = Table(
        box=SIMPLE_HEAD, title="means and 95% bootstrap intervals (of 5 days or more)", title_justify="left"
    )
    parameters = list(lines[0].params)
    has_variants = any(line.variant for line in lines)
    names = dict.fromkeys(name for line in lines for name in line.mean)
    figures = ["service", "worst_10s", *(name for name in names if name.startswith("p99.")), "attempts"]
    variant_column = ["variant"] if has_variants else []
    for column in [*parameters, *variant_column, "days", "kept", "met", *figures]:
        table.add_column(column, overflow="fold")
    for line in lines:
        variant = [line.variant or "base"] if has_variants else []
        cells = [_format_mean(line, name) for name in figures]
        texts = [*line.params.values(), *variant, _format_days(line), str(line.kept), str(line.met), *cells]
        table.add_row(*(escape_markup(text) for text in texts))
    return table


def _format_days(line: Line) -> str:
    void = f" +{line.void} void" if line.void else ""
    missing = f" +{line.missing} not played" if line.missing else ""
    return f"{line.days}{void}{missing}"


def _format_mean(line: Line, name: str) -> str:
    """Return a mean with its interval, if there is one, on a line of its own."""
    mean = format_figure(line.mean.get(name))
    if name not in line.low:
        return mean
    return f"{mean}\n[{format_figure(line.low[name])}, {format_figure(line.high[name])}]"
