"""What is remembered over a restart: a crash at every call of a write, damage at every byte, other clocks."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.supervisor import snapshot
from coveport.sidecar.supervisor.snapshot import (
    Disk,
    NodeList,
    Snapshot,
    SnapshotError,
    Timestamp,
    decode,
    encode,
    known,
    usable,
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


def one(seq: int = 3, taken: Timestamp = NOW, **more: Any) -> Snapshot:
    return Snapshot("host", "host-1", taken, seq, [HOST], **more)


class Crash(BaseException):
    """The process is killed here."""


class BrokenDisk(Disk):
    """Breaks at the n-th call: a kill before or after it, a full disk, or writes that take a few bytes."""

    def __init__(self, at: int, how: str) -> None:
        self.calls = 0
        self._at = at
        self._how = how

    def _call(self, name: str, *told: Any) -> Any:
        self.calls += 1
        here = self.calls == self._at
        if here and self._how == "before":
            raise Crash
        if here and self._how == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if name == "write" and self._how == "pieces":
            told = (told[0], told[1][:7])
        done = getattr(Disk, name)(self, *told)
        if here and self._how == "after":
            raise Crash
        return done

    def open(self, path: Path) -> int:
        return int(self._call("open", path))

    def write(self, file: int, data: bytes) -> int:
        return int(self._call("write", file, data))

    def sync(self, file: int) -> None:
        self._call("sync", file)

    def close(self, file: int) -> None:
        self._call("close", file)

    def move(self, before: Path, after: Path) -> None:
        self._call("move", before, after)

    def sync_folder(self, path: Path) -> None:
        self._call("sync_folder", path)


@pytest.mark.parametrize("how", ["before", "after", "full", "pieces"])
def test_a_crash_at_any_call_leaves_the_old_one_or_the_new_one(tmp_path: Path, how: str) -> None:
    path = tmp_path / "host-1.snap"
    old, new = encode(one(3)), encode(one(4))
    counting = BrokenDisk(0, how)
    snapshot.write(path, new, counting)
    assert path.read_bytes() == new
    for at in range(1, counting.calls + 1):
        snapshot.write(path, old)
        broken = False
        try:
            snapshot.write(path, new, BrokenDisk(at, how))
        except (Crash, OSError):
            broken = True
        assert path.read_bytes() in (old, new), at
        assert decode(snapshot.read(path)).seq in (3, 4)
        assert broken or path.read_bytes() == new
        snapshot.write(path, new)  # what a crash left aside is in nobody's way
        assert path.read_bytes() == new and (how == "pieces" or counting.calls >= 6)


def test_a_bit_turned_or_a_cut_anywhere_is_as_if_there_were_none() -> None:
    data = encode(one(out={"n1": 1.0}))
    for at in range(len(data)):
        for bit in (1, 0x80):
            turned = data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]
            with pytest.raises(SnapshotError):
                usable(turned, "host", "host-1", NOW, 60.0)
    for end in range(len(data)):
        with pytest.raises(SnapshotError):
            usable(data[:end], "host", "host-1", NOW, 60.0)
    assert usable(data, "host", "host-1", NOW, 60.0)[0].out == {"n1": 1.0}


@pytest.mark.parametrize(
    ("now", "age"),
    [
        (Timestamp(1_600_000_000.0, 510.0, "boot-a"), 10.0),  # the wall clock stepped back by years
        (Timestamp(1_700_009_999.0, 510.0, "boot-a"), 10.0),
        (Timestamp(1_700_000_020.0, 3.0, "boot-b"), 20.0),  # a reboot
        (
            Timestamp(1_699_999_999.0, 3.0, "boot-b"),
            None,
        ),  # a reboot, and a clock that is behind: from the future
        (Timestamp(1_700_000_020.0, 499.0, "boot-a"), None),
        (Timestamp(1_700_000_061.0, 561.0, "boot-a"), None),
    ],
)
def test_ages_survive_a_reboot_and_a_clock_that_steps(now: Timestamp, age: float | None) -> None:
    if age is None:
        with pytest.raises(SnapshotError):
            usable(encode(one()), "host", "host-1", now, 60.0)
    else:
        assert usable(encode(one()), "host", "host-1", now, 60.0)[1] == pytest.approx(age)


@pytest.mark.parametrize(("fleet", "name"), [("other", "host-1"), ("host", "host-2")])
def test_one_of_another_fleet_or_name_is_not_used(fleet: str, name: str) -> None:
    with pytest.raises(SnapshotError, match="of host-1"):
        usable(encode(one()), fleet, name, NOW, 60.0)


def test_one_of_a_later_format_is_not_used(tmp_path: Path) -> None:
    with pytest.raises(SnapshotError, match="format 2"):
        decode(encode(one()).replace(b"snapshot 1 ", b"snapshot 2 "))
    (tmp_path / "big").write_bytes(b"")
    os.truncate(tmp_path / "big", snapshot.MOST + 1)
    for path in (tmp_path / "big", tmp_path / "none"):
        with pytest.raises(SnapshotError):
            snapshot.read(path)


def test_the_list_is_put_together_from_wholes_and_changes() -> None:
    heard = NodeList()
    heard.told({"seq": 1, "hosts": [HOST, HOST | {"host": "n2"}]}, True)
    heard.told({"seq": 2, "hosts": [HOST | {"host": "n1", "health": "left"}, HOST | {"host": "n3"}]}, False)
    assert heard.seq == 2 and sorted(heard.hosts) == ["n2", "n3"]
    heard.told({"seq": 3, "hosts": [HOST]}, True)
    assert sorted(heard.hosts) == ["n1"]


def test_a_node_seen_to_come_back_counts_as_started_then() -> None:
    told = known(one(cold={"n1": 1234.0, "gone": 1.0}))
    assert told["hosts"][0]["born_ms"] == 1234.0 and told["seq"] == 3 and told["whole"] is True
    assert known(one(cold={"n1": 1.0}))["hosts"][0]["born_ms"] == 5, "a later birth by the list counts"
    assert json.loads(json.dumps(told)) == told
