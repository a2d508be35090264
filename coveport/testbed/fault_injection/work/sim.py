"""A trial of the intent log: every instance's parts as shipped, on simulated time.

The module and the reducer are the shipped ones as well; nodes and tills keep books, which are held against
each other and against the records in the store.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from functools import partial

from coveport.balancing.simulator_settings import parse_settings
from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.execution import Client
from coveport.sidecar.intent_log.pending_operation import PendingOperation
from coveport.sidecar.intent_log.presence import Presence
from coveport.sidecar.intent_log.record import Record
from coveport.sidecar.intent_log.record_codec import decode
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.runtime import Runtime
from coveport.sidecar.intent_log.settings import IntentLogSettings
from coveport.sidecar.intent_log.token_bucket import TokenBucket
from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.store import Entry
from coveport.sidecar.reducer.operation import Operation
from coveport.testbed.fault_injection.judge import Finding
from coveport.testbed.fault_injection.quiet_collector import collector_paused
from coveport.testbed.fault_injection.real import SETTINGS
from coveport.testbed.fault_injection.recording_nodes import Asked, Cell, Ran, judge
from coveport.testbed.fault_injection.schedules import Fault
from coveport.testbed.fault_injection.simstore import Host, SimStore, Way
from coveport.testbed.fault_injection.work.broken_variants import SOUND, WorkVariant
from coveport.testbed.fault_injection.work.executors import NodeWay, SimHands, SimNode, SimTills
from coveport.testbed.simulated_network.world import Process, World

START_S = 1000.0
PREFIX = "coveport-work/"
LEAVE_S = 2.2  # from the word to end until a planned end is over
CALL_S = 0.25
# By how much instances' wall clocks are wrong, s: right, some seconds off, or an hour.
WALLS = (0.0, 0.0, 5.0, -5.0, 3700.0, -3700.0)
KINDS = (
    "kill",
    "kill",
    "stall",
    "stall",
    "cut",
    "cut_out",
    "cut_back",
    "lossy",
    "late",
    "slow",
    "leave",
    "node_cut",
    "node_lost",
    "node_mute",
    "node_down",
    "half_killed",
    "store_away",
    "store_stall",
    "sleep",
    "send_stall",
    "send_stall",
)
CHAINED = 0.3  # share that follow a loss within the window, at somebody else or at the same


@dataclass(frozen=True, slots=True)
class WorkTrial:
    """Who is there, what they are asked, and what breaks."""

    instances: int = 5
    nodes: int = 6
    ttl_s: float = 3.0
    rate: float = 40.0  # operations of tills a second, over all
    over_s: float = 12.0  # how long tills begin new ones
    calm_s: float = 25.0  # how long it goes on after that and after the last fault
    refuse: tuple[str, ...] = ("earn", "redeem")
    faults: tuple[Fault, ...] = ()
    kept_s: float = 600.0
    record: bool = True  # False: as without any of it, to hold the two against each other

    @property
    def lasts_s(self) -> float:
        """How long it takes."""
        last = max((one.at_s + one.lasts_s for one in self.faults), default=0.0)
        return max(self.over_s, last) + self.calm_s


def draw(seed: int, instances: int = 5, faults: int = 4) -> WorkTrial:
    """A trial from its seed."""
    rng = random.Random(f"work {seed}")
    drawn: list[Fault] = []
    for _ in range(rng.randint(1, faults)):
        kind = rng.choice(KINDS)
        if drawn and rng.random() < CHAINED:
            # A takeover that is taken over: whoever took it up is lost as well.
            drawn.append(
                Fault(
                    round(drawn[-1].at_s + rng.uniform(0.1, 6.0), 3),
                    rng.choice(("kill", "stall", "half_killed", "cut")),
                    str(rng.randrange(instances)),
                    round(rng.uniform(0.5, 8.0), 3),
                )
            )
            continue
        lasts = min(30.0, 0.1 * 300 ** rng.random())
        if kind.startswith("store"):
            lasts = min(lasts, 8.0)
        target = "" if kind in ("half_killed", "store_away", "store_stall") else str(rng.randrange(instances))
        drawn.append(
            Fault(
                round(rng.uniform(1.5, 12.0), 3),
                kind,
                target,
                round(lasts, 3),
                round(rng.uniform(0.1, 0.9), 2),
            )
        )
    return WorkTrial(
        instances=instances,
        rate=5.0 * min(instances, 10),
        refuse=("earn", "redeem") if rng.random() < 0.6 else (),
        faults=tuple(sorted(drawn, key=lambda one: one.at_s)),
    )


@dataclass
class _Instance:
    number: int
    rate: float
    way: Way
    node_way: NodeWay
    process: Process
    lease_client: LeaseClient | None = None
    hands: SimHands | None = None
    recorder: object = None
    lives: int = 0
    counts: dict[str, int] = field(default_factory=dict)
    wall_off_s: float = 0.0


@dataclass(frozen=True)
class Played:
    """What a trial left behind."""

    trial: WorkTrial
    seed: int
    findings: list[Finding]
    wishes: int
    served: int
    ran: int
    ends: dict[str, int]
    counts: dict[str, int]
    closed_s: float  # from the last loss to the last record that was closed by a successor
    learnt: float  # share of operations whose till has learnt that they were served
    twice: int  # operations that nodes ran more than once
    losses: int  # instances that were lost


class _Sim:
    def __init__(self, trial: WorkTrial, seed: int, variant: WorkVariant) -> None:
        self.trial = trial
        self.variant = variant
        self.rng = random.Random(f"work play {seed}")
        self.world = World(START_S)
        self.host = Host(self.world)
        self.settings = parse_settings(json.dumps(SETTINGS | {"peers_total": trial.instances}))
        window_s = next(one for one in self.settings.classes if one.name == "earn").window_ms / 1000
        cells = [Cell(window_s) for _ in range((trial.nodes + 1) // 2)]
        self.nodes = [SimNode(number, cells[number // 2], number // 2) for number in range(trial.nodes)]
        self.tills = SimTills(self.world, random.Random(f"tills {seed}"), 1.0, 6)
        self.tills.reach = lambda: [one.hands for one in self.instances if one.hands is not None]
        self.unrecorded: set[str] = set()
        self.problems: list[str] = []
        self.counts: dict[str, int] = {}
        self.losses: list[float] = []
        self.instances = [
            _Instance(
                number,
                self.rng.uniform(0.99, 1.01),
                Way(),
                NodeWay(),
                Process.start(self.world, f"s{number}"),
            )
            for number in range(trial.instances)
        ]
        walls = random.Random(f"walls {seed}")
        for one in self.instances:
            one.wall_off_s = walls.choice(WALLS)

    def launch(self, one: _Instance) -> None:
        """A process of that name."""
        one.lives += 1
        name, incarnation = f"s{one.number}", f"s{one.number}.{one.lives}"
        one.process = process = Process.start(self.world, name)
        rng = random.Random(self.rng.random())

        def now_s() -> float:
            return self.world.now * one.rate

        def unix_s() -> float:
            return self.world.unix_s() + one.wall_off_s

        def say(event: str, **fields: object) -> None:
            pass

        def count(what: str) -> None:
            self.counts[what] = self.counts.get(what, 0) + 1

        variant, trial = self.variant, self.trial
        lease_client = LeaseClient(
            SimStore(process, self.host, one.way, rng),
            name=name,
            incarnation=incarnation,
            roles=(),
            terms=LeaseTerms(trial.ttl_s, 0.2, 0.02),
            now_s=now_s,
            history=say,
            rng=rng,
        )
        one.lease_client = lease_client
        one.hands = hands = SimHands(self.world, process, self.nodes, self.settings, one.node_way, rng)
        presence = Presence(incarnation, trial.ttl_s)
        intent_log_settings = IntentLogSettings(
            frozenset({"earn", "redeem"}), frozenset(trial.refuse), store_timeout_s=CALL_S
        )
        journal = variant.journal(SimStore(process, self.host, one.way, rng), now_s, CALL_S, say)

        def token() -> int:
            entry = lease_client.entries.get(INSTANCE_PREFIX + name)
            inside = lease_client.lease_state.in_session
            return entry.created if inside and entry is not None else 0

        runtime = Runtime(
            name=name,
            incarnation=incarnation,
            session_token=token,
            now_s=now_s,
            rng=rng,
            count=count,
            log_event=say,
            unix_s=unix_s,
        )
        layout = variant.layout(PREFIX, trial.kept_s)
        recorder = variant.recorder(
            hands, journal, layout, variant.codec(), presence, intent_log_settings, runtime
        )
        takeover_worker = variant.takeover_worker(
            recorder, TokenBucket(50.0, 16), lambda: hands.pending > 16, runtime
        )
        sweeper = variant.sweeper(recorder, runtime)
        one.recorder = recorder
        self._watch_unrecorded(recorder)

        def changed(key: str, entry: Entry | None) -> None:
            if not key.startswith(INSTANCE_PREFIX):
                return
            other = key[len(INSTANCE_PREFIX) :]
            if entry is None:
                takeover_worker.owner_lost(presence.remove(now_s(), other))
                return
            word = json.loads(entry.value).get("incarnation", "")
            if presence.incarnation_of(other) not in ("", word):
                takeover_worker.owner_lost(presence.remove(now_s(), other))
            presence.add(other, word)

        lease_client.on_change = changed

        def start() -> None:
            lease_client.publish_status(json.dumps({"incarnation": incarnation}).encode())
            lease_client.start()
            recorder.start()
            takeover_worker.start()
            sweeper.start()

        async def leave() -> None:
            takeover_worker.stop()
            sweeper.stop()
            await recorder.drain(2.0)
            await lease_client.close()

        one.counts = {}
        self._leave = getattr(self, "_leave", {})
        self._leave[one.number] = (leave, recorder)
        hands.recorder = recorder if trial.record else None
        process.call_soon(start)

    def _watch_unrecorded(self, recorder: Recorder) -> None:
        """Note what is served while the store is unavailable: the judge promises nothing of it."""
        accept = recorder.accept
        outcome_unknown = recorder._outcome_unknown

        def watched_accept(number: int, client: Client, operation: Operation) -> Client | None:
            before = self.counts.get("work_unrecorded", 0)
            response_to = accept(number, client, operation)
            if self.counts.get("work_unrecorded", 0) != before and operation.is_admitted:
                self.unrecorded.add(operation.body.decode())
            return response_to

        def watched_outcome_unknown(pending: PendingOperation) -> None:
            outcome_unknown(pending)
            # What may go unrecorded is the trial's rule, not the recorder's: what stood nowhere, and was not
            # to be rejected.
            in_flight = pending.record_in_flight
            has_attempt = in_flight is not None and bool(in_flight.attempts)
            is_rejected = pending.record.class_name in self.trial.refuse
            if pending.revision == 0 and has_attempt and not is_rejected:
                self.unrecorded.add(pending.operation.body.decode())

        recorder.accept = watched_accept  # type: ignore[method-assign]
        recorder._outcome_unknown = watched_outcome_unknown  # type: ignore[method-assign]

    def end(self, one: _Instance, planned: bool = False) -> None:
        """Its process is gone."""
        if one.process.alive:
            self.problems += [
                str(problem.get("exception") or problem["message"]) for problem in one.process.problems
            ]
            if not planned:
                self.losses.append(self.world.now)
        one.process.kill()

    def again(self, one: _Instance) -> None:
        """Started under its name."""
        if not one.process.alive:
            self.launch(one)

    def strike(self, fault: Fault) -> None:
        """Let it happen, and see to its end."""
        over = self.world.now + fault.lasts_s
        kind = fault.kind
        if kind == "store_stall":
            self.host.held_until = over
        elif kind == "store_away":
            self.host.away = True
            self.world.at(over, lambda: setattr(self.host, "away", False))
        elif kind == "half_killed":
            for one in self.instances[:-1]:
                if self.rng.random() < 0.7:
                    self.end(one)
                    self.world.at(over, self.again, one)
        elif kind in ("node_mute", "node_down"):
            node = self.nodes[int(fault.target) % len(self.nodes)]
            name = "mute" if kind == "node_mute" else "up"
            setattr(node, name, kind == "node_mute")
            self.world.at(over, lambda: setattr(node, name, kind != "node_mute"))
        else:
            self.strike_one(self.instances[int(fault.target) % len(self.instances)], fault, over)

    def strike_one(self, one: _Instance, fault: Fault, over: float) -> None:
        """A fault of one instance."""
        kind, way = fault.kind, one.way
        if kind in ("stall", "sleep"):
            one.process.stall(fault.lasts_s)
        elif kind == "kill":
            self.end(one)
            self.world.at(over, self.again, one)
        elif kind == "leave":
            if one.process.alive:
                leave, recorder = self._leave[one.number]
                process = one.process
                process.call_soon(lambda: process.create_task(leave()))
                hands, one.hands = one.hands, None  # tills are led elsewhere
                self.world.at(
                    self.world.now + LEAVE_S - 0.2,
                    lambda: process.call_soon(lambda: process.create_task(recorder.close())),
                )
                self.world.at(self.world.now + LEAVE_S, self.end, one, True)
                self.world.at(max(over, self.world.now + LEAVE_S + 0.1), self.again, one)
                assert hands is not None
        elif kind == "send_stall":
            if one.hands is not None:
                one.hands.stall_s = fault.lasts_s
        elif kind.startswith("node"):
            one.node_way.out = kind != "node_cut"
            one.node_way.lose = fault.share if kind == "node_lost" else 0.0

            def mend() -> None:
                one.node_way.out, one.node_way.lose = True, 0.0

            self.world.at(over, mend)
        else:
            if kind in ("cut", "cut_out"):
                way.out = False
            if kind in ("cut", "cut_back"):
                way.back = False
            if kind == "lossy":
                way.lose = fault.share
            if kind == "late":
                way.late = fault.share
            if kind == "slow":
                way.back_s = (0.3 * fault.share, 0.5 * fault.share)

            def heal() -> None:
                way.out = way.back = True
                way.lose = way.late = 0.0
                way.back_s = Way().back_s

            self.world.at(over, heal)

    def run(self) -> None:
        """Play it."""
        self.host.start()
        for one in self.instances:
            self.world.at(START_S + self.rng.uniform(0, 0.3), partial(self.launch, one))
        at = START_S + 1.0
        while at < START_S + 1.0 + self.trial.over_s:
            at += self.rng.expovariate(self.trial.rate)
            self.world.at(at, self.tills.wish, "redeem" if self.rng.random() < 0.5 else "earn")
        for fault in self.trial.faults:
            self.world.at(START_S + fault.at_s, self.strike, fault)
        self.world.run(START_S + self.trial.lasts_s)
        for one in self.instances:
            self.end(one, True)

    def records(self) -> dict[str, Record]:
        """What stands in the store in the end, by the operation's key."""
        found = {}
        for key, entry in self.host.engine.entries.items():
            if key.startswith(PREFIX + "r/"):
                try:
                    record = decode(entry.value)
                    found[record.idempotency_key] = record
                except RecordError as problem:
                    self.problems.append(f"{key}: {problem}")
        return found

    def judged(self, seed: int) -> Played:
        """What came of it."""
        records = self.records()
        ran = [one for node in self.nodes for one in node.ran]
        asked = [
            Asked(at, 0, wish.cls, wish.key, "", 200 if verdict == "served" else 503, body)
            for wish in self.tills.wishes
            for at, verdict, body in wish.told
        ]
        ends = {key: record.status for key, record in records.items() if key not in self.unrecorded}
        findings = judge(asked, ran, ends, frozenset(self.unrecorded))
        end = START_S + self.trial.lasts_s
        findings += [
            Finding("open", end, f"{key} is {record.status} at the end, of {record.owner}")
            for key, record in records.items()
            if record.is_open
        ]
        findings += self._passed_on()
        findings += [
            Finding("tries", end, f"{key}: {len(record.attempts)} attempts")
            for key, record in records.items()
            if len(record.attempts) > record.policy.max_attempts
        ]
        runs: dict[str, int] = {}
        for one in ran:
            runs[one.key] = runs.get(one.key, 0) + 1
        findings += [
            Finding("tries", end, f"{key} was sent {count} times")
            for key, count in runs.items()
            if key not in self.unrecorded
            and count > self.settings.limits.max_attempts * (records[key].generation if key in records else 1)
        ]
        findings += [Finding("crash", end, what) for what in self.problems]
        said: dict[str, int] = {}
        for record in records.values():
            said[record.status] = said.get(record.status, 0) + 1
        return Played(
            self.trial,
            seed,
            findings,
            len(self.tills.wishes),
            sum(wish.over for wish in self.tills.wishes),
            len(ran),
            said,
            self.counts,
            self._closed_s(),
            sum(wish.over for wish in self.tills.wishes) / max(1, len(self.tills.wishes)),
            self._twice(ran),
            len(self.losses),
        )

    @staticmethod
    def _twice(ran: list[Ran]) -> int:
        whole: dict[str, int] = {}
        for one in ran:
            whole[one.key] = whole.get(one.key, 0) + (not one.repeat)
        return sum(count > 1 for count in whole.values())

    def _passed_on(self) -> list[Finding]:
        """Each record's owners only grow: who was one and is not any more writes nothing of it."""
        found: list[Finding] = []
        last: dict[str, Record] = {}
        for at, change in self.host.engine.book:
            if not change.key.startswith(PREFIX + "r/") or change.entry is None:
                continue
            try:
                record = decode(change.entry.value)
            except RecordError:
                continue
            before = last.get(change.key)
            chain = (*record.previous_owners, record.owner)
            if before is not None and chain[: len(before.previous_owners) + 1] != (
                *before.previous_owners,
                before.owner,
            ):
                found.append(
                    Finding(
                        "owners",
                        at,
                        f"{record.idempotency_key}: {record.owner} wrote what was {before.owner}'s",
                    )
                )
            last[change.key] = record
        return found

    def _closed_s(self) -> float:
        """From the last loss of an instance to the last record closed by somebody else."""
        last = 0.0
        for at, change in self.host.engine.book:
            if change.key.startswith(PREFIX + "r/") and change.entry is not None and self.losses:
                record = decode(change.entry.value)
                if (
                    not record.is_open
                    and record.previous_owners
                    and record.generation == 1
                    and at > self.losses[-1]
                ):
                    last = max(last, at - self.losses[-1])
        return last


def play(trial: WorkTrial, seed: int, variant: WorkVariant = SOUND) -> Played:
    """Play a trial and judge it; the same trial, seed and variant leave the same behind."""
    one = _Sim(trial, seed, variant)
    with collector_paused():
        with variant.while_played():
            one.run()
        return one.judged(seed)
