"""Seeded schedules of faults under racing operators; more with COVEPORT_CORE_SCHEDULES=1000."""

from __future__ import annotations

import os

import pytest
from core_schedules import run_schedule

SCHEDULES = int(os.environ.get("COVEPORT_CORE_SCHEDULES", "25"))
FIRST_SEED = int(os.environ.get("COVEPORT_CORE_FIRST_SEED", "0"))
SHARES = 8


@pytest.mark.parametrize("share", range(SHARES))
def test_no_schedule_loses_forks_or_hangs(share: int) -> None:
    first = FIRST_SEED + share * SCHEDULES
    reports = [run_schedule(seed) for seed in range(first, first + SCHEDULES)]
    assert [(report.seed, report.violations) for report in reports if report.violations] == []
    assert sum(report.acknowledged for report in reports) > 5 * SCHEDULES
