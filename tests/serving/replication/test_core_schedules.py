"""Seeded schedules of faults under concurrent operators; COVEPORT_CORE_SCHEDULES=1000 runs more of them."""

from __future__ import annotations

import os

import pytest
from core_schedules import run_schedule

SCHEDULES = int(os.environ.get("COVEPORT_CORE_SCHEDULES", "25"))
FIRST_SEED = int(os.environ.get("COVEPORT_CORE_FIRST_SEED", "0"))
PARTS = 8


@pytest.mark.parametrize("part", range(PARTS))
def test_no_fault_schedule_violates_an_invariant(part: int) -> None:
    first_seed = FIRST_SEED + part * SCHEDULES
    reports = [run_schedule(seed) for seed in range(first_seed, first_seed + SCHEDULES)]
    assert [(report.seed, report.violations) for report in reports if report.violations] == []
    assert sum(report.acknowledged for report in reports) > 5 * SCHEDULES
