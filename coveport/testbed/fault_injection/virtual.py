"""A trial on simulated ground: the shipped keeper, holder and runner of every instance, on the world's time.

Nothing of them is replaced but what they reach the outside by: the loop, the clock and the store.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import partial

from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.states import SessionState
from coveport.sidecar.leases.store import Put, Transaction
from coveport.sidecar.singletons.rollout import Rollout
from coveport.sidecar.singletons.rollout_plan import COMMAND_KEY
from coveport.sidecar.singletons.singleton import SingletonRole
from coveport.sidecar.singletons.singleton_runner import SingletonRunner
from coveport.testbed.fault_injection import judge
from coveport.testbed.fault_injection.broken_variants import SOUND, Variant
from coveport.testbed.fault_injection.history import Histories, Record
from coveport.testbed.fault_injection.parts import BORN_S, SAFE, SERVICE_S, Part, rollout_word
from coveport.testbed.fault_injection.quiet_collector import collector_paused
from coveport.testbed.fault_injection.schedules import HOLDER, TRAPS, Fault, Trial
from coveport.testbed.fault_injection.simstore import Host, SimStore, Trap, Way
from coveport.testbed.simulated_network.world import Process, World

START_S = 1000.0  # the world's time when a trial begins
LET_GO_S = 1.5  # a planned end may take so long


@dataclass
class _Instance:
    """One name, with the process that has it now."""

    number: int
    rate: float
    way: Way
    process: Process
    lease_client: LeaseClient | None = None
    runners: list[SingletonRunner] = field(default_factory=list)
    incarnation: str = ""
    lives: int = 0
    slept_s: float = 0.0


@dataclass(frozen=True)
class Played:
    """What a trial left behind."""

    trial: Trial
    seed: int
    histories: Histories
    acts: list[judge.Accepted]
    beliefs: list[judge.Belief]
    findings: list[judge.Finding]
    calls: dict[str, int]  # of all instances, by kind and end
    store_calls_s: float  # an instance and a second
    callbacks: int


class _Trial:
    def __init__(self, trial: Trial, seed: int, variant: Variant) -> None:
        self.trial = trial
        self.variant = variant
        self.rng = random.Random(f"play {seed}")
        self.world = World(START_S)
        self.host = Host(self.world, rate=self._rate())
        self.histories = Histories()
        self.deaths: dict[str, float] = {}
        self.faults: list[str] = []
        self.calls: dict[str, int] = {}
        self.out: list[str] = []  # who is not in session at the end
        self.instances = [
            _Instance(number, self._rate(), Way(), Process.start(self.world, f"s{number}"))
            for number in range(trial.instances)
        ]

    def _rate(self) -> float:
        # Any two within the stated drift; wild ones run at up to three times each other's pace.
        most = 3.0 if self.trial.wild_clocks else 1 + self.trial.drift
        return float(most ** self.rng.uniform(-0.5, 0.5))

    def launch(self, one: _Instance) -> None:
        """A process of that name, with nothing of the one before."""
        one.lives += 1
        one.incarnation = f"s{one.number}.{one.lives}"
        one.process = process = Process.start(self.world, f"s{one.number}")
        one.slept_s = 0.0
        incarnation = one.incarnation

        def now_s() -> float:
            return (self.world.now - (one.slept_s if self.variant.clock_stops else 0.0)) * one.rate

        def history(event: str, **fields: object) -> None:
            self.histories.add(Record(self.world.now, f"s{one.number}", incarnation, event, now_s(), fields))

        rng = random.Random(self.rng.random())
        terms = LeaseTerms(self.trial.ttl_s, self.trial.margin_s, self.trial.drift)
        store = SimStore(process, self.host, one.way, rng)
        lease_client = self.variant.lease_client(
            store,
            name=f"s{one.number}",
            incarnation=incarnation,
            roles=self.trial.duties,
            terms=terms,
            now_s=now_s,
            history=history,
            rng=rng,
            lease_state=self.variant.holder,
        )
        drill = self.variant.drill(incarnation)
        drill.interval_s = self.trial.drill_s
        duties: dict[str, SingletonRole] = {
            "drill": drill,
            "rollout": Rollout(soak_s=1.0, apply_timeout_s=20.0),
            "warden@0": self.variant.warden(0, incarnation, SAFE, self.trial.drift),
        }
        runners = {name: self.variant.runner(lease_client, duties[name], now_s) for name in self.trial.duties}
        lease_client.on_acquired = lambda duty, token: runners[duty].start(token)
        lease_client.on_lost = lambda duty, token, why: runners[duty].stop()
        one.lease_client, one.runners = lease_client, list(runners.values())
        part = Part(
            lease_client,
            f"s{one.number}",
            incarnation,
            self.trial.duties,
            now_s,
            lambda: self.world.now - START_S,
            history,
            rng,
        )
        process.call_soon(part.start)

    def end(self, one: _Instance) -> None:
        """Its process is gone."""
        if one.process.alive:
            self.deaths[one.incarnation] = self.world.now
            self.faults += [
                str(problem.get("exception") or problem["message"]) for problem in one.process.problems
            ]
            if one.lease_client is not None:
                for name, count in one.lease_client.call_counts.items():
                    self.calls[name] = self.calls.get(name, 0) + count
        one.process.kill()

    def run(self) -> None:
        """Play it."""
        self.host.start()
        for one in self.instances:
            self.world.at(START_S + self.rng.uniform(0, 0.5), partial(self.launch, one))
        for fault in self.trial.faults:
            self.world.at(START_S + fault.at_s, self.strike, fault)
        self.world.run(START_S + self.trial.lasts_s)
        self.out = [
            f"s{one.number} is {one.lease_client.lease_state.session.value} at the end"
            for one in self.instances
            if one.lease_client is not None
            and one.process.alive
            and not one.lease_client.lease_state.in_session
        ]
        for one in self.instances:
            self.end(one)

    def target(self, fault: Fault) -> _Instance:
        """Whom it hits."""
        if fault.target == HOLDER:
            for one in self.instances:
                if (
                    one.process.alive
                    and one.lease_client is not None
                    and any(
                        one.lease_client.lease_state.valid_token(1e-9, duty) for duty in self.trial.duties
                    )
                ):
                    return one
            return self.instances[0]
        return self.instances[int(fault.target) % len(self.instances)]

    def strike(self, fault: Fault) -> None:
        """Let it happen, and see to its end."""
        over = self.world.now + fault.lasts_s
        kind = fault.kind
        self.histories.add(
            Record(
                self.world.now,
                "nemesis",
                "",
                "fault",
                self.world.now,
                {"kind": kind, "target": fault.target, "lasts": fault.lasts_s},
            )
        )
        if kind == "store_stall":
            self.host.held_until = over
        elif kind == "store_away":
            self.host.away = True
            self.world.at(over, lambda: setattr(self.host, "away", False))
        elif kind in TRAPS:
            call, _, how = kind.partition("-")
            self.host.traps.append(Trap(call, how, fault.lasts_s))
        elif kind.startswith("rollout"):
            word = rollout_word(int(fault.at_s * 1000), kind == "rollout-bad")
            self.host.engine.commit(self.host.now(), Transaction((), (Put("coveport/" + COMMAND_KEY, word),)))
        elif kind == "compact":
            self.host.engine.compact(self.host.engine.revision)
        elif kind in ("halves", "lose_answers"):
            hit = [one for one in self.instances if kind == "lose_answers" or self.rng.random() < fault.share]
            for one in hit:
                self.way(one, "cut" if kind == "halves" else "lossy", fault.share, over)
        else:
            self.strike_one(self.target(fault), fault, over)

    def strike_one(self, one: _Instance, fault: Fault, over: float) -> None:
        """A fault of one instance."""
        kind = fault.kind
        if kind in ("stall", "sleep"):
            one.process.stall(fault.lasts_s)
            one.slept_s += fault.lasts_s if kind == "sleep" else 0.0
        elif kind == "kill":
            self.end(one)
            self.world.at(over, self.again, one)
        elif kind in ("leave", "yield", "unwell"):
            lease_client, process = one.lease_client, one.process
            if lease_client is None or not process.alive:
                return
            if kind == "leave":
                process.call_soon(lambda: process.create_task(lease_client.close()))
                self.world.at(self.world.now + LET_GO_S, self.end, one)
                self.world.at(over + LET_GO_S, self.again, one)
            elif kind == "yield":
                for duty in self.trial.duties:
                    process.call_soon(lease_client.step_down, duty, "staff")
            else:
                process.call_soon(lease_client.set_unhealthy, "can't reach nodes")
                self.world.at(over, lambda: process.call_soon(lease_client.set_unhealthy, ""))
        else:
            self.way(one, kind, fault.share, over)

    def way(self, one: _Instance, kind: str, share: float, over: float) -> None:
        """Its way to the store changes, and is as before after that."""
        way = one.way
        if kind in ("cut", "cut_out"):
            way.out = False
        if kind in ("cut", "cut_back"):
            way.back = False
        if kind == "slow":
            way.back_s = (0.4 * share, share)
        if kind == "lossy":
            way.lose = share
        if kind == "late":
            way.late = share
        if kind == "double":
            way.double = share

        def mend() -> None:
            if kind in ("cut", "cut_out"):
                way.out = True
            if kind in ("cut", "cut_back"):
                way.back = True
            if kind == "slow":
                way.back_s = Way().back_s
            way.lose, way.late, way.double = (
                (0.0, way.late, way.double)
                if kind == "lossy"
                else (way.lose, 0.0, way.double)
                if kind == "late"
                else (way.lose, way.late, 0.0)
                if kind == "double"
                else (way.lose, way.late, way.double)
            )

        self.world.at(over, mend)

    def again(self, one: _Instance) -> None:
        """It is started under its name."""
        if not one.process.alive:
            self.launch(one)

    def judged(self, seed: int) -> Played:
        """What came of it."""
        trial, end = self.trial, START_S + self.trial.lasts_s
        calm_from = START_S + trial.calm_from + LET_GO_S
        acts = judge.accepted((at / self.host.rate, change) for at, change in self.host.engine.book)
        held = judge.beliefs(self.histories, self.deaths, end)
        findings = judge.order(acts) + judge.told(self.histories, acts)
        if "drill" in trial.duties:
            findings += judge.steps(acts)
        if "rollout" in trial.duties:
            findings += judge.rollouts((at / self.host.rate, change) for at, change in self.host.engine.book)
        if "warden@0" in trial.duties and not trial.wild_clocks:
            findings += judge.floods(self.histories, START_S + BORN_S, SERVICE_S, SAFE)
        if not trial.wild_clocks:
            findings += judge.overlaps(held, 0.0)
            findings += judge.again(held, trial.duties, calm_from, trial.again_s, end)
            # Another may hold it all the while: whoever is well must be in again all the same.
            findings += [judge.Finding("again", end, what) for what in self.out]
        findings += [judge.Finding("crash", end, what) for what in self.faults]
        findings += [
            judge.Finding("crash", end, f"s{one.number} is estranged")
            for one in self.instances
            if one.lease_client is not None
            and one.lease_client.lease_state.session is SessionState.STORE_RESET
        ]
        lived = trial.lasts_s * trial.instances
        return Played(
            trial,
            seed,
            self.histories,
            acts,
            held,
            findings,
            self.calls,
            sum(self.calls.values()) / lived,
            self.world.calls,
        )


def play(trial: Trial, seed: int, variant: Variant = SOUND) -> Played:
    """Play a trial and judge it. The same trial, seed and variant give the same records."""
    one = _Trial(trial, seed, variant)
    with collector_paused():
        one.run()
        return one.judged(seed)
