"""Collects the effects of one event, and the messages of a replica to itself."""

from __future__ import annotations

from collections import deque

from coveport.serving.replication.events import (
    Answer,
    CommittedState,
    Effect,
    MessageRejected,
    Outcome,
    Persist,
    Send,
)
from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import Message


class Outbox:
    """The effects of the event being handled; all modules of a replica add to it."""

    def __init__(self, own_id: MemberId) -> None:
        self.to_self: deque[Message] = deque()
        self._own_address = own_id.address
        self._effects: list[Effect] = []

    def send(self, to_address: str, message: Message) -> None:
        """Send a message to a peer; a message to this replica is handled as part of the same event."""
        if to_address == self._own_address:
            self.to_self.append(message)
        else:
            self._effects.append(Send(to_address, message))

    def answer(self, request: int, outcome: Outcome) -> None:
        """Answer the call `request`."""
        self._effects.append(Answer(request, outcome))

    def publish_committed(self, sequence: int, state: object, command: bytes | None) -> None:
        """Publish a newer committed state, and the command that produced the state; None: unknown."""
        self._effects.append(CommittedState(sequence, state, command))

    def reject_message(self, sender: MemberId, problem: Exception) -> None:
        """Report a rejected message, for the log."""
        self._effects.append(MessageRejected(sender.address, str(problem)))

    def persist(self, persist: Persist) -> None:
        """Write records to the disk."""
        self._effects.append(persist)

    def take(self) -> list[Effect]:
        """Return and remove all effects."""
        effects = self._effects
        self._effects = []
        return effects
