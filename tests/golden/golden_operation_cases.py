"""Records of operations in every state, what is sealed of them, and the keys under which they stand."""

from __future__ import annotations

from coveport.balancing.interface import Effect, Group, Outcome
from coveport.sidecar.intent_log.encryption import Asked, Given
from coveport.sidecar.intent_log.record import Attempt, End, Record, Rules, Settled, State
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.leases.store import Delete, Put, Transaction

ID = "0123456789abcdef0123456789abcdef"
KEY_FILE = b"# the first one seals\nsecond " + b"11" * 32 + b"\n\nfirst " + b"0a" * 32 + b"\n"
SEAL_KEYS = {"second": b"\x11" * 32, "first": b"\x0a" * 32}
NONCE = bytes(range(12))

KEYED = Rules(Effect.KEYED, Group.ZONE, 900.0, 3, 1200.0)
SAFE = Rules(Effect.SAFE, Group.ALL, 0.0, 2)
UNSAFE = Rules(Effect.UNSAFE, Group.CELL, 0.5, 1, 5000.0)
ENDED_ATTEMPTS = tuple(
    Attempt(f"node-{number}", 1, 2, "life-1", outcome, 1_700_000_000.5 + number)
    for number, outcome in enumerate(Outcome)
)
OPEN_ATTEMPT = Attempt("node-9", 0, 7, "life-2")

TAKEN = Record(
    id=ID,
    key="order-17",
    cls="orders",
    digest="d1",
    rules=KEYED,
    owner="life-1",
    token=12,
    unix=1_700_000_000.25,
)
SENDING = Record(
    id=ID,
    key="",
    cls="größe",
    digest="",
    rules=SAFE,
    owner="life-2",
    token=1 << 40,
    state=State.SENDING,
    attempts=(*ENDED_ATTEMPTS, OPEN_ATTEMPT),
    request=b"\x00sealed request\xff",
    since=99,
    lives=3,
    owners=("life-0", "life-1"),
    asked="request-5",
)
ANSWERED = Record(
    id=ID,
    key="order-17",
    cls="orders",
    digest="d1",
    rules=KEYED,
    owner="life-1",
    token=12,
    state=State.ANSWERED,
    attempts=ENDED_ATTEMPTS[:1],
    answer=b"sealed answer",
)


def _closed(end: End, settled: Settled | None = None) -> Record:
    return Record(
        id=ID,
        key="order-17",
        cls="orders",
        digest="d1",
        rules=UNSAFE,
        owner="life-1",
        token=12,
        state=State.CLOSED,
        attempts=(OPEN_ATTEMPT,),
        end=end,
        why=f"because: {end.name.lower()}",
        unix=1_700_000_000.0,
        closed_unix=1_700_000_001.5,
        settled=settled,
    )


SETTLED = _closed(End.UNKNOWN, Settled(End.NEVER_RAN, "staff", "looked it up", 1_700_000_100.0))

RECORDS: dict[str, Record] = {
    "taken": TAKEN,
    "sending": SENDING,
    "answered": ANSWERED,
    "closed as served": _closed(End.SERVED),
    "closed as refused": _closed(End.REFUSED),
    "closed as failed": _closed(End.FAILED),
    "closed as never run": _closed(End.NEVER_RAN),
    "closed as unknown": _closed(End.UNKNOWN),
    "settled": SETTLED,
}

ASKED = Asked(
    "POST", "/orders?x=1", b"\x00body\xff", "request-5", "order-17", ("text/plain",), ("a/b", "*/*")
)
ASKED_LITTLE = Asked("GET", "/", b"", "request-6", None)
GIVEN = Given(b"answer\x00", "application/json")
GIVEN_LITTLE = Given(b"")

LAYOUT = RecordLayout("work/", 600.0)


def transactions() -> dict[str, Transaction]:
    """How records move through a store."""
    return {
        "taken": LAYOUT.write(None, 0, TAKEN),
        "answered": LAYOUT.write(TAKEN, 5, ANSWERED),
        "closed": LAYOUT.write(ANSWERED, 6, RECORDS["closed as served"]),
        "unknown": LAYOUT.write(ANSWERED, 6, RECORDS["closed as unknown"]),
        "settled": LAYOUT.write(RECORDS["closed as unknown"], 7, SETTLED),
        "thrown away": LAYOUT.throw_away(ID, 8, LAYOUT.index(SETTLED)),
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
