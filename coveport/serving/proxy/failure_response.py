"""The proxy's own answer to a request for which no node gave one."""

from __future__ import annotations

from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.counters import Counters
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.request_routing import RoutingFailure
from coveport.serving.wire.names import CanonicalHeader

RETRY_AFTER_S = 0.3  # on average; capacity frees up within it, and clients don't return at once; not measured

AUTHENTICATION_SCHEME = "ApiKey"  # RFC 9110, 11.6.1: a 401 names one


def send_routing_failure(client: ClientConnection, counters: Counters, failure: RoutingFailure) -> None:
    """Answer 404 where no route takes the request, 401 where it has no API key that is known."""
    if failure is RoutingFailure.NO_ROUTE:
        counters.add("no_route")
        client.answer(404, [])
    else:
        counters.add("unauthorized")
        client.answer(401, [(CanonicalHeader.AUTHENTICATE, AUTHENTICATION_SCHEME)])


def send_failure(context: ProxyContext, request: InFlightRequest, *, at_deadline: bool = False) -> None:
    """Answer 503 with Retry-After where nothing ran, else 502, or 504 at the deadline.

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
