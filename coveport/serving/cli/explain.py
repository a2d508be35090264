"""`explain`: where a played day lost value: by component and price, class, zone, window and event."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Final

from cyclopts import Parameter

from coveport.serving.cli.core_options import AsJson
from coveport.serving.cli.day_losses import (
    ValueLoss,
    WindowLoss,
    requests_lost_by_event,
    value_losses,
    window_losses,
)
from coveport.serving.cli.day_report import DayReport, OutcomeCounts, UnreadableReport, read_report
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.input_files import read_text
from coveport.serving.cli.output import print_error, print_json, print_table

ReportFile = Annotated[Path, Parameter(help="The report of a played day (JSON).")]
LogFile = Annotated[
    Path | None, Parameter(name="--log", help="What the processes of that day logged; warnings are counted.")
]

MIN_SHOWN_VALUE: Final = 0.0005  # fraction of the day's whole value; smaller losses are omitted
MIN_SHOWN_REQUESTS: Final = 0.5  # lost requests; windows and events with fewer are omitted
_COUNT_COLUMNS: Final = ("asked", "in time", "late", "refused", "failed", "worth")
_WARNING_LINE: Final = re.compile(r"\blevel=(?:warning|error)\b.*?\bevent=(\w+)")


def explain(report: ReportFile, /, *, log: LogFile = None, as_json: AsJson = False) -> int:
    """Say where the worth of a played day went.

    Exit codes: 0 said, 1 a rule was broken on that day, 2 wrong input.
    """
    text = read_text(report)
    if text is None:
        return ExitCode.WRONG_INPUT
    day = read_report(text)
    if isinstance(day, UnreadableReport):
        print_error(f"{report} {day.value}")
        return ExitCode.WRONG_INPUT
    warnings: Counter[str] = Counter()
    if log is not None:
        log_text = read_text(log)
        if log_text is None:
            return ExitCode.WRONG_INPUT
        warnings = count_warnings(log_text.splitlines())
    if as_json:
        print_json(_as_json(day, warnings))
    else:
        _print_tables(day, warnings)
    return ExitCode.REFUSED if day.breaks or day.fault else ExitCode.DONE


def count_warnings(lines: Iterable[str]) -> Counter[str]:
    """Return the number of warnings and errors in a log, by event name."""
    return Counter(match[1] for line in lines if (match := _WARNING_LINE.search(line)))


def _as_json(day: DayReport, warnings: Counter[str]) -> dict[str, object]:
    windows = window_losses(day)
    return {
        "worth": day.net_value,
        "broken_rules": day.breaks,
        "fault": day.fault,
        "losses": {loss.name: round(loss.value, 4) for loss in value_losses(day)},
        "lost_requests_by_trouble": {kind: round(lost, 1) for kind, lost in requests_lost_by_event(windows)},
        "windows": [_window_as_json(window) for window in windows],
        "warnings": dict(warnings),
    }


def _window_as_json(window: WindowLoss) -> dict[str, object]:
    lost = round(window.counts.lost_requests, 1)
    return {"from_s": window.from_s, "lost": lost, "troubles": window.event_kinds}


def _print_tables(day: DayReport, warnings: Counter[str]) -> None:
    print(f"worth {day.net_value:.3f}, prices paid")
    for rule, count in day.breaks.items():
        print(f"rule broken: {rule}, {count} times")
    if day.fault:
        print(f"fault: {day.fault}")
    losses = [loss for loss in value_losses(day) if loss.value >= MIN_SHOWN_VALUE]
    print()
    print_table(("lost by", "worth", "amount"), [_loss_row(loss) for loss in losses])
    print()
    print_table(("kind", *_COUNT_COLUMNS), [_counts_row(counts) for counts in day.classes])
    print()
    print_table(("zone", *_COUNT_COLUMNS), [_counts_row(counts) for counts in day.zones])
    print()
    _print_windows(window_losses(day))
    if warnings:
        print()
        print_table(("logged", "times"), warnings.most_common())


def _print_windows(windows: list[WindowLoss]) -> None:
    shown = [window for window in windows if window.counts.lost_requests >= MIN_SHOWN_REQUESTS]
    print_table(("second", *_COUNT_COLUMNS, "beside"), [_window_row(window) for window in shown])
    events = [
        (kind, f"{lost:.1f}") for kind, lost in requests_lost_by_event(windows) if lost >= MIN_SHOWN_REQUESTS
    ]
    print()
    print_table(("trouble", "requests lost beside it"), events)


def _loss_row(loss: ValueLoss) -> tuple[str, str, str]:
    return loss.name, f"{loss.value:.4f}", "" if loss.amount is None else f"{loss.amount:g}"


def _counts_row(counts: OutcomeCounts) -> tuple[object, ...]:
    outcomes = (counts.requests, counts.within_target, counts.late, counts.refused, counts.failed)
    return counts.name, *outcomes, f"{counts.earned_fraction:.3f}"


def _window_row(window: WindowLoss) -> tuple[object, ...]:
    return *_counts_row(window.counts), ", ".join(window.event_kinds)
