"""What carries operations out in a simulated trial: the shipped reducer and module, and messages to nodes.

As `coveport.sidecar.effects` does it, without sockets: a route step connects, asks its fence, hands its bytes
over, and waits. What is handed over arrives, whatever becomes of who sent it.
"""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from coveport import balancing
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.operation import Answer, Operation
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.fault_injection.recording_nodes import Cell, Ran
from coveport.testbed.simulated_network.world import Process, World

CONNECT_S = (0.0003, 0.004)
WIRE_S = (0.0002, 0.003)


@dataclass
class NodeWay:
    """One instance's way to the nodes."""

    out: bool = True
    back: bool = True
    lose: float = 0.0  # share of answers that are lost


@dataclass
class SimNode:
    """A ledger node with a book; cells share their keys."""

    number: int
    cell: Cell
    block: int
    service_s: tuple[float, float] = (0.002, 0.03)
    ran: list[Ran] = field(default_factory=list)
    up: bool = True
    mute: bool = False

    def arrive(self, now: float, cls: str, asked: Operation) -> bytes:
        """The last byte of an operation is there: it runs, or is dropped as a repeat."""
        key = asked.body.decode()
        repeat = False
        body = json.dumps({"node": self.number, "key": key, "at": round(now, 6)}).encode()
        if asked.key is not None and cls == "earn":
            first = self.cell.seen.get(asked.key)
            repeat = first is not None and now - first[0] < self.cell.window_s
            if repeat and first is not None:
                body = first[1]
            else:
                self.cell.seen[asked.key] = (now, body)
        self.ran.append(Ran(now, self.number, cls, key, asked.id, repeat))
        return body


class _Step:
    """A route step on its way."""

    def __init__(
        self,
        hands: SimHands,
        operation: int,
        number: int,
        asked: Operation,
        cls: str,
        node: SimNode,
        timeout_ms: float,
    ) -> None:
        self.hands = hands
        self.operation = operation
        self.number = number
        self.asked = asked
        self.cls = cls
        self.node = node
        self.over = self.handed = False
        self.fence: Callable[[], bool] | None = None
        self.timer = hands.process.call_later(timeout_ms / 1000, self.late)

    def go(self, fence: Callable[[], bool] | None) -> None:
        """Begin, or end unsent."""
        if self.over:
            return
        if fence is None:
            self.end(balancing.Outcome.MOOT)
            return
        self.fence = fence
        hands = self.hands
        if not self.node.up or not hands.way.out:
            hands.process.call_later(
                0.001 if not self.node.up else 0.1, self.end, balancing.Outcome.CONNECT_FAILED
            )
        else:
            # News from outside, not a timer: it comes before what came later, however long we stood still.
            hands.world.at(
                hands.world.now + hands.rng.uniform(*CONNECT_S), hands.process.call_soon, self.connected
            )
            if hands.stall_s:
                hands.process.stall(hands.stall_s)
                hands.stall_s = 0.0

    def connected(self) -> None:
        """The bytes go, where they still may."""
        if self.over:
            return
        hands, world = self.hands, self.hands.world
        if self.fence is not None and not self.fence():
            self.end(balancing.Outcome.MOOT)
            return
        self.handed = True
        if hands.way.out:
            world.at(world.now + hands.rng.uniform(*WIRE_S), self.arrived)

    def arrived(self) -> None:
        """At the node, whoever sent it may be dead by now."""
        hands, world, node = self.hands, self.hands.world, self.node
        if not node.up:
            return
        body = node.arrive(world.now, self.cls, self.asked)
        if not node.mute and hands.way.back and hands.rng.random() >= hands.way.lose:
            wait = hands.rng.uniform(*node.service_s) + hands.rng.uniform(*WIRE_S)
            world.at(world.now + wait, self.came, body, process=hands.process)

    def came(self, body: bytes) -> None:
        """The answer."""
        self.end(balancing.Outcome.OK, Answer(body))

    def late(self) -> None:
        """It took too long."""
        self.end(balancing.Outcome.TIMEOUT if self.handed else balancing.Outcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """Give it up."""
        self.end(balancing.Outcome.CANCELLED if self.handed else balancing.Outcome.MOOT)

    def end(self, outcome: balancing.Outcome, answer: Answer | None = None) -> None:
        """Say once how it ended."""
        if not self.over:
            self.over = True
            self.timer.cancel()
            self.hands.step_ended(self, outcome, answer)


@dataclass
class _Open:
    client: Any
    asked: Operation
    steps: dict[int, _Step] = field(default_factory=dict)


class SimHands:
    """One instance's reducer, and what it asks for."""

    def __init__(
        self,
        world: World,
        process: Process,
        nodes: list[SimNode],
        settings: balancing.Settings,
        way: NodeWay,
        rng: random.Random,
    ) -> None:
        self.world = world
        self.process = process
        self.nodes = nodes
        self.way = way
        self.settings = settings
        self.rng = rng
        self.recorder: Any = None
        self.pending = 0
        self._reducer = Reducer(settings, rng.randrange(1 << 30))
        self._open: dict[int, _Open] = {}
        self._inputs: deque[core.Input] = deque()
        self._busy = False
        self.count = 0
        self.stall_s = 0.0  # the worst moment: it stands still so long right before its next attempt goes
        self.feed(
            core.EndpointsUpdated(
                balancing.EndpointUpdate(
                    balancing.EndpointUpdateKind.FULL,
                    tuple(balancing.Endpoint(one.number, 0, one.block) for one in nodes),
                    1,
                )
            )
        )

    # What the recorder asks of it.

    def now_ms(self) -> float:
        """Its clock."""
        return self.world.now * 1000

    def location_of(self, destination: int) -> tuple[str, int, int]:
        """A node by its number."""
        return f"n{destination}", 0, self.nodes[destination].block

    def accept(self, number: int, client: Any, operation: Operation) -> None:
        """An operation has come."""
        if self.recorder is not None:
            client = self.recorder.accept(number, client, operation)
            if client is None:
                return
        self._open[number] = _Open(client, operation)
        self.pending += 1
        self.feed(
            core.OperationReceived(
                number,
                operation.cls,
                self.now_ms() + operation.wait_ms,
                operation.repeat,
                0.0,
                operation.is_admitted,
                operation.id,
                False,
                operation.prior_attempts,
            )
        )

    def withdraw(self, number: int) -> None:
        """It is another's."""
        self._close(number)
        self.feed(core.ClientDisconnected(number))

    def answered_elsewhere(self, cls: str, verdict: core.Verdict) -> None:
        """Nothing is counted here."""

    def client_disconnected(self, number: int) -> None:
        """The client has gone away."""
        if self.recorder is not None:
            self.recorder.client_gone(number)
        self._close(number)
        self.feed(core.ClientDisconnected(number))

    def _close(self, number: int) -> None:
        opened = self._open.get(number)
        if opened is not None and opened.client is not None:
            opened.client = None
            self.pending -= 1

    # The reducer's hands.

    def feed(self, item: core.Input) -> None:
        """One input, and what it asks for."""
        self._inputs.append(item)
        if self._busy:
            return
        self._busy = True
        try:
            while self._inputs:
                for effect in self._reducer.step(self.now_ms(), self._inputs.popleft()):
                    self._carry_out(effect)
        finally:
            self._busy = False

    def _carry_out(self, effect: core.Effect) -> None:
        later = self.process.call_later
        if isinstance(effect, core.SendAttempt):
            self._send(effect)
        elif isinstance(effect, core.SendAnswer):
            opened = self._open.get(effect.operation)
            client = opened.client if opened is not None else None
            self._close(effect.operation)
            if client is not None:
                client.answer(effect.verdict, effect.answer, effect.retry_after_ms)
        elif isinstance(effect, core.SetTimer):
            later(effect.delay_ms / 1000, self.feed, core.TimerExpired(effect.token))
        elif isinstance(effect, core.SetDeadlineTimer):
            later((effect.at_ms - self.now_ms()) / 1000, self.feed, core.DeadlineExpired(effect.operation))
        elif isinstance(effect, core.CancelAttempt):
            opened = self._open.get(effect.operation)
            if opened is not None and effect.step in opened.steps:
                opened.steps[effect.step].cancel()
        elif isinstance(effect, core.CheckHealth):
            node = self.nodes[effect.destination]
            fine = node.up and self.way.out and self.way.back
            later(
                0.005 if fine else 0.2,
                self.feed,
                core.HealthCheckEnded(
                    node.number, balancing.Outcome.OK if fine else balancing.Outcome.CONNECT_FAILED, 5.0
                ),
            )
        elif isinstance(effect, core.ReportFault):
            raise AssertionError(effect.text)

    def _send(self, effect: core.SendAttempt) -> None:
        opened = self._open[effect.operation]
        step = _Step(
            self,
            effect.operation,
            effect.step,
            opened.asked,
            self.settings.classes[opened.asked.cls].name,
            self.nodes[effect.destination],
            effect.timeout_ms,
        )
        opened.steps[effect.step] = step
        if self.recorder is None or self.recorder.send(
            effect.operation, effect.step, effect.destination, step.go
        ):
            self.process.call_soon(step.go, lambda: True)

    def step_ended(self, step: _Step, outcome: balancing.Outcome, answer: Answer | None) -> None:
        """A route step has ended."""
        self._open[step.operation].steps.pop(step.number, None)
        if self.recorder is not None:
            self.recorder.attempt_ended(step.operation, step.number, outcome)
        self.feed(core.AttemptEnded(step.operation, step.number, outcome, (), answer))


@dataclass
class Wish:
    """An operation of a till's, from its first ask to its last word."""

    key: str
    cls: str
    began: float
    asks: int = 0
    out: int = 0  # asks that are under way
    told: list[tuple[float, str, bytes]] = field(default_factory=list)  # when, verdict, body
    over: bool = False


class SimTills:
    """Tills that ask again, at any instance, until they know."""

    def __init__(self, world: World, rng: random.Random, wait_s: float, asks: int) -> None:
        self._world = world
        self._rng = rng
        self._wait_s = wait_s
        self._asks = asks
        self.wishes: list[Wish] = []
        self.reach: Callable[[], list[SimHands]] = list  # instances that can be asked, alive or not
        self._count = 0

    def wish(self, cls: str) -> None:
        """Begin one."""
        one = Wish(f"{cls[0]}{len(self.wishes)}", cls, self._world.now)
        self.wishes.append(one)
        # Some tills ask several at once: two lanes of a till, or a person who presses twice.
        for _ in range(3 if self._rng.random() < 0.08 else 1):
            self._ask(one)

    def _ask(self, one: Wish) -> None:
        if one.over or one.asks >= self._asks:
            return
        hands = self._rng.choice(self.reach())
        one.asks += 1
        one.out += 1
        _Ask(self, one, hands, one.asks > 1)

    def told(self, one: Wish, verdict: str, body: bytes) -> None:
        """An ask has ended."""
        one.out -= 1
        one.told.append((self._world.now, verdict, body))
        if verdict == "served":
            one.over = True
        elif not one.over:
            # Most come again soon; some go away and come back when the window is nearly over, or just is.
            soon = self._rng.random() < 0.65
            wait = self._rng.uniform(0.05, 1.5) if soon else self._rng.uniform(3.0, 8.0)
            self._world.at(self._world.now + wait, self._ask, one)

    def next_id(self) -> str:
        """Fresh on every request."""
        self._count += 1
        return f"t{self._count}"


class _Ask:
    """One request on one connection."""

    def __init__(self, tills: SimTills, wish: Wish, hands: SimHands, again: bool) -> None:
        self.tills = tills
        self.wish = wish
        self.hands = hands
        self.ended = False
        self.number = 0
        world = tills._world
        self.identity, self.again = tills.next_id(), again
        self.arrival = world.now
        if not hands.process.alive:
            world.at(world.now + 0.002, self.end, "broken", b"")
            return
        hands.process.at_death.append(lambda: self.end("broken", b""))
        world.at(world.now + tills._rng.uniform(*WIRE_S), self.arrive, process=hands.process)
        self.timer = world.at(world.now + tills._wait_s + 0.02, self.patience)

    def arrive(self) -> None:
        """At the instance."""
        if self.ended:
            return
        world, hands = self.tills._world, self.hands
        # What stood below a stalled process has that much less time.
        wait_ms = (self.tills._wait_s - (world.now - self.arrival)) * 1000
        if wait_ms <= 0:
            return
        hands.count += 1
        self.number = hands.count
        cls = next(at for at, one in enumerate(hands.settings.classes) if one.name == self.wish.cls)
        hands.accept(
            self.number,
            self,
            Operation(
                "POST",
                f"/{self.wish.cls}/7",
                self.wish.key.encode(),
                self.identity,
                self.wish.key,
                cls,
                wait_ms,
                self.again,
            ),
        )

    def answer(self, verdict: core.Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """The one final answer."""
        world = self.tills._world
        body = answer.body if answer is not None else b""
        world.at(world.now + self.tills._rng.uniform(*WIRE_S), self.end, verdict.value, body)

    def patience(self) -> None:
        """Its time is over: it closes its connection."""
        if not self.ended:
            if self.number and self.hands.process.alive:
                self.hands.process.call_soon(self.hands.client_disconnected, self.number)
            self.end("late", b"")

    def end(self, verdict: str, body: bytes) -> None:
        """It knows, or knows that it does not."""
        if not self.ended:
            self.ended = True
            self.tills.told(self.wish, verdict, body)
