"""Progress bars on a terminal, on standard error. `rich` is loaded only where one is shown."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rich.progress import Progress, TaskID


def is_shown() -> bool:
    """Return whether standard error is a terminal."""
    return sys.stderr.isatty()


@contextlib.contextmanager
def fraction_bar(label: str) -> Iterator[Callable[[float], None] | None]:
    """Show a bar that is set to a fraction from 0 to 1; yield None where there is no terminal."""
    if not is_shown():
        yield None
        return
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(label, total=1.0)
        yield lambda fraction: progress.update(task, completed=fraction)


class CountBar:
    """A bar that counts what is done, with lines above it."""

    def __init__(self, progress: Progress, task: TaskID) -> None:
        self._progress = progress
        self._task = task

    def update(self, done: int, description: str | None = None) -> None:
        """Set the count, and the text in front of the bar unless it is None."""
        self._progress.update(self._task, completed=done, description=description)

    def print(self, line: str) -> None:
        """Print a line above the bar."""
        self._progress.console.print(line, markup=False, highlight=False)


@contextlib.contextmanager
def count_bar(description: str, total: int, *, is_transient: bool = False) -> Iterator[CountBar]:
    """Show a bar that counts up to `total`.

    `is_transient`: it disappears at its end; otherwise it stays, and shows the time that remains.
    """
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    columns = [TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn()]
    if not is_transient:
        columns.append(TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=is_transient) as progress:
        yield CountBar(progress, progress.add_task(description, total=total))


@contextlib.contextmanager
def resume_hint(done: str, out: object) -> Iterator[None]:
    """Print how to go on where the user interrupts a long verb."""
    try:
        yield
    except KeyboardInterrupt:
        import click

        click.echo(f"stopped; the {done} done are in {out}, the same call goes on from there", err=True)
        raise
