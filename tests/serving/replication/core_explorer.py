"""Explores all interleavings of a few members up to a bound, with the real code, and checks every state.

The clock is frozen, so no member suspects another; a choice of the explorer starts each view change. An
undelivered message stands for a slow link, a partition or a frozen machine. A state that was explored before
isn't explored again. A message in flight to a machine that crashes arrives after the restart, as if it had
been sent again.

For each new state of the disks, the explorer checks a final fault: all machines lose power, and at most one
of them loses its disk. Then each remaining machine campaigns once, and must recover the acknowledged state.
A machine that finds a newer view of which it is no member need not become primary, but then another must.
"""

from __future__ import annotations

import hashlib
import io
import pickle
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from random import Random
from unittest import mock

from core_world import ACCEPTED, CONFLICT, STATE_MACHINE, State, change, decode_state, edition_of

from coveport.serving.replication import view_change
from coveport.serving.replication.events import (
    Answer,
    CommittedState,
    Done,
    Effect,
    Event,
    Newest,
    Persist,
    Persisted,
    ReadNewest,
    Received,
    Send,
    Submit,
)
from coveport.serving.replication.identity import NO_EPOCH, Epoch, Locality, MemberId, View
from coveport.serving.replication.messages import (
    MESSAGES,
    CatchUpCommands,
    CatchUpSnapshot,
    Fenced,
    Message,
    Ping,
)
from coveport.serving.replication.reconfiguration import ViewChangeRequest
from coveport.serving.replication.records import (
    RECORDS,
    ActiveEpochRecord,
    IdentityRecord,
    Record,
    StateRecord,
    ViewRecord,
    recover,
)
from coveport.serving.replication.replica import Replica
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.state_machine import Refused, StateMachine
from coveport.serving.replication.timings import Timings
from coveport.serving.replication.view_change import MembershipProposal

NOW_S = 100.0
# They affect speed but not safety, and would multiply the number of interleavings.
IGNORED_MESSAGES = (Ping, Fenced, CatchUpCommands, CatchUpSnapshot)


_ATOMS = (
    *MESSAGES,
    *RECORDS,
    MemberId,
    Epoch,
    Locality,
    View,
    Timings,
    StateMachine,
    MembershipProposal,
)
_interned: dict[object, int] = {}
_values: list[object] = []


class _Pickler(pickle.Pickler):
    """Writes a number for each immutable value: this is fast, and equal states give equal bytes."""

    def persistent_id(self, value: object) -> int | None:
        if type(value) not in _ATOM_TYPES:
            return None
        number = _interned.get(value)
        if number is None:
            number = _interned[value] = len(_values)
            _values.append(value)
        return number


class _Unpickler(pickle.Unpickler):
    def persistent_load(self, number: int) -> object:
        return _values[number]


def pack(value: object) -> bytes:
    """Return a replica, or another value, as bytes."""
    stream = io.BytesIO()
    _Pickler(stream, protocol=5).dump(value)
    return stream.getvalue()


def unpack(data: bytes) -> Replica:
    """Return a new replica in the state that was packed."""
    member = _Unpickler(io.BytesIO(data)).load()
    assert isinstance(member, Replica)
    return member


class InvariantError(Exception):
    """An invariant doesn't hold."""


def fixed_jitter() -> float:
    """Return the same value for each request of a jitter."""
    return 0.5


@dataclass(frozen=True, slots=True)
class Disk:
    """A disk: its synced records, and the batches that are being written."""

    records: tuple[Record, ...]
    pending: tuple[Persist, ...] = ()


_ATOM_TYPES = frozenset((*_ATOMS, Disk, Persist))


@dataclass(frozen=True, slots=True)
class Budget:
    """Events that may still happen on a path; each entry is one event."""

    campaigns: tuple[tuple[str, str], ...] = ()  # candidate and options, as in "avoid BC members ABD"
    crashes: tuple[str, ...] = ()  # machines that lose power and restart
    wipes: tuple[str, ...] = ()  # machines that lose power and their disk, and restart
    submits: tuple[tuple[str, bytes], ...] = ()  # machine and command
    reads: tuple[str, ...] = ()  # machines that get a read
    losses: tuple[str, ...] = ()  # types of messages; a broken connection may lose one message for each entry


@dataclass(frozen=True, slots=True)
class Scenario:
    """An initial state, and the events that the explorer may choose from."""

    name: str
    budget: Budget
    machines: tuple[str, ...] = ("A", "B", "C")
    initial_members: int = 3  # the first of the machines
    syncs_are_choices: bool = False  # False: each write is synced at once
    prefix: tuple[str, ...] = ()  # steps taken before the exploration; steps that are impossible are skipped


Links = tuple[tuple[tuple[int, int], tuple[tuple[MemberId, Message], ...]], ...]


@dataclass(frozen=True)
class Point:
    """A node of the exploration: one state of all members, disks and links."""

    members: tuple[bytes, ...]  # packed replicas, in the order of the scenario's machines
    disks: tuple[Disk, ...]
    links: Links
    budget: Budget
    acknowledged: State = ()
    committed: State = ()  # the longest state that any member reported as committed
    reads: tuple[tuple[int, int], ...] = ()  # request, and minimum length of the state that it must return
    # Request, command, and the state that was acknowledged when the command was submitted.
    submitted: tuple[tuple[int, str, State], ...] = ()
    wiped: str = ""  # machine that lost its disk
    request: int = 0  # number of the next request
    path: tuple[str, ...] = field(default=(), compare=False)  # steps that led to this point

    def digest(self) -> bytes:
        """Return a digest that is equal for equal states, on whatever path they were reached."""
        parts = (
            self.members,
            self.disks,
            self.links,
            self.budget,
            self.acknowledged,
            self.committed,
            self.reads,
            self.submitted,
        )
        return hashlib.blake2b(pack(parts), digest_size=16).digest()


class Explorer:
    """Explores one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.ids = [MemberId(name, f"disk-{name}") for name in scenario.machines]
        self.state_count = 0  # explored
        self.final_faults = 0  # campaigns after a final fault
        self.max_depth = 0  # steps of the longest path
        self._checked_disks: set[bytes] = set()  # digests of the states for which final faults were checked

    # -- initial state --

    def _member(self, index: int, disk: Disk) -> Replica:
        durable = recover(disk.records)
        name = self.scenario.machines[index]
        return Replica(
            MemberId(name, durable.disk),
            Locality(name, name),
            self.scenario.machines[: self.scenario.initial_members],
            1,
            durable,
            STATE_MACHINE,
            fixed_jitter,
            b"",
            NOW_S,
        )

    def initial_point(self) -> Point:
        """Return a bootstrapped core: A is primary, B its backup, other machines are witnesses or blank."""
        initial_members = self.scenario.initial_members
        epoch = Epoch(1, "disk-A")
        view = View(epoch, self.ids[0], (self.ids[0], self.ids[1]), tuple(self.ids[:initial_members]))
        disks = []
        for index, identity in enumerate(self.ids):
            records: list[Record] = [IdentityRecord(identity.disk, True)]
            if index < initial_members:
                records += [ViewRecord(view), ActiveEpochRecord(epoch)]
            if index < 2:
                records.append(StateRecord(epoch, 0, b""))
            disks.append(Disk(tuple(records)))
        members = [self._member(index, disk) for index, disk in enumerate(disks)]
        members[0]._leader_role.become_primary(NOW_S, view, continues_own_state=True)
        members[0]._context.outbox.take()
        packed = tuple(pack(member) for member in members)
        point = Point(packed, tuple(disks), (), self.scenario.budget)
        for label in self.scenario.prefix:
            point = next((step for step in self.next_points(point) if step.path[-1].strip() == label), point)
        return point

    # -- one step --

    def _index(self, name: str) -> int:
        return self.scenario.machines.index(name)

    def _step(
        self, point: Point, index: int, event: Event | ViewChangeRequest, label: str, **changes: object
    ) -> Point:
        """Let one member handle an event, and apply its effects."""
        member: Replica = unpack(point.members[index])
        if isinstance(event, ViewChangeRequest):
            member._leader_role.highest_epoch_seen = self._highest_promised(point)
            member._leader_role.start_view_change(NOW_S, event)
            member._run_to_fixpoint(NOW_S)
            effects = member._context.outbox.take()
        else:
            effects = member.handle(NOW_S, event)
        point = replace(point, path=(*point.path, label), **changes)  # type: ignore[arg-type]
        return self._apply(point, index, member, effects)

    def _highest_promised(self, point: Point) -> Epoch:
        highest = NO_EPOCH
        for disk in point.disks:
            durable = recover(
                [*disk.records, *(record for batch in disk.pending for record in batch.records)]
            )
            highest = max(highest, durable.promised)
        return highest

    def _apply(self, point: Point, index: int, member: Replica, effects: list[Effect]) -> Point:
        links = dict(point.links)
        disk = point.disks[index]
        tokens: list[int] = []
        for effect in effects:
            match effect:
                case Send():
                    if effect.to_address in self.scenario.machines and not isinstance(
                        effect.message, IGNORED_MESSAGES
                    ):
                        key = (index, self._index(effect.to_address))
                        links[key] = (*links.get(key, ()), (member.identity, effect.message))
                case Persist():
                    if self.scenario.syncs_are_choices:
                        disk = replace(disk, pending=(*disk.pending, effect))
                    else:
                        disk = replace(disk, records=(*disk.records, *effect.records))
                        tokens.append(effect.token)
                case CommittedState():
                    point = self._check_committed(point, effect.state, member)
                case Answer():
                    point = self._check_answer(point, effect)
        disks = tuple(
            disk if position == index else unchanged for position, unchanged in enumerate(point.disks)
        )
        members = tuple(
            pack(member) if position == index else unchanged
            for position, unchanged in enumerate(point.members)
        )
        point = replace(
            point,
            members=members,
            disks=disks,
            links=tuple(sorted((key, queue) for key, queue in links.items() if queue)),
        )
        for token in tokens:
            current: Replica = unpack(point.members[index])
            point = self._apply(point, index, current, current.handle(NOW_S, Persisted(token)))
        return point

    # -- invariants --

    def _check_committed(self, point: Point, state: State, member: Replica) -> Point:
        shorter, longer = sorted((point.committed, state), key=len)
        if longer[: len(shorter)] != shorter:
            raise InvariantError(f"committed states diverge: {shorter} and {longer} after {point.path}")
        if member.is_primary and state[: len(point.acknowledged)] != point.acknowledged:
            raise InvariantError(f"primary without acknowledged {point.acknowledged} after {point.path}")
        return replace(point, committed=longer)

    def _check_answer(self, point: Point, effect: Answer) -> Point:
        match effect.outcome:
            case Done():
                command = self._submitted(point, effect.request)[0]
                if command not in point.committed:
                    raise InvariantError(f"{command} was acknowledged but not committed after {point.path}")
                return replace(point, acknowledged=point.committed)
            case Refused(result=result):
                command, acknowledged = self._submitted(point, effect.request)
                if result == ACCEPTED and command not in point.committed:
                    raise InvariantError(
                        f"{command} was reported as applied but not committed after {point.path}"
                    )
                base = int(command.split("|")[0])
                if result == CONFLICT and base == edition_of(acknowledged) == edition_of(point.committed):
                    raise InvariantError(f"{command} was rejected without a conflict after {point.path}")
            case Newest(state=state):
                min_length = dict(point.reads).get(effect.request, 0)
                if len(state) < min_length:
                    raise InvariantError(
                        f"a read returned {len(state)} changes of {min_length} after {point.path}"
                    )
        return point

    def _submitted(self, point: Point, request: int) -> tuple[str, State]:
        """Return the command of a request, and the state that was acknowledged when it was submitted."""
        return next(
            (command, acknowledged) for number, command, acknowledged in point.submitted if number == request
        )

    # -- choices --

    def next_points(self, point: Point) -> Iterator[Point]:
        """Return the points that one more step may lead to."""
        yield from self._deliveries(point)
        for index, disk in enumerate(point.disks):
            if disk.pending:
                yield self._sync(point, index)
        yield from self._campaigns(point)
        yield from self._restarts(point)
        yield from self._calls(point)

    def _deliveries(self, point: Point) -> Iterator[Point]:
        """Deliver the first message of each link, or lose it."""
        for key, queue in point.links:
            links = tuple((link, queued) for link, queued in point.links if link != key)
            if queue[1:]:
                links = tuple(sorted((*links, (key, queue[1:]))))
            sender, message = queue[0]
            names = self.scenario.machines
            label = f"{type(message).__name__} {names[key[0]]}>{names[key[1]]}"
            yield self._step(point, key[1], Received(sender, message), label, links=links)
            if type(message).__name__ in point.budget.losses:
                yield self._lose(point, links, type(message).__name__, label)

    def _campaigns(self, point: Point) -> Iterator[Point]:
        """Start a view change at a member."""
        budget = point.budget
        for position, (name, options) in enumerate(budget.campaigns):
            remaining = replace(budget, campaigns=_without(budget.campaigns, position))
            member: Replica = unpack(point.members[self._index(name)])
            if member._leader_role.attempt is None and member.view is not None:
                yield self._step(
                    point,
                    self._index(name),
                    self._view_change_request(member, options),
                    f"campaign {name} {options}",
                    budget=remaining,
                )

    def _restarts(self, point: Point) -> Iterator[Point]:
        """Cut the power of a machine, with or without loss of its disk, and restart it at once."""
        budget = point.budget
        for position, name in enumerate(budget.crashes):
            remaining = replace(budget, crashes=_without(budget.crashes, position))
            yield self._restart(replace(point, budget=remaining), name, wiped=False)
        for position, name in enumerate(budget.wipes):
            remaining = replace(budget, wipes=_without(budget.wipes, position))
            yield self._restart(replace(point, budget=remaining, wiped=name), name, wiped=True)

    def _calls(self, point: Point) -> Iterator[Point]:
        """Submit a command, or read."""
        budget = point.budget
        for position, (name, command) in enumerate(budget.submits):
            remaining = replace(budget, submits=_without(budget.submits, position))
            event = Submit(point.request, command)
            yield self._step(
                point,
                self._index(name),
                event,
                f"submit {name}",
                budget=remaining,
                request=point.request + 1,
                submitted=(*point.submitted, (point.request, command.decode(), point.acknowledged)),
            )
        for position, name in enumerate(budget.reads):
            remaining = replace(budget, reads=_without(budget.reads, position))
            reads = (*point.reads, (point.request, len(point.acknowledged)))
            yield self._step(
                point,
                self._index(name),
                ReadNewest(point.request),
                f"read {name}",
                budget=remaining,
                request=point.request + 1,
                reads=reads,
            )

    def _lose(self, point: Point, links: Links, message_type: str, label: str) -> Point:
        """Break a connection with one message in flight; later messages arrive on the next connection."""
        losses = point.budget.losses
        remaining = replace(point.budget, losses=_without(losses, losses.index(message_type)))
        return replace(point, links=links, budget=remaining, path=(*point.path, f"lose {label}"))

    def _view_change_request(self, member: Replica, options: str) -> ViewChangeRequest:
        view = member.view
        assert view is not None
        words = options.split()
        avoided: frozenset[MemberId] = frozenset()
        proposal = None
        for word, names in zip(words[::2], words[1::2], strict=True):
            members = tuple(self.ids[self._index(name)] for name in names)
            if word == "avoid":
                avoided = frozenset(members)
            else:
                proposal = MembershipProposal(view.epoch, members)
        return ViewChangeRequest("explored", is_urgent=True, proposal=proposal, avoided=avoided)

    def _sync(self, point: Point, index: int) -> Point:
        disk = point.disks[index]
        batch = disk.pending[0]
        synced = Disk((*disk.records, *batch.records), disk.pending[1:])
        disks = tuple(
            synced if position == index else unchanged for position, unchanged in enumerate(point.disks)
        )
        label = f"sync {self.scenario.machines[index]}"
        return self._step(point, index, Persisted(batch.token), label, disks=disks)

    def _restart(self, point: Point, name: str, wiped: bool) -> Point:
        index = self._index(name)
        disk = self._blank_disk(name) if wiped else Disk(point.disks[index].records)
        member = pack(self._member(index, disk))
        return replace(
            point,
            members=tuple(
                member if position == index else unchanged for position, unchanged in enumerate(point.members)
            ),
            disks=tuple(
                disk if position == index else unchanged for position, unchanged in enumerate(point.disks)
            ),
            path=(*point.path, f"{'wipe' if wiped else 'crash'} {name}"),
        )

    def _blank_disk(self, name: str) -> Disk:
        return Disk((IdentityRecord(new_disk_id(name), False),))

    # -- final faults --

    def check_final_faults(self, point: Point) -> None:
        """Check that each remaining machine recovers the acknowledged state, whichever disk is lost."""
        wiped_names = [""] if point.wiped else ["", *self.scenario.machines]
        signature = pack([[disk.records for disk in point.disks], point.acknowledged, point.wiped])
        digest = hashlib.blake2b(signature, digest_size=16).digest()
        if digest in self._checked_disks:
            return
        self._checked_disks.add(digest)
        for wiped_name in wiped_names:
            candidates = [name for name in self.scenario.machines if name not in (wiped_name, point.wiped)]
            if not any([self._campaign_once(point, name, wiped_name) for name in candidates]):
                raise InvariantError(
                    f"no primary: all lose power, {wiped_name or 'none'} its disk, after {point.path}"
                )

    def _campaign_once(self, point: Point, name: str, wiped_name: str) -> bool:
        """Return whether a machine became primary; False if it is no member of the newest view.

        Raises InvariantError if a member can't become primary, or recovers less than what was acknowledged.
        """
        members = {}
        for index, machine_name in enumerate(self.scenario.machines):
            disk = (
                self._blank_disk(machine_name)
                if machine_name == wiped_name
                else Disk(point.disks[index].records)
            )
            members[machine_name] = self._member(index, disk)
        candidate = members[name]
        if candidate.view is None or candidate.identity not in candidate.view.members:
            return False
        self.final_faults += 1
        candidate._leader_role.highest_epoch_seen = max(
            member._leader_role.highest_epoch_seen for member in members.values()
        )
        wiped = {
            self.ids[self._index(machine_name)] for machine_name in (wiped_name, point.wiped) if machine_name
        }
        candidate._leader_role.start_view_change(
            NOW_S, ViewChangeRequest("final fault", is_urgent=True, avoided=frozenset(wiped))
        )
        candidate._run_to_fixpoint(NOW_S)
        recovered = self._deliver_all(members, name, candidate._context.outbox.take())
        context = f"all lose power, {wiped_name or 'none'} its disk, {name} campaigns, after {point.path}"
        newer_view = candidate._leader_role._excluded_by
        if recovered is None and newer_view is not None and candidate.identity not in newer_view.members:
            return False
        if recovered is None:
            raise InvariantError(f"can't become primary: {context}")
        if recovered[: len(point.acknowledged)] != point.acknowledged:
            raise InvariantError(f"lost {point.acknowledged}, recovered {recovered}: {context}")
        return True

    def _deliver_all(
        self, members: dict[str, Replica], candidate: str, effects: list[Effect]
    ) -> State | None:
        """Deliver all messages; return the first state that the candidate reports as committed."""
        pending = deque((candidate, effect) for effect in effects)
        while pending:
            name, effect = pending.popleft()
            event: Event
            match effect:
                case CommittedState() if members[name].is_primary:
                    return effect.state  # type: ignore[no-any-return]
                case Send(to_address=to) if to in members:
                    event = Received(members[name].identity, effect.message)
                    name = to
                case Persist():
                    event = Persisted(effect.token)
                case _:
                    continue
            pending.extend((name, next_effect) for next_effect in members[name].handle(NOW_S, event))
        return None

    # -- exploration --

    def run(self, depth: int, max_states: int) -> None:
        """Explore breadth-first; raises InvariantError with the path that violates an invariant."""
        with frozen_clock():
            seen: set[bytes] = set()
            level = [self.initial_point()]
            for self.max_depth in range(depth + 1):
                next_level: list[Point] = []
                for point in level:
                    self.state_count += 1
                    self.check_final_faults(point)
                    if self.max_depth == depth or self.state_count + len(next_level) >= max_states:
                        continue
                    for step in self.next_points(point):
                        digest = step.digest()
                        if digest not in seen:
                            seen.add(digest)
                            next_level.append(step)
                level = next_level
                if not level:
                    return

    def walk(self, random: Random) -> Point:
        """Follow one path of random steps to its end, and return that; raises InvariantError."""
        with frozen_clock():
            point = self.initial_point()
            while True:
                self.state_count += 1
                self.check_final_faults(point)
                steps = list(self.next_points(point))
                if not steps:
                    break
                point = random.choice(steps)
            self.max_depth = max(self.max_depth, len(point.path))
            return point


def always_usable(context: ReplicaContext, member: MemberId, now_s: float) -> bool:
    """Return True, in place of a check that depends on time."""
    return True


@contextmanager
def frozen_clock() -> Iterator[None]:
    """Disable the waits and the checks of peers that depend on time."""
    with (
        mock.patch.object(view_change, "EXTRA_PROMISES_WAIT_S", 0.0),
        mock.patch.object(ReplicaContext, "is_usable", always_usable),
    ):
        yield


def new_disk_id(name: str) -> str:
    """Return the disk id that a wiped machine draws."""
    return f"disk-{name}-new"


def _without(items: tuple, position: int) -> tuple:  # type: ignore[type-arg]
    return items[:position] + items[position + 1 :]


X = change(0, 1, "x")
Y = change(1, 2, "y")
Z = change(0, 3, "z")
W = change(3, 4, "w")

A_LEADS_WITH_C = (
    "campaign A avoid B",
    "Prepare A>C",
    "Promise C>A",
    "Install A>C",
    "Installed C>A",
    "Accept A>C",
    "Accepted C>A",
)
A_ADDS_D = (
    "campaign A members ABD avoid B",
    "Prepare A>C",
    "Promise C>A",
    "Install A>D",
    "Installed D>A",
    "Accept A>D",
    "Accepted D>A",
)
B_LEADS_WITH_C = (
    "campaign B avoid A",
    "Prepare B>C",
    "Promise C>B",
    "Install B>C",
    "Installed C>B",
    "Accept B>C",
    "Accepted C>B",
)
B_COMMITS_Z = (
    *B_LEADS_WITH_C,
    "submit B",
    "ViewActivated B>C",
    "Committed B>C",
    "Append B>C",
    "Appended C>B",
)

SCENARIOS_FROM_START = (
    Scenario(
        "a change in flight, two candidates",
        Budget(campaigns=(("B", ""), ("C", "")), submits=(("A", X),)),
    ),
    Scenario(
        "a frozen primary reads and writes while its backup campaigns",
        Budget(campaigns=(("B", "avoid A"),), submits=(("A", X), ("B", Z)), reads=("A",)),
    ),
    Scenario(
        "a replica loses power in a hand-over",
        Budget(campaigns=(("B", ""), ("C", "avoid B")), crashes=("B",), submits=(("A", X),)),
        syncs_are_choices=True,
    ),
    Scenario(
        "the witness loses power between two candidates",
        Budget(campaigns=(("B", "avoid A"), ("A", "avoid B")), crashes=("C",)),
        syncs_are_choices=True,
    ),
    Scenario(
        "a wiped member between two candidates",
        Budget(campaigns=(("B", "avoid A"), ("A", "avoid B")), wipes=("C",), submits=(("A", X), ("B", Z))),
    ),
    Scenario(
        "a wiped backup while the primary continues with the witness",
        Budget(campaigns=(("A", "avoid B"), ("C", "")), wipes=("B",), submits=(("A", X),)),
    ),
    Scenario(
        "a witness is replaced while the backup campaigns",
        Budget(campaigns=(("A", "members ABD"), ("B", "avoid A")), submits=(("A", X),)),
        machines=("A", "B", "C", "D"),
    ),
    Scenario(
        "a primary with a command in flight and its backup campaign",
        Budget(campaigns=(("A", ""), ("B", "avoid A")), submits=(("A", X), ("B", Z))),
    ),
)

SCENARIOS_WITH_PREFIX = (
    Scenario(
        "the witness loses power after it promised to a second candidate",
        Budget(campaigns=(("A", "avoid B"), ("B", "avoid A")), crashes=("C",), submits=(("A", X),)),
        prefix=(*A_LEADS_WITH_C[:3], "campaign B avoid A", "Prepare B>C", "Promise C>B"),
    ),
    Scenario(
        "the witness loses its disk after it promised to a second candidate",
        Budget(campaigns=(("A", "avoid B"), ("B", "avoid A")), wipes=("C",), submits=(("A", X),)),
        prefix=(*A_LEADS_WITH_C[:3], "campaign B avoid A", "Prepare B>C", "Promise C>B"),
    ),
    Scenario(
        "a superseded primary reads, writes and campaigns",
        Budget(campaigns=(("B", "avoid A"), ("A", "")), submits=(("B", Z), ("A", W)), reads=("A",)),
        prefix=B_COMMITS_Z,
    ),
    Scenario(
        "a superseded primary with a command in flight campaigns",
        Budget(campaigns=(("B", "avoid A"), ("A", "")), submits=(("A", X), ("B", Z))),
        prefix=("submit A", *B_COMMITS_Z),
    ),
    Scenario(
        "an append arrives after the backup promised to another candidate",
        Budget(campaigns=(("C", "avoid A"),), submits=(("A", X), ("C", Z))),
        prefix=("submit A", "campaign C avoid A", "Prepare C>B", "Promise B>C", "Fetch C>B", "Fetched B>C"),
    ),
    Scenario(
        "an excluded backup campaigns with its old state",
        Budget(campaigns=(("A", "avoid B"), ("B", "avoid A")), submits=(("A", X), ("B", Y))),
        prefix=(
            *A_LEADS_WITH_C,
            "submit A",
            "ViewActivated A>C",
            "Committed A>C",
            "Append A>C",
            "Appended C>A",
        ),
    ),
    Scenario(
        "a member is added while the excluded backup campaigns with the former members",
        Budget(campaigns=(("A", "members ABD avoid B"), ("B", "avoid A")), submits=(("A", X), ("B", Z))),
        machines=("A", "B", "C", "D"),
        prefix=A_ADDS_D,
    ),
    Scenario(
        "a former primary learns that a later view is active, but not its members",
        Budget(
            campaigns=(("A", "members ABD avoid B"), ("B", "avoid A"), ("A", "avoid BC")),
            submits=(("B", Z),),
            losses=("Accept",),
        ),
        machines=("A", "B", "C", "D"),
        prefix=(
            *A_ADDS_D,
            "campaign B avoid A",
            "Prepare B>A",
            *B_LEADS_WITH_C[1:],
        ),
    ),
    Scenario(
        "two candidates of five, with one witness in common",
        Budget(campaigns=(("A", "avoid B"), ("B", "avoid AC")), submits=(("A", X), ("B", Z))),
        machines=("A", "B", "C", "D", "E"),
        initial_members=5,
        prefix=(
            "campaign A avoid B",
            "Prepare A>C",
            "Promise C>A",
            "Prepare A>D",
            "Promise D>A",
            "Install A>C",
            "Installed C>A",
            "Accept A>C",
            "Accepted C>A",
            "submit A",
            "campaign B avoid AC",
            "Prepare B>D",
            "Promise D>B",
            "Prepare B>E",
            "Promise E>B",
        ),
    ),
)

SCENARIOS = (*SCENARIOS_FROM_START, *SCENARIOS_WITH_PREFIX)


def committed_in(disk: Disk) -> State:
    """Return the state of a disk; for the analysis of a fault by hand."""
    return decode_state(recover(disk.records).snapshot)
