"""A trial on real ground: `coveport run` processes, a store, relays in every link, and faults between them.

Signals and relays do to the processes what the schedule says; what they believed and did is read from the
JSON lines that they wrote, and held against the store's own book by the same judge as on simulated ground.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sqlite3
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.leases.store import Change, Entry
from coveport.testbed.fault_injection import judge
from coveport.testbed.fault_injection.clocked import Clocks
from coveport.testbed.fault_injection.environment import Discovery, TrialEnvironment
from coveport.testbed.fault_injection.history import Histories, read_lines
from coveport.testbed.fault_injection.recording_nodes import Tills
from coveport.testbed.fault_injection.relay import Relay
from coveport.testbed.fault_injection.schedules import HOLDER, Fault, Trial

UP_S = 20.0  # how long instances may take to serve, on a busy machine
LET_GO_S = 6.0  # SIGTERM to the end of the process
SETTINGS = {
    "classes": [
        {"name": "balance", "semantics": "idempotent", "aim_ms": 500, "deadline_ms": 1000, "gain": 1},
        {
            "name": "earn",
            "semantics": "deduplicated",
            "key_scope": "cell",
            "window_ms": 6000,
            "aim_ms": 500,
            "deadline_ms": 1000,
            "gain": 5,
        },
        {"name": "redeem", "semantics": "at_most_once", "aim_ms": 500, "deadline_ms": 1000, "gain": 3},
    ],
    "localities": ["bilbao"],
    "zone": 0,
    "peers_total": 1,
    "registry_mode": "automatic",
    "round_ms": 5,
    "limits": {
        "cancel": True,
        "connect_timeout_ms": 100,
        "keepalive_ms": 5000,
        "max_retry_after_ms": 1000,
        "most_tries": 3,
        "probes": True,
        "retry_after": True,
        "second_copies": True,
    },
    "invariants": {
        "answer_slack_ms": 20,
        "ask_within_ms": 10000,
        "cold_from": 0.36,
        "fall_ms": 1000,
        "overload_factor": 4,
        "stop_sending_within_ms": 750,
        "warm_after_ms": 3000,
    },
}


class TrialError(Exception):
    """The trial can't be played here; one line."""


def free_port() -> int:
    """A port that is free now; whoever listens there next does so at once."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


@dataclass
class Running:
    """One name, with the process that has it now."""

    number: int
    folder: Path
    port: int
    relays: list[Relay] = field(default_factory=list)  # to the store's members
    node_relays: dict[int, Relay] = field(default_factory=dict)
    discovery: Discovery = field(default_factory=Discovery)  # tells it of the nodes by way of its relays
    discovery_relay: Relay | None = None
    process: subprocess.Popen[bytes] | None = None
    started_at: float = 0.0  # boot clock: before its process was
    logged: int = 0  # bytes of the log that earlier processes wrote

    @property
    def name(self) -> str:
        """Its name."""
        return f"s{self.number}"

    @property
    def alive(self) -> bool:
        """Whether a process has the name."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send its process a signal."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)


class Engine:
    """The stand-in of the engine, in a process of its own, and its control."""

    def __init__(self, members: int = 3) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "coveport.testbed.standins.etcd.server", "--members", str(members)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        assert self.process.stdout is not None
        ports = json.loads(self.process.stdout.readline())
        self.members: list[int] = ports["members"]
        self._control = socket.create_connection(("127.0.0.1", ports["control"]))
        self._file = self._control.makefile("rwb")

    def do(self, what: str, **more: object) -> Any:
        """Give it an order."""
        self._file.write(json.dumps({"do": what, **more}).encode() + b"\n")
        self._file.flush()
        return json.loads(self._file.readline())

    def book(self) -> list[tuple[float, Change]]:
        """Every change so far."""
        return [
            (
                at,
                Change(
                    revision,
                    key,
                    None if entry is None else Entry(key, entry[0].encode(), entry[1], revision, entry[2]),
                ),
            )
            for at, revision, key, entry in self.do("book")
        ]

    def stop(self) -> None:
        """End it."""
        with contextlib.suppress(OSError):
            self._control.close()
        self.process.kill()
        self.process.wait()


def sqlite_book(path: Path) -> list[tuple[float, Change]]:
    """Every change that the file still tells of. It writes no times."""
    with contextlib.closing(sqlite3.connect(path)) as base:
        rows = base.execute("SELECT revision, key, value, created, lease FROM history ORDER BY revision, key")
        return [
            (
                float(revision),
                Change(revision, key, None if value is None else Entry(key, value, created, revision, lease)),
            )
            for revision, key, value, created, lease in rows
        ]


class RealTrial:
    """Run instances, a store and their environment; use as an async context."""

    def __init__(
        self,
        folder: Path,
        trial: Trial,
        *,
        store: str = "sqlite",
        nodes: int = 2,
        duties: tuple[str, ...] = (),
        settings: Mapping[str, Any] | None = None,
        relayed: bool = False,
        work: Mapping[str, Any] | None = None,
        clocks: Mapping[int, Clocks] | None = None,
    ) -> None:
        """`relayed`: each instance reaches nodes and discovery by links of its own.

        `clocks`: those of instances, by number, whose time is wrong.

        `work`: what stands in `[work]`; the nodes are ledgers with books then, two to a cell.
        """
        self._work = work
        self._clocks = clocks or {}
        self.tills = Tills()
        self._relayed = relayed
        self.folder = folder
        self.trial = trial
        self.kind = store
        self._nodes = nodes
        self._duties = duties or trial.duties
        self._settings: Mapping[str, Any] = settings or SETTINGS
        self.instances: list[Running] = []
        self.engine: Engine | None = None
        self.deaths: dict[str, float] = {}  # by incarnation, as far as histories tell it
        self._died: list[tuple[str, float]] = []  # name and when
        self.exits: list[tuple[str, int]] = []

    async def __aenter__(self) -> RealTrial:
        try:
            await self._begin()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._end()

    async def _begin(self) -> None:
        if self._work is None:
            self.environment = await TrialEnvironment.start(self._nodes)
        else:
            (self.folder / "work.key").write_text("k1 " + "5a" * 32 + "\n")
            (self.folder / "work.key").chmod(0o600)
            earn: Any = self._settings["classes"][1]
            self.environment = await TrialEnvironment.start_ledgers(self._nodes, earn["window_ms"] / 1000)
        if self.kind == "etcd":
            self.engine = await asyncio.to_thread(Engine)
        elif self.kind != "sqlite":
            raise TrialError(f"no store called {self.kind}; there are sqlite and etcd")
        for number in range(self.trial.instances):
            folder = self.folder / f"s{number}"
            folder.mkdir(parents=True, exist_ok=True)
            one = Running(number, folder, free_port())
            if self.engine is not None:
                one.relays = [await Relay(("127.0.0.1", port)).start() for port in self.engine.members]
            if self._relayed:
                await self._relay_nodes(one)
            self.instances.append(one)
            self.configure(one)
            self.start(one)
        await self.until(lambda: all(self.serves(one) for one in self.instances), UP_S, "all to serve")

    async def _relay_nodes(self, one: Running) -> None:
        """Links of its own to every node and to discovery."""
        for node in self.environment.nodes:
            one.node_relays[node.number] = await Relay(("127.0.0.1", node.server.port)).start()
        await one.discovery.server.start()
        one.discovery.tell(
            self.environment.hosts({number: relay.port for number, relay in one.node_relays.items()})
        )
        one.discovery_relay = await Relay(("127.0.0.1", one.discovery.server.port)).start()

    def configure(self, one: Running) -> None:
        """Write its files."""
        discovery = (
            self.environment.discovery.server.port
            if one.discovery_relay is None
            else one.discovery_relay.port
        )
        (one.folder / "platform.json").write_text(
            json.dumps(
                {
                    "name": one.name,
                    "listen": f"127.0.0.1:{one.port}",
                    "seed": f"{one.number + 1:x}",
                    "discovery": f"127.0.0.1:{discovery}",
                    "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
                    "known": {"seq": 0, "whole": True, "hosts": []},
                    "settings": self._settings,
                }
            )
        )
        url = (
            "sqlite:../store.db"
            if self.engine is None
            else "etcd://" + ",".join(f"127.0.0.1:{relay.port}" for relay in one.relays)
        )
        terms = self.trial
        (one.folder / "coveport.toml").write_text(
            f'[instance]\nname = "{one.name}"\nplatform = "platform.json"\n[store]\nurl = "{url}"\n'
            f"[leases]\nttl = {terms.ttl_s}\nmargin = {terms.margin_s}\ndrift = {terms.drift}\n[duties]\n"
            + "".join(f"{duty} = true\n" for duty in self._duties)
            + self._work_part()
            + '[log]\npath = "history.jsonl"\nlevel = "debug"\n'
        )

    def _work_part(self) -> str:
        if self._work is None:
            return ""
        told = {"record": ["earn", "redeem"], "key_file": "../work.key", **self._work}
        return "[work]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in told.items())

    def start(self, one: Running) -> None:
        """A process of its name."""
        with open(one.folder / "log", "ab") as log:
            one.started_at, one.logged = boot_s(), log.tell()
            one.process = subprocess.Popen(
                [sys.executable, *self._program(one), "run", "--config", str(one.folder / "coveport.toml")],
                stdout=log,
                stderr=log,
                env=os.environ | {"LB_CONFIG": ""},
            )

    def _program(self, one: Running) -> tuple[str, ...]:
        clocks = self._clocks.get(one.number)
        if clocks is None:
            return "-m", "coveport"
        return "-m", "coveport.testbed.fault_injection.clocked", msgspec.json.encode(clocks).decode()

    def retune(self, settings: Mapping[str, Any]) -> None:
        """Give all instances other settings, by SIGHUP."""
        self._settings = settings
        for one in self.instances:
            self.configure(one)
            if one.alive:
                one.signal(signal.SIGHUP)

    def serves(self, one: Running) -> bool:
        """Whether it says that it serves; by its log, so that nothing is asked of it."""
        log = (one.folder / "log").read_bytes() if (one.folder / "log").exists() else b""
        return f"{one.name}: serving".encode() in log[one.logged :]

    async def until(self, what: Callable[[], object], within_s: float, for_what: str) -> None:
        """Wait; TrialError where it does not come."""
        end = time.monotonic() + within_s
        while not what():
            if time.monotonic() > end:
                raise TrialError(f"waited {within_s:g} s in vain for {for_what}")
            await asyncio.sleep(0.02)

    # Faults.

    def kill(self, one: Running) -> None:
        """SIGKILL."""
        one.signal(signal.SIGKILL)
        assert one.process is not None
        one.process.wait()
        self._died.append((one.name, boot_s()))

    def stall(self, one: Running) -> None:
        """SIGSTOP."""
        one.signal(signal.SIGSTOP)

    def resume(self, one: Running) -> None:
        """SIGCONT."""
        one.signal(signal.SIGCONT)

    async def leave(self, one: Running) -> int:
        """SIGTERM, and its exit code."""
        assert one.process is not None
        one.signal(signal.SIGTERM)
        code = await asyncio.to_thread(one.process.wait, LET_GO_S + 10)
        self._died.append((one.name, boot_s()))
        self.exits.append((one.name, code))
        return int(code)

    def histories(self) -> Histories:
        """What all have written so far."""
        return read_lines(
            [
                one.folder / "history.jsonl"
                for one in self.instances
                if (one.folder / "history.jsonl").exists()
            ]
        )

    def holder(self, duty: str) -> Running | None:
        """Who believed in a duty last and has not said that it ended."""
        found: dict[str, str] = {}
        last = ""
        for record in self.histories().of(log_events.ROLE_ACQUIRED, log_events.ROLE_LOST):
            if record.text("duty") == duty:
                if record.event == log_events.ROLE_ACQUIRED:
                    found[record.incarnation] = last = record.instance
                else:
                    found.pop(record.incarnation, None)
        names = set(found.values())
        alive = [one for one in self.instances if one.alive and one.name in names]
        return next((one for one in alive if one.name == last), alive[0] if alive else None)

    async def held(self, duty: str, within_s: float, besides: Running | None = None) -> Running:
        """Whoever holds a duty, once somebody (else) does."""

        def there() -> bool:
            one = self.holder(duty)
            return one is not None and one is not besides

        await self.until(there, within_s, f"a holder of {duty}")
        one = self.holder(duty)
        assert one is not None
        return one

    async def all_in(self, within_s: float) -> None:
        """Wait until every process that runs now has a session of its own."""

        def there() -> bool:
            # By when it came, not how often: one that was killed before it was in leaves no word of itself.
            came = {one.instance: one.at for one in self.histories().of(log_events.SESSION_ESTABLISHED)}
            return all(came.get(one.name, 0.0) >= one.started_at for one in self.instances if one.alive)

        await self.until(there, within_s, "all to be in session")

    async def all_recording(self, within_s: float) -> None:
        """Wait until every process that runs now writes operations down."""

        def there() -> bool:
            came = {one.instance: one for one in self.histories().of("recording", "not_recording")}
            return all(
                one.name in came
                and came[one.name].event == "recording"
                and came[one.name].at >= one.started_at
                for one in self.instances
                if one.alive
            )

        await self.until(there, within_s, "all to write operations down")

    def target(self, fault: Fault) -> Running:
        """Whom a fault hits."""
        if fault.target == HOLDER:
            return self.holder(self.trial.duties[0]) or self.instances[0]
        return self.instances[int(fault.target) % len(self.instances)]

    async def strike(self, fault: Fault, rng: random.Random) -> None:
        """Let a fault happen and see to its end; TrialError where this store's ground can't play it."""
        kind = fault.kind
        if kind == "halves":
            hit = [one for one in self.instances if rng.random() < fault.share]
        elif kind in ("store_stall", "store_away", "compact", "act-unheard", "claim-unheard"):
            await self._strike_store(fault)
            return
        else:
            hit = [self.target(fault)]
        if kind in ("kill", "stall", "leave"):
            (one,) = hit
            if not one.alive:
                return
            if kind == "stall":
                self.stall(one)
                await asyncio.sleep(fault.lasts_s)
                self.resume(one)
            else:
                if kind == "kill":
                    self.kill(one)
                else:
                    await self.leave(one)
                await asyncio.sleep(fault.lasts_s)
                self.start(one)
            return
        if self.engine is None:
            raise TrialError(
                f"{kind}: instances reach a file by no link that could be cut; use --set store=etcd"
            )
        for one in hit:
            for relay in one.relays:
                if kind in ("halves", "cut", "cut_out", "cut_back"):
                    relay.cut(kind != "cut_back", kind != "cut_out")
                elif kind == "slow":
                    relay.back.delay_s = fault.share * 0.5
                elif kind in ("lossy", "lose_answers"):
                    relay.back.lose = fault.share
                elif kind == "reset":
                    relay.reset()
                else:
                    raise TrialError(f"{kind}: not on real ground")
        await asyncio.sleep(fault.lasts_s)
        for one in hit:
            for relay in one.relays:
                relay.heal()

    async def _strike_store(self, fault: Fault) -> None:
        kind = fault.kind
        if self.engine is None:
            if kind not in ("store_stall", "store_away"):
                raise TrialError(f"{kind}: not with a file as the store")
            with contextlib.closing(
                sqlite3.connect(self.folder / "store.db", isolation_level=None, timeout=30)
            ) as base:
                base.execute("BEGIN IMMEDIATE")
                await asyncio.sleep(fault.lasts_s)
                base.execute("ROLLBACK")
        elif kind in ("store_stall", "store_away"):
            self.engine.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts_s)
            self.engine.process.send_signal(signal.SIGCONT)
        elif kind == "compact":
            await asyncio.to_thread(self.engine.do, "compact")
        else:
            lost = "claim" if kind == "claim-unheard" else "txn"
            await asyncio.to_thread(self.engine.do, "lose", kind=lost, count=1)

    # The end.

    async def _end(self) -> None:
        for one in self.instances:
            if one.alive:
                one.signal(signal.SIGCONT)
                one.signal(signal.SIGKILL)
                assert one.process is not None
                one.process.wait()
                self._died.append((one.name, boot_s()))
            one.discovery.server.stop()
            for relay in [
                *one.relays,
                *one.node_relays.values(),
                *([one.discovery_relay] if one.discovery_relay else []),
            ]:
                await relay.stop()
        if self.engine is not None:
            self.engine.stop()
        if hasattr(self, "environment"):
            self.environment.stop()

    def book(self) -> list[tuple[float, Change]]:
        """The store's book; to be asked while the store is there."""
        return sqlite_book(self.folder / "store.db") if self.engine is None else self.engine.book()

    def deaths_of(self, histories: Histories) -> dict[str, float]:
        """When each incarnation's process ended, where that is known."""
        found: dict[str, float] = {}
        for name, at in self._died:
            lives = [one.incarnation for one in histories.records if one.instance == name and one.at <= at]
            if lives:
                found[lives[-1]] = at
        return found

    def judged(
        self, calm_from: float, end: float, *, drill: bool = True, apart_s: float = 0.0
    ) -> list[judge.Finding]:
        """What the judge finds; `calm_from`, `end`: boot clock. `apart_s`: how far two clocks are by now."""
        histories = self.histories()
        acts = judge.accepted(self.book())
        held = judge.beliefs(histories, self.deaths_of(histories), end)
        found = judge.order(acts) + judge.told(histories, acts) + judge.overlaps(held, apart_s)
        if drill:
            found += judge.steps(acts)
        found += judge.again(held, self.trial.duties, calm_from, self.trial.again_s, end)
        found += [
            judge.Finding("crash", end, f"{name} ended with {code}") for name, code in self.exits if code
        ]
        found += [
            judge.Finding("crash", end, f"{one.name} ended by itself with {one.process.poll()}")
            for one in self.instances
            if one.process is not None and one.process.poll() not in (None, 0, -signal.SIGKILL)
        ]
        return found


@dataclass(frozen=True)
class PlayedReal:
    """What a trial on real ground left behind."""

    findings: list[judge.Finding]
    beliefs: list[judge.Belief]
    acts: int
    lasted_s: float


async def play(trial: Trial, seed: int, folder: Path, store: str) -> PlayedReal:
    """Play a trial on real ground and judge it."""
    rng = random.Random(f"real {seed}")
    async with RealTrial(folder, trial, store=store) as one:
        await one.held(trial.duties[0], trial.ttl_s + UP_S)
        start = boot_s()

        async def later(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, start + fault.at_s - boot_s()))
            await one.strike(fault, rng)

        await asyncio.gather(*(later(fault) for fault in trial.faults))
        await one.until(lambda: all(self.alive for self in one.instances), UP_S, "all to be back")
        calm_from = boot_s()
        await asyncio.sleep(trial.calm_s)
        end = boot_s()
        findings = one.judged(calm_from, end)
        histories = one.histories()
        held = judge.beliefs(histories, one.deaths_of(histories), end)
        return PlayedReal(findings, held, len(judge.accepted(one.book())), end - start)
