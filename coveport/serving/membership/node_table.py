"""The node table of a coordinator: heartbeats, merged by incarnation and sequence number.

Every coordinator accepts heartbeats and forwards them to its peers, so no coordinator owns the table:

- Of two reports on an incarnation the newer one wins, and draining is never undone.
- Each change gets a revision of this table; a subscriber that names its revision gets the changes since.
- An incarnation that times out is removed, and a later heartbeat brings it back. Time counts only while this
  coordinator was able to receive (see `NodeTable.reset_timeouts`).
- A deregistration leaves a tombstone, and nothing brings the incarnation back. Tombstones are sent like
  entries, to proxies and to coordinators that were partitioned or restarted, and outlive delayed heartbeats.
- Of two incarnations at one address the one that reported last is valid: a restarted node is known by its new
  incarnation at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import takewhile

from coveport.serving.model.node import Node, NodeState, deregistration

COLD_CHANGE_S = 0.3  # by so much another end of a warm-up counts as news
TOMBSTONE_S = (
    600.0  # how long it is remembered that an incarnation is gone; longer than cuts hold messages up
)
TOMBSTONES_MOST = 8192  # beyond which the oldest are forgotten
REMOVALS_KEPT = 4096  # further back a whole table is sent in place of differences


@dataclass(slots=True)
class NodeEntry:
    """One incarnation, on this coordinator's clock."""

    node: Node
    last_seen_s: float
    warming_until_s: float
    shutdown_at_s: float  # 0.0: not told
    revision: int

    def snapshot_at(self, now_s: float) -> Node:
        """The node with its remaining times counted from now."""
        warm_up_left_ms = max(0.0, self.warming_until_s - now_s) * 1000
        shutdown_in_ms = max(1.0, (self.shutdown_at_s - now_s) * 1000) if self.shutdown_at_s else 0.0
        if (warm_up_left_ms, shutdown_in_ms) == (self.node.warm_up_left_ms, self.node.shutdown_in_ms):
            return self.node
        return replace(self.node, warm_up_left_ms=warm_up_left_ms, shutdown_in_ms=shutdown_in_ms)


@dataclass(frozen=True, slots=True)
class TableChanges:
    """What changed since some revision; `is_complete`: these are all nodes there are."""

    revision: int
    is_complete: bool
    nodes: tuple[Node, ...]
    removed: tuple[str, ...]  # incarnations
    deregistered: tuple[
        str, ...
    ] = ()  # incarnations that never come back, whether they were told before or not


class NodeTable:
    """All nodes that are known."""

    def __init__(self, timeout_s: float) -> None:
        """`timeout_s`: a node that was not heard for so long is removed."""
        self._timeout_s = timeout_s
        self._entries: dict[str, NodeEntry] = {}  # by rising revision
        self._at_address: dict[str, str] = {}  # incarnation by address
        self._tombstones: dict[str, float] = {}  # incarnation: when it is forgotten
        self._removals: list[tuple[int, str]] = []  # revision, incarnation
        self._removals_from = 0  # differences can be told from this revision on
        self.revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self._entries

    def entries(self) -> Iterable[NodeEntry]:
        """All entries."""
        return self._entries.values()

    def apply_report(self, node: Node, now_s: float) -> bool:
        """Take a report on a node, first-hand or passed on; whether others must know of it at once."""
        if node.incarnation in self._tombstones:
            return False
        known = self._entries.get(node.incarnation)
        if node.state is NodeState.DEREGISTERED:
            remembered_s = min(node.shutdown_in_ms / 1000 or TOMBSTONE_S, TOMBSTONE_S)
            self._add_tombstone(node.incarnation, now_s + remembered_s)
            return True
        if known is not None and not node.is_newer_than(known.node):
            return False
        warming_until_s = now_s + node.warm_up_left_ms / 1000 if node.warm_up_left_ms > 0 else 0.0
        shutdown_at_s = now_s + node.shutdown_in_ms / 1000 if node.shutdown_in_ms > 0 else 0.0
        entry = NodeEntry(node, now_s, warming_until_s, shutdown_at_s, 0)
        is_news = known is None or _differs(known, entry)
        if is_news:
            self.revision += 1
            entry.revision = self.revision
            self._entries.pop(node.incarnation, None)  # it goes to the end
        else:
            assert known is not None
            entry.revision, entry.warming_until_s = known.revision, known.warming_until_s
        self._entries[node.incarnation] = entry
        self._take_address(node)
        return is_news

    def _take_address(self, node: Node) -> None:
        """Whoever stood at the node's address before is not there any more."""
        before = self._at_address.get(node.address)
        self._at_address[node.address] = node.incarnation
        if before is not None and before != node.incarnation and before in self._entries:
            self._remove(before)

    def reset_timeouts(self, now_s: float) -> None:
        """Silence up to now says nothing: this coordinator was frozen, cut off or just started."""
        for entry in self._entries.values():
            entry.last_seen_s = max(entry.last_seen_s, now_s)

    def expire(self, now_s: float) -> list[str]:
        """Remove the silent ones and forget old tombstones; the incarnations that were removed.

        One that said it was closing never comes back: an earlier heartbeat, held up, must not undo that.
        """
        silent = [
            name for name, entry in self._entries.items() if now_s - entry.last_seen_s > self._timeout_s
        ]
        for incarnation in silent:
            if self._entries[incarnation].node.state is NodeState.DRAINING:
                self._add_tombstone(incarnation, now_s + TOMBSTONE_S)
            else:
                self._remove(incarnation)
        for incarnation in [name for name, until_s in self._tombstones.items() if now_s > until_s]:
            del self._tombstones[incarnation]
        return silent

    def changes_since(self, revision: int, now_s: float) -> TableChanges:
        """What changed after that revision; the whole table where that is not known, or for revision -1."""
        if revision < self._removals_from or revision > self.revision:
            nodes = tuple(entry.snapshot_at(now_s) for entry in self._entries.values())
            return TableChanges(self.revision, True, nodes, (), tuple(self._tombstones))
        newest_first = reversed(self._entries.values())
        changed = takewhile(lambda entry: entry.revision > revision, newest_first)
        nodes = tuple(entry.snapshot_at(now_s) for entry in changed)
        removals = takewhile(lambda removal: removal[0] > revision, reversed(self._removals))
        removed = tuple(name for _, name in removals if name not in self._entries)
        deregistered = tuple(name for name in removed if name in self._tombstones)
        return TableChanges(self.revision, False, nodes, removed, deregistered)

    def deregistrations(self, now_s: float) -> list[Node]:
        """Tombstones as goodbyes to pass on; `shutdown_in_ms` tells for how long each is still kept."""
        return [
            deregistration(name, 1000 * (until_s - now_s))
            for name, until_s in self._tombstones.items()
            if until_s > now_s
        ]

    def _add_tombstone(self, incarnation: str, until_s: float) -> None:
        """Remove for good; told as news also where the incarnation was not known here."""
        self._tombstones[incarnation] = until_s
        if len(self._tombstones) > TOMBSTONES_MOST:
            del self._tombstones[next(iter(self._tombstones))]
        self._remove(incarnation)

    def _remove(self, incarnation: str) -> None:
        entry = self._entries.pop(incarnation, None)
        if entry is not None and self._at_address.get(entry.node.address) == incarnation:
            del self._at_address[entry.node.address]
        self.revision += 1
        self._removals.append((self.revision, incarnation))
        if len(self._removals) > REMOVALS_KEPT:
            dropped = self._removals.pop(0)
            self._removals_from = dropped[0]


def _differs(known: NodeEntry, entry: NodeEntry) -> bool:
    """Whether a report says something that routing must know, beyond that the node lives."""
    before, after = known.node, entry.node
    if (before.state, before.address, before.service, before.slots) != (
        after.state,
        after.address,
        after.service,
        after.slots,
    ):
        return True
    if bool(known.shutdown_at_s) != bool(entry.shutdown_at_s):
        return True
    # A warm-up that simply runs down is known; one that begins anew or ends otherwise is news.
    return entry.warming_until_s > known.warming_until_s + COLD_CHANGE_S
