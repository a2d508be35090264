"""Effects that `LeaseState` asks its client for, in order. Pure.

Each `StoreCall` carries a number, by which `LeaseState.handle_outcome` takes its outcome.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask the store for a new lease."""

    call: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease for another time to live."""

    call: int
    lease: int


@dataclass(frozen=True, slots=True)
class RegisterInstance:
    """Create this instance's key under the lease, if no other process has the name."""

    call: int
    lease: int


@dataclass(frozen=True, slots=True)
class AcquireRole:
    """Create the role's key under the lease, if the role has no holder."""

    call: int
    role: str
    lease: int


@dataclass(frozen=True, slots=True)
class ReleaseRole:
    """Delete the role's key, if it is still the one with this fencing token."""

    call: int
    role: str
    token: int


@dataclass(frozen=True, slots=True)
class ReadRoles:
    """Read the keys of all roles; they come back by `handle_role_key` before the call's outcome."""

    call: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke the lease, best effort: nothing waits for the outcome."""

    lease: int


@dataclass(frozen=True, slots=True)
class RoleAcquired:
    """The instance holds the role from now on, under this fencing token."""

    role: str
    token: int


@dataclass(frozen=True, slots=True)
class RoleLost:
    """The instance does not hold the role any more."""

    role: str
    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a line to the log."""

    event: str
    detail: str = ""


StoreCall = GrantLease | RenewLease | RegisterInstance | AcquireRole | ReleaseRole | ReadRoles
Effect = StoreCall | RevokeLease | RoleAcquired | RoleLost | LogEvent
