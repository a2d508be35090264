"""The rules on what staff are told and on processes that are replaced. Pure."""

from __future__ import annotations

import json
from math import inf

from coveport.testbed.event_log import Life
from coveport.testbed.oracle.case import Case
from coveport.testbed.oracle.processes import STOP_MS

READY_MS = 6000.0  # until a second process is ready, at the latest
NO_MS, YES_MS = 4000.0, 2000.0  # until a drain shows at the front, and its end
CALL_MS = 100.0  # how long a call's answer is on its way, at the most
ANSWER_MS, LAG_MS = 1000.0, 500.0  # until a call is answered; how old figures may be
OFF_MOST, OFF_SHARE = 3, 0.01  # what figures may miss


def judge_staff(case: Case) -> None:
    """`staff`."""
    for sidecar, spans in case.lives.replacing.items():
        longest_ms = max(one.deadline_ms for one in case.day.scenario.classes)
        for begin, end in spans:
            by = case.lives.due(sidecar, begin + READY_MS + longest_ms + STOP_MS + case.grace.exit_ms)
            if min(end, case.end) > by:
                _breach(case, by, sidecar, f"was replaced from {begin:.1f} ms on and had not ended")
    rows: dict[int, list[Life]] = {}
    for row in case.by_staff:
        rows.setdefault(row.sidecar, []).append(row)
    for sidecar, mine in rows.items():
        for at, row in enumerate(mine):
            if row.what in ("lameduck", "rejoin"):
                _drain(case, mine, at)
            elif row.what == "asked":
                by = case.lives.due(sidecar, row.at + ANSWER_MS)
                told = next(
                    (
                        one.what == "info" and one.at <= by
                        for one in mine[at + 1 :]
                        if one.what in ("asked", "info")
                    ),
                    False,
                )
                if not told and by < case.end and not _ends(case, sidecar, row.at, by):
                    _breach(case, by, sidecar, f"was asked for figures at {row.at:.1f} ms and had told none")
        _figures(case, sidecar, mine)


def _drain(case: Case, rows: list[Life], at: int) -> None:
    row, wanted = rows[at], "no" if rows[at].what == "lameduck" else "yes"
    by = case.lives.due(row.sidecar, row.at + (NO_MS if wanted == "no" else YES_MS))
    # The front may hear of it before whoever asked for it does.
    later = [
        one
        for one in rows
        if row.at - CALL_MS <= one.at <= by
        and one is not row
        and one.what in ("lameduck", "rejoin", "yes", "no")
    ]
    taken_back = any(one.what in ("lameduck", "rejoin") for one in later)
    if taken_back or by >= case.end or _ends(case, row.sidecar, row.at, by):
        return
    if not later or later[-1].what != wanted:
        _breach(case, by, row.sidecar, f"had its {row.what} at {row.at:.1f} ms and did not say {wanted}")


def _ends(case: Case, sidecar: int, begin: float, by: float) -> bool:
    """Whether there was no process then, or it was told to end, or ended, by the time given."""
    life = case.lives.at(sidecar, begin)
    return life is None or min(life.term, life.end) <= by


def _figures(case: Case, sidecar: int, rows: list[Life]) -> None:
    """The last figures of a process that lived all along, held against what its tills have."""
    told = [row for row in rows if row.what == "info"]
    lives = case.lives.of.get(sidecar, [])
    if not told or len(lives) != 1 or sidecar in case.lives.replacing:
        return
    last = told[-1]
    figures = {name: int(value) for name, value in json.loads(last.detail).items()}
    completed = sum(value for name, value in figures.items() if name.endswith(".completed"))
    served = [
        one.answers[0].at
        for one in case.operations.values()
        if one.asked is not None
        and one.asked.sidecar == sidecar
        and one.answers
        and one.answers[0].status == 200
    ]
    gone = sum(
        one.gave_up is not None
        for one in case.operations.values()
        if one.asked is not None and one.asked.sidecar == sidecar
    )
    least = sum(at <= last.at - LAG_MS for at in served)
    most = sum(at <= last.at for at in served) + gone
    off = max(OFF_MOST, OFF_SHARE * most)
    if not least - off <= completed <= most + off:
        _breach(case, last.at, sidecar, f"told {completed} completed; its tills had {least} to {most}")


def _breach(case: Case, at: float, sidecar: int, what: str) -> None:
    case.breach("staff", at, "", f"{case.sidecar(sidecar)} {what} by {at if at < inf else case.end:.1f} ms.")
