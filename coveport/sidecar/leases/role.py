"""State of one singleton role at one instance.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from coveport.sidecar.leases.states import ROLE_TRANSITIONS, RoleState

REST_TTLS = 2.0  # in times to live: time without contention after stepping down
MAX_REST_DOUBLINGS = 5  # the rest doubles each time the instance steps down as unhealthy
REST_RESET_TTLS = 10.0  # in times to live: a role held for longer resets the doubling


@dataclass(slots=True)
class Role:
    """A role from the view of this instance. Times are in s of the instance's own clock."""

    name: str
    state: RoleState = RoleState.IDLE
    token: int = 0  # fencing token, while the role is held or being released
    call: int = 0  # number of the acquisition or release that is in flight
    acquire_at: float = inf  # when to try the acquisition, while WAITING
    release_retry_at: float = inf  # when to repeat a release with an unknown outcome, while RELEASING
    rest_until: float = -inf  # time before which the instance does not contend for the role
    rest_count: int = 0  # number of consecutive rests
    acquired_at: float = 0.0
    known_revision: int = 0  # store revision of the last known value of the role's key
    contending: bool = True  # False if an operator, a drain or the operator's file excludes the instance

    def set_state(self, next_state: RoleState) -> None:
        """Move to another state; raise AssertionError if there is no such transition."""
        if next_state not in ROLE_TRANSITIONS[self.state]:
            raise AssertionError(f"no transition of role {self.name} from {self.state} to {next_state}")
        if next_state is RoleState.IDLE:
            self.reset()
            return
        self.state = next_state
        self.acquire_at = inf
        self.release_retry_at = inf

    def reset(self) -> None:
        """Return to IDLE from any state, for example at the end of the session."""
        self.state = RoleState.IDLE
        self.acquire_at = inf
        self.release_retry_at = inf
        self.token = 0
        self.call = 0

    def rest(self, now: float, ttl_s: float) -> None:
        """Start a rest without contention.

        Consecutive rests grow up to a limit; without that, unhealthy instances would keep alternating.
        """
        if now - self.acquired_at > REST_RESET_TTLS * ttl_s:
            self.rest_count = 0
        doublings = min(self.rest_count, MAX_REST_DOUBLINGS)
        self.rest_until = now + REST_TTLS * ttl_s * 2**doublings
        self.rest_count += 1
