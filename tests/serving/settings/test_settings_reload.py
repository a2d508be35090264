"""Reloads at a SIGHUP: reloadable settings take effect, others are logged, an invalid file is rejected."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

import pytest
from settings_examples import PROXY, read_valid

from coveport.serving.coordinator.coordinator import Coordinator
from coveport.serving.proxy.process import Proxy
from coveport.serving.role_process import reload_settings
from coveport.serving.settings.boot import BootSettings, PlatformSettings
from coveport.serving.settings.reload import SettingsReloader, changed_settings, with_changes

OTHER_SEEDS = PROXY.replace("SeedAddrs = [", 'SeedAddrs = ["10.9.9.9:8262", ')


class RecordingLog:
    """A log that records its events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **values: Any) -> None:
        self.events.append((event, values))

    debug = warning = error = info


@dataclass
class RecordingRole:
    """A role that records the applied settings."""

    reloadable: frozenset[str] = frozenset({"seeds", "bounds.grace_s"})
    applied: list[BootSettings] = field(default_factory=list)

    def apply_settings(self, settings: BootSettings) -> None:
        self.applied.append(settings)


def reload(path: Path, text: str | None) -> tuple[SettingsReloader, RecordingRole, RecordingLog]:
    """Return a reloader, its role and its log after a SIGHUP; without a text the file is missing."""
    role, log = RecordingRole(), RecordingLog()
    if text is not None:
        path.write_text(text, encoding="utf-8")
    reloader = SettingsReloader(str(path), read_valid(PROXY), role)
    reload_settings(reloader, log)
    return reloader, role, log


def test_equal_settings_have_no_changes() -> None:
    assert changed_settings(read_valid(PROXY), read_valid(PROXY)) == ()


def test_setting_for_the_next_start_is_logged_and_not_applied(tmp_path: Path) -> None:
    text = PROXY.replace("BeatMs = 1200", "BeatMs = 900")
    reloader, role, log = reload(tmp_path / "boot.toml", text)
    assert log.events == [("settings_changed", {"applied": [], "at_next_start": ["heartbeat_ms"]})]
    assert role.applied == []
    assert reloader.running == read_valid(PROXY)


def test_reloadable_setting_is_applied_once(tmp_path: Path) -> None:
    reloader, role, log = reload(tmp_path / "boot.toml", OTHER_SEEDS)
    assert log.events == [("settings_changed", {"applied": ["seeds"], "at_next_start": []})]
    assert [settings.seeds[0] for settings in role.applied] == [("10.9.9.9", 8262)]
    reload_settings(reloader, log)
    assert log.events[1:] == [("settings_changed", {"applied": [], "at_next_start": []})]
    assert len(role.applied) == 1


def test_only_the_reloadable_one_of_two_changes_is_applied(tmp_path: Path) -> None:
    text = OTHER_SEEDS.replace("BeatMs = 1200", "BeatMs = 900")
    reloader, role, log = reload(tmp_path / "boot.toml", text)
    assert log.events == [("settings_changed", {"applied": ["seeds"], "at_next_start": ["heartbeat_ms"]})]
    assert role.applied[0].heartbeat_ms == read_valid(PROXY).heartbeat_ms
    assert reloader.running == role.applied[0]


def test_setting_within_a_table_is_named_and_applied_alone() -> None:
    running, candidate = read_valid(PROXY), read_valid(OTHER_SEEDS)
    candidate = with_changes(candidate, candidate, ())
    bounds = type(running.bounds)(grace_s=3.0, drain_ms=1.0)
    candidate = BootSettings(
        **{name.name: getattr(candidate, name.name) for name in fields(candidate)} | {"bounds": bounds}
    )
    assert {"seeds", "bounds.grace_s", "bounds.drain_ms"} <= set(changed_settings(running, candidate))
    after = with_changes(running, candidate, ["bounds.grace_s", "seeds"])
    assert after.bounds.grace_s == 3.0
    assert after.bounds.drain_ms == running.bounds.drain_ms
    assert after.seeds == candidate.seeds


def test_added_or_removed_platform_is_one_changed_setting() -> None:
    without_platform = read_valid(PROXY)
    with_platform = replace(without_platform, platform=PlatformSettings(("10.200.0.1", 8346)))
    assert changed_settings(without_platform, with_platform) == ("platform",)
    assert changed_settings(with_platform, without_platform) == ("platform",)


@pytest.mark.parametrize("role", [Coordinator, Proxy])
def test_reloadable_names_are_names_of_settings(role: Any) -> None:
    settings = read_valid(PROXY)
    names = {f.name for f in fields(settings)}
    tables = ("bounds", "limits", "tolerated")
    names |= {f"{table}.{f.name}" for table in tables for f in fields(getattr(settings, table))}
    assert role.reloadable <= names


def test_invalid_file_is_rejected_with_its_findings(tmp_path: Path) -> None:
    _, role, log = reload(tmp_path / "boot.toml", PROXY.replace("BeatMs = 1200", "BeatMs = -1"))
    [(event, values)] = log.events
    assert event == "settings_rejected"
    assert len(values["findings"]) == 1
    assert "BeatMs" in values["findings"][0]
    assert role.applied == []


def test_a_missing_file_is_rejected(tmp_path: Path) -> None:
    _, role, log = reload(tmp_path / "none.toml", None)
    assert [event for event, _ in log.events] == ["settings_rejected"]
    assert role.applied == []


def test_setting_names_in_log_events_are_unchanged() -> None:
    names = """
        name ip zone region inner_ports seeds first_boot loss_counted data_dir serves heartbeat_ms regions
        clients readiness control lookups limits tolerated bounds platform
    """
    assert [field.name for field in fields(BootSettings)] == names.split()
