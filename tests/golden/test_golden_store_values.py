"""What duties and instances keep in the store as JSON is read and written as before."""

from __future__ import annotations

import json

import msgspec
import pytest
from golden_files import read_cases
from golden_store_cases import PHASES, VALUES

BYTES = read_cases("store_values.json")


def test_every_value_has_its_golden_bytes() -> None:
    assert BYTES.keys() == VALUES.keys()


@pytest.mark.parametrize("case", VALUES)
def test_a_value_is_read_and_written_as_before(case: str) -> None:
    assert msgspec.json.decode(BYTES[case], type=type(VALUES[case])) == VALUES[case]
    assert msgspec.json.encode(VALUES[case]) == BYTES[case]


def test_the_phases_have_the_same_words() -> None:
    assert PHASES["fleet"] == {"running", "halted", "ended", "done"}
    assert PHASES["rollout"] == {"running", "paused", "back", "undone", "done"}
    assert json.loads(BYTES["fleet plan, halted restart"])["restart"]["phase"] == "halted"
    assert json.loads(BYTES["rollout plan"])["phase"] == "back"
