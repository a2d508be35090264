"""The calls that the ring makes to a disk, and the operating system's implementation of them."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol


class File(Protocol):
    """An open file. Any call may block or raise OSError."""

    def read_all(self) -> bytes:
        """Return the whole content."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data` at an offset in bytes."""

    def set_length(self, length: int) -> None:
        """Truncate, or extend with zeros, to a length in bytes."""

    def sync(self) -> None:
        """Return once the written data survives a power loss."""

    def close(self) -> None:
        """Close the descriptor."""


class Disk(Protocol):
    """A directory of files. Any call may block or raise OSError."""

    def file_names(self) -> list[str]:
        """Return the names of all files."""

    def open(self, name: str) -> File:
        """Open a file for reading and writing; create it if it doesn't exist."""

    def sync_directory(self) -> None:
        """Return once created and removed names survive a power loss."""


class OsFile:
    """A file of the operating system."""

    def __init__(self, path: str) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def read_all(self) -> bytes:
        """Return the whole content."""
        remaining = os.lseek(self._descriptor, 0, os.SEEK_END)
        os.lseek(self._descriptor, 0, os.SEEK_SET)
        chunks = []
        while remaining > 0:
            chunk = os.read(self._descriptor, remaining)
            if not chunk:
                break
            chunks.append(chunk)
            remaining -= len(chunk)
        return b"".join(chunks)

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data` at an offset in bytes."""
        os.lseek(self._descriptor, offset, os.SEEK_SET)
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._descriptor, remaining)
            remaining = remaining[written:]

    def set_length(self, length: int) -> None:
        """Truncate, or extend with zeros, to a length in bytes."""
        os.ftruncate(self._descriptor, length)

    def sync(self) -> None:
        """Return once the written data survives a power loss."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


class OsDisk:
    """A directory of the operating system, created if it doesn't exist."""

    def __init__(self, directory: str) -> None:
        self._directory = directory
        os.makedirs(directory, exist_ok=True)

    def file_names(self) -> list[str]:
        """Return the names of all files."""
        return os.listdir(self._directory)

    def open(self, name: str) -> OsFile:
        """Open a file for reading and writing; create it if it doesn't exist."""
        return OsFile(os.path.join(self._directory, name))

    def sync_directory(self) -> None:
        """Return once created and removed names, and the directory's own name, survive a power loss."""
        _sync_names_in(self._directory)
        with contextlib.suppress(PermissionError):  # the parent may belong to another user
            _sync_names_in(os.path.dirname(os.path.abspath(self._directory)))


def _sync_names_in(directory: str) -> None:
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
