"""The ring on real files: appended records are read after reopening, also after moves to other files."""

from __future__ import annotations

import os
import zlib
from pathlib import Path

import pytest

from coveport.serving.storage.disk import OsDisk
from coveport.serving.storage.errors import UnsupportedFormatError
from coveport.serving.storage.ring import Ring
from coveport.serving.storage.ring_format import HEADER_BYTES


def ring_in(folder: Path, **settings: int) -> Ring:
    return Ring(OsDisk(str(folder)), generate_salt=lambda: os.urandom(8), **settings)


def test_appended_records_are_read_after_reopening(tmp_path: Path) -> None:
    ring = ring_in(tmp_path)
    assert ring.open() == []
    ring.begin([b"identity"])
    ring.append([b"one", b""])
    ring.append([b"two"])
    ring.close()
    assert ring_in(tmp_path).open() == [b"identity", b"one", b"", b"two"]


def test_a_full_file_is_followed_by_the_next(tmp_path: Path) -> None:
    ring = ring_in(tmp_path, file_bytes=256)
    ring.open()
    records: list[bytes] = [b"first"]
    ring.begin(records)
    for number in range(100):
        record = f"record {number}".encode()
        records = [*records[-3:], record]
        if ring.has_capacity([record]):
            ring.append([record])
        else:
            ring.begin(records)
    ring.close()
    assert ring_in(tmp_path, file_bytes=256).open()[-4:] == records


def test_a_newer_format_is_refused_in_one_line(tmp_path: Path) -> None:
    ring = ring_in(tmp_path)
    ring.open()
    ring.begin([b"x"])
    ring.close()
    for path in tmp_path.iterdir():
        data = bytearray(path.read_bytes())
        if data:
            for copy in (0, len(data) // 2):
                data[copy + 4 : copy + 6] = (3).to_bytes(2, "big")
                header = bytes(data[copy : copy + HEADER_BYTES - 4])
                data[copy + HEADER_BYTES - 4 : copy + HEADER_BYTES] = zlib.crc32(header).to_bytes(4, "big")
            path.write_bytes(data)
    with pytest.raises(UnsupportedFormatError) as raised:
        ring_in(tmp_path).open()
    assert str(raised.value) == "the disk holds format 3; this program knows up to 2"
