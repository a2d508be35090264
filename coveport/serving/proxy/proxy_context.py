"""The components that all requests of a proxy share."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from coveport.net.transport import Net
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.admission import AdmissionQueues
from coveport.serving.proxy.connection_pool import ConnectionPool
from coveport.serving.proxy.counters import Counters
from coveport.serving.proxy.node_observations import NodeObservations
from coveport.serving.proxy.node_selection import NodeSelector
from coveport.serving.proxy.request_routing import RequestRouter
from coveport.serving.proxy.retry_budget import RetryBudget
from coveport.serving.proxy.telemetry_reporter import TelemetryReporter


@dataclass(slots=True)
class ProxyContext:
    """The components of a proxy that outlive a request."""

    net: Net
    view: ControlView
    random: Random
    pool: ConnectionPool
    selector: NodeSelector
    observations: NodeObservations
    budget: RetryBudget
    queues: AdmissionQueues
    counters: Counters
    router: RequestRouter
    telemetry: TelemetryReporter | None = None  # None: tenants' requests are not counted
