"""Decides when a node that sends nothing is abandoned for another one."""

from __future__ import annotations

from functools import partial

from coveport.serving.model.view import KnownNode
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.node_selection import NoNode
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.retry_policy import RetryPolicy
from coveport.serving.proxy.stall_timeouts import StallTimeouts

HEAD_STALL_S = 2.0  # to the first byte: shorter, it would move requests out of a long queue; not measured
HEAD_STALL_PER_TOKEN_S = 0.00005  # of the prompt, which is prefilled first; not measured
EVENT_STALL_S = 1.2  # between events, where the route's target for gaps is short; not measured
EVENT_STALL_GAPS = 3  # or so many times that target; not measured
NODE_STALL_S = 0.8  # the node sends nothing to other requests either; measurement `unresponsive-time`


def stall_timeouts(
    context: ProxyContext, request: InFlightRequest, retries: RetryPolicy, known: KnownNode
) -> StallTimeouts:
    """Return how long the node may send nothing in answer to an idempotent request."""
    route = request.routed.route
    tokens = sum(segment.tokens for segment in request.routed.segments)
    return StallTimeouts(
        head_s=max(HEAD_STALL_S, route.latency_target_ms / 1000) + HEAD_STALL_PER_TOKEN_S * tokens,
        event_s=max(EVENT_STALL_S, EVENT_STALL_GAPS * route.inter_token_target_ms / 1000),
        may_abandon=partial(_may_abandon, context, request, retries, known),
    )


def _may_abandon(
    context: ProxyContext, request: InFlightRequest, retries: RetryPolicy, known: KnownNode
) -> bool:
    """Return whether the node sends nothing to anyone, and another can take the request.

    Reserves the retry where it returns True.
    """
    incarnation = known.node.incarnation
    now_s = context.net.now_s()
    if context.pool.last_received_s(incarnation) > now_s - NODE_STALL_S or not retries.may_run_twice:
        return False
    alternative = context.selector.choose(request.routed, {*request.failed_nodes, incarnation}, now_s)
    if isinstance(alternative, NoNode) or alternative.node.incarnation == incarnation:
        return False
    return retries.reserve()
