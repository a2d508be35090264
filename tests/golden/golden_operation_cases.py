"""Records of operations in every state, what is sealed of them, and the keys under which they stand."""

from __future__ import annotations

from coveport.balancing import DeduplicationScope, Effect, Outcome
from coveport.sidecar.intent_log.payloads import StoredRequest, StoredResponse
from coveport.sidecar.intent_log.record import (
    Attempt,
    ExecutionPolicy,
    FinalStatus,
    ManualResolution,
    Record,
    RecoveryPoint,
)
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.leases.store import Delete, Put, Transaction

ID = "0123456789abcdef0123456789abcdef"
KEY_FILE = b"# the first one seals\nsecond " + b"11" * 32 + b"\n\nfirst " + b"0a" * 32 + b"\n"
SEAL_KEYS = {"second": b"\x11" * 32, "first": b"\x0a" * 32}
NONCE = bytes(range(12))

KEYED = ExecutionPolicy(Effect.KEYED, DeduplicationScope.ZONE, 900.0, 3, 1200.0)
SAFE = ExecutionPolicy(Effect.SAFE, DeduplicationScope.ALL, 0.0, 2)
UNSAFE = ExecutionPolicy(Effect.UNSAFE, DeduplicationScope.CELL, 0.5, 1, 5000.0)
ENDED_ATTEMPTS = tuple(
    Attempt(f"node-{number}", 1, 2, "life-1", outcome, 1_700_000_000.5 + number)
    for number, outcome in enumerate(Outcome)
)
OPEN_ATTEMPT = Attempt("node-9", 0, 7, "life-2")

TAKEN = Record(
    id=ID,
    idempotency_key="order-17",
    class_name="orders",
    request_digest="d1",
    policy=KEYED,
    owner="life-1",
    owner_token=12,
    accepted_unix_s=1_700_000_000.25,
)
SENDING = Record(
    id=ID,
    idempotency_key="",
    class_name="größe",
    request_digest="",
    policy=SAFE,
    owner="life-2",
    owner_token=1 << 40,
    recovery_point=RecoveryPoint.SENDING,
    attempts=(*ENDED_ATTEMPTS, OPEN_ATTEMPT),
    sealed_request=b"\x00sealed request\xff",
    first_attempt_revision=99,
    generation=3,
    previous_owners=("life-0", "life-1"),
    request_id="request-5",
)
ANSWERED = Record(
    id=ID,
    idempotency_key="order-17",
    class_name="orders",
    request_digest="d1",
    policy=KEYED,
    owner="life-1",
    owner_token=12,
    recovery_point=RecoveryPoint.ANSWERED,
    attempts=ENDED_ATTEMPTS[:1],
    sealed_response=b"sealed answer",
)


def _closed(status: FinalStatus, resolution: ManualResolution | None = None) -> Record:
    return Record(
        id=ID,
        idempotency_key="order-17",
        class_name="orders",
        request_digest="d1",
        policy=UNSAFE,
        owner="life-1",
        owner_token=12,
        recovery_point=RecoveryPoint.CLOSED,
        attempts=(OPEN_ATTEMPT,),
        final_status=status,
        reason=f"because: {status.name.lower()}",
        accepted_unix_s=1_700_000_000.0,
        closed_unix_s=1_700_000_001.5,
        resolution=resolution,
    )


SETTLED = _closed(
    FinalStatus.UNKNOWN, ManualResolution(FinalStatus.NEVER_RAN, "staff", "looked it up", 1_700_000_100.0)
)

RECORDS: dict[str, Record] = {
    "taken": TAKEN,
    "sending": SENDING,
    "answered": ANSWERED,
    "closed as served": _closed(FinalStatus.SERVED),
    "closed as refused": _closed(FinalStatus.REFUSED),
    "closed as failed": _closed(FinalStatus.FAILED),
    "closed as never run": _closed(FinalStatus.NEVER_RAN),
    "closed as unknown": _closed(FinalStatus.UNKNOWN),
    "settled": SETTLED,
}

ASKED = StoredRequest(
    "POST", "/orders?x=1", b"\x00body\xff", "request-5", "order-17", ("text/plain",), ("a/b", "*/*")
)
ASKED_LITTLE = StoredRequest("GET", "/", b"", "request-6", None)
GIVEN = StoredResponse(b"answer\x00", "application/json")
GIVEN_LITTLE = StoredResponse(b"")

LAYOUT = RecordLayout("work/", 600.0)


def transactions() -> dict[str, Transaction]:
    """How records move through a store."""
    return {
        "taken": LAYOUT.write(None, 0, TAKEN),
        "answered": LAYOUT.write(TAKEN, 5, ANSWERED),
        "closed": LAYOUT.write(ANSWERED, 6, RECORDS["closed as served"]),
        "unknown": LAYOUT.write(ANSWERED, 6, RECORDS["closed as unknown"]),
        "settled": LAYOUT.write(RECORDS["closed as unknown"], 7, SETTLED),
        "thrown away": LAYOUT.deletion(ID, 8, LAYOUT.index_key(SETTLED)),
    }


def transaction_text(told: Transaction) -> bytes:
    """A transaction as lines: what is compared, put and deleted."""
    lines = [f"compare {one.key} {one.field.value} {one.equals}".encode() for one in told.compares]
    lines += [_change_text(one) for one in told.changes]
    return b"\n".join(lines)


def _change_text(change: Put | Delete) -> bytes:
    if isinstance(change, Put):
        return f"put {change.key} {change.lease} ".encode() + change.value
    return f"delete {change.key}".encode()
