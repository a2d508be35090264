"""Acquires a node for the next attempt, through admission control if all nodes are at capacity."""

from __future__ import annotations

import asyncio

from coveport.serving.model.view import KnownNode
from coveport.serving.proxy.admission import AdmissionQueue, max_wait_s
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.node_selection import NoNode
from coveport.serving.proxy.proxy_context import ProxyContext

# Interval at which the first queued request looks for capacity; short compared with the wait.
POLL_INTERVAL_S = 0.02
MIN_TIME_LEFT_S = 0.01  # if less time is left until the deadline, no node can respond by then


async def acquire_node(context: ProxyContext, request: InFlightRequest) -> KnownNode | None:
    """Return a node for the next attempt, or None if none has capacity in time."""
    routed = request.routed
    queue = context.queues.queue_for(routed.service.name, routed.route.home_regions)
    if not len(queue):
        selected = _choose(context, request)
        if not isinstance(selected, NoNode):
            return selected
    return await _wait_in_queue(context, request, queue)


async def _wait_in_queue(
    context: ProxyContext, request: InFlightRequest, queue: AdmissionQueue
) -> KnownNode | None:
    route = request.routed.route
    now_s = context.net.now_s()
    until_s = min(now_s + max_wait_s(route), request.deadline_s - MIN_TIME_LEFT_S)
    woken = asyncio.Event()
    queued = queue.enqueue(route.priority, woken.set)
    if queued is None:
        return None
    try:
        while now_s < until_s and not queued.is_removed:
            is_first = queue.is_first(queued)
            if is_first and not isinstance(selected := _choose(context, request), NoNode):
                return selected
            woken.clear()
            await _wait(woken, min(POLL_INTERVAL_S, until_s - now_s) if is_first else until_s - now_s)
            now_s = context.net.now_s()
    finally:
        queue.remove(queued)
    return None


def _choose(context: ProxyContext, request: InFlightRequest) -> KnownNode | NoNode:
    return context.selector.choose(request.routed, request.failed_nodes, context.net.now_s())


async def _wait(woken: asyncio.Event, timeout_s: float) -> None:
    """Return when `woken` is set, or after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            await woken.wait()
    except TimeoutError:
        pass
