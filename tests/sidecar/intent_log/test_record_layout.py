"""Keys and transactions of records."""

from __future__ import annotations

import itertools

import msgspec
import pytest
from intent_log_builders import CLOSED_RECORDS, OPEN_RECORDS, UNSAFE, accepted_record, closed_record

from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.record import FinalStatus
from coveport.sidecar.intent_log.record_layout import RecordLayout, digest_of, id_of, is_id
from coveport.sidecar.leases.store import Delete, Field, Put

LAYOUT = RecordLayout("w/", 600.0)


def test_a_write_of_any_record_over_any_compares_the_revision_and_leaves_one_index_key() -> None:
    records = [
        *OPEN_RECORDS,
        *CLOSED_RECORDS,
        accepted_record().claimed("s1#1", 5),
        closed_record(FinalStatus.UNKNOWN).resolved(FinalStatus.SERVED, "ana", "ledger"),
        closed_record(FinalStatus.FAILED, UNSAFE),
    ]
    for before, after in itertools.product([None, *records], records):
        write = LAYOUT.write(before, 7, after)
        (compare,) = write.compares
        assert (compare.key, compare.field, compare.equals) == (f"w/r/{after.id}", Field.MODIFIED, 7)
        keys = {LAYOUT.index_key(before)} if before is not None else set()
        for change in write.changes[1:]:
            keys = keys | {change.key} if isinstance(change, Put) else keys - {change.key}
        assert keys == {LAYOUT.index_key(after)}
    with pytest.raises(RecordError):
        LAYOUT.write(accepted_record(), 1, msgspec.structs.replace(accepted_record(), id="b"))


def test_an_index_key_contains_its_bucket_or_owner_and_the_record_id() -> None:
    for record in (closed_record(FinalStatus.UNKNOWN), closed_record(FinalStatus.FAILED, UNSAFE)):
        assert LAYOUT.index_key(record).startswith("w/u/"), "operators must be able to list it"
    bucket, record_id = LAYOUT.bucket_and_id(LAYOUT.index_key(closed_record(FinalStatus.SERVED)))
    assert bucket * 10 >= 700
    assert record_id == "a"
    assert LAYOUT.owner_and_id(LAYOUT.index_key(accepted_record())) == ("s0#1", "a")


def test_a_deletion_when_the_record_has_changed_does_nothing() -> None:
    deletion = LAYOUT.deletion("a", 9, "w/k/1/a")
    assert deletion.compares[0].equals == 9
    assert all(isinstance(change, Delete) for change in deletion.changes)


def test_ids_and_digests_when_their_sources_differ_differ() -> None:
    assert len({id_of("a", "b"), id_of("b", "a"), id_of("", "a"), id_of("", "b")}) == 4
    assert id_of("a", "x") == id_of("a", "y")
    assert is_id(id_of("a", ""))
    assert not is_id("../" + "0" * 29)
    requests = (("P", "/a", b"b"), ("P", "/", b"ab"), ("P/", "a", b"b"))
    digests = {digest_of("i", *request) for request in requests}
    assert len(digests) == 3
    assert digest_of("j", "P", "/a", b"b") not in digests
