"""Applies nodes' reports to the node table and replicates them to the other coordinators.

Reports are heartbeats and deregistrations. A deregistration and a heartbeat of a draining node are
acknowledged only once a majority of the core's members hold them, requested after the report came, and as
many other coordinators as may be lost at one time. Members count only if they know the same view as this
coordinator: after a partition it might count a former majority.

Whoever applies a report for the first time replicates it, and a new connection brings the complete table,
tombstones included, before all else. So a coordinator with a quorum hears of each report that was
acknowledged, whichever others were cut off; and those that are cut off together with this coordinator can't
acknowledge among themselves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from coveport.net.transport import Net
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node, NodeState, deregistration
from coveport.serving.replication.identity import Epoch, MemberId
from coveport.serving.wire.messages import Message, NodeReports, NodeReportsAck

ACK_TIMEOUT_S: Final = 0.75  # the node waits a second for its response
RETRY_INTERVAL_S: Final = 0.25  # a request may be lost with a connection, or the views differ for a moment
BATCH_INTERVAL_S: Final = 0.25  # ordinary heartbeats are replicated together
NO_ACK: Final = 0  # as the confirmation id of reports that need no acknowledgement


@dataclass(slots=True)
class PendingReport:
    """A report that waits until enough coordinators hold it."""

    confirmation_id: int
    replicated: asyncio.Future[bool]
    acknowledgements: dict[MemberId, Epoch] = field(default_factory=dict)  # view epoch by acknowledging member


@dataclass(frozen=True, slots=True)
class ReportPeers:
    """What replication of reports needs of the other coordinators. Addresses are inner ones."""

    send: Callable[[str, Message], None]
    live: Callable[[], list[str]]  # those that sent something lately
    known: Callable[[], list[str]]  # all
    view_epoch: Callable[[], Epoch]  # of the view that this coordinator knows
    is_majority: Callable[[Collection[MemberId]], bool]  # with this coordinator, in that view
    has_quorum: Callable[[], bool]  # this coordinator: what comes without one may have been held up


class NodeReportReplicator:
    """Owns the reports that wait for acknowledgements, and the batch of heartbeats to replicate."""

    def __init__(
        self,
        net: Net,
        table: NodeTable,
        peers: ReportPeers,
        required_acks: int,
        on_table_changed: Callable[[], None],
        first_confirmation_id: int,
    ) -> None:
        """Create a replicator.

        `required_acks`: how many other coordinators must hold a `closing` before it is acknowledged.
        `first_confirmation_id`: drawn at random, so that a late acknowledgement for an earlier incarnation of
        this process isn't taken for one of this incarnation.
        """
        self._net = net
        self._table = table
        self._peers = peers
        self._required_acks = required_acks
        self._on_table_changed = on_table_changed
        self._batch: dict[str, Node] = {}
        self._pending: dict[int, PendingReport] = {}
        self._last_confirmation_id = first_confirmation_id

    async def accept(self, node: Node) -> bool:
        """Apply and replicate what a node reported here; whether it may be acknowledged to the node."""
        is_change = self._table.apply_report(node, self._net.now_s())
        if is_change:
            self._on_table_changed()
        if node.state is not NodeState.ACCEPTING:
            return await self._replicate(node)
        if is_change:
            self._send(NO_ACK, (node,), self._peers.live())
        else:
            self._add_to_batch(node)
        return True

    def receive_reports(self, sender: str, message: NodeReports) -> None:
        """Apply reports that another coordinator replicates, and acknowledge them if it wants that."""
        self._apply(message.nodes, sender)
        if message.confirmation_id != NO_ACK:
            ack = NodeReportsAck(message.confirmation_id, self._peers.view_epoch())
            self._peers.send(sender, ack)

    def receive_deregistered(self, incarnations: Iterable[str]) -> None:
        """Apply what a proxy knows of departed nodes: after all coordinators restarted it alone remembers."""
        self._apply(tuple(deregistration(incarnation) for incarnation in incarnations), "")

    def receive_ack(self, sender: MemberId, message: NodeReportsAck) -> None:
        """Record that another coordinator holds a report."""
        pending = self._pending.get(message.confirmation_id)
        if pending is None:
            return
        pending.acknowledgements[sender] = message.view
        if self._is_replicated(pending) and not pending.replicated.done():
            pending.replicated.set_result(True)

    def send_table(self, peer: str, *, knows_all_nodes: bool = False) -> None:
        """Send all nodes that were reported lately to a peer, tombstones included.

        `knows_all_nodes`: this coordinator has heard of every live node, so the peer may drop others.
        """
        now_s = self._net.now_s()
        nodes = (*self._table.confirmed_nodes(now_s), *self._table.deregistrations(now_s))
        if nodes or knows_all_nodes:
            self._peers.send(peer, NodeReports(NO_ACK, nodes, knows_all_nodes))

    def start_replication(self, node: Node) -> PendingReport:
        """Send a report to all peers and request their acknowledgements."""
        self._last_confirmation_id += 1
        pending = PendingReport(self._last_confirmation_id, self._net.loop.create_future())
        self._pending[pending.confirmation_id] = pending
        if self._is_replicated(pending):
            pending.replicated.set_result(True)
        self._send(pending.confirmation_id, (node,), self._peers.known())
        return pending

    async def _replicate(self, node: Node) -> bool:
        """Replicate a report until enough coordinators hold it; False where that takes too long."""
        pending = self.start_replication(node)
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                while not (await asyncio.wait([pending.replicated], timeout=RETRY_INTERVAL_S))[0]:
                    self._send(pending.confirmation_id, (node,), self._peers.known())
                return pending.replicated.result()
        except TimeoutError:
            return False
        finally:
            del self._pending[pending.confirmation_id]

    def _is_replicated(self, pending: PendingReport) -> bool:
        own_view = self._peers.view_epoch()
        voters = [member for member, view in pending.acknowledgements.items() if view == own_view]
        return len(pending.acknowledgements) >= self._required_acks and self._peers.is_majority(voters)

    def _apply(self, nodes: tuple[Node, ...], sender: str) -> None:
        now_s = self._net.now_s()
        is_confirmed = self._peers.has_quorum()
        changed = tuple(
            node for node in nodes if self._table.apply_report(node, now_s, is_confirmed=is_confirmed)
        )
        if not changed:
            return
        self._on_table_changed()
        draining = tuple(node for node in changed if node.state is not NodeState.ACCEPTING)
        if draining:
            self._send(NO_ACK, draining, [peer for peer in self._peers.known() if peer != sender])

    def _send(self, confirmation_id: int, nodes: tuple[Node, ...], peers: list[str]) -> None:
        for peer in peers:
            self._peers.send(peer, NodeReports(confirmation_id, nodes))

    def _add_to_batch(self, node: Node) -> None:
        if not self._batch:
            self._net.loop.call_later(BATCH_INTERVAL_S, self._send_batch)
        self._batch[node.incarnation] = node

    def _send_batch(self) -> None:
        nodes = tuple(self._batch.values())
        self._batch = {}
        self._send(NO_ACK, nodes, self._peers.live())
