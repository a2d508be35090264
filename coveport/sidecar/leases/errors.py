"""Errors of the lease stores."""

from __future__ import annotations


class LeaseStoreError(Exception):
    """Base of the errors that a lease store raises."""


class StoreError(LeaseStoreError):
    """The store can't be used, for example because its file is of another kind or a later version.

    The message is a single line.
    """


class WatchLostError(LeaseStoreError):
    """A watch can't continue from its revision; the caller must read all keys again."""
