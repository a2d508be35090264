"""The newest acknowledged state and the commands that led there, for updates that send differences.

Proxies get no state of the duties and none of its commands: they learn the sequence number alone.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from coveport.serving.wire.messages import StateChange

MAX_CHANGES: Final = 64  # a proxy that is further behind gets the complete state


class StateHistory:
    """Owned by a coordinator; advanced by its replica's effects."""

    def __init__(self) -> None:
        self.sequence = -1
        self.encoded_state = b""
        self._changes: deque[StateChange | None] = deque(maxlen=MAX_CHANGES)  # None: of the duties alone

    def advance(self, sequence: int, encoded_state: bytes, command: bytes | None) -> None:
        """Record a newer committed state.

        `command` led there from the state before; None where that isn't known, as after a snapshot.
        """
        if command is None or not self.is_next(sequence):
            self._changes.clear()
        else:
            self._changes.append(StateChange(sequence, command))
        self.sequence = sequence
        self.encoded_state = encoded_state

    def is_next(self, sequence: int) -> bool:
        """Whether this is the sequence number after the newest state's."""
        return sequence == self.sequence + 1

    def advance_duties(self) -> None:
        """Record the next committed state, which differs from the one before in the duties alone."""
        self._changes.append(None)
        self.sequence += 1

    def changes_since(self, sequence: int) -> tuple[StateChange, ...] | None:
        """Return what led from that state to the newest one; None where the complete state is needed."""
        if sequence >= self.sequence:
            return ()
        lacking = self.sequence - sequence
        if sequence < 0 or lacking > len(self._changes):
            return None
        return tuple(change for change in list(self._changes)[-lacking:] if change is not None)
