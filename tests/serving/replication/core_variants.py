"""Broken variants of the core, each with one fault that the explorer must find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import core_explorer
from core_world import Machine

from coveport.serving.replication import election, view_change
from coveport.serving.replication.acceptor import Acceptor
from coveport.serving.replication.identity import NO_EPOCH, Epoch, MemberId, View
from coveport.serving.replication.journal import Journal
from coveport.serving.replication.messages import (
    Accepted,
    Append,
    Appended,
    Confirm,
    Confirmed,
    Installed,
    Message,
    Promise,
    ViewActivated,
)
from coveport.serving.replication.primary import Primary
from coveport.serving.replication.quorum_check import UnconfirmedAnswer
from coveport.serving.replication.records import ActiveEpochRecord, PromisedEpochRecord, Record, ViewRecord
from coveport.serving.replication.replica import Replica
from coveport.serving.replication.view_change import ViewChangeAttempt

Patches = list[Any]


def _messages_sent_before_sync(*types: type) -> Patches:
    """Messages of these types are sent before the records that they depend on are synced."""

    def send_when_synced(self: Journal, to_address: str, message: Message) -> None:
        if isinstance(message, types):
            self._outbox.send(to_address, message)
        else:
            original(self, to_address, message)

    original = Journal.send_when_synced
    return [mock.patch.object(Journal, "send_when_synced", send_when_synced)]


def _records_not_written(*types: type) -> Patches:
    """Records of these types are never written to the disk."""

    def write(self: Journal, record: Record) -> None:
        original(self, record)
        if isinstance(record, types):
            self._records.pop()

    original = Journal.write
    return [mock.patch.object(Journal, "write", write)]


def promise_not_synced() -> Patches:
    """A promise is sent, but not written to the disk."""
    return _records_not_written(PromisedEpochRecord)


def view_not_synced() -> Patches:
    """A view is accepted, but not written to the disk."""
    return _records_not_written(ViewRecord)


def append_answered_before_sync() -> Patches:
    """A backup acknowledges a command before it is synced."""
    return _messages_sent_before_sync(Appended)


def primary_acknowledges_alone() -> Patches:
    """The primary acknowledges a command before all replicas have it."""

    def on_appended(self: Primary, now_s: float, sender: MemberId, message: Appended) -> None:
        in_flight = self._in_flight
        if in_flight is not None and message.sequence == in_flight.sequence:
            in_flight.appended.update(self.view.replicas)
        original(self, now_s, sender, message)

    original = Primary.on_appended
    return [mock.patch.object(Primary, "on_appended", on_appended)]


def wiped_member_keeps_identity() -> Patches:
    """A machine without its disk returns with the identity of the former member."""

    def start(self: Machine, first_boot: bool = False) -> None:
        number = int(self.address.split(":")[0].split(".")[-1])
        with mock.patch.object(self.world.random, "getrandbits", return_value=number):
            original(self, first_boot)

    original = Machine.start
    return [
        mock.patch.object(Machine, "start", start),
        mock.patch.object(core_explorer, "new_disk_id", "disk-{}".format),
    ]


def read_without_confirmation() -> Patches:
    """The primary answers reads without a check that it still leads."""

    def read(self: Primary, request: int) -> None:
        outcome = self._quorum_checks.confirmed_outcome(UnconfirmedAnswer(request))
        self._context.outbox.answer(request, outcome)

    return [mock.patch.object(Primary, "read", read)]


def refusal_without_confirmation() -> Patches:
    """The primary rejects commands without a check that it still leads."""

    def advance(self: Primary, now_s: float) -> None:
        original(self, now_s)
        checks = self._quorum_checks
        for check in checks._checks:
            for answer in [answer for answer in check.answers if answer.refusal is not None]:
                check.answers.remove(answer)
                self._context.outbox.answer(answer.request, checks.confirmed_outcome(answer))

    original = Primary.advance
    return [mock.patch.object(Primary, "advance", advance)]


def backup_ignores_fencing() -> Patches:
    """A backup accepts commands of epochs below its promise, and with a state of another epoch."""

    def append(self: Acceptor, sender: MemberId, message: Append) -> None:
        if message.sequence == self.durable.sequence + 1:
            own_epoch_append = Append(
                self.durable.state_epoch, message.sequence, message.command, message.committed
            )
            applied = self.apply_tentatively(message.command)
            if hasattr(applied, "state"):
                self._append(own_epoch_append)
        self._reply_when_synced(sender, Appended(message.epoch, message.sequence))

    return [mock.patch.object(Acceptor, "append", append)]


def fenced_epoch_confirmed() -> Patches:
    """A witness confirms an epoch below its promise."""

    def confirm(self: Acceptor, sender: MemberId, message: Confirm) -> None:
        self._outbox.send(sender.address, Confirmed(message.epoch, message.number))

    return [mock.patch.object(Acceptor, "confirm", confirm)]


def any_state_accepted() -> Patches:
    """A candidate continues from the first state that a promise reports, whatever its epoch."""

    def sources(self: ViewChangeAttempt) -> list[MemberId]:
        return [member for member, promise in self._promises.items() if promise.state_epoch != NO_EPOCH][:1]

    return [mock.patch.object(ViewChangeAttempt, "_sources", sources)]


def state_chosen_by_sequence_only() -> Patches:
    """A candidate continues from the longest state, whatever its epoch."""

    def sources(self: ViewChangeAttempt) -> list[MemberId]:
        return [member for member, promise in self._promises.items() if promise.state_epoch != NO_EPOCH]

    return [mock.patch.object(ViewChangeAttempt, "_sources", sources)]


def own_state_preferred() -> Patches:
    """A candidate continues from its own state, if it has one."""

    def sources(self: ViewChangeAttempt) -> list[MemberId]:
        own = self._promises.get(self._context.own_id)
        has_own = own is not None and own.state_epoch != NO_EPOCH
        return [self._context.own_id] if has_own else original(self)

    original = ViewChangeAttempt._sources
    return [mock.patch.object(ViewChangeAttempt, "_sources", sources)]


def install_answered_before_sync() -> Patches:
    """A replica acknowledges a state before it is synced."""
    return _messages_sent_before_sync(Installed)


def newer_views_ignored() -> Patches:
    """A candidate ignores a newer view that a promise reports."""

    def on_promise(self: ViewChangeAttempt, now_s: float, sender: MemberId, message: Promise) -> None:
        view = self._newest
        promise = Promise(
            message.epoch, view, message.active_epoch, message.state_epoch, message.state_sequence
        )
        original(self, now_s, sender, promise)

    original = ViewChangeAttempt.on_promise
    return [mock.patch.object(ViewChangeAttempt, "on_promise", on_promise)]


def half_counts_as_majority() -> Patches:
    """Half of a group counts as its majority."""

    def has_majorities(present: Any, groups: Any) -> bool:
        return all(2 * sum(member in present for member in group) >= len(group) - 1 for group in groups)

    return [
        mock.patch.object(view_change, "has_majorities", has_majorities),
        mock.patch.object(election, "has_majorities", has_majorities),
    ]


def old_members_ignored() -> Patches:
    """A change of members needs a majority of the new members only, not of the former ones."""

    def quorum_groups(self: View, active_epoch: Epoch) -> tuple[tuple[MemberId, ...], ...]:
        return (self.members,)

    return [mock.patch.object(View, "quorum_groups", quorum_groups)]


def replicas_not_awaited() -> Patches:
    """A view is proposed before all its replicas have the state."""

    def on_installed(self: ViewChangeAttempt, now_s: float, sender: MemberId, message: Installed) -> None:
        self._installed.update(self._replicas)
        original(self, now_s, sender, message)

    original = ViewChangeAttempt.on_installed
    return [mock.patch.object(ViewChangeAttempt, "on_installed", on_installed)]


def view_not_awaited() -> Patches:
    """A candidate activates its view before a majority has accepted it."""

    def on_accepted(self: ViewChangeAttempt, now_s: float, sender: MemberId, message: Accepted) -> None:
        if self.view is not None:
            self._accepted.update(self.view.members)
        original(self, now_s, sender, message)

    original = ViewChangeAttempt.on_accepted
    return [mock.patch.object(ViewChangeAttempt, "on_accepted", on_accepted)]


def backup_commits_on_append() -> Patches:
    """A backup commits a command as soon as it has appended it."""

    def on_append(self: Replica, sender: MemberId, message: Append) -> None:
        original(self, sender, message)
        self._catch_up.commit_own_state(message.epoch, message.sequence)

    original = Replica._on_append
    return [mock.patch.object(Replica, "_on_append", on_append)]


def acceptor_ignores_fencing() -> Patches:
    """A member stores views and states of epochs below its promise."""

    def is_fenced(self: Acceptor, sender: MemberId, epoch: Epoch) -> bool:
        return False

    return [mock.patch.object(Acceptor, "_is_fenced", is_fenced)]


def in_flight_command_assumed_committed() -> Patches:
    """A primary that leads again acknowledges its command in flight, whatever state it continues from."""

    def begin(self: Primary, now_s: float, predecessor: Primary | None, continues_own_state: bool) -> None:
        original(self, now_s, predecessor, True)

    original = Primary.begin
    return [mock.patch.object(Primary, "begin", begin)]


def later_view_activates_earlier_ones() -> Patches:
    """A member treats its accepted view as active once any later view is: a former fault of the core."""

    def quorum_groups(self: View, active_epoch: Epoch) -> tuple[tuple[MemberId, ...], ...]:
        if not self.previous_members or active_epoch >= self.epoch:
            return (self.members,)
        return self.members, self.previous_members

    def record_active_view(self: Acceptor, message: ViewActivated) -> None:
        if message.epoch > self.durable.active_epoch:
            self._journal.write(ActiveEpochRecord(message.epoch))

    return [
        mock.patch.object(View, "quorum_groups", quorum_groups),
        mock.patch.object(Acceptor, "record_active_view", record_active_view),
    ]


VARIANTS: dict[str, Callable[[], Patches]] = {
    variant.__name__: variant
    for variant in (
        promise_not_synced,
        view_not_synced,
        append_answered_before_sync,
        primary_acknowledges_alone,
        wiped_member_keeps_identity,
        read_without_confirmation,
        refusal_without_confirmation,
        backup_ignores_fencing,
        fenced_epoch_confirmed,
        any_state_accepted,
        state_chosen_by_sequence_only,
        own_state_preferred,
        install_answered_before_sync,
        newer_views_ignored,
        half_counts_as_majority,
        old_members_ignored,
        replicas_not_awaited,
        view_not_awaited,
        backup_commits_on_append,
        acceptor_ignores_fencing,
        in_flight_command_assumed_committed,
        later_view_activates_earlier_ones,
    )
}


@contextmanager
def applied_variant(name: str) -> Iterator[None]:
    """Run the body with the patches of one variant."""
    patches = VARIANTS[name]()
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
