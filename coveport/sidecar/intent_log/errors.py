"""Errors of the intent log."""

from __future__ import annotations


class IntentLogError(Exception):
    """Base of the intent log's errors; the text is one line and contains no member's data."""


class RecordError(IntentLogError, ValueError):
    """A record that can't be read, or can't be changed as requested."""


class UnreadableRecordError(RecordError):
    """Stored bytes that are damaged or were written by a later version."""


class InvalidTransitionError(RecordError):
    """A change that the table of recovery points or the record's history forbids."""


class EncryptionError(IntentLogError):
    """A key file that can't be used, or a payload that can't be decrypted."""
