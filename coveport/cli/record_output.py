"""What is shown of a record of the intent log: nothing of the request's or the response's contents."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from coveport.sidecar.intent_log.record import Record


def record_as_json(record: Record) -> dict[str, Any]:
    """Return a record's form for scripts and exports; times in Unix seconds."""
    return {
        "id": record.id,
        "class": record.class_name,
        "key": record.idempotency_key,
        "is": record.status,
        "settled": None if record.resolution is None else record.resolution.final_status.value,
        "owner": record.owner,
        "taken": record.accepted_unix_s,
        "closed": record.closed_unix_s or None,
        "attempts": [
            {
                "node": attempt.node,
                "zone": attempt.zone,
                "cell": attempt.cell,
                "by": attempt.incarnation,
                "at": attempt.recorded_unix_s,
                "ended": None if attempt.outcome is None else attempt.outcome.name.lower(),
            }
            for attempt in record.attempts
        ],
        "owners": list(record.previous_owners),
        "lives": record.generation,
        "why": record.reason,
        "asked": record.request_id,
    }


def format_time(unix_s: float) -> str:
    """Return a time in the local time zone, with milliseconds; `-` for 0."""
    if not unix_s:
        return "-"
    return time.strftime("%F %T", time.localtime(unix_s)) + f".{int(unix_s % 1 * 1000):03d}"


def describe_history(record: Record) -> Iterator[str]:
    """Yield a record's history, a line for each event."""
    owners = (*record.previous_owners, record.owner)
    key = f", key {record.idempotency_key}" if record.idempotency_key else ""
    yield f"{record.id}: {record.class_name}{key}, asked last as {record.request_id}"
    yield f"{format_time(record.accepted_unix_s)}  taken by {owners[0]}"
    yield from _describe_attempts(record)
    for previous, successor in zip(record.previous_owners, owners[1:], strict=False):
        yield f"{'':23}  taken over from {previous} by {successor}"
    if record.generation > 1:
        yield f"{'':23}  its client asked again {record.generation - 1} times after it was closed"
    yield from _describe_end(record)


def _describe_attempts(record: Record) -> Iterator[str]:
    for number, attempt in enumerate(record.attempts, start=1):
        if attempt.outcome is None:
            end = "no word of its end: it may have run"
        else:
            end = attempt.outcome.name.lower() + ("" if attempt.may_have_run else ": it never ran")
        where = f"{attempt.node} (zone {attempt.zone}, cell {attempt.cell})"
        at = format_time(attempt.recorded_unix_s)
        yield f"{at}  attempt {number} at {where} by {attempt.incarnation}: {end}"


def _describe_end(record: Record) -> Iterator[str]:
    if record.final_status is None:
        yield f"{'':23}  {record.status}: {record.owner} is at it"
    else:
        reason = f": {record.reason}" if record.reason else ""
        yield f"{format_time(record.closed_unix_s)}  closed as {record.final_status.value}{reason}"
    resolution = record.resolution
    if resolution is not None:
        yield (
            f"{format_time(resolution.resolved_unix_s)}  settled as {resolution.final_status.value} "
            f"by {resolution.resolved_by}: {resolution.reason}"
        )
