"""Connections to nodes: few, and reused, since each new one costs a handshake."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.net.address import parse_address
from coveport.net.transport import Net
from coveport.system.model.node import Node
from coveport.system.proxy.node_connection import NodeConnection

CONNECT_S = 0.4  # in which a connect has to come up, beside the way
FAR_CONNECT_S = 0.6  # ... to another region
SWEEP_S = 0.5


class ConnectFailedError(Exception):
    """No connection came up; nothing was sent."""


class NodePool:
    """Idle connections by incarnation, and a count of all of them."""

    def __init__(self, net: Net, region: str) -> None:
        self._net = net
        self._region = region
        self._idle: dict[str, list[NodeConnection]] = {}
        self._in_use: dict[str, int] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self.connects = 0

    def has_room(self, incarnation: str, most: int) -> bool:
        """Whether one more request to the node stays under so many connections."""
        return most <= 0 or self._in_use.get(incarnation, 0) < most

    async def take(self, node: Node) -> NodeConnection:
        """A connection to the node, idle or new; ConnectFailedError where none comes up."""
        now_s = self._net.now_s()
        idle = self._idle.get(node.incarnation, [])
        while idle:
            connection = idle.pop()
            if connection.is_open and not connection.is_stale(now_s):
                self._count(node.incarnation, 1)
                return connection
            connection.close()
        self._count(node.incarnation, 1)
        try:
            return await self._connect(node)
        except BaseException:
            self._count(node.incarnation, -1)
            raise

    async def _connect(self, node: Node) -> NodeConnection:
        self.connects += 1
        connection = NodeConnection(self._net)
        within_s = CONNECT_S if node.region == self._region else FAR_CONNECT_S
        try:
            async with asyncio.timeout(within_s):
                await self._net.dial(lambda: connection, parse_address(node.address))
        except (OSError, TimeoutError, ValueError) as problem:
            raise ConnectFailedError(str(problem)) from None
        return connection

    def give_back(self, node: Node, connection: NodeConnection) -> None:
        """The answer is whole: keep the connection if it can carry another request."""
        self._count(node.incarnation, -1)
        if connection.release(self._net.now_s()):
            self._idle.setdefault(node.incarnation, []).append(connection)

    def drop(self, node: Node, connection: NodeConnection) -> None:
        """The answer is not whole or not wanted."""
        self._count(node.incarnation, -1)
        connection.close()

    def _count(self, incarnation: str, change: int) -> None:
        count = self._in_use.get(incarnation, 0) + change
        if count:
            self._in_use[incarnation] = count
        else:
            self._in_use.pop(incarnation, None)

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
