"""States of a session and of a role at one instance, and the transitions between them.

The module is pure: it does no I/O, and uses no clock or random source of its own.

The values appear in trial reports and must not change.
"""

from __future__ import annotations

from enum import Enum


class SessionState(Enum):
    """State of an instance's session with the store: a lease, and the instance's key bound to the lease."""

    DISCONNECTED = "out"
    REQUESTING_LEASE = "asking"
    REGISTERING = "arriving"  # the instance's key is being created under the lease
    ACTIVE = "in"
    EXPIRING = "wary"  # the session was not renewed in time: no new work is started
    CLOSED = "left"
    STORE_RESET = "estranged"  # the store was wiped, restored or replaced


class RoleState(Enum):
    """State of a role at one instance."""

    IDLE = "idle"  # another instance holds the role, or its holder is unknown
    WAITING = "waiting"  # the role has no holder; the instance tries to acquire it after a random wait
    ACQUIRING = "claiming"
    UNCERTAIN = "unsure"  # the outcome of the acquisition is unknown: the instance may hold the role
    HELD = "held"
    RELEASING = "releasing"


SESSION_TRANSITIONS: dict[SessionState, frozenset[SessionState]] = {
    SessionState.DISCONNECTED: frozenset({SessionState.REQUESTING_LEASE}),
    SessionState.REQUESTING_LEASE: frozenset({SessionState.REGISTERING, SessionState.DISCONNECTED}),
    SessionState.REGISTERING: frozenset({SessionState.ACTIVE, SessionState.DISCONNECTED}),
    SessionState.ACTIVE: frozenset({SessionState.EXPIRING, SessionState.DISCONNECTED}),
    SessionState.EXPIRING: frozenset({SessionState.ACTIVE, SessionState.DISCONNECTED}),
    SessionState.CLOSED: frozenset(),
    SessionState.STORE_RESET: frozenset(),
}
# States that can be reached from every state that is not final.
FINAL_SESSION_STATES = frozenset({SessionState.CLOSED, SessionState.STORE_RESET})

ROLE_TRANSITIONS: dict[RoleState, frozenset[RoleState]] = {
    RoleState.IDLE: frozenset({RoleState.WAITING, RoleState.HELD}),
    RoleState.WAITING: frozenset({RoleState.IDLE, RoleState.ACQUIRING, RoleState.HELD}),
    RoleState.ACQUIRING: frozenset({RoleState.HELD, RoleState.IDLE, RoleState.UNCERTAIN}),
    RoleState.UNCERTAIN: frozenset({RoleState.HELD, RoleState.IDLE, RoleState.WAITING}),
    RoleState.HELD: frozenset({RoleState.RELEASING, RoleState.IDLE}),
    RoleState.RELEASING: frozenset({RoleState.IDLE, RoleState.RELEASING}),
}
