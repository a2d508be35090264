"""Name locks, lives, words between processes, and staff's socket, with real processes and sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.supervisor import locks, log_stream
from coveport.sidecar.supervisor.control import ControlServer, call
from coveport.sidecar.supervisor.daemon import read_stream
from coveport.sidecar.supervisor.locks import NameLock, NameLockedError
from coveport.sidecar.supervisor.notify import NotificationReceiver, Notifier, read, watchdog_interval_s

LONG = 30.0
HOLDS = """
import sys, time
from pathlib import Path
from coveport.sidecar.supervisor.locks import NameLock
lock = NameLock(Path(sys.argv[1]), "h-1")
print("held", flush=True)
time.sleep(60)
"""


def held(folder: Path) -> subprocess.Popen[str]:
    one = subprocess.Popen([sys.executable, "-c", HOLDS, str(folder)], stdout=subprocess.PIPE, text=True)
    assert one.stdout is not None and one.stdout.readline() == "held\n"
    return one


def until(what: Any) -> None:
    end = time.monotonic() + LONG
    while not what():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_a_name_is_its_process_s_until_that_ends_however_it_does(tmp_path: Path) -> None:
    assert locks.lock_holder(tmp_path, "h-1") == "" and locks.locked_names(tmp_path) == {}
    one = held(tmp_path)
    try:
        life = locks.lock_holder(tmp_path, "h-1")
        assert locks.pid_of(life) == one.pid and locks.incarnation_of(one.pid) == life
        assert locks.locked_names(tmp_path) == {"h-1": life}
        with pytest.raises(NameLockedError, match="h-1"):
            NameLock(tmp_path, "h-1")
        os.kill(one.pid, signal.SIGSTOP)
        assert locks.lock_holder(tmp_path, "h-1") == life, "who stands still has its name"
        one.kill()
        until(lambda: locks.incarnation_of(one.pid) == "")
        assert locks.lock_holder(tmp_path, "h-1") == "", "a dead one has none, reaped or not"
        mine = NameLock(tmp_path, "h-1")
        assert locks.pid_of(locks.lock_holder(tmp_path, "h-1")) == os.getpid()
        mine.left(7)
        assert locks.exit_code_of(tmp_path, "h-1", locks.incarnation_of(os.getpid())) == 7
        assert locks.exit_code_of(tmp_path, "h-1", life) is None, "another life's word says nothing of it"
        mine.close()
    finally:
        one.kill()
        one.wait()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"life": "1.1.x"}', '{"life": 5}'])
def test_a_lock_file_that_says_nothing_of_use_names_nobody(tmp_path: Path, text: str) -> None:
    lock = NameLock(tmp_path, "h-1")
    locks.lock_path(tmp_path, "h-1").write_text(text)
    assert locks.lock_holder(tmp_path, "h-1") == ""
    lock.close()


def test_words_come_with_the_pid_of_who_sent_them(tmp_path: Path) -> None:
    async def work() -> None:
        heard: list[tuple[int, dict[str, str]]] = []
        receiver = NotificationReceiver(tmp_path / "n.sock", lambda pid, words: heard.append((pid, words)))
        code = (
            "import sys; from coveport.sidecar.supervisor.notify import Notifier; "
            "print(Notifier(sys.argv[1]).say(READY=1, STATUS='all well', X_SERVED='1.0/5'))"
        )
        done = subprocess.Popen([sys.executable, "-c", code, str(tmp_path / "n.sock")])
        await asyncio.to_thread(done.wait)
        one = Notifier(str(tmp_path / "n.sock"))
        rights = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        rights.connect(str(tmp_path / "n.sock"))
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(4):  # descriptors that somebody sends along are closed; few, as a queue holds ten
            socket.send_fds(rights, [b"X=1"], [0, 1])
        assert one.say(WATCHDOG=1)
        end = time.monotonic() + LONG
        while len(heard) < 6 and time.monotonic() < end:
            await asyncio.sleep(0.01)
        assert heard[0] == (done.pid, {"READY": "1", "STATUS": "all well", "X_SERVED": "1.0/5"})
        assert heard[-1] == (os.getpid(), {"WATCHDOG": "1"})
        assert len(os.listdir("/proc/self/fd")) == before
        # A successor takes the path; closing the one before does not take it away from it.
        later = NotificationReceiver(tmp_path / "n.sock", lambda pid, words: heard.append((pid, words)))
        receiver.close()
        assert one.say(STOPPING=1)
        later.close()
        assert not one.say(STOPPING=1), "nobody is there, and nobody waits"
        one.close()
        rights.close()

    asyncio.run(work())


def test_words_that_are_none_are_passed_over() -> None:
    assert read(b"READY=1\nnonsense\n=x\nA B=1\nSTATUS=a=b\n\xff\xfe") == {"READY": "1", "STATUS": "a=b"}
    assert watchdog_interval_s({"WATCHDOG_USEC": "2000000"}, 5) == 2.0
    assert watchdog_interval_s({"WATCHDOG_USEC": "2000000", "WATCHDOG_PID": "6"}, 5) == 0.0
    assert watchdog_interval_s({"WATCHDOG_USEC": "x"}, 5) == 0.0 and not Notifier("").say(READY=1)


def test_staff_s_socket_is_its_user_s_own_and_answers_what_makes_sense(tmp_path: Path) -> None:
    async def work() -> None:
        async def answer(told: dict[str, Any]) -> dict[str, Any]:
            return {"ok": True, "said": told["do"]}

        path = tmp_path / "c.sock"
        control = ControlServer(path, answer)
        await control.open()
        assert path.stat().st_mode & 0o777 == 0o600
        assert await asyncio.to_thread(call, path, {"do": "status"}, LONG) == {"ok": True, "said": "status"}

        def raw(data: bytes) -> bytes:
            with socket.socket(socket.AF_UNIX) as one:
                one.connect(str(path))
                one.sendall(data)
                one.shutdown(socket.SHUT_WR)
                return one.recv(4096)

        for bad in (b"\n", b"{\n", b"[]\n"):
            assert json.loads(await asyncio.to_thread(raw, bad))["ok"] is False
        assert await asyncio.to_thread(raw, b"x" * 70000) == b"", "a line that never ends is cut off"
        control.close()
        with pytest.raises(OSError):
            await asyncio.to_thread(call, path, {"do": "status"}, 1.0)

    asyncio.run(work())


def test_the_stream_is_turned_and_all_go_on_in_the_new_one(tmp_path: Path) -> None:
    one, two = (
        log_stream.stream_logger(tmp_path, instance="h-1"),
        log_stream.stream_logger(tmp_path, supervisor="s"),
    )
    one.info("said", text="a" * 100)
    two.info("fleet_start", name="h-1")
    assert not log_stream.rotate(tmp_path, 10_000) and log_stream.rotate(tmp_path, 100)
    one.info("said", text="later")
    path = log_stream.stream_path(tmp_path)
    assert [row["text"] for row in read_stream(path, frozenset({"h-1"}), 5)] == ["later"]
    assert len(read_stream(path.with_suffix(".jsonl.1"), frozenset(), 5)) == 2
    log = log_stream.StreamLog(time.monotonic, one)
    for _ in range(9):
        log.note("bad client", "x")
    log.say("counters {}")
    rows = read_stream(path, frozenset(), 99)
    assert sum(row["event"] == "bad_client" for row in rows) == 5, "of a kind as many as ever"
    assert rows[-1]["event"] == "counters"
