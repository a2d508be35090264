"""Creates the duties of a coordinator from its settings, and their runner."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from coveport.net.transport import Net
from coveport.serving.coordinator.committed_services import CommittedServices
from coveport.serving.coordinator.duty_lease_keeper import DutyLeaseManager
from coveport.serving.coordinator.duty_runner import DutyRunner
from coveport.serving.coordinator.fleet_duty import FleetTables, make_fleet_duty
from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.coordinator.platform_client import PlatformClient
from coveport.serving.coordinator.replica_runtime import ReplicaRuntime
from coveport.serving.coordinator.telemetry_replication import TelemetryReplicator
from coveport.serving.coordinator.usage_duty import make_usage_duty
from coveport.serving.duties.duty import SingletonTask
from coveport.serving.duties.kinds import SingletonTaskKind
from coveport.serving.duties.lease import SingletonLease
from coveport.serving.duties.state import LeaseOwner
from coveport.serving.duties.usage_schedule import UsageTimings
from coveport.serving.log import EventLogger
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.true_clock import TrueClock
from coveport.serving.settings.boot import BootSettings, PlatformSettings
from coveport.serving.wire.versions import DUTIES_VERSION

NO_PLATFORM: Final = PlatformSettings(("", 0))  # the settings of a platform that requires no duties


@dataclass(frozen=True, slots=True)
class DutySources:
    """The components of a coordinator that the duties read."""

    telemetry: TelemetryReplicator
    leases: LeaseTable
    nodes: NodeTable
    clock: TrueClock
    services: CommittedServices


def make_duties(
    settings: BootSettings, platform: PlatformSettings, sources: DutySources, log: EventLogger
) -> tuple[SingletonTask, ...]:
    """Return the duties that the platform's settings name."""
    factories: dict[SingletonTaskKind, Callable[[], SingletonTask]] = {
        SingletonTaskKind.USAGE_REPORTS: lambda: _make_usage_duty(settings, sources, log),
        SingletonTaskKind.FLEET_ORDERS: lambda: _make_fleet_duty(settings, sources, log),
    }
    return tuple(create() for kind, create in factories.items() if kind in platform.duties)


def _make_usage_duty(settings: BootSettings, sources: DutySources, log: EventLogger) -> SingletonTask:
    timings = UsageTimings(settings.bounds.usage_window_s, settings.bounds.usage_delay_s)
    return make_usage_duty(timings, sources.telemetry, sources.leases, sources.clock, log)


def _make_fleet_duty(settings: BootSettings, sources: DutySources, log: EventLogger) -> SingletonTask:
    tables = FleetTables(sources.telemetry.table, sources.leases, sources.nodes, sources.services)
    return make_fleet_duty(settings, tables, log)


def make_duty_runner(
    net: Net,
    settings: BootSettings,
    runtime: ReplicaRuntime,
    versions: PeerVersions,
    sources: DutySources,
    random_source: random.Random,
    log: EventLogger,
) -> DutyRunner:
    """Return a runner for the duties in the settings; without duties, the runner does nothing."""
    platform = settings.platform or NO_PLATFORM
    duties = make_duties(settings, platform, sources, log)
    incarnation = f"{random_source.getrandbits(64):016x}" if duties else ""
    holder = LeaseOwner(settings.name, incarnation)

    def may_submit() -> bool:
        return versions.all_support(DUTIES_VERSION, runtime.replica.peer_addresses)

    lease = SingletonLease(holder, settings.bounds.lease_ms / 1000)
    lease_manager = DutyLeaseManager(net, runtime, lease, may_submit, log)
    client = PlatformClient(net, platform.address)
    return DutyRunner(net, lease_manager, client, duties, platform.calls_per_s, log)
