"""`coveport lab`: play days, sweep grids of them, compare what came of them."""

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
from coveport.cli.fuzz import fuzz

if TYPE_CHECKING:
    from rich.table import Table

    from coveport.testbed.compare import Comparison
    from coveport.testbed.sweep import Line, Told

OUT_FILE = click.Path(dir_okay=False, path_type=Path)
OUT_FOLDER = click.Path(file_okay=False, path_type=Path)
GROUND = click.option(
    "--ground",
    type=click.Choice(["virtual", "real", "bare"]),
    default="virtual",
    show_default=True,
    help="Simulated time in one process, processes on loopback, or decisions alone.",
)


@click.group()
def lab() -> None:
    """Play days around real sidecars, and judge them.

    A day is a file: who is there, what is asked, what breaks when. The same file and seed give the same day.
    DAY is a file's path, or a name from `coveport lab list`.
    """


@contextlib.contextmanager
def one_line(ground: str = "virtual", variants: Sequence[str] = ()) -> Iterator[None]:
    """Turns what the lab says of a file or a call into the end of the verb."""
    from coveport.testbed.scenario import ScenarioError

    expected: tuple[type[Exception], ...] = (ScenarioError,)
    if ground == "real":
        from coveport.testbed.loopback import GroundError

        expected += (GroundError,)
        if any(variants):
            raise UnusableError("variants of the sidecar run on virtual ground only")
    elif ground == "bare":
        from coveport.testbed.discrete_event.play import BareError

        expected += (BareError,)
        if any(variants):
            raise UnusableError("variants of the sidecar run on virtual ground only")
    elif any(variants):
        from coveport.testbed.broken import variant_named

        try:
            for name in variants:
                variant_named(name)
        except ValueError as problem:
            raise UnusableError(str(problem)) from problem
    try:
        yield
    except expected as problem:
        raise UnusableError(str(problem)) from problem


def _write(path: Path, data: bytes) -> None:
    """Write a file whole, or to standard output where it is called `-`."""
    if str(path) == "-":
        click.echo(data.rstrip())
        return
    from coveport.testbed.worker_pool import write_whole

    write_whole(path, data.rstrip() + b"\n")


def _make_room(*paths: Path | None) -> None:
    """Make the folders of what will be written; before hours of play, not after them."""
    for path in paths:
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)


@lab.command("list")
def list_() -> int:
    """Show the days that come with the lab, a line each."""
    with one_line():
        from coveport.testbed import catalog

        names = catalog.names()
    width = max((len(name) for name, _ in names), default=0)
    for name, title in names:
        click.echo(f"{name:{width}}  {title}")
    return ExitCode.DONE


@contextlib.contextmanager
def _day_progress(label: str) -> Iterator[Callable[[float], None] | None]:
    """What shows how much of a day is done (0 to 1), on a terminal; elsewhere nothing."""
    if not sys.stderr.isatty():
        yield None
        return
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(label, total=1.0)
        yield lambda share: progress.update(task, completed=share)


@lab.command("explain", short_help="Say where a day's worth was lost.")
@click.argument("day")
@click.option("--seed", type=click.IntRange(min=0), help="All chance comes of it; by default the file's.")
@GROUND
@click.option("--json", "json_", type=OUT_FILE, metavar="OUT", help="Write the picture there (-: print it).")
@click.option("--set", "sets", multiple=True, metavar="KEY=VALUE", help="Change a figure of the day's file.")
def explain(day: str, seed: int | None, ground: str, json_: Path | None, sets: Sequence[str]) -> int:
    """Play DAY once, and print what was lost by which cause in each window, and how full each node was."""
    with one_line(ground):
        import msgspec

        from coveport.testbed import explain as picturing
        from coveport.testbed.catalog import find
        from coveport.testbed.run import play
        from coveport.testbed.scenario import load

        scenario = load(find(day), sets)
        _make_room(json_)
        with _day_progress(day) as progress:
            played = play(
                scenario, seed=scenario.seed if seed is None else seed, ground=ground, progress=progress
            )
    picture = picturing.explain(played)
    if json_ is None or str(json_) != "-":
        click.echo(picturing.text(picture, scenario.fleet.zones))
    if json_ is not None:
        _write(json_, msgspec.json.format(msgspec.json.encode(picture), indent=2))
    return ExitCode.DONE


RUN_EPILOG = """\b
Examples:
  coveport lab run try --report try.html
  coveport lab run days/mine.toml --seed 7 --set load.level=0.6
  coveport lab run try --ground real --logs out/logs
"""


@lab.command("run", epilog=RUN_EPILOG)
@click.argument("day")
@click.option("--seed", type=click.IntRange(min=0), help="All chance comes of it; by default the file's.")
@GROUND
@click.option("--json", "json_", type=OUT_FILE, metavar="OUT", help="Write the outcome there (-: print it).")
@click.option("--report", type=OUT_FILE, metavar="OUT.html", help="Write a report with plots there.")
@click.option("--set", "sets", multiple=True, metavar="KEY=VALUE", help="Change a figure of the day's file.")
@click.option("--variant", default="", metavar="NAME", help="Which variant of the sidecar.")
@click.option("--logs", type=OUT_FOLDER, metavar="DIR", help="Keep what each sidecar printed there.")
def run(
    day: str,
    seed: int | None,
    ground: str,
    json_: Path | None,
    report: Path | None,
    sets: Sequence[str],
    variant: str,
    logs: Path | None,
) -> int:
    """Play DAY once, judge it, and print what came of it. A DAY may be a trial (trials/...).

    Exit code 0 where rules and expectations hold, 1 where not, 2 where the file or the call can't be used,
    3 where the machine ran late and the run is void.
    """
    with one_line(ground, [variant]):
        from coveport.testbed.catalog import find
        from coveport.testbed.fault_injection.days import is_trial
        from coveport.testbed.outcome import encode
        from coveport.testbed.report import summary_text, write
        from coveport.testbed.run import play_and_judge
        from coveport.testbed.scenario import load

        path = find(day)
        if is_trial(path):
            from coveport.cli.trials import play_trial

            return play_trial(path, seed, ground, variant, sets, logs)
        scenario = load(path, sets)
        seed = scenario.seed if seed is None else seed
        _make_room(json_, report)
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        with _day_progress(f"{path.stem}, seed {seed}") as progress:
            played, outcome = play_and_judge(
                scenario,
                name=path.stem,
                seed=seed,
                ground=ground,
                variant=variant,
                logs=logs,
                progress=progress,
            )
        click.echo(summary_text(outcome), err=str(json_) == "-")
        if json_ is not None:
            _write(json_, encode(outcome))
        if report is not None:
            write(report, played, outcome)
            click.echo(f"report: {report}", err=str(json_) == "-")
    if outcome.late:
        return ExitCode.VOID
    held = outcome.kept and not outcome.broken and all(one.met for one in outcome.expectations)
    return ExitCode.DONE if held else ExitCode.FAILED


SWEEP_EPILOG = """\b
Examples:
  coveport lab sweep try --seeds 1-20 --out out/try
  coveport lab sweep try --seeds 1-10 --grid load.level=0.3,0.5,0.7 --grid fleet.nodes=8,12 --out out/grid
  coveport lab sweep try --seeds 1-20 --variant a,b --out out/ab
  coveport lab compare 'out/ab/cells/a~*' 'out/ab/cells/b~*'
"""


@lab.command("sweep", short_help="Play a grid of parameters, variants and seeds.", epilog=SWEEP_EPILOG)
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
    several = list(dict.fromkeys(variants.split(",")))
    with one_line(ground, several):
        from coveport.testbed import sweep as sweeping
        from coveport.testbed.catalog import find

        if ground == "real" and (jobs or 1) > 1:
            raise UnusableError(
                "--ground real plays one day at a time: days at once would make each other late"
            )
        try:
            plan = sweeping.plan(
                find(day), sweeping.parse_seeds(seeds), sweeping.parse_grid(grids), several, ground
            )
            with _sweep_progress(out, plan.total) as told:
                swept = sweeping.sweep(
                    plan,
                    out,
                    play=sweeping.play_day,
                    told=told,
                    jobs=jobs or (1 if ground == "real" else os.cpu_count() or 1),
                )
        except sweeping.SweepError as problem:
            raise UnusableError(str(problem)) from problem
    _print(_sweep_table(swept.lines))
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


def _told_line(told: Told) -> str:
    if told.judged is None:
        return f"{told.cell.label}: NOT PLAYED: {told.problem}"
    judged = told.judged
    state = (
        "void, the machine ran late"
        if judged.late
        else "RULES BROKEN"
        if not judged.lawful
        else "expectations missed"
        if not judged.met
        else "held"
    )
    return f"{told.cell.label}: {state}, service {_figure(judged.service)}"


@contextlib.contextmanager
def _sweep_progress(out: Path, total: int) -> Iterator[Callable[[Told], None]]:
    """A bar on a terminal, a line a day elsewhere; says how to go on where it is interrupted."""
    try:
        if not sys.stderr.isatty():
            yield lambda told: click.echo(f"{told.done}/{told.total} {_told_line(told)}", err=True)
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
            task = progress.add_task("days", total=total)

            def bar(told: Told) -> None:
                progress.update(task, completed=told.done)
                if told.judged is None or not told.judged.lawful:
                    progress.console.print(_told_line(told), markup=False, highlight=False)

            yield bar
    except KeyboardInterrupt:
        click.echo(f"stopped; the days done are in {out}, the same call goes on from there", err=True)
        raise


def _figure(value: float | None) -> str:
    """In four digits."""
    return "-" if value is None else f"{value:.4g}"


def _print(table: Table) -> None:
    """As wide as the terminal, or as wide as it needs elsewhere."""
    from rich.console import Console

    Console(width=None if sys.stdout.isatty() else 400, highlight=False).print(table)


def _sweep_table(lines: Sequence[Line]) -> Table:
    from rich.box import SIMPLE_HEAD
    from rich.table import Table

    table = Table(
        box=SIMPLE_HEAD, title="means and 95% bootstrap intervals (of 5 days or more)", title_justify="left"
    )
    keys = list(lines[0].params)
    named = any(line.variant for line in lines)
    names = dict.fromkeys(name for line in lines for name in line.mean)
    figures = ["service", "worst_10s", *(name for name in names if name.startswith("p99.")), "attempts"]
    for name in [*keys, *(["variant"] if named else []), "days", "kept", "met", *figures]:
        table.add_column(name, overflow="fold")
    for line in lines:
        days = str(line.days)
        days += f" +{line.void} void" if line.void else ""
        days += f" +{line.missing} not played" if line.missing else ""
        cells = []
        for name in figures:
            bounds = f"\n[{_figure(line.low[name])}, {_figure(line.high[name])}]" if name in line.low else ""
            cells.append(_figure(line.mean.get(name)) + bounds)
        texts = [
            *line.params.values(),
            *([line.variant or "base"] if named else []),
            days,
            str(line.kept),
            str(line.met),
            *cells,
        ]
        table.add_row(*(_plain(text) for text in texts))
    return table


def _plain(text: str) -> str:
    """Guards against brackets taken for rich's markup."""
    from rich.markup import escape

    return escape(text)


COMPARE_EPILOG = """\b
Examples:
  coveport lab compare before.json after.json
  coveport lab compare out/before out/after --json out/verdict.json
  coveport lab compare 'out/ab/cells/a~*' 'out/ab/cells/b~*'
"""


@lab.command("compare", epilog=COMPARE_EPILOG)
@click.argument("a")
@click.argument("b")
@click.option("--json", "json_", type=OUT_FILE, metavar="OUT", help="Write it all there (-: print it).")
def compare(a: str, b: str, json_: Path | None) -> int:
    """Say which differences between A and B are beyond chance.

    A and B are outcomes (lab run --json), folders of sweeps, or patterns in quotes. Days pair where scenario,
    seed and parameters are the same. The intervals are bootstrapped; what is called beyond chance passed a
    permutation test with Holm's correction for the number of figures. One run of each can't tell anything.

    Exit code 0 whatever the verdict, 2 where A and B can't be compared.
    """
    import msgspec

    from coveport.testbed import compare as comparing

    try:
        told = comparing.compare(comparing.read(a), comparing.read(b), (a, b))
    except comparing.CompareError as problem:
        raise UnusableError(str(problem)) from problem
    if json_ is not None:
        _make_room(json_)
        _write(json_, msgspec.json.format(msgspec.json.encode(told), indent=2))
        if str(json_) == "-":
            return ExitCode.DONE
    _print(_compare_table(told))
    for letter, side in (("A", told.a), ("B", told.b)):
        click.echo(
            f"{letter}: {side.name}; days: {side.days}, rules kept on {side.kept}, "
            f"expectations met on {side.met}"
        )
    click.echo(f"Paired by {told.paired}." if told.paired else "Not paired: no common scenarios and seeds.")
    if any(one.p_holm is not None for one in told.differences):
        click.echo(told.method)
    click.echo()
    for line in told.verdict:
        click.echo(line)
    return ExitCode.DONE


def _compare_table(told: Comparison) -> Table:
    from rich.box import SIMPLE_HEAD
    from rich.table import Table

    from coveport.testbed.compare import signed

    table = Table(box=SIMPLE_HEAD)
    for name in ("figure", "days", "A", "B", "B - A", "95% interval", "p (Holm)", "beyond chance"):
        table.add_column(name, justify="left" if name in ("figure", "beyond chance") else "right")
    for one in told.differences:
        bounds = "-" if one.low is None or one.high is None else f"[{signed(one.low)}, {signed(one.high)}]"
        table.add_row(
            *(
                _plain(text)
                for text in (
                    one.figure,
                    str(one.days),
                    _figure(one.a),
                    _figure(one.b),
                    signed(one.difference),
                    bounds,
                    _figure(one.p_holm),
                    f"{one.better} is better"
                    if one.beyond
                    else "equal"
                    if one.equal
                    else "can't tell"
                    if one.p is None
                    else "no",
                )
            )
        )
    return table


lab.add_command(fuzz)
