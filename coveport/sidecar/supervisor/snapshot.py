r"""What an instance remembers over a restart: the list as it last had it, who is out, who is cold.

Never needed, never beating news: it stands in the place of the list in the instance's file, as a cached one,
where it is whole, of this format, fleet and name, and young. Written aside, synced and moved into its place,
so that a crash leaves the one before or the new one.

    coveport snapshot 1 SUM\n and then JSON
"""

from __future__ import annotations

import contextlib
import os
import re
import zlib
from pathlib import Path
from typing import Any

import msgspec

FORMAT = 1
HEAD = re.compile(rb"coveport snapshot (\d{1,9}) ([0-9a-f]{8})\n")
MOST = 16 * 1024 * 1024  # bytes; a larger file is none of ours


class SnapshotError(ValueError):
    """Not to be used; one line says why."""


class Timestamp(msgspec.Struct, frozen=True):
    """When it was taken, by both clocks."""

    unix_s: float
    boot_s: float
    boot: str


class Snapshot(msgspec.Struct, frozen=True):
    """What is remembered."""

    fleet: str
    name: str
    taken: Timestamp
    seq: int  # version of the list
    hosts: list[dict[str, Any]]  # in discovery's form
    out: dict[str, float] = {}  # hosts that get nothing: for how long already, s
    cold: dict[str, float] = {}  # hosts that count as cold: since when, Unix ms


def encode(told: Snapshot) -> bytes:
    """As it is kept."""
    data = msgspec.json.encode(told)
    return b"coveport snapshot %d %08x\n" % (FORMAT, zlib.crc32(data)) + data


def decode(data: bytes) -> Snapshot:
    """As it was kept; SnapshotError for what can't be read."""
    head = HEAD.match(data)
    if head is None:
        raise SnapshotError("it is no snapshot, or was cut")
    if int(head[1]) != FORMAT:
        raise SnapshotError(f"of format {int(head[1])}, ours is {FORMAT}")
    body = data[head.end() :]
    if b"%08x" % zlib.crc32(body) != head[2]:
        raise SnapshotError("its sum does not match: it was damaged")
    try:
        return msgspec.json.decode(body, type=Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise SnapshotError(" ".join(str(problem).split())) from problem


def age_s(taken: Timestamp, now: Timestamp) -> float:
    """How old it is; SnapshotError where that can't be told, or it is from the future.

    Within a boot by the clock that never steps; over a reboot by the wall clock, which is all there is.
    """
    one_boot = bool(taken.boot) and taken.boot == now.boot
    age = now.boot_s - taken.boot_s if one_boot else now.unix_s - taken.unix_s
    if age < 0:
        raise SnapshotError(f"taken {-age:.0f} s from now")
    return age


def usable(data: bytes, fleet: str, name: str, now: Timestamp, young_s: float) -> tuple[Snapshot, float]:
    """A snapshot to begin from, and its age in s; SnapshotError where it is not to be used."""
    told = decode(data)
    if (told.fleet, told.name) != (fleet, name):
        raise SnapshotError(f"of {told.name} of fleet {told.fleet}")
    age = age_s(told.taken, now)
    if age > young_s:
        raise SnapshotError(f"{age:.0f} s old")
    return told, age


class Disk:
    """What a write asks of the system, one call each: to be replaced where a test breaks one of them."""

    def open(self, path: Path) -> int:
        """A new file, or one that a crash left behind, emptied."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, file: int, data: bytes) -> int:
        """Write some of it; how much."""
        return os.write(file, data)

    def sync(self, file: int) -> None:
        """Have it on the disk."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Let go of it."""
        os.close(file)

    def move(self, before: Path, after: Path) -> None:
        """Put it in its place."""
        os.replace(before, after)

    def sync_folder(self, path: Path) -> None:
        """Have the move on the disk."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def write(path: Path, data: bytes, disk: Disk | None = None) -> None:
    """Keep it; OSError where that can't be, and what stood there before stands."""
    disk = disk or Disk()
    aside = path.with_name(f"{path.name}.new")
    file = disk.open(aside)
    try:
        left = memoryview(data)
        while left:
            left = left[disk.write(file, bytes(left)) :]
        disk.sync(file)
    except OSError:
        with contextlib.suppress(OSError):
            disk.close(file)
        with contextlib.suppress(OSError):
            aside.unlink()  # guards against a full disk that half a snapshot keeps full
        raise
    disk.close(file)
    disk.move(aside, path)
    disk.sync_folder(path.parent)


def read(path: Path) -> bytes:
    """What is kept; SnapshotError where there is none."""
    try:
        if path.stat().st_size > MOST:
            raise SnapshotError("too large for one of ours")
        return path.read_bytes()
    except OSError as problem:
        raise SnapshotError(problem.strerror or str(problem)) from problem


class NodeList:
    """The list as discovery has told it so far, in its own form, put together from wholes and changes."""

    def __init__(self) -> None:
        self.seq = 0
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changed = False

    def told(self, told: Any, whole: bool) -> None:
        """A list that was read without a fault."""
        if whole:
            self.hosts = {}
        for one in told["hosts"]:
            if one.get("health") == "left":
                self.hosts.pop(one["host"], None)
            else:
                self.hosts[one["host"]] = dict(one)
        self.seq = told["seq"]
        self.changed = True


def known(told: Snapshot) -> dict[str, Any]:
    """The list of a snapshot as a configuration's `known`, with what its instance had seen beside it.

    A node that came back from silence counts as started then, though no list says so.
    """
    hosts = []
    for one in told.hosts:
        since = told.cold.get(str(one.get("host")), 0.0)
        born = one.get("born_ms", 0)
        hosts.append({**one, "born_ms": max(born, since)} if since else one)
    return {"seq": told.seq, "whole": True, "hosts": hosts}
