"""Who has an instance's name: a lock that its process holds for as long as it lives, and which life it is.

The lock is the system's and goes with the process, whatever ends it; so it tells the truth where a list of
who was started could be wrong. A *life* is `PID.TICKS.BOOT`: a pid may be given anew, at another start tick.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
from pathlib import Path

from coveport.sidecar.leases.clock import boot_id

WAIT_S = 1.0  # whoever looks who has a name holds its lock for a moment
STEP_S = 0.005
READS = 20  # of a lock file whose holder has not written yet


class NameLockedError(Exception):
    """Another life has the name; one line."""


def incarnation_of(pid: int) -> str:
    """The life that a pid is now; empty where there is none."""
    try:
        told = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace")
    except OSError:
        return ""
    fields = told.rpartition(")")[2].split()
    # One that has ended and is not reaped yet holds no lock, and no work.
    return "" if fields[0] in ("Z", "X") else f"{pid}.{fields[19]}.{boot_id()[:8]}"


def pid_of(life: str) -> int:
    """Its pid; 0 where it is no life."""
    head = life.partition(".")[0]
    return int(head) if head.isascii() and head.isdigit() else 0


def lock_path(folder: Path, name: str) -> Path:
    """Where an instance's lock stands."""
    return folder / "run" / f"{name}.lock"


class NameLock:
    """A name that is ours until we end. NameLockedError where another life has it."""

    def __init__(self, folder: Path, name: str) -> None:
        path = lock_path(folder, name)
        path.parent.mkdir(parents=True, exist_ok=True)
        self.name = name
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        give_up = time.monotonic() + WAIT_S
        while True:
            try:
                fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if time.monotonic() > give_up:
                    os.close(self._file)
                    raise NameLockedError(f"{name}: another process has this name ({path})") from None
                time.sleep(STEP_S)
        self._write({"life": incarnation_of(os.getpid())})

    def _write(self, told: dict[str, object]) -> None:
        data = json.dumps(told).encode() + b"\n"
        os.pwrite(self._file, data, 0)
        os.ftruncate(self._file, len(data))

    def left(self, code: int) -> None:
        """We end with this code: for a supervisor that is not our parent."""
        self._write({"life": incarnation_of(os.getpid()), "code": code})

    def close(self) -> None:
        """Let go of the name."""
        os.close(self._file)


def lock_holder(folder: Path, name: str) -> str:
    """The life that has a name now; empty where nobody has."""
    try:
        file = os.open(lock_path(folder, name), os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return ""
    try:
        for _ in range(READS):
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                return ""
            except BlockingIOError:
                life = str(_told(os.pread(file, 4096, 0)).get("life", ""))
                if life and incarnation_of(pid_of(life)) == life:
                    return life
            time.sleep(STEP_S)  # it has the lock and has not written yet, or it is just ending
        return ""
    finally:
        os.close(file)


def exit_code_of(folder: Path, name: str, life: str) -> int | None:
    """With which code a life says that it ended; None where it did not say."""
    try:
        told = _told(lock_path(folder, name).read_bytes())
    except OSError:
        return None
    code = told.get("code")
    return code if told.get("life") == life and isinstance(code, int) else None


def _told(data: bytes) -> dict[str, object]:
    try:
        told = json.loads(data)
    except ValueError:
        return {}
    return told if isinstance(told, dict) else {}


def locked_names(folder: Path) -> dict[str, str]:
    """All names that somebody has, and the lives."""
    try:
        names = sorted(path.stem for path in (folder / "run").iterdir() if path.suffix == ".lock")
    except OSError:
        return {}
    found = {name: lock_holder(folder, name) for name in names}
    return {name: life for name, life in found.items() if life}
