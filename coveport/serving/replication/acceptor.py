"""What every member does as witness and backup, each thing synced before it answers."""

from __future__ import annotations

from typing import Any

from coveport.serving.replication.events import Applied, Refused, StateMachine, UnreadableStateError
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

FOLD_COMMANDS = 64  # after so many commands the whole state is written instead
FOLD_BYTES = 256 * 1024  # ... or after so many bytes of commands


class Acceptor:
    """Holds the fence. Nothing here knows who leads."""

    def __init__(
        self, journal: Journal, outbox: Outbox, state_machine: StateMachine, may_bootstrap: bool
    ) -> None:
        self._journal = journal
        self._outbox = outbox
        self._state_machine = state_machine
        self._may_bootstrap = may_bootstrap
        self._command_bytes = sum(map(len, journal.durable.commands or ()))
        self._foreseen: tuple[Epoch, int, Any] | None = None
        self.state: Any = self._replay()

    @property
    def durable(self) -> DurableState:
        """What this member has written, synced or not yet."""
        return self._journal.durable

    def _replay(self) -> Any:
        if not self.durable.has_state:
            return None
        state = self._state_machine.decode(self.durable.snapshot)
        for command in self.durable.commands or ():
            state = self._applied(state, command)
        return state

    def _applied(self, state: Any, command: bytes) -> Any:
        applied = self._state_machine.apply(state, command)
        if not isinstance(applied, Applied):
            raise ValueError("a command that the primary took was refused here")
        return applied.state

    def _is_fenced(self, sender: MemberId, epoch: Epoch) -> bool:
        if epoch >= self.durable.promised:
            return False
        self._outbox.send(sender.address, Fenced(epoch, self.durable.promised))
        return True

    def _reply_when_synced(self, sender: MemberId, message: Message) -> None:
        self._journal.send_when_synced(sender.address, message)

    def prepare(self, sender: MemberId, message: Prepare) -> None:
        """Promise to refuse all lower epochs, and tell what is held."""
        if self._is_fenced(sender, message.epoch):
            return
        if message.epoch > self.durable.promised:
            self._journal.write(PromisedEpochRecord(message.epoch))
        durable = self.durable
        promise = Promise(
            message.epoch, durable.view, durable.active_epoch, durable.state_epoch, durable.sequence
        )
        self._reply_when_synced(sender, promise)

    def fetch(self, sender: MemberId, message: Fetch) -> None:
        """Hand out the state, to the candidate that holds the promise."""
        if self._is_fenced(sender, message.epoch) or message.epoch != self.durable.promised:
            return
        if self.durable.has_state:
            fetched = Fetched(message.epoch, self.durable.sequence, self.encoded_state())
            self._outbox.send(sender.address, fetched)

    def encoded_state(self) -> bytes:
        """The state as it stands here."""
        if not self.durable.commands:
            return self.durable.snapshot
        return self._state_machine.encode(self.state)

    def install(self, sender: MemberId, message: Install) -> None:
        """Replace what is held here, once for an epoch; a state that can't be read counts for nothing."""
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
        """The state that another sent; what is wrong with it is told to people too."""
        try:
            return self._state_machine.decode(data)
        except UnreadableStateError as problem:
            self._outbox.reject_message(sender, problem)
            return problem

    def accept(self, sender: MemberId, message: Accept) -> None:
        """Store a view."""
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
        """Note that the view accepted here is active, no other. Nobody waits for this."""
        if message.epoch == self.view_epoch and message.epoch > self.durable.active_epoch:
            self._journal.write(ActiveEpochRecord(message.epoch))

    def append(self, sender: MemberId, message: Append) -> bool:
        """Take the primary's next command; whether the message is of the epoch that this replica serves."""
        if self._is_fenced(sender, message.epoch) or message.epoch != self.durable.state_epoch:
            return False
        if message.sequence > self.durable.sequence + 1:
            return False
        if message.sequence == self.durable.sequence + 1:
            self._append(message)
        self._reply_when_synced(sender, Appended(message.epoch, message.sequence))
        return True

    def try_command(self, command: bytes) -> Applied | Refused:
        """What a command would do to the state held here."""
        return self._state_machine.apply(self.state, command)

    def foresee(self, epoch: Epoch, sequence: int, state: Any) -> None:
        """Save this member, as primary, from applying its own command twice."""
        self._foreseen = (epoch, sequence, state)

    def _append(self, message: Append) -> None:
        foreseen = self._foreseen
        self._foreseen = None
        if foreseen is not None and foreseen[:2] == (message.epoch, message.sequence):
            self.state = foreseen[2]
        else:
            self.state = self._applied(self.state, message.command)
        self._command_bytes += len(message.command)
        if len(self.durable.commands or ()) >= FOLD_COMMANDS or self._command_bytes > FOLD_BYTES:
            encoded = self._state_machine.encode(self.state)
            self._journal.write(StateRecord(message.epoch, message.sequence, encoded))
            self._command_bytes = 0
        else:
            self._journal.write(CommandRecord(message.epoch, message.sequence, message.command))

    def confirm(self, sender: MemberId, message: Confirm) -> None:
        """Say that nothing higher was promised so far."""
        if not self._is_fenced(sender, message.epoch):
            self._outbox.send(sender.address, Confirmed(message.epoch, message.number))

    @property
    def is_blank(self) -> bool:
        """Whether no view was ever accepted here."""
        return self.durable.view is None

    @property
    def view_epoch(self) -> Epoch:
        """Of the newest accepted view."""
        return self.durable.view.epoch if self.durable.view else NO_EPOCH
