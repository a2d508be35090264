"""Caches encoded updates briefly, since most proxies have the same versions and need the same update."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.serving.wire.messages import CoordinatorEndpoint, Update
from coveport.serving.wire.shared_update import SharedUpdate

LIFETIME_S: Final = 0.25  # the remaining times in a cached update are outdated by at most this
DRAINING_LIFETIME_S: Final = 0.05  # the same limit for an update with a draining node


@dataclass(frozen=True, slots=True)
class RequestedVersions:
    """The versions that a proxy has; proxies with the same versions receive the same update."""

    node_revision: int  # -1: the proxy has no table and needs the full table
    state_sequence: int


@dataclass(frozen=True, slots=True)
class CurrentVersions:
    """Status and newest versions of this coordinator, which are the same in all updates until they change."""

    has_quorum: bool
    knows_all_nodes: bool
    node_revision: int
    state_sequence: int
    coordinators: tuple[CoordinatorEndpoint, ...]


class UpdateCache:
    """Updates by requested versions, valid while the current versions stay the same."""

    def __init__(self) -> None:
        self._updates: dict[
            RequestedVersions, tuple[SharedUpdate, float]
        ] = {}  # update, and the time until which it is valid
        self._current: CurrentVersions | None = None

    def find(
        self, requested: RequestedVersions, current: CurrentVersions, now_s: float
    ) -> SharedUpdate | None:
        """Return a valid update, or None; empty the cache where the current versions have changed."""
        if current != self._current:
            self._updates.clear()
            self._current = current
        update, valid_until_s = self._updates.get(requested, (None, 0.0))
        return update if now_s <= valid_until_s else None

    def add(self, requested: RequestedVersions, update: Update, now_s: float) -> SharedUpdate:
        """Encode and cache an update for which `find` returned None."""
        is_draining = any(node.shutdown_in_ms for node in update.nodes)
        valid_until_s = now_s + (DRAINING_LIFETIME_S if is_draining else LIFETIME_S)
        shared = SharedUpdate(update)
        self._updates[requested] = shared, valid_until_s
        return shared
