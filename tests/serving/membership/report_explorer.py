"""All interleavings of a few coordinators' node tables, with the real reporting code, and cuts and restarts.

One node beats, and says goodbye; copies of its heartbeat are held up and may arrive anywhere at any time.
Whenever nothing is on its way, each coordinator that reaches a majority must have taken in an acknowledged
goodbye.
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
CLOSING = Node(NODE, 8, "chat", "10.0.0.1:80", "z1", "r1", 64, NodeState.DRAINING)


class BrokenPromiseError(Exception):
    """A coordinator in touch still lists a node as accepting whose leave was acknowledged."""


class Answer:
    """In place of a future."""

    def __init__(self) -> None:
        self.value: bool | None = None

    def done(self) -> bool:
        return self.value is not None

    def set_result(self, value: bool) -> None:
        self.value = value


class StandingNet:
    """Time stands still; batches are sent at once."""

    @property
    def loop(self) -> StandingNet:
        return self

    def now_s(self) -> float:
        return 100.0

    def create_future(self) -> Answer:
        return Answer()

    def call_later(self, wait_s: float, call: Callable[[], None]) -> None:
        """A batch of ordinary heartbeats: left out, they change nothing that is checked."""


class End:
    """One life of a coordinator."""

    def __init__(self, ground: Ground, name: str, life: int) -> None:
        self.ground = ground
        self.name = name
        self.table = NodeTable(5.0)
        peers = ReportPeers(self.send, self.live, self.known, self.view_epoch, self.is_majority)
        self.reporting = NodeReportReplicator(
            StandingNet(),  # type: ignore[arg-type]
            self.table, peers, ground.scenario.copies, self.noted, 1000 * life,
        )  # fmt: skip

    def noted(self) -> None:
        """Proxies would be told."""

    def send(self, address: str, message: Message) -> None:
        self.ground.send(self.name, address, message)

    def known(self) -> list[str]:
        return [name for name in self.ground.scenario.names if name != self.name]

    def live(self) -> list[str]:
        return [name for name in self.known() if not self.ground.is_cut(self.name, name)]

    def view_epoch(self) -> Epoch:
        return Epoch(2, "") if self.name in self.ground.scenario.members else Epoch(1, "")

    def is_majority(self, others: Collection[MemberId]) -> bool:
        members = self.ground.scenario.view_of(self.name)
        return 2 * len({*(one.address for one in others), self.name} & set(members)) > len(members)

    def connected(self, other: str) -> None:
        """As the coordinator does when a connection has come up."""
        self.reporting.tell_all(other)
        self.send(other, TableRequest())

    def received(self, sender: str, message: Message) -> None:
        match message:
            case NodeReports():
                self.reporting.passed_on(sender, message)
            case NodeReportsAck():
                self.reporting.taken(MemberId(sender, sender), message)
            case TableRequest():
                self.reporting.tell_all(sender)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What may happen, each thing so often."""

    name: str
    names: tuple[str, ...] = ("A", "B", "C")
    members: tuple[str, ...] = ("A", "B", "C")
    former_members: tuple[str, ...] = ("A", "B", "C")  # as those know them that are members no more
    copies: int = 1
    heartbeats: int = 2
    leave: Node = field(default_factory=functools.partial(deregistration, NODE))
    cuts: tuple[tuple[tuple[str, str], ...], ...] = ()  # each a set of links
    restarts: tuple[str, ...] = ()

    def view_of(self, name: str) -> tuple[str, ...]:
        """The members that a coordinator knows: one that is none now has missed how they changed."""
        return self.members if name in self.members else self.former_members


class Ground:
    """The whole state."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.links: dict[tuple[str, str], list[Message]] = {}
        self.cut: tuple[tuple[str, str], ...] = ()
        self.ends = {name: End(self, name, 1) for name in scenario.names}
        self.left = {
            "heartbeat": scenario.heartbeats,
            "leave": 1,
            "cut": 1 if scenario.cuts else 0,
            "restart": len(scenario.restarts),
        }
        self.lives = 1
        self.asked: list[tuple[str, Answer]] = []  # of whom
        self.is_acknowledged = False

    def is_cut(self, one: str, other: str) -> bool:
        return (one, other) in self.cut or (other, one) in self.cut

    def send(self, sender: str, receiver: str, message: Message) -> None:
        if not self.is_cut(sender, receiver):
            self.links.setdefault((sender, receiver), []).append(message)

    # -- steps --

    def steps(self) -> Iterator[tuple[str, str]]:
        if self.left["restart"]:
            yield "restart", self.scenario.restarts[-self.left["restart"]]
        if self.cut:
            yield "heal", ""
        if self.left["cut"]:
            for number in range(len(self.scenario.cuts)):
                yield "cut", str(number)
        for name in self.scenario.names:
            if self.left["heartbeat"]:
                yield "heartbeat", name
            if self.left["leave"]:
                yield "leave", name
        for (sender, receiver), queue in self.links.items():
            if queue:
                yield "deliver", f"{sender}{receiver}"

    def take(self, kind: str, what: str) -> None:
        if kind in self.left:
            self.left[kind] -= 1
        match kind:
            case "deliver":
                sender, receiver = what[0], what[1]
                self.ends[receiver].received(sender, self.links[sender, receiver].pop(0))
            case "heartbeat":
                self._heartbeat(self.ends[what])
            case "leave":
                self._leave(self.ends[what])
            case "cut":
                self._cut(self.scenario.cuts[int(what)])
            case "heal":
                healed, self.cut = self.cut, ()
                for one, other in healed:
                    self._connect(one, other)
            case "restart":
                self._restart(what)
        self.is_acknowledged |= any(answer.value is True for _, answer in self.asked)

    def _heartbeat(self, end: End) -> None:
        if end.table.apply_report(HEARTBEAT, 100.0):
            for peer in end.live():
                end.send(peer, NodeReports(0, (HEARTBEAT,)))

    def _leave(self, end: End) -> None:
        end.table.apply_report(self.scenario.leave, 100.0)
        done = end.reporting.begin_confirmation(self.scenario.leave).done
        assert isinstance(done, Answer)
        self.asked.append((end.name, done))

    def _cut(self, links: tuple[tuple[str, str], ...]) -> None:
        self.cut = links
        for one, other in links:
            self.links.pop((one, other), None)
            self.links.pop((other, one), None)

    def _connect(self, one: str, other: str) -> None:
        self.ends[one].connected(other)
        self.ends[other].connected(one)

    def _restart(self, name: str) -> None:
        """What it sent may still arrive; what was on its way to it is lost, and so is what it was asked."""
        self.lives += 1
        for other in self.scenario.names:
            self.links.pop((other, name), None)
        self.asked = [(of, answer) for of, answer in self.asked if of != name]
        self.ends[name] = End(self, name, self.lives)
        for other in self.ends[name].live():
            self._connect(name, other)

    # -- what must hold --

    def check(self, trail: tuple[tuple[str, str], ...]) -> None:
        if not self.is_acknowledged or any(self.links.values()):
            return
        for name, end in self.ends.items():
            members = self.scenario.members
            is_in_touch = 2 * len({*end.live(), name} & set(members)) > len(members)
            entries = [entry for entry in end.table.entries() if entry.node.state is NodeState.ACCEPTING]
            if is_in_touch and entries:
                raise BrokenPromiseError(f"{name} lists {entries[0].node.incarnation} after {trail}")

    def digest(self) -> bytes:
        tables = [
            (
                name,
                sorted((e.node.incarnation, e.node.state.value) for e in end.table.entries()),
                [one.incarnation for one in end.table.deregistrations(100.0)],
                sorted(
                    (n, sorted(c.holders), c.done.done()) for n, c in end.reporting._confirmations.items()
                ),
            )
            for name, end in self.ends.items()
        ]
        links = sorted((key, repr(queue)) for key, queue in self.links.items() if queue)
        parts = (tables, links, self.cut, sorted(self.left.items()), self.is_acknowledged)
        return hashlib.blake2b(repr(parts).encode(), digest_size=16).digest()


@dataclass(slots=True)
class Explored:
    """What was looked at."""

    states: int = 0
    acknowledged_at_rest: int = 0  # states in which the check bites
    deepest: int = 0
    is_whole: bool = True  # there was nothing left to look at


def explore(scenario: Scenario, most_states: int) -> Explored:
    """Mostly from the deepest, now and then from the shallowest. Raises BrokenPromiseError."""
    explored = Explored()
    chance = Random(1)
    seen: set[bytes] = set()
    frontier: deque[tuple[bytes, tuple[tuple[str, str], ...]]] = deque([(pickle.dumps(Ground(scenario)), ())])
    for turn in itertools.count():
        if not frontier:
            break
        packed, trail = frontier.pop() if turn % 8 else frontier.popleft()
        steps = list(pickle.loads(packed).steps())
        chance.shuffle(steps)
        for step in steps:
            following: Ground = pickle.loads(packed)
            following.take(*step)
            digest = following.digest()
            if digest in seen:
                continue
            seen.add(digest)
            explored.states += 1
            explored.deepest = max(explored.deepest, len(trail) + 1)
            following.check((*trail, step))
            is_at_rest = following.is_acknowledged and not any(following.links.values())
            explored.acknowledged_at_rest += is_at_rest
            if explored.states >= most_states:
                explored.is_whole = False
                return explored
            frontier.append((pickle.dumps(following), (*trail, step)))
    return explored


A_B, A_C, B_C = ("A", "B"), ("A", "C"), ("B", "C")
SCENARIOS = (
    Scenario("copies of a heartbeat around a goodbye"),
    Scenario("copies of a heartbeat around a closing", leave=CLOSING),
    Scenario("one coordinator is cut off", heartbeats=1, cuts=((A_B, A_C), (A_C, B_C))),
    Scenario("two that see the third don't see each other", heartbeats=1, cuts=((A_C,),)),
    Scenario("one is restarted", heartbeats=1, restarts=("C",)),
    Scenario(
        "a member and an outsider are cut off together",
        names=("A", "B", "C", "D"),
        heartbeats=1,
        cuts=((A_B, A_C, ("B", "D"), ("C", "D")),),
    ),
    Scenario(
        "a former member is cut off with one that still is",
        names=("A", "B", "C", "D"),
        members=("B", "C", "D"),
        heartbeats=1,
        cuts=((A_C, ("A", "D"), B_C, ("B", "D")),),
    ),
)


def main() -> None:
    """By hand: `PYTHONPATH=. python tests/serving/membership/report_explorer.py`, deeper than the tests."""
    for scenario in SCENARIOS:
        explored = explore(scenario, 150_000)
        print(f"{scenario.name}: {explored}")


if __name__ == "__main__":
    main()
