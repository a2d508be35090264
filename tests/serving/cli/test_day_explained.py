"""`explain`: where a played day's worth went."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from coveport.serving.cli.app import app
from coveport.serving.cli.day_report import (
    NO_TROUBLE,
    DayReport,
    ReportFault,
    losses,
    lost_by_cause,
    read_report,
    window_losses,
)
from coveport.serving.cli.explain import count_warnings


def tally(name: str, n: int, late: int, failed: int, worth: float) -> dict[str, Any]:
    in_aim = n - late - failed
    counts = {"n": n, "in_aim": in_aim, "late": late, "refused": 0, "failed": failed}
    return {"name": name, **counts, "worth": worth, "p50_ms": 70.1}


REPORT = {
    "G": 0.70,
    "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.4], ["worst class", 0.15, 0.75]],
    "prices": [["machine-seconds", 672.0, 0.03], ["processor seconds", 9, 0.0001]],
    "breaks": {},
    "fault": None,
    "classes": [tally("review", 30, 2, 1, 0.92), tally("offer", 70, 0, 9, 0.87)],
    "zones": [tally("north", 100, 2, 10, 0.88)],
    "windows": [
        tally("0", 20, 0, 0, 1.0),
        tally("2", 20, 2, 0, 0.95),
        tally("20", 20, 0, 10, 0.5),
        tally("22", 20, 0, 0, 1.0),
    ],
    "events": [
        {"at_s": 21.0, "to_s": 21.5, "kind": "node_kill", "what": "one", "planned": False},
        {"at_s": 22.0, "to_s": 23.0, "kind": "burst", "what": "", "planned": False},
    ],
    "wall_s": 9.1,
}


def read(**changes: object) -> DayReport:
    found = read_report(json.dumps(REPORT | changes))
    assert isinstance(found, DayReport)
    return found


def test_parts_and_prices_are_told_as_worth_the_largest_first() -> None:
    told = [(loss.what, round(loss.worth, 4), loss.amount) for loss in losses(read())]
    assert told == [
        ("worst windows", 0.15, None),
        ("whole day", 0.06, None),
        ("worst class", 0.0375, None),
        ("machine-seconds", 0.03, 672.0),
        ("processor seconds", 0.0001, 9),
    ]


def test_a_window_names_the_troubles_that_touch_its_streams() -> None:
    kinds = {one.from_s: one.kinds for one in window_losses(read())}
    assert kinds == {0.0: (), 2.0: (), 20.0: ("node_kill", "burst"), 22.0: ("node_kill", "burst")}


def test_what_is_lost_beside_several_troubles_is_shared_and_the_rest_is_nobodys() -> None:
    assert lost_by_cause(window_losses(read())) == [
        ("node_kill", 5.0),
        ("burst", 5.0),
        (NO_TROUBLE, pytest.approx(1.0)),
    ]


def test_a_day_without_windows_has_no_causes() -> None:
    assert lost_by_cause(window_losses(read(windows=[]))) == []


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("{", ReportFault.NOT_JSON),
        ("[]", ReportFault.NOT_A_REPORT),
        ("{}", ReportFault.NOT_A_REPORT),
        (json.dumps(REPORT | {"windows": [{"name": "0"}]}), ReportFault.NOT_A_REPORT),
        (json.dumps(REPORT | {"parts": [["whole day", "much", 0.9]]}), ReportFault.NOT_A_REPORT),
    ],
)
def test_what_is_no_report_is_said(text: str, fault: ReportFault) -> None:
    assert read_report(text) is fault


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
    """Run the verb as the command line does; its exit code."""
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


def test_the_verb_prints_json_and_tells_a_broken_rule_by_its_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "day.json"
    file.write_text(json.dumps(REPORT | {"breaks": {"DRAIN": 2}}))
    assert run(str(file), "--json") == 1
    told = json.loads(capsys.readouterr().out)
    assert told["broken_rules"] == {"DRAIN": 2}
    assert told["lost_requests_by_trouble"] == {"node_kill": 5.0, "burst": 5.0, NO_TROUBLE: 1.0}


def test_wrong_input_is_one_line_and_code_two(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "day.json"
    assert run(str(file)) == 2
    file.write_text("{}")
    assert run(str(file)) == 2
    file.write_text(json.dumps(REPORT))
    assert run(str(file), "--log", str(tmp_path / "none")) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3 and all(line.startswith("coveport: ") for line in lines)
    assert "is not the report of a day" in lines[1]
