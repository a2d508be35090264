"""The data path of a proxy: serves client requests by forwarding them to nodes.

A request passes through these modules: `client_listener` accepts the connection, `client_connection` parses
the request, `startup_gate` delays it if it comes before the configuration, `request_routing` routes it, and
`exchange` makes the attempts. In each attempt, `node_acquisition` and `admission` wait for capacity,
`node_selection` selects a node, `request_forwarder` sends the request, `response_relay` relays the response,
and `retry_policy` decides whether to retry. `failure_response` responds if no node did.
"""

from __future__ import annotations

from random import Random

from coveport import http1
from coveport.net.transport import Net
from coveport.serving.model.configuration import ClientLimits
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.admission import AdmissionQueues
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.client_listener import ClientListener
from coveport.serving.proxy.connection_pool import ConnectionPool
from coveport.serving.proxy.counters import Counters
from coveport.serving.proxy.event_stream import EventSequence
from coveport.serving.proxy.exchange import Exchange
from coveport.serving.proxy.failure_response import RETRY_AFTER_S, send_routing_failure
from coveport.serving.proxy.headers import first_value
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.load_sampler import LoadSampler
from coveport.serving.proxy.node_maintenance import NodeMaintenance
from coveport.serving.proxy.node_observations import NodeObservations
from coveport.serving.proxy.node_selection import NodeSelector
from coveport.serving.proxy.outlier_ejection import OutlierDetector
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.request_routing import RequestRouter, RoutingFailure, request_timeout_s
from coveport.serving.proxy.retry_budget import RetryBudget
from coveport.serving.proxy.slow_start import SlowStartLimiter
from coveport.serving.proxy.startup_gate import StartupGate
from coveport.serving.proxy.telemetry_reporter import TelemetryReporter
from coveport.serving.resource_budget import ResourceBudget
from coveport.serving.settings.boot import BootSettings, Bounds
from coveport.serving.wire.names import CanonicalHeader, Header


class DataPath:
    """The components of a proxy that forward client requests to nodes."""

    reloadable = frozenset(
        {"bounds.retry_ratio", "bounds.retry_slack", "bounds.warm_up_overshoot", "bounds.warm_up_slack"}
    )

    def __init__(
        self,
        net: Net,
        settings: BootSettings,
        view: ControlView,
        random: Random,
        telemetry: TelemetryReporter | None = None,
        budget: ResourceBudget | None = None,
    ) -> None:
        """Create a data path.

        `random` is the source of all random choices of the data path. `telemetry` counts tenants' requests.
        `budget` is that of the process; None: one for this data path alone.
        """
        self._net = net
        self._settings = settings
        self._view = view
        self._startup_gate = StartupGate(net, view)
        self._router = RequestRouter(view, random)
        self._resources = budget or ResourceBudget(settings.limits.capacity, net.now_s)
        self._listener = ClientListener(net, self._handle, self._limits, self._resources)
        self._counters = Counters()
        self._context = _make_context(net, settings, self._router, random, self._counters)
        self._context.telemetry = telemetry
        if telemetry is not None:
            telemetry.current_loads = self._make_load_sampler().next_loads
        self._maintenance = NodeMaintenance(
            net,
            view,
            self._context.pool,
            self._context.observations,
            self._counters,
            self._max_node_connections,
        )
        self._requests_in_flight = 0
        self._applied_limits = self._limits()
        view.listeners.append(self._apply_limits)

    def _apply_limits(self) -> None:
        """Apply the limits on clients to the connections that were opened under others."""
        limits = self._limits()
        if limits != self._applied_limits:
            self._applied_limits = limits
            self._listener.apply_limits()

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds that can change while the data path runs (`reloadable`)."""
        budget = self._context.budget
        budget.ratio = bounds.retry_ratio
        budget.slack = bounds.retry_slack
        slow_start = self._context.observations.slow_start
        slow_start.overshoot = bounds.warm_up_overshoot
        slow_start.slack = bounds.warm_up_slack

    async def start(self) -> None:
        """Start to serve clients.

        Raises:
            OSError: listening on the address for clients failed.

        """
        assert self._settings.clients is not None
        await self._listener.start(self._settings.clients)
        self._maintenance.start()

    async def drain(self, until_s: float) -> None:
        """Respond to accepted requests, and accept no new connections after one second.

        Return at `until_s` on the clock of `Net.now_s` at the latest.
        """
        await self._listener.drain(until_s)
        self._maintenance.stop()
        self._context.pool.close()

    def metrics(self) -> dict[str, float]:
        """Return the counters and gauges that are logged."""
        return {
            **self._counters.counts,
            "clients": float(len(self._listener)),
            "in_flight": float(self._requests_in_flight),
            "waiting": float(len(self._context.queues)),
            "connects": float(self._context.pool.connects),
            "unsolicited": float(self._context.pool.unsolicited),
            "held_bytes": float(self._resources.used_bytes),
            "sheds": float(self._resources.sheds),
        }

    def _make_load_sampler(self) -> LoadSampler:
        context = self._context
        return LoadSampler(
            self._view,
            context.observations.loads,
            context.queues.lengths_by_service,
            self._settings.zone,
            self._net.now_s,
        )

    def _limits(self) -> ClientLimits:
        configuration = self._view.configuration
        return configuration.limits if configuration is not None else ClientLimits()

    def _max_node_connections(self, incarnation: str) -> int:
        """Return this proxy's quota of connections to a node by the active configuration; 0: no limit."""
        known = self._view.nodes.get(incarnation)
        service = self._router.service(known.node.service) if known is not None else None
        return self._context.selector.max_connections(service) if service is not None else 0

    async def _handle(self, message: http1.Request, client: ClientConnection) -> None:
        """Respond to a request."""
        arrived_s = self._net.now_s()
        self._counters.add("requests")
        self._requests_in_flight += 1
        try:
            await self._startup_gate.wait()
            if not self._router.has_configuration:
                client.answer(503, [(CanonicalHeader.RETRY_AFTER, str(RETRY_AFTER_S))])
                return
            routed = self._router.route(message)
            if isinstance(routed, RoutingFailure):
                send_routing_failure(client, self._counters, routed)
                return
            deadline_s = arrived_s + request_timeout_s(message, routed.route)
            sequence = EventSequence(first_value(message.headers, Header.LAST_EVENT_ID))
            request = InFlightRequest(message, client, routed, arrived_s, deadline_s, sequence)
            self._context.budget.record_request(routed.service.name, arrived_s)
            await Exchange(self._context, request).run()
        finally:
            self._requests_in_flight -= 1


def _make_context(
    net: Net, settings: BootSettings, router: RequestRouter, random: Random, counters: Counters
) -> ProxyContext:
    view = router.view
    bounds = settings.bounds
    pool = ConnectionPool(net, settings.region)
    slow_start = SlowStartLimiter(bounds.warm_up_overshoot, bounds.warm_up_slack, random)
    observations = NodeObservations(view, OutlierDetector(random), slow_start)
    selector = NodeSelector(view, settings.region, random, pool, observations)
    budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
    queues = AdmissionQueues()
    return ProxyContext(net, view, random, pool, selector, observations, budget, queues, counters, router)
