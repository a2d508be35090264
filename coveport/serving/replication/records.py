"""Records that a replica keeps on its disk, and the durable state that results from them.

A record is stored as its fields in their order: a field may be renamed, never moved or retyped. The position
of a class in `RECORDS` is its number on the disk.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from coveport.serving.replication.errors import InconsistentRecordsError
from coveport.serving.replication.identity import NO_EPOCH, Epoch, View


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """The first record on an empty disk."""

    disk: str  # the disk id, random hex
    created_at_bootstrap: bool  # whether the record was written at the first start of the whole system


@dataclass(frozen=True, slots=True)
class PromisedEpochRecord:
    """The promise to reject all epochs below `epoch`."""

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
    """A complete state, which replaces all earlier states and commands."""

    epoch: Epoch
    sequence: int
    state: bytes


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """The command that turned the state of `sequence - 1` into the state of `sequence`."""

    epoch: Epoch
    sequence: int
    command: bytes


Record = IdentityRecord | PromisedEpochRecord | ViewRecord | ActiveEpochRecord | StateRecord | CommandRecord
# Sorted by their numbers on the disk.
RECORDS = (
    IdentityRecord,
    PromisedEpochRecord,
    ViewRecord,
    ActiveEpochRecord,
    StateRecord,
    CommandRecord,
)


@dataclass(slots=True)
class DurableState:
    """The result of applying all records."""

    disk: str = ""  # the disk id; empty: the disk was found empty
    created_at_bootstrap: bool = False
    promised: Epoch = NO_EPOCH
    view: View | None = None
    active_epoch: Epoch = NO_EPOCH
    state_epoch: Epoch = NO_EPOCH
    snapshot: bytes = b""
    snapshot_sequence: int = -1
    commands: list[bytes] | None = None  # commands after the snapshot; None: no state

    @property
    def sequence(self) -> int:
        """Sequence of the newest command; -1 if there is no state."""
        return self.snapshot_sequence + len(self.commands or ())

    @property
    def has_state(self) -> bool:
        """Whether a state has ever been installed."""
        return self.snapshot_sequence >= 0

    def apply_record(self, record: Record) -> None:
        """Apply one record. Raises InconsistentRecordsError for a command out of sequence."""
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
                self._apply_command(record)

    def _apply_command(self, record: CommandRecord) -> None:
        if record.epoch != self.state_epoch or record.sequence != self.sequence + 1:
            raise InconsistentRecordsError(f"command {record.sequence} doesn't follow {self.sequence}")
        if self.commands is None:
            self.commands = []
        self.commands.append(record.command)


def recover(records: Iterable[Record]) -> DurableState:
    """Return the durable state that results from the records of a disk. Raises InconsistentRecordsError."""
    durable = DurableState()
    for record in records:
        durable.apply_record(record)
    return durable


def snapshot_records(durable: DurableState) -> tuple[Record, ...]:
    """Return the fewest records that result in the same durable state."""
    records: list[Record] = []
    if durable.disk:
        records.append(IdentityRecord(durable.disk, durable.created_at_bootstrap))
    if durable.view is not None:
        records.append(ViewRecord(durable.view))
    if durable.active_epoch != NO_EPOCH:
        records.append(ActiveEpochRecord(durable.active_epoch))
    if durable.has_state:
        records.append(StateRecord(durable.state_epoch, durable.snapshot_sequence, durable.snapshot))
        first = durable.snapshot_sequence + 1
        for sequence, command in enumerate(durable.commands or (), start=first):
            records.append(CommandRecord(durable.state_epoch, sequence, command))
    records.append(PromisedEpochRecord(durable.promised))
    return tuple(records)
