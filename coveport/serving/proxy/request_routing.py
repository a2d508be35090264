"""Routes a client's request: finds its route, tenant, service, prompt segments and time-out."""

from __future__ import annotations

from enum import Enum
from random import Random

from coveport import http1
from coveport.serving.model.configuration import Route, Service
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.headers import first_value, whole_number
from coveport.serving.proxy.prompt_segments import parse_segments
from coveport.serving.proxy.route_table import RouteTable, choose_service
from coveport.serving.proxy.routed_request import RoutedRequest
from coveport.serving.proxy.tenant_index import route_for_tenant
from coveport.serving.wire.names import Header

# Time-out if neither the client nor the route sets one, so that every request ends.
DEFAULT_TIMEOUT_S = 3600.0


class RoutingFailure(Enum):
    """Reasons why a request is not forwarded."""

    NO_ROUTE = "no route, or no service of one, takes it"
    UNAUTHORIZED = "its route needs an API key, and it has none that is known"


class RequestRouter:
    """Routes requests by the active configuration."""

    def __init__(self, view: ControlView, random: Random) -> None:
        self.view = view
        self._random = random
        self._table: RouteTable | None = None

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration has been received."""
        return self.view.configuration is not None

    def is_current(self, routed: RoutedRequest) -> bool:
        """Return whether the request was routed by the configuration that is now the newest."""
        configuration = self.view.configuration
        return configuration is not None and configuration.edition == routed.edition

    def route(self, message: http1.Request) -> RoutedRequest | RoutingFailure:
        """Return the routed request, with a service drawn by weight, or the reason for not forwarding it."""
        table = self._current_table()
        if table is None:
            return RoutingFailure.NO_ROUTE
        route = table.find(first_value(message.headers, "host") or "", message.target)
        if route is None:
            return RoutingFailure.NO_ROUTE
        tenant = table.tenants.find(message.headers) if table.tenants is not None else None
        if table.tenants is not None and not table.tenants.admits(route, message.headers, tenant):
            return RoutingFailure.UNAUTHORIZED
        service = table.services.get(choose_service(route, self._random) or "")
        if service is None:
            return RoutingFailure.NO_ROUTE
        segments = parse_segments(first_value(message.headers, Header.PROMPT_PREFIX))
        return RoutedRequest(
            route_for_tenant(route, tenant),
            service,
            segments,
            tenant.name if tenant is not None else None,
            table.configuration.edition,
        )

    def service(self, name: str) -> Service | None:
        """Return a service of the active configuration; None if there is no such service."""
        table = self._current_table()
        return table.services.get(name) if table is not None else None

    def _current_table(self) -> RouteTable | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        if self._table is None or self._table.configuration is not configuration:
            self._table = RouteTable.of(configuration)
        return self._table


def request_timeout_s(message: http1.Request, route: Route) -> float:
    """Return the request's time-out in seconds: the lesser of the client's time left and the route's."""
    timeout_s = route.timeout_ms / 1000 if route.timeout_ms > 0 else DEFAULT_TIMEOUT_S
    time_left_ms = whole_number(first_value(message.headers, Header.TIME_LEFT) or "")
    if time_left_ms is not None:
        timeout_s = min(timeout_s, time_left_ms / 1000)
    return timeout_s
