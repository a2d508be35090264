"""A coordinator: creates its components, connects them to each other, and starts and stops them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from typing import Final

from coveport.net.transport import Net
from coveport.serving.configuration.commands import is_singleton_command
from coveport.serving.configuration.state import initial_state, without_singleton_state
from coveport.serving.configuration.state_codec import encode_state
from coveport.serving.coordinator.committed_services import CommittedServices
from coveport.serving.coordinator.control_service import ControlService
from coveport.serving.coordinator.control_state_machine import STATE_MACHINE
from coveport.serving.coordinator.coordinator_liveness import CoordinatorLiveness
from coveport.serving.coordinator.duty_factory import DutySources, make_duty_runner
from coveport.serving.coordinator.duty_runner import DutyRunner
from coveport.serving.coordinator.inner_listener import InnerListener
from coveport.serving.coordinator.lease_replication import LeaseReplicator
from coveport.serving.coordinator.lookup_api import LookupApi
from coveport.serving.coordinator.node_api import NodeApi
from coveport.serving.coordinator.node_report_replication import NodeReportReplicator, ReportPeers
from coveport.serving.coordinator.operator_api import OperatorApi
from coveport.serving.coordinator.peer_connections import PeerConnections
from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.coordinator.quorum_status import QuorumStatus
from coveport.serving.coordinator.replica_runtime import ReplicaCallbacks, ReplicaRuntime
from coveport.serving.coordinator.stall_detector import StallDetector
from coveport.serving.coordinator.state_history import StateHistory
from coveport.serving.coordinator.status_report import StatusReporter
from coveport.serving.coordinator.subscriptions import Subscriptions
from coveport.serving.coordinator.telemetry_replication import TelemetryReplicator
from coveport.serving.log import EventLogger
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node
from coveport.serving.model.true_clock import TrueClock
from coveport.serving.replication.events import CommittedState
from coveport.serving.replication.identity import Locality, MemberId
from coveport.serving.replication.messages import Message as ReplicationMessage
from coveport.serving.replication.replica import Replica
from coveport.serving.resource_budget import ResourceBudget
from coveport.serving.settings.boot import BootSettings
from coveport.serving.storage.open_store import OpenedStorage
from coveport.serving.web.router import Router
from coveport.serving.web.server import MAX_CONFIGURATION_BYTES, HttpServer
from coveport.serving.wire.connection import Connection
from coveport.serving.wire.errors import RemoteProtocolError
from coveport.serving.wire.messages import (
    CoordinatorEndpoint,
    Hello,
    LeasesRenewed,
    Message,
    NodeReports,
    NodeReportsAck,
    TableRequest,
    TelemetryShared,
    Unsubscribe,
    UpdateRequest,
)
from coveport.serving.wire.rejection_throttle import RejectionThrottle
from coveport.serving.wire.traffic import Traffic
from coveport.serving.wire.versions import PROTOCOL_VERSION

MAINTENANCE_INTERVAL_S: Final = 0.1
NODE_TIMEOUT_HEARTBEATS: Final = 4.5  # intervals without a heartbeat after which a node is removed
# Intervals within which every live node reports to this coordinator or to a peer.
FULL_TABLE_HEARTBEATS: Final = 2.5
HANDOVER_MIN_S: Final = 0.4  # a stop waits at least this long for another primary to take over
HANDOVER_MAX_FRACTION: Final = 0.5  # the wait for a handover ends after this part of the grace period
HANDOVER_POLL_S: Final = 0.05
# After a stall the tables are requested from peers that sent something within this time before the stall.
PEER_REFRESH_WINDOW_S: Final = 5.0


class Coordinator:
    """The tables of one coordinator, its replica of the core, and its servers."""

    reloadable = frozenset({"seeds", "bounds.grace_s", "bounds.ttl_max_s"})

    def __init__(
        self,
        net: Net,
        settings: BootSettings,
        opened: OpenedStorage,
        random_source: random.Random,
        log: EventLogger,
    ) -> None:
        """Create a coordinator that is not started; `opened` is the storage on its disk.

        Raise UnreadableStateError where the state on the disk can't be read.
        """
        self._net = net
        self._settings = settings
        self._log = log
        self._disk_damage = opened.damage
        host, port = settings.inner
        own_address = f"{host}:{port}"
        seeds = _inner_addresses(settings)
        self._endpoint = CoordinatorEndpoint(own_address, settings.zone, settings.region)
        self._member_id = MemberId(own_address, opened.durable.disk)
        self._hello = Hello(own_address, self._member_id.disk, PROTOCOL_VERSION)
        self.table = NodeTable(NODE_TIMEOUT_HEARTBEATS * settings.heartbeat_ms / 1000)
        self.leases = LeaseTable()
        self.history = StateHistory()
        self._committed_edition = 0  # newest committed edition that was logged
        self.traffic = Traffic()
        self._versions = PeerVersions()
        self._rejections = RejectionThrottle(net.now_s)
        self._peers = PeerConnections(
            net,
            self._hello,
            self._receive_from_peer,
            self._on_peer_connected,
            self.traffic,
            self._on_protocol_error,
        )
        self._stall_detector = StallDetector(net.now_s, self._on_stall, log)
        self._replica = self._make_replica(seeds, opened, random_source)
        callbacks = ReplicaCallbacks(self._peers.send, self._on_committed)
        self._runtime = ReplicaRuntime(
            net, self._replica, opened.writer, self._stall_detector, callbacks, log
        )
        self._quorum_status = self._make_quorum_status()
        self._lease_replicator = LeaseReplicator(self.leases, self._peers, net.now_s)
        self.telemetry = TelemetryReplicator(
            self._peers, self._versions, lambda: self._replica.primary_address, net.now_s
        )
        self.clock = TrueClock()
        self._services = CommittedServices()
        self._duties = self._make_duty_runner(random_source)
        self._subscriptions = self._make_subscriptions(f"{random_source.getrandbits(64):016x}")
        self._reports = self._make_report_replicator(len(seeds), random_source.getrandbits(48))
        self._liveness = CoordinatorLiveness(self._endpoint)
        self._lookup_api = LookupApi(self.leases, self._liveness, net.now_s, settings.bounds.ttl_max_s)
        self._budget = ResourceBudget(settings.limits.capacity, net.now_s)
        self._listener = self._make_listener()
        self._servers = self._make_servers()
        self._maintenance_timer: asyncio.TimerHandle | None = None

    def _make_replica(
        self, seeds: tuple[str, ...], opened: OpenedStorage, random_source: random.Random
    ) -> Replica:
        settings = self._settings
        return Replica(
            self._member_id,
            Locality(settings.zone, settings.region),
            seeds,
            settings.tolerated.machines,
            opened.durable,
            STATE_MACHINE,
            random_source.random,
            encode_state(initial_state()),
            self._net.now_s(),
        )

    def _make_duty_runner(self, random_source: random.Random) -> DutyRunner:
        sources = DutySources(self.telemetry, self.leases, self.table, self.clock, self._services)
        return make_duty_runner(
            self._net, self._settings, self._runtime, self._versions, sources, random_source, self._log
        )

    def _make_quorum_status(self) -> QuorumStatus:
        return QuorumStatus(
            self._net.now_s,
            lambda: self._replica.has_quorum(self._net.now_s()),
            FULL_TABLE_HEARTBEATS * self._settings.heartbeat_ms / 1000,
            self._live_coordinators,
        )

    def _make_subscriptions(self, table_id: str) -> Subscriptions:
        return Subscriptions(
            self._net,
            self.table,
            table_id,
            self.leases,
            self.history,
            self._quorum_status,
            self._lease_replicator.send_renewed,
        )

    def _make_report_replicator(self, seed_count: int, first_confirmation_id: int) -> NodeReportReplicator:
        required_acks = min(self._settings.tolerated.machines, max(0, seed_count - 1))
        peers = ReportPeers(
            self._peers.send,
            self._peers.live,
            self._peers.known,
            lambda: self._replica.view_epoch,
            self._replica.is_majority,
            self._quorum_status.has_quorum,
        )
        return NodeReportReplicator(
            self._net,
            self.table,
            peers,
            required_acks,
            self._subscriptions.notify,
            first_confirmation_id,
        )

    def _make_listener(self) -> InnerListener:
        return InnerListener(
            self._net,
            self._member_id.disk,
            self._stall_detector,
            self._receive,
            self._subscriptions.connection_lost,
            self.traffic,
            self._versions,
            self._on_protocol_error,
            self._budget,
            self._log,
        )

    def _make_servers(self) -> list[HttpServer]:
        settings = self._settings
        servers = []
        if settings.control is not None:
            _, control_port = settings.control
            control_service = ControlService(self._net, self._runtime, self._make_status_reporter().describe)
            operator_api = OperatorApi(control_service, control_port, frozenset(settings.regions))
            node_api = NodeApi(self._reports, self._quorum_status.has_quorum, settings.regions, self._log)
            router = Router(operator_api, node_api)
            servers.append(
                HttpServer(
                    self._net,
                    settings.control,
                    router.dispatch,
                    self._budget,
                    self._stall_detector.check,
                    max_body_bytes=MAX_CONFIGURATION_BYTES,
                )
            )
        if settings.lookups is not None:
            router = Router(self._lookup_api)
            servers.append(
                HttpServer(
                    self._net, settings.lookups, router.dispatch, self._budget, self._stall_detector.check
                )
            )
        return servers

    def _make_status_reporter(self) -> StatusReporter:
        return StatusReporter(
            self._settings.name,
            self._net.now_s,
            self._replica,
            self._quorum_status,
            self.history,
            self.traffic,
            self._versions,
            self.leases,
            self.table,
            self._duties.describe,
        )

    async def start(self) -> None:
        """Listen, and join the core; raise OSError where an address can't be bound."""
        if self._disk_damage:
            self._log.error("disk_corrupted", error=self._disk_damage)
        await self._listener.start(self._settings.inner)
        self._runtime.start()
        for server in self._servers:
            await server.start()
        self._run_maintenance()
        self._log.info("coordinator_started", name=self._settings.name, zone=self._settings.zone)

    def apply_settings(self, settings: BootSettings) -> None:
        """Apply the settings that can change while this coordinator runs (`reloadable`)."""
        self._settings = settings
        self._lookup_api.max_ttl_s = settings.bounds.ttl_max_s
        self._replica.add_peers(_inner_addresses(settings))

    async def stop(self) -> None:
        """Hand over to another primary and to other replicas, respond to pending requests, and close."""
        self._log.info("coordinator_stopping")
        self._duties.stop()
        self._runtime.request_shutdown()
        await self._wait_for_handover()
        for server in self._servers:
            server.stop()
        self._listener.close()
        self._duties.close()
        self._runtime.stop()
        self._peers.close()
        if self._maintenance_timer is not None:
            self._maintenance_timer.cancel()
        self._log.info("coordinator_stopped")

    async def _wait_for_handover(self) -> None:
        """Wait until a view without this coordinator is active.

        The wait ends at `HANDOVER_MAX_FRACTION` of the grace period: no view without this coordinator becomes
        active while too few other coordinators are live.
        """
        until_s = self._net.now_s() + self._settings.bounds.grace_s * HANDOVER_MAX_FRACTION
        await asyncio.sleep(HANDOVER_MIN_S)
        while self._net.now_s() < until_s:
            if self._replica.is_safe_to_stop(self._net.now_s()):
                return
            await asyncio.sleep(HANDOVER_POLL_S)

    def _live_coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        localities = self._replica.live_localities(self._net.now_s())
        return tuple(
            CoordinatorEndpoint(address, locality.zone, locality.region)
            for address, locality in localities.items()
        )

    # Input: messages of proxies and of other coordinators, and callbacks of the components.

    def _receive(self, connection: Connection, message: Message) -> None:
        match message:
            case UpdateRequest():
                self._versions.record_proxy(message.lease.name, message.protocol_version)
                self._reports.receive_deregistered(message.deregistered)
                if message.telemetry is not None:
                    self.telemetry.receive_from_proxy(message.telemetry)
                self._subscriptions.receive(connection, message)
            case Unsubscribe():
                self._subscriptions.unsubscribe(connection)
            case _ if isinstance(connection.peer, Hello):
                self._peers.receive(connection.peer, message)

    def _receive_from_peer(self, hello: Hello, message: Message) -> None:
        match message:
            case NodeReports():
                self._reports.receive_reports(hello.address, message)
                if message.is_complete_table:
                    self._remove_unlisted_nodes(message.nodes)
            case NodeReportsAck():
                self._reports.receive_ack(MemberId(hello.address, hello.disk), message)
            case LeasesRenewed():
                self._lease_replicator.receive(message)
            case TelemetryShared():
                self.telemetry.receive_shared(message)
            case TableRequest():
                self._send_tables(hello.address)
            case _ if isinstance(message, ReplicationMessage):
                self._runtime.receive(MemberId(hello.address, hello.disk), message)

    def _on_protocol_error(self, connection: Connection, error: RemoteProtocolError) -> None:
        if self._rejections.should_log(connection.peer_host):
            self._log.error("frame_rejected", sender=connection.peer_host, error=str(error))

    def _on_peer_connected(self, address: str) -> None:
        # The tables are sent before the first ping, so that a peer that counts this coordinator as live has
        # this coordinator's node table.
        self._send_tables(address)
        self.telemetry.record_connected(address)
        self._runtime.record_connected(address)
        self._peers.send(address, TableRequest())

    def _send_tables(self, address: str) -> None:
        self._reports.send_table(address, knows_all_nodes=self._quorum_status.knows_all_nodes())
        self._lease_replicator.send_all(address)

    def _on_committed(self, effect: CommittedState) -> None:
        self._log_edition(effect)
        self._quorum_status.refresh()
        self._services.record_committed(effect.state)
        self._duties.record_committed(effect.state)
        self.telemetry.usage_log.drop_until(effect.state.singleton_state.last_fixed_window)
        is_singleton_change = effect.command is not None and is_singleton_command(effect.command)
        if is_singleton_change and self.history.is_next(effect.sequence):
            self.history.advance_duties()
            return
        state = encode_state(without_singleton_state(effect.state))
        self.history.advance(effect.sequence, state, effect.command)
        self._subscriptions.notify()

    def _log_edition(self, effect: CommittedState) -> None:
        edition = effect.state.edition
        if edition != self._committed_edition:
            self._committed_edition = edition
            self._log.info("configuration_committed", edition=edition, sequence=effect.sequence)

    def _on_stall(self, stall_s: float) -> None:
        """Discard state that may be stale after a stall, and request the tables of live peers again.

        The quorum, the lease of the duties, time-outs of nodes and bytes in HTTP connections may be stale.
        """
        self._quorum_status.reset()
        self._duties.record_stall()
        self.table.reset_timeouts(self._net.now_s())
        for server in self._servers:
            server.reset_all()
        for address in self._peers.live(within_s=stall_s + PEER_REFRESH_WINDOW_S):
            self._peers.send(address, TableRequest())

    # Timers.

    def _run_maintenance(self) -> None:
        self._maintenance_timer = self._net.loop.call_later(MAINTENANCE_INTERVAL_S, self._run_maintenance)
        now_s = self._net.now_s()
        self._refresh_quorum(now_s)
        self._remove_timed_out_nodes(now_s)
        self.leases.expire(now_s)
        self._liveness.record_live(self._live_coordinators(), now_s)
        self._peers.set_addresses(self._replica.peer_addresses)
        self._peers.maintain()
        self._lease_replicator.send_renewed_if_due()
        self.clock.observe(now_s, self._net.unix_s())
        self.telemetry.send_if_due()
        self._duties.tick()

    def _refresh_quorum(self, now_s: float) -> None:
        had_quorum = self._quorum_status.has_quorum()
        self._quorum_status.refresh()
        if not self._quorum_status.has_quorum():
            self.table.reset_timeouts(now_s)
        if self._quorum_status.has_quorum() != had_quorum:
            self._subscriptions.notify()

    def _remove_timed_out_nodes(self, now_s: float) -> None:
        self._record_timed_out(self.table.expire(now_s))

    def _remove_unlisted_nodes(self, listed: Iterable[Node]) -> None:
        """Remove nodes that a peer's complete table lacks: they timed out during a stall here."""
        incarnations = {node.incarnation for node in listed}
        self._record_timed_out(self.table.expire_unlisted(incarnations, self._net.now_s()))

    def _record_timed_out(self, incarnations: Iterable[str]) -> None:
        for incarnation in incarnations:
            self._log.warning("node_timed_out", node=incarnation)
            self._subscriptions.notify()


def _inner_addresses(settings: BootSettings) -> tuple[str, ...]:
    """Return the inner addresses of the seeds; all machines use the same inner port."""
    _, port = settings.inner
    return tuple(f"{seed}:{port}" for seed, _ in settings.seeds)
