"""Encodes the state of the singleton tasks as JSON lists; without names, since the many counts are small."""

from __future__ import annotations

import json
from typing import Any, Final

from coveport.serving.duties.state import FleetOrder, LeaseOwner, SingletonState, UsageReport
from coveport.serving.model.telemetry import TenantCount
from coveport.serving.wire.errors import MalformedMessageError

INITIAL_SINGLETON_STATE: Final = SingletonState()


def encode_singleton_state(state: SingletonState) -> bytes:
    """Return the state as bytes, empty for the initial state. Equal states give equal bytes."""
    if state == INITIAL_SINGLETON_STATE:
        return b""
    owner = [state.owner.name, state.owner.incarnation] if state.owner else None
    reports = [
        [report.window, [[count.tenant, count.requests] for count in report.counts]]
        for report in state.unsent_reports
    ]
    orders = [[order.service, order.zone, order.wanted] for order in state.fleet_orders]
    stored = [owner, state.fencing_token, state.last_fixed_window, reports, orders]
    return json.dumps(stored, ensure_ascii=True, separators=(",", ":")).encode("ascii")


def decode_singleton_state(data: bytes) -> SingletonState:
    """Return the state encoded in the bytes. Raises MalformedMessageError if the bytes hold no state."""
    if not data:
        return INITIAL_SINGLETON_STATE
    try:
        owner, *numbers, reports, orders = json.loads(data)
        fencing_token, last_fixed_window = _fields(numbers, int, int)
        return SingletonState(
            None if owner is None else LeaseOwner(*_fields(owner, str, str)),
            fencing_token,
            last_fixed_window,
            tuple(_report(report) for report in reports),
            tuple(FleetOrder(*_fields(order, str, str, int)) for order in orders),
        )
    except (ValueError, TypeError) as error:
        raise MalformedMessageError(f"state of the singleton tasks: {error}") from error


def _report(stored: Any) -> UsageReport:
    window, counts = _fields(stored, int, list)
    return UsageReport(window, tuple(TenantCount(*_fields(count, str, int)) for count in counts))


def _fields(values: Any, *types: type) -> list[Any]:
    """Return `values` if it is a list with exactly these types. Raises ValueError otherwise."""
    if not isinstance(values, list) or tuple(map(type, values)) != types:
        names = ", ".join(expected.__name__ for expected in types)
        raise ValueError(f"expected a list of {names}, got {values!r}")
    return values
