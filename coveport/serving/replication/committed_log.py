"""Owns the newest committed state that this coordinator received, and its last commands; updates the peers.

Every coordinator has a committed log, whether it is a member of the core or not. The state never goes back,
and it contains committed commands only.
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

# A snapshot counts as lost unless it arrives within MIN_TRANSFER_S plus the time for its bytes.
MIN_TRANSFER_S = 0.4
MIN_TRANSFER_BYTES_PER_S = 1e6
# The newest commands are kept up to this number and size; a peer that lacks more commands is sent a snapshot.
RECENT_COMMANDS = 64
RECENT_BYTES = 1024 * 1024


class CommittedLog:
    """The committed state, its sequence, and the recent commands kept for peers."""

    def __init__(self, outbox: Outbox, state_machine: StateMachine) -> None:
        self._outbox = outbox
        self._state_machine = state_machine
        self.sequence = -1
        self.state: Any = None
        self._recent: deque[bytes] = deque()  # the commands that led to `sequence`, the newest last
        self._recent_bytes = 0

    def advance(self, sequence: int, state: Any, command: bytes | None = None) -> None:
        """Replace the committed state if `sequence` is newer.

        `command` turned the state of `sequence - 1` into `state`; None if it isn't known.
        """
        if sequence <= self.sequence:
            return
        if command is None or sequence != self.sequence + 1:
            self._recent.clear()
            self._recent_bytes = 0
        if command is not None:
            self._keep_recent(command)
        self.sequence = sequence
        self.state = state
        self._outbox.publish_committed(sequence, state, command)

    def _keep_recent(self, command: bytes) -> None:
        self._recent.append(command)
        self._recent_bytes += len(command)
        while len(self._recent) > RECENT_COMMANDS or self._recent_bytes > RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft())

    # -- catching up from a peer --

    def apply_commands(self, message: CatchUpCommands) -> None:
        """Apply committed commands; skip those that aren't next in sequence. Raises DivergedStateError."""
        for sequence, command in enumerate(message.commands, start=message.first):
            if self.state is not None and sequence == self.sequence + 1:
                self.advance(sequence, self._state_machine.replay(self.state, command), command)

    def install_snapshot(self, sender: MemberId, message: CatchUpSnapshot) -> None:
        """Replace the state by a complete committed state; report a snapshot that can't be decoded."""
        if message.sequence <= self.sequence:
            return
        try:
            self.advance(message.sequence, self._state_machine.decode(message.state))
        except UnreadableStateError as problem:
            self._outbox.reject_message(sender, problem)

    # -- bringing peers up to date --

    def catch_up(self, now_s: float, peer: Peer, sequence: int) -> bool:
        """Send a peer the commands after `sequence`, or a snapshot; return whether a message was sent.

        No second snapshot is sent while the first may still arrive: a large snapshot that is resent again and
        again would never get through a slow link.
        """
        if peer.snapshot is not None and peer.snapshot.is_pending(sequence, now_s):
            return False
        message = self.missing_after(sequence)
        if message is None:
            return False
        if isinstance(message, CatchUpSnapshot):
            transfer_s = MIN_TRANSFER_S + len(message.state) / MIN_TRANSFER_BYTES_PER_S
            peer.snapshot = PendingSnapshot(message.sequence, now_s + transfer_s)
        self._outbox.send(peer.address, message)
        return True

    def missing_after(self, sequence: int) -> CatchUpCommands | CatchUpSnapshot | None:
        """Return the message that updates a peer at `sequence` (-1: no state); None if nothing is missing."""
        missing_count = self.sequence - sequence
        if missing_count <= 0:
            return None
        if sequence >= 0 and missing_count <= len(self._recent):
            commands = tuple(self._recent)[-missing_count:]
            return CatchUpCommands(sequence + 1, commands)
        return CatchUpSnapshot(self.sequence, self._state_machine.encode(self.state))
