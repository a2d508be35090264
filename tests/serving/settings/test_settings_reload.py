"""SIGHUP: what differs is told, what can't be used is refused, and nothing else happens."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from test_boot_settings_reader import PROXY, taken

from coveport.serving.settings.reload import changed_fields, reload_settings


class Lines:
    """A log that keeps what it is told."""

    def __init__(self) -> None:
        self.told: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **values: Any) -> None:
        self.told.append((event, values))

    error = info


def test_equal_settings_have_no_changes() -> None:
    assert changed_fields(taken(PROXY), taken(PROXY)) == ()


def test_what_differs_is_named(tmp_path: Path) -> None:
    path, log = tmp_path / "boot.toml", Lines()
    path.write_text(PROXY.replace("BeatMs = 1200", "BeatMs = 900"), encoding="utf-8")
    reload_settings(str(path), taken(PROXY), log)
    assert log.told == [("settings_changed", {"at_next_start": ["heartbeat_ms"]})]


def test_a_file_that_cannot_be_used_is_told_with_its_findings(tmp_path: Path) -> None:
    path, log = tmp_path / "boot.toml", Lines()
    path.write_text(PROXY.replace("BeatMs = 1200", "BeatMs = -1"), encoding="utf-8")
    reload_settings(str(path), taken(PROXY), log)
    [(event, values)] = log.told
    assert event == "settings_rejected"
    assert len(values["findings"]) == 1
    assert "BeatMs" in values["findings"][0]


def test_a_file_that_is_gone_changes_nothing(tmp_path: Path) -> None:
    log = Lines()
    reload_settings(str(tmp_path / "none.toml"), taken(PROXY), log)
    assert [event for event, _ in log.told] == ["settings_rejected"]
