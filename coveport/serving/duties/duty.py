"""Interface of a singleton task: its runner commits the task's commands, then calls the platform.

The runner (`coordinator/duty_runner.py`) has the lease and does the I/O; a task decides what to do. The
runner calls the task's methods only while this coordinator owns the lease, with the newest committed state,
several times a second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from coveport.serving.duties.commands import SingletonCommand
from coveport.serving.duties.state import SingletonState


class CallOutcome(Enum):
    """The outcome of a call to the platform."""

    ACCEPTED = "accepted"  # 2xx
    FENCED = "fenced"  # 409: the platform has seen a higher fencing token
    THROTTLED = "throttled"  # 429: above the platform's rate limit
    REJECTED = "rejected"  # another 4xx: a repeated call would be rejected too
    UNKNOWN = "unknown"  # no response, 5xx or a broken connection: the call may have been accepted


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """One POST to the platform; the runner adds the lease owner and the fencing token."""

    path: str
    body: bytes  # JSON; a repeated call has the same bytes


class SingletonTask(Protocol):
    """A task that one coordinator at a time performs; it makes one kind of call."""

    def take_over(self, state: SingletonState, now_s: float) -> None:
        """Start the task, with the state that the previous lease owner left."""

    def next_command(
        self, state: SingletonState, fencing_token: int, now_s: float
    ) -> SingletonCommand | None:
        """Return the command to commit before any further call; None where no command is needed now."""

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        """Return the call to make now; None if no call is due, or in a backoff. One call runs at a time."""

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        """Record the outcome of the call that `next_call` returned last."""
