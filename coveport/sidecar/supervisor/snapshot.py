r"""Snapshots: an instance's state of the nodes, preserved across a restart.

A snapshot is an optimisation: it replaces the endpoint list of the instance's file if it is intact, recent,
and of this format, fleet and instance; the first list from discovery replaces it in turn.

    coveport snapshot FORMAT CRC32\n followed by JSON

The names of the stored fields are fixed: a field whose attribute has another name declares its stored name.
"""

from __future__ import annotations

import re
import zlib
from pathlib import Path
from typing import Any

import msgspec

from coveport.sidecar.supervisor.errors import SnapshotError

FORMAT = 1
HEADER = re.compile(rb"coveport snapshot (\d{1,9}) ([0-9a-f]{8})\n")
MAX_BYTES = 16 * 1024 * 1024  # a larger file is not read


class Timestamp(msgspec.Struct, frozen=True):
    """A time on the wall clock and on the clock since boot, with the id of that boot."""

    unix_s: float
    boot_s: float
    boot: str


class Snapshot(msgspec.Struct, frozen=True):
    """The state that an instance had of the nodes at one time."""

    fleet: str
    name: str
    taken: Timestamp
    endpoints_version: int = msgspec.field(name="seq")
    hosts: list[dict[str, Any]]  # the endpoint list, in discovery's form
    # How long each ejected host has been ejected, s.
    ejected: dict[str, float] = msgspec.field(default_factory=dict, name="out")
    # Start of the slow start of each host in slow start, Unix ms.
    warming_up: dict[str, float] = msgspec.field(default_factory=dict, name="cold")


def encode(snapshot: Snapshot) -> bytes:
    """Return the stored form of a snapshot."""
    body = msgspec.json.encode(snapshot)
    return b"coveport snapshot %d %08x\n" % (FORMAT, zlib.crc32(body)) + body


def decode(data: bytes) -> Snapshot:
    """Parse a stored snapshot; SnapshotError if it is damaged or of another format."""
    header = HEADER.match(data)
    if header is None:
        raise SnapshotError("not a snapshot, or truncated")
    if int(header[1]) != FORMAT:
        raise SnapshotError(f"format {int(header[1])} is not supported, only {FORMAT}")
    body = data[header.end() :]
    if b"%08x" % zlib.crc32(body) != header[2]:
        raise SnapshotError("its checksum does not match: the file is damaged")
    try:
        return msgspec.json.decode(body, type=Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise SnapshotError(" ".join(str(error).split())) from error


def read(path: Path) -> bytes:
    """Return a snapshot file's content; SnapshotError if it is missing, unreadable or too large."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise SnapshotError(f"larger than {MAX_BYTES} bytes")
        return path.read_bytes()
    except OSError as error:
        raise SnapshotError(error.strerror or str(error)) from error


def age_s(taken: Timestamp, now: Timestamp) -> float:
    """Return a snapshot's age, s; SnapshotError if its time is in the future.

    Within one boot the age is by the clock that never steps; after a reboot by the wall clock, as only that
    clock continues.
    """
    is_same_boot = bool(taken.boot) and taken.boot == now.boot
    age = now.boot_s - taken.boot_s if is_same_boot else now.unix_s - taken.unix_s
    if age < 0:
        raise SnapshotError(f"taken {-age:.0f} s in the future")
    return age


def load_usable(
    data: bytes, fleet: str, name: str, now: Timestamp, max_age_s: float
) -> tuple[Snapshot, float]:
    """Return a usable snapshot and its age in s; SnapshotError if it must not be used."""
    snapshot = decode(data)
    if (snapshot.fleet, snapshot.name) != (fleet, name):
        raise SnapshotError(f"of {snapshot.name} of fleet {snapshot.fleet}")
    age = age_s(snapshot.taken, now)
    if age > max_age_s:
        raise SnapshotError(f"{age:.0f} s old")
    return snapshot, age


def known_endpoints(snapshot: Snapshot) -> dict[str, Any]:
    """Return a snapshot's endpoint list in the form of a configuration's `known`.

    A node that returned after a time-out counts as started at its return, which no list reports.
    """
    hosts = []
    for host in snapshot.hosts:
        warming_up_since = snapshot.warming_up.get(str(host.get("host")), 0.0)
        started_ms = host.get("born_ms", 0)
        hosts.append({**host, "born_ms": max(started_ms, warming_up_since)} if warming_up_since else host)
    return {"seq": snapshot.endpoints_version, "whole": True, "hosts": hosts}
