"""Snapshots with a crash at every system call of a write, damage at every byte, and clock steps."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.supervisor import snapshot
from coveport.sidecar.supervisor.atomic_file import FileSystem, write_atomically
from coveport.sidecar.supervisor.endpoint_table import EndpointTable
from coveport.sidecar.supervisor.errors import SnapshotError
from coveport.sidecar.supervisor.snapshot import (
    Snapshot,
    Timestamp,
    decode,
    encode,
    known_endpoints,
    load_usable,
)

NOW = Timestamp(1_700_000_000.0, 500.0, "boot-a")
HOST = {
    "host": "n1",
    "dial": "127.0.0.1:1",
    "site": "bilbao",
    "block": 0,
    "health": "active",
    "share": 1.0,
    "born_ms": 5,
}


def new_snapshot(endpoints_version: int = 3, **fields: Any) -> Snapshot:
    return Snapshot("host", "host-1", NOW, endpoints_version, [HOST], **fields)


class Crash(BaseException):
    """Simulates a kill of the process."""


class FaultyFileSystem(FileSystem):
    """Fails at the n-th call by a kill before or after it or a full disk, or makes partial writes."""

    def __init__(self, at: int, how: str) -> None:
        self.calls = 0
        self._at = at
        self._how = how

    def _call(self, name: str, *arguments: Any) -> Any:
        self.calls += 1
        is_faulty_call = self.calls == self._at
        if is_faulty_call and self._how == "before":
            raise Crash
        if is_faulty_call and self._how == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if name == "write" and self._how == "pieces":
            arguments = (arguments[0], arguments[1][:7])
        result = getattr(FileSystem, name)(self, *arguments)
        if is_faulty_call and self._how == "after":
            raise Crash
        return result

    def open(self, path: Path) -> int:
        return int(self._call("open", path))

    def write(self, file: int, data: bytes) -> int:
        return int(self._call("write", file, data))

    def sync(self, file: int) -> None:
        self._call("sync", file)

    def close(self, file: int) -> None:
        self._call("close", file)

    def move(self, source: Path, target: Path) -> None:
        self._call("move", source, target)

    def sync_folder(self, path: Path) -> None:
        self._call("sync_folder", path)


@pytest.mark.parametrize("how", ["before", "after", "full", "pieces"])
def test_write_when_it_crashes_at_any_call_leaves_the_old_or_the_new_snapshot(
    tmp_path: Path, how: str
) -> None:
    path = tmp_path / "host-1.snap"
    old, new = encode(new_snapshot(3)), encode(new_snapshot(4))
    counting = FaultyFileSystem(0, how)
    write_atomically(path, new, counting)
    assert path.read_bytes() == new
    for at in range(1, counting.calls + 1):
        write_atomically(path, old)
        has_failed = False
        try:
            write_atomically(path, new, FaultyFileSystem(at, how))
        except (Crash, OSError):
            has_failed = True
        assert path.read_bytes() in (old, new), at
        assert decode(snapshot.read(path)).endpoints_version in (3, 4)
        assert has_failed or path.read_bytes() == new
        write_atomically(path, new)  # a temporary file left by a crash must not prevent the write
        assert path.read_bytes() == new and (how == "pieces" or counting.calls >= 6)


def test_snapshot_when_damaged_or_truncated_anywhere_is_not_used() -> None:
    data = encode(new_snapshot(ejected={"n1": 1.0}))
    for at in range(len(data)):
        for bit in (1, 0x80):
            flipped = data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]
            with pytest.raises(SnapshotError):
                load_usable(flipped, "host", "host-1", NOW, 60.0)
    for end in range(len(data)):
        with pytest.raises(SnapshotError):
            load_usable(data[:end], "host", "host-1", NOW, 60.0)
    assert load_usable(data, "host", "host-1", NOW, 60.0)[0].ejected == {"n1": 1.0}


@pytest.mark.parametrize(
    ("now", "age"),
    [
        (Timestamp(1_600_000_000.0, 510.0, "boot-a"), 10.0),  # the wall clock stepped back by years
        (Timestamp(1_700_009_999.0, 510.0, "boot-a"), 10.0),
        (Timestamp(1_700_000_020.0, 3.0, "boot-b"), 20.0),  # a reboot
        (
            Timestamp(1_699_999_999.0, 3.0, "boot-b"),
            None,
        ),  # a reboot with the wall clock behind: a snapshot from the future
        (Timestamp(1_700_000_020.0, 499.0, "boot-a"), None),
        (Timestamp(1_700_000_061.0, 561.0, "boot-a"), None),
    ],
)
def test_age_after_a_reboot_or_a_clock_step_is_correct_or_refused(now: Timestamp, age: float | None) -> None:
    if age is None:
        with pytest.raises(SnapshotError):
            load_usable(encode(new_snapshot()), "host", "host-1", now, 60.0)
    else:
        assert load_usable(encode(new_snapshot()), "host", "host-1", now, 60.0)[1] == pytest.approx(age)


@pytest.mark.parametrize(("fleet", "name"), [("other", "host-1"), ("host", "host-2")])
def test_snapshot_of_another_fleet_or_instance_is_not_used(fleet: str, name: str) -> None:
    with pytest.raises(SnapshotError, match="of host-1"):
        load_usable(encode(new_snapshot()), fleet, name, NOW, 60.0)


def test_snapshot_of_a_later_format_or_too_large_or_missing_is_not_used(tmp_path: Path) -> None:
    with pytest.raises(SnapshotError, match="format 2"):
        decode(encode(new_snapshot()).replace(b"snapshot 1 ", b"snapshot 2 "))
    (tmp_path / "big").write_bytes(b"")
    os.truncate(tmp_path / "big", snapshot.MAX_BYTES + 1)
    for path in (tmp_path / "big", tmp_path / "none"):
        with pytest.raises(SnapshotError):
            snapshot.read(path)


def test_endpoint_list_is_merged_from_complete_lists_and_updates() -> None:
    endpoints = EndpointTable()
    endpoints.apply({"seq": 1, "hosts": [HOST, HOST | {"host": "n2"}]}, True)
    endpoints.apply(
        {"seq": 2, "hosts": [HOST | {"host": "n1", "health": "left"}, HOST | {"host": "n3"}]}, False
    )
    assert endpoints.version == 2 and sorted(endpoints.hosts) == ["n2", "n3"]
    endpoints.apply({"seq": 3, "hosts": [HOST]}, True)
    assert sorted(endpoints.hosts) == ["n1"]


def test_node_in_slow_start_has_its_later_start_time_in_the_endpoint_list() -> None:
    known = known_endpoints(new_snapshot(warming_up={"n1": 1234.0, "gone": 1.0}))
    assert known["hosts"][0]["born_ms"] == 1234.0 and known["seq"] == 3 and known["whole"] is True
    assert known_endpoints(new_snapshot(warming_up={"n1": 1.0}))["hosts"][0]["born_ms"] == 5, (
        "the later of the two start times is used"
    )
    assert json.loads(json.dumps(known)) == known
