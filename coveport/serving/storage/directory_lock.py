"""A lock that keeps a second process from writing to a directory."""

from __future__ import annotations

import errno
import fcntl
import os
from typing import Final

from coveport.serving.storage.errors import DirectoryLockedError

# Which of these errors means that the lock is held depends on the system: flock(2), fcntl(2).
_LOCK_HELD_ERRNOS: Final = (errno.EWOULDBLOCK, errno.EACCES)


class DirectoryLock:
    """An exclusive lock, held until it is released or the process ends, also by a kill."""

    def __init__(self, directory: str) -> None:
        """Acquire the lock of a directory.

        Raises DirectoryLockedError if another process holds it. On a file system without locks the directory
        stays unlocked, without an error.
        """
        self._descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno in _LOCK_HELD_ERRNOS:
                self.release()
                raise DirectoryLockedError(errno.EBUSY, "another process holds it") from error

    def release(self) -> None:
        """Release the lock, so that another process can acquire it."""
        os.close(self._descriptor)
