"""Encodes the state of the duties as JSON lists without names: it holds many small counts."""

from __future__ import annotations

import json
from typing import Any, Final

from coveport.serving.duties.state import FleetOrder, LeaseOwner, SingletonState, UsageReport
from coveport.serving.model.telemetry import TenantCount
from coveport.serving.wire.errors import MalformedMessageError

INITIAL_SINGLETON_STATE: Final = SingletonState()


def encode_singleton_state(state: SingletonState) -> bytes:
    """Return the state as bytes; none for the initial state. Equal states give equal bytes."""
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
    """Return the state in the bytes. Raises MalformedMessageError where they hold none."""
    if not data:
        return INITIAL_SINGLETON_STATE
    try:
        owner, *figures, reports, orders = json.loads(data)
        fencing_token, last_fixed_window = _fields(figures, int, int)
        return SingletonState(
            None if owner is None else LeaseOwner(*_fields(owner, str, str)),
            fencing_token,
            last_fixed_window,
            tuple(_report(report) for report in reports),
            tuple(FleetOrder(*_fields(order, str, str, int)) for order in orders),
        )
    except (ValueError, TypeError) as error:
        raise MalformedMessageError(f"state of the duties: {error}") from error


def _report(stored: Any) -> UsageReport:
    window, counts = _fields(stored, int, list)
    return UsageReport(window, tuple(TenantCount(*_fields(count, str, int)) for count in counts))


def _fields(values: Any, *kinds: type) -> list[Any]:
    """Return a list whose values have exactly these types. Raises ValueError for another one."""
    if not isinstance(values, list) or tuple(map(type, values)) != kinds:
        names = ", ".join(kind.__name__ for kind in kinds)
        raise ValueError(f"expected a list of {names}, got {values!r}")
    return values
