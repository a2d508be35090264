"""The thin half of a holder: makes its calls at a store, wakes it, and knows what stands there.

One keeper an instance. Calls never wait for each other, and each has a bounded time, after which its end is
unknown. Every belief and every act goes to a `History`, from which a judge can tell afterwards whether two
ever held at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.effects import (
    AcquireRole,
    Effect,
    GrantLease,
    LogEvent,
    RegisterInstance,
    ReleaseRole,
    RenewLease,
    RevokeLease,
    RoleAcquired,
    RoleLost,
    StoreCall,
)
from coveport.sidecar.leases.errors import StoreError, WatchLostError
from coveport.sidecar.leases.keys import INSTANCE_PREFIX, ROLE_PREFIX
from coveport.sidecar.leases.lease_state import LeaseState
from coveport.sidecar.leases.states import FINAL_SESSION_STATES, SessionState
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Entry,
    Field,
    Outcome,
    Put,
    Refused,
    Store,
    Transaction,
    Unknown,
    fenced,
)

CALL_SHARE = 1 / 3  # of the time to live, after which a call without an answer is given up
LEAVE_S = 1.0  # how long a planned end waits for the store to hear of it
WATCH_AGAIN_S = 0.2  # after a watch that broke, doubled up to the most
WATCH_AGAIN_MOST_S = 2.0
LATE_S = 0.001  # timers come rounded: what is due this soon is due
SOONEST_S = 0.001


class History(Protocol):
    """Who is told what an instance believes and does, with its own fields."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write it down."""


class LeaseClient:
    """One instance's session and duties at a store.

    `prefix`: under which all of an installation stands. `now_s`: a clock that runs through sleep.
    `incarnation`: a word no other process has. `fares`: what is written under our name, asked whenever it
    is written.
    """

    def __init__(
        self,
        store: Store,
        *,
        name: str,
        incarnation: str,
        roles: tuple[str, ...],
        terms: LeaseTerms,
        now_s: Callable[[], float],
        history: History,
        chance: random.Random,
        prefix: str = "coveport/",
        unix_s: Callable[[], float] = lambda: 0.0,
        lease_state: Callable[..., LeaseState] = LeaseState,
    ) -> None:
        self._store = store
        self.name = name
        self._prefix = prefix
        self._now_s = now_s
        self._unix_s = unix_s
        self._history = history
        self._terms = terms
        self._chance = chance
        self.lease_state = lease_state(incarnation, roles, terms, chance)
        self._call_s = terms.ttl_s * CALL_SHARE
        self._tasks: set[asyncio.Task[None]] = set()
        self._watching: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._identity = ""
        self._floor = 0
        self.entries: dict[str, Entry] = {}  # what stands in the store, as far as seen
        self.revision = 0  # up to which `entries` is told
        self.last_answer_at = -1.0  # when the store last answered or told us something
        self.on_acquired: Callable[[str, int], None] = lambda duty, token: None
        self.on_lost: Callable[[str, int, str], None] = lambda duty, token, why: None
        self.on_change: Callable[[str, Entry | None], None] = lambda key, entry: None
        self.call_counts: dict[str, int] = {}  # store calls by kind, and by how they ended
        self._fares = b"{}"
        self._fares_out = False
        self._puts: dict[str, bytes] = {}  # what is being written, or is to be next
        self._closed = False

    # For those who do duties.

    def usable_token(self, duty: str) -> int:
        """The token, where something new may be begun now; else 0."""
        return self.lease_state.usable_token(self._now_s(), duty)

    async def commit_fenced(
        self, duty: str, *changes: Put | Delete, compares: tuple[Compare, ...] = (), description: str = ""
    ) -> Outcome | None:
        """Carry something out as the holder of a duty; None where we do not hold it.

        Keys are without the prefix. Fenced by the token: the store refuses it where the duty is not ours
        any more.
        """
        token = self.usable_token(duty)
        if not token:
            return None
        transaction = fenced(
            self._prefix + ROLE_PREFIX + duty,
            token,
            *(self._whole(one) for one in changes),
            compares=tuple(Compare(self._prefix + one.key, one.field, one.equals) for one in compares),
        )
        self._history(log_events.COMMIT_SENT, duty=duty, token=token, what=description)
        outcome = await self._call("act", self._store.commit(transaction))
        self._history(
            log_events.COMMIT_FINISHED,
            duty=duty,
            token=token,
            what=description,
            end=type(outcome).__name__,
            revision=0 if isinstance(outcome, Unknown) else outcome.revision,
        )
        if isinstance(outcome, Refused):
            self._feed(self.lease_state.handle_watch_lost(self._now_s()))  # it may be another's by now
        return outcome

    async def read(self, prefix: str) -> Done | None:
        """What stands under a prefix now; None where the store does not tell."""
        outcome = await self._call("read", self._store.read(self._prefix + prefix))
        if not isinstance(outcome, Done):
            return None
        cut = len(self._prefix)
        return Done(
            outcome.identity,
            outcome.revision,
            tuple(
                Entry(one.key[cut:], one.value, one.created, one.modified, one.lease)
                for one in outcome.entries
            ),
        )

    def publish_status(self, fares: bytes) -> None:
        """Have this written under our name, now and after each return. Lost where the session is."""
        if fares != self._fares:
            self._fares = fares
            self._write_fares()

    def publish(self, key: str, value: bytes) -> None:
        """Have this stand for as long as our session does. The last one counts."""
        waiting = key in self._puts
        self._puts[key] = value
        if not waiting and not self._closed and self.lease_state.in_session:
            self._begin(self._put_all(key))
        elif not waiting:
            del self._puts[key]

    async def _put_all(self, key: str) -> None:
        while key in self._puts:
            value, lease = self._puts[key], self.lease_state.lease
            if not lease:
                del self._puts[key]  # the session ended in this very turn: unbound it would stand for ever
                return
            await self._call(
                "put", self._store.commit(Transaction((), (Put(self._prefix + key, value, lease),)))
            )
            if self._puts.get(key) is value:
                del self._puts[key]

    def set_unhealthy(self, why: str) -> None:
        """We can't do duties well; empty: we can again."""
        self._feed(self.lease_state.set_unhealthy(self._now_s(), why))

    def set_contending(self, duty: str, wished: bool, why: str) -> None:
        """Contend for a duty or keep off it."""
        self._feed(self.lease_state.set_contending(self._now_s(), duty, wished, why))

    def step_down(self, duty: str, why: str) -> None:
        """Hand a duty on once."""
        self._feed(self.lease_state.step_down(self._now_s(), duty, why))

    @property
    def instances(self) -> Mapping[str, bytes]:
        """Who is there, and how it fares, by name."""
        return {
            key[len(INSTANCE_PREFIX) :]: one.value
            for key, one in self.entries.items()
            if key.startswith(INSTANCE_PREFIX)
        }

    # Life.

    def start(self) -> None:
        """Begin; there must be a running loop."""
        self._watching = asyncio.ensure_future(self._watch())
        self._wake()

    async def close(self) -> None:
        """Hand on all and end; at most a second where the store does not answer."""
        self._closed = True
        self._feed(self.lease_state.close(self._now_s()))
        if self._timer is not None:
            self._timer.cancel()
        if self._watching is not None:
            self._watching.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=LEAVE_S)
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(OSError, StoreError, TimeoutError):
            await asyncio.wait_for(self._store.close(), LEAVE_S)

    def _whole(self, one: Put | Delete) -> Put | Delete:
        if isinstance(one, Delete):
            return Delete(self._prefix + one.key)
        return Put(self._prefix + one.key, one.value, one.lease)

    # The holder's calls.

    def _wake(self) -> None:
        self._timer = None
        self._feed(self.lease_state.handle_timer(self._now_s() + LATE_S))

    def _feed(self, effects: list[Effect]) -> None:
        for one in effects:
            if isinstance(one, LogEvent):
                self._history(one.event, detail=one.detail)
            elif isinstance(one, RoleAcquired):
                self._history(
                    log_events.ROLE_ACQUIRED,
                    duty=one.role,
                    token=one.token,
                    until=round(self.lease_state.believed_until, 4),
                )
                self.on_acquired(one.role, one.token)
            elif isinstance(one, RoleLost):
                self._history(log_events.ROLE_LOST, duty=one.role, token=one.token, why=one.reason)
                self.on_lost(one.role, one.token, one.reason)
            elif isinstance(one, RevokeLease):
                self._begin(self._drop(one.lease))
            else:
                self._begin(self._answer(one))
        if self._timer is not None:
            self._timer.cancel()
        if not self._closed and self.lease_state.session not in (
            SessionState.CLOSED,
            SessionState.STORE_RESET,
        ):
            wait = max(self.lease_state.next_timer() - self._now_s(), SOONEST_S)
            self._timer = asyncio.get_running_loop().call_later(min(wait, self._terms.ttl_s), self._wake)

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drop(self, lease: int) -> None:
        await self._call("revoke", self._store.revoke(lease))

    async def _answer(self, one: StoreCall) -> None:
        if isinstance(one, GrantLease):
            outcome = await self._call("grant", self._store.grant(one.ttl_s))
        elif isinstance(one, RenewLease):
            outcome = await self._call("keep", self._store.renew(one.lease))
        elif isinstance(one, RegisterInstance):
            key = self._prefix + INSTANCE_PREFIX + self.name
            outcome = await self._call(
                "arrive",
                self._store.commit(
                    Transaction((Compare(key, Field.CREATED, 0),), (Put(key, self._fares, one.lease),))
                ),
            )
        elif isinstance(one, AcquireRole):
            key = self._prefix + ROLE_PREFIX + one.role
            outcome = await self._call(
                "claim",
                self._store.commit(
                    Transaction((Compare(key, Field.CREATED, 0),), (Put(key, self._claim(), one.lease),))
                ),
            )
        elif isinstance(one, ReleaseRole):
            key = self._prefix + ROLE_PREFIX + one.role
            outcome = await self._call("release", self._store.commit(fenced(key, one.token, Delete(key))))
        else:
            outcome = await self._call("look", self._store.read(self._prefix + ROLE_PREFIX))
            if isinstance(outcome, Done):
                found = {entry.key[len(self._prefix + ROLE_PREFIX) :]: entry for entry in outcome.entries}
                for duty in self.lease_state.roles:
                    self._feed(
                        self.lease_state.handle_role_key(
                            self._now_s(), duty, found.get(duty), outcome.revision
                        )
                    )
        if self._closed and not isinstance(one, ReleaseRole):
            return
        self._feed(self.lease_state.handle_outcome(self._now_s(), one.call, outcome))
        if isinstance(one, RenewLease) and isinstance(outcome, Done):
            self._history(log_events.LEASE_RENEWED, until=round(self.lease_state.believed_until, 4))
        if isinstance(one, RegisterInstance):
            self._write_fares()

    def _claim(self) -> bytes:
        return f"{self.lease_state.incarnation} {self._unix_s():.3f}".encode()

    async def _call(self, kind: str, call: Coroutine[Any, Any, Outcome]) -> Outcome:
        """Make a call: bounded in time, counted, and its answer held against what was known before it."""
        # What a watch has told was carried out, too, before this call is sent.
        identity, floor = self._identity, max(self._floor, self.revision)
        outcome: Outcome
        try:
            outcome = await asyncio.wait_for(call, self._call_s)
        except TimeoutError:
            outcome = Unknown(f"no answer in {self._call_s:.2f} s")
        except StoreError as problem:
            outcome = Unknown(str(problem))
            self._went_back(str(problem))
        count = f"{kind}_{type(outcome).__name__.lower()}"
        self.call_counts[count] = self.call_counts.get(count, 0) + 1
        if isinstance(outcome, Unknown):
            self._history(log_events.STORE_CALL_UNKNOWN, call=kind, why=outcome.why)
            return outcome
        self.last_answer_at = self._now_s()
        if identity and outcome.identity != identity:
            self._went_back(f"another store: {outcome.identity}, not {identity}")
        elif outcome.revision < floor:
            self._went_back(f"its revision went back from {floor} to {outcome.revision}")
        else:
            self._identity, self._floor = outcome.identity, max(self._floor, outcome.revision)
            return outcome
        return Unknown("the store is not the one we knew")

    def _went_back(self, why: str) -> None:
        if self.lease_state.session is not SessionState.STORE_RESET:
            self._feed(self.lease_state.handle_outcome(self._now_s(), 0, Unknown(why), store_reset=why))

    # What stands there.

    async def _watch(self) -> None:
        failures = 0
        while self.lease_state.session not in FINAL_SESSION_STATES:
            whole = await self.read("")
            if whole is not None:
                failures = 0
                self._stands({one.key: one for one in whole.entries}, whole.revision)
                try:
                    async for changes in self._store.watch(self._prefix, whole.revision):
                        self.last_answer_at = self._now_s()
                        for change in changes:
                            self._changed(change)
                except (WatchLostError, StoreError) as problem:
                    self._history(log_events.WATCH_LOST, why=str(problem))
                self._feed(self.lease_state.handle_watch_lost(self._now_s()))
            failures += 1
            wait = min(WATCH_AGAIN_MOST_S, WATCH_AGAIN_S * 2 ** min(failures - 1, 10))
            await asyncio.sleep(wait * self._chance.uniform(0.5, 1.0))

    def _stands(self, entries: dict[str, Entry], revision: int) -> None:
        if revision < self.revision:
            return  # a call that was overtaken
        gone = [key for key in self.entries if key not in entries]
        news = [one for key, one in entries.items() if self.entries.get(key) != one]
        self.entries = entries
        self.revision = revision
        self._count()
        for key in gone:
            self.on_change(key, None)
        for one in news:
            self.on_change(one.key, one)
        for duty in self.lease_state.roles:
            self._feed(
                self.lease_state.handle_role_key(
                    self._now_s(), duty, entries.get(ROLE_PREFIX + duty), revision
                )
            )

    def _changed(self, change: Change) -> None:
        key, entry = change.key[len(self._prefix) :], change.entry
        if change.revision < self.revision:
            return
        self.revision = change.revision
        if entry is None:
            self.entries.pop(key, None)
        else:
            entry = Entry(key, entry.value, entry.created, entry.modified, entry.lease)
            self.entries[key] = entry
        if key.startswith(INSTANCE_PREFIX):
            self._count()
        self.on_change(key, entry)
        if key.startswith(ROLE_PREFIX):
            self._feed(
                self.lease_state.handle_role_key(
                    self._now_s(), key[len(ROLE_PREFIX) :], entry, change.revision
                )
            )

    def _handle_role_key(self, duty: str, entry: Entry | None, revision: int) -> None:
        self._feed(self.lease_state.handle_role_key(self._now_s(), duty, entry, revision))

    def _count(self) -> None:
        self.lease_state.instances = max(1, sum(key.startswith(INSTANCE_PREFIX) for key in self.entries))

    def _write_fares(self) -> None:
        if not self._fares_out and not self._closed and self.lease_state.in_session:
            self._fares_out = True
            self._begin(self._put_fares())

    async def _put_fares(self) -> None:
        key, written = self._prefix + INSTANCE_PREFIX + self.name, self._fares
        lease = self.lease_state.lease
        if not lease:
            # Guards against a session that ended in this very turn: unbound, our name would be taken for
            # ever, by ourselves. The next arrival writes it.
            self._fares_out = False
            return
        # Bound to our lease: refused where that is gone, so it never outlives us.
        outcome = await self._call("fares", self._store.commit(Transaction((), (Put(key, written, lease),))))
        self._fares_out = False
        if isinstance(outcome, Unknown) and not self._closed:
            await asyncio.sleep(self._call_s)
            self._write_fares()
        elif written != self._fares:
            self._write_fares()
