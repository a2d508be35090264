"""The lease of a holder of the duties: when this run of a coordinator may act, and what it does next. Pure.

All times are of this process' monotonic clock. `L` is the length of the lease, `M` the margin, a part of it.

1. A primary whose view became active at `a` acquires nothing before `a + L + M`, unless nobody ever held the
   duties. Acquiring raises the replicated fence by one, from the fence that was read.
2. A confirmation is a linearizable read: a majority that is asked after `t` answers that it promised nothing
   higher. One that names this run as the holder makes the lease valid until `t + L - M`.
3. A call begins only while the lease is valid, and is given up when it no longer is.

No two holders act at a time: let A have asked for its last confirmation at `t`, and B's view be active at
`a`. The majority that confirmed A shares a member with the one that promised B's epoch, and that member
confirmed first: `t < a`. A's last act is before `t + L - M`, so before `a + L - M`; B's first is after
`a + L + M`. Between them lie `2 * M` for drift of the clocks, and for a call that is under way.

Nobody acts, then another, then the first again, within `L`: A acquires anew only in a view that became active
after B's last confirmation, which B asked for before its last act, and not before `L + M` after that.

What a frozen process had checked before the freeze may go out after it: then under a fence that is lower than
another's, which the platform refuses, or nobody else has acted in between.

A fence that was acquired in one view and is first confirmed in a later one (the command went on from view to
view) counts as acquired in the later one: the holder before may have confirmed in a view between them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from coveport.serving.duties.state import NO_FENCING_TOKEN, LeaseOwner, SingletonState

MARGIN_RATIO: Final = 0.1  # of the lease: at 3 s two holders are 0.6 s apart
RENEWAL_RATIO: Final = 0.25  # of the lease, between two confirmations: several may fail before it ends
NEVER_S: Final = float("-inf")
FIRST_FENCING_TOKEN: Final = NO_FENCING_TOKEN + 1  # its holder has no predecessor


class LeasePhase(Enum):
    """What a coordinator is to the duties."""

    FOLLOWER = "follower"  # not the active primary
    WAITING = "waiting"  # the primary; a lease of the holder before may be valid
    ACQUIRING = "acquiring"  # the primary; nobody's lease is valid
    HOLDING = "holding"


class LeaseStep(Enum):
    """What the runner does next."""

    WAIT = "wait"
    CONFIRM = "confirm"  # a linearizable read
    ACQUIRE = "acquire"  # submit `AcquireDuties`


@dataclass(frozen=True, slots=True)
class SingletonLease:
    """The lease as this run sees it; each input returns the lease after it."""

    own_identity: LeaseOwner
    length_s: float
    leading_since_s: float | None = None  # None: not the active primary
    requested_at_s: float = NEVER_S  # when the newest confirmation was asked for
    invalid_before_s: float = NEVER_S  # confirmations that were asked for before don't count
    confirmed_state: SingletonState | None = None  # read by the newest confirmation; None: none counts
    held_token: int = NO_FENCING_TOKEN  # the newest fence under which this run has held the duties
    acts_from_s: float = NEVER_S  # under that fence
    valid_until_s: float = NEVER_S
    rejected_token: int = NO_FENCING_TOKEN  # that the platform refused; no lower one is used any more either
    may_acquire_from_s: float = NEVER_S  # after a refusal

    @property
    def margin_s(self) -> float:
        """For drift of the clocks, and a call that is under way."""
        return MARGIN_RATIO * self.length_s

    # -- inputs --

    def start_leading(self, now_s: float) -> SingletonLease:
        """Begin as the primary of a view that became active just now, or a little before."""
        return replace(
            self, leading_since_s=now_s, confirmed_state=None, requested_at_s=NEVER_S, valid_until_s=NEVER_S
        ).invalidate(now_s)

    def stop_leading(self) -> SingletonLease:
        """End as the primary: another leads, or may lead."""
        return replace(self, leading_since_s=None, confirmed_state=None, valid_until_s=NEVER_S)

    def invalidate(self, now_s: float) -> SingletonLease:
        """Trust nothing from before, as after a stall, until it is confirmed anew."""
        return replace(
            self, confirmed_state=None, requested_at_s=NEVER_S, invalid_before_s=now_s, valid_until_s=NEVER_S
        )

    def record_request(self, now_s: float) -> SingletonLease:
        """Note that a confirmation is asked for now."""
        return replace(self, requested_at_s=now_s)

    def confirm(self, requested_at_s: float, state: SingletonState) -> SingletonLease:
        """Take a confirmed read that was asked for at that time."""
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
        """Note that an acquisition has ended, whatever its outcome: it has to be confirmed."""
        return replace(self, confirmed_state=None, requested_at_s=NEVER_S)

    def reject_token(self, fencing_token: int, now_s: float) -> SingletonLease:
        """Lay a fence down that the platform has refused, for good."""
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
        """Whether a call may begin now."""
        return self.leading_since_s is not None and self.acts_from_s <= now_s < self.valid_until_s

    def left_s(self, now_s: float) -> float:
        """Return for how long a call may go on from now."""
        return self.valid_until_s - now_s if self.may_act(now_s) else 0.0

    def next_step(self, now_s: float) -> LeaseStep:
        """Return what to do now."""
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
        """Return what this coordinator is to the duties, for people."""
        if self.leading_since_s is None:
            return LeasePhase.FOLLOWER
        if self.may_act(now_s):
            return LeasePhase.HOLDING
        return LeasePhase.ACQUIRING if self.next_step(now_s) is LeaseStep.ACQUIRE else LeasePhase.WAITING

    def _is_owner(self, state: SingletonState) -> bool:
        return state.owner == self.own_identity and state.fencing_token > self.rejected_token

    def _may_acquire_from_s(self, state: SingletonState) -> float:
        """Return from when nobody else's lease can be valid, given what was read."""
        has_predecessor = (
            state.owner not in (None, self.own_identity) or state.fencing_token > FIRST_FENCING_TOKEN
        )
        if not has_predecessor or self.leading_since_s is None:
            return self.may_acquire_from_s
        return max(self.may_acquire_from_s, self.leading_since_s + self.length_s + self.margin_s)
