"""What nodes call: heartbeats and goodbyes."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from coveport.net.address import parse_address
from coveport.serving.coordinator.node_report_replication import NodeReportReplicator
from coveport.serving.model.findings import Findings, Refusal
from coveport.serving.model.node import Node, NodeState, deregistration
from coveport.serving.web.messages import ApiRequest, ApiResponse, json_response
from coveport.serving.web.router import route
from coveport.serving.wire.names import ERROR, Heartbeat, Path

_STATES = {Heartbeat.ACCEPTING: NodeState.ACCEPTING, Heartbeat.CLOSING: NodeState.DRAINING}


class NodeApi:
    """Handlers of the nodes' calls."""

    def __init__(
        self,
        reporting: NodeReportReplicator,
        is_connected: Callable[[], bool],
        regions: dict[str, str],
        log: Any,
    ) -> None:
        """`is_connected`: whether this coordinator is in touch with the core.

        One that isn't takes what nodes say, but sends them to another: nobody else hears of them through it.
        What was confirmed by a majority (`closing`, a goodbye) needs no such check.
        """
        self._reporting = reporting
        self._is_connected = is_connected
        self._regions = regions
        self._log = log

    @route("PUT", Path.NODES)
    async def heartbeat(self, call: ApiRequest) -> ApiResponse:
        """A node says that it lives, and in what state."""
        node = read_heartbeat(call.path_suffix, call.body, self._regions)
        if isinstance(node, Refusal):
            self._log.warning("heartbeat_rejected", node=call.path_suffix, reason=node.reason)
            return json_response(400, {ERROR: node.reason})
        if not await self._reporting.take(node):
            self._log.warning("heartbeat_not_replicated", node=node.incarnation, state=node.state.value)
            return json_response(503, {ERROR: "no other coordinator confirmed it"})
        if node.state is NodeState.ACCEPTING and not self._is_connected():
            return json_response(503, {ERROR: "out of touch with the core"})
        return json_response(200, {})

    @route("DELETE", Path.NODES)
    async def goodbye(self, call: ApiRequest) -> ApiResponse:
        """A node leaves."""
        if not await self._reporting.take(deregistration(call.path_suffix)):
            return json_response(503, {ERROR: "no other coordinator confirmed it"})
        self._log.info("node_deregistered", node=call.path_suffix)
        return json_response(200, {})


def read_heartbeat(incarnation: str, body: bytes, regions: dict[str, str]) -> Node | Refusal:
    """The node that a heartbeat describes."""
    try:
        told = json.loads(body)
    except ValueError:
        return Refusal("the body is not JSON")
    if not isinstance(told, dict):
        return Refusal("the body is not an object")
    findings = Findings()
    service = _text(told, Heartbeat.SERVICE, findings)
    address = _text(told, Heartbeat.ADDRESS, findings)
    zone = _text(told, Heartbeat.ZONE, findings)
    state = _STATES.get(str(told.get(Heartbeat.STATE)))
    if state is None:
        findings.add(Heartbeat.STATE, "neither accepting nor closing")
    if zone and zone not in regions:
        findings.add(Heartbeat.ZONE, f"unknown zone {zone!r}")
    if address:
        try:
            parse_address(address)
        except ValueError as problem:
            findings.add(Heartbeat.ADDRESS, str(problem))
    sequence = _number(told, Heartbeat.SEQUENCE, findings)
    slots = _number(told, Heartbeat.SLOTS, findings)
    warm_up_left_ms = _number(told, Heartbeat.WARM_UP_LEFT_MS, findings)
    shutdown_in_ms = _number(told, Heartbeat.SHUTDOWN_IN_MS, findings)
    if findings or state is None:
        return Refusal(str(findings), tuple(findings))
    return Node(
        incarnation,
        int(sequence),
        service,
        address,
        zone,
        regions[zone],
        int(slots),
        state,
        warm_up_left_ms,
        shutdown_in_ms,
    )


def _text(told: dict[str, Any], name: str, findings: Findings) -> str:
    value = told.get(name)
    if not isinstance(value, str) or not value:
        findings.add(name, "not a text")
        return ""
    return value


def _number(told: dict[str, Any], name: str, findings: Findings) -> float:
    value = told.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
        findings.add(name, "not a number")
        return 0.0
    return float(value)
