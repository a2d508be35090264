"""Ring buffers of a coordinator's disk are read and written as before."""

from __future__ import annotations

import struct
from pathlib import Path

import pytest
from golden_files import read_folder
from golden_ring_cases import WRITERS, files_in, held_by, reopen


def put(files: dict[str, bytes], folder: Path) -> Path:
    """A disk that holds these files."""
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    return folder


def format_and_generation(data: bytes) -> tuple[int, int]:
    """What the header of a file says."""
    magic, version, number = struct.unpack_from(">4sHQ", data)
    assert magic == b"CVPR"
    return version, number


@pytest.mark.parametrize("name", WRITERS)
def test_a_ring_is_read_as_before(name: str, tmp_path: Path) -> None:
    folder = put(read_folder(name), tmp_path / "disk")
    assert held_by(reopen(folder)) == WRITERS[name][1]
    assert held_by(reopen(folder)) == WRITERS[name][1]


@pytest.mark.parametrize("name", WRITERS)
def test_opening_a_ring_writes_the_same_bytes(name: str, tmp_path: Path) -> None:
    folder = put(read_folder(name), tmp_path / "disk")
    reopen(folder)
    assert files_in(folder) == read_folder(f"{name}_reopened")


@pytest.mark.parametrize("name", WRITERS)
def test_a_ring_is_written_with_the_same_bytes(name: str, tmp_path: Path) -> None:
    WRITERS[name][0](tmp_path / "disk")
    assert files_in(tmp_path / "disk") == read_folder(name)


def test_the_golden_rings_are_what_they_are_called() -> None:
    fresh, folded, older = (read_folder(name) for name in WRITERS)
    assert fresh.keys() == folded.keys() == older.keys() == {"ring-0", "ring-1", "ring-2", "ring-3"}
    assert [name for name, data in fresh.items() if data] == ["ring-0"]
    assert len(fresh["ring-0"]) == 4 * 1024 * 1024
    assert format_and_generation(fresh["ring-0"]) == (2, 1)
    numbers = [format_and_generation(data)[1] for data in folded.values()]
    assert min(numbers) > 4, "each file of the folded ring was overwritten"
    assert max(len(data) for data in folded.values()) > 1024, "the large state needed a longer file"
    assert [format_and_generation(older[f"ring-{number}"]) for number in range(3)] == [(1, 5), (1, 6), (1, 7)]
