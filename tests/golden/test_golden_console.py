"""The lines of the console: what staff ask, what they are answered."""

from __future__ import annotations

import pytest
from golden_files import read_cases

from coveport.sidecar.admin.codec import BadCallError, Call, read_call, write_no, write_yes

LINES = read_cases("console.json")
CALLS = {"ping": Call.PING, "info": Call.INFO, "lame duck": Call.LAMEDUCK, "rejoin": Call.REJOIN}


def test_every_call_has_a_golden_line() -> None:
    assert set(CALLS.values()) == set(Call)
    assert {line.strip().decode() for case, line in LINES.items() if case in CALLS} == {
        call.value for call in Call
    }


@pytest.mark.parametrize("case", CALLS)
def test_a_call_is_read_as_before(case: str) -> None:
    line = LINES[case]
    assert line.endswith(b"\n")
    assert read_call(line) is CALLS[case]
    assert read_call(b" " + line[:-1] + b" \r\nrest") is CALLS[case]
    assert read_call(line[:-1]) is None, "half a line is no call yet"


def test_what_is_no_call_is_told_as_before() -> None:
    with pytest.raises(BadCallError) as raised:
        read_call(LINES["unknown call"])
    assert write_no(str(raised.value)) == LINES["answer to an unknown call"]
    with pytest.raises(BadCallError) as raised:
        read_call(LINES["half a call"], ended=True)
    assert write_no(str(raised.value)) == LINES["answer to half a call"]


def test_answers_are_written_as_before() -> None:
    assert write_yes() == LINES["done"]
    assert write_yes([]) == LINES["done, nothing to tell"]
    assert write_yes(["state serving", "größe 3"]) == LINES["done, with rows"]
    assert write_no("lame duck already") == LINES["not done"]
