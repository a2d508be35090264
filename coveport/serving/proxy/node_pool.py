"""Connections to nodes: few, and reused, since each new one costs a handshake."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.serving.model.node import Node
from coveport.serving.proxy.node_connection import NodeConnection

CONNECT_S = 0.4  # in which a connect has to come up, beside the way
FAR_CONNECT_S = 0.6  # ... to another region
SWEEP_S = 0.2


class ConnectFailedError(Exception):
    """No connection came up; nothing was sent."""


class NodePool:
    """Idle connections by incarnation, and those in use."""

    def __init__(self, net: Net, region: str) -> None:
        self._net = net
        self._region = region
        self._idle: dict[str, list[NodeConnection]] = {}
        self._in_use: dict[str, set[NodeConnection]] = {}
        self.connects = 0

    def has_room(self, incarnation: str, most: int) -> bool:
        """Whether one more request to the node stays under so many connections; 0: not bounded."""
        return most <= 0 or len(self._in_use.get(incarnation, ())) < most

    def last_heard_s(self, incarnation: str) -> float:
        """When the node last said anything on a connection in use; 0.0: never."""
        return max((one.heard_at_s for one in self._in_use.get(incarnation, ())), default=0.0)

    async def take(self, node: Node) -> NodeConnection:
        """A connection to the node, idle or new; ConnectFailedError where none comes up."""
        now_s = self._net.now_s()
        idle = self._idle.get(node.incarnation, [])
        while idle:
            connection = idle.pop()
            if connection.is_open and not connection.is_stale(now_s):
                self._use(node, connection)
                return connection
            connection.close()
        connection = NodeConnection(self._net)
        self._use(node, connection)
        try:
            await self._connect(node, connection)
        except BaseException:
            self.drop(node, connection)
            raise
        return connection

    async def try_connect(self, node: Node) -> bool:
        """Whether a connection to the node comes up; it is kept for the next request."""
        connection = NodeConnection(self._net)
        try:
            await self._connect(node, connection)
        except ConnectFailedError:
            return False
        self._keep(node, connection)
        return True

    async def _connect(self, node: Node, connection: NodeConnection) -> None:
        self.connects += 1
        within_s = CONNECT_S if node.region == self._region else FAR_CONNECT_S
        try:
            async with asyncio.timeout(within_s):
                await self._net.dial(lambda: connection, parse_address(node.address))
        except (OSError, TimeoutError, ValueError) as problem:
            raise ConnectFailedError(str(problem)) from None

    def give_back(self, node: Node, connection: NodeConnection) -> None:
        """The answer is whole: keep the connection if it can carry another request."""
        self._no_longer_use(node, connection)
        self._keep(node, connection)

    def drop(self, node: Node, connection: NodeConnection) -> None:
        """The answer is not whole or not wanted."""
        self._no_longer_use(node, connection)
        connection.close()

    def _keep(self, node: Node, connection: NodeConnection) -> None:
        if connection.release(self._net.now_s()):
            self._idle.setdefault(node.incarnation, []).append(connection)

    def _use(self, node: Node, connection: NodeConnection) -> None:
        self._in_use.setdefault(node.incarnation, set()).add(connection)

    def _no_longer_use(self, node: Node, connection: NodeConnection) -> None:
        in_use = self._in_use.get(node.incarnation, set())
        in_use.discard(connection)
        if not in_use:
            self._in_use.pop(node.incarnation, None)

    def sweep(self, is_known: Callable[[str], bool]) -> None:
        """Close idle connections that nodes would close soon, and those to nodes that are gone."""
        now_s = self._net.now_s()
        for incarnation in list(self._idle):
            kept = []
            for connection in self._idle[incarnation]:
                if is_known(incarnation) and connection.is_open and not connection.is_stale(now_s):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]

    def close(self) -> None:
        """Close all idle connections."""
        self.sweep(lambda _: False)
