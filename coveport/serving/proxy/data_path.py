"""The data path of a proxy: listens to clients, and forwards what they send."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from coveport.http1 import codec
from coveport.net.transport import Listening, Net
from coveport.serving.model.configuration import ClientLimits, Route
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.admission import WaitingQueues
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.exchange import RETRY_AFTER_S, Exchange, Tools
from coveport.serving.proxy.headers import first
from coveport.serving.proxy.node_health import NodeHealth
from coveport.serving.proxy.node_pace import NodePace
from coveport.serving.proxy.node_pool import SWEEP_S, NodePool
from coveport.serving.proxy.prompt_parts import read_parts
from coveport.serving.proxy.retry_budget import RetryBudget
from coveport.serving.proxy.routing import RouteTable, choose_service
from coveport.serving.proxy.selection import NodeSelection, Wanted
from coveport.serving.proxy.startup_hold import StartupHold
from coveport.serving.proxy.warm_up import WarmUpCredit
from coveport.serving.settings.boot import BootSettings
from coveport.serving.wire.names import CanonicalHeader, Header

ACCEPT_MOST = 64  # connections taken in one turn of the loop
WAITING_MOST = 512  # connections that wait below
LISTENS_ON_S = 1.0  # how long a draining proxy still takes connections of clients that have not heard
LOOK_S = 0.05  # how often a drain looks whether all is answered
LONGEST_S = 3600.0  # where neither client nor route gives a time


class _Counters:
    """Counts since the start."""

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}

    def add(self, name: str) -> None:
        """One more."""
        self.counts[name] = self.counts.get(name, 0) + 1


class DataPath:
    """Everything between clients and nodes."""

    def __init__(self, net: Net, settings: BootSettings, view: ControlView, log: Any, random: Random) -> None:
        self._net = net
        self._settings = settings
        self._view = view
        self._log = log
        self._random = random
        self._clients: set[ClientConnection] = set()
        self._serving = 0
        self._listening: Listening | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._table: RouteTable | None = None
        self._startup = StartupHold(net, view)
        self._counters = _Counters()
        bounds = settings.bounds
        self._pool = NodePool(net, settings.region)
        self._health = NodeHealth(random)
        self._pace = NodePace()
        self._warm_up = WarmUpCredit(bounds.warm_up_overshoot, bounds.warm_up_slack, random)
        self._trials: set[asyncio.Task[None]] = set()
        selection = NodeSelection(
            view, settings.region, random, self._health, self._warm_up, self._pool, self._pace
        )
        budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
        self._tools = Tools(net, view, random, self._pool, selection, budget, WaitingQueues(), self._counters)
        self.is_draining = False

    async def start(self) -> None:
        """Begin to listen to clients; OSError where that can't be."""
        assert self._settings.clients is not None
        self._listening = await self._net.listen(
            lambda: ClientConnection(self._net, self, self._limits),
            self._settings.clients,
            accept_most=ACCEPT_MOST,
            waiting_most=WAITING_MOST,
        )
        self._sweep()

    async def drain(self, until_s: float) -> None:
        """Answer all that was taken, take nothing new; returns when nothing is owed, or at `until_s`."""
        self.is_draining = True
        listens_until_s = min(until_s, self._net.now_s() + LISTENS_ON_S)
        await self._sleep_until(listens_until_s)
        if self._listening is not None:
            self._listening.close()
        while self._net.now_s() < until_s and self._clients:
            for client in list(self._clients):
                if client.is_idle:
                    client.close_idle()
            await self._sleep_until(min(until_s, self._net.now_s() + LOOK_S))
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._pool.close()

    async def _sleep_until(self, until_s: float) -> None:
        await asyncio.sleep(max(0.0, until_s - self._net.now_s()))

    def figures(self) -> dict[str, float]:
        """Counts for the log."""
        return {
            **self._counters.counts,
            "clients": float(len(self._clients)),
            "in_flight": float(self._serving),
            "waiting": float(len(self._tools.queues)),
            "connects": float(self._pool.connects),
        }

    # What client connections ask.

    def joined(self, connection: ClientConnection) -> None:
        """A client has connected."""
        self._clients.add(connection)

    def left(self, connection: ClientConnection) -> None:
        """... and is gone."""
        self._clients.discard(connection)

    def _limits(self) -> ClientLimits:
        configuration = self._view.configuration
        return configuration.limits if configuration is not None else ClientLimits()

    async def serve(self, request: codec.Request, connection: ClientConnection) -> None:
        """Answer a request."""
        arrived_s = self._net.now_s()
        self._counters.add("requests")
        self._serving += 1
        try:
            await self._startup.wait()
            table = self._current_table()
            if table is None:  # not told of any configuration yet
                connection.answer(503, [(CanonicalHeader.RETRY_AFTER, str(RETRY_AFTER_S))])
                return
            exchange = self._exchange(table, request, connection, arrived_s)
            if exchange is None:
                self._counters.add("no_route")
                connection.answer(404, [])
                return
            await self._run(exchange, arrived_s)
        finally:
            self._serving -= 1

    async def _run(self, exchange: Exchange, arrived_s: float) -> None:
        self._tools.budget.note_request(exchange.wanted.service.name, arrived_s)
        try:
            async with asyncio.timeout_at(exchange.deadline_s):
                await exchange.run()
        except TimeoutError:
            self._counters.add("deadline")
            exchange.give_up(at_deadline=True)

    def _exchange(
        self, table: RouteTable, request: codec.Request, connection: ClientConnection, arrived_s: float
    ) -> Exchange | None:
        """The request with its route and deadline; None without a route."""
        route = table.find(first(request.headers, "host") or "", request.target)
        if route is None:
            return None
        service = table.services.get(choose_service(route, self._random) or "")
        if service is None:
            return None
        wanted = Wanted(route, service, read_parts(first(request.headers, Header.PROMPT_PREFIX)))
        return Exchange(self._tools, request, connection, wanted, arrived_s + self._time_s(request, route))

    def _current_table(self) -> RouteTable | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        if self._table is None or self._table.configuration is not configuration:
            self._table = RouteTable.of(configuration)
        return self._table

    def _time_s(self, request: codec.Request, route: Route) -> float:
        """How long the request may take: the least of what the client waits and the route allows."""
        time_s = route.timeout_ms / 1000 if route.timeout_ms > 0 else LONGEST_S
        told = first(request.headers, Header.TIME_LEFT)
        if told is not None and told.isdigit():
            time_s = min(time_s, int(told) / 1000)
        return time_s

    def _sweep(self) -> None:
        """Forget nodes that are gone, close connections that idle, and try nodes that did not answer."""
        known = frozenset(self._view.nodes)
        self._health.forget_all_but(known)
        self._warm_up.forget_all_but(known)
        self._pool.sweep(known.__contains__)
        self._pace.forget_all_but(known)
        self._tools.selection.strain.forget_all_but(known)
        for incarnation in self._pace.silent(self._net.now_s()):
            self._counters.add("silent")
            self._pace.note_reached(incarnation, self._net.now_s())  # counted anew, beside the trials
            self._health.note_unreachable(incarnation, self._net.now_s())
        for incarnation in self._health.due_trials(self._net.now_s()):
            task = self._net.loop.create_task(self._try(incarnation))
            self._trials.add(task)
            task.add_done_callback(self._trials.discard)
        self._sweep_timer = self._net.loop.call_later(SWEEP_S, self._sweep)

    async def _try(self, incarnation: str) -> None:
        """A timed trial: connect to a node that could not be reached."""
        found = self._view.nodes.get(incarnation)
        if found is None:
            return
        self._counters.add("trials")
        if await self._pool.try_connect(found.node):
            self._health.note_good_end(incarnation)
            self._pace.note_reached(incarnation, self._net.now_s())
        else:
            self._health.note_unreachable(incarnation, self._net.now_s())
