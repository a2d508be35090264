"""Client of a lease store: carries out the effects of `LeaseState` for one instance's session and roles.

Each instance has one client. Calls run concurrently, and each has a time-out, after which its outcome is
unknown. State changes and commits are recorded in a `History`, from which a checker can determine later
whether two instances ever held a role at the same time.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

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
from coveport.sidecar.leases.session_values import SessionValues
from coveport.sidecar.leases.states import FINAL_SESSION_STATES, SessionState
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Entry,
    Outcome,
    Put,
    Refused,
    Store,
    Transaction,
    Unknown,
    create,
    fenced,
)
from coveport.sidecar.leases.store_calls import History, StoreCalls
from coveport.sidecar.leases.store_view import KeyChange, StoreView

CALL_TIMEOUT_SHARE = 1 / 3  # share of the time to live: leaves time to repeat a lost renewal
CLOSE_TIMEOUT_S = 1.0  # time for the store calls of a shutdown
WATCH_BACKOFF_S = 0.2  # delay of the first new watch after a lost watch; doubles up to the maximum
MAX_WATCH_BACKOFF_S = 2.0
MAX_WATCH_BACKOFF_DOUBLINGS = 10  # limits the exponent; the maximum backoff is reached earlier
WATCH_BACKOFF_JITTER = (0.5, 1.0)  # range of the random factor of the backoff
TIMER_GRACE_S = 0.001  # deadlines at most this far away count as reached, because timers are rounded
MIN_TIMER_S = 0.001  # shortest delay of a timer


class LeaseClient:
    """The session and the roles of one instance at a store.

    `incarnation` identifies this process in every key that it writes; `prefix` starts all keys of the
    installation; `now_s` is a clock that keeps counting during suspend; `unix_s` gives the wall-clock time,
    which is written to role keys for operators only.

    `on_acquired` is called with a role and its fencing token, `on_lost` with a role, the token and a reason,
    `on_change` with each changed key (without the prefix) and its entry, or None if it was deleted.
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
        rng: random.Random,
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
        self._rng = rng
        self.lease_state = lease_state(incarnation, roles, terms, rng)
        timeout_s = terms.ttl_s * CALL_TIMEOUT_SHARE
        self._calls = StoreCalls(timeout_s, history, self._handle_store_reset)
        self._view = StoreView(prefix)
        self._values = SessionValues(
            self.lease_state, INSTANCE_PREFIX + name, self._write, self._start_task, timeout_s
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._watching: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self.on_acquired: Callable[[str, int], None] = lambda role, token: None
        self.on_lost: Callable[[str, int, str], None] = lambda role, token, reason: None
        self.on_change: Callable[[str, Entry | None], None] = lambda key, entry: None

    # Calls of singleton roles.

    def usable_token(self, role: str) -> int:
        """Return the role's fencing token if new work may be started now, else 0."""
        return self.lease_state.usable_token(self._now_s(), role)

    async def commit_fenced(
        self, role: str, *changes: Put | Delete, compares: tuple[Compare, ...] = (), description: str = ""
    ) -> Outcome | None:
        """Commit changes as the holder of a role; return None if this instance does not hold the role.

        Keys are without the prefix. The transaction compares the fencing token, so the store refuses it
        once this instance has lost the role.
        """
        token = self.usable_token(role)
        if not token:
            return None
        transaction = fenced(
            self._prefix + ROLE_PREFIX + role,
            token,
            *map(self._with_prefix, changes),
            compares=tuple(
                Compare(self._prefix + compare.key, compare.field, compare.equals) for compare in compares
            ),
        )
        self._history(log_events.COMMIT_SENT, duty=role, token=token, what=description)
        outcome = await self._call("act", self._store.commit(transaction))
        self._history(
            log_events.COMMIT_FINISHED,
            duty=role,
            token=token,
            what=description,
            end=outcome.kind,
            revision=0 if isinstance(outcome, Unknown) else outcome.revision,
        )
        if isinstance(outcome, Refused):
            # Another instance may hold the role by now.
            self._apply(self.lease_state.handle_watch_lost(self._now_s()))
        return outcome

    async def read(self, prefix: str) -> Done | None:
        """Return the current entries under a prefix; None if the outcome of the read is unknown."""
        outcome = await self._call("read", self._store.read(self._prefix + prefix))
        if not isinstance(outcome, Done):
            return None
        entries = tuple(map(self._view.without_prefix, outcome.entries))
        return Done(outcome.identity, outcome.revision, entries)

    # Calls of the instance.

    @property
    def entries(self) -> Mapping[str, Entry]:
        """The last known entries of the store under the prefix, by key."""
        return self._view.entries

    @property
    def instances(self) -> Mapping[str, bytes]:
        """The status of each registered instance, by name."""
        return self._view.instances

    @property
    def call_counts(self) -> Mapping[str, int]:
        """The number of calls to the store, by kind of call and outcome."""
        return self._calls.counts

    def publish_status(self, status: bytes) -> None:
        """Write the instance's status now and after each registration; the status ends with the session."""
        self._values.publish_status(status)

    def publish(self, key: str, value: bytes) -> None:
        """Write a value that is deleted when the session ends. Later values of a key replace earlier ones."""
        self._values.publish(key, value)

    def set_unhealthy(self, reason: str) -> None:
        """Release all held roles and contend for none until called again with an empty reason."""
        self._apply(self.lease_state.set_unhealthy(self._now_s(), reason))

    def set_contending(self, role: str, *, contending: bool, reason: str) -> None:
        """Contend for a role, or release the role and stop contending."""
        effects = self.lease_state.set_contending(self._now_s(), role, contending=contending, reason=reason)
        self._apply(effects)

    def step_down(self, role: str, reason: str) -> None:
        """Release a role, and rest before contending again, so that another instance can acquire it."""
        self._apply(self.lease_state.step_down(self._now_s(), role, reason))

    def start(self) -> None:
        """Start the watch and the timers; requires a running event loop."""
        self._watching = asyncio.ensure_future(self._watch())
        self._handle_timer()

    async def close(self) -> None:
        """Release all roles and stop; takes up to twice CLOSE_TIMEOUT_S if the store does not answer."""
        self._closed = True
        self._values.close()
        self._apply(self.lease_state.close(self._now_s()))
        if self._timer is not None:
            self._timer.cancel()
        if self._watching is not None:
            self._watching.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(OSError, StoreError, TimeoutError):
            await asyncio.wait_for(self._store.close(), CLOSE_TIMEOUT_S)

    # Effects of the lease state.

    def _handle_timer(self) -> None:
        self._timer = None
        self._apply(self.lease_state.handle_timer(self._now_s() + TIMER_GRACE_S))

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._apply_one(effect)
        if self._timer is not None:
            self._timer.cancel()
        if not self._closed and self.lease_state.session not in FINAL_SESSION_STATES:
            wait_s = max(self.lease_state.next_timer() - self._now_s(), MIN_TIMER_S)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(min(wait_s, self._terms.ttl_s), self._handle_timer)

    def _apply_one(self, effect: Effect) -> None:
        match effect:
            case LogEvent(event, detail):
                self._history(event, detail=detail)
            case RoleAcquired(role, token):
                until = round(self.lease_state.session_valid_until, 4)
                self._history(log_events.ROLE_ACQUIRED, duty=role, token=token, until=until)
                self.on_acquired(role, token)
            case RoleLost(role, token, reason):
                self._history(log_events.ROLE_LOST, duty=role, token=token, why=reason)
                self.on_lost(role, token, reason)
            case RevokeLease(lease):
                self._start_task(self._revoke(lease))
            case _:
                self._start_task(self._carry_out(effect))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _revoke(self, lease: int) -> None:
        await self._call("revoke", self._store.revoke(lease))

    async def _carry_out(self, call: StoreCall) -> None:
        outcome = await self._make(call)
        # While closing, only the outcomes of releases matter; all other calls belong to the revoked session.
        if self._closed and not isinstance(call, ReleaseRole):
            return
        self._apply(self.lease_state.handle_outcome(self._now_s(), call.call, outcome))
        if isinstance(call, RenewLease) and isinstance(outcome, Done):
            self._history(log_events.LEASE_RENEWED, until=round(self.lease_state.session_valid_until, 4))
        if isinstance(call, RegisterInstance):
            self._values.write_status()

    async def _make(self, call: StoreCall) -> Outcome:
        """Make a call. The kind of call is part of the names of counters and must not change."""
        match call:
            case GrantLease():
                return await self._call("grant", self._store.grant(call.ttl_s))
            case RenewLease():
                return await self._call("keep", self._store.renew(call.lease))
            case RegisterInstance():
                key = self._prefix + INSTANCE_PREFIX + self.name
                status = self._values.status
                return await self._call("arrive", self._store.commit(create(key, status, call.lease)))
            case AcquireRole():
                key = self._prefix + ROLE_PREFIX + call.role
                value = f"{self.lease_state.incarnation} {self._unix_s():.3f}".encode()
                return await self._call("claim", self._store.commit(create(key, value, call.lease)))
            case ReleaseRole():
                key = self._prefix + ROLE_PREFIX + call.role
                return await self._call("release", self._store.commit(fenced(key, call.token, Delete(key))))
            case _:
                return await self._read_roles()

    async def _read_roles(self) -> Outcome:
        prefix = self._prefix + ROLE_PREFIX
        outcome = await self._call("look", self._store.read(prefix))
        if isinstance(outcome, Done):
            entries = {entry.key.removeprefix(prefix): entry for entry in outcome.entries}
            for role in self.lease_state.roles:
                self._handle_role_key(role, entries.get(role), outcome.revision)
        return outcome

    async def _write(self, kind: str, put: Put) -> Outcome:
        return await self._call(kind, self._store.commit(Transaction((), (self._with_prefix(put),))))

    async def _call(self, kind: str, call: Coroutine[Any, Any, Outcome]) -> Outcome:
        return await self._calls.make(kind, call, self._view.revision)

    def _with_prefix(self, change: Put | Delete) -> Put | Delete:
        if isinstance(change, Delete):
            return Delete(self._prefix + change.key)
        return Put(self._prefix + change.key, change.value, change.lease)

    def _handle_store_reset(self, reason: str) -> None:
        if self.lease_state.session is not SessionState.STORE_RESET:
            effects = self.lease_state.handle_outcome(self._now_s(), 0, Unknown(reason), store_reset=reason)
            self._apply(effects)

    # The watch.

    async def _watch(self) -> None:
        failures = 0
        while self.lease_state.session not in FINAL_SESSION_STATES:
            current = await self.read("")
            if current is not None:
                failures = 0
                self._replace_view(current)
                await self._follow_changes(current.revision)
                self._apply(self.lease_state.handle_watch_lost(self._now_s()))
            doublings = min(failures, MAX_WATCH_BACKOFF_DOUBLINGS)
            failures += 1
            longest_s = min(MAX_WATCH_BACKOFF_S, WATCH_BACKOFF_S * 2**doublings)
            await asyncio.sleep(longest_s * self._rng.uniform(*WATCH_BACKOFF_JITTER))

    async def _follow_changes(self, after: int) -> None:
        try:
            async for changes in self._store.watch(self._prefix, after):
                for change in changes:
                    self._handle_change(change)
        except (WatchLostError, StoreError) as error:
            self._history(log_events.WATCH_LOST, why=str(error))

    def _replace_view(self, current: Done) -> None:
        changes = self._view.replace(current.entries, current.revision)
        if changes is None:
            return
        self._count_instances()
        for change in changes:
            self.on_change(change.key, change.entry)
        for role in self.lease_state.roles:
            self._handle_role_key(role, self._view.entries.get(ROLE_PREFIX + role), current.revision)

    def _handle_change(self, change: Change) -> None:
        changed: KeyChange | None = self._view.apply(change)
        if changed is None:
            return
        if changed.key.startswith(INSTANCE_PREFIX):
            self._count_instances()
        self.on_change(changed.key, changed.entry)
        if changed.key.startswith(ROLE_PREFIX):
            self._handle_role_key(changed.key.removeprefix(ROLE_PREFIX), changed.entry, change.revision)

    def _handle_role_key(self, role: str, entry: Entry | None, revision: int) -> None:
        self._apply(self.lease_state.handle_role_key(self._now_s(), role, entry, revision))

    def _count_instances(self) -> None:
        registered = sum(key.startswith(INSTANCE_PREFIX) for key in self._view.entries)
        self.lease_state.instances = max(1, registered)
