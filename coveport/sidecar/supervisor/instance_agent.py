"""An instance's part in its fleet: name lock, reports to the supervisor, snapshot and peer count."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import socket
from collections.abc import Mapping
from dataclasses import replace

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.config.platform import Config
from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.reducer.phases import Lifecycle, Phase
from coveport.sidecar.supervisor.locks import NameLock
from coveport.sidecar.supervisor.notify import Notifier, watchdog_interval_s
from coveport.sidecar.supervisor.peer_count import PeerCount
from coveport.sidecar.supervisor.process_control import LISTEN_FD_VARIABLE
from coveport.sidecar.supervisor.sidecar_view import SidecarView
from coveport.sidecar.supervisor.snapshot_manager import Destinations, SnapshotManager
from coveport.sidecar.supervisor.success_window import SuccessWindow

HEARTBEATS_PER_TIMEOUT = 4  # a lost heartbeat must not make the instance count as hung
REPORT_INTERVAL_S = 1.0  # interval of reporting the success rate and of updating the peer count
SNAPSHOT_INTERVAL_S = 5.0
SEED_BYTES = 8


class InstanceAgent:
    """Agent of one instance of a fleet, in the instance's process.

    Raises:
        NameLockedError: another process runs under this name.

    """

    def __init__(self, operator_file: OperatorFile, name: str, environ: Mapping[str, str]) -> None:
        fleet = operator_file.fleet
        folder = operator_file.fleet_folder
        self.name = name
        self.lock = NameLock(folder, name)
        self._fleet = fleet
        self._notifier = Notifier.from_environment(environ)
        heartbeat_timeout_s = watchdog_interval_s(environ, os.getpid()) or fleet.hung_s
        self._heartbeat_interval_s = heartbeat_timeout_s / HEARTBEATS_PER_TIMEOUT
        self._listen_fd = int(environ.get(LISTEN_FD_VARIABLE) or -1)
        self.snapshots = SnapshotManager(folder, fleet.name, name, fleet.young_s)
        self._peers = PeerCount(operator_file.leases.ttl) if fleet.peers else None
        self._success = SuccessWindow()
        self._phase = Phase.STARTING
        self._sidecar: SidecarView | None = None
        self._destinations: Destinations = dict
        self._tasks: list[asyncio.Task[None]] = []

    # Before the sidecar starts.

    def instance_config(self, config: Config) -> Config:
        """Return the platform's configuration with the settings and the snapshot of this instance."""
        overrides = self._fleet.each.get(self.name)
        # All instances read the same seed: without the name their random numbers would be equal.
        seed = hashlib.blake2b(f"{config.seed} {self.name}".encode(), digest_size=SEED_BYTES).digest()
        config = replace(
            config,
            seed=int.from_bytes(seed),
            sockets=(overrides.sockets if overrides else 0) or self._fleet.sockets or config.sockets,
            memory_mb=(overrides.memory_mb if overrides else 0.0)
            or self._fleet.memory_mb
            or config.memory_mb,
        )
        return self.snapshots.restore(config)

    def inherited_listener(self) -> socket.socket | None:
        """Return the listening socket that the supervisor passed; None if it passed none."""
        if self._listen_fd < 0:
            return None
        with contextlib.suppress(OSError):
            listener = socket.socket(fileno=self._listen_fd)
            if listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                listener.set_inheritable(False)
                return listener
        return None

    # While the sidecar runs.

    def attach(self, sidecar: SidecarView, lifecycle: Lifecycle, destinations: Destinations) -> None:
        """Begin to report on a sidecar and to write its snapshots."""
        self._sidecar = sidecar
        self._destinations = destinations
        sidecar.set_endpoints_listener(self.snapshots.on_endpoints)
        lifecycle.listen(self._on_phase)

    def leave(self, exit_code: int) -> None:
        """Stop: the process is about to exit with this code."""
        for task in self._tasks:
            task.cancel()
        self.lock.record_exit_code(exit_code)
        self._notifier.close()

    def on_session_count(self, sessions: int) -> None:
        """Update the peer count from the number of instances that have a session with the store."""
        if self._peers is not None and self._sidecar is not None:
            self._sidecar.set_peer_count(self._peers.observe(boot_s(), sessions))

    def with_peer_count(self, config: Config) -> Config:
        """Return a reloaded configuration with the present peer count."""
        if self._peers is None:
            return config
        return replace(config, settings=replace(config.settings, peers_total=self._peers.count(boot_s())))

    def _on_phase(self, phase: Phase) -> None:
        self._phase = phase
        if phase is Phase.SERVING and not self._tasks:
            self._begin_reports()
        elif phase is Phase.LAMEDUCK:
            self._notifier.send(STATUS="lame duck")
        elif phase is Phase.DRAINING:
            self._notifier.send(STOPPING=1, STATUS="ending")
            self._write_snapshot()

    def _begin_reports(self) -> None:
        self._notifier.send(READY=1, STATUS="serving")
        if self._sidecar is not None:
            self.snapshots.report_ejections(self._sidecar, self._destinations)
        self._tasks = [
            asyncio.ensure_future(reporter()) for reporter in (self._send_heartbeats, self._keep_snapshot)
        ]

    async def _send_heartbeats(self) -> None:
        reported_at = 0.0
        while True:
            now = boot_s()
            variables: dict[str, object] = {"WATCHDOG": 1}
            # The state is repeated: the supervisor may be a new one, and a datagram may be lost.
            if self._phase in (Phase.SERVING, Phase.LAMEDUCK):
                variables["READY"] = 1
            elif self._phase is Phase.DRAINING:
                variables["STOPPING"] = 1
            if now - reported_at >= REPORT_INTERVAL_S:
                reported_at = now
                variables["X_SERVED"] = self._sample_success()
                if self._peers is not None and self._sidecar is not None:
                    self._sidecar.set_peer_count(self._peers.count(now))
            self._notifier.send(**variables)
            await asyncio.sleep(self._heartbeat_interval_s)

    def _sample_success(self) -> str:
        assert self._sidecar is not None
        classes = (operation_class.name for operation_class in self._sidecar.settings.classes)
        return self._success.sample(self._sidecar.counters, classes)

    async def _keep_snapshot(self) -> None:
        while self.snapshots.is_enabled:
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            self._write_snapshot()

    def _write_snapshot(self) -> None:
        if self._sidecar is not None:
            self.snapshots.write(self._sidecar, self._destinations)
