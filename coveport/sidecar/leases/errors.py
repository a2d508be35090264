"""Errors of the lease stores."""

from __future__ import annotations


class LeaseStoreError(Exception):
    """Base of the errors that a lease store raises."""


class StoreError(LeaseStoreError):
    """The store can't be used at all: not its file, or written by a later version. Its text is one line."""


class WatchLostError(LeaseStoreError):
    """A watch can't continue from its revision; the caller must read everything again."""
