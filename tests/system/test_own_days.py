"""The days of our own in scenarios/system: readable, and together they bring every kind of trouble about."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

FOLDER = Path(__file__).resolve().parents[2] / "scenarios" / "system"
FILES = sorted(FOLDER.glob("*.toml"))
DEPLOYMENTS = ("pnc", "whda")
TRAFFIC_S = 34.0  # how long the deployments' days are

KINDS = frozenset(
    [
        "burst",
        "shift",
        "srv_crash",
        "release",
        "scale_in",
        "cold_return",
        "answer_lost",
        "garble",
        "node_kill",
        "node_freeze",
        "roll_term",
        "herd_kill",
        "replace_core",
        "after_ack_kill",
        "after_ack_wipe",
        "disk_slow",
        "core_cut",
        "region_loss",
        "region_cut",
        "config_change",
        "config_race",
        "bad_config",
        "big_config",
        "evacuate",
    ]
)
VARIANTS = frozenset(
    [
        "leader",
        "meet",
        "race",
        "drain",
        "hard",
        "power",
        "one_way",
        "reset",
        "busy",
        "dark",
        "timed",
        "remove",
        "planned",
        "spot",
    ]
)
CLOSINGS = {("power_off_all", ""), ("kill_all", ""), ("wipe_after_ack", "aimed"), ("wipe_after_ack", "timed")}


def day_of(file: Path) -> dict[str, Any]:
    days = tomllib.loads(file.read_text())["day"]
    assert len(days) == 1
    return dict(days[0])


def entries(file: Path) -> list[dict[str, Any]]:
    day = day_of(file)
    return [*day["plan"], *day["faults"]]


@pytest.mark.parametrize("file", FILES, ids=lambda one: one.stem)
def test_a_day_can_be_read_and_lies_within_its_traffic(file: Path) -> None:
    day = day_of(file)
    assert day["goal"]["floor"] > 0
    assert {one["kind"] for one in entries(file)} <= KINDS
    assert all(0 <= one["at"] <= TRAFFIC_S for one in entries(file))
    assert len(day["traffic"]) == 3


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_each_deployment_sees_every_kind_variant_and_closing(deployment: str) -> None:
    files = [one for one in FILES if one.stem.startswith(deployment)]
    seen = [entry for one in files for entry in entries(one)]
    assert {one["kind"] for one in seen} >= KINDS
    assert {word for one in seen for word in one.get("how", "").split()} >= VARIANTS
    closings = [day_of(one)["closing"] for one in files]
    assert {(one["kind"], one.get("how", "")) for one in closings} >= CLOSINGS


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_some_days_begin_and_end_with_trouble(deployment: str) -> None:
    files = [one for one in FILES if one.stem.startswith(deployment)]
    times = [entry["at"] for one in files for entry in entries(one)]
    assert min(times) < 1.0
    assert max(times) > TRAFFIC_S - 1.0
