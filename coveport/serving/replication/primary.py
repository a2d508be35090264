"""The active primary: commands one at a time, answered when all replicas have synced them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from coveport.serving.replication.events import (
    Applied,
    Done,
    Newest,
    NotPrimary,
    Outcome,
    OutcomeUnknown,
    Refused,
)
from coveport.serving.replication.identity import MemberId, View, is_majority
from coveport.serving.replication.messages import (
    Append,
    Appended,
    CatchUpCommands,
    Committed,
    Confirm,
    Confirmed,
)
from coveport.serving.replication.replica_context import ReplicaContext

ROUNDS_AT_ONCE = 2  # rounds of confirmation on their way
BYTES_A_SECOND = 10e6  # at which a command is surely sent and synced


@dataclass(frozen=True, slots=True)
class Waiting:
    """A command that isn't started."""

    request: int
    command: bytes


@dataclass(slots=True)
class InFlight:
    """The one command that is on its way to the replicas."""

    request: int
    sequence: int
    command: bytes
    state: Any
    result: Any
    since_s: float
    sent_at_s: float
    appended: set[MemberId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """An answer that holds if nobody promised a higher epoch: a command's refusal, or the newest state."""

    request: int
    command: bytes | None = None
    refusal: Refused | None = None


@dataclass(slots=True)
class Round:
    """One round of confirmation."""

    number: int
    since_s: float
    sent_at_s: float
    waiting: list[Unconfirmed]
    confirmed: set[MemberId] = field(default_factory=set)


class Primary:
    """Lives as long as its view is the newest promised here."""

    def __init__(self, context: ReplicaContext, view: View) -> None:
        self.view = view
        self.is_paused = False  # while it brings its own next view up
        self.is_closing = False  # starts nothing new, for another is about to take over
        self._context = context
        self._queue: deque[Waiting] = deque()
        self._in_flight: InFlight | None = None
        self._unconfirmed: list[Unconfirmed] = []
        self._rounds: list[Round] = []
        self._last_round = 0

    # -- beginning and end --

    def begin(self, now_s: float, before: Primary | None, kept_own_state: bool) -> None:
        """The view is active: what its state holds is committed.

        With `kept_own_state` that includes the command that was in flight under the view `before`.
        """
        context = self._context
        sequence = context.acceptor.durable.sequence
        in_flight = before._in_flight if before else None
        command = in_flight.command if in_flight and kept_own_state else None
        context.committed_log.became(sequence, context.acceptor.state, command)
        self._tell_committed(now_s)
        self._teach_those_without_state(now_s)
        if before is None:
            return
        self._take_waiting(before)
        if in_flight is not None:
            taken = command is not None
            context.outbox.answer(in_flight.request, Done(in_flight.result) if taken else OutcomeUnknown())

    def _take_waiting(self, before: Primary) -> None:
        """Take over what waits. A refusal under the view before may not hold under this one."""
        self._queue = before._queue
        for item in before._all_unconfirmed():
            if item.command is None:
                self._unconfirmed.append(item)
            else:
                self._queue.append(Waiting(item.request, item.command))

    def _all_unconfirmed(self) -> list[Unconfirmed]:
        return self._unconfirmed + [item for round_ in self._rounds for item in round_.waiting]

    def end(self, primary_address: str | None) -> None:
        """Another leads or may lead: answer all that wait."""
        answer = self._context.outbox.answer
        if self._in_flight is not None:
            answer(self._in_flight.request, OutcomeUnknown())
        for waiting in self._queue:
            answer(waiting.request, NotPrimary(primary_address))
        for item in self._all_unconfirmed():
            answer(item.request, NotPrimary(primary_address))
        self._in_flight = None
        self._queue = deque()
        self._unconfirmed = []
        self._rounds = []

    # -- commands --

    def submit(self, request: int, command: bytes) -> None:
        """Queue a command."""
        self._queue.append(Waiting(request, command))

    def read(self, request: int) -> None:
        """Queue a read of the newest."""
        self._unconfirmed.append(Unconfirmed(request))

    def withdraw(self, request: int) -> None:
        """Nobody waits for a call any more: run it only if that has begun.

        A caller that got no answer sends the same again elsewhere; this copy must not take effect much later.
        """
        self._queue = deque(waiting for waiting in self._queue if waiting.request != request)
        self._unconfirmed = [item for item in self._unconfirmed if item.request != request]
        for round_ in self._rounds:
            round_.waiting = [item for item in round_.waiting if item.request != request]

    def advance(self, now_s: float) -> None:
        """Start what can be started."""
        if self.is_paused or self.is_closing:
            return
        while self._in_flight is None and self._queue:
            self._start(self._queue.popleft(), now_s)
        if self._unconfirmed and len(self._rounds) < ROUNDS_AT_ONCE:
            self._start_round(now_s)

    def _start(self, waiting: Waiting, now_s: float) -> None:
        acceptor = self._context.acceptor
        applied = self._context.acceptor.try_command(waiting.command)
        if not isinstance(applied, Applied):
            self._unconfirmed.append(Unconfirmed(waiting.request, waiting.command, applied))
            return
        sequence = acceptor.durable.sequence + 1
        self._in_flight = InFlight(
            waiting.request, sequence, waiting.command, applied.state, applied.result, now_s, now_s
        )
        acceptor.foresee(self.view.epoch, sequence, applied.state)
        self._send_append(now_s)

    def _send_append(self, now_s: float) -> None:
        in_flight = self._in_flight
        if in_flight is None:
            return
        in_flight.sent_at_s = now_s
        message = Append(
            self.view.epoch, in_flight.sequence, in_flight.command, self._context.committed_log.sequence
        )
        for member in self.view.replicas:
            if member not in in_flight.appended:
                self._context.send(member, message)

    def appended(self, now_s: float, sender: MemberId, message: Appended) -> None:
        """A replica has synced a command."""
        in_flight = self._in_flight
        if in_flight is None or message.epoch != self.view.epoch or message.sequence != in_flight.sequence:
            return
        in_flight.appended.add(sender)
        if not in_flight.appended.issuperset(self.view.replicas):
            return
        self._in_flight = None
        self._context.committed_log.became(in_flight.sequence, in_flight.state, in_flight.command)
        self._context.outbox.answer(in_flight.request, Done(in_flight.result))
        self._tell_committed(now_s)

    def _tell_committed(self, now_s: float) -> None:
        context = self._context
        committed = Committed(self.view.epoch, context.committed_log.sequence)
        for member in self.view.replicas[1:]:
            context.send(member, committed)
        replica_addresses = {member.address for member in self.view.replicas}
        for peer in context.peers.alive(now_s):
            if peer.address in replica_addresses:
                continue
            known = peer.ping.committed if peer.ping else -1
            lesson = context.committed_log.lesson(
                max(known, context.committed_log.sequence - 1) if known >= 0 else -1
            )
            if isinstance(lesson, CatchUpCommands):
                context.outbox.send(peer.address, lesson)

    def _teach_those_without_state(self, now_s: float) -> None:
        """Send the whole state to coordinators that just started: their proxies serve nothing without it."""
        context = self._context
        for peer in context.peers.alive(now_s):
            is_replica = peer.identity in self.view.replicas
            if is_replica or peer.ping is None or peer.ping.committed >= 0:
                continue
            if context.committed_log.teach(now_s, peer, peer.ping.committed):
                peer.served_at_s = now_s

    # -- confirmation --

    def _start_round(self, now_s: float) -> None:
        self._last_round += 1
        self._rounds.append(Round(self._last_round, now_s, now_s, self._unconfirmed))
        self._unconfirmed = []
        for member in self.view.members:
            self._context.send(member, Confirm(self.view.epoch, self._last_round))

    def confirmed(self, sender: MemberId, message: Confirmed) -> None:
        """A member promised nothing higher."""
        if message.epoch != self.view.epoch:
            return
        for round_ in self._rounds:
            if round_.number == message.number:
                round_.confirmed.add(sender)
        for round_ in [item for item in self._rounds if is_majority(item.confirmed, self.view.members)]:
            self._rounds.remove(round_)
            for item in round_.waiting:
                self._context.outbox.answer(item.request, self._confirmed_outcome(item))

    def _confirmed_outcome(self, item: Unconfirmed) -> Outcome:
        if item.refusal is not None:
            return item.refusal
        return Newest(self._context.committed_log.sequence, self._context.committed_log.state)

    # -- time --

    def tick(self, now_s: float) -> None:
        """Repeat what wasn't answered; give up on rounds that got no majority."""
        in_flight = self._in_flight
        resend_s = self._context.timings.resend_s
        if in_flight is not None:
            wait_s = resend_s + len(in_flight.command) / BYTES_A_SECOND
            if now_s - in_flight.sent_at_s >= wait_s:
                self._send_append(now_s)
        for round_ in list(self._rounds):
            if now_s - round_.since_s >= self._context.timings.confirm_s:
                self._rounds.remove(round_)
                for item in round_.waiting:
                    self._context.outbox.answer(item.request, NotPrimary(None))
            elif now_s - round_.sent_at_s >= resend_s:
                round_.sent_at_s = now_s
                for member in self.view.members:
                    if member not in round_.confirmed:
                        self._context.send(member, Confirm(self.view.epoch, round_.number))

    def slow_replicas(self, now_s: float) -> set[MemberId]:
        """Backups that have owed the command in flight for too long."""
        in_flight = self._in_flight
        if in_flight is None:
            return set()
        patience_s = self._context.timings.suspect_s + len(in_flight.command) / BYTES_A_SECOND
        if now_s - in_flight.since_s < patience_s:
            return set()
        return set(self.view.replicas) - in_flight.appended - {self._context.own_id}

    def slept(self, now_s: float) -> None:
        """The process stood still: nobody else is to blame for the time."""
        if self._in_flight is not None:
            self._in_flight.since_s = now_s

    @property
    def is_idle(self) -> bool:
        """Whether no command is on its way."""
        return self._in_flight is None
