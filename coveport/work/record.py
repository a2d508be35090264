"""An operation's record: named states, one table of transitions. Pure.

    TAKEN -> SENDING -> ANSWERED -> CLOSED,  and CLOSED from anywhere before it; SENDING -> SENDING for a
    further attempt

A record keeps the rules that it was taken under: a reload that changes them does not change it. Times are
Unix ms of whoever wrote them, for people alone; nothing is decided by comparing them (see `ages`).
"""

from __future__ import annotations

from enum import Enum

import msgspec

from micaflow.interface import NEVER_RAN, Effect, Group, Outcome, RequestClass

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
    NEVER_RAN = "never-run"  # found by a successor
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

    @classmethod
    def of(cls, told: RequestClass, most_attempts: int) -> Rules:
        """Those of a class as it stands."""
        return cls(told.effect, told.group, told.window_ms, most_attempts)


class Attempt(msgspec.Struct, frozen=True):
    """One attempt, durable before its first byte."""

    node: str
    zone: int
    cell: int
    by: str  # incarnation
    ended: Outcome | None = None  # None: not known to us

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it did not."""
        return self.ended is None or self.ended not in NEVER_RAN


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """An operation in hand."""

    format: int = FORMAT
    id: str
    key: str  # Idempotency-Key; empty: none
    cls: str
    digest: str  # of method, target and body: who asks again with another is refused
    rules: Rules
    owner: str  # incarnation
    token: int  # the owner's session key, by the revision that it was created at
    state: State = State.TAKEN
    attempts: tuple[Attempt, ...] = ()
    end: End | None = None
    why: str = ""

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
        attempts = (*self.attempts[:number], told, *self.attempts[number + 1:])
        record = msgspec.structs.replace(self, attempts=attempts)
        return record.to(State.ANSWERED) if outcome is Outcome.OK and self.state is State.SENDING else record

    def closed(self, end: End, why: str = "") -> Record:
        """Its end; RecordError for one that can't be true."""
        if end in UNRUN and self.may_have_run:
            raise RecordError(f"{self.id}: can't be closed as {end.value}: an attempt may have run")
        if (end is End.SERVED) is not (self.state is State.ANSWERED):
            raise RecordError(f"{self.id}: can't be closed as {end.value} from {self.state.value}")
        return msgspec.structs.replace(self.to(State.CLOSED), end=end, why=why)

    def claimed(self, by: str, token: int) -> Record:
        """Another's from now on."""
        if self.state is State.CLOSED:
            raise RecordError(f"{self.id}: it is closed")
        return msgspec.structs.replace(self, owner=by, token=token)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have."""
        return any(one.may_have_run for one in self.attempts)

    @property
    def risky(self) -> tuple[Attempt, ...]:
        """The attempts that may have run."""
        return tuple(one for one in self.attempts if one.may_have_run)


def encode(record: Record) -> bytes:
    """As it is kept."""
    return msgspec.json.encode(record)


def decode(data: bytes) -> Record:
    """As it was kept; RecordError for what can't be read, and for what a later version wrote."""
    try:
        told = msgspec.json.decode(data)
        if isinstance(told, dict) and isinstance(told.get("format"), int) and told["format"] > FORMAT:
            raise RecordError(f"{told.get('id', '?')}: of format {told['format']}, ours is {FORMAT}")
        return msgspec.convert(told, Record)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise RecordError(" ".join(str(problem).split())) from problem
