"""What bodies and events look like, so that anybody can tell whether one is what a node wrote. Pure."""

from __future__ import annotations

import hashlib
from typing import Final

EVENT_BYTES: Final = 55


def digest(data: bytes) -> str:
    """A short hash of bytes, to compare bodies by."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def event_text(run: str, number: int) -> str:
    """What a run writes as its event of that number."""
    return f"{run} {number} ".ljust(EVENT_BYTES, ".")


def event_block(run: str, number: int) -> bytes:
    """The same as it stands in the stream."""
    return f"id: {number}\ndata: {event_text(run, number)}\n\n".encode()


def whole_body(run: str, request_digest: str) -> bytes:
    """What a run answers to a request that is no stream."""
    return f"{run} {request_digest}".encode()
