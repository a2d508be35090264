"""Heartbeats and goodbyes as a coordinator takes them."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from coveport.serving.coordinator.heartbeat import read_heartbeat
from coveport.serving.coordinator.node_api import NodeApi
from coveport.serving.model.findings import Refusal
from coveport.serving.model.node import Node, NodeState
from coveport.serving.web.messages import ApiRequest

REGIONS = {"z1": "r1"}
HEARTBEAT = {
    "Service": "chat",
    "Address": "10.0.0.1:80",
    "Zone": "z1",
    "Berths": 64,
    "State": "accepting",
    "ColdLeftMs": 0,
    "CallSeq": 4,
}


class Reporting:
    """Takes reports, and confirms them or not."""

    def __init__(self, confirms: bool = True) -> None:
        self.taken: list[Node] = []
        self.confirms = confirms

    async def accept(self, node: Node) -> bool:
        self.taken.append(node)
        return self.confirms


class Silence:
    """A log that nobody reads."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def put(reporting: Reporting, is_connected: bool = True, **changes: object) -> int:
    calls = NodeApi(reporting, lambda: is_connected, REGIONS, Silence())  # type: ignore[arg-type]
    body = json.dumps(HEARTBEAT | changes).encode()
    call = ApiRequest("PUT", "/coveport/nodes/i-1", "i-1", {}, {}, body, "10.0.0.9")
    return asyncio.run(calls.heartbeat(call)).status


def test_a_heartbeat_is_taken_and_acknowledged() -> None:
    reporting = Reporting()
    assert put(reporting) == 200
    assert reporting.taken == [
        Node("i-1", 4, "chat", "10.0.0.1:80", "z1", "r1", 64, NodeState.ACCEPTING, 0.0, 0.0)
    ]


def test_one_out_of_touch_with_the_core_takes_a_heartbeat_and_sends_the_node_elsewhere() -> None:
    """Others would hear nothing of a node that reports to a coordinator that is cut off, and drop it."""
    reporting = Reporting()
    assert put(reporting, is_connected=False) == 503
    assert len(reporting.taken) == 1


def test_what_no_other_coordinator_confirmed_is_not_acknowledged() -> None:
    assert put(Reporting(confirms=False), State="closing") == 503


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("Zone", "z9"),
        ("Address", "nowhere"),
        ("State", "odd"),
        ("Service", ""),
        ("CallSeq", "four"),
        ("Berths", -1),
    ],
)
def test_a_senseless_field_is_refused_and_named(field: str, value: object) -> None:
    refusal = read_heartbeat("i-1", json.dumps(HEARTBEAT | {field: value}).encode(), REGIONS)
    assert isinstance(refusal, Refusal)
    assert field in refusal.reason


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff"])
def test_what_is_no_object_is_refused(body: bytes) -> None:
    assert isinstance(read_heartbeat("i-1", body, REGIONS), Refusal)


def test_all_faults_are_told_together() -> None:
    refusal = read_heartbeat("i-1", b'{"State": "odd", "Zone": "z9"}', REGIONS)
    assert isinstance(refusal, Refusal)
    assert len(refusal.findings) >= 4
