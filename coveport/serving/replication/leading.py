"""Which of its roles a member has: follower, candidate or primary, and what leads from one to the other."""

from __future__ import annotations

from coveport.serving.replication.caretaker import Caretaker, Change
from coveport.serving.replication.election import Election
from coveport.serving.replication.founding import Founding
from coveport.serving.replication.identity import MemberId, View
from coveport.serving.replication.messages import Fenced, Message, Ping, TransferLeadership, ViewActivated
from coveport.serving.replication.parts import Parts
from coveport.serving.replication.peers import Peer
from coveport.serving.replication.primary import Primary
from coveport.serving.replication.takeover import Attempt, Step

OUTVOTED_S = 0.6  # after a member promised a higher epoch and nobody led, the primary leads anew


class Leadership:
    """At most one attempt, one founding and one primaryship at a time."""

    def __init__(
        self,
        parts: Parts,
        now_s: float,
        seeds: tuple[str, ...],
        may_bootstrap: bool,
        initial_state: bytes,
    ) -> None:
        self.election = Election(parts, now_s)
        self.caretaker = Caretaker(parts)
        self.primary: Primary | None = None
        self.attempt: Attempt | None = None
        self.highest_seen = parts.journal.durable.promised
        self.outvoted_since_s: float | None = None
        self.may_bootstrap = may_bootstrap
        self._parts = parts
        self._seeds = seeds
        self._initial_state = initial_state
        self._founding: Founding | None = None
        self._excluded_by: View | None = None  # seen in an attempt; we are no member of it
        self._last_change_s = now_s

    @property
    def is_active(self) -> bool:
        """Whether we are the active primary, as far as we know."""
        return self.primary is not None and not self.primary.is_paused

    def address(self, now_s: float) -> str | None:
        """Inner address of the active primary; None: none is heard."""
        if self.is_active:
            return self._parts.own.address
        return self.election.leader(self._parts.journal.durable.view, now_s) or None

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
        self.caretaker.serve(view, peer)
        return ping.view_epoch < view.epoch or ping.active_epoch < view.epoch

    def follow_fence(self, now_s: float) -> None:
        """End what a higher promise than its own put an end to."""
        promised = self._parts.journal.durable.promised
        self.highest_seen = max(self.highest_seen, promised)
        if self.attempt is not None and promised > self.attempt.epoch:
            self.attempt = None
        if self._founding is not None and promised > self._founding.view.epoch:
            self._founding = None
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
        elif self._founding is not None and message.refused == self._founding.view.epoch:
            self._founding = None
        elif self.primary is not None and message.refused == self.primary.view.epoch:
            self.outvoted_since_s = self.outvoted_since_s or now_s

    def take_over(self, now_s: float, sender: MemberId, message: TransferLeadership) -> None:
        """The primary of our view asks us to lead at once."""
        view = self._parts.journal.durable.view
        if view is None or view.epoch != message.epoch or view.primary != sender or self.attempt is not None:
            return
        if self._parts.own in view.members:
            self.start_attempt(now_s, Change("asked by the primary", True, avoided=frozenset({sender})))

    def start_attempt(self, now_s: float, change: Change) -> None:
        """Try to bring a next view up."""
        view = self._parts.journal.durable.view
        if view is None:
            return
        epoch = max(self.highest_seen, self._parts.journal.durable.promised).after(self._parts.own.disk)
        self.highest_seen = epoch
        if self.primary is not None:
            self.primary.is_paused = True
        self.attempt = Attempt(self._parts, now_s, epoch, view, change.wish, change.avoided)

    def take_answer(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Take an answer to the founding or the attempt."""
        if self._founding is not None:
            self._founding.handle(now_s, sender, message)
            if self._founding.is_active:
                founding = self._founding
                self._founding = None
                self.begin_primary(now_s, founding.view, kept_own_state=True)
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
        self.primary = Primary(self._parts, view)
        self.outvoted_since_s = None
        self._last_change_s = now_s
        self._parts.acceptor.record_active_view(ViewActivated(view.epoch))
        for member in sorted({*view.members, *view.previous_members} - {self._parts.own}):
            self._parts.send(member, ViewActivated(view.epoch))
        self.primary.begin(now_s, before, kept_own_state)

    def _give_up_attempt(self, now_s: float) -> None:
        """Fenced, or nothing moved: try again later, if still nobody leads."""
        self.attempt = None
        timings = self._parts.timings
        self.election.hold_off(now_s + 0.1 + timings.backoff_s * self._parts.jitter())
        self.end_primary(now_s)

    # -- time --

    def tick(self, now_s: float) -> None:
        """Let time pass."""
        self._tick_attempt(now_s)
        self._tick_founding(now_s)
        if self.primary is not None and not self.primary.is_paused:
            self._tick_primary(now_s, self.primary)
        else:
            self.stand_if_called(now_s)

    def stand_if_called(self, now_s: float) -> None:
        """Start an attempt where nobody leads and it is this member's turn."""
        if self.primary is not None or self.attempt is not None or self._founding is not None:
            return
        view = self._parts.journal.durable.view
        if view is not None and self._excluded_by is not None and self._excluded_by.epoch > view.epoch:
            return  # others are members by now: they lead, and will tell us of the view
        if self.election.is_called(view, now_s):
            self.start_attempt(now_s, Change("nobody leads", True))

    def _tick_attempt(self, now_s: float) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        attempt.tick(now_s)
        if now_s - attempt.moved_at_s >= attempt.patience_s:
            self._give_up_attempt(now_s)

    def _tick_primary(self, now_s: float, primary: Primary) -> None:
        primary.tick(now_s)
        if not self._parts.journal.is_healthy(now_s):
            self._step_down(now_s)
            return
        if self._parts.is_shutting_down:
            self._hand_over(now_s, primary)
            return
        change = self.caretaker.wanted_change(primary.view, primary.slow_replicas(now_s), now_s)
        is_outvoted = self.outvoted_since_s is not None and now_s - self.outvoted_since_s >= OUTVOTED_S
        if change is None and is_outvoted:
            change = Change("a member promised a higher epoch", True)
        if change is None or not self.election.hears_majorities_now(primary.view, now_s):
            return
        if change.is_urgent or now_s - self._last_change_s >= self._parts.timings.change_gap_s:
            self.start_attempt(now_s, change)

    def _step_down(self, now_s: float) -> None:
        """The own disk doesn't sync: others must lead. The last view keeps being fenced by them."""
        self.election.hold_off(now_s + self._parts.timings.disk_rest_s)
        self.end_primary(now_s)

    def _hand_over(self, now_s: float, primary: Primary) -> None:
        """Ask the best other replica, again and again until it leads; without one go on."""
        successors = [m for m in primary.view.replicas[1:] if self._parts.is_usable(m, now_s)]
        primary.is_closing = bool(successors)
        if successors and primary.is_idle:
            self._parts.send(successors[0], TransferLeadership(primary.view.epoch))

    def _tick_founding(self, now_s: float) -> None:
        parts = self._parts
        if not parts.acceptor.is_blank and self._founding is None:
            return
        if self._founding is not None:
            self._founding.tick(now_s)
            return
        own_address = parts.own.address
        if not self.may_bootstrap or own_address not in self._seeds or own_address != min(self._seeds):
            return
        seeds = [parts.own]
        for address in self._seeds:
            peer = parts.peers.get(address)
            if address == own_address:
                continue
            if peer is None or peer.identity is None or not parts.is_usable(peer.identity, now_s):
                return
            if peer.ping is None or not peer.ping.may_bootstrap:
                return
            seeds.append(peer.identity)
        epoch = self.highest_seen.after(parts.own.disk)
        self._founding = Founding(parts, now_s, tuple(seeds), epoch, self._initial_state)
