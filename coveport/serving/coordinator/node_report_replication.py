"""Applies nodes' reports to the node table and replicates them to the other coordinators.

Reports are heartbeats and deregistrations. A deregistration or a heartbeat of a draining node is acknowledged
to the node only after a majority of the core's members, and as many other coordinators as may fail at the
same time, have acknowledged it in response to a request sent after the report arrived. Members count only if
they have the same view as this coordinator, which might otherwise count a former majority after a partition.

A coordinator that applies a report for the first time replicates it, and the first message on a new
connection is the complete table, tombstones included. So a coordinator with a quorum receives each report
that was acknowledged, whichever other coordinators were partitioned; and coordinators in a minority partition
can't acknowledge a report among themselves.
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

ACK_TIMEOUT_S: Final = 0.75  # below the node's time-out of 1 s
RETRY_INTERVAL_S: Final = 0.25  # a request may be lost with its connection, or the views may differ briefly
BATCH_INTERVAL_S: Final = 0.25  # between messages with the heartbeats that reported no change
NO_ACK: Final = 0  # confirmation id of reports that need no acknowledgement


@dataclass(slots=True)
class PendingReport:
    """A report that has not been acknowledged by enough coordinators."""

    confirmation_id: int
    replicated: asyncio.Future[bool]
    acknowledgements: dict[MemberId, Epoch] = field(default_factory=dict)  # view epoch by member


@dataclass(frozen=True, slots=True)
class ReportPeers:
    """Functions that the replication of reports calls; all addresses are inner addresses."""

    send: Callable[[str, Message], None]
    live: Callable[[], list[str]]  # addresses of connected peers that sent something lately
    known: Callable[[], list[str]]  # addresses of all peers, connected or not
    view_epoch: Callable[[], Epoch]  # epoch of this coordinator's newest view
    # Whether these members and this coordinator are a majority in this coordinator's newest view.
    is_majority: Callable[[Collection[MemberId]], bool]
    # Whether this coordinator has a quorum; without one, the reports that it receives may be out of date.
    has_quorum: Callable[[], bool]


class NodeReportReplicator:
    """Owns the reports that await acknowledgements, and the batch of heartbeats to replicate."""

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

        `required_acks`: how many other coordinators must acknowledge a report of a draining or deregistered
        node before this coordinator acknowledges the report to the node.
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
        """Apply and replicate a report of a node; return whether to acknowledge it to the node."""
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
        """Apply reports from another coordinator, and acknowledge them if an acknowledgement is requested."""
        self._apply(message.nodes, sender)
        if message.confirmation_id != NO_ACK:
            ack = NodeReportsAck(message.confirmation_id, self._peers.view_epoch())
            self._peers.send(sender, ack)

    def receive_deregistered(self, incarnations: Iterable[str]) -> None:
        """Apply the deregistrations that a proxy has recorded.

        After a restart of all coordinators, only the proxies still have these deregistrations.
        """
        self._apply(tuple(deregistration(incarnation) for incarnation in incarnations), "")

    def receive_ack(self, sender: MemberId, message: NodeReportsAck) -> None:
        """Record that another coordinator has acknowledged a report."""
        pending = self._pending.get(message.confirmation_id)
        if pending is None:
            return
        pending.acknowledgements[sender] = message.view
        if self._is_replicated(pending) and not pending.replicated.done():
            pending.replicated.set_result(True)

    def send_table(self, peer: str, *, knows_all_nodes: bool = False) -> None:
        """Send all nodes that were reported lately, and the tombstones, to a peer.

        `knows_all_nodes`: this coordinator has received reports of every live node, so the peer may remove
        nodes that are not sent.
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
        """Replicate a report; return whether enough coordinators acknowledged it within `ACK_TIMEOUT_S`."""
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
