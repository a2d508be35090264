"""What a member keeps on its disk, as records, and the durable state that they add up to."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from coveport.serving.replication.identity import NO_EPOCH, Epoch, View


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """The first record of a disk's life."""

    disk: str
    created_at_bootstrap: bool  # drawn while the whole system started for the first time


@dataclass(frozen=True, slots=True)
class PromisedEpochRecord:
    """Nothing below `epoch` is accepted any more."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ViewRecord:
    """The newest accepted view."""

    view: View


@dataclass(frozen=True, slots=True)
class ActiveEpochRecord:
    """The view of this epoch is known to be active."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class StateRecord:
    """The whole state; replaces all states and commands before."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """The command that leads to the state of `sequence`."""

    epoch: Epoch
    sequence: int
    command: bytes


Record = IdentityRecord | PromisedEpochRecord | ViewRecord | ActiveEpochRecord | StateRecord | CommandRecord
RECORDS = (IdentityRecord, PromisedEpochRecord, ViewRecord, ActiveEpochRecord, StateRecord, CommandRecord)


@dataclass(slots=True)
class DurableState:
    """All records added up. `sequence` counts the commands after the snapshot in."""

    disk: str = ""  # empty: the disk was found empty
    created_at_bootstrap: bool = False
    promised: Epoch = NO_EPOCH
    view: View | None = None
    active_epoch: Epoch = NO_EPOCH
    state_epoch: Epoch = NO_EPOCH
    snapshot: bytes = b""
    snapshot_sequence: int = -1
    commands: list[bytes] | None = None

    @property
    def sequence(self) -> int:
        """Of the newest command held; -1 without a state."""
        return self.snapshot_sequence + len(self.commands or ())

    @property
    def has_state(self) -> bool:
        """Whether a state was ever installed here."""
        return self.snapshot_sequence >= 0

    def absorb(self, record: Record) -> None:
        """Add one record."""
        match record:
            case IdentityRecord():
                self.disk = record.disk
                self.created_at_bootstrap = record.created_at_bootstrap
            case PromisedEpochRecord():
                self.promised = max(self.promised, record.epoch)
            case ViewRecord():
                self.view = record.view
                self.promised = max(self.promised, record.view.epoch)
            case ActiveEpochRecord():
                self.active_epoch = max(self.active_epoch, record.epoch)
            case StateRecord():
                self.state_epoch = record.epoch
                self.snapshot = record.state
                self.snapshot_sequence = record.sequence
                self.commands = []
                self.promised = max(self.promised, record.epoch)
            case CommandRecord():
                self._absorb_command(record)

    def _absorb_command(self, record: CommandRecord) -> None:
        if record.epoch != self.state_epoch or record.sequence != self.sequence + 1:
            raise ValueError(f"command {record.sequence} doesn't follow {self.sequence}")
        if self.commands is None:
            self.commands = []
        self.commands.append(record.command)


def recover(records: Iterable[Record]) -> DurableState:
    """Add up what a disk held. Raises ValueError when the records don't fit together."""
    durable = DurableState()
    for record in records:
        durable.absorb(record)
    return durable


def snapshot_records(durable: DurableState) -> tuple[Record, ...]:
    """The fewest records that add up to the same."""
    records: list[Record] = []
    if durable.disk:
        records.append(IdentityRecord(durable.disk, durable.created_at_bootstrap))
    if durable.view is not None:
        records.append(ViewRecord(durable.view))
    if durable.active_epoch != NO_EPOCH:
        records.append(ActiveEpochRecord(durable.active_epoch))
    if durable.has_state:
        records.append(StateRecord(durable.state_epoch, durable.snapshot_sequence, durable.snapshot))
        for offset, command in enumerate(durable.commands or (), start=1):
            records.append(CommandRecord(durable.state_epoch, durable.snapshot_sequence + offset, command))
    records.append(PromisedEpochRecord(durable.promised))
    return tuple(records)
