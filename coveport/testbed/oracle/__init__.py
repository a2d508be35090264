"""Judge a day: event log -> broken rules. It asks no sidecar, so it would judge any, in any language. Pure.

All rows are indexed once (`case`); what the network could do at the most, and when a sidecar had no CPU, is
worked out from the day and the event log (`reach`, `lives`). Then each group of rules is judged by itself:
`answers` (what tills got), `attempts` (what was sent for an operation), `nodes` (whom it was sent to) and
`processes`. Where the event log leaves something open, the sidecar is right; tolerances are in `Grace`.
"""

from __future__ import annotations

from collections.abc import Sequence

from coveport.testbed.day import Day
from coveport.testbed.event_log import AnyRow
from coveport.testbed.oracle.answers import judge_answers
from coveport.testbed.oracle.attempts import judge_attempts
from coveport.testbed.oracle.case import Case
from coveport.testbed.oracle.grace import RULES, Breach, Grace
from coveport.testbed.oracle.nodes import judge_nodes
from coveport.testbed.oracle.processes import judge_processes
from coveport.testbed.oracle.staff import judge_staff

__all__ = ["RULES", "Breach", "Grace", "judge"]


_VIRTUAL = Grace.virtual()


def judge(day: Day, rows: Sequence[AnyRow], *, grace: Grace = _VIRTUAL) -> list[Breach]:
    """All broken rules of a played day, by time; empty where the event log shows none.

    `rows` may come in any order that keeps each party's own; they are not changed. `grace`: by the ground.
    """
    case = Case(day, rows, grace)
    for judge_group in (judge_answers, judge_attempts, judge_nodes, judge_processes, judge_staff):
        judge_group(case)
    case.found.sort(key=lambda breach: (breach.at_ms, breach.rule, breach.operation, breach.what))
    return case.found
