"""State machine of one instance's session and its roles. It is pure: (time, input) -> effects.

Safety depends on one inequality (docs/design/duties.md, Safety; after Gray and Cheriton, SOSP 1989). With

    T  LeaseTerms.ttl_s     s      time to live, which the store counts from when it carried out the grant
                                   or renewal
    d  LeaseTerms.drift     share  by which the rates of any two clocks may differ
    m  LeaseTerms.margin_s  s      safety margin for requests in flight and for late timers
    a  _renewal_sent_at     s      own clock just BEFORE sending the last grant or renewal that succeeded

the instance treats its session as valid while

    now < a + T/(1+d) - m         (`session_valid_until`; T/(1+d) - m is LeaseTerms.local_validity_s)

and starts no new work during the last m seconds of that time (EXPIRING). A renewal whose outcome is unknown
may have extended the lease in the store; it never moves `a`. This alone does not make a role safe: each
commit is a transaction that compares the fencing token, and the store refuses it once this instance has lost
the role's key.

Session:  DISCONNECTED -> REQUESTING_LEASE -> REGISTERING -> ACTIVE <-> EXPIRING -> DISCONNECTED; from any
          state to CLOSED or STORE_RESET, which are final.
Role:     IDLE -> WAITING -> ACQUIRING -> HELD -> RELEASING -> IDLE; ACQUIRING -> UNCERTAIN if the outcome is
          unknown.
"""

from __future__ import annotations

import random
from math import inf

from coveport.sidecar.config.lease_terms import RENEWALS_PER_TTL, LeaseTerms
from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.effects import (
    AcquireRole,
    Effect,
    GrantLease,
    LogEvent,
    ReadRoles,
    RegisterInstance,
    ReleaseRole,
    RenewLease,
    RevokeLease,
    RoleAcquired,
    RoleLost,
)
from coveport.sidecar.leases.role import REST_TTLS, Role
from coveport.sidecar.leases.states import (
    FINAL_SESSION_STATES,
    SESSION_TRANSITIONS,
    RoleState,
    SessionState,
)
from coveport.sidecar.leases.store import Done, Entry, Outcome, Refused, Unknown

BACKOFF_S = 0.1  # backoff after a call with an unknown outcome; doubles up to the maximum
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_DOUBLINGS = 10  # limits the exponent; the maximum backoff is reached earlier
BACKOFF_JITTER = (0.5, 1.0)  # range of the random factor of the backoff
FIRST_RENEWAL_JITTER = (0.7, 1.0)  # factor of the renewal interval; spreads instances that started together
NAME_TAKEN_BACKOFF_S = 1.0  # minimum backoff while another process is registered under the name
WAIT_PER_INSTANCE_S = 0.001  # maximum random wait of a contender, per registered instance
MAX_CONTENTION_WAIT_S = 0.08  # upper bound of the random wait, which spreads concurrent acquisitions
SLOW_RENEWAL_SHARE = 0.25  # share of T: a slower renewal means that the store is too slow for more roles
STALL_SHARE = 0.2  # share of T: a timer that fires later than this means that the process lacks CPU time
NO_CONTENTION_TTLS = 1.0  # in times to live: time without contention after a slow renewal or a stall
LOST_RENEWAL_SHARE = 0.25  # share of the renewal interval: maximum backoff before a renewal is repeated

NOT_RENEWED = "not renewed in time"
LEASE_ENDED = "the store ended the lease"


def incarnation_of(value: bytes) -> str:
    """Return the incarnation in a role key's value, where the acquisition time follows for operators."""
    return value.split(b" ")[0].decode(errors="replace")


class LeaseState:
    """The session and roles of one instance.

    `incarnation` identifies this process in every key that the process writes. `now` of all calls is in s, by
    a clock that keeps counting during suspend. `rng` is the random generator for jitter.
    """

    def __init__(
        self, incarnation: str, roles: tuple[str, ...], terms: LeaseTerms, rng: random.Random
    ) -> None:
        terms.check()
        self.incarnation = incarnation
        self.terms = terms
        self._rng = rng
        self.session = SessionState.DISCONNECTED
        self.lease = 0
        self.roles = {name: Role(name) for name in roles}
        self.instances = 1  # last known number of registered instances
        self._renewal_sent_at = -inf  # `a` in the module docstring
        self._last_call = 0
        self._session_call = 0  # number of the grant or registration in flight
        self._renewal: tuple[int, float] | None = None  # renewal in flight: call number and send time
        self._next_request_at = 0.0  # when to request a lease (if DISCONNECTED) or to renew the lease
        self._failures = 0  # consecutive calls with an unknown outcome
        self._read_call = 0
        self._next_read_at = inf
        self._no_contention_until = -inf
        self._unhealthy_reason = ""
        self._expected_wakeup_at = inf  # time at which the timer should fire; a later call shows a stall
        self._effects: list[Effect] = []

    # Queries.

    def usable_token(self, now: float, name: str) -> int:
        """Return the role's fencing token if new work may start now, else 0; call this before each commit."""
        token = self._token(name)
        return token if self.session is SessionState.ACTIVE and now < self._expiring_from else 0

    def valid_token(self, now: float, name: str) -> int:
        """Return the role's fencing token while the role is held under a valid session, else 0."""
        token = self._token(name)
        return token if now < self.session_valid_until else 0

    def _token(self, name: str) -> int:
        role = self.roles[name]
        return role.token if role.state is RoleState.HELD else 0

    @property
    def session_valid_until(self) -> float:
        """The time until which the session is valid, in s of this instance's clock."""
        return self._renewal_sent_at + self.terms.local_validity_s

    @property
    def _expiring_from(self) -> float:
        return self.session_valid_until - self.terms.margin_s

    @property
    def in_session(self) -> bool:
        """Whether the instance has a session, including a session that is about to expire."""
        return self.session in (SessionState.ACTIVE, SessionState.EXPIRING)

    def next_timer(self) -> float:
        """Return the latest time at which `handle_timer` must be called."""
        timers = [inf]
        if self.session is SessionState.DISCONNECTED:
            timers.append(self._next_request_at)
        if self.in_session:
            timers += self._session_timers()
            for role in self.roles.values():
                timers += (role.acquire_at, role.release_retry_at)
                if role.state is RoleState.IDLE and role.rest_until > -inf:
                    timers.append(role.rest_until)
        self._expected_wakeup_at = min(timers)
        return self._expected_wakeup_at

    def _session_timers(self) -> list[float]:
        timers = [self.session_valid_until]
        if not self._read_call:
            timers.append(self._next_read_at)
        if self.session is SessionState.ACTIVE:
            timers.append(self._expiring_from)
        if self._renewal is None:
            timers.append(self._next_request_at)
        return timers

    # Inputs.

    def handle_timer(self, now: float) -> list[Effect]:
        """Handle the passing of time."""
        self._effects = []
        self._advance(now)
        return self._effects

    def handle_outcome(self, now: float, call: int, outcome: Outcome, store_reset: str = "") -> list[Effect]:
        """Handle the outcome of a call. `store_reset`: evidence of a store reset; empty if there is none."""
        self._effects = []
        self._advance(now)
        if store_reset:
            self._enter_store_reset(store_reset)
        elif call == self._session_call:
            self._handle_session_outcome(now, outcome)
        elif self._renewal is not None and call == self._renewal[0]:
            self._handle_renewal(now, outcome)
        elif call == self._read_call:
            # The keys of a successful read were already passed to `handle_role_key`; a read with an unknown
            # outcome is repeated.
            self._read_call = 0
            self._next_read_at = now + self._next_backoff_s() if isinstance(outcome, Unknown) else inf
        else:
            for role in self.roles.values():
                if role.call == call:
                    self._handle_role_outcome(now, role, outcome)
        self._advance(now)
        return self._effects

    def handle_role_key(self, now: float, name: str, entry: Entry | None, revision: int) -> list[Effect]:
        """Handle the value of a role's key at a revision, from a watch or a read."""
        self._effects = []
        self._advance(now)
        role = self.roles.get(name)
        if role is not None and revision >= role.known_revision:  # older revisions are outdated
            role.known_revision = revision
            self._observe_role_key(now, role, entry)
        return self._effects

    def handle_watch_lost(self, now: float) -> list[Effect]:
        """Handle the loss of the watch: read the roles' keys."""
        self._effects = []
        self._advance(now)
        self._read_roles_by(now)
        self._advance(now)
        return self._effects

    def set_unhealthy(self, now: float, reason: str) -> list[Effect]:
        """Release all held roles and contend for none until called again with an empty reason."""
        self._effects = []
        if reason and not self._unhealthy_reason:
            self._log(log_events.UNHEALTHY, reason)
        self._unhealthy_reason = reason
        if reason:
            self._step_down_unhealthy(now, reason)
        else:
            self._read_roles_by(now)  # a role may have lost its holder in the meantime
        self._advance(now)
        return self._effects

    def _step_down_unhealthy(self, now: float, reason: str) -> None:
        for role in self.roles.values():
            if role.state is RoleState.HELD:
                role.rest(now, self.terms.ttl_s)
                self._release_role(role, reason)
            elif role.state is RoleState.WAITING:
                role.set_state(RoleState.IDLE)

    def set_contending(self, now: float, name: str, *, contending: bool, reason: str) -> list[Effect]:
        """Contend for a role, or release the role, as an operator, a drain or the operator's file demands."""
        self._effects = []
        role = self.roles[name]
        role.contending = contending
        if contending:
            self._read_roles_by(now)
        elif role.state is RoleState.HELD:
            self._release_role(role, reason)
        elif role.state is RoleState.WAITING:
            role.set_state(RoleState.IDLE)
        self._advance(now)
        return self._effects

    def step_down(self, now: float, name: str, reason: str) -> list[Effect]:
        """Release a role, and rest before contending again, so that another instance can acquire it."""
        self._effects = []
        role = self.roles[name]
        if role.state is RoleState.HELD:
            role.rest_until = now + REST_TTLS * self.terms.ttl_s
            self._release_role(role, reason)
        return self._effects

    def close(self, now: float) -> list[Effect]:
        """Release all roles for good. Revoking the lease deletes every key of the instance at once."""
        self._effects = []
        if self.session in FINAL_SESSION_STATES:
            return self._effects
        self._lose_all_roles("left")
        if self.lease:
            self._effects.append(RevokeLease(self.lease))
        self._transition(SessionState.CLOSED)
        self.lease = 0
        return self._effects

    # Timed actions.

    def _advance(self, now: float) -> None:
        """Carry out all actions whose time has come."""
        self._notice_stall(now)
        self._expire(now)
        if self.session is SessionState.DISCONNECTED and now >= self._next_request_at:
            self._request_lease(now)
        if not self.in_session:
            return
        if self._renewal is None and now >= self._next_request_at:
            self._renewal = self._next_call(), now
            self._effects.append(RenewLease(self._renewal[0], self.lease))
        self._maybe_read_roles(now)
        for role in self.roles.values():
            self._advance_role(now, role)
        self._maybe_read_roles(now)  # the end of a role's rest may have requested a read

    def _notice_stall(self, now: float) -> None:
        late_s = now - self._expected_wakeup_at
        if late_s > STALL_SHARE * self.terms.ttl_s:
            # An instance without enough CPU time must not acquire roles, because it can't serve them. Every
            # input is checked, because the timer is not always the first input after a stall.
            self._no_contention_until = now + NO_CONTENTION_TTLS * self.terms.ttl_s
            self._log(log_events.PROCESS_STALLED, f"{late_s:.2f} s")
        self._expected_wakeup_at = inf

    def _expire(self, now: float) -> None:
        starting = self.session in (SessionState.REQUESTING_LEASE, SessionState.REGISTERING)
        if starting and now >= self.session_valid_until > -inf:
            self._expire_session(now, "the lease ended before the registration finished")
        if not self.in_session:
            return
        if now >= self.session_valid_until:
            self._expire_session(now, NOT_RENEWED)
        elif now >= self._expiring_from and self.session is SessionState.ACTIVE:
            self._transition(SessionState.EXPIRING)
            self._log(log_events.SESSION_EXPIRING, f"{self.session_valid_until - now:.2f} s left")

    def _request_lease(self, now: float) -> None:
        self._transition(SessionState.REQUESTING_LEASE)
        self._renewal_sent_at = now
        self._session_call = self._next_call()
        self._effects.append(GrantLease(self._session_call, self.terms.ttl_s))

    def _read_roles_by(self, at: float) -> None:
        self._next_read_at = min(self._next_read_at, at)

    def _maybe_read_roles(self, now: float) -> None:
        if self._read_call or now < self._next_read_at:
            return
        self._read_call = self._next_call()
        self._next_read_at = inf
        self._effects.append(ReadRoles(self._read_call))

    def _advance_role(self, now: float, role: Role) -> None:
        if role.state is RoleState.IDLE and -inf < role.rest_until <= now:
            role.rest_until = -inf
            self._read_roles_by(now)  # the role may have no holder
        elif role.state is RoleState.RELEASING and now >= role.release_retry_at:
            self._send_release(role)
        elif role.state is RoleState.WAITING and now >= role.acquire_at:
            self._attempt_acquisition(now, role)

    def _attempt_acquisition(self, now: float, role: Role) -> None:
        if not self._may_contend(now, role) or self.session is not SessionState.ACTIVE:
            role.acquire_at = now + self.terms.ttl_s
            return
        role.set_state(RoleState.ACQUIRING)
        role.call = self._next_call()
        self._effects.append(AcquireRole(role.call, role.name, self.lease))

    # Session.

    def _transition(self, next_state: SessionState) -> None:
        ends = next_state in FINAL_SESSION_STATES and self.session not in FINAL_SESSION_STATES
        if not ends and next_state not in SESSION_TRANSITIONS[self.session]:
            raise AssertionError(f"no transition of the session from {self.session} to {next_state}")
        self.session = next_state

    def _next_call(self) -> int:
        self._last_call += 1
        return self._last_call

    def _log(self, event: str, detail: str = "") -> None:
        self._effects.append(LogEvent(event, detail))

    def _next_backoff_s(self) -> float:
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        longest_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**doublings)
        return float(longest_s * self._rng.uniform(*BACKOFF_JITTER))

    def _handle_session_outcome(self, now: float, outcome: Outcome) -> None:
        self._session_call = 0
        if self.session is SessionState.REQUESTING_LEASE:
            self._handle_grant(now, outcome)
        elif self.session is SessionState.REGISTERING:
            self._handle_registration(now, outcome)

    def _handle_grant(self, now: float, outcome: Outcome) -> None:
        if not isinstance(outcome, Done):
            self._disconnect_until(now + self._next_backoff_s())
        elif outcome.ttl_s < self.terms.ttl_s:
            # The computed validity of the session assumes the requested time to live.
            self._log(log_events.LEASE_TOO_SHORT, f"{outcome.ttl_s:g} s instead of {self.terms.ttl_s:g} s")
            self.lease = outcome.lease
            self._disconnect_until(now + MAX_BACKOFF_S)
        else:
            self.lease = outcome.lease
            self._transition(SessionState.REGISTERING)
            self._session_call = self._next_call()
            self._effects.append(RegisterInstance(self._session_call, self.lease))

    def _handle_registration(self, now: float, outcome: Outcome) -> None:
        if isinstance(outcome, Done):
            self._transition(SessionState.ACTIVE)
            self._failures = 0
            jitter = self._rng.uniform(*FIRST_RENEWAL_JITTER)
            self._next_request_at = self._renewal_sent_at + self.terms.renew_s * jitter
            self._next_read_at = now
            self._log(log_events.SESSION_ESTABLISHED, f"lease {self.lease:x}")
        elif isinstance(outcome, Refused) and not outcome.lease_gone:
            # If two processes have the same name, the later process gets no session while the first is alive.
            self._log(log_events.DUPLICATE_NAME, "another process is registered under this name")
            self._disconnect_until(now + max(NAME_TAKEN_BACKOFF_S, self.terms.ttl_s / RENEWALS_PER_TTL))
        else:
            self._disconnect_until(now + self._next_backoff_s())

    def _disconnect_until(self, at: float) -> None:
        if self.lease:
            self._effects.append(RevokeLease(self.lease))
        self.lease = 0
        self._session_call = 0
        self._renewal = None
        self._next_request_at = at
        self._transition(SessionState.DISCONNECTED)

    def _expire_session(self, now: float, reason: str) -> None:
        self._lose_all_roles(reason)
        self._log(log_events.SESSION_LOST, reason)
        # The store may have carried out the last renewal. The lease is revoked nevertheless: its keys must
        # not outlive a session that this instance has given up.
        self._disconnect_until(now + self._rng.uniform(0, BACKOFF_S))

    def _handle_renewal(self, now: float, outcome: Outcome) -> None:
        assert self._renewal is not None
        sent_at = self._renewal[1]
        self._renewal = None
        if isinstance(outcome, Done):
            self._renewal_sent_at = sent_at
            self._failures = 0
            self._next_request_at = sent_at + self.terms.renew_s
            self._notice_slow_store(now, now - sent_at)
            if self.session is SessionState.EXPIRING and now < self._expiring_from:
                self._transition(SessionState.ACTIVE)
        elif isinstance(outcome, Refused):
            self._expire_session(now, LEASE_ENDED)
        else:
            # Either result is possible: the session is not extended here, but the lease in the store may be,
            # and other instances then wait for its end. The renewal is repeated soon, while the session is
            # still valid.
            longest_s = self.terms.renew_s * LOST_RENEWAL_SHARE
            self._next_request_at = now + min(self._next_backoff_s(), longest_s)

    def _notice_slow_store(self, now: float, took_s: float) -> None:
        if took_s > SLOW_RENEWAL_SHARE * self.terms.ttl_s:
            # Held roles are kept, because a successor may have the same latency. No new role is acquired.
            until = now + NO_CONTENTION_TTLS * self.terms.ttl_s
            self._no_contention_until = max(self._no_contention_until, until)
            self._log(log_events.STORE_SLOW, f"a renewal took {took_s:.2f} s")

    def _enter_store_reset(self, reason: str) -> None:
        if self.session in FINAL_SESSION_STATES:
            return
        self._lose_all_roles("the store was reset")
        self._log(log_events.STORE_RESET, reason)
        self.lease = 0
        self._transition(SessionState.STORE_RESET)

    # Roles.

    def _may_contend(self, now: float, role: Role) -> bool:
        rested = now >= self._no_contention_until and now >= role.rest_until
        return role.contending and not self._unhealthy_reason and rested

    def _is_own_key(self, entry: Entry) -> bool:
        # A key under an older lease of this instance is not adopted, because the key is deleted when that
        # lease ends.
        own_key = incarnation_of(entry.value) == self.incarnation and entry.lease == self.lease != 0
        return own_key and self.in_session

    def _observe_role_key(self, now: float, role: Role, entry: Entry | None) -> None:
        if entry is not None and self._is_own_key(entry):
            if role.state not in (RoleState.HELD, RoleState.RELEASING):
                self._acquire(now, role, entry.created)
        elif role.state in (RoleState.HELD, RoleState.RELEASING):
            self._lose_role(now, role, "another instance holds the key, or it was deleted")
        elif entry is None and self.in_session:
            # UNCERTAIN: the pending acquisition may still be carried out. A second acquisition is then
            # refused, and the following read finds the key of this instance.
            if role.state in (RoleState.IDLE, RoleState.UNCERTAIN) and role.contending:
                self._wait_to_acquire(now, role)
        elif role.state in (RoleState.WAITING, RoleState.UNCERTAIN):
            role.set_state(RoleState.IDLE)

    def _wait_to_acquire(self, now: float, role: Role) -> None:
        role.set_state(RoleState.WAITING)
        longest_s = min(MAX_CONTENTION_WAIT_S, WAIT_PER_INSTANCE_S * self.instances)
        earliest = max(now, role.rest_until, self._no_contention_until)
        role.acquire_at = earliest + self._rng.uniform(0, longest_s)

    def _acquire(self, now: float, role: Role, token: int) -> None:
        role.set_state(RoleState.HELD)
        role.token = token
        role.acquired_at = now
        if not role.contending or self._unhealthy_reason:
            self._release_role(role, self._unhealthy_reason or "not contending")
        else:
            self._effects.append(RoleAcquired(role.name, token))

    def _handle_role_outcome(self, now: float, role: Role, outcome: Outcome) -> None:
        role.call = 0
        if role.state is RoleState.ACQUIRING:
            self._handle_acquisition(now, role, outcome)
        elif role.state is RoleState.RELEASING:
            if isinstance(outcome, Unknown):
                role.release_retry_at = now + self._next_backoff_s()
            else:
                role.set_state(RoleState.IDLE)
                self._read_roles_by(now)

    def _handle_acquisition(self, now: float, role: Role, outcome: Outcome) -> None:
        if isinstance(outcome, Done):
            role.known_revision = max(role.known_revision, outcome.revision)
            self._acquire(now, role, outcome.revision)
        elif isinstance(outcome, Unknown):
            role.set_state(RoleState.UNCERTAIN)
            self._read_roles_by(now + self._next_backoff_s())
        else:
            role.set_state(RoleState.IDLE)
            if outcome.lease_gone:
                self._expire_session(now, LEASE_ENDED)
            else:
                self._read_roles_by(now)

    def _release_role(self, role: Role, reason: str) -> None:
        self._effects.append(RoleLost(role.name, role.token, reason))
        role.set_state(RoleState.RELEASING)
        self._send_release(role)

    def _send_release(self, role: Role) -> None:
        role.release_retry_at = inf
        role.call = self._next_call()
        self._effects.append(ReleaseRole(role.call, role.name, role.token))

    def _lose_role(self, now: float, role: Role, reason: str) -> None:
        if role.state is RoleState.HELD:
            self._effects.append(RoleLost(role.name, role.token, reason))
        role.set_state(RoleState.IDLE)
        self._read_roles_by(now)

    def _lose_all_roles(self, reason: str) -> None:
        for role in self.roles.values():
            if role.state is RoleState.HELD:
                self._effects.append(RoleLost(role.name, role.token, reason))
            role.reset()
