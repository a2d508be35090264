"""One coordinator's part in the core: takes events, returns effects. All the logic is in the parts beside."""

from __future__ import annotations

from collections.abc import Callable, Collection

from coveport.serving.replication.acceptor import Acceptor
from coveport.serving.replication.events import (
    CancelCall,
    Connected,
    Effect,
    Event,
    NotPrimary,
    Persisted,
    PersistFailed,
    ReadNewest,
    Received,
    ShutdownRequested,
    StateMachine,
    Submit,
    Tick,
)
from coveport.serving.replication.identity import Epoch, Locality, MemberId, View, has_majorities
from coveport.serving.replication.journal import Journal
from coveport.serving.replication.leading import Leadership
from coveport.serving.replication.learner import Learner
from coveport.serving.replication.messages import (
    Accept,
    Accepted,
    Append,
    Appended,
    CatchUpCommands,
    CatchUpSnapshot,
    Committed,
    Confirm,
    Confirmed,
    Fenced,
    Fetch,
    Fetched,
    Install,
    Installed,
    Message,
    Ping,
    Prepare,
    Promise,
    TransferLeadership,
    ViewActivated,
)
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.parts import Parts
from coveport.serving.replication.peers import Peers
from coveport.serving.replication.pinging import Pinger
from coveport.serving.replication.records import DurableState
from coveport.serving.replication.timings import Timings

AFTER_START_S = 0.25  # a member that just started listens who leads, unless all members said it before that
AFTER_WAKING_S = 0.5  # one that stood still waits: what it last heard is old


class Replica:
    """Made once in a process' life, from what its disk held."""

    def __init__(
        self,
        identity: MemberId,
        locality: Locality,
        seeds: tuple[str, ...],  # inner addresses
        tolerated_losses: int,  # machines
        durable: DurableState,
        state_machine: StateMachine,
        jitter: Callable[[], float],  # 0 to 1, seeded by the caller
        initial_state: bytes,
        now_s: float,
        timings: Timings = Timings(),  # noqa: B008 - frozen
    ) -> None:
        outbox = Outbox(identity)
        journal = Journal(durable, outbox, timings)
        may_bootstrap = durable.created_at_bootstrap
        self._parts = Parts(
            own=identity,
            locality=locality,
            tolerated_losses=tolerated_losses,
            timings=timings,
            jitter=jitter,
            outbox=outbox,
            journal=journal,
            acceptor=Acceptor(journal, outbox, state_machine, may_bootstrap),
            learner=Learner(outbox, state_machine),
            peers=Peers(identity, timings, now_s),
        )
        self._leading = Leadership(self._parts, now_s, seeds, may_bootstrap, initial_state)
        self._leading.election.listen(now_s + AFTER_START_S)
        self._last_tick_s = now_s
        self._pinger = Pinger(self._parts, self._leading)
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
        return self._leading.is_active

    @property
    def primary_address(self) -> str | None:
        """Inner address of the active primary; None: none is heard."""
        return self._leading.address(self._now_s)

    def has_quorum(self, now_s: float) -> bool:
        """Whether we have two-way contact with a majority of the members and with an active primary."""
        view = self.view
        if view is None or not self._leading.election.reaches_majorities(view, now_s):
            return False
        return self.is_primary or bool(self._leading.election.leader(view, now_s))

    @property
    def view_epoch(self) -> Epoch:
        """Of the newest accepted view; NO_EPOCH: none is known."""
        return self._parts.acceptor.view_epoch

    def is_majority(self, others: Collection[MemberId]) -> bool:
        """Whether these, with us, are a majority of each group that decides; never where no view is known."""
        view = self.view
        if view is None:
            return False
        groups = view.groups(self._parts.journal.durable.active_epoch)
        return has_majorities({*others, self._parts.own}, groups)

    def known_coordinators(self, now_s: float) -> tuple[str, ...]:
        """Inner addresses of live coordinators, ourselves included, members of the core or not."""
        alive = [peer.address for peer in self._parts.peers.alive(now_s)]
        return tuple(sorted([self._parts.own.address, *alive]))

    def live_localities(self, now_s: float) -> dict[str, Locality]:
        """Where each live coordinator stands, by inner address; ourselves included."""
        localities = {peer.address: peer.locality for peer in self._parts.peers.alive(now_s)}
        return localities | {self._parts.own.address: self._parts.locality}

    @property
    def contacts(self) -> tuple[str, ...]:
        """Inner addresses to stay connected to, alive or not."""
        return tuple(peer.address for peer in self._parts.peers)

    def has_left(self, now_s: float) -> bool:
        """Whether this process may end: no view needs what it holds, and another has its vote if one can."""
        view = self.view
        if view is None:
            return True
        own = self._parts.own
        if own in view.replicas or self._parts.journal.durable.active_epoch < view.epoch:
            return False
        return own not in view.members or not self._is_spare_there(view, now_s)

    def _is_spare_there(self, view: View, now_s: float) -> bool:
        """Whether a live coordinator could take our vote."""
        others = [peer.identity for peer in self._parts.peers.alive(now_s) if peer.identity is not None]
        return any(one not in view.members and self._parts.is_usable(one, now_s) for one in others)

    def describe(self) -> dict[str, object]:
        """For a line of the log."""
        durable = self._parts.journal.durable
        view = durable.view
        return {
            "role": "primary" if self.is_primary else "candidate" if self._leading.attempt else "follower",
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
            case Connected():
                self._connected(now_s, event.address)
            case Received():
                self._received(now_s, event.sender, event.message)
            case Persisted():
                self._parts.journal.persisted(event.token, now_s)
            case PersistFailed():
                self._parts.journal.failed(now_s)
            case Submit() | ReadNewest():
                self._take_call(event)
            case CancelCall():
                if self._leading.primary is not None:
                    self._leading.primary.withdraw(event.request)
            case ShutdownRequested():
                self._parts.is_shutting_down = True
                self._pinger.make_due()
                self._tick(now_s)
        self._settle(now_s)
        return self._parts.outbox.take()

    def _settle(self, now_s: float) -> None:
        """Run what this step led to, until nothing more follows."""
        outbox = self._parts.outbox
        while True:
            while outbox.to_self:
                self._received(now_s, self._parts.own, outbox.to_self.popleft())
            if self._leading.primary is not None:
                self._leading.primary.advance(now_s)
            persist = self._parts.journal.flush(now_s)
            if persist is not None:
                outbox.add(persist)
            if not outbox.to_self:
                return

    def _take_call(self, event: Submit | ReadNewest) -> None:
        if self._leading.primary is None:
            self._parts.outbox.answer(event.request, NotPrimary(self.primary_address))
        elif isinstance(event, Submit):
            self._leading.primary.submit(event.request, event.command)
        else:
            self._leading.primary.read(event.request)

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
                self._leading.follow_fence(now_s)
            case Accept():
                self._take_accept(now_s, sender, message)
            case ViewActivated():
                acceptor.record_active_view(message)
            case Append():
                self._take_append(sender, message)
            case Confirm():
                acceptor.confirm(sender, message)
            case Promise() | Fetched() | Installed() | Accepted():
                self._leading.take_answer(now_s, sender, message)
            case Appended():
                if self._leading.primary is not None:
                    self._leading.primary.appended(now_s, sender, message)
            case Confirmed():
                if self._leading.primary is not None:
                    self._leading.primary.confirmed(sender, message)
            case Fenced():
                self._leading.take_fenced(now_s, message)
            case Committed():
                self._take_committed(message)
            case CatchUpCommands():
                self._parts.learner.learn(message)
            case CatchUpSnapshot():
                self._parts.learner.learn_state(sender, message)
            case TransferLeadership():
                self._leading.take_over(now_s, sender, message)

    def _take_prepare(self, now_s: float, sender: MemberId, message: Prepare) -> None:
        self._parts.acceptor.prepare(sender, message)
        if sender != self._parts.own and message.epoch == self._parts.journal.durable.promised:
            self._leading.election.hold_off(now_s + self._parts.timings.courtesy_s)
        self._leading.follow_fence(now_s)

    def _take_accept(self, now_s: float, sender: MemberId, message: Accept) -> None:
        self._parts.acceptor.accept(sender, message)
        self._leading.follow_fence(now_s)
        self._add_peers_of_view()

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

    # -- pings --

    def _take_ping(self, now_s: float, sender: MemberId, ping: Ping) -> None:
        peer = self._parts.peers.heard(now_s, sender, ping)
        if peer.alive_since_s == now_s:
            self._pinger.answer(now_s, peer)
        self._leading.take_ping(now_s, sender, ping)
        self._leading.stand_if_called(now_s)
        if now_s - peer.served_at_s < self._parts.timings.learn_again_s:
            return
        is_served = self._leading.serve(peer, ping)
        if ping.committed < self._parts.learner.sequence and (self.is_primary or not ping.primary):
            is_served |= self._parts.learner.teach(now_s, peer, ping.committed)
        if is_served:
            peer.served_at_s = now_s

    def _connected(self, now_s: float, address: str) -> None:
        """What was sent to it before is lost: say at once who and how we are."""
        peer = self._parts.peers.get(address)
        if peer is not None:
            peer.sent_state = None
            self._pinger.send(now_s, [peer])

    def _add_peers_of_view(self) -> None:
        view = self.view
        if view is not None:
            for member in (*view.members, *view.previous_members):
                self._parts.peers.add(member.address, self._now_s)

    # -- time --

    def _tick(self, now_s: float) -> None:
        parts = self._parts
        if now_s - self._last_tick_s >= parts.timings.slept_s:
            self._wake(now_s)
        self._last_tick_s = now_s
        self._pinger.tick(now_s)
        self._leading.tick(now_s)

    def _wake(self, now_s: float) -> None:
        """The process stood still: judge nobody by that time."""
        self._parts.journal.slept(now_s)
        self._parts.peers.awake_since_s = now_s
        self._leading.election.hold_off(now_s + AFTER_WAKING_S)
        if self._leading.primary is not None:
            self._leading.primary.slept(now_s)
