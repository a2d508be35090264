"""An operation's record: named states, one table of transitions. Pure.

    TAKEN -> SENDING -> ANSWERED -> CLOSED,  and CLOSED from anywhere before it; SENDING -> SENDING for a
    further attempt

A record keeps the rules that it was taken under: a reload that changes them does not change it. Times are
Unix s of whoever wrote them, for people alone; nothing is decided by comparing them (see `ages`). A closed
one comes back to life only where its client asks again (`again`), as what it was.
"""

from __future__ import annotations

import zlib
from enum import Enum

import msgspec

from coveport.balancing.interface import NEVER_RAN, Effect, Group, Outcome, RequestClass

FORMAT = 1  # of a record; one of a later format is left alone


class RecordError(ValueError):
    """A record that can't be read, or a step that is none from where it is; one line."""


class State(Enum):
    """Where an operation is."""

    TAKEN = "taken"  # an answer is owed; nothing was sent
    SENDING = "sending"  # an attempt may be on its way
    ANSWERED = "answered"  # a node's answer is known
    CLOSED = "closed"


class End(Enum):
    """How it was closed."""

    SERVED = "served"
    REFUSED = "refused"  # busy: it never ran, and the client was told so
    FAILED = "failed"  # the client was told so; it may have run
    NEVER_RAN = "never-run"  # found by a successor, or settled by staff
    UNKNOWN = "unknown"  # may have run; for staff to settle


MOVES: dict[State, frozenset[State]] = {
    State.TAKEN: frozenset({State.SENDING, State.CLOSED}),
    State.SENDING: frozenset({State.SENDING, State.ANSWERED, State.CLOSED}),
    State.ANSWERED: frozenset({State.CLOSED}),
    State.CLOSED: frozenset(),
}
# Ends that say it did not run: false where an attempt may have.
UNRUN = frozenset({End.REFUSED, End.NEVER_RAN})


class Rules(msgspec.Struct, frozen=True):
    """What of its class an operation was taken under."""

    effect: Effect
    group: Group
    window_ms: float
    most_attempts: int
    deadline_ms: float = 1000.0

    @classmethod
    def of(cls, told: RequestClass, most_attempts: int) -> Rules:
        """Those of a class as it stands."""
        return cls(told.effect, told.group, told.window_ms, most_attempts, told.deadline_ms)


class Attempt(msgspec.Struct, frozen=True):
    """One attempt, durable before its first byte."""

    node: str
    zone: int
    cell: int
    by: str  # incarnation
    ended: Outcome | None = None  # None: not known to us
    unix: float = 0.0  # when it was written down

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it did not."""
        return self.ended is None or self.ended not in NEVER_RAN


class Settled(msgspec.Struct, frozen=True):
    """What staff found out of an operation whose end was not known."""

    end: End  # SERVED or NEVER_RAN
    by: str
    why: str
    unix: float = 0.0


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """An operation in hand."""

    format: int = FORMAT
    id: str
    key: str  # Idempotency-Key; empty: none
    cls: str
    digest: str  # of method, target and body: who asks again with another is refused; empty: see `request`
    rules: Rules
    owner: str  # incarnation
    token: int  # the owner's session key, by the revision that it was created at
    state: State = State.TAKEN
    attempts: tuple[Attempt, ...] = ()
    end: End | None = None
    why: str = ""
    request: bytes = b""  # sealed; empty: not kept
    answer: bytes = b""  # sealed; empty: none, or not kept
    since: int = 0  # revision at which the first attempt of `attempts` stood here; 0: that of this write
    lives: int = 1  # how often it was taken
    owners: tuple[str, ...] = ()  # those before this one
    asked: str = ""  # X-Request-Id of whoever asked last
    unix: float = 0.0  # when it was taken
    closed_unix: float = 0.0
    settled: Settled | None = None

    def to(self, state: State) -> Record:
        """The same in another state; RecordError where there is no way."""
        if state not in MOVES[self.state]:
            raise RecordError(f"{self.id}: no way from {self.state.value} to {state.value}")
        return msgspec.structs.replace(self, state=state)

    def sending(self, attempt: Attempt) -> Record:
        """A further attempt is to be made: durable before its first byte."""
        if len(self.attempts) >= self.rules.most_attempts:
            raise RecordError(
                f"{self.id}: {len(self.attempts)} attempts were made, by all instances together"
            )
        return msgspec.structs.replace(self.to(State.SENDING), attempts=(*self.attempts, attempt))

    def ended(self, number: int, outcome: Outcome) -> Record:
        """How an attempt ended. The first word counts: an answer that is known is not unsaid."""
        attempt = self.attempts[number]
        if self.state is State.CLOSED or attempt.ended is not None:
            return self
        told = msgspec.structs.replace(attempt, ended=outcome)
        attempts = (*self.attempts[:number], told, *self.attempts[number + 1 :])
        record = msgspec.structs.replace(self, attempts=attempts)
        return record.to(State.ANSWERED) if outcome is Outcome.OK and self.state is State.SENDING else record

    def closed(self, end: End, why: str = "", unix: float = 0.0) -> Record:
        """Its end; RecordError for one that can't be true."""
        if end in UNRUN and self.may_have_run:
            raise RecordError(f"{self.id}: can't be closed as {end.value}: an attempt may have run")
        if (end is End.SERVED) is not (self.state is State.ANSWERED):
            raise RecordError(f"{self.id}: can't be closed as {end.value} from {self.state.value}")
        return msgspec.structs.replace(self.to(State.CLOSED), end=end, why=why, closed_unix=unix)

    def claimed(self, by: str, token: int) -> Record:
        """Another's from now on."""
        if self.state is State.CLOSED:
            raise RecordError(f"{self.id}: it is closed")
        return msgspec.structs.replace(self, owner=by, token=token, owners=(*self.owners, self.owner))

    def reopened(self, by: str, token: int) -> Record:
        """Its client asks again for what was closed: another life of it.

        What never ran begins anew. What may have run keeps its attempts: they count, and hold it to their
        cell and window.
        """
        unrun = self.end in UNRUN or (self.settled is not None and self.settled.end is End.NEVER_RAN)
        if self.state is not State.CLOSED or not (unrun or self.may_run_again):
            raise RecordError(f"{self.id}: can't be taken again")
        return msgspec.structs.replace(
            self,
            owner=by,
            token=token,
            state=State.TAKEN if unrun else State.SENDING,
            attempts=() if unrun else self.attempts,
            since=0 if unrun else self.since,
            end=None,
            why="",
            settled=None,
            lives=self.lives + 1,
            owners=(*self.owners, self.owner),
            closed_unix=0.0,
        )

    def settle(self, end: End, by: str, why: str, unix: float = 0.0) -> Record:
        """Staff's word on what is not known; it is kept beside what was written before."""
        if self.end is not End.UNKNOWN and self.end is not End.FAILED:
            raise RecordError(f"{self.id}: there is nothing to settle: it is {self.said}")
        if self.settled is not None:
            raise RecordError(f"{self.id}: settled as {self.settled.end.value} by {self.settled.by} already")
        if end not in (End.SERVED, End.NEVER_RAN) or not by.strip() or not why.strip():
            raise RecordError(f"{self.id}: settled as served or never-run, with a name and a reason")
        return msgspec.structs.replace(self, settled=Settled(end, by, why, unix))

    @property
    def said(self) -> str:
        """Where it is, in a word."""
        return self.end.value if self.end is not None else self.state.value

    @property
    def open(self) -> bool:
        """Whether somebody is to see to it."""
        return self.state is not State.CLOSED

    @property
    def may_run_again(self) -> bool:
        """Whether its class allows what may have run to be sent again at all."""
        told = self.end in (End.FAILED, End.UNKNOWN) and self.settled is None
        return told and self.rules.effect is not Effect.UNSAFE

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have."""
        return any(one.may_have_run for one in self.attempts)

    @property
    def risky(self) -> tuple[Attempt, ...]:
        """The attempts that may have run."""
        return tuple(one for one in self.attempts if one.may_have_run)


def encode(record: Record) -> bytes:
    """As it is kept: a sum of what follows, and that."""
    data = msgspec.json.encode(record)
    return b"%08x" % zlib.crc32(data) + data


def decode(data: bytes) -> Record:
    """As it was kept; RecordError for what can't be read, and for what a later version wrote."""
    body = data[8:]
    if data[:8] != b"%08x" % zlib.crc32(body):
        raise RecordError("its sum does not match: it was damaged")
    try:
        told = msgspec.json.decode(body, type=Record)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        later = _format(body)
        raise RecordError(
            f"of format {later}, ours is {FORMAT}" if later > FORMAT else " ".join(str(problem).split())
        ) from problem
    if told.format > FORMAT:
        raise RecordError(f"{told.id}: of format {told.format}, ours is {FORMAT}")
    return told


class _Named(msgspec.Struct):
    format: int = 0


def _format(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_Named).format
    except (msgspec.DecodeError, msgspec.ValidationError):
        return 0
