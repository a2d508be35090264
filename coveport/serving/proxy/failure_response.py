"""The proxy's own responses to requests that no node responded to."""

from __future__ import annotations

from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.counters import Counters
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.request_routing import RoutingFailure
from coveport.serving.wire.names import CanonicalHeader

RETRY_AFTER_S = 0.3  # mean; long enough for capacity to become free; randomized to spread the retries

AUTHENTICATION_SCHEME = "ApiKey"  # RFC 9110, 11.6.1: a 401 response must name a scheme


def send_routing_failure(client: ClientConnection, counters: Counters, failure: RoutingFailure) -> None:
    """Respond with 404 where no route matches the request, with 401 where it has no valid API key."""
    if failure is RoutingFailure.NO_ROUTE:
        counters.add("no_route")
        client.answer(404, [])
    else:
        counters.add("unauthorized")
        client.answer(401, [(CanonicalHeader.AUTHENTICATE, AUTHENTICATION_SCHEME)])


def send_failure(context: ProxyContext, request: InFlightRequest, *, at_deadline: bool = False) -> None:
    """Respond with 503 and Retry-After if the request can't have run, else with 502, or 504 at the deadline.

    A response that has begun is aborted instead, so that it doesn't look complete.
    """
    counters = context.counters
    if request.client.has_begun:
        counters.add("aborted")
        request.client.abort()
    elif request.may_have_run:
        counters.add("failed")
        request.client.answer(504 if at_deadline else 502, [])
    else:
        counters.add("refused")
        retry_after_s = RETRY_AFTER_S * (0.5 + context.random.random())
        request.client.answer(503, [(CanonicalHeader.RETRY_AFTER, f"{retry_after_s:.2f}")])
