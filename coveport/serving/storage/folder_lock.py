"""Keeps a second process off a folder that one process writes to."""

from __future__ import annotations

import errno
import fcntl
import os

_HELD = (errno.EWOULDBLOCK, errno.EACCES)


class FolderHeldError(OSError):
    """Another process writes to the folder."""


class FolderLock:
    """Held until it is released or the process ends, however it ends."""

    def __init__(self, folder: str) -> None:
        """Raises FolderHeldError; a file system without locks gives none and refuses nothing."""
        self._descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            if problem.errno in _HELD:
                self.release()
                raise FolderHeldError(errno.EBUSY, "another process holds it") from problem

    def release(self) -> None:
        """Let another process have it."""
        os.close(self._descriptor)
