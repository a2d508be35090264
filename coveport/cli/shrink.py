"""`coveport lab shrink`: makes a day that breaks something as small as it can be."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli import progress
from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.lab_options import VARIANT, usage_errors

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
    with usage_errors("virtual", [variant]):
        from coveport.testbed.catalog import find
        from coveport.testbed.scenario_file import load
        from coveport.testbed.search.shrink import NotShownError
        from coveport.testbed.search.shrink import shrink as smallest
        from coveport.testbed.worker_pool import write_whole

        scenario = load(find(day))
        out.parent.mkdir(parents=True, exist_ok=True)
        try:
            with _shrink_progress(plays) as show_progress:
                shrunk = smallest(
                    scenario,
                    scenario.seed if seed is None else seed,
                    signature,
                    variant=variant,
                    most_plays=plays,
                    told=show_progress,
                )
        except NotShownError as error:
            raise UnusableError(f"{day}: {error}") from error
        write_whole(out, shrunk.text().encode())
    click.echo(
        f"{_describe_size(shrunk.scenario)} after {shrunk.plays} plays"
        + ("; more plays might make it smaller" if shrunk.spent else "")
    )
    click.echo(f"{shrunk.find.signature}\n{shrunk.find.what}\n{out}")
    return ExitCode.DONE


def _describe_size(day: Scenario) -> str:
    """Return the number of a day's faults, sidecars and nodes, and its length."""
    faults = len(day.faults)
    fleet = day.fleet
    return (
        f"{faults} fault{'s' * (faults != 1)}, {fleet.sidecars} sidecar{'s' * (fleet.sidecars > 1)}, "
        f"{fleet.nodes} node{'s' * (fleet.nodes > 1)}, {day.length_s:g} s"
    )


@contextlib.contextmanager
def _shrink_progress(total: int) -> Iterator[Callable[[int, Scenario], None] | None]:
    """Show a bar with the size of the smallest day so far; yield None where there is no terminal."""
    if not progress.is_shown():
        yield None
        return
    with progress.count_bar("plays", total, is_transient=True) as bar:
        yield lambda done, smallest: bar.update(done, _describe_size(smallest))
