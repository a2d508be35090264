"""The commands that a supervisor carries out on the processes of a host's instances."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Start:
    """Start a process for the instance `name`."""

    name: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Send SIGTERM to an incarnation, which then answers its pending requests and exits."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Kill:
    """Send SIGKILL to an incarnation."""

    name: str
    incarnation: str


Command = Start | Drain | Kill
