"""The table of the operators' rules for the control side names modules and tests that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "design" / "control-rules.md"
ROW = re.compile(r"^\| (LATER|NEWS-\d+) \|(.*)\|$")
PAGES = {"LATER", "NEWS-18", "NEWS-22", "NEWS-23", "NEWS-24"}


def rows() -> list[tuple[str, ...]]:
    """Return the cells of each row: page, rule, module, test."""
    table = []
    for line in PAGE.read_text(encoding="utf-8").splitlines():
        match = ROW.match(line)
        if match:
            table.append((match[1], *(cell.strip() for cell in match[2].split("|"))))
    return table


def functions(path: Path) -> set[str]:
    """Return the names of the functions in a file."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}


def test_every_page_has_rows_and_no_cell_is_empty() -> None:
    assert {row[0] for row in rows()} == PAGES
    for row in rows():
        assert len(row) == 4, row
        assert all(row), row
    rules = [row[1] for row in rows()]
    assert len(set(rules)) == len(rules)


@pytest.mark.parametrize("row", rows(), ids=lambda row: row[1][:40])
def test_the_module_and_the_test_of_a_row_exist(row: tuple[str, ...]) -> None:
    module = row[2].strip("`")
    assert (ROOT / "coveport" / "serving" / module).is_file()
    file, _, name = row[3].strip("`").partition("::")
    assert name in functions(ROOT / "tests" / "serving" / file)
