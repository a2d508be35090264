"""Heartbeats and goodbyes of nodes: into the table, on to other coordinators, acknowledged when that is safe.

`closing` and a goodbye are acknowledged only once a majority of the core's members hold them, asked after
the call came, and as many other coordinators as may be lost at one time. Members count only if they know the
same view as the one that was called: after a cut that one might count a former majority.

Whoever takes one in for the first time passes it on, and a connection that comes up brings the whole table,
tombstones included, in front of all else. So a coordinator in touch with a majority hears of each that was
acknowledged, whoever else was cut off, and those that are cut off with the one that was called can't
acknowledge among themselves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from coveport.net.transport import Net
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node, NodeState, deregistration
from coveport.serving.replication.identity import Epoch, MemberId
from coveport.serving.wire.messages import Message, NodeReports, NodeReportsAck

CONFIRM_S = 0.75  # the node waits a second for the acknowledgement
ASK_AGAIN_S = 0.25  # what was asked may be lost with a connection, or the views differed for a moment
BATCH_S = 0.25  # ordinary heartbeats are passed on together


@dataclass(slots=True)
class Confirmation:
    """A report that waits until enough coordinators hold it."""

    number: int
    done: asyncio.Future[bool]
    holders: dict[MemberId, Epoch] = field(default_factory=dict)  # and the view that each knows


class ReportPeers:
    """What reporting needs of the other coordinators. Addresses are inner ones."""

    def __init__(
        self,
        send: Callable[[str, Message], None],
        live: Callable[[], list[str]],
        known: Callable[[], list[str]],
        view_epoch: Callable[[], Epoch],
        is_majority: Callable[[Collection[MemberId]], bool],
    ) -> None:
        """`live`: who said something lately; `known`: all.

        `view_epoch`: of the view that we know; `is_majority`: whether these, with us, decide in that view.
        """
        self.send = send
        self.live = live
        self.known = known
        self.view_epoch = view_epoch
        self.is_majority = is_majority


class NodeReportReplicator:
    """Takes reports here and shares them."""

    def __init__(
        self,
        net: Net,
        table: NodeTable,
        peers: ReportPeers,
        copies: int,
        on_news: Callable[[], None],
        first_number: int,
    ) -> None:
        """`copies`: how many other coordinators must hold a `closing` before it is acknowledged.

        `first_number`: drawn at random, so that a confirmation meant for an earlier life of this process,
        which may come late, is not taken for one of this life.
        """
        self._net = net
        self._table = table
        self._peers = peers
        self._copies = copies
        self._on_news = on_news
        self._batch: dict[str, Node] = {}
        self._confirmations: dict[int, Confirmation] = {}
        self._number = first_number

    async def take(self, node: Node) -> bool:
        """A node reports here; whether it may be acknowledged."""
        is_news = self._table.apply_report(node, self._net.now_s())
        if is_news:
            self._on_news()
        if node.state is not NodeState.ACCEPTING:
            return await self._confirmed(node)
        if is_news:
            self._share(0, (node,), self._peers.live())
        else:
            self._add_to_batch(node)
        return True

    def passed_on(self, sender: str, reports: NodeReports) -> None:
        """Another coordinator took these, or heard of them from a third."""
        self._take_in(reports.nodes, sender)
        if reports.confirmation_id:
            self._peers.send(sender, NodeReportsAck(reports.confirmation_id, self._peers.view_epoch()))

    def told_departed(self, incarnations: Iterable[str]) -> None:
        """A proxy remembers that these have left: after all coordinators were restarted, it alone does."""
        self._take_in(tuple(deregistration(incarnation) for incarnation in incarnations), "")

    def _take_in(self, nodes: tuple[Node, ...], sender: str) -> None:
        now = self._net.now_s()
        news = tuple(node for node in nodes if self._table.apply_report(node, now))
        if not news:
            return
        self._on_news()
        leaving = tuple(node for node in news if node.state is not NodeState.ACCEPTING)
        if leaving:
            self._share(0, leaving, [peer for peer in self._peers.known() if peer != sender])

    def taken(self, sender: MemberId, message: NodeReportsAck) -> None:
        """Another coordinator holds what we shared."""
        confirmation = self._confirmations.get(message.confirmation_id)
        if confirmation is None:
            return
        confirmation.holders[sender] = message.view
        if self._is_kept(confirmation) and not confirmation.done.done():
            confirmation.done.set_result(True)

    def _is_kept(self, confirmation: Confirmation) -> bool:
        own_view = self._peers.view_epoch()
        voters = [holder for holder, view in confirmation.holders.items() if view == own_view]
        return len(confirmation.holders) >= self._copies and self._peers.is_majority(voters)

    def tell_all(self, peer: str) -> None:
        """Send the whole table to a peer, with who has left."""
        now = self._net.now_s()
        nodes = (
            *(entry.snapshot_at(now) for entry in self._table.entries()),
            *self._table.deregistrations(now),
        )
        if nodes:
            self._peers.send(peer, NodeReports(0, nodes))

    def _share(self, confirmation_id: int, nodes: tuple[Node, ...], peers: list[str]) -> None:
        for peer in peers:
            self._peers.send(peer, NodeReports(confirmation_id, nodes))

    def begin_confirmation(self, node: Node) -> Confirmation:
        """Share a report with all and ask who holds it."""
        self._number += 1
        confirmation = Confirmation(self._number, self._net.loop.create_future())
        self._confirmations[self._number] = confirmation
        if self._is_kept(confirmation):
            confirmation.done.set_result(True)
        self._share(self._number, (node,), self._peers.known())
        return confirmation

    async def _confirmed(self, node: Node) -> bool:
        confirmation = self.begin_confirmation(node)
        try:
            async with asyncio.timeout(CONFIRM_S):
                while not (await asyncio.wait([confirmation.done], timeout=ASK_AGAIN_S))[0]:
                    self._share(confirmation.number, (node,), self._peers.known())
                return confirmation.done.result()
        except TimeoutError:
            return False
        finally:
            del self._confirmations[confirmation.number]

    def _add_to_batch(self, node: Node) -> None:
        if not self._batch:
            self._net.loop.call_later(BATCH_S, self._send_batch)
        self._batch[node.incarnation] = node

    def _send_batch(self) -> None:
        nodes = tuple(self._batch.values())
        self._batch = {}
        self._share(0, nodes, self._peers.live())
