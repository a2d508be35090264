"""Where a day's worth was lost: splits the gap between 1 and a day's worth after prices.

    python -m benchmarks.policy_gap SITE REPORT [REPORT ...]

REPORT is what the bench's `run ... --report FILE` has written, SITE the deployment's file. The whole day's
part is split by kind of request, and there by late, failed and refused; a request that was late loses the
part of its worth that the site file says. How much of the day's worth a kind of request is owed is
estimated by its count times its worth, as sizes average to one; what that leaves unexplained of the whole
day is a line of its own. The worst windows, the worst class and each price are lines as the report gives
them, so that all lines sum to the gap.
"""

from __future__ import annotations

import json
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.common import table

SMALLEST_SHOWN = 0.0005
"""Lines that lose less are summed up in one."""


@dataclass(frozen=True)
class Line:
    """A cause, and the worth that it cost of 1."""

    cause: str
    lost: float


@dataclass(frozen=True)
class KindOfRequest:
    """What the site file says of a kind of request."""

    worth: float
    late_worth: float

    @property
    def late_loss(self) -> float:
        """The part of its worth that a late one loses."""
        return 1.0 - self.late_worth / self.worth


def read_kinds(site: Path) -> dict[str, KindOfRequest]:
    """The kinds of request of a site by name."""
    told = tomllib.loads(site.read_text())
    return {one["name"]: KindOfRequest(one["worth"], one["late_worth"]) for one in told["classes"]}


def whole_day_lines(report: dict[str, Any], kinds: dict[str, KindOfRequest], weight: float) -> list[Line]:
    """The whole day's part by kind of request and ending, and what that does not explain."""
    owed = {one["name"]: one["n"] * kinds[one["name"]].worth for one in report["classes"]}
    owed_together = sum(owed.values()) or 1.0
    lines = []
    for one in report["classes"]:
        name = one["name"]
        gap = weight * (1.0 - one["worth"]) * owed[name] / owed_together
        late = one["late"] * kinds[name].late_loss
        counts = {"late": late, "failed": one["failed"], "refused": one["refused"]}
        together = sum(counts.values())
        lines += [
            Line(f"whole day: {name} {ending}", gap * count / together)
            for ending, count in counts.items()
            if count
        ]
    unexplained = weight * (1.0 - report["served"]) - sum(line.lost for line in lines)
    return [*lines, Line("whole day: sizes that differ from the mean", unexplained)]


def split_gap(report: dict[str, Any], kinds: dict[str, KindOfRequest]) -> list[Line]:
    """All lines of a day, the largest first."""
    lines = []
    for name, weight, value in report["parts"]:
        if name == "whole day":
            lines += whole_day_lines(report, kinds, weight)
        else:
            lines.append(Line(name, weight * (1.0 - value)))
    lines += [Line(f"price: {name}", lost) for name, _, lost in report["prices"]]
    return sorted(lines, key=lambda line: -abs(line.lost))


def page(report: dict[str, Any], kinds: dict[str, KindOfRequest]) -> str:
    """A day's table; the lines sum to the gap."""
    lines = split_gap(report, kinds)
    shown = [line for line in lines if abs(line.lost) >= SMALLEST_SHOWN]
    rest = sum(line.lost for line in lines if line not in shown)
    rows = [(line.cause, f"{line.lost:.4f}") for line in shown]
    together = sum(line.lost for line in lines)
    rows += [
        ("all smaller ones", f"{rest:.4f}"),
        ("sum", f"{together:.4f}"),
        ("gap: 1 less the day's worth", f"{1.0 - report['G']:.4f}"),
    ]
    return table(("cause", "lost"), rows)


def main() -> int:
    """Print a table a report."""
    if len(sys.argv) < 3:
        print(__doc__)
        return 2
    kinds = read_kinds(Path(sys.argv[1]))
    for name in sys.argv[2:]:
        print(f"\n{Path(name).stem}\n")
        print(page(json.loads(Path(name).read_text()), kinds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
