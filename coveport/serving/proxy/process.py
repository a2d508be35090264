"""One proxy, wired: subscription, data path, readiness, signals."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from coveport.net.transport import Net
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.coordinator_choice import CoordinatorChoice
from coveport.serving.proxy.data_path import DataPath
from coveport.serving.proxy.readiness import ReadinessCalls
from coveport.serving.proxy.subscription import Subscription
from coveport.serving.role_process import run_process
from coveport.serving.settings.boot import BootSettings
from coveport.serving.web.router import Router
from coveport.serving.web.server import HttpServer

STOP_PART = 0.9  # of the time that the platform grants a stop
FIGURES_S = 10.0  # between two log lines of figures


class Proxy:
    """One proxy's life."""

    def __init__(self, net: Net, settings: BootSettings, chance: random.Random, log: Any) -> None:
        assert settings.clients is not None
        self._net = net
        self._settings = settings
        self._log = log
        self.view = ControlView()
        self.data_path = DataPath(net, settings, self.view, log, chance)
        self._life = int(net.unix_s() * 1000)
        seeds = [f"{host}:{settings.inner_ports[0]}" for host, _ in settings.seeds]
        chance.shuffle(seeds)
        choice = CoordinatorChoice(settings.zone, settings.region, tuple(seeds))
        self.subscription = Subscription(net, self.view, choice, self._make_lease, log, chance)
        self._readiness: HttpServer | None = None
        if settings.readiness is not None:
            router = Router(ReadinessCalls(self.is_ready))
            self._readiness = HttpServer(net, settings.readiness, router.dispatch)
        self._is_serving = False
        self._is_stopping = False
        self._figures: asyncio.TimerHandle | None = None

    def is_ready(self) -> bool:
        """Whether clients are welcome."""
        return self._is_serving and not self._is_stopping and bool(self.view.nodes)

    async def start(self) -> None:
        """Ask for the configuration. Clients that come before it is there wait a moment."""
        self.view.listeners.append(self._view_changed)
        await self.data_path.start()
        if self._readiness is not None:
            await self._readiness.start()
        self.subscription.start()
        self._tell_figures()
        self._log.info("proxy_started", name=self._settings.name, zone=self._settings.zone)

    async def stop(self) -> None:
        """The planned end: nothing new, everything taken is answered."""
        self._is_stopping = True
        self._log.info("proxy_stopping", **self.data_path.figures())
        until_s = self._net.now_s() + self._settings.bounds.grace_s * STOP_PART
        await self.data_path.drain(until_s)
        self.subscription.stop()
        if self._readiness is not None:
            self._readiness.stop()
        if self._figures is not None:
            self._figures.cancel()
        self._log.info("proxy_stopped", **self.data_path.figures())

    def _view_changed(self) -> None:
        if self._is_serving or self.view.configuration is None or not self.view.nodes:
            return
        self._is_serving = True
        self._log.info("proxy_serving", nodes=len(self.view.nodes))

    def _make_lease(self, round_number: int) -> ProxyLease:
        settings = self._settings
        assert settings.clients is not None
        host, port = settings.clients
        return ProxyLease(
            name=settings.name,
            address=f"{host}:{port}",
            zone=settings.zone,
            region=settings.region,
            ready=self.is_ready(),
            renewal=round_number,
            incarnation=self._life,
        )

    def _tell_figures(self) -> None:
        self._figures = self._net.loop.call_later(FIGURES_S, self._tell_figures)
        self._log.info("proxy_metrics", **self.data_path.figures())


def run(settings_path: str) -> int:
    """Run a proxy until it is told to stop; the exit code."""
    return run_process(settings_path, ("clients",), _make)


def _make(net: Net, settings: BootSettings, log: Any) -> Proxy:
    return Proxy(net, settings, random.Random(), log)
