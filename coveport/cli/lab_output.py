"""Files and tables that the verbs of the lab write."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from rich.table import Table

MAX_TABLE_WIDTH = 400  # characters, where there is no terminal: lines of scripts must not be folded


def write_output(path: Path, data: bytes) -> None:
    """Write a file in one step, or to standard output where the path is `-`."""
    if str(path) == "-":
        click.echo(data.rstrip())
        return
    from coveport.testbed.worker_pool import write_whole

    write_whole(path, data.rstrip() + b"\n")


def make_parent_folders(*paths: Path | None) -> None:
    """Create the folders of files to be written; called before hours of play, not after them."""
    for path in paths:
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)


def format_figure(value: float | None) -> str:
    """Return a number in four digits; `-` where there is none."""
    return "-" if value is None else f"{value:.4g}"


def print_table(table: Table) -> None:
    """Print a table as wide as the terminal, or as wide as it needs elsewhere."""
    from rich.console import Console

    width = None if sys.stdout.isatty() else MAX_TABLE_WIDTH
    Console(width=width, highlight=False).print(table)


def escape_markup(text: str) -> str:
    """Return a text whose brackets aren't taken for rich's markup."""
    from rich.markup import escape

    return escape(text)
