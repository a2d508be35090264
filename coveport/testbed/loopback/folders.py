"""A run's temporary folder, removed at its end; what killed runs have left is removed by the next one."""

from __future__ import annotations

import contextlib
import fcntl
import os
import shutil
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

PREFIX = "coveport-lab-"
OLD_S = 60.0  # guards against a folder that its run has made and not yet locked


@contextlib.contextmanager
def own_folder(old_s: float = OLD_S) -> Iterator[Path]:
    """A fresh folder for this run; before, those of dead runs that are older than `old_s` are removed."""
    for left in Path(tempfile.gettempdir()).glob(PREFIX + "*"):
        _remove_dead(left, old_s)
    with tempfile.TemporaryDirectory(prefix=PREFIX, ignore_cleanup_errors=True) as name:
        lock = os.open(name, os.O_RDONLY)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)  # the system lets go of it when we die
            yield Path(name)
        finally:
            os.close(lock)


def _remove_dead(folder: Path, old_s: float) -> None:
    with contextlib.suppress(OSError):  # another user's, just removed, or locked: its run lives
        if time.time() - folder.stat().st_mtime < old_s:
            return
        lock = os.open(folder, os.O_RDONLY)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            shutil.rmtree(folder, ignore_errors=True)
        finally:
            os.close(lock)
