"""One attempt of one candidate to bring a view into force: prepare, fetch, install, accept.

The steps, each repeated to those that don't answer:
1. Promises of a majority of each group of the newest view seen; a newer view in a promise widens the asking.
2. The state of one that promised: a replica of the newest view, or one whose state is of a later epoch.
3. The state synced at all replicas of the view to be.
4. The view synced at a majority of its members and, when these changed, of the members before.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from coveport.serving.replication.events import UnreadableStateError
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

MORE_PROMISES_S = 0.12  # after a majority, for the promises of others alive, to choose among
INSTALL_PATIENCE_S = 0.45  # after which another replica is chosen, plus the time for the bytes
BYTES_A_SECOND = 10e6  # at which a state is surely sent and synced


class Step(Enum):
    """How far an attempt has come."""

    PREPARING = "preparing"
    FETCHING = "fetching"
    INSTALLING = "installing"
    ACCEPTING = "accepting"
    ACTIVE = "active"


@dataclass(frozen=True, slots=True)
class MembershipProposal:
    """Members to change to, if the newest view is still the one of `base` and settled."""

    base: Epoch
    members: tuple[MemberId, ...]


class ViewChangeAttempt:
    """One epoch's attempt. `step` is ACTIVE when it has won; its owner gives it up when it stands still."""

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
        self.moved_at_s = now_s
        self.view: View | None = None  # the view to be, once proposed
        self.excluded_by: View | None = None  # a newer view of which the candidate is no member
        self.sequence = -1
        self._context = context
        self._proposal = proposal
        self._avoided = set(avoided)
        self._newest = view
        self._active_epoch = context.journal.durable.active_epoch
        self._promises: dict[MemberId, Promise] = {}
        self._majority_at_s: float | None = None
        self._source: MemberId | None = None
        self._unreadable: set[MemberId] = set()  # whose state can't be read
        self._state = b""
        self._replicas: tuple[MemberId, ...] = ()
        self._installed: set[MemberId] = set()
        self._accepted: set[MemberId] = set()
        self._sent_at_s = now_s
        self._chosen_at_s = now_s
        context.send(context.own_id, Prepare(epoch))

    # -- step 1 --

    def _groups(self) -> tuple[tuple[MemberId, ...], ...]:
        return self._newest.groups(self._active_epoch)

    def _asked(self) -> set[MemberId]:
        return {member for group in self._groups() for member in group}

    def _send_prepares(self, now_s: float) -> None:
        self._sent_at_s = now_s
        if self._context.own_id not in self._promises:
            return  # our own promise is synced before anyone hears of the epoch
        for member in sorted(self._asked() - self._promises.keys()):
            self._context.send(member, Prepare(self.epoch))

    def promised(self, now_s: float, sender: MemberId, message: Promise) -> None:
        """Take a promise."""
        if message.epoch != self.epoch or self.step is not Step.PREPARING:
            return
        asked_before = self._asked()
        is_first = not self._promises
        self._promises[sender] = message
        self._active_epoch = max(self._active_epoch, message.active_epoch)
        if message.view is not None and message.view.epoch > self._newest.epoch:
            self._newest = message.view
        if not self._is_among(self._newest):
            self.excluded_by = self._newest
            return
        if is_first or self._asked() - asked_before:
            self._send_prepares(now_s)
        self._advance_from_promises(now_s)

    def _is_among(self, view: View) -> bool:
        """Whether the candidate may lead the next view after this one.

        A primary is a replica, and only members are asked for the state: at one that is no member it is lost.
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
            member for member in self._asked() - self._promises.keys() if self._is_usable(member, now_s)
        ]
        if missing and waited_s < MORE_PROMISES_S:
            return
        self._begin_fetch(now_s)

    def _sources(self) -> list[MemberId]:
        """Those that promised and hold all that was acknowledged in the newest view and before."""
        return [
            member
            for member, promise in self._promises.items()
            if self._holds_all(member, promise) and member not in self._unreadable
        ]

    def _holds_all(self, member: MemberId, promise: Promise) -> bool:
        """A replica of the newest view does, and who installed a state under a later epoch.

        Who installed under the view's own epoch but was given up as too slow before the view was proposed
        holds only what there was then: the view's commands never went there.
        """
        newest = self._newest
        if promise.state_epoch == NO_EPOCH:
            return False
        if promise.state_epoch == newest.epoch:
            return member in newest.replicas
        return promise.state_epoch > newest.epoch

    # -- step 2 --

    def _begin_fetch(self, now_s: float) -> None:
        own_id = self._context.own_id
        best = max(
            self._sources(),
            key=lambda member: (self._promises[member].state_sequence, member == own_id, member),
        )
        self._source = best
        self._move(Step.FETCHING, now_s)
        self._context.send(best, Fetch(self.epoch))

    def fetched(self, now_s: float, sender: MemberId, message: Fetched) -> None:
        """Take the state."""
        if message.epoch != self.epoch or self.step is not Step.FETCHING or sender != self._source:
            return
        if isinstance(self._context.acceptor.read_state(sender, message.state), UnreadableStateError):
            self._unreadable.add(sender)
            self._move(Step.PREPARING, now_s)
            self._advance_from_promises(now_s)
            return
        self.sequence = message.sequence
        self._state = message.state
        self._move(Step.INSTALLING, now_s)
        self._choose_replicas(now_s)

    # -- step 3 --

    def _members_to_be(self) -> tuple[MemberId, ...]:
        is_settled = len(self._groups()) == 1
        proposal = self._proposal
        if proposal is not None and is_settled and proposal.base == self._newest.epoch:
            return proposal.members
        return self._newest.members

    def _is_usable(self, member: MemberId, now_s: float) -> bool:
        return member not in self._avoided and self._context.is_usable(member, now_s)

    def _choose_replicas(self, now_s: float) -> None:
        context = self._context
        members = self._members_to_be()
        machines = [context.machine(member, now_s) for member in members if self._is_usable(member, now_s)]
        own_machine = context.machine(context.own_id, now_s)
        replicas = choose_replicas(
            own_machine, machines, context.wanted_replicas(len(members)), self._newest.replicas
        )
        if len(replicas) < context.least_replicas(len(members)):
            self._avoided.clear()
            self._chosen_at_s = now_s
            return
        self._replicas = replicas
        self._chosen_at_s = now_s
        self._send_installs(now_s)

    def _send_installs(self, now_s: float) -> None:
        self._sent_at_s = now_s
        for member in self._replicas:
            if member not in self._installed:
                self._context.send(member, Install(self.epoch, self.sequence, self._state))

    def installed(self, now_s: float, sender: MemberId, message: Installed) -> None:
        """A replica is up."""
        if message.epoch != self.epoch or self.step is not Step.INSTALLING:
            return
        self._installed.add(sender)
        if self._replicas and self._installed.issuperset(self._replicas):
            self._propose(now_s)

    # -- step 4 --

    def _propose(self, now_s: float) -> None:
        members = self._members_to_be()
        newest = self._newest
        if members != newest.members:
            previous = newest.members
        elif len(self._groups()) > 1:
            previous = newest.previous_members
        else:
            previous = ()
        self.view = View(self.epoch, self._context.own_id, self._replicas, members, previous)
        self._state = b""
        self._move(Step.ACCEPTING, now_s)
        self._send_accepts(now_s)

    def _send_accepts(self, now_s: float) -> None:
        self._sent_at_s = now_s
        assert self.view is not None
        for member in sorted({*self.view.members, *self.view.previous_members} - self._accepted):
            self._context.send(member, Accept(self.view, is_bootstrap=False))

    def accepted(self, now_s: float, sender: MemberId, message: Accepted) -> None:
        """A member stored the view."""
        if message.epoch != self.epoch or self.view is None or self.step is not Step.ACCEPTING:
            return
        self._accepted.add(sender)
        if has_majorities(self._accepted, self.view.groups(NO_EPOCH)):
            self._move(Step.ACTIVE, now_s)

    @property
    def kept_own_state(self) -> bool:
        """Whether the view goes on from what the candidate itself held."""
        return self._source == self._context.own_id

    # -- time --

    def _move(self, step: Step, now_s: float) -> None:
        self.step = step
        self.moved_at_s = now_s
        self._sent_at_s = now_s

    def tick(self, now_s: float) -> None:
        """Repeat what wasn't answered; choose another replica for one that is slow."""
        is_resend_due = now_s - self._sent_at_s >= self._context.timings.resend_s
        if self.step is Step.PREPARING:
            self._advance_from_promises(now_s)
            if self.step is Step.PREPARING and is_resend_due:
                self._send_prepares(now_s)
        elif self.step is Step.FETCHING and is_resend_due and self._source is not None:
            self._sent_at_s = now_s
            self._context.send(self._source, Fetch(self.epoch))
        elif self.step is Step.INSTALLING:
            self._tick_installing(now_s)
        elif self.step is Step.ACCEPTING and is_resend_due:
            self._send_accepts(now_s)

    def _tick_installing(self, now_s: float) -> None:
        bytes_s = len(self._state) / BYTES_A_SECOND
        if now_s - self._chosen_at_s >= INSTALL_PATIENCE_S + bytes_s:
            self._avoided.update(set(self._replicas) - self._installed - {self._context.own_id})
            self._choose_replicas(now_s)
        elif now_s - self._sent_at_s >= self._context.timings.resend_s + bytes_s:
            self._send_installs(now_s)

    @property
    def patience_s(self) -> float:
        """How long the present step may stand still."""
        bytes_s = len(self._state) / BYTES_A_SECOND
        return self._context.timings.attempt_s + bytes_s

    def handle(self, now_s: float, sender: MemberId, message: Message) -> None:
        """Take any answer."""
        match message:
            case Promise():
                self.promised(now_s, sender, message)
            case Fetched():
                self.fetched(now_s, sender, message)
            case Installed():
                self.installed(now_s, sender, message)
            case Accepted():
                self.accepted(now_s, sender, message)
