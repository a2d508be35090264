"""Lease states, lease clients and runners that are broken on purpose, to show that the judge sees it.

Each replaces one part of the shipped program by one that leaves out a single thing.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.effects import Effect
from coveport.sidecar.leases.keys import ROLE_PREFIX, STATE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.lease_state import NOT_RENEWED, LeaseState
from coveport.sidecar.leases.role import Role
from coveport.sidecar.leases.states import RoleState, SessionState
from coveport.sidecar.leases.store import (
    Compare,
    Delete,
    Done,
    Entry,
    Outcome,
    Put,
    Refused,
    Transaction,
    Unknown,
)
from coveport.sidecar.singletons.drill import Drill
from coveport.sidecar.singletons.singleton import Step, StoredState
from coveport.sidecar.singletons.singleton_runner import SingletonRunner
from coveport.sidecar.singletons.slow_start_coordinator import SlowStartCoordinator
from coveport.sidecar.singletons.slow_start_messages import CoordinatorState


@dataclass(frozen=True)
class Variant:
    """What differs, and which of the judge's rules must find it."""

    name: str
    about: str
    rules: tuple[str, ...] = ()
    holder: Callable[..., LeaseState] = LeaseState
    lease_client: type[LeaseClient] = LeaseClient
    runner: type[SingletonRunner] = SingletonRunner
    drill: Callable[[str], Drill] = Drill
    warden: Callable[..., SlowStartCoordinator] = SlowStartCoordinator
    clock_stops: bool = False  # its clock stands still while its machine sleeps


# States of a lease.


class _FromTheAnswer(LeaseState):
    def handle_outcome(self, now: float, call: int, outcome: Outcome, store_reset: str = "") -> list[Effect]:
        asked = call in (self._session_call, self._renewal[0] if self._renewal else 0)
        done = super().handle_outcome(now, call, outcome, store_reset)
        if asked and isinstance(outcome, Done):
            self._renewal_sent_at = now
        return done


class _WholeTtl(LeaseTerms):
    @property
    def local_validity_s(self) -> float:
        return self.ttl_s * 1.05  # no margin, no drift, and a timer's grace as one might grant oneself


def _no_margin(incarnation: str, duties: tuple[str, ...], terms: LeaseTerms, rng: Any) -> LeaseState:
    return LeaseState(incarnation, duties, _WholeTtl(terms.ttl_s, 1e-6, 0.0), rng)


class _UnknownIsDone(LeaseState):
    def _handle_renewal(self, now: float, outcome: Outcome) -> None:
        if isinstance(outcome, Unknown):
            outcome = Done("", 0)
        super()._handle_renewal(now, outcome)


class _UnknownClaimIsOurs(LeaseState):
    def _handle_role_outcome(self, now: float, role: Role, outcome: Outcome) -> None:
        if role.state is RoleState.ACQUIRING and isinstance(outcome, Unknown):
            role.call = 0
            self._acquire(now, role, role.known_revision + 1)
            return
        super()._handle_role_outcome(now, role, outcome)


class _UnknownClaimIsRefused(LeaseState):
    def _observe_role_key(self, now: float, role: Role, entry: Entry | None) -> None:
        # It takes a key that it finds for somebody else's, its own too.
        if entry is not None and role.state is not RoleState.HELD:
            if role.state in (RoleState.WAITING, RoleState.UNCERTAIN):
                role.set_state(RoleState.IDLE)
            return
        super()._observe_role_key(now, role, entry)


class _NeverOver(LeaseState):
    def _advance(self, now: float) -> None:
        if self.in_session and now >= self.session_valid_until - self.terms.margin_s:
            self._renewal_sent_at = now  # the clock alone never ends it: only the store's word does
        super()._advance(now)


class _TakesOldNews(LeaseState):
    def handle_role_key(self, now: float, name: str, entry: Entry | None, revision: int) -> list[Effect]:
        role = self.roles.get(name)
        if role is not None:
            role.known_revision = 0
            if entry is None and role.state is RoleState.HELD and revision < role.token:
                revision = role.token
        return super().handle_role_key(now, name, entry, revision)


class _NeverTriesAgain(LeaseState):
    def _expire_session(self, now: float, reason: str) -> None:
        super()._expire_session(now, reason)
        self._next_request_at = float("inf")


class _KeepsTheLease(LeaseState):
    """After its session is over it goes on with the same lease, and believes in what it held."""

    def _expire_session(self, now: float, reason: str) -> None:
        if reason == NOT_RENEWED:
            self._renewal_sent_at = now
            return
        super()._expire_session(now, reason)


# Lease clients.


class _NoFence(LeaseClient):
    async def commit_fenced(
        self, duty: str, *changes: Put | Delete, compares: tuple[Compare, ...] = (), description: str = ""
    ) -> Outcome | None:
        token = self.usable_token(duty)
        if not token:
            return None
        self._history(log_events.COMMIT_SENT, duty=duty, token=token, what=description)
        outcome = await self._call(
            "act", self._store.commit(Transaction((), tuple(map(self._with_prefix, changes))))
        )
        self._history(
            log_events.COMMIT_FINISHED,
            duty=duty,
            token=token,
            what=description,
            end=outcome.kind,
            revision=0 if isinstance(outcome, Unknown) else outcome.revision,
        )
        return outcome


class _ActsOnBelief(LeaseClient):
    """Holds its own word for enough, and fences with whatever token stands."""

    async def commit_fenced(
        self, duty: str, *changes: Put | Delete, compares: tuple[Compare, ...] = (), description: str = ""
    ) -> Outcome | None:
        token = self.lease_state.valid_token(self._now_s(), duty)
        if not token:
            return None
        self._history(log_events.COMMIT_SENT, duty=duty, token=token, what=description)
        outcome = await self._call(
            "act", self._store.commit(Transaction((), tuple(map(self._with_prefix, changes))))
        )
        self._history(
            log_events.COMMIT_FINISHED,
            duty=duty,
            token=token,
            what=description,
            end=outcome.kind,
            revision=0 if isinstance(outcome, Unknown) else outcome.revision,
        )
        return outcome


class _ClaimsOver(LeaseClient):
    """Claims without a compare: whoever holds it loses it."""

    async def _call(self, kind: str, call: Any) -> Outcome:
        if kind == "claim":
            call.close()
            duty = next(
                name for name, one in self.lease_state.roles.items() if one.state is RoleState.ACQUIRING
            )
            key = self._prefix + ROLE_PREFIX + duty
            call = self._store.commit(
                Transaction((), (Put(key, self.lease_state.incarnation.encode(), self.lease_state.lease),))
            )
        return await super()._call(kind, call)


class _ReleasesAnybodys(LeaseClient):
    """Deletes the key whosoever it is, and keeps no session's end to itself."""

    async def _call(self, kind: str, call: Any) -> Outcome:
        if kind == "look" and self.lease_state.session is SessionState.ACTIVE:
            for duty, one in self.lease_state.roles.items():
                if one.state is RoleState.IDLE and self._rng.random() < 0.2:
                    await super()._call(
                        "release",
                        self._store.commit(Transaction((), (Delete(self._prefix + ROLE_PREFIX + duty),))),
                    )
        return await super()._call(kind, call)


# Runners and drills.


class _StepsTwice(SingletonRunner):
    """Sends a step whose end is unknown once more, without a look at what stands."""

    async def _step(self, token: int, state: StoredState) -> StoredState | None:
        step = self.role.decide(self._now_s(), state.value, self._lease_client.entries)
        assert step is not None
        key = STATE_PREFIX + self.role.name
        for _ in range(2):
            outcome = await self._lease_client.commit_fenced(
                self.role.name, Put(key, step.state), description=step.description
            )
            if isinstance(outcome, Done):
                return StoredState(step.state, outcome.revision)
        return None


class _GoesOnFromMemory(SingletonRunner):
    """After a step without an answer it goes on as if that had been done, or refused, as the draw falls."""

    async def _step(self, token: int, state: StoredState) -> StoredState | None:
        step = self.role.decide(self._now_s(), state.value, self._lease_client.entries)
        assert step is not None
        outcome = await self._lease_client.commit_fenced(
            self.role.name, Put(STATE_PREFIX + self.role.name, step.state), description=step.description
        )
        refused = isinstance(outcome, Refused) or outcome is None
        return state if refused else StoredState(step.state, 0)


class _ReadsTooEarly(SingletonRunner):
    """Takes over from what it saw of the state before the duty was its own, and compares no revision."""

    async def read_state(self) -> StoredState | None:
        entry = self._lease_client.entries.get(STATE_PREFIX + self.role.name)
        return StoredState(None, 0) if entry is None else StoredState(entry.value, entry.modified)

    async def _step(self, token: int, state: StoredState) -> StoredState | None:
        step = self.role.decide(self._now_s(), state.value, self._lease_client.entries)
        assert step is not None
        outcome = await self._lease_client.commit_fenced(
            self.role.name, Put(STATE_PREFIX + self.role.name, step.state), description=step.description
        )
        return StoredState(step.state, outcome.revision) if isinstance(outcome, Done) else None


class _ForgetsGrants(Drill):
    """A successor begins anew: it knows of no count but its own."""

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        if state is not None and json.loads(state)["by"] != self.incarnation:
            state = None
        return super().decide(now, state, entries)


class _DeafRunner(SingletonRunner):
    """Goes on with its steps when the duty is not its own any more."""

    def stop(self) -> None:
        pass


class _ForgetsWhatWasGranted(SlowStartCoordinator):
    """A successor that counts nothing of its predecessor's as in use."""

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        if state is not None:
            stored = msgspec.json.decode(state, type=CoordinatorState)
            if stored.written_by != self._incarnation:
                state = msgspec.json.encode(CoordinatorState(stored.written_by, stored.step))
        return super().decide(now, state, entries)


class _GrantsWithoutEnd(SlowStartCoordinator):
    """Counts what it granted as used up at once."""

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        if state is not None:
            stored = msgspec.json.decode(state, type=CoordinatorState)
            state = msgspec.json.encode(CoordinatorState(stored.written_by, stored.step, {}, stored.answered))
        return super().decide(now, state, entries)


SOUND = Variant("sound", "the shipped program")

VARIANTS: dict[str, Variant] = {
    one.name: one
    for one in (
        Variant(
            "no-fence",
            "acts compare neither token nor state",
            ("order", "once", "lost"),
            lease_client=_NoFence,
        ),
        Variant(
            "acts-on-belief",
            "acts by its own belief, wary or not, without a compare",
            ("order", "once", "lost"),
            lease_client=_ActsOnBelief,
        ),
        Variant(
            "from-the-answer",
            "counts its time from when the answer came",
            ("overlap",),
            holder=_FromTheAnswer,
        ),
        Variant(
            "no-margin",
            "believes for the whole time to live and a little more",
            ("overlap",),
            holder=_no_margin,
        ),
        Variant(
            "unknown-renewal-done",
            "takes a renewal without an answer for done",
            ("overlap",),
            holder=_UnknownIsDone,
        ),
        Variant(
            "unknown-claim-ours",
            "takes a claim without an answer for its own",
            ("overlap", "again", "crash"),
            holder=_UnknownClaimIsOurs,
        ),
        Variant(
            "unknown-claim-refused",
            "never takes up a claim whose answer was lost",
            ("again",),
            holder=_UnknownClaimIsRefused,
        ),
        Variant("never-over", "does not end a holding by the clock", ("overlap",), holder=_NeverOver),
        Variant(
            "keeps-the-lease",
            "goes on with a session that was not renewed in time",
            ("overlap",),
            holder=_KeepsTheLease,
        ),
        Variant(
            "never-again", "gives up once a session of its own was over", ("again",), holder=_NeverTriesAgain
        ),
        Variant(
            "clock-stops", "its clock stands still while its machine sleeps", ("overlap",), clock_stops=True
        ),
        Variant("claims-over", "claims without a compare", ("overlap", "order"), lease_client=_ClaimsOver),
        Variant(
            "releases-anybodys",
            "deletes a key that is not its own",
            ("overlap",),
            lease_client=_ReleasesAnybodys,
        ),
        Variant(
            "steps-twice", "does a step again whose end is unknown", ("once", "lost"), runner=_StepsTwice
        ),
        Variant(
            "goes-on-from-memory",
            "takes a step without an answer for done",
            ("once",),
            runner=_GoesOnFromMemory,
        ),
        Variant(
            "reads-too-early",
            "takes over from what it saw before it held",
            ("once", "lost"),
            runner=_ReadsTooEarly,
        ),
        Variant(
            "forgets-what-was-granted",
            "a warden that takes over counts nothing as in use",
            ("flood",),
            warden=_ForgetsWhatWasGranted,
        ),
        Variant(
            "grants-without-end",
            "a warden counts what it granted as used up",
            ("flood",),
            warden=_GrantsWithoutEnd,
        ),
        Variant("forgets-grants", "a successor begins anew", ("lost", "once"), drill=_ForgetsGrants),
    )
}
