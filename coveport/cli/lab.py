"""`coveport lab`: the verbs that play days around real sidecars, and compare what came of them."""

from __future__ import annotations

import click

from coveport.cli.check_model import check_model
from coveport.cli.compare import compare
from coveport.cli.exit_codes import ExitCode
from coveport.cli.fuzz import fuzz
from coveport.cli.lab_options import usage_errors
from coveport.cli.play_day import explain, run
from coveport.cli.search import search
from coveport.cli.shrink import shrink
from coveport.cli.sweep import sweep
from coveport.cli.trials import trials


@click.group()
def lab() -> None:
    """Play days around real sidecars, and judge them.

    A day is a file: who is there, what is asked, what breaks when. The same file and seed give the same day.
    DAY is a file's path, or a name from `coveport lab list`.
    """


@lab.command("list")
def list_() -> int:
    """Show the days that come with the lab, a line each."""
    with usage_errors():
        from coveport.testbed import catalog

        names = catalog.names()
    width = max((len(name) for name, _ in names), default=0)
    for name, title in names:
        click.echo(f"{name:{width}}  {title}")
    return ExitCode.DONE


for verb in (check_model, compare, explain, fuzz, run, search, shrink, sweep, trials):
    lab.add_command(verb)
