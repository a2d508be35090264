"""The lines of the console: what staff ask, what they are answered."""

from __future__ import annotations

import pytest
from golden_files import read_cases

from coveport.sidecar.admin.codec import Command, read_command, write_ack, write_nak
from coveport.sidecar.admin.errors import BadCommandError

LINES = read_cases("console.json")
CALLS = {"ping": Command.PING, "info": Command.INFO, "lame duck": Command.LAMEDUCK, "rejoin": Command.REJOIN}


def test_every_call_has_a_golden_line() -> None:
    assert set(CALLS.values()) == set(Command)
    assert {line.strip().decode() for case, line in LINES.items() if case in CALLS} == {
        call.value for call in Command
    }


@pytest.mark.parametrize("case", CALLS)
def test_a_call_is_read_as_before(case: str) -> None:
    line = LINES[case]
    assert line.endswith(b"\n")
    assert read_command(line) is CALLS[case]
    assert read_command(b" " + line[:-1] + b" \r\nrest") is CALLS[case]
    assert read_command(line[:-1]) is None, "half a line is no call yet"


def test_what_is_no_call_is_told_as_before() -> None:
    with pytest.raises(BadCommandError) as raised:
        read_command(LINES["unknown call"])
    assert write_nak(str(raised.value)) == LINES["answer to an unknown call"]
    with pytest.raises(BadCommandError) as raised:
        read_command(LINES["half a call"], is_eof=True)
    assert write_nak(str(raised.value)) == LINES["answer to half a call"]


def test_answers_are_written_as_before() -> None:
    assert write_ack() == LINES["done"]
    assert write_ack([]) == LINES["done, nothing to tell"]
    assert write_ack(["state serving", "größe 3"]) == LINES["done, with rows"]
    assert write_nak("lame duck already") == LINES["not done"]
