"""`coveport lab fuzz`: feed what reads bytes with bytes that nobody sends."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from coveport.testbed.fuzz.run import Told

FOLDER = click.Path(file_okay=False, path_type=Path)

EPILOG = """\b
Targets:
  requests       requests of tills, in any pieces
  responses      answers of ledger nodes and discovery, in any pieces
  operations     requests read as operations, and what is passed on of them
  loads          load reports
  lists          discovery's lists, several in a row
  config         the platform's configuration, and whether it can be started with
  batches        the simulator's wire
  scenarios      scenario files, with sets
  outcomes       outcomes as JSON
  requests-h11, responses-h11   our parsers and h11 on the same bytes

\b
Examples:
  coveport lab fuzz requests --seconds 300
  coveport lab fuzz responses-h11 --seconds 60 --seed 7 --blind
  coveport lab fuzz lists --seconds 300 --minimise
"""


@click.command("fuzz", short_help="Feed what reads bytes with bytes that nobody sends.", epilog=EPILOG)
@click.argument("target")
@click.option(
    "--seconds",
    type=click.FloatRange(min=0),
    default=10.0,
    show_default=True,
    help="How long; 0: the corpus alone.",
)
@click.option(
    "--seed", type=click.IntRange(min=0), default=1, show_default=True, help="All chance comes of it."
)
@click.option(
    "--corpus",
    type=FOLDER,
    metavar="DIR",
    help="Inputs to begin with; by default fuzz/TARGET of the source tree.",
)
@click.option(
    "--out",
    type=FOLDER,
    default=Path("out/fuzz"),
    show_default=True,
    metavar="DIR",
    help="Where finds go, and new inputs of guided runs.",
)
@click.option("--blind", is_flag=True, help="Without atheris, even if it is there.")
@click.option(
    "--minimise",
    is_flag=True,
    help="At the end leave few inputs in the corpus, which take all steps of the old and new ones.",
)
def fuzz(
    target: str, seconds: float, seed: int, corpus: Path | None, out: Path, blind: bool, minimise: bool
) -> int:
    """Run TARGET on its corpus and on mutations of it, and say where its invariants do not hold.

    With atheris (pip install 'coveport[fuzz]') mutations are guided by coverage; without it they are drawn by
    the seed alone, and the same seed and corpus give the same inputs.

    Exit code 0 where nothing was found, 1 where something was, 2 where the call can't be used.
    """
    from coveport.testbed.fuzz import run

    folder = corpus or run.CORPORA / target
    here = out / target
    try:
        run.named(target)
        inputs = run.load(folder)
        told = run.play(target, inputs, seed=seed, count=0)
        if seconds and blind:
            told = run.play(target, inputs, seed=seed, seconds=seconds)
        elif seconds and run.can_guide():
            told = _both(told, run.guide(target, folder, here, seconds=seconds, seed=seed))
        elif seconds:
            click.echo("atheris is not there: mutations are drawn by the seed, not guided", err=True)
            told = run.play(target, inputs, seed=seed, seconds=seconds)
        if minimise:
            kept = run.minimise(target, [*inputs, *run.load(here / "inputs")], run.load(folder / run.TYPICAL))
            run.rewrite(folder, kept)
            click.echo(f"{folder}: {len(kept)} inputs of {sum(map(len, kept))} bytes")
    except run.FuzzError as problem:
        raise UnusableError(str(problem)) from problem
    for find in told.finds.values():
        path = run.keep(here / "finds", find.data)
        click.echo(f"{path}: {find.text[:500]}")
    rate = told.executions / told.seconds if told.seconds else 0
    click.echo(
        f"{target}: {told.executions} inputs in {told.seconds:.1f} s ({rate:.0f} a second), "
        f"{'guided' if told.guided else 'drawn'}; {len(told.finds)} kinds of finds"
    )
    return ExitCode.FAILED if told.finds else ExitCode.DONE


def _both(first: Told, second: Told) -> Told:
    """A replay and what followed it, as one."""
    second.executions += first.executions
    second.seconds += first.seconds
    second.finds = first.finds | second.finds
    return second
