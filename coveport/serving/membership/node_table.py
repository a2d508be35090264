"""The node table of a coordinator: heartbeats, merged by incarnation and sequence number.

Every coordinator accepts heartbeats and forwards them to its peers, so no coordinator owns the table:

- Of two reports on an incarnation the newer one wins, and draining is never undone.
- Each change gets a revision of this table; a subscriber that names its revision gets the changes since.
- An incarnation that times out is removed, and a later heartbeat brings it back. Time counts only while this
  coordinator was able to receive (see `NodeTable.reset_timeouts`); what it missed, the complete table of a
  coordinator that heard of every node makes up for (see `NodeTable.expire_unlisted`).
- A deregistration leaves a tombstone, and nothing brings the incarnation back. Tombstones are sent like
  entries, to proxies and to coordinators that were partitioned or restarted, and outlive delayed heartbeats.
- Of two incarnations at one address the one that reported last is valid: a restarted node is known by its new
  incarnation at once.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from itertools import takewhile
from math import inf
from typing import Final

from coveport.serving.model.node import Node, NodeState, deregistration

# A warm-up that ends later than known by more than this is a change that routing must know of; less is the
# jitter of heartbeats, which give the time left.
WARM_UP_CHANGE_S: Final = 0.3
TOMBSTONE_S: Final = 600.0  # longer than a partition delays messages
UNCONFIRMED: Final = -inf  # as the time of a report
MAX_TOMBSTONES: Final = 8192  # beyond that the oldest are dropped
MAX_REMOVALS: Final = 4096  # a subscriber that missed more gets the complete table


@dataclass(slots=True)
class NodeEntry:
    """An incarnation, with its times on this coordinator's clock."""

    node: Node
    reported_at_s: float  # when the newest report arrived; UNCONFIRMED where it may have been held up
    last_seen_s: float  # the same, or later: when its time-out began
    warming_until_s: float  # 0.0: it has warmed up
    shutdown_at_s: float  # 0.0: not announced
    revision: int  # of the table, when the entry last changed

    def snapshot_at(self, now_s: float) -> Node:
        """Return the node with its remaining times counted from now."""
        warm_up_left_ms = max(0.0, self.warming_until_s - now_s) * 1000
        # Never 0, which would say that no shutdown is announced.
        shutdown_in_ms = max(1.0, (self.shutdown_at_s - now_s) * 1000) if self.shutdown_at_s else 0.0
        if (warm_up_left_ms, shutdown_in_ms) == (self.node.warm_up_left_ms, self.node.shutdown_in_ms):
            return self.node
        return replace(self.node, warm_up_left_ms=warm_up_left_ms, shutdown_in_ms=shutdown_in_ms)


@dataclass(frozen=True, slots=True)
class TableChanges:
    """The changes since a revision."""

    revision: int  # that they lead to
    is_complete: bool  # `nodes` is the complete table, not a difference
    nodes: tuple[Node, ...]
    removed: tuple[str, ...]  # incarnations
    deregistered: tuple[str, ...] = ()  # incarnations that never come back, sent before or not


@dataclass(frozen=True, slots=True)
class _Removal:
    revision: int  # of the table, by the removal
    incarnation: str


class NodeTable:
    """All known nodes."""

    def __init__(self, timeout_s: float) -> None:
        """`timeout_s`: a node without a report for longer is removed."""
        self._timeout_s = timeout_s
        self._entries: dict[str, NodeEntry] = {}  # by incarnation, in the order of their revisions
        self._incarnation_at: dict[str, str] = {}  # by address
        self._tombstones: dict[str, float] = {}  # when each is dropped, by incarnation; the oldest first
        self._removals: list[_Removal] = []
        self._removals_from = 0  # the revision behind which `_removals` has all
        self.revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self._entries

    def entries(self) -> Iterable[NodeEntry]:
        """Return all entries."""
        return self._entries.values()

    def confirmed_nodes(self, now_s: float) -> tuple[Node, ...]:
        """Return the nodes that were reported within the time-out, to be sent to another coordinator.

        One that is kept only because its time-out began anew may have crashed: the receiver would take it for
        newly reported.
        """
        return tuple(
            entry.snapshot_at(now_s)
            for entry in self._entries.values()
            if now_s - entry.reported_at_s <= self._timeout_s
        )

    def apply_report(self, node: Node, now_s: float, *, is_confirmed: bool = True) -> bool:
        """Apply a report, from the node itself or forwarded; return whether peers must get it at once.

        `is_confirmed`: it can't have been held up for long, by a partition or a stall of this coordinator.
        """
        if node.incarnation in self._tombstones:
            return False
        known = self._entries.get(node.incarnation)
        if node.state is NodeState.DEREGISTERED:
            tombstone_s = min(node.shutdown_in_ms / 1000 or TOMBSTONE_S, TOMBSTONE_S)
            self._add_tombstone(node.incarnation, now_s + tombstone_s)
            return True
        if known is not None and not node.is_newer_than(known.node):
            return False
        entry = _make_entry(node, now_s, is_confirmed=is_confirmed)
        is_change = known is None or _differs(known, entry)
        if is_change:
            self.revision += 1
            entry.revision = self.revision
            self._entries.pop(node.incarnation, None)  # it goes to the end
        else:
            assert known is not None
            entry.revision = known.revision
            entry.warming_until_s = known.warming_until_s
        self._entries[node.incarnation] = entry
        self._claim_address(node)
        return is_change

    def _claim_address(self, node: Node) -> None:
        """Remove the incarnation that was at the node's address before."""
        previous = self._incarnation_at.get(node.address)
        self._incarnation_at[node.address] = node.incarnation
        if previous is not None and previous != node.incarnation and previous in self._entries:
            self._remove(previous)

    def reset_timeouts(self, now_s: float) -> None:
        """Count the time-outs from now: this coordinator was frozen, partitioned or just started."""
        for entry in self._entries.values():
            entry.last_seen_s = max(entry.last_seen_s, now_s)

    def expire(self, now_s: float) -> list[str]:
        """Remove nodes that timed out and old tombstones; return the incarnations of those nodes.

        One that was draining gets a tombstone, as an earlier heartbeat, delayed, must not undo that.
        """
        timed_out = [
            name for name, entry in self._entries.items() if now_s - entry.last_seen_s > self._timeout_s
        ]
        for incarnation in timed_out:
            self._expire(incarnation, now_s)
        for incarnation in [name for name, until_s in self._tombstones.items() if now_s > until_s]:
            del self._tombstones[incarnation]
        return timed_out

    def expire_unlisted(self, listed: Collection[str], now_s: float) -> list[str]:
        """Remove nodes without a report for the time-out that are not listed; return their incarnations.

        `listed`: the complete table of a coordinator that has heard of every live node. This one may have
        been frozen or partitioned, so that the time-outs of its own entries began anew. A listed node stays,
        and counts as reported from its next report on: the table may itself have been held up.
        """
        unlisted = [
            name
            for name, entry in self._entries.items()
            if name not in listed and now_s - entry.reported_at_s > self._timeout_s
        ]
        for incarnation in unlisted:
            self._expire(incarnation, now_s)
        return unlisted

    def _expire(self, incarnation: str, now_s: float) -> None:
        if self._entries[incarnation].node.state is NodeState.DRAINING:
            self._add_tombstone(incarnation, now_s + TOMBSTONE_S)
        else:
            self._remove(incarnation)

    def changes_since(self, revision: int, now_s: float) -> TableChanges:
        """Return the changes since a revision; the complete table where it is too old or -1."""
        if revision < self._removals_from or revision > self.revision:
            nodes = tuple(entry.snapshot_at(now_s) for entry in self._entries.values())
            return TableChanges(self.revision, True, nodes, (), tuple(self._tombstones))
        newest_first = reversed(self._entries.values())
        changed = takewhile(lambda entry: entry.revision > revision, newest_first)
        nodes = tuple(entry.snapshot_at(now_s) for entry in changed)
        removals = takewhile(lambda removal: removal.revision > revision, reversed(self._removals))
        removed = tuple(
            removal.incarnation for removal in removals if removal.incarnation not in self._entries
        )
        deregistered = tuple(name for name in removed if name in self._tombstones)
        return TableChanges(self.revision, False, nodes, removed, deregistered)

    def deregistrations(self, now_s: float) -> list[Node]:
        """Return the tombstones as reports for peers, with the time for which each is still kept."""
        return [
            deregistration(name, 1000 * (until_s - now_s))
            for name, until_s in self._tombstones.items()
            if until_s > now_s
        ]

    def _add_tombstone(self, incarnation: str, until_s: float) -> None:
        """Remove an incarnation for good; a change also where it was not known here."""
        self._tombstones[incarnation] = until_s
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        self._remove(incarnation)

    def _remove(self, incarnation: str) -> None:
        entry = self._entries.pop(incarnation, None)
        if entry is not None and self._incarnation_at.get(entry.node.address) == incarnation:
            del self._incarnation_at[entry.node.address]
        self.revision += 1
        self._removals.append(_Removal(self.revision, incarnation))
        if len(self._removals) > MAX_REMOVALS:
            dropped = self._removals.pop(0)
            self._removals_from = dropped.revision


def _make_entry(node: Node, now_s: float, *, is_confirmed: bool) -> NodeEntry:
    """Return the entry of a report received now; its revision is still open."""
    reported_at_s = now_s if is_confirmed else UNCONFIRMED
    warming_until_s = now_s + node.warm_up_left_ms / 1000 if node.warm_up_left_ms > 0 else 0.0
    shutdown_at_s = now_s + node.shutdown_in_ms / 1000 if node.shutdown_in_ms > 0 else 0.0
    return NodeEntry(node, reported_at_s, now_s, warming_until_s, shutdown_at_s, 0)


def _differs(known: NodeEntry, entry: NodeEntry) -> bool:
    """Return whether a report has more than that the node lives: something that routing must know."""
    before = known.node
    after = entry.node
    if (before.state, before.address, before.service, before.slots) != (
        after.state,
        after.address,
        after.service,
        after.slots,
    ):
        return True
    if bool(known.shutdown_at_s) != bool(entry.shutdown_at_s):
        return True
    # A warm-up that simply runs down is known; one that begins again or ends later is a change.
    return entry.warming_until_s > known.warming_until_s + WARM_UP_CHANGE_S
