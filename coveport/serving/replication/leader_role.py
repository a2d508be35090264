"""Which of its roles a member has: follower, candidate or primary, and what leads from one to the other."""

from __future__ import annotations

from coveport.serving.replication.bootstrap import Bootstrap
from coveport.serving.replication.election import Election
from coveport.serving.replication.identity import MemberId, View
from coveport.serving.replication.messages import Fenced, Message, Ping, TransferLeadership, ViewActivated
from coveport.serving.replication.peers import Peer
from coveport.serving.replication.primary import Primary
from coveport.serving.replication.reconfiguration import Reconfigurer, ViewChangeRequest
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.view_change import Step, ViewChangeAttempt

OUTVOTED_S = 0.6  # after a member promised a higher epoch and nobody led, the primary leads anew


class LeaderRole:
    """At most one attempt, one founding and one primaryship at a time."""

    def __init__(
        self,
        context: ReplicaContext,
        now_s: float,
        seeds: tuple[str, ...],
        may_bootstrap: bool,
        initial_state: bytes,
    ) -> None:
        self.election = Election(context, now_s)
        self.reconfigurer = Reconfigurer(context)
        self.primary: Primary | None = None
        self.attempt: ViewChangeAttempt | None = None
        self.highest_seen = context.journal.durable.promised
        self.outvoted_since_s: float | None = None
        self.may_bootstrap = may_bootstrap
        self._context = context
        self._seeds = seeds
        self._initial_state = initial_state
        self._bootstrap: Bootstrap | None = None
        self._excluded_by: View | None = None  # seen in an attempt; we are no member of it
        self._last_change_s = now_s

    @property
    def is_active(self) -> bool:
        """Whether we are the active primary, as far as we know."""
        return self.primary is not None and not self.primary.is_paused

    def address(self, now_s: float) -> str | None:
        """Inner address of the active primary; None: none is heard."""
        if self.is_active:
            return self._context.own_id.address
        return self.election.leader(self._context.journal.durable.view, now_s) or None

    # -- what arrives --

    def take_ping(self, now_s: float, sender: MemberId, ping: Ping) -> None:
        """See from a ping whether another leads or was promised to."""
        self.highest_seen = max(self.highest_seen, ping.promised)
        primary = self.primary
        if primary is None:
            return
        if ping.view_epoch > primary.view.epoch and ping.primary:
            self.end_primary(now_s)  # another leads by now
        elif self.is_active and ping.promised > primary.view.epoch and sender in primary.view.members:
            self.outvoted_since_s = self.outvoted_since_s or now_s

    def serve(self, peer: Peer, ping: Ping) -> bool:
        """As active primary, send a peer that pinged the view that it lacks; whether it lacked it."""
        if self.primary is None or not self.is_active:
            return False
        view = self.primary.view
        self.reconfigurer.serve(view, peer)
        return ping.view_epoch < view.epoch or ping.active_epoch < view.epoch

    def follow_fence(self, now_s: float) -> None:
        """End what a higher promise than its own put an end to."""
        promised = self._context.journal.durable.promised
        self.highest_seen = max(self.highest_seen, promised)
        if self.attempt is not None and promised > self.attempt.epoch:
            self.attempt = None
        if self._bootstrap is not None and promised > self._bootstrap.view.epoch:
            self._bootstrap = None
        own_epoch = self.attempt.epoch if self.attempt else None
        if self.primary is not None and promised > self.primary.view.epoch and promised != own_epoch:
            self.end_primary(now_s)

    def end_primary(self, now_s: float) -> None:
        """Another leads or may lead."""
        if self.primary is not None:
            primary = self.primary
            self.primary = None
            primary.end(self.address(now_s))

    def take_fenced(self, now_s: float, message: Fenced) -> None:
        """Someone promised higher."""
        self.highest_seen = max(self.highest_seen, message.promised)
        if self.attempt is not None and message.refused == self.attempt.epoch:
            self._give_up_attempt(now_s)
        elif self._bootstrap is not None and message.refused == self._bootstrap.view.epoch:
            self._bootstrap = None
        elif self.primary is not None and message.refused == self.primary.view.epoch:
            self.outvoted_since_s = self.outvoted_since_s or now_s

    def take_over(self, now_s: float, sender: MemberId, message: TransferLeadership) -> None:
        """The primary of our view asks us to lead at once."""
        view = self._context.journal.durable.view
        if view is None or view.epoch != message.epoch or view.primary != sender or self.attempt is not None:
            return
        if self._context.own_id in view.members:
            self.start_attempt(
                now_s, ViewChangeRequest("asked by the primary", True, avoided=frozenset({sender}))
            )

    def start_attempt(self, now_s: float, change: ViewChangeRequest) -> None:
        """Try to bring a next view up."""
        view = self._context.journal.durable.view
        if view is None:
            return
        epoch = max(self.highest_seen, self._context.journal.durable.promised).after(
            self._context.own_id.disk
        )
        self.highest_seen = epoch
        if self.primary is not None:
            self.primary.is_paused = True
        self.attempt = ViewChangeAttempt(self._context, now_s, epoch, view, change.proposal, change.avoided)

    def take_answer(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Take an answer to the founding or the attempt."""
        if self._bootstrap is not None:
            self._bootstrap.handle(now_s, sender, message)
            if self._bootstrap.is_active:
                bootstrap = self._bootstrap
                self._bootstrap = None
                self.begin_primary(now_s, bootstrap.view, kept_own_state=True)
        elif self.attempt is not None:
            self.attempt.handle(now_s, sender, message)
            self._follow_attempt(now_s)

    def _follow_attempt(self, now_s: float) -> None:
        attempt = self.attempt
        if attempt is not None and attempt.excluded_by is not None:
            self._excluded_by = attempt.excluded_by
            self._give_up_attempt(now_s)
        elif attempt is not None and attempt.step is Step.ACTIVE and attempt.view is not None:
            self.attempt = None
            self.begin_primary(now_s, attempt.view, attempt.kept_own_state)

    def begin_primary(self, now_s: float, view: View, kept_own_state: bool) -> None:
        """A view of ours is active."""
        before = self.primary
        self.primary = Primary(self._context, view)
        self.outvoted_since_s = None
        self._last_change_s = now_s
        self._context.acceptor.record_active_view(ViewActivated(view.epoch))
        for member in sorted({*view.members, *view.previous_members} - {self._context.own_id}):
            self._context.send(member, ViewActivated(view.epoch))
        self.primary.begin(now_s, before, kept_own_state)

    def _give_up_attempt(self, now_s: float) -> None:
        """Fenced, or nothing moved: try again later, if still nobody leads."""
        self.attempt = None
        timings = self._context.timings
        self.election.hold_off(now_s + 0.1 + timings.backoff_s * self._context.jitter())
        self.end_primary(now_s)

    # -- time --

    def tick(self, now_s: float) -> None:
        """Let time pass."""
        self._tick_attempt(now_s)
        self._tick_bootstrap(now_s)
        if self.primary is not None and not self.primary.is_paused:
            self._tick_primary(now_s, self.primary)
        else:
            self.stand_if_called(now_s)

    def stand_if_called(self, now_s: float) -> None:
        """Start an attempt where nobody leads and it is this member's turn."""
        if self.primary is not None or self.attempt is not None or self._bootstrap is not None:
            return
        view = self._context.journal.durable.view
        if view is not None and self._excluded_by is not None and self._excluded_by.epoch > view.epoch:
            return  # others are members by now: they lead, and will tell us of the view
        if self.election.is_called(view, now_s):
            self.start_attempt(now_s, ViewChangeRequest("nobody leads", True))

    def _tick_attempt(self, now_s: float) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        attempt.tick(now_s)
        if now_s - attempt.moved_at_s >= attempt.patience_s:
            self._give_up_attempt(now_s)

    def _tick_primary(self, now_s: float, primary: Primary) -> None:
        primary.tick(now_s)
        if not self._context.journal.is_healthy(now_s):
            self._step_down(now_s)
            return
        if self._context.is_shutting_down:
            self._hand_over(now_s, primary)
            return
        change = self.reconfigurer.needed_view_change(primary.view, primary.slow_replicas(now_s), now_s)
        is_outvoted = self.outvoted_since_s is not None and now_s - self.outvoted_since_s >= OUTVOTED_S
        if change is None and is_outvoted:
            change = ViewChangeRequest("a member promised a higher epoch", True)
        if change is None or not self.election.hears_majorities_now(primary.view, now_s):
            return
        if change.is_urgent or now_s - self._last_change_s >= self._context.timings.change_gap_s:
            self.start_attempt(now_s, change)

    def _step_down(self, now_s: float) -> None:
        """The own disk doesn't sync: others must lead. The last view keeps being fenced by them."""
        self.election.hold_off(now_s + self._context.timings.disk_rest_s)
        self.end_primary(now_s)

    def _hand_over(self, now_s: float, primary: Primary) -> None:
        """Ask the best other replica, again and again until it leads; without one go on."""
        successors = [m for m in primary.view.replicas[1:] if self._context.is_usable(m, now_s)]
        primary.is_closing = bool(successors)
        if successors and primary.is_idle:
            self._context.send(successors[0], TransferLeadership(primary.view.epoch))

    def _tick_bootstrap(self, now_s: float) -> None:
        context = self._context
        if not context.acceptor.is_blank and self._bootstrap is None:
            return
        if self._bootstrap is not None:
            self._bootstrap.tick(now_s)
            return
        own_address = context.own_id.address
        if not self.may_bootstrap or own_address not in self._seeds or own_address != min(self._seeds):
            return
        seeds = [context.own_id]
        for address in self._seeds:
            peer = context.peers.get(address)
            if address == own_address:
                continue
            if peer is None or peer.identity is None or not context.is_usable(peer.identity, now_s):
                return
            if peer.ping is None or not peer.ping.may_bootstrap:
                return
            seeds.append(peer.identity)
        epoch = self.highest_seen.after(context.own_id.disk)
        self._bootstrap = Bootstrap(context, now_s, tuple(seeds), epoch, self._initial_state)
