"""Reads an instance's snapshot once at the start, and writes it while the instance runs."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from coveport import balancing
from coveport.sidecar.config.platform import Config
from coveport.sidecar.leases.clock import boot_id, boot_s
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.supervisor import snapshot
from coveport.sidecar.supervisor.atomic_file import write_atomically
from coveport.sidecar.supervisor.endpoint_table import EndpointTable
from coveport.sidecar.supervisor.errors import SnapshotError
from coveport.sidecar.supervisor.sidecar_view import SidecarView
from coveport.sidecar.supervisor.snapshot import Snapshot, Timestamp

MAX_EJECTIONS_AGE_S = 10.0  # maximum age of a snapshot whose ejections are restored
UNKNOWN_VERSION = -1  # lower than the version of any list

# Returns the address and the start time of each destination, by number.
Destinations = Callable[[], Mapping[int, EndpointAddress]]


class SnapshotManager:
    """The snapshot of one instance.

    Attributes:
        restored: the snapshot that this process began from; None if there was no usable one.
        error: why there was no usable snapshot; empty otherwise.

    """

    def __init__(self, folder: Path, fleet: str, name: str, max_age_s: float) -> None:
        self._path = folder / "snapshots" / f"{name}.snap"
        self._fleet = fleet
        self._name = name
        self._max_age_s = max_age_s
        self.restored: Snapshot | None = None
        self.error = ""
        self._restored_age_s = 0.0
        self._endpoints = EndpointTable()

    @property
    def is_enabled(self) -> bool:
        """Whether snapshots are read and written at all."""
        return self._max_age_s > 0

    def restore(self, config: Config) -> Config:
        """Read the snapshot; return the configuration, with the snapshot's endpoint list if that is newer."""
        if not self.is_enabled:
            return config
        try:
            self.restored, self._restored_age_s = snapshot.load_usable(
                snapshot.read(self._path), self._fleet, self._name, _now(), self._max_age_s
            )
        except SnapshotError as error:
            self.error = str(error)
            return config
        if self.restored.endpoints_version <= _endpoints_version(config.known_endpoints):
            return config
        self._endpoints.apply({"hosts": self.restored.hosts, "seq": self.restored.endpoints_version}, True)
        return replace(config, known_endpoints=snapshot.known_endpoints(self.restored))

    def on_endpoints(self, update: Any, is_complete: bool) -> None:
        """Record a list or update from discovery."""
        self._endpoints.apply(update, is_complete)

    def report_ejections(self, sidecar: SidecarView, destinations: Destinations) -> None:
        """Report hosts ejected just before the restart to the sidecar, as failed health checks."""
        restored = self.restored
        if restored is None or self._restored_age_s > MAX_EJECTIONS_AGE_S:
            return
        numbers = {address: number for number, address in _addresses(destinations).items()}
        for host in restored.hosts:
            number = numbers.get(str(host.get("dial")))
            if number is not None and host.get("host") in restored.ejected:
                sidecar.counters.add("remembered_out")
                sidecar.feed(core.HealthCheckEnded(number, balancing.Outcome.CONNECT_FAILED, 0.0))

    def write(self, sidecar: SidecarView, destinations: Destinations) -> None:
        """Write a snapshot, once discovery has reported a list; a failed write leaves the previous one."""
        if not self._endpoints.version or not self.is_enabled:
            return
        data = snapshot.encode(self._take(sidecar, destinations))
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            write_atomically(self._path, data)
            sidecar.counters.add("snapshots")
        except OSError:
            sidecar.counters.add("snapshots_failed")

    def _take(self, sidecar: SidecarView, destinations: Destinations) -> Snapshot:
        by_address = {str(host.get("dial")): name for name, host in self._endpoints.hosts.items()}
        names = {number: by_address.get(address, "") for number, address in _addresses(destinations).items()}
        now = _now()
        return Snapshot(
            self._fleet,
            self._name,
            now,
            self._endpoints.version,
            list(self._endpoints.hosts.values()),
            ejected={
                names[number]: ejected_ms / 1000
                for number, ejected_ms in sidecar.ejected().items()
                if names.get(number)
            },
            warming_up={
                names[number]: now.unix_s * 1000 - age_ms
                for number, (_, age_ms) in sidecar.in_slow_start().items()
                if names.get(number)
            },
        )


def _now() -> Timestamp:
    return Timestamp(time.time(), boot_s(), boot_id())


def _addresses(destinations: Destinations) -> dict[int, str]:
    """Return HOST:PORT of each destination, by number."""
    return {number: f"{host}:{port}" for number, ((host, port), _started_ms) in destinations().items()}


def _endpoints_version(known: Any) -> int:
    version = known.get("seq") if isinstance(known, dict) else None
    return version if isinstance(version, int) else UNKNOWN_VERSION
