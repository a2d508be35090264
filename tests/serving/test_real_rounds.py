"""Ten rounds of faults on real coordinators; more by `real_rounds.py`."""

from __future__ import annotations

import asyncio

from real_rounds import play_rounds

ROUNDS = 10
AT_A_TIME = 5


def test_rounds_of_faults_on_real_coordinators_are_linearizable() -> None:
    reports = asyncio.run(play_rounds(range(1, ROUNDS + 1), AT_A_TIME, lambda report: None))
    assert len(reports) == ROUNDS
    assert [report for report in reports if not report.is_good] == []
