"""Operators who race, follow redirects, and send again, unchanged, what got no clear answer."""

from __future__ import annotations

from collections.abc import Callable

from core_history import Call, Verdict
from core_world import ACCEPTED, CONFLICT, Machine, World, change, edition_of, order

from coveport.serving.replication.events import Done, Event, Newest, NotPrimary, Outcome, ReadNewest, Submit
from coveport.serving.replication.state_machine import Refused

CALL_TIMEOUT_S = 1.0  # after which a call is sent to another
REDIRECTS = 2
ORDERS_SHARE = 0.25  # of changes that bear no version


class Operator:
    """Reads, writes on top of what it read, and so on."""

    def __init__(self, world: World, calls: list[Call], name: str, pause_s: float) -> None:
        self.world = world
        self.calls = calls
        self.name = name
        self.pause_s = pause_s
        self.is_stopped = False
        self.known_state: tuple[str, ...] = ()
        self._count = 0

    def begin(self) -> None:
        """Start now."""
        self.read(self._after_read)

    def _after_read(self, call: Call) -> None:
        if self.is_stopped:
            return
        self.known_state = call.seen
        self.write(self._after_write)

    def _after_write(self, call: Call) -> None:
        if self.is_stopped:
            return
        if call.verdict is Verdict.ACCEPTED:
            self.known_state = (*self.known_state, call.change)
        read_next = call.verdict is Verdict.CONFLICT or self.world.random.random() < 0.4
        following = self.begin if read_next else self._next_change
        self.world.after(self.pause_s * self.world.random.uniform(0.2, 2.0), following)

    def _next_change(self) -> None:
        if self.world.random.random() < ORDERS_SHARE:
            self.order(self._after_order)
        else:
            self.write(self._after_write)

    def _after_order(self, call: Call) -> None:
        if not self.is_stopped:
            self.write(self._after_write)

    def read(self, then: Callable[[Call], None]) -> None:
        """One read, repeated until it's answered."""
        call = Call(self.name, "", self.world.now_s)
        self.calls.append(call)
        Attempt(self, call, ReadNewest, then).send()

    def write(self, then: Callable[[Call], None]) -> None:
        """One change on top of what is known, repeated until it's answered."""
        self._count += 1
        base = edition_of(self.known_state)
        edition = base + self.world.random.randint(1, 4)
        command = change(base, edition, f"{self.name}-{self._count}")
        call = Call(self.name, command.decode(), self.world.now_s)
        self.calls.append(call)
        Attempt(self, call, lambda request: Submit(request, command), then).send()

    def order(self, then: Callable[[Call], None]) -> None:
        """One order without a version, repeated until it's answered."""
        self._count += 1
        command = order(self.name, self._count)
        call = Call(self.name, command.decode(), self.world.now_s)
        self.calls.append(call)
        Attempt(self, call, lambda request: Submit(request, command), then, is_delayed=True).send()


class Reader(Operator):
    """Reads all the time, at any machine."""

    def _after_read(self, call: Call) -> None:
        if not self.is_stopped:
            self.world.after(self.pause_s * self.world.random.uniform(0.2, 2.0), self.begin)


class Attempt:
    """One call with its repeats."""

    def __init__(
        self,
        operator: Operator,
        call: Call,
        make_event: Callable[[int], Event],
        then: Callable[[Call], None],
        is_delayed: bool = False,
    ) -> None:
        self.is_delayed = is_delayed
        self.sent: list[tuple[Machine, int]] = []
        self.operator = operator
        self.world = operator.world
        self.call = call
        self.make_event = make_event
        self.then = then
        self.tries = 0
        self.last: Machine | None = None  # the one that was called last; another is called next
        self.is_over = False

    def send(self, to: Machine | None = None, redirects: int = 0) -> None:
        """Send once; again after a silence."""
        if self.is_over:
            return
        if self.call.change and self.tries and not redirects:
            self.world.situations["2: a command was retried after a time-out or an unclear answer"] += 1
        self.tries += 1
        number = self.tries
        machines = [machine for machine in self.world.machines.values() if not machine.is_removed]
        others = [machine for machine in machines if machine is not self.last] or machines
        machine = to or self.world.random.choice(others)
        self.last = machine
        if machine.incarnation is None and machine.is_powered:
            self.retry(number)  # its port resets
            return
        request = self.world.call(
            machine,
            self.make_event,
            lambda outcome: self.answered(number, redirects, outcome),
            self.is_delayed,
        )
        self.sent.append((machine, request))
        self.world.after(CALL_TIMEOUT_S, lambda: self.retry(number))

    def retry(self, number: int) -> None:
        """Try elsewhere after a growing pause, unless that happened already."""
        if not self.is_over and number == self.tries:
            self._disconnect()
            self.tries += 1
            pause_s = min(0.05 * 2 ** min(self.tries / 2, 6), 0.6) * self.world.random.uniform(0.5, 1.0)
            self.world.after(pause_s, self.send)

    def _disconnect(self) -> None:
        """Close the connections on which nothing came."""
        for machine, request in self.sent:
            self.world.cancel(machine, request)
        self.sent = []

    def answered(self, number: int, redirects: int, outcome: Outcome) -> None:
        """Take an answer, also a late one; of an order without a version only where the caller stayed."""
        if self.is_over or (self.is_delayed and number != self.tries):
            return
        match outcome:
            case Done():
                self.end(Verdict.ACCEPTED)
            case Refused(result="taken"):
                self.world.situations["2: a committed command was acknowledged again when retried"] += 1
                self.end(Verdict.ACCEPTED)
            case Refused():
                self.world.situations["2: of two commands on one edition one was refused"] += 1
                assert outcome.result in (ACCEPTED, CONFLICT)
                self.end(Verdict.ACCEPTED if outcome.result == ACCEPTED else Verdict.CONFLICT)
            case Newest():
                self.call.seen = outcome.state
                self.end(Verdict.READ)
            case NotPrimary(primary=str() as address) if redirects < REDIRECTS and number == self.tries:
                self.send(self.world.machines.get(address), redirects + 1)
            case _:
                self.retry(number)

    def end(self, verdict: Verdict) -> None:
        """The call is over."""
        self.is_over = True
        self.call.ended_s = self.world.now_s
        self.call.verdict = verdict
        self.then(self.call)
