"""Recorders, journals and takers that are broken on purpose, to show that the judge sees it.

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

from coveport.balancing import interface as api
from coveport.balancing.interface import Effect
from coveport.sidecar.intent_log import pending_operation, record_adopter, recorder, replayed_answers
from coveport.sidecar.intent_log.deferred_writes import Late
from coveport.sidecar.intent_log.encryption import Kept
from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.observed_age import Ages, Known
from coveport.sidecar.intent_log.pending_operation import Go, Hand, Stage
from coveport.sidecar.intent_log.record import End, Record, State
from coveport.sidecar.intent_log.record_adopter import as_ours
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.takeover import Decision, Do
from coveport.sidecar.intent_log.takeover_worker import Takers
from coveport.sidecar.leases.store import Done, Entry, Outcome, Put, Refused, Transaction, Unknown


def _plain() -> Kept:
    from coveport.testbed.fault_injection.work.sim import Plain

    return Plain()


@dataclass(frozen=True)
class WorkVariant:
    """What differs, and which of the judge's rules must find it."""

    name: str
    about: str
    rules: tuple[str, ...] = ()
    recorder: type[Recorder] = Recorder
    journal: type[Journal] = Journal
    layout: type[RecordLayout] = RecordLayout
    takers: type[Takers] = Takers
    kept: Callable[[], Kept] = _plain
    while_played: Callable[[], AbstractContextManager[Any]] = nullcontext


class _SweepsByTheWall(Takers):
    """Throws away what its own wall clock takes for old."""

    def __init__(self, *told: Any, **named: Any) -> None:
        super().__init__(*told, **named)
        self._known = _AlwaysKnown(0.0)


class _AlwaysKnown(Known):
    def __init__(self, span_s: float) -> None:
        super().__init__(1.0)

    def at_least(self, now: float, revision: int) -> float:
        return inf


# Recorders.


class _SendsAtOnce(Recorder):
    """Writes down and does not wait for it."""

    def send(self, number: int, step: int, destination: int, go: Go) -> bool:
        super().send(number, step, destination, lambda fence: None)
        found = self._by_number.get(number)
        return found is None or found.stage is Stage.OURS


class _UnknownIsWritten(Recorder):
    """Takes a write without an answer for done."""

    def _adrift(self, one: Hand) -> None:
        one.revision, one.written = one.revision or 1, one.target
        for step in [at for at in one.gates if one.is_durable(at)]:
            one.gates.pop(step)(self._fence(one))
        self._push(one)


class _UnknownIsUnwritten(Recorder):
    """Takes a write without an answer for one that never happens, and goes on sending."""

    def _adrift(self, one: Hand) -> None:
        super()._adrift(one)
        one.may_send = True


class _ForgetsAttempts(Recorder):
    """Tells the module nothing of the attempts that were made."""

    def _begin(self, one: Hand, client: Any, before: tuple[api.Before, ...]) -> None:
        super()._begin(one, client, ())


class _AnswersBefore(Recorder):
    """Says of an answer that it was served before a node has made it: from another's record."""

    def _same(self, one: Hand, record: Record) -> bool | None:
        return True


class _TakesWhatIsOurs(Recorder):
    """Counts a write that is refused as written: the record is its own whatever the store says."""

    def _wrote(self, one: Hand, outcome: Outcome) -> None:
        if isinstance(outcome, Refused):
            outcome = Done("", outcome.revision)
        super()._wrote(one, outcome)


class _AsksOnce(Recorder):
    """Who finds a record open begins anew beside it."""

    async def _done_with(self, one: Hand, client: Any, record: Record, entry: Entry) -> bool:
        if record.open and self._owner(record) is not replayed_answers.Owner.OURS:
            ours = msgspec.structs.replace(
                record,
                owner=self.incarnation,
                token=self.token,
                attempts=(),
                state=State.TAKEN,
                since=0,
                owners=(*record.owners, record.owner),
            )
            taken = await self.claim(record, entry, ours)
            return taken is not None and self._take_on(one, client, ours, taken, entry)
        return await super()._done_with(one, client, record, entry)


# Layouts and journals.


class _NoCompare(RecordLayout):
    """Writes a record whatever stands there."""

    def write(
        self, before: Record | None, revision: int, after: Record, more: tuple[Any, ...] = ()
    ) -> Transaction:
        return replace(super().write(before, revision, after, more), compares=())


class _ClaimsOver(RecordLayout):
    """Claims without a compare."""

    def write(
        self, before: Record | None, revision: int, after: Record, more: tuple[Any, ...] = ()
    ) -> Transaction:
        made = super().write(before, revision, after, more)
        claimed = before is not None and before.owner != after.owner
        return replace(made, compares=()) if claimed else made


class _NoIndex(RecordLayout):
    """Leaves nothing by which what is open is found."""

    def write(
        self, before: Record | None, revision: int, after: Record, more: tuple[Any, ...] = ()
    ) -> Transaction:
        made = super().write(before, revision, after, more)
        return replace(
            made,
            changes=tuple(one for one in made.changes if not (isinstance(one, Put) and "/o/" in one.key)),
        )


class _YoungAges(Ages):
    """Takes what it reads for as old as the reading."""

    def at_most(self, now: float, revision: int) -> float:
        return 0.0


class _Young(Journal):
    def __init__(self, *words: Any, **more: Any) -> None:
        super().__init__(*words, **more)
        self.ages = _YoungAges()


class _LosesAnswers(Journal):
    """Tells of what had no answer that it was refused."""

    def _heard(self, sent: float, floor: int, identity: str, outcome: Outcome) -> Outcome:
        told = super()._heard(sent, floor, identity, outcome)
        return Refused(self._identity, self._floor) if isinstance(told, Unknown) else told


# Takers, and the pure halves.


class _NeverTakes(Takers):
    """Sees to nothing that is lost."""

    async def _see_to(self, incarnation: str) -> None:
        self._lost.pop(incarnation, None)


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

    async def written(late: Late, one: Hand) -> bool:
        record = one.record
        attempts = tuple(msgspec.structs.replace(it, ended=api.Outcome.MOOT) for it in record.attempts)
        one.record = msgspec.structs.replace(record, attempts=attempts, state=State.CLOSED, end=End.REFUSED)
        return bool(await write(late, one))

    return written


def _resends(decide: Any) -> Any:
    """A table that sends what may not run twice."""

    def table(record: Record, left_ms: float, age_ms: float, room_ms: float) -> Decision:
        found: Decision = decide(record, left_ms, age_ms, room_ms)
        unsafe = record.rules.effect is Effect.UNSAFE and record.may_have_run
        return replace(found, do=Do.SEND) if unsafe and record.open else found

    return table


def _takes_sending_for_taken(decide: Any) -> Any:
    """A table that takes an attempt of which nothing was heard for one that was never sent."""

    def table(record: Record, left_ms: float, age_ms: float, room_ms: float) -> Decision:
        ended = tuple(
            msgspec.structs.replace(one, ended=one.ended or api.Outcome.MOOT) for one in record.attempts
        )
        found: Decision = decide(msgspec.structs.replace(record, attempts=ended), left_ms, age_ms, room_ms)
        return found

    return table


def _asks_anywhere(before: Any) -> Any:
    """Tells the module that all was sent where its nodes are now, and just so."""

    def told(one: Hand, now: float, now_ms: float) -> tuple[api.Before, ...]:
        return tuple(replace(it, may_have_run=False) for it in before(one, now, now_ms))

    return told


def _anew(decide_again: Any) -> Any:
    """Takes what may have run once more, as if it were new."""

    def told(record: Record, *rest: Any) -> Any:
        found = decide_again(record, *rest)
        return (
            replayed_answers.Told(replayed_answers.Then.ANEW, "")
            if found.then in (replayed_answers.Then.TOLD, replayed_answers.Then.TRY)
            else found
        )

    return told


def _reopens_all(reopened: Any) -> Any:
    def anew(record: Record, by: str, token: int) -> Record:
        return msgspec.structs.replace(
            record,
            owner=by,
            token=token,
            state=State.TAKEN,
            attempts=(),
            since=0,
            end=None,
            lives=record.lives + 1,
            owners=(*record.owners, record.owner),
        )

    return anew


def _one_id(id_of: Any) -> Any:
    """Ids that several keys share."""
    return lambda key, request: id_of(key[:2], request)


def _young_again(ours: Any) -> Any:
    """Forgets since when the attempts stand there: each claim makes them young."""

    def made(record: Record, entry: Entry, incarnation: str, token: int) -> Record:
        return msgspec.structs.replace(as_ours(record, entry, incarnation, token), since=entry.modified)

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
            while_played=_patched(Late, "write", _says_never_ran),
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
            takers=_SweepsByTheWall,
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
        WorkVariant("never-takes", "sees to nothing that is lost", ("open",), takers=_NeverTakes),
        WorkVariant(
            "resends",
            "a table that sends what may not run twice, past the module",
            ("twice",),
            while_played=_both(
                _patched(record_adopter, "decide", _resends),
                _patched(pending_operation.Hand, "before", _asks_anywhere),
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
            while_played=_patched(pending_operation.Hand, "before", _asks_anywhere),
        ),
        WorkVariant(
            "takes-again",
            "takes what may have run as if it were new",
            ("twice",),
            while_played=_both(
                _patched(recorder, "decide_again", _anew), _patched(Record, "reopened", _reopens_all)
            ),
        ),
        WorkVariant(
            "no-fence",
            "sends however late it comes to it",
            ("twice", "never-run"),
            while_played=_patched(pending_operation.Hand, "fence", lambda _: lambda one, now: True),
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
            while_played=_patched(recorder, "as_ours", _young_again),
        ),
    )
}
