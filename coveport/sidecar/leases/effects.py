"""Effects that `LeaseState` returns, and that its client carries out in order.

The module is pure: it does no I/O, and uses no clock or random source of its own.

Each `StoreCall` has a number; its outcome is passed to `LeaseState.handle_outcome` with this number.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Request a new lease from the store."""

    call: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease for another time to live."""

    call: int
    lease: int


@dataclass(frozen=True, slots=True)
class RegisterInstance:
    """Create this instance's key under the lease, if no other process is registered under the name."""

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
    """Delete the role's key, if the key still has this fencing token."""

    call: int
    role: str
    token: int


@dataclass(frozen=True, slots=True)
class ReadRoles:
    """Read the keys of all roles; they are passed to `handle_role_key` before the outcome is handled."""

    call: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke the lease as best effort: the outcome is ignored."""

    lease: int


@dataclass(frozen=True, slots=True)
class RoleAcquired:
    """Report that the instance now holds the role, under this fencing token."""

    role: str
    token: int


@dataclass(frozen=True, slots=True)
class RoleLost:
    """Report that the instance no longer holds the role."""

    role: str
    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log."""

    event: str
    detail: str = ""


StoreCall = GrantLease | RenewLease | RegisterInstance | AcquireRole | ReleaseRole | ReadRoles
Effect = StoreCall | RevokeLease | RoleAcquired | RoleLost | LogEvent
