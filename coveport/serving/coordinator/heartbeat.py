"""Parses and validates the body of a heartbeat."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any, Final

from coveport.net.address import parse_address
from coveport.serving.model.findings import Findings, Refusal
from coveport.serving.model.node import Node, NodeState
from coveport.serving.wire.names import Heartbeat

_STATES: Final = {Heartbeat.ACCEPTING: NodeState.ACCEPTING, Heartbeat.CLOSING: NodeState.DRAINING}
_INCARNATION: Final = re.compile(r"[!-~]+")  # the incarnation is sent to nodes as the value of a header
_INCARNATION_LOCATION: Final = "path"
_NUMBER_LIMIT: Final = 1e15  # whole numbers below this are exact as floats


def read_heartbeat(incarnation: str, body: bytes, regions: Mapping[str, str]) -> Node | Refusal:
    """Return the node that a heartbeat describes, or a refusal with all findings.

    `regions`: the region of each zone, for all zones.
    """
    try:
        fields = json.loads(body)
    except ValueError:
        return Refusal("the body is not JSON")
    if not isinstance(fields, dict):
        return Refusal("the body is not an object")
    findings = Findings()
    if not _INCARNATION.fullmatch(incarnation):
        findings.add(_INCARNATION_LOCATION, "must be visible ASCII")
    service = _string_field(fields, Heartbeat.SERVICE, findings)
    address = _string_field(fields, Heartbeat.ADDRESS, findings)
    zone = _string_field(fields, Heartbeat.ZONE, findings)
    state = _STATES.get(str(fields.get(Heartbeat.STATE)))
    if state is None:
        findings.add(Heartbeat.STATE, "neither accepting nor closing")
    if zone and zone not in regions:
        findings.add(Heartbeat.ZONE, f"unknown zone {zone!r}")
    if address:
        _check_address(address, findings)
    sequence = _number_field(fields, Heartbeat.SEQUENCE, findings)
    slots = _number_field(fields, Heartbeat.SLOTS, findings)
    warm_up_left_ms = _number_field(fields, Heartbeat.WARM_UP_LEFT_MS, findings)
    shutdown_in_ms = _number_field(fields, Heartbeat.SHUTDOWN_IN_MS, findings)
    if findings or state is None:
        return Refusal(str(findings), tuple(findings))
    return Node(
        incarnation,
        int(sequence),
        service,
        address,
        zone,
        regions[zone],
        int(slots),
        state,
        warm_up_left_ms,
        shutdown_in_ms,
    )


def _check_address(address: str, findings: Findings) -> None:
    try:
        parse_address(address)
    except ValueError as error:
        findings.add(Heartbeat.ADDRESS, str(error))


def _string_field(fields: dict[str, Any], name: str, findings: Findings) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        findings.add(name, "not a text")
        return ""
    return value


def _number_field(fields: dict[str, Any], name: str, findings: Findings) -> float:
    value = fields.get(name, 0)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < _NUMBER_LIMIT:
        findings.add(name, "not a number")
        return 0.0
    return float(value)
