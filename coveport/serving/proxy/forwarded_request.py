"""Builds the request that is forwarded to a node."""

from __future__ import annotations

from collections.abc import Iterator

from coveport import http1
from coveport.serving.proxy.headers import end_to_end_headers, utf8_value
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.prefix_cache import PrefixCacheIndex
from coveport.serving.proxy.request_priority import request_priority
from coveport.serving.wire.names import CanonicalHeader, Header

_REPLACED_HEADERS = frozenset(
    {
        Header.TIME_LEFT,
        Header.EXPECT_INCARNATION,
        Header.LAST_EVENT_ID,
        Header.PRIORITY,
        Header.EXPECT_VERSION,
        Header.API_KEY,
        Header.TENANT,
    }
)


def write_forwarded_head(
    request: InFlightRequest, incarnation: str, prefix_cache: PrefixCacheIndex, now_s: float
) -> bytes:
    """Return the head of the request for one incarnation; its body is sent as the client sent it."""
    message = request.message
    headers = _headers(request, incarnation, prefix_cache, now_s)
    return http1.write_request_head(message.method, message.target, headers, len(message.body))


def _headers(
    request: InFlightRequest, incarnation: str, prefix_cache: PrefixCacheIndex, now_s: float
) -> Iterator[tuple[str, str]]:
    yield from end_to_end_headers(request.message.headers, _REPLACED_HEADERS)
    if request.sequence.last_id is not None:
        yield CanonicalHeader.LAST_EVENT_ID, request.sequence.last_id
    yield CanonicalHeader.TIME_LEFT, str(max(1, int((request.deadline_s - now_s) * 1000)))
    yield CanonicalHeader.EXPECT_INCARNATION, incarnation
    if request.routed.tenant is not None:
        yield CanonicalHeader.TENANT, utf8_value(request.routed.tenant)
    if request.routed.segments:
        yield CanonicalHeader.PRIORITY, str(_priority(request, incarnation, prefix_cache, now_s))


def _priority(
    request: InFlightRequest, incarnation: str, prefix_cache: PrefixCacheIndex, now_s: float
) -> int:
    """Return the priority that is sent to the node.

    The time left in the request also reflects the time that the client spent before it reached this proxy.
    """
    route = request.routed.route
    spent_s = max(0.0, route.timeout_ms / 1000 - (request.deadline_s - now_s))
    uncached_tokens = prefix_cache.uncached_tokens(request.routed.segments, incarnation)
    return request_priority(uncached_tokens, route.latency_target_ms / 1000 - spent_s)
