"""Which instances count as alive, draining or lost."""

from __future__ import annotations

from coveport.sidecar.intent_log.presence import OwnerStatus, Presence


def test_an_owner_counts_as_lost_after_its_time_to_live_or_its_drain_time() -> None:
    presence = Presence("us#1", 3.0)
    assert presence.status_of(0.0, "us#1") is OwnerStatus.SELF
    assert presence.status_of(0.0, "a#1") is OwnerStatus.ALIVE, "no session was seen yet"
    presence.add("a", "a#1")
    assert presence.status_of(9.0, "a#1") is OwnerStatus.ALIVE
    assert presence.status_of(10.0, "b#1") is OwnerStatus.ALIVE
    assert presence.status_of(13.1, "b#1") is OwnerStatus.LOST
    presence.start_drain("a#1", 25.0)
    assert presence.remove(20.0, "a") == "a#1"
    assert presence.remove(20.0, "a") == ""
    assert presence.status_of(20.0, "a#1") is OwnerStatus.DRAINING
    assert presence.status_of(25.0, "a#1") is OwnerStatus.LOST
    presence.end_drain("a#1")
    assert presence.status_of(20.0, "a#1") is OwnerStatus.LOST
    presence.add("a", "a#1")
    assert presence.status_of(26.0, "a#1") is OwnerStatus.ALIVE
