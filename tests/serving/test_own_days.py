"""The days in scenarios/system can be read, and together contain every kind of fault."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

FOLDER = Path(__file__).resolve().parents[2] / "scenarios" / "system"
FILES = sorted(FOLDER.glob("*.toml"))
DEPLOYMENTS = ("pnc", "whda")
GROWN_DEPLOYMENTS = ("pnc-grown", "whda-grown")
CLIENT_ZONES = {False: 3, True: 6}  # number of zones with clients, by whether the deployment is a grown one
TRAFFIC_S = 34.0  # duration of a day

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
# Kind and variant of each fault that the operators require for the coordinators; an empty variant is any.
REQUIRED_CONTROL_FAULTS = frozenset(
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
FINAL_FAULTS = {
    ("power_off_all", ""),
    ("kill_all", ""),
    ("wipe_after_ack", "aimed"),
    ("wipe_after_ack", "timed"),
    ("wipe_after_ack", "oldest"),
}


def load_day(file: Path) -> dict[str, Any]:
    """Return the only day of a file."""
    days = tomllib.loads(file.read_text())["day"]
    assert len(days) == 1
    return dict(days[0])


def entries(file: Path) -> list[dict[str, Any]]:
    """Return the planned steps and the faults of a file's day."""
    day = load_day(file)
    return [*day["plan"], *day["faults"]]


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_day_can_be_read_and_its_steps_lie_within_the_traffic(file: Path) -> None:
    day = load_day(file)
    assert day["goal"]["floor"] > 0
    assert {entry["kind"] for entry in entries(file)} <= KINDS
    assert all(0 <= entry["at"] <= TRAFFIC_S for entry in entries(file))
    assert len(day["traffic"]) == CLIENT_ZONES["-grown-" in file.stem]


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_each_deployment_has_every_kind_variant_and_final_fault(deployment: str) -> None:
    files = [file for file in FILES if file.stem.startswith(deployment) and "-grown-" not in file.stem]
    steps = [entry for file in files for entry in entries(file)]
    assert {step["kind"] for step in steps} >= KINDS
    assert {word for step in steps for word in step.get("how", "").split()} >= VARIANTS
    final_faults = [load_day(file)["closing"] for file in files]
    assert {(fault["kind"], fault.get("how", "")) for fault in final_faults} >= FINAL_FAULTS


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_each_small_deployment_has_the_required_control_faults(deployment: str) -> None:
    files = [file for file in FILES if file.stem.startswith(deployment) and "-grown-" not in file.stem]
    steps = [entry for file in files for entry in entries(file)]
    for kind, word in REQUIRED_CONTROL_FAULTS:
        assert any(step["kind"] == kind and word in step.get("how", "") for step in steps), (kind, word)
    assert max(step["count"] for step in steps if step["kind"] == "config_race") >= 100
    partition_times_s = [
        step["for_s"] for step in steps if step["kind"] == "core_cut" and "leader" in step.get("how", "")
    ]
    assert max(partition_times_s) >= 20.0


@pytest.mark.parametrize("deployment", GROWN_DEPLOYMENTS)
def test_each_grown_deployment_has_partitions_and_replacements_of_coordinators(deployment: str) -> None:
    files = [file for file in FILES if file.stem.startswith(deployment)]
    assert len(files) >= 4
    faults = {
        (entry["kind"], word)
        for file in files
        for entry in entries(file)
        for word in entry.get("how", "").split()
    }
    required = {
        ("core_cut", "split"),
        ("core_cut", "behind"),
        ("core_cut", "leader"),
        ("replace_core", "oldest"),
    }
    assert faults >= required


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_some_days_begin_and_end_with_a_step(deployment: str) -> None:
    files = [file for file in FILES if file.stem.startswith(deployment)]
    times = [entry["at"] for file in files for entry in entries(file)]
    assert min(times) < 1.0
    assert max(times) > TRAFFIC_S - 1.0
