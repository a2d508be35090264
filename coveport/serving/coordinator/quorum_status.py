"""Tracks whether this coordinator has a quorum, and since when, for its updates to proxies and nodes.

Reads and rejections for operators need a new confirmation by a majority instead: see
`replication.quorum_check`.
"""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.wire.messages import CoordinatorEndpoint


class QuorumStatus:
    """The replica's quorum as last observed; `refresh` is called several times a second."""

    def __init__(
        self,
        now_s: Callable[[], float],
        replica_has_quorum: Callable[[], bool],
        full_table_after_s: float,
        live_coordinators: Callable[[], tuple[CoordinatorEndpoint, ...]],
    ) -> None:
        """Create a status without a quorum.

        `full_table_after_s`: a coordinator that has had a quorum for this time has a report of every live
        node.
        """
        self._now_s = now_s
        self._replica_has_quorum = replica_has_quorum
        self._full_table_after_s = full_table_after_s
        self._live_coordinators = live_coordinators
        self._quorum_since_s: float | None = None

    def refresh(self) -> None:
        """Observe whether the replica has a quorum."""
        if not self._replica_has_quorum():
            self._quorum_since_s = None
        elif self._quorum_since_s is None:
            self._quorum_since_s = self._now_s()

    def reset(self) -> None:
        """Discard the observed quorum after a stall, during which this process received no reports."""
        self._quorum_since_s = None

    def has_quorum(self) -> bool:
        """Return whether this coordinator was connected to a majority of the members at the last refresh."""
        return self._quorum_since_s is not None

    def knows_all_nodes(self) -> bool:
        """Return whether the quorum has lasted so long that a report of every live node has arrived."""
        if self._quorum_since_s is None:
            return False
        return self._now_s() - self._quorum_since_s >= self._full_table_after_s

    def live_coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        """Return the live coordinators, including this coordinator."""
        return self._live_coordinators()
