"""Explores interleavings of a few coordinators' node tables, with the real replication of node reports.

One node sends heartbeats and deregisters. Delayed copies of its heartbeat may arrive at any coordinator at
any time, links are partitioned and coordinators restarted. Whenever no message is in flight, each coordinator
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
    """A connected coordinator lists a node as accepting whose deregistration was acknowledged."""


class StubFuture:
    """A future without an event loop, so that it can be pickled."""

    def __init__(self) -> None:
        self.value: bool | None = None

    def done(self) -> bool:
        return self.value is not None

    def set_result(self, value: bool) -> None:
        self.value = value


class FrozenClockNet:
    """A net whose clock stands still; it drops delayed calls."""

    @property
    def loop(self) -> FrozenClockNet:
        return self

    def now_s(self) -> float:
        return 100.0

    def create_future(self) -> StubFuture:
        return StubFuture()

    def call_later(self, wait_s: float, call: Callable[[], None]) -> None:
        """Drop the call, which sends a batch of ordinary heartbeats: it doesn't affect the check."""


class SimulatedCoordinator:
    """One incarnation of a coordinator."""

    def __init__(self, cluster: SimulatedCluster, name: str, incarnation: int) -> None:
        self.cluster = cluster
        self.name = name
        self.table = NodeTable(5.0)
        peers = ReportPeers(
            self.send, self.live_peers, self.known_peers, self.view_epoch, self.is_majority, self.has_quorum
        )
        self.reporting = NodeReportReplicator(
            FrozenClockNet(),  # type: ignore[arg-type]
            self.table, peers, cluster.scenario.required_acks, self.on_change, 1000 * incarnation,
        )  # fmt: skip

    def on_change(self) -> None:
        """Do nothing: there are no proxies to update."""

    def send(self, address: str, message: Message) -> None:
        self.cluster.send(self.name, address, message)

    def known_peers(self) -> list[str]:
        return [name for name in self.cluster.scenario.names if name != self.name]

    def live_peers(self) -> list[str]:
        return [name for name in self.known_peers() if not self.cluster.is_partitioned(self.name, name)]

    def view_epoch(self) -> Epoch:
        return Epoch(2, "") if self.name in self.cluster.scenario.members else Epoch(1, "")

    def is_majority(self, holder_ids: Collection[MemberId]) -> bool:
        members = self.cluster.scenario.known_members(self.name)
        return 2 * len({*(member.address for member in holder_ids), self.name} & set(members)) > len(members)

    def has_quorum(self) -> bool:
        return True

    def handle_connect(self, peer: str) -> None:
        """Exchange node tables, as a coordinator does over a new connection."""
        self.reporting.send_table(peer)
        self.send(peer, TableRequest())

    def handle_message(self, sender: str, message: Message) -> None:
        match message:
            case NodeReports():
                self.reporting.receive_reports(sender, message)
            case NodeReportsAck():
                self.reporting.receive_ack(MemberId(sender, sender), message)
            case TableRequest():
                self.reporting.send_table(sender)


@dataclass(frozen=True, slots=True)
class Scenario:
    """The steps that may happen, and how often."""

    name: str
    names: tuple[str, ...] = ("A", "B", "C")
    members: tuple[str, ...] = ("A", "B", "C")
    former_members: tuple[str, ...] = ("A", "B", "C")  # members in the last view that former members know
    required_acks: int = 1
    heartbeats: int = 2
    departure_report: Node = field(default_factory=functools.partial(deregistration, NODE))
    partitions: tuple[tuple[tuple[str, str], ...], ...] = ()  # each is a set of broken links
    restarts: tuple[str, ...] = ()  # coordinators to restart, in this order

    def known_members(self, name: str) -> tuple[str, ...]:
        """Return the members in a coordinator's view: a former member has missed the last view change."""
        return self.members if name in self.members else self.former_members


class SimulatedCluster:
    """The state of all coordinators and links."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.links: dict[tuple[str, str], list[Message]] = {}
        self.partition: tuple[tuple[str, str], ...] = ()
        self.coordinators = {name: SimulatedCoordinator(self, name, 1) for name in scenario.names}
        self.remaining_steps = {
            "heartbeat": scenario.heartbeats,
            "deregister": 1,
            "partition": 1 if scenario.partitions else 0,
            "restart": len(scenario.restarts),
        }
        self.incarnations = 1
        self.pending: list[tuple[str, StubFuture]] = []  # replications, each with its coordinator
        self.is_acknowledged = False

    def is_partitioned(self, name: str, peer: str) -> bool:
        return (name, peer) in self.partition or (peer, name) in self.partition

    def send(self, sender: str, receiver: str, message: Message) -> None:
        if not self.is_partitioned(sender, receiver):
            self.links.setdefault((sender, receiver), []).append(message)

    # -- steps --

    def steps(self) -> Iterator[tuple[str, str]]:
        if self.remaining_steps["restart"]:
            yield "restart", self.scenario.restarts[-self.remaining_steps["restart"]]
        if self.partition:
            yield "heal", ""
        if self.remaining_steps["partition"]:
            for number in range(len(self.scenario.partitions)):
                yield "partition", str(number)
        for name in self.scenario.names:
            if self.remaining_steps["heartbeat"]:
                yield "heartbeat", name
            if self.remaining_steps["deregister"]:
                yield "deregister", name
        for (sender, receiver), queue in self.links.items():
            if queue:
                yield "deliver", f"{sender}{receiver}"

    def apply_step(self, kind: str, target: str) -> None:
        if kind in self.remaining_steps:
            self.remaining_steps[kind] -= 1
        match kind:
            case "deliver":
                sender = target[0]
                receiver = target[1]
                self.coordinators[receiver].handle_message(sender, self.links[sender, receiver].pop(0))
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
        self.is_acknowledged |= any(future.value is True for _, future in self.pending)

    def _heartbeat(self, coordinator: SimulatedCoordinator) -> None:
        if coordinator.table.apply_report(HEARTBEAT, 100.0):
            for peer in coordinator.live_peers():
                coordinator.send(peer, NodeReports(0, (HEARTBEAT,)))

    def _deregister(self, coordinator: SimulatedCoordinator) -> None:
        coordinator.table.apply_report(self.scenario.departure_report, 100.0)
        replication = coordinator.reporting.start_replication(self.scenario.departure_report).replicated
        assert isinstance(replication, StubFuture)
        self.pending.append((coordinator.name, replication))

    def _partition(self, links: tuple[tuple[str, str], ...]) -> None:
        self.partition = links
        for name, peer in links:
            self.links.pop((name, peer), None)
            self.links.pop((peer, name), None)

    def _connect(self, name: str, peer: str) -> None:
        self.coordinators[name].handle_connect(peer)
        self.coordinators[peer].handle_connect(name)

    def _restart(self, name: str) -> None:
        """Restart a coordinator: messages and requests to it are lost, its own may still arrive."""
        self.incarnations += 1
        for peer in self.scenario.names:
            self.links.pop((peer, name), None)
        self.pending = [(caller, future) for caller, future in self.pending if caller != name]
        self.coordinators[name] = SimulatedCoordinator(self, name, self.incarnations)
        for peer in self.coordinators[name].live_peers():
            self._connect(name, peer)

    # -- invariant and state digest --

    def check(self, path: tuple[tuple[str, str], ...]) -> None:
        if not self.is_acknowledged or any(self.links.values()):
            return
        for name, coordinator in self.coordinators.items():
            members = self.scenario.members
            has_quorum = 2 * len({*coordinator.live_peers(), name} & set(members)) > len(members)
            accepting = [
                entry.node.incarnation
                for entry in coordinator.table.entries()
                if entry.node.state is NodeState.ACCEPTING
            ]
            if has_quorum and accepting:
                raise StaleEntryError(f"{name} lists {accepting[0]} after {path}")

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
        parts = (tables, links, self.partition, sorted(self.remaining_steps.items()), self.is_acknowledged)
        return hashlib.blake2b(repr(parts).encode(), digest_size=16).digest()


@dataclass(slots=True)
class ExplorationReport:
    """Counts of the explored states."""

    states: int = 0
    checked_states: int = 0  # states to which the check applies
    deepest: int = 0  # steps
    is_exhaustive: bool = True  # whether all reachable states were explored


def explore(scenario: Scenario, max_states: int) -> ExplorationReport:
    """Explore mostly from the deepest state, sometimes from the shallowest. Raises StaleEntryError."""
    report = ExplorationReport()
    random_source = Random(1)
    seen_digests: set[bytes] = set()
    initial_state = pickle.dumps(SimulatedCluster(scenario))
    frontier: deque[tuple[bytes, tuple[tuple[str, str], ...]]] = deque([(initial_state, ())])
    for iteration in itertools.count():
        if not frontier:
            break
        pickled_state, path = frontier.pop() if iteration % 8 else frontier.popleft()
        steps = list(pickle.loads(pickled_state).steps())
        random_source.shuffle(steps)
        for step in steps:
            successor: SimulatedCluster = pickle.loads(pickled_state)
            successor.apply_step(*step)
            digest = successor.digest()
            if digest in seen_digests:
                continue
            seen_digests.add(digest)
            report.states += 1
            report.deepest = max(report.deepest, len(path) + 1)
            successor.check((*path, step))
            is_checked = successor.is_acknowledged and not any(successor.links.values())
            report.checked_states += is_checked
            if report.states >= max_states:
                report.is_exhaustive = False
                return report
            frontier.append((pickle.dumps(successor), (*path, step)))
    return report


A_B, A_C, B_C = ("A", "B"), ("A", "C"), ("B", "C")
SCENARIOS = (
    Scenario("copies of a heartbeat around a deregistration"),
    Scenario("copies of a heartbeat around a drain", departure_report=DRAINING_NODE),
    Scenario("one coordinator is partitioned", heartbeats=1, partitions=((A_B, A_C), (A_C, B_C))),
    Scenario("two coordinators reach the third one but not each other", heartbeats=1, partitions=((A_C,),)),
    Scenario("one coordinator is restarted", heartbeats=1, restarts=("C",)),
    Scenario(
        "a member and a non-member are partitioned together",
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
    """Explore more than the tests do: `PYTHONPATH=. python tests/serving/membership/report_explorer.py`."""
    for scenario in SCENARIOS:
        report = explore(scenario, 150_000)
        print(f"{scenario.name}: {report}")


if __name__ == "__main__":
    main()
