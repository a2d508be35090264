"""Format of the bodies and events that nodes write; a reader verifies their origin by it. Pure."""

from __future__ import annotations

import hashlib
from typing import Final

EVENT_BYTES: Final = 55


def digest(data: bytes) -> str:
    """Return a short hash of a body."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def event_text(run: str, number: int) -> str:
    """Return the text of a run's event with a given number."""
    return f"{run} {number} ".ljust(EVENT_BYTES, ".")


def event_block(run: str, number: int) -> bytes:
    """Return an event as it is encoded in the stream."""
    return f"id: {number}\ndata: {event_text(run, number)}\n\n".encode()


def complete_body(run: str, request_digest: str) -> bytes:
    """Return the body of a run's answer that is not streamed."""
    return f"{run} {request_digest}".encode()
