"""Routes a client's request: route, tenant, service, the segments of its prompt, and the time it has."""

from __future__ import annotations

from enum import Enum
from random import Random

from coveport import http1
from coveport.serving.model.configuration import Route
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.headers import first, whole_number
from coveport.serving.proxy.prompt_segments import parse_segments
from coveport.serving.proxy.route_table import RouteTable, choose_service
from coveport.serving.proxy.routed_request import RoutedRequest
from coveport.serving.proxy.tenant_index import route_for_tenant
from coveport.serving.wire.names import Header

DEFAULT_TIMEOUT_S = 3600.0  # where neither client nor route bounds the time: an hour, to end at some time


class RoutingFailure(Enum):
    """Why a request is not forwarded."""

    NO_ROUTE = "no route, or no service of one, takes it"
    UNAUTHORIZED = "its route needs an API key, and it has none that is known"


class RequestRouter:
    """Routes requests by the configuration in force."""

    def __init__(self, view: ControlView, random: Random) -> None:
        self.view = view
        self._random = random
        self._table: RouteTable | None = None

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is known."""
        return self.view.configuration is not None

    def is_current(self, routed: RoutedRequest) -> bool:
        """Return whether the configuration that decided on a request is still the newest."""
        configuration = self.view.configuration
        return configuration is not None and configuration.edition == routed.edition

    def route(self, message: http1.Request) -> RoutedRequest | RoutingFailure:
        """Return the routed request, or why it is not forwarded; draws the service of the route."""
        table = self._current_table()
        if table is None:
            return RoutingFailure.NO_ROUTE
        route = table.find(first(message.headers, "host") or "", message.target)
        if route is None:
            return RoutingFailure.NO_ROUTE
        tenant = table.tenants.find(message.headers) if table.tenants is not None else None
        if table.tenants is not None and not table.tenants.admits(route, message.headers, tenant):
            return RoutingFailure.UNAUTHORIZED
        service = table.services.get(choose_service(route, self._random) or "")
        if service is None:
            return RoutingFailure.NO_ROUTE
        segments = parse_segments(first(message.headers, Header.PROMPT_PREFIX))
        return RoutedRequest(
            route_for_tenant(route, tenant),
            service,
            segments,
            tenant.name if tenant is not None else None,
            table.configuration.edition,
        )

    def _current_table(self) -> RouteTable | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        if self._table is None or self._table.configuration is not configuration:
            self._table = RouteTable.of(configuration)
        return self._table


def request_timeout_s(message: http1.Request, route: Route) -> float:
    """Return how many seconds the request may take: the least of the client's time left and the route's."""
    timeout_s = route.timeout_ms / 1000 if route.timeout_ms > 0 else DEFAULT_TIMEOUT_S
    time_left_ms = whole_number(first(message.headers, Header.TIME_LEFT) or "")
    if time_left_ms is not None:
        timeout_s = min(timeout_s, time_left_ms / 1000)
    return timeout_s
