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

from coveport.serving.duties.state import NO_FENCE, DutyHolder, DutyState

MARGIN_RATIO: Final = 0.1  # of the lease: at 3 s two holders are 0.6 s apart
RENEWAL_RATIO: Final = 0.25  # of the lease, between two confirmations: several may fail before it ends
NEVER_S: Final = float("-inf")
FIRST_FENCE: Final = NO_FENCE + 1  # its holder has no predecessor


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
class DutyLease:
    """The lease as this run sees it; each input returns the lease after it."""

    own: DutyHolder
    length_s: float
    leading_since_s: float | None = None  # None: not the active primary
    asked_at_s: float = NEVER_S  # when the newest confirmation was asked for
    void_until_s: float = NEVER_S  # confirmations that were asked for before don't count
    read: DutyState | None = None  # as the newest confirmation gave it; None: to be confirmed first
    held_fence: int = NO_FENCE  # the newest fence under which this run has held the duties
    acts_from_s: float = NEVER_S  # under that fence
    valid_until_s: float = NEVER_S
    refused_fence: int = NO_FENCE  # that the platform refused; no lower one is used any more either
    acquires_from_s: float = NEVER_S  # after a refusal

    @property
    def margin_s(self) -> float:
        """For drift of the clocks, and a call that is under way."""
        return MARGIN_RATIO * self.length_s

    # -- inputs --

    def lead(self, now_s: float) -> DutyLease:
        """Begin as the primary of a view that became active just now, or a little before."""
        return replace(
            self, leading_since_s=now_s, read=None, asked_at_s=NEVER_S, valid_until_s=NEVER_S
        ).void(now_s)

    def lose(self) -> DutyLease:
        """End as the primary: another leads, or may lead."""
        return replace(self, leading_since_s=None, read=None, valid_until_s=NEVER_S)

    def void(self, now_s: float) -> DutyLease:
        """Trust nothing from before, as after a stall, until it is confirmed anew."""
        return replace(self, read=None, asked_at_s=NEVER_S, void_until_s=now_s, valid_until_s=NEVER_S)

    def ask(self, now_s: float) -> DutyLease:
        """Note that a confirmation is asked for now."""
        return replace(self, asked_at_s=now_s)

    def confirm(self, asked_at_s: float, state: DutyState) -> DutyLease:
        """Take a confirmed read that was asked for at that time."""
        if self.leading_since_s is None or asked_at_s < self.void_until_s:
            return self
        confirmed = replace(self, read=state)
        if not confirmed._is_holder(state):
            return replace(confirmed, valid_until_s=NEVER_S)
        if state.fence != self.held_fence:
            confirmed = replace(
                confirmed, held_fence=state.fence, acts_from_s=confirmed._acquires_from_s(state)
            )
        return replace(confirmed, valid_until_s=asked_at_s + self.length_s - self.margin_s)

    def acquired(self) -> DutyLease:
        """Note that an acquisition has ended, whatever its outcome: it has to be confirmed."""
        return replace(self, read=None, asked_at_s=NEVER_S)

    def refuse(self, fence: int, now_s: float) -> DutyLease:
        """Lay a fence down that the platform has refused, for good."""
        if fence <= self.refused_fence:
            return self
        return replace(
            self,
            read=None,
            asked_at_s=NEVER_S,
            refused_fence=fence,
            valid_until_s=NEVER_S,
            acquires_from_s=now_s + self.length_s,
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
        if self.read is not None and not self._is_holder(self.read):
            return LeaseStep.ACQUIRE if now_s >= self._acquires_from_s(self.read) else LeaseStep.WAIT
        is_due = now_s - self.asked_at_s >= RENEWAL_RATIO * self.length_s
        return LeaseStep.CONFIRM if is_due else LeaseStep.WAIT

    def phase(self, now_s: float) -> LeasePhase:
        """Return what this coordinator is to the duties, for people."""
        if self.leading_since_s is None:
            return LeasePhase.FOLLOWER
        if self.may_act(now_s):
            return LeasePhase.HOLDING
        return LeasePhase.ACQUIRING if self.next_step(now_s) is LeaseStep.ACQUIRE else LeasePhase.WAITING

    def _is_holder(self, state: DutyState) -> bool:
        return state.holder == self.own and state.fence > self.refused_fence

    def _acquires_from_s(self, state: DutyState) -> float:
        """Return from when nobody else's lease can be valid, given what was read."""
        has_predecessor = state.holder not in (None, self.own) or state.fence > FIRST_FENCE
        if not has_predecessor or self.leading_since_s is None:
            return self.acquires_from_s
        return max(self.acquires_from_s, self.leading_since_s + self.length_s + self.margin_s)
