"""One coordinator's part in the core: takes events, returns effects. All the logic is in the parts beside."""

from __future__ import annotations

from collections.abc import Callable

from coveport.system.replication.acceptor import Acceptor
from coveport.system.replication.caretaker import Caretaker, Change
from coveport.system.replication.election import Election
from coveport.system.replication.events import (
    Effect,
    Event,
    HandOver,
    NotPrimary,
    Persisted,
    PersistFailed,
    ReadNewest,
    Received,
    StateCode,
    Submit,
    Tick,
)
from coveport.system.replication.founding import Founding
from coveport.system.replication.identity import Epoch, MemberId, Place, View
from coveport.system.replication.journal import Journal
from coveport.system.replication.learner import Learner
from coveport.system.replication.messages import (
    Accept,
    Accepted,
    Append,
    Appended,
    Committed,
    Confirm,
    Confirmed,
    Fenced,
    Fetch,
    Fetched,
    Install,
    Installed,
    Learn,
    LearnState,
    Message,
    Ping,
    Prepare,
    Promise,
    Settled,
    TakeOver,
)
from coveport.system.replication.outbox import Outbox
from coveport.system.replication.parts import Parts
from coveport.system.replication.peers import Peers
from coveport.system.replication.primary import Primary
from coveport.system.replication.records import DurableState
from coveport.system.replication.takeover import Attempt, Step
from coveport.system.replication.timings import Timings

AFTER_START_S = 0.5  # a member that just started or woke first listens who leads
PREFERENCE_S = 10.0  # how long an attempt keeps avoiding those that a change avoided


class CoreMember:
    """Made once in a process' life, from what its disk held."""

    def __init__(
        self,
        identity: MemberId,
        place: Place,
        seeds: tuple[str, ...],  # inner addresses
        tolerated_losses: int,  # machines
        first_boot: bool,  # the whole system starts for the first time
        durable: DurableState,
        code: StateCode,
        jitter: Callable[[], float],  # 0 to 1, seeded by the caller
        initial_state: bytes,
        now_s: float,
        timings: Timings = Timings(),  # noqa: B008 - frozen
    ) -> None:
        outbox = Outbox(identity)
        journal = Journal(durable, outbox, timings)
        self._may_found = first_boot or durable.born_at_founding
        self._parts = Parts(
            own=identity,
            place=place,
            tolerated_losses=tolerated_losses,
            timings=timings,
            jitter=jitter,
            outbox=outbox,
            journal=journal,
            acceptor=Acceptor(journal, outbox, code, self._may_found),
            learner=Learner(outbox, code),
            peers=Peers(identity, timings, now_s),
        )
        self._seeds = seeds
        self._initial_state = initial_state
        self._election = Election(self._parts, now_s)
        self._election.hold_off(now_s + AFTER_START_S)
        self._caretaker = Caretaker(self._parts)
        self._primary: Primary | None = None
        self._attempt: Attempt | None = None
        self._founding: Founding | None = None
        self._highest_seen = durable.promised
        self._outvoted_since_s: float | None = None
        self._last_change_s = now_s
        self._last_tick_s = now_s
        self._last_ping_s = float("-inf")
        self._now_s = now_s
        for seed in seeds:
            self._parts.peers.add(seed, now_s)
        self._add_peers_of_view()

    # -- what a caller may ask --

    @property
    def identity(self) -> MemberId:
        """Who this is."""
        return self._parts.own

    @property
    def view(self) -> View | None:
        """The newest accepted view."""
        return self._parts.journal.durable.view

    @property
    def is_primary(self) -> bool:
        """Whether this is the active primary, as far as it knows."""
        return self._primary is not None and not self._primary.is_paused

    @property
    def primary_address(self) -> str | None:
        """Inner address of the active primary; None: none is heard."""
        if self.is_primary:
            return self._parts.own.address
        return self._election.leader(self.view, self._now_s) or None

    def has_quorum(self, now_s: float) -> bool:
        """Whether we have two-way contact with a majority of the members and with an active primary."""
        view = self.view
        if view is None or not self._election.reaches_majorities(view, now_s):
            return False
        return self.is_primary or bool(self._election.leader(view, now_s))

    def known_coordinators(self, now_s: float) -> tuple[str, ...]:
        """Inner addresses of live coordinators, ourselves included, members of the core or not."""
        alive = [peer.address for peer in self._parts.peers.alive(now_s)]
        return tuple(sorted([self._parts.own.address, *alive]))

    def live_places(self, now_s: float) -> dict[str, Place]:
        """Where each live coordinator stands, by inner address; ourselves included."""
        places = {peer.address: peer.place for peer in self._parts.peers.alive(now_s)}
        return places | {self._parts.own.address: self._parts.place}

    @property
    def contacts(self) -> tuple[str, ...]:
        """Inner addresses to stay connected to, alive or not."""
        return tuple(peer.address for peer in self._parts.peers)

    def describe(self) -> dict[str, object]:
        """For a line of the log."""
        durable = self._parts.journal.durable
        view = durable.view
        return {
            "role": "primary" if self.is_primary else "candidate" if self._attempt else "follower",
            "epoch": view.epoch.number if view else 0,
            "promised": durable.promised.number,
            "primary": view.primary.address if view else "",
            "replicas": [member.address for member in view.replicas] if view else [],
            "members": [member.address for member in view.members] if view else [],
            "committed": self._parts.learner.sequence,
        }

    # -- events --

    def handle(self, now_s: float, event: Event) -> list[Effect]:
        """Take one event; returns what is to be done, in order."""
        self._now_s = now_s
        match event:
            case Tick():
                self._tick(now_s)
            case Received():
                self._received(now_s, event.sender, event.message)
            case Persisted():
                self._parts.journal.persisted(event.token, now_s)
            case PersistFailed():
                self._parts.journal.failed(now_s)
            case Submit() | ReadNewest():
                self._take_call(event)
            case HandOver():
                self._parts.is_leaving = True
                self._last_ping_s = float("-inf")
                self._tick(now_s)
        self._settle(now_s)
        return self._parts.outbox.take()

    def _settle(self, now_s: float) -> None:
        """Run what this step led to, until nothing more follows."""
        outbox = self._parts.outbox
        while True:
            while outbox.to_self:
                self._received(now_s, self._parts.own, outbox.to_self.popleft())
            if self._primary is not None:
                self._primary.advance(now_s)
            persist = self._parts.journal.flush(now_s)
            if persist is not None:
                outbox.add(persist)
            if not outbox.to_self:
                return

    def _take_call(self, event: Submit | ReadNewest) -> None:
        if self._primary is None:
            self._parts.outbox.answer(event.request, NotPrimary(self.primary_address))
        elif isinstance(event, Submit):
            self._primary.submit(event.request, event.command)
        else:
            self._primary.read(event.request)

    # -- messages --

    def _received(self, now_s: float, sender: MemberId, message: Message) -> None:
        acceptor = self._parts.acceptor
        match message:
            case Ping():
                self._take_ping(now_s, sender, message)
            case Prepare():
                self._take_prepare(now_s, sender, message)
            case Fetch():
                acceptor.fetch(sender, message)
            case Install():
                acceptor.install(sender, message)
                self._follow_fence(now_s)
            case Accept():
                self._take_accept(now_s, sender, message)
            case Settled():
                acceptor.settled(message)
            case Append():
                self._take_append(sender, message)
            case Confirm():
                acceptor.confirm(sender, message)
            case Promise() | Fetched() | Installed() | Accepted():
                self._take_answer(now_s, sender, message)
            case Appended():
                if self._primary is not None:
                    self._primary.appended(now_s, sender, message)
            case Confirmed():
                if self._primary is not None:
                    self._primary.confirmed(sender, message)
            case Fenced():
                self._take_fenced(now_s, message)
            case Committed():
                self._take_committed(message)
            case Learn():
                self._parts.learner.learn(message)
            case LearnState():
                self._parts.learner.learn_state(message)
            case TakeOver():
                self._take_over(now_s, sender, message)

    def _take_prepare(self, now_s: float, sender: MemberId, message: Prepare) -> None:
        self._parts.acceptor.prepare(sender, message)
        if sender != self._parts.own and message.epoch == self._parts.journal.durable.promised:
            self._election.hold_off(now_s + self._parts.timings.courtesy_s)
        self._follow_fence(now_s)

    def _take_accept(self, now_s: float, sender: MemberId, message: Accept) -> None:
        self._parts.acceptor.accept(sender, message)
        self._follow_fence(now_s)
        self._add_peers_of_view()

    def _follow_fence(self, now_s: float) -> None:
        """End what a higher promise than its own put an end to."""
        promised = self._parts.journal.durable.promised
        self._highest_seen = max(self._highest_seen, promised)
        if self._attempt is not None and promised > self._attempt.epoch:
            self._attempt = None
        if self._founding is not None and promised > self._founding.view.epoch:
            self._founding = None
        own_epoch = self._attempt.epoch if self._attempt else None
        if self._primary is not None and promised > self._primary.view.epoch and promised != own_epoch:
            self._end_primary()

    def _end_primary(self) -> None:
        if self._primary is not None:
            primary = self._primary
            self._primary = None
            primary.end(self.primary_address)

    def _take_append(self, sender: MemberId, message: Append) -> None:
        acceptor = self._parts.acceptor
        if sender != self._parts.own:
            self._learn_own_state(message.epoch, message.committed)
        acceptor.append(sender, message)

    def _take_committed(self, message: Committed) -> None:
        self._learn_own_state(message.epoch, message.sequence)

    def _learn_own_state(self, epoch: Epoch, committed: int) -> None:
        """What a replica holds is committed up to `committed`: the primary of this epoch said so."""
        acceptor = self._parts.acceptor
        durable = acceptor.durable
        if durable.state_epoch == epoch and durable.sequence == committed:
            command = durable.commands[-1] if durable.commands else None
            self._parts.learner.became(committed, acceptor.state, command)

    def _take_fenced(self, now_s: float, message: Fenced) -> None:
        self._highest_seen = max(self._highest_seen, message.promised)
        if self._attempt is not None and message.refused == self._attempt.epoch:
            self._give_up_attempt(now_s)
        elif self._founding is not None and message.refused == self._founding.view.epoch:
            self._founding = None
        elif self._primary is not None and message.refused == self._primary.view.epoch:
            self._outvoted_since_s = self._outvoted_since_s or now_s

    def _take_over(self, now_s: float, sender: MemberId, message: TakeOver) -> None:
        view = self.view
        if view is None or view.epoch != message.epoch or view.primary != sender or self._attempt is not None:
            return
        if self._parts.own in view.members:
            self._start_attempt(now_s, Change("asked by the primary", True, avoided=frozenset({sender})))

    # -- pings --

    def _take_ping(self, now_s: float, sender: MemberId, ping: Ping) -> None:
        peer = self._parts.peers.heard(now_s, sender, ping)
        self._highest_seen = max(self._highest_seen, ping.promised)
        if self._primary is not None and ping.view_epoch > self._primary.view.epoch and ping.primary:
            self._end_primary()  # another leads by now
        if now_s - peer.served_at_s < self._parts.timings.learn_again_s:
            return
        is_served = False
        if self._primary is not None and not self._primary.is_paused:
            view = self._primary.view
            is_served = ping.view_epoch < view.epoch or ping.settled < view.epoch
            self._caretaker.serve(view, peer, now_s)
            if ping.promised > view.epoch and sender in view.members and self._outvoted_since_s is None:
                self._outvoted_since_s = now_s
        if ping.committed < self._parts.learner.sequence and (self.is_primary or not ping.primary):
            lesson = self._parts.learner.lesson(ping.committed)
            if lesson is not None:
                is_served = True
                self._parts.outbox.send(peer.address, lesson)
        if is_served:
            peer.served_at_s = now_s

    def _send_pings(self, now_s: float) -> None:
        parts = self._parts
        durable = parts.journal.durable
        view = self.view
        reaches = tuple(peer.address for peer in parts.peers.alive(now_s))
        is_well = parts.journal.is_well(now_s)
        is_leading = self.is_primary and is_well and view is not None
        if is_leading and view is not None:
            is_leading = self._election.reaches_majorities(view, now_s)
        primary = parts.own.address if is_leading else self._election.leader(view, now_s)
        for peer in parts.peers:
            ping = Ping(
                counter=int(now_s * 1000),
                echo=peer.heard_counter,
                place=parts.place,
                promised=durable.promised,
                view_epoch=parts.acceptor.view_epoch,
                settled=durable.settled,
                committed=parts.learner.sequence,
                primary=primary,
                is_leading=is_leading,
                is_well=is_well,
                is_leaving=parts.is_leaving,
                may_found=self._may_found and parts.acceptor.is_blank,
                reaches=reaches,
            )
            parts.outbox.send(peer.address, ping)

    def _add_peers_of_view(self) -> None:
        view = self.view
        if view is not None:
            for member in (*view.members, *view.previous_members):
                self._parts.peers.add(member.address, self._now_s)

    # -- attempts --

    def _start_attempt(self, now_s: float, change: Change) -> None:
        view = self.view
        if view is None:
            return
        epoch = max(self._highest_seen, self._parts.journal.durable.promised).after(self._parts.own.disk)
        self._highest_seen = epoch
        if self._primary is not None:
            self._primary.is_paused = True
        self._attempt = Attempt(self._parts, now_s, epoch, view, change.wish, change.avoided)

    def _take_answer(self, now_s: float, sender: MemberId, message: Message) -> None:
        if self._founding is not None:
            self._founding.handle(now_s, sender, message)
            if self._founding.is_active:
                founding = self._founding
                self._founding = None
                self._begin_primary(now_s, founding.view, kept_own_state=True)
        elif self._attempt is not None:
            self._attempt.handle(now_s, sender, message)
            self._follow_attempt(now_s)

    def _follow_attempt(self, now_s: float) -> None:
        attempt = self._attempt
        if attempt is not None and attempt.step is Step.ACTIVE and attempt.view is not None:
            self._attempt = None
            self._begin_primary(now_s, attempt.view, attempt.kept_own_state)

    def _begin_primary(self, now_s: float, view: View, kept_own_state: bool) -> None:
        before = self._primary
        self._primary = Primary(self._parts, view)
        self._outvoted_since_s = None
        self._last_change_s = now_s
        self._parts.acceptor.settled(Settled(view.epoch))
        for member in sorted({*view.members, *view.previous_members} - {self._parts.own}):
            self._parts.send(member, Settled(view.epoch))
        self._primary.begin(now_s, before, kept_own_state)

    def _give_up_attempt(self, now_s: float) -> None:
        """Fenced, or nothing moved: try again later, if still nobody leads."""
        self._attempt = None
        timings = self._parts.timings
        self._election.hold_off(now_s + 0.1 + timings.backoff_s * self._parts.jitter())
        self._end_primary()

    # -- time --

    def _tick(self, now_s: float) -> None:
        parts = self._parts
        if now_s - self._last_tick_s >= parts.timings.slept_s:
            self._wake(now_s)
        self._last_tick_s = now_s
        if now_s - self._last_ping_s >= parts.timings.ping_s:
            self._last_ping_s = now_s
            self._send_pings(now_s)
        self._tick_attempt(now_s)
        self._tick_founding(now_s)
        if self._primary is not None and not self._primary.is_paused:
            self._tick_primary(now_s, self._primary)
        elif self._attempt is None and self._election.is_called(self.view, now_s):
            self._start_attempt(now_s, Change("nobody leads", True))

    def _wake(self, now_s: float) -> None:
        """The process stood still: judge nobody by that time."""
        self._parts.journal.slept(now_s)
        self._parts.peers.awake_since_s = now_s
        self._election.hold_off(now_s + AFTER_START_S)
        if self._primary is not None:
            self._primary.slept(now_s)

    def _tick_attempt(self, now_s: float) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        attempt.tick(now_s)
        if now_s - attempt.moved_at_s >= attempt.patience_s:
            self._give_up_attempt(now_s)

    def _tick_primary(self, now_s: float, primary: Primary) -> None:
        primary.tick(now_s)
        if not self._parts.journal.is_well(now_s):
            self._step_down(now_s)
            return
        if self._parts.is_leaving:
            self._hand_over(now_s, primary)
            return
        change = self._caretaker.wanted_change(primary.view, primary.slow_replicas(now_s), now_s)
        is_outvoted = self._outvoted_since_s is not None and now_s - self._outvoted_since_s >= 0.6
        if change is None and is_outvoted:
            change = Change("a member promised a higher epoch", True)
        if change is None or not self._election.hears_majorities_now(primary.view, now_s):
            return
        if change.is_urgent or now_s - self._last_change_s >= self._parts.timings.change_gap_s:
            self._start_attempt(now_s, change)

    def _step_down(self, now_s: float) -> None:
        """The own disk doesn't sync: others must lead. The last view keeps being fenced by them."""
        self._election.hold_off(now_s + self._parts.timings.disk_rest_s)
        self._end_primary()

    def _hand_over(self, now_s: float, primary: Primary) -> None:
        """Ask the best other replica, again and again until it leads; without one go on."""
        successors = [m for m in primary.view.replicas[1:] if self._parts.is_usable(m, now_s)]
        primary.is_closing = bool(successors)
        if successors and primary.is_idle:
            self._parts.send(successors[0], TakeOver(primary.view.epoch))

    def _tick_founding(self, now_s: float) -> None:
        parts = self._parts
        if not parts.acceptor.is_blank and self._founding is None:
            return
        if self._founding is not None:
            self._founding.tick(now_s)
            return
        own_address = parts.own.address
        if not self._may_found or own_address not in self._seeds or own_address != min(self._seeds):
            return
        seeds = [parts.own]
        for address in self._seeds:
            peer = parts.peers.get(address)
            if address == own_address:
                continue
            if peer is None or peer.identity is None or not parts.is_usable(peer.identity, now_s):
                return
            if peer.ping is None or not peer.ping.may_found:
                return
            seeds.append(peer.identity)
        epoch = self._highest_seen.after(parts.own.disk)
        self._founding = Founding(parts, now_s, tuple(seeds), epoch, self._initial_state)
