"""The newest committed state and the last commands before it, for updates that contain only changes.

Proxies receive neither the state of the duties nor their commands, only the sequence number.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from coveport.serving.wire.messages import StateChange

MAX_CHANGES: Final = 64  # a proxy that lacks more changes receives the complete state


class StateHistory:
    """Owns the encoded state and its last changes; advanced by the replica's effects."""

    def __init__(self) -> None:
        self.sequence = -1
        self.encoded_state = b""
        self._changes: deque[StateChange | None] = deque(
            maxlen=MAX_CHANGES
        )  # None: a change of only the duties

    def advance(self, sequence: int, encoded_state: bytes, command: bytes | None) -> None:
        """Record a newer committed state.

        `command` turned the previous state into this state; None where the command isn't known, as after a
        snapshot.
        """
        if command is None or not self.is_next(sequence):
            self._changes.clear()
        else:
            self._changes.append(StateChange(sequence, command))
        self.sequence = sequence
        self.encoded_state = encoded_state

    def is_next(self, sequence: int) -> bool:
        """Return whether `sequence` directly follows the sequence number of the newest state."""
        return sequence == self.sequence + 1

    def advance_duties(self) -> None:
        """Record a new committed state that differs from the previous state in the duties alone."""
        self._changes.append(None)
        self.sequence += 1

    def changes_since(self, sequence: int) -> tuple[StateChange, ...] | None:
        """Return the changes since the state of `sequence`; None where the complete state is needed."""
        if sequence >= self.sequence:
            return ()
        missing = self.sequence - sequence
        if sequence < 0 or missing > len(self._changes):
            return None
        return tuple(change for change in list(self._changes)[-missing:] if change is not None)
