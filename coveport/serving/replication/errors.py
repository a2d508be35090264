"""Errors of the replication core."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base of all errors of this package."""


class UnreadableStateError(ReplicationError):
    """The bytes of a state can't be decoded, or are corrupted."""


class InconsistentRecordsError(ReplicationError, ValueError):
    """A record on the disk doesn't follow from the records before it."""


class DivergedStateError(ReplicationError, ValueError):
    """A command that another replica applied is refused here: the state machine isn't deterministic."""
