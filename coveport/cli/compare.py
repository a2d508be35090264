"""`coveport lab compare`: which differences between two sets of outcomes are beyond chance."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.lab_options import OUT_FILE
from coveport.cli.lab_output import (
    escape_markup,
    format_figure,
    make_parent_folders,
    print_table,
    write_output,
)

if TYPE_CHECKING:
    from rich.table import Table

    from coveport.testbed.compare import Comparison, Difference

COMPARE_EPILOG = """\b
Examples:
  coveport lab compare before.json after.json
  coveport lab compare out/before out/after --json out/verdict.json
  coveport lab compare 'out/ab/cells/a~*' 'out/ab/cells/b~*'
"""


@click.command("compare", epilog=COMPARE_EPILOG)
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
        comparison = comparing.compare(comparing.read(a), comparing.read(b), (a, b))
    except comparing.CompareError as error:
        raise UnusableError(str(error)) from error
    if json_ is not None:
        make_parent_folders(json_)
        write_output(json_, msgspec.json.format(msgspec.json.encode(comparison), indent=2))
        if str(json_) == "-":
            return ExitCode.DONE
    _print_comparison(comparison)
    return ExitCode.DONE


def _print_comparison(comparison: Comparison) -> None:
    print_table(_comparison_table(comparison))
    for letter, side in (("A", comparison.a), ("B", comparison.b)):
        click.echo(
            f"{letter}: {side.name}; days: {side.days}, rules kept on {side.kept}, "
            f"expectations met on {side.met}"
        )
    paired = f"Paired by {comparison.paired}." if comparison.paired else ""
    click.echo(paired or "Not paired: no common scenarios and seeds.")
    if any(difference.p_holm is not None for difference in comparison.differences):
        click.echo(comparison.method)
    click.echo()
    for line in comparison.verdict:
        click.echo(line)


def _comparison_table(comparison: Comparison) -> Table:
    from rich.box import SIMPLE_HEAD
    from rich.table import Table

    table = Table(box=SIMPLE_HEAD)
    for name in ("figure", "days", "A", "B", "B - A", "95% interval", "p (Holm)", "beyond chance"):
        table.add_column(name, justify="left" if name in ("figure", "beyond chance") else "right")
    for difference in comparison.differences:
        table.add_row(*(escape_markup(text) for text in _difference_row(difference)))
    return table


def _difference_row(difference: Difference) -> tuple[str, ...]:
    from coveport.testbed.compare import signed

    interval = "-"
    if difference.low is not None and difference.high is not None:
        interval = f"[{signed(difference.low)}, {signed(difference.high)}]"
    return (
        difference.figure,
        str(difference.days),
        format_figure(difference.a),
        format_figure(difference.b),
        signed(difference.difference),
        interval,
        format_figure(difference.p_holm),
        _describe_significance(difference),
    )


def _describe_significance(difference: Difference) -> str:
    if difference.beyond:
        return f"{difference.better} is better"
    if difference.equal:
        return "equal"
    return "can't tell" if difference.p is None else "no"
