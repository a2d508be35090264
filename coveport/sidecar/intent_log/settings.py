"""Validated settings of the intent log, and an estimate of its load on a store.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

RECORD_BYTES = 700  # approximate size of a record without request and response
# A write with the first attempt and a write that closes the record; each retry adds a write.
_WRITES_PER_OPERATION = 2
_SEALED_RATIO = 1.4  # size of an encrypted and base64-encoded body, relative to the body's size


@dataclass(frozen=True, slots=True)
class IntentLogSettings:
    """Validated `[work]` table of an operator's file."""

    recorded_classes: frozenset[str]
    # Recorded classes that are rejected while the store is unavailable; operations of other
    # recorded classes run unrecorded then.
    rejected_when_unavailable: frozenset[str] = frozenset()
    by_request_id: bool = False  # whether clients repeat a request with the same X-Request-Id
    retention_s: float = 600.0  # how long a closed record is kept for a client that repeats its request
    max_body_bytes: int = 65536  # requests and responses with longer bodies are not kept
    takeovers_per_s: float = 50.0
    store_timeout_s: float = 0.25  # time-out of a call to the store


def cost_of(operations_per_s: float, retention_s: float, max_body_bytes: int) -> str:
    """Return a line with the estimated load and size of the records of so many operations in a store."""
    retained = operations_per_s * retention_s
    max_record_bytes = RECORD_BYTES + 2 * _SEALED_RATIO * max_body_bytes
    return (
        f"records: {operations_per_s:g} operations a second are "
        f"{_WRITES_PER_OPERATION * operations_per_s:g} writes a second, each a key of "
        f"{RECORD_BYTES} bytes to {max_record_bytes / 1000:.0f} kB and its index; "
        f"{retained:,.0f} records kept, "
        f"{retained * RECORD_BYTES / 1e6:,.0f} MB and their bodies "
        f"(at most {retained * max_record_bytes / 1e6:,.0f} MB)"
    )
