"""What a holder has done, in order. Pure.

A call's answer comes back by `LeaseState.answered` with its number.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AskLease:
    """Ask for a lease."""

    call: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class KeepLease:
    """Renew."""

    call: int
    lease: int


@dataclass(frozen=True, slots=True)
class DropLease:
    """Revoke, as well as can be; nobody waits for it."""

    lease: int


@dataclass(frozen=True, slots=True)
class Arrive:
    """Write our name down under the lease, where it is nobody's."""

    call: int
    lease: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Create the duty's key under the lease, where there is none."""

    call: int
    duty: str
    lease: int


@dataclass(frozen=True, slots=True)
class Release:
    """Delete the duty's key, where it is the one of this token."""

    call: int
    duty: str
    token: int


@dataclass(frozen=True, slots=True)
class Look:
    """Read the duties' keys; they come back by `seen`, and `looked`."""

    call: int


@dataclass(frozen=True, slots=True)
class Began:
    """We hold a duty from here on."""

    duty: str
    token: int


@dataclass(frozen=True, slots=True)
class Ended:
    """We do not hold it any more."""

    duty: str
    token: int
    why: str


@dataclass(frozen=True, slots=True)
class Told:
    """A line for the log."""

    event: str
    detail: str = ""


Effect = AskLease | KeepLease | DropLease | Arrive | Claim | Release | Look | Began | Ended | Told
