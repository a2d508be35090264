"""One attempt of a candidate to activate a new view: prepare, fetch, install, accept.

In each step, the candidate resends its request to the members that haven't answered:

1. PREPARING: collect promises from a majority of each group of voters of the newest view seen. A newer view
   in a promise replaces these groups.
2. FETCHING: fetch the state from a member that promised and holds all acknowledged commands: a replica of the
   newest view, or a member whose state was installed under a later epoch.
3. INSTALLING: sync the state at all replicas of the new view.
4. ACCEPTING: sync the view at a majority of its members and, if the members change, of the previous members.

Then the view is active. docs/design/replication.md, 'Invariants', explains why this loses no acknowledged
command.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from coveport.serving.replication.errors import UnreadableStateError
from coveport.serving.replication.identity import NO_EPOCH, Epoch, MemberId, View, has_majorities
from coveport.serving.replication.messages import (
    Accept,
    Accepted,
    Fetch,
    Fetched,
    Install,
    Installed,
    Message,
    Prepare,
    Promise,
)
from coveport.serving.replication.placement import choose_replicas
from coveport.serving.replication.replica_context import ReplicaContext
from coveport.serving.replication.timings import transfer_s

EXTRA_PROMISES_WAIT_S = 0.12  # wait after a majority promised, so that more states are available
INSTALL_TIMEOUT_S = 0.45  # plus the time for the state's bytes; then another replica replaces the slow one


class Step(Enum):
    """Steps of an attempt, in their order."""

    PREPARING = "preparing"
    FETCHING = "fetching"
    INSTALLING = "installing"
    ACCEPTING = "accepting"
    ACTIVE = "active"


@dataclass(frozen=True, slots=True)
class MembershipProposal:
    """Members of the next view, valid only while the view of `base` is the newest view and is active."""

    base: Epoch
    members: tuple[MemberId, ...]


class ViewChangeAttempt:
    """The attempt with one epoch. `LeaderRole` gives it up when a step takes longer than `timeout_s`."""

    def __init__(
        self,
        context: ReplicaContext,
        now_s: float,
        epoch: Epoch,
        view: View,
        proposal: MembershipProposal | None,
        avoided: Iterable[MemberId],
    ) -> None:
        self.epoch = epoch
        self.step = Step.PREPARING
        self.step_began_at_s = now_s
        self.view: View | None = None  # the new view, once it is proposed
        self.excluded_by: View | None = None  # a newer view whose members don't include the candidate
        self._context = context
        self._proposal = proposal
        self._avoided = set(avoided)
        self._newest = view  # the newest view seen
        self._active_epoch = context.journal.durable.active_epoch
        self._promises: dict[MemberId, Promise] = {}
        self._majority_at_s: float | None = None
        self._source: MemberId | None = None
        self._unreadable: set[MemberId] = set()  # members whose state can't be decoded
        self._sequence = -1
        self._state = b""
        self._replicas: tuple[MemberId, ...] = ()
        self._installed: set[MemberId] = set()
        self._accepted: set[MemberId] = set()
        self._last_send_s = now_s
        self._replicas_chosen_at_s = now_s
        context.send(context.own_id, Prepare(epoch))

    @property
    def continues_own_state(self) -> bool:
        """Whether the new view continues from the candidate's own state."""
        return self._source == self._context.own_id

    @property
    def timeout_s(self) -> float:
        """Time-out of the present step, in seconds."""
        return self._context.timings.step_timeout_s + self._transfer_s

    @property
    def _transfer_s(self) -> float:
        return transfer_s(len(self._state))

    def handle(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Handle an answer; ignore answers for another epoch or step."""
        match message:
            case Promise():
                self.on_promise(now_s, sender, message)
            case Fetched():
                self.on_fetched(now_s, sender, message)
            case Installed():
                self.on_installed(now_s, sender, message)
            case Accepted():
                self.on_accepted(now_s, sender, message)

    def _enter(self, step: Step, now_s: float) -> None:
        self.step = step
        self.step_began_at_s = now_s
        self._last_send_s = now_s

    # -- step 1: promises --

    def _groups(self) -> tuple[tuple[MemberId, ...], ...]:
        return self._newest.quorum_groups(self._active_epoch)

    def _voters(self) -> set[MemberId]:
        return {member for group in self._groups() for member in group}

    def _send_prepares(self, now_s: float) -> None:
        self._last_send_s = now_s
        if self._context.own_id not in self._promises:
            return  # the candidate syncs its own promise before it sends the epoch to other members
        for member in sorted(self._voters() - self._promises.keys()):
            self._context.send(member, Prepare(self.epoch))

    def on_promise(self, now_s: float, sender: MemberId, message: Promise) -> None:
        """Count a promise; a newer view in it may add voters, or exclude the candidate."""
        if message.epoch != self.epoch or self.step is not Step.PREPARING:
            return
        voters_before = self._voters()
        is_first = not self._promises
        self._promises[sender] = message
        self._active_epoch = max(self._active_epoch, message.active_epoch)
        if message.view is not None and message.view.epoch > self._newest.epoch:
            self._newest = message.view
        if not self._may_lead_after(self._newest):
            self.excluded_by = self._newest
            return
        if is_first or self._voters() - voters_before:
            self._send_prepares(now_s)
        self._advance_from_promises(now_s)

    def _may_lead_after(self, view: View) -> bool:
        """Return whether the candidate may lead the view after `view`.

        A primary is a replica, and later candidates fetch the state from members only: a replica that is no
        member would hold acknowledged commands that no candidate finds.
        """
        return self._context.own_id in view.members

    def _advance_from_promises(self, now_s: float) -> None:
        if not has_majorities(self._promises, self._groups()) or not self._sources():
            self._majority_at_s = None
            return
        if self._majority_at_s is None:
            self._majority_at_s = now_s
        waited_s = now_s - self._majority_at_s
        missing = [
            member for member in self._voters() - self._promises.keys() if self._is_usable(member, now_s)
        ]
        if missing and waited_s < EXTRA_PROMISES_WAIT_S:
            return
        self._begin_fetch(now_s)

    def _sources(self) -> list[MemberId]:
        """Return the members that promised and hold all commands acknowledged up to the newest view."""
        return [
            member
            for member, promise in self._promises.items()
            if self._holds_all_acknowledged(member, promise) and member not in self._unreadable
        ]

    def _holds_all_acknowledged(self, member: MemberId, promise: Promise) -> bool:
        """Return whether a member holds all commands that the newest view acknowledged.

        This is true of a replica of the newest view, and of a member that installed a state under a later
        epoch. This is false of a member that installed the state under the view's own epoch but was replaced
        as too slow before the view was proposed: that member never received the view's commands.
        """
        newest = self._newest
        if promise.state_epoch == NO_EPOCH:
            return False
        if promise.state_epoch == newest.epoch:
            return member in newest.replicas
        return promise.state_epoch > newest.epoch

    # -- step 2: the state --

    def _begin_fetch(self, now_s: float) -> None:
        own_id = self._context.own_id
        source = max(
            self._sources(),
            key=lambda member: (self._promises[member].state_sequence, member == own_id, member),
        )
        self._source = source
        self._enter(Step.FETCHING, now_s)
        self._context.send(source, Fetch(self.epoch))

    def on_fetched(self, now_s: float, sender: MemberId, message: Fetched) -> None:
        """Keep the fetched state; if it can't be decoded, choose another source."""
        if message.epoch != self.epoch or self.step is not Step.FETCHING or sender != self._source:
            return
        if isinstance(self._context.acceptor.read_state(sender, message.state), UnreadableStateError):
            self._unreadable.add(sender)
            self._enter(Step.PREPARING, now_s)
            self._advance_from_promises(now_s)
            return
        self._sequence = message.sequence
        self._state = message.state
        self._enter(Step.INSTALLING, now_s)
        self._choose_replicas(now_s)

    # -- step 3: the replicas --

    def _next_members(self) -> tuple[MemberId, ...]:
        is_newest_active = len(self._groups()) == 1
        proposal = self._proposal
        if proposal is not None and is_newest_active and proposal.base == self._newest.epoch:
            return proposal.members
        return self._newest.members

    def _is_usable(self, member: MemberId, now_s: float) -> bool:
        return member not in self._avoided and self._context.is_usable(member, now_s)

    def _choose_replicas(self, now_s: float) -> None:
        context = self._context
        members = self._next_members()
        machines = [
            context.machine_status(member, now_s) for member in members if self._is_usable(member, now_s)
        ]
        own_machine = context.machine_status(context.own_id, now_s)
        wanted = context.target_replicas(len(members))
        replicas = choose_replicas(own_machine, machines, wanted, self._newest.replicas)
        self._replicas_chosen_at_s = now_s
        if len(replicas) < context.min_replicas(len(members)):
            self._avoided.clear()  # too few replicas are left: try the slow replicas again
            return
        self._replicas = replicas
        self._send_installs(now_s)

    def _send_installs(self, now_s: float) -> None:
        self._last_send_s = now_s
        for member in self._replicas:
            if member not in self._installed:
                self._context.send(member, Install(self.epoch, self._sequence, self._state))

    def on_installed(self, now_s: float, sender: MemberId, message: Installed) -> None:
        """Count a replica that has synced the state; propose the view when all replicas have."""
        if message.epoch != self.epoch or self.step is not Step.INSTALLING:
            return
        self._installed.add(sender)
        if self._replicas and self._installed.issuperset(self._replicas):
            self._propose(now_s)

    # -- step 4: the view --

    def _propose(self, now_s: float) -> None:
        members = self._next_members()
        self.view = View(
            epoch=self.epoch,
            primary=self._context.own_id,
            replicas=self._replicas,
            members=members,
            previous_members=self._previous_members(members),
        )
        self._state = b""
        self._enter(Step.ACCEPTING, now_s)
        self._send_accepts(now_s)

    def _previous_members(self, members: tuple[MemberId, ...]) -> tuple[MemberId, ...]:
        newest = self._newest
        if members != newest.members:
            return newest.members
        if len(self._groups()) > 1:
            return newest.previous_members
        return ()

    def _send_accepts(self, now_s: float) -> None:
        self._last_send_s = now_s
        assert self.view is not None
        for member in sorted({*self.view.members, *self.view.previous_members} - self._accepted):
            self._context.send(member, Accept(self.view, is_bootstrap=False))

    def on_accepted(self, now_s: float, sender: MemberId, message: Accepted) -> None:
        """Count a member that has synced the view; with a majority of each group the view is active."""
        if message.epoch != self.epoch or self.view is None or self.step is not Step.ACCEPTING:
            return
        self._accepted.add(sender)
        if has_majorities(self._accepted, self.view.quorum_groups(NO_EPOCH)):
            self._enter(Step.ACTIVE, now_s)

    # -- time --

    def tick(self, now_s: float) -> None:
        """Resend requests that weren't answered; replace replicas that are slow."""
        must_resend = now_s - self._last_send_s >= self._context.timings.resend_interval_s
        match self.step:
            case Step.PREPARING:
                self._advance_from_promises(now_s)
                if self.step is Step.PREPARING and must_resend:
                    self._send_prepares(now_s)
            case Step.FETCHING if must_resend and self._source is not None:
                self._last_send_s = now_s
                self._context.send(self._source, Fetch(self.epoch))
            case Step.INSTALLING:
                self._tick_installing(now_s)
            case Step.ACCEPTING if must_resend:
                self._send_accepts(now_s)

    def _tick_installing(self, now_s: float) -> None:
        if now_s - self._replicas_chosen_at_s >= INSTALL_TIMEOUT_S + self._transfer_s:
            slow = set(self._replicas) - self._installed - {self._context.own_id}
            self._avoided.update(slow)
            self._choose_replicas(now_s)
        elif now_s - self._last_send_s >= self._context.timings.resend_interval_s + self._transfer_s:
            self._send_installs(now_s)
