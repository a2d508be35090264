"""One coordinator's part in the core: takes events, returns effects. All the logic is in the parts beside."""

from __future__ import annotations

from collections.abc import Callable, Collection

from coveport.serving.replication.acceptor import Acceptor
from coveport.serving.replication.committed_log import CommittedLog
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
from coveport.serving.replication.leader_role import LeaderRole
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
from coveport.serving.replication.peers import Peers
from coveport.serving.replication.ping_sender import PingSender
from coveport.serving.replication.records import DurableState
from coveport.serving.replication.replica_context import ReplicaContext
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
        self._context = ReplicaContext(
            own_id=identity,
            locality=locality,
            tolerated_losses=tolerated_losses,
            timings=timings,
            jitter=jitter,
            outbox=outbox,
            journal=journal,
            acceptor=Acceptor(journal, outbox, state_machine, may_bootstrap),
            committed_log=CommittedLog(outbox, state_machine),
            peers=Peers(identity, timings, now_s),
        )
        self._leader_role = LeaderRole(self._context, now_s, seeds, may_bootstrap, initial_state)
        self._leader_role.election.listen(now_s + AFTER_START_S)
        self._last_tick_s = now_s
        self._ping_sender = PingSender(self._context, self._leader_role)
        self._now_s = now_s
        for seed in seeds:
            self._context.peers.add(seed, now_s)
        self._add_peers_of_view()

    # -- what a caller may ask --

    @property
    def identity(self) -> MemberId:
        """Who this is."""
        return self._context.own_id

    @property
    def view(self) -> View | None:
        """The newest accepted view."""
        return self._context.journal.durable.view

    @property
    def is_primary(self) -> bool:
        """Whether this is the active primary, as far as it knows."""
        return self._leader_role.is_active

    @property
    def primary_address(self) -> str | None:
        """Inner address of the active primary; None: none is heard."""
        return self._leader_role.address(self._now_s)

    def has_quorum(self, now_s: float) -> bool:
        """Whether we have two-way contact with a majority of the members and with an active primary."""
        view = self.view
        if view is None or not self._leader_role.election.reaches_majorities(view, now_s):
            return False
        return self.is_primary or bool(self._leader_role.election.leader(view, now_s))

    @property
    def view_epoch(self) -> Epoch:
        """Of the newest accepted view; NO_EPOCH: none is known."""
        return self._context.acceptor.view_epoch

    def is_majority(self, others: Collection[MemberId]) -> bool:
        """Whether these, with us, are a majority of each group that decides; never where no view is known."""
        view = self.view
        if view is None:
            return False
        groups = view.groups(self._context.journal.durable.active_epoch)
        return has_majorities({*others, self._context.own_id}, groups)

    def known_coordinators(self, now_s: float) -> tuple[str, ...]:
        """Inner addresses of live coordinators, ourselves included, members of the core or not."""
        alive = [peer.address for peer in self._context.peers.alive(now_s)]
        return tuple(sorted([self._context.own_id.address, *alive]))

    def live_localities(self, now_s: float) -> dict[str, Locality]:
        """Where each live coordinator stands, by inner address; ourselves included."""
        localities = {peer.address: peer.locality for peer in self._context.peers.alive(now_s)}
        return localities | {self._context.own_id.address: self._context.locality}

    @property
    def contacts(self) -> tuple[str, ...]:
        """Inner addresses to stay connected to, alive or not."""
        return tuple(peer.address for peer in self._context.peers)

    def has_left(self, now_s: float) -> bool:
        """Whether this process may end: no view needs what it holds, and another has its vote if one can."""
        view = self.view
        if view is None:
            return True
        own_id = self._context.own_id
        if own_id in view.replicas or self._context.journal.durable.active_epoch < view.epoch:
            return False
        return own_id not in view.members or not self._is_spare_there(view, now_s)

    def _is_spare_there(self, view: View, now_s: float) -> bool:
        """Whether a live coordinator could take our vote."""
        others = [peer.identity for peer in self._context.peers.alive(now_s) if peer.identity is not None]
        return any(one not in view.members and self._context.is_usable(one, now_s) for one in others)

    def describe(self) -> dict[str, object]:
        """For a line of the log."""
        durable = self._context.journal.durable
        view = durable.view
        return {
            "role": "primary"
            if self.is_primary
            else "candidate"
            if self._leader_role.attempt
            else "follower",
            "epoch": view.epoch.number if view else 0,
            "promised": durable.promised.number,
            "primary": view.primary.address if view else "",
            "replicas": [member.address for member in view.replicas] if view else [],
            "members": [member.address for member in view.members] if view else [],
            "committed": self._context.committed_log.sequence,
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
                self._context.journal.persisted(event.token, now_s)
            case PersistFailed():
                self._context.journal.failed(now_s)
            case Submit() | ReadNewest():
                self._take_call(event)
            case CancelCall():
                if self._leader_role.primary is not None:
                    self._leader_role.primary.withdraw(event.request)
            case ShutdownRequested():
                self._context.is_shutting_down = True
                self._ping_sender.make_due()
                self._tick(now_s)
        self._settle(now_s)
        return self._context.outbox.take()

    def _settle(self, now_s: float) -> None:
        """Run what this step led to, until nothing more follows."""
        outbox = self._context.outbox
        while True:
            while outbox.to_self:
                self._received(now_s, self._context.own_id, outbox.to_self.popleft())
            if self._leader_role.primary is not None:
                self._leader_role.primary.advance(now_s)
            persist = self._context.journal.flush(now_s)
            if persist is not None:
                outbox.add(persist)
            if not outbox.to_self:
                return

    def _take_call(self, event: Submit | ReadNewest) -> None:
        if self._leader_role.primary is None:
            self._context.outbox.answer(event.request, NotPrimary(self.primary_address))
        elif isinstance(event, Submit):
            self._leader_role.primary.submit(event.request, event.command)
        else:
            self._leader_role.primary.read(event.request)

    # -- messages --

    def _received(self, now_s: float, sender: MemberId, message: Message) -> None:
        acceptor = self._context.acceptor
        match message:
            case Ping():
                self._take_ping(now_s, sender, message)
            case Prepare():
                self._take_prepare(now_s, sender, message)
            case Fetch():
                acceptor.fetch(sender, message)
            case Install():
                acceptor.install(sender, message)
                self._leader_role.follow_fence(now_s)
            case Accept():
                self._take_accept(now_s, sender, message)
            case ViewActivated():
                acceptor.record_active_view(message)
            case Append():
                self._take_append(sender, message)
            case Confirm():
                acceptor.confirm(sender, message)
            case Promise() | Fetched() | Installed() | Accepted():
                self._leader_role.take_answer(now_s, sender, message)
            case Appended():
                if self._leader_role.primary is not None:
                    self._leader_role.primary.appended(now_s, sender, message)
            case Confirmed():
                if self._leader_role.primary is not None:
                    self._leader_role.primary.confirmed(sender, message)
            case Fenced():
                self._leader_role.take_fenced(now_s, message)
            case Committed():
                self._take_committed(message)
            case CatchUpCommands():
                self._context.committed_log.learn(message)
            case CatchUpSnapshot():
                self._context.committed_log.learn_state(sender, message)
            case TransferLeadership():
                self._leader_role.take_over(now_s, sender, message)

    def _take_prepare(self, now_s: float, sender: MemberId, message: Prepare) -> None:
        self._context.acceptor.prepare(sender, message)
        if sender != self._context.own_id and message.epoch == self._context.journal.durable.promised:
            self._leader_role.election.hold_off(now_s + self._context.timings.courtesy_s)
        self._leader_role.follow_fence(now_s)

    def _take_accept(self, now_s: float, sender: MemberId, message: Accept) -> None:
        self._context.acceptor.accept(sender, message)
        self._leader_role.follow_fence(now_s)
        self._add_peers_of_view()

    def _take_append(self, sender: MemberId, message: Append) -> None:
        acceptor = self._context.acceptor
        if sender != self._context.own_id:
            self._learn_own_state(message.epoch, message.committed)
        acceptor.append(sender, message)

    def _take_committed(self, message: Committed) -> None:
        self._learn_own_state(message.epoch, message.sequence)

    def _learn_own_state(self, epoch: Epoch, committed: int) -> None:
        """What a replica holds is committed up to `committed`: the primary of this epoch said so."""
        acceptor = self._context.acceptor
        durable = acceptor.durable
        if durable.state_epoch == epoch and durable.sequence == committed:
            command = durable.commands[-1] if durable.commands else None
            self._context.committed_log.became(committed, acceptor.state, command)

    # -- pings --

    def _take_ping(self, now_s: float, sender: MemberId, ping: Ping) -> None:
        peer = self._context.peers.heard(now_s, sender, ping)
        if peer.alive_since_s == now_s:
            self._ping_sender.answer(now_s, peer)
        self._leader_role.take_ping(now_s, sender, ping)
        self._leader_role.stand_if_called(now_s)
        if now_s - peer.served_at_s < self._context.timings.learn_again_s:
            return
        is_served = self._leader_role.serve(peer, ping)
        if ping.committed < self._context.committed_log.sequence and (self.is_primary or not ping.primary):
            is_served |= self._context.committed_log.teach(now_s, peer, ping.committed)
        if is_served:
            peer.served_at_s = now_s

    def _connected(self, now_s: float, address: str) -> None:
        """What was sent to it before is lost: say at once who and how we are."""
        peer = self._context.peers.get(address)
        if peer is not None:
            peer.sent_state = None
            self._ping_sender.send(now_s, [peer])

    def _add_peers_of_view(self) -> None:
        view = self.view
        if view is not None:
            for member in (*view.members, *view.previous_members):
                self._context.peers.add(member.address, self._now_s)

    # -- time --

    def _tick(self, now_s: float) -> None:
        context = self._context
        if now_s - self._last_tick_s >= context.timings.slept_s:
            self._wake(now_s)
        self._last_tick_s = now_s
        self._ping_sender.tick(now_s)
        self._leader_role.tick(now_s)

    def _wake(self, now_s: float) -> None:
        """The process stood still: judge nobody by that time."""
        self._context.journal.slept(now_s)
        self._context.peers.awake_since_s = now_s
        self._leader_role.election.hold_off(now_s + AFTER_WAKING_S)
        if self._leader_role.primary is not None:
            self._leader_role.primary.slept(now_s)
