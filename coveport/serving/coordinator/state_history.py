"""The newest acknowledged state and the commands that led there, for updates that send differences."""

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
        self._changes: deque[StateChange] = deque(maxlen=MAX_CHANGES)

    def advance(self, sequence: int, encoded_state: bytes, command: bytes | None) -> None:
        """Record a newer committed state.

        `command` led there from the state before; None where that isn't known, as after a snapshot.
        """
        if command is None or sequence != self.sequence + 1:
            self._changes.clear()
        else:
            self._changes.append(StateChange(sequence, command))
        self.sequence = sequence
        self.encoded_state = encoded_state

    def changes_since(self, sequence: int) -> tuple[StateChange, ...] | None:
        """Return what led from that state to the newest one; None where the complete state is needed."""
        if sequence >= self.sequence:
            return ()
        changes = tuple(change for change in self._changes if change.sequence > sequence)
        is_gapless = len(changes) == self.sequence - sequence
        return changes if is_gapless and sequence >= 0 else None
