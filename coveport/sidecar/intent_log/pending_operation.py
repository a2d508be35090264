"""One operation that an instance has in hand and writes down: its stages, and the fence of its attempts.

Pure: what is written and when is the recorder's matter.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

import msgspec

from coveport.balancing import interface as api
from coveport.balancing.interface import Effect, Outcome
from coveport.sidecar.intent_log.record import Attempt, End, Record, State
from coveport.sidecar.reducer.operation import Operation

EDGE_MS = 20.0  # so long before the end of a window no byte goes any more: the check is not yet the socket


class Stage(Enum):
    """Where an operation in hand is, for us."""

    OURS = "ours"  # its record is ours as far as we know
    ELSEWHERE = "elsewhere"  # its record is another's, or of an earlier life: its client waits, or is gone
    UNRECORDED = "unrecorded"  # the store did not say: it goes on as without one, or not at all
    OVER = "over"  # answered, and what there was to write is written


MOVES: dict[Stage, frozenset[Stage]] = {
    Stage.OURS: frozenset({Stage.ELSEWHERE, Stage.UNRECORDED, Stage.OVER}),
    Stage.ELSEWHERE: frozenset({Stage.OURS, Stage.OVER}),
    Stage.UNRECORDED: frozenset({Stage.OVER}),
    Stage.OVER: frozenset(),
}

Go = Callable[[Callable[[], bool] | None], None]


@dataclass(slots=True, eq=False)
class Hand:
    """See the head of this file. Times in seconds by a clock that runs through sleep."""

    number: int  # by which the operation is known where it is carried out
    asked: Operation
    record: Record  # as it is
    until: float  # its client's time
    stage: Stage = Stage.OURS
    written: Record | None = None  # as it stands in the store, as far as we know; None: nowhere
    target: Record | None = None  # what is on its way there
    revision: int = 0  # of `written`
    since: int = 0  # revision at which its first attempt stood there
    first_at: float = inf  # no later than when the first attempt that may have run was sent
    writing: bool = False
    may_send: bool = True  # UNRECORDED: whether it may be sent all the same
    took_over: bool = False  # for itself: no client of ours waits for it
    steps: dict[int, int] = field(default_factory=dict)  # attempts of the record, by route step
    gates: dict[int, Go] = field(default_factory=dict)  # route steps that wait to be durable
    numbers: set[int] = field(default_factory=set)  # all by which it was ever known
    answered: bool = False  # its client has its answer, or is gone
    deliver: Callable[[], None] | None = None  # an answer that waits to be durable

    def __post_init__(self) -> None:
        self.numbers.add(self.number)

    def to(self, stage: Stage) -> None:
        """Go on to a stage."""
        if stage not in MOVES[self.stage]:
            raise AssertionError(f"no way from {self.stage} to {stage}")
        self.stage = stage

    def is_durable(self, step: int) -> bool:
        """Whether the attempt of a route step stands in the store."""
        return self.written is not None and self.steps[step] < len(self.written.attempts)

    def fence(self, now: float) -> bool:
        """Whether bytes of an attempt may still go.

        Guards against an owner that stood still: its client's time is over, or the window of what a
        successor may have sent meanwhile.
        """
        if self.stage is not Stage.OURS and not (self.stage is Stage.UNRECORDED and self.may_send):
            return False
        if now >= self.until:
            return False
        rules = self.record.rules
        risky = [one for one in self.record.attempts if one.may_have_run]
        if rules.effect is not Effect.KEYED or len(risky) < 2:  # the one about to go is among them
            return True
        return (now - self.first_at) * 1000 < rules.window_ms - EDGE_MS

    def sending(self, step: int, attempt: Attempt, now: float) -> None:
        """A route step is to be made; RecordError where all tries are made."""
        if not self.record.may_have_run:
            self.first_at = now
        self.record = self.record.sending(attempt)
        self.steps[step] = len(self.record.attempts) - 1

    def ended(self, step: int, outcome: Outcome) -> None:
        """A route step has ended."""
        index = self.steps.get(step)
        if index is not None:
            self.record = self.record.ended(index, outcome)

    def close(self, end: End, why: str, unix: float, answer: bytes = b"") -> None:
        """Its end, as far as we are concerned: the first word counts."""
        if self.record.state is not State.CLOSED:
            self.record = msgspec.structs.replace(self.record, answer=answer).closed(end, why, unix)

    def end_of(self, served: bool, busy: bool) -> tuple[End, str]:
        """How an operation ends that was answered so."""
        if served and self.record.state is State.ANSWERED:
            return End.SERVED, ""
        if not self.record.may_have_run and self.record.state is not State.ANSWERED:
            return (End.REFUSED, "") if busy else (End.NEVER_RAN, "told failed")
        if self.record.state is State.ANSWERED:
            return End.SERVED, "its client was told that it failed"
        if self.took_over:
            return End.UNKNOWN, "taken over, and no answer came"
        return End.FAILED, "told busy" if busy else ""

    def before(self, now: float, now_ms: float) -> tuple[api.Before, ...]:
        """The attempts that were made, as the module is told of them."""
        sent_ms = now_ms - max(0.0, now - self.first_at) * 1000 if self.first_at < inf else now_ms
        return tuple(
            api.Before(one.zone, one.cell, sent_ms, one.may_have_run) for one in self.record.attempts
        )
