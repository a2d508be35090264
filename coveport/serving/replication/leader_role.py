"""Owns the role of a replica (follower, candidate or primary) and the transitions between the roles.

| role | event | next role |
| --- | --- | --- |
| follower | no active primary until the election time-out; TransferLeadership from the primary | candidate |
| candidate | its view is active | primary |
| candidate | Fenced, a higher promise, a step that times out | follower, after a backoff |
| primary | its replicas or members must change; a member promised a higher epoch | candidate with its queue |
| primary | own promise of a higher epoch, a newer view with another primary, own disk unhealthy | follower |
"""

from __future__ import annotations

from coveport.serving.replication.bootstrap import Bootstrap, ready_seeds
from coveport.serving.replication.election import Election
from coveport.serving.replication.events import CancelCall, NotPrimary, ReadNewest, Submit
from coveport.serving.replication.identity import MemberId, View
from coveport.serving.replication.messages import (
    Accepted,
    Appended,
    Confirmed,
    Fenced,
    Fetched,
    Installed,
    Message,
    Ping,
    Promise,
    TransferLeadership,
    ViewActivated,
)
from coveport.serving.replication.primary import Primary
from coveport.serving.replication.reconfiguration import Reconfigurer, ViewChangeRequest
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.view_change import Step, ViewChangeAttempt

# A member that promised a higher epoch rejects the primary's requests. If there is no newer view after this
# time-out, the primary starts a view change under an even higher epoch.
HIGHER_PROMISE_TIMEOUT_S = 0.6
# The minimum delay before the next attempt; `max_retry_backoff_s` times the jitter is added to this delay.
MIN_RETRY_DELAY_S = 0.1


class LeaderRole:
    """The role of one replica: at most one view change, one bootstrap and one primary role at a time."""

    def __init__(
        self,
        context: ReplicaContext,
        now_s: float,
        seeds: tuple[str, ...],
        may_bootstrap: bool,
        initial_state: bytes,
    ) -> None:
        self.election = Election(context, now_s)
        self.primary: Primary | None = None
        self.attempt: ViewChangeAttempt | None = None
        self.highest_epoch_seen = context.journal.durable.promised
        self.higher_promise_since_s: float | None = None
        self.may_bootstrap = may_bootstrap
        self._context = context
        self._reconfigurer = Reconfigurer(context)
        self._seeds = seeds
        self._initial_state = initial_state
        self._bootstrap: Bootstrap | None = None
        self._excluded_by: View | None = None  # newest view seen in an attempt that excludes this member
        self._view_changed_at_s = now_s

    @property
    def is_active(self) -> bool:
        """Whether this replica acts as the active primary; a newer view may exist elsewhere."""
        return self.primary is not None and not self.primary.is_paused

    def primary_address(self, now_s: float) -> str | None:
        """Return the inner address of the active primary; None without contact with an active primary."""
        if self.is_active:
            return self._context.own_id.address
        return self.election.leader_address(self._context.journal.durable.view, now_s) or None

    def leads_majorities(self, now_s: float) -> bool:
        """Return whether this replica is the active primary and has two-way contact with a majority."""
        view = self._context.journal.durable.view
        if view is None or not self.is_active:
            return False
        return self.election.reaches_majorities(view, now_s)

    # -- calls --

    def on_call(self, now_s: float, call: Submit | ReadNewest) -> None:
        """Queue a call if this replica is the primary; otherwise answer with the primary's address."""
        if self.primary is None:
            self._context.outbox.answer(call.request, NotPrimary(self.primary_address(now_s)))
        elif isinstance(call, Submit):
            self.primary.submit(call.request, call.command)
        else:
            self.primary.read(call.request)

    def on_cancel(self, event: CancelCall) -> None:
        """Remove a call whose caller has gone."""
        if self.primary is not None:
            self.primary.cancel(event.request)

    # -- messages --

    def on_message(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Handle an answer to a candidate or primary, or a TransferLeadership."""
        match message:
            case Promise() | Fetched() | Installed() | Accepted():
                self._on_candidate_answer(now_s, sender, message)
            case Appended() if self.primary is not None:
                self.primary.on_appended(now_s, sender, message)
            case Confirmed() if self.primary is not None:
                self.primary.on_confirmed(sender, message)
            case Fenced():
                self._on_fenced(now_s, message)
            case TransferLeadership():
                self._on_transfer_leadership(now_s, sender, message)

    def on_ping(self, now_s: float, sender: MemberId, ping: Ping) -> None:
        """Check a ping for a newer view with an active primary, and for a promise of a higher epoch."""
        self.highest_epoch_seen = max(self.highest_epoch_seen, ping.promised)
        primary = self.primary
        if primary is None:
            return
        if ping.view_epoch > primary.view.epoch and ping.primary:
            self.step_down(now_s)
        elif self.is_active and ping.promised > primary.view.epoch and sender in primary.view.members:
            self._on_higher_promise(now_s)

    def _on_fenced(self, now_s: float, message: Fenced) -> None:
        """Give up the attempt or bootstrap that a member rejected because it promised a higher epoch."""
        self.highest_epoch_seen = max(self.highest_epoch_seen, message.promised)
        if self.attempt is not None and message.refused == self.attempt.epoch:
            self._give_up_attempt(now_s)
        elif self._bootstrap is not None and message.refused == self._bootstrap.view.epoch:
            self._bootstrap = None
        elif self.primary is not None and message.refused == self.primary.view.epoch:
            self._on_higher_promise(now_s)

    def _on_higher_promise(self, now_s: float) -> None:
        if self.higher_promise_since_s is None:
            self.higher_promise_since_s = now_s

    def _on_transfer_leadership(self, now_s: float, sender: MemberId, message: TransferLeadership) -> None:
        """Start a view change at once, if the primary of the accepted view requests it."""
        view = self._context.journal.durable.view
        if view is None or view.epoch != message.epoch or view.primary != sender or self.attempt is not None:
            return
        if self._context.own_id in view.members:
            request = ViewChangeRequest(
                "leadership is transferred", is_urgent=True, avoided=frozenset({sender})
            )
            self.start_view_change(now_s, request)

    def _on_candidate_answer(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Handle an answer to the bootstrap or the view change."""
        if self._bootstrap is not None:
            self._bootstrap.handle(now_s, sender, message)
            if self._bootstrap.is_active:
                view = self._bootstrap.view
                self._bootstrap = None
                self.become_primary(now_s, view, continues_own_state=True)
        elif self.attempt is not None:
            self.attempt.handle(now_s, sender, message)
            self._finish_attempt_if_decided(now_s)

    def on_promised_epoch_raised(self, now_s: float) -> None:
        """End the roles whose epoch is below this member's promise."""
        promised = self._context.journal.durable.promised
        self.highest_epoch_seen = max(self.highest_epoch_seen, promised)
        if self.attempt is not None and promised > self.attempt.epoch:
            self.attempt = None
        if self._bootstrap is not None and promised > self._bootstrap.view.epoch:
            self._bootstrap = None
        own_epoch = self.attempt.epoch if self.attempt else None
        if self.primary is not None and promised > self.primary.view.epoch and promised != own_epoch:
            self.step_down(now_s)

    # -- transitions --

    def start_election_if_needed(self, now_s: float) -> None:
        """Start a view change if there is no active primary and the election time-out is over."""
        if self.primary is not None or self.attempt is not None or self._bootstrap is not None:
            return
        view = self._context.journal.durable.view
        if view is not None and self._excluded_by is not None and self._excluded_by.epoch > view.epoch:
            return  # only the members of that newer view may lead; their primary will send the view
        if self.election.must_start(view, now_s):
            self.start_view_change(now_s, ViewChangeRequest("no active primary", is_urgent=True))

    def start_view_change(self, now_s: float, request: ViewChangeRequest) -> None:
        """Become a candidate, under a higher epoch than any seen. A primary pauses and keeps its queue."""
        view = self._context.journal.durable.view
        if view is None:
            return
        epoch = max(self.highest_epoch_seen, self._context.journal.durable.promised).after(
            self._context.own_id.disk
        )
        self.highest_epoch_seen = epoch
        if self.primary is not None:
            self.primary.is_paused = True
        self.attempt = ViewChangeAttempt(self._context, now_s, epoch, view, request.proposal, request.avoided)

    def _finish_attempt_if_decided(self, now_s: float) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if attempt.excluded_by is not None:
            self._excluded_by = attempt.excluded_by
            self._give_up_attempt(now_s)
        elif attempt.step is Step.ACTIVE and attempt.view is not None:
            self.attempt = None
            self.become_primary(now_s, attempt.view, attempt.continues_own_state)

    def become_primary(self, now_s: float, view: View, continues_own_state: bool) -> None:
        """Lead an active view, and announce it to its members and the previous members."""
        predecessor = self.primary
        self.primary = Primary(self._context, view)
        self.higher_promise_since_s = None
        self._view_changed_at_s = now_s
        self._context.acceptor.record_active_view(ViewActivated(view.epoch))
        for member in sorted({*view.members, *view.previous_members} - {self._context.own_id}):
            self._context.send(member, ViewActivated(view.epoch))
        self.primary.begin(now_s, predecessor, continues_own_state)

    def step_down(self, now_s: float) -> None:
        """End the primary role, if this replica is the primary: another member leads or may lead."""
        if self.primary is not None:
            primary = self.primary
            self.primary = None
            primary.end(self.primary_address(now_s))

    def _give_up_attempt(self, now_s: float) -> None:
        """End the view change; delay the next election randomly, so that candidates don't collide again."""
        self.attempt = None
        backoff_s = self._context.timings.max_retry_backoff_s * self._context.jitter()
        self.election.delay_election_until(now_s + MIN_RETRY_DELAY_S + backoff_s)
        self.step_down(now_s)

    # -- time --

    def on_stall(self, now_s: float, no_election_until_s: float) -> None:
        """Delay elections and restart timers after a freeze of the process."""
        self.election.delay_election_until(no_election_until_s)
        if self.primary is not None:
            self.primary.restart_timers(now_s)

    def tick(self, now_s: float) -> None:
        """Resend requests, check time-outs, and start elections or view changes that are needed."""
        self._tick_attempt(now_s)
        self._tick_bootstrap(now_s)
        if self.primary is not None and not self.primary.is_paused:
            self._tick_primary(now_s, self.primary)
        else:
            self.start_election_if_needed(now_s)

    def _tick_attempt(self, now_s: float) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        attempt.tick(now_s)
        if now_s - attempt.step_began_at_s >= attempt.timeout_s:
            self._give_up_attempt(now_s)

    def _tick_bootstrap(self, now_s: float) -> None:
        if self._bootstrap is not None:
            if self._bootstrap.has_lost_member():
                self._bootstrap = None
            else:
                self._bootstrap.tick(now_s)
            return
        if not self.may_bootstrap or not self._context.acceptor.has_no_view:
            return
        members = ready_seeds(self._context, self._seeds, now_s)
        if members is not None:
            epoch = self.highest_epoch_seen.after(self._context.own_id.disk)
            self.highest_epoch_seen = epoch  # no other proposal of this replica may use the same epoch
            self._bootstrap = Bootstrap(self._context, now_s, members, epoch, self._initial_state)

    def _tick_primary(self, now_s: float, primary: Primary) -> None:
        primary.tick(now_s)
        if not self._context.journal.is_healthy(now_s):
            self._step_down_with_unhealthy_disk(now_s)
        elif self._context.is_shutting_down:
            self._transfer_leadership(now_s, primary)
        else:
            self._change_view_if_needed(now_s, primary)

    def _step_down_with_unhealthy_disk(self, now_s: float) -> None:
        """Step down, and start no election before the disk has had time to recover."""
        self.election.delay_election_until(now_s + self._context.timings.disk_recovery_s)
        self.step_down(now_s)

    def _transfer_leadership(self, now_s: float, primary: Primary) -> None:
        """Ask the best usable backup, at every tick, to lead; without a usable backup, keep leading."""
        successors = [
            member for member in primary.view.replicas[1:] if self._context.is_usable(member, now_s)
        ]
        primary.is_handing_over = bool(successors)
        if successors and primary.is_idle:
            self._context.send(successors[0], TransferLeadership(primary.view.epoch))

    def _change_view_if_needed(self, now_s: float, primary: Primary) -> None:
        slow = primary.slow_replicas(now_s)
        request = self._reconfigurer.needed_view_change(primary.view, slow, now_s)
        is_overdue = (
            self.higher_promise_since_s is not None
            and now_s - self.higher_promise_since_s >= HIGHER_PROMISE_TIMEOUT_S
        )
        if request is None and is_overdue:
            request = ViewChangeRequest("a member promised a higher epoch", is_urgent=True)
        if request is None or not self.election.reaches_majorities_now(primary.view, now_s):
            return
        if (
            request.is_urgent
            or now_s - self._view_changed_at_s >= self._context.timings.view_change_interval_s
        ):
            self.start_view_change(now_s, request)
