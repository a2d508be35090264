"""The committed log of one coordinator, and the catch-up messages that it sends to peers."""

from __future__ import annotations

import pytest
from core_world import STATE_MACHINE, State, change, encode_state

from coveport.serving.replication.committed_log import MIN_TRANSFER_S, RECENT_COMMANDS, CommittedLog
from coveport.serving.replication.errors import DivergedStateError, ReplicationError
from coveport.serving.replication.events import CommittedState, MessageRejected, Send
from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import CatchUpCommands, CatchUpSnapshot
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.peers import Peer

PEER = MemberId("10.0.0.2:7300", "another disk")


class LogFixture:
    """A committed log with its outbox, after a number of changes."""

    def __init__(self, changes: int) -> None:
        self.outbox = Outbox(MemberId("10.0.0.1:7300", "a disk"))
        self.log = CommittedLog(self.outbox, STATE_MACHINE)
        self.peer = Peer(PEER.address)
        state: State = ()
        self.log.advance(0, state)
        for number in range(1, changes + 1):
            command = change(number - 1, number, "x")
            state = (*state, command.decode())
            self.log.advance(number, state, command)
        self.outbox.take()


def test_an_older_state_is_ignored() -> None:
    fixture = LogFixture(changes=3)
    fixture.log.advance(2, ("an older one",))
    assert (fixture.log.sequence, len(fixture.log.state), fixture.outbox.take()) == (3, 3, [])


def test_a_newer_state_is_published() -> None:
    fixture = LogFixture(changes=1)
    fixture.log.advance(5, ("a newer one",))
    assert fixture.outbox.take() == [CommittedState(5, ("a newer one",), None)]


@pytest.mark.parametrize("peer_sequence", [-1, 0, 1, 2, 3])
def test_a_peer_is_sent_the_commands_that_it_lacks_or_a_snapshot_without_any_state(
    peer_sequence: int,
) -> None:
    message = LogFixture(changes=3).log.missing_after(peer_sequence)
    if peer_sequence == 3:
        assert message is None
    elif peer_sequence < 0:
        assert isinstance(message, CatchUpSnapshot)
        assert message.sequence == 3
    else:
        assert isinstance(message, CatchUpCommands)
        assert (message.first, len(message.commands)) == (peer_sequence + 1, 3 - peer_sequence)


@pytest.mark.parametrize(
    ("missed", "kind"), [(RECENT_COMMANDS, CatchUpCommands), (RECENT_COMMANDS + 1, CatchUpSnapshot)]
)
def test_a_peer_that_missed_more_than_the_recent_commands_is_sent_a_snapshot(missed: int, kind: type) -> None:
    log = LogFixture(changes=RECENT_COMMANDS + 5).log
    assert isinstance(log.missing_after(log.sequence - missed), kind)


def test_a_snapshot_is_sent_again_only_when_the_first_can_no_longer_arrive() -> None:
    fixture = LogFixture(changes=1)
    assert fixture.log.catch_up(10.0, fixture.peer, -1)
    assert not fixture.log.catch_up(10.0 + MIN_TRANSFER_S / 2, fixture.peer, -1)
    assert fixture.log.catch_up(10.0 + 2 * MIN_TRANSFER_S, fixture.peer, -1)
    assert [effect.to_address for effect in fixture.outbox.take() if isinstance(effect, Send)] == [
        PEER.address
    ] * 2


def test_commands_that_do_not_follow_are_skipped() -> None:
    fixture = LogFixture(changes=2)
    commands = tuple(change(number - 1, number, "x") for number in range(1, 5))
    fixture.log.apply_commands(CatchUpCommands(1, commands))
    assert (fixture.log.sequence, len(fixture.log.state)) == (4, 4)
    fixture.log.apply_commands(CatchUpCommands(9, (change(8, 9, "x"),)))
    assert fixture.log.sequence == 4


def test_a_committed_command_that_is_refused_here_is_an_error() -> None:
    fixture = LogFixture(changes=2)
    with pytest.raises(DivergedStateError) as caught:
        fixture.log.apply_commands(CatchUpCommands(3, (change(7, 8, "x"),)))
    assert isinstance(caught.value, ReplicationError)
    assert fixture.log.sequence == 2


def test_a_snapshot_replaces_the_state_and_an_unreadable_one_is_reported() -> None:
    fixture = LogFixture(changes=1)
    fixture.log.install_snapshot(PEER, CatchUpSnapshot(7, encode_state(("0|7|x",))))
    assert (fixture.log.sequence, fixture.log.state) == (7, ("0|7|x",))
    fixture.outbox.take()
    fixture.log.install_snapshot(PEER, CatchUpSnapshot(9, b"\xff"))
    (effect,) = fixture.outbox.take()
    assert isinstance(effect, MessageRejected)
    assert effect.sender == PEER.address
    assert fixture.log.sequence == 7
