"""Owns the active primary's queue of commands.

The primary replicates one command at a time, and answers the command's caller after all replicas of the view
have synced the command.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from coveport.serving.replication.events import Done, NotPrimary, OutcomeUnknown
from coveport.serving.replication.identity import MemberId, View
from coveport.serving.replication.messages import Append, Appended, CatchUpCommands, Committed, Confirmed
from coveport.serving.replication.quorum_check import QuorumChecks, UnconfirmedAnswer
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.state_machine import Applied
from coveport.serving.replication.timings import transfer_s


@dataclass(frozen=True, slots=True)
class QueuedCommand:
    """A command whose replication hasn't started."""

    request: int
    command: bytes


@dataclass(slots=True)
class InFlightCommand:
    """The command that is being replicated."""

    request: int
    sequence: int
    command: bytes
    state: Any  # the state after the command
    result: Any  # the result for the caller
    started_at_s: float
    last_send_s: float
    appended: set[MemberId] = field(default_factory=set)  # replicas that have synced the command

    @property
    def transfer_s(self) -> float:
        """The longest time for sending and syncing the command's bytes, in seconds."""
        return transfer_s(len(self.command))


class Primary:
    """The primary role in one view, until this member promises a higher epoch to another candidate."""

    def __init__(self, context: ReplicaContext, view: View) -> None:
        self.view = view
        self.is_paused = False  # whether this primary runs a view change; meanwhile no call is started
        self.is_handing_over = False  # whether a backup is about to take over; meanwhile no call is started
        self._context = context
        self._queue: deque[QueuedCommand] = deque()
        self._in_flight: InFlightCommand | None = None
        self._quorum_checks = QuorumChecks(context, view)

    @property
    def is_idle(self) -> bool:
        """Whether no command is in flight."""
        return self._in_flight is None

    # -- begin and end --

    def begin(self, now_s: float, predecessor: Primary | None, continues_own_state: bool) -> None:
        """Commit the state of the view, which is active now, and take over the predecessor's calls.

        `predecessor` is this replica's primary role in the previous view. With `continues_own_state`, the
        state includes the command that the predecessor had in flight.
        """
        context = self._context
        sequence = context.acceptor.durable.sequence
        in_flight = predecessor._in_flight if predecessor else None
        command = in_flight.command if in_flight and continues_own_state else None
        context.committed_log.advance(sequence, context.acceptor.state, command)
        self._announce_committed(now_s)
        self._send_snapshots(now_s)
        if predecessor is None:
            return
        self._take_over_calls(predecessor)
        if in_flight is not None:
            is_done = command is not None
            outcome = Done(in_flight.result) if is_done else OutcomeUnknown()
            context.outbox.answer(in_flight.request, outcome)

    def _take_over_calls(self, predecessor: Primary) -> None:
        """Take over pending calls; rerun refused commands, since the new view's state may accept them."""
        self._queue = predecessor._queue
        for answer in predecessor._quorum_checks.take_all():
            if answer.command is None:
                self._quorum_checks.add(answer)
            else:
                self._queue.append(QueuedCommand(answer.request, answer.command))

    def end(self, primary_address: str | None) -> None:
        """Answer all pending calls, since another member leads or may lead."""
        answer = self._context.outbox.answer
        if self._in_flight is not None:
            answer(self._in_flight.request, OutcomeUnknown())
        for queued in self._queue:
            answer(queued.request, NotPrimary(primary_address))
        for unconfirmed in self._quorum_checks.take_all():
            answer(unconfirmed.request, NotPrimary(primary_address))
        self._in_flight = None
        self._queue = deque()

    # -- calls --

    def submit(self, request: int, command: bytes) -> None:
        """Queue a command."""
        self._queue.append(QueuedCommand(request, command))

    def read(self, request: int) -> None:
        """Queue a read of the newest state."""
        self._quorum_checks.add(UnconfirmedAnswer(request))

    def cancel(self, request: int) -> None:
        """Remove a call whose caller has gone, unless it has been started.

        A caller without an answer sends the same call to another coordinator; the first call must not take
        effect much later.
        """
        self._queue = deque(queued for queued in self._queue if queued.request != request)
        self._quorum_checks.cancel(request)

    def advance(self, now_s: float) -> None:
        """Start the next command and the next quorum check, where possible."""
        if self.is_paused or self.is_handing_over:
            return
        while self._in_flight is None and self._queue:
            self._start(self._queue.popleft(), now_s)
        self._quorum_checks.start_if_needed(now_s)

    # -- replication of a command --

    def _start(self, queued: QueuedCommand, now_s: float) -> None:
        acceptor = self._context.acceptor
        applied = acceptor.apply_tentatively(queued.command)
        if not isinstance(applied, Applied):
            self._quorum_checks.add(UnconfirmedAnswer(queued.request, queued.command, applied))
            return
        sequence = acceptor.durable.sequence + 1
        self._in_flight = InFlightCommand(
            request=queued.request,
            sequence=sequence,
            command=queued.command,
            state=applied.state,
            result=applied.result,
            started_at_s=now_s,
            last_send_s=now_s,
        )
        acceptor.precompute(self.view.epoch, sequence, applied.state)
        self._send_append(self._in_flight, now_s)

    def _send_append(self, in_flight: InFlightCommand, now_s: float) -> None:
        in_flight.last_send_s = now_s
        message = Append(
            self.view.epoch, in_flight.sequence, in_flight.command, self._context.committed_log.sequence
        )
        for member in self.view.replicas:
            if member not in in_flight.appended:
                self._context.send(member, message)

    def on_appended(self, now_s: float, sender: MemberId, message: Appended) -> None:
        """Count a replica that has synced the command in flight; commit when all replicas have."""
        in_flight = self._in_flight
        if in_flight is None or message.epoch != self.view.epoch or message.sequence != in_flight.sequence:
            return
        in_flight.appended.add(sender)
        if not in_flight.appended.issuperset(self.view.replicas):
            return
        self._in_flight = None
        self._context.committed_log.advance(in_flight.sequence, in_flight.state, in_flight.command)
        self._context.outbox.answer(in_flight.request, Done(in_flight.result))
        self._announce_committed(now_s)

    def on_confirmed(self, sender: MemberId, message: Confirmed) -> None:
        """Pass a confirmation that this primary still leads to the quorum checks."""
        self._quorum_checks.on_confirmed(sender, message)

    def _announce_committed(self, now_s: float) -> None:
        """Send the committed sequence to the backups, and the newest command to the other live peers."""
        context = self._context
        committed = Committed(self.view.epoch, context.committed_log.sequence)
        for member in self.view.replicas[1:]:
            context.send(member, committed)
        replica_addresses = {member.address for member in self.view.replicas}
        for peer in context.peers.alive(now_s):
            peer_sequence = peer.ping.committed if peer.ping else -1
            if peer.address in replica_addresses or peer_sequence < 0:
                continue
            message = context.committed_log.missing_after(
                max(peer_sequence, context.committed_log.sequence - 1)
            )
            if isinstance(message, CatchUpCommands):
                context.outbox.send(peer.address, message)

    def _send_snapshots(self, now_s: float) -> None:
        """Send the state to coordinators that just started: their proxies can't serve without a state."""
        context = self._context
        for peer in context.peers.alive(now_s):
            is_replica = peer.identity in self.view.replicas
            if is_replica or peer.ping is None or peer.ping.committed >= 0:
                continue
            if context.committed_log.catch_up(now_s, peer, peer.ping.committed):
                peer.last_catch_up_at_s = now_s

    # -- time --

    def tick(self, now_s: float) -> None:
        """Resend requests that weren't answered, and check time-outs."""
        in_flight = self._in_flight
        resend_interval_s = self._context.timings.resend_interval_s
        if (
            in_flight is not None
            and now_s - in_flight.last_send_s >= resend_interval_s + in_flight.transfer_s
        ):
            self._send_append(in_flight, now_s)
        self._quorum_checks.tick(now_s)

    def slow_replicas(self, now_s: float) -> set[MemberId]:
        """Return the backups that have not acknowledged the command in flight in time."""
        in_flight = self._in_flight
        if in_flight is None:
            return set()
        timeout_s = self._context.timings.suspect_s + in_flight.transfer_s
        if now_s - in_flight.started_at_s < timeout_s:
            return set()
        return set(self.view.replicas) - in_flight.appended - {self._context.own_id}

    def restart_timers(self, now_s: float) -> None:
        """Restart the timer of the command in flight: the process was frozen, no backup was slow."""
        if self._in_flight is not None:
            self._in_flight.started_at_s = now_s
