"""Files and tables that the verbs of the lab write."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from rich.table import Table


def write_output(path: Path, data: bytes) -> None:
    """Write a file whole, or to standard output where it is called `-`."""
    if str(path) == "-":
        click.echo(data.rstrip())
        return
    from coveport.testbed.worker_pool import write_whole

    write_whole(path, data.rstrip() + b"\n")


def make_parent_folders(*paths: Path | None) -> None:
    """Make the folders of what will be written; before hours of play, not after them."""
    for path in paths:
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)


def format_figure(value: float | None) -> str:
    """In four digits."""
    return "-" if value is None else f"{value:.4g}"


def print_table(table: Table) -> None:
    """As wide as the terminal, or as wide as it needs elsewhere."""
    from rich.console import Console

    Console(width=None if sys.stdout.isatty() else 400, highlight=False).print(table)


def escape_markup(text: str) -> str:
    """Guards against brackets taken for rich's markup."""
    from rich.markup import escape

    return escape(text)
