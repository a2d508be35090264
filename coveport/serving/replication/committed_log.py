"""The newest committed state known here. It never goes back, and nothing uncommitted is ever in it."""

from __future__ import annotations

from collections import deque
from typing import Any

from coveport.serving.replication.events import Applied, StateMachine, UnreadableStateError
from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import CatchUpCommands, CatchUpSnapshot
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.peers import Peer, StateOnItsWay

LEAST_WAY_S = 0.4  # a state that was sent has arrived after this ...
SLOWEST_BYTES_A_SECOND = 1e6  # ... and the time for its bytes, or is lost
RECENT_COMMANDS = 64
RECENT_BYTES = 1024 * 1024


class CommittedLog:
    """Every coordinator has one, member of the core or not."""

    def __init__(self, outbox: Outbox, state_machine: StateMachine) -> None:
        self._outbox = outbox
        self._state_machine = state_machine
        self.sequence = -1
        self.state: Any = None
        self._recent: deque[bytes] = deque()  # the commands that led to `sequence`, the newest last
        self._recent_bytes = 0

    def became(self, sequence: int, state: Any, command: bytes | None = None) -> None:
        """A committed state is known; `command` led to it from the one before."""
        if sequence <= self.sequence:
            return
        if command is None or sequence != self.sequence + 1:
            self._recent.clear()
            self._recent_bytes = 0
        if command is not None:
            self._remember(command)
        self.sequence = sequence
        self.state = state
        self._outbox.committed(sequence, state, command)

    def _remember(self, command: bytes) -> None:
        self._recent.append(command)
        self._recent_bytes += len(command)
        while len(self._recent) > RECENT_COMMANDS or self._recent_bytes > RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft())

    def learn(self, message: CatchUpCommands) -> None:
        """Take committed commands, as far as they follow."""
        for offset, command in enumerate(message.commands):
            sequence = message.first + offset
            if self.state is not None and sequence == self.sequence + 1:
                applied = self._state_machine.apply(self.state, command)
                if not isinstance(applied, Applied):
                    raise ValueError("a committed command was refused here")
                self.became(sequence, applied.state, command)

    def learn_state(self, sender: MemberId, message: CatchUpSnapshot) -> None:
        """Take a whole committed state."""
        if message.sequence <= self.sequence:
            return
        try:
            self.became(message.sequence, self._state_machine.decode(message.state))
        except UnreadableStateError as problem:
            self._outbox.reject_message(sender, problem)

    def teach(self, now_s: float, peer: Peer, sequence: int) -> bool:
        """Send a peer that knows up to `sequence` what it lacks; not a whole state while one is on its way.

        A large one that was sent again and again would never arrive over a slow link.
        """
        if peer.sent_state is not None and peer.sent_state.is_awaited(sequence, now_s):
            return False
        lesson = self.lesson(sequence)
        if isinstance(lesson, CatchUpSnapshot):
            way_s = LEAST_WAY_S + len(lesson.state) / SLOWEST_BYTES_A_SECOND
            peer.sent_state = StateOnItsWay(lesson.sequence, now_s + way_s)
        if lesson is not None:
            self._outbox.send(peer.address, lesson)
        return lesson is not None

    def lesson(self, sequence: int) -> CatchUpCommands | CatchUpSnapshot | None:
        """What one that knows up to `sequence` lacks."""
        lacking = self.sequence - sequence
        if lacking <= 0:
            return None
        if sequence >= 0 and lacking <= len(self._recent):
            commands = tuple(self._recent)[-lacking:]
            return CatchUpCommands(sequence + 1, commands)
        return CatchUpSnapshot(self.sequence, self._state_machine.encode(self.state))
