"""Ten rounds of faults on real coordinators; `real_rounds.py` runs more of them."""

from __future__ import annotations

import asyncio

from real_rounds import run_rounds

ROUNDS = 10
JOBS = 5


def test_rounds_of_faults_on_real_coordinators_are_linearizable() -> None:
    reports = asyncio.run(run_rounds(range(1, ROUNDS + 1), JOBS, lambda report: None))
    assert len(reports) == ROUNDS
    assert [report for report in reports if not report.is_good] == []
