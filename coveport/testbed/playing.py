"""A day once played: what came of it, before anybody has judged it."""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport.testbed.day import Day
from coveport.testbed.event_log import AnyRow


@dataclass(slots=True)
class Played:
    """A day and its event log."""

    day: Day
    ground: str  # "virtual" or "real"
    rows: list[AnyRow]  # of all parties, in order of time
    late: bool = False  # the machine was too busy: the figures are void, no sidecar is to blame
    trace: str = ""  # a hash of all that was exchanged, in order (virtual ground)
    wall_s: float = 0.0  # how long it took to play
    logs: dict[int, str] = field(default_factory=dict)  # what each sidecar printed
    notes: list[str] = field(default_factory=list)  # what the lab itself has to say of the run
    # What each sidecar that ran still held just before SIGTERM, `quiet_s` after its tills were done (virtual
    # ground): "connections", "connecting", "tasks", "timers", and the sizes of its tables by name, as
    # it prints them on SIGUSR1.
    held: dict[int, dict[str, int]] = field(default_factory=dict)
