"""`coveport lab check-model`: all orders of small worlds, through the real reducer and module."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.progress import is_shown

if TYPE_CHECKING:
    from coveport.testbed.check import Report

EPILOG = """\b
Examples:
  coveport lab check-model
  coveport lab check-model drain restart
  coveport lab check-model large-drain --states 1000000
"""


@click.command("check-model", short_help="Explore all orders of small worlds.", epilog=EPILOG)
@click.argument("worlds", nargs=-1)
@click.option(
    "--states",
    type=click.IntRange(min=1),
    default=200_000,
    show_default=True,
    metavar="N",
    help="Stop a world at so many states.",
)
@click.option(
    "--seed",
    type=int,
    metavar="N",
    help="Go at random, path after path to its end: for worlds with more states than that.",
)
@click.option("--list", "list_", is_flag=True, help="Show the worlds that there are, a line each.")
def check_model(worlds: Sequence[str], states: int, seed: int | None, list_: bool) -> int:
    """Explore WORLDS (by default all small ones): whatever may come, in all orders.

    A world is a few operations, nodes, faults and words from discovery; the reducer and the module in it are
    the shipped ones. Where an order breaks a rule, the shortest one is printed as a test.

    Exit code 0 where no order breaks a rule, 1 where one does, 2 where the call can't be used.
    """
    from coveport.testbed.check import check, printed
    from coveport.testbed.check.worlds import SMALL, WORLDS

    if list_:
        for world in WORLDS.values():
            click.echo(f"{world.name:18} {world.about}")
        return ExitCode.DONE
    for name in worlds:
        if name not in WORLDS:
            raise UnusableError(f"no world '{name}' (coveport lab check-model --list shows them)")
    is_broken = False
    for world in [WORLDS[name] for name in worlds] or SMALL:
        with _progress(world.name) as show_progress:
            report = check(world, most_states=states, seed=seed, clock=time.perf_counter, told=show_progress)
        click.echo(_summary(world.name, report, states))
        for counterexample in report.found:
            is_broken = True
            click.echo(f"\n{printed(world, counterexample)}")
    return ExitCode.FAILED if is_broken else ExitCode.DONE


@contextlib.contextmanager
def _progress(name: str) -> Iterator[Callable[[int, int, int], None] | None]:
    """Show on a terminal how far the exploration is, on one line that is cleared at the end."""
    if not is_shown():
        yield None
        return

    def show(states: int, paths: int, depth: int) -> None:
        click.echo(f"\r{name}: {states} states, {paths} paths, depth {depth} ", err=True, nl=False)

    yield show
    click.echo("\r\033[K", err=True, nl=False)


def _summary(name: str, report: Report, max_states: int) -> str:
    end = "all orders" if report.whole else f"BOUNDED: stopped at {max_states} states"
    rules = ", ".join(counterexample.breach.rule for counterexample in report.found)
    broken = f"; broken: {rules}" if rules else ""
    return (
        f"{name:18} {report.states:8} states {report.paths:8} paths  depth {report.depth:3} "
        f"{report.seconds:6.1f} s  {end}{broken}"
    )
