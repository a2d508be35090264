"""Errors of the intent log."""

from __future__ import annotations


class IntentLogError(Exception):
    """Base of the intent log's errors; the text is one line and holds no member's data."""


class RecordError(IntentLogError, ValueError):
    """A record that can't be read or changed as asked."""


class UnreadableRecordError(RecordError):
    """Stored bytes that are damaged, or that a later version has written."""


class InvalidTransitionError(RecordError):
    """A change that the table of recovery points or the record's history forbids."""


class EncryptionError(IntentLogError):
    """A key file that can't be used, or a payload that can't be opened."""
