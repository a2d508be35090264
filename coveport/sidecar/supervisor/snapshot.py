r"""Snapshots: what an instance knows of the nodes, kept over a restart.

A snapshot is an optimisation: it stands in for the endpoint list of the instance's file if it is intact, of
this format, fleet and instance, and young; the first list from discovery replaces it.

    coveport snapshot FORMAT CRC32\n and then JSON

The names of the stored fields are fixed: a field whose attribute is named otherwise gives its stored name.
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
MAX_BYTES = 16 * 1024 * 1024  # a larger file is no snapshot


class Timestamp(msgspec.Struct, frozen=True):
    """A time by both clocks, and the boot that `boot_s` counts from."""

    unix_s: float
    boot_s: float
    boot: str


class Snapshot(msgspec.Struct, frozen=True):
    """What an instance knew at a time."""

    fleet: str
    name: str
    taken: Timestamp
    endpoints_version: int = msgspec.field(name="seq")
    hosts: list[dict[str, Any]]  # the endpoint list, in discovery's form
    # Ejected hosts: for how long already, s.
    ejected: dict[str, float] = msgspec.field(default_factory=dict, name="out")
    # Hosts in slow start: since when, Unix ms.
    warming_up: dict[str, float] = msgspec.field(default_factory=dict, name="cold")


def encode(snapshot: Snapshot) -> bytes:
    """Return the snapshot as it is stored."""
    body = msgspec.json.encode(snapshot)
    return b"coveport snapshot %d %08x\n" % (FORMAT, zlib.crc32(body)) + body


def decode(data: bytes) -> Snapshot:
    """Return the snapshot that is stored; SnapshotError if it is damaged or of another format."""
    header = HEADER.match(data)
    if header is None:
        raise SnapshotError("it is no snapshot, or was cut")
    if int(header[1]) != FORMAT:
        raise SnapshotError(f"of format {int(header[1])}, ours is {FORMAT}")
    body = data[header.end() :]
    if b"%08x" % zlib.crc32(body) != header[2]:
        raise SnapshotError("its sum does not match: it was damaged")
    try:
        return msgspec.json.decode(body, type=Snapshot)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise SnapshotError(" ".join(str(error).split())) from error


def read(path: Path) -> bytes:
    """Return a snapshot file's content; SnapshotError if it is missing, unreadable or too large."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise SnapshotError("too large for one of ours")
        return path.read_bytes()
    except OSError as error:
        raise SnapshotError(error.strerror or str(error)) from error


def age_s(taken: Timestamp, now: Timestamp) -> float:
    """Return a snapshot's age, s; SnapshotError if it is from the future.

    Within a boot by the clock that never steps; after a reboot by the wall clock, as there is no other.
    """
    is_same_boot = bool(taken.boot) and taken.boot == now.boot
    age = now.boot_s - taken.boot_s if is_same_boot else now.unix_s - taken.unix_s
    if age < 0:
        raise SnapshotError(f"taken {-age:.0f} s from now")
    return age


def load_usable(
    data: bytes, fleet: str, name: str, now: Timestamp, max_age_s: float
) -> tuple[Snapshot, float]:
    """Return a snapshot to start from, and its age in s; SnapshotError if it must not be used."""
    snapshot = decode(data)
    if (snapshot.fleet, snapshot.name) != (fleet, name):
        raise SnapshotError(f"of {snapshot.name} of fleet {snapshot.fleet}")
    age = age_s(snapshot.taken, now)
    if age > max_age_s:
        raise SnapshotError(f"{age:.0f} s old")
    return snapshot, age


def known_endpoints(snapshot: Snapshot) -> dict[str, Any]:
    """Return a snapshot's endpoint list in the form of a configuration's `known`.

    A node that came back from a time-out counts as started then, though no list says so.
    """
    hosts = []
    for host in snapshot.hosts:
        warming_up_since = snapshot.warming_up.get(str(host.get("host")), 0.0)
        started_ms = host.get("born_ms", 0)
        hosts.append({**host, "born_ms": max(started_ms, warming_up_since)} if warming_up_since else host)
    return {"seq": snapshot.endpoints_version, "whole": True, "hosts": hosts}
