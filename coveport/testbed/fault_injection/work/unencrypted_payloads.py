"""Encode the payloads of intent records as JSON, without encryption."""

from __future__ import annotations

import json

from coveport.sidecar.intent_log.payloads import PayloadCodec, StoredRequest, StoredResponse

PAYLOAD_LIMIT_BYTES = 65536  # far above any payload of a trial


class UnencryptedPayloads(PayloadCodec):
    """Store payloads unencrypted: encryption would cost a trial time and show nothing."""

    def __init__(self) -> None:
        super().__init__(None, PAYLOAD_LIMIT_BYTES)

    def encode_request(self, record_id: str, request: StoredRequest) -> bytes:
        """Return a request as JSON."""
        return json.dumps(
            [
                request.method,
                request.target,
                request.body.decode(),
                request.request_id,
                request.idempotency_key,
            ]
        ).encode()

    def encode_response(self, record_id: str, response: StoredResponse) -> bytes:
        """Return the body of a response."""
        return response.body

    def decode_request(self, record_id: str, sealed: bytes) -> StoredRequest | None:
        """Return a stored request; None where none was stored."""
        if not sealed:
            return None
        method, target, body, request_id, key = json.loads(sealed)
        return StoredRequest(method, target, body.encode(), request_id, key)

    def decode_response(self, record_id: str, sealed: bytes) -> StoredResponse | None:
        """Return a stored response; None where none was stored."""
        return StoredResponse(sealed) if sealed else None
