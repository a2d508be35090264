"""What one instance knows of one role, and its own part in it. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from coveport.sidecar.leases.states import ROLE_TRANSITIONS, RoleState

REST_TTLS = 2.0  # in times to live: how long an instance does not contend after it stepped down
MAX_REST_DOUBLINGS = 5  # the rest doubles each time that the instance steps down as unhealthy
PROVEN_TTLS = 10.0  # in times to live: a holding that lasted longer resets the doubling


@dataclass(slots=True)
class Role:
    """A role as this instance sees it. Times are s of the instance's own clock."""

    name: str
    state: RoleState = RoleState.IDLE
    token: int = 0  # fencing token, while held or being released
    call: int = 0  # number of the acquisition or release that is in flight
    acquire_at: float = inf  # while WAITING
    release_retry_at: float = inf  # while RELEASING, after a release whose outcome is unknown
    rest_until: float = -inf
    rest_count: int = 0  # rests in a row
    acquired_at: float = 0.0
    known_revision: int = 0  # of the store, up to which the role's key is known
    contending: bool = True  # False while staff, a drain or the operator's file keep the instance off it

    def set_state(self, to: RoleState) -> None:
        """Move to another state; AssertionError if there is no such transition."""
        if to not in ROLE_TRANSITIONS[self.state]:
            raise AssertionError(f"no transition of role {self.name} from {self.state} to {to}")
        if to is RoleState.IDLE:
            self.reset()
            return
        self.state = to
        self.acquire_at = inf
        self.release_retry_at = inf

    def reset(self) -> None:
        """Become IDLE from any state, as when the session ends."""
        self.state = RoleState.IDLE
        self.acquire_at = inf
        self.release_retry_at = inf
        self.token = 0
        self.call = 0

    def rest(self, now: float, ttl_s: float) -> None:
        """Keep off the role, longer each time: else two unhealthy instances would pass it to and fro."""
        if now - self.acquired_at > PROVEN_TTLS * ttl_s:
            self.rest_count = 0
        doublings = min(self.rest_count, MAX_REST_DOUBLINGS)
        self.rest_until = now + REST_TTLS * ttl_s * 2**doublings
        self.rest_count += 1
