"""Finds that were mended: the scenarios in `found/` show none any more."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from coveport.testbed import catalog
from coveport.testbed.scenario_file import load
from coveport.testbed.search.hunt import look

FOUND = sorted((catalog.folder() / "found").glob("*.toml"))


@pytest.mark.parametrize("path", FOUND, ids=lambda path: path.stem)
def test_what_was_found_is_mended(path: Path) -> None:
    told = dict(re.findall(r"^# (cause|mend): *(.*)$", path.read_text(), re.MULTILINE))
    assert told.get("cause") and told.get("mend"), "a kept find says what its cause was, and what mended it"
    scenario = load(path)
    found, _ = look(scenario, scenario.seed)
    assert [one.what for one in found if one.counts] == []
