"""Recorders, journals and takeover workers that are broken on purpose, to show that the judge finds it.

Each replaces one part of the shipped program by one that leaves out a single thing.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack, nullcontext
from dataclasses import dataclass, replace
from math import inf
from typing import Any
from unittest import mock

import msgspec

from coveport import balancing
from coveport.balancing import Effect
from coveport.sidecar.intent_log import (
    pending_operation,
    record_adopter,
    recorder,
    repeated_requests,
    replay_decision,
)
from coveport.sidecar.intent_log.deferred_writes import DeferredWrites
from coveport.sidecar.intent_log.execution import Client
from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.observed_age import AgeLowerBound, AgeUpperBound
from coveport.sidecar.intent_log.payloads import PayloadCodec
from coveport.sidecar.intent_log.pending_operation import OperationStage, PendingOperation, ResumeSend
from coveport.sidecar.intent_log.presence import OwnerStatus
from coveport.sidecar.intent_log.record import FinalStatus, Record, RecoveryPoint
from coveport.sidecar.intent_log.record_adopter import as_owned
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.replay_decision import ReplayAction
from coveport.sidecar.intent_log.retention_sweeper import RetentionSweeper
from coveport.sidecar.intent_log.takeover import TakeoverAction, TakeoverDecision
from coveport.sidecar.intent_log.takeover_worker import TakeoverWorker
from coveport.sidecar.leases.store import Done, Entry, Outcome, Put, Refused, Transaction, Unknown
from coveport.testbed.fault_injection.work.unencrypted_payloads import UnencryptedPayloads


@dataclass(frozen=True)
class WorkVariant:
    """What differs, and which of the judge's rules must find it."""

    name: str
    about: str
    rules: tuple[str, ...] = ()
    recorder: type[Recorder] = Recorder
    journal: type[Journal] = Journal
    layout: type[RecordLayout] = RecordLayout
    takeover_worker: type[TakeoverWorker] = TakeoverWorker
    sweeper: type[RetentionSweeper] = RetentionSweeper
    codec: Callable[[], PayloadCodec] = UnencryptedPayloads
    while_played: Callable[[], AbstractContextManager[Any]] = nullcontext


class _SweepsByTheWall(RetentionSweeper):
    """Deletes what its own wall clock takes for old."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._ages = _AlwaysKnown(0.0)


class _AlwaysKnown(AgeLowerBound):
    def __init__(self, span_s: float) -> None:
        super().__init__(1.0)

    def at_least(self, now_s: float, revision: int) -> float:
        return inf


# Recorders.


class _SendsAtOnce(Recorder):
    """Writes down and does not wait for it."""

    def send(self, number: int, step: int, destination: int, resume: ResumeSend) -> bool:
        super().send(number, step, destination, lambda fence: None)
        found = self._by_number.get(number)
        return found is None or found.stage is OperationStage.OWNED


class _UnknownIsWritten(Recorder):
    """Takes a write without an answer for done."""

    def _outcome_unknown(self, pending: PendingOperation) -> None:
        pending.revision = pending.revision or 1
        pending.durable_record = pending.record_in_flight
        for step in [step for step in pending.waiting_sends if pending.is_durable(step)]:
            pending.waiting_sends.pop(step)(self._send_check(pending))
        self._schedule_write(pending)


class _UnknownIsUnwritten(Recorder):
    """Takes a write without an answer for one that never happens, and goes on sending."""

    def _outcome_unknown(self, pending: PendingOperation) -> None:
        super()._outcome_unknown(pending)
        pending.may_send = True


class _ForgetsAttempts(Recorder):
    """Tells the module nothing of the attempts that were made."""

    def _execute(
        self,
        pending: PendingOperation,
        client: Client | None,
        earlier_attempts: tuple[balancing.PriorAttempt, ...],
    ) -> None:
        super()._execute(pending, client, ())


class _AnswersBefore(Recorder):
    """Says of an answer that it was served before a node has made it: from another's record."""

    def _is_same_request(self, pending: PendingOperation, record: Record) -> bool | None:
        return True


class _TakesWhatIsOurs(Recorder):
    """Counts a write that is refused as written: the record is its own whatever the store says."""

    def _write_done(self, pending: PendingOperation, outcome: Outcome) -> None:
        if isinstance(outcome, Refused):
            outcome = Done("", outcome.revision)
        super()._write_done(pending, outcome)


class _AsksOnce(Recorder):
    """Who finds a record open begins anew beside it."""

    async def _answer_if_decided(
        self, pending: PendingOperation, client: Client, record: Record, entry: Entry
    ) -> bool:
        if record.is_open and self._owner_status(record) is not OwnerStatus.SELF:
            owned = msgspec.structs.replace(
                record,
                owner=self.incarnation,
                owner_token=self.token,
                attempts=(),
                recovery_point=RecoveryPoint.ACCEPTED,
                first_attempt_revision=0,
                previous_owners=(*record.previous_owners, record.owner),
            )
            revision = await self.claim(record, entry, owned)
            if revision is not None:
                self._adopt_for_client(pending, client, owned, revision)
            return revision is not None
        return await super()._answer_if_decided(pending, client, record, entry)


# Layouts and journals.


class _NoCompare(RecordLayout):
    """Writes a record whatever stands there."""

    def write(self, before: Record | None, revision: int, after: Record) -> Transaction:
        return replace(super().write(before, revision, after), compares=())


class _ClaimsOver(RecordLayout):
    """Claims without a compare."""

    def write(self, before: Record | None, revision: int, after: Record) -> Transaction:
        made = super().write(before, revision, after)
        claimed = before is not None and before.owner != after.owner
        return replace(made, compares=()) if claimed else made


class _NoIndex(RecordLayout):
    """Leaves nothing by which what is open is found."""

    def write(self, before: Record | None, revision: int, after: Record) -> Transaction:
        made = super().write(before, revision, after)
        return replace(
            made,
            changes=tuple(one for one in made.changes if not (isinstance(one, Put) and "/o/" in one.key)),
        )


class _YoungAges(AgeUpperBound):
    """Takes what it reads for as old as the reading."""

    def at_most(self, now_s: float, revision: int) -> float:
        return 0.0


class _Young(Journal):
    def __init__(self, *words: Any, **more: Any) -> None:
        super().__init__(*words, **more)
        self.ages = _YoungAges()


class _LosesAnswers(Journal):
    """Tells of what had no answer that it was refused."""

    def _checked(self, requested_s: float, revision: int, identity: str, outcome: Outcome) -> Outcome:
        checked = super()._checked(requested_s, revision, identity, outcome)
        return Refused(self._identity, self._revision) if isinstance(checked, Unknown) else checked


# Takeover workers, and the pure modules.


class _NeverTakes(TakeoverWorker):
    """Sees to nothing that is lost."""

    async def _take_over_from(self, incarnation: str) -> None:
        self._lost_since.pop(incarnation, None)


def _patched(where: Any, name: str, made: Callable[[Any], Any]) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: mock.patch.object(where, name, made(getattr(where, name)))


def _both(*parts: Callable[[], AbstractContextManager[Any]]) -> Callable[[], AbstractContextManager[Any]]:
    def made() -> AbstractContextManager[Any]:
        stack = ExitStack()
        for one in parts:
            stack.enter_context(one())
        return stack

    return made


def _says_never_ran(write: Any) -> Any:
    """Writes down late that what it could not record was refused."""

    async def written(deferred: DeferredWrites, pending: PendingOperation) -> bool:
        record = pending.record
        attempts = tuple(
            msgspec.structs.replace(attempt, outcome=balancing.Outcome.MOOT) for attempt in record.attempts
        )
        pending.record = msgspec.structs.replace(
            record,
            attempts=attempts,
            recovery_point=RecoveryPoint.CLOSED,
            final_status=FinalStatus.REFUSED,
        )
        return bool(await write(deferred, pending))

    return written


def _resends(decide: Any) -> Any:
    """A table that sends what may not run twice."""

    def table(record: Record, left_ms: float, age_ms: float, send_ms: float) -> TakeoverDecision:
        found: TakeoverDecision = decide(record, left_ms, age_ms, send_ms)
        unsafe = record.policy.effect is Effect.UNSAFE and record.may_have_run
        return replace(found, action=TakeoverAction.SEND) if unsafe and record.is_open else found

    return table


def _takes_sending_for_taken(decide: Any) -> Any:
    """A table that takes an attempt of which nothing was heard for one that was never sent."""

    def table(record: Record, left_ms: float, age_ms: float, send_ms: float) -> TakeoverDecision:
        attempts = tuple(
            msgspec.structs.replace(attempt, outcome=attempt.outcome or balancing.Outcome.MOOT)
            for attempt in record.attempts
        )
        found: TakeoverDecision = decide(
            msgspec.structs.replace(record, attempts=attempts), left_ms, age_ms, send_ms
        )
        return found

    return table


def _asks_anywhere(earlier_attempts: Any) -> Any:
    """Tells the module that all was sent where its nodes are now, and just so."""

    def attempts(
        pending: PendingOperation, now_s: float, now_ms: float
    ) -> tuple[balancing.PriorAttempt, ...]:
        return tuple(
            replace(attempt, may_have_run=False) for attempt in earlier_attempts(pending, now_s, now_ms)
        )

    return attempts


def _anew(decide_replay: Any) -> Any:
    """Takes what may have run once more, as if it were new."""

    def decision(*args: Any, **kwargs: Any) -> Any:
        found = decide_replay(*args, **kwargs)
        return (
            replay_decision.ReplayDecision(ReplayAction.RESTART, "")
            if found.action in (ReplayAction.FAIL, ReplayAction.RETRY)
            else found
        )

    return decision


def _reopens_all(reopened: Any) -> Any:
    def anew(record: Record, incarnation: str, token: int) -> Record:
        return msgspec.structs.replace(
            record,
            owner=incarnation,
            owner_token=token,
            recovery_point=RecoveryPoint.ACCEPTED,
            attempts=(),
            first_attempt_revision=0,
            final_status=None,
            generation=record.generation + 1,
            previous_owners=(*record.previous_owners, record.owner),
        )

    return anew


def _one_id(id_of: Any) -> Any:
    """Ids that several keys share."""
    return lambda key, request: id_of(key[:2], request)


def _young_again(_as_owned: Any) -> Any:
    """Forgets since when the attempts stand there: each claim makes them young."""

    def made(record: Record, entry: Entry, incarnation: str, token: int) -> Record:
        owned = as_owned(record, entry, incarnation, token)
        return msgspec.structs.replace(owned, first_attempt_revision=entry.modified)

    return made


SOUND = WorkVariant("sound", "the shipped program")

VARIANTS: dict[str, WorkVariant] = {
    one.name: one
    for one in (
        WorkVariant(
            "sends-at-once", "sends before it is written down", ("never-run", "twice"), recorder=_SendsAtOnce
        ),
        WorkVariant(
            "unknown-written",
            "takes a write without an answer for done",
            ("twice", "never-run", "open"),
            recorder=_UnknownIsWritten,
        ),
        WorkVariant(
            "unknown-unwritten",
            "goes on sending where nobody knows what is written",
            ("never-run", "twice"),
            recorder=_UnknownIsUnwritten,
        ),
        WorkVariant(
            "says-never-ran",
            "writes late that what went unrecorded was refused",
            ("never-run",),
            while_played=_patched(DeferredWrites, "write", _says_never_ran),
        ),
        WorkVariant(
            "forgets-attempts",
            "tells the module nothing of attempts before",
            ("twice", "tries"),
            recorder=_ForgetsAttempts,
        ),
        WorkVariant(
            "refused-is-written",
            "takes a refused write for done",
            ("twice", "owners", "open"),
            recorder=_TakesWhatIsOurs,
        ),
        WorkVariant(
            "begins-beside", "who finds a record open begins anew", ("twice", "tries"), recorder=_AsksOnce
        ),
        WorkVariant(
            "no-compare",
            "writes records whatever stands there",
            ("owners", "twice", "open"),
            layout=_NoCompare,
        ),
        WorkVariant(
            "claims-over", "claims without a compare", ("owners", "twice", "open"), layout=_ClaimsOver
        ),
        WorkVariant(
            "no-index", "leaves nothing by which the open ones are found", ("open",), layout=_NoIndex
        ),
        WorkVariant(
            "wall-sweep",
            "throws away by wall clocks alone",
            ("twice", "never-run", "owners"),
            sweeper=_SweepsByTheWall,
        ),
        WorkVariant(
            "young-ages", "takes what it reads for as old as the reading", ("twice",), journal=_Young
        ),
        WorkVariant(
            "unknown-refused",
            "takes a write without an answer for refused",
            ("never-run", "twice", "open", "owners"),
            journal=_LosesAnswers,
        ),
        WorkVariant("never-takes", "sees to nothing that is lost", ("open",), takeover_worker=_NeverTakes),
        WorkVariant(
            "resends",
            "a table that sends what may not run twice, past the module",
            ("twice",),
            while_played=_both(
                _patched(record_adopter, "decide", _resends),
                _patched(pending_operation.PendingOperation, "earlier_attempts", _asks_anywhere),
            ),
        ),
        WorkVariant(
            "silence-is-unsent",
            "takes an attempt without a word for one never sent",
            ("twice", "never-run", "open"),
            while_played=_patched(record_adopter, "decide", _takes_sending_for_taken),
        ),
        WorkVariant(
            "asks-anywhere",
            "tells the module that nothing of before may have run",
            ("twice",),
            while_played=_patched(pending_operation.PendingOperation, "earlier_attempts", _asks_anywhere),
        ),
        WorkVariant(
            "takes-again",
            "takes what may have run as if it were new",
            ("twice",),
            while_played=_both(
                _patched(repeated_requests, "decide_replay", _anew),
                _patched(Record, "reopened", _reopens_all),
            ),
        ),
        WorkVariant(
            "no-fence",
            "sends however late it comes to it",
            ("twice", "never-run"),
            while_played=_patched(
                pending_operation.PendingOperation, "is_send_allowed", lambda _: lambda pending, now_s: True
            ),
        ),
        WorkVariant(
            "crossed-keys",
            "gives the answer of another key",
            ("answer",),
            recorder=_AnswersBefore,
            while_played=_patched(recorder, "id_of", _one_id),
        ),
        WorkVariant(
            "young-claims",
            "each claim makes what it claims young",
            ("twice",),
            while_played=_patched(repeated_requests, "as_owned", _young_again),
        ),
    )
}
