"""Prints results: tables for people, JSON for scripts, findings with their lines."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from coveport.serving.cli.line_numbers import line_of
from coveport.serving.model.findings import Finding


def print_json(value: Any) -> None:
    """Print a value as JSON, for scripts."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_error(message: str) -> None:
    """Print one line on standard error."""
    print(f"coveport: {message}", file=sys.stderr)


def print_findings(file: str, findings: Iterable[Finding], lines: dict[str, int]) -> None:
    """Print findings on standard error, one per line, as compilers do: `FILE:LINE: LOCATION: MESSAGE`.

    `lines`: line by location, as `line_numbers` finds them.
    """
    for finding in findings:
        print(f"{file}:{line_of(finding.location, finding.message, lines)}: {finding}", file=sys.stderr)


def print_table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table: drawn by `rich` on a terminal, plain columns elsewhere or without `rich`."""
    cells = [[str(cell) for cell in row] for row in rows]
    if not (sys.stdout.isatty() and _draw(columns, cells)):
        _print_columns(columns, cells)


def _draw(columns: Sequence[str], cells: list[list[str]]) -> bool:
    """Draw the table and return True; return False if `rich` isn't installed."""
    try:
        from rich.console import Console
        from rich.table import Table
        from rich.text import Text
    except ImportError:
        return False
    table = Table(*columns)
    for row in cells:
        table.add_row(*map(Text, row))
    Console().print(table)
    return True


def _print_columns(columns: Sequence[str], cells: list[list[str]]) -> None:
    widths = [max(map(len, column)) for column in zip(columns, *cells, strict=True)]
    for row in (list(columns), *cells):
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
