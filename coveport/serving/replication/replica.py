"""One replica of the control state: passes each event to the responsible module, and returns the effects.

Besides dispatching, this module sets only the election delays after a start, a stall and a promise. Owners:

- `acceptor.py`: the promise and the state of this replica; `journal.py`: the disk
- `committed_log.py`: the committed state; `catch_up.py`: catch-up of peers that lack a part of this state
- `peers.py`: the liveness of peers; `ping_sender.py`: the pings that report this replica's status
- `leader_role.py`: follower, candidate or primary; with `election.py`, `view_change.py`, `bootstrap.py`,
  `primary.py`, `quorum_check.py` and `reconfiguration.py`
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from coveport.serving.replication.acceptor import Acceptor
from coveport.serving.replication.catch_up import CatchUp
from coveport.serving.replication.committed_log import CommittedLog
from coveport.serving.replication.events import (
    CancelCall,
    Connected,
    Effect,
    Event,
    Persisted,
    PersistFailed,
    ReadNewest,
    Received,
    ShutdownRequested,
    Submit,
    Tick,
)
from coveport.serving.replication.identity import Epoch, Locality, MemberId, View, has_majorities
from coveport.serving.replication.journal import Journal
from coveport.serving.replication.leader_role import LeaderRole
from coveport.serving.replication.messages import (
    Accept,
    Append,
    CatchUpCommands,
    CatchUpSnapshot,
    Committed,
    Confirm,
    Fetch,
    Install,
    Message,
    Ping,
    Prepare,
    ViewActivated,
)
from coveport.serving.replication.outbox import Outbox
from coveport.serving.replication.peers import Peers
from coveport.serving.replication.ping_sender import PingSender
from coveport.serving.replication.records import DurableState
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.shutdown import is_safe_to_stop
from coveport.serving.replication.state_machine import StateMachine
from coveport.serving.replication.timings import Timings

# A member that has just started listens for an active primary before an election, unless all members answer
# earlier.
STARTUP_ELECTION_DELAY_S = 0.25
# A member that was frozen delays elections, since the recorded status of the peers is outdated.
STALL_ELECTION_DELAY_S = 0.5


class Replica:
    """Entry point of the package; created once in a process, from the durable state on its disk.

    Raises UnreadableStateError or DivergedStateError if that state can't be restored.
    """

    def __init__(
        self,
        identity: MemberId,
        locality: Locality,
        seeds: tuple[str, ...],  # inner addresses
        tolerated_losses: int,  # number of machines
        durable: DurableState,
        state_machine: StateMachine,
        jitter: Callable[[], float],  # returns a random number from 0 to 1; seeded by the caller
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
        self._leader_role.election.require_all_members_until(now_s + STARTUP_ELECTION_DELAY_S)
        self._ping_sender = PingSender(self._context, self._leader_role)
        self._catch_up = CatchUp(self._context, self._leader_role)
        self._last_tick_s = now_s
        self._now_s = now_s
        self.add_peers(seeds)
        self._add_peers_of_view()

    def add_peers(self, addresses: Iterable[str]) -> None:
        """Add inner addresses of coordinators to stay in contact with, members or not."""
        for address in addresses:
            self._context.peers.add(address)

    # -- queries --

    @property
    def identity(self) -> MemberId:
        """Identity of this replica."""
        return self._context.own_id

    @property
    def view(self) -> View | None:
        """The newest accepted view."""
        return self._context.journal.durable.view

    @property
    def view_epoch(self) -> Epoch:
        """Epoch of the newest accepted view; NO_EPOCH if there is none."""
        return self._context.acceptor.view_epoch

    @property
    def is_primary(self) -> bool:
        """Whether this replica acts as the active primary; a newer view may exist elsewhere."""
        return self._leader_role.is_active

    @property
    def primary_address(self) -> str | None:
        """Inner address of the active primary; None without contact with an active primary."""
        return self._leader_role.primary_address(self._now_s)

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Inner addresses to stay connected to, alive or not."""
        return tuple(peer.address for peer in self._context.peers)

    def has_quorum(self, now_s: float) -> bool:
        """Return whether this replica has two-way contact with a majority and with an active primary."""
        view = self.view
        if view is None or not self._leader_role.election.reaches_majorities(view, now_s):
            return False
        return self.is_primary or bool(self._leader_role.election.leader_address(view, now_s))

    def is_majority(self, other_members: Collection[MemberId]) -> bool:
        """Return whether `other_members` and this replica are a majority of each group of voters.

        Without a view, return False.
        """
        view = self.view
        if view is None:
            return False
        groups = view.quorum_groups(self._context.journal.durable.active_epoch)
        return has_majorities({*other_members, self._context.own_id}, groups)

    def live_localities(self, now_s: float) -> dict[str, Locality]:
        """Return the locality of each live coordinator, including this coordinator, by inner address."""
        localities = {peer.address: peer.locality for peer in self._context.peers.alive(now_s)}
        return localities | {self._context.own_id.address: self._context.locality}

    def is_safe_to_stop(self, now_s: float) -> bool:
        """Return whether this process may end: no view needs its state or its vote any more."""
        return is_safe_to_stop(self._context, now_s)

    def describe(self) -> dict[str, object]:
        """Return the role, the view and the committed sequence, for the log and for `status`."""
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
        """Handle one event; return the effects to carry out, in order. Raises DivergedStateError."""
        self._now_s = now_s
        match event:
            case Tick():
                self._on_tick(now_s)
            case Connected():
                self._on_connected(now_s, event.address)
            case Received():
                self._on_message(now_s, event.sender, event.message)
            case Persisted():
                self._context.journal.persisted(event.token, now_s)
            case PersistFailed():
                self._context.journal.failed(now_s)
            case Submit() | ReadNewest():
                self._leader_role.on_call(now_s, event)
            case CancelCall():
                self._leader_role.on_cancel(event)
            case ShutdownRequested():
                self._on_shutdown_requested(now_s)
        self._run_to_fixpoint(now_s)
        return self._context.outbox.take()

    def _run_to_fixpoint(self, now_s: float) -> None:
        """Handle this replica's messages to itself and start calls, until there are no further messages."""
        outbox = self._context.outbox
        while True:
            while outbox.to_self:
                self._on_message(now_s, self._context.own_id, outbox.to_self.popleft())
            if self._leader_role.primary is not None:
                self._leader_role.primary.advance(now_s)
            persist = self._context.journal.flush(now_s)
            if persist is not None:
                outbox.persist(persist)
            if not outbox.to_self:
                return

    def _on_connected(self, now_s: float, address: str) -> None:
        """Send a ping at once, since messages on the previous connection may be lost."""
        peer = self._context.peers.get(address)
        if peer is not None:
            peer.snapshot = None
            self._ping_sender.send(now_s, [peer])

    def _on_shutdown_requested(self, now_s: float) -> None:
        self._context.is_shutting_down = True
        self._ping_sender.expedite()
        self._on_tick(now_s)

    def _on_tick(self, now_s: float) -> None:
        if now_s - self._last_tick_s >= self._context.timings.stall_threshold_s:
            self._on_stall(now_s)
        self._last_tick_s = now_s
        self._ping_sender.tick(now_s)
        self._leader_role.tick(now_s)

    def _on_stall(self, now_s: float) -> None:
        """Restart timers, so that a freeze of this process doesn't count as a fault of disk or peers."""
        self._context.journal.restart_timers(now_s)
        self._context.peers.restart_timers(now_s)
        self._leader_role.on_stall(now_s, now_s + STALL_ELECTION_DELAY_S)

    # -- messages --

    def _on_message(self, now_s: float, sender: MemberId, message: Message) -> None:
        match message:
            case Ping():
                self._on_ping(now_s, sender, message)
            case Prepare():
                self._on_prepare(now_s, sender, message)
            case Install():
                self._context.acceptor.install(sender, message)
                self._leader_role.on_promised_epoch_raised(now_s)
            case Accept():
                self._on_accept(now_s, sender, message)
            case Fetch():
                self._context.acceptor.fetch(sender, message)
            case ViewActivated():
                self._context.acceptor.record_active_view(message)
            case Append():
                self._on_append(sender, message)
            case Confirm():
                self._context.acceptor.confirm(sender, message)
            case Committed() | CatchUpCommands() | CatchUpSnapshot():
                self._on_committed(sender, message)
            case _:
                self._leader_role.on_message(now_s, sender, message)

    def _on_ping(self, now_s: float, sender: MemberId, ping: Ping) -> None:
        peer = self._context.peers.record_ping(now_s, sender, ping)
        if peer.alive_since_s == now_s:
            self._ping_sender.answer(now_s, peer)
        self._leader_role.on_ping(now_s, sender, ping)
        self._leader_role.start_election_if_needed(now_s)
        self._catch_up.on_ping(now_s, peer, ping)

    def _on_prepare(self, now_s: float, sender: MemberId, message: Prepare) -> None:
        self._context.acceptor.prepare(sender, message)
        if sender != self._context.own_id and message.epoch == self._context.journal.durable.promised:
            backoff_s = self._context.timings.election_backoff_s
            self._leader_role.election.delay_election_until(now_s + backoff_s)
        self._leader_role.on_promised_epoch_raised(now_s)

    def _on_accept(self, now_s: float, sender: MemberId, message: Accept) -> None:
        self._context.acceptor.accept(sender, message)
        self._leader_role.on_promised_epoch_raised(now_s)
        self._add_peers_of_view()

    def _on_append(self, sender: MemberId, message: Append) -> None:
        if sender != self._context.own_id:
            self._catch_up.commit_own_state(message.epoch, message.committed)
        self._context.acceptor.append(sender, message)

    def _on_committed(self, sender: MemberId, message: Committed | CatchUpCommands | CatchUpSnapshot) -> None:
        match message:
            case Committed():
                self._catch_up.commit_own_state(message.epoch, message.sequence)
            case CatchUpCommands():
                self._context.committed_log.apply_commands(message)
            case CatchUpSnapshot():
                self._context.committed_log.install_snapshot(sender, message)

    def _add_peers_of_view(self) -> None:
        view = self.view
        if view is not None:
            for member in (*view.members, *view.previous_members):
                self._context.peers.add(member.address)
