"""Explores all interleavings of a few members up to a bound, with the real code, and checks every state.

Time stands still: nothing is suspected; who campaigns when is one of the choices. A message that isn't
delivered is a slow link, a cut or a frozen machine. States that were seen are not explored again. What is on
its way to a machine that crashes arrives after its return, as if it was sent again.

At each new state of the disks the closing fault follows: all machines lose power, at most one of them with
its disk, and each that is left leads once: it must find what was acknowledged. One that finds a newer view of
which it is no member need not lead, but then another must.
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
NOT_CARRIED = (Ping, Fenced, CatchUpCommands, CatchUpSnapshot)  # they matter to speed only, not to safety


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
    """Writes a number in place of each immutable value: quick, and equal values look equal."""

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
    """A copy that nothing changes."""
    stream = io.BytesIO()
    _Pickler(stream, protocol=5).dump(value)
    return stream.getvalue()


def unpack(data: bytes) -> Replica:
    """A member to work with."""
    member = _Unpickler(io.BytesIO(data)).load()
    assert isinstance(member, Replica)
    return member


class InvariantError(Exception):
    """An invariant doesn't hold."""


def fixed_jitter() -> float:
    """In place of the jitter."""
    return 0.5


@dataclass(frozen=True, slots=True)
class Disk:
    """Synced records, and batches on their way."""

    records: tuple[Record, ...]
    pending: tuple[Persist, ...] = ()


_ATOM_TYPES = frozenset((*_ATOMS, Disk, Persist))


@dataclass(frozen=True, slots=True)
class Budget:
    """What may still happen on a path."""

    campaigns: tuple[tuple[str, str], ...] = ()  # (who, kind): kind "" or a wish's or avoided machine's name
    crashes: tuple[str, ...] = ()  # power is lost and returns
    wipes: tuple[str, ...] = ()  # ... without the disk
    submits: tuple[tuple[str, bytes], ...] = ()
    reads: tuple[str, ...] = ()
    losses: tuple[str, ...] = ()  # kinds of messages, each of which a broken connection may lose once


@dataclass(frozen=True, slots=True)
class Scenario:
    """Where exploring begins, and with what."""

    name: str
    budget: Budget
    machines: tuple[str, ...] = ("A", "B", "C")
    founders: int = 3  # so many of the machines are members at first
    syncs_are_choices: bool = False  # otherwise disks sync at once
    prefix: tuple[
        str, ...
    ] = ()  # steps taken before all interleavings are explored; those impossible are left out


Links = tuple[tuple[tuple[int, int], tuple[tuple[MemberId, Message], ...]], ...]


@dataclass(frozen=True)
class Point:
    """One state of all members, disks and links."""

    members: tuple[bytes, ...]  # pickled, in the order of the scenario's machines
    disks: tuple[Disk, ...]
    links: Links
    budget: Budget
    acknowledged: State = ()
    committed: State = ()  # the longest that any member took for committed
    reads_owed: tuple[tuple[int, int], ...] = ()  # request, how much must be seen at least
    submitted: tuple[tuple[int, str, State], ...] = ()  # request, command, what was acknowledged when it came
    wiped: str = ""
    request: int = 0
    path: tuple[str, ...] = field(default=(), compare=False)

    def digest(self) -> bytes:
        """The same for the same state."""
        parts = (
            self.members,
            self.disks,
            self.links,
            self.budget,
            self.acknowledged,
            self.committed,
            self.reads_owed,
            self.submitted,
        )
        return hashlib.blake2b(pack(parts), digest_size=16).digest()


class Explorer:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.ids = [MemberId(name, f"disk-{name}") for name in scenario.machines]
        self.state_count = 0
        self.final_faults = 0
        self.max_depth = 0
        self._closed: set[bytes] = set()

    # -- setting up --

    def _member(self, index: int, disk: Disk) -> Replica:
        durable = recover(disk.records)
        name = self.scenario.machines[index]
        return Replica(
            MemberId(name, durable.disk),
            Locality(name, name),
            self.scenario.machines[: self.scenario.founders],
            1,
            durable,
            STATE_MACHINE,
            fixed_jitter,
            b"",
            NOW_S,
        )

    def initial_point(self) -> Point:
        """A core is founded; A leads, B is its backup, others are witnesses or blank."""
        founders = self.scenario.founders
        epoch = Epoch(1, "disk-A")
        view = View(epoch, self.ids[0], (self.ids[0], self.ids[1]), tuple(self.ids[:founders]))
        disks = []
        for index, identity in enumerate(self.ids):
            records: list[Record] = [IdentityRecord(identity.disk, True)]
            if index < founders:
                records += [ViewRecord(view), ActiveEpochRecord(epoch)]
            if index < 2:
                records.append(StateRecord(epoch, 0, b""))
            disks.append(Disk(tuple(records)))
        members = [self._member(index, disk) for index, disk in enumerate(disks)]
        members[0]._leader_role.become_primary(NOW_S, view, continues_own_state=True)
        members[0]._context.outbox.take()
        packed = tuple(pack(member) for member in members)
        point = Point(packed, tuple(disks), (), self.scenario.budget)
        for note in self.scenario.prefix:
            point = next((step for step in self.next_points(point) if step.path[-1].strip() == note), point)
        return point

    # -- one step --

    def _index(self, name: str) -> int:
        return self.scenario.machines.index(name)

    def _step(
        self, point: Point, index: int, event: Event | ViewChangeRequest, note: str, **changes: object
    ) -> Point:
        """Let one member take an event, and apply its effects."""
        member: Replica = unpack(point.members[index])
        if isinstance(event, ViewChangeRequest):
            member._leader_role.highest_epoch_seen = self._highest_promised(point)
            member._leader_role.start_view_change(NOW_S, event)
            member._run_to_fixpoint(NOW_S)
            effects = member._context.outbox.take()
        else:
            effects = member.handle(NOW_S, event)
        point = replace(point, path=(*point.path, note), **changes)  # type: ignore[arg-type]
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
                        effect.message, NOT_CARRIED
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
            retry: Replica = unpack(point.members[index])
            point = self._apply(point, index, retry, retry.handle(NOW_S, Persisted(token)))
        return point

    # -- what must hold --

    def _check_committed(self, point: Point, state: State, member: Replica) -> Point:
        shorter, longer = sorted((point.committed, state), key=len)
        if longer[: len(shorter)] != shorter:
            raise InvariantError(f"forked: {shorter} and {longer} after {point.path}")
        if member.is_primary and state[: len(point.acknowledged)] != point.acknowledged:
            raise InvariantError(f"leads without {point.acknowledged} after {point.path}")
        return replace(point, committed=longer)

    def _check_answer(self, point: Point, effect: Answer) -> Point:
        match effect.outcome:
            case Done():
                command = self._submitted(point, effect.request)[0]
                if command not in point.committed:
                    raise InvariantError(f"{command} is done though not committed after {point.path}")
                return replace(point, acknowledged=point.committed)
            case Refused(result=result):
                command, known = self._submitted(point, effect.request)
                if result == ACCEPTED and command not in point.committed:
                    raise InvariantError(f"{command} is taken though not committed after {point.path}")
                base = int(command.split("|")[0])
                if result == CONFLICT and base == edition_of(known) == edition_of(point.committed):
                    raise InvariantError(f"{command} is refused for nothing after {point.path}")
            case Newest(state=state):
                least = dict(point.reads_owed).get(effect.request, 0)
                if len(state) < least:
                    raise InvariantError(f"a read saw {len(state)} of {least} after {point.path}")
        return point

    def _submitted(self, point: Point, request: int) -> tuple[str, State]:
        return next((command, known) for number, command, known in point.submitted if number == request)

    # -- choices --

    def next_points(self, point: Point) -> Iterator[Point]:
        """All that may happen next."""
        yield from self._deliveries(point)
        for index, disk in enumerate(point.disks):
            if disk.pending:
                yield self._sync(point, index)
        yield from self._campaigns(point)
        yield from self._restarts(point)
        yield from self._calls(point)

    def _deliveries(self, point: Point) -> Iterator[Point]:
        """The first message of each link arrives, or is lost."""
        for key, queue in point.links:
            rest = tuple((link, queued) for link, queued in point.links if link != key)
            if queue[1:]:
                rest = tuple(sorted((*rest, (key, queue[1:]))))
            sender, message = queue[0]
            names = self.scenario.machines
            note = f"{type(message).__name__} {names[key[0]]}>{names[key[1]]}"
            yield self._step(point, key[1], Received(sender, message), note, links=rest)
            if type(message).__name__ in point.budget.losses:
                yield self._lose(point, rest, type(message).__name__, note)

    def _campaigns(self, point: Point) -> Iterator[Point]:
        """A member starts a view change."""
        budget = point.budget
        for position, (name, kind) in enumerate(budget.campaigns):
            left = replace(budget, campaigns=_without(budget.campaigns, position))
            member: Replica = unpack(point.members[self._index(name)])
            if member._leader_role.attempt is None and member.view is not None:
                yield self._step(
                    point,
                    self._index(name),
                    self._change(member, kind),
                    f"campaign {name} {kind}",
                    budget=left,
                )

    def _restarts(self, point: Point) -> Iterator[Point]:
        """A machine loses power, or its disk too, and is back at once."""
        budget = point.budget
        for position, name in enumerate(budget.crashes):
            left = replace(budget, crashes=_without(budget.crashes, position))
            yield self._restart(replace(point, budget=left), name, wiped=False)
        for position, name in enumerate(budget.wipes):
            left = replace(budget, wipes=_without(budget.wipes, position))
            yield self._restart(replace(point, budget=left, wiped=name), name, wiped=True)

    def _calls(self, point: Point) -> Iterator[Point]:
        """A caller submits a command or reads."""
        budget = point.budget
        for position, (name, command) in enumerate(budget.submits):
            left = replace(budget, submits=_without(budget.submits, position))
            event = Submit(point.request, command)
            yield self._step(
                point,
                self._index(name),
                event,
                f"submit {name}",
                budget=left,
                request=point.request + 1,
                submitted=(*point.submitted, (point.request, command.decode(), point.acknowledged)),
            )
        for position, name in enumerate(budget.reads):
            left = replace(budget, reads=_without(budget.reads, position))
            owed = (*point.reads_owed, (point.request, len(point.acknowledged)))
            yield self._step(
                point,
                self._index(name),
                ReadNewest(point.request),
                f"read {name}",
                budget=left,
                request=point.request + 1,
                reads_owed=owed,
            )

    def _lose(self, point: Point, rest: Links, kind: str, note: str) -> Point:
        """A connection breaks with a message on its way; those behind it come on the next connection."""
        losses = point.budget.losses
        left = replace(point.budget, losses=_without(losses, losses.index(kind)))
        return replace(point, links=rest, budget=left, path=(*point.path, f"lose {note}"))

    def _change(self, member: Replica, kind: str) -> ViewChangeRequest:
        view = member.view
        assert view is not None
        words = kind.split()
        avoided: frozenset[MemberId] = frozenset()
        proposal = None
        for word, names in zip(words[::2], words[1::2], strict=True):
            named = tuple(self.ids[self._index(name)] for name in names)
            if word == "avoid":
                avoided = frozenset(named)
            else:
                proposal = MembershipProposal(view.epoch, named)
        return ViewChangeRequest("explored", is_urgent=True, proposal=proposal, avoided=avoided)

    def _sync(self, point: Point, index: int) -> Point:
        disk = point.disks[index]
        batch = disk.pending[0]
        synced = Disk((*disk.records, *batch.records), disk.pending[1:])
        disks = tuple(
            synced if position == index else unchanged for position, unchanged in enumerate(point.disks)
        )
        note = f"sync {self.scenario.machines[index]}"
        return self._step(point, index, Persisted(batch.token), note, disks=disks)

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

    # -- the closing fault --

    def close(self, point: Point) -> None:
        """Whatever may be lost now: each that is left must find what was acknowledged."""
        losses = [""] if point.wiped else ["", *self.scenario.machines]
        signature = pack([[disk.records for disk in point.disks], point.acknowledged, point.wiped])
        digest = hashlib.blake2b(signature, digest_size=16).digest()
        if digest in self._closed:
            return
        self._closed.add(digest)
        for lost in losses:
            left = [name for name in self.scenario.machines if name not in (lost, point.wiped)]
            if not any([self._lead_once(point, name, lost) for name in left]):
                raise InvariantError(
                    f"nobody leads: all lose power, {lost or 'none'} its disk, after {point.path}"
                )

    def _lead_once(self, point: Point, name: str, lost: str) -> bool:
        """Whether it led. Raises InvariantError where it can't, or leads without what was acknowledged."""
        members = {}
        for index, machine_name in enumerate(self.scenario.machines):
            disk = (
                self._blank_disk(machine_name) if machine_name == lost else Disk(point.disks[index].records)
            )
            members[machine_name] = self._member(index, disk)
        leader = members[name]
        if leader.view is None or leader.identity not in leader.view.members:
            return False
        self.final_faults += 1
        leader._leader_role.highest_epoch_seen = max(
            member._leader_role.highest_epoch_seen for member in members.values()
        )
        wiped = {self.ids[self._index(gone)] for gone in (lost, point.wiped) if gone}
        leader._leader_role.start_view_change(
            NOW_S, ViewChangeRequest("closing", is_urgent=True, avoided=frozenset(wiped))
        )
        leader._run_to_fixpoint(NOW_S)
        found = self._deliver_all(members, name, leader._context.outbox.take())
        story = f"all lose power, {lost or 'none'} its disk, {name} leads, after {point.path}"
        newer = leader._leader_role._excluded_by
        if found is None and newer is not None and leader.identity not in newer.members:
            return False
        if found is None:
            raise InvariantError(f"can't lead: {story}")
        if found[: len(point.acknowledged)] != point.acknowledged:
            raise InvariantError(f"lost {point.acknowledged}, found {found}: {story}")
        return True

    def _deliver_all(self, members: dict[str, Replica], leader: str, effects: list[Effect]) -> State | None:
        """Let every message arrive; the first state that the leader takes for committed."""
        waiting = deque((leader, effect) for effect in effects)
        while waiting:
            name, effect = waiting.popleft()
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
            waiting.extend((name, following) for following in members[name].handle(NOW_S, event))
        return None

    # -- all of it --

    def run(self, depth: int, most_states: int) -> None:
        """Explore by levels; raises InvariantError with the path that led to it."""
        with frozen_clock():
            seen: set[bytes] = set()
            level = [self.initial_point()]
            for self.max_depth in range(depth + 1):
                following: list[Point] = []
                for point in level:
                    self.state_count += 1
                    self.close(point)
                    if self.max_depth == depth or self.state_count + len(following) >= most_states:
                        continue
                    for step in self.next_points(point):
                        digest = step.digest()
                        if digest not in seen:
                            seen.add(digest)
                            following.append(step)
                level = following
                if not level:
                    return

    def walk(self, chance: Random) -> Point:
        """One path, each step drawn, to its end, which is returned. Raises InvariantError."""
        with frozen_clock():
            point = self.initial_point()
            while True:
                self.state_count += 1
                self.close(point)
                steps = list(self.next_points(point))
                if not steps:
                    break
                point = chance.choice(steps)
            self.max_depth = max(self.max_depth, len(point.path))
            return point


def always_usable(context: ReplicaContext, member: MemberId, now_s: float) -> bool:
    """In place of what depends on time."""
    return True


@contextmanager
def frozen_clock() -> Iterator[None]:
    """Nobody waits for time to pass or judges others by it."""
    with (
        mock.patch.object(view_change, "EXTRA_PROMISES_WAIT_S", 0.0),
        mock.patch.object(ReplicaContext, "is_usable", always_usable),
    ):
        yield


def new_disk_id(name: str) -> str:
    """What a wiped machine draws."""
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
A_TAKES_D_IN = (
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
B_TAKES_Z = (*B_LEADS_WITH_C, "submit B", "ViewActivated B>C", "Committed B>C", "Append B>C", "Appended C>B")

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
        prefix=B_TAKES_Z,
    ),
    Scenario(
        "a superseded primary with a command in flight campaigns",
        Budget(campaigns=(("B", "avoid A"), ("A", "")), submits=(("A", X), ("B", Z))),
        prefix=("submit A", *B_TAKES_Z),
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
        prefix=A_TAKES_D_IN,
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
            *A_TAKES_D_IN,
            "campaign B avoid A",
            "Prepare B>A",
            *B_LEADS_WITH_C[1:],
        ),
    ),
    Scenario(
        "two candidates of five, with one witness in common",
        Budget(campaigns=(("A", "avoid B"), ("B", "avoid AC")), submits=(("A", X), ("B", Z))),
        machines=("A", "B", "C", "D", "E"),
        founders=5,
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
    """For looking at a fault by hand: what a disk's state says."""
    return decode_state(recover(disk.records).snapshot)
