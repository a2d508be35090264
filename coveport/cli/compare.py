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

    from coveport.testbed.compare import Comparison

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
        told = comparing.compare(comparing.read(a), comparing.read(b), (a, b))
    except comparing.CompareError as problem:
        raise UnusableError(str(problem)) from problem
    if json_ is not None:
        make_parent_folders(json_)
        write_output(json_, msgspec.json.format(msgspec.json.encode(told), indent=2))
        if str(json_) == "-":
            return ExitCode.DONE
    print_table(_compare_table(told))
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
                escape_markup(text)
                for text in (
                    one.figure,
                    str(one.days),
                    format_figure(one.a),
                    format_figure(one.b),
                    signed(one.difference),
                    bounds,
                    format_figure(one.p_holm),
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
