"""Owns this member's promise and replicated state, and handles the requests that witnesses and backups serve.

A member answers only after the records that its answer depends on are synced. A member rejects every request
whose epoch is below its promise: this rule alone keeps a deposed primary or candidate from having any effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from coveport.serving.replication.errors import UnreadableStateError
from coveport.serving.replication.identity import NO_EPOCH, Epoch, MemberId
from coveport.serving.replication.journal import Journal
from coveport.serving.replication.messages import (
    Accept,
    Accepted,
    Append,
    Appended,
    Confirm,
    Confirmed,
    Fenced,
    Fetch,
    Fetched,
    Install,
    Installed,
    Message,
    Prepare,
    Promise,
    ViewActivated,
)
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.records import (
    ActiveEpochRecord,
    CommandRecord,
    DurableState,
    PromisedEpochRecord,
    StateRecord,
    ViewRecord,
)
from coveport.serving.replication.state_machine import Applied, Refused, StateMachine

# Log compaction: after this many commands, or bytes of commands, the complete state is written and replaces
# them, so that a start replays few commands and the ring of files on the disk always has room.
COMPACT_COMMANDS = 64
COMPACT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class PrecomputedState:
    """The state after a command that the local primary has applied but not yet appended."""

    epoch: Epoch
    sequence: int
    state: Any


class Acceptor:
    """The promise, the accepted view and the state of one member, independent of its role."""

    def __init__(
        self, journal: Journal, outbox: Outbox, state_machine: StateMachine, may_bootstrap: bool
    ) -> None:
        self._journal = journal
        self._outbox = outbox
        self._state_machine = state_machine
        self._may_bootstrap = may_bootstrap
        self._command_bytes = sum(map(len, journal.durable.commands or ()))
        self._precomputed: PrecomputedState | None = None
        self.state: Any = self._replay()

    @property
    def durable(self) -> DurableState:
        """Everything that this member has written, synced or not."""
        return self._journal.durable

    @property
    def has_no_view(self) -> bool:
        """Whether this member has never accepted a view."""
        return self.durable.view is None

    @property
    def view_epoch(self) -> Epoch:
        """Epoch of the newest accepted view; NO_EPOCH if there is none."""
        return self.durable.view.epoch if self.durable.view else NO_EPOCH

    def _replay(self) -> Any:
        if not self.durable.has_state:
            return None
        state = self._state_machine.decode(self.durable.snapshot)
        for command in self.durable.commands or ():
            state = self._state_machine.replay(state, command)
        return state

    def _is_fenced(self, sender: MemberId, epoch: Epoch) -> bool:
        """Return whether `epoch` is below the promise; if so, answer with Fenced.

        Only requests of candidates and primaries are checked. Reports (Ping, Committed, ViewActivated) and
        catch-up messages are never fenced.
        """
        if epoch >= self.durable.promised:
            return False
        self._outbox.send(sender.address, Fenced(epoch, self.durable.promised))
        return True

    def _reply_when_synced(self, sender: MemberId, message: Message) -> None:
        self._journal.send_when_synced(sender.address, message)

    # -- a view change --

    def prepare(self, sender: MemberId, message: Prepare) -> None:
        """Promise to reject all lower epochs; answer with the accepted view and the position of the state."""
        if self._is_fenced(sender, message.epoch):
            return
        if message.epoch > self.durable.promised:
            self._journal.write(PromisedEpochRecord(message.epoch))
        durable = self.durable
        answer = Promise(
            message.epoch, durable.view, durable.active_epoch, durable.state_epoch, durable.sequence
        )
        self._reply_when_synced(sender, answer)

    def fetch(self, sender: MemberId, message: Fetch) -> None:
        """Send the state to the candidate that received the newest promise."""
        if self._is_fenced(sender, message.epoch) or message.epoch != self.durable.promised:
            return
        if self.durable.has_state:
            answer = Fetched(message.epoch, self.durable.sequence, self.encoded_state())
            self._outbox.send(sender.address, answer)

    def encoded_state(self) -> bytes:
        """Return this member's state as bytes."""
        if not self.durable.commands:
            return self.durable.snapshot
        return self._state_machine.encode(self.state)

    def install(self, sender: MemberId, message: Install) -> None:
        """Replace the state, once for each epoch. If the new state can't be decoded, send no answer."""
        if self._is_fenced(sender, message.epoch):
            return
        if self.durable.state_epoch != message.epoch:
            state = self.read_state(sender, message.state)
            if isinstance(state, UnreadableStateError):
                return
            self._journal.write(StateRecord(message.epoch, message.sequence, message.state))
            self._command_bytes = 0
            self.state = state
        self._reply_when_synced(sender, Installed(message.epoch))

    def read_state(self, sender: MemberId, data: bytes) -> Any | UnreadableStateError:
        """Return the state that `sender` sent; if it can't be decoded, report and return the error."""
        try:
            return self._state_machine.decode(data)
        except UnreadableStateError as problem:
            self._outbox.reject_message(sender, problem)
            return problem

    def accept(self, sender: MemberId, message: Accept) -> None:
        """Store a view. A bootstrap view is stored only if this member may bootstrap and has no view."""
        view = message.view
        if self._is_fenced(sender, view.epoch):
            return
        own_view = self.durable.view
        if own_view is None or own_view.epoch < view.epoch:
            if message.is_bootstrap and (own_view is not None or not self._may_bootstrap):
                return
            self._journal.write(ViewRecord(view))
        self._reply_when_synced(sender, Accepted(view.epoch))

    def record_active_view(self, message: ViewActivated) -> None:
        """Record that the accepted view is active; ignore messages about other views. Send no answer."""
        if message.epoch == self.view_epoch and message.epoch > self.durable.active_epoch:
            self._journal.write(ActiveEpochRecord(message.epoch))

    # -- commands --

    def append(self, sender: MemberId, message: Append) -> None:
        """Apply and store the primary's next command, if the state was installed in the same epoch."""
        if self._is_fenced(sender, message.epoch) or message.epoch != self.durable.state_epoch:
            return
        if message.sequence > self.durable.sequence + 1:
            return
        if message.sequence == self.durable.sequence + 1:
            self._append(message)
        self._reply_when_synced(sender, Appended(message.epoch, message.sequence))

    def apply_tentatively(self, command: bytes) -> Applied | Refused:
        """Return the outcome of a command on the present state, without changing it."""
        return self._state_machine.apply(self.state, command)

    def precompute(self, epoch: Epoch, sequence: int, state: Any) -> None:
        """Cache the state after a command, so that the primary doesn't apply its own command twice."""
        self._precomputed = PrecomputedState(epoch, sequence, state)

    def _append(self, message: Append) -> None:
        self.state = self._state_after(message)
        self._command_bytes += len(message.command)
        if len(self.durable.commands or ()) >= COMPACT_COMMANDS or self._command_bytes > COMPACT_BYTES:
            encoded = self._state_machine.encode(self.state)
            self._journal.write(StateRecord(message.epoch, message.sequence, encoded))
            self._command_bytes = 0
        else:
            self._journal.write(CommandRecord(message.epoch, message.sequence, message.command))

    def _state_after(self, message: Append) -> Any:
        precomputed = self._precomputed
        self._precomputed = None
        if precomputed is not None and (precomputed.epoch, precomputed.sequence) == (
            message.epoch,
            message.sequence,
        ):
            return precomputed.state
        return self._state_machine.replay(self.state, message.command)

    def confirm(self, sender: MemberId, message: Confirm) -> None:
        """Confirm that this member has promised no higher epoch so far."""
        if not self._is_fenced(sender, message.epoch):
            self._outbox.send(sender.address, Confirmed(message.epoch, message.number))
