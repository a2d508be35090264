"""One coordinator, wired: replication core, node table, leases, subscriptions, calls, signals."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from coveport.net.transport import Net
from coveport.serving.configuration.state import initial_state
from coveport.serving.configuration.state_codec import encode_state
from coveport.serving.coordinator.control import STATE_MACHINE, Control
from coveport.serving.coordinator.coordinator_liveness import LostCoordinators
from coveport.serving.coordinator.lookup_api import LookupApi
from coveport.serving.coordinator.node_api import NodeApi
from coveport.serving.coordinator.node_report_replication import NodeReportReplicator, ReportPeers
from coveport.serving.coordinator.operator_api import OperatorApi
from coveport.serving.coordinator.peers import Peers
from coveport.serving.coordinator.quorum_status import QuorumStatus
from coveport.serving.coordinator.replica_runtime import ReplicaCallbacks, ReplicaRuntime
from coveport.serving.coordinator.subscriptions import StateHistory, Subscriptions
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.replication.events import CommittedState, UnreadableStateError
from coveport.serving.replication.identity import Locality, MemberId
from coveport.serving.replication.messages import Message as ReplicationMessage
from coveport.serving.replication.replica import Replica
from coveport.serving.role_process import CannotStartError, run_process
from coveport.serving.settings.boot import BootSettings
from coveport.serving.storage.errors import UnsupportedFormatError
from coveport.serving.storage.open_store import OpenedStorage, open_storage
from coveport.serving.web.router import Router
from coveport.serving.web.server import HttpServer
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
    Unsubscribe,
    UpdateRequest,
)
from coveport.serving.wire.traffic import Traffic

TEND_S = 0.1  # how often connections, leases and silence are looked at
SHARE_LEASES_S = 0.5
SILENT_HEARTBEATS = 4.5  # a node that missed so many is taken for gone
HAND_OVER_S = 0.4  # a stop leaves at least so much time for another primary to take over ...
HAND_OVER_PART = 0.5  # ... and at most this part of the time of grace
HAND_OVER_LOOK_S = 0.05  # how often it is looked whether that has happened
ACCEPT_MOST, WAITING_MOST = 64, 1024


class Coordinator:
    """One coordinator's life."""

    def __init__(
        self, net: Net, settings: BootSettings, opened: OpenedStorage, chance: random.Random, log: Any
    ) -> None:
        self._net = net
        self._settings = settings
        self._log = log
        host, port = settings.inner
        self._address = f"{host}:{port}"
        self._member_id = MemberId(self._address, opened.durable.disk)
        seeds = tuple(f"{seed}:{port}" for seed, _ in settings.seeds)
        self._hello = Hello(self._address, self._member_id.disk)
        self.table = NodeTable(SILENT_HEARTBEATS * settings.heartbeat_ms / 1000)
        self.leases = LeaseTable()
        self.history = StateHistory()
        self.traffic = Traffic()
        self._peers = Peers(net, self._hello, self._peer_said, self._peer_connected, self.traffic)
        self._member = Replica(
            self._member_id,
            Locality(settings.zone, settings.region),
            seeds,
            settings.tolerated.machines,
            opened.durable,
            STATE_MACHINE,
            chance.random,
            encode_state(initial_state()),
            net.now_s(),
        )
        hooks = ReplicaCallbacks(self._peers.send, self._committed, self._stalled)
        self.core = ReplicaRuntime(net, self._member, opened.writer, hooks, log)
        settle_s = 2.5 * settings.heartbeat_ms / 1000
        self.standing = QuorumStatus(
            net.now_s, lambda: self._member.has_quorum(net.now_s()), settle_s, self._live_coordinators
        )
        self.subscriptions = Subscriptions(
            net,
            self.table,
            f"{chance.getrandbits(64):016x}",
            self.leases,
            self.history,
            self.standing,
            self._share_leases,
        )
        copies = min(settings.tolerated.machines, max(0, len(seeds) - 1))
        peers = self._peers
        report_peers = ReportPeers(
            peers.send,
            peers.live,
            peers.known,
            lambda: self._member.view_epoch,
            self._member.is_majority,
        )
        self._reporting = NodeReportReplicator(
            net, self.table, report_peers, copies, self.subscriptions.news, chance.getrandbits(48)
        )
        own_place = CoordinatorEndpoint(self._address, settings.zone, settings.region)
        self._lost = LostCoordinators(own_place)
        self._damage = opened.damage
        self._servers = self._make_servers()
        self._listening: Any = None
        self._tending: asyncio.TimerHandle | None = None
        self._leases_shared_s = 0.0

    def _make_servers(self) -> list[HttpServer]:
        settings = self._settings
        servers = []
        if settings.control is not None:
            control = Control(self._net, self.core, self.describe)
            operators = OperatorApi(control, settings.control[1], frozenset(settings.regions))
            nodes = NodeApi(self._reporting, self.standing.is_connected, settings.regions, self._log)
            router = Router(operators, nodes)
            stall = self.core.look_for_stall
            servers.append(HttpServer(self._net, settings.control, router.dispatch, stall))
        if settings.lookups is not None:
            lookups = LookupApi(self.leases, self._lost, self._net.now_s)
            servers.append(
                HttpServer(self._net, settings.lookups, Router(lookups).dispatch, self.core.look_for_stall)
            )
        return servers

    async def start(self) -> None:
        """Listen, and take part in the core."""
        if self._damage:
            self._log.error("disk_corrupted", error=self._damage)
        self._listening = await self._net.listen(
            lambda: Connection(self._net, self._came, self._ended, self.traffic, self._refused),
            self._settings.inner,
            accept_most=ACCEPT_MOST,
            waiting_most=WAITING_MOST,
        )
        self.core.start()
        for server in self._servers:
            await server.start()
        self._tend()
        self._log.info("coordinator_started", name=self._settings.name, zone=self._settings.zone)

    async def stop(self) -> None:
        """The planned end: another leads and holds the state, callers are answered.

        It waits until a view without this coordinator is active; within half of the time of grace, for where
        too few others are there no such view comes.
        """
        self._log.info("coordinator_stopping")
        self.core.hand_over()
        until_s = self._net.now_s() + self._settings.bounds.grace_s * HAND_OVER_PART
        await asyncio.sleep(HAND_OVER_S)
        while self._net.now_s() < until_s and not self._member.has_left(self._net.now_s()):
            await asyncio.sleep(HAND_OVER_LOOK_S)
        for server in self._servers:
            server.stop()
        self._listening.close()
        self.core.stop()
        self._peers.close()
        if self._tending is not None:
            self._tending.cancel()
        self._log.info("coordinator_stopped")

    def describe(self) -> dict[str, Any]:
        """The core, proxies and nodes for people and scripts."""
        now = self._net.now_s()
        return {
            "name": self._settings.name,
            "core": self._member.describe(),
            "connected": self.standing.is_connected(),
            "state_sequence": self.history.sequence,
            "traffic": self.traffic.describe(),
            "coordinators": [one.address for one in self._live_coordinators()],
            "proxies": [
                {"name": lease.name, "address": lease.address, "zone": lease.zone, "ready": lease.ready}
                for lease in self.leases.active(now)
            ],
            "nodes": [
                {
                    "incarnation": entry.node.incarnation,
                    "service": entry.node.service,
                    "address": entry.node.address,
                    "zone": entry.node.zone,
                    "state": entry.node.state.value,
                    "silent_s": round(now - entry.last_seen_s, 2),
                }
                for entry in self.table.entries()
            ],
        }

    def _live_coordinators(self) -> tuple[CoordinatorEndpoint, ...]:
        localities = self._member.live_localities(self._net.now_s())
        return tuple(
            CoordinatorEndpoint(address, locality.zone, locality.region)
            for address, locality in localities.items()
        )

    def _came(self, connection: Connection, message: Message) -> None:
        self.core.look_for_stall()
        match message:
            case Hello():
                self._greeted(connection, message)
            case UpdateRequest():
                self._reporting.told_departed(message.deregistered)
                self.subscriptions.ask(connection, message)
            case Unsubscribe():
                self.subscriptions.left(connection)
            case _ if isinstance(connection.peer, Hello):
                self._peers.heard(connection.peer, message)

    def _greeted(self, connection: Connection, hello: Hello) -> None:
        """A peer says who it is, once a connection; our own identity elsewhere is a copied disk."""
        if hello.disk == self._member_id.disk:
            self._log.error("duplicate_identity", address=hello.address)
            connection.abort()
        elif connection.peer is not None:
            connection.abort()
        else:
            connection.peer = hello

    def _refused(self, connection: Connection, error: RemoteProtocolError) -> None:
        """What came is no message of this version: the peer is another program, or of another version."""
        self._log.error("frame_rejected", sender=connection.peer_host, error=str(error))

    def _ended(self, connection: Connection) -> None:
        self.subscriptions.ended(connection)

    def _peer_said(self, hello: Hello, message: Message) -> None:
        match message:
            case NodeReports():
                self._reporting.passed_on(hello.address, message)
            case NodeReportsAck():
                self._reporting.taken(MemberId(hello.address, hello.disk), message)
            case LeasesRenewed():
                for lease in message.leases:
                    self.leases.renew(lease, self._net.now_s(), local=False)
            case TableRequest():
                self._reporting.tell_all(hello.address)
                self._tell_leases(hello.address)
            case _ if isinstance(message, ReplicationMessage):
                self.core.receive(MemberId(hello.address, hello.disk), message)

    def _peer_connected(self, address: str) -> None:
        # Before our first ping: once the peer counts us as reached, it holds what we know of nodes.
        self._reporting.tell_all(address)
        self._tell_leases(address)
        self.core.connected(address)
        self._peers.send(address, TableRequest())

    def _committed(self, effect: CommittedState) -> None:
        self.history.advance(effect.sequence, encode_state(effect.state), effect.command)
        self.standing.look()
        self.subscriptions.news()

    def _stalled(self, late_s: float) -> None:
        """After a standstill: what waits in our connections may be stale, and silence says nothing."""
        self.standing.stalled()
        self.table.reset_timeouts(self._net.now_s())
        for server in self._servers:
            server.reset_all()
        for address in self._peers.live(within_s=late_s + 5.0):
            self._peers.send(address, TableRequest())

    def _tend(self) -> None:
        self._tending = self._net.loop.call_later(TEND_S, self._tend)
        now = self._net.now_s()
        was_connected = self.standing.is_connected()
        self.standing.look()
        if not self.standing.is_connected():
            self.table.reset_timeouts(now)
        if self.standing.is_connected() != was_connected:
            self.subscriptions.news()
        for incarnation in self.table.expire(now):
            self._log.warning("node_timed_out", node=incarnation)
            self.subscriptions.news()
        self.leases.expire(now)
        self._lost.note_alive(self._live_coordinators(), now)
        self._peers.keep(self._member.contacts)
        self._peers.tend()
        if now - self._leases_shared_s >= SHARE_LEASES_S:
            self._share_leases()

    def _share_leases(self) -> None:
        since, self._leases_shared_s = self._leases_shared_s, self._net.now_s()
        leases = tuple(self.leases.renewed_locally_since(since))
        if leases:
            for address in self._peers.live():
                self._peers.send(address, LeasesRenewed(leases))

    def _tell_leases(self, address: str) -> None:
        leases = tuple(self.leases.active(self._net.now_s()))
        if leases:
            self._peers.send(address, LeasesRenewed(leases))


def run(settings_path: str) -> int:
    """Run a coordinator until it is told to stop; the exit code."""
    return run_process(settings_path, ("data_dir",), _make)


def _make(net: Net, settings: BootSettings, log: Any) -> Coordinator:
    assert settings.data_dir is not None
    try:
        opened = open_storage(settings.data_dir, settings.first_boot, net.loop.call_soon_threadsafe)
    except (UnsupportedFormatError, OSError, ValueError) as problem:
        raise CannotStartError(f"{settings.data_dir}: {problem}") from problem
    try:
        return Coordinator(net, settings, opened, random.Random(), log)
    except UnreadableStateError as problem:
        raise CannotStartError(f"{settings.data_dir}: {problem}") from problem
