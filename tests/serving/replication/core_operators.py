"""Simulated operators: they write concurrently, follow redirects, and retry a call without a clear answer."""

from __future__ import annotations

from collections.abc import Callable

from core_history import Call, Verdict
from core_world import ACCEPTED, CONFLICT, Machine, World, change, edition_of, unversioned_command

from coveport.serving.replication.events import Done, Event, Newest, NotPrimary, Outcome, ReadNewest, Submit
from coveport.serving.replication.state_machine import Refused

CALL_TIMEOUT_S = 1.0  # then the call is sent to another machine
MAX_REDIRECTS = 2  # that one attempt follows
UNVERSIONED_FRACTION = 0.25  # of commands that are sent without a read before them


class Operator:
    """An operator that reads the state and then submits changes based on it, one call at a time."""

    def __init__(self, world: World, calls: list[Call], name: str, pause_s: float) -> None:
        self.world = world
        self.calls = calls
        self.name = name
        self.pause_s = pause_s
        self.is_stopped = False
        self.known_state: tuple[str, ...] = ()
        self._count = 0  # commands

    def begin(self) -> None:
        """Start the calls, with a read."""
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
        next_call = self.begin if read_next else self._submit_next
        self.world.after(self.pause_s * self.world.random.uniform(0.2, 2.0), next_call)

    def _submit_next(self) -> None:
        if self.world.random.random() < UNVERSIONED_FRACTION:
            self.write_unversioned(self._after_unversioned)
        else:
            self.write(self._after_write)

    def _after_unversioned(self, call: Call) -> None:
        if not self.is_stopped:
            self.write(self._after_write)

    def read(self, on_end: Callable[[Call], None]) -> None:
        """Read the state, with retries until there is an answer."""
        call = Call(self.name, "", self.world.now_s)
        self.calls.append(call)
        CallAttempts(self, call, ReadNewest, on_end).send()

    def write(self, on_end: Callable[[Call], None]) -> None:
        """Submit a change based on the known state, with retries until there is an answer."""
        self._count += 1
        base = edition_of(self.known_state)
        edition = base + self.world.random.randint(1, 4)
        command = change(base, edition, f"{self.name}-{self._count}")
        call = Call(self.name, command.decode(), self.world.now_s)
        self.calls.append(call)
        CallAttempts(self, call, lambda request: Submit(request, command), on_end).send()

    def write_unversioned(self, on_end: Callable[[Call], None]) -> None:
        """Submit a command without a version, with retries until there is an answer."""
        self._count += 1
        command = unversioned_command(self.name, self._count)
        call = Call(self.name, command.decode(), self.world.now_s)
        self.calls.append(call)
        CallAttempts(self, call, lambda request: Submit(request, command), on_end, is_delayed=True).send()


class Reader(Operator):
    """An operator that only reads, at any machine."""

    def _after_read(self, call: Call) -> None:
        if not self.is_stopped:
            self.world.after(self.pause_s * self.world.random.uniform(0.2, 2.0), self.begin)


class CallAttempts:
    """The attempts of one call."""

    def __init__(
        self,
        operator: Operator,
        call: Call,
        make_event: Callable[[int], Event],
        on_end: Callable[[Call], None],
        is_delayed: bool = False,
    ) -> None:
        self.is_delayed = is_delayed
        self.sent: list[tuple[Machine, int]] = []
        self.operator = operator
        self.world = operator.world
        self.call = call
        self.make_event = make_event
        self.on_end = on_end
        self.number = 0  # of the newest attempt or pause; a time-out or answer of an older one is late
        self.last_machine: Machine | None = None  # target of the last attempt; the next goes to another
        self.is_over = False

    def send(self, target: Machine | None = None, redirects: int = 0) -> None:
        """Send the call to the target, or to a random machine; retry it after a time-out."""
        if self.is_over:
            return
        if self.call.change and self.number and not redirects:
            self.world.situations["2: a command was retried after a time-out or an unclear answer"] += 1
        self.number += 1
        number = self.number
        machines = [machine for machine in self.world.machines.values() if not machine.is_removed]
        candidates = [machine for machine in machines if machine is not self.last_machine] or machines
        machine = target or self.world.random.choice(candidates)
        self.last_machine = machine
        if machine.incarnation is None and machine.is_powered:
            self.retry(number)  # the machine runs without the process, so its port resets the connection
            return
        request = self.world.call(
            machine,
            self.make_event,
            lambda outcome: self.handle_answer(number, redirects, outcome),
            self.is_delayed,
        )
        self.sent.append((machine, request))
        self.world.after(CALL_TIMEOUT_S, lambda: self.retry(number))

    def retry(self, number: int) -> None:
        """Retry at another machine after a growing pause, unless a later attempt has been scheduled."""
        if not self.is_over and number == self.number:
            self._disconnect()
            self.number += 1
            pause_s = min(0.05 * 2 ** min(self.number / 2, 6), 0.6) * self.world.random.uniform(0.5, 1.0)
            self.world.after(pause_s, self.send)

    def _disconnect(self) -> None:
        """Close the connections of attempts without an answer."""
        for machine, request in self.sent:
            self.world.cancel(machine, request)
        self.sent = []

    def handle_answer(self, number: int, redirects: int, outcome: Outcome) -> None:
        """Handle an answer; a late one is ignored if the command has no version."""
        if self.is_over or (self.is_delayed and number != self.number):
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
            case NotPrimary(primary=str() as address) if redirects < MAX_REDIRECTS and number == self.number:
                self.send(self.world.machines.get(address), redirects + 1)
            case _:
                self.retry(number)

    def end(self, verdict: Verdict) -> None:
        """End the call with a result."""
        self.is_over = True
        self.call.ended_s = self.world.now_s
        self.call.verdict = verdict
        self.on_end(self.call)
