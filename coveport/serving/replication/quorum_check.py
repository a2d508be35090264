"""Owns the answers that are delayed until a majority has confirmed that the primary still leads.

A refusal or a read depends on the newest state. So the primary answers such a call only after a check that
started after the call arrived, in which a majority of the members confirmed that they have promised no higher
epoch. Raft's ReadIndex works in the same way.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport.serving.replication.events import Newest, NotPrimary, Outcome
from coveport.serving.replication.identity import MemberId, View, is_majority
from coveport.serving.replication.messages import Confirm, Confirmed
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.state_machine import Refused

MAX_CHECKS_IN_FLIGHT = 2  # further answers wait and share the next check


@dataclass(frozen=True, slots=True)
class UnconfirmedAnswer:
    """A refusal or a read of the newest state, valid only if the primary still leads."""

    request: int
    command: bytes | None = None  # the refused command; None: the call is a read
    refusal: Refused | None = None


@dataclass(slots=True)
class QuorumCheck:
    """One round of Confirm messages to all members, and the answers that depend on it."""

    number: int
    started_at_s: float
    last_send_s: float
    answers: list[UnconfirmedAnswer]
    confirmed: set[MemberId] = field(default_factory=set)


class QuorumChecks:
    """The checks of one primary in one view."""

    def __init__(self, context: ReplicaContext, view: View) -> None:
        self._context = context
        self._view = view
        self._unchecked: list[UnconfirmedAnswer] = []  # answers that wait for the next check
        self._checks: list[QuorumCheck] = []
        self._last_number = 0

    def add(self, answer: UnconfirmedAnswer) -> None:
        """Delay an answer until a check that starts after this call has succeeded."""
        self._unchecked.append(answer)

    def cancel(self, request: int) -> None:
        """Remove the answer to a call whose caller has gone."""
        self._unchecked = [answer for answer in self._unchecked if answer.request != request]
        for check in self._checks:
            check.answers = [answer for answer in check.answers if answer.request != request]

    def take_all(self) -> list[UnconfirmedAnswer]:
        """Return and remove all answers."""
        answers = self._unchecked + [answer for check in self._checks for answer in check.answers]
        self._unchecked = []
        self._checks = []
        return answers

    def start_if_needed(self, now_s: float) -> None:
        """Start a check if there are unchecked answers and not too many checks in flight."""
        if not self._unchecked or len(self._checks) >= MAX_CHECKS_IN_FLIGHT:
            return
        self._last_number += 1
        self._checks.append(QuorumCheck(self._last_number, now_s, now_s, self._unchecked))
        self._unchecked = []
        for member in self._view.members:
            self._context.send(member, Confirm(self._view.epoch, self._last_number))

    def on_confirmed(self, sender: MemberId, message: Confirmed) -> None:
        """Count a confirmation; send the answers of each check that has a majority."""
        if message.epoch != self._view.epoch:
            return
        for check in self._checks:
            if check.number == message.number:
                check.confirmed.add(sender)
        succeeded = [check for check in self._checks if is_majority(check.confirmed, self._view.members)]
        for check in succeeded:
            self._checks.remove(check)
            for answer in check.answers:
                self._context.outbox.answer(answer.request, self.confirmed_outcome(answer))

    def confirmed_outcome(self, answer: UnconfirmedAnswer) -> Outcome:
        """Return the outcome for an answer whose check has succeeded."""
        if answer.refusal is not None:
            return answer.refusal
        return Newest(self._context.committed_log.sequence, self._context.committed_log.state)

    def tick(self, now_s: float) -> None:
        """Resend Confirm to members that didn't answer; give up checks without a majority in time."""
        timings = self._context.timings
        for check in list(self._checks):
            if now_s - check.started_at_s >= timings.confirmation_timeout_s:
                self._checks.remove(check)
                for answer in check.answers:
                    self._context.outbox.answer(answer.request, NotPrimary(None))
            elif now_s - check.last_send_s >= timings.resend_interval_s:
                check.last_send_s = now_s
                self._resend(check)

    def _resend(self, check: QuorumCheck) -> None:
        for member in self._view.members:
            if member not in check.confirmed:
                self._context.send(member, Confirm(self._view.epoch, check.number))
