"""What the runner of the duties asks of each duty: commands to commit first, then calls to the platform.

The runner (`coordinator/duty_runner.py`) holds the lease and does the I/O; a duty decides. It is asked only
while this coordinator holds the duties, with the newest committed state, several times a second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from coveport.serving.duties.commands import SingletonCommand
from coveport.serving.duties.state import SingletonState


class CallOutcome(Enum):
    """How a call to the platform ended."""

    ACCEPTED = "accepted"  # 2xx
    FENCED = "fenced"  # 409: another holder has used a higher fence
    THROTTLED = "throttled"  # 429: over the platform's rate
    REJECTED = "rejected"  # another 4xx: the same call would be rejected again
    UNKNOWN = "unknown"  # no answer, 5xx, or the connection broke: it may have been taken


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """One POST to the platform; the runner adds holder and fence."""

    path: str
    body: bytes  # JSON; a call that is repeated has the same bytes


class SingletonTask(Protocol):
    """One kind of call."""

    def take_over(self, state: SingletonState, now_s: float) -> None:
        """Begin to hold the duty, with the state that the holder before left."""

    def next_command(self, state: SingletonState, fence: int, now_s: float) -> SingletonCommand | None:
        """Return what must be committed before any further call; None: nothing now."""

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        """Return the call to make now; None: nothing is due, or a pause lasts. One at a time is under way."""

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        """Take note of how the call that `next_call` returned last ended."""
