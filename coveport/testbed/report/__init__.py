"""A played day for people: a few lines for a terminal, and one HTML file that needs nothing else."""

from __future__ import annotations

from pathlib import Path

from coveport.testbed.outcome import Outcome
from coveport.testbed.playing import Played
from coveport.testbed.report.text import summary_text, verdict

__all__ = ["summary_text", "verdict", "write"]


def write(path: Path, played: Played, outcome: Outcome, *, command: str = "") -> None:
    """Write the report of a day to `path`, as one HTML file; OSError where that can't be.

    `outcome` holds the breaches and expectations as judged. `command` plays the day again; empty: the report
    names scenario and seed alone.
    """
    # Guards against half a second of loading the plots' library where no report is asked for.
    from coveport.testbed.report.page import render

    path.write_text(render(played, outcome, command), encoding="utf-8")
