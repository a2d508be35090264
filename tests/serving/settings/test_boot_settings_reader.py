"""Reading and checking the settings file of a process."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from settings_examples import COORDINATOR, PROXY, read_valid

from coveport.serving.duties.kinds import SingletonTaskKind
from coveport.serving.model.findings import Refusal
from coveport.serving.resource_budget import MIN_DESCRIPTORS, MIN_MEMORY_MB
from coveport.serving.settings.boot import Bounds, PlatformSettings
from coveport.serving.settings.reader import parse_boot_settings, read_boot_settings

PLATFORM = (
    PROXY
    + """\
Fenced = true
LeaseMs = 3000
[CarrierApi]
Address = "10.200.0.1:8346"
RatePerS = 50.0
Duties = ["metering"]
DutyRateS = 50.0
"""
)


def fault_locations(text: str) -> list[str]:
    """Return the location of each fault in a text."""
    settings = parse_boot_settings(text)
    return [finding.location for finding in settings.findings] if isinstance(settings, Refusal) else []


def test_a_proxy_has_no_disk_and_listens_for_clients() -> None:
    settings = read_valid(PROXY)
    assert (settings.data_dir, settings.control, settings.lookups) == (None, None, None)
    assert (settings.clients, settings.readiness) == (("10.1.0.10", 8263), ("10.1.0.10", 8268))
    assert (settings.zone, settings.regions) == ("hall", {"hall": "south", "mill": "north"})
    assert settings.seeds == (("10.1.0.13", 8262), ("10.2.0.16", 8262))
    assert (settings.inner, settings.inner_ports) == (("10.1.0.10", 7300), (7300, 7315))
    assert (settings.limits.memory_mb, settings.limits.descriptors) == (300, 4100)
    assert (settings.tolerated.machines, settings.bounds.drain_ms, settings.bounds.retry_ratio) == (
        1,
        2500,
        0.2,
    )


def test_a_coordinator_has_a_disk_and_listens_for_operators() -> None:
    settings = read_valid(COORDINATOR)
    assert (settings.data_dir, settings.clients) == ("/data/x", None)
    assert (settings.control, settings.lookups) == (("10.1.0.10", 8263), ("10.1.0.10", 8268))


def test_missing_bounds_keep_their_defaults() -> None:
    assert read_valid(PROXY).bounds.evacuate_ms == Bounds().evacuate_ms


def test_without_a_platform_there_are_no_duties() -> None:
    assert read_valid(PROXY).platform is None


def test_unknown_duties_are_ignored() -> None:
    text = PLATFORM.replace('"metering"', '"metering", "sweeping"')
    expected = PlatformSettings(("10.200.0.1", 8346), frozenset({SingletonTaskKind.USAGE_REPORTS}), 50.0)
    assert read_valid(text).platform == read_valid(PLATFORM).platform == expected


@pytest.mark.parametrize(
    ("line", "bad", "location"),
    [
        ('Address = "10.200.0.1:8346"', 'Address = "there"', "CarrierApi.Address"),
        ('Address = "10.200.0.1:8346"', "", "CarrierApi.Address"),
        ('Duties = ["metering"]', 'Duties = "metering"', "CarrierApi.Duties"),
        ('Duties = ["metering"]', "", "CarrierApi.Duties"),
        ("DutyRateS = 50.0", "DutyRateS = 0", "CarrierApi.DutyRateS"),
        ("DutyRateS = 50.0", "", "CarrierApi.DutyRateS"),
        ("Fenced = true", "Fenced = 1", "Bounds.Fenced"),
        ("LeaseMs = 3000", "LeaseMs = true", "Bounds.LeaseMs"),
    ],
)
def test_a_faulty_field_of_the_duties_has_one_finding(line: str, bad: str, location: str) -> None:
    assert line in PLATFORM
    assert fault_locations(PLATFORM.replace(line, bad)) == [location]


@pytest.mark.parametrize("name", [name for name in tomllib.loads(PROXY) if name not in ("Role", "Contracts")])
def test_a_missing_field_at_the_top_is_a_fault_unless_it_has_defaults(name: str) -> None:
    text = "\n".join(line for line in PROXY.splitlines() if not line.startswith(f"{name} ="))
    if f"[{name}]" in text:
        before, _, after = text.partition(f"[{name}]\n")
        text = before + "".join(f"[{rest}" for rest in after.split("[")[1:])
    has_defaults = name in ("Limits", "Tolerate", "Bounds")
    expected = ["Listen.FrontHttp", "Listen.Readiness"] if name == "Listen" else [name]
    assert fault_locations(text) == ([] if has_defaults else expected)


@pytest.mark.parametrize(
    ("line", "bad", "location"),
    [
        ('NodeName = "counter-hall-1"', "NodeName = 3", "NodeName"),
        ('NodeName = "counter-hall-1"', 'NodeName = ""', "NodeName"),
        ('Serves = ["counter"]', "Serves = [1]", "Serves"),
        ('Ip = "10.1.0.10"', 'Ip = "here"', "Ip"),
        ('Zone = "hall"', 'Zone = "attic"', "Zone"),
        ('Region = "south"', 'Region = "north"', "Region"),
        ("[7300,7315]", "[7315,7300]", "InnerPortRange"),
        ("[7300,7315]", "[7300]", "InnerPortRange"),
        ("[7300,7315]", "[0,70000]", "InnerPortRange"),
        ("[7300,7315]", '"7300"', "InnerPortRange"),
        ('"10.2.0.16:8262"', '"10.2.0.16"', "SeedAddrs[1]"),
        ('"10.2.0.16:8262"', '"name:80"', "SeedAddrs[1]"),
        ("FirstBoot = true", "FirstBoot = 1", "FirstBoot"),
        ("LossCounted = false", 'LossCounted = "no"', "LossCounted"),
        ("BeatMs = 1200", "BeatMs = 0", "BeatMs"),
        ("BeatMs = 1200", "BeatMs = true", "BeatMs"),
        ("BeatMs = 1200", "BeatMs = inf", "BeatMs"),
        ('mill = "north"', "mill = 3", "Zones.mill"),
        ('Readiness = "10.1.0.10:8268"', 'Readiness = "10.1.0.10:99999"', "Listen.Readiness"),
        ("MaxFds = 4100", "MaxFds = -1", "Limits.MaxFds"),
        ("MaxFds = 4100", f"MaxFds = {MIN_DESCRIPTORS - 1}", "Limits.MaxFds"),
        ("MemoryMb = 300", f"MemoryMb = {MIN_MEMORY_MB - 1}", "Limits.MemoryMb"),
        ("MachineLosses = 1", 'MachineLosses = "1"', "Tolerate.MachineLosses"),
        ("MachineLosses = 1", "MachineLosses = 0.5", "Tolerate.MachineLosses"),
        ("DrainMs = 2500", "DrainMs = nan", "Bounds.DrainMs"),
    ],
)
def test_a_faulty_field_has_one_finding(line: str, bad: str, location: str) -> None:
    assert line in PROXY
    assert fault_locations(PROXY.replace(line, bad)) == [location]


@pytest.mark.parametrize(
    ("line", "other"),
    [
        ("MaxFds = 4100", f"MaxFds = {MIN_DESCRIPTORS}"),
        ("MemoryMb = 300", f"MemoryMb = {MIN_MEMORY_MB}"),
        ("MemoryMb = 300", "MemoryMb = 0"),
    ],
)
def test_the_least_limits_are_taken(line: str, other: str) -> None:
    read_valid(PROXY.replace(line, other))


def test_an_empty_data_dir_is_a_fault() -> None:
    assert fault_locations(COORDINATOR.replace('"/data/x"', '""')) == ["DataDir"]


def test_all_faults_are_found_together() -> None:
    text = PROXY.replace("BeatMs = 1200", "").replace('Ip = "10.1.0.10"', "Ip = 3").replace("250\n", "true\n")
    assert sorted(fault_locations(text)) == ["BeatMs", "Bounds.pass_ms", "Ip"]


@pytest.mark.parametrize("table", ["Listen", "Limits", "Tolerate", "Bounds", "Zones"])
def test_a_table_that_is_a_number_is_a_fault(table: str) -> None:
    before, _, after = PROXY.partition(f"[{table}]\n")
    text = f"{table} = 3\n" + before + "".join(f"[{rest}" for rest in after.split("[")[1:])
    assert table in fault_locations(text)


def test_text_that_is_not_toml_has_a_finding_without_location() -> None:
    assert fault_locations("NodeName = ") == [""]


def test_a_file_that_can_not_be_read_has_one_finding(tmp_path: Path) -> None:
    file = tmp_path / "boot.toml"
    file.write_text(PROXY)
    assert read_boot_settings(str(file)) == read_valid(PROXY)
    file.write_bytes(b"\xff")
    for path in (file, tmp_path / "none.toml", tmp_path):
        refusal: Any = read_boot_settings(str(path))
        assert isinstance(refusal, Refusal)
        assert len(refusal.findings) == 1


@pytest.mark.parametrize(
    ("role", "text", "finding"),
    [
        ("coordinator", COORDINATOR.replace('DataDir = "/data/x"', ""), "DataDir: is missing"),
        (
            "proxy",
            PROXY.replace('Serves = ["counter"]', "Serves = []").replace("FrontHttp", "Other"),
            "FrontHttp",
        ),
    ],
)
def test_a_role_reports_a_setting_that_it_requires(
    role: str, text: str, finding: str, tmp_path: Path
) -> None:
    file = tmp_path / "boot.toml"
    file.write_text(text)
    command = [sys.executable, "-m", "coveport.serving", role, "--settings", str(file)]
    completed = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    assert completed.returncode == 2
    (line,) = completed.stderr.splitlines()
    assert line.startswith("coveport: settings: ") and finding in line
