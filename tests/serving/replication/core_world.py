"""Core members on simulated machines, links and disks, in virtual time and with one random seed.

A simulated disk stores whole records, and may lose unsynced records from the end at a loss of power. That the
real storage behaves like this, also after a torn write, is tested in tests/serving/storage.
"""

from __future__ import annotations

import functools
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from coveport.serving.replication.errors import UnreadableStateError
from coveport.serving.replication.events import (
    Answer,
    CancelCall,
    CommittedState,
    Effect,
    Event,
    Outcome,
    Persist,
    Persisted,
    PersistFailed,
    Received,
    Send,
    Tick,
)
from coveport.serving.replication.identity import Locality, MemberId
from coveport.serving.replication.messages import Message
from coveport.serving.replication.records import IdentityRecord, Record, recover
from coveport.serving.replication.replica import Replica
from coveport.serving.replication.state_machine import Applied, Refused, StateMachine
from coveport.serving.replication.timings import Timings

TICK_S = 0.05
SYNC_S = 0.002
CLIENT_DELAY_S = 0.003  # one way between a client and a machine
ACCEPTED = "taken"  # result of a change that has been applied already
CONFLICT = "another version is in place"
UNVERSIONED_PREFIX = "order|"  # start of a command without a version
UNVERSIONED_DELAY_S = 0.15  # a coordinator delays such a command, and drops it if the caller disconnects
STALL_S = 0.6  # after a longer stall a coordinator drops the calls that are queued in its connections

State = tuple[str, ...]  # all applied changes, the oldest first


def change(base: int, edition: int, value: str) -> bytes:
    """Return a command that sets `edition` and `value` if the current edition is `base`."""
    return f"{base}|{edition}|{value}".encode()


def unversioned_command(operator: str, number: int) -> bytes:
    """Return a command without a version, such as an evacuation: it is applied in any state."""
    return f"{UNVERSIONED_PREFIX}{operator}|{number}".encode()


def edition_of(state: State) -> int:
    """Return the current edition."""
    last = next((text for text in reversed(state) if not text.startswith(UNVERSIONED_PREFIX)), None)
    return int(last.split("|")[1]) if last else 0


def apply_change(state: State, command: bytes) -> Applied | Refused:
    """Apply a command to a state, or reject it; the function that the members replicate."""
    text = command.decode()
    if text.startswith(UNVERSIONED_PREFIX):
        return Applied((*state, text), "done")
    if text in state:
        return Refused(ACCEPTED)
    if int(text.split("|")[0]) != edition_of(state):
        return Refused(CONFLICT)
    return Applied((*state, text), "done")


def encode_state(state: State) -> bytes:
    """Return a state as bytes, for the disk and the links."""
    return "\n".join(state).encode()


def decode_state(data: bytes) -> State:
    """Return the state that was encoded."""
    try:
        return tuple(data.decode().split("\n")) if data else ()
    except UnicodeDecodeError as error:
        raise UnreadableStateError(str(error)) from error


STATE_MACHINE = StateMachine(apply_change, encode_state, decode_state)


def payload_bytes(item: object) -> int:
    """Return the size of the states and commands in a message or record."""
    commands: tuple[bytes, ...] = getattr(item, "commands", ())
    return len(getattr(item, "state", b"")) + len(getattr(item, "command", b"")) + sum(map(len, commands))


@dataclass(slots=True)
class SimDisk:
    """The disk of a machine."""

    records: list[Record] = field(default_factory=list)
    synced: int = 0  # number of records that survive a loss of power
    sync_s: float = SYNC_S  # duration of a sync
    hangs_until_s: float = 0.0
    rejects_writes: bool = False
    busy_until_s: float = 0.0
    created_at_s: float = 0.0  # when the disk was installed, empty


@dataclass(slots=True)
class Incarnation:
    """One incarnation of a machine's process."""

    replica: Replica
    number: int
    committed: list[tuple[float, State]] = field(default_factory=list)  # committed states and their times


class Machine:
    """A machine that runs a process of the core."""

    def __init__(self, world: World, address: str, locality: Locality) -> None:
        self.world = world
        self.address = address
        self.locality = locality
        self.disk = SimDisk()
        self.incarnation: Incarnation | None = None
        self.incarnations: list[Incarnation] = []
        self.is_frozen = False
        self.is_powered = True
        self.is_removed = False
        self.frozen_at_s = 0.0
        self._deferred: list[Callable[[], None]] = []
        self.client_generation = 0  # increases when the connections of callers are reset

    def start(self, first_boot: bool = False) -> None:
        """Start the process with the records of the disk."""
        if self.incarnation is not None or self.is_removed:
            return
        world = self.world
        self.is_powered = True
        self.is_frozen = False
        disk = self.disk
        disk.busy_until_s = world.now_s
        durable = recover(disk.records)
        if not durable.disk:
            record = IdentityRecord(f"{world.random.getrandbits(64):016x}", first_boot)
            disk.records.append(record)
            durable = recover(disk.records)
        disk.synced = len(disk.records)
        member = world.make_replica(
            identity=MemberId(self.address, durable.disk),
            locality=self.locality,
            seeds=world.seeds,
            tolerated_losses=world.tolerated_losses,
            durable=durable,
            state_machine=STATE_MACHINE,
            jitter=world.random.random,
            initial_state=b"",
            now_s=world.now_s,
            timings=world.timings,
        )
        incarnation = Incarnation(member, len(self.incarnations))
        self.incarnation = incarnation
        self.incarnations.append(incarnation)
        self._tick(incarnation)

    def kill(self, power: bool = False) -> None:
        """End the process; with `power`, unsynced records may be lost."""
        self.incarnation = None
        self.is_frozen = False
        self._deferred = []
        self.is_powered = not power
        kept_count = self.world.random.randint(self.disk.synced, len(self.disk.records))
        if power:
            del self.disk.records[kept_count:]

    def wipe(self) -> None:
        """Lose the disk, and the process with it."""
        self.kill(power=True)
        self.disk = SimDisk(created_at_s=self.world.now_s)

    def remove(self) -> None:
        """Remove the machine permanently."""
        self.wipe()
        self.is_removed = True

    def freeze(self) -> None:
        """Freeze the process; its events are deferred until a thaw."""
        self.is_frozen = self.incarnation is not None
        self.frozen_at_s = self.world.now_s

    def thaw(self) -> None:
        """Resume the process, and handle the deferred events."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        if self.world.now_s - self.frozen_at_s > STALL_S:
            self.client_generation += 1
        deferred = self._deferred
        self._deferred = []
        for run in deferred:
            run()

    def run(self, incarnation: Incarnation, action: Callable[[], None]) -> None:
        """Run an action if this incarnation of the process is still alive, now or after a thaw."""
        if self.incarnation is not incarnation:
            return
        if self.is_frozen:
            self._deferred.append(lambda: self.run(incarnation, action))
        else:
            action()

    def _tick(self, incarnation: Incarnation) -> None:
        self.deliver(incarnation, Tick())
        if self.incarnation is incarnation:
            wait_s = TICK_S * self.world.random.uniform(0.95, 1.2)
            self.world.after(wait_s, lambda: self.run(incarnation, lambda: self._tick(incarnation)))

    def deliver(self, incarnation: Incarnation, event: Event) -> None:
        """Let the process handle an event, and apply the effects."""
        for effect in incarnation.replica.handle(self.world.now_s, event):
            self._apply(incarnation, effect)

    def _apply(self, incarnation: Incarnation, effect: Effect) -> None:
        match effect:
            case Send():
                self.world.send(self, incarnation, effect.to_address, effect.message)
            case Persist():
                self._persist(incarnation, effect)
            case Answer():
                self.world.deliver_answer(self, effect.request, effect.outcome)
            case CommittedState():
                incarnation.committed.append((self.world.now_s, effect.state))

    def _persist(self, incarnation: Incarnation, effect: Persist) -> None:
        disk = self.disk
        if disk.rejects_writes:
            # the storage keeps these records and writes them with the next batch
            disk.records.extend(effect.records)
            failed = PersistFailed(effect.token)
            self.world.after(SYNC_S, lambda: self.run(incarnation, lambda: self.deliver(incarnation, failed)))
            return
        disk.records.extend(effect.records)
        count = len(disk.records)
        begin_s = max(self.world.now_s, disk.busy_until_s, disk.hangs_until_s)
        written_bytes = 2 * sum(payload_bytes(record) for record in effect.records)
        disk.busy_until_s = begin_s + disk.sync_s * self.world.random.uniform(0.8, 1.5)
        disk.busy_until_s += written_bytes / self.world.bytes_per_s

        def synced() -> None:
            if self.incarnation is not incarnation or self.disk is not disk:
                return
            disk.synced = max(disk.synced, count)
            self.run(incarnation, lambda: self.deliver(incarnation, Persisted(effect.token)))

        self.world.at(disk.busy_until_s, synced)


class World:
    """The simulated clock, links and machines."""

    def __init__(
        self,
        seed: int,
        localities: list[Locality],
        tolerated_losses: int = 1,
        region_s: float = 0.012,
        seed_count: int = 3,
        make_replica: Callable[..., Replica] = Replica,
        timings: Timings = Timings(),  # noqa: B008 - frozen
        loss: float = 0.0,
        bytes_per_s: float = float("inf"),  # of a link, and of a disk, which writes everything twice
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.tolerated_losses = tolerated_losses
        self.region_s = region_s
        self.make_replica = make_replica
        self.timings = timings
        self.loss = loss
        self.machines: dict[str, Machine] = {}
        self.blocked_links: set[tuple[str, str]] = set()  # sender, receiver
        self.messages = 0
        self._outcome_callbacks: dict[int, Callable[[Outcome], None]] = {}
        self.cancelled: set[int] = set()  # calls whose caller has disconnected
        self.situations: Counter[str] = Counter()  # how often each situation of interest occurred
        self._last_arrivals: dict[tuple[str, str], float] = {}  # by link; later messages arrive later
        self._connections: Counter[tuple[str, str]] = Counter()  # number of resets by link
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0  # orders actions of the same time
        self._last_request = 0
        for locality in localities:
            self.add_machine(locality)
        self.seeds = tuple(list(self.machines)[:seed_count])

    def add_machine(self, locality: Locality) -> Machine:
        """Add a machine at a new address; it isn't started."""
        address = f"10.0.0.{len(self.machines) + 1}:7300"
        machine = Machine(self, address, locality)
        self.machines[address] = machine
        return machine

    # -- time --

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self._event_number += 1
        heapq.heappush(self._queue, (time_s, self._event_number, action))

    def after(self, wait_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_s + wait_s, action)

    def run_until(self, end_s: float, until: Callable[[], bool] | None = None) -> None:
        """Run the scheduled actions up to `end_s`, or until the condition holds."""
        while self._queue and self._queue[0][0] <= end_s:
            if until is not None and until():
                return
            time_s, _, action = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, time_s)
            action()
        self.now_s = max(self.now_s, end_s)

    def run_for(self, seconds: float, until: Callable[[], bool] | None = None) -> None:
        """Run the scheduled actions of that many seconds, or until the condition holds."""
        self.run_until(self.now_s + seconds, until)

    # -- links --

    def delay_s(self, sender: Machine, receiver: Machine) -> float:
        """Return a random one-way delay between two machines."""
        if sender.locality.region != receiver.locality.region:
            base_s = self.region_s
        else:
            base_s = 0.0014 if sender.locality.zone != receiver.locality.zone else 0.0002
        return base_s * self.random.uniform(1.0, 1.15) + 0.0003

    def send(self, sender: Machine, incarnation: Incarnation, to_address: str, message: Message) -> None:
        """Deliver a message, in order on each link, unless the link is blocked or loses the message."""
        receiver = self.machines.get(to_address)
        if receiver is None:
            return
        self.messages += 1
        link = (sender.address, to_address)
        if link in self.blocked_links or self.random.random() < self.loss:
            return
        delay_s = self.delay_s(sender, receiver) + payload_bytes(message) / self.bytes_per_s
        arrival_s = max(self.now_s + delay_s, self._last_arrivals.get(link, 0.0))
        self._last_arrivals[link] = arrival_s
        event = Received(incarnation.replica.identity, message)
        receiver_at_send = receiver.incarnation
        connection = self._connections[link]

        def arrive() -> None:
            if connection != self._connections[link]:
                self.situations["5: a message was lost with its connection, later ones arrived"] += 1
                return
            receiver_now = receiver.incarnation
            if receiver_now is not None and receiver_now is not receiver_at_send:
                self.situations["5: a message reached a later incarnation than it was sent to"] += 1
            if sender.incarnation is not incarnation:
                self.situations["5: a message of an earlier incarnation of its sender arrived"] += 1
            if receiver_now is not None and link not in self.blocked_links:
                receiver.run(receiver_now, lambda: receiver.deliver(receiver_now, event))

        self.at(arrival_s, arrive)

    def break_connections(self, machine: Machine) -> None:
        """Reset all connections from and to a machine: messages in flight are lost, later ones are not."""
        for peer in self.machines:
            self._connections[machine.address, peer] += 1
            self._connections[peer, machine.address] += 1

    # -- clients --

    def call(
        self,
        machine: Machine,
        make_event: Callable[[int], Event],
        on_outcome: Callable[[Outcome], None],
        is_delayed: bool = False,  # the command has no version
    ) -> int:
        """Send a client's call to a machine, and return its number; a lost call gets no answer."""
        self._last_request += 1
        request = self._last_request
        incarnation = machine.incarnation
        client_generation = machine.client_generation
        self._outcome_callbacks[request] = on_outcome

        def submit() -> None:
            if incarnation is None:
                return
            if machine.client_generation != client_generation:
                self.situations["2: what waited in the sockets of a frozen machine was dropped"] += 1
                return
            if request not in self.cancelled:
                machine.deliver(incarnation, make_event(request))
            elif is_delayed:
                self.situations["2: a delayed copy of a command without a version was dropped"] += 1

        def arrive() -> None:
            if incarnation is None:
                return
            if is_delayed:
                machine.run(
                    incarnation,
                    lambda: self.after(UNVERSIONED_DELAY_S, lambda: machine.run(incarnation, submit)),
                )
            else:
                machine.run(incarnation, submit)

        self.after(CLIENT_DELAY_S * self.random.uniform(1.0, 2.0), arrive)
        return request

    def cancel(self, machine: Machine, request: int) -> None:
        """Disconnect the caller of a request.

        The machine receives the disconnect after a delay, and processes it only when not frozen.
        """
        incarnation = machine.incarnation

        def notice() -> None:
            self.cancelled.add(request)
            if incarnation is not None and machine.incarnation is incarnation:
                machine.deliver(incarnation, CancelCall(request))

        if incarnation is not None:
            self.after(CLIENT_DELAY_S, lambda: machine.run(incarnation, notice))

    def deliver_answer(self, machine: Machine, request: int, outcome: Outcome) -> None:
        """Deliver the answer of a machine to the caller."""
        on_outcome = self._outcome_callbacks.pop(request, None)
        if on_outcome is not None:
            self.after(CLIENT_DELAY_S * self.random.uniform(1.0, 2.0), lambda: on_outcome(outcome))

    # -- machines --

    def start_all(self, first_boot: bool = True) -> None:
        """Start all machines within 0.3 s of each other."""
        for machine in self.machines.values():
            self.after(self.random.uniform(0.0, 0.3), functools.partial(machine.start, first_boot))

    def primaries(self) -> list[Machine]:
        """Return the machines that act as the active primary."""
        return [
            machine
            for machine in self.machines.values()
            if machine.incarnation and machine.incarnation.replica.is_primary
        ]

    def primary(self) -> Machine | None:
        """Return the active primary of the highest epoch."""
        active = self.primaries()
        return max(active, key=lambda machine: machine.incarnation.replica.view.epoch) if active else None  # type: ignore[union-attr]
