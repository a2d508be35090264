"""Heartbeats and goodbyes of nodes: into the table, on to other coordinators, acknowledged when that is safe.

`closing` and a goodbye are acknowledged only once as many other coordinators hold them as may be lost at
one time: the one that acknowledges may be killed in the next millisecond, and proxies must learn of it all
the same.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from coveport.net.transport import Net
from coveport.system.membership.node_table import NodeTable
from coveport.system.model.node import Node, NodeState
from coveport.system.wire.messages import Message, NodeReports, NodeReportsTaken

CONFIRM_S = 0.75  # the node waits a second for the acknowledgement
BATCH_S = 0.25  # ordinary heartbeats are passed on together


@dataclass(slots=True)
class _Confirmation:
    needed: int
    done: asyncio.Future[bool]
    by: set[str] = field(default_factory=set)


class NodeReporting:
    """Takes reports here and shares them."""

    def __init__(
        self,
        net: Net,
        table: NodeTable,
        send: Callable[[str, Message], None],
        live_peers: Callable[[], list[str]],
        copies: int,
        on_news: Callable[[], None],
    ) -> None:
        """`copies`: how many other coordinators must hold a `closing` before it is acknowledged."""
        self._net, self._table, self._send, self._live_peers = net, table, send, live_peers
        self._copies, self._on_news = copies, on_news
        self._batch: dict[str, Node] = {}
        self._confirmations: dict[int, _Confirmation] = {}
        self._number = 0

    async def take(self, node: Node) -> bool:
        """A node reports here; whether it may be acknowledged."""
        is_news = self._table.hear(node, self._net.now_s())
        if is_news:
            self._on_news()
        if node.state is not NodeState.ACCEPTING:
            return await self._confirm(node)
        if is_news:
            self._share(0, (node,), self._live_peers())
        else:
            self._add_to_batch(node)
        return True

    def passed_on(self, sender: str, reports: NodeReports) -> None:
        """Another coordinator took these."""
        now = self._net.now_s()
        news = [self._table.hear(node, now) for node in reports.nodes]
        if any(news):
            self._on_news()
        if reports.confirm:
            self._send(sender, NodeReportsTaken(reports.confirm))

    def taken(self, sender: str, message: NodeReportsTaken) -> None:
        """Another coordinator holds what we shared."""
        confirmation = self._confirmations.get(message.confirm)
        if confirmation is None:
            return
        confirmation.by.add(sender)
        if len(confirmation.by) >= confirmation.needed and not confirmation.done.done():
            confirmation.done.set_result(True)

    def tell_all(self, peer: str) -> None:
        """Send the whole table to a peer."""
        now = self._net.now_s()
        nodes = tuple(entry.as_told_at(now) for entry in self._table.entries())
        if nodes:
            self._send(peer, NodeReports(0, nodes))

    def _share(self, confirm: int, nodes: tuple[Node, ...], peers: list[str]) -> None:
        for peer in peers:
            self._send(peer, NodeReports(confirm, nodes))

    async def _confirm(self, node: Node) -> bool:
        peers = self._live_peers()
        if self._copies == 0:
            self._share(0, (node,), peers)
            return True
        self._number += 1
        number = self._number
        confirmation = _Confirmation(self._copies, self._net.loop.create_future())
        self._confirmations[number] = confirmation
        self._share(number, (node,), peers)
        try:
            async with asyncio.timeout(CONFIRM_S):
                return await confirmation.done
        except TimeoutError:
            return False
        finally:
            del self._confirmations[number]

    def _add_to_batch(self, node: Node) -> None:
        if not self._batch:
            self._net.loop.call_later(BATCH_S, self._send_batch)
        self._batch[node.incarnation] = node

    def _send_batch(self) -> None:
        nodes = tuple(self._batch.values())
        self._batch = {}
        self._share(0, nodes, self._live_peers())
