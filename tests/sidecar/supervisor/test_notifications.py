"""Notifications between processes, with real datagrams."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

from coveport.sidecar.supervisor.notify import NotificationReceiver, Notifier, parse, watchdog_interval_s

TIMEOUT_S = 30.0


def test_notification_is_received_with_its_sender_s_pid(tmp_path: Path) -> None:
    async def run_scenario() -> None:
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
        # A successor binds the same path; closing the first receiver must not remove the path.
        successor = NotificationReceiver(tmp_path / "n.sock", on_notification)
        receiver.close()
        assert notifier.send(STOPPING=1)
        successor.close()
        assert not notifier.send(STOPPING=1), "without a receiver send() returns at once"
        notifier.close()
        attacher.close()

    asyncio.run(run_scenario())


def test_notification_when_malformed_is_ignored() -> None:
    assert parse(b"READY=1\nnonsense\n=x\nA B=1\nSTATUS=a=b\n\xff\xfe") == {"READY": "1", "STATUS": "a=b"}
    assert watchdog_interval_s({"WATCHDOG_USEC": "2000000"}, 5) == 2.0
    assert watchdog_interval_s({"WATCHDOG_USEC": "2000000", "WATCHDOG_PID": "6"}, 5) == 0.0
    assert watchdog_interval_s({"WATCHDOG_USEC": "x"}, 5) == 0.0 and not Notifier("").send(READY=1)
