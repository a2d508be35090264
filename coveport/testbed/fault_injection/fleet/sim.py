"""Plays a trial of a fleet: the shipped supervisor, lease client and role over simulated processes."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.config.operator_sections import (
    InstanceSection,
    IntentLogSection,
    LeaseSection,
    LogSection,
    SingletonSection,
    StoreSection,
)
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.supervisor.desired_state import DesiredState, RestartPhase
from coveport.sidecar.supervisor.desired_state_role import ROLE_NAME_PREFIX
from coveport.sidecar.supervisor.instance_state import ExitReason
from coveport.sidecar.supervisor.supervisor import Supervisor
from coveport.testbed.fault_injection.fleet.broken_variants import SOUND, FleetVariant
from coveport.testbed.fault_injection.fleet.host import (
    EventKind,
    Faults,
    SimHost,
    SimInstance,
    SimProcessControl,
)
from coveport.testbed.fault_injection.fleet.judge import Answered, judge
from coveport.testbed.fault_injection.fleet.trial import FleetTrial
from coveport.testbed.fault_injection.judge import Finding, accepted, order
from coveport.testbed.fault_injection.quiet_collector import collector_paused
from coveport.testbed.fault_injection.schedules import Fault
from coveport.testbed.fault_injection.simstore import Host, SimStore, Way
from coveport.testbed.simulated_network.world import Process, World

START_S = 1000.0
FOREVER_S = 1000.0  # longer than any trial
PREFIX = "coveport-fleet/"


@dataclass
class _SupervisorSlot:
    """The place of one supervisor, and the process that runs there now."""

    number: int
    way: Way = field(default_factory=Way)
    process: Process | None = None
    lease_client: LeaseClient | None = None
    supervisor: Supervisor | None = None
    launches: int = 0

    @property
    def is_alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.alive


@dataclass(frozen=True)
class PlayedFleet:
    """The outcome of a trial. `restarts`: how many rolling restarts ended in which phase."""

    trial: FleetTrial
    seed: int
    findings: list[Finding]
    starts: int
    ended: int
    steps: int
    holders: int
    restarts: dict[str, int]


class _Simulation:
    def __init__(self, trial: FleetTrial, seed: int, variant: FleetVariant) -> None:
        self.trial = trial
        self.variant = variant
        self.rng = random.Random(f"fleet play {seed}")
        self.world = World(START_S)
        self.store = Host(self.world)
        self.host = SimHost(self.world, trial.fleet, random.Random(f"host {seed}"))
        self.host.are_names_locked = variant.are_names_locked
        self.problems: list[str] = []
        self.answers: list[Answered] = []
        self.file_fault = ""  # what `check_files` returns
        self.slots = [_SupervisorSlot(number) for number in range(trial.supervisors)]
        self.request_count = 0

    # Supervisors.

    def operator_file(self) -> OperatorFile:
        """Return the operator's file."""
        return OperatorFile(
            InstanceSection("p.json"),
            StoreSection("sqlite:x"),
            LeaseSection(self.trial.ttl_s, 0.1, 0.02),
            SingletonSection(),
            LogSection(),
            IntentLogSection(),
            self.trial.fleet,
            Path("."),
        )

    def launch(self, slot: _SupervisorSlot) -> None:
        """Start a supervisor's process, unless it runs."""
        if slot.is_alive:
            return
        slot.launches += 1
        name = f"v{slot.number}.{slot.launches}"
        slot.process = process = Process.start(self.world, name)
        operator_file = self.operator_file()
        rng = random.Random(self.rng.random())
        clock_rate = self.rng.uniform(0.995, 1.005)

        def now_s() -> float:
            return self.world.now * clock_rate

        slot.lease_client = LeaseClient(
            SimStore(process, self.store, slot.way, rng),
            name=name,
            incarnation=name,
            roles=(ROLE_NAME_PREFIX + operator_file.fleet.name,),
            terms=operator_file.terms,
            now_s=now_s,
            history=_log_nothing,
            rng=rng,
            prefix=PREFIX,
        )
        slot.supervisor = supervisor = self.variant.supervisor(
            operator_file,
            slot.lease_client,
            SimProcessControl(self.host, process, name),
            now_s=now_s,
            rng=rng,
            log=_log_nothing,
            check_files=lambda: self.file_fault,
        )
        if self.variant.instance_set is not None:
            supervisor.instances = self.variant.instance_set(operator_file.fleet, rng)

        async def on_role_changed(holds_role: bool) -> None:
            if holds_role:
                self.host.receiver = process, supervisor.on_notification

        supervisor.on_role_changed = on_role_changed
        process.call_soon(supervisor.start)

    def kill(self, slot: _SupervisorSlot) -> None:
        """Kill a supervisor's process."""
        if slot.process is not None and slot.process.alive:
            self.problems += [
                repr(problem.get("exception") or problem["message"]) for problem in slot.process.problems
            ]
            slot.process.kill()

    def owner(self) -> _SupervisorSlot | None:
        """Return the supervisor that believes to hold the role."""
        return next(
            (
                slot
                for slot in self.slots
                if slot.supervisor is not None and slot.is_alive and slot.supervisor.holds_role
            ),
            None,
        )

    # Faults.

    def inject(self, fault: Fault) -> None:
        """Begin a fault, and schedule its end."""
        kind = fault.kind
        ends_at = self.world.now + fault.lasts_s
        if kind.startswith("sup_"):
            self._disturb_supervisor(fault, ends_at)
        elif kind == "store_away":
            self.store.away = True
            self.world.at(ends_at, lambda: setattr(self.store, "away", False))
        elif kind == "store_stall":
            self.store.held_until = ends_at
        elif kind in ("scale", "restart", "drain"):
            self._send_request_for(fault, ends_at)
        elif kind == "bad_file":
            self.file_fault = "a file that can't be used"
            self.world.at(ends_at, lambda: setattr(self, "file_fault", ""))
        elif kind in ("bad_lives", "slow", "loop", "flood"):
            self._spoil_starts(fault, ends_at)
        else:
            self._disturb_instances(fault)

    def _spoil_starts(self, fault: Fault, ends_at: float) -> None:
        """Make processes that are started from now on crash, start slowly, or find their files unusable."""
        faults = self.host.faults
        crashing_before = set(faults.crash_after_s)
        if fault.kind == "bad_lives":
            faults.crash_after_s[""] = 0.3
        elif fault.kind == "slow":
            faults.ready_after_s = 3.0
        elif fault.kind == "flood":
            faults.are_files_unusable = True
        else:
            faults.crash_after_s[_target_name(fault)] = 0.5

        def repair() -> None:
            faults.ready_after_s = Faults().ready_after_s
            faults.are_files_unusable = False
            for name in set(faults.crash_after_s) - crashing_before:
                del faults.crash_after_s[name]

        self.world.at(ends_at, repair)

    def _disturb_instances(self, fault: Fault) -> None:
        if fault.kind == "host_stall":
            self._stall_host(fault.lasts_s)
            return
        if fault.kind == "most_killed":
            for instance in self._running():
                if self.rng.random() < 0.7:
                    self.host.end(instance, ExitReason.CRASH)
            return
        target = self.host.lock_owner(_target_name(fault))
        if target is None:
            return
        if fault.kind == "kill":
            self.host.end(target, ExitReason.CRASH)
        elif fault.kind == "hang":
            self.host.freeze(target, FOREVER_S if fault.share < 0.5 else fault.lasts_s)
        elif fault.kind == "term":
            self.host.log(EventKind.DRAIN, target)
            self.host.drain(target)

    def _running(self) -> list[SimInstance]:
        return sorted(self.host.running.values(), key=lambda instance: instance.pid)

    def _stall_host(self, duration_s: float) -> None:
        for instance in self._running():
            self.host.freeze(instance, duration_s)
        for slot in self.slots:
            if slot.process is not None and self.rng.random() < 0.5:
                slot.process.stall(duration_s)

    def _disturb_supervisor(self, fault: Fault, ends_at: float) -> None:
        drawn = self.slots[int(fault.target) % len(self.slots)]
        slot = self.owner() if fault.share < 0.7 else drawn
        if slot is None or slot.process is None:
            return
        if fault.kind == "sup_kill":
            self.kill(slot)
            self.world.at(ends_at, self.launch, slot)
        elif fault.kind == "sup_stall":
            slot.process.stall(fault.lasts_s)
        elif fault.kind == "sup_leave":
            self._let_leave(slot, slot.process, ends_at)
        else:
            self._disturb_network(slot.way, fault, ends_at)

    def _let_leave(self, slot: _SupervisorSlot, process: Process, ends_at: float) -> None:
        supervisor = slot.supervisor
        assert supervisor is not None
        process.call_soon(lambda: process.create_task(supervisor.leave()))
        self.world.at(self.world.now + 1.5, self.kill, slot)
        self.world.at(max(ends_at, self.world.now + 1.6), self.launch, slot)

    def _disturb_network(self, way: Way, fault: Fault, ends_at: float) -> None:
        if fault.kind == "sup_cut":
            way.out = way.back = False
        else:
            way.lose = 0.5 * fault.share

        def heal() -> None:
            way.out = way.back = True
            way.lose = 0.0

        self.world.at(ends_at, heal)

    # Requests of the operators.

    def _send_request_for(self, fault: Fault, ends_at: float) -> None:
        most = self.trial.instances
        if fault.kind == "scale":
            self._send_request("scale", count=max(1, round(most * fault.share * 1.5)))
        elif fault.kind == "restart":
            self._send_request("restart", at_once=max(1, most // 10))
        else:
            names = [_target_name(fault)]
            self._send_request("drain", names=names)
            self.world.at(ends_at, lambda: self._send_request("back", names=names))

    def _send_request(self, action: str, **arguments: Any) -> None:
        slot = self.owner()
        if slot is None or slot.process is None or slot.supervisor is None:
            return
        supervisor = slot.supervisor
        process = slot.process
        requested_at = self.world.now
        self.request_count += 1
        identity = f"a{self.request_count}"

        async def send() -> None:
            answer = await supervisor.handle_request({"do": action, "id": identity, **arguments})
            self.answers.append(
                Answered(
                    requested_at,
                    self.world.now,
                    action,
                    bool(answer["ok"]),
                    str(answer.get("said", "")),
                    arguments,
                )
            )

        process.call_soon(lambda: process.create_task(send()))

    # Play.

    def run(self) -> None:
        """Play the trial."""
        self.store.start()
        for slot in self.slots:
            self.world.at(START_S + self.rng.uniform(0, 0.3), self.launch, slot)
        for fault in self.trial.faults:
            self.world.at(START_S + fault.at_s, self.inject, fault)
        self.world.run(START_S + self.trial.lasts_s)
        for slot in self.slots:
            self.kill(slot)

    def states(self) -> list[tuple[float, DesiredState]]:
        """Return every desired state that stood in the store, with the time from which on it did."""
        key = f"{PREFIX}state/{ROLE_NAME_PREFIX}{self.trial.fleet.name}"
        return [
            (at, msgspec.json.decode(change.entry.value, type=DesiredState))
            for at, change in self.store.engine.book
            if change.key == key and change.entry is not None
        ]

    def holders(self) -> list[tuple[float, str]]:
        """Return who held the role by the store, with the time from which on it did; empty if nobody."""
        key = f"{PREFIX}duty/{ROLE_NAME_PREFIX}{self.trial.fleet.name}"
        return [
            (at, "" if change.entry is None else change.entry.value.split(b" ")[0].decode())
            for at, change in self.store.engine.book
            if change.key == key
        ]

    def outcome(self, seed: int) -> PlayedFleet:
        """Judge the trial that was played."""
        end = START_S + self.trial.lasts_s
        states = self.states()
        holders = self.holders()
        events = self.host.events
        findings = judge(
            events,
            states,
            holders,
            self.trial.fleet,
            end,
            list(self.host.running.values()),
            self.answers,
        )
        findings += order(accepted(self.store.engine.book))
        findings += [Finding("crash", end, problem) for problem in self.problems]
        phases = Counter(
            state.restart.phase.value
            for _, state in states
            if state.restart is not None and state.restart.phase is not RestartPhase.RUNNING
        )
        return PlayedFleet(
            self.trial,
            seed,
            findings,
            starts=sum(event.kind is EventKind.START for event in events),
            ended=sum(event.kind is EventKind.ENDED for event in events),
            steps=len(states),
            holders=sum(bool(owner) for _, owner in holders),
            restarts=dict(phases),
        )


def play(trial: FleetTrial, seed: int, variant: FleetVariant = SOUND) -> PlayedFleet:
    """Play a trial and judge it; the same trial, seed and variant give the same outcome."""
    simulation = _Simulation(trial, seed, variant)
    with collector_paused():
        with variant.while_played():
            simulation.run()
        return simulation.outcome(seed)


def _target_name(fault: Fault) -> str:
    return f"host-{int(fault.target) + 1}"


def _log_nothing(event: str, **fields: object) -> None:
    """Discard a log event."""
