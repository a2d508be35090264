"""A fleet's snapshots, lock files and notification datagrams keep their bytes."""

from __future__ import annotations

import os
import socket
from pathlib import Path

import pytest
from golden_files import read_cases, read_file
from golden_fleet_cases import DATAGRAMS, EMPTY_SNAPSHOT, LOCK_INCARNATION, LOCK_NAME, SNAPSHOT

from coveport.sidecar.supervisor import notify, snapshot
from coveport.sidecar.supervisor.atomic_file import write_atomically
from coveport.sidecar.supervisor.locks import NameLock, exit_code_of, incarnation_of, lock_owners, lock_path

DATAGRAM_BYTES = read_cases("notifications.json")


@pytest.mark.parametrize(("name", "expected"), [("snapshot", SNAPSHOT), ("snapshot_empty", EMPTY_SNAPSHOT)])
def test_a_snapshot_is_read_and_written_as_before(
    name: str, expected: snapshot.Snapshot, tmp_path: Path
) -> None:
    golden = read_file(f"fleet/{name}")
    assert snapshot.decode(golden) == expected
    assert snapshot.encode(expected) == golden
    write_atomically(tmp_path / "kept", golden)
    assert snapshot.read(tmp_path / "kept") == golden
    assert [path.name for path in tmp_path.iterdir()] == ["kept"]


def test_a_snapshot_is_usable_as_before() -> None:
    now = snapshot.Timestamp(0.0, 4331.25, "boot-1")
    loaded, age_s = snapshot.load_usable(read_file("fleet/snapshot"), "süd", "instance-1", now, 60.0)
    assert (loaded, age_s) == (SNAPSHOT, 10.0)
    assert snapshot.known_endpoints(loaded) == {
        "seq": 77,
        "whole": True,
        "hosts": [
            {"host": "h1", "zone": "a", "born_ms": 5, "health": "ready", "weight": 0.5},
            {"host": "h2", "zone": "b", "extra": [1, None, True], "born_ms": 1_700_000_000_000.0},
        ],
    }


def test_a_lock_file_is_read_as_before(tmp_path: Path) -> None:
    path = tmp_path / "run" / f"{LOCK_NAME}.lock"
    assert lock_path(tmp_path, LOCK_NAME) == path
    path.parent.mkdir()
    path.write_bytes(read_file("fleet/lock"))
    assert exit_code_of(tmp_path, LOCK_NAME, LOCK_INCARNATION) is None
    path.write_bytes(read_file("fleet/lock_at_end"))
    assert exit_code_of(tmp_path, LOCK_NAME, LOCK_INCARNATION) == 3
    assert exit_code_of(tmp_path, LOCK_NAME, "1.2.3") is None


def test_a_lock_file_is_written_as_before(tmp_path: Path) -> None:
    incarnation = own_incarnation()
    lock = NameLock(tmp_path, LOCK_NAME)
    path = tmp_path / "run" / f"{LOCK_NAME}.lock"
    try:
        assert incarnation_of(os.getpid()) == incarnation
        assert path.read_bytes() == read_file("fleet/lock").replace(
            LOCK_INCARNATION.encode(), incarnation.encode()
        )
        assert lock_owners(tmp_path) == {LOCK_NAME: incarnation}
        lock.record_exit_code(3)
        assert path.read_bytes() == read_file("fleet/lock_at_end").replace(
            LOCK_INCARNATION.encode(), incarnation.encode()
        )
    finally:
        lock.close()
    assert lock_owners(tmp_path) == {}


def own_incarnation() -> str:
    """Our pid, the tick at which we were started, and the first of the boot's identity."""
    ticks = Path("/proc/self/stat").read_text(encoding="utf-8").rpartition(")")[2].split()[19]
    boot = Path("/proc/sys/kernel/random/boot_id").read_text(encoding="ascii")
    return f"{os.getpid()}.{ticks}.{boot[:8]}"


@pytest.mark.parametrize("case", DATAGRAMS)
def test_a_notification_is_read_and_written_as_before(case: str, tmp_path: Path) -> None:
    assert notify.parse(DATAGRAM_BYTES[case]) == {name: str(value) for name, value in DATAGRAMS[case].items()}
    assert datagram(tmp_path / "socket", DATAGRAMS[case]) == DATAGRAM_BYTES[case]


def datagram(path: Path, variables: dict[str, object]) -> bytes:
    """What a supervisor's socket receives when these variables are sent."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as receiver:
        receiver.bind(str(path))
        receiver.settimeout(5.0)
        notifier = notify.Notifier.from_environment({"NOTIFY_SOCKET": str(path)})
        try:
            assert notifier.send(**variables)
            return receiver.recv(65536)
        finally:
            notifier.close()


def test_every_notification_has_its_golden_bytes() -> None:
    assert DATAGRAM_BYTES.keys() == DATAGRAMS.keys()
    assert notify.parse(b"no word\nA-B=1\nREADY=1") == {"READY": "1"}
