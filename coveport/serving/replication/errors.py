"""Errors of the replication core."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base of all errors of this package."""


class UnreadableStateError(ReplicationError):
    """Bytes that hold no state, or not the one that was encoded."""


class InconsistentRecordsError(ReplicationError, ValueError):
    """Records of a disk that don't follow from each other."""


class DivergedStateError(ReplicationError, ValueError):
    """A command that was applied elsewhere is refused here: the state machine isn't deterministic."""
