"""The quorum status after a quorum was gained or lost, and after a stall."""

from __future__ import annotations

from coveport.serving.coordinator.quorum_status import QuorumStatus

FULL_TABLE_AFTER_S = 2.0


class FakeReplica:
    """A clock and a quorum that a test sets, and the status under test."""

    def __init__(self) -> None:
        self.time_s = 100.0
        self.quorum = True
        self.status = QuorumStatus(lambda: self.time_s, lambda: self.quorum, FULL_TABLE_AFTER_S, lambda: ())

    def refresh_after(self, delay_s: float) -> tuple[bool, bool]:
        """Advance the clock and refresh; return whether there is a quorum, and all nodes are known."""
        self.time_s += delay_s
        self.status.refresh()
        return self.status.has_quorum(), self.status.knows_all_nodes()


def test_there_is_no_quorum_before_the_first_refresh() -> None:
    replica = FakeReplica()
    assert not replica.status.has_quorum()
    assert replica.refresh_after(0.0) == (True, False)


def test_all_nodes_are_known_once_the_quorum_has_lasted() -> None:
    replica = FakeReplica()
    replica.refresh_after(0.0)
    assert replica.refresh_after(FULL_TABLE_AFTER_S - 0.1) == (True, False)
    assert replica.refresh_after(0.1) == (True, True)


def test_lost_quorum_restarts_the_time_until_all_nodes_are_known() -> None:
    replica = FakeReplica()
    replica.refresh_after(0.0)
    replica.quorum = False
    assert replica.refresh_after(FULL_TABLE_AFTER_S) == (False, False)
    replica.quorum = True
    assert replica.refresh_after(1.0) == (True, False)


def test_stall_restarts_the_time_until_all_nodes_are_known() -> None:
    replica = FakeReplica()
    replica.refresh_after(0.0)
    replica.time_s += FULL_TABLE_AFTER_S
    assert replica.status.knows_all_nodes()
    replica.status.reset()
    assert not replica.status.has_quorum()
    assert replica.refresh_after(0.0) == (True, False)
