"""Pool of connections to nodes, which are reused, since each new connection costs a handshake."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.serving.model.node import Node
from coveport.serving.proxy.errors import ConnectFailedError
from coveport.serving.proxy.node_connection import NodeConnection

LOCAL_CONNECT_TIMEOUT_S = 0.4  # half of a latency target of 0.8 s: the other half is left for another node
REMOTE_CONNECT_TIMEOUT_S = 0.6  # longer than the local time-out, as round trips to another region take longer


class ConnectionPool:
    """Idle connections and connections in use, by the incarnation of the node."""

    def __init__(self, net: Net, region: str) -> None:
        self._net = net
        self._region = region
        self._idle: dict[str, list[NodeConnection]] = {}
        self._in_use: dict[str, set[NodeConnection]] = {}
        self._shortest_connect_s_by_zone: dict[str, float] = {}
        self.connects = 0  # connection attempts so far
        self.unsolicited = 0  # connections closed so far because bytes arrived without a request

    def has_capacity(self, incarnation: str, max_connections: int) -> bool:
        """Return whether one more connection stays within `max_connections` of the node; 0: no limit."""
        return max_connections <= 0 or len(self._in_use.get(incarnation, ())) < max_connections

    def last_received_s(self, incarnation: str) -> float:
        """Return when the node last sent anything on a connection in use; 0.0: never."""
        in_use = self._in_use.get(incarnation, ())
        return max((connection.last_received_s for connection in in_use), default=0.0)

    async def acquire(self, node: Node, avoided: Collection[NodeConnection] = ()) -> NodeConnection:
        """Return a connection to the node: an idle one, if possible one that is not avoided, or a new one.

        Raises:
            ConnectFailedError: no new connection could be established.

        """
        connection = self._take_idle(node, avoided) or self._take_idle(node, ())
        if connection is not None:
            self._add_to_use(node, connection)
            return connection
        connection = NodeConnection(self._net, self._count_unsolicited)
        self._add_to_use(node, connection)
        try:
            await self._connect(node, connection)
        except BaseException:
            self.drop(node, connection)
            raise
        return connection

    def _take_idle(self, node: Node, avoided: Collection[NodeConnection]) -> NodeConnection | None:
        """Remove and return the last used idle connection that is usable; close those that are not."""
        now_s = self._net.now_s()
        idle = self._idle.get(node.incarnation, [])
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if connection in avoided:
                continue
            del idle[index]
            if connection.is_open and not connection.is_expiring(now_s):
                return connection
            connection.close()
        return None

    async def check_connect(self, node: Node) -> bool:
        """Return whether a new connection to the node can be established; keep it for the next request."""
        connection = NodeConnection(self._net, self._count_unsolicited)
        try:
            await self._connect(node, connection)
        except ConnectFailedError:
            return False
        self._add_to_idle(node, connection)
        return True

    def _count_unsolicited(self) -> None:
        self.unsolicited += 1

    async def _connect(self, node: Node, connection: NodeConnection) -> None:
        self.connects += 1
        is_local = node.region == self._region
        timeout_s = LOCAL_CONNECT_TIMEOUT_S if is_local else REMOTE_CONNECT_TIMEOUT_S
        start_s = self._net.now_s()
        try:
            async with asyncio.timeout(timeout_s):
                await self._net.dial(lambda: connection, parse_address(node.address))
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectFailedError(node.address, timeout_s, error) from None
        connection.one_way_delay_s = self._one_way_delay_s(node.zone, self._net.now_s() - start_s)

    def _one_way_delay_s(self, zone: str, connect_s: float) -> float:
        """Return half of the shortest connect time to a zone, as machine delays lengthen most connects."""
        shortest_s = min(connect_s, self._shortest_connect_s_by_zone.get(zone, connect_s))
        self._shortest_connect_s_by_zone[zone] = shortest_s
        return shortest_s / 2

    def release(self, node: Node, connection: NodeConnection) -> None:
        """Give back a connection whose response is complete; it is reused if it can carry another request."""
        self._remove_from_use(node, connection)
        self._add_to_idle(node, connection)

    def drop(self, node: Node, connection: NodeConnection) -> None:
        """Close a connection whose response is incomplete or no longer needed."""
        self._remove_from_use(node, connection)
        connection.close()

    def _add_to_idle(self, node: Node, connection: NodeConnection) -> None:
        if connection.release(self._net.now_s()):
            self._idle.setdefault(node.incarnation, []).append(connection)

    def _add_to_use(self, node: Node, connection: NodeConnection) -> None:
        self._in_use.setdefault(node.incarnation, set()).add(connection)

    def _remove_from_use(self, node: Node, connection: NodeConnection) -> None:
        in_use = self._in_use.get(node.incarnation, set())
        in_use.discard(connection)
        if not in_use:
            self._in_use.pop(node.incarnation, None)

    def _close_excess_idle(self, incarnation: str, max_connections: int) -> None:
        """Close the longest idle connections until those to the node are within the limit; 0: no limit."""
        idle = self._idle.get(incarnation)
        if not idle or max_connections <= 0:
            return
        excess = max(0, len(idle) + len(self._in_use.get(incarnation, ())) - max_connections)
        for connection in idle[:excess]:
            connection.close()
        del idle[:excess]

    def sweep(self, is_known: Callable[[str], bool], max_connections: Callable[[str], int]) -> None:
        """Close idle connections in excess, to unknown nodes, or that the nodes would close soon.

        `max_connections` returns the limit of this proxy's connections to a known node; 0: no limit.
        """
        now_s = self._net.now_s()
        for incarnation in list(self._idle):
            if is_known(incarnation):
                self._close_excess_idle(incarnation, max_connections(incarnation))
            reusable = []
            for connection in self._idle[incarnation]:
                if is_known(incarnation) and connection.is_open and not connection.is_expiring(now_s):
                    reusable.append(connection)
                else:
                    connection.close()
            if reusable:
                self._idle[incarnation] = reusable
            else:
                del self._idle[incarnation]

    def close(self) -> None:
        """Close all idle connections."""
        self.sweep(lambda _: False, lambda _: 0)
