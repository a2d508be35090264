"""Heartbeats that the nodes' API accepts, acknowledges or rejects."""

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


class FakeReplicator:
    """Accepts reports; `replicates`: whether other coordinators acknowledge them."""

    def __init__(self, replicates: bool = True) -> None:
        self.accepted: list[Node] = []
        self.replicates = replicates

    async def accept(self, node: Node) -> bool:
        self.accepted.append(node)
        return self.replicates


class NullLogger:
    """Drops all events."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def put(replicator: FakeReplicator, has_quorum: bool = True, **changes: object) -> int:
    api = NodeApi(replicator, lambda: has_quorum, REGIONS, NullLogger())  # type: ignore[arg-type]
    body = json.dumps(HEARTBEAT | changes).encode()
    request = ApiRequest("PUT", "/coveport/nodes/i-1", "i-1", {}, {}, body, "10.0.0.9")
    return asyncio.run(api.heartbeat(request)).status


def test_heartbeat_is_accepted_and_acknowledged() -> None:
    replicator = FakeReplicator()
    assert put(replicator) == 200
    assert replicator.accepted == [
        Node("i-1", 4, "chat", "10.0.0.1:80", "z1", "r1", 64, NodeState.ACCEPTING, 0.0, 0.0)
    ]


def test_heartbeat_without_quorum_is_accepted_and_not_acknowledged() -> None:
    """Other coordinators don't receive reports to a partitioned coordinator, and would remove the node."""
    replicator = FakeReplicator()
    assert put(replicator, has_quorum=False) == 503
    assert len(replicator.accepted) == 1


def test_heartbeat_that_is_not_replicated_is_not_acknowledged() -> None:
    assert put(FakeReplicator(replicates=False), State="closing") == 503


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
def test_heartbeat_with_an_invalid_field_is_rejected_with_its_name(field: str, value: object) -> None:
    refusal = read_heartbeat("i-1", json.dumps(HEARTBEAT | {field: value}).encode(), REGIONS)
    assert isinstance(refusal, Refusal)
    assert field in refusal.reason


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff"])
def test_heartbeat_that_is_no_object_is_rejected(body: bytes) -> None:
    assert isinstance(read_heartbeat("i-1", body, REGIONS), Refusal)


def test_heartbeat_with_several_faults_is_rejected_with_all_of_them() -> None:
    refusal = read_heartbeat("i-1", b'{"State": "odd", "Zone": "z9"}', REGIONS)
    assert isinstance(refusal, Refusal)
    assert len(refusal.findings) >= 4


@pytest.mark.parametrize("incarnation", ["", "i-1\r\nX-Evil: 1", "i 1", "i-\u00e9"])
def test_heartbeat_whose_incarnation_can_not_be_sent_as_a_header_is_rejected(incarnation: str) -> None:
    refusal = read_heartbeat(incarnation, json.dumps(HEARTBEAT).encode(), REGIONS)
    assert isinstance(refusal, Refusal)
    assert [finding.location for finding in refusal.findings] == ["path"]
