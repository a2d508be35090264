"""Explores interleavings of a few coordinators' node tables, with the real replication of node reports.

One node sends heartbeats and deregisters; copies of its heartbeat are delayed and may arrive anywhere at any
time; links are partitioned and coordinators restarted. Whenever no message is in flight, each coordinator
that reaches a majority must have applied an acknowledged deregistration.
"""

from __future__ import annotations

import functools
import hashlib
import itertools
import pickle
from collections import deque
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from random import Random

from coveport.serving.coordinator.node_report_replication import NodeReportReplicator, ReportPeers
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node, NodeState, deregistration
from coveport.serving.replication.identity import Epoch, MemberId
from coveport.serving.wire.messages import Message, NodeReports, NodeReportsAck, TableRequest

NODE = "i-1"
HEARTBEAT = Node(NODE, 7, "chat", "10.0.0.1:80", "z1", "r1", 64, NodeState.ACCEPTING)
DRAINING_NODE = Node(NODE, 8, "chat", "10.0.0.1:80", "z1", "r1", 64, NodeState.DRAINING)


class StaleEntryError(Exception):
    """A connected coordinator still lists a node as accepting whose departure was acknowledged."""


class StubFuture:
    """A future without an event loop, which can be pickled."""

    def __init__(self) -> None:
        self.value: bool | None = None

    def done(self) -> bool:
        return self.value is not None

    def set_result(self, value: bool) -> None:
        self.value = value


class FrozenClockNet:
    """A clock that stands still; batches are sent at once."""

    @property
    def loop(self) -> FrozenClockNet:
        return self

    def now_s(self) -> float:
        return 100.0

    def create_future(self) -> StubFuture:
        return StubFuture()

    def call_later(self, wait_s: float, call: Callable[[], None]) -> None:
        """Drop batches of ordinary heartbeats: they change nothing that is checked."""


class SimulatedCoordinator:
    """One incarnation of a coordinator."""

    def __init__(self, cluster: SimulatedCluster, name: str, incarnation: int) -> None:
        self.cluster = cluster
        self.name = name
        self.table = NodeTable(5.0)
        peers = ReportPeers(
            self.send, self.live, self.known, self.view_epoch, self.is_majority, self.has_quorum
        )
        self.reporting = NodeReportReplicator(
            FrozenClockNet(),  # type: ignore[arg-type]
            self.table, peers, cluster.scenario.copies, self.on_change, 1000 * incarnation,
        )  # fmt: skip

    def on_change(self) -> None:
        """Do nothing, in place of updates to proxies."""

    def send(self, address: str, message: Message) -> None:
        self.cluster.send(self.name, address, message)

    def known(self) -> list[str]:
        return [name for name in self.cluster.scenario.names if name != self.name]

    def live(self) -> list[str]:
        return [name for name in self.known() if not self.cluster.is_partitioned(self.name, name)]

    def view_epoch(self) -> Epoch:
        return Epoch(2, "") if self.name in self.cluster.scenario.members else Epoch(1, "")

    def is_majority(self, others: Collection[MemberId]) -> bool:
        members = self.cluster.scenario.view_of(self.name)
        return 2 * len({*(member.address for member in others), self.name} & set(members)) > len(members)

    def has_quorum(self) -> bool:
        return True

    def connected(self, peer: str) -> None:
        """Do as a coordinator does when a connection has come up."""
        self.reporting.send_table(peer)
        self.send(peer, TableRequest())

    def received(self, sender: str, message: Message) -> None:
        match message:
            case NodeReports():
                self.reporting.receive_reports(sender, message)
            case NodeReportsAck():
                self.reporting.receive_ack(MemberId(sender, sender), message)
            case TableRequest():
                self.reporting.send_table(sender)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What may happen, and how often."""

    name: str
    names: tuple[str, ...] = ("A", "B", "C")
    members: tuple[str, ...] = ("A", "B", "C")
    former_members: tuple[str, ...] = ("A", "B", "C")  # as coordinators know them that are no longer members
    copies: int = 1
    heartbeats: int = 2
    departure: Node = field(default_factory=functools.partial(deregistration, NODE))
    partitions: tuple[tuple[tuple[str, str], ...], ...] = ()  # each a set of links
    restarts: tuple[str, ...] = ()

    def view_of(self, name: str) -> tuple[str, ...]:
        """Return the members that a coordinator knows: a former member has missed their last change."""
        return self.members if name in self.members else self.former_members


class SimulatedCluster:
    """The state of all coordinators and links."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.links: dict[tuple[str, str], list[Message]] = {}
        self.partition: tuple[tuple[str, str], ...] = ()
        self.coordinators = {name: SimulatedCoordinator(self, name, 1) for name in scenario.names}
        self.remaining = {
            "heartbeat": scenario.heartbeats,
            "deregister": 1,
            "partition": 1 if scenario.partitions else 0,
            "restart": len(scenario.restarts),
        }
        self.incarnations = 1
        self.pending: list[tuple[str, StubFuture]] = []  # by coordinator
        self.is_acknowledged = False

    def is_partitioned(self, name: str, peer: str) -> bool:
        return (name, peer) in self.partition or (peer, name) in self.partition

    def send(self, sender: str, receiver: str, message: Message) -> None:
        if not self.is_partitioned(sender, receiver):
            self.links.setdefault((sender, receiver), []).append(message)

    # -- steps --

    def steps(self) -> Iterator[tuple[str, str]]:
        if self.remaining["restart"]:
            yield "restart", self.scenario.restarts[-self.remaining["restart"]]
        if self.partition:
            yield "heal", ""
        if self.remaining["partition"]:
            for number in range(len(self.scenario.partitions)):
                yield "partition", str(number)
        for name in self.scenario.names:
            if self.remaining["heartbeat"]:
                yield "heartbeat", name
            if self.remaining["deregister"]:
                yield "deregister", name
        for (sender, receiver), queue in self.links.items():
            if queue:
                yield "deliver", f"{sender}{receiver}"

    def take(self, kind: str, target: str) -> None:
        if kind in self.remaining:
            self.remaining[kind] -= 1
        match kind:
            case "deliver":
                sender = target[0]
                receiver = target[1]
                self.coordinators[receiver].received(sender, self.links[sender, receiver].pop(0))
            case "heartbeat":
                self._heartbeat(self.coordinators[target])
            case "deregister":
                self._deregister(self.coordinators[target])
            case "partition":
                self._partition(self.scenario.partitions[int(target)])
            case "heal":
                healed_links, self.partition = self.partition, ()
                for name, peer in healed_links:
                    self._connect(name, peer)
            case "restart":
                self._restart(target)
        self.is_acknowledged |= any(answer.value is True for _, answer in self.pending)

    def _heartbeat(self, coordinator: SimulatedCoordinator) -> None:
        if coordinator.table.apply_report(HEARTBEAT, 100.0):
            for peer in coordinator.live():
                coordinator.send(peer, NodeReports(0, (HEARTBEAT,)))

    def _deregister(self, coordinator: SimulatedCoordinator) -> None:
        coordinator.table.apply_report(self.scenario.departure, 100.0)
        done = coordinator.reporting.start_replication(self.scenario.departure).replicated
        assert isinstance(done, StubFuture)
        self.pending.append((coordinator.name, done))

    def _partition(self, links: tuple[tuple[str, str], ...]) -> None:
        self.partition = links
        for name, peer in links:
            self.links.pop((name, peer), None)
            self.links.pop((peer, name), None)

    def _connect(self, name: str, peer: str) -> None:
        self.coordinators[name].connected(peer)
        self.coordinators[peer].connected(name)

    def _restart(self, name: str) -> None:
        """Restart a coordinator: messages and requests to it are lost, its own may still arrive."""
        self.incarnations += 1
        for peer in self.scenario.names:
            self.links.pop((peer, name), None)
        self.pending = [(caller, answer) for caller, answer in self.pending if caller != name]
        self.coordinators[name] = SimulatedCoordinator(self, name, self.incarnations)
        for peer in self.coordinators[name].live():
            self._connect(name, peer)

    # -- what must hold --

    def check(self, trail: tuple[tuple[str, str], ...]) -> None:
        if not self.is_acknowledged or any(self.links.values()):
            return
        for name, coordinator in self.coordinators.items():
            members = self.scenario.members
            has_quorum = 2 * len({*coordinator.live(), name} & set(members)) > len(members)
            accepting = [
                entry.node.incarnation
                for entry in coordinator.table.entries()
                if entry.node.state is NodeState.ACCEPTING
            ]
            if has_quorum and accepting:
                raise StaleEntryError(f"{name} lists {accepting[0]} after {trail}")

    def digest(self) -> bytes:
        tables = [
            (
                name,
                sorted(
                    (entry.node.incarnation, entry.node.state.value) for entry in coordinator.table.entries()
                ),
                [node.incarnation for node in coordinator.table.deregistrations(100.0)],
                sorted(
                    (confirmation_id, sorted(report.acknowledgements), report.replicated.done())
                    for confirmation_id, report in coordinator.reporting._pending.items()
                ),
            )
            for name, coordinator in self.coordinators.items()
        ]
        links = sorted((key, repr(queue)) for key, queue in self.links.items() if queue)
        parts = (tables, links, self.partition, sorted(self.remaining.items()), self.is_acknowledged)
        return hashlib.blake2b(repr(parts).encode(), digest_size=16).digest()


@dataclass(slots=True)
class ExplorationReport:
    """How much was explored."""

    states: int = 0
    acknowledged_at_rest: int = 0  # states in which the check bites
    deepest: int = 0
    is_exhaustive: bool = True  # no state was left to explore


def explore(scenario: Scenario, max_states: int) -> ExplorationReport:
    """Explore mostly from the deepest state, now and then from the shallowest. Raises StaleEntryError."""
    report = ExplorationReport()
    random_source = Random(1)
    seen: set[bytes] = set()
    start = pickle.dumps(SimulatedCluster(scenario))
    frontier: deque[tuple[bytes, tuple[tuple[str, str], ...]]] = deque([(start, ())])
    for iteration in itertools.count():
        if not frontier:
            break
        packed, trail = frontier.pop() if iteration % 8 else frontier.popleft()
        steps = list(pickle.loads(packed).steps())
        random_source.shuffle(steps)
        for step in steps:
            following: SimulatedCluster = pickle.loads(packed)
            following.take(*step)
            digest = following.digest()
            if digest in seen:
                continue
            seen.add(digest)
            report.states += 1
            report.deepest = max(report.deepest, len(trail) + 1)
            following.check((*trail, step))
            is_at_rest = following.is_acknowledged and not any(following.links.values())
            report.acknowledged_at_rest += is_at_rest
            if report.states >= max_states:
                report.is_exhaustive = False
                return report
            frontier.append((pickle.dumps(following), (*trail, step)))
    return report


A_B, A_C, B_C = ("A", "B"), ("A", "C"), ("B", "C")
SCENARIOS = (
    Scenario("copies of a heartbeat around a deregistration"),
    Scenario("copies of a heartbeat around a drain", departure=DRAINING_NODE),
    Scenario("one coordinator is partitioned", heartbeats=1, partitions=((A_B, A_C), (A_C, B_C))),
    Scenario("two that reach the third don't reach each other", heartbeats=1, partitions=((A_C,),)),
    Scenario("one coordinator is restarted", heartbeats=1, restarts=("C",)),
    Scenario(
        "a member and an outsider are partitioned together",
        names=("A", "B", "C", "D"),
        heartbeats=1,
        partitions=((A_B, A_C, ("B", "D"), ("C", "D")),),
    ),
    Scenario(
        "a former member is partitioned with a current one",
        names=("A", "B", "C", "D"),
        members=("B", "C", "D"),
        heartbeats=1,
        partitions=((A_C, ("A", "D"), B_C, ("B", "D")),),
    ),
)


def main() -> None:
    """Explore deeper than the tests: `PYTHONPATH=. python tests/serving/membership/report_explorer.py`."""
    for scenario in SCENARIOS:
        report = explore(scenario, 150_000)
        print(f"{scenario.name}: {report}")


if __name__ == "__main__":
    main()
