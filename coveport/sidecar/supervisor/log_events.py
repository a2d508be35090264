"""Names of a supervisor's log events; `docs/fleet.md` explains each to operators."""

from __future__ import annotations

from typing import Protocol

FLEET_ACQUIRED = "fleet_acquired"
FLEET_RELEASED = "fleet_released"
INSTANCE_STARTED = "instance_started"
INSTANCE_DRAINING = "instance_draining"
INSTANCE_KILLED = "instance_killed"
INSTANCE_EXITED = "instance_exited"
INSTANCE_STATE_CHANGED = "instance_state_changed"
INSTANCE_BROKEN = "instance_broken"
DESIRED_STATE_CHANGED = "desired_state_changed"
SUPERVISOR_STALLED = "supervisor_stalled"
FILE_RELOADED = "file_reloaded"
SHUTDOWN_INCOMPLETE = "shutdown_incomplete"
LOG_ROTATED = "log_rotated"

ERROR_EVENTS = frozenset({INSTANCE_BROKEN, SUPERVISOR_STALLED})


class EventLog(Protocol):
    """A function that writes an event and its fields."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write a line."""
