"""Extracts the operations that `linearizability` checks from the event log of a simulated day."""

from __future__ import annotations

from linearizability import Operation, Result

from coveport.serving.simulation.events import EventLog, Order, OrderEnded, OrderStarted, Verdict

NOT_FOUND, CONFLICT = 404, 412


def operations(event_log: EventLog) -> list[Operation]:
    """Return the changes and reads of the configuration, in the order in which they started."""
    started = {event.number: event for event in event_log.of(OrderStarted)}
    ended = {event.number: event for event in event_log.of(OrderEnded)}
    history = []
    for number, start in started.items():
        end = ended.get(number)
        operation = _operation(start, end)
        if operation is not None:
            history.append(operation)
    return history


def _operation(start: OrderStarted, end: OrderEnded | None) -> Operation | None:
    """Return an order as an operation; None if it is neither a valid change nor a read with an answer."""
    if start.order is Order.READ:
        return _read(start, end)
    if start.order not in (Order.PUT, Order.PATCH) or not start.valid:
        return None
    if end is None or end.verdict is Verdict.UNCLEAR:
        result = Result.UNKNOWN
    elif end.verdict is Verdict.ACKNOWLEDGED:
        result = Result.DONE
    elif end.status == CONFLICT:
        result = Result.CONFLICT
    else:
        raise AssertionError(f"a valid configuration was rejected with status {end.status}")
    ended_s = end.at_s if end is not None else float("inf")
    return Operation(start.at_s, ended_s, result, start.edition, start.digest, start.based_on)


def _read(start: OrderStarted, end: OrderEnded | None) -> Operation | None:
    if end is None:
        return None
    if end.verdict is Verdict.ACKNOWLEDGED:
        return Operation(start.at_s, end.at_s, Result.DONE, end.edition, end.digest)
    if end.status == NOT_FOUND and end.verdict is Verdict.REFUSED:
        return Operation(start.at_s, end.at_s, Result.DONE, 0, "")
    return None
