"""Owns the newest committed state known here and the last commands that led to it; brings peers up to date.

Every coordinator has one, member of the core or not. The state never goes back, and nothing that isn't
committed is ever in it.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from coveport.serving.replication.errors import UnreadableStateError
from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import CatchUpCommands, CatchUpSnapshot
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.peers import Peer, PendingSnapshot
from coveport.serving.replication.state_machine import StateMachine

# A snapshot that was sent has arrived after LEAST_TRANSFER_S and the time for its bytes, or is lost.
LEAST_TRANSFER_S = 0.4
SLOWEST_BYTES_PER_S = 1e6
# A peer that lacks more than these commands, or bytes of commands, is sent a snapshot.
RECENT_COMMANDS = 64
RECENT_BYTES = 1024 * 1024


class CommittedLog:
    """The committed state, its sequence, and the commands before it that are kept for peers."""

    def __init__(self, outbox: Outbox, state_machine: StateMachine) -> None:
        self._outbox = outbox
        self._state_machine = state_machine
        self.sequence = -1
        self.state: Any = None
        self._recent: deque[bytes] = deque()  # the commands that led to `sequence`, the newest last
        self._recent_bytes = 0

    def advance(self, sequence: int, state: Any, command: bytes | None = None) -> None:
        """Take a newer committed state; `command` led to it from the one before. An older one is ignored."""
        if sequence <= self.sequence:
            return
        if command is None or sequence != self.sequence + 1:
            self._recent.clear()
            self._recent_bytes = 0
        if command is not None:
            self._remember(command)
        self.sequence = sequence
        self.state = state
        self._outbox.publish_committed(sequence, state, command)

    def _remember(self, command: bytes) -> None:
        self._recent.append(command)
        self._recent_bytes += len(command)
        while len(self._recent) > RECENT_COMMANDS or self._recent_bytes > RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft())

    # -- catching up here --

    def apply_commands(self, message: CatchUpCommands) -> None:
        """Apply committed commands, as far as they follow. Raises DivergedStateError."""
        for sequence, command in enumerate(message.commands, start=message.first):
            if self.state is not None and sequence == self.sequence + 1:
                self.advance(sequence, self._state_machine.replay(self.state, command), command)

    def install_snapshot(self, sender: MemberId, message: CatchUpSnapshot) -> None:
        """Take a complete committed state; an unreadable one is reported."""
        if message.sequence <= self.sequence:
            return
        try:
            self.advance(message.sequence, self._state_machine.decode(message.state))
        except UnreadableStateError as problem:
            self._outbox.reject_message(sender, problem)

    # -- bringing peers up to date --

    def catch_up(self, now_s: float, peer: Peer, sequence: int) -> bool:
        """Send a peer that has the state of `sequence` what it lacks; return whether something was sent.

        No second snapshot is sent while one may still arrive: a large one that was sent again and again would
        never get through a slow link.
        """
        if peer.snapshot is not None and peer.snapshot.is_pending(sequence, now_s):
            return False
        message = self.missing_after(sequence)
        if message is None:
            return False
        if isinstance(message, CatchUpSnapshot):
            transfer_s = LEAST_TRANSFER_S + len(message.state) / SLOWEST_BYTES_PER_S
            peer.snapshot = PendingSnapshot(message.sequence, now_s + transfer_s)
        self._outbox.send(peer.address, message)
        return True

    def missing_after(self, sequence: int) -> CatchUpCommands | CatchUpSnapshot | None:
        """Return what a peer that has the state of `sequence` (-1: none) lacks; None: nothing."""
        lacking = self.sequence - sequence
        if lacking <= 0:
            return None
        if sequence >= 0 and lacking <= len(self._recent):
            commands = tuple(self._recent)[-lacking:]
            return CatchUpCommands(sequence + 1, commands)
        return CatchUpSnapshot(self.sequence, self._state_machine.encode(self.state))
