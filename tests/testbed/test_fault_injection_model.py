"""The small world: every placement of one or two faults is sound, and broken holders are seen."""

from __future__ import annotations

from typing import Any

import pytest

from coveport.sidecar.leases.lease_state import LeaseState
from coveport.testbed.fault_injection import broken_variants
from coveport.testbed.fault_injection.model import World


@pytest.mark.parametrize("warm", [True, False], ids=["one holds", "all begin"])
def test_one_fault_anywhere_among_three(warm: bool) -> None:
    report = World(steps=6, faults=1, warm=warm).explore()
    assert report.findings == () and report.placements > 300


@pytest.mark.parametrize(
    "kinds",
    [("lost", "act"), ("stall", "late"), ("stall", "act"), ("unheard", "blind"), ("late", "unheard")],
    ids="+".join,
)
def test_two_faults_anywhere_among_two(kinds: tuple[str, ...]) -> None:
    for warm in (True, False):
        report = World(contenders=2, steps=4, faults=2, kinds=kinds, lengths=(1, 9), warm=warm).explore()
        assert report.findings == () and report.placements > 300


@pytest.mark.parametrize(
    ("world", "what"),
    [
        ({"kinds": ("act", "lost"), "lengths": (9,), "fence": False}, "acts were accepted"),
        ({"kinds": ("lost",), "lengths": (9,), "holder": broken_variants._NeverOver}, "two believe"),
        ({"kinds": ("lost",), "lengths": (9,), "holder": broken_variants._UnknownIsDone}, "two believe"),
        (
            {
                "kinds": ("late", "lost"),
                "lengths": (1, 4),
                "holder": broken_variants._UnknownClaimIsOurs,
                "warm": False,
            },
            "two believe",
        ),
        (
            {
                "kinds": ("unheard",),
                "lengths": (1,),
                "holder": broken_variants._UnknownClaimIsRefused,
                "warm": False,
            },
            "nobody holds it",
        ),
    ],
    ids=range(5),
)
def test_a_broken_one_is_seen(world: dict[str, Any], what: str) -> None:
    report = World(contenders=2, steps=4, **{"holder": LeaseState} | world).explore()
    assert any(what in found for found in report.findings)
