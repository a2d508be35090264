"""The nodes' API: heartbeats and deregistrations."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from coveport.serving.coordinator.heartbeat import read_heartbeat
from coveport.serving.coordinator.node_report_replication import NodeReportReplicator
from coveport.serving.log import EventLogger
from coveport.serving.model.findings import Refusal
from coveport.serving.model.node import NodeState, deregistration
from coveport.serving.web.messages import ApiRequest, ApiResponse, json_response
from coveport.serving.web.router import route
from coveport.serving.wire.names import ERROR, Path


class NodeApi:
    """Handlers of the nodes' requests."""

    def __init__(
        self,
        reports: NodeReportReplicator,
        has_quorum: Callable[[], bool],
        regions: Mapping[str, str],
        log: EventLogger,
    ) -> None:
        """Create handlers; `regions`: the region of each zone.

        `has_quorum`: whether this coordinator has a quorum. Without a quorum heartbeats are applied, but the
        response sends the node to another coordinator, since this coordinator can't replicate heartbeats.
        Reports that were replicated to a majority (`closing`, deregistrations) need no such check.
        """
        self._reports = reports
        self._has_quorum = has_quorum
        self._regions = regions
        self._log = log

    @route("PUT", Path.NODES)
    async def heartbeat(self, request: ApiRequest) -> ApiResponse:
        """Register a node, or record that a registered node is live; store the state that the node reports.

        Return 400 where the heartbeat is invalid, 503 where the node should report to another coordinator.
        """
        incarnation = request.path_suffix
        node = read_heartbeat(incarnation, request.body, self._regions)
        if isinstance(node, Refusal):
            self._log.warning("heartbeat_rejected", node=incarnation, reason=node.reason)
            return json_response(400, {ERROR: node.reason})
        if not await self._reports.accept(node):
            self._log.warning("heartbeat_not_replicated", node=incarnation, state=node.state.value)
            return json_response(503, {ERROR: "no other coordinator confirmed it"})
        if node.state is NodeState.ACCEPTING and not self._has_quorum():
            return json_response(503, {ERROR: "out of touch with the core"})
        return json_response(200, {})

    @route("DELETE", Path.NODES)
    async def deregister(self, request: ApiRequest) -> ApiResponse:
        """Remove a node for good; return 503 where too few coordinators acknowledged the removal in time."""
        incarnation = request.path_suffix
        if not await self._reports.accept(deregistration(incarnation)):
            return json_response(503, {ERROR: "no other coordinator confirmed it"})
        self._log.info("node_deregistered", node=incarnation)
        return json_response(200, {})
