"""Whether all coordinators support a protocol version, as the commands of the duties require."""

from __future__ import annotations

import pytest

from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.wire.versions import DUTIES_VERSION


@pytest.mark.parametrize(
    ("announced", "expected"),
    [
        ({}, True),
        ({"a": DUTIES_VERSION, "b": DUTIES_VERSION + 1}, True),
        ({"a": DUTIES_VERSION, "b": DUTIES_VERSION - 1}, False),
        ({"a": DUTIES_VERSION, "elsewhere": DUTIES_VERSION - 1}, True),
    ],
)
def test_version_is_supported_unless_a_listed_coordinator_is_older(
    announced: dict[str, int], expected: bool
) -> None:
    versions = PeerVersions()
    for address, version in announced.items():
        versions.record_coordinator(address, version)
    assert versions.all_support(DUTIES_VERSION, ("a", "b")) is expected


def test_version_is_supported_after_the_older_coordinator_is_upgraded() -> None:
    versions = PeerVersions()
    versions.record_coordinator("a", DUTIES_VERSION - 1)
    versions.record_coordinator("a", DUTIES_VERSION)
    assert versions.all_support(DUTIES_VERSION, ("a",))
