"""What a coordinator may say of itself: whether it is in touch with the core, and for long enough."""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.wire.messages import CoordinatorEndpoint


class QuorumStatus:
    """Kept from the replication core's word, looked at several times a second."""

    def __init__(
        self,
        now_s: Callable[[], float],
        has_quorum: Callable[[], bool],
        settle_s: float,
        coordinators: Callable[[], tuple[CoordinatorEndpoint, ...]],
    ) -> None:
        """`settle_s`: after so long in touch, every node that lives has been heard of."""
        self._now_s = now_s
        self._has_quorum = has_quorum
        self._settle_s = settle_s
        self._coordinators = coordinators
        self._connected_from_s: float | None = None

    def look(self) -> None:
        """Notice a change."""
        if not self._has_quorum():
            self._connected_from_s = None
        elif self._connected_from_s is None:
            self._connected_from_s = self._now_s()

    def stalled(self) -> None:
        """Begin anew: for a while this process could not hear."""
        self._connected_from_s = None

    def is_connected(self) -> bool:
        """In touch with a majority of the core."""
        return self._connected_from_s is not None

    def is_settled(self) -> bool:
        """In touch, and for long enough to know every node."""
        return self._connected_from_s is not None and self._now_s() - self._connected_from_s >= self._settle_s

    def coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        """The live coordinators, this one included."""
        return self._coordinators()
