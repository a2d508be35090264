"""`coveport lab shrink`: makes a day that breaks something as small as it can be."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.lab_options import VARIANT, one_line

if TYPE_CHECKING:
    from coveport.testbed.scenario import Scenario

SHRINK_EPILOG = """\b
Examples:
  coveport lab shrink out/calm/finds/FIND.toml --out found.toml
  coveport lab shrink mine.toml --seed 7 --kind "rule resent" --plays 500 --out found.toml
  coveport lab run found.toml
"""


@click.command("shrink", short_help="Make a find small.", epilog=SHRINK_EPILOG)
@click.argument("day")
@click.option("--seed", type=click.IntRange(min=0), help="By default the one the file names.")
@click.option(
    "--kind",
    "signature",
    default="",
    metavar="SIGNATURE",
    help="Which find, or a part of its signature; by default the worst.",
)
@VARIANT
@click.option(
    "--plays",
    type=click.IntRange(min=1),
    default=300,
    show_default=True,
    metavar="N",
    help="Days played at the most.",
)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    metavar="FILE",
    help="Where the small one is written.",
)
def shrink(day: str, seed: int | None, signature: str, variant: str, plays: int, out: Path) -> int:
    """Write the smallest day that shows the same find as DAY; `coveport lab run FILE` plays it.

    Faults and figures are left out, then fleet, length, load and times made smaller, as long as the find's
    signature stays. Lines for cause and mend stand at the top of FILE, to be filled in.

    Exit code 0 where it was shrunk, 2 where DAY shows no such find or can't be used.
    """
    with one_line("virtual", [variant]):
        from coveport.testbed.catalog import find
        from coveport.testbed.scenario import load
        from coveport.testbed.search.shrink import NotShownError
        from coveport.testbed.search.shrink import shrink as smallest
        from coveport.testbed.worker_pool import write_whole

        scenario = load(find(day))
        out.parent.mkdir(parents=True, exist_ok=True)
        try:
            with _plays(plays) as told:
                shrunk = smallest(
                    scenario,
                    scenario.seed if seed is None else seed,
                    signature,
                    variant=variant,
                    most_plays=plays,
                    told=told,
                )
        except NotShownError as problem:
            raise UnusableError(f"{day}: {problem}") from problem
        write_whole(out, shrunk.text().encode())
    click.echo(
        f"{_seen(shrunk.scenario)} after {shrunk.plays} plays"
        + ("; more plays might make it smaller" if shrunk.spent else "")
    )
    click.echo(f"{shrunk.find.signature}\n{shrunk.find.what}\n{out}")
    return ExitCode.DONE


def _seen(day: Scenario) -> str:
    """How large a day is."""
    faults, fleet = len(day.faults), day.fleet
    return (
        f"{faults} fault{'s' * (faults != 1)}, {fleet.sidecars} sidecar{'s' * (fleet.sidecars > 1)}, "
        f"{fleet.nodes} node{'s' * (fleet.nodes > 1)}, {day.length_s:g} s"
    )


@contextlib.contextmanager
def _plays(total: int) -> Iterator[Callable[[int, Scenario], None] | None]:
    if not sys.stderr.isatty():
        yield None
        return
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        console=Console(stderr=True),
        transient=True,
    ) as progress:
        task = progress.add_task("plays", total=total)
        yield lambda done, best: progress.update(task, completed=done, description=_seen(best))
