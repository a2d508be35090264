"""Decides when an unresponsive node is abandoned for another node."""

from __future__ import annotations

from functools import partial

from coveport.serving.model.view import KnownNode
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.node_selection import NoNode
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.retry_policy import RetryPolicy
from coveport.serving.proxy.stall_timeouts import StallTimeouts

HEAD_STALL_S = 2.0  # time-out to the first byte; a shorter one would move requests out of a node's long queue
HEAD_STALL_PER_TOKEN_S = 0.00005  # extra time per token of the prompt, which is prefilled first
EVENT_STALL_S = 1.2  # minimum time-out between events, for routes with a short inter-token target
EVENT_STALL_TARGET_RATIO = 3  # time-out between events, as a multiple of the inter-token target
NODE_STALL_S = 0.8  # time without bytes on any connection to the node; measured (`unresponsive-time`)


def stall_timeouts(
    context: ProxyContext, request: InFlightRequest, retries: RetryPolicy, known_node: KnownNode
) -> StallTimeouts:
    """Return the stall time-outs of an idempotent request."""
    route = request.routed.route
    tokens = sum(segment.tokens for segment in request.routed.segments)
    return StallTimeouts(
        head_s=max(HEAD_STALL_S, route.latency_target_ms / 1000) + HEAD_STALL_PER_TOKEN_S * tokens,
        event_s=max(EVENT_STALL_S, EVENT_STALL_TARGET_RATIO * route.inter_token_target_ms / 1000),
        may_abandon=partial(_may_abandon, context, request, retries, known_node),
    )


def _may_abandon(
    context: ProxyContext, request: InFlightRequest, retries: RetryPolicy, known_node: KnownNode
) -> bool:
    """Return whether the node is unresponsive to all requests, and another node can take this one.

    If so, the retry is reserved.
    """
    incarnation = known_node.node.incarnation
    now_s = context.net.now_s()
    if context.pool.last_received_s(incarnation) > now_s - NODE_STALL_S or not retries.may_run_twice:
        return False
    alternative = context.selector.choose(request.routed, {*request.failed_nodes, incarnation}, now_s)
    if isinstance(alternative, NoNode) or alternative.node.incarnation == incarnation:
        return False
    return retries.reserve()
