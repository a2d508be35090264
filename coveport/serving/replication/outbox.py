"""Collects the effects of one step, and messages of a member to itself."""

from __future__ import annotations

from collections import deque

from coveport.serving.replication.events import Answer, CommittedState, Effect, MessageRejected, Outcome, Send
from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import Message


class Outbox:
    """Filled by all parts of a member; emptied at the end of each step."""

    def __init__(self, own_id: MemberId) -> None:
        self.own_id = own_id
        self.to_self: deque[Message] = deque()
        self._effects: list[Effect] = []

    def send(self, to_address: str, message: Message) -> None:
        """Send to another, or to oneself within this step."""
        if to_address == self.own_id.address:
            self.to_self.append(message)
        else:
            self._effects.append(Send(to_address, message))

    def answer(self, request: int, outcome: Outcome) -> None:
        """Answer a caller."""
        self._effects.append(Answer(request, outcome))

    def committed(self, sequence: int, state: object, command: bytes | None) -> None:
        """Tell that a newer committed state is known, and the command that led there, if it is."""
        self._effects.append(CommittedState(sequence, state, command))

    def reject_message(self, sender: MemberId, problem: Exception) -> None:
        """Tell people that a message was refused."""
        self._effects.append(MessageRejected(sender.address, str(problem)))

    def add(self, effect: Effect) -> None:
        """Add any other effect."""
        self._effects.append(effect)

    def take(self) -> list[Effect]:
        """All effects since the last time."""
        effects = self._effects
        self._effects = []
        return effects
