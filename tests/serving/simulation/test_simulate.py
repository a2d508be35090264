"""The output and exit code of the command that plays drawn days."""

from __future__ import annotations

from dataclasses import replace

import pytest

from coveport.serving.simulation import simulate
from coveport.serving.simulation.events import EventLog
from coveport.serving.simulation.history import Breach
from coveport.serving.simulation.world import DayResult

GOOD = DayResult(EventLog(), (), {}, (), "trace")
BROKEN = replace(GOOD, breaches=(Breach("EVAC", 2.0, "node i-1 in zone hall-a"),))
FAULTY = replace(GOOD, problems=("proxy-1: a task failed: KeyError()",))


@pytest.mark.parametrize(("days", "code"), [([GOOD, GOOD], 0), ([GOOD, BROKEN], 1), ([FAULTY], 1)])
def test_a_broken_rule_or_a_program_error_is_printed_and_fails(
    days: list[DayResult], code: int, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    played: list[int] = []

    def play(seed: int) -> tuple[DayResult, None]:
        played.append(seed)
        return days[len(played) - 1], None

    monkeypatch.setattr(simulate, "play_drawn", play)
    assert simulate.run(len(days), seed=5) == code
    printed = capsys.readouterr().out
    assert played == list(range(5, 5 + len(days)))
    assert f"{len(days)} days, {code} with a broken rule or a fault" in printed
    assert ("EVAC at 2.000 s: node i-1 in zone hall-a" in printed) == (BROKEN in days)
    assert ("KeyError" in printed) == (FAULTY in days)
