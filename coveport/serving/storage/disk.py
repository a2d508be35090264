"""The few calls that the ring needs of a disk, and the operating system's."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol


class File(Protocol):
    """One open file. All calls may block, and raise OSError."""

    def read_all(self) -> bytes:
        """Everything it holds."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data`."""

    def set_length(self, length: int) -> None:
        """Cut or extend with zeros."""

    def sync(self) -> None:
        """Return when what was written will survive a loss of power."""

    def close(self) -> None:
        """Give the descriptor back."""


class Disk(Protocol):
    """A folder of files."""

    def names(self) -> list[str]:
        """Of all files."""

    def open(self, name: str) -> File:
        """For reading and writing; created when it isn't there."""

    def sync_names(self) -> None:
        """Make created and removed names survive a loss of power."""


class OsFile:
    """A file of the operating system."""

    def __init__(self, path: str) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def read_all(self) -> bytes:
        """Everything it holds."""
        length = os.lseek(self._descriptor, 0, os.SEEK_END)
        os.lseek(self._descriptor, 0, os.SEEK_SET)
        pieces = []
        while length > 0:
            piece = os.read(self._descriptor, length)
            if not piece:
                break
            pieces.append(piece)
            length -= len(piece)
        return b"".join(pieces)

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data`."""
        os.lseek(self._descriptor, offset, os.SEEK_SET)
        rest = memoryview(data)
        while rest:
            written = os.write(self._descriptor, rest)
            rest = rest[written:]

    def set_length(self, length: int) -> None:
        """Cut or extend with zeros."""
        os.ftruncate(self._descriptor, length)

    def sync(self) -> None:
        """Return when what was written will survive a loss of power."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Give the descriptor back."""
        os.close(self._descriptor)


class OsDisk:
    """A folder of the operating system, created when it isn't there."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        os.makedirs(folder, exist_ok=True)

    def names(self) -> list[str]:
        """Of all files."""
        return os.listdir(self._folder)

    def open(self, name: str) -> OsFile:
        """For reading and writing; created when it isn't there."""
        return OsFile(os.path.join(self._folder, name))

    def sync_names(self) -> None:
        """Make created and removed names survive a loss of power, that of the folder itself included."""
        sync_folder(self._folder)
        with contextlib.suppress(PermissionError):  # whose folder it stands in may be another's
            sync_folder(os.path.dirname(os.path.abspath(self._folder)))


def sync_folder(folder: str) -> None:
    """Make the names in a folder survive a loss of power. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
