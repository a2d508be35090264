"""Replaces a file atomically: a crash leaves either the old or the new content, never a part."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


class FileSystem:
    """The system calls of an atomic write, one method each, so that a test can make any of them fail."""

    def open(self, path: Path) -> int:
        """Create a file for writing, or truncate the file that a crash left behind."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, file: int, data: bytes) -> int:
        """Write some or all of the data; return the number of bytes written."""
        return os.write(file, data)

    def sync(self, file: int) -> None:
        """Flush the file to the disk."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Close the file."""
        os.close(file)

    def move(self, source: Path, target: Path) -> None:
        """Rename a file over another one."""
        os.replace(source, target)

    def sync_folder(self, path: Path) -> None:
        """Flush a rename in this folder to the disk."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def write_atomically(path: Path, data: bytes, file_system: FileSystem | None = None) -> None:
    """Replace a file's content: write a temporary file beside it, flush it, and rename it over the file.

    Raises:
        OSError: the write failed; the file is unchanged.

    """
    file_system = file_system or FileSystem()
    temporary = path.with_name(f"{path.name}.new")
    file = file_system.open(temporary)
    try:
        unwritten = memoryview(data)
        while unwritten:
            unwritten = unwritten[file_system.write(file, bytes(unwritten)) :]
        file_system.sync(file)
    except OSError:
        with contextlib.suppress(OSError):
            file_system.close(file)
        with contextlib.suppress(OSError):
            temporary.unlink()  # a partial file would take up space on a full disk
        raise
    file_system.close(file)
    file_system.move(temporary, path)
    file_system.sync_folder(path.parent)
