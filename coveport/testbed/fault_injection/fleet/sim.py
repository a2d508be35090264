"""A trial of a supervised fleet: the shipped supervisor, keeper and duty, over simulated lives."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.config.operator_sections import (
    Fleet,
    InstanceSection,
    IntentLogSection,
    LeaseSection,
    LogSection,
    SingletonSection,
    StoreSection,
)
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.supervisor.desired_state import FLEET, DesiredState, RestartPhase
from coveport.sidecar.supervisor.instance_state import ExitReason
from coveport.sidecar.supervisor.supervisor import Supervisor
from coveport.testbed.fault_injection.fleet.broken_variants import SOUND, FleetVariant
from coveport.testbed.fault_injection.fleet.host import SimHost, SimProcessControl
from coveport.testbed.fault_injection.fleet.judge import Said, judge
from coveport.testbed.fault_injection.judge import Finding, accepted, order
from coveport.testbed.fault_injection.quiet_collector import collector_paused
from coveport.testbed.fault_injection.schedules import Fault
from coveport.testbed.fault_injection.simstore import Host, SimStore, Way
from coveport.testbed.simulated_network.world import Process, World

START_S = 1000.0
PREFIX = "coveport-fleet/"
KINDS = (
    "sup_kill",
    "sup_kill",
    "sup_stall",
    "sup_stall",
    "sup_cut",
    "sup_lossy",
    "sup_leave",
    "store_away",
    "store_stall",
    "kill",
    "kill",
    "most_killed",
    "hang",
    "hang",
    "host_stall",
    "loop",
    "slow",
    "bad_file",
    "bad_lives",
    "term",
    "scale",
    "scale",
    "restart",
    "restart",
    "drain",
    "flood",
)
TERMS = Fleet(
    name="host",
    instances=5,
    at_once=3,
    a_second=4.0,
    ready_s=6.0,
    stop_s=4.0,
    hung_s=2.0,
    backoff_s=0.25,
    backoff_most_s=4.0,
    loop=4,
    loop_s=20.0,
    rest_s=15.0,
    hold_s=1.0,
)


@dataclass(frozen=True, slots=True)
class FleetTrial:
    """How many there are, and what breaks."""

    instances: int = 5
    supervisors: int = 2
    ttl_s: float = 2.0
    over_s: float = 25.0
    calm_s: float = 0.0  # beyond what is needed
    faults: tuple[Fault, ...] = ()

    @property
    def fleet(self) -> Fleet:
        """Its terms: larger fleets start more at a time."""
        many = max(1, self.instances // 20)
        return msgspec.structs.replace(TERMS, instances=self.instances, at_once=3 * many, a_second=4.0 * many)

    @property
    def calm_from(self) -> float:
        """When the last fault is over."""
        return max([self.over_s, *(one.at_s + one.lasts_s for one in self.faults)])

    @property
    def lasts_s(self) -> float:
        """Until all must be back: rests, back-off and a whole start, one restart to its end."""
        terms = self.fleet
        whole = self.instances / terms.a_second + 2 * terms.ready_s
        steps = 2.5 * self.instances * (1.2 + 0.6 + terms.hold_s)
        restarts = any(one.kind == "restart" for one in self.faults)
        return (
            self.calm_from
            + 1.2 * terms.rest_s
            + terms.backoff_most_s
            + whole
            + 4 * self.ttl_s
            + (min(steps, 90.0) if restarts else 0.0)
            + self.calm_s
        )


def draw(seed: int, instances: int = 5) -> FleetTrial:
    """A trial drawn from a seed."""
    chance = random.Random(f"fleet {seed}")
    faults = []
    for _ in range(chance.randint(1, 6)):
        kind = chance.choice(KINDS)
        faults.append(
            Fault(
                round(chance.uniform(1.0, 20.0), 3),
                kind,
                str(chance.randrange(instances)),
                round(chance.uniform(0.1, 8.0), 3),
                round(chance.random(), 2),
            )
        )
    ordered = tuple(sorted(faults, key=lambda it: it.at_s))
    return FleetTrial(instances, chance.choice((1, 2, 2, 3)), chance.choice((2.0, 2.0, 10.0)), faults=ordered)


@dataclass
class _Running:
    """One supervisor, and who has its place now."""

    number: int
    way: Way = field(default_factory=Way)
    process: Process | None = None
    lease_client: LeaseClient | None = None
    supervisor: Supervisor | None = None
    lives: int = 0


@dataclass(frozen=True)
class PlayedFleet:
    """What a trial left behind."""

    trial: FleetTrial
    seed: int
    findings: list[Finding]
    starts: int
    ended: int
    steps: int
    holders: int
    restarts: dict[str, int]


class _Sim:
    def __init__(self, trial: FleetTrial, seed: int, variant: FleetVariant) -> None:
        self.trial = trial
        self.variant = variant
        self.chance = random.Random(f"fleet play {seed}")
        self.world = World(START_S)
        self.store = Host(self.world)
        self.host = SimHost(self.world, trial.fleet, random.Random(f"host {seed}"))
        self.host.locked = variant.locked
        self.problems: list[str] = []
        self.said: list[Said] = []
        self.fault = ""  # what `check` says of the files
        self.supervisors = [_Running(number) for number in range(trial.supervisors)]
        self.began: list[float] = []
        self.asks = 0

    def told(self) -> OperatorFile:
        """The operator's file."""
        from pathlib import Path

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

    def launch(self, one: _Running) -> None:
        """A supervisor's process."""
        if one.process is not None and one.process.alive:
            return
        one.lives += 1
        name = f"v{one.number}.{one.lives}"
        one.process = process = Process.start(self.world, name)
        told, chance = self.told(), random.Random(self.chance.random())
        rate = self.chance.uniform(0.995, 1.005)

        def now_s() -> float:
            return self.world.now * rate

        def say(event: str, **fields: object) -> None:
            if event == "fleet_taken_up":
                self.began.append(self.world.now)

        one.lease_client = lease_client = LeaseClient(
            SimStore(process, self.store, one.way, chance),
            name=name,
            incarnation=name,
            roles=(FLEET + told.fleet.name,),
            terms=told.terms,
            now_s=now_s,
            history=say,
            rng=chance,
            prefix=PREFIX,
        )
        processes = SimProcessControl(self.host, process, name)
        one.supervisor = supervisor = self.variant.supervisor(
            told, lease_client, processes, now_s=now_s, chance=chance, say=say, check=lambda: self.fault
        )
        if self.variant.instance_set is not None:
            supervisor.instances = self.variant.instance_set(told.fleet, chance)

        async def holds(holding: bool) -> None:
            if holding:
                self.host.ear = process, supervisor.heard

        supervisor.on_holding = holds
        process.call_soon(supervisor.start)

    def lose(self, one: _Running) -> None:
        """Its process is gone."""
        if one.process is not None and one.process.alive:
            self.problems += [
                repr(problem.get("exception") or problem["message"]) for problem in one.process.problems
            ]
            one.process.kill()

    def holding(self) -> _Running | None:
        """Whoever holds the duty by its own belief."""
        return next(
            (
                one
                for one in self.supervisors
                if one.supervisor is not None
                and one.process is not None
                and one.process.alive
                and one.supervisor.holding
            ),
            None,
        )

    # Faults.

    def strike(self, fault: Fault) -> None:
        """Let it happen, and see to its end."""
        kind, over = fault.kind, self.world.now + fault.lasts_s
        if kind.startswith("sup_"):
            self._strike_supervisor(fault, over)
        elif kind == "store_away":
            self.store.away = True
            self.world.at(over, lambda: setattr(self.store, "away", False))
        elif kind == "store_stall":
            self.store.held_until = over
        elif kind in ("scale", "restart", "drain"):
            self._verb(fault, over)
        elif kind == "bad_file":
            self.fault = "a file that can't be used"
            self.world.at(over, lambda: setattr(self, "fault", ""))
        elif kind in ("bad_lives", "slow", "loop", "flood"):
            self._ill(fault, over)
        else:
            self._strike_lives(fault)

    def _ill(self, fault: Fault, over: float) -> None:
        ills = self.host.ills
        before = replace(ills, crash=dict(ills.crash))
        if fault.kind == "bad_lives":
            ills.crash[""] = 0.3
        elif fault.kind == "slow":
            ills.start_s = 3.0
        elif fault.kind == "flood":
            ills.unusable = True
        else:
            ills.crash[f"host-{int(fault.target) + 1}"] = 0.5

        def mend() -> None:
            self.host.ills.start_s = 0.4
            self.host.ills.unusable = False
            for name in [name for name in self.host.ills.crash if name not in before.crash]:
                del self.host.ills.crash[name]

        self.world.at(over, mend)

    def _strike_lives(self, fault: Fault) -> None:
        lives = sorted(self.host.lives.values(), key=lambda one: one.pid)
        if fault.kind == "host_stall":
            for one in lives:
                self.host.freeze(one, fault.lasts_s)
            for sup in self.supervisors:
                if sup.process is not None and self.chance.random() < 0.5:
                    sup.process.stall(fault.lasts_s)
            return
        if fault.kind == "most_killed":
            for one in lives:
                if self.chance.random() < 0.7:
                    self.host.end(one, ExitReason.CRASH)
            return
        one_ = self.host.holder(f"host-{int(fault.target) + 1}")
        if one_ is None:
            return
        if fault.kind == "kill":
            self.host.end(one_, ExitReason.CRASH)
        elif fault.kind == "hang":
            self.host.freeze(one_, 1000.0 if fault.share < 0.5 else fault.lasts_s)
        elif fault.kind == "term":
            self.host.note("drain", one_)
            self.host.drain(one_)

    def _strike_supervisor(self, fault: Fault, over: float) -> None:
        anyone = self.supervisors[int(fault.target) % len(self.supervisors)]
        one = self.holding() if fault.share < 0.7 else anyone
        if one is None or one.process is None:
            return
        kind = fault.kind
        if kind == "sup_kill":
            self.lose(one)
            self.world.at(over, self.launch, one)
        elif kind == "sup_stall":
            one.process.stall(fault.lasts_s)
        elif kind == "sup_leave":
            supervisor, process = one.supervisor, one.process
            assert supervisor is not None
            process.call_soon(lambda: process.create_task(supervisor.leave()))
            self.world.at(self.world.now + 1.5, self.lose, one)
            self.world.at(max(over, self.world.now + 1.6), self.launch, one)
        else:
            if kind == "sup_cut":
                one.way.out = one.way.back = False
            else:
                one.way.lose = 0.5 * fault.share

            def heal() -> None:
                one.way.out = one.way.back = True
                one.way.lose = 0.0

            self.world.at(over, heal)

    def _verb(self, fault: Fault, over: float) -> None:
        most = self.trial.instances
        name = f"host-{int(fault.target) + 1}"
        if fault.kind == "scale":
            self._ask("scale", count=max(1, round(most * fault.share * 1.5)))
        elif fault.kind == "restart":
            self._ask("restart", at_once=max(1, most // 10))
        else:
            self._ask("drain", names=[name])
            self.world.at(over, lambda: self._ask("back", names=[name]))

    def _ask(self, do: str, **words: Any) -> None:
        one = self.holding()
        if one is None or one.process is None or one.supervisor is None:
            return
        supervisor, process, at = one.supervisor, one.process, self.world.now
        self.asks += 1
        identity = f"a{self.asks}"

        async def ask() -> None:
            answer = await supervisor.asked({"do": do, "id": identity, **words})
            self.said.append(
                Said(at, self.world.now, do, bool(answer["ok"]), str(answer.get("said", "")), words)
            )

        process.call_soon(lambda: process.create_task(ask()))

    # Play.

    def run(self) -> None:
        """Play it."""
        self.store.start()
        for one in self.supervisors:
            self.world.at(START_S + self.chance.uniform(0, 0.3), self.launch, one)
        for fault in self.trial.faults:
            self.world.at(START_S + fault.at_s, self.strike, fault)
        self.world.run(START_S + self.trial.lasts_s)
        for one in self.supervisors:
            self.lose(one)

    def plans(self) -> list[tuple[float, DesiredState]]:
        """Every plan that stood in the store."""
        key = f"{PREFIX}state/{FLEET}{self.trial.fleet.name}"
        return [
            (at, msgspec.json.decode(change.entry.value, type=DesiredState))
            for at, change in self.store.engine.book
            if change.key == key and change.entry is not None
        ]

    def holders(self) -> list[tuple[float, str]]:
        """Who the store says held the duty from when on; empty: nobody."""
        key = f"{PREFIX}duty/{FLEET}{self.trial.fleet.name}"
        return [
            (at, "" if change.entry is None else change.entry.value.split(b" ")[0].decode())
            for at, change in self.store.engine.book
            if change.key == key
        ]

    def judged(self, seed: int) -> PlayedFleet:
        """What came of it."""
        end = START_S + self.trial.lasts_s
        plans = self.plans()
        book = self.host.book
        findings = judge(
            book,
            plans,
            self.holders(),
            self.trial.fleet,
            end,
            [one for one in self.host.lives.values()],
            self.said,
        )
        findings += order(accepted(self.store.engine.book))
        findings += [Finding("crash", end, what) for what in self.problems]
        restarts: dict[str, int] = {}
        for _, plan in plans:
            if plan.restart is not None and plan.restart.phase is not RestartPhase.RUNNING:
                word = plan.restart.phase.value
                restarts[word] = restarts.get(word, 0) + 1
        return PlayedFleet(
            self.trial,
            seed,
            findings,
            sum(one.what == "start" for one in book),
            sum(one.what == "ended" for one in book),
            len(plans),
            len([1 for _, who in self.holders() if who]),
            restarts,
        )


def play(trial: FleetTrial, seed: int, variant: FleetVariant = SOUND) -> PlayedFleet:
    """Play a trial and judge it; the same trial, seed and variant leave the same behind."""
    one = _Sim(trial, seed, variant)
    with collector_paused():
        with variant.while_played():
            one.run()
        return one.judged(seed)
