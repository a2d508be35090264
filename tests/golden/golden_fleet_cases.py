"""What instances of a fleet store and send: a snapshot, a lock file, notification datagrams."""

from __future__ import annotations

from coveport.sidecar.supervisor.snapshot import Snapshot, Timestamp

SNAPSHOT = Snapshot(
    fleet="süd",
    name="instance-1",
    taken=Timestamp(1_700_000_000.5, 4321.25, "boot-1"),
    endpoints_version=77,
    hosts=[
        {"host": "h1", "zone": "a", "born_ms": 5, "health": "ready", "weight": 0.5},
        {"host": "h2", "zone": "b", "extra": [1, None, True]},
    ],
    ejected={"h1": 3.5},
    warming_up={"h2": 1_700_000_000_000.0},
)
EMPTY_SNAPSHOT = Snapshot("f", "n", Timestamp(0.0, 0.0, ""), 0, [])

LOCK_NAME = "instance-1"
LOCK_INCARNATION = "4242.1234567.0123abcd"
LOCK_TEXT = '{"life": "LIFE"}\n'
LOCK_TEXT_AT_END = '{"life": "LIFE", "code": 3}\n'

DATAGRAMS: dict[str, dict[str, object]] = {
    "ready": {"READY": 1, "STATUS": "serving"},
    "status": {"STATUS": "lame duck"},
    "stopping": {"STOPPING": 1},
    "watchdog": {"WATCHDOG": 1},
    "own words": {"X_SERVED": "12 of 13", "X_EMPTY": ""},
}
