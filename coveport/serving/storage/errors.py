"""Errors of the durable storage."""

from __future__ import annotations


class StorageError(Exception):
    """Base of all errors of this package."""


class UnsupportedFormatError(StorageError):
    """The files were written by a newer version of this program."""


class CorruptedRecordsError(StorageError):
    """Synced records are unreadable although later records are readable: the disk lost data."""


class DirectoryLockedError(StorageError, OSError):
    """Another process has locked the directory."""
