"""Name locks, with real processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from coveport.sidecar.supervisor import locks
from coveport.sidecar.supervisor.errors import NameLockedError
from coveport.sidecar.supervisor.locks import NameLock

TIMEOUT_S = 30.0
LOCK_HOLDER_CODE = """
import sys, time
from pathlib import Path
from coveport.sidecar.supervisor.locks import NameLock
lock = NameLock(Path(sys.argv[1]), "h-1")
print("locked", flush=True)
time.sleep(60)
"""


def start_lock_holder(folder: Path) -> subprocess.Popen[str]:
    holder = subprocess.Popen(
        [sys.executable, "-c", LOCK_HOLDER_CODE, str(folder)], stdout=subprocess.PIPE, text=True
    )
    assert holder.stdout is not None and holder.stdout.readline() == "locked\n"
    return holder


def until(is_reached: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not is_reached():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_name_lock_is_held_until_its_process_exits_by_any_cause(tmp_path: Path) -> None:
    assert locks.lock_owner(tmp_path, "h-1") == "" and locks.lock_owners(tmp_path) == {}
    holder = start_lock_holder(tmp_path)
    try:
        incarnation = locks.lock_owner(tmp_path, "h-1")
        assert locks.pid_of(incarnation) == holder.pid and locks.incarnation_of(holder.pid) == incarnation
        assert locks.lock_owners(tmp_path) == {"h-1": incarnation}
        with pytest.raises(NameLockedError, match="h-1"):
            NameLock(tmp_path, "h-1")
        os.kill(holder.pid, signal.SIGSTOP)
        assert locks.lock_owner(tmp_path, "h-1") == incarnation, "a stopped process keeps its lock"
        holder.kill()
        until(lambda: locks.incarnation_of(holder.pid) == "")
        assert locks.lock_owner(tmp_path, "h-1") == "", "an exited process holds no lock, reaped or not"
        own_lock = NameLock(tmp_path, "h-1")
        assert locks.pid_of(locks.lock_owner(tmp_path, "h-1")) == os.getpid()
        own_lock.record_exit_code(7)
        assert locks.exit_code_of(tmp_path, "h-1", locks.incarnation_of(os.getpid())) == 7
        assert locks.exit_code_of(tmp_path, "h-1", incarnation) is None, (
            "the code was recorded by another incarnation"
        )
        own_lock.close()
    finally:
        holder.kill()
        holder.wait()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"life": "1.1.x"}', '{"life": 5}'])
def test_lock_file_when_malformed_names_no_holder(tmp_path: Path, text: str) -> None:
    lock = NameLock(tmp_path, "h-1")
    locks.lock_path(tmp_path, "h-1").write_text(text)
    assert locks.lock_owner(tmp_path, "h-1") == ""
    lock.close()
