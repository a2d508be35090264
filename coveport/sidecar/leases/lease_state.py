"""What one instance believes of its session and its duties. Pure: (time, input) -> effects.

The rule that all of it rests on (docs/design/duties.md, Safety). With

    T  time to live (s)        as the store counts it, from when it carried the grant or renewal out
    d  drift (share)           by which any two clocks may part
    m  margin (s)              for what is under way, and for timers that come late
    a  asked (s, own clock)    just BEFORE the grant or renewal was sent that was answered last

the session is believed in while  now < a + T/(1+d) - m  and nothing new is begun from m before that on. A
renewal whose answer did not come moves `a` for the store perhaps, for us never. No duty is safe by this
alone: each act is a transaction that compares the token, and the store refuses it where the key is not ours
any more.

Session:  OUT -> ASKING -> ARRIVING -> IN <-> WARY -> OUT, and from anywhere LEFT or ESTRANGED, which are
ends. Duty:     IDLE -> WAITING -> CLAIMING -> HELD -> RELEASING -> IDLE; CLAIMING -> UNSURE where no answer
came.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf

from coveport.sidecar.config.terms import RENEWALS, Terms
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
from coveport.sidecar.leases.states import (
    FINAL_SESSION_STATES,
    ROLE_TRANSITIONS,
    SESSION_TRANSITIONS,
    RoleState,
    SessionState,
)
from coveport.sidecar.leases.store import Done, Entry, Outcome, Refused, Unknown

AGAIN_S, AGAIN_MOST_S = 0.1, 2.0  # wait after a call without an answer, doubled up to the most
NAME_TAKEN_S = 1.0  # wait where another of our name is there
SPREAD_EACH_S, SPREAD_MOST_S = 0.001, 0.08  # contenders wait up to so long for each instance there is
REST_TTLS, REST_DOUBLINGS = 2.0, 5  # in times to live: how long who was useless keeps off
PROVEN_TTLS = 10.0  # a holding this long wipes out that it once yielded
FAR_SHARE = 0.25  # of T: a renewal that took longer tells of a store that is too far to hold anything well
STALL_SHARE, UNWELL_TTLS = 0.2, 1.0  # a timer later than that share of T: keep off for so many times to live


def holder_of(value: bytes) -> str:
    """The incarnation that a duty's key names; behind it stands since when, for staff."""
    return value.split(b" ")[0].decode(errors="replace")


@dataclass(slots=True)
class Role:
    """What an instance knows of a role and its own part in it."""

    state: RoleState = RoleState.IDLE
    token: int = 0
    lease: int = 0  # under which it is held
    acquire_at: float = inf  # WAITING: when we claim
    rest_until: float = -inf
    rest_count: int = 0  # in a row
    held_since: float = 0.0
    call: int = 0
    known_revision: int = 0  # revision up to which we know of its key
    release_retry_at: float = inf
    contending: bool = True  # False: staff or the operator's file keep us off it


class LeaseState:
    """The beliefs of one instance.

    `incarnation`: this process' own word in every key it writes. `now` of all calls: seconds by a clock
    that runs through sleep. Chance is a generator of the caller's.
    """

    def __init__(self, incarnation: str, roles: tuple[str, ...], terms: Terms, chance: random.Random) -> None:
        terms.check()
        self.incarnation = incarnation
        self.terms = terms
        self._chance = chance
        self.session = SessionState.DISCONNECTED
        self.lease = 0
        self.roles = {name: Role() for name in roles}
        self.instances = 1  # that are there, as far as is known
        self._renewal_sent_at = -inf  # `a` above
        self._calls = 0
        self._session_call = 0  # the grant or arrival that is out
        self._renewal: tuple[int, float] | None = None  # call and when it was asked
        self._next_request_at = 0.0  # OUT: when we ask; IN: when we renew
        self._failures = 0
        self._read_call = 0
        self._next_read_at = inf
        self._no_contention_until = -inf
        self._unhealthy_reason = ""
        self._expected_wakeup_at = inf  # when we wanted to be woken, for stalls
        self._effects: list[Effect] = []

    # What may be asked of it.

    def usable_token(self, now: float, duty: str) -> int:
        """The token where something new may be begun now, else 0. To be asked at once before each act."""
        one = self.roles[duty]
        if (
            one.state is RoleState.HELD
            and self.session is SessionState.ACTIVE
            and now < self.believed_until - self.terms.margin_s
        ):
            return one.token
        return 0

    def held_token(self, now: float, duty: str) -> int:
        """The token of the holding that we believe in, be it warily; else 0."""
        one = self.roles[duty]
        return one.token if one.state is RoleState.HELD and now < self.believed_until else 0

    @property
    def believed_until(self) -> float:
        """The end of the session as this instance believes in it, s of its own clock."""
        return self._renewal_sent_at + self.terms.believed_s

    @property
    def in_session(self) -> bool:
        """Whether the instance has a session, be it one that expires soon."""
        return self.session in (SessionState.ACTIVE, SessionState.EXPIRING)

    def next_timer(self) -> float:
        """When `tick` wants to be called at the latest."""
        at = [inf]
        if self.session is SessionState.DISCONNECTED:
            at.append(self._next_request_at)
        if self.in_session:
            at += [self.believed_until, self._next_read_at if not self._read_call else inf]
            if self.session is SessionState.ACTIVE:
                at.append(self.believed_until - self.terms.margin_s)
            if self._renewal is None:
                at.append(self._next_request_at)
            for one in self.roles.values():
                at += [one.acquire_at, one.release_retry_at]
                if one.state is RoleState.IDLE and one.rest_until > -inf:
                    at.append(one.rest_until)
        self._expected_wakeup_at = min(at)
        return self._expected_wakeup_at

    # Inputs.

    def handle_timer(self, now: float) -> list[Effect]:
        """Time has passed."""
        self._effects = []
        self._advance(now)
        return self._effects

    def handle_outcome(self, now: float, call: int, outcome: Outcome, store_reset: str = "") -> list[Effect]:
        """A call has ended. `floor_broken`: the answer shows that the store went back, and how."""
        self._effects = []
        self._advance(now)
        if store_reset:
            self._enter_store_reset(store_reset)
        elif call == self._session_call:
            self._handle_session_outcome(now, outcome)
        elif self._renewal is not None and call == self._renewal[0]:
            self._handle_renewal(now, outcome)
        elif call == self._read_call:
            # What was found has come by `seen`; where nothing was, look again.
            self._read_call = 0
            self._next_read_at = now + self._next_backoff_s() if isinstance(outcome, Unknown) else inf
        else:
            for name, one in self.roles.items():
                if one.call == call:
                    self._handle_role_outcome(now, name, one, outcome)
        self._advance(now)
        return self._effects

    def handle_role_key(self, now: float, duty: str, entry: Entry | None, revision: int) -> list[Effect]:
        """A duty's key as of a revision, from a watch or a look."""
        self._effects = []
        self._advance(now)
        one = self.roles.get(duty)
        if one is not None and revision >= one.known_revision:  # what is older is no news
            one.known_revision = revision
            self._observe_role_key(now, duty, one, entry)
        return self._effects

    def handle_watch_lost(self, now: float) -> list[Effect]:
        """The watch broke: what stands must be read."""
        self._effects = []
        self._advance(now)
        self._next_read_at = min(self._next_read_at, now)
        self._advance(now)
        return self._effects

    def set_unhealthy(self, now: float, why: str) -> list[Effect]:
        """We can't do duties well (empty: we can again): yield what we hold, and contend for none."""
        self._effects = []
        if why and not self._unhealthy_reason:
            self._log("unwell", why)
        self._unhealthy_reason = why
        if why:
            for name, one in self.roles.items():
                if one.state is RoleState.HELD:
                    self._start_rest(now, one)
                    self._release_role(name, one, why)
                elif one.state is RoleState.WAITING:
                    self._set_role_state(one, RoleState.IDLE)
        else:
            self._next_read_at = min(self._next_read_at, now)  # a duty may have been nobody's all along
        self._advance(now)
        return self._effects

    def set_contending(self, now: float, duty: str, contending: bool, why: str) -> list[Effect]:
        """Staff, a drain, or the operator's file: contend for a duty, or let it go and keep off."""
        self._effects = []
        one = self.roles[duty]
        one.contending = contending
        if not contending and one.state is RoleState.HELD:
            self._release_role(duty, one, why)
        elif not contending and one.state is RoleState.WAITING:
            self._set_role_state(one, RoleState.IDLE)
        elif contending:
            self._next_read_at = min(self._next_read_at, now)
        self._advance(now)
        return self._effects

    def step_down(self, now: float, duty: str, why: str) -> list[Effect]:
        """Hand a duty on once, and let others come first."""
        self._effects = []
        one = self.roles[duty]
        if one.state is RoleState.HELD:
            one.rest_until = now + REST_TTLS * self.terms.ttl_s
            self._release_role(duty, one, why)
        return self._effects

    def close(self, now: float) -> list[Effect]:
        """For good: hand on all, at once. The lease's end deletes every key of ours in one go."""
        self._effects = []
        if self.session in FINAL_SESSION_STATES:
            return self._effects
        self._lose_all_roles("left")
        if self.lease:
            self._effects.append(RevokeLease(self.lease))
        self._transition(SessionState.CLOSED)
        self.lease = 0
        return self._effects

    # Session.

    def _transition(self, to: SessionState) -> None:
        if to not in SESSION_TRANSITIONS[self.session] and not (
            to in FINAL_SESSION_STATES and self.session not in FINAL_SESSION_STATES
        ):
            raise AssertionError(f"no way from {self.session} to {to}")
        self.session = to

    def _next_call(self) -> int:
        self._calls += 1
        return self._calls

    def _log(self, event: str, detail: str = "") -> None:
        self._effects.append(LogEvent(event, detail))

    def _next_backoff_s(self) -> float:
        self._failures += 1
        most = min(AGAIN_MOST_S, AGAIN_S * 2 ** min(self._failures - 1, 10))
        return float(most * self._chance.uniform(0.5, 1.0))

    def _advance(self, now: float) -> None:
        """What the clock alone brings about."""
        if now - self._expected_wakeup_at > STALL_SHARE * self.terms.ttl_s:
            # Guards against an instance that is short of CPU taking up what it could not look after. Whatever
            # comes in late tells of it: after a stall that need not be the timer.
            self._no_contention_until = now + UNWELL_TTLS * self.terms.ttl_s
            self._log("stalled", f"{now - self._expected_wakeup_at:.2f} s")
        self._expected_wakeup_at = inf
        if (
            self.session in (SessionState.REQUESTING_LEASE, SessionState.REGISTERING)
            and now >= self.believed_until > -inf
        ):
            self._expire_session(now, "the lease was over before we were in")
        if self.in_session:
            if now >= self.believed_until:
                self._expire_session(now, "not renewed in time")
            elif now >= self.believed_until - self.terms.margin_s and self.session is SessionState.ACTIVE:
                self._transition(SessionState.EXPIRING)
                self._log("wary", f"{self.believed_until - now:.2f} s left")
        if self.session is SessionState.DISCONNECTED and now >= self._next_request_at:
            self._transition(SessionState.REQUESTING_LEASE)
            self._renewal_sent_at = now
            self._session_call = self._next_call()
            self._effects.append(GrantLease(self._session_call, self.terms.ttl_s))
        if not self.in_session:
            return
        if self._renewal is None and now >= self._next_request_at:
            self._renewal = self._next_call(), now
            self._effects.append(RenewLease(self._renewal[0], self.lease))
        if not self._read_call and now >= self._next_read_at:
            self._read_call, self._next_read_at = self._next_call(), inf
            self._effects.append(ReadRoles(self._read_call))
        for name, one in self.roles.items():
            if one.state is RoleState.IDLE and one.rest_until <= now and one.rest_until > -inf:
                one.rest_until = -inf
                self._next_read_at = min(self._next_read_at, now)  # it may be nobody's; the look tells
            if one.state is RoleState.RELEASING and now >= one.release_retry_at:
                self._send_release(name, one)
            if one.state is RoleState.WAITING and now >= one.acquire_at:
                if self._may_contend(now, one) and self.session is SessionState.ACTIVE:
                    self._set_role_state(one, RoleState.ACQUIRING)
                    one.call, one.lease = self._next_call(), self.lease
                    self._effects.append(AcquireRole(one.call, name, self.lease))
                else:
                    one.acquire_at = now + self.terms.ttl_s
        if not self._read_call and now >= self._next_read_at:
            self._read_call, self._next_read_at = self._next_call(), inf
            self._effects.append(ReadRoles(self._read_call))

    def _handle_session_outcome(self, now: float, outcome: Outcome) -> None:
        self._session_call = 0
        if self.session is SessionState.REQUESTING_LEASE:
            if isinstance(outcome, Done) and outcome.ttl_s < self.terms.ttl_s:
                # Guards against a store that gives less than was asked: all that we believe counts on it.
                self._log("short_lease", f"{outcome.ttl_s:g} s instead of {self.terms.ttl_s:g} s")
                self.lease = outcome.lease
                self._disconnect_until(now + AGAIN_MOST_S)
            elif isinstance(outcome, Done):
                self.lease = outcome.lease
                self._transition(SessionState.REGISTERING)
                self._session_call = self._next_call()
                self._effects.append(RegisterInstance(self._session_call, self.lease))
            else:
                self._disconnect_until(now + self._next_backoff_s())
        elif self.session is SessionState.REGISTERING:
            if isinstance(outcome, Done):
                self._transition(SessionState.ACTIVE)
                self._failures = 0
                self._next_request_at = self._renewal_sent_at + self.terms.renew_s * self._chance.uniform(
                    0.7, 1.0
                )
                self._next_read_at = now
                self._log("in", f"lease {self.lease:x}")
            elif isinstance(outcome, Refused) and not outcome.lease_gone:
                # Guards against two of one name: the later one holds nothing while the first lives.
                self._log("name_taken", "another instance has our name")
                self._disconnect_until(now + max(NAME_TAKEN_S, self.terms.ttl_s / RENEWALS))
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

    def _expire_session(self, now: float, why: str) -> None:
        self._lose_all_roles(why)
        self._log("session_over", why)
        # Others may believe that our last renewal was done; what is bound to the lease must not come back
        # to life under a session of ours that we do not believe in.
        self._disconnect_until(now + self._chance.uniform(0, AGAIN_S))

    def _handle_renewal(self, now: float, outcome: Outcome) -> None:
        assert self._renewal is not None
        asked, self._renewal = self._renewal[1], None
        if isinstance(outcome, Done):
            self._renewal_sent_at = asked
            self._failures = 0
            self._next_request_at = asked + self.terms.renew_s
            if now - asked > FAR_SHARE * self.terms.ttl_s:
                # What we hold we keep: whoever comes next may be as far. We only contend for nothing new.
                self._no_contention_until = max(
                    self._no_contention_until, now + UNWELL_TTLS * self.terms.ttl_s
                )
                self._log("far", f"a renewal took {now - asked:.2f} s")
            if self.session is SessionState.EXPIRING and now < self.believed_until - self.terms.margin_s:
                self._transition(SessionState.ACTIVE)
        elif isinstance(outcome, Refused):
            self._expire_session(now, "the store ended our lease")
        else:
            # Not done, as far as we are concerned; for our rivals it was. Ask again soon, while there is
            # time.
            self._next_request_at = now + min(self._next_backoff_s(), self.terms.renew_s / 4)

    def _enter_store_reset(self, why: str) -> None:
        if self.session in FINAL_SESSION_STATES:
            return
        self._lose_all_roles("the store went back")
        self._log("estranged", why)
        self.lease = 0
        self._transition(SessionState.STORE_RESET)

    # Duties.

    def _set_role_state(self, one: Role, to: RoleState) -> None:
        if to not in ROLE_TRANSITIONS[one.state]:
            raise AssertionError(f"no way from {one.state} to {to}")
        one.state = to
        one.acquire_at = one.release_retry_at = inf
        if to is RoleState.IDLE:
            one.token = one.lease = one.call = 0

    def _may_contend(self, now: float, one: Role) -> bool:
        return (
            one.contending
            and not self._unhealthy_reason
            and now >= self._no_contention_until
            and now >= one.rest_until
        )

    def _observe_role_key(self, now: float, name: str, one: Role, entry: Entry | None) -> None:
        ours = (
            entry is not None
            and holder_of(entry.value) == self.incarnation
            and entry.lease == self.lease != 0
            and self.in_session
        )
        if ours:
            assert entry is not None
            if one.state in (RoleState.IDLE, RoleState.WAITING, RoleState.ACQUIRING, RoleState.UNCERTAIN):
                self._acquire(now, name, one, entry.created)
        elif one.state in (RoleState.HELD, RoleState.RELEASING):
            self._lose_role(now, name, one, "the key is not ours")
        elif entry is None and self.in_session:
            # UNSURE: our claim may still come. A further one is then refused, and the look after it finds
            # ours.
            if one.state in (RoleState.IDLE, RoleState.UNCERTAIN) and one.contending:
                self._set_role_state(one, RoleState.WAITING)
                spread = min(SPREAD_MOST_S, SPREAD_EACH_S * self.instances)
                one.acquire_at = max(now, one.rest_until, self._no_contention_until) + self._chance.uniform(
                    0, spread
                )
        elif one.state in (RoleState.WAITING, RoleState.UNCERTAIN):
            self._set_role_state(one, RoleState.IDLE)

    def _acquire(self, now: float, name: str, one: Role, token: int) -> None:
        self._set_role_state(one, RoleState.HELD)
        one.token, one.held_since, one.lease = token, now, self.lease
        if not one.contending or self._unhealthy_reason:
            self._release_role(name, one, self._unhealthy_reason or "not wished")
        else:
            self._effects.append(RoleAcquired(name, token))

    def _handle_role_outcome(self, now: float, name: str, one: Role, outcome: Outcome) -> None:
        one.call = 0
        if one.state is RoleState.ACQUIRING:
            if isinstance(outcome, Done):
                one.known_revision = max(one.known_revision, outcome.revision)
                self._acquire(now, name, one, outcome.revision)
            elif isinstance(outcome, Refused):
                self._set_role_state(one, RoleState.IDLE)
                if outcome.lease_gone:
                    self._expire_session(now, "the store ended our lease")
                else:
                    self._next_read_at = min(self._next_read_at, now)
            else:
                self._set_role_state(one, RoleState.UNCERTAIN)
                self._next_read_at = min(self._next_read_at, now + self._next_backoff_s())
        elif one.state is RoleState.RELEASING:
            if isinstance(outcome, Unknown):
                one.release_retry_at = now + self._next_backoff_s()
            else:
                self._set_role_state(one, RoleState.IDLE)
                self._next_read_at = min(self._next_read_at, now)

    def _release_role(self, name: str, one: Role, why: str) -> None:
        self._effects.append(RoleLost(name, one.token, why))
        token = one.token
        self._set_role_state(one, RoleState.RELEASING)
        one.token = token
        self._send_release(name, one)

    def _send_release(self, name: str, one: Role) -> None:
        one.release_retry_at = inf
        one.call = self._next_call()
        self._effects.append(ReleaseRole(one.call, name, one.token))

    def _start_rest(self, now: float, one: Role) -> None:
        # Guards against two that are useless throwing a duty to and fro.
        if now - one.held_since > PROVEN_TTLS * self.terms.ttl_s:
            one.rest_count = 0
        one.rest_until = now + REST_TTLS * self.terms.ttl_s * 2 ** min(one.rest_count, REST_DOUBLINGS)
        one.rest_count += 1

    def _lose_role(self, now: float, name: str, one: Role, why: str) -> None:
        if one.state is RoleState.HELD:
            self._effects.append(RoleLost(name, one.token, why))
        self._set_role_state(one, RoleState.IDLE)
        self._next_read_at = min(self._next_read_at, now)

    def _lose_all_roles(self, why: str) -> None:
        for name, one in self.roles.items():
            if one.state is RoleState.HELD:
                self._effects.append(RoleLost(name, one.token, why))
            one.state = RoleState.IDLE
            one.acquire_at = one.release_retry_at = inf
            one.token = one.lease = one.call = 0
