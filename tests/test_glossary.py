"""docs/glossary.md gives terms that the code has, in the files that it names."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "glossary.md").read_text()
CONCEPTS = PAGE.partition("## Words for known concepts\n")[2].partition("\n## ")[0]
ROWS = [
    [cell.strip() for cell in line.strip("|").split("|")]
    for line in CONCEPTS.splitlines()
    if line.startswith("| ") and not line.startswith(("| ---", "| Operators"))
]
# The operators' list of plain words, in the order of their letter.
LETTER = [
    "told",
    "whole",
    "held",
    "turned",
    "sent",
    "try",
    "drains",
    "cold",
    "ramp",
    "aim",
    "worth",
    "ill",
    "thrown",
    "probe",
    "beat",
    "life",
    "list",
    "news",
    "duty",
    "holder",
    "hold",
    "fence",
    "mates",
    "copy",
    "part",
    "place",
    "letter",
    "book",
    "round",
    "promise",
    "settle",
    "mend",
    "silence",
    "cut",
    "share",
    "ceiling",
    "line",
    "pause",
    "repeatable",
    "pinned",
    "memory",
    "reads",
    "put",
    "room",
    "hand",
]


def code_names(cell: str) -> list[str]:
    return re.findall(r"`([^`]+)`", cell)


def test_the_table_has_its_rows_and_columns() -> None:
    assert len(ROWS) > 40
    assert {len(row) for row in ROWS} == {4}


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0])
def test_each_term_stands_in_the_file_that_its_row_names(row: list[str]) -> None:
    terms, files = code_names(row[1]), code_names(row[3])
    assert terms, f"{row[0]}: no term written as code"
    assert files, f"{row[0]}: no file"
    source = "\n".join((ROOT / name).read_text() for name in files)
    assert [term for term in terms if not re.search(rf"\b{re.escape(term)}\b", source)] == []


@pytest.mark.parametrize("word", LETTER)
def test_each_word_of_the_letter_has_a_row(word: str) -> None:
    words = {found for row in ROWS for found in re.findall(r"[a-z]+", row[0].lower())}
    assert word in words
