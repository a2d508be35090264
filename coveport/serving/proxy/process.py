"""The process of one proxy: data path, subscription and readiness, from start to stop."""

from __future__ import annotations

import asyncio
from random import Random

from coveport.net.transport import Net
from coveport.serving.log import EventLogger
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.coordinator_selection import CoordinatorSelector
from coveport.serving.proxy.data_path import DataPath
from coveport.serving.proxy.readiness import ReadinessApi
from coveport.serving.proxy.subscription import SelfReports, Subscription
from coveport.serving.proxy.telemetry_reporter import TelemetryReporter
from coveport.serving.resource_budget import ResourceBudget
from coveport.serving.role_process import run_process
from coveport.serving.settings.boot import BootSettings
from coveport.serving.web.router import Router
from coveport.serving.web.server import HttpServer

# Part of the grace period used for draining; the rest is left for the process to exit.
SHUTDOWN_TIME_RATIO = 0.9
METRICS_INTERVAL_S = 10.0  # time between two log lines of metrics


class Proxy:
    """One run of a proxy."""

    reloadable = frozenset({"seeds", "bounds.grace_s", *DataPath.reloadable})

    def __init__(
        self,
        net: Net,
        settings: BootSettings,
        random: Random,
        log: EventLogger,
        usage_window_s: float | None = None,
    ) -> None:
        """Create a proxy; `usage_window_s` is the length of usage windows, None if usage is not reported."""
        assert settings.clients is not None
        self._net = net
        self._settings = settings
        self._log = log
        self.view = ControlView()
        self._incarnation = int(net.unix_s() * 1000)
        self._telemetry = _make_telemetry(net, settings, self._incarnation, usage_window_s)
        budget = ResourceBudget(settings.limits.capacity, net.now_s)
        self.data_path = DataPath(net, settings, self.view, random, self._telemetry, budget)
        self._random = random
        self._selector = CoordinatorSelector(settings.zone, settings.region, self._shuffled_seeds())
        reports = SelfReports(self._make_lease, self._telemetry)
        self.subscription = Subscription(net, self.view, self._selector, reports, log, random)
        self._readiness: HttpServer | None = None
        if settings.readiness is not None:
            router = Router(ReadinessApi(self.is_ready))
            self._readiness = HttpServer(net, settings.readiness, router.dispatch, budget)
        self._is_serving = False
        self._is_stopping = False
        self._metrics_timer: asyncio.TimerHandle | None = None

    def is_ready(self) -> bool:
        """Return whether the proxy serves clients."""
        return self._is_serving and not self._is_stopping and bool(self.view.nodes)

    def apply_settings(self, settings: BootSettings) -> None:
        """Apply the settings that can change while this proxy runs (`reloadable`)."""
        self._settings = settings
        self._selector.seeds = self._shuffled_seeds()
        self.data_path.apply_bounds(settings.bounds)

    def _shuffled_seeds(self) -> tuple[str, ...]:
        """Return the inner addresses of the seeds, in an order that is random for each proxy."""
        seeds = [f"{host}:{self._settings.inner_ports[0]}" for host, _ in self._settings.seeds]
        self._random.shuffle(seeds)
        return tuple(seeds)

    async def start(self) -> None:
        """Start to listen for clients, and subscribe to the configuration that the first requests need."""
        self.view.listeners.append(self._on_view_changed)
        await self.data_path.start()
        if self._readiness is not None:
            await self._readiness.start()
        self.subscription.start()
        self._log_metrics()
        self._log.info("proxy_started", name=self._settings.name, zone=self._settings.zone)

    async def stop(self) -> None:
        """Shut down gracefully: accept connections for one more second, and answer all accepted requests."""
        self._is_stopping = True
        self._log.info("proxy_stopping", **self.data_path.metrics())
        until_s = self._net.now_s() + self._settings.bounds.grace_s * SHUTDOWN_TIME_RATIO
        await self.data_path.drain(until_s)
        self.subscription.stop()
        if self._readiness is not None:
            self._readiness.stop()
        if self._metrics_timer is not None:
            self._metrics_timer.cancel()
        self._log.info("proxy_stopped", **self.data_path.metrics())

    def _on_view_changed(self) -> None:
        if self._is_serving or self.view.configuration is None or not self.view.nodes:
            return
        self._is_serving = True
        self._log.info("proxy_serving", nodes=len(self.view.nodes))

    def _make_lease(self, request_number: int) -> ProxyLease:
        settings = self._settings
        assert settings.clients is not None
        host, port = settings.clients
        return ProxyLease(
            name=settings.name,
            address=f"{host}:{port}",
            zone=settings.zone,
            region=settings.region,
            ready=self.is_ready(),
            renewal=request_number,
            incarnation=self._incarnation,
        )

    def _log_metrics(self) -> None:
        self._metrics_timer = self._net.loop.call_later(METRICS_INTERVAL_S, self._log_metrics)
        self._log.info("proxy_metrics", **self.data_path.metrics())


def _make_telemetry(
    net: Net, settings: BootSettings, incarnation: int, usage_window_s: float | None
) -> TelemetryReporter | None:
    if usage_window_s is None:
        return None
    return TelemetryReporter(net, settings.name, incarnation, usage_window_s)


def run(settings_path: str) -> int:
    """Run a proxy until a signal stops it, and return the exit code."""
    return run_process(settings_path, ("clients",), _make)


def _make(net: Net, settings: BootSettings, log: EventLogger) -> Proxy:
    return Proxy(net, settings, Random(), log, _usage_window_s(settings))


def _usage_window_s(settings: BootSettings) -> float | None:
    """Return the length of usage windows; None without a platform, which would receive the usage reports."""
    return settings.bounds.usage_window_s if settings.platform is not None else None
