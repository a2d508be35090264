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
    target_folder = out / target
    try:
        run.named(target)
        inputs = run.load(folder)
        result = run.play(target, inputs, seed=seed, count=0)
        if seconds and blind:
            result = run.play(target, inputs, seed=seed, seconds=seconds)
        elif seconds and run.can_guide():
            result = _merge(result, run.guide(target, folder, target_folder, seconds=seconds, seed=seed))
        elif seconds:
            click.echo("atheris is not there: mutations are drawn by the seed, not guided", err=True)
            result = run.play(target, inputs, seed=seed, seconds=seconds)
        if minimise:
            corpus_inputs = run.minimise(
                target, [*inputs, *run.load(target_folder / "inputs")], run.load(folder / run.TYPICAL)
            )
            run.rewrite(folder, corpus_inputs)
            click.echo(f"{folder}: {len(corpus_inputs)} inputs of {sum(map(len, corpus_inputs))} bytes")
    except run.FuzzError as error:
        raise UnusableError(str(error)) from error
    for find in result.finds.values():
        path = run.keep(target_folder / "finds", find.data)
        click.echo(f"{path}: {find.text[:500]}")
    rate = result.executions / result.seconds if result.seconds else 0
    click.echo(
        f"{target}: {result.executions} inputs in {result.seconds:.1f} s ({rate:.0f} a second), "
        f"{'guided' if result.guided else 'drawn'}; {len(result.finds)} kinds of finds"
    )
    return ExitCode.FAILED if result.finds else ExitCode.DONE


def _merge(replay: Told, run: Told) -> Told:
    """Add the counts and finds of a replay to those of the run after it, and return that."""
    run.executions += replay.executions
    run.seconds += replay.seconds
    run.finds = replay.finds | run.finds
    return run
