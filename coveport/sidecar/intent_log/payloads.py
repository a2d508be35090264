"""Requests and responses as stored in records: encrypted, or left out. Payloads are never logged."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from coveport.sidecar.intent_log.encryption import KeyRing
from coveport.sidecar.intent_log.errors import EncryptionError

# Kinds of payload. The kind is authenticated with each payload, so that a change of these values would make
# stored payloads unreadable.
_REQUEST = "asked"
_RESPONSE = "given"


class StoredRequest(msgspec.Struct, frozen=True):
    """The parts of a client's request that are needed to send it again."""

    method: str
    target: str
    body: bytes
    request_id: str
    idempotency_key: str | None = msgspec.field(name="key")
    content_type: tuple[str, ...] = ()
    accept: tuple[str, ...] = ()


class StoredResponse(msgspec.Struct, frozen=True):
    """The response of a node."""

    body: bytes
    content_type: str | None = None


_Payload = TypeVar("_Payload", StoredRequest, StoredResponse)


class PayloadCodec:
    """Encrypts payloads for records and decrypts them.

    `key_ring`: None leaves all payloads out. `max_body_bytes`: payloads with a longer body are left out.
    """

    def __init__(self, key_ring: KeyRing | None, max_body_bytes: int) -> None:
        self._key_ring = key_ring
        self._max_body_bytes = max_body_bytes

    def encode_request(self, record_id: str, request: StoredRequest) -> bytes:
        """Return a request in its stored form; empty if it is left out."""
        return self._encode(record_id, _REQUEST, request)

    def encode_response(self, record_id: str, response: StoredResponse) -> bytes:
        """Return a response in its stored form; empty if it is left out."""
        return self._encode(record_id, _RESPONSE, response)

    def decode_request(self, record_id: str, sealed: bytes) -> StoredRequest | None:
        """Return a stored request; None if it was left out or can't be decrypted."""
        return self._decode(record_id, _REQUEST, sealed, StoredRequest)

    def decode_response(self, record_id: str, sealed: bytes) -> StoredResponse | None:
        """Return a stored response; None if it was left out or can't be decrypted."""
        return self._decode(record_id, _RESPONSE, sealed, StoredResponse)

    def _encode(self, record_id: str, kind: str, payload: StoredRequest | StoredResponse) -> bytes:
        if self._key_ring is None or len(payload.body) > self._max_body_bytes:
            return b""
        return self._key_ring.encrypt(record_id, kind, msgspec.msgpack.encode(payload))

    def _decode(self, record_id: str, kind: str, sealed: bytes, payload: type[_Payload]) -> _Payload | None:
        if self._key_ring is None or not sealed:
            return None
        try:
            return msgspec.msgpack.decode(self._key_ring.decrypt(record_id, kind, sealed), type=payload)
        except (EncryptionError, msgspec.DecodeError, msgspec.ValidationError):
            return None
