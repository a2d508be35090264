"""The durable state that results from the records of a disk."""

from __future__ import annotations

import pytest

from coveport.serving.replication.errors import InconsistentRecordsError
from coveport.serving.replication.identity import Epoch, MemberId, View
from coveport.serving.replication.records import (
    ActiveEpochRecord,
    CommandRecord,
    IdentityRecord,
    PromisedEpochRecord,
    Record,
    StateRecord,
    ViewRecord,
    recover,
    snapshot_records,
)

FIRST, SECOND = Epoch(1, "disk-A"), Epoch(2, "disk-B")
A = MemberId("A", "disk-A")
VIEW = View(FIRST, A, (A,), (A,))
RECORDS: tuple[Record, ...] = (
    IdentityRecord("disk-A", True),
    ViewRecord(VIEW),
    ActiveEpochRecord(FIRST),
    StateRecord(FIRST, 4, b"state"),
    CommandRecord(FIRST, 5, b"five"),
    CommandRecord(FIRST, 6, b"six"),
    PromisedEpochRecord(SECOND),
)


def test_a_snapshot_of_the_records_results_in_the_same_durable_state() -> None:
    durable = recover(RECORDS)
    assert (durable.disk, durable.created_at_bootstrap) == ("disk-A", True)
    assert (durable.view, durable.active_epoch, durable.promised) == (VIEW, FIRST, SECOND)
    assert (durable.state_epoch, durable.snapshot_sequence, durable.sequence) == (FIRST, 4, 6)
    assert durable.commands == [b"five", b"six"]
    assert recover(snapshot_records(durable)) == durable


def test_a_later_state_replaces_the_commands_before_it() -> None:
    durable = recover((*RECORDS, StateRecord(SECOND, 9, b"newer")))
    assert (durable.state_epoch, durable.sequence, durable.commands) == (SECOND, 9, [])


def test_a_promise_never_goes_back() -> None:
    assert recover((*RECORDS, PromisedEpochRecord(FIRST))).promised == SECOND


@pytest.mark.parametrize(
    "record",
    [CommandRecord(FIRST, 8, b"eight"), CommandRecord(FIRST, 6, b"six"), CommandRecord(SECOND, 7, b"seven")],
    ids=["a gap", "twice", "another epoch"],
)
def test_a_command_that_does_not_follow_is_an_error(record: Record) -> None:
    with pytest.raises(InconsistentRecordsError, match="doesn't follow 6"):
        recover((*RECORDS, record))
