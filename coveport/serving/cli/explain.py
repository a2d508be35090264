"""`explain`: where the worth of a played day went: by part and price, kind, zone, window and trouble."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Final

from cyclopts import Parameter

from coveport.serving.cli.check import read_text
from coveport.serving.cli.connecting import AsJson
from coveport.serving.cli.day_report import (
    DayReport,
    Loss,
    ReportFault,
    Tally,
    WindowLoss,
    losses,
    lost_by_cause,
    read_report,
    window_losses,
)
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.output import print_error, print_json, print_table

ReportFile = Annotated[Path, Parameter(help="The report of a played day (JSON).")]
LogFile = Annotated[
    Path | None, Parameter(name="--log", help="What the processes of that day logged; warnings are counted.")
]

LEAST_WORTH: Final = 0.0005  # smaller losses are left out
LEAST_LOST: Final = 0.5  # requests; windows and troubles with less are left out
_TALLY_COLUMNS: Final = ("asked", "in time", "late", "refused", "failed", "worth")
_NOTABLE_LINE: Final = re.compile(r"\blevel=(?:warning|error)\b.*?\bevent=(\w+)")


def explain(report: ReportFile, /, *, log: LogFile = None, as_json: AsJson = False) -> int:
    """Say where the worth of a played day went.

    Exit codes: 0 said, 1 a rule was broken on that day, 2 wrong input.
    """
    text = read_text(report)
    if text is None:
        return ExitCode.WRONG_INPUT
    read = read_report(text)
    if isinstance(read, ReportFault):
        print_error(f"{report} {read.value}")
        return ExitCode.WRONG_INPUT
    warnings: Counter[str] = Counter()
    if log is not None:
        log_text = read_text(log)
        if log_text is None:
            return ExitCode.WRONG_INPUT
        warnings = count_warnings(log_text.splitlines())
    if as_json:
        print_json(_told(read, warnings))
    else:
        _print(read, warnings)
    return ExitCode.REFUSED if read.breaks or read.fault else ExitCode.DONE


def count_warnings(lines: Iterable[str]) -> Counter[str]:
    """Warnings and errors by event."""
    return Counter(found[1] for line in lines if (found := _NOTABLE_LINE.search(line)))


def _told(report: DayReport, warnings: Counter[str]) -> dict[str, object]:
    windows = window_losses(report)
    return {
        "worth": report.G,
        "broken_rules": report.breaks,
        "fault": report.fault,
        "losses": {loss.what: round(loss.worth, 4) for loss in losses(report)},
        "lost_requests_by_trouble": {kind: round(lost, 1) for kind, lost in lost_by_cause(windows)},
        "windows": [
            {"from_s": one.from_s, "lost": round(one.tally.lost, 1), "troubles": one.kinds} for one in windows
        ],
        "warnings": dict(warnings),
    }


def _print(report: DayReport, warnings: Counter[str]) -> None:
    print(f"worth {report.G:.3f}, prices paid")
    for rule, count in report.breaks.items():
        print(f"rule broken: {rule}, {count} times")
    if report.fault:
        print(f"fault: {report.fault}")
    print()
    print_table(("lost by", "worth", "amount"), [_loss_row(loss) for loss in _notable(losses(report))])
    print()
    print_table(("kind", *_TALLY_COLUMNS), [_tally_row(one) for one in report.classes])
    print()
    print_table(("zone", *_TALLY_COLUMNS), [_tally_row(one) for one in report.zones])
    windows = window_losses(report)
    print()
    print_table(
        ("second", *_TALLY_COLUMNS, "beside"), [_window_row(one) for one in windows if _is_notable(one)]
    )
    print()
    causes = [(kind, f"{lost:.1f}") for kind, lost in lost_by_cause(windows) if lost >= LEAST_LOST]
    print_table(("trouble", "requests lost beside it"), causes)
    if warnings:
        print()
        print_table(("logged", "times"), warnings.most_common())


def _notable(found: list[Loss]) -> list[Loss]:
    return [loss for loss in found if loss.worth >= LEAST_WORTH]


def _is_notable(window: WindowLoss) -> bool:
    return window.tally.lost >= LEAST_LOST


def _loss_row(loss: Loss) -> tuple[str, str, str]:
    return loss.what, f"{loss.worth:.4f}", "" if loss.amount is None else f"{loss.amount:g}"


def _tally_row(tally: Tally) -> tuple[object, ...]:
    counts = (tally.n, tally.in_aim, tally.late, tally.refused, tally.failed)
    return tally.name, *counts, f"{tally.worth:.3f}"


def _window_row(window: WindowLoss) -> tuple[object, ...]:
    return *_tally_row(window.tally), ", ".join(window.kinds)
