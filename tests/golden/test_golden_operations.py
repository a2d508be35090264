"""Records of operations, and what is sealed of them, keep their bytes."""

from __future__ import annotations

import json
import zlib
from pathlib import Path
from unittest import mock

import pytest
from golden_files import read_cases
from golden_operation_cases import (
    ASKED,
    ASKED_LITTLE,
    GIVEN,
    GIVEN_LITTLE,
    ID,
    KEY_FILE,
    NONCE,
    RECORDS,
    SEAL_KEYS,
    transaction_text,
    transactions,
)

from coveport.balancing import Outcome
from coveport.sidecar.intent_log.encryption import KeyRing, read_keys
from coveport.sidecar.intent_log.payloads import PayloadCodec
from coveport.sidecar.intent_log.record import FinalStatus, RecoveryPoint
from coveport.sidecar.intent_log.record_codec import decode, encode
from coveport.sidecar.intent_log.record_layout import digest_of, id_of

RECORD_BYTES = read_cases("operations.json")
SEALED_BYTES = read_cases("sealed.json")
TRANSACTION_BYTES = read_cases("operation_transactions.json")


def payload_codec() -> PayloadCodec:
    return PayloadCodec(KeyRing(SEAL_KEYS), 1000)


def test_every_state_and_end_has_a_golden_record() -> None:
    assert RECORD_BYTES.keys() == RECORDS.keys()
    assert {record.recovery_point for record in RECORDS.values()} == set(RecoveryPoint)
    assert {record.final_status for record in RECORDS.values() if record.final_status} == set(FinalStatus)
    assert {one.outcome for one in RECORDS["sending"].attempts} == {*Outcome, None}


@pytest.mark.parametrize("case", RECORDS)
def test_a_record_is_read_and_written_as_before(case: str) -> None:
    assert decode(RECORD_BYTES[case]) == RECORDS[case]
    assert encode(RECORDS[case]) == RECORD_BYTES[case]


def test_a_record_is_a_checksum_and_json_of_these_names() -> None:
    data = RECORD_BYTES["settled"]
    assert data[:8] == b"%08x" % zlib.crc32(data[8:])
    told = json.loads(data[8:])
    assert (told["format"], told["id"], told["state"], told["end"]) == (1, ID, "closed", "unknown")
    assert told["rules"] == {
        "effect": "unsafe",
        "group": "cell",
        "window_ms": 0.5,
        "most_attempts": 1,
        "deadline_ms": 5000.0,
    }
    assert told["settled"] == {
        "end": "never-run",
        "by": "staff",
        "why": "looked it up",
        "unix": 1_700_000_100.0,
    }


def test_what_was_sealed_is_opened_as_before() -> None:
    assert payload_codec().decode_request(ID, SEALED_BYTES["request"]) == ASKED
    assert payload_codec().decode_request(ID, SEALED_BYTES["short request"]) == ASKED_LITTLE
    assert payload_codec().decode_response(ID, SEALED_BYTES["answer"]) == GIVEN
    assert payload_codec().decode_response(ID, SEALED_BYTES["short answer"]) == GIVEN_LITTLE
    assert payload_codec().decode_response(ID, SEALED_BYTES["request"]) is None, "a request is no answer"
    assert payload_codec().decode_request("f" * 32, SEALED_BYTES["request"]) is None, "it is another record's"


def test_sealing_writes_the_same_bytes() -> None:
    with mock.patch("os.urandom", return_value=NONCE):
        assert payload_codec().encode_request(ID, ASKED) == SEALED_BYTES["request"]
        assert payload_codec().encode_request(ID, ASKED_LITTLE) == SEALED_BYTES["short request"]
        assert payload_codec().encode_response(ID, GIVEN) == SEALED_BYTES["answer"]
        assert payload_codec().encode_response(ID, GIVEN_LITTLE) == SEALED_BYTES["short answer"]


def test_a_file_of_keys_is_read_as_before(tmp_path: Path) -> None:
    path = tmp_path / "keys"
    path.write_bytes(KEY_FILE)
    path.chmod(0o600)
    assert list(read_keys(path).items()) == list(SEAL_KEYS.items())


def test_records_stand_under_the_same_keys() -> None:
    assert {case: transaction_text(told) for case, told in transactions().items()} == TRANSACTION_BYTES


def test_ids_and_digests_are_the_same() -> None:
    golden = read_cases("operation_ids.json")
    assert id_of("order-17", "request-5").encode() == golden["by its key"]
    assert id_of("", "request-5").encode() == golden["by its request"]
    assert digest_of(ID, "POST", "/orders", b"body").encode() == golden["digest"]
