"""Errors of the durable storage."""

from __future__ import annotations


class StorageError(Exception):
    """Base of all errors of this package."""


class UnsupportedFormatError(StorageError):
    """The files were written by a newer version of this program."""


class CorruptedRecordsError(StorageError):
    """Records that were synced can't be read any more, though later ones can: the disk lost data."""


class DirectoryLockedError(StorageError, OSError):
    """Another process has locked the directory."""
