"""Encodes the state of the duties as MessagePack without names: it holds many small counts."""

from __future__ import annotations

from typing import Final

import msgspec

from coveport.serving.duties.state import DutyHolder, DutyState, FleetOrder, UsageReport
from coveport.serving.model.telemetry import TenantCount
from coveport.serving.wire.errors import MalformedMessageError

INITIAL_DUTIES: Final = DutyState()

_Holder = tuple[str, str] | None
_Report = tuple[int, tuple[tuple[str, int], ...]]
_Order = tuple[str, str, int]
_Stored = tuple[_Holder, int, int, tuple[_Report, ...], tuple[_Order, ...]]

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_Stored)


def encode_duties(state: DutyState) -> bytes:
    """Return the state as bytes; none for the initial state."""
    if state == INITIAL_DUTIES:
        return b""
    holder = (state.holder.name, state.holder.incarnation) if state.holder else None
    reports = [
        (report.window, [(count.tenant, count.requests) for count in report.counts])
        for report in state.unsent_reports
    ]
    orders = [(order.service, order.zone, order.wanted) for order in state.fleet_orders]
    return _ENCODER.encode((holder, state.fence, state.last_fixed_window, reports, orders))


def decode_duties(data: bytes) -> DutyState:
    """Return the state in the bytes. Raises MalformedMessageError where they hold none."""
    if not data:
        return INITIAL_DUTIES
    try:
        holder, fence, last_fixed_window, reports, orders = _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise MalformedMessageError(f"state of the duties: {error}") from error
    return DutyState(
        DutyHolder(*holder) if holder is not None else None,
        fence,
        last_fixed_window,
        tuple(
            UsageReport(window, tuple(TenantCount(*count) for count in counts)) for window, counts in reports
        ),
        tuple(FleetOrder(*order) for order in orders),
    )
