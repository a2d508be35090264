"""An instance's own half of a fleet: its name's lock, its word to the supervisor, and what it remembers."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from coveport.balancing import interface as api
from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.config.platform import Config
from coveport.sidecar.leases.clock import boot_id, boot_s
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.locality import Place
from coveport.sidecar.reducer.phases import Lifecycle, Phase
from coveport.sidecar.supervisor import snapshot
from coveport.sidecar.supervisor.locks import NameLock, NameLockedError
from coveport.sidecar.supervisor.notify import Notifier, watchdog_interval_s
from coveport.sidecar.supervisor.peers import Peers
from coveport.sidecar.supervisor.process_control import LISTEN_FD
from coveport.sidecar.telemetry.counters import ENDS, Counters, ended

__all__ = ["InstanceAgent", "NameLockedError"]

BEATS = 4  # signs in the time after which we would be taken for hung
FARES_S = 1.0
LATELY = 6  # of those looks that the share served is of
SNAPSHOT_S = 5.0  # how often what we know is kept, where it has changed
OUT_S = 10.0  # a snapshot younger than this tells who is out


class Parts(Protocol):
    """What of a sidecar is looked at and told."""

    counters: Counters

    @property
    def settings(self) -> api.Settings:
        """As they are now."""

    def hear(self, heard: Callable[[Any, bool], None]) -> None:
        """Be told each list."""

    def feed(self, item: core.Input) -> None:
        """An input."""

    def fresh(self) -> dict[int, tuple[int, float]]:
        """Destinations that count as cold."""

    def out(self) -> dict[int, float]:
        """Destinations that are out."""

    def share(self, peers: int) -> None:
        """How many share the destinations."""


class InstanceAgent:
    """One instance of a fleet. NameLockedError where another life has its name."""

    def __init__(self, told: OperatorFile, name: str, environ: Mapping[str, str]) -> None:
        fleet = told.fleet
        self.told = told
        self.name = name
        self._fleet = fleet
        self._folder = told.fleet_folder
        self.lock = NameLock(self._folder, name)
        self._notifier = Notifier.of(environ)
        self._beat_s = (watchdog_interval_s(environ, os.getpid()) or fleet.hung_s) / BEATS
        self._listen_fd = int(environ.get(LISTEN_FD) or -1)
        self._path = self._folder / "snapshots" / f"{name}.snap"
        self.restored_snapshot: snapshot.Snapshot | None = None
        self._age_s = 0.0
        self.snapshot_error = ""  # why there is no snapshot to begin from
        self._heard = snapshot.NodeList()
        self._peers = Peers(told.leases.ttl) if fleet.peers else None
        self._ended: list[tuple[int, int]] = []
        self._serving = self._ending = False
        self._parts: Parts | None = None
        self._nodes: Callable[[], Mapping[int, Place]] = dict
        self._tasks: list[asyncio.Task[None]] = []

    # Before the start.

    def instance_config(self, config: Config) -> Config:
        """The platform's configuration, as this instance's."""
        own = self._fleet.each.get(self.name)
        # Guards against copies that draw the same: the file's seed is one for all of them.
        drawn = hashlib.blake2b(f"{config.seed} {self.name}".encode(), digest_size=8).digest()
        config = replace(
            config,
            seed=int.from_bytes(drawn),
            sockets=(own.sockets if own else 0) or self._fleet.sockets or config.sockets,
            memory_mb=(own.memory_mb if own else 0.0) or self._fleet.memory_mb or config.memory_mb,
        )
        if self._fleet.young_s > 0:
            self._remember()
        if self.restored_snapshot is not None and self.restored_snapshot.seq > _seq(config.known):
            config = replace(config, known=snapshot.known(self.restored_snapshot))
            self._heard.told({"hosts": self.restored_snapshot.hosts, "seq": self.restored_snapshot.seq}, True)
            self._heard.changed = False
        return config

    def _remember(self) -> None:
        now = snapshot.Timestamp(time.time(), boot_s(), boot_id())
        try:
            self.restored_snapshot, self._age_s = snapshot.usable(
                snapshot.read(self._path), self._fleet.name, self.name, now, self._fleet.young_s
            )
        except snapshot.SnapshotError as problem:
            self.snapshot_error = str(problem)

    def inherited_listener(self) -> socket.socket | None:
        """The address that our supervisor holds for us; None where it gave us none."""
        if self._listen_fd < 0:
            return None
        with contextlib.suppress(OSError):
            one = socket.socket(fileno=self._listen_fd)
            if one.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                one.set_inheritable(False)
                return one
        return None

    # Beside the sidecar.

    def attach(self, parts: Parts, life: Lifecycle, nodes: Callable[[], Mapping[int, Place]]) -> None:
        """The sidecar's parts are there. `nodes`: where each destination is, by our numbers."""
        self._parts = parts
        self._nodes = nodes
        parts.hear(self._listed)
        life.listen(self._phase)

    def _listed(self, told: Any, whole: bool) -> None:
        self._heard.told(told, whole)

    def _phase(self, phase: Phase) -> None:
        self._serving = phase in (Phase.SERVING, Phase.LAMEDUCK)
        self._ending = phase is Phase.DRAINING
        if phase is Phase.SERVING and not self._tasks:
            self._notifier.say(READY=1, STATUS="serving")
            self._tell_out()
            self._tasks = [asyncio.ensure_future(work()) for work in (self._beat, self._keep)]
        elif phase is Phase.LAMEDUCK:
            self._notifier.say(STATUS="lame duck")
        elif phase is Phase.DRAINING:
            self._notifier.say(STOPPING=1, STATUS="ending")
            self._write()

    def leave(self, code: int) -> None:
        """The sidecar has ended with this code."""
        for task in self._tasks:
            task.cancel()
        self.lock.left(code)
        self._notifier.close()

    def on_session_count(self, instances: int) -> None:
        """So many have a session."""
        if self._peers is not None and self._parts is not None:
            self._parts.share(self._peers.told(boot_s(), instances))

    def with_peer_count(self, config: Config) -> Config:
        """A configuration that was read anew, with as many sharing the nodes as there are."""
        if self._peers is None:
            return config
        return replace(config, settings=replace(config.settings, peers_total=self._peers.count(boot_s())))

    async def _beat(self) -> None:
        looked = 0.0
        while True:
            now = boot_s()
            words: dict[str, object] = {"WATCHDOG": 1}
            if self._serving:
                words["READY"] = 1  # each time: whoever listens now may not have been there before
            elif self._ending:
                words["STOPPING"] = 1  # ... and a word may be lost, as a socket's queue is short
            if now - looked >= FARES_S:
                looked = now
                words["X_SERVED"] = self._served()
                if self._peers is not None and self._parts is not None:
                    self._parts.share(self._peers.count(now))
            self._notifier.say(**words)
            await asyncio.sleep(self._beat_s)

    def _served(self) -> str:
        assert self._parts is not None
        counters, names = self._parts.counters, [one.name for one in self._parts.settings.classes]
        self._ended.append(
            (
                sum(counters.get(ended(name, ENDS[0])) for name in names),
                sum(counters.get(ended(name, how)) for name in names for how in ENDS),
            )
        )
        del self._ended[:-LATELY]
        all_ = self._ended[-1][1] - self._ended[0][1]
        served = self._ended[-1][0] - self._ended[0][0]
        return f"{served / all_ if all_ else 1.0:.4f}/{all_}"

    # What is remembered.

    def _tell_out(self) -> None:
        """Who was out when the life before ours last looked: as a look of ours, no more."""
        told = self.restored_snapshot
        if told is None or self._parts is None or self._age_s > OUT_S:
            return
        where = {f"{place[0][0]}:{place[0][1]}": number for number, place in self._nodes().items()}
        for one in told.hosts:
            number = where.get(str(one.get("dial")))
            if number is not None and one.get("host") in told.out:
                self._parts.counters.add("remembered_out")
                self._parts.feed(core.HealthCheckEnded(number, api.Outcome.CONNECT_FAILED, 0.0))

    async def _keep(self) -> None:
        while self._fleet.young_s > 0:
            await asyncio.sleep(SNAPSHOT_S)
            self._write()

    def _write(self) -> None:
        if self._parts is None or not self._heard.seq or self._fleet.young_s <= 0:
            return
        names = {str(one.get("dial")): name for name, one in self._heard.hosts.items()}
        by = {
            number: names.get(f"{place[0][0]}:{place[0][1]}", "") for number, place in self._nodes().items()
        }
        now = snapshot.Timestamp(time.time(), boot_s(), boot_id())
        told = snapshot.Snapshot(
            self._fleet.name,
            self.name,
            now,
            self._heard.seq,
            list(self._heard.hosts.values()),
            out={by[number]: ms / 1000 for number, ms in self._parts.out().items() if by.get(number)},
            cold={
                by[number]: now.unix_s * 1000 - age
                for number, (_, age) in self._parts.fresh().items()
                if by.get(number)
            },
        )
        data = snapshot.encode(told)
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            snapshot.write(self._path, data)
            self._parts.counters.add("snapshots")
        except OSError:
            self._parts.counters.add("snapshots_failed")  # a full disk: what was kept before stands


def _seq(known: Any) -> int:
    seq = known.get("seq") if isinstance(known, dict) else None
    return seq if isinstance(seq, int) else -1
