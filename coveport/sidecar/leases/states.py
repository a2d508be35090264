"""The named states of a session and of a duty, as one instance sees them, and how each may follow. Pure."""

from __future__ import annotations

from enum import Enum


class SessionState(Enum):
    """Where an instance stands with the store."""

    DISCONNECTED = "out"
    REQUESTING_LEASE = "asking"  # for a lease
    REGISTERING = "arriving"  # its name is being written down
    ACTIVE = "in"
    EXPIRING = "wary"  # nothing new is begun
    CLOSED = "left"
    STORE_RESET = "estranged"  # the store went back in time, or is another one


class RoleState(Enum):
    """Where an instance stands with a duty."""

    IDLE = "idle"  # somebody else's, or nobody knows
    WAITING = "waiting"  # nobody's; we come after a wait
    ACQUIRING = "claiming"
    UNCERTAIN = "unsure"  # our claim had no answer: it may be ours
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
FINAL_SESSION_STATES = frozenset(
    {SessionState.CLOSED, SessionState.STORE_RESET}
)  # reached from anywhere else
ROLE_TRANSITIONS: dict[RoleState, frozenset[RoleState]] = {
    RoleState.IDLE: frozenset({RoleState.WAITING, RoleState.HELD}),
    RoleState.WAITING: frozenset({RoleState.IDLE, RoleState.ACQUIRING, RoleState.HELD}),
    RoleState.ACQUIRING: frozenset({RoleState.HELD, RoleState.IDLE, RoleState.UNCERTAIN}),
    RoleState.UNCERTAIN: frozenset({RoleState.HELD, RoleState.IDLE, RoleState.WAITING}),
    RoleState.HELD: frozenset({RoleState.RELEASING, RoleState.IDLE}),
    RoleState.RELEASING: frozenset({RoleState.IDLE, RoleState.RELEASING}),
}
