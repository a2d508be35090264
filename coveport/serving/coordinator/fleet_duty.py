"""Connects the duty that orders nodes to this coordinator's tables, and encodes its calls."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from coveport.serving.coordinator.committed_services import CommittedServices
from coveport.serving.duties.duty import PlatformCall
from coveport.serving.duties.fleet_controller import FleetController
from coveport.serving.duties.fleet_observation import FleetObserver, FleetSources, LiveProxy
from coveport.serving.duties.fleet_sizing import ToleratedLosses
from coveport.serving.duties.state import FleetOrder
from coveport.serving.duties.telemetry_table import TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.log import EventLogger
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node
from coveport.serving.settings.boot import BootSettings
from coveport.serving.wire.names import Fleet, Path


@dataclass(frozen=True, slots=True)
class FleetTables:
    """The tables of a coordinator with proxies, nodes and services."""

    telemetry: TelemetryTable
    leases: LeaseTable
    nodes: NodeTable
    services: CommittedServices


def make_fleet_duty(settings: BootSettings, tables: FleetTables, log: EventLogger) -> FleetController:
    """Return the duty that scales the nodes of each service to its demand."""

    def live_proxies(now_s: float) -> tuple[LiveProxy, ...]:
        return tuple(
            LiveProxy(ReportSource(lease.name, lease.incarnation), lease.zone)
            for lease in tables.leases.active(now_s)
        )

    def nodes(now_s: float) -> Iterable[Node]:
        return (entry.snapshot_at(now_s) for entry in tables.nodes.entries())

    def log_rejection(order: FleetOrder) -> None:
        log.error("fleet_order_rejected", service=order.service, zone=order.zone, wanted=order.wanted)

    def call(order: FleetOrder) -> PlatformCall:
        log.info("fleet_ordered", service=order.service, zone=order.zone, wanted=order.wanted)
        return fleet_call(order)

    sources = FleetSources(
        tables.telemetry,
        live_proxies,
        nodes,
        tables.services.services,
        tables.services.evacuated_zones,
        settings.regions,
    )
    tolerated = ToleratedLosses(settings.tolerated.zones, settings.tolerated.regions)
    return FleetController(FleetObserver(sources).observe, tolerated, call, log_rejection)


def fleet_call(order: FleetOrder) -> PlatformCall:
    """Return the call for an order; equal orders give the same bytes."""
    body = {Fleet.SERVICE: order.service, Fleet.ZONE: order.zone, Fleet.WANTED: order.wanted}
    return PlatformCall(Path.FLEET, json.dumps(body, ensure_ascii=False, separators=(",", ":")).encode())
