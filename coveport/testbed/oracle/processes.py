"""The rule on the sidecars' processes: they start, live, and end when they are told to. Pure."""

from __future__ import annotations

from math import inf

from coveport.testbed.oracle.case import Case
from coveport.testbed.oracle.lives import Generation

STOP_MS = 700.0
"""What a planned stop gives on top of the longest deadline."""


def judge_processes(case: Case) -> None:
    """`process`."""
    for sidecar, lives in case.lives.of.items():
        for life in lives:
            _judge(case, sidecar, life)


def _judge(case: Case, sidecar: int, life: Generation) -> None:
    who = case.sidecar(sidecar)
    ready_by = case.lives.due(sidecar, life.begin + case.grace.start_ms)
    if life.begin > -inf and min(life.ready, life.end, life.term, case.end) > ready_by:
        case.breach(
            "process",
            ready_by,
            "",
            f"{who} started at {life.begin:.1f} ms and was not ready by {ready_by:.1f} ms.",
        )
    if life.term < inf:
        longest_ms = max((one.deadline_ms for one in case.day.scenario.classes), default=0.0)
        gone_by = case.lives.due(sidecar, life.term + longest_ms + STOP_MS + case.grace.exit_ms)
        if min(life.end, case.end) > gone_by:
            case.breach(
                "process",
                gone_by,
                "",
                f"{who} was told to stop at {life.term:.1f} ms and had not ended by {gone_by:.1f} ms.",
            )
    if life.how == "exit" and (life.term == inf or life.code.strip() not in ("", "0")):
        told = "without having been told to" if life.term == inf else f"after SIGTERM at {life.term:.1f} ms"
        case.breach(
            "process",
            life.end,
            "",
            f"{who} ended at {life.end:.1f} ms with code {life.code.strip() or '0'}, {told}.",
        )
