"""Keeps a second process from writing to a directory."""

from __future__ import annotations

import errno
import fcntl
import os
from typing import Final

from coveport.serving.storage.errors import DirectoryLockedError

_LOCKED_BY_ANOTHER: Final = (errno.EWOULDBLOCK, errno.EACCES)  # either, by system: flock(2), fcntl(2)


class DirectoryLock:
    """An exclusive lock, held until it is released or the process ends, however it ends."""

    def __init__(self, directory: str) -> None:
        """Acquire the lock of a directory.

        Raises DirectoryLockedError where another process has it. On a file system without locks nothing is
        locked, and nothing raised.
        """
        self._descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno in _LOCKED_BY_ANOTHER:
                self.release()
                raise DirectoryLockedError(errno.EBUSY, "another process holds it") from error

    def release(self) -> None:
        """Let another process acquire it."""
        os.close(self._descriptor)
