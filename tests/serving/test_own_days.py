"""The days of our own in scenarios/system: readable, and together they bring every kind of trouble about."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

FOLDER = Path(__file__).resolve().parents[2] / "scenarios" / "system"
FILES = sorted(FOLDER.glob("*.toml"))
DEPLOYMENTS = ("pnc", "whda")
GROWN = ("pnc-grown", "whda-grown")
ZONES = {False: 3, True: 6}  # of clients, by whether a deployment is a grown one
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
        "ack_lost",
        "disk_full",
        "hup",
    ]
)
# What the operators' letter on the control side names, each with the word that tells its variant.
OF_THE_FIVE_POINTS = frozenset(
    [
        ("core_cut", "leader"),
        ("core_cut", "split"),
        ("core_cut", "behind"),
        ("core_cut", "relieve"),
        ("core_cut", "both"),
        ("core_cut", "lure"),
        ("core_cut", "seeds"),
        ("core_cut", "oldest"),
        ("core_cut", "all"),
        ("core_cut", "near"),
        ("ack_lost", ""),
        ("after_ack_kill", "timed"),
        ("after_ack_wipe", "oldest"),
        ("replace_core", "oldest"),
        ("replace_core", "planned"),
        ("herd_kill", "taken"),
        ("config_race", ""),
        ("disk_full", ""),
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
CLOSINGS = {
    ("power_off_all", ""),
    ("kill_all", ""),
    ("wipe_after_ack", "aimed"),
    ("wipe_after_ack", "timed"),
    ("wipe_after_ack", "oldest"),
}


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
    assert len(day["traffic"]) == ZONES["-grown-" in file.stem]


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_each_deployment_sees_every_kind_variant_and_closing(deployment: str) -> None:
    files = [one for one in FILES if one.stem.startswith(deployment) and "-grown-" not in one.stem]
    seen = [entry for one in files for entry in entries(one)]
    assert {one["kind"] for one in seen} >= KINDS
    assert {word for one in seen for word in one.get("how", "").split()} >= VARIANTS
    closings = [day_of(one)["closing"] for one in files]
    assert {(one["kind"], one.get("how", "")) for one in closings} >= CLOSINGS


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_each_small_deployment_sees_what_the_letter_on_the_control_side_names(deployment: str) -> None:
    files = [one for one in FILES if one.stem.startswith(deployment) and "-grown-" not in one.stem]
    seen = [entry for one in files for entry in entries(one)]
    for kind, word in OF_THE_FIVE_POINTS:
        assert any(one["kind"] == kind and word in one.get("how", "") for one in seen), (kind, word)
    assert max(one["count"] for one in seen if one["kind"] == "config_race") >= 100
    cuts = [one["for_s"] for one in seen if one["kind"] == "core_cut" and "leader" in one.get("how", "")]
    assert max(cuts) >= 20.0


@pytest.mark.parametrize("deployment", GROWN)
def test_each_grown_deployment_has_days_of_the_five_points(deployment: str) -> None:
    files = [one for one in FILES if one.stem.startswith(deployment)]
    assert len(files) >= 4
    seen = {
        (entry["kind"], word)
        for one in files
        for entry in entries(one)
        for word in entry.get("how", "").split()
    }
    wanted = {
        ("core_cut", "split"),
        ("core_cut", "behind"),
        ("core_cut", "leader"),
        ("replace_core", "oldest"),
    }
    assert seen >= wanted


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_some_days_begin_and_end_with_trouble(deployment: str) -> None:
    files = [one for one in FILES if one.stem.startswith(deployment)]
    times = [entry["at"] for one in files for entry in entries(one)]
    assert min(times) < 1.0
    assert max(times) > TRAFFIC_S - 1.0
