"""Locks of instance names: a process holds the lock of its name until it exits.

The kernel releases the lock when the process exits, by whatever cause, so locks show reliably which instances
run, while a list of started processes could be wrong. The lock file names the *incarnation* that holds it:
`PID.TICKS.BOOT`, as a PID may be reused, but not with the same start tick of the same boot.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
from pathlib import Path

from coveport.sidecar.leases.clock import boot_id
from coveport.sidecar.supervisor.errors import NameLockedError

ACQUIRE_S = 1.0  # a process that looks up the owner holds the lock briefly
POLL_S = 0.005
READ_ATTEMPTS = 20  # reads of a lock file whose owner has not yet written its incarnation
MAX_FILE_BYTES = 4096
BOOT_ID_LENGTH = 8
STATE_FIELD = 0  # index in /proc/PID/stat, counted after the command's name; proc(5)
START_TICKS_FIELD = 19


def incarnation_of(pid: int) -> str:
    """Return the incarnation that has this PID now; empty if there is no such process."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace")
    except OSError:
        return ""
    fields = stat.rpartition(")")[2].split()
    if fields[STATE_FIELD] in ("Z", "X"):
        return ""  # exited and not reaped yet: it holds no lock
    return f"{pid}.{fields[START_TICKS_FIELD]}.{boot_id()[:BOOT_ID_LENGTH]}"


def pid_of(incarnation: str) -> int:
    """Return the PID of an incarnation; 0 if the text is malformed."""
    head = incarnation.partition(".")[0]
    return int(head) if head.isascii() and head.isdigit() else 0


def lock_path(folder: Path, name: str) -> Path:
    """Return the path of an instance's lock file."""
    return folder / "run" / f"{name}.lock"


class NameLock:
    """The lock of a name, held until this process ends or closes it.

    Raises:
        NameLockedError: another incarnation holds the lock.

    """

    def __init__(self, folder: Path, name: str) -> None:
        path = lock_path(folder, name)
        path.parent.mkdir(parents=True, exist_ok=True)
        self.name = name
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        deadline = time.monotonic() + ACQUIRE_S
        while not _lock_without_waiting(self._file, fcntl.LOCK_EX):
            if time.monotonic() > deadline:
                os.close(self._file)
                raise NameLockedError(name, path)
            time.sleep(POLL_S)
        self._write({"life": incarnation_of(os.getpid())})

    def _write(self, content: dict[str, object]) -> None:
        data = json.dumps(content).encode() + b"\n"
        os.pwrite(self._file, data, 0)
        os.ftruncate(self._file, len(data))

    def record_exit_code(self, code: int) -> None:
        """Write this process's exit code, for a supervisor that is not its parent."""
        self._write({"life": incarnation_of(os.getpid()), "code": code})

    def close(self) -> None:
        """Release the lock."""
        os.close(self._file)


def lock_owner(folder: Path, name: str) -> str:
    """Return the incarnation that holds the lock of a name; empty if the lock is free."""
    try:
        file = os.open(lock_path(folder, name), os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return ""
    try:
        for _ in range(READ_ATTEMPTS):
            if _lock_without_waiting(file, fcntl.LOCK_SH):
                return ""
            incarnation = str(_parse(os.pread(file, MAX_FILE_BYTES, 0)).get("life", ""))
            if incarnation and incarnation_of(pid_of(incarnation)) == incarnation:
                return incarnation
            time.sleep(POLL_S)  # the owner has not written yet, or is exiting
        return ""
    finally:
        os.close(file)


def lock_owners(folder: Path) -> dict[str, str]:
    """Return the incarnations that hold a lock, by name."""
    try:
        names = sorted(path.stem for path in (folder / "run").iterdir() if path.suffix == ".lock")
    except OSError:
        return {}
    owners = {name: lock_owner(folder, name) for name in names}
    return {name: incarnation for name, incarnation in owners.items() if incarnation}


def exit_code_of(folder: Path, name: str, incarnation: str) -> int | None:
    """Return the exit code that an incarnation recorded; None if it recorded none."""
    try:
        content = _parse(lock_path(folder, name).read_bytes())
    except OSError:
        return None
    code = content.get("code")
    return code if content.get("life") == incarnation and isinstance(code, int) else None


def _lock_without_waiting(file: int, mode: int) -> bool:
    try:
        fcntl.flock(file, mode | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _parse(data: bytes) -> dict[str, object]:
    try:
        content = json.loads(data)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
