"""Maintains a proxy's records of nodes: expires them, ejects unresponsive nodes, checks unreachable ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.net.transport import Net
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.connection_pool import ConnectionPool
from coveport.serving.proxy.counters import Counters
from coveport.serving.proxy.node_observations import NodeObservations

SWEEP_INTERVAL_S = 0.2  # short compared with the times that a sweep checks, 0.4 s and more


class NodeMaintenance:
    """A sweep over the records of nodes every `SWEEP_INTERVAL_S`."""

    def __init__(
        self,
        net: Net,
        view: ControlView,
        pool: ConnectionPool,
        observations: NodeObservations,
        counters: Counters,
        max_connections: Callable[[str], int],
    ) -> None:
        """Create a sweep that is not scheduled yet.

        `max_connections` returns this proxy's quota of connections to a known node; 0: no limit.
        """
        self._net = net
        self._max_connections = max_connections
        self._view = view
        self._pool = pool
        self._observations = observations
        self._counters = counters
        self._timer: asyncio.TimerHandle | None = None
        self._health_checks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Sweep now, and schedule the next sweeps."""
        self._sweep()

    def stop(self) -> None:
        """Cancel the next sweep."""
        if self._timer is not None:
            self._timer.cancel()

    def _sweep(self) -> None:
        self._forget_gone_nodes()
        self._eject_unresponsive_nodes()
        self._begin_health_checks()
        self._timer = self._net.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _forget_gone_nodes(self) -> None:
        known = frozenset(self._view.nodes)
        self._pool.sweep(known.__contains__, self._max_connections)
        self._observations.forget_all_but(known)

    def _eject_unresponsive_nodes(self) -> None:
        for incarnation in self._observations.latency.unresponsive(self._net.now_s()):
            self._counters.add("silent")
            # Restarts the time without a response, so that one such period is not counted in every sweep.
            self._observations.latency.record_reachable(incarnation, self._net.now_s())
            self._observations.outliers.record_unreachable(incarnation, self._net.now_s())

    def _begin_health_checks(self) -> None:
        for incarnation in self._observations.outliers.scheduled_health_checks(self._net.now_s()):
            task = self._net.loop.create_task(self._check_health(incarnation))
            self._health_checks.add(task)
            task.add_done_callback(self._health_checks.discard)

    async def _check_health(self, incarnation: str) -> None:
        """Try to connect to an unreachable node, and record the result."""
        known = self._view.nodes.get(incarnation)
        if known is None:
            return
        self._counters.add("trials")
        if await self._pool.check_connect(known.node):
            self._observations.outliers.record_recovered(incarnation)
            self._observations.latency.record_reachable(incarnation, self._net.now_s())
        else:
            self._observations.outliers.record_unreachable(incarnation, self._net.now_s())
