"""`explain`: where a played day lost value."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from coveport.serving.cli.app import app
from coveport.serving.cli.day_losses import (
    NO_EVENT,
    requests_lost_by_event,
    value_losses,
    window_losses,
)
from coveport.serving.cli.day_report import DayReport, UnreadableReport, read_report
from coveport.serving.cli.explain import count_warnings


def counts(name: str, n: int, late: int, failed: int, worth: float) -> dict[str, Any]:
    in_aim = n - late - failed
    outcomes = {"n": n, "in_aim": in_aim, "late": late, "refused": 0, "failed": failed}
    return {"name": name, **outcomes, "worth": worth, "p50_ms": 70.1}


REPORT = {
    "G": 0.70,
    "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.4], ["worst class", 0.15, 0.75]],
    "prices": [["machine-seconds", 672.0, 0.03], ["processor seconds", 9, 0.0001]],
    "breaks": {},
    "fault": None,
    "classes": [counts("review", 30, 2, 1, 0.92), counts("offer", 70, 0, 9, 0.87)],
    "zones": [counts("north", 100, 2, 10, 0.88)],
    "windows": [
        counts("0", 20, 0, 0, 1.0),
        counts("2", 20, 2, 0, 0.95),
        counts("20", 20, 0, 10, 0.5),
        counts("22", 20, 0, 0, 1.0),
    ],
    "events": [
        {"at_s": 21.0, "to_s": 21.5, "kind": "node_kill", "what": "one", "planned": False},
        {"at_s": 22.0, "to_s": 23.0, "kind": "burst", "what": "", "planned": False},
    ],
    "wall_s": 9.1,
}


def read(**changes: object) -> DayReport:
    report = read_report(json.dumps(REPORT | changes))
    assert isinstance(report, DayReport)
    return report


def test_value_losses_of_components_and_prices_are_sorted_by_size() -> None:
    losses = [(loss.name, round(loss.value, 4), loss.amount) for loss in value_losses(read())]
    assert losses == [
        ("worst windows", 0.15, None),
        ("whole day", 0.06, None),
        ("worst class", 0.0375, None),
        ("machine-seconds", 0.03, 672.0),
        ("processor seconds", 0.0001, 9),
    ]


def test_a_window_names_the_events_that_touch_its_streams() -> None:
    kinds = {window.from_s: window.event_kinds for window in window_losses(read())}
    assert kinds == {0.0: (), 2.0: (), 20.0: ("node_kill", "burst"), 22.0: ("node_kill", "burst")}


def test_losses_are_split_among_concurrent_events() -> None:
    assert requests_lost_by_event(window_losses(read())) == [
        ("node_kill", 5.0),
        ("burst", 5.0),
        (NO_EVENT, pytest.approx(1.0)),
    ]


def test_a_day_without_windows_has_no_lost_requests() -> None:
    assert requests_lost_by_event(window_losses(read(windows=[]))) == []


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", UnreadableReport.NOT_JSON),
        ("[]", UnreadableReport.NOT_A_REPORT),
        ("{}", UnreadableReport.NOT_A_REPORT),
        (json.dumps(REPORT | {"windows": [{"name": "0"}]}), UnreadableReport.NOT_A_REPORT),
        (json.dumps(REPORT | {"parts": [["whole day", "much", 0.9]]}), UnreadableReport.NOT_A_REPORT),
    ],
)
def test_a_text_that_is_no_report_gives_the_reason(text: str, reason: UnreadableReport) -> None:
    assert read_report(text) is reason


def test_warnings_are_counted_by_event() -> None:
    lines = [
        "  34.1 proxy-1 at=1.000 level=warning event=coordinator_timed_out coordinator=10.0.0.1:7300",
        "at=2.000 level=info event=proxy_metrics requests=4",
        "at=3.000 level=error event=disk_write_failed error=full",
        "at=4.000 level=warning event=coordinator_timed_out coordinator=10.0.0.2:7300",
        "something else",
    ]
    assert count_warnings(lines) == {"coordinator_timed_out": 2, "disk_write_failed": 1}


def run(*words: str) -> int:
    """Run the verb as the command line does, and return its exit code."""
    try:
        return int(app(["explain", *words], result_action="return_value"))
    except SystemExit as ended:
        return int(ended.code or 0)


def test_the_verb_prints_tables(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file, log = tmp_path / "day.json", tmp_path / "log"
    file.write_text(json.dumps(REPORT))
    log.write_text("at=1.0 level=warning event=process_stalled seconds=2\n")
    assert run(str(file), "--log", str(log)) == 0
    printed = capsys.readouterr().out
    assert "worst windows    0.1500" in printed and "processor seconds" not in printed
    assert "node_kill, burst" in printed and "stalled  1" in printed


def test_a_broken_rule_is_in_the_json_and_in_the_exit_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "day.json"
    file.write_text(json.dumps(REPORT | {"breaks": {"DRAIN": 2}}))
    assert run(str(file), "--json") == 1
    printed = json.loads(capsys.readouterr().out)
    assert printed["broken_rules"] == {"DRAIN": 2}
    assert printed["lost_requests_by_trouble"] == {"node_kill": 5.0, "burst": 5.0, NO_EVENT: 1.0}


def test_wrong_input_gives_one_line_and_exit_code_two(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "day.json"
    assert run(str(file)) == 2
    file.write_text("{}")
    assert run(str(file)) == 2
    file.write_text(json.dumps(REPORT))
    assert run(str(file), "--log", str(tmp_path / "none")) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3 and all(line.startswith("coveport: ") for line in lines)
    assert "is not the report of a day" in lines[1]
