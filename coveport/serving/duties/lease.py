"""The lease of the singleton tasks: when this run of a coordinator may act, and the run's next step. No I/O.

All times are on this process' monotonic clock. `L` is the length of the lease, `M` its margin, a part of `L`.

1. A primary whose view became active at `a` does not acquire the lease before `a + L + M`, unless the lease
   never had an owner. An acquisition raises the replicated fencing token by one, from the value read.
2. A confirmation is a linearizable read: a majority answers, after the request at `t`, that it has promised
   no higher epoch. If the state read names this run as the owner, the lease is valid until `t + L - M`.
3. A call begins only while the lease is valid, and is cancelled when the lease ends.

Two owners never act at the same time. Let A have requested its last confirmation at `t`, and let B's view
become active at `a`. The majority that confirmed A shares a member with the majority that promised B's epoch,
and this member confirmed first: `t < a`. A's last act is before `t + L - M`, thus before `a + L - M`; B's
first act is after `a + L + M`. The `2 * M` between them allow for clock drift, and for a call in flight.

A, B and A again never act within `L`: A acquires the lease again only in a view that became active after B's
last confirmation, which B requested before its last act, and not before `L + M` after that.

A process that is frozen after its check may send a call when it resumes. Either the call has a lower fencing
token than another owner's, and the platform refuses it, or no other owner has acted meanwhile.

A fencing token that is acquired in one view and first confirmed in a later view (the command was carried over
to the later view) counts as acquired in the later view: the previous owner may have confirmed in a view
between the two.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from coveport.serving.duties.state import NO_FENCING_TOKEN, LeaseOwner, SingletonState

MARGIN_RATIO: Final = 0.1  # part of the lease length: with a length of 3 s, two owners are 0.6 s apart
# Time between confirmations, as a part of the lease length: several confirmations may fail during a lease.
RENEWAL_RATIO: Final = 0.25
NEVER_S: Final = float("-inf")
FIRST_FENCING_TOKEN: Final = NO_FENCING_TOKEN + 1  # the owner with this token has no predecessor


class LeasePhase(Enum):
    """Phase of a coordinator in acquiring and holding the lease."""

    FOLLOWER = "follower"  # not the active primary
    WAITING = "waiting"  # the primary; the previous owner's lease may be valid
    ACQUIRING = "acquiring"  # the primary; no lease is valid
    HOLDING = "holding"


class LeaseStep(Enum):
    """The next step of the lease manager."""

    WAIT = "wait"
    CONFIRM = "confirm"  # a linearizable read
    ACQUIRE = "acquire"  # submit `AcquireDuties`


@dataclass(frozen=True, slots=True)
class SingletonLease:
    """The lease as this run knows it; immutable: each input returns the lease after the input."""

    own_identity: LeaseOwner
    length_s: float
    leading_since_s: float | None = None  # None: not the active primary
    requested_at_s: float = NEVER_S  # when the newest confirmation was requested
    invalid_before_s: float = NEVER_S  # confirmations that were requested earlier do not count
    # The state that the newest confirmation has read; None: no confirmation is valid.
    confirmed_state: SingletonState | None = None
    held_token: int = NO_FENCING_TOKEN  # the newest token with which this run was the owner
    acts_from_s: float = NEVER_S  # when this run may begin to act with `held_token`
    valid_until_s: float = NEVER_S
    rejected_token: int = NO_FENCING_TOKEN  # highest refused token; no token up to this is used
    # No acquisition before this time; a refused token sets it to one lease length after the refusal.
    may_acquire_from_s: float = NEVER_S

    @property
    def margin_s(self) -> float:
        """The margin for clock drift and for a call in flight."""
        return MARGIN_RATIO * self.length_s

    # -- inputs --

    def start_leading(self, now_s: float) -> SingletonLease:
        """Start as the primary of a view that has just become active."""
        return replace(
            self, leading_since_s=now_s, confirmed_state=None, requested_at_s=NEVER_S, valid_until_s=NEVER_S
        ).invalidate(now_s)

    def stop_leading(self) -> SingletonLease:
        """Stop as the primary, since another coordinator leads or may lead."""
        return replace(self, leading_since_s=None, confirmed_state=None, valid_until_s=NEVER_S)

    def invalidate(self, now_s: float) -> SingletonLease:
        """Invalidate all confirmations so far, as after a stall; a new confirmation is needed."""
        return replace(
            self, confirmed_state=None, requested_at_s=NEVER_S, invalid_before_s=now_s, valid_until_s=NEVER_S
        )

    def record_request(self, now_s: float) -> SingletonLease:
        """Record that a confirmation is requested now."""
        return replace(self, requested_at_s=now_s)

    def confirm(self, requested_at_s: float, state: SingletonState) -> SingletonLease:
        """Process a confirmed read that was requested at `requested_at_s`."""
        if self.leading_since_s is None or requested_at_s < self.invalid_before_s:
            return self
        confirmed = replace(self, confirmed_state=state)
        if not confirmed._is_owner(state):
            return replace(confirmed, valid_until_s=NEVER_S)
        if state.fencing_token != self.held_token:
            confirmed = replace(
                confirmed, held_token=state.fencing_token, acts_from_s=confirmed._may_acquire_from_s(state)
            )
        return replace(confirmed, valid_until_s=requested_at_s + self.length_s - self.margin_s)

    def record_acquisition_end(self) -> SingletonLease:
        """Record that an acquisition has ended; its outcome is found by the next confirmation."""
        return replace(self, confirmed_state=None, requested_at_s=NEVER_S)

    def reject_token(self, fencing_token: int, now_s: float) -> SingletonLease:
        """Give up a fencing token permanently, as the platform has refused it."""
        if fencing_token <= self.rejected_token:
            return self
        return replace(
            self,
            confirmed_state=None,
            requested_at_s=NEVER_S,
            rejected_token=fencing_token,
            valid_until_s=NEVER_S,
            may_acquire_from_s=now_s + self.length_s,
        )

    # -- outputs --

    def may_act(self, now_s: float) -> bool:
        """Return whether a call may begin now."""
        return self.leading_since_s is not None and self.acts_from_s <= now_s < self.valid_until_s

    def left_s(self, now_s: float) -> float:
        """Return for how many seconds from now a call may continue."""
        return self.valid_until_s - now_s if self.may_act(now_s) else 0.0

    def next_step(self, now_s: float) -> LeaseStep:
        """Return the step to take now."""
        if self.leading_since_s is None:
            return LeaseStep.WAIT
        if self.confirmed_state is not None and not self._is_owner(self.confirmed_state):
            return (
                LeaseStep.ACQUIRE
                if now_s >= self._may_acquire_from_s(self.confirmed_state)
                else LeaseStep.WAIT
            )
        is_due = now_s - self.requested_at_s >= RENEWAL_RATIO * self.length_s
        return LeaseStep.CONFIRM if is_due else LeaseStep.WAIT

    def phase(self, now_s: float) -> LeasePhase:
        """Return the current phase, for the status call."""
        if self.leading_since_s is None:
            return LeasePhase.FOLLOWER
        if self.may_act(now_s):
            return LeasePhase.HOLDING
        return LeasePhase.ACQUIRING if self.next_step(now_s) is LeaseStep.ACQUIRE else LeasePhase.WAITING

    def _is_owner(self, state: SingletonState) -> bool:
        return state.owner == self.own_identity and state.fencing_token > self.rejected_token

    def _may_acquire_from_s(self, state: SingletonState) -> float:
        """Return the time from which no other lease can be valid, according to the state read."""
        has_predecessor = (
            state.owner not in (None, self.own_identity) or state.fencing_token > FIRST_FENCING_TOKEN
        )
        if not has_predecessor or self.leading_since_s is None:
            return self.may_acquire_from_s
        return max(self.may_acquire_from_s, self.leading_since_s + self.length_s + self.margin_s)
