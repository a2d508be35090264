"""Errors of the supervisor and of the instances that it supervises."""

from __future__ import annotations

from pathlib import Path


class SupervisorError(Exception):
    """Base of this package's errors."""


class NameLockedError(SupervisorError):
    """Another process holds the lock of an instance's name."""

    def __init__(self, name: str, lock: Path) -> None:
        super().__init__(f"{name}: another process has this name ({lock})")
        self.name = name
        self.lock = lock


class SnapshotError(SupervisorError, ValueError):
    """A snapshot is missing or unusable; the message gives the reason in one line."""


class ControlError(SupervisorError, OSError):
    """The supervisor closed the control connection without a valid answer."""
