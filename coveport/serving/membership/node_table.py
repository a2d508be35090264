"""The node table of a coordinator: heartbeats, merged by incarnation and sequence number.

Every coordinator accepts heartbeats and forwards them to its peers, so no coordinator owns the table:

- Of two reports on an incarnation the newer report is applied, and draining is never undone.
- Each change gets a revision of this table; a subscriber that sends its revision gets the changes since then.
- An incarnation that times out is removed, and a later heartbeat adds it again. Time-outs run only while this
  coordinator is able to receive (see `NodeTable.reset_timeouts`). After a partition or stall, this
  coordinator removes the nodes that are missing in the complete table of a coordinator that has reports on
  every live node (see `NodeTable.expire_unlisted`).
- A deregistration leaves a tombstone, and no later report adds the incarnation again. Tombstones are sent
  like entries, to proxies and to coordinators that were partitioned or restarted, and are kept for longer
  than heartbeats are delayed.
- Of two incarnations at one address, the incarnation that reported last is valid: the new incarnation of a
  restarted node replaces the previous incarnation at once.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from itertools import takewhile
from math import inf
from typing import Final

from coveport.serving.model.node import Node, NodeState, deregistration

# If a warm-up ends more than this later than recorded, routing needs to know the change. Smaller differences
# are jitter of the heartbeats, which give the remaining time.
WARM_UP_CHANGE_S: Final = 0.3
TOMBSTONE_S: Final = 600.0  # longer than a partition can delay messages
UNCONFIRMED: Final = -inf  # value of `NodeEntry.reported_at_s`: the report may have been delayed
MAX_TOMBSTONES: Final = 8192  # above this number, the oldest tombstones are dropped
MAX_REMOVALS: Final = 4096  # a subscriber that missed more removals gets the complete table


@dataclass(slots=True)
class NodeEntry:
    """An incarnation of a node, with times on this coordinator's clock."""

    node: Node
    reported_at_s: float  # arrival of the newest report; UNCONFIRMED if the report may have been delayed
    last_seen_s: float  # start of the time-out: arrival of the newest report, or a later reset
    warming_until_s: float  # 0.0: the node is warmed up
    shutdown_at_s: float  # 0.0: no shutdown is announced
    revision: int  # revision of the table at the entry's last change

    def snapshot_at(self, now_s: float) -> Node:
        """Return the node with its remaining times as of `now_s`."""
        warm_up_left_ms = max(0.0, self.warming_until_s - now_s) * 1000
        # Never 0, which would mean that no shutdown is announced.
        shutdown_in_ms = max(1.0, (self.shutdown_at_s - now_s) * 1000) if self.shutdown_at_s else 0.0
        if (warm_up_left_ms, shutdown_in_ms) == (self.node.warm_up_left_ms, self.node.shutdown_in_ms):
            return self.node
        return replace(self.node, warm_up_left_ms=warm_up_left_ms, shutdown_in_ms=shutdown_in_ms)


@dataclass(frozen=True, slots=True)
class TableChanges:
    """The changes since a revision of the table."""

    revision: int  # revision of the table after these changes
    is_complete: bool  # whether `nodes` is the complete table, not only the changed nodes
    nodes: tuple[Node, ...]
    removed: tuple[str, ...]  # incarnations that are no longer in the table
    deregistered: tuple[str, ...] = ()  # incarnations with a tombstone, whether sent before or not


@dataclass(frozen=True, slots=True)
class _Removal:
    revision: int  # revision of the table after the removal
    incarnation: str


class NodeTable:
    """All known nodes."""

    def __init__(self, timeout_s: float) -> None:
        """Create an empty table, which removes a node after `timeout_s` without a report."""
        self._timeout_s = timeout_s
        self._entries: dict[str, NodeEntry] = {}  # by incarnation, in the order of the entries' revisions
        self._incarnation_at: dict[str, str] = {}  # the incarnation that reported last, by address
        self._tombstones: dict[str, float] = {}  # expiry times by incarnation, the oldest first
        self._removals: list[_Removal] = []
        self._removals_complete_since = 0  # `_removals` holds all removals after this revision
        self.revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, incarnation: object) -> bool:
        return incarnation in self._entries

    def entries(self) -> Iterable[NodeEntry]:
        """Return all entries."""
        return self._entries.values()

    def confirmed_nodes(self, now_s: float) -> tuple[Node, ...]:
        """Return the nodes that reported within the time-out, to be sent to another coordinator.

        A node that is kept only because its time-out was reset may have crashed, and the receiver would treat
        it as newly reported.
        """
        return tuple(
            entry.snapshot_at(now_s)
            for entry in self._entries.values()
            if now_s - entry.reported_at_s <= self._timeout_s
        )

    def apply_report(self, node: Node, now_s: float, *, is_confirmed: bool = True) -> bool:
        """Apply a report, from the node itself or forwarded; return whether peers must get it at once.

        `is_confirmed`: the report can't have been delayed for long by a partition or a stall of this
        coordinator.
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
            self._entries.pop(node.incarnation, None)  # the new entry is inserted at the end
        else:
            assert known is not None
            entry.revision = known.revision
            entry.warming_until_s = known.warming_until_s
        self._entries[node.incarnation] = entry
        self._claim_address(node)
        return is_change

    def _claim_address(self, node: Node) -> None:
        """Record the node's address, and remove the incarnation that had this address before."""
        previous = self._incarnation_at.get(node.address)
        self._incarnation_at[node.address] = node.incarnation
        if previous is not None and previous != node.incarnation and previous in self._entries:
            self._remove(previous)

    def reset_timeouts(self, now_s: float) -> None:
        """Restart all time-outs at `now_s`: this coordinator was frozen, partitioned or just started."""
        for entry in self._entries.values():
            entry.last_seen_s = max(entry.last_seen_s, now_s)

    def expire(self, now_s: float) -> list[str]:
        """Remove nodes that timed out and old tombstones; return the incarnations of the removed nodes.

        A draining node gets a tombstone, so that a delayed earlier heartbeat can't undo the draining.
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
        """Remove unlisted nodes that did not report within the time-out; return their incarnations.

        `listed`: the incarnations in the complete table of a coordinator that has reports on every live node.
        This coordinator may have been frozen or partitioned, in which case its own time-outs were reset. A
        listed node is kept, but counts as reported only after its next report: the received table may itself
        have been delayed.
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
        """Return the changes since a revision; the complete table if the revision is too old or -1."""
        if revision < self._removals_complete_since or revision > self.revision:
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
        """Return the tombstones as reports for peers, each with its remaining retention time."""
        return [
            deregistration(name, 1000 * (until_s - now_s))
            for name, until_s in self._tombstones.items()
            if until_s > now_s
        ]

    def _add_tombstone(self, incarnation: str, until_s: float) -> None:
        """Remove an incarnation for good; this is a change even if the table never had the incarnation."""
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
            self._removals_complete_since = dropped.revision


def _make_entry(node: Node, now_s: float, *, is_confirmed: bool) -> NodeEntry:
    """Return the entry for a report received now; the caller sets its revision."""
    reported_at_s = now_s if is_confirmed else UNCONFIRMED
    warming_until_s = now_s + node.warm_up_left_ms / 1000 if node.warm_up_left_ms > 0 else 0.0
    shutdown_at_s = now_s + node.shutdown_in_ms / 1000 if node.shutdown_in_ms > 0 else 0.0
    return NodeEntry(node, reported_at_s, now_s, warming_until_s, shutdown_at_s, 0)


def _differs(known: NodeEntry, entry: NodeEntry) -> bool:
    """Return whether a report changes something that routing depends on."""
    known_node = known.node
    reported_node = entry.node
    if (known_node.state, known_node.address, known_node.service, known_node.slots) != (
        reported_node.state,
        reported_node.address,
        reported_node.service,
        reported_node.slots,
    ):
        return True
    if bool(known.shutdown_at_s) != bool(entry.shutdown_at_s):
        return True
    # The countdown of a warm-up is expected; a warm-up that begins again or ends later is a change.
    return entry.warming_until_s > known.warming_until_s + WARM_UP_CHANGE_S
