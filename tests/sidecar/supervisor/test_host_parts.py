"""Name locks, notifications, the control socket and the log stream, with real processes and sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.supervisor import locks, log_stream
from coveport.sidecar.supervisor.control import ControlServer, call
from coveport.sidecar.supervisor.errors import NameLockedError
from coveport.sidecar.supervisor.locks import NameLock
from coveport.sidecar.supervisor.log_stream import read_stream
from coveport.sidecar.supervisor.notify import NotificationReceiver, Notifier, parse, watchdog_interval_s

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


def test_name_lock_is_held_until_its_process_ends_however_it_does(tmp_path: Path) -> None:
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
        assert locks.lock_owner(tmp_path, "h-1") == "", "an exited process has none, reaped or not"
        mine = NameLock(tmp_path, "h-1")
        assert locks.pid_of(locks.lock_owner(tmp_path, "h-1")) == os.getpid()
        mine.record_exit_code(7)
        assert locks.exit_code_of(tmp_path, "h-1", locks.incarnation_of(os.getpid())) == 7
        assert locks.exit_code_of(tmp_path, "h-1", incarnation) is None, "recorded by another"
        mine.close()
    finally:
        holder.kill()
        holder.wait()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"life": "1.1.x"}', '{"life": 5}'])
def test_lock_file_when_malformed_names_no_holder(tmp_path: Path, text: str) -> None:
    lock = NameLock(tmp_path, "h-1")
    locks.lock_path(tmp_path, "h-1").write_text(text)
    assert locks.lock_owner(tmp_path, "h-1") == ""
    lock.close()


def test_notification_is_received_with_its_sender_s_pid(tmp_path: Path) -> None:
    async def play() -> None:
        received: list[tuple[int, dict[str, str]]] = []
        all_received = asyncio.Event()

        def on_notification(pid: int, variables: dict[str, str]) -> None:
            received.append((pid, variables))
            if len(received) == 6:
                all_received.set()

        receiver = NotificationReceiver(tmp_path / "n.sock", on_notification)
        code = (
            "import sys; from coveport.sidecar.supervisor.notify import Notifier; "
            "print(Notifier(sys.argv[1]).send(READY=1, STATUS='all well', X_SERVED='1.0/5'))"
        )
        sender = await asyncio.create_subprocess_exec(sys.executable, "-c", code, str(tmp_path / "n.sock"))
        await sender.wait()
        notifier = Notifier(str(tmp_path / "n.sock"))
        attacher = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        attacher.connect(str(tmp_path / "n.sock"))
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(4):  # attached descriptors are closed; few datagrams, as a queue holds ten
            socket.send_fds(attacher, [b"X=1"], [0, 1])
        assert notifier.send(WATCHDOG=1)
        await asyncio.wait_for(all_received.wait(), TIMEOUT_S)
        assert received[0] == (sender.pid, {"READY": "1", "STATUS": "all well", "X_SERVED": "1.0/5"})
        assert received[-1] == (os.getpid(), {"WATCHDOG": "1"})
        assert len(os.listdir("/proc/self/fd")) == before
        # A successor takes the path; closing the one before does not take it away from it.
        successor = NotificationReceiver(tmp_path / "n.sock", on_notification)
        receiver.close()
        assert notifier.send(STOPPING=1)
        successor.close()
        assert not notifier.send(STOPPING=1), "without a receiver it returns at once"
        notifier.close()
        attacher.close()

    asyncio.run(play())


def test_notification_when_malformed_is_ignored() -> None:
    assert parse(b"READY=1\nnonsense\n=x\nA B=1\nSTATUS=a=b\n\xff\xfe") == {"READY": "1", "STATUS": "a=b"}
    assert watchdog_interval_s({"WATCHDOG_USEC": "2000000"}, 5) == 2.0
    assert watchdog_interval_s({"WATCHDOG_USEC": "2000000", "WATCHDOG_PID": "6"}, 5) == 0.0
    assert watchdog_interval_s({"WATCHDOG_USEC": "x"}, 5) == 0.0 and not Notifier("").send(READY=1)


def test_control_socket_is_its_user_s_own_and_refuses_malformed_requests(tmp_path: Path) -> None:
    async def play() -> None:
        async def handle(request: dict[str, Any]) -> dict[str, Any]:
            return {"ok": True, "said": request["do"]}

        path = tmp_path / "c.sock"
        control = ControlServer(path, handle)
        await control.open()
        assert path.stat().st_mode & 0o777 == 0o600
        assert await asyncio.to_thread(call, path, {"do": "status"}, TIMEOUT_S) == {
            "ok": True,
            "said": "status",
        }

        def raw(data: bytes) -> bytes:
            with socket.socket(socket.AF_UNIX) as connection:
                connection.connect(str(path))
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                return connection.recv(4096)

        for bad in (b"\n", b"{\n", b"[]\n"):
            assert json.loads(await asyncio.to_thread(raw, bad))["ok"] is False
        assert await asyncio.to_thread(raw, b"x" * 70000) == b"", "a line that never ends is cut off"
        control.close()
        with pytest.raises(FileNotFoundError):
            await asyncio.to_thread(call, path, {"do": "status"}, 1.0)

    asyncio.run(play())


def test_log_stream_when_rotated_is_continued_by_all_writers(tmp_path: Path) -> None:
    instance, supervisor = (
        log_stream.stream_logger(tmp_path, instance="h-1"),
        log_stream.stream_logger(tmp_path, supervisor="s"),
    )
    instance.info("said", text="a" * 100)
    supervisor.info("instance_started", name="h-1")
    assert not log_stream.rotate(tmp_path, 10_000) and log_stream.rotate(tmp_path, 100)
    instance.info("said", text="later")
    path = log_stream.stream_path(tmp_path)
    assert [row["text"] for row in read_stream(path, frozenset({"h-1"}), 5)] == ["later"]
    assert len(read_stream(path.with_suffix(".jsonl.1"), frozenset(), 5)) == 2
    log = log_stream.StreamLog(time.monotonic, instance)
    for _ in range(9):
        log.note("bad client", "x")
    log.say("counters {}")
    rows = read_stream(path, frozenset(), 99)
    assert sum(row["event"] == "bad_client" for row in rows) == 5, "of a kind as many as ever"
    assert rows[-1]["event"] == "counters"
