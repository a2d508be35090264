"""SIGHUP: what differs is logged, a file that can't be used is rejected, and nothing else happens."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path
from typing import Any

from settings_examples import PROXY, read_valid

from coveport.serving.settings.boot import BootSettings
from coveport.serving.settings.reload import changed_fields, reload_settings


class RecordingLog:
    """A log that keeps its events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **values: Any) -> None:
        self.events.append((event, values))

    error = info


def test_equal_settings_have_no_changes() -> None:
    assert changed_fields(read_valid(PROXY), read_valid(PROXY)) == ()


def test_a_setting_that_differs_is_named(tmp_path: Path) -> None:
    path, log = tmp_path / "boot.toml", RecordingLog()
    path.write_text(PROXY.replace("BeatMs = 1200", "BeatMs = 900"), encoding="utf-8")
    reload_settings(str(path), read_valid(PROXY), log)
    assert log.events == [("settings_changed", {"at_next_start": ["heartbeat_ms"]})]


def test_a_file_that_cannot_be_used_is_rejected_with_its_findings(tmp_path: Path) -> None:
    path, log = tmp_path / "boot.toml", RecordingLog()
    path.write_text(PROXY.replace("BeatMs = 1200", "BeatMs = -1"), encoding="utf-8")
    reload_settings(str(path), read_valid(PROXY), log)
    [(event, values)] = log.events
    assert event == "settings_rejected"
    assert len(values["findings"]) == 1
    assert "BeatMs" in values["findings"][0]


def test_a_missing_file_is_rejected(tmp_path: Path) -> None:
    log = RecordingLog()
    reload_settings(str(tmp_path / "none.toml"), read_valid(PROXY), log)
    assert [event for event, _ in log.events] == ["settings_rejected"]


def test_the_names_in_the_log_stay_as_they_are() -> None:
    names = """
        name ip zone region inner_ports seeds first_boot loss_counted data_dir serves heartbeat_ms regions
        clients readiness control lookups limits tolerated bounds
    """
    assert [field.name for field in fields(BootSettings)] == names.split()
