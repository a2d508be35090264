"""The supervisor's log events are exactly those that docs/fleet.md explains."""

from __future__ import annotations

import re
from pathlib import Path

from coveport.sidecar.leases import log_events as lease_events
from coveport.sidecar.supervisor import log_events

PAGE = Path(__file__).parents[3] / "docs" / "fleet.md"


def test_log_events_are_those_of_the_page() -> None:
    section = PAGE.read_text(encoding="utf-8").split("## The log stream")[1].split("\n## ")[0]
    first_columns = [row.split("|")[1] for row in section.splitlines() if row.startswith("| `")]
    explained = {event for column in first_columns for event in re.findall(r"`(\w+)`", column)}
    events = {value for name, value in vars(log_events).items() if name.isupper() and isinstance(value, str)}
    assert len(events) == 13
    assert explained == events | {lease_events.STORE_RESET}
    assert events >= log_events.ERROR_EVENTS
