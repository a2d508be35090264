"""Encrypted requests and responses, and the key file."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from coveport.sidecar.intent_log.encryption import KeyRing, read_keys
from coveport.sidecar.intent_log.errors import EncryptionError
from coveport.sidecar.intent_log.payloads import PayloadCodec, StoredRequest, StoredResponse

FIRST_KEY = "k1 " + "11" * 32 + "\n"
SECOND_KEY = "k2 " + "22" * 32 + "\n"
REQUEST = StoredRequest("POST", "/earn", b"member 7", "t1", "k")
RESPONSE = StoredResponse(b"points", "text/plain")


def codec_of(path: Path, text: str) -> PayloadCodec:
    """Return a codec with the keys of a file with this text."""
    path.write_text(text)
    path.chmod(0o600)
    return PayloadCodec(KeyRing(read_keys(path)), 100)


def test_a_payload_when_the_key_has_changed_is_decrypted_for_its_own_record_only(tmp_path: Path) -> None:
    path = tmp_path / "keys"
    before = codec_of(path, FIRST_KEY)
    request = before.encode_request("a", REQUEST)
    response = before.encode_response("a", RESPONSE)
    assert b"member" not in request
    assert b"points" not in response
    assert request != before.encode_request("a", REQUEST)
    after = codec_of(path, SECOND_KEY + FIRST_KEY)
    assert after.decode_request("a", request) == REQUEST
    assert after.decode_response("a", response) == RESPONSE
    assert after.encode_request("a", REQUEST).startswith(b"k2 ")
    assert after.decode_request("b", request) is None, "the payload belongs to another record"
    assert after.decode_response("a", request) is None, "the payload is a request"
    assert codec_of(path, SECOND_KEY).decode_request("a", request) is None, "its key is missing"
    for index in range(len(request)):
        changed = request[:index] + bytes([request[index] ^ 1]) + request[index + 1 :]
        assert after.decode_request("a", changed) is None


def test_a_payload_when_it_is_too_long_or_there_is_no_key_is_left_out(tmp_path: Path) -> None:
    codec = codec_of(tmp_path / "keys", FIRST_KEY)
    assert codec.encode_request("a", msgspec.structs.replace(REQUEST, body=b"x" * 101)) == b""
    without_keys = PayloadCodec(None, 100)
    assert without_keys.encode_request("a", REQUEST) == b""
    assert without_keys.decode_request("a", codec.encode_request("a", REQUEST)) is None


@pytest.mark.parametrize(
    ("text", "mode", "reason"),
    [
        ("k1 11", 0o600, ":1: NAME and 32 bytes"),
        ("k1 " + "11" * 32, 0o640, "others may read it"),
        ("# none\n", 0o600, "there is no key"),
        ("k 1 " + "11" * 32, 0o600, ":1:"),
        ("k1 " + "11" * 32 + "\nk1 " + "22" * 32, 0o600, ":2:"),
    ],
)
def test_a_key_file_when_it_can_t_be_used_is_reported_in_one_line_without_keys(
    tmp_path: Path, text: str, mode: int, reason: str
) -> None:
    path = tmp_path / "keys"
    path.write_text(text)
    path.chmod(mode)
    with pytest.raises(EncryptionError) as raised:
        read_keys(path)
    assert reason in str(raised.value)
    assert "\n" not in str(raised.value)
    assert "11" * 32 not in str(raised.value)
